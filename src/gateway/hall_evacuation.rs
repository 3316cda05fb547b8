//! Evacuation of halls by the operator: applies orders from the store and states from members.

use std::time::Duration;

use spdlog::info;

use super::node::Gateway;
use crate::kernel::evacuation::{EvacuatedHalls, HallChange, HallOrder};
use crate::kernel::position::Position;

impl Gateway {
    /// Applies an order of the operator.
    pub(crate) fn apply_hall_order(&self, order: &HallOrder) {
        let now = self.now();
        let changes = self.fleet.lock().apply_hall_order(order, now);
        self.handle_hall_changes(&changes, order.next, "store");
    }

    /// Merges a complete list of evacuated halls received from `source`.
    pub(crate) fn merge_evacuated_halls(&self, evacuated: &EvacuatedHalls, source: &str) {
        let now = self.now();
        let changes = self.fleet.lock().merge_evacuated_halls(evacuated, now);
        self.handle_hall_changes(&changes, evacuated.complete_to, source);
    }

    /// Advances the time-dependent state of evacuations that are retained since the store was
    /// restored from an older copy.
    pub(crate) fn advance_halls(&self) {
        let now = self.now();
        let (changes, complete_to) = {
            let mut fleet = self.fleet.lock();
            let changes = fleet.advance_halls(now);
            (changes, fleet.evacuated_halls().complete_to)
        };
        self.handle_hall_changes(&changes, complete_to, "held until now");
    }

    fn handle_hall_changes(&self, changes: &[HallChange], complete_to: Position, source: &str) {
        for change in changes {
            let (event, hall) = match change {
                HallChange::Evacuated(hall) => ("hall evacuated", hall.as_str()),
                HallChange::Restored(hall) => {
                    self.mark_hall_cold(hall);
                    ("hall taken back", hall.as_str())
                }
            };
            metrics::counter!("larkwick_hall_changes_total", "what" => event).increment(1);
            info!("{}", event, kv: { hall, complete_to: = complete_to, source });
        }
        if !changes.is_empty() {
            self.ledgers.wake_coordinator();
        }
    }

    /// Treats the endpoints of a hall that is back in service as being in cold start.
    ///
    /// They may have been restarted while they received no requests. Until they report otherwise,
    /// they are limited to the rate that they sustain after a start.
    fn mark_hall_cold(&self, hall: &str) {
        let Some(table) = self.table() else { return };
        let cold_start_duration = |service: &str| {
            let service = table.service(service);
            let cold_start = service.and_then(|service| service.cold_start);
            cold_start.map_or(Duration::ZERO, |cold_start| cold_start.duration)
        };
        let now = self.now();
        self.fleet
            .lock()
            .mark_hall_cold(hall, cold_start_duration, now);
    }
}
