//! Connections of callers and of the platform's questions: hyper, since rocket hides the connection.

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

use super::node::{Gateway, Stage};
use super::request_handler;
use super::response_body::{ResponseBody, full_body};
use super::upstream::enable_dead_peer_detection;
use crate::kernel::route::CallLimits;
use crate::platform::{directory, ingress, names};

/// Open connections of callers; most of an instance's descriptors, the rest is for endpoints and peers.
const CONNECTIONS_MAX: usize = 2_600;
/// After a failure to accept, most likely for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Read buffer of a connection; larger than any head that the limits allow.
const BUFFER_MAX_BYTES: usize = 64 << 10;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Surface {
    /// Calls.
    Callers,
    /// Whether this instance takes callers.
    Ready,
    /// Where to connect.
    Directory,
}

/// Accepts connections for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>, listener: TcpListener, surface: Surface) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if gateway.in_flight.connections() >= CONNECTIONS_MAX => {
                warn!("connection refused: {} are open", CONNECTIONS_MAX);
                drop(stream);
            }
            Ok((stream, _)) => {
                tokio::spawn(serve(gateway.clone(), stream, surface));
            }
            Err(error) => {
                warn!("connection not accepted", kv: { why: = error });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, surface: Surface) {
    let _open = gateway.begin_connection();
    if let Err(error) = enable_dead_peer_detection(&stream) {
        debug!("connection closed before its first request", kv: { why: = error });
        return;
    }
    let limits = gateway
        .table()
        .map_or_else(CallLimits::default, |table| table.config().limits);
    let mut stage = gateway.in_flight.watch_stage();
    let service = service_fn(|request| answer(gateway.clone(), request, surface));
    // Who comes after a request to stop gets one answer.
    let stopping = gateway.in_flight.stage() == Stage::Leaving;
    let connection = http1::Builder::new()
        .keep_alive(!stopping)
        .timer(TokioTimer::new())
        // Also ends connections at rest, so it is the longer of the two times.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = left(&mut stage), if !stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("caller's connection ended", kv: { why: = error });
    }
}

/// Ends when the instance was asked to stop.
async fn left(stage: &mut tokio::sync::watch::Receiver<Stage>) {
    // The sender lives as long as the instance.
    let _ = stage.wait_for(|stage| *stage == Stage::Leaving).await;
}

async fn answer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    surface: Surface,
) -> Result<Response<ResponseBody>, Infallible> {
    Ok(match surface {
        Surface::Callers => request_handler::handle(gateway, request).await,
        Surface::Ready => ready(&gateway, &request),
        Surface::Directory => addresses(&gateway, &request),
    })
}

fn status_only(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn ready(gateway: &Gateway, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.method() != Method::GET || request.uri().path() != names::READY_PATH {
        return status_only(StatusCode::NOT_FOUND);
    }
    status_only(if gateway.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn addresses(gateway: &Gateway, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.method() != Method::GET || request.uri().path() != names::RESOLVE_PATH {
        return status_only(StatusCode::NOT_FOUND);
    }
    let addresses = gateway.caller_addresses(directory::ADDRESSES_MAX);
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
