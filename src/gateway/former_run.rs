//! What becomes of a generation at the engine that ran it, before it goes on elsewhere.
//!
//! The end of a connection does not end the generation: some engines go on with it. It is started
//! again only once the engine was asked and does not run it any more, or cannot be reached.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use spdlog::info;

use super::engine_reports;
use super::inbound_call::Call;
use super::moves::{self, StopError};
use super::node::Gateway;
use super::runs::{Continuation, RunHandle};
use crate::kernel::fleet::EndpointEntry;

/// Longest wait until the outcome of a stop is known; copying all of a generation's memory inside a
/// hall takes a small part of it.
const STOP_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Reports describe the engine as it was up to this long before.
const REPORT_DELAY: Duration = Duration::from_millis(600);
/// Longest wait for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// What is known of a generation at an engine whose stream is lost.
#[derive(Debug)]
pub(super) enum FormerRun {
    /// The engine stopped it and keeps its memory.
    Stopped(Box<Continuation>),
    /// The engine does not run it any more.
    Gone,
    /// The engine cannot be reached.
    Unreached,
    /// The engine runs it after the order to stop, or may have it in its queue.
    RunsOn,
    /// The engine was not asked, and may run it.
    NotAsked,
}

impl FormerRun {
    /// Returns whether the generation may be started again at another engine.
    pub(super) const fn allows_restart(&self) -> bool {
        !matches!(self, Self::RunsOn | Self::NotAsked)
    }

    const fn name(&self) -> &'static str {
        match self {
            Self::Stopped(_) => "stopped",
            Self::Gone => "gone",
            Self::Unreached => "unreached",
            Self::RunsOn => "runs on",
            Self::NotAsked => "not asked",
        }
    }
}

/// Asks an engine to stop a generation whose stream from it is lost, and returns what became of it.
/// Its memory goes to `last_choice` if no other engine takes work.
pub(super) async fn stop_former_run(
    call: &Arc<Call>,
    run: &RunHandle,
    source: &EndpointEntry,
    reason: &str,
    last_choice: Option<&EndpointEntry>,
) -> FormerRun {
    let target = choose_target(call, source).or_else(|| last_choice.cloned());
    let (former, outcome) = match target {
        Some(target) => stop_at(call, run, source, &target).await,
        None => without_target(call, source).await,
    };
    if crate::log::should_log("generation taken over") {
        info!("generation taken over", kv: {
            request_id = call.head.request_id.as_str(), source = source.id.as_str(), why = reason,
            former = former.name(), outcome = outcome.as_str(),
        });
    }
    former
}

/// Returns what is known of a generation that no other engine can take, so that its engine cannot be
/// asked to stop it.
async fn without_target(call: &Call, source: &EndpointEntry) -> (FormerRun, String) {
    let gateway = &call.gateway;
    let ended = gateway.wait_for(STOP_WAIT_MAX, gateway.has_ended(source));
    let former = if ended.await == Some(true) {
        FormerRun::Gone
    } else {
        FormerRun::NotAsked
    };
    (former, "no engine to go on at".to_owned())
}

async fn stop_at(
    call: &Call,
    run: &RunHandle,
    source: &EndpointEntry,
    target: &EndpointEntry,
) -> (FormerRun, String) {
    let gateway = &call.gateway;
    let stopping = moves::stop_run(gateway, run, source, target, false);
    let stopping = gateway.wait_for(STOP_WAIT_MAX, stopping);
    // An engine that has ended stops nothing, and would be waited for in vain.
    let stopped = tokio::select! {
        stopped = stopping => stopped,
        () = gateway.endpoint_ended(source) => {
            return (FormerRun::Gone, "the engine has ended".to_owned());
        }
    };
    let error = match stopped {
        Some(Ok(continuation)) => {
            return (
                FormerRun::Stopped(Box::new(continuation)),
                "stopped".to_owned(),
            );
        }
        Some(Err(error)) => error,
        None => StopError::Unknown("no outcome in time".to_owned()),
    };
    let former = match &error {
        StopError::NotRunning | StopError::OutcomeLost(_) => FormerRun::Gone,
        StopError::Unreached(_) => FormerRun::Unreached,
        StopError::RetriesSpent | StopError::NotAsked(_) => FormerRun::NotAsked,
        StopError::Unknown(_) => {
            match read_reported_run(gateway, source, &call.head.request_id).await {
                ReportedRun::Listed | ReportedRun::MaybeQueued => FormerRun::RunsOn,
                ReportedRun::Absent => FormerRun::Gone,
                ReportedRun::NoReport => FormerRun::Unreached,
            }
        }
    };
    (former, error.to_string())
}

/// What an engine's report tells of a generation after an order to stop it that had no clear outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportedRun {
    /// The engine runs it.
    Listed,
    /// The engine does not run it, and may have it in its queue.
    MaybeQueued,
    /// The engine does not have it.
    Absent,
    /// There is no report.
    NoReport,
}

/// Reads what an engine tells of a generation, once its report must show an order to stop it.
pub(super) async fn read_reported_run(
    gateway: &Gateway,
    engine: &EndpointEntry,
    request_id: &str,
) -> ReportedRun {
    gateway.sleep_for(REPORT_DELAY).await;
    let report = engine_reports::read_report(gateway, engine, REPORT_TIMEOUT).await;
    let Some(report) = report else {
        return ReportedRun::NoReport;
    };
    if report.generated_events(request_id).is_some() {
        ReportedRun::Listed
    } else if report.is_done_with(request_id) {
        ReportedRun::Absent
    } else {
        ReportedRun::MaybeQueued
    }
}

/// Returns an engine to which the memory of a stopped generation can be copied.
fn choose_target(call: &Call, source: &EndpointEntry) -> Option<EndpointEntry> {
    let gateway = &call.gateway;
    let cooling_down = gateway.cooling_down_endpoints();
    let fleet = gateway.fleet.lock();
    let is_excluded =
        |engine: &EndpointEntry| engine.id == source.id || cooling_down.contains(&engine.id);
    let others: Vec<&EndpointEntry> = call.eligible_endpoints(&fleet, is_excluded).collect();
    let avoided = gateway.avoided_endpoints(others.iter().copied());
    let others = others.iter().filter(|engine| !avoided.contains(&engine.id));
    let chosen = others.choose(&mut rand::rng());
    chosen.map(|engine| (*engine).clone())
}
