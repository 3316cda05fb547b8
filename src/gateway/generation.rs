//! Places a generation on an engine and starts it there.

use std::sync::Arc;
use std::time::Duration;

use http::Response;
use spdlog::info;

use super::call_forwarding::{self, Forwarding};
use super::capacity_wait::{
    capacity_wait, no_allowed_engine_error, no_capacity_error, wait_for_available_engine,
};
use super::crash_suspects::{self, Admission};
use super::engine_attempt::{
    AttemptFailure, AttemptParams, AttemptResponse, INITIAL_FIRST_EVENT_TIME, may_have_run_error,
    try_engine,
};
use super::excluded_engines::excluded_engines;
use super::in_flight::CallPhase;
use super::inbound_call::Call;
use super::placement::{self, CapacityWait, Placement, PlacementRefused};
use super::relay;
use super::response_body::{ResponseBody, full_body};
use super::retry_budgets::RepeatCause;
use super::shutdown::{STOPPING, stopping_error};
use super::started_generation::{
    EngineAttempts, StartedGeneration, StreamSummary, record_generation_end,
};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::engine_ledger::{EngineRequirements, RunDemand};
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
            let outcome = format!("{:?}", error.kind);
            record_generation_end(&call, &outcome, &error.message, &StreamSummary::default());
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
        priority: call.rank(),
        account: call.account.clone(),
        pause_max: call.route.pause_max,
        first_event_within: Some(objective_left(call)),
        wants_copy: wants_copy(call),
        requirements: EngineRequirements {
            version: call
                .version_choice
                .as_ref()
                .map_or(Version::Current, |choice| choice.version(false)),
            regions: call.regions.clone(),
        },
    }
}

/// Returns the time left until the latency objective.
fn objective_left(call: &Call) -> Duration {
    call.route.latency_objective.saturating_sub(call.age())
}

/// Returns whether the generation is lost if its engine crashes. One whose content endpoints have
/// crashed under gets no second engine to crash.
fn wants_copy(call: &Call) -> bool {
    let may_run_again = call.route.resumable && call.route.attempts_max > 1;
    call.gateway.routing.read().load.standby_copies
        && !may_run_again
        && crash_suspects::current_verdict(call) == Verdict::Allowed
}

impl EngineAttempts {
    /// Counts an attempt: a send if a request reached an engine, and a run if the generation may
    /// have run there.
    fn record(&mut self, result: &Result<AttemptResponse, AttemptFailure>) {
        let (sent, may_have_run) = match result {
            Ok(_)
            | Err(
                AttemptFailure::ErrorResponse(_)
                | AttemptFailure::Lost(_)
                | AttemptFailure::MayRun(_),
            ) => (1, 1),
            Err(AttemptFailure::Refused { .. }) => (1, 0),
            Err(
                AttemptFailure::Unsent { .. }
                | AttemptFailure::CrashSuspected
                | AttemptFailure::CoolingDown
                | AttemptFailure::RateLimited
                | AttemptFailure::Stopping
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
        if attempts.runs == 0 {
            call.set_phase(CallPhase::Waiting);
        }
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
        let placed = match find_engine(call, attempts, &mut demand).await {
            Ok(placement) => placement,
            Err(why) => {
                reason.push_str("; ");
                reason.push_str(why);
                break;
            }
        };
        log_placement(call, &demand, &placed);
        let response_timeout = response_timeout(call, attempts);
        let restricted = attempts.restricted;
        let params = AttemptParams {
            granted: &placed.engine,
            copy_at: placed.copy_at.as_deref(),
            counted_at: placed.counted_at,
            last_event_id,
            response_timeout,
            restricted,
            may_have_run: attempts.runs > 0,
            may_try_another: can_try_another(call, attempts),
        };
        let result = try_engine(call, &demand, params).await;
        attempts.record(&result);
        let failure = match result {
            Ok(attempt_response) => return Ok(attempt_response),
            Err(AttemptFailure::Stopping) => break,
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
            .record_unavailable_engine(&call.service, &placed.engine, unavailability);
        gateway.ledgers.runs_changed.notify_one();
        attempts.excluded.push(placed.engine);
    }
    failures.into_result(call, attempts, &reason)
}

/// Waits for an engine that takes work and for capacity there, and returns the placement or why there
/// is none.
async fn find_engine(
    call: &Call,
    attempts: &mut EngineAttempts,
    demand: &mut RunDemand,
) -> Result<Placement, &'static str> {
    let may_have_run = attempts.runs > 0;
    let wait = capacity_wait(call, attempts);
    let waiting = wait_for_available_engine(call, attempts, wait.total);
    match call.run_before_send(may_have_run, waiting).await {
        Some(true) => {}
        Some(false) => return Err("all engines rest, leave or have ended"),
        None => return Err(STOPPING),
    }
    let wait = capacity_wait(call, attempts);
    let excluded = excluded_engines(call, attempts);
    demand.first_event_within = Some(objective_left(call));
    let placing = Box::pin(place(call, demand, &excluded, wait));
    match call.run_before_send(may_have_run, placing).await {
        Some(Ok(placement)) => Ok(placement),
        Some(Err(refused)) => {
            attempts.room_in = refused.room_in;
            Err("no room")
        }
        None => Err(STOPPING),
    }
}

/// Places a generation. One that is drawn for the few engines of a new version does not wait for
/// them, and does not return to them.
async fn place(
    call: &Call,
    demand: &mut RunDemand,
    excluded: &[String],
    wait: CapacityWait,
) -> Result<Placement, PlacementRefused> {
    let gateway = &call.gateway;
    if demand.requirements.version == Version::Target {
        let no_wait = CapacityWait::default();
        let placed = placement::place(gateway, &call.service, demand, excluded, no_wait).await;
        demand.requirements.version = Version::Current;
        if placed.is_ok() {
            return placed;
        }
    }
    placement::place(gateway, &call.service, demand, excluded, wait).await
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
            | AttemptFailure::RateLimited
            | AttemptFailure::Stopping => false,
            AttemptFailure::ErrorResponse(attempt_response) => {
                self.error_response = Some(attempt_response);
                !can_restart(call, attempts)
            }
            AttemptFailure::Lost(error) => {
                self.error = Some(error);
                !can_restart(call, attempts)
            }
            AttemptFailure::MayRun(error) | AttemptFailure::Fatal(error) => {
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
            if attempts.runs == 0 && call.is_too_late_to_send() {
                stopping_error()
            } else if attempts.runs == 0 {
                no_capacity_error(call, attempts, reason)
            } else {
                may_have_run_error(call, ErrorKind::EndpointLost, reason)
            }
        }))
    }
}

/// Returns how long an engine may take to send its first event: all the time that is left, less the
/// time that another engine needs if one can still be tried.
///
/// A shorter timeout would throw away the part of the prompt that was already read.
fn response_timeout(call: &Call, attempts: &EngineAttempts) -> Duration {
    let left = call.time_left();
    if can_try_another(call, attempts) {
        let first_event_time = call
            .gateway
            .response_time(&call.service, INITIAL_FIRST_EVENT_TIME);
        left.saturating_sub(first_event_time.typical())
    } else {
        left
    }
}

/// Returns whether another engine may be tried if the next one loses the generation.
fn can_try_another(call: &Call, attempts: &EngineAttempts) -> bool {
    call.route.resumable && !attempts.restricted && attempts.runs + 1 < call.route.attempts_max
}

/// Returns whether the call's regions have an engine that accepts work, or no engine is known.
fn has_allowed_engine(call: &Call) -> bool {
    let fleet = call.gateway.fleet.lock();
    let mut allowed = call.eligible_endpoints(&fleet, |_| false);
    !call.regions.is_restricted() || allowed.next().is_some()
}

fn log_placement(call: &Call, demand: &RunDemand, placed: &Placement) {
    if demand.wants_copy {
        let outcome = if placed.copy_at.is_some() {
            "begun"
        } else {
            "none"
        };
        metrics::counter!("larkwick_standby_copies_total", "outcome" => outcome).increment(1);
    }
    if crate::log::should_log("generation placed") {
        info!("generation placed", kv: {
            request_id = demand.run.as_str(), endpoint = placed.engine.as_str(),
            copy_at:? = placed.copy_at, prompt_tokens: = demand.prompt_tokens,
            made_hint:? = demand.generated_hint_tokens, waited_ms: = millis(call.age()),
        });
    }
}
