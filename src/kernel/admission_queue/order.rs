//! The order in which waiting generations get freed capacity.

use std::collections::HashMap;
use std::time::Duration;

use super::waiting::{QueueKey, Waiting};
use super::{AdmissionQueue, AdmissionRequest, QueueTicket};
use crate::kernel::fair_shares::StartTags;

/// Delay of a generation of mean size in the order, as a share of the time until its objective.
const MEAN_SIZE_DELAY_SHARE: f64 = 0.125;
/// Largest delay of a generation, as a share of the time until its objective. It is over before
/// freed capacity is kept for one that does not fit.
const SIZE_DELAY_SHARE_MAX: f64 = 0.25;

/// Returns how much later than a generation others may arrive and still come before it.
fn size_delay(relative_size: f64, own_time: Duration) -> Duration {
    let share = MEAN_SIZE_DELAY_SHARE * relative_size;
    own_time.mul_f64(share.min(SIZE_DELAY_SHARE_MAX))
}

impl Waiting {
    /// Returns for how long a generation of mean size may still arrive and come before it.
    pub(super) fn overtaken_for(&self, now: Duration) -> Duration {
        let own_time = self.request.objective_at.saturating_sub(self.arrived_at);
        let mean_delay = own_time.mul_f64(MEAN_SIZE_DELAY_SHARE);
        self.key.turn_at.saturating_sub(now + mean_delay)
    }
}

impl AdmissionQueue {
    fn is_late(&self, request: &AdmissionRequest, now: Duration) -> bool {
        self.policy.wait_past_objective && now >= request.objective_at
    }

    fn size_delay(&self, request: &AdmissionRequest, now: Duration) -> Duration {
        if !self.policy.shorter_first {
            return Duration::ZERO;
        }
        let own_time = request.objective_at.saturating_sub(now);
        size_delay(self.traffic.relative_size(&request.demand, now), own_time)
    }

    /// Returns a generation that arrives now, with its place in the order.
    pub(super) fn arriving(&self, request: AdmissionRequest, now: Duration) -> Waiting {
        let size_delay = self.size_delay(&request, now);
        let key = QueueKey {
            is_late: self.is_late(&request, now),
            priority: request.demand.priority,
            start_tag: 0.0,
            turn_at: now + size_delay,
            ticket: QueueTicket(self.next_ticket),
        };
        let mut arriving = Waiting {
            virtual_time: self.shares.virtual_time(key.priority),
            request,
            arrived_at: now,
            size_delay,
            key,
        };
        let of_account = self
            .waiting
            .iter()
            .filter(|other| other.shares_with(&arriving));
        let tags = self.start_tags(of_account.chain([&arriving]));
        arriving.key.start_tag = tags.get(&key.ticket).copied().unwrap_or_default();
        arriving
    }

    /// Returns the start tags of waiting generations, which include all of each of their accounts;
    /// none if accounts are not told apart.
    fn start_tags<'a>(
        &'a self,
        waiting: impl Iterator<Item = &'a Waiting>,
    ) -> HashMap<QueueTicket, f64> {
        if self.policy.shares.is_none() {
            return HashMap::new();
        }
        let mut in_turn: Vec<&Waiting> = waiting.collect();
        in_turn.sort_by_key(|waiting| (waiting.key.turn_at, waiting.ticket()));
        let mut tags = StartTags::default();
        let tagged = in_turn.into_iter().map(|waiting| {
            let demand = &waiting.request.demand;
            let start_tag = tags.next(&self.shares, demand, waiting.virtual_time);
            (waiting.ticket(), start_tag)
        });
        tagged.collect()
    }

    pub(super) fn count_ahead(&self, key: &QueueKey) -> usize {
        self.waiting
            .partition_point(|waiting| waiting.key.compare(key).is_lt())
    }

    /// Computes the keys anew, since time has passed and accounts were charged, and sorts by them.
    pub(super) fn sort_waiting(&mut self, now: Duration) {
        for waiting in &mut self.waiting {
            waiting.key.turn_at = waiting.arrived_at;
            if self.policy.shorter_first {
                waiting.key.turn_at += waiting.size_delay;
            }
        }
        let tags = self.start_tags(self.waiting.iter());
        let mut waiting = std::mem::take(&mut self.waiting);
        for waiting in &mut waiting {
            waiting.key.is_late = self.is_late(&waiting.request, now);
            waiting.key.start_tag = tags.get(&waiting.ticket()).copied().unwrap_or_default();
        }
        waiting.sort_by(|left, right| left.key.compare(&right.key));
        self.waiting = waiting;
    }
}
