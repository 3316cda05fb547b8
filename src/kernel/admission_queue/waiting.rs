//! A waiting generation and its place in the order.

use std::cmp::Ordering;
use std::time::Duration;

use super::{AdmissionRequest, QueueTicket, Unplaced};
use crate::kernel::engine_run::RunDemand;
use crate::kernel::fair_shares::account_of;
use crate::kernel::room_reserve::HeldBackFor;

/// Share of its waiting time during which a generation that does not fit may be overtaken by others
/// that do. After that, freed capacity is reserved for it; otherwise the largest tenth would starve
/// as long as smaller ones arrive.
const OVERTAKING_SHARE: f64 = 0.5;

/// Place in the order; the smallest comes first.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueKey {
    /// Whether its latency objective can no longer be met.
    pub(super) is_late: bool,
    pub(super) priority: u32,
    /// Start tag of its account's share; zero if accounts are not told apart.
    pub(super) start_tag: f64,
    /// Time of arrival, and with shorter ones first a delay by its size.
    pub(super) turn_at: Duration,
    pub(super) ticket: QueueTicket,
}

impl QueueKey {
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        let by_lateness = self.is_late.cmp(&other.is_late);
        by_lateness
            .then(self.priority.cmp(&other.priority))
            .then(self.start_tag.total_cmp(&other.start_tag))
            .then(self.turn_at.cmp(&other.turn_at))
            .then(self.ticket.cmp(&other.ticket))
    }
}

#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) request: AdmissionRequest,
    pub(super) arrived_at: Duration,
    /// How much later others may arrive and still come first, if they are shorter.
    pub(super) size_delay: Duration,
    /// Virtual time of its priority when it arrived.
    pub(super) virtual_time: f64,
    pub(super) key: QueueKey,
}

impl Waiting {
    pub(super) fn ticket(&self) -> QueueTicket {
        self.key.ticket
    }

    /// Returns whether both are of the same account and priority.
    pub(super) fn shares_with(&self, other: &Self) -> bool {
        let (demand, other) = (&self.request.demand, &other.request.demand);
        demand.priority == other.priority && account_of(demand) == account_of(other)
    }

    /// Returns whether others may overtake it. `objective_at` is after `arrived_at`, unless it was
    /// late from the start.
    pub(super) fn can_be_overtaken(&self, now: Duration) -> bool {
        let total_wait = self.request.objective_at.saturating_sub(self.arrived_at);
        now.saturating_sub(self.arrived_at) < total_wait.mul_f64(OVERTAKING_SHARE)
    }
}

/// What a generation that was not placed in a pass means for those behind it.
#[derive(Debug, Default)]
pub(super) struct PassState {
    /// Freed capacity is kept for one that may no longer be overtaken.
    is_blocked: bool,
    /// The same for long generations alone: one of them is held back by a reserve that short ones
    /// may use.
    blocked_for_long: Option<HeldBackFor>,
    smallest: SmallestUnplaced,
}

impl PassState {
    /// Returns why a generation cannot be placed in this pass, if so.
    pub(super) fn unplaced(&self, demand: &RunDemand) -> Option<Unplaced> {
        if self.is_blocked || self.smallest.is_too_large(demand) {
            return Some(Unplaced::NoRoom);
        }
        let held_back = self.blocked_for_long;
        let held_back = held_back.filter(|_| !demand.ends_within_horizon());
        held_back.map(Unplaced::HeldBack)
    }

    /// Records a generation that no engine had room for.
    pub(super) fn record_unplaced(&mut self, request: &AdmissionRequest) {
        if request.excluded.is_empty() {
            self.smallest.record(&request.demand);
        }
    }

    /// Keeps freed capacity for a generation that may no longer be overtaken.
    pub(super) fn block(&mut self, unplaced: Unplaced) {
        match unplaced {
            Unplaced::HeldBack(held_back_for) => self.blocked_for_long = Some(held_back_for),
            Unplaced::NoRoom => self.is_blocked = true,
        }
    }
}

/// Smallest demands that did not fit in one pass over the queue. A generation that needs at least
/// as much is skipped, so that a queue of hundreds costs few searches through the engines. Short
/// and long generations are tracked separately, since short ones may fill engines further.
#[derive(Debug)]
struct SmallestUnplaced {
    /// Tokens of the smallest short generation that did not fit.
    short_tokens: f64,
    /// Tokens of the smallest long generation that did not fit.
    long_tokens: f64,
}

impl Default for SmallestUnplaced {
    fn default() -> Self {
        Self {
            short_tokens: f64::INFINITY,
            long_tokens: f64::INFINITY,
        }
    }
}

impl SmallestUnplaced {
    fn is_too_large(&self, demand: &RunDemand) -> bool {
        let smallest = if demand.ends_within_horizon() {
            self.short_tokens
        } else {
            self.long_tokens
        };
        demand.predicted_tokens_at_start() >= smallest
    }

    fn record(&mut self, demand: &RunDemand) {
        let smallest = if demand.ends_within_horizon() {
            &mut self.short_tokens
        } else {
            &mut self.long_tokens
        };
        *smallest = smallest.min(demand.predicted_tokens_at_start());
    }
}
