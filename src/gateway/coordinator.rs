//! The owner of a service's engines, and how entries reach it.
//!
//! The owner is the live member with the highest weighted hash for the service. Two members that both believe to be owner do no harm: engines
//! refuse what does not fit, and a move carries the name of the engine that it leaves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::{info, warn};
use tokio::sync::oneshot;

use super::ledgers::{EnginesOf, ServiceShard, Waiter};
use super::moves;
use super::node::Gateway;
use super::ownership::{acts_as_owner, note_owner, owner_address, owner_to_ask};
use super::runs::NotTaken;
use crate::kernel::admission_queue::{Admission, AdmissionRequest};
use crate::kernel::clock::millis;
use crate::kernel::cold_start::Sender;
use crate::kernel::engine_ledger::{
    ColdLimit, EngineLedger, ListedEngine, MoveOrder, MoveResult, ReportedRun, RunDemand,
};
use crate::kernel::fleet::{Availability, EndpointEntry};
use crate::kernel::permits::LimitShare;
use crate::peer::client::within;
use crate::peer::convert;
use crate::peer::generated as wire;
use crate::settings::ms;

/// How often a ledger with waiting or leaving generations is looked through.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// How often a quiet one is by its owner.
const QUIET_TICK: Duration = Duration::from_millis(100);
/// How often one is that belongs to another instance, and is kept only for when that one cannot be reached.
const SPARE_TICK: Duration = Duration::from_secs(1);
/// On top of the wait that was asked for, an answer of the owner may take this long.
const PLACE_MARGIN: Duration = Duration::from_millis(150);
/// Longest time for a copy of memory; a whole memory takes half of it.
const MOVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Engines that this instance owns and that run generations and are not known to leave.
pub(crate) fn engines_to_ask(gateway: &Gateway) -> Vec<EndpointEntry> {
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

/// A place for a generation.
pub(crate) struct Placed {
    /// The engine.
    pub(crate) engine: String,
    /// When it was counted against the limit that the engine names, at the earliest; nothing where whoever placed knew of none.
    pub(crate) counted_at: Option<Duration>,
}

/// Finds an engine for a generation, by the owner; where the owner cannot be reached, by what this instance knows itself.
pub(crate) async fn place(
    gateway: &Arc<Gateway>,
    service: &str,
    demand: &RunDemand,
    excluded: &[String],
    wait: Duration,
) -> Option<Placed> {
    let own_name = gateway.incarnation.name.clone();
    let Some(address) = owner_to_ask(gateway, service) else {
        return place_here(gateway, service, demand, &own_name, excluded, wait).await;
    };
    match place_at(gateway, &address, service, demand, excluded, wait).await {
        Ok(granted) => granted,
        Err(status) => {
            note_owner(gateway, service, false);
            if crate::log::admits("owner not reached") {
                warn!("owner not reached; placing alone", kv: {
                    request_id = demand.run.as_str(), service, owner = address.as_str(), why = status.message(),
                });
            }
            place_here(
                gateway,
                service,
                demand,
                &own_name,
                excluded,
                Duration::ZERO,
            )
            .await
        }
    }
}

async fn place_at(
    gateway: &Gateway,
    address: &str,
    service: &str,
    demand: &RunDemand,
    excluded: &[String],
    wait: Duration,
) -> Result<Option<Placed>, tonic::Status> {
    let mut client = gateway.peers.site_at(address)?;
    let request = wire::PlaceRequest {
        service: service.to_owned(),
        entry: gateway.incarnation.name.clone(),
        demand: Some(demand.into()),
        wait_ms: millis(wait),
        excluded: excluded.to_vec(),
    };
    let asked_at = gateway.now();
    let reply = within(wait + PLACE_MARGIN, client.place(request)).await?;
    // On this instance's clock no later than it was: an instance that stood still meanwhile finds it old.
    let counted_at = asked_at + ms(reply.waited_ms);
    let counted_at = reply.counted.then_some(counted_at);
    Ok(convert::granted(reply).map(|engine| Placed { engine, counted_at }))
}

/// Finds an engine by this instance's own ledger, waiting for room if need be.
pub(crate) async fn place_here(
    gateway: &Gateway,
    service: &str,
    demand: &RunDemand,
    entry: &str,
    excluded: &[String],
    wait: Duration,
) -> Option<Placed> {
    let shard = gateway.ledgers.shard(service);
    let now = gateway.now();
    let request = AdmissionRequest {
        demand: demand.clone(),
        entry: entry.to_owned(),
        excluded: excluded.to_vec(),
        deadline: now + wait,
    };
    let waiting = {
        let mut shard = shard.lock();
        refresh_engines(gateway, service, &mut shard);
        let ServiceShard {
            ledger,
            queue,
            waiters,
            ..
        } = &mut *shard;
        match queue.request_admission(ledger, request, now) {
            Admission::Granted(engine) => return Some(placed(ledger, engine, now)),
            Admission::Refused => return None,
            Admission::Queued(ticket) => {
                let (answer, waiting) = oneshot::channel();
                let run = demand.run.clone();
                waiters.insert(ticket, Waiter { run, answer });
                waiting
            }
        }
    };
    gateway.ledgers.wake();
    // The sender is dropped only with the instance.
    let engine = waiting.await.ok().flatten()?;
    let shard = shard.lock();
    Some(placed(&shard.ledger, engine, gateway.now()))
}

fn placed(ledger: &EngineLedger, engine: String, now: Duration) -> Placed {
    Placed {
        counted_at: ledger.is_limited(&engine).then_some(now),
        engine,
    }
}

/// Takes the engines as they are listed now, where they changed since the last time.
fn refresh_engines(gateway: &Gateway, service: &str, shard: &mut ServiceShard) {
    let Some(table) = gateway.table() else { return };
    let shape = table.service(service).and_then(|service| service.engine);
    let Some(shape) = shape else { return };
    let cold_start = table
        .service(service)
        .and_then(|service| service.cold_start);
    let sender = cold_sender(gateway, service);
    let permits = &gateway.endpoint_signals.permits;
    let limits_version = permits.limits_version();
    let limit_share = permits.has_limits().then(|| gateway.issuer_share(service));
    let entries = {
        let fleet = gateway.fleet.lock();
        let engines_of = EnginesOf {
            config_version: table.version(),
            fleet_version: fleet.version(),
            sender,
            limits_version,
            limit_share,
        };
        if shard.engines_of.replace(engines_of) == Some(engines_of) {
            return;
        }
        let limits = permits.limits();
        let all = fleet
            .all_endpoints()
            .filter(|(entry, _)| entry.service == service);
        let entry = |(entry, standing): (&EndpointEntry, Availability)| ListedEngine {
            id: entry.id.clone(),
            hall: entry.hall.clone(),
            slots: shape.slots,
            memory_tokens: shape.memory_tokens,
            leaving: standing == Availability::Leaving,
            // What runs in a hall that is emptied ends where it runs. Moved as off engines that leave, it crowds the other halls: 0.024 of worth
            // (+-0.008) on a day on which two halls are emptied, 0.010 (+-0.005) on one with a loss of all, four paired seeds each.
            closed: !fleet.can_accept_work(&entry.id),
            moves: shape.supports_migration,
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
        all.map(entry).collect()
    };
    shard.ledger.set_engines(entries);
    shard.ledger.sync_permits(gateway.now());
}

/// As whom this instance sends to the cold engines of a service. Who is cut off from the owner shares with all others that may be.
fn cold_sender(gateway: &Gateway, service: &str) -> Sender {
    if owner_address(gateway, service).is_none() {
        Sender::Owner
    } else {
        Sender::Standalone {
            instances: gateway.reachable_instance_count(),
        }
    }
}

/// Takes a report of an entry.
pub(crate) fn take_report(
    gateway: &Gateway,
    service: &str,
    entry: &str,
    runs: Vec<ReportedRun>,
    not_taken: &NotTaken,
) {
    let now = gateway.now();
    let shard = gateway.ledgers.shard(service);
    let mut shard = shard.lock();
    for endpoint in &not_taken.refused {
        shard.ledger.record_refusal(endpoint, now);
    }
    for endpoint in &not_taken.dead {
        shard.ledger.record_unreachable(endpoint, now);
    }
    shard.ledger.apply_report(entry, runs, now);
    shard
        .ledger
        .set_cooling_down(entry, not_taken.resting.clone());
    let wanted = !shard.waiters.is_empty() || shard.ledger.has_runs_on_leaving_engines();
    drop(shard);
    if wanted {
        gateway.ledgers.wake();
    }
}

/// Looks through the ledgers for the life of the instance: gives room to those that wait, and moves generations off engines that
/// leave.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        let ledgers = gateway.ledgers.all();
        let pauses = ledgers
            .iter()
            .map(|(service, shard)| look_through(&gateway, service, shard));
        let pause = pauses.min().unwrap_or(SPARE_TICK);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = gateway.ledgers.wanted.notified(), if pause > BUSY_TICK => {}
        }
    }
}

/// Looks through one ledger; tells when it should be looked through again.
fn look_through(
    gateway: &Arc<Gateway>,
    service: &str,
    shard: &Arc<Mutex<ServiceShard>>,
) -> Duration {
    let now = gateway.now();
    let owned = acts_as_owner(gateway, service);
    let (orders, busy) = {
        let mut shard = shard.lock();
        refresh_engines(gateway, service, &mut shard);
        shard.ledger.expire(now);
        settle_waiters(&mut shard, now);
        let orders = if owned {
            shard.ledger.plan_moves(now)
        } else {
            Vec::new()
        };
        let busy =
            !shard.waiters.is_empty() || (owned && shard.ledger.has_runs_on_leaving_engines());
        (orders, busy)
    };
    for order in orders {
        tokio::spawn(carry_out(gateway.clone(), service.to_owned(), order));
    }
    if busy {
        BUSY_TICK
    } else if owned {
        QUIET_TICK
    } else {
        SPARE_TICK
    }
}

fn settle_waiters(shard: &mut ServiceShard, now: Duration) {
    let ServiceShard {
        ledger,
        queue,
        waiters,
        ..
    } = shard;
    waiters.retain(|ticket, waiter| {
        let has_gone = waiter.answer.is_closed();
        if has_gone {
            queue.cancel(*ticket);
        }
        !has_gone
    });
    for settled in queue.admit_waiting(ledger, now) {
        let Some(waiter) = waiters.remove(&settled.ticket) else {
            continue;
        };
        if let Err(Some(_)) = waiter.answer.send(settled.granted) {
            ledger.release(&waiter.run);
        }
    }
}

/// Has the entry of a generation move it.
async fn carry_out(gateway: Arc<Gateway>, service: String, order: MoveOrder) {
    let begun = gateway.now();
    let request = wire::MoveRunRequest {
        service: service.clone(),
        run: order.run.clone(),
        source: order.source.clone(),
        target: order.target.clone(),
        target_counted: order.target_counted,
    };
    let (result, reason) = if order.entry == gateway.incarnation.name {
        moves::move_run(&gateway, &request).await
    } else {
        move_at(&gateway, &order.entry, request).await
    };
    let now = gateway.now();
    let took_ms = millis(now.saturating_sub(begun));
    if crate::log::admits("move ended") {
        info!("move ended", kv: {
            request_id = order.run.as_str(), source = order.source.as_str(), target = order.target.as_str(),
            result:?, reason = reason.as_str(), took_ms:,
        });
    }
    metrics::counter!("larkwick_moves_total", "result" => format!("{result:?}")).increment(1);
    let shard = gateway.ledgers.shard(&service);
    shard.lock().ledger.record_move_result(&order, result, now);
    gateway.ledgers.wake();
}

async fn move_at(
    gateway: &Gateway,
    entry: &str,
    request: wire::MoveRunRequest,
) -> (MoveResult, String) {
    let address = {
        let members = gateway.members.lock();
        members
            .get(entry)
            .map(|peer| peer.status.peer_address.clone())
    };
    let Some(address) = address else {
        return (MoveResult::RunGone, "entry unknown".to_owned());
    };
    let client = gateway.peers.site_at(&address);
    let called = match client {
        Ok(mut client) => within(MOVE_TIMEOUT, client.move_run(request)).await,
        Err(status) => Err(status),
    };
    match called {
        Ok(reply) => (convert::move_result(reply.result), reply.reason),
        Err(status) => (MoveResult::Failed, status.message().to_owned()),
    }
}
