//! The queue of requests that no endpoint of the group has room for.

use std::collections::HashSet;
use std::time::Duration;

use rand::Rng;

use super::GroupLedger;
use super::request::{Decision, QueueDecision, ReserveRequest};
use crate::error::{Error, ErrorKind};

#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    pub(super) request: ReserveRequest,
    /// Absolute time on the clock of the owner.
    pub(super) deadline: Duration,
    pub(super) queued_at: Duration,
}

impl GroupLedger {
    /// Returns the endpoints for which requests of at least the same priority are already queued,
    /// so that a new request does not overtake them.
    pub(super) fn endpoints_awaited_before(&self, request: &ReserveRequest) -> HashSet<String> {
        self.queue
            .iter()
            .filter(|queued| queued.request.priority >= request.priority)
            .flat_map(|queued| queued.request.candidates.iter().cloned())
            .collect()
    }

    /// Queues a request, or refuses it if it must not wait or its expected wait is too long.
    pub(super) fn enqueue(&mut self, request: &ReserveRequest, now: Duration) -> Decision {
        let ahead = self.count_ahead(request);
        let wait = self.wait_estimator.expected_wait(ahead);
        if request.deadline.is_zero() {
            return Decision::Refused(overloaded_error(wait));
        }
        if wait > request.deadline {
            return Decision::Refused(deadline_error(wait));
        }
        if wait > self.limits.queue_wait || ahead >= self.limits.queue_length {
            return Decision::Refused(overloaded_error(wait));
        }
        self.queue.push(QueuedRequest {
            request: request.clone(),
            deadline: now + request.deadline.min(self.limits.queue_wait),
            queued_at: now,
        });
        Decision::Queued
    }

    /// Counts the queued requests that rank before a new request.
    fn count_ahead(&self, request: &ReserveRequest) -> usize {
        let own_usage = self.usage.weighted_tokens(&request.account);
        self.queue
            .iter()
            .filter(|queued| {
                let other = &queued.request;
                other.priority > request.priority
                    || (other.priority == request.priority
                        && self.usage.weighted_tokens(&other.account) <= own_usage)
            })
            .count()
    }

    /// Grants queued requests for which there is capacity, and refuses those whose wait is over.
    ///
    /// Requests are ranked by priority, then by the recent usage of the account relative to its
    /// share (least first), then by deadline. A request does not overtake one that ranks before it
    /// and waits for the same endpoint.
    pub fn process_queue(&mut self, now: Duration, random: &mut dyn Rng) -> Vec<QueueDecision> {
        self.usage.decay(now);
        let mut decisions = Vec::new();
        let mut blocked = HashSet::new();
        let mut still_queued = Vec::new();
        for queued in self.drain_ranked_queue() {
            if let Some(grant) = self.try_grant(&queued.request, now, random, &blocked) {
                self.wait_estimator.record_grant(now);
                decisions.push(QueueDecision {
                    reservation_id: queued.request.reservation_id,
                    result: Ok(grant),
                });
                continue;
            }
            if now >= queued.deadline || still_queued.len() >= self.limits.queue_length {
                let wait = self.wait_estimator.expected_wait(still_queued.len());
                decisions.push(QueueDecision {
                    reservation_id: queued.request.reservation_id,
                    result: Err(overloaded_error(wait)),
                });
                continue;
            }
            blocked.extend(queued.request.candidates.iter().cloned());
            still_queued.push(queued);
        }
        self.queue = still_queued;
        decisions
    }

    /// Empties the queue and returns the requests in the order in which they are considered.
    fn drain_ranked_queue(&mut self) -> Vec<QueuedRequest> {
        let mut ranked = std::mem::take(&mut self.queue);
        ranked.sort_by(|left, right| {
            let usage =
                |queued: &QueuedRequest| self.usage.weighted_tokens(&queued.request.account);
            right
                .request
                .priority
                .cmp(&left.request.priority)
                .then(usage(left).total_cmp(&usage(right)))
                .then(left.deadline.cmp(&right.deadline))
                .then(left.queued_at.cmp(&right.queued_at))
        });
        ranked
    }

    /// Returns whether any request is queued.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }
}

/// Error for a request that cannot be granted before its deadline.
fn deadline_error(wait: Duration) -> Error {
    let message = "all allowed endpoints are full until after the deadline";
    Error::new(ErrorKind::DeadlineExceeded, message).with_retry_after(wait)
}

/// Error for a request that cannot be queued or has waited too long.
fn overloaded_error(wait: Duration) -> Error {
    let wait = wait.max(Duration::from_millis(200));
    Error::new(ErrorKind::Crowded, "all allowed endpoints are full").with_retry_after(wait)
}
