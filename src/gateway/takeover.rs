//! Detects generations that still run at an engine although their connection is dead, since an open
//! connection may stop delivering data without an error, and resumes stopped generations from their
//! KV-cache memory on a new connection.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use super::former_run::{self, FormerRun};
use super::inbound_call::Call;
use super::message_heads::{ContinueFrom, EndpointRequestHead};
use super::retry_budgets::RepeatCause;
use super::runs::{Continuation, RunHandle, Unavailability};
use super::upstream::{ConnectionReuse, EndpointResponse, SendError};
use super::{crash_suspects, engine_reports};
use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::fleet::EndpointEntry;
use crate::platform::engine;

/// Time without an event after which the engine is asked whether it has generated some; each
/// further query waits twice as long. A dead connection looks the same as a generation that waits
/// for memory. Callers leave after two or more seconds without an event.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the first event of a continuation.
const RESUME_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long after the notice that an engine is leaving a generation is still resumed at that
/// engine, if the engine stopped it. Two seconds are allowed from when the first instance learned
/// of it; the others learn of it within half a second.
const RESUME_AFTER_LEAVING_MAX: Duration = Duration::from_millis(1_300);

/// State of a generation with a stalled stream, as its engine reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportedState {
    /// The engine generated events that did not arrive: the connection is dead.
    AheadOfStream,
    /// The engine no longer has the generation.
    Done,
    /// The generation waits at the engine, or nothing is known.
    Unknown,
}

/// Asks an engine for the state of a generation whose first `received_events` events have arrived.
async fn query_state(call: &Call, engine: &EndpointEntry, received_events: u64) -> ReportedState {
    let report = engine_reports::read_report(&call.gateway, engine, REPORT_TIMEOUT).await;
    let Some(report) = report else {
        return ReportedState::Unknown;
    };
    let request_id = &call.head.request_id;
    if report
        .generated_events(request_id)
        .is_some_and(|generated| generated > received_events)
    {
        ReportedState::AheadOfStream
    } else if report.is_done_with(request_id) {
        ReportedState::Done
    } else {
        ReportedState::Unknown
    }
}

/// Detects that the stream of a generation has stalled.
#[derive(Debug)]
pub(super) struct StallDetector {
    /// Time until the engine is queried, counted from the last event or query.
    pub(super) query_after: Duration,
    /// Whether the engine was done with the generation at the previous query. Its last events may
    /// still be in transit on a link that loses packets.
    was_done: bool,
}

impl StallDetector {
    /// Starts counting from the last event, which arrived just now.
    pub(super) const fn start() -> Self {
        Self {
            query_after: STALL_TIMEOUT,
            was_done: false,
        }
    }

    /// Queries the engine and returns why its connection is given up, if it is.
    ///
    /// The caller of a generation whose end was lost gets an error within three seconds. Without
    /// this, three of fourteen calls of a run with dead connections waited for their 20 s deadline.
    pub(super) async fn query_engine(
        &mut self,
        call: &Call,
        engine: &EndpointEntry,
        received_events: u64,
    ) -> Option<&'static str> {
        self.query_after *= 2;
        let state = query_state(call, engine, received_events).await;
        let was_done = std::mem::replace(&mut self.was_done, state == ReportedState::Done);
        match state {
            ReportedState::AheadOfStream => Some("the engine has made events that did not come"),
            ReportedState::Done if was_done => {
                Some("the engine is done with it, and its end did not come")
            }
            ReportedState::Done | ReportedState::Unknown => None,
        }
    }
}

/// Returns whether an engine has been leaving, or its hall evacuated, for so long that nothing may
/// be sent to it any more.
pub(super) fn has_left_too_long_ago(call: &Call, endpoint: &EndpointEntry) -> bool {
    let gateway = &call.gateway;
    let closed_for = gateway.fleet.lock().closed_for(&endpoint.id, gateway.now());
    closed_for.is_some_and(|closed_for| closed_for > RESUME_AFTER_LEAVING_MAX)
}

/// Why a continuation did not start.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResumeError {
    /// Nothing was sent.
    #[error("{0}")]
    Unsent(String),
    /// The engine refused it.
    #[error("{0}")]
    Refused(String),
    /// It was sent without a valid answer. The engine may run it.
    #[error("{0}")]
    Lost(String),
}

fn unsent(reason: &str) -> ResumeError {
    ResumeError::Unsent(reason.to_owned())
}

/// Resumes a generation at the engine that has its memory, after the last received event. Spends a
/// retry if the engine does not accept it.
pub(super) async fn resume(
    call: &Call,
    continuation: &mut Continuation,
    cause: RepeatCause,
    last_event_id: Option<&str>,
) -> Result<EndpointResponse, ResumeError> {
    let started_at = call.gateway.now();
    let sending = send_continuation(call, continuation, last_event_id);
    let sent = tokio::time::timeout(RESUME_TIMEOUT, sending).await;
    let resumed = sent.unwrap_or_else(|_| Err(ResumeError::Lost("no event in time".to_owned())));
    if let Err(ResumeError::Refused(_) | ResumeError::Lost(_)) = resumed {
        continuation.reservation.spend();
    }
    if !matches!(resumed, Err(ResumeError::Unsent(_))) {
        call.gateway.log_repeat(call.repeat(cause), "true");
    }
    let pause_ms = millis(call.gateway.now().saturating_sub(started_at));
    if crate::log::should_log("generation moved") {
        let error = resumed.as_ref().err().map(ToString::to_string);
        info!("generation moved", kv: {
            request_id = call.head.request_id.as_str(), target = continuation.target.id.as_str(),
            outcome = error.as_deref().unwrap_or("gone on"), pause_ms:, last_event_id:?,
        });
    }
    resumed
}

/// A generation that goes on at an engine.
pub(super) struct Resumed {
    pub(super) continuation: Continuation,
    pub(super) response: EndpointResponse,
}

/// Why a stopped generation goes on nowhere.
#[derive(Debug)]
pub(super) struct NotResumed {
    pub(super) reason: String,
    /// Whether an engine may run it, so that it must not be started again.
    pub(super) may_run: bool,
}

/// Resumes a stopped generation at the target of its continuation. If the target refuses, resumes it
/// at the engine that stopped it, which still holds its memory.
///
/// A target that gives no valid answer may run it, and is asked to stop it before it goes on
/// elsewhere.
pub(super) async fn resume_or_return(
    call: &Arc<Call>,
    run: &RunHandle,
    mut continuation: Continuation,
    last_event_id: Option<&str>,
) -> Result<Resumed, NotResumed> {
    let previous = run.endpoint.lock().clone();
    let mut cause = RepeatCause::Move;
    let mut may_stop_target = true;
    loop {
        let error = match resume(call, &mut continuation, cause, last_event_id).await {
            Ok(response) => {
                return Ok(Resumed {
                    continuation,
                    response,
                });
            }
            Err(error) => error,
        };
        let target = continuation.target.clone();
        if target.id != previous.id && !matches!(error, ResumeError::Unsent(_)) {
            let runs = &call.gateway.runs;
            runs.record_unavailable_engine(&call.service, &target.id, Unavailability::Refused);
        }
        if let ResumeError::Lost(reason) = &error {
            let other = Some(&previous).filter(|previous| previous.id != target.id);
            match former_run::stop_former_run(call, run, &target, reason, other).await {
                FormerRun::Stopped(next) if may_stop_target => {
                    may_stop_target = false;
                    continuation = *next;
                    continue;
                }
                former if !former.allows_restart() => {
                    return Err(NotResumed {
                        reason: error.to_string(),
                        may_run: true,
                    });
                }
                _ => {}
            }
        }
        if target.id == previous.id {
            return Err(NotResumed {
                reason: error.to_string(),
                may_run: false,
            });
        }
        continuation.target = previous.clone();
        continuation.counted = false;
        cause = RepeatCause::Return;
    }
}

async fn send_continuation(
    call: &Call,
    continuation: &Continuation,
    last_event_id: Option<&str>,
) -> Result<EndpointResponse, ResumeError> {
    let target = &continuation.target;
    if has_left_too_long_ago(call, target) {
        return Err(unsent("the engine that has its memory left too long ago"));
    }
    if crash_suspects::current_verdict(call) == Verdict::Refused {
        return Err(unsent("endpoints end under it"));
    }
    if !call.gateway.try_admit_exempt(&target.id) {
        return Err(unsent("the engine that has its memory rests"));
    }
    let permit = if continuation.counted {
        let now = call.gateway.now();
        Some(call.gateway.permit_for_placement(&target.id, Some(now)))
    } else {
        call.gateway
            .wait_for_permit(&call.service, &target.id)
            .await
    };
    let permit =
        permit.ok_or_else(|| unsent("the engine that has its memory takes no more for now"))?;
    let upstream = &call.gateway.upstream;
    let connection = upstream
        .acquire_connection(target, usize::MAX, ConnectionReuse::Never)
        .await;
    let connection = connection.map_err(|error| unsent(&error.to_string()))?;
    let send = EndpointRequestHead {
        continue_from: Some(ContinueFrom {
            copy_address: continuation.copy_address,
            copy: &continuation.copy,
        }),
        ..call.endpoint_head(target, Some(last_event_id.unwrap_or("0")))
    };
    let request = engine::build_forwarded_request(&call.parts, call.body.clone(), &send);
    let request = request.map_err(|error| unsent(&error.to_string()))?;
    let response = connection.send(request, permit).await;
    let response = response.map_err(|failure| match failure {
        SendError::MayHaveRun(_) => ResumeError::Lost(failure.to_string()),
        SendError::Unsent(_) | SendError::NoPermit => ResumeError::Unsent(failure.to_string()),
    })?;
    check_resumed(call, &response)?;
    Ok(response)
}

/// Checks that a response continues the generation.
fn check_resumed(call: &Call, response: &EndpointResponse) -> Result<(), ResumeError> {
    let head = &response.head;
    let lost = |reason: &str| Err(ResumeError::Lost(reason.to_owned()));
    if head
        .request_id
        .as_deref()
        .is_some_and(|id| id != call.head.request_id)
    {
        return lost("the answer belongs to another request");
    }
    if response.parts.status != http::StatusCode::OK {
        return Err(ResumeError::Refused(format!(
            "engine answered {}",
            head.status
        )));
    }
    if !head.sealed || head.request_id.is_none() {
        return lost("the answer is not the engine's own");
    }
    // The caller has the head of the first response, which announced no encoding.
    if head.encoded {
        return lost("the engine encodes its answer");
    }
    Ok(())
}
