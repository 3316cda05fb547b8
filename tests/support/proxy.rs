//! A loopback proxy whose connections can be delayed, silenced, cut one way or reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to the bytes that pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// They pass.
    Sound,
    /// They pass later.
    Slow(Duration),
    /// They are held in both directions until the link is sound again.
    Silent,
    /// Those towards the caller are held.
    OneWay,
    /// A connection that rested for so long is closed when the caller uses it again, and nothing passes.
    Forgets(Duration),
}

/// A proxy to one address.
pub struct Proxy {
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    connections: Arc<Mutex<Vec<tokio::task::AbortHandle>>>,
    accepting: tokio::task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

impl Proxy {
    /// Starts a proxy on a free port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let link = watch::Sender::new(Link::Sound);
        let connections: Arc<Mutex<Vec<tokio::task::AbortHandle>>> = Arc::default();
        let (links, open) = (link.clone(), connections.clone());
        let accepting = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(target).await else {
                    continue;
                };
                let (from_caller, to_caller) = caller.into_split();
                let (from_server, to_server) = server.into_split();
                let there = pass(from_caller, to_server, links.subscribe(), false);
                let back = pass(from_server, to_caller, links.subscribe(), true);
                let both = async move {
                    // Where one direction ends, the connection ends: HTTP does without half-closed ones.
                    tokio::select! {
                        () = there => {}
                        () = back => {}
                    }
                };
                open.lock().push(tokio::spawn(both).abort_handle());
            }
        });
        Self {
            address,
            link,
            connections,
            accepting,
        }
    }

    /// Changes what happens to the bytes from now on.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    towards_caller: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    let mut used_at = None;
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        let rested = used_at.replace(Instant::now());
        if let (Some(rested), Link::Forgets(after)) = (rested, *link.borrow())
            && !towards_caller
            && rested.elapsed() > after
        {
            break;
        }
        let held = |link: &Link| *link == Link::Silent || (towards_caller && *link == Link::OneWay);
        let passing = link.wait_for(|link| !held(link)).await.map(|link| *link);
        if let Ok(Link::Slow(delay)) = passing {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
}
