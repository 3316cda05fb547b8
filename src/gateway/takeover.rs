//! Generations whose engine goes on while nothing comes from it any more: a connection that is open may go silent for good. The engine is asked to stop
//! the generation, and it goes on with its memory on a new connection. Without this it was cut at its caller's deadline, or when the caller left.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use spdlog::info;

use super::inbound_call::Call;
use super::message_heads::{ContinueFrom, EndpointRequestHead};
use super::runs::{Continuation, RunHandle};
use super::upstream::{ConnectionReuse, EndpointResponse};
use super::{crash_suspects, engine_reports, moves};
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::fleet::EndpointEntry;
use crate::platform::engine;

/// An engine that has sent no event for this long is asked whether it has made some, and again after twice the time: a connection that has gone
/// silent looks like a generation that waits for memory. Callers leave after two seconds of silence or more.
const SILENT_AFTER: Duration = Duration::from_secs(1);
/// Longest wait for an engine's report.
const REPORT_PATIENCE: Duration = Duration::from_millis(400);
/// A generation goes back to an engine that stopped it for this long after the engine was heard to leave. Two seconds are allowed from
/// when the first instance heard of it; the others hear within half a second.
const SENT_AFTER_LEAVING_MAX: Duration = Duration::from_millis(1_300);

/// What an engine says of a generation from which nothing comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AtEngine {
    /// It has made events that did not come: the connection is dead.
    GoesOnUnheard,
    /// It has nothing to do with it any more.
    Done,
    /// It waits there, or nothing is known.
    Unknown,
}

/// Asks an engine of a generation from which so many events came.
async fn ask_engine(call: &Call, engine: &EndpointEntry, came: u64) -> AtEngine {
    let report = engine_reports::read(&call.gateway, engine, REPORT_PATIENCE).await;
    let Some(report) = report else {
        return AtEngine::Unknown;
    };
    let request_id = &call.head.request_id;
    if report.made(request_id).is_some_and(|made| made > came) {
        AtEngine::GoesOnUnheard
    } else if report.is_done_with(request_id) {
        AtEngine::Done
    } else {
        AtEngine::Unknown
    }
}

/// The silence of the engine of one generation.
#[derive(Debug)]
pub(super) struct Silence {
    /// When the engine is asked; counted from the last event or question.
    pub(super) ask_after: Duration,
    /// Whether the engine was done with it when it was asked before. What it sent last may still be on its way over a link that loses packets.
    was_done: bool,
}

impl Silence {
    /// From the last event on.
    pub(super) const fn from_now() -> Self {
        Self {
            ask_after: SILENT_AFTER,
            was_done: false,
        }
    }

    /// Asks the engine; gives why its connection is given up, if it is. A caller whose generation ended unheard is told so within three seconds; three
    /// of fourteen calls of a run with silent connections waited for their deadline of 20 s.
    pub(super) async fn ask(
        &mut self,
        call: &Call,
        engine: &EndpointEntry,
        came: u64,
    ) -> Option<&'static str> {
        self.ask_after *= 2;
        let at_engine = ask_engine(call, engine, came).await;
        let was_done = std::mem::replace(&mut self.was_done, at_engine == AtEngine::Done);
        match at_engine {
            AtEngine::GoesOnUnheard => Some("the engine has made events that did not come"),
            AtEngine::Done if was_done => {
                Some("the engine is done with it, and its end did not come")
            }
            AtEngine::Done | AtEngine::Unknown => None,
        }
    }
}

/// Has the engine of a generation stop it, if it still runs it, and gives where it goes on.
pub(super) async fn take_over(
    call: &Arc<Call>,
    run: &RunHandle,
    why: &str,
) -> Option<Continuation> {
    let source = run.endpoint.lock().clone();
    if left_long_ago(call, &source) {
        return None;
    }
    let gateway = &call.gateway;
    let resting = gateway.cooling_down_endpoints();
    let target = {
        let fleet = gateway.fleet.lock();
        let others = fleet.ready_endpoints(&call.service);
        let others =
            others.filter(|engine| engine.id != source.id && !resting.contains(&engine.id));
        others.choose(&mut rand::rng()).cloned()
    }?;
    let taken = moves::stop(gateway, run, &source, &target, false).await;
    if crate::log::admits("generation taken over") {
        let outcome = taken.as_ref().err().map_or("stopped", String::as_str);
        info!("generation taken over", kv: {
            request_id = call.head.request_id.as_str(), source = source.id.as_str(), why, outcome,
        });
    }
    taken.ok()
}

/// Whether an engine has been leaving, or its hall evacuated, for so long that nothing may be sent to it any more.
fn left_long_ago(call: &Call, endpoint: &EndpointEntry) -> bool {
    let gateway = &call.gateway;
    let closed_for = gateway.fleet.lock().closed_for(&endpoint.id, gateway.now());
    closed_for.is_some_and(|closed_for| closed_for > SENT_AFTER_LEAVING_MAX)
}

/// Goes on with a generation where its memory is, after the last event that came.
pub(super) async fn resume(
    call: &Call,
    continuation: &Continuation,
    last_event_id: Option<&str>,
) -> Result<EndpointResponse, String> {
    let target = &continuation.target;
    if left_long_ago(call, target) {
        return Err("the engine that has its memory left too long ago".to_owned());
    }
    if crash_suspects::current_verdict(call) == Verdict::Refused {
        return Err("endpoints end under it".to_owned());
    }
    if !call.gateway.try_admit_exempt(&target.id) {
        return Err("the engine that has its memory rests".to_owned());
    }
    let permit = if continuation.counted {
        let now = call.gateway.now();
        Some(call.gateway.permit_for_placement(&target.id, Some(now)))
    } else {
        call.gateway
            .wait_for_permit(&call.service, &target.id)
            .await
    };
    let permit = permit.ok_or("the engine that has its memory takes no more for now")?;
    let upstream = &call.gateway.upstream;
    let connection = upstream
        .acquire_connection(target, usize::MAX, ConnectionReuse::Never)
        .await;
    let connection = connection.map_err(|none| none.to_string())?;
    let send = EndpointRequestHead {
        endpoint_id: &target.listed_id,
        time_left: call.time_left(),
        account: call.account.as_deref(),
        priority: None,
        continue_from: Some(ContinueFrom {
            copy_address: continuation.copy_address,
            copy: &continuation.copy,
        }),
        last_event_id: Some(last_event_id.unwrap_or("0")),
    };
    let request = engine::forward(&call.parts, call.body.clone(), &send);
    let request = request.map_err(|error| error.to_string())?;
    let answer = connection.send(request, permit).await;
    let answer = answer.map_err(|failure| failure.to_string())?;
    if answer.parts.status != http::StatusCode::OK || !answer.head.sealed {
        return Err(format!("engine answered {}", answer.head.status));
    }
    if answer.head.request_id.as_deref() != Some(call.head.request_id.as_str()) {
        return Err("the answer belongs to another request".to_owned());
    }
    Ok(answer)
}
