//! The states of roll-outs that the store has recorded, and those that it lost.

use std::collections::{BTreeMap, BTreeSet};

use crate::kernel::rollout::RolloutStatus;

/// The recorded states by service; they may be read before the order.
#[derive(Debug, Default)]
pub(super) struct RolloutStatuses {
    recorded: BTreeMap<String, RolloutStatus>,
    /// Services whose result is missing in the store since that was restored from an older copy.
    /// All of them have a final state in `recorded`.
    lost: BTreeSet<String>,
}

impl RolloutStatuses {
    /// Returns the state recorded for a service.
    pub(super) fn get(&self, service: &str) -> Option<&RolloutStatus> {
        self.recorded.get(service)
    }

    /// Adds a state that was read from the store or written there. A final state of a version stays,
    /// and so does one that the store lost: whatever it has instead is older.
    pub(super) fn record(&mut self, status: &RolloutStatus) {
        let known = self.recorded.get(&status.service);
        let has_result = known.is_some_and(|known| is_result_of(known, &status.target_version));
        if has_result && status.state.is_final() {
            self.lost.remove(&status.service);
        }
        if !has_result && !self.lost.contains(&status.service) {
            self.recorded.insert(status.service.clone(), status.clone());
        }
    }

    /// Removes the state of a service whose order was withdrawn or replaced.
    pub(super) fn forget(&mut self, service: &str) {
        self.recorded.remove(service);
        self.lost.remove(service);
    }

    /// Compares the results with all states that a restored store has.
    pub(super) fn sync_stored(&mut self, stored: &[&RolloutStatus]) {
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
    pub(super) fn lost(&self) -> Vec<RolloutStatus> {
        let lost = self.lost.iter();
        lost.filter_map(|service| self.recorded.get(service))
            .cloned()
            .collect()
    }
}

fn is_result_of(status: &RolloutStatus, target_version: &str) -> bool {
    status.state.is_final() && status.target_version == target_version
}
