//! Places a generation on an engine and starts it there.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use rand::RngExt;
use spdlog::info;

use super::call_forwarding::{self, Forwarding};
use super::coordinator::{self, Placement};
use super::crash_suspects::{self, Admission};
use super::endpoint_cooldowns;
use super::engine_attempt::{
    AttemptFailure, AttemptParams, AttemptResponse, INITIAL_FIRST_EVENT_TIME, may_have_run_error,
    try_engine,
};
use super::inbound_call::Call;
use super::relay;
use super::response_body::{ResponseBody, full_body};
use super::retry_budgets::RepeatCause;
use super::started_generation::{EngineAttempts, StartedGeneration, record_generation_end};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::engine_ledger::{EngineRequirements, RunDemand};
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::rollout_evidence::Version;
use crate::platform::ingress;

/// Maximum number of engines that are tried for one generation.
const ENGINE_ATTEMPTS_MAX: u32 = 5;
/// Engines that are tried although no peer that was asked reaches one either: one that has come back
/// in the meantime is found.
const ENGINES_OUT_OF_REACH: usize = 1;
/// Minimum time left before the caller's deadline for restarting a generation, since its prompt has
/// to be read once more.
const RESTART_TIME_LEFT_MIN: Duration = Duration::from_millis(300);
/// Callers honour a `Retry-After` of at most their remaining time divided by this; the users of the
/// service state this.
const RETRY_AFTER_MAX_DIVISOR: u32 = 3;
/// Prior for how long engines stay full once they are. Callers come back once, so an early return
/// is refused for good.
const EXPECTED_OVERLOAD_DURATION: Duration = Duration::from_secs(5);
/// Lower end of the random `Retry-After`, as a share of its upper end. The spread keeps callers
/// from retrying at the same moment.
const RETRY_AFTER_MIN_SHARE: f64 = 0.6;
/// Assumed sizes of a medium request, for callers that send no token counts.
const DEFAULT_PROMPT_TOKENS: u32 = 1_000;
const DEFAULT_GENERATED_TOKENS: u32 = 500;

/// Handles a call for a generation and returns the response that streams its events.
pub(crate) async fn handle_call(call: Call) -> Response<ResponseBody> {
    let call = Arc::new(call);
    let before = call.origin.sends_before();
    let is_cut_off = call.needs_forwarding();
    let mut attempts = EngineAttempts::after(before);
    attempts.may_forward = !is_cut_off;
    if is_cut_off {
        match call_forwarding::forward(&call, before).await {
            Forwarding::Answered(response) => return response,
            Forwarding::Declined => attempts.out_of_reach = true,
            Forwarding::NoPeer => {}
        }
    }
    call.record_first_attempt();
    match try_engines(&call, &mut attempts, last_event_id(&call)).await {
        Ok(response) => relay::forward_response(call, response.into_started(attempts)),
        Err(error) => {
            let before = attempts.sends_so_far();
            if attempts.may_forward
                && let Some(response) = call_forwarding::forward_failed(&call, &error, before).await
            {
                return response;
            }
            record_generation_end(&call, &format!("{:?}", error.kind), &error.message, 0, 0);
            ingress::error_response(&error).map(full_body)
        }
    }
}

/// Returns the demand from which the owner places the generation.
fn run_demand(call: &Call) -> RunDemand {
    let tokens = call.head.tokens.as_ref();
    RunDemand {
        run: call.head.request_id.clone(),
        prompt_tokens: tokens.map_or(DEFAULT_PROMPT_TOKENS, |tokens| tokens.prompt_tokens),
        generated_max_tokens: tokens.map_or(DEFAULT_GENERATED_TOKENS, |tokens| {
            tokens.generated_max_tokens
        }),
        generated_hint_tokens: tokens.and_then(|tokens| tokens.generated_hint_tokens),
        priority: u32::from(call.priority),
        requirements: EngineRequirements {
            version: call
                .version_choice
                .as_ref()
                .map_or(Version::Current, |choice| choice.version(false)),
            regions: call.regions.clone(),
        },
    }
}

impl EngineAttempts {
    /// Counts an attempt: a send if a request reached an engine, and a run if the generation may
    /// have run there.
    fn record(&mut self, result: &Result<AttemptResponse, AttemptFailure>) {
        let (sent, may_have_run) = match result {
            Ok(_) | Err(AttemptFailure::ErrorResponse(_) | AttemptFailure::Lost(_)) => (1, 1),
            Err(AttemptFailure::Refused { .. }) => (1, 0),
            Err(
                AttemptFailure::Unsent { .. }
                | AttemptFailure::CrashSuspected
                | AttemptFailure::CoolingDown
                | AttemptFailure::RateLimited
                | AttemptFailure::Fatal(_),
            ) => (0, 0),
        };
        self.sends += sent;
        self.runs += may_have_run;
    }
}

/// Returns the ID of the last event that the caller received, if the route's generations are
/// resumable.
pub(crate) fn last_event_id(call: &Call) -> Option<&str> {
    let id = call.head.last_event_id.as_deref();
    id.filter(|_| call.route.resumable)
}

/// Returns whether a generation that may have run at the engines tried so far can be restarted at
/// another engine.
pub(crate) fn can_restart(call: &Call, attempts: &EngineAttempts) -> bool {
    call.route.resumable
        && !attempts.restricted
        && attempts.runs < call.route.attempts_max
        && call.time_left() > RESTART_TIME_LEFT_MIN
}

/// Starts a generation again after the event `last_event_id`.
pub(crate) async fn start_from_event(
    call: &Arc<Call>,
    mut attempts: EngineAttempts,
    last_event_id: Option<&str>,
) -> Result<StartedGeneration, Error> {
    attempts.may_forward = false;
    let response = try_engines(call, &mut attempts, last_event_id).await?;
    Ok(response.into_started(attempts))
}

/// Tries one engine after another until one starts to answer, after the event `last_event_id` if it
/// is given.
async fn try_engines(
    call: &Arc<Call>,
    attempts: &mut EngineAttempts,
    last_event_id: Option<&str>,
) -> Result<AttemptResponse, Error> {
    let gateway = &call.gateway;
    if !has_allowed_engine(call) {
        return Err(no_allowed_engine_error(call));
    }
    let mut demand = run_demand(call);
    let mut reason = String::new();
    let mut failures = FailedAttempts::default();
    for _ in 0..ENGINE_ATTEMPTS_MAX {
        if call.time_left().is_zero() {
            reason.push_str("; no time left");
            break;
        }
        let gives_up = attempts.may_forward
            || (attempts.out_of_reach && attempts.excluded.len() >= ENGINES_OUT_OF_REACH);
        if gives_up && call.needs_forwarding() {
            reason.push_str("; no engine reached from here");
            break;
        }
        // A refused crash suspect is sent to no further endpoint, whatever the result of its
        // earlier attempts.
        match crash_suspects::admission(call, attempts.restricted) {
            Admission::Admitted => {}
            Admission::Restricted { excluded } => {
                attempts.restricted = true;
                attempts.excluded.extend(excluded);
            }
            Admission::Refused if attempts.runs == 0 => {
                return Err(crash_suspects::refusal_error(call));
            }
            Admission::Refused => {
                reason.push_str("; endpoints end under it");
                break;
            }
        }
        if attempts.sends > 0 && !gateway.try_spend_retry(call.repeat(RepeatCause::Retry)) {
            reason.push_str("; retry budget spent");
            break;
        }
        let wait = capacity_wait(call, attempts);
        if !wait_for_available_engine(call, attempts, wait).await {
            reason.push_str("; all engines rest, leave or have ended");
            break;
        }
        let wait = capacity_wait(call, attempts);
        let excluded = excluded_engines(call, attempts);
        let placement = Box::pin(place(call, &mut demand, &excluded, wait)).await;
        let Some(Placement {
            engine: granted,
            counted_at,
        }) = placement
        else {
            reason.push_str("; no room");
            break;
        };
        log_placement(call, &demand, &granted);
        let response_timeout = response_timeout(call, attempts);
        let restricted = attempts.restricted;
        let params = AttemptParams {
            granted: &granted,
            counted_at,
            last_event_id,
            response_timeout,
            restricted,
        };
        let result = try_engine(call, &demand, params).await;
        attempts.record(&result);
        let failure = match result {
            Ok(attempt_response) => return Ok(attempt_response),
            Err(
                AttemptFailure::CrashSuspected
                | AttemptFailure::CoolingDown
                | AttemptFailure::RateLimited,
            ) => continue,
            Err(failure) => failure,
        };
        reason = failure.reason();
        let unavailability = failure.unavailability();
        if failures.record(call, attempts, failure) {
            break;
        }
        gateway
            .runs
            .record_unavailable_engine(&call.service, &granted, unavailability);
        gateway.ledgers.runs_changed.notify_one();
        attempts.excluded.push(granted);
    }
    failures.into_result(call, attempts, &reason)
}

/// Places a generation. One that is drawn for the few engines of a new version does not wait for
/// them, and does not return to them.
async fn place(
    call: &Call,
    demand: &mut RunDemand,
    excluded: &[String],
    wait: Duration,
) -> Option<Placement> {
    let gateway = &call.gateway;
    if demand.requirements.version == Version::Target {
        let no_wait = Duration::ZERO;
        let placed = coordinator::place(gateway, &call.service, demand, excluded, no_wait).await;
        demand.requirements.version = Version::Current;
        if placed.is_some() {
            return placed;
        }
    }
    coordinator::place(gateway, &call.service, demand, excluded, wait).await
}

/// The failures to report if no engine starts the generation. They cover every engine that may have
/// run it.
#[derive(Default)]
struct FailedAttempts {
    /// The last server error that an engine answered with.
    error_response: Option<Box<AttemptResponse>>,
    /// The last error of an attempt that may have run, or of a request that cannot be sent at all.
    error: Option<Error>,
}

impl FailedAttempts {
    /// Records a failed attempt and returns whether it is final, so that no other engine may be
    /// tried.
    fn record(&mut self, call: &Call, attempts: &EngineAttempts, failure: AttemptFailure) -> bool {
        match failure {
            AttemptFailure::Refused { .. }
            | AttemptFailure::Unsent { .. }
            | AttemptFailure::CrashSuspected
            | AttemptFailure::CoolingDown
            | AttemptFailure::RateLimited => false,
            AttemptFailure::ErrorResponse(attempt_response) => {
                self.error_response = Some(attempt_response);
                !can_restart(call, attempts)
            }
            AttemptFailure::Lost(error) => {
                self.error = Some(error);
                !can_restart(call, attempts)
            }
            AttemptFailure::Fatal(error) => {
                self.error = Some(error);
                true
            }
        }
    }

    fn into_result(
        self,
        call: &Call,
        attempts: &EngineAttempts,
        reason: &str,
    ) -> Result<AttemptResponse, Error> {
        if let Some(attempt_response) = self.error_response {
            return Ok(*attempt_response);
        }
        // Once an engine may have run the generation, a later refusal must not report it as not
        // run.
        Err(self.error.unwrap_or_else(|| {
            if attempts.runs == 0 {
                no_capacity_error(call, reason)
            } else {
                may_have_run_error(call, ErrorKind::EndpointLost, reason)
            }
        }))
    }
}

/// Returns how long to wait for capacity.
///
/// A generation that has not run waits as long as its first event can still meet the latency
/// objective; one that may have run waits as long as it can still be served before its deadline.
fn capacity_wait(call: &Call, attempts: &EngineAttempts) -> Duration {
    let typical = call
        .gateway
        .response_time(&call.service, INITIAL_FIRST_EVENT_TIME)
        .typical();
    let budget = if attempts.runs > 0 {
        call.time_left()
    } else {
        call.route.latency_objective.saturating_sub(call.age())
    };
    budget.saturating_sub(typical)
}

/// Waits until an eligible engine is out of cooldown, for at most `wait`. Returns whether there is
/// one, without a wait if an engine is available now.
async fn wait_for_available_engine(call: &Call, attempts: &EngineAttempts, wait: Duration) -> bool {
    let gateway = &call.gateway;
    let wait_deadline = gateway.now().saturating_add(wait);
    let is_excluded = |engine: &EndpointEntry| attempts.excluded.contains(&engine.id);
    match endpoint_cooldowns::service_availability(call, is_excluded, wait_deadline) {
        ServiceAvailability::Available => true,
        ServiceAvailability::AvailableAt { at } => {
            gateway.sleep_until(at).await;
            true
        }
        ServiceAvailability::Unavailable { .. } => false,
    }
}

/// Returns the engines that must not be granted: those that did not accept the generation, those
/// in a cooldown towards this instance, and those that it avoids. The owner does not know of these
/// yet and would grant the engines for as long as they look empty.
fn excluded_engines(call: &Call, attempts: &EngineAttempts) -> Vec<String> {
    let gateway = &call.gateway;
    let mut excluded = gateway.cooling_down_endpoints();
    excluded.extend(attempts.excluded.iter().cloned());
    let avoided = {
        let fleet = gateway.fleet.lock();
        let others = call.eligible_endpoints(&fleet, |engine| excluded.contains(&engine.id));
        gateway.avoided_endpoints(others)
    };
    excluded.extend(avoided);
    excluded.extend(unreached_engines(call, &excluded));
    excluded.into_iter().collect()
}

/// Returns the engines that could not be connected to from here a short time ago; none if there is no
/// other that is not excluded.
fn unreached_engines(call: &Call, excluded: &BTreeSet<String>) -> BTreeSet<String> {
    let unreached = call.gateway.reach.unreached_endpoints();
    if unreached.is_empty() {
        return unreached;
    }
    let fleet = call.gateway.fleet.lock();
    let is_excluded =
        |engine: &EndpointEntry| excluded.contains(&engine.id) || unreached.contains(&engine.id);
    let has_other = call
        .eligible_endpoints(&fleet, is_excluded)
        .next()
        .is_some();
    if has_other {
        unreached
    } else {
        BTreeSet::new()
    }
}

/// Returns how long an engine may take to send its first event: all the time that is left, less the
/// time that another engine needs if one can still be tried.
///
/// A shorter timeout would throw away the part of the prompt that was already read.
fn response_timeout(call: &Call, attempts: &EngineAttempts) -> Duration {
    let left = call.time_left();
    let can_try_another = call.route.resumable && attempts.runs + 1 < call.route.attempts_max;
    if can_try_another {
        let first_event_time = call
            .gateway
            .response_time(&call.service, INITIAL_FIRST_EVENT_TIME);
        left.saturating_sub(first_event_time.typical())
    } else {
        left
    }
}

/// Returns whether the call's regions have an engine that accepts work, or no engine is known.
fn has_allowed_engine(call: &Call) -> bool {
    let fleet = call.gateway.fleet.lock();
    let mut allowed = call.eligible_endpoints(&fleet, |_| false);
    !call.regions.is_restricted() || allowed.next().is_some()
}

fn no_allowed_engine_error(call: &Call) -> Error {
    Error::new(
        ErrorKind::NoEndpoint,
        format!(
            "service {}: no engine in the allowed regions; not run",
            call.service
        ),
    )
    .with_retry_after(capacity_retry_after(call))
}

fn no_capacity_error(call: &Call, reason: &str) -> Error {
    Error::new(
        ErrorKind::NoRoom,
        format!("service {}: {reason}; not run", call.service),
    )
    .with_retry_after(
        endpoint_cooldowns::retry_after_cooldown(call)
            .unwrap_or_else(|| capacity_retry_after(call)),
    )
}

/// Returns when to retry while the engines are full. A caller retries once: if it does so too
/// early, the engines are still overloaded.
fn capacity_retry_after(call: &Call) -> Duration {
    let upper_bound = (call.time_left() / RETRY_AFTER_MAX_DIVISOR).min(EXPECTED_OVERLOAD_DURATION);
    upper_bound.mul_f64(rand::rng().random_range(RETRY_AFTER_MIN_SHARE..1.0))
}

fn log_placement(call: &Call, demand: &RunDemand, granted: &str) {
    if crate::log::should_log("generation placed") {
        info!("generation placed", kv: {
            request_id = demand.run.as_str(), endpoint = granted,
            prompt_tokens: = demand.prompt_tokens,
            made_hint:? = demand.generated_hint_tokens, waited_ms: = millis(call.age()),
        });
    }
}
