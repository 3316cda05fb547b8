//! The order in which waiting generations get freed capacity.

use std::time::Duration;

use super::waiting::{QueueKey, Waiting};
use super::{AdmissionPolicy, AdmissionQueue, AdmissionRequest, QueueTicket};
use crate::kernel::engine_run::RunDemand;
use crate::kernel::fair_shares::StartTags;

impl AdmissionQueue {
    fn is_late(&self, request: &AdmissionRequest, now: Duration) -> bool {
        self.policy.wait_past_objective && now >= request.objective_at
    }

    /// Returns the key of a generation that arrives now.
    pub(super) fn next_key(&self, request: &AdmissionRequest, now: Duration) -> QueueKey {
        QueueKey {
            is_late: self.is_late(request, now),
            priority: request.demand.priority,
            start_tag: self.next_start_tag(&request.demand),
            ticket: QueueTicket(self.next_ticket),
        }
    }

    fn next_start_tag(&self, demand: &RunDemand) -> f64 {
        if self.policy.shares.is_none() {
            return 0.0;
        }
        let mut tags = StartTags::default();
        let of_account = self.waiting.iter().filter(|waiting| {
            let waiting = &waiting.request.demand;
            waiting.priority == demand.priority && waiting.account == demand.account
        });
        let mut earlier: Vec<&Waiting> = of_account.collect();
        earlier.sort_by_key(|waiting| waiting.ticket());
        for waiting in earlier {
            tags.next(&self.shares, &waiting.request.demand, waiting.virtual_time);
        }
        let virtual_time = self.shares.virtual_time(demand.priority);
        tags.next(&self.shares, demand, virtual_time)
    }

    pub(super) fn count_ahead(&self, key: &QueueKey) -> usize {
        self.waiting
            .partition_point(|waiting| waiting.key.compare(key).is_lt())
    }

    /// Computes the keys anew, since time has passed and accounts were charged, and sorts by them.
    pub(super) fn sort_waiting(&mut self, now: Duration) {
        if self.policy == AdmissionPolicy::default() {
            return;
        }
        self.waiting.sort_by_key(Waiting::ticket);
        let mut tags = StartTags::default();
        let keys: Vec<QueueKey> = self
            .waiting
            .iter()
            .map(|waiting| QueueKey {
                is_late: self.is_late(&waiting.request, now),
                start_tag: if self.policy.shares.is_some() {
                    tags.next(&self.shares, &waiting.request.demand, waiting.virtual_time)
                } else {
                    0.0
                },
                ..waiting.key
            })
            .collect();
        for (waiting, key) in self.waiting.iter_mut().zip(keys) {
            waiting.key = key;
        }
        self.waiting
            .sort_by(|left, right| left.key.compare(&right.key));
    }
}
