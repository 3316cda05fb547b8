//! Handles the requests of callers: reads the head, resolves the route, checks the API key, reads
//! the body and passes the call to the handler of its route kind.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rand::RngExt;
use spdlog::info;

use super::in_flight::{CallGuard, CallPhase, Stage};
use super::inbound_call::{Call, CallOrigin};
use super::message_heads::CallHead;
use super::node::Gateway;
use super::response_body::{ResponseBody, full_body};
use super::site_store::Subject;
use super::{generation, held_calls, plain_call, shutdown};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::byte_budget::HeldBytes;
use crate::kernel::clock::millis;
use crate::kernel::region::AllowedRegions;
use crate::kernel::route::{CallKind, Route, RouteTable};
use crate::kernel::stop_deadlines::StopDeadlines;
use crate::platform::ingress;

/// Slow callers read or give up within about this time.
const HOLDS_TOO_MUCH_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum wait for the next frame of a body.
const BODY_FRAME_TIMEOUT: Duration = Duration::from_secs(5);

impl Gateway {
    /// Returns the error for a call that arrives before the configuration or the endpoints are
    /// known.
    pub(crate) fn not_ready_error(&self) -> Error {
        let unknown = if self.config_version() == 0 {
            Subject::Configuration
        } else {
            Subject::Endpoints
        };
        let retry_after = if self.store.is_failing(unknown) {
            STORE_OUTAGE_RETRY_AFTER
        } else {
            NOT_READY_RETRY_AFTER
        };
        Error::new(
            ErrorKind::StandingDown,
            format!(
                "this instance knows no {} yet; use another address or come back",
                unknown.name()
            ),
        )
        .with_retry_after(retry_after)
    }
}

/// A start takes about this long once the store responds.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// During a store outage in which no member knows what is missing, no call can be served before the
/// store returns. Outages at the sites last 4.5 to 9 s, and on average half of that remains.
const STORE_OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Handles a request of a caller and returns its response.
pub(crate) async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = gateway.now();
    let stage = gateway.in_flight.stage();
    let response = match accept_call(&gateway, request, arrived).await {
        Ok(call) => serve(call).await,
        Err(refused) => {
            log_refusal(&gateway, &refused, arrived);
            ingress::error_response(&refused.error).map(full_body)
        }
    };
    let mut response = response;
    if stage == Stage::Leaving {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Serves a call that was accepted.
pub(crate) async fn serve(call: Call) -> Response<ResponseBody> {
    match call.route.kind {
        CallKind::Generation => Box::pin(generation::handle_call(call)).await,
        CallKind::Once | CallKind::Repeatable => plain_call::handle_call(call).await,
    }
}

/// A call that was refused before it had a route.
struct RefusedCall {
    request_id: String,
    error: Error,
}

fn log_refusal(gateway: &Gateway, refused: &RefusedCall, arrived: Duration) {
    metrics::counter!("larkwick_calls_total", "outcome" => format!("{:?}", refused.error.kind))
        .increment(1);
    if crate::log::should_log("call refused") {
        info!("call refused", kv: {
            request_id = refused.request_id.as_str(),
            kind:? = refused.error.kind,
            why = refused.error.message.as_str(),
            config_version: = gateway.config_version(),
            took_ms: = millis(gateway.now().saturating_sub(arrived)),
        });
    }
}

async fn accept_call(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    arrived: Duration,
) -> std::result::Result<Call, RefusedCall> {
    let (parts, body) = request.into_parts();
    let in_flight_guard = gateway.in_flight.track_call();
    let head = ingress::decode_head(&parts).map_err(|error| RefusedCall {
        request_id: String::new(),
        error,
    })?;
    let refused = |error| RefusedCall {
        request_id: head.request_id.clone(),
        error,
    };
    held_calls::hold_until_ready(gateway, &head).await;
    let accepted = accept_head(gateway, &head, None, arrived).map_err(refused)?;
    let body_max_bytes = accepted.table.config().limits.body_max_bytes;
    let route = &accepted.routed.route;
    let last_send_at = |deadlines| last_send_at(deadlines, route, &head, arrived);
    let reading = Box::pin(read_body(gateway, body, body_max_bytes));
    let read = gateway.run_until_stop(last_send_at, reading).await;
    let read = read.unwrap_or_else(|| Err(shutdown::stopping_error()));
    let (body, held_body) = read.map_err(refused)?;
    // The body may have taken long, and the stop may have been requested meanwhile.
    accepted
        .check_fits_before_shutdown(gateway, &head, arrived)
        .map_err(refused)?;
    let received = ReceivedRequest {
        origin: CallOrigin::Caller,
        head,
        parts,
        body,
        held_body,
        arrived,
        in_flight_guard,
    };
    Ok(accepted.into_call(gateway, received))
}

/// A call that a peer passes on.
pub(super) struct ForwardedRequest {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    /// Service to which the peer routed it.
    pub(super) service: String,
    pub(super) time_left: Duration,
    pub(super) origin: CallOrigin,
}

/// Accepts a call that a peer passes on. Its route and key are resolved anew, by the configuration
/// in force here.
pub(super) fn accept_forwarded(
    gateway: &Arc<Gateway>,
    request: ForwardedRequest,
    held_body: HeldBytes,
) -> Result<Call> {
    let mut head = ingress::decode_head(&request.parts)?;
    head.deadline = Some(request.time_left);
    let arrived = gateway.now();
    let accepted = accept_head(gateway, &head, Some(&request.service), arrived)?;
    let received = ReceivedRequest {
        origin: request.origin,
        head,
        parts: request.parts,
        body: request.body,
        held_body,
        arrived,
        in_flight_guard: gateway.in_flight.track_call(),
    };
    Ok(accepted.into_call(gateway, received))
}

/// A request whose body has arrived.
struct ReceivedRequest {
    origin: CallOrigin,
    head: CallHead,
    parts: Parts,
    body: Bytes,
    held_body: HeldBytes,
    arrived: Duration,
    in_flight_guard: CallGuard,
}

/// The configuration under which a request was accepted, and its route.
struct AcceptedHead {
    table: Arc<RouteTable>,
    routed: Routed,
}

impl AcceptedHead {
    /// Checks that the call will surely complete before this instance stops.
    fn check_fits_before_shutdown(
        &self,
        gateway: &Gateway,
        head: &CallHead,
        arrived: Duration,
    ) -> Result<()> {
        let fits = gateway.shutdown.deadlines().is_none_or(|deadlines| {
            gateway.now() < last_send_at(deadlines, &self.routed.route, head, arrived)
        });
        if fits {
            Ok(())
        } else {
            Err(shutdown::stopping_error())
        }
    }

    fn into_call(self, gateway: &Arc<Gateway>, request: ReceivedRequest) -> Call {
        let Self { table, routed } = self;
        let time_left = time_allowed(&routed.route, &request.head);
        request.in_flight_guard.set_phase(CallPhase::Waiting);
        Call {
            origin: request.origin,
            gateway: gateway.clone(),
            table,
            head: request.head,
            parts: request.parts,
            body: request.body,
            _held_body: request.held_body,
            version_choice: gateway.rollouts.draw(&routed.service, gateway.now()),
            service: routed.service,
            account: routed.account,
            priority: routed.priority,
            regions: routed.regions,
            route: routed.route,
            arrived: request.arrived,
            deadline: request.arrived + time_left,
            fingerprint: OnceLock::new(),
            segment_fingerprints: OnceLock::new(),
            in_flight_guard: request.in_flight_guard,
        }
    }
}

/// Resolves the route of a call and checks that this instance can serve it. `service` is the choice
/// of a peer, which counts if the route leads there.
fn accept_head(
    gateway: &Gateway,
    head: &CallHead,
    service: Option<&str>,
    arrived: Duration,
) -> Result<AcceptedHead> {
    let table = gateway.table().ok_or_else(|| gateway.not_ready_error())?;
    let mut routed = resolve_route(&table, head)?;
    if let Some(service) = service.filter(|service| routed.route.leads_to(service)) {
        service.clone_into(&mut routed.service);
    }
    // Without the list, any endpoint that another instance grants would count as unusable here.
    if !gateway.can_serve() {
        return Err(gateway.not_ready_error());
    }
    let accepted = AcceptedHead { table, routed };
    accepted.check_fits_before_shutdown(gateway, head, arrived)?;
    Ok(accepted)
}

/// Returns the latest time at which a call may be sent by an instance that stops, so that it surely
/// completes before the exit.
fn last_send_at(
    deadlines: StopDeadlines,
    route: &Route,
    head: &CallHead,
    arrived: Duration,
) -> Duration {
    let deadline = arrived + time_allowed(route, head);
    deadlines.last_send_at(shutdown::max_duration(route, head), deadline)
}

/// Returns the time from its arrival within which a call is to be answered.
fn time_allowed(route: &Route, head: &CallHead) -> Duration {
    head.deadline.unwrap_or(route.timeout).min(route.timeout)
}

/// Routing decision: where a call goes and for which client account.
struct Routed {
    route: Route,
    service: String,
    account: Option<String>,
    priority: u8,
    regions: AllowedRegions,
}

fn resolve_route(table: &RouteTable, head: &CallHead) -> Result<Routed> {
    let route = table.find(&head.host, &head.path)?;
    let account = table.authorize(route, head.key.as_deref())?;
    let draw = rand::rng().random_range(0.0..1.0);
    Ok(Routed {
        service: route.choose_service(draw).to_owned(),
        account: account.name().map(str::to_owned),
        priority: account.priority(route),
        regions: account.allowed_regions(route),
        route: route.clone(),
    })
}

/// Buffers the whole body: it may have to be sent again, and an endpoint must not wait for a slow
/// caller.
async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, HeldBytes)> {
    let holds_too_much = || {
        Error::new(
            ErrorKind::StandingDown,
            "this instance holds too many bytes for others; use another address or come back",
        )
        .with_retry_after(HOLDS_TOO_MUCH_RETRY_AFTER)
    };
    let too_large = || {
        Error::new(
            ErrorKind::TooLarge,
            format!("the body exceeds {max_bytes} bytes"),
        )
    };
    let declared_bytes = body.size_hint().lower();
    if declared_bytes > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(too_large());
    }
    let mut buffer = BytesMut::new();
    let mut held = gateway.held_bytes.hold(0);
    loop {
        let frame = tokio::time::timeout(BODY_FRAME_TIMEOUT, body.frame()).await;
        let frame = frame.map_err(|_| Error::new(ErrorKind::BodyTimeout, "the body stopped"))?;
        let Some(frame) = frame else { break };
        let frame =
            frame.map_err(|error| Error::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if let Some(data) = frame.data_ref() {
            if !held.try_grow(data.len()) {
                return Err(holds_too_much());
            }
            buffer.extend_from_slice(data);
            if buffer.len() > max_bytes {
                return Err(too_large());
            }
        }
    }
    Ok((buffer.freeze(), held))
}
