//! One attempt of a call at an endpoint: connecting, sending, and reading the response.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};

use super::aborted_requests;
use super::answer_ends;
use super::crash_suspects::Survival;
use super::endpoint_cooldowns;
use super::in_flight::CallPhase;
use super::inbound_call::{Call, SendsBefore};
use super::late_attempts::SilenceGuard;
use super::permits::Permit;
use super::send_checks::{Withheld, check_before_send};
use super::shutdown::STOPPING;
use super::upstream::{
    Connection, ConnectionReuse, EndpointResponse, SendError, ServiceIdleConnections,
};
use crate::kernel::connect_timeout::connect_timeout;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::kernel::route::CallKind;
use crate::platform::engine;

/// Largest response body that is buffered before it is forwarded to the caller.
const RESPONSE_MAX_BYTES: usize = 4 << 20;
/// Response-time estimate of a service that has not responded yet. Plain services took 45 ms and
/// varied by 20 ms.
pub(super) const INITIAL_RESPONSE_TIME: ResponseTimeEstimate =
    ResponseTimeEstimate::initial(0.06, 0.03);
/// A timed-out attempt counts as having taken this multiple of its timeout, so that the timeout
/// grows when a service becomes slower.
const TIMEOUT_SAMPLE_FACTOR: u32 = 2;
/// A response is overdue after this multiple of the time within which nearly all responses arrive.
const OVERDUE_FACTOR: u32 = 4;
/// Minimum time left until the deadline for a new send.
pub(super) const TIME_LEFT_MIN: Duration = Duration::from_millis(3);

/// A response of an endpoint with its body buffered.
pub(super) struct BufferedResponse {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    /// Whether the end of the connection alone told where the body ends.
    pub(super) ended_with_connection: bool,
}

/// Outcome of an attempt at one endpoint.
pub(super) enum Attempt {
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
    /// Sent in the last moments of the call, without a response before its deadline: most endpoints
    /// would not have responded by then.
    TimeUp,
    /// Sent, without a response before this instance stops.
    Stopping,
}

impl From<Withheld> for Attempt {
    fn from(withheld: Withheld) -> Self {
        match withheld {
            Withheld::CoolingDown => Self::CoolingDown,
            Withheld::CrashSuspected => Self::CrashSuspected,
            Withheld::Unsent(reason) => Self::NotRun(reason.to_owned()),
        }
    }
}

/// State of a call over all its attempts.
#[derive(Default)]
pub(super) struct Attempts<'a> {
    /// Requests sent by this instance, including refused ones.
    pub(super) sends: u32,
    /// Number of sends that an endpoint may have run.
    pub(super) may_have_run: u32,
    pub(super) tried: HashSet<String>,
    /// Number of endpoints that accepted no connection.
    pub(super) failed_connects: usize,
    /// Last error response of an endpoint; returned if no other attempt succeeds.
    pub(super) error_response: Option<BufferedResponse>,
    pub(super) timed_out: bool,
    pub(super) last_reason: String,
    /// Whether the request is a crash suspect that only endpoints with other software may run.
    pub(super) restricted: bool,
    /// Whether the answer came from an attempt that was late.
    pub(super) answered_late: bool,
    /// The last attempt, if it timed out and its answer is still of use.
    pub(super) left_open: Option<BoxFuture<'a, Attempt>>,
}

impl Attempts<'_> {
    /// Returns the state of a call for which some requests were sent already.
    pub(super) fn after(before: SendsBefore) -> Self {
        Self {
            sends: before.sends,
            may_have_run: before.runs,
            ..Self::default()
        }
    }

    /// Returns what was sent so far, for a peer that goes on.
    pub(super) const fn sends_so_far(&self) -> SendsBefore {
        SendsBefore {
            sends: self.sends,
            runs: self.may_have_run,
            is_counted: true,
        }
    }
}

/// Returns whether the endpoint failed in an attempt; `None` if the attempt does not show it.
pub(super) fn endpoint_failure(attempt: &Attempt) -> Option<bool> {
    match attempt {
        // Server errors say little about the health of an endpoint: some calls fail everywhere.
        Attempt::Responded(response) if response.parts.status.is_server_error() => None,
        Attempt::Responded(_) => Some(false),
        Attempt::CrashSuspected
        | Attempt::CoolingDown
        | Attempt::RateLimited
        | Attempt::TimeUp
        | Attempt::Stopping => None,
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
        | Attempt::TimeUp
        | Attempt::Stopping
        | Attempt::Misdirected => None,
    }
}

/// Returns a connection to an endpoint, or why there is none.
async fn connect(
    call: &Call,
    endpoint: &EndpointEntry,
    attempts: &mut Attempts<'_>,
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

/// Sends the request of a call to an endpoint and records what that says about the endpoint.
pub(super) async fn send_attempt<'a>(
    call: &'a Call,
    endpoint: &EndpointEntry,
    permit: Permit,
    attempts: &mut Attempts<'a>,
) -> Attempt {
    let gateway = &call.gateway;
    let may_have_run = attempts.may_have_run > 0;
    let connecting = Box::pin(connect(call, endpoint, attempts));
    let connection = match call.run_before_send(may_have_run, connecting).await {
        Some(Ok(connection)) => connection,
        Some(Err(reason)) => return Attempt::NotRun(reason),
        None => return Attempt::NotRun(STOPPING.to_owned()),
    };
    if let Err(withheld) = check_before_send(call, endpoint, attempts.restricted, TIME_LEFT_MIN) {
        return withheld.into();
    }
    let send = call.endpoint_head(endpoint, None);
    let request = match engine::build_forwarded_request(&call.parts, call.body.clone(), &send) {
        Ok(request) => request,
        Err(error) => return Attempt::NotRun(error.to_string()),
    };
    attempts.sends += 1;
    call.set_phase(CallPhase::Sent);
    gateway.record_rollout_send(call, endpoint);
    let timeout = attempt_timeout(call, attempts);
    let may_give_up = timeout < call.time_left();
    let idle_connections = connection.service_idle_connections();
    let usual_max = gateway
        .response_time(&call.service, INITIAL_RESPONSE_TIME)
        .overdue();
    let overdue_after = usual_max * OVERDUE_FACTOR;
    let responder = endpoint.clone();
    let response = async move {
        let response = connection.send(request, permit).await?;
        read_response(call, &responder, response).await
    };
    let watched_connections = idle_connections.clone();
    let mut response: BoxFuture<'a, Result<Attempt, SendError>> = Box::pin(async move {
        let response = Box::pin(response);
        await_response(watched_connections.as_ref(), overdue_after, response).await
    });
    let sent_at = gateway.now();
    let answer = gateway.wait_for(timeout, response.as_mut());
    let attempt = match gateway.run_until_last_answer(answer).await {
        None => Attempt::Stopping,
        Some(Some(Ok(attempt))) => {
            let took = gateway.now().saturating_sub(sent_at);
            gateway.record_response_time(&call.service, INITIAL_RESPONSE_TIME, took);
            attempt
        }
        Some(Some(Err(SendError::Unsent(reason)))) => Attempt::NotRun(reason),
        Some(Some(Err(SendError::NoPermit))) => {
            attempts.sends -= 1;
            Attempt::RateLimited
        }
        Some(Some(Err(SendError::MayHaveRun(reason)))) => {
            aborted_requests::report(call, endpoint.clone(), Duration::ZERO).await;
            Attempt::MayHaveRun(reason)
        }
        Some(None) if !may_give_up && timeout < usual_max => Attempt::TimeUp,
        Some(None) => {
            if may_give_up {
                gateway.record_response_time(
                    &call.service,
                    INITIAL_RESPONSE_TIME,
                    timeout * TIMEOUT_SAMPLE_FACTOR,
                );
            }
            let silence = SilenceGuard::new(idle_connections);
            if may_give_up && gateway.routing.read().load.plain_load {
                let late = finish_late(call, endpoint.clone(), silence, response);
                attempts.left_open = Some(Box::pin(late));
            }
            Attempt::TimedOut
        }
    };
    if let Some(failed) = version_failure(&attempt) {
        let latency = gateway.now().saturating_sub(sent_at);
        gateway.record_rollout_outcome(call, endpoint, failed, latency);
    }
    record_survival(call, endpoint, &attempt);
    if !matches!(
        attempt,
        Attempt::NotRun(_) | Attempt::Misdirected | Attempt::RateLimited
    ) {
        attempts.may_have_run += 1;
    }
    attempt
}

/// Waits for the response to an attempt that timed out. The timeout already counts against the
/// endpoint and its version.
async fn finish_late(
    call: &Call,
    endpoint: EndpointEntry,
    silence: SilenceGuard,
    response: impl Future<Output = Result<Attempt, SendError>>,
) -> Attempt {
    let response = response.await;
    silence.record_response();
    match response {
        Ok(attempt) => {
            record_survival(call, &endpoint, &attempt);
            attempt
        }
        Err(SendError::MayHaveRun(reason)) => {
            aborted_requests::report(call, endpoint, Duration::ZERO).await;
            Attempt::MayHaveRun(reason)
        }
        Err(error @ (SendError::Unsent(_) | SendError::NoPermit)) => {
            Attempt::NotRun(error.to_string())
        }
    }
}

/// Records that the endpoint survived the request, if the attempt shows it.
fn record_survival(call: &Call, endpoint: &EndpointEntry, attempt: &Attempt) {
    let Attempt::Responded(response) = attempt else {
        return;
    };
    if !response.parts.status.is_success() {
        return;
    }
    if response.ended_with_connection {
        answer_ends::record_survival_if_still_running(call, endpoint);
    } else {
        Survival::of(call, endpoint).record();
    }
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
fn attempt_timeout(call: &Call, attempts: &Attempts<'_>) -> Duration {
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
    call: &Call,
    endpoint: &EndpointEntry,
    response: EndpointResponse,
) -> Result<Attempt, SendError> {
    let gateway = &call.gateway;
    let request_id = &call.head.request_id;
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
    // Its caller would send it again.
    if head.unproved_refusal && call.route.kind == CallKind::Once {
        let reason = format!("endpoint answered {} and may have run it", head.status);
        return Err(SendError::MayHaveRun(reason));
    }
    if head.ends_with_connection && gateway.has_ended_with_answer(call, endpoint).await {
        let reason = "the endpoint ended with its answer".to_owned();
        return Err(SendError::MayHaveRun(reason));
    }
    let is_success = parts.status.is_success();
    if is_success && (!head.sealed || head.encoded || head.request_id.is_none()) {
        let reason = "the answer is not the endpoint's own".to_owned();
        return Err(SendError::MayHaveRun(reason));
    }
    Ok(Attempt::Responded(BufferedResponse {
        parts,
        body: body.to_bytes(),
        ended_with_connection: head.ends_with_connection,
    }))
}
