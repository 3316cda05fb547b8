//! Pace of engines: the mean pause between events of each, and the longest pause that a stream is
//! predicted to have there.
//!
//! Load: engines whose pace differs several times, under long streams with a limit for every single
//! pause and short ones that hardly notice. A tail cannot be learned from the few streams of one
//! engine, but it has the same causes everywhere (prompts read beside, moments of slowness) and
//! scales with the engine's pace. So each engine has an estimate of its mean pause, and the
//! distribution of pauses relative to that mean is pooled over the engines of the service.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pause_counts::{CLASSES_PER_OCTAVE, EnginePauses, PauseCounts};

/// Time constant with which pauses of an engine are forgotten while new ones arrive, so that nearly
/// all weight is on the last two seconds.
const ENGINE_MEMORY_S: f64 = 1.0;
/// Longest time without observations that counts as forgetting once they arrive again.
const IDLE_FORGETTING_MAX: Duration = Duration::from_millis(500);
/// Time constant with which an engine without observations returns to the service's mean.
const IDLE_MEMORY_S: f64 = 30.0;
/// An engine without observations for this time is dropped.
const ENGINE_TTL: Duration = Duration::from_mins(2);
/// Time constant with which the service's mean and the pooled distribution are forgotten: longer
/// than the swings of the load, which belong to the tail.
const SERVICE_MEMORY_S: f64 = 15.0;
/// Weight of the service's mean in the estimate of an engine, in pauses.
const PRIOR_WEIGHT: f64 = 4.0;
/// A single pause counts as this many times the engine's mean at most, so that no broken stream
/// moves the estimate far.
const INFLUENCE_MAX: f64 = 6.0;
/// Pauses of an engine from which its own mean is known well enough for the pooled distribution.
const POOLED_FROM_PAUSES: f64 = 12.0;
/// Octaves below and above the mean that the pooled distribution covers.
const RATIO_OCTAVES: f64 = 4.0;
/// Classes of the pooled distribution: [`RATIO_OCTAVES`] either way.
const RATIO_CLASSES: usize = 128;
/// Interval at which the pooled distribution is aged.
const AGEING_INTERVAL: Duration = Duration::from_millis(100);
/// Share of streams that may have a longer pause than predicted.
const EXCEEDED_SHARE: f64 = 0.1;
/// Number of events for which the longest pause is predicted at most.
const EVENTS_MAX: f64 = 1_000.0;
/// Largest number of engines that are known at a time.
const ENGINES_MAX: usize = 4_096;

/// Returns the share that is left of a weight after a time.
pub(super) fn decay(elapsed_s: f64, memory_s: f64) -> f64 {
    (-elapsed_s / memory_s).exp()
}

/// Mean of pauses of which older ones count less.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingMean {
    /// Number of pauses, less what is forgotten.
    weight: f64,
    /// Sum of their lengths, less what is forgotten.
    sum_s: f64,
    /// Time up to which it is forgotten.
    aged_to: Duration,
    /// Time of the last observation.
    observed_at: Duration,
}

impl DecayingMean {
    /// Ages by `elapsed`.
    fn age(&mut self, elapsed: Duration, memory_s: f64) {
        let left = decay(elapsed.as_secs_f64(), memory_s);
        self.weight *= left;
        self.sum_s *= left;
        self.aged_to += elapsed;
    }

    fn add(&mut self, weight: f64, sum_s: f64, now: Duration) {
        self.weight += weight;
        self.sum_s += sum_s;
        self.observed_at = now;
    }

    /// Returns the mean in seconds if there are observations.
    fn mean_s(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum_s / self.weight)
    }
}

/// Distribution of pauses relative to the mean of their engine.
#[derive(Debug)]
struct RatioHistogram {
    weights: [f64; RATIO_CLASSES],
    total: f64,
    aged_to: Duration,
}

impl Default for RatioHistogram {
    fn default() -> Self {
        Self {
            weights: [0.0; RATIO_CLASSES],
            total: 0.0,
            aged_to: Duration::ZERO,
        }
    }
}

impl RatioHistogram {
    fn age(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.aged_to);
        if elapsed < AGEING_INTERVAL {
            return;
        }
        let left = decay(elapsed.as_secs_f64(), SERVICE_MEMORY_S);
        for weight in &mut self.weights {
            *weight *= left;
        }
        self.total = self.weights.iter().sum();
        self.aged_to = now;
    }

    fn add(&mut self, ratio: f64, weight: f64) {
        let octaves = ratio.log2().clamp(-RATIO_OCTAVES, RATIO_OCTAVES);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and limited"
        )]
        let class = ((octaves + RATIO_OCTAVES) * CLASSES_PER_OCTAVE) as usize;
        self.weights[class.min(RATIO_CLASSES - 1)] += weight;
        self.total += weight;
    }

    /// Returns the ratio that [`EXCEEDED_SHARE`] of streams with this number of events exceed, or
    /// `None` if fewer pauses were observed than one stream has.
    fn exceeded_by_few(&self, events: f64) -> Option<f64> {
        if self.total < events {
            return None;
        }
        let mut above = self.total * EXCEEDED_SHARE / events;
        let mut octaves = RATIO_OCTAVES;
        for weight in self.weights.iter().rev() {
            octaves -= 1.0 / CLASSES_PER_OCTAVE;
            above -= weight;
            if above <= 0.0 {
                break;
            }
        }
        Some((octaves + 0.5 / CLASSES_PER_OCTAVE).exp2())
    }
}

/// How long the longest pause of a stream is, relative to the mean pause of its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TailFactor(f64);

/// Estimates of the pace of a service's engines.
#[derive(Debug, Default)]
pub struct PaceEstimates {
    /// By incarnation, so that a new start of an endpoint inherits nothing; at most [`ENGINES_MAX`].
    engines: BTreeMap<String, DecayingMean>,
    /// Mean over all engines; the prior of those without observations.
    service: DecayingMean,
    ratios: RatioHistogram,
}

impl PaceEstimates {
    /// Applies pauses that an entry instance observed. Returns how far their mean is from the
    /// prediction, as a share of the prediction, if there was one.
    pub fn apply(&mut self, observed: &EnginePauses, now: Duration) -> Option<f64> {
        let pauses = &observed.pauses;
        let count = f64::from(pauses.total());
        let is_known = self.engines.contains_key(&observed.endpoint);
        if count < 1.0 || (!is_known && self.engines.len() >= ENGINES_MAX) {
            return None;
        }
        let predicted_s = self.mean_pause_s(&observed.endpoint, now);
        let sum_s = limited_sum_s(pauses, predicted_s);
        let engine = self.engines.entry(observed.endpoint.clone()).or_default();
        let is_pooled = engine.weight >= POOLED_FROM_PAUSES;
        add_to_engine(engine, count, sum_s, now);
        self.add_to_service(sum_s / count, now);
        let predicted_s = predicted_s.filter(|_| is_pooled)?;
        // Relative to the mean with these pauses: an engine whose pace changes for good shows in
        // its mean, and not for long in the tail of all others.
        let mean_s = self.mean_pause_s(&observed.endpoint, now)?;
        self.ratios.age(now);
        for (length_s, weight) in pauses.lengths_s() {
            self.ratios.add(length_s / mean_s, weight);
        }
        Some((sum_s / count / predicted_s - 1.0).abs())
    }

    fn add_to_service(&mut self, mean_s: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.service.aged_to);
        self.service.age(elapsed, SERVICE_MEMORY_S);
        // Each report counts once, or the engines that decode fast would make up the mean.
        self.service.add(1.0, mean_s, now);
    }

    /// Returns the estimated mean pause of an engine in seconds: the service's mean if it has no
    /// observations, `None` if there are none at all.
    #[must_use]
    pub fn mean_pause_s(&self, endpoint: &str, now: Duration) -> Option<f64> {
        let prior_s = self.service.mean_s()?;
        let engine = self.engines.get(endpoint).copied().unwrap_or_default();
        let idle = now.saturating_sub(engine.observed_at);
        let left = decay(idle.as_secs_f64(), IDLE_MEMORY_S);
        let weight = engine.weight * left + PRIOR_WEIGHT;
        Some((engine.sum_s * left + prior_s * PRIOR_WEIGHT) / weight)
    }

    /// Returns the mean pause over all engines in seconds.
    #[must_use]
    pub fn service_mean_pause_s(&self) -> Option<f64> {
        self.service.mean_s()
    }

    /// Returns the factor for the longest pause of a stream with this number of events, or `None`
    /// while too few pauses of the service were observed.
    #[must_use]
    pub fn tail_factor(&self, events: f64) -> Option<TailFactor> {
        let events = events.clamp(2.0, EVENTS_MAX);
        self.ratios.exceeded_by_few(events).map(TailFactor)
    }

    /// Returns the predicted longest pause of a stream on an engine.
    #[must_use]
    pub fn longest_pause(
        &self,
        endpoint: &str,
        factor: TailFactor,
        now: Duration,
    ) -> Option<Duration> {
        let mean_s = self.mean_pause_s(endpoint, now)?;
        Duration::try_from_secs_f64(mean_s * factor.0).ok()
    }

    /// Drops the engines without observations for a long time.
    pub fn expire(&mut self, now: Duration) {
        self.engines
            .retain(|_, engine| now.saturating_sub(engine.observed_at) < ENGINE_TTL);
    }
}

/// Returns the sum of pauses, each limited by the predicted mean.
fn limited_sum_s(pauses: &PauseCounts, predicted_s: Option<f64>) -> f64 {
    let longest_s = predicted_s.map_or(f64::INFINITY, |mean_s| mean_s * INFLUENCE_MAX);
    let lengths = pauses.lengths_s();
    lengths
        .map(|(length_s, count)| length_s.min(longest_s) * count)
        .sum()
}

/// Adds pauses to an engine's mean. What was known before is forgotten by the time that was
/// observed: an engine without streams keeps its estimate.
fn add_to_engine(engine: &mut DecayingMean, count: f64, sum_s: f64, now: Duration) {
    let earliest = now.saturating_sub(IDLE_FORGETTING_MAX);
    engine.aged_to = engine.aged_to.max(earliest);
    let observed = Duration::try_from_secs_f64(sum_s).unwrap_or_default();
    let elapsed = now.saturating_sub(engine.aged_to).min(observed);
    engine.age(elapsed, ENGINE_MEMORY_S);
    engine.add(count, sum_s, now);
}
