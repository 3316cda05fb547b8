//! Processes the engine ledgers: grants capacity to waiting generations, plans moves, and applies
//! what entry instances report.
//!
//! The owner is the live member with the highest weighted rendezvous hash for the service. Two
//! members that both consider themselves owner do no harm: engines refuse what does not fit, and a
//! move names the engine that it leaves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;

use super::admission_policy::sync_policy;
use super::engine_list::refresh_engines;
use super::ledgers::ServiceShard;
use super::move_orders;
use super::node::Gateway;
use super::ownership::{acts_as_owner, owner_address};
use super::reach_monitor::UnreachedVerdict;
use super::runs::UnavailableEngines;
use crate::kernel::admission_queue::WaitOutcome;
use crate::kernel::engine_ledger::{PaceChange, ReportedRun};
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::pause_counts::EnginePauses;

/// Interval at which a ledger is processed while generations wait or run on leaving engines.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the owner processes any other ledger.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval for a ledger that another instance owns; this instance keeps it as a fallback for when
/// the owner is unreachable.
const STANDBY_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the engines that this instance owns, that run generations, and that are not known to be
/// leaving.
pub(crate) fn owned_running_engines(gateway: &Gateway) -> Vec<EndpointEntry> {
    let mut running = BTreeSet::new();
    for (service, shard) in gateway.ledgers.all() {
        if acts_as_owner(gateway, &service) {
            running.append(&mut shard.lock().ledger.running_engines());
        }
    }
    let fleet = gateway.fleet.lock();
    let running = running.iter().filter(|id| fleet.can_accept_work(id));
    running.filter_map(|id| fleet.get(id).cloned()).collect()
}

/// Applies a report of the runs of an entry instance.
pub(crate) fn apply_run_report(
    gateway: &Arc<Gateway>,
    service: &str,
    entry: &str,
    runs: Vec<ReportedRun>,
    unavailable: &UnavailableEngines,
    pauses: &[EnginePauses],
) {
    let now = gateway.now();
    let is_owner = acts_as_owner(gateway, service);
    let shard = gateway.ledgers.shard(service);
    let mut shard = shard.lock();
    for endpoint in &unavailable.refused {
        shard.ledger.record_refusal(endpoint, now);
    }
    for endpoint in &unavailable.gone {
        shard.ledger.record_unreachable(endpoint, now);
        if crate::log::should_log("engine reported gone") {
            info!("engine reported gone", kv: { service, endpoint = endpoint.as_str(), entry });
        }
    }
    for endpoint in &unavailable.unreached {
        shard.ledger.record_unreachable(endpoint, now);
        if crate::log::should_log("engine reported unreached") {
            info!("engine reported unreached", kv: { service, endpoint = endpoint.as_str(), entry });
        }
    }
    shard.ledger.apply_report(entry, runs, now);
    let errors = shard.ledger.apply_pauses(pauses, now);
    if is_owner {
        for error in errors {
            metrics::histogram!("larkwick_engine_pace_error_ratio").record(error);
        }
    }
    shard
        .ledger
        .set_cooling_down(entry, unavailable.cooling_down.clone());
    let has_pending_work = !shard.waiters.is_empty() || shard.ledger.has_runs_on_leaving_engines();
    drop(shard);
    if has_pending_work {
        gateway.ledgers.wake_coordinator();
    }
    // Another instance than the owner decides for itself alone.
    if owner_address(gateway, service).is_none() {
        for endpoint in &unavailable.unreached {
            let judging = judge_unreached_engine(gateway.clone(), endpoint.clone(), now);
            tokio::spawn(judging);
        }
    }
}

/// Makes an engine available again that an entry could not connect to, unless it cannot be connected
/// to from here either, while another one can.
async fn judge_unreached_engine(gateway: Arc<Gateway>, endpoint: String, recorded_at: Duration) {
    let Some(engine) = gateway.fleet.lock().get(&endpoint).cloned() else {
        return;
    };
    let verdict = gateway.judge_unreached(&engine).await;
    if crate::log::should_log("unreached engine judged") {
        info!("unreached engine judged", kv: {
            service = engine.service.as_str(), endpoint = endpoint.as_str(), verdict:?,
        });
    }
    if verdict != UnreachedVerdict::Down {
        let shard = gateway.ledgers.shard(&engine.service);
        let mut shard = shard.lock();
        shard.ledger.withdraw_unreachable(&endpoint, recorded_at);
    }
}

/// Processes the ledgers until the instance stops: grants capacity to waiting generations and moves
/// generations off leaving engines.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        let ledgers = gateway.ledgers.all();
        let pauses = ledgers
            .iter()
            .map(|(service, shard)| process_ledger(&gateway, service, shard));
        let pause = pauses.min().unwrap_or(STANDBY_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = gateway.ledgers.coordinator_wakeup.notified(), if pause > BUSY_INTERVAL => {}
        }
    }
}

/// Processes one ledger and returns the time until it should be processed again.
fn process_ledger(
    gateway: &Arc<Gateway>,
    service: &str,
    shard: &Arc<Mutex<ServiceShard>>,
) -> Duration {
    let now = gateway.now();
    let is_owner = acts_as_owner(gateway, service);
    let scheduling_link = move_orders::scheduling_link(gateway, service);
    let (due_moves, pace_changes, is_busy) = {
        let mut shard = shard.lock();
        // The list may have thousands of engines, and other instances only need it once they place
        // generations themselves.
        if is_owner || !shard.waiters.is_empty() {
            refresh_engines(gateway, service, &mut shard);
        }
        sync_policy(gateway, &mut shard);
        shard.ledger.expire(now);
        shard.ledger.refresh_paces(now);
        notify_waiters(&mut shard, now);
        let due_moves = if is_owner {
            move_orders::plan_due_moves(service, &mut shard, scheduling_link, now)
        } else {
            Vec::new()
        };
        let is_busy =
            !shard.waiters.is_empty() || (is_owner && shard.ledger.has_runs_on_leaving_engines());
        (due_moves, shard.ledger.take_pace_changes(), is_busy)
    };
    log_pace_changes(service, &pace_changes);
    move_orders::start_moves(gateway, service, due_moves);
    if is_busy {
        BUSY_INTERVAL
    } else if is_owner {
        IDLE_INTERVAL
    } else {
        STANDBY_INTERVAL
    }
}

fn log_pace_changes(service: &str, changes: &[PaceChange]) {
    for change in changes {
        if crate::log::should_log("engine pace changed") {
            info!("engine pace changed", kv: {
                service, endpoint = change.endpoint.as_str(), keeps_pace: = change.keeps_pace,
                mean_pause_ms: = change.mean_pause_ms.round(),
                predicted_pause_ms: = change.predicted_pause_ms.round(),
                pause_max_ms: = change.pause_max_ms.round(),
            });
        }
    }
}

fn notify_waiters(shard: &mut ServiceShard, now: Duration) {
    let ServiceShard {
        ledger,
        queue,
        waiters,
        ..
    } = shard;
    waiters.retain(|ticket, waiter| {
        let is_abandoned = waiter.reply_sender.is_closed();
        if is_abandoned {
            queue.cancel(*ticket);
        }
        !is_abandoned
    });
    for outcome in queue.admit_waiting(ledger, now) {
        let Some(waiter) = waiters.remove(&outcome.ticket) else {
            continue;
        };
        let unheard = waiter.reply_sender.send(outcome);
        if let Err(WaitOutcome {
            granted: Some(_), ..
        }) = unheard
        {
            ledger.release(&waiter.run);
        }
    }
}
