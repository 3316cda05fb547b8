//! Generations that wait for room on full engines: who gets it first, who is refused, and when the refused are to come back.
//!
//! The load that this answers: more generations than the engines' memory holds, for seconds - a jump of callers, a third of the engines gone at
//! once, all instances starting under full load. Everybody then waits for the same few places, and each place is worth most to the one that
//! can still be served in time. Those who cannot be served are told after 0.2 s in the mean in place of 0.9 s, at two and a half times the load that a
//! dozen engines hold, replayed in the tests.

use std::collections::VecDeque;
use std::time::Duration;

use super::engine_ledger::{EngineLedger, RunDemand};

/// Time over which it is counted how fast the queue moves: some ten places on a site of a dozen engines.
const PACE_WINDOW: Duration = Duration::from_secs(1);
/// A queue that has been waiting for less than this says nothing about its pace yet.
const PACE_KNOWN_AFTER: Duration = Duration::from_millis(500);
/// Part of its time for which a generation that does not fit yet may be passed by others that do. After it, what becomes free is kept for it:
/// the largest tenth would else starve as long as smaller ones come.
const PASSED_PART: f64 = 0.5;

/// A generation that asks for room.
#[derive(Debug, Clone, PartialEq)]
pub struct RoomRequest {
    /// What it needs.
    pub demand: RunDemand,
    /// The instance that serves it.
    pub entry: String,
    /// Engines that are not asked again.
    pub excluded: Vec<String>,
    /// Until when it waits; now or earlier where it does not wait.
    pub until: Duration,
}

/// Names a generation that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What becomes of a generation that asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It runs on this engine.
    Granted(String),
    /// There is no room for it, or will not be in time.
    Refused,
    /// It waits.
    Waits(Ticket),
}

/// The end of a wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settled {
    /// The generation that waited.
    pub ticket: Ticket,
    /// The engine that it runs on; nothing where it is refused.
    pub granted: Option<String>,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    request: RoomRequest,
    arrived: Duration,
}

impl Waiting {
    /// Whether others may pass it. `until` is after `arrived`.
    fn may_be_passed(&self, now: Duration) -> bool {
        let whole = self.request.until.saturating_sub(self.arrived);
        now.saturating_sub(self.arrived) < whole.mul_f64(PASSED_PART)
    }
}

/// What did not fit, of the generations that were looked at in one round. It does not fit for one that needs as much either, so that hundreds that
/// wait cost a few looks at the engines. Short ones may fill engines further than long ones, so that one kind says nothing of the other.
#[derive(Debug)]
struct TooLarge {
    /// Tokens of the smallest short one that did not fit.
    short_tokens: f64,
    /// Tokens of the smallest long one that did not fit.
    long_tokens: f64,
}

impl Default for TooLarge {
    fn default() -> Self {
        Self {
            short_tokens: f64::INFINITY,
            long_tokens: f64::INFINITY,
        }
    }
}

impl TooLarge {
    fn is(&self, demand: &RunDemand) -> bool {
        let smallest = if demand.ends_within_horizon() {
            self.short_tokens
        } else {
            self.long_tokens
        };
        demand.predicted_tokens_at_start() >= smallest
    }

    fn note(&mut self, demand: &RunDemand) {
        let smallest = if demand.ends_within_horizon() {
            &mut self.short_tokens
        } else {
            &mut self.long_tokens
        };
        *smallest = smallest.min(demand.predicted_tokens_at_start());
    }
}

/// The generations of one service that wait for room.
#[derive(Debug, Default)]
pub struct RoomQueue {
    /// Sorted: the urgent ones first, then by arrival.
    waiting: Vec<Waiting>,
    next_ticket: u64,
    /// When places were given to waiting ones, within the last [`PACE_WINDOW`].
    grants: VecDeque<Duration>,
    /// Since when somebody has been waiting without a break.
    busy_since: Option<Duration>,
}

impl RoomQueue {
    /// Generations that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Asks for room. A generation is not placed before others as urgent that wait, and is refused at once where the queue before it moves too
    /// slowly for it: it would only hold its caller up.
    pub fn ask(
        &mut self,
        ledger: &mut EngineLedger,
        request: RoomRequest,
        now: Duration,
    ) -> Answer {
        let priority = request.demand.priority;
        let ahead = self
            .waiting
            .partition_point(|waiting| waiting.request.demand.priority <= priority);
        if ahead == 0 {
            let granted = ledger.place(&request.demand, &request.entry, &request.excluded, now);
            if let Some(engine) = granted {
                return Answer::Granted(engine);
            }
        }
        if now >= request.until || self.is_hopeless(ahead, request.until, now) {
            return Answer::Refused;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiting = Waiting {
            ticket,
            request,
            arrived: now,
        };
        self.waiting.insert(ahead, waiting);
        self.busy_since.get_or_insert(now);
        Answer::Waits(ticket)
    }

    /// Whether so many before it are too many for one that waits until then, at the pace of late.
    fn is_hopeless(&self, ahead: usize, until: Duration, now: Duration) -> bool {
        let Some(since) = self.busy_since else {
            return false;
        };
        let observed = now.saturating_sub(since).min(PACE_WINDOW);
        if observed < PACE_KNOWN_AFTER {
            return false;
        }
        let begun = now.saturating_sub(observed);
        let granted = self.grants.iter().filter(|at| **at >= begun).count();
        let count = |places: usize| f64::from(u32::try_from(places).unwrap_or(u32::MAX));
        let left_s = until.saturating_sub(now).as_secs_f64();
        // One more than was seen: a queue that has just begun to move is not given up.
        let in_time = count(granted + 1) / observed.as_secs_f64() * left_s;
        count(ahead) > in_time
    }

    /// Gives room to those that wait, as far as there is any, and refuses those whose time is over or who cannot get any in time.
    pub fn settle(&mut self, ledger: &mut EngineLedger, now: Duration) -> Vec<Settled> {
        let window_begun = now.saturating_sub(PACE_WINDOW);
        self.grants.retain(|at| *at >= window_begun);
        let mut settled = Vec::new();
        let mut kept: Vec<Waiting> = Vec::new();
        let mut blocked = false;
        let mut too_large = TooLarge::default();
        for waiting in std::mem::take(&mut self.waiting) {
            let request = &waiting.request;
            let granted = if blocked || too_large.is(&request.demand) {
                None
            } else {
                ledger.place(&request.demand, &request.entry, &request.excluded, now)
            };
            if granted.is_none() && request.excluded.is_empty() {
                too_large.note(&request.demand);
            }
            let ticket = waiting.ticket;
            if granted.is_some() {
                self.grants.push_back(now);
                settled.push(Settled { ticket, granted });
            } else if now >= request.until || self.is_hopeless(kept.len(), request.until, now) {
                settled.push(Settled { ticket, granted });
            } else {
                blocked |= !waiting.may_be_passed(now);
                kept.push(waiting);
            }
        }
        self.waiting = kept;
        if self.waiting.is_empty() {
            self.busy_since = None;
        }
        settled
    }

    /// A generation waits no more: its caller has gone.
    pub fn forget(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        if self.waiting.is_empty() {
            self.busy_since = None;
        }
    }
}
