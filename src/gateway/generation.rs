//! Places a generation on an engine and starts it there.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use http::Response;
use parking_lot::Mutex;
use rand::RngExt;
use spdlog::info;
use tokio::sync::mpsc;

use super::aborted_requests;
use super::coordinator::{self, Placement};
use super::crash_suspects::{self, Admission};
use super::endpoint_cooldowns;
use super::inbound_call::Call;
use super::message_heads::EndpointRequestHead;
use super::relay;
use super::response_body::{ResponseBody, full_body};
use super::runs::{RunCommand, RunHandle};
use super::started_generation::{
    EngineAttempts, ResponseStream, RunGuard, StartedGeneration, record_generation_end,
};
use super::takeover::{self, StallDetector};
use super::upstream::{ConnectError, ConnectionReuse, EndpointResponse, SendError};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::engine_ledger::{EngineRequirements, RunDemand};
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::kernel::rollout_evidence::Version;
use crate::platform::{engine, ingress};

/// Maximum number of engines that are tried for one generation.
const ENGINE_ATTEMPTS_MAX: u32 = 5;
/// Initial estimate of the time to the first event, used until a service has samples: what engines
/// with four running generations took to read 2,500 prompt tokens, and the variation of that time.
const INITIAL_FIRST_EVENT_TIME: ResponseTimeEstimate = ResponseTimeEstimate::initial(0.45, 0.25);
/// Minimum time left before the caller's deadline for restarting a generation, since its prompt has
/// to be read once more.
const RESTART_TIME_LEFT_MIN: Duration = Duration::from_millis(300);
/// Callers honour a `Retry-After` of at most their remaining time divided by this; the users of the
/// service state this.
const RETRY_AFTER_MAX_DIVISOR: u32 = 3;
/// Prior for how long engines stay full once they are.
///
/// With a `Retry-After` of 1 s, 90 of 1,450 generations were finally refused instead of 55, and the
/// mean worth (the mean value of the answers of a simulated day, from 0 to 1) fell by 0.016 (two
/// days with bursts and dead engines, six seeds each).
const EXPECTED_OVERLOAD_DURATION: Duration = Duration::from_secs(5);
/// Lower end of the random `Retry-After`, as a share of its upper end. The spread keeps callers
/// from retrying at the same moment.
const RETRY_AFTER_MIN_SHARE: f64 = 0.6;
/// Assumed sizes of a medium request, for callers that send no token counts.
const DEFAULT_PROMPT_TOKENS: u32 = 1_000;
const DEFAULT_GENERATED_TOKENS: u32 = 500;

/// Handles a call for a generation and returns the response that streams its events.
pub(crate) async fn handle_call(call: Call) -> Response<ResponseBody> {
    call.gateway.record_first_attempt(&call.service);
    let call = Arc::new(call);
    match start_generation(&call).await {
        Ok(started) => relay::forward_response(call, started),
        Err(error) => {
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

/// Why an attempt to start a generation at an engine did not succeed.
enum AttemptFailure {
    /// The engine refused the generation; another engine may be tried.
    Refused {
        reason: String,
        /// Whether another endpoint answered at the engine's address.
        misdirected: bool,
    },
    /// Nothing was sent; another engine may be tried.
    Unsent {
        reason: String,
        /// Whether the connection was refused at the engine's address.
        connection_refused: bool,
    },
    /// The request became a refused crash suspect after its placement. Nothing was sent.
    CrashSuspected,
    /// The engine entered a cooldown after the placement. Nothing was sent.
    CoolingDown,
    /// The rate limit that the engine announces for all instances is used up. Nothing was sent.
    RateLimited,
    /// The engine answered with a server error. Another engine may be tried if the route's
    /// generations are resumable.
    ErrorResponse(Box<AttemptResponse>),
    /// The generation may have run. Another engine may be tried if the route's generations are
    /// resumable.
    Lost(Error),
    /// The request cannot be forwarded to any engine; the caller gets this error.
    Fatal(Error),
}

impl AttemptFailure {
    fn reason(&self) -> String {
        match self {
            Self::Refused { reason, .. } | Self::Unsent { reason, .. } => reason.clone(),
            Self::CrashSuspected => "endpoints end under it".to_owned(),
            Self::CoolingDown => "the engine rests".to_owned(),
            Self::RateLimited => "the engine takes no more for now".to_owned(),
            Self::ErrorResponse(attempt_response) => format!(
                "engine answered {}",
                attempt_response.source.response.head.status
            ),
            Self::Lost(error) | Self::Fatal(error) => error.message.clone(),
        }
    }

    /// Returns whether the engine is gone from its address: the connection was refused, or another
    /// endpoint answered there.
    ///
    /// This is reported to all instances that place generations, so that each does not have to find
    /// out by itself: without it, 631 of 3,427 generations were answered by other incarnations than
    /// the expected ones while a quarter of the endpoints restarted six times (one run).
    fn is_engine_gone(&self) -> bool {
        matches!(
            self,
            Self::Unsent {
                connection_refused: true,
                ..
            } | Self::Refused {
                misdirected: true,
                ..
            }
        )
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

async fn start_generation(call: &Arc<Call>) -> Result<StartedGeneration, Error> {
    let last_event_id = last_event_id(call);
    start_from_event(call, EngineAttempts::default(), last_event_id).await
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

/// Tries one engine after another until one starts to answer, after the event `last_event_id` if it
/// is given.
pub(crate) async fn start_from_event(
    call: &Arc<Call>,
    mut attempts: EngineAttempts,
    last_event_id: Option<&str>,
) -> Result<StartedGeneration, Error> {
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
        if attempts.sends > 0 && !gateway.try_spend_retry(&call.service) {
            reason.push_str("; retry budget spent");
            break;
        }
        let wait = capacity_wait(call, &attempts);
        if !wait_for_available_engine(call, &attempts, wait).await {
            reason.push_str("; all engines rest or leave");
            break;
        }
        let wait = capacity_wait(call, &attempts);
        let excluded = excluded_engines(call, &attempts);
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
        let response_timeout = response_timeout(call, &attempts);
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
            Ok(attempt_response) => return Ok(attempt_response.into_started(attempts)),
            Err(
                AttemptFailure::CrashSuspected
                | AttemptFailure::CoolingDown
                | AttemptFailure::RateLimited,
            ) => continue,
            Err(failure) => failure,
        };
        reason = failure.reason();
        let is_engine_gone = failure.is_engine_gone();
        if failures.record(call, &attempts, failure) {
            break;
        }
        gateway
            .runs
            .record_unavailable_engine(&call.service, &granted, is_engine_gone);
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
        attempts: EngineAttempts,
        reason: &str,
    ) -> Result<StartedGeneration, Error> {
        if let Some(attempt_response) = self.error_response {
            return Ok(attempt_response.into_started(attempts));
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

/// Returns the engines that must not be granted: those that did not accept the generation, and
/// those in a cooldown towards this instance. The owner did not receive these cooldowns and would
/// grant the engines for as long as they look empty.
fn excluded_engines(call: &Call, attempts: &EngineAttempts) -> Vec<String> {
    let mut excluded = call.gateway.cooling_down_endpoints();
    excluded.extend(attempts.excluded.iter().cloned());
    excluded.into_iter().collect()
}

/// Returns how long an engine may take to send its first event: all the time that is left, less the
/// time that another engine needs if one can still be tried.
///
/// A shorter timeout throws away the part of the prompt that was already read. When the timeout
/// still left a retry just enough time for the latency objective, 8.7 of 295 short generations were
/// late, and 0 with this rule (mean of six seeds of a quiet day).
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
    let ready = || fleet.ready_endpoints(&call.service);
    !call.regions.is_restricted() || ready().any(|engine| call.is_region_allowed(engine))
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

/// Parameters of one attempt at an engine.
struct AttemptParams<'a> {
    granted: &'a str,
    /// When the placement was counted against the rate limit that the engine announces, if it was.
    counted_at: Option<Duration>,
    /// ID of the last event that the caller received.
    last_event_id: Option<&'a str>,
    response_timeout: Duration,
    /// Whether the request is a crash suspect that may be sent only to some endpoints.
    restricted: bool,
}

/// Registers a generation as running at an engine.
fn register_run(
    call: &Arc<Call>,
    demand: &RunDemand,
    engine: &EndpointEntry,
) -> (RunGuard, mpsc::UnboundedReceiver<RunCommand>) {
    let (sender, commands) = mpsc::unbounded_channel();
    let run = Arc::new(RunHandle {
        service: call.service.clone(),
        demand: demand.clone(),
        endpoint: Mutex::new(engine.clone()),
        generated_tokens: AtomicU32::new(0),
        commands: sender,
    });
    call.gateway.runs.insert(run.clone());
    let run_guard = RunGuard {
        call: call.clone(),
        run,
    };
    (run_guard, commands)
}

async fn try_engine(
    call: &Arc<Call>,
    demand: &RunDemand,
    params: AttemptParams<'_>,
) -> Result<AttemptResponse, AttemptFailure> {
    let AttemptParams {
        granted,
        counted_at,
        last_event_id,
        response_timeout,
        restricted,
    } = params;
    let gateway = &call.gateway;
    let endpoint = gateway.fleet.lock().get(granted).cloned();
    let unsent = |reason: &str| AttemptFailure::Unsent {
        reason: reason.to_owned(),
        connection_refused: false,
    };
    let endpoint = endpoint.ok_or_else(|| unsent("engine unknown here"))?;
    let (run_guard, commands) = register_run(call, demand, &endpoint);
    let max_open = gateway.connections_max(&call.table, &call.service);
    // A generation is sent once, so it would be lost on a pooled connection that is dead. A new
    // connection costs one round trip of the latency objective.
    let connection = gateway
        .upstream
        .acquire_connection(&endpoint, max_open, ConnectionReuse::Never)
        .await;
    let connection = connection.map_err(|error| AttemptFailure::Unsent {
        reason: error.to_string(),
        connection_refused: matches!(error, ConnectError::Refused(_)),
    })?;
    let permit = match counted_at {
        Some(_) => Some(gateway.permit_for_placement(granted, counted_at)),
        None => gateway.request_permit(&call.service, granted).await,
    };
    let permit = permit.ok_or(AttemptFailure::RateLimited)?;
    check_before_send(call, &endpoint, restricted)?;
    let send = EndpointRequestHead {
        endpoint_id: &endpoint.listed_id,
        time_left: call.time_left(),
        account: call.account.as_deref(),
        priority: None,
        continue_from: None,
        last_event_id,
    };
    let request = engine::build_forwarded_request(&call.parts, call.body.clone(), &send).map_err(
        |error| AttemptFailure::Fatal(Error::new(ErrorKind::BadRequest, error.to_string())),
    )?;
    let sent_at = gateway.now();
    gateway.record_rollout_send(call, &endpoint);
    let sending = connection.send(request, permit);
    let response_future = await_response_head(call, &run_guard.run, last_event_id, sending);
    let response = match gateway.wait_for(response_timeout, response_future).await {
        Some(Ok(response)) => response,
        Some(Err(SendError::Unsent(reason))) => return Err(unsent(&reason)),
        Some(Err(SendError::NoPermit)) => return Err(AttemptFailure::RateLimited),
        Some(Err(SendError::MayHaveRun(reason))) => {
            record_outcome(call, &endpoint, true, sent_at);
            aborted_requests::report(call, endpoint, Duration::ZERO).await;
            return Err(lost_run(call, ErrorKind::EndpointLost, &reason));
        }
        None => {
            record_outcome(call, &endpoint, true, sent_at);
            return Err(lost_run(call, ErrorKind::AnswerTimeout, "no event in time"));
        }
    };
    check_response(call, demand, &response)?;
    let is_server_error_response = response.parts.status.is_server_error();
    record_outcome(call, &endpoint, is_server_error_response, sent_at);
    let attempt_response = AttemptResponse {
        source: ResponseStream::new(response),
        run_guard,
        commands,
    };
    if is_server_error_response {
        return Err(AttemptFailure::ErrorResponse(Box::new(attempt_response)));
    }
    let elapsed = gateway.now().saturating_sub(sent_at);
    gateway.record_response_time(&call.service, INITIAL_FIRST_EVENT_TIME, elapsed);
    Ok(attempt_response)
}

/// Checks that a response is the engine's own answer to this generation.
fn check_response(
    call: &Call,
    demand: &RunDemand,
    response: &EndpointResponse,
) -> Result<(), AttemptFailure> {
    if response
        .head
        .request_id
        .as_deref()
        .is_some_and(|id| id != demand.run)
    {
        return Err(lost_run(
            call,
            ErrorKind::EndpointLost,
            "answer of another request",
        ));
    }
    if response.head.not_run {
        let status = response.head.status;
        return Err(AttemptFailure::Refused {
            reason: format!("engine refused: {status}"),
            misdirected: response.head.misdirected,
        });
    }
    let is_valid =
        response.head.sealed && !response.head.encoded && response.head.request_id.is_some();
    if response.parts.status.is_success() && !is_valid {
        return Err(lost_run(
            call,
            ErrorKind::EndpointLost,
            "not the engine's own answer",
        ));
    }
    Ok(())
}

/// Records how a version of the service handled a generation that was sent at `sent_at`.
fn record_outcome(call: &Call, endpoint: &EndpointEntry, failed: bool, sent_at: Duration) {
    let gateway = &call.gateway;
    let latency = gateway.now().saturating_sub(sent_at);
    gateway.record_rollout_outcome(call, endpoint, failed, latency);
}

/// Repeats the checks right before sending: updates may have arrived since the placement, or the
/// machine may have been suspended.
fn check_before_send(
    call: &Call,
    engine: &EndpointEntry,
    restricted: bool,
) -> Result<(), AttemptFailure> {
    let unsent = |reason: &str| AttemptFailure::Unsent {
        reason: reason.to_owned(),
        connection_refused: false,
    };
    if !call.gateway.fleet.lock().can_accept_work(&engine.id) {
        return Err(unsent("the engine is leaving"));
    }
    if call.gateway.is_cooling_down(&engine.id) {
        return Err(AttemptFailure::CoolingDown);
    }
    if !restricted && crash_suspects::current_verdict(call) == Verdict::Refused {
        return Err(AttemptFailure::CrashSuspected);
    }
    if call.time_left().is_zero() {
        return Err(unsent("no time left"));
    }
    Ok(())
}

/// Waits for the head of an engine's response. If the stream stalls although the engine has
/// generated events, the generation is resumed on a new connection.
async fn await_response_head(
    call: &Arc<Call>,
    run: &RunHandle,
    last_event_id: Option<&str>,
    sending: impl Future<Output = Result<EndpointResponse, SendError>>,
) -> Result<EndpointResponse, SendError> {
    tokio::pin!(sending);
    let mut stall_detector = StallDetector::start();
    let received_events = last_event_id.and_then(|id| id.parse().ok());
    let reason = loop {
        let sent = call
            .gateway
            .wait_for(stall_detector.query_after, &mut sending);
        if let Some(result) = sent.await {
            return result;
        }
        let engine = run.endpoint.lock().clone();
        if let Some(reason) = stall_detector
            .query_engine(call, &engine, received_events.unwrap_or_default())
            .await
        {
            break reason;
        }
    };
    let may_have_run = |reason: String| SendError::MayHaveRun(reason);
    let taken_over = takeover::take_over(call, run, reason).await;
    let continuation = taken_over.ok_or_else(|| may_have_run(reason.to_owned()))?;
    let response = takeover::resume(call, &continuation, last_event_id).await;
    let response = response.map_err(may_have_run)?;
    *run.endpoint.lock() = continuation.target;
    call.gateway.ledgers.runs_changed.notify_one();
    Ok(response)
}

/// An engine's response, not yet joined with the attempts before it.
struct AttemptResponse {
    source: ResponseStream,
    run_guard: RunGuard,
    commands: mpsc::UnboundedReceiver<RunCommand>,
}

impl AttemptResponse {
    fn into_started(self, attempts: EngineAttempts) -> StartedGeneration {
        StartedGeneration {
            source: self.source,
            run_guard: self.run_guard,
            commands: self.commands,
            attempts,
        }
    }
}

/// Returns the failure of an attempt whose generation may have run.
fn lost_run(call: &Call, kind: ErrorKind, reason: &str) -> AttemptFailure {
    AttemptFailure::Lost(may_have_run_error(call, kind, reason))
}

fn may_have_run_error(call: &Call, kind: ErrorKind, reason: &str) -> Error {
    let service = &call.service;
    Error::new(
        kind,
        format!("service {service}: {reason}; it may have run"),
    )
}
