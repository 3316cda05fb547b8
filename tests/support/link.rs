//! The path of one instance to one endpoint, which can be cut for this instance alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};

/// How a link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// New connections are refused; open ones live on.
    RefusesNew,
    /// New connections are refused and open ones closed.
    Resets,
    /// New connections hang, and nothing passes on open ones.
    Silent,
}

/// Wait after which a connection counts as hanging.
const HANGS_AFTER: Duration = Duration::from_millis(50);

/// A forwarder from an own port to an endpoint.
pub struct Link {
    pub address: SocketAddr,
    target: SocketAddr,
    /// Held while the link is cut or restored.
    changing: tokio::sync::Mutex<()>,
    /// Keeps the port while nothing listens on it.
    _port: Socket,
    accept_task: Mutex<Option<JoinHandle<()>>>,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
    is_silent: watch::Sender<bool>,
    /// Listener with a full queue, and the connections that fill it.
    full_queue: Mutex<Option<(Socket, Vec<TcpStream>)>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(task) = self.accept_task.lock().take() {
            task.abort();
        }
        self.close_connections();
    }
}

impl Link {
    /// Starts a link to a target on a free port.
    pub fn start(target: SocketAddr) -> Self {
        let port = bound_socket(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = port.local_addr().expect("an address");
        let link = Self {
            address: address.as_socket().expect("an IP address"),
            target,
            changing: tokio::sync::Mutex::default(),
            _port: port,
            accept_task: Mutex::default(),
            connections: Arc::default(),
            is_silent: watch::Sender::new(false),
            full_queue: Mutex::default(),
        };
        link.accept();
        link
    }

    /// Cuts the link.
    pub async fn cut(&self, cut: Cut) {
        let _changing = self.changing.lock().await;
        self.stop_accepting().await;
        self.full_queue.lock().take();
        match cut {
            Cut::RefusesNew => {}
            Cut::Resets => self.close_connections(),
            Cut::Silent => self.fall_silent().await,
        }
    }

    /// Ends the cut.
    pub async fn restore(&self) {
        let _changing = self.changing.lock().await;
        self.stop_accepting().await;
        self.close_connections();
        self.full_queue.lock().take();
        self.is_silent.send_replace(false);
        self.accept();
    }

    fn accept(&self) {
        let socket = bound_socket(self.address);
        socket.listen(1_024).expect("listens");
        socket.set_nonblocking(true).expect("a socket option");
        let listener = TcpListener::from_std(socket.into()).expect("a listener");
        let (target, connections) = (self.target, self.connections.clone());
        let is_silent = self.is_silent.subscribe();
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(endpoint) = TcpStream::connect(target).await else {
                    continue;
                };
                let forwarding = tokio::spawn(forward(caller, endpoint, is_silent.clone()));
                connections.lock().push(forwarding.abort_handle());
            }
        });
        *self.accept_task.lock() = Some(task);
    }

    /// Closes the listener and waits until the address refuses connections: children of the test's
    /// process may hold it for a moment.
    async fn stop_accepting(&self) {
        let task = self.accept_task.lock().take();
        if let Some(task) = task {
            task.abort();
            // An aborted task always ends.
            let _ = task.await;
            while TcpStream::connect(self.address).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }

    fn close_connections(&self) {
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
    }

    /// Keeps the queue of new connections full, so that the first packet of each is dropped.
    async fn fall_silent(&self) {
        self.is_silent.send_replace(true);
        let full = bound_socket(self.address);
        full.listen(0).expect("listens");
        let mut fillers = Vec::new();
        let connect = || tokio::time::timeout(HANGS_AFTER, TcpStream::connect(self.address));
        while let Ok(Ok(filler)) = connect().await {
            fillers.push(filler);
        }
        *self.full_queue.lock() = Some((full, fillers));
    }
}

/// Forwards bytes until either side closes. While the link is silent, both stay open and nothing
/// passes.
async fn forward(
    mut caller: TcpStream,
    mut endpoint: TcpStream,
    mut is_silent: watch::Receiver<bool>,
) {
    let silenced = async {
        let _ = is_silent.wait_for(|silent| *silent).await;
    };
    tokio::select! {
        biased;
        () = silenced => std::future::pending().await,
        _ = tokio::io::copy_bidirectional(&mut caller, &mut endpoint) => {}
    }
}

fn bound_socket(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("a socket option");
    socket.bind(&address.into()).expect("binds");
    socket
}
