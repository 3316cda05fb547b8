//! Moves a generation to another engine: its KV-cache memory is copied while it runs, then it is
//! stopped and the remainder is copied.

use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;

use super::node::Gateway;
use super::retry_budgets::{Repeat, RepeatCause};
use super::runs::{Continuation, RunCommand, RunHandle};
use crate::kernel::engine_ledger::MoveResult;
use crate::kernel::fleet::EndpointEntry;
use crate::peer::generated as wire;
use crate::platform::engine::{self, CopyOutcome};

/// Longest wait for a copy; copying all of a generation's memory between halls takes half of it.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest response to a copy request.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

const RETRIES_SPENT: &str = "retry budget spent";

/// Returns the send by which a generation continues at another engine.
fn move_of(run: &RunHandle) -> Repeat<'_> {
    Repeat {
        service: &run.service,
        request_id: &run.demand.run,
        cause: RepeatCause::Move,
    }
}

/// Moves a generation that this instance serves.
///
/// Returns once the memory has been copied and its engine is being asked to stop it, so that the
/// link is free for the next move while this one continues.
pub(crate) async fn move_run(
    gateway: &Arc<Gateway>,
    order: &wire::MoveRunRequest,
) -> (MoveResult, String) {
    let Some(run) = gateway.runs.get(&order.run) else {
        return (MoveResult::RunGone, "generation not served here".to_owned());
    };
    let (source, target) = {
        let fleet = gateway.fleet.lock();
        let source = fleet.get(&order.source).cloned();
        let target = fleet.get(&order.target).cloned();
        (
            source,
            target.filter(|target| fleet.can_accept_work(&target.id)),
        )
    };
    let (Some(source), Some(target)) = (source, target) else {
        return (MoveResult::NoRoom, "engine unknown or leaving".to_owned());
    };
    if gateway.is_cooling_down(&target.id) {
        return (MoveResult::NoRoom, "the target is cooling down".to_owned());
    }
    if run.endpoint.lock().id != source.id {
        return (
            MoveResult::Failed,
            "the generation runs at another engine".to_owned(),
        );
    }
    // Without the retries that the move may need, the copy would be made for nothing.
    if gateway.reserve_continuation(move_of(&run)).is_none() {
        return (MoveResult::Failed, RETRIES_SPENT.to_owned());
    }
    let counted = order.target_counted;
    match copy_memory(gateway, &run, &source, &target, false).await {
        Ok(CopyOutcome::Done(_)) => {}
        other => return copy_failure(other),
    }
    let gateway = gateway.clone();
    tokio::spawn(async move { finish_move(&gateway, &run, &source, &target, counted).await });
    (MoveResult::Copied, String::new())
}

async fn finish_move(
    gateway: &Gateway,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
    counted: bool,
) {
    send_command(run, RunCommand::Stopping);
    match stop_run(gateway, run, source, target, counted).await {
        Ok(continuation) => send_command(run, RunCommand::Continue(Box::new(continuation))),
        Err(reason) => {
            send_command(run, RunCommand::StopFailed);
            if crate::log::should_log("generation not stopped") {
                warn!("generation not stopped", kv: {
                    request_id = run.demand.run.as_str(), source = source.id.as_str(), why = reason.as_str(),
                });
            }
        }
    }
}

/// Asks an engine to stop a generation and copy its memory, and returns the continuation. `counted`
/// tells whether the continuation was counted against the rate limit of the target.
pub(super) async fn stop_run(
    gateway: &Gateway,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
    counted: bool,
) -> Result<Continuation, String> {
    // Reserved before the stop: a stopped generation that may not be sent again is lost.
    let reservation = gateway.reserve_continuation(move_of(run));
    let reservation = reservation.ok_or(RETRIES_SPENT)?;
    let continue_at = |target: &EndpointEntry, copy, counted| Continuation {
        target: target.clone(),
        copy_address: source.address,
        copy,
        counted,
        reservation,
    };
    match copy_memory(gateway, run, source, target, true).await? {
        CopyOutcome::Done(copy) => Ok(continue_at(target, copy, counted)),
        // The generation was stopped and its engine still has its memory, so it continues there.
        CopyOutcome::NoRoom(Some(kept)) => Ok(continue_at(source, kept, false)),
        other => Err(format!("{other:?}")),
    }
}

fn copy_failure(outcome: Result<CopyOutcome, String>) -> (MoveResult, String) {
    match outcome {
        Ok(CopyOutcome::NoRoom(_)) => (MoveResult::NoRoom, "no memory at the target".to_owned()),
        Ok(other) => (MoveResult::Failed, format!("{other:?}")),
        Err(reason) => (MoveResult::Failed, reason),
    }
}

/// Sends a command to the task that forwards the generation. If that task has ended, the command is
/// no longer needed.
fn send_command(run: &RunHandle, command: RunCommand) {
    let _ = run.commands.send(command);
}

async fn copy_memory(
    gateway: &Gateway,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
    stop: bool,
) -> Result<CopyOutcome, String> {
    if !gateway.try_admit_exempt(&source.id) {
        return Err("the engine is cooling down".to_owned());
    }
    let request = engine::build_move_request(source.address, &run.demand.run, target.address, stop)
        .map_err(|error| error.to_string())?;
    let call = async {
        let permit = gateway.wait_for_permit(&source.service, &source.id).await;
        let permit = permit.ok_or("no permit for the engine")?;
        let upstream = &gateway.upstream;
        let response = upstream.send_control_request(source, request, RESPONSE_MAX_BYTES, permit);
        let (status, body) = response.await?;
        Ok(engine::decode_copy_outcome(status, &body))
    };
    tokio::time::timeout(COPY_TIMEOUT, call)
        .await
        .map_err(|_| "no response to the copy request in time".to_owned())?
}
