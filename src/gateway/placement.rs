//! Placement of a generation: through the owner of the service's engines, or from this instance's
//! own ledger if the owner is unreachable.

use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;
use tokio::sync::oneshot;

use super::admission_policy::{record_refusal, sync_policy};
use super::engine_list::refresh_engines;
use super::ledgers::{ServiceShard, Waiter};
use super::node::Gateway;
use super::ownership::{owner_address, reachable_owner_address, record_owner_call};
use crate::kernel::admission_queue::{Admission, AdmissionRequest};
use crate::kernel::clock::millis;
use crate::kernel::engine_ledger::{EngineLedger, RunDemand};
use crate::peer::client::call_with_timeout;
use crate::peer::convert;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Time allowed for the owner's response, beyond the requested wait.
const PLACEMENT_REPLY_MARGIN: Duration = Duration::from_millis(150);
/// Interval at which a generation that waits checks that its owner is still the owner.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Owners that a generation which may wait on asks, one after the other, before this instance
/// places it.
const OWNERS_ASKED_MAX: usize = 2;

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
    /// Engine that is to keep a copy of the generation's memory.
    pub(crate) copy_at: Option<String>,
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
///
/// If the owner is lost while the generation waits, the next one gets it for the rest of the wait.
pub(crate) async fn place(
    gateway: &Arc<Gateway>,
    service: &str,
    demand: &RunDemand,
    excluded: &[String],
    wait: CapacityWait,
) -> Result<Placement, PlacementRefused> {
    let waits_on = gateway.routing.read().load.wait_past_objective;
    let owners_max = if waits_on { OWNERS_ASKED_MAX } else { 1 };
    let started_at = gateway.now();
    let mut left = wait;
    for _ in 0..owners_max {
        let Some(address) = reachable_owner_address(gateway, service) else {
            break;
        };
        let reply = ask_owner(gateway, &address, service, demand, excluded, left, waits_on).await;
        let error = match reply {
            Ok(placed) => return placed,
            Err(error) => error,
        };
        if crate::log::should_log("owner not reached") {
            warn!("owner not reached; placing anew", kv: {
                request_id = demand.run.as_str(), service, owner = address.as_str(), why = error.as_str(),
            });
        }
        left = if waits_on {
            wait.after(gateway.now().saturating_sub(started_at))
        } else {
            CapacityWait::default()
        };
    }
    let own_name = gateway.incarnation.name.clone();
    place_locally(gateway, service, demand, &own_name, excluded, left).await
}

/// Asks an owner for an engine, or returns why it gave no answer.
async fn ask_owner(
    gateway: &Gateway,
    address: &str,
    service: &str,
    demand: &RunDemand,
    excluded: &[String],
    wait: CapacityWait,
    waits_on: bool,
) -> Result<Result<Placement, PlacementRefused>, String> {
    let placing = place_by_owner(gateway, address, service, demand, excluded, wait);
    let reply = tokio::select! {
        reply = placing => reply,
        () = until_owner_changes(gateway, service, address), if waits_on => {
            return Err("another owner".to_owned());
        }
    };
    reply.map_err(|status| {
        record_owner_call(gateway, service, false);
        status.message().to_owned()
    })
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
    let granted = convert::granted_endpoints(reply).ok_or(PlacementRefused { room_in });
    Ok(granted.map(|(engine, copy_at)| Placement {
        engine,
        copy_at,
        counted_at,
    }))
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
        match queue.request_admission(ledger, request, now) {
            Admission::Granted(engine) => {
                return Ok(placement(
                    gateway,
                    service,
                    ledger,
                    &demand.run,
                    engine,
                    now,
                ));
            }
            Admission::Refused(refusal) => {
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
    let ledger = &mut shard.lock().ledger;
    let now = gateway.now();
    Ok(placement(
        gateway,
        service,
        ledger,
        &demand.run,
        engine,
        now,
    ))
}

fn placement(
    gateway: &Gateway,
    service: &str,
    ledger: &mut EngineLedger,
    run: &str,
    engine: String,
    now: Duration,
) -> Placement {
    // Whoever places alone knows its own generations alone, and takes full engines for empty ones.
    let keeps_copies =
        gateway.routing.read().load.standby_copies && owner_address(gateway, service).is_none();
    Placement {
        counted_at: ledger.is_limited(&engine).then_some(now),
        copy_at: keeps_copies.then(|| ledger.place_copy(run, now)).flatten(),
        engine,
    }
}
