//! Calls that get a single response: sent to a healthy endpoint, and retried only if that cannot
//! run a non-repeatable request twice.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use spdlog::info;

use super::aborted_requests;
use super::crash_suspects::{self, Admission};
use super::endpoint_cooldowns;
use super::endpoint_selection::select_endpoint;
use super::inbound_call::Call;
use super::message_heads::EndpointRequestHead;
use super::node::Gateway;
use super::permits::Permit;
use super::response_body::{ResponseBody, full_body, held_body};
use super::upstream::{
    Connection, ConnectionReuse, EndpointResponse, SendError, ServiceIdleConnections,
};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::connect_timeout::connect_timeout;
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::kernel::route::CallKind;
use crate::platform::{engine, ingress};

/// Largest response body that is buffered before it is forwarded to the caller.
const RESPONSE_MAX_BYTES: usize = 4 << 20;
/// Maximum sends of one call, including those that endpoints refused.
const SENDS_MAX: u32 = 4;
/// Response-time estimate of a service that has not responded yet. Plain services took 45 ms and
/// varied by 20 ms.
const INITIAL_RESPONSE_TIME: ResponseTimeEstimate = ResponseTimeEstimate::initial(0.06, 0.03);
/// A timed-out attempt counts as having taken this multiple of its timeout, so that the timeout
/// grows when a service becomes slower.
const TIMEOUT_SAMPLE_FACTOR: u32 = 2;
/// A response is overdue after this multiple of the time within which nearly all responses arrive.
const OVERDUE_FACTOR: u32 = 4;
/// Maximum endpoints for which one call requests a permit without a grant; each request may cost a
/// round trip to another instance.
const PERMIT_DENIALS_MAX: u32 = 6;
/// Minimum time left until the deadline for a new send.
const TIME_LEFT_MIN: Duration = Duration::from_millis(3);

/// A response of an endpoint with its body buffered.
pub(crate) struct BufferedResponse {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// Outcome of an attempt at one endpoint.
enum Attempt {
    /// The endpoint sent a valid response.
    Responded(BufferedResponse),
    /// The endpoint declared that it did not run the request, or nothing was sent.
    NotRun(String),
    /// The request fingerprint became refused after the endpoint was selected, because it crashes
    /// endpoints. Nothing was sent.
    CrashSuspected,
    /// The endpoint entered a cooldown after it was selected. Nothing was sent.
    CoolingDown,
    /// The rate limit of the endpoint, which all instances share, is exhausted. Nothing was sent.
    RateLimited,
    /// A different endpoint runs at the address; it did not run the request.
    Misdirected,
    /// Sent, and the endpoint may have run the request.
    MayHaveRun(String),
    /// Sent, without a response before the timeout.
    TimedOut,
}

/// State of a call over all its attempts.
#[derive(Default)]
struct Attempts {
    /// Requests sent by this instance, including refused ones.
    sends: u32,
    /// Number of sends that an endpoint may have run.
    may_have_run: u32,
    tried: HashSet<String>,
    /// Number of endpoints that accepted no connection.
    failed_connects: usize,
    /// Last error response of an endpoint; returned if no other attempt succeeds.
    error_response: Option<BufferedResponse>,
    timed_out: bool,
    last_reason: String,
    /// Whether the request is a crash suspect that only endpoints with other software may run.
    restricted: bool,
}

/// Handles a call and returns the response for its caller.
pub(crate) async fn handle_call(call: Call) -> Response<ResponseBody> {
    let mut attempts = Attempts::default();
    call.gateway.record_first_attempt(&call.service);
    let result = run_attempts(&call, &mut attempts).await;
    let took_ms = millis(call.age());
    let (response, outcome) = match result {
        Ok(buffered) => {
            let status = buffered.parts.status.as_u16();
            let response = into_response(&call.gateway, buffered);
            (response, format!("answered {status}"))
        }
        Err(error) => {
            let response = ingress::error_response(&error).map(full_body);
            (response, format!("{:?}", error.kind))
        }
    };
    metrics::counter!("larkwick_calls_total", "outcome" => outcome.clone()).increment(1);
    metrics::histogram!("larkwick_call_seconds").record(call.age().as_secs_f64());
    if crate::log::should_log("call ended") {
        info!("call ended", kv: {
            request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(),
            config_version: = call.table.version(),
            outcome = outcome.as_str(),
            sends: = attempts.sends,
            tried:? = attempts.tried,
            last_reason = attempts.last_reason.as_str(),
            took_ms:,
        });
    }
    response
}

fn into_response(gateway: &Gateway, buffered: BufferedResponse) -> Response<ResponseBody> {
    let held = gateway.held_bytes.hold(buffered.body.len());
    let mut response = Response::new(held_body(buffered.body, held));
    *response.status_mut() = buffered.parts.status;
    *response.headers_mut() = engine::caller_response_headers(&buffered.parts);
    response
}

async fn run_attempts(call: &Call, attempts: &mut Attempts) -> Result<BufferedResponse, Error> {
    let repeatable = call.route.kind == CallKind::Repeatable;
    // A request that crashes endpoints is not sent to endpoints with the same software again.
    match crash_suspects::admission(call, false) {
        Admission::Admitted => {}
        Admission::Restricted { excluded } => {
            attempts.restricted = true;
            attempts.tried.extend(excluded);
        }
        Admission::Refused => return Err(crash_suspects::refusal_error(call)),
    }
    while let Some((endpoint, permit)) = next_endpoint(call, &attempts.tried).await {
        let is_retry = attempts.sends > 0;
        if is_retry && !call.gateway.try_spend_retry(&call.service) {
            "retry budget spent".clone_into(&mut attempts.last_reason);
            break;
        }
        attempts.tried.insert(endpoint.id.clone());
        let mut health = HealthGuard::begin(&call.gateway, &endpoint);
        let attempt = send_attempt(call, &endpoint, permit, attempts).await;
        health.failed = endpoint_failure(&attempt);
        drop(health);
        if matches!(attempt, Attempt::Misdirected) {
            let now = call.gateway.now();
            call.gateway.health.lock().record_absent(&endpoint.id, now);
        }
        match attempt {
            Attempt::Responded(response) => {
                let failed = response.parts.status.is_server_error();
                if !(failed && repeatable && may_retry(call, attempts)) {
                    return Ok(response);
                }
                attempts.last_reason = format!("endpoint answered {}", response.parts.status);
                attempts.error_response = Some(response);
            }
            Attempt::NotRun(reason) => attempts.last_reason = reason,
            Attempt::CrashSuspected => {
                "endpoints end under it".clone_into(&mut attempts.last_reason);
                if attempts.may_have_run == 0 && attempts.error_response.is_none() {
                    return Err(crash_suspects::refusal_error(call));
                }
                break;
            }
            Attempt::CoolingDown => "the endpoint rests".clone_into(&mut attempts.last_reason),
            Attempt::RateLimited => {
                "the endpoint takes no more for now".clone_into(&mut attempts.last_reason);
            }
            Attempt::Misdirected => {
                "another endpoint is at its address".clone_into(&mut attempts.last_reason);
            }
            Attempt::MayHaveRun(reason) => {
                attempts.last_reason = reason;
                if !repeatable {
                    break;
                }
            }
            Attempt::TimedOut => {
                "no answer in time".clone_into(&mut attempts.last_reason);
                attempts.timed_out = true;
                if !repeatable {
                    break;
                }
            }
        }
        let max_runs = if attempts.restricted {
            1
        } else {
            call.route.attempts_max
        };
        let has_spent_runs = attempts.may_have_run >= max_runs;
        if has_spent_runs || attempts.sends >= SENDS_MAX || call.time_left() < TIME_LEFT_MIN {
            break;
        }
    }
    match attempts.error_response.take() {
        Some(response) => Ok(response),
        None => Err(failure_error(call, attempts)),
    }
}

/// Returns the next endpoint to try, together with its permit.
///
/// If all endpoints are cooling down or rate-limited, waits for the first one that becomes
/// available early enough to meet the latency objective.
async fn next_endpoint(call: &Call, tried: &HashSet<String>) -> Option<(EndpointEntry, Permit)> {
    let gateway = &call.gateway;
    let mut permit_denials = 0;
    loop {
        if let Some(chosen) = select_endpoint(call, tried, INITIAL_RESPONSE_TIME) {
            // Without a permit the endpoint counts as unavailable until the next permit can be
            // requested, so it is not selected again before.
            if let Some(permit) = gateway.request_permit(&call.service, &chosen.id).await {
                return Some((chosen, permit));
            }
            permit_denials += 1;
            if permit_denials >= PERMIT_DENIALS_MAX || call.time_left() < TIME_LEFT_MIN {
                return None;
            }
            continue;
        }
        let typical = gateway
            .response_time(&call.service, INITIAL_RESPONSE_TIME)
            .typical();
        let wait_until = (call.arrived + call.route.latency_objective).saturating_sub(typical);
        let is_tried = |endpoint: &EndpointEntry| tried.contains(&endpoint.id);
        match endpoint_cooldowns::service_availability(call, is_tried, wait_until) {
            ServiceAvailability::AvailableAt { at } => gateway.sleep_until(at).await,
            ServiceAvailability::Available | ServiceAvailability::Unavailable { .. } => {
                return None;
            }
        }
    }
}

fn may_retry(call: &Call, attempts: &Attempts) -> bool {
    attempts.may_have_run < call.route.attempts_max
        && attempts.sends < SENDS_MAX
        && call.age() < call.route.latency_objective
}

/// Returns the error that covers all attempts, including whether the request may have run.
fn failure_error(call: &Call, attempts: &Attempts) -> Error {
    let reason = &attempts.last_reason;
    if attempts.may_have_run > 0 {
        let kind = if attempts.timed_out {
            ErrorKind::AnswerTimeout
        } else {
            ErrorKind::EndpointLost
        };
        return Error::new(
            kind,
            format!("service {}: {reason}; it may have run", call.service),
        );
    }
    let retry_after = endpoint_cooldowns::retry_after_cooldown(call);
    if attempts.tried.is_empty() && retry_after.is_none() {
        return Gateway::no_endpoint_error(&call.service).with_retry_after(NO_ENDPOINT_RETRY_AFTER);
    }
    let reason = if attempts.tried.is_empty() {
        "all endpoints rest, leave or take no more for now"
    } else {
        reason
    };
    Error::new(
        ErrorKind::EndpointRefused,
        format!("service {}: {reason}; not run", call.service),
    )
    .with_retry_after(retry_after.unwrap_or(REFUSED_RETRY_AFTER))
}

/// Endpoints that left are replaced within seconds.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// A full endpoint has a free slot again after the time of a few calls.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Records a call in the health of its endpoint; dropping it ends the call there, also if the
/// caller disconnects early.
struct HealthGuard<'a> {
    gateway: &'a Gateway,
    endpoint: &'a EndpointEntry,
    began_at: Duration,
    /// Whether the endpoint failed; `None` if unknown.
    failed: Option<bool>,
}

impl<'a> HealthGuard<'a> {
    fn begin(gateway: &'a Gateway, endpoint: &'a EndpointEntry) -> Self {
        let began_at = gateway.now();
        gateway.health.lock().record_start(&endpoint.id, began_at);
        Self {
            gateway,
            endpoint,
            began_at,
            failed: None,
        }
    }
}

impl Drop for HealthGuard<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut health = self.gateway.health.lock();
        health.record_end(&self.endpoint.id, self.began_at, self.failed, now);
    }
}

/// Returns whether the endpoint failed in an attempt; `None` if the attempt does not show it.
fn endpoint_failure(attempt: &Attempt) -> Option<bool> {
    match attempt {
        // Server errors say little about the health of an endpoint: some calls fail everywhere.
        Attempt::Responded(response) if response.parts.status.is_server_error() => None,
        Attempt::Responded(_) => Some(false),
        Attempt::CrashSuspected | Attempt::CoolingDown | Attempt::RateLimited => None,
        Attempt::NotRun(_) | Attempt::Misdirected | Attempt::MayHaveRun(_) | Attempt::TimedOut => {
            Some(true)
        }
    }
}

/// Returns whether an attempt speaks against the software version of its endpoint; `None` if it says
/// nothing about it.
fn version_failure(attempt: &Attempt) -> Option<bool> {
    match attempt {
        Attempt::Responded(response) => Some(response.parts.status.is_server_error()),
        Attempt::MayHaveRun(_) | Attempt::TimedOut => Some(true),
        Attempt::NotRun(_)
        | Attempt::CrashSuspected
        | Attempt::CoolingDown
        | Attempt::RateLimited
        | Attempt::Misdirected => None,
    }
}

/// Returns a connection to an endpoint, or why there is none.
async fn connect(
    call: &Call,
    endpoint: &EndpointEntry,
    attempts: &mut Attempts,
) -> Result<Connection, String> {
    let gateway = &call.gateway;
    let max_open = gateway.connections_max(&call.table, &call.service);
    // The first attempt may have timed out because its idle connection had gone silent; the next
    // attempt must not run the same risk.
    let reuse = if attempts.may_have_run > 0 {
        ConnectionReuse::Never
    } else {
        ConnectionReuse::Allowed
    };
    let timeout = connect_timeout(call.route.latency_objective, attempts.failed_connects);
    let connection = gateway
        .upstream
        .acquire_connection_within(timeout, endpoint, max_open, reuse);
    connection.await.map_err(|error| {
        attempts.failed_connects += 1;
        error.to_string()
    })
}

async fn send_attempt(
    call: &Call,
    endpoint: &EndpointEntry,
    permit: Permit,
    attempts: &mut Attempts,
) -> Attempt {
    let gateway = &call.gateway;
    let connection = match connect(call, endpoint, attempts).await {
        Ok(connection) => connection,
        Err(reason) => return Attempt::NotRun(reason),
    };
    // An update that the endpoint is leaving may have arrived since it was selected.
    if !gateway.fleet.lock().can_accept_work(&endpoint.id) {
        return Attempt::NotRun("the endpoint is leaving".to_owned());
    }
    if gateway.is_cooling_down(&endpoint.id) {
        return Attempt::CoolingDown;
    }
    if !attempts.restricted && crash_suspects::current_verdict(call) == Verdict::Refused {
        return Attempt::CrashSuspected;
    }
    // The deadline may have passed since the selection, for example if the machine was suspended.
    if call.time_left() < TIME_LEFT_MIN {
        return Attempt::NotRun("no time left".to_owned());
    }
    let send = EndpointRequestHead {
        endpoint_id: &endpoint.listed_id,
        time_left: call.time_left(),
        account: call.account.as_deref(),
        priority: None,
        continue_from: None,
        last_event_id: None,
    };
    let request = match engine::build_forwarded_request(&call.parts, call.body.clone(), &send) {
        Ok(request) => request,
        Err(error) => return Attempt::NotRun(error.to_string()),
    };
    attempts.sends += 1;
    gateway.record_rollout_send(call, endpoint);
    let timeout = attempt_timeout(call, attempts);
    let may_give_up = timeout < call.time_left();
    let idle_connections = connection.service_idle_connections();
    let overdue_after = gateway
        .response_time(&call.service, INITIAL_RESPONSE_TIME)
        .overdue()
        * OVERDUE_FACTOR;
    let response = Box::pin(async {
        let response = connection.send(request, permit).await?;
        read_response(gateway, &call.head.request_id, response).await
    });
    let response = await_response(idle_connections.as_ref(), overdue_after, response);
    let response = gateway.wait_for(timeout, response);
    let sent_at = gateway.now();
    let attempt = match response.await {
        Some(Ok(attempt)) => {
            let took = gateway.now().saturating_sub(sent_at);
            gateway.record_response_time(&call.service, INITIAL_RESPONSE_TIME, took);
            attempt
        }
        Some(Err(SendError::Unsent(reason))) => Attempt::NotRun(reason),
        Some(Err(SendError::NoPermit)) => {
            attempts.sends -= 1;
            Attempt::RateLimited
        }
        Some(Err(SendError::MayHaveRun(reason))) => {
            aborted_requests::report(call, endpoint.clone(), Duration::ZERO).await;
            Attempt::MayHaveRun(reason)
        }
        None => {
            if may_give_up {
                gateway.record_response_time(
                    &call.service,
                    INITIAL_RESPONSE_TIME,
                    timeout * TIMEOUT_SAMPLE_FACTOR,
                );
            }
            if let Some(idle_connections) = &idle_connections {
                idle_connections.restrict_reuse();
            }
            Attempt::TimedOut
        }
    };
    if let Some(failed) = version_failure(&attempt) {
        let latency = gateway.now().saturating_sub(sent_at);
        gateway.record_rollout_outcome(call, endpoint, failed, latency);
    }
    if matches!(&attempt, Attempt::Responded(response) if response.parts.status.is_success()) {
        crash_suspects::record_survival(call, endpoint);
    }
    if !matches!(
        attempt,
        Attempt::NotRun(_) | Attempt::Misdirected | Attempt::RateLimited
    ) {
        attempts.may_have_run += 1;
    }
    attempt
}

/// Waits for a response. If it is overdue on a reused connection, restricts the reuse of the other
/// idle connections of the service, which may have gone silent as well, and keeps waiting: a call
/// that cannot be retried waits until its deadline.
async fn await_response<T>(
    idle_connections: Option<&ServiceIdleConnections>,
    overdue_after: Duration,
    response: impl Future<Output = T>,
) -> T {
    let Some(idle_connections) = idle_connections else {
        return response.await;
    };
    tokio::pin!(response);
    if let Ok(completed) = tokio::time::timeout(overdue_after, &mut response).await {
        return completed;
    }
    idle_connections.restrict_reuse();
    response.await
}

/// Returns the timeout of this attempt: the time left until the deadline, or less if another
/// attempt can follow.
fn attempt_timeout(call: &Call, attempts: &Attempts) -> Duration {
    let time_left = call.time_left();
    // Without another endpoint to try, a late response is better than none.
    let can_retry = call.route.kind == CallKind::Repeatable
        && attempts.may_have_run + 1 < call.route.attempts_max
        && endpoint_cooldowns::has_untried_endpoint(call, &attempts.tried);
    if can_retry {
        let response_time = call
            .gateway
            .response_time(&call.service, INITIAL_RESPONSE_TIME);
        time_left
            .min(response_time.timeout(call.route.latency_objective.saturating_sub(call.age())))
    } else {
        time_left
    }
}

/// Reads a response to its end and checks that it belongs to this request.
async fn read_response(
    gateway: &Gateway,
    request_id: &str,
    response: EndpointResponse,
) -> Result<Attempt, SendError> {
    let EndpointResponse {
        parts,
        head,
        body,
        connection,
    } = response;
    if head
        .request_id
        .as_deref()
        .is_some_and(|id| id != request_id)
    {
        let reason = "the answer belongs to another request".to_owned();
        return Err(SendError::MayHaveRun(reason));
    }
    let collected = Limited::new(body, RESPONSE_MAX_BYTES).collect().await;
    let body = collected
        .map_err(|error| SendError::MayHaveRun(format!("the answer broke off: {error}")))?;
    gateway.upstream.return_to_pool(connection, &head);
    if head.misdirected {
        return Ok(Attempt::Misdirected);
    }
    if head.not_run {
        return Ok(Attempt::NotRun(format!(
            "endpoint refused: {}",
            head.status
        )));
    }
    let is_success = parts.status.is_success();
    if is_success && (!head.sealed || head.encoded || head.request_id.is_none()) {
        let reason = "the answer is not the endpoint's own".to_owned();
        return Err(SendError::MayHaveRun(reason));
    }
    Ok(Attempt::Responded(BufferedResponse {
        parts,
        body: body.to_bytes(),
    }))
}
