//! Carries out the move of a generation: its memory is copied while it runs, then it is stopped and the rest is copied.

use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;

use super::node::Gateway;
use super::runs::{Continuation, RunCommand, RunHandle};
use crate::kernel::engine_ledger::MoveResult;
use crate::kernel::fleet::EndpointEntry;
use crate::peer::generated as wire;
use crate::platform::engine::{self, Copied};

/// Longest wait for a copy; a whole memory between halls takes half of it.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest answer to an order to copy.
const ANSWER_MAX_BYTES: usize = 64 << 10;

/// Moves a generation served here. Answers once its memory has been copied and its engine is being asked to stop it, so that the link
/// is free for the next one while this one goes on.
pub(crate) async fn move_run(
    gateway: &Arc<Gateway>,
    order: &wire::MoveRunRequest,
) -> (MoveResult, String) {
    let Some(run) = gateway.runs.get(&order.run) else {
        return (MoveResult::RunGone, "not served here".to_owned());
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
        return (MoveResult::NoRoom, "the target rests".to_owned());
    }
    if run.endpoint.lock().id != source.id {
        return (MoveResult::Failed, "it runs elsewhere".to_owned());
    }
    let counted = order.target_counted;
    match copy(gateway, &run, &source, &target, false).await {
        Ok(Copied::Done(_)) => {}
        other => return not_copied(other),
    }
    let gateway = gateway.clone();
    tokio::spawn(async move { stop_and_copy(&gateway, &run, &source, &target, counted).await });
    (MoveResult::Copied, String::new())
}

async fn stop_and_copy(
    gateway: &Gateway,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
    counted: bool,
) {
    send(run, RunCommand::Stopping);
    match stop(gateway, run, source, target, counted).await {
        Ok(continuation) => send(run, RunCommand::Continue(Box::new(continuation))),
        Err(why) => {
            send(run, RunCommand::NotStopped);
            if crate::log::admits("generation not stopped") {
                warn!("generation not stopped", kv: {
                    request_id = run.demand.run.as_str(), source = source.id.as_str(), why = why.as_str(),
                });
            }
        }
    }
}

/// Has an engine stop a generation and copy its memory. Gives where it goes on. `counted` tells whether that is counted against what the target takes.
pub(super) async fn stop(
    gateway: &Gateway,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
    counted: bool,
) -> Result<Continuation, String> {
    let goes_on_at = |target: &EndpointEntry, copy, counted| Continuation {
        target: target.clone(),
        copy_address: source.address,
        copy,
        counted,
    };
    match copy(gateway, run, source, target, true).await? {
        Copied::Done(copy) => Ok(goes_on_at(target, copy, counted)),
        // It was stopped, and its engine still has its memory: it goes on there.
        Copied::NoRoom(Some(kept)) => Ok(goes_on_at(source, kept, false)),
        other => Err(format!("{other:?}")),
    }
}

fn not_copied(copied: Result<Copied, String>) -> (MoveResult, String) {
    match copied {
        Ok(Copied::NoRoom(_)) => (MoveResult::NoRoom, "no room".to_owned()),
        Ok(other) => (MoveResult::Failed, format!("{other:?}")),
        Err(why) => (MoveResult::Failed, why),
    }
}

/// The task that passes the generation on may have ended; then nobody needs the command.
fn send(run: &RunHandle, command: RunCommand) {
    let _ = run.commands.send(command);
}

async fn copy(
    gateway: &Gateway,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
    stop: bool,
) -> Result<Copied, String> {
    if !gateway.try_admit_exempt(&source.id) {
        return Err("the engine rests".to_owned());
    }
    let request = engine::move_request(source.address, &run.demand.run, target.address, stop)
        .map_err(|error| error.to_string())?;
    let called = async {
        let permit = gateway.wait_for_permit(&source.service, &source.id).await;
        let permit = permit.ok_or("the engine takes no more for now")?;
        let upstream = &gateway.upstream;
        let asked = upstream.send_control_request(source, request, ANSWER_MAX_BYTES, permit);
        let (status, body) = asked.await?;
        Ok(engine::decode_moved(status, &body))
    };
    tokio::time::timeout(COPY_TIMEOUT, called)
        .await
        .map_err(|_| "no answer in time".to_owned())?
}
