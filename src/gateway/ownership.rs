//! Who owns a service's engines, and whether this instance decides on them itself.

use spdlog::info;

use super::node::{Gateway, Stage};

/// Peer address of the owner of a service's engines; nothing where it is this instance.
pub(super) fn owner_address(gateway: &Gateway, service: &str) -> Option<String> {
    let live = gateway.live.view();
    let owner = match gateway.in_flight.stage() {
        Stage::Leaving => live.owner_among_others(service),
        Stage::Serving => live.owner(service),
    }?;
    let is_other = owner.name != gateway.incarnation.name;
    is_other.then(|| owner.peer_address.clone())
}

/// The owner's address where it is another instance that answers.
pub(super) fn owner_to_ask(gateway: &Gateway, service: &str) -> Option<String> {
    let address = owner_address(gateway, service)?;
    let is_lost = gateway
        .ledgers
        .owners
        .lock()
        .is_unreachable(service, gateway.now());
    (!is_lost).then_some(address)
}

/// Whether this instance decides on a service's engines: as their owner, or alone since it cannot reach the owner.
pub(super) fn acts_as_owner(gateway: &Gateway, service: &str) -> bool {
    owner_address(gateway, service).is_none()
        || gateway
            .ledgers
            .owners
            .lock()
            .is_cut_off(service, gateway.now())
}

/// Takes whether the owner of a service answered. An instance that is cut off from it acts alone until it does: a wait for the owner at each
/// generation makes all of them late, and nobody else moves what it serves off engines that leave.
pub(super) fn note_owner(gateway: &Gateway, service: &str, answered: bool) {
    let now = gateway.now();
    let is_news = gateway
        .ledgers
        .owners
        .lock()
        .record_call(service, answered, now);
    if is_news {
        info!("owner", kv: { service, answered: });
        gateway.ledgers.wake();
    }
}
