//! Forecast of whether a waiting generation will be placed in time.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::waiting::Waiting;
use super::{AdmissionPolicy, AdmissionQueue, AdmissionRequest};
use crate::kernel::class_traffic::{ClassRates, class_of};
use crate::kernel::engine_ledger::EngineLedger;

/// Window over which the queue's throughput is measured: about ten placements on a site with a
/// dozen engines.
const THROUGHPUT_WINDOW: Duration = Duration::from_secs(1);
/// Share of the throughput that a new arrival counts on. Being refused at once is better for it than
/// being refused later, once the forecast has become a little worse.
const SHARE_ON_ARRIVAL: f64 = 0.75;
/// The throughput is unknown until the queue has been non-empty for this long.
const THROUGHPUT_KNOWN_AFTER: Duration = Duration::from_millis(500);

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Recent throughput of the queue.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    /// Times at which waiting generations were placed, within the last [`THROUGHPUT_WINDOW`].
    granted_at: VecDeque<Duration>,
    /// Since when the queue has been non-empty.
    pub(super) nonempty_since: Option<Duration>,
}

impl Throughput {
    pub(super) fn prune(&mut self, now: Duration) {
        let window_start = now.saturating_sub(THROUGHPUT_WINDOW);
        self.granted_at.retain(|at| *at >= window_start);
    }

    pub(super) fn record_grant(&mut self, now: Duration) {
        self.granted_at.push_back(now);
    }

    /// Returns whether a generation with `ahead` others before it would miss its deadline at the
    /// recent throughput.
    pub(super) fn will_miss_deadline(
        &self,
        ahead: usize,
        deadline: Duration,
        now: Duration,
    ) -> bool {
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
        let left_s = deadline.saturating_sub(now).as_secs_f64();
        // One more than observed, so that a queue that has only begun to move is not given up.
        let admitted_in_time = as_f64(granted_count + 1) / observed_for.as_secs_f64() * left_s;
        as_f64(ahead) > admitted_in_time
    }
}

/// How generations of one priority come and go.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    pub(super) rates: ClassRates,
    /// Number of those that run.
    pub(super) running: u32,
}

impl Flow {
    /// Returns how many of the running ones end per second (Little's law). Unlike the placements of
    /// the last seconds, it does not fall to zero when engines have just left.
    fn freed_per_s(&self) -> f64 {
        f64::from(self.running) / self.rates.mean_holding_s
    }
}

/// Numbers of generations of the same priority ahead of one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Ahead {
    /// Those that can still meet their objective.
    pub(super) in_time: usize,
    /// All others.
    pub(super) late: usize,
}

/// Returns whether a generation will be placed neither by its objective nor, behind those that
/// arrive meanwhile and can still meet theirs, by its deadline. It counts on `share` of the
/// throughput.
fn will_miss_both(flow: &Flow, ahead: Ahead, waiting: &Waiting, share: f64, now: Duration) -> bool {
    let Flow { rates, .. } = flow;
    let request = &waiting.request;
    // A burst ends: for the time of a wait, arrivals are rarely above their usual rate.
    let overtaking_per_s = rates.arrivals_per_s.min(rates.usual_arrivals_per_s);
    let overtaking = overtaking_per_s * waiting.overtaken_for(now).as_secs_f64();
    let objective_left_s = request.objective_at.saturating_sub(now).as_secs_f64();
    let in_time_per_s = rates.placements_per_s.max(flow.freed_per_s()) * share;
    let in_time = as_f64(ahead.in_time) + overtaking;
    if objective_left_s > 0.0 && in_time <= in_time_per_s * objective_left_s {
        return false;
    }
    let late_per_s = (flow.freed_per_s() - overtaking_per_s).max(0.0) * share;
    let left_s = request.deadline.saturating_sub(now).as_secs_f64();
    as_f64(ahead.in_time + ahead.late) > late_per_s * left_s
}

/// Returns the time until a generation that arrives now finds room, if `ahead` of its priority wait.
pub(super) fn time_to_room(flow: &Flow, ahead: usize) -> Option<Duration> {
    let per_s = flow.rates.placements_per_s.max(flow.freed_per_s());
    Duration::try_from_secs_f64(as_f64(ahead) / per_s).ok()
}

/// Numbers of generations that remain in the queue, by priority.
#[derive(Debug, Default)]
pub(super) struct AheadByPriority(HashMap<u32, Ahead>);

impl AheadByPriority {
    pub(super) fn add(&mut self, waiting: &Waiting) {
        let ahead = self.0.entry(waiting.key.priority).or_default();
        if waiting.key.is_late {
            ahead.late += 1;
        } else {
            ahead.in_time += 1;
        }
    }

    pub(super) fn of(&self, priority: u32) -> Ahead {
        self.0.get(&priority).copied().unwrap_or_default()
    }
}

impl AdmissionQueue {
    /// Returns whether a generation that arrives now with `ahead` others before it will not be
    /// placed in time.
    pub(super) fn will_miss(
        &self,
        ledger: &EngineLedger,
        ahead: usize,
        arriving: &Waiting,
        now: Duration,
    ) -> bool {
        let mut of_priority = AheadByPriority::default();
        for waiting in &self.waiting[..ahead] {
            of_priority.add(waiting);
        }
        let of_priority = of_priority.of(arriving.key.priority);
        let share = SHARE_ON_ARRIVAL;
        self.will_miss_with(ledger, ahead, of_priority, arriving, share, now)
    }

    pub(super) fn will_miss_with(
        &self,
        ledger: &EngineLedger,
        ahead: usize,
        ahead_of_priority: Ahead,
        waiting: &Waiting,
        share: f64,
        now: Duration,
    ) -> bool {
        if self.policy == AdmissionPolicy::default() {
            return self
                .throughput
                .will_miss_deadline(ahead, waiting.request.deadline, now);
        }
        let flow = self.flow_of(ledger, &waiting.request, now);
        flow.is_some_and(|flow| will_miss_both(&flow, ahead_of_priority, waiting, share, now))
    }

    pub(super) fn flow_of(
        &self,
        ledger: &EngineLedger,
        request: &AdmissionRequest,
        now: Duration,
    ) -> Option<Flow> {
        let class = class_of(request.demand.priority);
        let rates = self.traffic.rates(class, now)?;
        Some(Flow {
            rates,
            running: ledger.run_count_of_class(class),
        })
    }
}
