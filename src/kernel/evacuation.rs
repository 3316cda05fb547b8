//! Halls whose endpoints are to get nothing for a while: the operator empties a hall, and takes it back later.
//!
//! The load that this answers: a third of a service's endpoints taken out within seconds while callers go on. What must hold is that no instance falls
//! back to an older order, whichever way it hears of one: the store, a reader, or a member's heartbeat. So what is told is always the whole set, with
//! the place in the store's log up to which it is complete, and the one further on counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The halls that are evacuated, as of a place in the store's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// Names.
    pub halls: BTreeSet<String>,
    /// All orders before this offset are in it.
    pub complete_to: u64,
}

/// One order of the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// The hall.
    pub hall: String,
    /// Whether it is to be emptied; else it is taken back.
    pub evacuate: bool,
    /// Offset after the order in the store's log.
    pub next_offset: u64,
}

impl EvacuatedHalls {
    /// Takes one order, unless it is known already.
    pub fn apply(&mut self, order: &HallOrder) {
        if order.next_offset <= self.complete_to {
            return;
        }
        self.complete_to = order.next_offset;
        if order.evacuate {
            self.halls.insert(order.hall.clone());
        } else {
            self.halls.remove(&order.hall);
        }
    }

    /// Takes a set that was told, unless a later one is known. Gives whether it was later.
    pub fn replace(&mut self, told: &Self) -> bool {
        let is_later = told.complete_to > self.complete_to;
        if is_later {
            self.clone_from(told);
        }
        is_later
    }
}

/// A hall that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HallChange {
    /// Its endpoints take nothing new from now on.
    Evacuated(String),
    /// They take work again. They may have been started again meanwhile, and be cold.
    TakenBack(String),
}

/// The halls that are evacuated here, and since when.
#[derive(Debug, Clone, Default)]
pub struct HallsInForce {
    /// Time at which each was heard of.
    since: BTreeMap<String, Duration>,
    /// The same halls as in `since`.
    told: EvacuatedHalls,
}

impl HallsInForce {
    /// Takes one order; gives what changed.
    pub fn order(&mut self, order: &HallOrder, now: Duration) -> Vec<HallChange> {
        self.told.apply(order);
        self.settle(now)
    }

    /// Takes a set that was told; gives what changed.
    pub fn take(&mut self, told: &EvacuatedHalls, now: Duration) -> Vec<HallChange> {
        if self.told.replace(told) {
            self.settle(now)
        } else {
            Vec::new()
        }
    }

    fn settle(&mut self, now: Duration) -> Vec<HallChange> {
        let mut changes = Vec::new();
        self.since.retain(|hall, _| {
            let stays = self.told.halls.contains(hall);
            if !stays {
                changes.push(HallChange::TakenBack(hall.clone()));
            }
            stays
        });
        for hall in &self.told.halls {
            if !self.since.contains_key(hall) {
                self.since.insert(hall.clone(), now);
                changes.push(HallChange::Evacuated(hall.clone()));
            }
        }
        changes
    }

    /// Since when a hall has been evacuated, as this instance knows.
    #[must_use]
    pub fn since(&self, hall: &str) -> Option<Duration> {
        self.since.get(hall).copied()
    }

    /// What members are told.
    #[must_use]
    pub fn told(&self) -> &EvacuatedHalls {
        &self.told
    }
}
