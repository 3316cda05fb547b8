//! Loopback TCP proxy that can delay, stall or reset connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the proxy treats the bytes that it forwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards them at once.
    Normal,
    /// Forwards them after a delay.
    Delayed(Duration),
    /// Holds them in both directions until the mode changes.
    Stalled,
    /// Holds those towards the caller until the mode changes.
    ResponsesStalled,
    /// Closes a connection when the caller uses it again after more than this idle time.
    ///
    /// The bytes are discarded.
    DropsIdle(Duration),
}

/// A proxy to one address.
pub struct Proxy {
    pub address: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    mode: watch::Sender<LinkMode>,
    /// Connections with a lower number forward nothing any more, and stay open.
    blackholed_before: watch::Sender<u64>,
    opened_count: Arc<AtomicU64>,
    connection_tasks: Arc<Mutex<Vec<tokio::task::AbortHandle>>>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.reset();
    }
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub async fn start(target: SocketAddr) -> Self {
        let proxy = Self::without_target().await;
        proxy.set_target(target);
        proxy
    }

    /// Starts a proxy without a target; connections are closed until [`Proxy::set_target`].
    pub async fn without_target() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mode = watch::Sender::new(LinkMode::Normal);
        let connection_tasks: Arc<Mutex<Vec<tokio::task::AbortHandle>>> = Arc::default();
        let (modes, open) = (mode.clone(), connection_tasks.clone());
        let blackholed_before = watch::Sender::new(0);
        let blackholes = blackholed_before.clone();
        let opened_count: Arc<AtomicU64> = Arc::default();
        let numbers = opened_count.clone();
        let target: Arc<OnceLock<SocketAddr>> = Arc::default();
        let current_target = target.clone();
        let accept_task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Some(target) = current_target.get() else {
                    continue;
                };
                let Ok(server) = TcpStream::connect(target).await else {
                    continue;
                };
                let (from_caller, to_caller) = caller.into_split();
                let (from_server, to_server) = server.into_split();
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                let mut blackholes = blackholes.subscribe();
                let requests = forward(from_caller, to_server, modes.subscribe(), false);
                let responses = forward(from_server, to_caller, modes.subscribe(), true);
                let connection = async move {
                    let until_blackholed = async {
                        let _ = blackholes.wait_for(|before| number < *before).await;
                    };
                    tokio::pin!(requests, responses);
                    // The connection ends with either direction: HTTP does not need half-closed
                    // ones.
                    tokio::select! {
                        // Polled first, so that bytes held at this point are never forwarded.
                        biased;
                        // Reads nothing more and keeps both sockets open.
                        () = until_blackholed => std::future::pending().await,
                        () = &mut requests => {}
                        () = &mut responses => {}
                    }
                };
                open.lock().push(tokio::spawn(connection).abort_handle());
            }
        });
        Self {
            address,
            target,
            mode,
            blackholed_before,
            opened_count,
            connection_tasks,
            accept_task,
        }
    }

    /// Sets the target; further calls have no effect.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.get_or_init(|| target);
    }

    /// Sets how bytes are treated from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Permanently stops forwarding on all connections that are open now, without closing them.
    ///
    /// Connections opened later are not affected.
    pub fn blackhole_open_connections(&self) {
        let opened_count = self.opened_count.load(Ordering::SeqCst);
        self.blackholed_before.send_replace(opened_count);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for connection in self.connection_tasks.lock().drain(..) {
            connection.abort();
        }
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<LinkMode>,
    towards_caller: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    let mut last_used_at = None;
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        let previous_use = last_used_at.replace(Instant::now());
        if let (Some(previous_use), LinkMode::DropsIdle(idle_max)) = (previous_use, *mode.borrow())
            && !towards_caller
            && previous_use.elapsed() > idle_max
        {
            break;
        }
        let is_stalled = |mode: &LinkMode| {
            *mode == LinkMode::Stalled || (towards_caller && *mode == LinkMode::ResponsesStalled)
        };
        let current = mode
            .wait_for(|mode| !is_stalled(mode))
            .await
            .map(|mode| *mode);
        if let Ok(LinkMode::Delayed(delay)) = current {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
}
