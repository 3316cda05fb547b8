//! Which endpoint a call with one answer goes to: one that was not tried, that fares well, and that bears one more where it is cold.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::RngExt;

use super::inbound_call::Call;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;

/// Draws an endpoint that was not tried, by weight; where all were tried, rest, or get no more for now, none. `before_any` is the pace of a
/// service that has not answered yet.
pub(super) fn choose(
    call: &Call,
    tried: &HashSet<String>,
    before_any: ResponseTimeEstimate,
) -> Option<EndpointEntry> {
    let gateway = &call.gateway;
    let now = gateway.now();
    let closed = gateway.closed();
    let mut candidates: Vec<EndpointEntry> = {
        let fleet = gateway.fleet.lock();
        let ready = fleet.ready(&call.service);
        ready
            .filter(|entry| !tried.contains(&entry.id) && !closed.contains(&entry.id))
            .cloned()
            .collect()
    };
    let cold = cold_shares(call, &candidates, now);
    {
        let gate = gateway.cold_gate.lock();
        candidates.retain(|entry| {
            let share = cold.get(&entry.id);
            share.is_none_or(|share| gate.admits(&entry.id, *share, now))
        });
    }
    let chosen = draw(call, candidates, before_any, now)?;
    if cold.contains_key(&chosen.id) {
        gateway.cold_gate.lock().note(&chosen.id, now);
    }
    Some(chosen)
}

/// Calls that this instance may send in a second to each of the endpoints that are cold.
fn cold_shares(call: &Call, candidates: &[EndpointEntry], now: Duration) -> HashMap<String, u32> {
    let gateway = &call.gateway;
    let service = call.table.service(&call.service);
    let Some(cold_start) = service.and_then(|service| service.cold_start) else {
        return HashMap::new();
    };
    let cold: Vec<&EndpointEntry> = {
        let fleet = gateway.fleet.lock();
        let all = candidates.iter();
        all.filter(|entry| now < fleet.cold_until(&entry.id))
            .collect()
    };
    if cold.is_empty() {
        return HashMap::new();
    }
    let members = gateway.members.lock();
    let counted = members.counted(now);
    let others: Vec<&str> = counted
        .map(|peer| peer.status.incarnation.name.as_str())
        .collect();
    let own_name = &gateway.incarnation.name;
    let shares = cold.into_iter().map(|entry| {
        let others = others.iter().copied();
        let share = cold_start.share_by_name(own_name, others, &entry.id);
        (entry.id.clone(), share)
    });
    shares.collect()
}

/// Draws one of the candidates by how they fared of late.
fn draw(
    call: &Call,
    candidates: Vec<EndpointEntry>,
    before_any: ResponseTimeEstimate,
    now: Duration,
) -> Option<EndpointEntry> {
    let gateway = &call.gateway;
    let weights: Vec<f64> = {
        let late_after = gateway.pace(&call.service, before_any).overdue();
        let health = gateway.health.lock();
        let weight = |entry: &EndpointEntry| health.weight(&entry.id, entry.slots, late_after, now);
        candidates.iter().map(weight).collect()
    };
    let total: f64 = weights.iter().sum();
    let mut left = rand::rng().random_range(0.0..1.0) * total;
    for (candidate, weight) in candidates.iter().zip(weights) {
        left -= weight;
        if left < 0.0 {
            return Some(candidate.clone());
        }
    }
    candidates.into_iter().next_back()
}
