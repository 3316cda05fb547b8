//! Connection pools of the endpoints. Each connection carries one request at a time, and each error
//! says whether any byte of the request may have left.
//!
//! | Module | What it does |
//! |---|---|
//! | `connect` | opens connections |
//! | `connection` | one connection, and sending a request on it |
//! | `pools` | which connections are open, and which idle ones are used again |

mod connect;
mod connection;
mod pools;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use self::connect::connect;
pub(crate) use self::connect::{ConnectError, enable_dead_peer_detection};
use self::connection::ConnectionTask;
pub(crate) use self::connection::{
    Connection, EndpointResponse, SendError, ServiceIdleConnections,
};
use self::pools::Pools;
use super::endpoint_signals::EndpointSignalHandler;
use super::permits::Permit;
use super::reach_monitor::ReachMonitor;
use crate::kernel::clock::Clock;
use crate::kernel::connect_timeout::CONNECT_TIMEOUT_MAX;
use crate::kernel::fleet::EndpointEntry;

/// Share of the connection limit of an endpoint that all instances use together; the rest is left
/// for instances that join or leave.
const CONNECTIONS_SHARE: f64 = 0.85;

/// Whether a request may be sent on an idle connection. Such a connection may have gone silent,
/// which shows only in a response that does not arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// For calls that are short or can be retried.
    Allowed,
    /// For requests whose loss costs more than a new connection.
    Never,
}

/// Why a request of the instance itself has no answer.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum ControlError {
    /// No connection could be made.
    #[error("{0}")]
    Unreached(String),
    /// The request was not sent.
    #[error("{0}")]
    NotSent(String),
    /// The request was sent, and its answer did not arrive whole.
    #[error("{0}")]
    NoAnswer(String),
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
    ) -> Result<(u16, Bytes), ControlError> {
        let connection = self
            .acquire_connection(endpoint, usize::MAX, ConnectionReuse::Never)
            .await;
        let connection = connection.map_err(|error| ControlError::Unreached(error.to_string()))?;
        let response = connection.send(request, permit).await;
        let response = response.map_err(|failure| match failure {
            SendError::MayHaveRun(_) => ControlError::NoAnswer(failure.to_string()),
            SendError::Unsent(_) | SendError::NoPermit => {
                ControlError::NotSent(failure.to_string())
            }
        })?;
        let body = Limited::new(response.body, body_max_bytes).collect().await;
        let body = body.map_err(|error| ControlError::NoAnswer(error.to_string()))?;
        Ok((response.head.status, body.to_bytes()))
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
