//! A connection to an endpoint, which carries one request at a time.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;

use super::pools::{OpenConnectionGuard, Pools};
use crate::gateway::message_heads::ResponseHead;
use crate::gateway::permits::Permit;
use crate::platform::engine;

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

/// Aborts the task that drives a connection when dropped, which closes the connection.
#[derive(Debug)]
pub(super) struct ConnectionTask(pub(super) AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use; dropping it closes the connection.
pub(crate) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) _task: ConnectionTask,
    pub(super) open_guard: OpenConnectionGuard,
    /// Whether an earlier request used the connection.
    pub(crate) reused: bool,
}

/// The idle connections of a service, from which a reused connection was taken.
#[derive(Clone)]
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
