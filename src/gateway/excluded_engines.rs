//! The engines that a generation must not be placed on.

use std::collections::BTreeSet;

use super::inbound_call::Call;
use super::started_generation::EngineAttempts;
use crate::kernel::fleet::EndpointEntry;

/// Returns the engines that must not be granted: those that did not accept the generation, those
/// in a cooldown towards this instance, and those that it avoids. The owner does not know of these
/// yet and would grant the engines for as long as they look empty.
pub(super) fn excluded_engines(call: &Call, attempts: &EngineAttempts) -> Vec<String> {
    let gateway = &call.gateway;
    let mut excluded = gateway.cooling_down_endpoints();
    excluded.extend(attempts.excluded.iter().cloned());
    let avoided = {
        let fleet = gateway.fleet.lock();
        let others = call.eligible_endpoints(&fleet, |engine| excluded.contains(&engine.id));
        gateway.avoided_endpoints(others)
    };
    excluded.extend(avoided);
    excluded.extend(unreached_engines(call, &excluded));
    excluded.into_iter().collect()
}

/// Returns the engines that could not be connected to from here a short time ago; none if there is no
/// other that is not excluded.
fn unreached_engines(call: &Call, excluded: &BTreeSet<String>) -> BTreeSet<String> {
    let unreached = call.gateway.reach.unreached_endpoints();
    if unreached.is_empty() {
        return unreached;
    }
    let fleet = call.gateway.fleet.lock();
    let is_excluded =
        |engine: &EndpointEntry| excluded.contains(&engine.id) || unreached.contains(&engine.id);
    let has_other = call
        .eligible_endpoints(&fleet, is_excluded)
        .next()
        .is_some();
    if has_other {
        unreached
    } else {
        BTreeSet::new()
    }
}
