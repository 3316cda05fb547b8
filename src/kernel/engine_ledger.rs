//! Ledger kept by the owner of a service's engines: which generations run on which engine, and how
//! much memory they are predicted to need.
//!
//! Entry instances, which serve the callers, report all their generations several times a second,
//! so a new owner has the complete state after one round of reports. Memory usage is cached per
//! engine and recomputed when one of its generations changes: with 1,500 generations, recomputing
//! it for every placement and every query took the owner a quarter of a core.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::cold_start::ColdRateLimiter;
use super::membership::rendezvous_share;
use super::permits::{LimitShare, PermitDecision, PermitIssuer};

pub use super::engine_run::{
    ColdLimit, EngineRequirements, ListedEngine, MoveOrder, MoveResult, ReportedRun, RunDemand,
};

/// Share of an engine's memory that new generations may fill, including the tokens generated within
/// the prediction horizon. On engines that hold about six generations, reserving a tenth of the
/// memory costs most of one placement.
const NEW_RUN_FILL_MAX: f64 = 0.97;
/// Share of an engine's memory that may be filled by a moved generation, or by one that is expected
/// to end within the prediction horizon and so frees its memory before others need it.
pub(super) const MOVED_RUN_FILL_MAX: f64 = 1.0;
/// A grant that no report has confirmed is dropped after this time.
const UNCONFIRMED_GRANT_TTL: Duration = Duration::from_millis(1_500);
/// An entry instance that has not reported for this long is considered gone, along with its
/// connections.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Weight of an engine's prompt tokens that are not prefilled yet, as a share of its memory, when
/// engines are compared. It spreads new generations over the engines.
const PREFILL_BACKLOG_WEIGHT: f64 = 1.5;
/// A failed move is retried after this delay, which doubles with each further failure of the
/// generation.
pub(super) const MOVE_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Number of times that the delay doubles at most.
const MOVE_RETRY_DOUBLINGS_MAX: u32 = 4;
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

/// A generation as recorded in the ledger.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Run {
    pub(super) reported: ReportedRun,
    /// Instance that serves it.
    pub(super) entry: String,
    /// Time of the grant or of the last report.
    #[serde(rename = "at")]
    updated_at: Duration,
    /// Whether a report has confirmed it.
    pub(super) confirmed: bool,
    /// Target engine of the move in progress.
    pub(super) moving_to: Option<String>,
    /// No further move before this time.
    pub(super) next_move_at: Duration,
    /// Moves that its engine has failed one after the other.
    failed_moves: u32,
}

impl Run {
    /// Sets when it may be moved next after a move with this result.
    fn schedule_next_move(&mut self, result: MoveResult, now: Duration) {
        // A target without room says nothing about the engine, and the next target may have some.
        self.failed_moves = if result == MoveResult::Failed {
            self.failed_moves.saturating_add(1)
        } else {
            0
        };
        let doublings = self.failed_moves.saturating_sub(1);
        let factor = 1 << doublings.min(MOVE_RETRY_DOUBLINGS_MAX);
        self.next_move_at = now + MOVE_RETRY_DELAY * factor;
    }
}

/// An engine and the generations on it.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// The engine as listed; `None` if it is no longer listed but generations are still reported to
    /// run on it.
    pub(super) listed: Option<ListedEngine>,
    unavailable_until: Duration,
    /// Added to its fill when engines are compared; at most [`TIE_BREAKER_MAX`].
    tie_breaker: f64,
    /// Generations that run on it.
    pub(super) runs: BTreeSet<String>,
    /// Generations that are being moved to it.
    pub(super) incoming: BTreeSet<String>,
    /// Usage by `runs` and `incoming` together.
    pub(super) usage: EngineUsage,
}

/// Memory and slots used on an engine.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct EngineUsage {
    /// Tokens, including those predicted to be generated within the horizon.
    pub(super) tokens: f64,
    /// Prompt tokens that have not been prefilled yet.
    #[serde(rename = "unread_tokens")]
    prefill_backlog_tokens: f64,
    /// Slots taken by generations, including incoming ones.
    #[serde(rename = "places")]
    pub(super) used_slots: u32,
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
    /// All generations. Each is in the `runs` of its engine and of its entry instance, and in the
    /// `incoming` of the target engine during a move.
    pub(super) runs: HashMap<String, Run>,
    /// Entry instances by name.
    entries: BTreeMap<String, EntryInstance>,
    /// Generations that no report has confirmed.
    unconfirmed: BTreeSet<String>,
    /// Generations that are being moved.
    pub(super) moving: BTreeSet<String>,
    /// Requests recently sent to cold engines.
    pub(super) cold_rate_limiter: ColdRateLimiter,
    /// Permits granted for engines that announce a rate limit.
    permits: PermitIssuer,
    /// Engines in cooldown for any entry instance: the union of all `cooling_down` sets.
    cooling_down_engines: BTreeSet<String>,
}

impl Engine {
    pub(super) fn is_leaving(&self) -> bool {
        self.listed.as_ref().is_none_or(|listed| listed.leaving)
    }

    /// Returns whether the engine accepts new generations, including moved ones.
    pub(super) fn is_open(&self) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| !listed.leaving && !listed.closed)
    }

    /// Returns whether the pause after a refusal or a failed connection is over.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        now >= self.unavailable_until
    }

    /// Grants nothing on the engine before `until`, or before a later time that is set already.
    fn avoid_until(&mut self, until: Duration) {
        self.unavailable_until = self.unavailable_until.max(until);
    }

    /// Returns the score by which engines are compared: the given fill plus the tie-breaker.
    pub(super) fn comparison_score(&self, fill: f64) -> f64 {
        fill + self.tie_breaker
    }

    fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.incoming.is_empty()
    }

    /// Returns the fill of this engine with one more generation, or `None` if it has no free slot
    /// or the fill would exceed `fill_max`.
    pub(super) fn fill_with_run(
        &self,
        listed: &ListedEngine,
        run: &ReportedRun,
        fill_max: f64,
    ) -> Option<f64> {
        let fill = (self.usage.tokens + run.predicted_tokens()) / f64::from(listed.memory_tokens);
        (self.usage.used_slots < listed.slots && fill <= fill_max).then_some(fill)
    }
}

impl EngineUsage {
    fn add(&mut self, run: &ReportedRun, runs_here: bool) {
        self.tokens += run.predicted_tokens();
        self.used_slots += 1;
        if runs_here && run.generated_tokens == 0 {
            self.prefill_backlog_tokens += f64::from(run.demand.prompt_tokens);
        }
    }
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
        let mut usage = EngineUsage::default();
        for (names, runs_here) in [(&engine.runs, true), (&engine.incoming, false)] {
            for run in names.iter().filter_map(|name| self.runs.get(name)) {
                usage.add(&run.reported, runs_here);
            }
        }
        engine.usage = usage;
        if engine.listed.is_none() && engine.is_empty() {
            self.engines.remove(id);
        }
    }

    fn insert(&mut self, name: &str, run: Run) {
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
        if !run.confirmed {
            self.unconfirmed.insert(name.to_owned());
        }
        self.runs.insert(name.to_owned(), run);
        self.recompute_usage(&endpoint);
        if let Some(target) = &target {
            self.recompute_usage(target);
        }
    }

    fn remove(&mut self, name: &str) -> Option<Run> {
        let run = self.runs.remove(name)?;
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

    /// Chooses an engine for a new generation and records the grant. Returns the engine's id.
    pub fn place(
        &mut self,
        demand: &RunDemand,
        entry: &str,
        excluded: &[String],
        now: Duration,
    ) -> Option<String> {
        let new = ReportedRun {
            demand: demand.clone(),
            endpoint: String::new(),
            generated_tokens: 0,
        };
        let fill_max = if demand.ends_within_horizon() {
            MOVED_RUN_FILL_MAX
        } else {
            NEW_RUN_FILL_MAX
        };
        let usable = self.engines.iter().filter(|(id, engine)| {
            engine.is_available(now) && !excluded.contains(id) && engine.is_open()
        });
        let fits = usable.filter_map(|(_, engine)| {
            let listed = engine.listed.as_ref()?;
            if !listed.meets(&demand.requirements) {
                return None;
            }
            let fill = engine.fill_with_run(listed, &new, fill_max)?;
            if !self.can_accept_request(listed, entry, now) {
                return None;
            }
            let prefill_backlog =
                engine.usage.prefill_backlog_tokens / f64::from(listed.memory_tokens);
            let score = engine.comparison_score(fill) + PREFILL_BACKLOG_WEIGHT * prefill_backlog;
            // An engine in cooldown for another entry instance is likely to refuse this one too, so
            // it is the last choice.
            Some((
                self.cooling_down_engines.contains(&listed.id),
                score,
                listed,
            ))
        });
        let (_, _, chosen) = fits.min_by(|left, right| {
            let by_cooldown = left.0.cmp(&right.0);
            by_cooldown.then(left.1.total_cmp(&right.1))
        })?;
        let granted = chosen.id.clone();
        let run = Run {
            reported: ReportedRun {
                endpoint: granted.clone(),
                ..new
            },
            entry: entry.to_owned(),
            updated_at: now,
            confirmed: false,
            moving_to: None,
            next_move_at: Duration::ZERO,
            failed_moves: 0,
        };
        self.insert(&demand.run, run);
        self.record_sent_request(&granted, entry, now);
        Some(granted)
    }

    /// Replaces all generations of an entry instance by those of its new report.
    pub fn apply_report(&mut self, entry: &str, reported: Vec<ReportedRun>, now: Duration) {
        let instance = self.entries.entry(entry.to_owned()).or_default();
        instance.reported_at = Some(now);
        let before = instance.runs.clone();
        let names: BTreeSet<&str> = reported.iter().map(|run| run.demand.run.as_str()).collect();
        let missing = before.iter().filter(|name| !names.contains(name.as_str()));
        let ended: Vec<&String> = missing
            .filter(|name| !self.is_recent_grant(name, now))
            .collect();
        for name in ended {
            self.remove(name);
        }
        for reported in reported {
            self.apply_reported_run(entry, reported, now);
        }
    }

    /// Replaces the set of engines in cooldown that an entry instance reported.
    pub fn set_cooling_down(&mut self, entry: &str, cooling_down: BTreeSet<String>) {
        if let Some(entry) = self.entries.get_mut(entry)
            && entry.cooling_down != cooling_down
        {
            entry.cooling_down = cooling_down;
            self.rebuild_cooling_down();
        }
    }

    fn rebuild_cooling_down(&mut self) {
        let entries = self.entries.values();
        let cooling_down = entries.flat_map(|entry| entry.cooling_down.iter().cloned());
        self.cooling_down_engines = cooling_down.collect();
    }

    /// Returns whether an engine is in cooldown for an entry instance.
    pub(super) fn is_cooling_down_for(&self, entry: &str, engine: &str) -> bool {
        let entry = self.entries.get(entry);
        entry.is_some_and(|entry| entry.cooling_down.contains(engine))
    }

    /// Returns whether a generation was granted so recently that reports need not include it yet.
    fn is_recent_grant(&self, name: &str, now: Duration) -> bool {
        let run = self.runs.get(name);
        run.is_some_and(|run| {
            !run.confirmed && now.saturating_sub(run.updated_at) < UNCONFIRMED_GRANT_TTL
        })
    }

    fn apply_reported_run(&mut self, entry: &str, reported: ReportedRun, now: Duration) {
        let name = reported.demand.run.clone();
        let before = self.runs.get(&name);
        // During a move, the report may still name the source engine.
        let moving_to = before.and_then(|run| run.moving_to.clone());
        let moving_to = moving_to.filter(|target| *target != reported.endpoint);
        let run = Run {
            reported,
            entry: entry.to_owned(),
            updated_at: now,
            confirmed: true,
            moving_to,
            next_move_at: before.map_or(Duration::ZERO, |run| run.next_move_at),
            failed_moves: before.map_or(0, |run| run.failed_moves),
        };
        self.insert(&name, run);
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

    /// Drops the generations of entry instances that stopped reporting, and grants that were never
    /// confirmed.
    pub fn expire(&mut self, now: Duration) {
        let old_grants = self.unconfirmed.iter();
        let old_grants: Vec<String> = old_grants
            .filter(|name| !self.is_recent_grant(name, now))
            .cloned()
            .collect();
        let mut stale: Vec<String> = Vec::new();
        for entry in self.entries.values() {
            let at = entry.reported_at;
            if at.is_none_or(|at| now.saturating_sub(at) >= ENTRY_TIMEOUT) {
                let runs = entry.runs.iter();
                stale.extend(
                    runs.filter(|name| !self.is_recent_grant(name, now))
                        .cloned(),
                );
            }
        }
        for name in old_grants.iter().chain(&stale) {
            self.remove(name);
        }
        self.cold_rate_limiter.prune(now);
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let at = entry.reported_at;
            let is_reporting = at.is_some_and(|at| now.saturating_sub(at) < ENTRY_TIMEOUT);
            is_reporting || !entry.runs.is_empty()
        });
        if self.entries.len() < before && !self.cooling_down_engines.is_empty() {
            self.rebuild_cooling_down();
        }
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
            }
            run.moving_to = None;
            run.schedule_next_move(result, now);
        });
    }

    /// Returns a summary of each listed engine for the debug dump.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<String, EngineSummary> {
        let engines = self.engines.iter().filter_map(|(id, engine)| {
            let listed = engine.listed.as_ref()?;
            let summary = EngineSummary {
                used_slots: engine.usage.used_slots,
                predicted_tokens: engine.usage.tokens,
                memory_tokens: listed.memory_tokens,
                leaving: listed.leaving,
                closed: listed.closed,
            };
            Some((id.clone(), summary))
        });
        engines.collect()
    }

    /// Returns the engines that run generations.
    #[must_use]
    pub fn running_engines(&self) -> BTreeSet<String> {
        let engines = self.engines.iter();
        let running = engines.filter(|(_, engine)| !engine.runs.is_empty());
        running.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of known generations.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }
}

/// An engine in the debug dump.
#[derive(Debug, Clone, Serialize)]
pub struct EngineSummary {
    /// Slots taken by generations, including incoming ones.
    #[serde(rename = "places")]
    pub used_slots: u32,
    /// Memory predicted to be used within the horizon.
    pub predicted_tokens: f64,
    /// Total memory.
    pub memory_tokens: u32,
    /// Whether its generations have to be moved off.
    pub leaving: bool,
    /// Whether it accepts no new generations, although running ones may stay.
    pub closed: bool,
}
