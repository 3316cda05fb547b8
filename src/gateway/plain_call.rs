//! Calls that get a single response: sent to a healthy endpoint, and retried only if that cannot
//! run a non-repeatable request twice.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use spdlog::info;

use super::call_forwarding::{self, Forwarding};
use super::crash_suspects::{self, Admission};
use super::endpoint_cooldowns;
use super::endpoint_selection::select_endpoint;
use super::in_flight::CallPhase;
use super::inbound_call::Call;
use super::late_attempts::{LateAttempts, Raced};
use super::node::Gateway;
use super::permits::Permit;
use super::plain_attempt::{
    Attempt, Attempts, BufferedResponse, INITIAL_RESPONSE_TIME, TIME_LEFT_MIN, endpoint_failure,
    send_attempt,
};
use super::response_body::{ResponseBody, full_body, held_body};
use super::retry_budgets::RepeatCause;
use super::shutdown::{STOPPING, stopping_error};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::route::CallKind;
use crate::platform::{engine, ingress};

/// Maximum sends of one call, including those that endpoints refused.
const SENDS_MAX: u32 = 4;
/// Maximum endpoints for which one call requests a permit without a grant; each request may cost a
/// round trip to another instance.
const PERMIT_DENIALS_MAX: u32 = 6;
/// Failed connections of a call after which it is passed on, if this instance reaches no endpoint.
const CONNECTS_BEFORE_FORWARDING: usize = 0;
/// Failed connections after which a call is refused, if no peer that was asked reaches an endpoint
/// either: one that has come back in the meantime is found.
const CONNECTS_OUT_OF_REACH: usize = 1;

/// Handles a call and returns the response for its caller.
pub(crate) async fn handle_call(call: Call) -> Response<ResponseBody> {
    let call = Arc::new(call);
    let before = call.origin.sends_before();
    let is_cut_off = call.needs_forwarding();
    let mut out_of_reach = false;
    if is_cut_off {
        match call_forwarding::forward(&call, before).await {
            Forwarding::Answered(response) => return response,
            Forwarding::Declined => out_of_reach = true,
            Forwarding::NoPeer => {}
        }
    }
    call.record_first_attempt();
    let mut attempts = Attempts::after(before);
    let connects_max = match (is_cut_off, out_of_reach) {
        (false, _) => CONNECTS_BEFORE_FORWARDING,
        (true, true) => CONNECTS_OUT_OF_REACH,
        (true, false) => usize::MAX,
    };
    let result = run_attempts(&call, &mut attempts, connects_max).await;
    if !is_cut_off
        && let Err(error) = &result
        && let Some(response) =
            call_forwarding::forward_failed(&call, error, attempts.sends_so_far()).await
    {
        return response;
    }
    let took_ms = millis(call.age());
    let (response, outcome) = match result {
        Ok(buffered) => {
            let status = buffered.parts.status.as_u16();
            let response = into_response(&call, buffered);
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
            answered_late: = attempts.answered_late,
            tried:? = attempts.tried,
            last_reason = attempts.last_reason.as_str(),
            took_ms:,
        });
    }
    response
}

/// Returns the response for the caller, who has it before this instance exits.
fn into_response(call: &Arc<Call>, buffered: BufferedResponse) -> Response<ResponseBody> {
    call.set_phase(CallPhase::Answering);
    let held = call.gateway.held_bytes.hold(buffered.body.len());
    let mut response = Response::new(held_body(buffered.body, held, call.clone()));
    *response.status_mut() = buffered.parts.status;
    *response.headers_mut() = engine::caller_response_headers(&buffered.parts);
    response
}

/// Tries endpoints one after the other. Stops early if this instance reaches none of them and
/// `failed_connects_max` connections of this call have failed.
async fn run_attempts<'a>(
    call: &'a Call,
    attempts: &mut Attempts<'a>,
    failed_connects_max: usize,
) -> Result<BufferedResponse, Error> {
    // A request that crashes endpoints is not sent to endpoints with the same software again.
    match crash_suspects::admission(call, false) {
        Admission::Admitted => {}
        Admission::Restricted { excluded } => {
            attempts.restricted = true;
            attempts.tried.extend(excluded);
        }
        Admission::Refused if attempts.may_have_run == 0 => {
            return Err(crash_suspects::refusal_error(call));
        }
        // It may have run before a peer passed it on.
        Admission::Refused => {
            "endpoints end under it".clone_into(&mut attempts.last_reason);
            return Err(failure_error(call, attempts));
        }
    }
    let mut late_attempts = LateAttempts::default();
    loop {
        let next = attempt_next(call, attempts, failed_connects_max);
        let attempt = match late_attempts.race(next).await {
            Raced::Late(response) => {
                attempts.answered_late = true;
                return Ok(response);
            }
            Raced::Next(Some(attempt)) => attempt,
            Raced::Next(None) => break,
        };
        if let Some(late) = attempts.left_open.take() {
            late_attempts.keep(late);
        }
        match after_attempt(call, attempts, attempt) {
            AfterAttempt::Done(result) => return *result,
            AfterAttempt::TryNext if may_send_again(call, attempts) => {}
            AfterAttempt::TryNext | AfterAttempt::Stop => break,
        }
    }
    if let Some(response) = attempts.error_response.take() {
        return Ok(response);
    }
    if call.needs_forwarding() {
        // A peer may serve it while there is time.
        return Err(failure_error(call, attempts));
    }
    let late_answer = late_attempts.first_answer();
    let late_answer = call.gateway.wait_for(call.time_left(), late_answer);
    let late_answer = call.gateway.run_until_last_answer(late_answer).await;
    let late_answer = late_answer.flatten().flatten();
    attempts.answered_late = late_answer.is_some();
    late_answer
        .or(late_attempts.server_error)
        .ok_or_else(|| failure_error(call, attempts))
}

/// Selects the next endpoint and sends the call to it. Returns `None` if there is none to send it
/// to.
async fn attempt_next<'a>(
    call: &'a Call,
    attempts: &mut Attempts<'a>,
    failed_connects_max: usize,
) -> Option<Attempt> {
    if attempts.may_have_run == 0 {
        call.set_phase(CallPhase::Waiting);
    }
    let may_have_run = attempts.may_have_run > 0;
    let waiting = Box::pin(next_endpoint(call, &attempts.tried));
    let Some(next) = call.run_before_send(may_have_run, waiting).await else {
        STOPPING.clone_into(&mut attempts.last_reason);
        return None;
    };
    let (endpoint, permit) = next?;
    if attempts.failed_connects >= failed_connects_max && call.needs_forwarding() {
        "no endpoint reached from here".clone_into(&mut attempts.last_reason);
        return None;
    }
    let is_retry = attempts.sends > 0;
    if is_retry
        && !call
            .gateway
            .try_spend_retry(call.repeat(RepeatCause::Retry))
    {
        "retry budget spent".clone_into(&mut attempts.last_reason);
        return None;
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
    Some(attempt)
}

/// What follows an attempt.
enum AfterAttempt {
    /// The call has its result.
    Done(Box<Result<BufferedResponse, Error>>),
    /// It may be sent to another endpoint.
    TryNext,
    /// It must not be sent again.
    Stop,
}

/// Records the outcome of an attempt, and returns what follows it.
fn after_attempt(call: &Call, attempts: &mut Attempts<'_>, attempt: Attempt) -> AfterAttempt {
    let repeatable = call.route.kind == CallKind::Repeatable;
    let after_run = if repeatable {
        AfterAttempt::TryNext
    } else {
        AfterAttempt::Stop
    };
    match attempt {
        Attempt::Responded(response) => {
            let failed = response.parts.status.is_server_error();
            if !(failed && repeatable && may_retry(call, attempts)) {
                return AfterAttempt::Done(Box::new(Ok(response)));
            }
            attempts.last_reason = format!("endpoint answered {}", response.parts.status);
            attempts.error_response = Some(response);
        }
        Attempt::NotRun(reason) => attempts.last_reason = reason,
        Attempt::CrashSuspected => {
            "endpoints end under it".clone_into(&mut attempts.last_reason);
            if attempts.may_have_run == 0 && attempts.error_response.is_none() {
                let refusal = crash_suspects::refusal_error(call);
                return AfterAttempt::Done(Box::new(Err(refusal)));
            }
            return AfterAttempt::Stop;
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
            return after_run;
        }
        Attempt::TimedOut => {
            "no answer in time".clone_into(&mut attempts.last_reason);
            attempts.timed_out = true;
            return after_run;
        }
        Attempt::TimeUp => {
            "no time left".clone_into(&mut attempts.last_reason);
            attempts.timed_out = true;
            return AfterAttempt::Stop;
        }
        Attempt::Stopping => {
            STOPPING.clone_into(&mut attempts.last_reason);
            return AfterAttempt::Stop;
        }
    }
    AfterAttempt::TryNext
}

/// Returns whether a call without a result may be sent once more.
fn may_send_again(call: &Call, attempts: &Attempts<'_>) -> bool {
    let max_runs = if attempts.restricted {
        1
    } else {
        call.route.attempts_max
    };
    attempts.may_have_run < max_runs
        && attempts.sends < SENDS_MAX
        && call.time_left() >= TIME_LEFT_MIN
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

fn may_retry(call: &Call, attempts: &Attempts<'_>) -> bool {
    attempts.may_have_run < call.route.attempts_max
        && attempts.sends < SENDS_MAX
        && call.age() < call.route.latency_objective
}

/// Returns the error that covers all attempts, including whether the request may have run.
fn failure_error(call: &Call, attempts: &Attempts<'_>) -> Error {
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
    if call.is_too_late_to_send() {
        return stopping_error();
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
