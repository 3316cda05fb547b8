//! Moves a generation to another engine: its KV-cache memory is copied while it runs, then it is
//! stopped and the remainder is copied.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use spdlog::{info, warn};

use super::former_run::{self, ReportedRun};
use super::move_orders;
use super::node::Gateway;
use super::retry_budgets::{Repeat, RepeatCause};
use super::runs::{Continuation, RunCommand, RunHandle};
use super::upstream::ControlError;
use crate::kernel::engine_ledger::MoveResult;
use crate::kernel::fleet::EndpointEntry;
use crate::peer::generated as wire;
use crate::platform::engine::{self, CopyOutcome};

/// Longest wait for a copy; copying all of a generation's memory between halls takes half of it.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Orders to stop a generation that are sent while their outcome is not clear.
const STOP_ORDERS_MAX: u32 = 2;
/// Pause before the next of them.
const STOP_ORDER_PAUSE: Duration = Duration::from_millis(50);
/// Largest response to a copy request.
const RESPONSE_MAX_BYTES: usize = 64 << 10;
/// Time after which a generation that its engine no longer runs has continued elsewhere or ended.
const TAKEOVER_MAX: Duration = Duration::from_millis(700);
/// Longest wait for an engine to free a copy.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);

const RETRIES_SPENT: &str = "retry budget spent";

/// Marks a generation as being moved until it is dropped.
struct MoveGuard(Arc<RunHandle>);

impl MoveGuard {
    /// Returns `None` if a move of the generation is in progress.
    fn begin(run: &Arc<RunHandle>) -> Option<Self> {
        let was_moving = run.is_moving.swap(true, Ordering::AcqRel);
        (!was_moving).then(|| Self(run.clone()))
    }
}

impl Drop for MoveGuard {
    fn drop(&mut self) {
        self.0.is_moving.store(false, Ordering::Release);
    }
}

/// Why a generation was not stopped for its move.
#[derive(Debug, thiserror::Error)]
pub(super) enum StopError {
    /// Its engine was not asked, since no retry is left for the continuation.
    #[error("{RETRIES_SPENT}")]
    RetriesSpent,
    /// Its engine was not asked, for this reason.
    #[error("{0}")]
    NotAsked(String),
    /// Its engine cannot be reached.
    #[error("{0}")]
    Unreached(String),
    /// It has ended, or its stream broke and it was taken over meanwhile.
    #[error("the generation no longer runs there")]
    NotRunning,
    /// It no longer runs there. An order to stop it had no clear outcome, for this reason, and may
    /// have stopped it.
    #[error("it no longer runs there, and may have been stopped: {0}")]
    OutcomeLost(String),
    /// It may have been stopped, and may run: no order had a clear outcome, for this reason.
    #[error("{0}")]
    Unknown(String),
}

impl StopError {
    /// Returns whether an order may have stopped the generation although nothing is known of it.
    const fn is_unclear(&self) -> bool {
        matches!(self, Self::OutcomeLost(_) | Self::Unknown(_))
    }
}

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
/// Returns once the memory has been copied and its engine is being asked to stop it; if moves are
/// scheduled, once the engine has stopped it and the remainder was copied, too.
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
    // An order that comes twice, or from two owners, must not stop the generation twice.
    let is_scheduled = move_orders::scheduling_link(gateway, &run.service).is_some();
    let guard = MoveGuard::begin(&run);
    if is_scheduled && guard.is_none() {
        return (MoveResult::Failed, "a move is in progress".to_owned());
    }
    let counted = order.target_counted;
    let copy = match copy_memory(gateway, &run, &source, &target, false).await {
        Ok(CopyOutcome::Done(copy)) => copy,
        other => return copy_failure(other),
    };
    // In a task of its own: the order may be given up, and the generation must not be then.
    let gateway = gateway.clone();
    let finishing = tokio::spawn(async move {
        let finished = finish_move(&gateway, &run, &source, &target, counted).await;
        drop(guard);
        let error = match finished {
            Ok(result) => return result,
            Err(error) => error,
        };
        let reason = error.to_string();
        if is_scheduled {
            tokio::spawn(async move {
                if is_copy_unused(&gateway, &run, &error).await {
                    free_copy(&gateway, &run, &source, &copy).await;
                }
            });
        }
        (MoveResult::Failed, reason)
    });
    if !is_scheduled {
        return (MoveResult::Copied, String::new());
    }
    // The owner orders the next copy at once, which would be ahead of the last step on the link.
    let finished = finishing.await;
    finished.unwrap_or_else(|error| (MoveResult::Failed, error.to_string()))
}

async fn finish_move(
    gateway: &Gateway,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
    counted: bool,
) -> Result<(MoveResult, String), StopError> {
    send_command(run, RunCommand::Stopping);
    match stop_run(gateway, run, source, target, counted).await {
        Ok(continuation) => {
            let result = if continuation.target.id == target.id {
                (MoveResult::Copied, String::new())
            } else {
                (MoveResult::NoRoom, "no memory for the remainder".to_owned())
            };
            send_command(run, RunCommand::Continue(Box::new(continuation)));
            Ok(result)
        }
        Err(error) => {
            let command = if error.is_unclear() {
                RunCommand::StopUnclear
            } else {
                RunCommand::NotStopped
            };
            send_command(run, command);
            if crate::log::should_log("generation not stopped") {
                let reason = error.to_string();
                warn!("generation not stopped", kv: {
                    request_id = run.demand.run.as_str(), source = source.id.as_str(), why = reason.as_str(),
                    unclear: = error.is_unclear(),
                });
            }
            if let StopError::Unknown(_) = error {
                let reported = former_run::read_reported_run(gateway, source, &run.demand.run);
                if reported.await == ReportedRun::Listed {
                    send_command(run, RunCommand::RunsOn);
                }
            }
            Err(error)
        }
    }
}

/// Returns whether the copy of a move that failed with this error is certainly not used any more.
async fn is_copy_unused(gateway: &Gateway, run: &RunHandle, error: &StopError) -> bool {
    match error {
        StopError::RetriesSpent | StopError::NotAsked(_) | StopError::Unreached(_) => true,
        StopError::NotRunning => {
            tokio::time::sleep(TAKEOVER_MAX).await;
            gateway.runs.get(&run.demand.run).is_none()
        }
        StopError::OutcomeLost(_) | StopError::Unknown(_) => false,
    }
}

/// Frees the copy that an engine received of a generation that has continued where it ran.
pub(super) fn start_freeing_received(
    gateway: &Arc<Gateway>,
    run: &Arc<RunHandle>,
    continuation: &Continuation,
) {
    if move_orders::scheduling_link(gateway, &run.service).is_none() {
        return;
    }
    let (gateway, run) = (gateway.clone(), run.clone());
    let receiver = continuation.copy_receiver.clone();
    let copy = continuation.copy.clone();
    tokio::spawn(async move { free_copy(&gateway, &run, &receiver, &copy).await });
}

/// Frees a copy that is not used, which takes memory and a slot at the engine that received it.
/// Asked by the engine that it was made from, both free what they keep for it; asked by the
/// receiver, only that one does. A copy that is not freed is dropped by the engines after a time that the
/// configuration states.
async fn free_copy(gateway: &Gateway, run: &RunHandle, holder: &EndpointEntry, copy: &str) {
    let freeing = async {
        let request = engine::build_free_copy_request(holder.address, copy);
        let request = request.map_err(|error| error.to_string())?;
        let permit = gateway.request_permit(&holder.service, &holder.id).await;
        let permit = permit.ok_or("no permit for the engine")?;
        let upstream = &gateway.upstream;
        let response = upstream.send_control_request(holder, request, RESPONSE_MAX_BYTES, permit);
        let response = response.await.map_err(|error| error.to_string())?;
        Ok(response.0)
    };
    let freed = tokio::time::timeout(FREE_TIMEOUT, freeing).await;
    let freed = freed.unwrap_or_else(|_| Err("no response in time".to_owned()));
    let is_freed = freed
        .as_ref()
        .is_ok_and(|status| (200..300).contains(status));
    metrics::counter!("larkwick_move_copies_freed_total").increment(u64::from(is_freed));
    if crate::log::should_log("copy of a move freed") {
        let outcome = freed.map_or_else(|reason| reason, |status| status.to_string());
        info!("copy of a move freed", kv: {
            request_id = run.demand.run.as_str(), endpoint = holder.id.as_str(), outcome = outcome.as_str(),
        });
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
) -> Result<Continuation, StopError> {
    // Reserved before the stop: a stopped generation that may not be sent again is lost.
    let reservation = gateway.reserve_continuation(move_of(run));
    let reservation = reservation.ok_or(StopError::RetriesSpent)?;
    let continue_at = |engine: &EndpointEntry, copy, counted| Continuation {
        target: engine.clone(),
        copy_address: source.address,
        copy,
        copy_receiver: target.clone(),
        counted,
        reservation,
    };
    let mut unclear: Option<String> = None;
    for _ in 0..STOP_ORDERS_MAX {
        if unclear.is_some() {
            gateway.sleep_for(STOP_ORDER_PAUSE).await;
        }
        let reason = match copy_memory(gateway, run, source, target, true).await {
            Ok(CopyOutcome::Done(copy)) => return Ok(continue_at(target, copy, counted)),
            // The generation was stopped and its engine still has its memory, so it continues there.
            Ok(CopyOutcome::NoRoom(Some(kept))) => return Ok(continue_at(source, kept, false)),
            Ok(CopyOutcome::NotRunning) => {
                return Err(unclear.map_or(StopError::NotRunning, StopError::OutcomeLost));
            }
            Ok(other) => format!("{other:?}"),
            Err(CopyError::NotAsked(reason)) => {
                return Err(unclear.map_or(StopError::NotAsked(reason), StopError::Unknown));
            }
            Err(CopyError::Unreached(reason)) => {
                return Err(unclear.map_or(StopError::Unreached(reason), StopError::Unknown));
            }
            Err(CopyError::NoAnswer(reason)) => reason,
        };
        unclear.get_or_insert(reason);
    }
    Err(StopError::Unknown(unclear.unwrap_or_default()))
}

/// Why an order to copy the memory of a generation has no outcome.
#[derive(Debug, thiserror::Error)]
enum CopyError {
    /// The engine was not asked.
    #[error("{0}")]
    NotAsked(String),
    /// The engine cannot be reached.
    #[error("{0}")]
    Unreached(String),
    /// The order was sent, and its answer did not arrive.
    #[error("{0}")]
    NoAnswer(String),
}

impl From<ControlError> for CopyError {
    fn from(error: ControlError) -> Self {
        match error {
            ControlError::Unreached(reason) => Self::Unreached(reason),
            ControlError::NotSent(reason) => Self::NotAsked(reason),
            ControlError::NoAnswer(reason) => Self::NoAnswer(reason),
        }
    }
}

fn copy_failure(outcome: Result<CopyOutcome, CopyError>) -> (MoveResult, String) {
    match outcome {
        Ok(CopyOutcome::NoRoom(_)) => (MoveResult::NoRoom, "no memory at the target".to_owned()),
        Ok(other) => (MoveResult::Failed, format!("{other:?}")),
        Err(error) => (MoveResult::Failed, error.to_string()),
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
) -> Result<CopyOutcome, CopyError> {
    let not_asked = |reason: &str| CopyError::NotAsked(reason.to_owned());
    if !gateway.try_admit_exempt(&source.id) {
        return Err(not_asked("the engine is cooling down"));
    }
    let request = engine::build_move_request(source.address, &run.demand.run, target.address, stop)
        .map_err(|error| not_asked(&error.to_string()))?;
    let call = async {
        let permit = gateway.wait_for_permit(&source.service, &source.id).await;
        let permit = permit.ok_or_else(|| not_asked("no permit for the engine"))?;
        let upstream = &gateway.upstream;
        let response = upstream.send_control_request(source, request, RESPONSE_MAX_BYTES, permit);
        let (status, body) = response.await?;
        Ok(engine::decode_copy_outcome(status, &body))
    };
    tokio::time::timeout(COPY_TIMEOUT, call)
        .await
        .map_err(|_| CopyError::NoAnswer("no response to the copy request in time".to_owned()))?
}
