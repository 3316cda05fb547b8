//! Halls whose endpoints are to get nothing for a while: the operator empties a hall, and takes it back later.
//!
//! The load that this answers: a third of a service's endpoints taken out within seconds while callers go on. What must hold is that no instance falls
//! back to an older order, whichever way it hears of one: the store, a reader, or a member's heartbeat. So what is told is always the whole set, with
//! the place in the store's log up to which it is complete, and the one further on counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::position::Position;

/// The halls that are evacuated, as of a place in the store's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// Names.
    pub halls: BTreeSet<String>,
    /// All orders before this place are in it.
    pub complete_to: Position,
}

/// One order of the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// The hall.
    pub hall: String,
    /// Whether it is to be emptied; else it is taken back.
    pub evacuate: bool,
    /// Place after the order in the store's log.
    pub next: Position,
}

impl EvacuatedHalls {
    /// Takes one order, unless it is known already.
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

/// How long what was in force before the store came back from an older copy goes on to hold where the copy lacks it: what the operator had written is
/// written again, endpoints take some two seconds for it.
pub const COPY_COMPLETED_WITHIN: Duration = Duration::from_secs(5);

/// What holds while the log may still lack orders that had been acknowledged before the store came back.
#[derive(Debug, Clone)]
struct Held {
    /// Halls in force before, and what was ordered since.
    halls: BTreeSet<String>,
    until: Duration,
}

/// The halls that are evacuated here, and since when.
#[derive(Debug, Clone, Default)]
pub struct HallsInForce {
    /// Time at which each was heard of.
    since: BTreeMap<String, Duration>,
    /// As the log has them: the same halls as in `since`, unless some are held.
    told: EvacuatedHalls,
    /// What holds in place of the log's word for a while.
    held: Option<Held>,
}

impl HallsInForce {
    /// Takes one order; gives what changed.
    pub fn order(&mut self, order: &HallOrder, now: Duration) -> Vec<HallChange> {
        let before = self.told.clone();
        self.told.apply(order);
        self.follow(&before, now);
        self.settle(now)
    }

    /// Takes a set that was told; gives what changed.
    pub fn take(&mut self, told: &EvacuatedHalls, now: Duration) -> Vec<HallChange> {
        let before = self.told.clone();
        if !self.told.replace(told) {
            return Vec::new();
        }
        self.follow(&before, now);
        self.settle(now)
    }

    /// Takes into what is held how the log's word has changed: in a new era everything may be missing there, within one it is an order.
    fn follow(&mut self, before: &EvacuatedHalls, now: Duration) {
        let knew_something = before.complete_to != Position::default();
        if knew_something && self.told.complete_to.era() > before.complete_to.era() {
            self.held = Some(Held {
                halls: self.since.keys().cloned().collect(),
                until: now + COPY_COMPLETED_WITHIN,
            });
            return;
        }
        if let Some(held) = &mut self.held {
            held.halls
                .extend(self.told.halls.difference(&before.halls).cloned());
            for hall in before.halls.difference(&self.told.halls) {
                held.halls.remove(hall);
            }
        }
    }

    /// Lets time pass; gives what changed.
    pub fn settle(&mut self, now: Duration) -> Vec<HallChange> {
        if self.held.as_ref().is_some_and(|held| now >= held.until) {
            self.held = None;
        }
        let held = self.held.as_ref().map(|held| &held.halls);
        let halls = held.unwrap_or(&self.told.halls);
        let mut changes = Vec::new();
        self.since.retain(|hall, _| {
            let stays = halls.contains(hall);
            if !stays {
                changes.push(HallChange::TakenBack(hall.clone()));
            }
            stays
        });
        for hall in halls {
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

    /// What members are told: the log's word, not what is held here.
    #[must_use]
    pub fn told(&self) -> &EvacuatedHalls {
        &self.told
    }
}
