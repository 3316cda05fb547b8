//! Roll-outs: shifting a service to another software version on evidence, until a deadline.
//!
//! Load pattern: the new version may fail or be slow from the start, after a while, on one route
//! only, or only under load. Every instance sends a small share of its own requests to the new
//! version, so that the sum over all instances keeps the limit without a coordinator. The instance
//! that owns the service compares the outcomes of both versions and directs the share. The new
//! version gets all requests only after the comparison, shortly before the deadline.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rollout_evidence::{RolloutEvidence, RolloutOutcome, Version};

/// Part of the allowed share of requests that the new version gets while versions are compared. The
/// rest is left for the time between the acceptance and the deadline, in which the version may
/// still turn bad.
const COMPARED_SHARE_PART: f64 = 0.4;
/// Part of the allowed extra requests that the new version gets while versions are compared.
const COMPARED_SLACK_PART: f64 = 0.2;
/// Part of all allowed requests that is ever used, since requests are counted with a delay.
const LIMIT_PART: f64 = 0.85;
/// Largest share of requests while the new version is below its limit.
const SHARE_MAX: f64 = 0.25;
/// Share of requests until the first outcomes of the new version have arrived.
const SHARE_INITIAL: f64 = 0.04;
/// Outcomes of the new version after which the share is raised.
const RAISE_AFTER_OUTCOMES: u64 = 5;
/// Time within which a deficit of requests is made up.
const CATCH_UP: Duration = Duration::from_secs(2);
/// Longest part of the time until the deadline in which the new version gets all requests.
const FINISH_PART_MAX: f64 = 0.35;
/// Shortest such time: two reports.
const FINISH_MIN: Duration = Duration::from_millis(600);
/// Longest such time, enough to move the generations of all engines.
const FINISH_MAX: Duration = Duration::from_secs(6);
/// Time before the deadline at which the result is written at the latest.
const RESULT_LEAD: Duration = Duration::from_millis(500);

/// An operator's order to shift a service to a software version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose requests are shifted.
    pub service: String,
    /// Software version to shift to.
    pub target_version: String,
    /// Time from the order to its deadline.
    pub finish_within: Duration,
}

/// State of a roll-out, as told to the operator. A final state never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The versions are being compared.
    Running,
    /// The service runs on the new version only.
    Completed,
    /// The service runs without the new version.
    Reverted,
}

impl RolloutState {
    /// Returns whether the state cannot change any more.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::Running
    }
}

/// State of a roll-out as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Service of the roll-out.
    pub service: String,
    /// Software version that it shifts to.
    pub target_version: String,
    /// Its state.
    pub state: RolloutState,
    /// Unix time at which the order was first seen.
    pub started_at_unix: Duration,
}

/// How requests are distributed over the versions.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// This share of the requests goes to the new version and all others to the current one.
    Canary {
        /// Share of requests, from 0 to 1.
        share: f64,
    },
    /// New requests go to the new version, and generations are moved to it.
    Finishing,
    /// Only the new version is used.
    Completed,
    /// Only the current version is used.
    Reverted,
}

/// Limits on the requests that a new version may get before it is accepted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanaryLimits {
    /// Largest share of a service's requests, from 0 to 1.
    pub share: f64,
    /// Requests in addition to the share.
    pub slack: f64,
}

/// What runs a service, as known to its owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionCensus {
    /// Usable endpoints of the current version.
    pub current: usize,
    /// Usable endpoints of the new version.
    pub target: usize,
    /// Generations on endpoints of the current version.
    pub runs_on_current: usize,
}

/// Numbers of requests that were sent to a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// To all versions.
    pub all: u64,
    /// To the new version.
    pub target: u64,
}

/// Decides on a roll-out at the instance that owns the service.
#[derive(Debug)]
pub struct RolloutController {
    order: RolloutOrder,
    limits: CanaryLimits,
    started_at: Duration,
    evidence: RolloutEvidence,
    counts: RequestCounts,
    phase: Phase,
}

impl RolloutController {
    /// Starts a roll-out whose order was given at `started_at`.
    #[must_use]
    pub fn new(order: RolloutOrder, limits: CanaryLimits, started_at: Duration) -> Self {
        Self {
            order,
            limits,
            started_at,
            evidence: RolloutEvidence::default(),
            counts: RequestCounts::default(),
            phase: Phase::Canary { share: 0.0 },
        }
    }

    /// Returns the order.
    #[must_use]
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the evidence so far.
    #[must_use]
    pub fn evidence(&self) -> &RolloutEvidence {
        &self.evidence
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Changes the deadline, if the operator has changed the order.
    pub fn set_finish_within(&mut self, finish_within: Duration) {
        self.order.finish_within = finish_within;
    }

    /// Sets the final state that the store has recorded. It stays even if the decision here would
    /// have been another one.
    pub fn conclude(&mut self, state: RolloutState) {
        match state {
            RolloutState::Running => {}
            RolloutState::Completed => self.phase = Phase::Completed,
            RolloutState::Reverted => self.phase = Phase::Reverted,
        }
    }

    /// Adds what an instance has sent and observed since its last report.
    pub fn add_report(&mut self, counts: RequestCounts, outcomes: &[RolloutOutcome]) {
        self.counts.all += counts.all;
        self.counts.target += counts.target;
        for outcome in outcomes {
            self.evidence.add(outcome);
        }
    }

    /// Returns the state to be recorded in the store.
    #[must_use]
    pub fn state(&self) -> RolloutState {
        match self.phase {
            Phase::Canary { .. } | Phase::Finishing => RolloutState::Running,
            Phase::Completed => RolloutState::Completed,
            Phase::Reverted => RolloutState::Reverted,
        }
    }

    /// Updates the phase and returns it.
    pub fn advance(&mut self, census: VersionCensus, now: Duration) -> Phase {
        let deadline = self.started_at + self.order.finish_within;
        let result_due_at = deadline.saturating_sub(RESULT_LEAD);
        self.phase = match self.phase {
            Phase::Completed => Phase::Completed,
            Phase::Reverted => Phase::Reverted,
            Phase::Canary { .. } | Phase::Finishing if self.evidence.is_bad() => Phase::Reverted,
            // Nothing is left to compare with, or to move.
            Phase::Canary { .. } if census.current == 0 && census.target > 0 => Phase::Completed,
            Phase::Finishing if census.target == 0 => Phase::Reverted,
            Phase::Finishing if census.runs_on_current == 0 || now >= result_due_at => {
                Phase::Completed
            }
            Phase::Finishing => Phase::Finishing,
            Phase::Canary { .. } if now >= result_due_at => Phase::Reverted,
            Phase::Canary { .. }
                if now >= result_due_at.saturating_sub(self.finish_time())
                    && census.target > 0
                    && self.evidence.is_good() =>
            {
                Phase::Finishing
            }
            Phase::Canary { .. } => self.canary_phase(census),
        };
        self.phase
    }

    /// Returns for how long the new version may get all requests without exceeding its limit, in
    /// case it turns bad.
    fn finish_time(&self) -> Duration {
        let longest = self.order.finish_within.mul_f64(FINISH_PART_MAX);
        let covered_s = self.evidence.covered().as_secs_f64();
        let per_s = as_f64(self.counts.all) / covered_s.max(1.0);
        let allowed = as_f64(self.counts.all) * self.limits.share + self.limits.slack;
        let left = (allowed * LIMIT_PART - as_f64(self.counts.target)).max(0.0);
        let within_limit_s = left / per_s.max(1.0) - RESULT_LEAD.as_secs_f64();
        Duration::from_secs_f64(within_limit_s.max(0.0))
            .min(longest)
            .clamp(FINISH_MIN, FINISH_MAX)
    }

    fn canary_phase(&self, census: VersionCensus) -> Phase {
        if census.target == 0 {
            return Phase::Canary { share: 0.0 };
        }
        let steady = self.limits.share * COMPARED_SHARE_PART;
        let allowed = as_f64(self.counts.all) * steady + self.limits.slack * COMPARED_SLACK_PART;
        let deficit = allowed - as_f64(self.counts.target);
        if deficit <= 0.0 {
            return Phase::Canary { share: 0.0 };
        }
        if self.evidence.target_outcomes() < RAISE_AFTER_OUTCOMES {
            return Phase::Canary {
                share: SHARE_INITIAL.min(steady),
            };
        }
        let per_catch_up = as_f64(self.counts.all) / self.elapsed_catch_ups();
        let share = steady + deficit / per_catch_up.max(1.0);
        Phase::Canary {
            share: share.min(SHARE_MAX),
        }
    }

    /// Returns the time covered by the counts, in multiples of [`CATCH_UP`].
    fn elapsed_catch_ups(&self) -> f64 {
        let covered = self.evidence.covered();
        (covered.as_secs_f64() / CATCH_UP.as_secs_f64()).max(1.0)
    }
}

fn as_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Draws the version for a request, with a random number evenly distributed from 0 to 1.
#[must_use]
pub fn draw_version(phase: Phase, random: f64) -> Version {
    match phase {
        Phase::Canary { share } if random >= share => Version::Current,
        Phase::Reverted => Version::Current,
        Phase::Canary { .. } | Phase::Finishing | Phase::Completed => Version::Target,
    }
}
