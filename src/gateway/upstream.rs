//! Connection pools of the endpoints. Each connection carries one request at a time, and each error
//! says whether any byte of the request may have left.

use std::collections::{BTreeMap, HashMap};
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

use super::endpoint_signals::EndpointSignalHandler;
use super::message_heads::ResponseHead;
use super::permits::Permit;
use super::reach_monitor::ReachMonitor;
use crate::kernel::clock::Clock;
use crate::kernel::connect_timeout::CONNECT_TIMEOUT_MAX;
use crate::kernel::fleet::EndpointEntry;
use crate::platform::engine;

/// Time that sent bytes may stay unacknowledged before the peer counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum idle time of a connection before its reuse, so that a surplus response arrives, and is
/// noticed, before the next request is sent.
const REUSE_MIN_IDLE: Duration = Duration::from_millis(25);
/// Idle timeout of a connection if the endpoint announces none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin by which the idle timeout here is shorter than the one that the endpoint announces.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle connections kept for each endpoint: more than one instance uses at once under even load.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// After an endpoint of a service closed a reused connection instead of responding, or did not
/// respond on one in time, the connections of the service are reused for this long only after a
/// short idle time. Its endpoints may drop idle connections sooner than they announce, and all idle
/// connections may have gone silent.
const REUSE_RESTRICTED_FOR: Duration = Duration::from_secs(10);
/// Maximum idle time for reuse while it is restricted; the servers in use drop connections after
/// 300 ms of idle time at the earliest.
const RESTRICTED_IDLE_MAX: Duration = Duration::from_millis(200);
/// Share of the connection limit of an endpoint that all instances use together; the rest is left
/// for instances that join or leave.
const CONNECTIONS_SHARE: f64 = 0.85;

/// Failure to get a connection. Nothing was sent.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum ConnectError {
    /// Nothing listens at the address.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// No connection was made in time, or there is no way to the address.
    #[error("{0}")]
    Unreached(String),
    /// A failure of this instance, such as an exhausted connection limit.
    #[error("{0}")]
    Other(String),
}

impl ConnectError {
    /// Returns whether the address was not reached. Whether others reach it is not known.
    pub(crate) const fn is_unreached(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unreached(_))
    }
}

/// Failure of a request that got no response.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// Bytes may have been sent, so the endpoint may have run the request.
    #[error("sent without an answer: {0}")]
    MayHaveRun(String),
    /// No byte was sent: the rate limit of the endpoint grants no request for now.
    #[error("not sent: the endpoint takes no more for now")]
    NoPermit,
}

/// Whether a request may be sent on an idle connection. Such a connection may have gone silent,
/// which shows only in a response that does not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// For calls that are short or can be retried.
    Allowed,
    /// For requests whose loss costs more than a new connection.
    Never,
}

/// Aborts the task that drives a connection when dropped, which closes the connection.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Counts an open connection against the limit of its endpoint until dropped.
struct OpenConnectionGuard {
    endpoint: String,
    service: String,
    pools: Arc<Pools>,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let mut pools = self.pools.by_endpoint.lock();
        if let Some(pool) = pools.get_mut(&self.endpoint) {
            pool.open -= 1;
        }
    }
}

/// A connection in use; dropping it closes the connection.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
    open_guard: OpenConnectionGuard,
    /// Whether an earlier request used the connection.
    pub(crate) reused: bool,
}

/// The idle connections of a service, from which a reused connection was taken.
pub(crate) struct ServiceIdleConnections {
    service: String,
    pools: Arc<Pools>,
}

impl ServiceIdleConnections {
    /// Restricts the reuse of these connections: the reused one got no response, or none in time,
    /// so the others may have gone silent as well.
    pub(crate) fn restrict_reuse(&self) {
        self.pools.restrict_reuse(&self.service);
    }
}

/// A response whose head has arrived.
pub(crate) struct EndpointResponse {
    pub(crate) parts: Parts,
    pub(crate) head: ResponseHead,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

struct PooledConnection {
    connection: Connection,
    idle_since: Duration,
    idle_timeout: Duration,
}

#[derive(Default)]
struct Pool {
    idle: Vec<PooledConnection>,
    /// Number of open connections, in use and idle.
    open: usize,
}

struct Pools {
    clock: Arc<dyn Clock>,
    signals: Arc<EndpointSignalHandler>,
    by_endpoint: Mutex<HashMap<String, Pool>>,
    /// Services whose idle connections may be reused only after a short idle time, and until when.
    reuse_restricted_until: Mutex<HashMap<String, Duration>>,
}

impl Pools {
    /// Restricts reuse for a service because a request on a reused connection got no response.
    fn restrict_reuse(&self, service: &str) {
        let now = self.clock.now();
        let mut restricted_until = self.reuse_restricted_until.lock();
        let previous = restricted_until.insert(service.to_owned(), now + REUSE_RESTRICTED_FOR);
        if previous.is_none_or(|previous| previous < now) {
            info!("connections at rest are not used again for a while", kv: { service });
        }
    }

    /// Returns the longest idle time after which a connection of the service may be reused.
    fn max_idle_time(&self, service: &str) -> Duration {
        let restricted_until = self.reuse_restricted_until.lock();
        let until = restricted_until.get(service);
        if until.is_some_and(|until| self.clock.now() < *until) {
            RESTRICTED_IDLE_MAX
        } else {
            Duration::MAX
        }
    }
}

/// Connection pools of all endpoints.
pub(crate) struct Upstream {
    pools: Arc<Pools>,
    clock: Arc<dyn Clock>,
    reach: Arc<ReachMonitor>,
    /// Addresses to connect to, by listed address, where a forwarder stands before an endpoint.
    forwarders: BTreeMap<SocketAddr, SocketAddr>,
}

impl Upstream {
    pub(crate) fn new(
        clock: Arc<dyn Clock>,
        signals: Arc<EndpointSignalHandler>,
        reach: Arc<ReachMonitor>,
        forwarders: BTreeMap<SocketAddr, SocketAddr>,
    ) -> Self {
        Self {
            reach,
            forwarders,
            pools: Arc::new(Pools {
                clock: clock.clone(),
                signals,
                by_endpoint: Mutex::default(),
                reuse_restricted_until: Mutex::default(),
            }),
            clock,
        }
    }

    /// Returns a connection to an endpoint: an idle one if reuse is allowed, else a new one if
    /// fewer than `max_open` are open.
    pub(crate) async fn acquire_connection(
        &self,
        endpoint: &EndpointEntry,
        max_open: usize,
        reuse: ConnectionReuse,
    ) -> Result<Connection, ConnectError> {
        self.acquire_connection_within(CONNECT_TIMEOUT_MAX, endpoint, max_open, reuse)
            .await
    }

    /// Same as [`Self::acquire_connection`], with a timeout for a new connection.
    pub(crate) async fn acquire_connection_within(
        &self,
        timeout: Duration,
        endpoint: &EndpointEntry,
        max_open: usize,
        reuse: ConnectionReuse,
    ) -> Result<Connection, ConnectError> {
        if reuse == ConnectionReuse::Allowed
            && let Some(connection) = self.take_reusable(endpoint)
        {
            return Ok(connection);
        }
        let open_guard = self.reserve_slot(endpoint, max_open)?;
        let stream = self.connect(endpoint, timeout).await?;
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectError::Other(error.to_string()))?;
        metrics::counter!("larkwick_endpoint_connections_total").increment(1);
        let task = tokio::spawn(async move {
            // Errors of the connection surface in the request that uses it.
            let _ = driver.await;
        });
        Ok(Connection {
            sender,
            _task: ConnectionTask(task.abort_handle()),
            open_guard,
            reused: false,
        })
    }

    /// Opens a connection that carries no request.
    pub(crate) async fn open_probe_connection(
        &self,
        endpoint: &EndpointEntry,
    ) -> Result<TcpStream, ConnectError> {
        self.connect(endpoint, CONNECT_TIMEOUT_MAX).await
    }

    async fn connect(
        &self,
        endpoint: &EndpointEntry,
        timeout: Duration,
    ) -> Result<TcpStream, ConnectError> {
        let forwarder = self.forwarders.get(&endpoint.address);
        let connected = connect(*forwarder.unwrap_or(&endpoint.address), timeout).await;
        match &connected {
            Ok(_) => self.reach.record_reached(endpoint),
            Err(error) if error.is_unreached() => {
                self.reach.record_unreached(endpoint, &error.to_string());
            }
            Err(_) => {}
        }
        connected
    }

    fn reserve_slot(
        &self,
        endpoint: &EndpointEntry,
        max_open: usize,
    ) -> Result<OpenConnectionGuard, ConnectError> {
        // Closing a connection locks the pools, so it happens before the lock is taken.
        drop(self.evict_idle_if_full(endpoint, max_open));
        let mut pools = self.pools.by_endpoint.lock();
        let pool = pools.entry(endpoint.id.clone()).or_default();
        if pool.open >= max_open {
            let reason = format!("{max_open} connections are open");
            return Err(ConnectError::Other(reason));
        }
        pool.open += 1;
        Ok(OpenConnectionGuard {
            endpoint: endpoint.id.clone(),
            service: endpoint.service.clone(),
            pools: self.pools.clone(),
        })
    }

    /// Removes an idle connection if the limit is reached, to make room for a new one.
    fn evict_idle_if_full(
        &self,
        endpoint: &EndpointEntry,
        max_open: usize,
    ) -> Option<PooledConnection> {
        let mut pools = self.pools.by_endpoint.lock();
        let pool = pools.get_mut(&endpoint.id)?;
        let is_full = pool.open >= max_open && !pool.idle.is_empty();
        is_full.then(|| pool.idle.remove(0))
    }

    fn take_reusable(&self, endpoint: &EndpointEntry) -> Option<Connection> {
        let now = self.clock.now();
        let max_idle_time = self.pools.max_idle_time(&endpoint.service);
        let mut stale = Vec::new();
        let mut reusable = None;
        {
            let mut pools = self.pools.by_endpoint.lock();
            let pool = pools.get_mut(&endpoint.id)?;
            let mut kept = Vec::new();
            for idle in pool.idle.drain(..).rev() {
                let age = now.saturating_sub(idle.idle_since);
                let is_expired = age >= idle.idle_timeout.min(max_idle_time);
                if !idle.connection.sender.is_ready() || is_expired {
                    stale.push(idle);
                } else if reusable.is_none() && age >= REUSE_MIN_IDLE {
                    reusable = Some(idle.connection);
                } else {
                    kept.push(idle);
                }
            }
            kept.reverse();
            pool.idle = kept;
        }
        // Closing a connection locks the pools, so it happens after the lock is released.
        drop(stale);
        reusable
    }

    /// Sends a request of the instance itself and returns the status and the whole body.
    ///
    /// Always uses a new connection: if the order to move a generation off its engine were lost on
    /// a silent connection, the generation would be lost with it.
    pub(crate) async fn send_control_request(
        &self,
        endpoint: &EndpointEntry,
        request: Request<Bytes>,
        body_max_bytes: usize,
        permit: Permit,
    ) -> Result<(u16, Bytes), String> {
        let connection = self
            .acquire_connection(endpoint, usize::MAX, ConnectionReuse::Never)
            .await;
        let connection = connection.map_err(|error| error.to_string())?;
        let response = connection.send(request, permit).await;
        let response = response.map_err(|failure| failure.to_string())?;
        let body = Limited::new(response.body, body_max_bytes).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok((response.head.status, body))
    }

    /// Returns a connection to its pool after its response was read to the end.
    pub(crate) fn return_to_pool(&self, mut connection: Connection, head: &ResponseHead) {
        let idle_timeout = head.idle_timeout.map_or(IDLE_TIMEOUT, |announced| {
            announced
                .saturating_sub(IDLE_TIMEOUT_MARGIN)
                .min(IDLE_TIMEOUT * 2)
        });
        if head.closes || idle_timeout.is_zero() {
            return;
        }
        connection.reused = true;
        let endpoint = connection.open_guard.endpoint.clone();
        let idle = PooledConnection {
            connection,
            idle_since: self.clock.now(),
            idle_timeout,
        };
        let evicted = {
            let mut pools = self.pools.by_endpoint.lock();
            let pool = pools.entry(endpoint).or_default();
            pool.idle.push(idle);
            (pool.idle.len() > IDLE_CONNECTIONS_MAX).then(|| pool.idle.remove(0))
        };
        drop(evicted);
    }

    /// Closes expired idle connections and those of unknown endpoints, and drops empty pools.
    pub(crate) fn prune_idle(&self, is_known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        let mut stale = Vec::new();
        {
            let mut pools = self.pools.by_endpoint.lock();
            for (endpoint, pool) in pools.iter_mut() {
                let idle = std::mem::take(&mut pool.idle);
                for idle_connection in idle {
                    let is_fresh = now.saturating_sub(idle_connection.idle_since)
                        < idle_connection.idle_timeout;
                    if is_fresh
                        && is_known(endpoint)
                        && idle_connection.connection.sender.is_ready()
                    {
                        pool.idle.push(idle_connection);
                    } else {
                        stale.push(idle_connection);
                    }
                }
            }
            pools.retain(|_, pool| pool.open > 0);
        }
        drop(stale);
    }
}

/// Returns the number of connections that one instance may open to an endpoint.
pub(crate) fn connections_per_instance(connections_max: u32, instances: usize) -> usize {
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

/// Returns whether a failure to connect is due to the way to the address or its other end, rather than
/// to this instance.
fn is_network_failure(kind: std::io::ErrorKind) -> bool {
    use std::io::ErrorKind;
    matches!(
        kind,
        ErrorKind::TimedOut
            | ErrorKind::ConnectionReset
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
    )
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| ConnectError::Unreached(format!("{address} did not answer in time")))?
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => ConnectError::Refused(address),
            kind if is_network_failure(kind) => {
                ConnectError::Unreached(format!("{address}: {error}"))
            }
            _ => ConnectError::Other(format!("{address}: {error}")),
        })?;
    enable_dead_peer_detection(&stream).map_err(|error| ConnectError::Other(error.to_string()))?;
    Ok(stream)
}

/// Enables TCP keepalive and a user timeout, so that a connection fails soon after its peer
/// disappears without closing it.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

impl Connection {
    /// Returns the idle connections of the same service if this connection was reused.
    pub(crate) fn service_idle_connections(&self) -> Option<ServiceIdleConnections> {
        self.reused.then(|| ServiceIdleConnections {
            service: self.open_guard.service.clone(),
            pools: self.open_guard.pools.clone(),
        })
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        mut self,
        request: Request<Bytes>,
        permit: Permit,
    ) -> Result<EndpointResponse, SendError> {
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::Unsent(error.to_string()));
        }
        let signals = self.open_guard.pools.signals.clone();
        let sent_at = self.open_guard.pools.clock.now();
        // All requests to endpoints pass here, so the rate limit of an endpoint counts each of
        // them, whatever its kind.
        if !signals
            .permits
            .try_consume(&self.open_guard.endpoint, permit)
        {
            return Err(SendError::NoPermit);
        }
        let result = self.sender.try_send_request(request.map(Full::new)).await;
        let response = result.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let reason = error.into_error().to_string();
            if unsent {
                SendError::Unsent(reason)
            } else {
                if self.reused {
                    let open_guard = &self.open_guard;
                    open_guard.pools.restrict_reuse(&open_guard.service);
                }
                SendError::MayHaveRun(reason)
            }
        })?;
        let (parts, body) = response.into_parts();
        let head = engine::decode_response_head(&parts);
        // All responses of endpoints pass here, so their endpoint signals are recorded whatever was
        // requested. If each caller of `send` recorded them itself, some would be missed.
        signals.record(&self.open_guard.endpoint, &head, sent_at);
        Ok(EndpointResponse {
            head,
            parts,
            body,
            connection: self,
        })
    }
}
