//! What the owner of a service's engines knows: which generations run where, what memory they will need, and which to move when an
//! engine leaves.
//!
//! Entries tell the owner all their generations a few times a second, so that a new owner knows everything after one round.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;

/// Tokens that a generation makes in a second on an engine with several others; measured at 63 ms an event of 4.
const MADE_TOKENS_PER_S: f64 = 64.0;
/// How far ahead memory is predicted. Longer than an owner takes to learn of an end, shorter than most generations.
const HORIZON: Duration = Duration::from_millis(2_500);
/// Share of an engine's memory that new generations may fill; what is left takes in those that move.
const NEW_RUN_FILL_MAX: f64 = 0.90;
/// Share that a moved generation may fill.
const MOVED_RUN_FILL_MAX: f64 = 0.97;
/// A grant that no report has confirmed is dropped after this time.
const GRANT_KEPT: Duration = Duration::from_millis(1_500);
/// An entry that has not reported for this long is gone, and with it its connections.
const ENTRY_KEPT: Duration = Duration::from_millis(2_500);
/// Prompt tokens that wait to be read on an engine count this much of its memory again when engines are compared, so that new
/// generations spread.
const UNREAD_WEIGHT: f64 = 1.5;
/// A generation that is expected to end within this time is moved after the others.
const ENDS_SOON: Duration = Duration::from_millis(700);
/// A generation whose move failed is tried again after this time.
const MOVE_PAUSE: Duration = Duration::from_millis(120);
/// An engine that refused a generation takes no new ones for this time.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);
/// An engine at whose address nobody listens takes none for this time; the list tells of its end or of its return.
const DEAD_PAUSE: Duration = Duration::from_secs(4);
/// Copies between halls take about twice as long as inside one.
const OTHER_HALL_COST: f64 = 0.6;
/// Expected share of the most tokens that may be made, where the caller gives no hint.
const MADE_SHARE: f64 = 0.35;
/// Weight of the caller's hint against [`MADE_SHARE`], in logarithms: hints are right in the median and far off singly.
const HINT_WEIGHT: f64 = 0.5;

/// What a generation needs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RunDemand {
    /// Names the generation.
    pub run: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be made.
    pub made_max_tokens: u32,
    /// The caller's guess of the tokens to be made.
    pub made_hint_tokens: Option<f64>,
    /// 0 is served first.
    pub priority: u32,
}

/// An engine as the list and the configuration have it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineEntry {
    /// Names this start of the engine.
    pub id: String,
    /// Hall in which it stands.
    pub hall: String,
    /// Generations decoded at once.
    pub slots: u32,
    /// Memory, in tokens.
    pub memory_tokens: u32,
    /// Whether it takes no new generations.
    pub leaving: bool,
    /// Whether generations can be moved off it.
    pub moves: bool,
}

/// A generation as an entry reports it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportedRun {
    /// What it needs.
    pub demand: RunDemand,
    /// Engine that runs it.
    pub endpoint: String,
    /// Tokens made.
    pub made_tokens: u32,
}

#[derive(Debug, Clone, Serialize)]
struct Run {
    reported: ReportedRun,
    entry: String,
    /// When it was granted or last reported.
    at: Duration,
    /// Whether a report has confirmed it.
    confirmed: bool,
    /// Where it is being moved.
    moving_to: Option<String>,
    /// No further move before this time.
    next_move_at: Duration,
}

/// A move that the entry of a generation is to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveOrder {
    /// The generation.
    pub run: String,
    /// The instance that serves it.
    pub entry: String,
    /// Engine that it leaves.
    pub source: String,
    /// Engine on which it goes on.
    pub target: String,
}

/// How a move ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveResult {
    /// The memory was copied, and the generation goes on at the target.
    Copied,
    /// The entry does not serve this generation any more.
    RunGone,
    /// The target had no room.
    NoRoom,
    /// Anything else.
    Failed,
}

#[derive(Debug, Default)]
struct Engine {
    entry: Option<EngineEntry>,
    refused_until: Duration,
}

/// What is held on an engine.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Held {
    /// Tokens, with what will be made within [`HORIZON`].
    tokens: f64,
    /// Prompt tokens not read yet.
    unread_tokens: f64,
    /// Generations and copies.
    places: u32,
}

/// The engines of one service.
#[derive(Debug, Default)]
pub struct EngineLedger {
    engines: BTreeMap<String, Engine>,
    runs: BTreeMap<String, Run>,
    /// When each entry last reported.
    entries: BTreeMap<String, Duration>,
}

impl RunDemand {
    /// Tokens expected to be made in all.
    fn expected_made(&self) -> f64 {
        let most = f64::from(self.made_max_tokens.max(1));
        let usual = (most * MADE_SHARE).max(1.0);
        let hint = self.made_hint_tokens.unwrap_or(usual).clamp(1.0, most);
        let blended = usual.ln() * (1.0 - HINT_WEIGHT) + hint.ln() * HINT_WEIGHT;
        blended.exp().min(most)
    }
}

impl ReportedRun {
    /// Tokens in memory now.
    fn held(&self) -> f64 {
        f64::from(self.demand.prompt_tokens) + f64::from(self.made_tokens)
    }

    /// Tokens still expected; at least a few, since hints are often too short.
    fn remaining(&self) -> f64 {
        let made = f64::from(self.made_tokens);
        let most = f64::from(self.demand.made_max_tokens);
        let expected = self.demand.expected_made() - made;
        expected.max(made * 0.25).min(most - made).max(0.0)
    }

    /// Tokens in memory within the horizon.
    fn predicted(&self) -> f64 {
        let growth = MADE_TOKENS_PER_S * HORIZON.as_secs_f64();
        self.held() + self.remaining().min(growth)
    }

    fn ends_soon(&self) -> bool {
        self.remaining() < MADE_TOKENS_PER_S * ENDS_SOON.as_secs_f64()
    }
}

impl EngineLedger {
    /// Takes the engines as they are listed now.
    pub fn set_engines(&mut self, entries: Vec<EngineEntry>) {
        let listed: BTreeSet<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            let engine = self.engines.entry(entry.id.clone()).or_default();
            engine.entry = Some(entry);
        }
        self.engines.retain(|id, _| listed.contains(id));
    }

    /// Whether generations run on an engine that leaves.
    #[must_use]
    pub fn has_leaving_runs(&self) -> bool {
        self.runs
            .values()
            .any(|run| self.is_leaving(&run.reported.endpoint))
    }

    fn engine(&self, id: &str) -> Option<&EngineEntry> {
        self.engines.get(id)?.entry.as_ref()
    }

    fn is_leaving(&self, id: &str) -> bool {
        self.engine(id).is_none_or(|engine| engine.leaving)
    }

    fn held_by_engine(&self) -> BTreeMap<&str, Held> {
        let mut held: BTreeMap<&str, Held> = BTreeMap::new();
        for run in self.runs.values() {
            let reported = &run.reported;
            let engine = held.entry(&reported.endpoint).or_default();
            engine.tokens += reported.predicted();
            engine.places += 1;
            if reported.made_tokens == 0 {
                engine.unread_tokens += f64::from(reported.demand.prompt_tokens);
            }
            if let Some(target) = &run.moving_to {
                let target = held.entry(target).or_default();
                target.tokens += reported.predicted();
                target.places += 1;
            }
        }
        held
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
        let held = self.held_by_engine();
        let usable = self.engines.iter().filter(|(id, engine)| {
            now >= engine.refused_until && !excluded.contains(id) && !self.is_leaving(id)
        });
        let fits = usable.filter_map(|(id, engine)| {
            let engine = engine.entry.as_ref()?;
            let held = held.get(id.as_str()).copied().unwrap_or_default();
            let memory = f64::from(engine.memory_tokens);
            let fill = (held.tokens + new.predicted()) / memory;
            if held.places >= engine.slots || fill > NEW_RUN_FILL_MAX {
                return None;
            }
            let score = fill + UNREAD_WEIGHT * held.unread_tokens / memory;
            Some((score, engine))
        });
        let (_, chosen) = fits.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let granted = chosen.id.clone();
        let reported = ReportedRun {
            endpoint: granted.clone(),
            ..new
        };
        self.runs.insert(
            demand.run.clone(),
            Run {
                reported,
                entry: entry.to_owned(),
                at: now,
                confirmed: false,
                moving_to: None,
                next_move_at: Duration::ZERO,
            },
        );
        Some(granted)
    }

    /// The engine with most room for a generation of another one; inside the hall before elsewhere.
    fn best_target(
        &self,
        run: &ReportedRun,
        source: &EngineEntry,
        held: &BTreeMap<&str, Held>,
        busy: &BTreeSet<String>,
        now: Duration,
    ) -> Option<String> {
        let sound = self
            .engines
            .values()
            .filter(|engine| now >= engine.refused_until);
        let others = sound.filter_map(|engine| engine.entry.as_ref());
        let others = others.filter(|engine| {
            engine.id != source.id && !engine.leaving && !busy.contains(&engine.id)
        });
        let fits = others.filter_map(|engine| {
            let held = held.get(engine.id.as_str()).copied().unwrap_or_default();
            let fill = (held.tokens + run.predicted()) / f64::from(engine.memory_tokens);
            if held.places >= engine.slots || fill > MOVED_RUN_FILL_MAX {
                return None;
            }
            let elsewhere = if engine.hall == source.hall {
                0.0
            } else {
                OTHER_HALL_COST
            };
            Some((fill + elsewhere, engine))
        });
        let best = fits.min_by(|one, other| one.0.total_cmp(&other.0));
        best.map(|(_, engine)| engine.id.clone())
    }

    /// Takes all generations of an entry, in place of what it reported before.
    pub fn take_report(&mut self, entry: &str, reported: Vec<ReportedRun>, now: Duration) {
        self.entries.insert(entry.to_owned(), now);
        let names: BTreeSet<String> = reported.iter().map(|run| run.demand.run.clone()).collect();
        self.runs.retain(|name, run| {
            let young = !run.confirmed && now.saturating_sub(run.at) < GRANT_KEPT;
            run.entry != entry || names.contains(name) || young
        });
        for reported in reported {
            let name = reported.demand.run.clone();
            let before = self.runs.remove(&name);
            // While it moves, the report may still name the engine that it leaves.
            let moving_to = before.as_ref().and_then(|run| run.moving_to.clone());
            let moving_to = moving_to.filter(|target| *target != reported.endpoint);
            let run = Run {
                reported,
                entry: entry.to_owned(),
                at: now,
                confirmed: true,
                moving_to,
                next_move_at: before.map_or(Duration::ZERO, |run| run.next_move_at),
            };
            self.runs.insert(name, run);
        }
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
        self.runs.remove(run);
    }

    /// Drops what entries that are silent had reported, and grants that nobody confirmed.
    pub fn expire(&mut self, now: Duration) {
        let entries = &mut self.entries;
        entries.retain(|_, at| now.saturating_sub(*at) < ENTRY_KEPT);
        self.runs.retain(|_, run| {
            if run.confirmed {
                entries.contains_key(&run.entry)
            } else {
                now.saturating_sub(run.at) < GRANT_KEPT
            }
        });
    }

    /// Moves to begin now: one at a time for each engine that leaves and for each engine that takes in.
    pub fn plan_moves(&mut self, now: Duration) -> Vec<MoveOrder> {
        let mut orders = Vec::new();
        let mut busy: BTreeSet<String> = BTreeSet::new();
        for run in self.runs.values() {
            if let Some(target) = &run.moving_to {
                busy.insert(target.clone());
                busy.insert(run.reported.endpoint.clone());
            }
        }
        let leaving: Vec<EngineEntry> = self
            .engines
            .values()
            .filter_map(|engine| engine.entry.clone())
            .filter(|engine| engine.leaving && engine.moves)
            .collect();
        for source in leaving {
            if busy.contains(&source.id) {
                continue;
            }
            if let Some(order) = self.next_move(&source, &busy, now) {
                busy.insert(order.source.clone());
                busy.insert(order.target.clone());
                self.mark_moving(&order);
                orders.push(order);
            }
        }
        orders
    }

    fn mark_moving(&mut self, order: &MoveOrder) {
        if let Some(run) = self.runs.get_mut(&order.run) {
            run.moving_to = Some(order.target.clone());
        }
    }

    /// The next generation to move off an engine: the one that has most to lose for the memory that has to be copied.
    fn next_move(
        &self,
        source: &EngineEntry,
        busy: &BTreeSet<String>,
        now: Duration,
    ) -> Option<MoveOrder> {
        let held = self.held_by_engine();
        let on_source = self.runs.values().filter(|run| {
            run.reported.endpoint == source.id
                && run.moving_to.is_none()
                && run.confirmed
                && run.reported.made_tokens > 0
                && now >= run.next_move_at
        });
        let mut candidates: Vec<&Run> = on_source.collect();
        let worth = |run: &Run| {
            let demand = &run.reported.demand;
            let size = f64::from(demand.prompt_tokens) + 10.0 * demand.expected_made();
            size / run.reported.held()
        };
        // Those that may end by themselves come last: hints are often too short.
        candidates.sort_by(|one, other| {
            let ends_soon = one.reported.ends_soon().cmp(&other.reported.ends_soon());
            ends_soon.then(worth(other).total_cmp(&worth(one)))
        });
        candidates.into_iter().find_map(|run| {
            let reported = &run.reported;
            let target = self.best_target(reported, source, &held, busy, now)?;
            Some(MoveOrder {
                run: reported.demand.run.clone(),
                entry: run.entry.clone(),
                source: source.id.clone(),
                target,
            })
        })
    }

    /// Takes the end of a move.
    pub fn move_ended(&mut self, order: &MoveOrder, result: MoveResult, now: Duration) {
        if result == MoveResult::RunGone {
            self.runs.remove(&order.run);
            return;
        }
        let Some(run) = self.runs.get_mut(&order.run) else {
            return;
        };
        if result == MoveResult::Copied {
            run.reported.endpoint.clone_from(&order.target);
        }
        run.moving_to = None;
        run.next_move_at = now + MOVE_PAUSE;
    }

    /// Counts for the dump: generations and share of memory predicted to be used, by engine.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<String, EngineSummary> {
        let held = self.held_by_engine();
        let engines = self.engines.iter().filter_map(|(id, engine)| {
            let entry = engine.entry.as_ref()?;
            let held = held.get(id.as_str()).copied().unwrap_or_default();
            let summary = EngineSummary {
                places: held.places,
                predicted_tokens: held.tokens,
                memory_tokens: entry.memory_tokens,
                leaving: entry.leaving,
            };
            Some((id.clone(), summary))
        });
        engines.collect()
    }

    /// Engines that run generations.
    #[must_use]
    pub fn running_engines(&self) -> BTreeSet<String> {
        let runs = self.runs.values();
        runs.map(|run| run.reported.endpoint.clone()).collect()
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
    /// Whether it takes no new generations.
    pub leaving: bool,
}
