//! What the ledger knows of the pace of its engines, and which of them long streams can use.
//!
//! Load: see [`crate::kernel::engine_pace`]. Engines are told apart only by what callers notice:
//! whether the longest pause that is predicted for a long stream is within its limit. Where all
//! engines keep within it, or none does, nothing differs from a ledger that knows no pace.

use std::time::Duration;

use super::engine::Grant;
use super::{EngineLedger, ReportedRun, RunDemand};
use crate::kernel::engine_pace::{PaceEstimates, TailFactor};
use crate::kernel::engine_run::DECODE_TOKENS_PER_S;
use crate::kernel::first_event::{FirstEvent, FirstEventEstimate};
use crate::kernel::pause_counts::EnginePauses;

/// Events from which a stream counts as long: shorter ones rarely meet the rare pauses.
const LONG_STREAM_EVENTS: f64 = 32.0;
/// Share of the limit that the predicted longest pause leaves free, for the way to the caller.
const PAUSE_MARGIN: f64 = 0.05;
/// An engine that broke the limit keeps it again below this share of it.
const KEEPS_AGAIN_SHARE: f64 = 0.9;
/// Weight of the latest long stream among those that the engines are judged by.
const REFERENCE_WEIGHT: f64 = 1.0 / 16.0;
/// Interval at which the engines are judged.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the time until the latency objective that a predicted first event may take. The rest is
/// for prompts that others read at the same time and for moments in which everything takes longer.
const FIRST_EVENT_SHARE: f64 = 0.5;
/// Events in a first report up to which the time of the first one is inferred: the further back it
/// is, the less exact.
const INFERRED_EVENTS_MAX: f64 = 32.0;
/// Bounds of an engine's decode rate relative to the mean of all: no prediction of memory follows
/// an estimate further.
const RELATIVE_RATE_RANGE: std::ops::RangeInclusive<f64> = 0.25..=4.0;

/// Whether and how pace counts in placement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PacePolicy {
    /// Whether the pace of engines counts.
    pub is_enabled: bool,
    /// Tokens that one event carries; at least 1.
    pub event_tokens: u32,
}

/// An engine that started or ceased to keep within the limit of long streams.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceChange {
    /// Id of this incarnation of the engine.
    pub endpoint: String,
    /// Whether it keeps within the limit now.
    pub keeps_pace: bool,
    /// Estimated mean pause between two of its events.
    pub mean_pause_ms: f64,
    /// Predicted longest pause of a long stream.
    pub predicted_pause_ms: f64,
    /// The limit.
    pub pause_max_ms: f64,
}

/// What is known of an engine's pace; all `None` while pace does not count.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::kernel) struct ObservedPace {
    pub(in crate::kernel) mean_pause_ms: Option<f64>,
    /// Longest pause predicted for the reference stream.
    pub(in crate::kernel) predicted_pause_ms: Option<f64>,
    /// Whether that is within the reference stream's limit.
    pub(in crate::kernel) keeps_pace: Option<bool>,
    /// Tokens of a generation decoded in a second; `None` where engines do not differ.
    pub(in crate::kernel) decode_tokens_per_s: Option<f64>,
}

/// A long stream: the limit of its pauses and its length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::kernel) struct LongStream {
    pause_max_s: f64,
    events: f64,
}

impl LongStream {
    /// Returns the longest predicted pause that its limit allows, in seconds.
    fn accepted_pause_s(self) -> f64 {
        self.pause_max_s * (1.0 - PAUSE_MARGIN)
    }

    /// Returns the stream moved towards another one.
    fn blended_with(self, other: Self) -> Self {
        let blend = |old: f64, new: f64| old + (new - old) * REFERENCE_WEIGHT;
        Self {
            pause_max_s: blend(self.pause_max_s, other.pause_max_s),
            events: blend(self.events, other.events),
        }
    }
}

/// What is known of the pace of all engines.
#[derive(Debug, Default)]
pub(in crate::kernel) struct LedgerPace {
    policy: PacePolicy,
    pub(in crate::kernel) estimates: PaceEstimates,
    /// The long streams placed recently, as one.
    reference: Option<LongStream>,
    first_events: FirstEventEstimate,
    refreshed_at: Option<Duration>,
    /// Changes that were not taken yet; at most one per engine.
    changes: Vec<PaceChange>,
}

impl LedgerPace {
    /// Returns the expected number of events of a generation.
    fn expected_events(&self, demand: &RunDemand) -> f64 {
        let event_tokens = f64::from(self.policy.event_tokens.max(1));
        demand.expected_output_tokens() / event_tokens
    }

    /// Returns whether a generation is expected to have few events, if pace counts.
    pub(in crate::kernel) fn is_short(&self, demand: &RunDemand) -> bool {
        self.policy.is_enabled && self.expected_events(demand) < LONG_STREAM_EVENTS
    }

    /// Returns the generation as a long stream if it is one and pace counts.
    pub(in crate::kernel) fn long_stream(&self, demand: &RunDemand) -> Option<LongStream> {
        let pause_max = demand.pause_max.filter(|_| self.policy.is_enabled)?;
        let events = self.expected_events(demand);
        (events >= LONG_STREAM_EVENTS).then_some(LongStream {
            pause_max_s: pause_max.as_secs_f64(),
            events,
        })
    }

    /// Learns from the first report of a generation's events how long the first one took.
    pub(super) fn observe_first_event(
        &mut self,
        reported: &ReportedRun,
        grant: Grant,
        now: Duration,
    ) {
        let event_tokens = f64::from(self.policy.event_tokens.max(1));
        let events = f64::from(reported.generated_tokens) / event_tokens;
        if !self.policy.is_enabled || !(1.0..=INFERRED_EVENTS_MAX).contains(&events) {
            return;
        }
        let Some(mean_s) = self.estimates.mean_pause_s(&reported.endpoint, now) else {
            return;
        };
        let elapsed_pauses = now.saturating_sub(grant.at).as_secs_f64() / mean_s;
        // The report came half a pause after the last event, on average.
        let pauses = (elapsed_pauses - (events - 0.5)).max(0.0);
        let event = FirstEvent {
            tokens: grant.unread_tokens,
            pauses,
        };
        self.first_events.observe(event, now);
    }

    /// Returns whether a short stream is predicted to be served in time on an engine that reads
    /// these prompt tokens first: its first event and its own pauses. What is not known counts as
    /// in time.
    pub(in crate::kernel) fn serves_short_in_time(
        &self,
        endpoint: &str,
        demand: &RunDemand,
        unread_tokens: f64,
        now: Duration,
    ) -> bool {
        let Some(mean_s) = self.estimates.mean_pause_s(endpoint, now) else {
            return true;
        };
        let first_event_s = self.first_events.predict_s(unread_tokens, mean_s);
        let limit_s = demand
            .first_event_within
            .map_or(f64::INFINITY, |within| within.as_secs_f64());
        let starts_in_time =
            first_event_s.is_none_or(|time_s| time_s <= limit_s * FIRST_EVENT_SHARE);
        starts_in_time && self.keeps_own_pauses(endpoint, demand, now)
    }

    /// Returns whether the pauses of a generation of any length are predicted to be within its own
    /// limit on an engine.
    fn keeps_own_pauses(&self, endpoint: &str, demand: &RunDemand, now: Duration) -> bool {
        let Some(pause_max) = demand.pause_max else {
            return true;
        };
        let stream = LongStream {
            pause_max_s: pause_max.as_secs_f64(),
            events: self.expected_events(demand),
        };
        let factor = self.tail_factor(stream);
        factor.is_none_or(|factor| self.keeps_limit(endpoint, stream, factor, now))
    }

    /// Records a long stream that is placed.
    pub(in crate::kernel) fn record_long_stream(&mut self, stream: LongStream) {
        let before = self.reference.unwrap_or(stream);
        self.reference = Some(before.blended_with(stream));
    }

    /// Returns the engine's mean pause relative to that of all engines; 1 if nothing is known.
    pub(in crate::kernel) fn relative_pause(&self, endpoint: &str, now: Duration) -> f64 {
        let mean_s = self.estimates.mean_pause_s(endpoint, now);
        let service_mean_s = self.estimates.service_mean_pause_s();
        mean_s
            .zip(service_mean_s)
            .map_or(1.0, |(mean_s, service_mean_s)| mean_s / service_mean_s)
    }

    /// Returns the factor for the longest pause of a stream, or `None` if pace does not count for
    /// it or too little is known.
    pub(in crate::kernel) fn tail_factor(&self, stream: LongStream) -> Option<TailFactor> {
        self.estimates.tail_factor(stream.events)
    }

    /// Returns whether an engine is predicted to keep within a long stream's limit.
    pub(in crate::kernel) fn keeps_limit(
        &self,
        endpoint: &str,
        stream: LongStream,
        factor: TailFactor,
        now: Duration,
    ) -> bool {
        let predicted = self.estimates.longest_pause(endpoint, factor, now);
        predicted.is_none_or(|pause| pause.as_secs_f64() <= stream.accepted_pause_s())
    }

    /// Judges an engine by the reference stream.
    fn observe(
        &self,
        endpoint: &str,
        before: ObservedPace,
        now: Duration,
    ) -> Option<(ObservedPace, PaceChange)> {
        let reference = self.reference.filter(|_| self.policy.is_enabled)?;
        let factor = self.tail_factor(reference)?;
        let mean_s = self.estimates.mean_pause_s(endpoint, now)?;
        let predicted_s = self
            .estimates
            .longest_pause(endpoint, factor, now)?
            .as_secs_f64();
        let share = if before.keeps_pace == Some(false) {
            KEEPS_AGAIN_SHARE
        } else {
            1.0
        };
        let keeps_pace = predicted_s <= reference.accepted_pause_s() * share;
        let observed = ObservedPace {
            mean_pause_ms: Some(mean_s * 1e3),
            predicted_pause_ms: Some(predicted_s * 1e3),
            keeps_pace: Some(keeps_pace),
            decode_tokens_per_s: None,
        };
        let change = PaceChange {
            endpoint: endpoint.to_owned(),
            keeps_pace,
            mean_pause_ms: mean_s * 1e3,
            predicted_pause_ms: predicted_s * 1e3,
            pause_max_ms: reference.pause_max_s * 1e3,
        };
        Some((observed, change))
    }

    /// Returns the tokens of a generation that an engine decodes in a second: the usual rate, by
    /// how much faster it is than the mean. So only the differences between engines count, which
    /// are what pauses can tell.
    fn decode_tokens_per_s(&self, endpoint: &str, now: Duration) -> f64 {
        let relative_rate = 1.0 / self.relative_pause(endpoint, now);
        let (lowest, highest) = RELATIVE_RATE_RANGE.into_inner();
        DECODE_TOKENS_PER_S * relative_rate.clamp(lowest, highest)
    }

    fn push_change(&mut self, change: PaceChange) {
        self.changes
            .retain(|earlier| earlier.endpoint != change.endpoint);
        self.changes.push(change);
    }
}

impl EngineLedger {
    /// Sets whether and how pace counts.
    pub fn set_pace_policy(&mut self, policy: PacePolicy) {
        if self.pace.policy == policy {
            return;
        }
        self.pace.policy = policy;
        self.pace.refreshed_at = None;
        if !policy.is_enabled {
            for engine in self.engines.values_mut() {
                engine.pace = ObservedPace::default();
            }
        }
    }

    /// Applies pauses that an entry instance observed. Returns how far their mean is from the
    /// predicted one, as a share of it, for each engine that had a prediction.
    pub fn apply_pauses(&mut self, observed: &[EnginePauses], now: Duration) -> Vec<f64> {
        let estimates = &mut self.pace.estimates;
        let errors = observed.iter();
        errors
            .filter_map(|pauses| estimates.apply(pauses, now))
            .collect()
    }

    /// Returns whether an engine is predicted to keep within the pauses that a generation's caller
    /// accepts; also if pace does not count or nothing is known of it.
    pub(in crate::kernel) fn keeps_pace(&self, engine_id: &str, demand: &RunDemand) -> bool {
        let stream = self.pace.long_stream(demand);
        let Some((stream, factor)) =
            stream.and_then(|stream| Some((stream, self.pace.tail_factor(stream)?)))
        else {
            return true;
        };
        let now = self.pace.refreshed_at.unwrap_or_default();
        self.pace.keeps_limit(engine_id, stream, factor, now)
    }

    /// Judges all engines by the long streams placed recently, unless that was done just now.
    pub fn refresh_paces(&mut self, now: Duration) {
        let refreshed_at = self.pace.refreshed_at;
        let is_recent = refreshed_at.is_some_and(|at| now.saturating_sub(at) < REFRESH_INTERVAL);
        if is_recent || !self.pace.policy.is_enabled {
            return;
        }
        self.pace.refreshed_at = Some(now);
        let pace = &mut self.pace;
        for (id, engine) in &mut self.engines {
            let observed = pace.observe(id, engine.pace, now);
            let Some((observed, change)) = observed else {
                engine.pace = ObservedPace::default();
                continue;
            };
            if engine.pace.keeps_pace.unwrap_or(true) != change.keeps_pace {
                pace.push_change(change);
            }
            engine.pace = observed;
        }
        self.refresh_decode_rates(now);
    }

    /// Lets each engine's own rate count in predicted memory if some engines keep within the limit
    /// of long streams and others do not. The cached usage of an engine follows when one of its
    /// generations changes, which each report tells.
    fn refresh_decode_rates(&mut self, now: Duration) {
        let verdicts = self.engines.values();
        let verdicts = verdicts.filter_map(|engine| engine.pace.keeps_pace);
        let (mut keeping, mut breaking) = (false, false);
        for keeps_pace in verdicts {
            keeping |= keeps_pace;
            breaking |= !keeps_pace;
        }
        if keeping && breaking {
            for (id, engine) in &mut self.engines {
                engine.pace.decode_tokens_per_s = Some(self.pace.decode_tokens_per_s(id, now));
            }
        }
    }

    /// Takes the engines that started or ceased to keep within the limit since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<PaceChange> {
        std::mem::take(&mut self.pace.changes)
    }
}
