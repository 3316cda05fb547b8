//! Connections to endpoints: one request at a time on each, and always known whether a request may have left.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use spdlog::info;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::broken_off::Presence;
use super::call::AnswerHead;
use super::endpoint_words::EndpointWords;
use super::permits::Permit;
use crate::kernel::clock::Clock;
use crate::kernel::fleet::EndpointEntry;
use crate::platform::engine;

/// Endpoints stand within milliseconds; beyond this an opening packet was lost or nobody is there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the peer counts as dead.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// A silent connection is asked after this long, and again at the same distance.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// A connection rests this long before it is used again, so that a surplus answer shows before the next request is sent.
const REST: Duration = Duration::from_millis(25);
/// Idle connections are used for this long where the endpoint names no time of its own.
const IDLE_KEPT: Duration = Duration::from_secs(4);
/// An endpoint's own time for idle connections is left by this margin.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle connections kept for each endpoint; more than one instance uses at once on an even day.
const IDLE_MAX: usize = 8;
/// After an endpoint of a service closed a connection that had rested in place of an answer, or gave none, the service's connections are used again
/// for this long only after a short rest: its endpoints may forget them sooner than they say, and all may have gone silent.
const DISTRUSTED_FOR: Duration = Duration::from_secs(10);
/// The short rest; the shortest time after which the users' servers forget a connection is 300 ms.
const DISTRUSTED_REST_MAX: Duration = Duration::from_millis(200);
/// Share of an endpoint's connections that the instances use together; the rest is left for those that come and go.
const CONNECTIONS_SHARE: f64 = 0.85;

/// A connection that could not be had. Nothing was sent.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum NoConnection {
    /// Nobody listens at the address.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// Anything else.
    #[error("{0}")]
    Other(String),
}

/// A request without an answer.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum SendFailure {
    /// No byte left.
    #[error("not sent: {0}")]
    Unsent(String),
    /// Bytes may have left.
    #[error("sent without an answer: {0}")]
    MayHaveRun(String),
    /// No byte left: the endpoint takes no more for now.
    #[error("not sent: the endpoint takes no more for now")]
    NoPermit,
}

/// Whether a request may go out on a connection that rested. It may have gone silent for good, and tells it by nothing but the answer that does
/// not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// A call that is short, or that can be sent again.
    Allowed,
    /// What would be lost is worth more than a new connection.
    Never,
}

/// Ends the task that drives a connection when dropped, and with it the connection.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts an open connection for as long as it lives.
struct OpenCount {
    endpoint: String,
    service: String,
    pools: Arc<Pools>,
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        let mut pools = self.pools.by_endpoint.lock();
        if let Some(pool) = pools.get_mut(&self.endpoint) {
            pool.open -= 1;
        }
    }
}

/// A connection in use; dropped, it is closed.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
    count: OpenCount,
    /// Whether an earlier request used it.
    pub(crate) reused: bool,
}

/// The connections of a service that rested beside one in use.
pub(crate) struct RestedWith {
    service: String,
    pools: Arc<Pools>,
}

impl RestedWith {
    /// The one in use gave no answer, or not in time: the others may have gone silent with it.
    pub(crate) fn distrust(&self) {
        self.pools.distrust_rest(&self.service);
    }
}

/// An answer whose head has come.
pub(crate) struct Answer {
    pub(crate) parts: Parts,
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

struct Idle {
    connection: Connection,
    since: Duration,
    kept_for: Duration,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    /// In use and idle together.
    open: usize,
}

struct Pools {
    clock: Arc<dyn Clock>,
    words: Arc<EndpointWords>,
    by_endpoint: Mutex<HashMap<String, Pool>>,
    /// Services whose connections may not rest for long, and until when.
    distrusted_until: Mutex<HashMap<String, Duration>>,
}

impl Pools {
    /// A request on a connection that had rested came back without an answer.
    fn distrust_rest(&self, service: &str) {
        let now = self.clock.now();
        let mut distrusted = self.distrusted_until.lock();
        let before = distrusted.insert(service.to_owned(), now + DISTRUSTED_FOR);
        if before.is_none_or(|before| before < now) {
            info!("connections at rest are not used again for a while", kv: { service });
        }
    }

    /// How long a connection may have rested that is used again.
    fn rest_max(&self, service: &str) -> Duration {
        let distrusted = self.distrusted_until.lock();
        let until = distrusted.get(service);
        if until.is_some_and(|until| self.clock.now() < *until) {
            DISTRUSTED_REST_MAX
        } else {
            Duration::MAX
        }
    }
}

/// All connections to endpoints.
pub(crate) struct Upstream {
    pools: Arc<Pools>,
    clock: Arc<dyn Clock>,
}

impl Upstream {
    pub(crate) fn new(clock: Arc<dyn Clock>, words: Arc<EndpointWords>) -> Self {
        Self {
            pools: Arc::new(Pools {
                clock: clock.clone(),
                words,
                by_endpoint: Mutex::default(),
                distrusted_until: Mutex::default(),
            }),
            clock,
        }
    }

    /// A connection to an endpoint: an idle one, or a new one while the endpoint's share allows it.
    pub(crate) async fn connection(
        &self,
        endpoint: &EndpointEntry,
        open_max: usize,
        reuse: Reuse,
    ) -> Result<Connection, NoConnection> {
        if reuse == Reuse::Allowed
            && let Some(connection) = self.take_idle(endpoint)
        {
            return Ok(connection);
        }
        let count = self.count_open(endpoint, open_max)?;
        let stream = connect(endpoint.address).await?;
        let (sender, driven) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| NoConnection::Other(error.to_string()))?;
        metrics::counter!("larkwick_endpoint_connections_total").increment(1);
        let task = tokio::spawn(async move {
            // How it ended shows in the request that used it.
            let _ = driven.await;
        });
        Ok(Connection {
            sender,
            _driver: Driver(task.abort_handle()),
            count,
            reused: false,
        })
    }

    /// Whether an endpoint is there, by a connection that is closed at once.
    pub(crate) async fn presence(&self, endpoint: &EndpointEntry) -> Presence {
        match connect(endpoint.address).await {
            Ok(_) => Presence::Listens,
            Err(NoConnection::Refused(_)) => Presence::Ended,
            Err(NoConnection::Other(_)) => Presence::Unknown,
        }
    }

    fn count_open(
        &self,
        endpoint: &EndpointEntry,
        open_max: usize,
    ) -> Result<OpenCount, NoConnection> {
        // Closing takes the pools' lock, so it comes before.
        drop(self.surplus(endpoint, open_max));
        let mut pools = self.pools.by_endpoint.lock();
        let pool = pools.entry(endpoint.id.clone()).or_default();
        if pool.open >= open_max {
            let why = format!("{open_max} connections are open");
            return Err(NoConnection::Other(why));
        }
        pool.open += 1;
        Ok(OpenCount {
            endpoint: endpoint.id.clone(),
            service: endpoint.service.clone(),
            pools: self.pools.clone(),
        })
    }

    /// A connection at rest that has to make room for a new one.
    fn surplus(&self, endpoint: &EndpointEntry, open_max: usize) -> Option<Idle> {
        let mut pools = self.pools.by_endpoint.lock();
        let pool = pools.get_mut(&endpoint.id)?;
        let is_full = pool.open >= open_max && !pool.idle.is_empty();
        is_full.then(|| pool.idle.remove(0))
    }

    fn take_idle(&self, endpoint: &EndpointEntry) -> Option<Connection> {
        let now = self.clock.now();
        let rest_max = self.pools.rest_max(&endpoint.service);
        let mut stale = Vec::new();
        let mut taken = None;
        {
            let mut pools = self.pools.by_endpoint.lock();
            let pool = pools.get_mut(&endpoint.id)?;
            let mut kept = Vec::new();
            for idle in pool.idle.drain(..).rev() {
                let age = now.saturating_sub(idle.since);
                let old = age >= idle.kept_for.min(rest_max);
                if !idle.connection.sender.is_ready() || old {
                    stale.push(idle);
                } else if taken.is_none() && age >= REST {
                    taken = Some(idle.connection);
                } else {
                    kept.push(idle);
                }
            }
            kept.reverse();
            pool.idle = kept;
        }
        // Closing takes the pools' lock, so it comes after.
        drop(stale);
        taken
    }

    /// Sends a request that belongs to no caller on a connection of its own, and reads the whole answer: a generation that has to move off its
    /// engine is lost with an order that goes out on a silent connection.
    pub(crate) async fn ask(
        &self,
        endpoint: &EndpointEntry,
        request: Request<Bytes>,
        body_max_bytes: usize,
        permit: Permit,
    ) -> Result<(u16, Bytes), String> {
        let connection = self.connection(endpoint, usize::MAX, Reuse::Never).await;
        let connection = connection.map_err(|none| none.to_string())?;
        let answer = connection.send(request, permit).await;
        let answer = answer.map_err(|failure| failure.to_string())?;
        let body = Limited::new(answer.body, body_max_bytes).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok((answer.head.status, body))
    }

    /// Takes a connection back whose answer was read to its end.
    pub(crate) fn give_back(&self, mut connection: Connection, head: &AnswerHead) {
        let kept_for = head.kept_for.map_or(IDLE_KEPT, |told| {
            told.saturating_sub(IDLE_MARGIN).min(IDLE_KEPT * 2)
        });
        if head.closes || kept_for.is_zero() {
            return;
        }
        connection.reused = true;
        let endpoint = connection.count.endpoint.clone();
        let idle = Idle {
            connection,
            since: self.clock.now(),
            kept_for,
        };
        let surplus = {
            let mut pools = self.pools.by_endpoint.lock();
            let pool = pools.entry(endpoint).or_default();
            pool.idle.push(idle);
            (pool.idle.len() > IDLE_MAX).then(|| pool.idle.remove(0))
        };
        drop(surplus);
    }

    /// Closes idle connections that are old, and forgets endpoints that are gone.
    pub(crate) fn tidy(&self, known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        let mut stale = Vec::new();
        {
            let mut pools = self.pools.by_endpoint.lock();
            for (endpoint, pool) in pools.iter_mut() {
                let idle = std::mem::take(&mut pool.idle);
                for one in idle {
                    let fresh = now.saturating_sub(one.since) < one.kept_for;
                    if fresh && known(endpoint) && one.connection.sender.is_ready() {
                        pool.idle.push(one);
                    } else {
                        stale.push(one);
                    }
                }
            }
            pools.retain(|_, pool| pool.open > 0);
        }
        drop(stale);
    }
}

/// Connections that one instance may hold to an endpoint.
pub(crate) fn open_max(connections_max: u32, instances: usize) -> usize {
    let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
    let share = f64::from(connections_max) * CONNECTIONS_SHARE / instances;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a u32 is not negative and fits"
    )]
    let share = share as usize;
    share.max(2)
}

async fn connect(address: SocketAddr) -> Result<TcpStream, NoConnection> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| NoConnection::Other(format!("{address} did not answer in time")))?
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => NoConnection::Refused(address),
            _ => NoConnection::Other(format!("{address}: {error}")),
        })?;
    notice_dead_peers(&stream).map_err(|error| NoConnection::Other(error.to_string()))?;
    Ok(stream)
}

/// Makes a connection fail soon when its peer is gone without a word.
pub(crate) fn notice_dead_peers(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

impl Connection {
    /// The other connections at rest, where this one rested, too.
    pub(crate) fn rested_with(&self) -> Option<RestedWith> {
        self.reused.then(|| RestedWith {
            service: self.count.service.clone(),
            pools: self.count.pools.clone(),
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        mut self,
        request: Request<Bytes>,
        permit: Permit,
    ) -> Result<Answer, SendFailure> {
        if let Err(error) = self.sender.ready().await {
            return Err(SendFailure::Unsent(error.to_string()));
        }
        let words = self.count.pools.words.clone();
        let sent_at = self.count.pools.clock.now();
        // Here all requests to endpoints pass: the limit that one names counts them all, whatever they ask for.
        if !words.permits.lets_pass(&self.count.endpoint, permit) {
            return Err(SendFailure::NoPermit);
        }
        let sent = self.sender.try_send_request(request.map(Full::new)).await;
        let response = sent.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let why = error.into_error().to_string();
            if unsent {
                SendFailure::Unsent(why)
            } else {
                if self.reused {
                    let count = &self.count;
                    count.pools.distrust_rest(&count.service);
                }
                SendFailure::MayHaveRun(why)
            }
        })?;
        let (parts, body) = response.into_parts();
        let head = engine::decode_answer(&parts);
        // Here all answers of endpoints pass: what one says of itself counts whatever was asked. Read by each caller of `send` apart, it was lost.
        words.take(&self.count.endpoint, &head, sent_at);
        Ok(Answer {
            head,
            parts,
            body,
            connection: self,
        })
    }
}
