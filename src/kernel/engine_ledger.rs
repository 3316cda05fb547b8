//! Ledger kept by the owner of a service's engines: which generations run on which engine, and how
//! much memory they are predicted to need.
//!
//! Entry instances, which serve the callers, report all their generations several times a second,
//! so a new owner has the complete state after one round of reports. Memory usage is cached per
//! engine and recomputed when one of its generations changes: with 1,500 generations, recomputing
//! it for every placement and every query took the owner a quarter of a core.

mod engine;
mod pace;
mod reports;
mod summary;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::class_traffic::class_of;
use super::cold_start::ColdRateLimiter;
use super::membership::rendezvous_share;
use super::move_schedule::MoveRecords;
use super::permits::{LimitShare, PermitDecision, PermitIssuer};

pub use super::engine_run::{
    ColdLimit, EngineRequirements, ListedEngine, MoveOrder, MoveResult, ReportedRun, RunDemand,
};
pub(super) use engine::{Engine, Grant, Run};
pub(super) use pace::LongStream;
pub use pace::{PaceChange, PacePolicy};
pub use summary::EngineSummary;

use engine::EngineUsage;
use pace::LedgerPace;

/// Share of an engine's memory that may be filled by a moved generation, or by one that is expected
/// to end within the prediction horizon and so frees its memory before others need it.
pub(super) const MOVED_RUN_FILL_MAX: f64 = 1.0;
/// An engine that refused a generation gets no new ones for this time.
const REFUSED_BACKOFF: Duration = Duration::from_millis(400);
/// An engine whose address refuses connections gets no new generations for this time. The endpoint
/// list reports whether it ended or came back.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(4);
/// Upper bound of the tie-breaker that is added to an engine's fill; less than a token. Instances
/// that place on their own know only their own generations: without a different order for each
/// instance among engines that look empty, a hundred of them would all start with the same engine.
const TIE_BREAKER_MAX: f64 = 1e-5;

/// Returns this instance's tie-breaker for an engine, used among equally filled engines.
fn tie_breaker(own_name: &str, engine: &str) -> f64 {
    rendezvous_share(own_name, engine) * TIE_BREAKER_MAX
}

/// An instance that reports generations.
#[derive(Debug, Default)]
struct EntryInstance {
    /// Time of its last report; `None` if it has only been granted placements so far.
    reported_at: Option<Duration>,
    /// Its generations.
    runs: BTreeSet<String>,
    /// Engines in cooldown for this instance according to its last report. None of its generations
    /// is moved to them.
    cooling_down: BTreeSet<String>,
}

/// Ledger of one service's engines.
#[derive(Debug, Default)]
pub struct EngineLedger {
    /// Name of the instance that keeps the ledger.
    own_name: String,
    pub(super) engines: BTreeMap<String, Engine>,
    /// All generations. Each is in the `runs` of its engine and of its entry instance, in the
    /// `incoming` of the target engine during a move, and in the `copies` of the engine that keeps
    /// a copy of it.
    pub(super) runs: HashMap<String, Run>,
    /// Number of `runs` by priority class.
    run_counts: BTreeMap<usize, u32>,
    /// Entry instances by name.
    entries: BTreeMap<String, EntryInstance>,
    /// Generations that no report has confirmed.
    unconfirmed: BTreeSet<String>,
    /// Generations that are being moved.
    pub(super) moving: BTreeSet<String>,
    /// Past moves, if they are scheduled by the ends of the engines.
    pub(super) move_records: MoveRecords,
    /// Requests recently sent to cold engines.
    pub(super) cold_rate_limiter: ColdRateLimiter,
    /// Permits granted for engines that announce a rate limit.
    permits: PermitIssuer,
    /// Engines in cooldown for any entry instance: the union of all `cooling_down` sets.
    pub(super) cooling_down_engines: BTreeSet<String>,
    /// What is known of the pace of all engines.
    pub(super) pace: LedgerPace,
}

impl EngineLedger {
    /// Creates the ledger of an instance.
    #[must_use]
    pub fn for_instance(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            ..Self::default()
        }
    }

    /// Replaces the set of listed engines.
    pub fn set_engines(&mut self, listed_engines: Vec<ListedEngine>) {
        for engine in self.engines.values_mut() {
            engine.listed = None;
        }
        for listed in listed_engines {
            let id = listed.id.clone();
            self.engine_mut(&id).listed = Some(listed);
        }
        self.engines
            .retain(|_, engine| engine.listed.is_some() || !engine.is_empty());
    }

    /// Returns an engine, which is added if it is not known yet.
    fn engine_mut(&mut self, id: &str) -> &mut Engine {
        if !self.engines.contains_key(id) {
            let engine = Engine {
                tie_breaker: tie_breaker(&self.own_name, id),
                ..Engine::default()
            };
            self.engines.insert(id.to_owned(), engine);
        }
        self.engines.entry(id.to_owned()).or_default()
    }

    /// Returns whether any generation runs on an engine that is leaving.
    #[must_use]
    pub fn has_runs_on_leaving_engines(&self) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| engine.is_leaving() && !engine.runs.is_empty())
    }

    /// Recomputes the usage of an engine.
    fn recompute_usage(&mut self, id: &str) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let decode_tokens_per_s = engine.decode_tokens_per_s();
        let mut usage = EngineUsage::default();
        for (names, runs_here) in [(&engine.runs, true), (&engine.incoming, false)] {
            for run in names.iter().filter_map(|name| self.runs.get(name)) {
                usage.add(&run.reported, runs_here, decode_tokens_per_s);
            }
        }
        for run in engine.copies.iter().filter_map(|name| self.runs.get(name)) {
            usage.add_copy(&run.reported);
        }
        engine.usage = usage;
        if engine.listed.is_none() && engine.is_empty() {
            self.engines.remove(id);
        }
    }

    pub(super) fn insert(&mut self, name: &str, run: Run) {
        self.remove(name);
        let entry = self.entries.entry(run.entry.clone()).or_default();
        entry.runs.insert(name.to_owned());
        let endpoint = run.reported.endpoint.clone();
        self.engine_mut(&endpoint).runs.insert(name.to_owned());
        let target = run.moving_to.clone();
        if let Some(target) = &target {
            self.engine_mut(target).incoming.insert(name.to_owned());
            self.moving.insert(name.to_owned());
        }
        let copy_at = run.reported.copy_at.clone();
        if let Some(keeper) = copy_at.as_ref().and_then(|id| self.engines.get_mut(id)) {
            keeper.copies.insert(name.to_owned());
        }
        if !run.confirmed {
            self.unconfirmed.insert(name.to_owned());
        }
        let class = class_of(run.reported.demand.priority);
        *self.run_counts.entry(class).or_default() += 1;
        self.runs.insert(name.to_owned(), run);
        self.recompute_usage(&endpoint);
        for other in target.iter().chain(&copy_at) {
            self.recompute_usage(other);
        }
    }

    fn remove(&mut self, name: &str) -> Option<Run> {
        let run = self.runs.remove(name)?;
        let class = class_of(run.reported.demand.priority);
        if let Some(count) = self.run_counts.get_mut(&class) {
            *count = count.saturating_sub(1);
        }
        if let Some(entry) = self.entries.get_mut(&run.entry) {
            entry.runs.remove(name);
        }
        self.unconfirmed.remove(name);
        self.moving.remove(name);
        if let Some(engine) = self.engines.get_mut(&run.reported.endpoint) {
            engine.runs.remove(name);
        }
        if let Some(target) = &run.moving_to {
            if let Some(engine) = self.engines.get_mut(target) {
                engine.incoming.remove(name);
            }
            self.recompute_usage(target);
        }
        if let Some(keeper) = &run.reported.copy_at {
            if let Some(engine) = self.engines.get_mut(keeper) {
                engine.copies.remove(name);
            }
            self.recompute_usage(keeper);
        }
        self.recompute_usage(&run.reported.endpoint);
        Some(run)
    }

    /// Updates a generation and recomputes the usage of the engines involved.
    pub(super) fn update_run(&mut self, name: &str, update: impl FnOnce(&mut Run)) {
        if let Some(mut run) = self.remove(name) {
            update(&mut run);
            self.insert(name, run);
        }
    }

    /// Returns whether an entry instance may send one more request to an engine now. A cold engine
    /// fails well above its sustainable rate, and an engine with a rate limit accepts only few
    /// requests from all instances together.
    pub(super) fn can_accept_request(
        &self,
        engine: &ListedEngine,
        entry: &str,
        now: Duration,
    ) -> bool {
        let cold = engine.cold.filter(|cold| now < cold.until);
        let is_within_cold_limit = cold.is_none_or(|cold| {
            self.cold_rate_limiter
                .can_send(&engine.id, cold.share_per_s, now)
        });
        let has_permit = engine.limit.is_none_or(|limit| {
            let next_at = self.permits.available_at(&engine.id, entry, limit, now);
            next_at <= now
        });
        is_within_cold_limit && has_permit
    }

    /// Records a request that is sent to an engine, if the engine is cold or has a rate limit.
    /// Returns whether it was counted against the engine's rate limit.
    pub(super) fn record_sent_request(&mut self, engine: &str, entry: &str, now: Duration) -> bool {
        let listed = self.engines.get(engine);
        let listed = listed.and_then(|engine| engine.listed.as_ref());
        let Some(listed) = listed else { return false };
        if listed.cold.is_some_and(|cold| now < cold.until) {
            self.cold_rate_limiter.record_sent(engine, now);
        }
        let limit = listed.limit;
        limit.is_some_and(|limit| {
            self.request_permit(engine, entry, limit, now) == PermitDecision::Granted
        })
    }

    /// Requests a permit for an entry instance to send a request to a rate-limited engine, outside
    /// of placements.
    pub fn request_permit(
        &mut self,
        engine: &str,
        entry: &str,
        limit: LimitShare,
        now: Duration,
    ) -> PermitDecision {
        self.permits.request(engine, entry, limit, now)
    }

    /// Returns whether placements on an engine are counted against a rate limit that it announced.
    #[must_use]
    pub fn is_limited(&self, engine: &str) -> bool {
        let engine = self.engines.get(engine);
        let listed = engine.and_then(|engine| engine.listed.as_ref());
        listed.is_some_and(|listed| listed.limit.is_some())
    }

    /// Starts permit accounting for engines that announce a rate limit, and drops it for all
    /// others.
    pub fn sync_permits(&mut self, now: Duration) {
        let engines = self.engines.values();
        let limited = engines.filter_map(|engine| engine.listed.as_ref());
        let limited = limited.filter(|listed| listed.limit.is_some());
        let limited: BTreeSet<&str> = limited.map(|listed| listed.id.as_str()).collect();
        self.permits.prune(|engine| limited.contains(engine));
        for engine in limited {
            self.permits.start_accrual(engine, now);
        }
    }

    /// Records that an engine refused a generation.
    pub fn record_refusal(&mut self, endpoint: &str, now: Duration) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.avoid_until(now + REFUSED_BACKOFF);
        }
    }

    /// Records that an engine's address refuses connections.
    pub fn record_unreachable(&mut self, endpoint: &str, now: Duration) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.avoid_until(now + UNREACHABLE_BACKOFF);
        }
    }

    /// Withdraws a record of [`Self::record_unreachable`] that was made at `recorded_at`, unless a
    /// later one holds the engine back.
    pub fn withdraw_unreachable(&mut self, endpoint: &str, recorded_at: Duration) {
        if let Some(engine) = self.engines.get_mut(endpoint)
            && engine.unavailable_until == recorded_at + UNREACHABLE_BACKOFF
        {
            engine.unavailable_until = recorded_at;
        }
    }

    /// Releases the grant of a generation that will not use it.
    pub fn release(&mut self, run: &str) {
        self.remove(run);
    }

    /// Records the result of a move.
    pub fn record_move_result(&mut self, order: &MoveOrder, result: MoveResult, now: Duration) {
        if result == MoveResult::RunGone {
            self.remove(&order.run);
            return;
        }
        self.update_run(&order.run, |run| {
            if result == MoveResult::Copied {
                run.reported.endpoint.clone_from(&order.target);
                run.reported.copy_at = None;
            }
            run.moving_to = None;
            run.schedule_next_move(result, now);
        });
    }

    /// Returns the engines that run generations.
    #[must_use]
    pub fn running_engines(&self) -> BTreeSet<String> {
        let engines = self.engines.iter();
        let running = engines.filter(|(_, engine)| !engine.runs.is_empty());
        running.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of known generations of a priority class.
    pub(super) fn run_count_of_class(&self, class: usize) -> u32 {
        self.run_counts.get(&class).copied().unwrap_or_default()
    }

    /// Returns the number of known generations.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }
}
