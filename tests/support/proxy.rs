//! A loopback proxy whose connections can be delayed, silenced, cut one way or reset.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
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
    target: Arc<OnceLock<SocketAddr>>,
    link: watch::Sender<Link>,
    /// Connections that were opened before this one are silent for good.
    silent_before: watch::Sender<u64>,
    opened: Arc<AtomicU64>,
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
        let proxy = Self::unaimed().await;
        proxy.aim(target);
        proxy
    }

    /// Starts a proxy whose target is not known yet: what connects to it until then is cut.
    pub async fn unaimed() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let link = watch::Sender::new(Link::Sound);
        let connections: Arc<Mutex<Vec<tokio::task::AbortHandle>>> = Arc::default();
        let (links, open) = (link.clone(), connections.clone());
        let silent_before = watch::Sender::new(0);
        let silences = silent_before.clone();
        let opened: Arc<AtomicU64> = Arc::default();
        let numbers = opened.clone();
        let target: Arc<OnceLock<SocketAddr>> = Arc::default();
        let aimed = target.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Some(target) = aimed.get() else {
                    continue;
                };
                let Ok(server) = TcpStream::connect(target).await else {
                    continue;
                };
                let (from_caller, to_caller) = caller.into_split();
                let (from_server, to_server) = server.into_split();
                let number = numbers.fetch_add(1, Ordering::SeqCst);
                let mut silences = silences.subscribe();
                let there = pass(from_caller, to_server, links.subscribe(), false);
                let back = pass(from_server, to_caller, links.subscribe(), true);
                let both = async move {
                    let goes_silent = async {
                        let _ = silences.wait_for(|before| number < *before).await;
                    };
                    tokio::pin!(there, back);
                    // Where one direction ends, the connection ends: HTTP does without half-closed ones.
                    tokio::select! {
                        // First, so that what is held when it goes silent never passes.
                        biased;
                        // Nothing is read any more, and both ends stay open.
                        () = goes_silent => std::future::pending().await,
                        () = &mut there => {}
                        () = &mut back => {}
                    }
                };
                open.lock().push(tokio::spawn(both).abort_handle());
            }
        });
        Self {
            address,
            target,
            link,
            silent_before,
            opened,
            connections,
            accepting,
        }
    }

    /// Sets the target, once.
    pub fn aim(&self, target: SocketAddr) {
        self.target.get_or_init(|| target);
    }

    /// Changes what happens to the bytes from now on.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// The connections that are open now go silent for good, without being closed; those opened from now on are sound.
    pub fn silence_open(&self) {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_before.send_replace(opened);
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
