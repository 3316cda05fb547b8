//! Orders of the owner of a service's engines to move generations off leaving engines, each carried
//! out by the entry instance that serves the generation.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use super::ledgers::ServiceShard;
use super::moves;
use super::node::Gateway;
use super::ownership::acts_as_owner;
use crate::kernel::clock::millis;
use crate::kernel::engine_ledger::{MoveOrder, MoveResult};
use crate::kernel::move_schedule::{CopyLink, MissedMove};
use crate::peer::client::call_with_timeout;
use crate::peer::convert;
use crate::peer::generated as wire;

/// Longest time for copying a generation's memory; a copy of all of it takes half of this time.
const MOVE_TIMEOUT: Duration = Duration::from_secs(3);

/// A move that is due.
pub(super) struct DueMove {
    order: MoveOrder,
    /// How long its result is waited for.
    result_wait: Duration,
    /// Whether it was planned by the end of its engine.
    is_scheduled: bool,
}

/// Returns the link by which moves of a service are scheduled; `None` if they are not.
pub(super) fn scheduling_link(gateway: &Gateway, service: &str) -> Option<CopyLink> {
    if !gateway.routing.read().load.scheduled_moves {
        return None;
    }
    let table = gateway.table()?;
    let engine = table.service(service)?.engine?;
    Some(CopyLink {
        token_bytes: engine.token_bytes,
        link_mbps: engine.link_mbps,
    })
}

/// Plans the moves that are due in a ledger that this instance owns, and records them there.
pub(super) fn plan_due_moves(
    service: &str,
    shard: &mut ServiceShard,
    link: Option<CopyLink>,
    now: Duration,
) -> Vec<DueMove> {
    let Some(link) = link else {
        let orders = shard.ledger.plan_moves(now).into_iter();
        let due = orders.map(|order| DueMove {
            order,
            result_wait: MOVE_TIMEOUT,
            is_scheduled: false,
        });
        return due.collect();
    };
    let plan = shard.ledger.plan_scheduled_moves(link, now);
    for missed in &plan.missed {
        record_missed_move(service, missed);
    }
    let due = plan.orders.into_iter().map(|(order, wait)| DueMove {
        order,
        result_wait: wait.min(MOVE_TIMEOUT),
        is_scheduled: true,
    });
    due.collect()
}

fn record_missed_move(service: &str, missed: &MissedMove) {
    let reason = missed.reason.name();
    metrics::counter!("larkwick_moves_missed_total", "reason" => reason).increment(1);
    if crate::log::should_log("generation not moved in time") {
        info!("generation not moved in time", kv: {
            request_id = missed.run.as_str(), service, source = missed.source.as_str(), why = reason,
        });
    }
}

/// Starts moves without waiting for them.
pub(super) fn start_moves(gateway: &Arc<Gateway>, service: &str, due: Vec<DueMove>) {
    for due in due {
        tokio::spawn(execute_move(gateway.clone(), service.to_owned(), due));
    }
}

/// Plans and starts the next moves right after the result of one, so that the link of the leaving
/// engine does not idle until the ledger is processed.
fn start_next_moves(gateway: &Arc<Gateway>, service: &str) {
    let link = scheduling_link(gateway, service);
    if link.is_none() || !acts_as_owner(gateway, service) {
        return;
    }
    let shard = gateway.ledgers.shard(service);
    let due = plan_due_moves(service, &mut shard.lock(), link, gateway.now());
    start_moves(gateway, service, due);
}

/// Executes a planned move through the entry instance that serves the generation.
async fn execute_move(gateway: Arc<Gateway>, service: String, due: DueMove) {
    let order = due.order;
    let started_at = gateway.now();
    let request = wire::MoveRunRequest {
        service: service.clone(),
        run: order.run.clone(),
        source: order.source.clone(),
        target: order.target.clone(),
        target_counted: order.target_counted,
    };
    let (result, reason) = if order.entry == gateway.incarnation.name {
        let moving = moves::move_run(&gateway, &request);
        let moved = tokio::time::timeout(due.result_wait, moving).await;
        moved.unwrap_or_else(|_| (MoveResult::Failed, "no result in time".to_owned()))
    } else {
        request_move(&gateway, &order.entry, request, due.result_wait).await
    };
    let now = gateway.now();
    let took_ms = millis(now.saturating_sub(started_at));
    if crate::log::should_log("move ended") {
        info!("move ended", kv: {
            request_id = order.run.as_str(), source = order.source.as_str(), target = order.target.as_str(),
            result:?, reason = reason.as_str(), took_ms:,
        });
    }
    metrics::counter!("larkwick_moves_total", "result" => format!("{result:?}")).increment(1);
    let shard = gateway.ledgers.shard(&service);
    if due.is_scheduled {
        let mut shard = shard.lock();
        shard.ledger.record_scheduled_result(&order, result, now);
        drop(shard);
        start_next_moves(&gateway, &service);
    } else {
        shard.lock().ledger.record_move_result(&order, result, now);
    }
    gateway.ledgers.wake_coordinator();
}

async fn request_move(
    gateway: &Gateway,
    entry: &str,
    request: wire::MoveRunRequest,
    result_wait: Duration,
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
    let client = gateway.peers.site_client(&address);
    let response = match client {
        Ok(mut client) => call_with_timeout(result_wait, client.move_run(request)).await,
        Err(status) => Err(status),
    };
    match response {
        Ok(reply) => (convert::decode_move_result(reply.result), reply.reason),
        Err(status) => (MoveResult::Failed, status.message().to_owned()),
    }
}
