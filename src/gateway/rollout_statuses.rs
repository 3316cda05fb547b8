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

    /// Adds a state that was read from the store or written there. A final state of a version stays.
    pub(super) fn record(&mut self, status: &RolloutStatus) {
        if status.state.is_final() {
            self.lost.remove(&status.service);
        }
        let known = self.recorded.get(&status.service);
        let has_result = known.is_some_and(|known| {
            known.state.is_final() && known.target_version == status.target_version
        });
        if !has_result {
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
        let has_result = |service: &str| {
            let mut finals = stored.iter().filter(|status| status.state.is_final());
            finals.any(|status| status.service == service)
        };
        let results = self.recorded.values();
        let results = results.filter(|status| status.state.is_final());
        let lost = results.filter(|status| !has_result(&status.service));
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
