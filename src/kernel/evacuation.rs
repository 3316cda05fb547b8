//! Evacuated halls, whose endpoints receive no new work until the operator restores the hall.
//!
//! An evacuation takes a third of a service's endpoints out within seconds while callers continue.
//! No instance may fall back to an older order, whichever way it receives one: from the store, a
//! reader or a member's heartbeat. The whole set is therefore always sent, with the position in the
//! store's log up to which it is complete, and the set with the later position wins.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::position::Position;

/// The evacuated halls as of a position in the store's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// Names of the halls.
    pub halls: BTreeSet<String>,
    /// Position in the log before which the set includes all orders.
    pub complete_to: Position,
}

/// One order of the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// Name of the hall.
    pub hall: String,
    /// Whether the hall is evacuated; otherwise it is restored.
    pub evacuate: bool,
    /// Position after the order in the store's log.
    pub next: Position,
}

impl EvacuatedHalls {
    /// Applies one order unless it is already included.
    pub fn apply(&mut self, order: &HallOrder) {
        if order.next <= self.complete_to {
            return;
        }
        self.complete_to = order.next;
        if order.evacuate {
            self.halls.insert(order.hall.clone());
        } else {
            self.halls.remove(&order.hall);
        }
    }

    /// Replaces this set if the other one has a later position. Returns whether it was replaced.
    pub fn replace_if_older(&mut self, other: &Self) -> bool {
        let is_later = other.complete_to > self.complete_to;
        if is_later {
            self.clone_from(other);
        }
        is_later
    }
}

/// A change of a hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HallChange {
    /// The hall's endpoints receive no new work from now on.
    Evacuated(String),
    /// The hall's endpoints receive work again. They may have restarted in the meantime and be
    /// cold.
    Restored(String),
}

/// Time for which the evacuations that were in force before the store was restored from an older
/// copy stay in force even if the copy lacks them. The operator's lost orders are written again
/// within this time; endpoints need about two seconds to write their own entries again.
pub const STALE_COPY_GRACE: Duration = Duration::from_secs(5);

/// Evacuated halls in force while the log may still lack orders that were acknowledged before the
/// store was restored from a copy.
#[derive(Debug, Clone)]
struct HeldHalls {
    /// Halls that were evacuated before the store was restored, updated with the orders since.
    halls: BTreeSet<String>,
    until: Duration,
}

/// The halls that are evacuated as seen by this instance, and the time since which each one is.
#[derive(Debug, Clone, Default)]
pub struct ActiveEvacuations {
    /// Time at which each evacuation became known here.
    since: BTreeMap<String, Duration>,
    /// The halls according to the log: the same as in `since`, unless some are held.
    logged: EvacuatedHalls,
    /// Halls that replace those of the log for a limited time.
    held: Option<HeldHalls>,
}

impl ActiveEvacuations {
    /// Applies one order and returns the changes.
    pub fn apply_order(&mut self, order: &HallOrder, now: Duration) -> Vec<HallChange> {
        let previous = self.logged.clone();
        self.logged.apply(order);
        self.update_held(&previous, now);
        self.refresh(now)
    }

    /// Merges a received set and returns the changes.
    pub fn merge(&mut self, received: &EvacuatedHalls, now: Duration) -> Vec<HallChange> {
        let previous = self.logged.clone();
        if !self.logged.replace_if_older(received) {
            return Vec::new();
        }
        self.update_held(&previous, now);
        self.refresh(now)
    }

    /// Updates the held halls with a change of the log. In a new era the log may lack anything, so
    /// the halls in force are held; within an era, a difference is an order.
    fn update_held(&mut self, previous: &EvacuatedHalls, now: Duration) {
        let was_initialized = previous.complete_to != Position::default();
        if was_initialized && self.logged.complete_to.era() > previous.complete_to.era() {
            self.held = Some(HeldHalls {
                halls: self.since.keys().cloned().collect(),
                until: now + STALE_COPY_GRACE,
            });
            return;
        }
        if let Some(held) = &mut self.held {
            held.halls
                .extend(self.logged.halls.difference(&previous.halls).cloned());
            for hall in previous.halls.difference(&self.logged.halls) {
                held.halls.remove(hall);
            }
        }
    }

    /// Releases held halls whose time has expired, and returns the changes.
    pub fn refresh(&mut self, now: Duration) -> Vec<HallChange> {
        if self.held.as_ref().is_some_and(|held| now >= held.until) {
            self.held = None;
        }
        let held = self.held.as_ref().map(|held| &held.halls);
        let halls = held.unwrap_or(&self.logged.halls);
        let mut changes = Vec::new();
        self.since.retain(|hall, _| {
            let is_active = halls.contains(hall);
            if !is_active {
                changes.push(HallChange::Restored(hall.clone()));
            }
            is_active
        });
        for hall in halls {
            if !self.since.contains_key(hall) {
                self.since.insert(hall.clone(), now);
                changes.push(HallChange::Evacuated(hall.clone()));
            }
        }
        changes
    }

    /// Returns the time since which a hall is evacuated, as known to this instance.
    #[must_use]
    pub fn since(&self, hall: &str) -> Option<Duration> {
        self.since.get(hall).copied()
    }

    /// Returns the set to send to other members: the halls according to the log, without those held
    /// here.
    #[must_use]
    pub fn for_members(&self) -> &EvacuatedHalls {
        &self.logged
    }
}
