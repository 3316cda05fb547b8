//! Determines which instance owns a service's engines, and whether this instance decides on them
//! itself.

use spdlog::info;

use super::in_flight::Stage;
use super::node::Gateway;

/// Returns the peer address of the owner of a service's engines; `None` if this instance is the
/// owner or no owner is known.
pub(super) fn owner_address(gateway: &Gateway, service: &str) -> Option<String> {
    let live = gateway.live_members.view();
    let owner = match gateway.in_flight.stage() {
        Stage::Leaving => live.owner_among_others(service),
        Stage::Serving => live.owner(service),
    }?;
    let is_other = owner.name != gateway.incarnation.name;
    is_other.then(|| owner.peer_address.clone())
}

/// Returns the owner's address if the owner is another instance and reachable.
pub(super) fn reachable_owner_address(gateway: &Gateway, service: &str) -> Option<String> {
    let address = owner_address(gateway, service)?;
    let is_unreachable = gateway
        .ledgers
        .owners
        .lock()
        .is_unreachable(service, gateway.now());
    (!is_unreachable).then_some(address)
}

/// Returns whether this instance decides on a service's engines, as their owner or alone because it
/// is cut off from the owner.
pub(super) fn acts_as_owner(gateway: &Gateway, service: &str) -> bool {
    owner_address(gateway, service).is_none()
        || gateway
            .ledgers
            .owners
            .lock()
            .is_cut_off(service, gateway.now())
}

/// Records whether the owner of a service answered a call.
///
/// An instance that is cut off from the owner acts alone until the owner answers: waiting for the
/// owner at each generation would delay all of them, and no other instance moves the generations
/// that this instance serves off leaving engines.
pub(super) fn record_owner_call(gateway: &Gateway, service: &str, answered: bool) {
    let now = gateway.now();
    let has_changed = gateway
        .ledgers
        .owners
        .lock()
        .record_call(service, answered, now);
    if has_changed {
        info!("owner", kv: { service, answered: });
        gateway.ledgers.wake_coordinator();
    }
}
