//! Effect of cooldowns and departures of endpoints on calls: where a call may go, whether it waits,
//! and when its caller may retry.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use rand::RngExt;

use super::endpoint_presence::RECHECK_INTERVAL;
use super::inbound_call::Call;
use super::node::Gateway;
use super::site_store::Subject;
use crate::kernel::cooldown::{RETRY_AFTER_SPREAD, ServiceAvailability};
use crate::kernel::fleet::EndpointEntry;

impl Gateway {
    /// Returns whether an endpoint is cooling down for this instance.
    pub(crate) fn is_cooling_down(&self, endpoint: &str) -> bool {
        self.endpoint_signals
            .cooldowns
            .lock()
            .is_cooling_down(endpoint, self.now())
    }

    /// Admits a request to an endpoint, also during its cooldown, on behalf of generations that
    /// already run there. Returns whether it may be sent; it must then be sent at once.
    pub(crate) fn try_admit_exempt(&self, endpoint: &str) -> bool {
        let now = self.now();
        self.endpoint_signals
            .cooldowns
            .lock()
            .try_admit_exempt(endpoint, now)
    }

    /// Returns the endpoints that get no new requests from here for now: those that are cooling
    /// down, and those for which no permit is available.
    pub(super) fn unavailable_endpoints(&self) -> BTreeSet<String> {
        let mut unavailable = self.cooling_down_endpoints();
        unavailable.extend(self.endpoint_signals.permits.denied_endpoints());
        unavailable
    }

    /// Returns the endpoints that are cooling down.
    pub(crate) fn cooling_down_endpoints(&self) -> BTreeSet<String> {
        let now = self.now();
        let cooldowns = self.endpoint_signals.cooldowns.lock();
        cooldowns.cooling_down(now).map(str::to_owned).collect()
    }
}

/// Retry delay during an outage of the endpoint list, when no new endpoints become known. Callers
/// honour up to a third of the time they have left, so a longer delay would mostly be cut short.
const LIST_OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Minimum retry delay; callers that retry sooner meet the same overload.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Returns when an endpoint of the service becomes available, as far as cooldowns and rate limits
/// go. `is_excluded` selects the endpoints that the call must not use.
///
/// If all endpoints have ended and would never answer, none is available until they are probed
/// again.
///
/// If all endpoints have left during an outage of the endpoint list, new ones become known only
/// after the outage.
pub(super) fn service_availability(
    call: &Call,
    is_excluded: impl Fn(&EndpointEntry) -> bool,
    wait_until: Duration,
) -> ServiceAvailability {
    let gateway = &call.gateway;
    let now = gateway.now();
    let unavailable = gateway.unavailable_endpoints();
    let unanswered = gateway.presence_probes.unanswered_endpoints();
    let (no_endpoint_ready, eligible) = {
        let fleet = gateway.fleet.lock();
        let no_endpoint_ready = fleet.ready_endpoints(&call.service).next().is_none();
        let eligible = || {
            call.eligible_endpoints(&fleet, &is_excluded)
                .map(|one| &one.id)
        };
        if eligible().any(|id| !unavailable.contains(id) && !unanswered.contains(id)) {
            return ServiceAvailability::Available;
        }
        let eligible: Vec<String> = eligible().cloned().collect();
        (no_endpoint_ready, eligible)
    };
    let (unanswered, eligible): (Vec<String>, Vec<String>) = eligible
        .into_iter()
        .partition(|endpoint| unanswered.contains(endpoint));
    if eligible.is_empty() && !unanswered.is_empty() {
        // Nothing is known of their replacements, so nothing is waited for.
        let until = now + RECHECK_INTERVAL;
        return ServiceAvailability::Unavailable { until };
    }
    if no_endpoint_ready && gateway.store.is_store_unavailable(Subject::Endpoints) {
        let until = now + LIST_OUTAGE_RETRY_AFTER;
        return ServiceAvailability::Unavailable { until };
    }
    let unavailable_until = eligible.iter().map(|endpoint| {
        let cooldown_until = gateway
            .endpoint_signals
            .cooldowns
            .lock()
            .ends_at(endpoint, now);
        cooldown_until.max(gateway.endpoint_signals.permits.denied_until(endpoint))
    });
    ServiceAvailability::for_request(unavailable_until, wait_until)
}

/// Returns whether the call can be sent to an available endpoint that was not tried.
pub(super) fn has_untried_endpoint(call: &Call, tried: &HashSet<String>) -> bool {
    let unavailable = call.gateway.unavailable_endpoints();
    let fleet = call.gateway.fleet.lock();
    let is_excluded = |endpoint: &EndpointEntry| {
        tried.contains(&endpoint.id) || unavailable.contains(&endpoint.id)
    };
    let mut untried = call.eligible_endpoints(&fleet, is_excluded);
    untried.next().is_some()
}

/// Returns the delay after which a caller may retry if no endpoint of the service is available for
/// now; `None` if one is available or may become known at any moment.
pub(super) fn retry_after_cooldown(call: &Call) -> Option<Duration> {
    match service_availability(call, |_| false, Duration::ZERO) {
        ServiceAvailability::Available => None,
        ServiceAvailability::AvailableAt { at: until }
        | ServiceAvailability::Unavailable { until } => {
            let remaining = until.saturating_sub(call.gateway.now());
            let remaining = remaining.max(RETRY_AFTER_MIN);
            Some(remaining.mul_f64(rand::rng().random_range(1.0..RETRY_AFTER_SPREAD)))
        }
    }
}
