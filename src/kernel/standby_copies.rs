//! Copies of running generations at a second engine, from which they go on if their engine crashes.
//!
//! It answers engines that crash without notice under long generations that may not run again. A
//! copy takes memory that nobody may ever need and that no request gives back, so it is begun only
//! where most of the memory is free.

use std::time::Duration;

use super::engine_ledger::{Engine, EngineLedger};
use super::engine_run::{ListedEngine, RunDemand};

/// Share of a service's memory that may be filled, copies included, when a copy is begun. Callers may
/// then double before one of them lacks room.
const SERVICE_FILL_MAX: f64 = 0.5;
/// Largest share of the keeper's memory that is filled once the new copy has grown to its end, other
/// copies included. The rest is for generations that run there, and for moved ones.
const KEEPER_FILL_MAX: f64 = 0.6;
/// Engines whose fills differ by less than this share of their memory have as much to spare.
const FILL_STEP: f64 = 0.05;

/// Order of preference among the engines that can keep a copy; the lowest is chosen.
#[derive(Debug, Clone, Copy)]
struct KeeperRank {
    /// Whether a pause beyond the generation's limit is predicted there.
    breaks_limit: bool,
    /// Fill with the whole copy, in whole steps.
    fill_steps: f64,
    /// Whether it is in the hall of the generation's engine, and may be lost with it.
    is_same_hall: bool,
    /// Fill with the whole copy, with the tie-breaker.
    score: f64,
}

impl KeeperRank {
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_limit = self.breaks_limit.cmp(&other.breaks_limit);
        by_limit
            .then(self.fill_steps.total_cmp(&other.fill_steps))
            .then(self.is_same_hall.cmp(&other.is_same_hall))
            .then(self.score.total_cmp(&other.score))
    }
}

impl EngineLedger {
    /// Chooses the engine that keeps a copy of a generation which was granted an engine just now, and
    /// records it. Returns the engine's id, or `None` if it needs no copy or no engine can keep one.
    pub fn place_copy(&mut self, run: &str, now: Duration) -> Option<String> {
        let keeper = self.best_keeper(run, now)?;
        self.update_run(run, |run| run.reported.copy_at = Some(keeper.clone()));
        Some(keeper)
    }

    fn best_keeper(&self, run: &str, now: Duration) -> Option<String> {
        let run = self.runs.get(run)?;
        let demand = &run.reported.demand;
        let source = self.engines.get(&run.reported.endpoint)?;
        let source = source.listed.as_ref()?;
        let can_be_copied = source.supports_copies && !source.leaving;
        if !demand.wants_copy || demand.ends_within_horizon() || !can_be_copied {
            return None;
        }
        if self.fill_of_open_engines(demand.predicted_tokens_at_end()) > SERVICE_FILL_MAX {
            return None;
        }
        let engines = self.engines.values();
        let ranked = engines.filter_map(|engine| {
            let listed = engine.listed.as_ref()?;
            let rank = self.keeper_rank(engine, listed, source, demand, now)?;
            Some((rank, listed))
        });
        let (_, keeper) = ranked.min_by(|left, right| left.0.compare(&right.0))?;
        Some(keeper.id.clone())
    }

    /// Returns the share of the open engines' memory that is filled, with `more_tokens` added.
    fn fill_of_open_engines(&self, more_tokens: f64) -> f64 {
        let mut used_tokens = more_tokens;
        let mut memory_tokens = 0.0;
        for engine in self.engines.values().filter(|engine| engine.is_open()) {
            let listed = engine.listed.as_ref();
            memory_tokens += listed.map_or(0.0, |listed| f64::from(listed.memory_tokens));
            used_tokens += engine.usage.tokens;
        }
        used_tokens / memory_tokens.max(1.0)
    }

    /// Returns the rank of an engine that can keep a copy; `None` if it cannot.
    fn keeper_rank(
        &self,
        engine: &Engine,
        listed: &ListedEngine,
        source: &ListedEngine,
        demand: &RunDemand,
        now: Duration,
    ) -> Option<KeeperRank> {
        let is_usable = listed.id != source.id
            && listed.supports_copies
            && engine.is_open()
            && engine.is_available(now)
            && listed.meets(&demand.requirements)
            && !self.cooling_down_engines.contains(&listed.id);
        if !is_usable {
            return None;
        }
        let used_tokens = engine.usage.tokens + demand.predicted_tokens_at_end();
        let fill = used_tokens / f64::from(listed.memory_tokens);
        (fill <= KEEPER_FILL_MAX).then(|| KeeperRank {
            breaks_limit: !self.keeps_pace(&listed.id, demand),
            fill_steps: (fill / FILL_STEP).floor(),
            is_same_hall: listed.hall == source.hall,
            score: engine.comparison_score(fill),
        })
    }
}
