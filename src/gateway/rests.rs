//! What endpoints that ask for rest, or that all leave, mean to calls: where they may go, whether they wait, and when their callers are to come back.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use rand::RngExt;

use super::inbound_call::Call;
use super::node::Gateway;
use super::site_store::Subject;
use crate::kernel::cooldown::{RETRY_AFTER_SPREAD, ServiceAvailability};
use crate::kernel::fleet::EndpointEntry;

impl Gateway {
    /// Whether an endpoint asked this instance for rest that is not over.
    pub(crate) fn rests(&self, endpoint: &str) -> bool {
        self.words
            .rests
            .lock()
            .is_cooling_down(endpoint, self.now())
    }

    /// Whether a request may go to an endpoint for what runs there already; it may not be sent later than at once.
    pub(crate) fn admits_relief(&self, endpoint: &str) -> bool {
        let now = self.now();
        self.words.rests.lock().try_admit_exempt(endpoint, now)
    }

    /// Endpoints to which nothing new may go from here for now: those that rest, and those for which no permit is to be had.
    pub(super) fn closed(&self) -> BTreeSet<String> {
        let mut closed = self.resting();
        closed.extend(self.words.permits.closed());
        closed
    }

    /// Endpoints that rest.
    pub(crate) fn resting(&self) -> BTreeSet<String> {
        let now = self.now();
        let rests = self.words.rests.lock();
        rests.cooling_down(now).map(str::to_owned).collect()
    }
}

/// While the list is away nobody hears of new endpoints. Callers heed a third of the time that they have left, so that a longer time is mostly cut.
const LIST_AWAY: Duration = Duration::from_secs(3);

/// Who comes back sooner meets the same crowd.
const COME_BACK_MIN: Duration = Duration::from_millis(100);

/// What a call's service can do for it, as far as rests go: `is_excluded` tells which endpoints it may not go to. Where all have left while the list of
/// endpoints is away, others are not heard of before it is back.
pub(super) fn outlook(
    call: &Call,
    is_excluded: impl Fn(&EndpointEntry) -> bool,
    waits_until: Duration,
) -> ServiceAvailability {
    let gateway = &call.gateway;
    let now = gateway.now();
    let (all_have_left, ready) = {
        let fleet = gateway.fleet.lock();
        let all_have_left = fleet.ready(&call.service).next().is_none();
        let ready = fleet.ready(&call.service);
        let ready = ready.filter(|endpoint| !is_excluded(endpoint));
        let ready: Vec<String> = ready.map(|endpoint| endpoint.id.clone()).collect();
        (all_have_left, ready)
    };
    if all_have_left && gateway.store.is_store_away(Subject::Endpoints) {
        let until = now + LIST_AWAY;
        return ServiceAvailability::Unavailable { until };
    }
    let closed_until = ready.iter().map(|endpoint| {
        let rests_until = gateway.words.rests.lock().ends_at(endpoint, now);
        rests_until.max(gateway.words.permits.none_before(endpoint))
    });
    ServiceAvailability::for_request(closed_until, waits_until)
}

/// Whether another endpoint may be asked than those that were tried.
pub(super) fn has_another(call: &Call, tried: &HashSet<String>) -> bool {
    let closed = call.gateway.closed();
    let fleet = call.gateway.fleet.lock();
    let mut ready = fleet.ready(&call.service);
    ready.any(|endpoint| !tried.contains(&endpoint.id) && !closed.contains(&endpoint.id))
}

/// When a caller is to come back where no endpoint of the service is to be had for now; nothing where some are, or may be heard of at any moment.
pub(super) fn come_back_after(call: &Call) -> Option<Duration> {
    match outlook(call, |_| false, Duration::ZERO) {
        ServiceAvailability::Available => None,
        ServiceAvailability::AvailableAt { at: until }
        | ServiceAvailability::Unavailable { until } => {
            let left = until.saturating_sub(call.gateway.now());
            let left = left.max(COME_BACK_MIN);
            Some(left.mul_f64(rand::rng().random_range(1.0..RETRY_AFTER_SPREAD)))
        }
    }
}
