//! Which services an instance reaches, as its own connections to their endpoints show.
//!
//! A connection that is refused or not answered has two explanations: the endpoint is down, or the
//! instance has lost its way to it. They are told apart by the other endpoints of the service: an
//! instance that reaches none of them is taken for cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Endpoints that have to fail one after the other, without a connection in between.
const CUT_OFF_ENDPOINTS: usize = 2;
/// How long an endpoint that could not be connected to is avoided here.
const UNREACHED_BACKOFF: Duration = Duration::from_secs(2);

/// Connections of an instance to the endpoints of one service.
#[derive(Debug, Clone, Default)]
struct ServiceReach {
    /// When a connection was last made.
    reached_at: Option<Duration>,
    /// Endpoints that could not be connected to since then; at most [`CUT_OFF_ENDPOINTS`].
    failed: BTreeSet<String>,
    /// Since when the instance is taken for cut off. Never set without a failed endpoint.
    cut_off_since: Option<Duration>,
}

/// Connections of an instance to the endpoints of all services.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    services: BTreeMap<String, ServiceReach>,
    /// When each endpoint could last not be connected to, if no connection was made since.
    unreached: BTreeMap<String, Duration>,
}

impl Reachability {
    /// Records a connection that was made. Returns for how long the instance was cut off, if it was.
    pub fn record_reached(
        &mut self,
        service: &str,
        endpoint: &str,
        now: Duration,
    ) -> Option<Duration> {
        self.unreached.remove(endpoint);
        let reach = self.services.entry(service.to_owned()).or_default();
        reach.reached_at = Some(now);
        reach.failed.clear();
        let since = reach.cut_off_since.take();
        since.map(|since| now.saturating_sub(since))
    }

    /// Records a connection that was refused or not answered, to one of `listed` endpoints. Returns
    /// whether the instance is taken for cut off from now on.
    pub fn record_unreached(
        &mut self,
        service: &str,
        endpoint: &str,
        listed: usize,
        now: Duration,
    ) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < UNREACHED_BACKOFF;
        self.unreached.retain(|_, at| is_recent(*at));
        self.unreached.insert(endpoint.to_owned(), now);
        let reach = self.services.entry(service.to_owned()).or_default();
        if reach.cut_off_since.is_some() {
            return false;
        }
        reach.failed.insert(endpoint.to_owned());
        let is_cut_off = reach.failed.len() >= CUT_OFF_ENDPOINTS.min(listed);
        if is_cut_off {
            reach.cut_off_since = Some(now);
        }
        is_cut_off
    }

    /// Returns whether the instance is taken for cut off from a service.
    #[must_use]
    pub fn is_cut_off(&self, service: &str) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.cut_off_since.is_some())
    }

    /// Returns the services from which the instance is taken for cut off.
    #[must_use]
    pub fn cut_off_services(&self) -> Vec<String> {
        let services = self.services.iter();
        let cut_off = services.filter(|(_, reach)| reach.cut_off_since.is_some());
        cut_off.map(|(service, _)| service.clone()).collect()
    }

    /// Returns whether a connection to the service was made at `since` or later.
    #[must_use]
    pub fn has_reached_since(&self, service: &str, since: Duration) -> bool {
        let reach = self.services.get(service);
        let reached_at = reach.and_then(|reach| reach.reached_at);
        reached_at.is_some_and(|at| at >= since)
    }

    /// Returns the endpoints that could not be connected to a short time ago.
    #[must_use]
    pub fn unreached_endpoints(&self, now: Duration) -> BTreeSet<String> {
        let unreached = self.unreached.iter();
        let recent = unreached.filter(|(_, at)| now.saturating_sub(**at) < UNREACHED_BACKOFF);
        recent.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Forgets that the instance is cut off from a service, of which no endpoint is left.
    pub fn forget(&mut self, service: &str) {
        self.services.remove(service);
    }
}
