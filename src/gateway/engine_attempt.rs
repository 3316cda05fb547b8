//! One attempt to run a generation at an engine: connecting, sending, and waiting for the head of the
//! response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::aborted_requests;
use super::former_run::{self, FormerRun};
use super::in_flight::CallPhase;
use super::inbound_call::Call;
use super::message_heads::EndpointRequestHead;
use super::runs::{RunCommand, RunHandle, Unavailability};
use super::send_checks::{Withheld, check_before_send};
use super::shutdown::STOPPING;
use super::started_generation::{EngineAttempts, ResponseStream, RunGuard, StartedGeneration};
use super::takeover::{self, Resumed, StallDetector};
use super::upstream::{ConnectionReuse, EndpointResponse, SendError};
use crate::error::{Error, ErrorKind};
use crate::kernel::engine_ledger::RunDemand;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::platform::engine;

/// Initial estimate of the time to the first event, used until a service has samples: what engines
/// with four running generations took to read 2,500 prompt tokens, and the variation of that time.
pub(super) const INITIAL_FIRST_EVENT_TIME: ResponseTimeEstimate =
    ResponseTimeEstimate::initial(0.45, 0.25);
/// Why an attempt to start a generation at an engine did not succeed.
pub(super) enum AttemptFailure {
    /// The engine refused the generation; another engine may be tried.
    Refused {
        reason: String,
        /// Whether another endpoint answered at the engine's address.
        misdirected: bool,
    },
    /// Nothing was sent; another engine may be tried.
    Unsent {
        reason: String,
        /// Whether no connection to the engine could be made.
        unreached: bool,
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
    /// The generation may have run, and its engine may still run it: no other may be tried.
    MayRun(Error),
    /// This instance stops before the generation could be served. Nothing was sent.
    Stopping,
    /// The request cannot be forwarded to any engine; the caller gets this error.
    Fatal(Error),
}

impl AttemptFailure {
    pub(super) fn reason(&self) -> String {
        match self {
            Self::Refused { reason, .. } | Self::Unsent { reason, .. } => reason.clone(),
            Self::CrashSuspected => "endpoints end under it".to_owned(),
            Self::Stopping => STOPPING.to_owned(),
            Self::CoolingDown => "the engine rests".to_owned(),
            Self::RateLimited => "the engine takes no more for now".to_owned(),
            Self::ErrorResponse(attempt_response) => format!(
                "engine answered {}",
                attempt_response.source.response.head.status
            ),
            Self::Lost(error) | Self::MayRun(error) | Self::Fatal(error) => error.message.clone(),
        }
    }

    /// Returns why the engine is reported as unavailable.
    ///
    /// This is reported to all instances that place generations, so that each does not have to find
    /// out by itself: without it, 631 of 3,427 generations were answered by other incarnations than
    /// the expected ones while a quarter of the endpoints restarted six times (one run).
    pub(super) fn unavailability(&self) -> Unavailability {
        match self {
            Self::Unsent {
                unreached: true, ..
            } => Unavailability::Unreached,
            Self::Refused {
                misdirected: true, ..
            } => Unavailability::Gone,
            _ => Unavailability::Refused,
        }
    }
}

impl From<Withheld> for AttemptFailure {
    fn from(withheld: Withheld) -> Self {
        match withheld {
            Withheld::CoolingDown => Self::CoolingDown,
            Withheld::CrashSuspected => Self::CrashSuspected,
            Withheld::Unsent(reason) => Self::Unsent {
                reason: reason.to_owned(),
                unreached: false,
            },
        }
    }
}

/// Parameters of one attempt at an engine.
pub(super) struct AttemptParams<'a> {
    pub(super) granted: &'a str,
    /// Engine that is to keep a copy of the memory.
    pub(super) copy_at: Option<&'a str>,
    /// When the placement was counted against the rate limit that the engine announces, if it was.
    pub(super) counted_at: Option<Duration>,
    /// ID of the last event that the caller received.
    pub(super) last_event_id: Option<&'a str>,
    pub(super) response_timeout: Duration,
    /// Whether the request is a crash suspect that may be sent only to some endpoints.
    pub(super) restricted: bool,
    /// Whether an engine may have run the generation before.
    pub(super) may_have_run: bool,
    /// Whether another engine may be tried if this one loses the generation.
    pub(super) may_try_another: bool,
}

/// Registers a generation as running at an engine.
fn register_run(
    call: &Arc<Call>,
    demand: &RunDemand,
    engine: &EndpointEntry,
    copy_at: Option<EndpointEntry>,
) -> (RunGuard, mpsc::UnboundedReceiver<RunCommand>) {
    let (sender, commands) = mpsc::unbounded_channel();
    let run = Arc::new(RunHandle {
        service: call.service.clone(),
        demand: demand.clone(),
        endpoint: Mutex::new(engine.clone()),
        copy_at: Mutex::new(copy_at),
        generated_tokens: AtomicU32::new(0),
        is_moving: AtomicBool::new(false),
        commands: sender,
    });
    call.gateway.runs.insert(run.clone());
    let run_guard = RunGuard {
        call: call.clone(),
        run,
    };
    (run_guard, commands)
}

pub(super) async fn try_engine(
    call: &Arc<Call>,
    demand: &RunDemand,
    params: AttemptParams<'_>,
) -> Result<AttemptResponse, AttemptFailure> {
    let AttemptParams {
        granted,
        copy_at,
        counted_at,
        last_event_id,
        response_timeout,
        restricted,
        may_have_run,
        may_try_another,
    } = params;
    let gateway = &call.gateway;
    let (endpoint, keeper) = {
        let fleet = gateway.fleet.lock();
        let keeper = copy_at.and_then(|keeper| fleet.get(keeper));
        (fleet.get(granted).cloned(), keeper.cloned())
    };
    let keeper_address = keeper.as_ref().map(|keeper| keeper.address);
    let unsent = |reason: &str| AttemptFailure::Unsent {
        reason: reason.to_owned(),
        unreached: false,
    };
    let endpoint = endpoint.ok_or_else(|| unsent("engine unknown here"))?;
    let (run_guard, commands) = register_run(call, demand, &endpoint, keeper);
    let max_open = gateway.connections_max(&call.table, &call.service);
    // A generation is sent once, so it would be lost on a pooled connection that is dead. A new
    // connection costs one round trip of the latency objective.
    let connecting =
        gateway
            .upstream
            .acquire_connection(&endpoint, max_open, ConnectionReuse::Never);
    let connection = call.run_before_send(may_have_run, connecting).await;
    let connection = connection.ok_or(AttemptFailure::Stopping)?;
    let connection = connection.map_err(|error| AttemptFailure::Unsent {
        reason: error.to_string(),
        unreached: error.is_unreached(),
    })?;
    let permit = match counted_at {
        Some(_) => Some(gateway.permit_for_placement(granted, counted_at)),
        None => gateway.request_permit(&call.service, granted).await,
    };
    let permit = permit.ok_or(AttemptFailure::RateLimited)?;
    check_before_send(call, &endpoint, restricted, Duration::ZERO)?;
    let send = EndpointRequestHead {
        copy_at: keeper_address,
        ..call.endpoint_head(&endpoint, last_event_id)
    };
    let request = engine::build_forwarded_request(&call.parts, call.body.clone(), &send).map_err(
        |error| AttemptFailure::Fatal(Error::new(ErrorKind::BadRequest, error.to_string())),
    )?;
    let sent_at = gateway.now();
    call.set_phase(CallPhase::Sent);
    gateway.record_rollout_send(call, &endpoint);
    let sending = connection.send(request, permit);
    let attempt = SentGeneration {
        call,
        demand,
        engine: &endpoint,
        sent_at,
    };
    // Boxed, as what follows a failure, to keep the future of every generation small.
    let awaiting = Box::pin(await_response_head(call, &endpoint, last_event_id, sending));
    let awaiting = gateway.wait_for(response_timeout, awaiting);
    let awaited = match gateway.run_until_last_answer(awaiting).await {
        None => Ok(Awaited::InstanceStops),
        Some(None) => Ok(Awaited::TimedOut),
        Some(Some(awaited)) => awaited,
    };
    let is_stalled = matches!(awaited, Ok(Awaited::Stalled(_)));
    let may_take_over =
        may_try_another || (is_stalled && !takeover::has_left_too_long_ago(call, &endpoint));
    let response = match attempt.check(awaited).await {
        Err(AttemptFailure::Lost(error)) if may_take_over => {
            let leaving = take_over_or_leave(call, &run_guard.run, last_event_id, error.clone());
            let leaving = Box::pin(leaving);
            let left = gateway.run_until_last_answer(leaving).await;
            left.unwrap_or_else(|| Err(AttemptFailure::Lost(error)))
        }
        checked => checked,
    };
    let response = match response {
        Err(failure) if is_stalled => {
            attempt.report_abort().await;
            return Err(failure);
        }
        response => response?,
    };
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

/// A generation that was sent to an engine.
struct SentGeneration<'a> {
    call: &'a Call,
    demand: &'a RunDemand,
    engine: &'a EndpointEntry,
    sent_at: Duration,
}

impl SentGeneration<'_> {
    /// Records that no response came in time, unless the call had less time left than engines usually
    /// take.
    fn record_timeout(&self) {
        let gateway = &self.call.gateway;
        let usual_max = gateway
            .response_time(&self.call.service, INITIAL_FIRST_EVENT_TIME)
            .overdue();
        if gateway.now().saturating_sub(self.sent_at) >= usual_max {
            record_outcome(self.call, self.engine, true, self.sent_at);
        }
    }

    /// Reports that the engine aborted it.
    async fn report_abort(&self) {
        aborted_requests::report(self.call, self.engine.clone(), Duration::ZERO).await;
        record_outcome(self.call, self.engine, true, self.sent_at);
    }

    /// Records and checks what came of it.
    async fn check(
        &self,
        result: Result<Awaited, SendError>,
    ) -> Result<EndpointResponse, AttemptFailure> {
        let call = self.call;
        match result {
            Ok(Awaited::InstanceStops) => Err(lost_run(call, ErrorKind::EndpointLost, STOPPING)),
            Ok(Awaited::TimedOut) => {
                self.record_timeout();
                let kind = ErrorKind::AnswerTimeout;
                Err(lost_run(call, kind, "no event in time"))
            }
            Ok(Awaited::Stalled(reason)) => Err(lost_run(call, ErrorKind::EndpointLost, reason)),
            Ok(Awaited::Response(response)) => {
                check_response(call, self.demand, &response)?;
                Ok(*response)
            }
            Err(SendError::Unsent(reason)) => Err(AttemptFailure::Unsent {
                reason,
                unreached: false,
            }),
            Err(SendError::NoPermit) => Err(AttemptFailure::RateLimited),
            Err(SendError::MayHaveRun(reason)) => {
                self.report_abort().await;
                Err(lost_run(call, ErrorKind::EndpointLost, &reason))
            }
        }
    }
}

/// What came of a generation that was sent.
enum Awaited {
    /// The head of a response.
    Response(Box<EndpointResponse>),
    /// The connection is dead, for this reason; the engine may run the generation.
    Stalled(&'static str),
    /// There was no response in time.
    TimedOut,
    /// This instance stops before there could be a response.
    InstanceStops,
}

/// Asks the engine of a generation that was lost before its first event to stop it, before another
/// engine may be tried. If the engine still ran it, returns the response with which it goes on.
async fn take_over_or_leave(
    call: &Arc<Call>,
    run: &RunHandle,
    last_event_id: Option<&str>,
    error: Error,
) -> Result<EndpointResponse, AttemptFailure> {
    let engine = run.endpoint.lock().clone();
    let former = former_run::stop_former_run(call, run, &engine, &error.message, None).await;
    let continuation = match former {
        FormerRun::Stopped(continuation) => continuation,
        former if former.allows_restart() => return Err(AttemptFailure::Lost(error)),
        _ => return Err(AttemptFailure::MayRun(error)),
    };
    let resumed = takeover::resume_or_return(call, run, *continuation, last_event_id).await;
    match resumed {
        Ok(resumed) => Ok(go_on_at(call, run, resumed)),
        Err(not_resumed) if not_resumed.may_run => Err(AttemptFailure::MayRun(error)),
        Err(_) => Err(AttemptFailure::Lost(error)),
    }
}

/// Records the engine at which a generation goes on, and returns its response.
fn go_on_at(call: &Call, run: &RunHandle, resumed: Resumed) -> EndpointResponse {
    run.set_engine(resumed.continuation.target);
    call.gateway.ledgers.runs_changed.notify_one();
    resumed.response
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
    // Its caller would send it again.
    if response.head.unproved_refusal {
        let reason = format!("engine answered {}", response.head.status);
        return Err(lost_run(call, ErrorKind::EndpointLost, &reason));
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

/// Waits for the head of an engine's response, or until the engine has generated events that did
/// not arrive.
async fn await_response_head(
    call: &Arc<Call>,
    engine: &EndpointEntry,
    last_event_id: Option<&str>,
    sending: impl Future<Output = Result<EndpointResponse, SendError>>,
) -> Result<Awaited, SendError> {
    tokio::pin!(sending);
    let mut stall_detector = StallDetector::start();
    let received_events = last_event_id.and_then(|id| id.parse().ok());
    loop {
        let sent = call
            .gateway
            .wait_for(stall_detector.query_after, &mut sending);
        if let Some(result) = sent.await {
            return result.map(|response| Awaited::Response(Box::new(response)));
        }
        // It was sent while the engine was being probed, and will not be answered.
        if call.gateway.presence_probes.is_unanswered(&engine.id) {
            return Err(SendError::MayHaveRun("the engine has ended".to_owned()));
        }
        if let Some(reason) = stall_detector
            .query_engine(call, engine, received_events.unwrap_or_default())
            .await
        {
            return Ok(Awaited::Stalled(reason));
        }
    }
}

/// An engine's response, not yet joined with the attempts before it.
pub(super) struct AttemptResponse {
    pub(super) source: ResponseStream,
    run_guard: RunGuard,
    commands: mpsc::UnboundedReceiver<RunCommand>,
}

impl AttemptResponse {
    pub(super) fn into_started(self, attempts: EngineAttempts) -> StartedGeneration {
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

pub(super) fn may_have_run_error(call: &Call, kind: ErrorKind, reason: &str) -> Error {
    let service = &call.service;
    Error::new(
        kind,
        format!("service {service}: {reason}; it may have run"),
    )
}
