//! The states of roll-outs that the store has recorded, and those that it lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::rollout::RolloutStatus;

/// A roll-out whose order was withdrawn or replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRollout {
    /// Software version that it shifted to.
    pub target_version: String,
    /// Unix time at which its order was first seen.
    pub started_at_unix: Duration,
    /// Unix time at which its order was withdrawn or replaced.
    pub ended_at_unix: Duration,
}

impl EndedRollout {
    /// Returns whether a state belongs to this roll-out and not to a later one to the same version,
    /// which began after this one had ended. The clocks of instances differ, so the nearer of the
    /// two times decides.
    fn owns(&self, status: &RolloutStatus) -> bool {
        let from_start = status.started_at_unix.abs_diff(self.started_at_unix);
        let from_end = status.started_at_unix.abs_diff(self.ended_at_unix);
        status.target_version == self.target_version && from_start <= from_end
    }
}

/// The recorded states by service; they may be read before the order.
#[derive(Debug, Default)]
pub struct RolloutStatuses {
    recorded: BTreeMap<String, RolloutStatus>,
    /// Services whose result is missing in the store since that was restored from an older copy.
    /// All of them have a final state in `recorded`.
    lost: BTreeSet<String>,
    /// The last roll-out of each service whose order is gone: its state may be read later than
    /// that, since the store's topics are read independently.
    ended: BTreeMap<String, EndedRollout>,
}

impl RolloutStatuses {
    /// Returns the state recorded for a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&RolloutStatus> {
        self.recorded.get(service)
    }

    /// Adds a state that was read from the store or written there. A final state of a version stays,
    /// and so does one that the store lost: whatever it has instead is older. Returns `false` if the
    /// state belongs to a roll-out whose order is gone.
    pub fn record(&mut self, status: &RolloutStatus) -> bool {
        let ended = self.ended.get(&status.service);
        if ended.is_some_and(|ended| ended.owns(status)) {
            return false;
        }
        let known = self.recorded.get(&status.service);
        let has_result = known.is_some_and(|known| is_result_of(known, &status.target_version));
        if has_result && status.state.is_final() {
            self.lost.remove(&status.service);
        }
        if !has_result && !self.lost.contains(&status.service) {
            self.recorded.insert(status.service.clone(), status.clone());
        }
        true
    }

    /// Removes the state of a service whose order was withdrawn or replaced.
    pub fn forget(&mut self, service: &str, ended: EndedRollout) {
        self.recorded.remove(service);
        self.lost.remove(service);
        self.ended.insert(service.to_owned(), ended);
    }

    /// Compares the results with all states that a restored store has.
    pub fn sync_stored(&mut self, stored: &[&RolloutStatus]) {
        let is_stored = |result: &RolloutStatus| {
            let mut of_service = stored
                .iter()
                .filter(|status| status.service == result.service);
            of_service.any(|status| is_result_of(status, &result.target_version))
        };
        let results = self.recorded.values();
        let results = results.filter(|status| status.state.is_final());
        let lost = results.filter(|result| !is_stored(result));
        self.lost = lost.map(|status| status.service.clone()).collect();
    }

    /// Returns the results that are missing in the store.
    #[must_use]
    pub fn lost(&self) -> Vec<RolloutStatus> {
        let lost = self.lost.iter();
        lost.filter_map(|service| self.recorded.get(service))
            .cloned()
            .collect()
    }
}

fn is_result_of(status: &RolloutStatus, target_version: &str) -> bool {
    status.state.is_final() && status.target_version == target_version
}
