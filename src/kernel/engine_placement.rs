//! Placement of new generations on engines.
//!
//! Load: long streams with a limit for every pause beside short ones, on engines of unlike pace.
//! Long ones go to engines that are predicted to keep within their limit, as long as one of these
//! has room; short ones go to the others first and so leave that room, if their own first event and
//! pauses are predicted to be in time there.

use std::time::Duration;

use super::engine_ledger::{Engine, EngineLedger, Grant, LongStream, MOVED_RUN_FILL_MAX, Run};
use super::engine_pace::TailFactor;
use super::engine_run::{ListedEngine, ReportedRun, RunDemand};

/// Share of an engine's memory that new generations may fill, including the tokens generated within
/// the prediction horizon. On engines that hold about six generations, reserving a tenth of the
/// memory costs most of one placement.
const NEW_RUN_FILL_MAX: f64 = 0.97;
/// Weight of an engine's prompt tokens that are not prefilled yet, as a share of its memory, when
/// engines are compared. It spreads new generations over the engines.
const PREFILL_BACKLOG_WEIGHT: f64 = 1.5;
/// Added to the score of engines that long streams can use when a short one is placed, as a share of
/// memory. It is bounded so that short ones do not queue up behind each other's prompts.
const SHORT_STREAM_PENALTY: f64 = 0.3;

/// An engine that has room for a new generation.
struct Candidate<'a> {
    listed: &'a ListedEngine,
    engine: &'a Engine,
    /// Fill with the new generation, with the tie-breaker.
    fill: f64,
    /// Whether it is in cooldown for any entry instance: it is likely to refuse this one, too.
    is_cooling_down: bool,
}

impl Candidate<'_> {
    fn share_of_memory(&self, tokens: f64) -> f64 {
        tokens / f64::from(self.listed.memory_tokens)
    }

    fn backlog_score(&self) -> f64 {
        let backlog_tokens = self.engine.usage.prefill_backlog_tokens;
        PREFILL_BACKLOG_WEIGHT * self.share_of_memory(backlog_tokens)
    }

    /// Returns the order of preference among engines that are alike.
    fn rank(&self) -> Rank {
        Rank {
            is_cooling_down: self.is_cooling_down,
            predicted_late: false,
            score: self.fill + self.backlog_score(),
        }
    }
}

/// Order of preference among engines; the lowest is chosen.
#[derive(Debug, Clone, Copy)]
struct Rank {
    is_cooling_down: bool,
    /// Whether it is predicted that the generation is late there.
    predicted_late: bool,
    score: f64,
}

impl Rank {
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_cooldown = self.is_cooling_down.cmp(&other.is_cooling_down);
        by_cooldown
            .then(self.predicted_late.cmp(&other.predicted_late))
            .then(self.score.total_cmp(&other.score))
    }
}

/// How pace counts in the placement of a generation.
#[derive(Debug, Clone, Copy)]
enum PacePreference {
    /// Not at all.
    None,
    /// Engines that keep within the limit of this long stream go first.
    KeepsLimit(LongStream, TailFactor),
    /// Engines that long streams cannot use go first.
    SparesLongStreams,
}

impl EngineLedger {
    /// Chooses an engine for a new generation and records the grant. Returns the engine's id.
    pub fn place(
        &mut self,
        demand: &RunDemand,
        entry: &str,
        excluded: &[String],
        now: Duration,
    ) -> Option<String> {
        self.refresh_paces(now);
        let new = ReportedRun {
            demand: demand.clone(),
            endpoint: String::new(),
            copy_at: None,
            generated_tokens: 0,
        };
        let granted = self.best_engine(&new, entry, excluded, now)?;
        if let Some(stream) = self.pace.long_stream(demand) {
            self.pace.record_long_stream(stream);
        }
        let reported = ReportedRun {
            endpoint: granted.clone(),
            ..new
        };
        let prompt_tokens = demand.prompt_tokens;
        let unread_tokens = self.engines.get(&granted).map_or(0.0, |engine| {
            engine.tokens_before_first_event(prompt_tokens)
        });
        let grant = Grant {
            at: now,
            unread_tokens,
        };
        let run = Run::granted(reported, entry, grant);
        self.insert(&demand.run, run);
        self.record_sent_request(&granted, entry, now);
        Some(granted)
    }

    fn best_engine(
        &self,
        new: &ReportedRun,
        entry: &str,
        excluded: &[String],
        now: Duration,
    ) -> Option<String> {
        let candidates = self.candidates(new, entry, excluded, now);
        let preference = self.pace_preference(&new.demand, &candidates);
        let ranked = candidates.iter().map(|candidate| {
            let rank = self.rank(candidate, &new.demand, preference, now);
            (rank, candidate.listed)
        });
        let (_, chosen) = ranked.min_by(|left, right| left.0.compare(&right.0))?;
        Some(chosen.id.clone())
    }

    /// Returns the engines that have room for a new generation.
    fn candidates(
        &self,
        new: &ReportedRun,
        entry: &str,
        excluded: &[String],
        now: Duration,
    ) -> Vec<Candidate<'_>> {
        let fill_max = if new.demand.ends_within_horizon() {
            MOVED_RUN_FILL_MAX
        } else {
            NEW_RUN_FILL_MAX
        };
        let usable = self.engines.iter().filter(|(id, engine)| {
            engine.is_available(now) && !excluded.contains(id) && engine.is_open()
        });
        let fits = usable.filter_map(|(_, engine)| {
            let listed = engine.listed.as_ref()?;
            if !listed.meets(&new.demand.requirements) {
                return None;
            }
            let fill = engine.fill_with_run(listed, new, fill_max)?;
            if !self.can_accept_request(listed, entry, now) {
                return None;
            }
            Some(Candidate {
                listed,
                engine,
                fill: engine.comparison_score(fill),
                is_cooling_down: self.cooling_down_engines.contains(&listed.id),
            })
        });
        fits.collect()
    }

    /// Returns how pace counts in a placement on one of the candidates.
    fn pace_preference(&self, demand: &RunDemand, candidates: &[Candidate<'_>]) -> PacePreference {
        if let Some(stream) = self.pace.long_stream(demand) {
            let factor = self.pace.tail_factor(stream);
            return factor.map_or(PacePreference::None, |factor| {
                PacePreference::KeepsLimit(stream, factor)
            });
        }
        let has_verdict = |verdict: bool| {
            let mut engines = candidates.iter().map(|candidate| candidate.engine);
            engines.any(|engine| engine.pace.keeps_pace == Some(verdict))
        };
        if self.pace.is_short(demand) && has_verdict(true) && has_verdict(false) {
            PacePreference::SparesLongStreams
        } else {
            PacePreference::None
        }
    }

    fn rank(
        &self,
        candidate: &Candidate<'_>,
        demand: &RunDemand,
        preference: PacePreference,
        now: Duration,
    ) -> Rank {
        let rank = candidate.rank();
        let id = &candidate.listed.id;
        match preference {
            PacePreference::None => rank,
            PacePreference::KeepsLimit(stream, factor) => Rank {
                predicted_late: !self.pace.keeps_limit(id, stream, factor, now),
                ..rank
            },
            PacePreference::SparesLongStreams => {
                // The time to the first event: all prompts ahead and the own one, at this pace.
                let own_prompt = candidate.share_of_memory(f64::from(demand.prompt_tokens));
                let prefill = candidate.backlog_score() + PREFILL_BACKLOG_WEIGHT * own_prompt;
                let is_spared = candidate.engine.pace.keeps_pace == Some(true);
                let penalty = if is_spared { SHORT_STREAM_PENALTY } else { 0.0 };
                let prompt_tokens = demand.prompt_tokens;
                let unread_tokens = candidate.engine.tokens_before_first_event(prompt_tokens);
                let is_in_time = self
                    .pace
                    .serves_short_in_time(id, demand, unread_tokens, now);
                Rank {
                    predicted_late: !is_in_time,
                    score: candidate.fill + prefill * self.pace.relative_pause(id, now) + penalty,
                    ..rank
                }
            }
        }
    }
}
