//! Comparison of two versions of a service from the outcomes of their requests.
//!
//! Each outcome of the new version is weighed against the share of bad outcomes of the current
//! version on the same route at the same time. An overload, a crash or a garbled answer that hits
//! both versions therefore says nothing against the new one. The comparison is sequential: a
//! cumulative sum of log-likelihood ratios, restarted at zero, detects a version that turns bad
//! late as soon as one that is bad from the start.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

/// Score at which the new version counts as bad.
const BAD_SCORE: f64 = 7.0;
/// Sum of log-likelihood ratios at or below which the new version counts as good.
const GOOD_SCORE: f64 = -1.0;
/// Highest restarted score with which the new version can still be accepted.
const GOOD_SCORE_MAX: f64 = 4.5;
/// A route whose share of all outcomes is at least this must have been tried on the new version.
const ROUTE_SHARE_MIN: f64 = 0.1;
/// Outcomes of the new version that such a route needs.
const ROUTE_OUTCOMES_MIN: u64 = 5;
/// A response is slow if it takes this many times as long as usual for the current version.
const SLOW_FACTOR: f64 = 2.5;
/// A response that takes longer by less than this is not slow; scheduling alone causes as much.
const SLOW_MARGIN: Duration = Duration::from_millis(20);
/// Responses of the current version from which the usual time of a route is known.
const LATENCIES_MIN: usize = 8;
/// Recent responses of the current version that are kept for each route.
const LATENCIES_MAX: usize = 128;
/// Lower bound of the assumed share of bad outcomes of a good version.
const BAD_SHARE_MIN: f64 = 0.02;
/// Upper bound of that share. Above it both versions fail, and nothing can be compared.
const BAD_SHARE_MAX: f64 = 0.6;
/// By how much more often a bad version fails, at least.
const BAD_SHARE_STEP: f64 = 0.15;
/// Weight of the newest outcome in the moving average of bad outcomes.
const NEWEST_WEIGHT: f64 = 0.06;

/// A software version of a service during a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Version {
    /// Any version but the target of the roll-out.
    #[default]
    Current,
    /// The version that the roll-out shifts to.
    Target,
}

/// Outcome of one request to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOutcome {
    /// Name of the route.
    pub route: String,
    /// Version of the endpoint.
    pub version: Version,
    /// Whether the endpoint failed the request.
    pub failed: bool,
    /// Time to the response or, for a generation, to its first event.
    pub latency: Duration,
    /// Time at which the outcome was observed, on the clock of the instance that collects them.
    pub observed_at: Duration,
}

/// Outcomes of one route.
#[derive(Debug, Default)]
struct RouteEvidence {
    /// Latencies of the current version, newest last.
    current_latencies: VecDeque<Duration>,
    /// Moving average of the share of bad outcomes of the current version.
    current_bad_share: f64,
    current_outcomes: u64,
    target: Score,
}

/// Score of the new version.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Score {
    /// Number of outcomes.
    pub outcomes: u64,
    /// Number of bad ones.
    pub bad: u64,
    /// Sum of log-likelihood ratios, restarted whenever it falls below zero.
    pub restarted: f64,
    /// Sum of log-likelihood ratios.
    pub total: f64,
}

impl Score {
    fn add(&mut self, is_bad: bool, ratio: f64) {
        self.outcomes += 1;
        self.bad += u64::from(is_bad);
        self.restarted = (self.restarted + ratio).max(0.0);
        self.total += ratio;
    }
}

/// Evidence for or against a new version.
#[derive(Debug, Default)]
pub struct RolloutEvidence {
    routes: BTreeMap<String, RouteEvidence>,
    overall: Score,
    observed_from: Option<Duration>,
    observed_to: Duration,
}

impl RouteEvidence {
    fn is_slow(&self, latency: Duration) -> bool {
        if self.current_latencies.len() < LATENCIES_MIN {
            return false;
        }
        let mut sorted: Vec<Duration> = self.current_latencies.iter().copied().collect();
        sorted.sort_unstable();
        let usual = sorted[sorted.len() / 2];
        latency > usual.mul_f64(SLOW_FACTOR).max(usual + SLOW_MARGIN)
    }

    fn add_current(&mut self, is_bad: bool, outcome: &RolloutOutcome) {
        self.current_outcomes += 1;
        let newest = if is_bad { 1.0 } else { 0.0 };
        self.current_bad_share += NEWEST_WEIGHT * (newest - self.current_bad_share);
        if !outcome.failed {
            self.current_latencies.push_back(outcome.latency);
        }
        if self.current_latencies.len() > LATENCIES_MAX {
            self.current_latencies.pop_front();
        }
    }

    /// Returns the log-likelihood ratio of an outcome of the new version: bad against good.
    fn ratio(&self, is_bad: bool) -> f64 {
        let good = self.current_bad_share.clamp(BAD_SHARE_MIN, BAD_SHARE_MAX);
        let bad = (2.0 * good).max(good + BAD_SHARE_STEP).min(0.95);
        if is_bad {
            (bad / good).ln()
        } else {
            ((1.0 - bad) / (1.0 - good)).ln()
        }
    }
}

impl RolloutEvidence {
    /// Adds an outcome.
    pub fn add(&mut self, outcome: &RolloutOutcome) {
        self.observed_from.get_or_insert(outcome.observed_at);
        self.observed_to = self.observed_to.max(outcome.observed_at);
        let route = self.routes.entry(outcome.route.clone()).or_default();
        let is_bad = outcome.failed || route.is_slow(outcome.latency);
        match outcome.version {
            Version::Current => route.add_current(is_bad, outcome),
            Version::Target => {
                let ratio = route.ratio(is_bad);
                route.target.add(is_bad, ratio);
                self.overall.add(is_bad, ratio);
            }
        }
    }

    /// Returns the number of outcomes of the new version.
    #[must_use]
    pub fn target_outcomes(&self) -> u64 {
        self.overall.outcomes
    }

    /// Returns the time between the first and the last outcome.
    #[must_use]
    pub fn covered(&self) -> Duration {
        let from = self.observed_from.unwrap_or(self.observed_to);
        self.observed_to.saturating_sub(from)
    }

    /// Returns whether the new version is bad, on all routes together or on one.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let routes = self.routes.values().map(|route| route.target);
        let mut scores = routes.chain([self.overall]);
        scores.any(|score| score.restarted >= BAD_SCORE)
    }

    /// Returns whether the new version may be accepted: its outcomes show that it is not bad, and
    /// every busy route was tried.
    #[must_use]
    pub fn is_good(&self) -> bool {
        let outcomes = |route: &RouteEvidence| route.current_outcomes + route.target.outcomes;
        let all: u64 = self.routes.values().map(outcomes).sum();
        let as_f64 = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let is_busy =
            |route: &&RouteEvidence| as_f64(outcomes(route)) >= ROUTE_SHARE_MIN * as_f64(all);
        let mut busy = self.routes.values().filter(is_busy);
        let are_routes_tried = busy.all(|route| route.target.outcomes >= ROUTE_OUTCOMES_MIN);
        let routes = self.routes.values().map(|route| route.target);
        let mut scores = routes.chain([self.overall]);
        self.overall.total <= GOOD_SCORE
            && are_routes_tried
            && scores.all(|score| score.restarted <= GOOD_SCORE_MAX)
    }

    /// Returns the scores of the new version by route, for operators.
    #[must_use]
    pub fn scores(&self) -> BTreeMap<String, Score> {
        let routes = self.routes.iter();
        routes
            .map(|(name, route)| (name.clone(), route.target))
            .collect()
    }
}
