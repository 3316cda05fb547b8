//! Placement and moves of generations by the owner of a service's engines, and how instances reach
//! the owner.
//!
//! The owner is the live member with the highest weighted rendezvous hash for the service. Two
//! members that both consider themselves owner do no harm: engines refuse what does not fit, and a
//! move names the engine that it leaves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::{info, warn};
use tokio::sync::oneshot;

use super::admission_policy::{record_refusal, sync_policy};
use super::ledgers::{EngineListKey, ServiceShard, Waiter};
use super::move_orders;
use super::node::Gateway;
use super::ownership::{acts_as_owner, owner_address, reachable_owner_address, record_owner_call};
use super::reach_monitor::UnreachedVerdict;
use super::runs::UnavailableEngines;
use super::version_choice::{self, RolloutView};
use crate::kernel::admission_queue::{Admission, AdmissionRequest, WaitOutcome};
use crate::kernel::clock::millis;
use crate::kernel::cold_start::Sender;
use crate::kernel::engine_ledger::{
    ColdLimit, EngineLedger, ListedEngine, PaceChange, PacePolicy, ReportedRun, RunDemand,
};
use crate::kernel::fleet::{Availability, EndpointEntry, Fleet};
use crate::kernel::pause_counts::EnginePauses;
use crate::kernel::permits::LimitShare;
use crate::kernel::rollout::Phase;
use crate::kernel::rollout_evidence::Version;
use crate::peer::client::call_with_timeout;
use crate::peer::convert;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Interval at which a ledger is processed while generations wait or run on leaving engines.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the owner processes any other ledger.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval for a ledger that another instance owns; this instance keeps it as a fallback for when
/// the owner is unreachable.
const STANDBY_INTERVAL: Duration = Duration::from_secs(1);
/// Time allowed for the owner's response, beyond the requested wait.
const PLACEMENT_REPLY_MARGIN: Duration = Duration::from_millis(150);
/// Interval at which a generation that waits checks that its owner is still the owner.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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

/// How long a generation may wait for capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct CapacityWait {
    /// Time within which its first event can still meet the latency objective.
    pub(crate) within_objective: Duration,
    /// Time after which it is refused; not shorter than `within_objective`.
    pub(crate) total: Duration,
}

impl CapacityWait {
    /// Returns what is left of it after some time.
    fn after(self, waited: Duration) -> Self {
        Self {
            within_objective: self.within_objective.saturating_sub(waited),
            total: self.total.saturating_sub(waited),
        }
    }
}

/// A granted placement of a generation.
pub(crate) struct Placement {
    pub(crate) engine: String,
    /// Earliest time at which the placement was counted against the rate limit that the engine
    /// announces; `None` if the placing instance knew of no limit.
    pub(crate) counted_at: Option<Duration>,
}

/// No engine was granted to a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PlacementRefused {
    /// Time until there is room for a new generation; `None` if it is not known.
    pub(crate) room_in: Option<Duration>,
}

/// Finds an engine for a generation through the owner, or from this instance's own ledger if the
/// owner is unreachable.
pub(crate) async fn place(
    gateway: &Arc<Gateway>,
    service: &str,
    demand: &RunDemand,
    excluded: &[String],
    wait: CapacityWait,
) -> Result<Placement, PlacementRefused> {
    let own_name = gateway.incarnation.name.clone();
    let Some(address) = reachable_owner_address(gateway, service) else {
        return place_locally(gateway, service, demand, &own_name, excluded, wait).await;
    };
    let waits_on = gateway.routing.read().load.wait_past_objective;
    let started_at = gateway.now();
    let placing = place_by_owner(gateway, &address, service, demand, excluded, wait);
    let reply = tokio::select! {
        reply = placing => Some(reply),
        () = until_owner_changes(gateway, service, &address), if waits_on => None,
    };
    let error = match reply {
        Some(Ok(granted)) => return granted,
        Some(Err(status)) => {
            record_owner_call(gateway, service, false);
            status.message().to_owned()
        }
        None => "another owner".to_owned(),
    };
    if crate::log::should_log("owner not reached") {
        warn!("owner not reached; placing anew", kv: {
            request_id = demand.run.as_str(), service, owner = address.as_str(), why = error.as_str(),
        });
    }
    let waited = gateway.now().saturating_sub(started_at);
    if waits_on {
        let left = wait.after(waited);
        return place_anew(gateway, service, demand, excluded, left).await;
    }
    let no_wait = CapacityWait::default();
    place_locally(gateway, service, demand, &own_name, excluded, no_wait).await
}

/// Returns once a service's reachable owner is no longer at `address`. A generation may wait for
/// longer than an owner that is lost or frozen keeps its calls open.
async fn until_owner_changes(gateway: &Gateway, service: &str, address: &str) {
    loop {
        tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
        if reachable_owner_address(gateway, service).as_deref() != Some(address) {
            return;
        }
    }
}

/// Places a generation whose owner was lost while it waited: at the next owner, where it queues for
/// the rest of its wait, or here.
async fn place_anew(
    gateway: &Arc<Gateway>,
    service: &str,
    demand: &RunDemand,
    excluded: &[String],
    wait: CapacityWait,
) -> Result<Placement, PlacementRefused> {
    if let Some(address) = reachable_owner_address(gateway, service)
        && let Ok(placed) = place_by_owner(gateway, &address, service, demand, excluded, wait).await
    {
        return placed;
    }
    let own_name = gateway.incarnation.name.clone();
    // Who places alone knows little of the room, but only its own generations wait here.
    place_locally(gateway, service, demand, &own_name, excluded, wait).await
}

async fn place_by_owner(
    gateway: &Gateway,
    address: &str,
    service: &str,
    demand: &RunDemand,
    excluded: &[String],
    wait: CapacityWait,
) -> Result<Result<Placement, PlacementRefused>, tonic::Status> {
    let mut client = gateway.peers.site_client(address)?;
    let request = wire::PlaceRequest {
        service: service.to_owned(),
        entry: gateway.incarnation.name.clone(),
        demand: Some(demand.into()),
        wait_ms: millis(wait.total),
        excluded: excluded.to_vec(),
        objective_wait_ms: millis(wait.within_objective),
    };
    let requested_at = gateway.now();
    let reply =
        call_with_timeout(wait.total + PLACEMENT_REPLY_MARGIN, client.place(request)).await?;
    // On this instance's clock, and no later than the actual time: if this instance was suspended
    // meanwhile, it sees that the placement is old.
    let counted_at = requested_at + ms(reply.waited_ms);
    let counted_at = reply.counted.then_some(counted_at);
    let room_in = (reply.room_in_ms > 0).then(|| ms(reply.room_in_ms));
    let engine = convert::granted_endpoint(reply).ok_or(PlacementRefused { room_in });
    Ok(engine.map(|engine| Placement { engine, counted_at }))
}

/// Finds an engine from this instance's own ledger and waits for capacity if necessary.
pub(crate) async fn place_locally(
    gateway: &Gateway,
    service: &str,
    demand: &RunDemand,
    entry: &str,
    excluded: &[String],
    wait: CapacityWait,
) -> Result<Placement, PlacementRefused> {
    let shard = gateway.ledgers.shard(service);
    let now = gateway.now();
    let waits_on = gateway.routing.read().load.wait_past_objective;
    let objective_wait = if waits_on {
        wait.within_objective
    } else {
        wait.total
    };
    let request = AdmissionRequest {
        demand: demand.clone(),
        entry: entry.to_owned(),
        excluded: excluded.to_vec(),
        objective_at: now + objective_wait,
        deadline: now + wait.total,
    };
    let reply = {
        let mut shard = shard.lock();
        refresh_engines(gateway, service, &mut shard);
        sync_policy(gateway, &mut shard);
        let ServiceShard {
            ledger,
            queue,
            waiters,
            ..
        } = &mut *shard;
        match queue.request_admission(ledger, request.clone(), now) {
            Admission::Granted(engine) => return Ok(placement(ledger, engine, now)),
            Admission::Refused => {
                let refusal = queue.explain_refusal(ledger, &request, now);
                record_refusal(service, demand, entry, &refusal);
                let room_in = refusal.room_in;
                return Err(PlacementRefused { room_in });
            }
            Admission::Queued(ticket) => {
                let (reply_sender, reply) = oneshot::channel();
                let run = demand.run.clone();
                waiters.insert(ticket, Waiter { run, reply_sender });
                reply
            }
        }
    };
    gateway.ledgers.wake_coordinator();
    // The sender is dropped only when the instance stops.
    let outcome = reply.await.map_err(|_| PlacementRefused::default())?;
    let Some(engine) = outcome.granted else {
        if let Some(refusal) = &outcome.refusal {
            record_refusal(service, demand, entry, refusal);
        }
        let room_in = outcome.refusal.and_then(|refusal| refusal.room_in);
        return Err(PlacementRefused { room_in });
    };
    let shard = shard.lock();
    Ok(placement(&shard.ledger, engine, gateway.now()))
}

fn placement(ledger: &EngineLedger, engine: String, now: Duration) -> Placement {
    Placement {
        counted_at: ledger.is_limited(&engine).then_some(now),
        engine,
    }
}

/// Updates the ledger's engines from the current endpoint list if it has changed since the last
/// call.
fn refresh_engines(gateway: &Gateway, service: &str, shard: &mut ServiceShard) {
    let Some(table) = gateway.table() else { return };
    let capabilities = table.service(service).and_then(|service| service.engine);
    let Some(capabilities) = capabilities else {
        return;
    };
    shard.ledger.set_pace_policy(PacePolicy {
        is_enabled: gateway.routing.read().load.engine_pace,
        event_tokens: capabilities.event_tokens,
    });
    let cold_start = table
        .service(service)
        .and_then(|service| service.cold_start);
    let sender = cold_sender(gateway, service);
    let permits = &gateway.endpoint_signals.permits;
    let limits_version = permits.limits_version();
    let limit_share = permits.has_limits().then(|| gateway.issuer_share(service));
    let engines = {
        let fleet = gateway.fleet.lock();
        let engine_list_key = EngineListKey {
            config_version: table.version(),
            fleet_version: fleet.version(),
            rollout_version: gateway.rollouts.version(),
            sender,
            limits_version,
            limit_share,
        };
        if shard.engine_list_key.replace(engine_list_key) == Some(engine_list_key) {
            return;
        }
        let limits = permits.limits();
        let rollout = EngineRollout::new(gateway, service, &fleet);
        let all = fleet
            .all_endpoints()
            .filter(|(entry, _)| entry.service == service);
        let listed = |(entry, availability): (&EndpointEntry, Availability)| ListedEngine {
            id: entry.id.clone(),
            hall: entry.hall.clone(),
            region: gateway.hall_regions.region_of(&entry.hall).to_owned(),
            version: rollout.compared_version(entry),
            slots: capabilities.slots,
            memory_tokens: capabilities.memory_tokens,
            leaving: availability == Availability::Leaving || rollout.is_given_up(entry),
            leaves_at: fleet.expected_end(&entry.id),
            // Generations in an evacuated hall finish where they run. Moving them, as is done off
            // leaving engines, would overload the other halls.
            closed: !fleet.can_accept_work(&entry.id) || rollout.is_closed(entry),
            supports_migration: capabilities.supports_migration,
            cold: cold_start.map(|cold_start| ColdLimit {
                until: fleet.cold_until(&entry.id),
                share_per_s: cold_start.share_per_s(sender),
            }),
            limit: limits
                .get(&entry.id)
                .zip(limit_share)
                .map(|(per_s, share)| LimitShare {
                    per_s: *per_s,
                    share,
                }),
        };
        all.map(listed).collect()
    };
    shard.ledger.set_engines(engines);
    shard.ledger.sync_permits(gateway.now());
}

/// How a roll-out restricts the engines of a service.
struct EngineRollout {
    view: Option<RolloutView>,
    /// Engines of the new version that are used while the versions are compared.
    canaries: Vec<String>,
}

impl EngineRollout {
    fn new(gateway: &Gateway, service: &str, fleet: &Fleet) -> Self {
        let view = gateway.rollouts.view(service, gateway.now());
        let canaries = view.as_ref().map_or_else(Vec::new, |view| {
            let (target, current): (Vec<_>, Vec<_>) = fleet
                .ready_endpoints(service)
                .partition(|entry| view.version_of(entry) == Version::Target);
            let target = target.iter().map(|entry| entry.id.as_str()).collect();
            let count = gateway.canary_endpoint_count(current.len());
            version_choice::canary_endpoints(&view.target_version, target, count)
        });
        Self { view, canaries }
    }

    /// Returns the version of an engine while versions are compared.
    fn compared_version(&self, entry: &EndpointEntry) -> Option<Version> {
        let view = self.view.as_ref()?;
        matches!(view.phase, Phase::Canary { .. }).then(|| view.version_of(entry))
    }

    /// Returns whether an engine's generations are to be moved to the other version.
    fn is_given_up(&self, entry: &EndpointEntry) -> bool {
        self.view.as_ref().is_some_and(|view| match view.phase {
            Phase::Canary { .. } => false,
            Phase::Finishing | Phase::Completed => view.version_of(entry) == Version::Current,
            Phase::Reverted => view.version_of(entry) == Version::Target,
        })
    }

    /// Returns whether an engine gets no new generations.
    fn is_closed(&self, entry: &EndpointEntry) -> bool {
        self.compared_version(entry) == Some(Version::Target) && !self.canaries.contains(&entry.id)
            || self.is_given_up(entry)
    }
}

/// Returns the role in which this instance sends to the cold engines of a service. An instance cut
/// off from the owner shares the cold-start limit with all other instances that may be cut off too.
fn cold_sender(gateway: &Gateway, service: &str) -> Sender {
    if !gateway.knows_members() {
        Sender::Uninformed
    } else if owner_address(gateway, service).is_none() {
        Sender::Owner
    } else {
        Sender::Standalone {
            instances: gateway.reachable_instance_count(),
        }
    }
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
