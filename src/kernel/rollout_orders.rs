//! The operator's roll-out orders, as of a position in the store's log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::position::Position;
use super::rollout::RolloutOrder;

/// A change of one order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrderChange {
    /// Service of the order.
    pub service: String,
    /// The order; `None` if it was withdrawn.
    pub order: Option<RolloutOrder>,
    /// Position after the change in the store's log.
    pub next: Position,
}

/// All orders in force. The whole set is always sent, and the set with the later position wins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrders {
    /// Orders by service.
    pub orders: BTreeMap<String, RolloutOrder>,
    /// Services whose newest order cannot be read; an earlier one stays in force.
    pub unreadable: BTreeSet<String>,
    /// Position in the log before which the set includes all changes.
    pub complete_to: Position,
}

impl RolloutOrders {
    /// Applies a change unless it is already included.
    pub fn apply(&mut self, change: RolloutOrderChange) {
        if change.next <= self.complete_to {
            return;
        }
        self.complete_to = change.next;
        self.unreadable.remove(&change.service);
        match change.order {
            Some(order) => self.orders.insert(change.service, order),
            None => self.orders.remove(&change.service),
        };
    }

    /// Replaces this set if the other one has a later position. Orders that the other one cannot
    /// read are kept.
    pub fn replace_if_older(&mut self, other: &Self) {
        if other.complete_to <= self.complete_to {
            return;
        }
        let before = std::mem::replace(self, other.clone());
        for (service, order) in before.orders {
            if self.unreadable.contains(&service) {
                self.orders.entry(service).or_insert(order);
            }
        }
    }
}
