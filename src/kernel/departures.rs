//! Departures of instances and endpoints, final for an incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::membership::Incarnation;

/// Incarnations that are leaving. Nothing removes one but its age: a list that lags or flaps cannot bring it back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departures {
    since: BTreeMap<Incarnation, Duration>,
}

/// How long a departure is kept: far beyond the time after which the list drops an incarnation that is gone.
pub const DEPARTURE_KEPT: Duration = Duration::from_hours(24);

impl Departures {
    /// Records a departure. Gives true where it is news.
    pub fn record(&mut self, incarnation: &Incarnation, now: Duration) -> bool {
        if self.since.contains_key(incarnation) {
            return false;
        }
        self.since.insert(incarnation.clone(), now);
        true
    }

    /// Whether the incarnation is leaving.
    #[must_use]
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.since.contains_key(incarnation)
    }

    /// All departures, to pass on to peers.
    pub fn iter(&self) -> impl Iterator<Item = &Incarnation> {
        self.since.keys()
    }

    /// Departures recorded at or after a time.
    pub fn recent(&self, since: Duration) -> impl Iterator<Item = &Incarnation> {
        self.since
            .iter()
            .filter(move |(_, at)| **at >= since)
            .map(|(incarnation, _)| incarnation)
    }

    /// Forgets what is old enough.
    pub fn expire(&mut self, now: Duration) {
        self.since
            .retain(|_, at| now.saturating_sub(*at) < DEPARTURE_KEPT);
    }
}
