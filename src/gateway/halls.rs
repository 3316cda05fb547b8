//! Halls that the operator empties: taken from the store or from members, and put in force.

use std::time::Duration;

use spdlog::info;

use super::node::Gateway;
use crate::kernel::evacuation::{EvacuatedHalls, HallChange, HallOrder};
use crate::kernel::position::Position;

impl Gateway {
    /// Takes one order of the operator.
    pub(crate) fn order_hall(&self, order: &HallOrder) {
        let now = self.now();
        let changes = self.fleet.lock().apply_hall_order(order, now);
        self.put_halls_in_force(&changes, order.next, "store");
    }

    /// Takes all halls that are evacuated, as they were told.
    pub(crate) fn take_halls(&self, told: &EvacuatedHalls, source: &str) {
        let now = self.now();
        let changes = self.fleet.lock().merge_evacuated_halls(told, now);
        self.put_halls_in_force(&changes, told.complete_to, source);
    }

    /// Lets time pass for what is held since the store came back from an older copy.
    pub(crate) fn settle_halls(&self) {
        let now = self.now();
        let (changes, complete_to) = {
            let mut fleet = self.fleet.lock();
            let changes = fleet.advance_halls(now);
            (changes, fleet.evacuated_halls().complete_to)
        };
        self.put_halls_in_force(&changes, complete_to, "held until now");
    }

    fn put_halls_in_force(&self, changes: &[HallChange], complete_to: Position, source: &str) {
        for change in changes {
            let (what, hall) = match change {
                HallChange::Evacuated(hall) => ("hall evacuated", hall.as_str()),
                HallChange::Restored(hall) => {
                    self.expect_cold(hall);
                    ("hall taken back", hall.as_str())
                }
            };
            metrics::counter!("larkwick_hall_changes_total", "what" => what).increment(1);
            info!("{}", what, kv: { hall, complete_to: = complete_to, source });
        }
        if !changes.is_empty() {
            self.ledgers.wake_coordinator();
        }
    }

    /// The endpoints of a hall that is taken back may have been started again while nothing was sent there. Before each of them says so, they are not
    /// sent more than they bear after a start.
    fn expect_cold(&self, hall: &str) {
        let Some(table) = self.table() else { return };
        let lasts = |service: &str| {
            let service = table.service(service);
            let cold_start = service.and_then(|service| service.cold_start);
            cold_start.map_or(Duration::ZERO, |cold_start| cold_start.duration)
        };
        let now = self.now();
        self.fleet.lock().mark_hall_cold(hall, lasts, now);
    }
}
