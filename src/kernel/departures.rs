//! Departures of instances and endpoints, which are final for an incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::membership::Incarnation;

/// Incarnations that are departing. A departure is only removed when it expires, so that a delayed
/// or flapping list cannot bring an incarnation back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departures {
    since: BTreeMap<Incarnation, Duration>,
}

/// Retention time of a departure, far longer than the time after which the list drops a stopped
/// incarnation.
pub const DEPARTURE_RETENTION: Duration = Duration::from_hours(24);

impl Departures {
    /// Records a departure. Returns whether it was unknown.
    pub fn record(&mut self, incarnation: &Incarnation, now: Duration) -> bool {
        if self.since.contains_key(incarnation) {
            return false;
        }
        self.since.insert(incarnation.clone(), now);
        true
    }

    /// Returns whether the incarnation is departing.
    #[must_use]
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.since.contains_key(incarnation)
    }

    /// Returns all departures.
    pub fn iter(&self) -> impl Iterator<Item = &Incarnation> {
        self.since.keys()
    }

    /// Returns the departures recorded at or after a time.
    pub fn recorded_since(&self, since: Duration) -> impl Iterator<Item = &Incarnation> {
        self.since
            .iter()
            .filter(move |(_, at)| **at >= since)
            .map(|(incarnation, _)| incarnation)
    }

    /// Removes expired departures.
    pub fn expire(&mut self, now: Duration) {
        self.since
            .retain(|_, at| now.saturating_sub(*at) < DEPARTURE_RETENTION);
    }
}
