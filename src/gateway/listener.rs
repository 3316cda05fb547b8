//! HTTP listeners for callers, readiness checks and the directory.
//!
//! They use hyper directly, because rocket gives no access to the connection.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use spdlog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};

use super::in_flight::Stage;
use super::node::Gateway;
use super::request_handler;
use super::response_body::{ResponseBody, full_body};
use super::upstream::enable_dead_peer_detection;
use crate::kernel::route::CallLimits;
use crate::platform::{directory, ingress, names};

/// Maximum number of open connections. This is most of an instance's file descriptors; the rest is
/// for endpoints and peers.
const CONNECTIONS_MAX: usize = 2_600;
/// Pause after a failure to accept, most likely because no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum size of a connection's read buffer; larger than any request head that the limits allow.
const READ_BUFFER_MAX_BYTES: usize = 64 << 10;

/// The kind of requests that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Calls to services.
    Callers,
    /// Readiness checks.
    Ready,
    /// Directory queries for the addresses of instances.
    Directory,
}

/// Accepts connections for the lifetime of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>, listener: TcpListener, kind: ListenerKind) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if gateway.in_flight.connections() >= CONNECTIONS_MAX => {
                warn!(
                    "connection refused: limit of {} open connections reached",
                    CONNECTIONS_MAX
                );
                drop(stream);
            }
            Ok((stream, _)) => {
                tokio::spawn(serve(gateway.clone(), stream, kind));
            }
            Err(error) => {
                warn!("failed to accept connection", kv: { why: = error });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, kind: ListenerKind) {
    let _guard = gateway.in_flight.track_connection();
    if let Err(error) = enable_dead_peer_detection(&stream) {
        debug!("connection closed before its first request", kv: { why: = error });
        return;
    }
    let limits = gateway
        .table()
        .map_or_else(CallLimits::default, |table| table.config().limits);
    let mut stage = gateway.in_flight.subscribe_stage();
    let service = service_fn(|request| handle_request(gateway.clone(), request, kind));
    // Connections opened during shutdown get a single response.
    let is_leaving = gateway.in_flight.stage() == Stage::Leaving;
    let connection = http1::Builder::new()
        .keep_alive(!is_leaving)
        .timer(TokioTimer::new())
        // This timeout also closes idle connections, hence the longer of the two.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(READ_BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_until_leaving(&mut stage), if !is_leaving => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!("caller connection failed", kv: { why: = error });
    }
}

/// Waits until the instance is leaving.
async fn wait_until_leaving(stage: &mut tokio::sync::watch::Receiver<Stage>) {
    // Cannot fail: the sender exists as long as the instance.
    let _ = stage.wait_for(|stage| *stage == Stage::Leaving).await;
}

async fn handle_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    kind: ListenerKind,
) -> Result<Response<ResponseBody>, Infallible> {
    Ok(match kind {
        ListenerKind::Callers => request_handler::handle(gateway, request).await,
        ListenerKind::Ready => readiness_response(&gateway, &request),
        ListenerKind::Directory => directory_response(&gateway, &request),
    })
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn readiness_response(gateway: &Gateway, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.method() != Method::GET || request.uri().path() != names::READY_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    empty_response(if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn directory_response(gateway: &Gateway, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.method() != Method::GET || request.uri().path() != names::RESOLVE_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let query = directory::decode_query(request.uri());
    let regions = gateway.directory_regions(&query.host, &query.region);
    let addresses = gateway.caller_addresses(directory::ADDRESSES_MAX, &regions);
    if addresses.is_empty() {
        return ingress::error_response(&gateway.not_ready_error()).map(full_body);
    }
    let valid = gateway.routing.read().directory_valid();
    let mut response = Response::new(full_body(directory::encode(&addresses, valid)));
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}
