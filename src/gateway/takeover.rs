//! Takes over generations that still run at an engine although their connection is dead: an open
//! connection may stop delivering data without an error. The engine is asked to stop the
//! generation, which is resumed from its KV-cache memory on a new connection. Without this, the
//! generation was cut off at its caller's deadline or when the caller left.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use spdlog::info;

use super::inbound_call::Call;
use super::message_heads::{ContinueFrom, EndpointRequestHead};
use super::retry_budgets::RepeatCause;
use super::runs::{Continuation, RunHandle};
use super::upstream::{ConnectionReuse, EndpointResponse};
use super::{crash_suspects, engine_reports, moves};
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

/// Asks the engine of a generation to stop it, if it still runs, and returns its continuation.
pub(super) async fn take_over(
    call: &Arc<Call>,
    run: &RunHandle,
    reason: &str,
) -> Option<Continuation> {
    let source = run.endpoint.lock().clone();
    if has_left_too_long_ago(call, &source) {
        return None;
    }
    let gateway = &call.gateway;
    let cooling_down = gateway.cooling_down_endpoints();
    let target = {
        let fleet = gateway.fleet.lock();
        let is_excluded =
            |engine: &EndpointEntry| engine.id == source.id || cooling_down.contains(&engine.id);
        let others: Vec<&EndpointEntry> = call.eligible_endpoints(&fleet, is_excluded).collect();
        let avoided = gateway.avoided_endpoints(others.iter().copied());
        let others = others.iter().filter(|engine| !avoided.contains(&engine.id));
        others
            .choose(&mut rand::rng())
            .map(|engine| (*engine).clone())
    }?;
    // An engine that has ended stops nothing, and would be waited for in vain.
    let stopped = tokio::select! {
        stopped = moves::stop_run(gateway, run, &source, &target, false) => {
            stopped.map_err(|error| error.to_string())
        }
        () = gateway.endpoint_ended(&source) => Err("the engine has ended".to_owned()),
    };
    if crate::log::should_log("generation taken over") {
        let outcome = stopped.as_ref().err().map_or("stopped", String::as_str);
        info!("generation taken over", kv: {
            request_id = call.head.request_id.as_str(), source = source.id.as_str(), why = reason, outcome,
        });
    }
    stopped.ok()
}

/// Returns whether an engine has been leaving, or its hall evacuated, for so long that nothing may
/// be sent to it any more.
fn has_left_too_long_ago(call: &Call, endpoint: &EndpointEntry) -> bool {
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
    /// It was sent and not accepted.
    #[error("{0}")]
    NotAccepted(String),
}

fn unsent(reason: &str) -> ResumeError {
    ResumeError::Unsent(reason.to_owned())
}

fn not_accepted(reason: &str) -> ResumeError {
    ResumeError::NotAccepted(reason.to_owned())
}

/// Resumes a generation at the engine that has its memory, after the last received event. Spends a
/// retry if the engine does not accept it.
pub(super) async fn resume(
    call: &Call,
    continuation: &mut Continuation,
    cause: RepeatCause,
    last_event_id: Option<&str>,
) -> Result<EndpointResponse, ResumeError> {
    let sending = send_continuation(call, continuation, last_event_id);
    let sent = tokio::time::timeout(RESUME_TIMEOUT, sending).await;
    let resumed = sent.unwrap_or_else(|_| Err(not_accepted("no event in time")));
    if let Err(ResumeError::NotAccepted(_)) = resumed {
        continuation.reservation.spend();
    }
    if !matches!(resumed, Err(ResumeError::Unsent(_))) {
        call.gateway.log_repeat(call.repeat(cause), "true");
    }
    resumed
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
    let response = response.map_err(|failure| not_accepted(&failure.to_string()))?;
    check_resumed(call, &response).map_err(|reason| not_accepted(&reason))?;
    Ok(response)
}

/// Checks that a response continues the generation.
fn check_resumed(call: &Call, response: &EndpointResponse) -> Result<(), String> {
    if response.parts.status != http::StatusCode::OK || !response.head.sealed {
        return Err(format!("engine answered {}", response.head.status));
    }
    // The caller has the head of the first response, which announced no encoding.
    if response.head.encoded {
        return Err("the engine encodes its answer".to_owned());
    }
    if response.head.request_id.as_deref() != Some(call.head.request_id.as_str()) {
        return Err("the answer belongs to another request".to_owned());
    }
    Ok(())
}
