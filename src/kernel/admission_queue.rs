//! Admission queue for generations that find all engines full: decides who gets freed capacity
//! first, who is refused, and when.
//!
//! It handles load that exceeds the engines' memory for seconds, such as a jump in the number of
//! callers, the loss of a third of the engines at once, or all instances starting under full load.
//! All generations then compete for a few placements, and a placement is best given to one that can
//! still be served in time. Those that cannot be served are refused early.
//!
//! The order is: those that can still meet their latency objective, then by priority, then by the
//! shares of the client accounts, then by arrival. With `shorter_first`, longer ones count as if they
//! had arrived later, up to a bound, so that a crowd of many short ones does not wait for a few long
//! ones.

mod forecast;
mod order;
mod report;
mod waiting;

use std::time::Duration;

use super::account_counts::AccountCounts;
use super::class_traffic::Traffic;
use super::engine_ledger::{EngineLedger, RunDemand};
use super::fair_shares::{AccountWeights, FairShares};
use super::rollout_evidence::Version;
use super::room_reserve::{HeldBackFor, ReservePolicy, RoomReserve};

use forecast::{AheadByPriority, Throughput};
use waiting::{PassState, Waiting};

pub use report::{AccountSummary, Refusal, RefusalReason};

/// How a queue decides beyond priority and arrival; everything is off by default.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionPolicy {
    /// Weights of the client accounts, if capacity is shared among them; `None` for the order of
    /// arrival.
    pub shares: Option<AccountWeights>,
    /// Room that new generations leave free.
    pub reserve: ReservePolicy,
    /// Whether generations wait on after their latency objective. If not, `objective_at` and
    /// `deadline` of each request are the same.
    pub wait_past_objective: bool,
    /// Whether shorter generations may come before longer ones of the same priority that arrived up
    /// to a bounded time earlier.
    pub shorter_first: bool,
}

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
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// Placed on this engine.
    Granted(String),
    /// There is no capacity, or there will be none in time.
    Refused(Refusal),
    /// Queued.
    Queued(QueueTicket),
}

/// Outcome of a wait.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitOutcome {
    /// The generation that waited.
    pub ticket: QueueTicket,
    /// Engine that it is placed on; `None` if it is refused.
    pub granted: Option<String>,
    /// Details of a refusal.
    pub refusal: Option<Refusal>,
}

/// Why a generation was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unplaced {
    /// No engine has room, or others come first.
    NoRoom,
    /// The room is kept for others.
    HeldBack(HeldBackFor),
}

impl Unplaced {
    fn held_back_for(self) -> Option<HeldBackFor> {
        match self {
            Self::NoRoom => None,
            Self::HeldBack(held_back_for) => Some(held_back_for),
        }
    }
}

/// Generations of one service that wait for capacity.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    policy: AdmissionPolicy,
    /// Sorted by their keys as of the last pass.
    waiting: Vec<Waiting>,
    next_ticket: u64,
    throughput: Throughput,
    traffic: Traffic,
    reserve: RoomReserve,
    shares: FairShares,
    counts: AccountCounts,
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

    /// Returns what became of the generations so far, by client account.
    #[must_use]
    pub fn account_counts(&self) -> &AccountCounts {
        &self.counts
    }

    /// Sets how the queue decides from now on.
    pub fn set_policy(&mut self, policy: AdmissionPolicy) {
        self.reserve.policy = policy.reserve;
        self.shares.weights = policy.shares.clone().unwrap_or_default();
        self.policy = policy;
    }

    /// Requests admission. A generation is placed at once only if none that comes before it is
    /// waiting. It is refused at once if the queue ahead of it moves too slowly to place it by its
    /// deadline, since waiting would only delay its caller.
    pub fn request_admission(
        &mut self,
        ledger: &mut EngineLedger,
        request: AdmissionRequest,
        now: Duration,
    ) -> Admission {
        self.traffic.record_request(&request.demand, now);
        if self.policy.shares.is_some() {
            self.shares.begin(ledger, now);
        }
        let arriving = self.arriving(request, now);
        let ahead = self.count_ahead(&arriving.key);
        if ahead == 0
            && let Ok(engine) = self.try_place(ledger, &arriving, now)
        {
            return Admission::Granted(engine);
        }
        if let Some(refusal) = self.refusal_on_arrival(ledger, &arriving, ahead, now) {
            // It asks for the current version next.
            if refusal.reason != RefusalReason::NewVersionFull {
                let demand = &arriving.request.demand;
                self.counts.record_refused(demand, refusal.reason);
            }
            return Admission::Refused(refusal);
        }
        self.next_ticket += 1;
        let ticket = arriving.ticket();
        self.waiting.insert(ahead, arriving);
        self.throughput.nonempty_since.get_or_insert(now);
        Admission::Queued(ticket)
    }

    /// Returns the refusal of a generation that arrives and is not placed, unless it can wait.
    fn refusal_on_arrival(
        &mut self,
        ledger: &EngineLedger,
        arriving: &Waiting,
        ahead: usize,
        now: Duration,
    ) -> Option<Refusal> {
        let request = &arriving.request;
        let is_for_new_version = request.demand.requirements.version == Version::Target;
        let reason = if now >= request.deadline && is_for_new_version {
            RefusalReason::NewVersionFull
        } else if now >= request.deadline {
            let held_back = self
                .reserve
                .held_back_for(ledger, &self.traffic, &request.demand, now);
            RefusalReason::of_deadline(held_back)
        } else if self.will_miss(ledger, ahead, arriving, now) {
            RefusalReason::QueueTooSlow
        } else {
            return None;
        };
        Some(self.refusal(ledger, request, reason, ahead, now))
    }

    /// Places waiting generations as far as there is capacity. Refuses those whose deadline has
    /// passed or cannot be met.
    pub fn admit_waiting(&mut self, ledger: &mut EngineLedger, now: Duration) -> Vec<WaitOutcome> {
        self.throughput.prune(now);
        if self.waiting.is_empty() {
            return Vec::new();
        }
        if self.policy.shares.is_some() {
            self.shares.begin(ledger, now);
        }
        self.sort_waiting(now);
        let mut pass = Pass::default();
        for waiting in std::mem::take(&mut self.waiting) {
            self.admit_or_keep(ledger, waiting, &mut pass, now);
        }
        self.waiting = pass.remaining;
        if self.waiting.is_empty() {
            self.throughput.nonempty_since = None;
        }
        pass.outcomes
    }

    /// Places or refuses a waiting generation in its turn, or keeps it waiting.
    fn admit_or_keep(
        &mut self,
        ledger: &mut EngineLedger,
        waiting: Waiting,
        pass: &mut Pass,
        now: Duration,
    ) {
        let request = &waiting.request;
        let placed = match pass.state.unplaced(&request.demand) {
            Some(unplaced) => Err(unplaced),
            None => self.try_place(ledger, &waiting, now),
        };
        let unplaced = match placed {
            Ok(engine) => {
                self.throughput.record_grant(now);
                pass.record_outcome(&waiting, Some(engine), None);
                return;
            }
            Err(unplaced) => unplaced,
        };
        if unplaced == Unplaced::NoRoom {
            pass.state.record_unplaced(request);
        }
        if let Some(reason) = self.refusal_reason(ledger, &waiting, unplaced, pass, now) {
            let refusal = Refusal {
                waited: now.saturating_sub(waiting.arrived_at),
                ..self.refusal(ledger, request, reason, pass.remaining.len(), now)
            };
            self.counts.record_refused(&request.demand, reason);
            pass.record_outcome(&waiting, None, Some(refusal));
            return;
        }
        if !waiting.can_be_overtaken(now) {
            pass.state.block(unplaced);
        }
        pass.ahead.add(&waiting);
        pass.remaining.push(waiting);
    }

    /// Returns why a generation that was not placed in a pass does not wait on, if so.
    fn refusal_reason(
        &self,
        ledger: &EngineLedger,
        waiting: &Waiting,
        unplaced: Unplaced,
        pass: &Pass,
        now: Duration,
    ) -> Option<RefusalReason> {
        let request = &waiting.request;
        if now >= request.deadline {
            return Some(RefusalReason::of_deadline(unplaced.held_back_for()));
        }
        let ahead = pass.remaining.len();
        let of_priority = pass.ahead.of(request.demand.priority);
        self.will_miss_with(ledger, ahead, of_priority, waiting, 1.0, now)
            .then_some(RefusalReason::QueueTooSlow)
    }

    /// Removes a generation whose caller has gone.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        self.waiting.retain(|waiting| waiting.ticket() != ticket);
        if self.waiting.is_empty() {
            self.throughput.nonempty_since = None;
        }
    }

    /// Places a generation unless the room is kept for others.
    fn try_place(
        &mut self,
        ledger: &mut EngineLedger,
        waiting: &Waiting,
        now: Duration,
    ) -> Result<String, Unplaced> {
        let request = &waiting.request;
        let demand = &request.demand;
        let held_back = self
            .reserve
            .held_back_for(ledger, &self.traffic, demand, now);
        if let Some(held_back_for) = held_back {
            return Err(Unplaced::HeldBack(held_back_for));
        }
        let engine = ledger
            .place(demand, &request.entry, &request.excluded, now)
            .ok_or(Unplaced::NoRoom)?;
        self.reserve.record_placement(demand);
        self.traffic.record_placement(demand.priority, now);
        self.counts.record_granted(demand);
        if self.policy.shares.is_some() {
            self.shares.record_placement(demand, waiting.key.start_tag);
        }
        Ok(engine)
    }

    fn refusal(
        &self,
        ledger: &EngineLedger,
        request: &AdmissionRequest,
        reason: RefusalReason,
        ahead: usize,
        now: Duration,
    ) -> Refusal {
        let flow = self.flow_of(ledger, request, now);
        let flow = flow.filter(|_| self.policy.wait_past_objective);
        let reserve_tokens =
            self.reserve
                .required_tokens(ledger, &self.traffic, &request.demand, now);
        Refusal {
            reason,
            waited: Duration::ZERO,
            ahead,
            reserve_tokens,
            room_in: flow.and_then(|flow| forecast::time_to_room(&flow, ahead)),
        }
    }
}

/// One pass over the queue.
#[derive(Debug, Default)]
struct Pass {
    outcomes: Vec<WaitOutcome>,
    /// Generations that wait on.
    remaining: Vec<Waiting>,
    /// Those of `remaining` by priority.
    ahead: AheadByPriority,
    state: PassState,
}

impl Pass {
    fn record_outcome(
        &mut self,
        waiting: &Waiting,
        granted: Option<String>,
        refusal: Option<Refusal>,
    ) {
        self.outcomes.push(WaitOutcome {
            ticket: waiting.ticket(),
            granted,
            refusal,
        });
    }
}
