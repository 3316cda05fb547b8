//! Selects the endpoint for a call that gets a single response: one that was not tried, weighted by
//! health, and within its sustainable rate if it is cold.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rand::RngExt;

use super::inbound_call::Call;
use super::version_choice;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;

/// Returns a random endpoint that was not tried, drawn by weight; `None` if all were tried, are
/// cooling down, are rate-limited, or are cold and have received their share of calls for now.
///
/// `initial_response_time` is the response-time estimate of a service that has not responded yet.
pub(super) fn select_endpoint(
    call: &Call,
    tried: &HashSet<String>,
    initial_response_time: ResponseTimeEstimate,
) -> Option<EndpointEntry> {
    let gateway = &call.gateway;
    let now = gateway.now();
    let unavailable = gateway.unavailable_endpoints();
    let candidates: Vec<EndpointEntry> = {
        let fleet = gateway.fleet.lock();
        let is_excluded =
            |entry: &EndpointEntry| tried.contains(&entry.id) || unavailable.contains(&entry.id);
        call.eligible_endpoints(&fleet, is_excluded)
            .cloned()
            .collect()
    };
    let mut candidates = version_choice::usable_endpoints(call, candidates, !tried.is_empty());
    let avoided = gateway.avoided_endpoints(candidates.iter());
    candidates.retain(|entry| !avoided.contains(&entry.id));
    let cold = cold_start_shares(call, &candidates, now);
    {
        let rate_limiter = gateway.cold_rate_limiter.lock();
        candidates.retain(|entry| {
            let share = cold.get(&entry.id);
            share.is_none_or(|share| rate_limiter.can_send(&entry.id, *share, now))
        });
    }
    let selected = draw_weighted(call, candidates, initial_response_time, now)?;
    if cold.contains_key(&selected.id) {
        gateway
            .cold_rate_limiter
            .lock()
            .record_sent(&selected.id, now);
    }
    Some(selected)
}

/// Returns, for each cold endpoint, the calls per second that this instance may send to it.
fn cold_start_shares(
    call: &Call,
    candidates: &[EndpointEntry],
    now: Duration,
) -> HashMap<String, u32> {
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
    if !gateway.knows_members() {
        let none = cold.into_iter().map(|entry| (entry.id.clone(), 0));
        return none.collect();
    }
    let members = gateway.members.lock();
    let reachable = members.recently_reachable(now);
    let other_instances: Vec<&str> = reachable
        .map(|peer| peer.status.incarnation.name.as_str())
        .collect();
    let own_name = &gateway.incarnation.name;
    let shares = cold.into_iter().map(|entry| {
        let other_instances = other_instances.iter().copied();
        let share = cold_start.share_per_s_by_hash(own_name, other_instances, &entry.id);
        (entry.id.clone(), share)
    });
    shares.collect()
}

/// Draws a candidate, weighted by its recent health.
fn draw_weighted(
    call: &Call,
    candidates: Vec<EndpointEntry>,
    initial_response_time: ResponseTimeEstimate,
    now: Duration,
) -> Option<EndpointEntry> {
    let gateway = &call.gateway;
    let weights: Vec<f64> = {
        let overdue_after = gateway
            .response_time(&call.service, initial_response_time)
            .overdue();
        let health = gateway.health.lock();
        let weight =
            |entry: &EndpointEntry| health.weight(&entry.id, entry.slots, overdue_after, now);
        candidates.iter().map(weight).collect()
    };
    let total: f64 = weights.iter().sum();
    let mut remaining = rand::rng().random_range(0.0..1.0) * total;
    for (candidate, weight) in candidates.iter().zip(weights) {
        remaining -= weight;
        if remaining < 0.0 {
            return Some(candidate.clone());
        }
    }
    candidates.into_iter().next_back()
}
