//! What the owner of a service's engines knows: which generations run where, and what memory they will need.
//!
//! Entries tell the owner all their generations a few times a second, so that a new owner knows everything after one round. What an engine
//! holds is kept with the engine and counted anew when one of its generations changes: with 1,500 generations, counting all of them for each
//! place and each look took the owner a quarter of a core.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::cold::ColdGate;
use super::membership::rendezvous_share;
use super::permits::{LimitShare, PermitDecision, PermitIssuer};

pub use super::engine_run::{
    ColdEngine, EngineEntry, MoveOrder, MoveResult, ReportedRun, RunDemand,
};

/// Share of an engine's memory that new generations may fill, with what is made within the horizon. Where engines hold half a dozen, the last tenth
/// kept free is most of a place: filled to 0.97 in place of 0.90, with 1.2 s counted ahead in place of 2.5, days on which a sixth of 60 engines is
/// missing are worth 0.015 more (+-0.006, seven paired runs), and on smaller engines' load as replayed in the tests 1,078 of 1,080 long
/// generations get a place in time in place of 1,018.
const NEW_RUN_FILL_MAX: f64 = 0.97;
/// Share that a moved generation may fill, and one that ends within the horizon: it gives its room back before it can be in the way. With 0.07 more than
/// new ones may fill, the latter was worth 0.029 (+-0.008) on a day of bursts, six paired seeds; with 1.06 in place of 1.0 they gain nothing more
/// (-0.006 +-0.005, seven paired runs).
pub(super) const MOVED_RUN_FILL_MAX: f64 = 1.0;
/// A grant that no report has confirmed is dropped after this time.
const GRANT_KEPT: Duration = Duration::from_millis(1_500);
/// An entry that has not reported for this long is gone, and with it its connections.
const ENTRY_KEPT: Duration = Duration::from_millis(2_500);
/// Prompt tokens that wait to be read on an engine count this much of its memory again when engines are compared, so that new
/// generations spread.
const UNREAD_WEIGHT: f64 = 1.5;
/// A generation whose move failed is tried again after this time.
pub(super) const MOVE_PAUSE: Duration = Duration::from_millis(120);
/// An engine that refused a generation takes no new ones for this time.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);
/// An engine at whose address nobody listens takes none for this time; the list tells of its end or of its return.
const DEAD_PAUSE: Duration = Duration::from_secs(4);
/// Engines that differ by less than this in fill are alike; less than a token. Instances that place alone know only their own generations:
/// without an order of its own among engines that look empty, each of a hundred would begin with the same one.
const TIE_SPREAD: f64 = 1e-5;

/// The place of an engine among those that are alike, as one instance sees it.
fn tie(own_name: &str, engine: &str) -> f64 {
    rendezvous_share(own_name, engine) * TIE_SPREAD
}

/// A generation as the ledger has it.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Run {
    pub(super) reported: ReportedRun,
    /// The instance that serves it.
    pub(super) entry: String,
    /// When it was granted or last reported.
    at: Duration,
    /// Whether a report has confirmed it.
    pub(super) confirmed: bool,
    /// Where it is being moved.
    pub(super) moving_to: Option<String>,
    /// No further move before this time.
    pub(super) next_move_at: Duration,
}

/// An engine, and what is on it.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// As the list has it; nothing where it is listed no more and generations are still said to run there.
    pub(super) entry: Option<EngineEntry>,
    refused_until: Duration,
    /// Added to its fill when engines are compared; never above [`TIE_SPREAD`].
    tie: f64,
    /// Generations that run on it.
    pub(super) runs: BTreeSet<String>,
    /// Generations that are being moved to it.
    pub(super) incoming: BTreeSet<String>,
    /// What `runs` and `incoming` hold together.
    pub(super) held: Held,
}

/// What is held on an engine.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct Held {
    /// Tokens, with what will be made within the horizon.
    pub(super) tokens: f64,
    /// Prompt tokens not read yet.
    unread_tokens: f64,
    /// Generations and copies.
    pub(super) places: u32,
}

/// An instance that reports generations.
#[derive(Debug, Default)]
struct Entry {
    /// When it last reported; nothing where it was only granted places so far.
    reported_at: Option<Duration>,
    /// Its generations.
    runs: BTreeSet<String>,
    /// Engines that asked it for rest, as it reported last: nothing is moved there for it.
    resting: BTreeSet<String>,
}

/// The engines of one service.
#[derive(Debug, Default)]
pub struct EngineLedger {
    /// The instance whose ledger it is.
    own_name: String,
    pub(super) engines: BTreeMap<String, Engine>,
    /// All generations. Each is in the `runs` of its engine and of its entry, and in the `incoming` of the engine that it is moved to.
    pub(super) runs: HashMap<String, Run>,
    entries: BTreeMap<String, Entry>,
    /// Generations that no report has confirmed.
    unconfirmed: BTreeSet<String>,
    /// Generations that are being moved.
    pub(super) moving: BTreeSet<String>,
    /// What was sent to cold engines of late.
    pub(super) cold_gate: ColdGate,
    /// What was sent to engines that name a limit.
    permits: PermitIssuer,
    /// Engines that asked some entry for rest: all that the entries have in `resting`.
    asked_for_rest: BTreeSet<String>,
}

impl Engine {
    pub(super) fn is_leaving(&self) -> bool {
        self.entry.as_ref().is_none_or(|entry| entry.leaving)
    }

    /// Whether it takes new generations, those that move included.
    pub(super) fn is_open(&self) -> bool {
        let entry = self.entry.as_ref();
        entry.is_some_and(|entry| !entry.leaving && !entry.closed)
    }

    /// Whether it took what it was offered last, or may be offered something again.
    pub(super) fn is_sound(&self, now: Duration) -> bool {
        now >= self.refused_until
    }

    /// Its fill with one more generation, for a comparison with other engines.
    pub(super) fn compared(&self, fill: f64) -> f64 {
        fill + self.tie
    }

    fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.incoming.is_empty()
    }

    /// Share of its memory that is held with one more generation; nothing where it has no place for it below the given share.
    pub(super) fn fill_with(
        &self,
        entry: &EngineEntry,
        run: &ReportedRun,
        fill_max: f64,
    ) -> Option<f64> {
        let fill = (self.held.tokens + run.predicted()) / f64::from(entry.memory_tokens);
        (self.held.places < entry.slots && fill <= fill_max).then_some(fill)
    }
}

impl Held {
    fn add(&mut self, run: &ReportedRun, runs_here: bool) {
        self.tokens += run.predicted();
        self.places += 1;
        if runs_here && run.made_tokens == 0 {
            self.unread_tokens += f64::from(run.demand.prompt_tokens);
        }
    }
}

impl EngineLedger {
    /// The ledger of an instance.
    #[must_use]
    pub fn of_instance(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            ..Self::default()
        }
    }

    /// Takes the engines as they are listed now.
    pub fn set_engines(&mut self, entries: Vec<EngineEntry>) {
        let mut listed: BTreeSet<String> = BTreeSet::new();
        for entry in entries {
            listed.insert(entry.id.clone());
            let engine = self.engines.entry(entry.id.clone()).or_default();
            engine.tie = tie(&self.own_name, &entry.id);
            engine.entry = Some(entry);
        }
        self.engines.retain(|id, engine| {
            if !listed.contains(id) {
                engine.entry = None;
            }
            engine.entry.is_some() || !engine.is_empty()
        });
    }

    /// Whether generations run on an engine that leaves.
    #[must_use]
    pub fn has_leaving_runs(&self) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| engine.is_leaving() && !engine.runs.is_empty())
    }

    /// Counts anew what an engine holds.
    fn recount(&mut self, id: &str) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let mut held = Held::default();
        for (names, runs_here) in [(&engine.runs, true), (&engine.incoming, false)] {
            for run in names.iter().filter_map(|name| self.runs.get(name)) {
                held.add(&run.reported, runs_here);
            }
        }
        engine.held = held;
        if engine.entry.is_none() && engine.is_empty() {
            self.engines.remove(id);
        }
    }

    fn insert(&mut self, name: &str, run: Run) {
        self.remove(name);
        let entry = self.entries.entry(run.entry.clone()).or_default();
        entry.runs.insert(name.to_owned());
        let endpoint = run.reported.endpoint.clone();
        let engine = self.engines.entry(endpoint.clone()).or_default();
        engine.runs.insert(name.to_owned());
        let target = run.moving_to.clone();
        if let Some(target) = &target {
            let engine = self.engines.entry(target.clone()).or_default();
            engine.incoming.insert(name.to_owned());
            self.moving.insert(name.to_owned());
        }
        if !run.confirmed {
            self.unconfirmed.insert(name.to_owned());
        }
        self.runs.insert(name.to_owned(), run);
        self.recount(&endpoint);
        if let Some(target) = &target {
            self.recount(target);
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
            self.recount(target);
        }
        self.recount(&run.reported.endpoint);
        Some(run)
    }

    /// Changes a generation and counts anew what it changes.
    pub(super) fn change(&mut self, name: &str, change: impl FnOnce(&mut Run)) {
        if let Some(mut run) = self.remove(name) {
            change(&mut run);
            self.insert(name, run);
        }
    }

    /// Whether an engine may be sent one more request of an entry now: a cold one falls over well above what it bears, and one in need takes few from
    /// all instances together.
    pub(super) fn takes_one_more(&self, engine: &EngineEntry, entry: &str, now: Duration) -> bool {
        let cold = engine.cold.filter(|cold| now < cold.until);
        let bears =
            cold.is_none_or(|cold| self.cold_gate.admits(&engine.id, cold.share_per_s, now));
        let permitted = engine.limit.is_none_or(|limit| {
            let next_at = self.permits.available_at(&engine.id, entry, limit, now);
            next_at <= now
        });
        bears && permitted
    }

    /// Counts a request of an entry that is sent to an engine, as far as it matters; gives whether it was one of those that the engine takes from all.
    pub(super) fn note_sent(&mut self, engine: &str, entry: &str, now: Duration) -> bool {
        let listed = self.engines.get(engine);
        let listed = listed.and_then(|engine| engine.entry.as_ref());
        let Some(listed) = listed else { return false };
        if listed.cold.is_some_and(|cold| now < cold.until) {
            self.cold_gate.note(engine, now);
        }
        let limit = listed.limit;
        limit.is_some_and(|limit| self.permit(engine, entry, limit, now) == PermitDecision::Granted)
    }

    /// Gives an entry a permit for a request to an engine that names a limit, beside the places that are granted.
    pub fn permit(
        &mut self,
        engine: &str,
        entry: &str,
        limit: LimitShare,
        now: Duration,
    ) -> PermitDecision {
        self.permits.request(engine, entry, limit, now)
    }

    /// Whether places at an engine are counted against a limit that it names.
    #[must_use]
    pub fn is_limited(&self, engine: &str) -> bool {
        let engine = self.engines.get(engine);
        let entry = engine.and_then(|engine| engine.entry.as_ref());
        entry.is_some_and(|entry| entry.limit.is_some())
    }

    /// From now on requests add up for engines that name a limit, and those of engines that name none are forgotten.
    pub fn settle_permits(&mut self, now: Duration) {
        let engines = self.engines.values();
        let limited = engines.filter_map(|engine| engine.entry.as_ref());
        let limited = limited.filter(|entry| entry.limit.is_some());
        let limited: BTreeSet<&str> = limited.map(|entry| entry.id.as_str()).collect();
        self.permits.prune(|engine| limited.contains(engine));
        for engine in limited {
            self.permits.start_accrual(engine, now);
        }
    }

    /// Finds an engine for a new generation; gives the id of the engine.
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
            made_tokens: 0,
        };
        let fill_max = if demand.ends_within_horizon() {
            MOVED_RUN_FILL_MAX
        } else {
            NEW_RUN_FILL_MAX
        };
        let usable = self.engines.iter().filter(|(id, engine)| {
            engine.is_sound(now) && !excluded.contains(id) && engine.is_open()
        });
        let fits = usable.filter_map(|(_, engine)| {
            let listed = engine.entry.as_ref()?;
            let fill = engine.fill_with(listed, &new, fill_max)?;
            if !self.takes_one_more(listed, entry, now) {
                return None;
            }
            let unread = engine.held.unread_tokens / f64::from(listed.memory_tokens);
            let compared = engine.compared(fill) + UNREAD_WEIGHT * unread;
            // One that turned another entry away will likely turn this one away: it comes last. Of 20 generations a second before twelve engines, of
            // which four refuse nine in ten, 0 in 100 are lost and not 10.7; of 36 a second at 60 instances 13.5 and not 26.3; where they refuse
            // three in ten of what all engines can just hold, 3.2 and not 0.7 (simulated, `cargo bench --bench resting`, 40 seeds).
            Some((self.asked_for_rest.contains(&listed.id), compared, listed))
        });
        let (_, _, chosen) = fits.min_by(|one, other| {
            let by_rest = one.0.cmp(&other.0);
            by_rest.then(one.1.total_cmp(&other.1))
        })?;
        let granted = chosen.id.clone();
        let run = Run {
            reported: ReportedRun {
                endpoint: granted.clone(),
                ..new
            },
            entry: entry.to_owned(),
            at: now,
            confirmed: false,
            moving_to: None,
            next_move_at: Duration::ZERO,
        };
        self.insert(&demand.run, run);
        self.note_sent(&granted, entry, now);
        Some(granted)
    }

    /// Takes all generations of an entry, in place of what it reported before.
    pub fn take_report(&mut self, entry: &str, reported: Vec<ReportedRun>, now: Duration) {
        let known = self.entries.entry(entry.to_owned()).or_default();
        known.reported_at = Some(now);
        let before = known.runs.clone();
        let names: BTreeSet<&str> = reported.iter().map(|run| run.demand.run.as_str()).collect();
        let missing = before.iter().filter(|name| !names.contains(name.as_str()));
        let ended: Vec<&String> = missing.filter(|name| !self.is_young(name, now)).collect();
        for name in ended {
            self.remove(name);
        }
        for reported in reported {
            self.take_reported(entry, reported, now);
        }
    }

    /// Takes the engines that asked an entry for rest, in place of what it reported before.
    pub fn rest_for(&mut self, entry: &str, resting: BTreeSet<String>) {
        if let Some(entry) = self.entries.get_mut(entry)
            && entry.resting != resting
        {
            entry.resting = resting;
            self.count_rests();
        }
    }

    fn count_rests(&mut self) {
        let entries = self.entries.values();
        let resting = entries.flat_map(|entry| entry.resting.iter().cloned());
        self.asked_for_rest = resting.collect();
    }

    /// Whether an engine asked an entry for rest.
    pub(super) fn rests_for(&self, entry: &str, engine: &str) -> bool {
        let entry = self.entries.get(entry);
        entry.is_some_and(|entry| entry.resting.contains(engine))
    }

    /// Whether a generation was granted a place so lately that no report need have it yet.
    fn is_young(&self, name: &str, now: Duration) -> bool {
        let run = self.runs.get(name);
        run.is_some_and(|run| !run.confirmed && now.saturating_sub(run.at) < GRANT_KEPT)
    }

    fn take_reported(&mut self, entry: &str, reported: ReportedRun, now: Duration) {
        let name = reported.demand.run.clone();
        let before = self.runs.get(&name);
        // While it moves, the report may still name the engine that it leaves.
        let moving_to = before.and_then(|run| run.moving_to.clone());
        let moving_to = moving_to.filter(|target| *target != reported.endpoint);
        let run = Run {
            reported,
            entry: entry.to_owned(),
            at: now,
            confirmed: true,
            moving_to,
            next_move_at: before.map_or(Duration::ZERO, |run| run.next_move_at),
        };
        self.insert(&name, run);
    }

    /// An engine refused a generation.
    pub fn refused(&mut self, endpoint: &str, now: Duration) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.refused_until = now + REFUSED_PAUSE;
        }
    }

    /// Nobody listens at an engine's address.
    pub fn found_dead(&mut self, endpoint: &str, now: Duration) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.refused_until = now + DEAD_PAUSE;
        }
    }

    /// A generation that was granted a place will not use it.
    pub fn release(&mut self, run: &str) {
        self.remove(run);
    }

    /// Drops what entries that are silent had reported, and grants that nobody confirmed.
    pub fn expire(&mut self, now: Duration) {
        let old_grants = self.unconfirmed.iter();
        let old_grants: Vec<String> = old_grants
            .filter(|name| !self.is_young(name, now))
            .cloned()
            .collect();
        let mut silent: Vec<String> = Vec::new();
        for entry in self.entries.values() {
            let at = entry.reported_at;
            if at.is_none_or(|at| now.saturating_sub(at) >= ENTRY_KEPT) {
                let runs = entry.runs.iter();
                silent.extend(runs.filter(|name| !self.is_young(name, now)).cloned());
            }
        }
        for name in old_grants.iter().chain(&silent) {
            self.remove(name);
        }
        self.cold_gate.tidy(now);
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let at = entry.reported_at;
            let is_heard = at.is_some_and(|at| now.saturating_sub(at) < ENTRY_KEPT);
            is_heard || !entry.runs.is_empty()
        });
        if self.entries.len() < before && !self.asked_for_rest.is_empty() {
            self.count_rests();
        }
    }

    /// Takes the end of a move.
    pub fn move_ended(&mut self, order: &MoveOrder, result: MoveResult, now: Duration) {
        if result == MoveResult::RunGone {
            self.remove(&order.run);
            return;
        }
        self.change(&order.run, |run| {
            if result == MoveResult::Copied {
                run.reported.endpoint.clone_from(&order.target);
            }
            run.moving_to = None;
            run.next_move_at = now + MOVE_PAUSE;
        });
    }

    /// Counts for the dump: generations and share of memory predicted to be used, by engine.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<String, EngineSummary> {
        let engines = self.engines.iter().filter_map(|(id, engine)| {
            let entry = engine.entry.as_ref()?;
            let summary = EngineSummary {
                places: engine.held.places,
                predicted_tokens: engine.held.tokens,
                memory_tokens: entry.memory_tokens,
                leaving: entry.leaving,
                closed: entry.closed,
            };
            Some((id.clone(), summary))
        });
        engines.collect()
    }

    /// Engines that run generations.
    #[must_use]
    pub fn running_engines(&self) -> BTreeSet<String> {
        let engines = self.engines.iter();
        let running = engines.filter(|(_, engine)| !engine.runs.is_empty());
        running.map(|(id, _)| id.clone()).collect()
    }

    /// Generations known.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }
}

/// An engine in the dump.
#[derive(Debug, Clone, Serialize)]
pub struct EngineSummary {
    /// Generations and copies on it.
    pub places: u32,
    /// Memory within the horizon.
    pub predicted_tokens: f64,
    /// Memory in all.
    pub memory_tokens: u32,
    /// Whether what runs on it has to go.
    pub leaving: bool,
    /// Whether it takes no new generations, though what runs on it may stay.
    pub closed: bool,
}
