//! Free memory that new generations leave untouched at peaks: for generations of a higher priority
//! that are about to arrive, and for those that have to be moved off leaving engines.
//!
//! It answers a burst of long generations beside short urgent ones, and engines that are taken away
//! at short notice while the others are full: what a long generation takes is missing for as long
//! as it runs. The reserve follows the observed arrivals, so it binds nothing while there is room.

use std::collections::BTreeMap;
use std::time::Duration;

use super::class_traffic::{Traffic, class_of};
use super::engine_ledger::{EngineLedger, ListedEngine, Run};
use super::engine_run::RunDemand;

/// Standard deviations of the number of concurrent arrivals that find room: 98 in 100 do.
const ARRIVAL_DEVIATIONS: f64 = 2.0;
/// Largest share of the open engines' memory that is kept for moves. A roll-out moves the
/// generations of half a fleet, and must not stop admission meanwhile.
const MOVE_RESERVE_SHARE_MAX: f64 = 0.25;
/// Generations of a leaving engine that have room kept for them at a time: one is moved after the
/// other, and others end meanwhile.
const MOVES_AHEAD_PER_ENGINE: usize = 3;
/// Age from which the free room is added up anew.
const FREE_ROOM_MAX_AGE: Duration = Duration::from_millis(20);

/// What a generation is held back for although an engine may have room for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldBackFor {
    /// Generations of a higher priority that are expected to arrive.
    Urgent,
    /// Generations that have to be moved off leaving engines.
    Moves,
}

/// Which reserves are kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReservePolicy {
    /// Whether lower priorities leave room for higher ones.
    pub for_urgent: bool,
    /// Whether new generations leave room for moves.
    pub for_moves: bool,
}

/// Generations that still have to be moved off leaving engines.
#[derive(Debug, Clone, Copy, Default)]
struct PendingMoves {
    count: f64,
    tokens: f64,
}

/// Free room on the open engines, in units of one size.
#[derive(Debug, Clone, Copy)]
struct FreeRoom {
    /// Size of a unit, in tokens; positive.
    unit_tokens: f64,
    units: f64,
}

impl FreeRoom {
    fn tokens(&self) -> f64 {
        self.units * self.unit_tokens
    }

    /// Takes the room of a generation away, in whole units.
    fn take(&mut self, tokens: f64) {
        self.units -= (tokens / self.unit_tokens).ceil();
    }
}

/// Room that has to stay free.
#[derive(Debug, Clone, Copy, Default)]
struct Required {
    tokens: f64,
    /// Size of the largest kind of generation that it is kept for, in tokens.
    unit_tokens: f64,
}

/// The reserve of one service's engines.
#[derive(Debug, Default)]
pub(super) struct RoomReserve {
    pub(super) policy: ReservePolicy,
    /// Time at which the fields below were computed; `None` before the first time.
    computed_at: Option<Duration>,
    moves: PendingMoves,
    /// Memory of all open engines, in tokens.
    open_tokens: f64,
    /// Free room by the priority class of the candidate, and whether the candidate is long: these
    /// decide on the unit.
    free: BTreeMap<(usize, bool), FreeRoom>,
}

impl RoomReserve {
    /// Returns what a new generation is held back for; `None` if it may be placed.
    pub(super) fn held_back_for(
        &mut self,
        ledger: &EngineLedger,
        traffic: &Traffic,
        demand: &RunDemand,
        now: Duration,
    ) -> Option<HeldBackFor> {
        if self.policy == ReservePolicy::default() {
            return None;
        }
        self.refresh(ledger, now);
        let is_long = !demand.ends_within_horizon();
        let urgent = self.required_for_urgent(ledger, traffic, demand, now);
        let moves = self.required_for_moves(is_long);
        let required_tokens = urgent.tokens + moves.tokens;
        if required_tokens <= 0.0 {
            return None;
        }
        let unit_tokens = urgent.unit_tokens.max(moves.unit_tokens).max(1.0);
        let key = (class_of(demand.priority), is_long);
        let free = self
            .free
            .entry(key)
            .or_insert_with(|| free_room(ledger, unit_tokens, now));
        if free.units <= 0.0 {
            // The engines are full: nothing is kept from it.
            return None;
        }
        let mut left = *free;
        left.take(demand.predicted_tokens_at_start());
        if left.tokens() >= required_tokens {
            return None;
        }
        if left.tokens() < urgent.tokens {
            Some(HeldBackFor::Urgent)
        } else {
            Some(HeldBackFor::Moves)
        }
    }

    /// Returns the tokens that a generation has to leave free.
    pub(super) fn required_tokens(
        &self,
        ledger: &EngineLedger,
        traffic: &Traffic,
        demand: &RunDemand,
        now: Duration,
    ) -> f64 {
        let moves = self.required_for_moves(!demand.ends_within_horizon());
        self.required_for_urgent(ledger, traffic, demand, now)
            .tokens
            + moves.tokens
    }

    /// Records that a generation was placed, until the free room is added up anew.
    pub(super) fn record_placement(&mut self, demand: &RunDemand) {
        for free in self.free.values_mut() {
            free.take(demand.predicted_tokens_at_start());
        }
    }

    fn refresh(&mut self, ledger: &EngineLedger, now: Duration) {
        let is_current = self
            .computed_at
            .is_some_and(|at| now.saturating_sub(at) < FREE_ROOM_MAX_AGE);
        if is_current {
            return;
        }
        self.computed_at = Some(now);
        self.free.clear();
        if self.policy.for_moves {
            self.moves = pending_moves(ledger);
            self.open_tokens = open_tokens(ledger);
        }
    }

    /// Returns the room for generations of a higher priority that are expected while the candidate
    /// holds its memory, beyond those that run already.
    fn required_for_urgent(
        &self,
        ledger: &EngineLedger,
        traffic: &Traffic,
        demand: &RunDemand,
        now: Duration,
    ) -> Required {
        let mut required = Required::default();
        if !self.policy.for_urgent {
            return required;
        }
        let candidate_holding_s = demand.expected_holding().as_secs_f64();
        for class in 0..class_of(demand.priority) {
            let Some(rates) = traffic.rates(class, now) else {
                continue;
            };
            let holding_s = rates.mean_holding_s.min(candidate_holding_s);
            let expected = rates.arrivals_per_s * holding_s;
            let concurrent = expected + ARRIVAL_DEVIATIONS * expected.sqrt();
            let missing = concurrent - f64::from(ledger.run_count_of_class(class));
            required.tokens += missing.max(0.0) * rates.mean_tokens;
            required.unit_tokens = required.unit_tokens.max(rates.mean_tokens);
        }
        required
    }

    /// Returns the room for moves. Short generations free theirs before a move needs it.
    fn required_for_moves(&self, is_long: bool) -> Required {
        if !self.policy.for_moves || !is_long || self.moves.count <= 0.0 {
            return Required::default();
        }
        let tokens_max = self.open_tokens * MOVE_RESERVE_SHARE_MAX;
        Required {
            tokens: self.moves.tokens.min(tokens_max),
            unit_tokens: self.moves.tokens / self.moves.count,
        }
    }
}

fn open_tokens(ledger: &EngineLedger) -> f64 {
    let open = ledger.engines.values().filter(|engine| engine.is_open());
    let listed = open.filter_map(|engine| engine.listed.as_ref());
    listed.map(|listed| f64::from(listed.memory_tokens)).sum()
}

/// Returns what still has to be moved off leaving engines.
fn pending_moves(ledger: &EngineLedger) -> PendingMoves {
    let engines = ledger.engines.values();
    let leaving = engines.filter(|engine| {
        let listed = engine.listed.as_ref();
        listed.is_some_and(ListedEngine::must_be_emptied)
    });
    let waiting = leaving.flat_map(|engine| {
        let runs = engine.runs.iter().filter_map(|name| ledger.runs.get(name));
        runs.filter(|run| waits_for_move(run))
            .take(MOVES_AHEAD_PER_ENGINE)
    });
    waiting.fold(PendingMoves::default(), |total, run| PendingMoves {
        count: total.count + 1.0,
        tokens: total.tokens + run.reported.usual_predicted_tokens(),
    })
}

fn waits_for_move(run: &Run) -> bool {
    run.can_be_moved() && !run.reported.is_ending_soon()
}

/// Returns the room on open engines in whole units: a gap smaller than what is to be placed is of
/// no use to it.
fn free_room(ledger: &EngineLedger, unit_tokens: f64, now: Duration) -> FreeRoom {
    let engines = ledger.engines.values();
    let usable = engines.filter(|engine| engine.is_open() && engine.is_available(now));
    let units = usable.filter_map(|engine| {
        let listed = engine.listed.as_ref()?;
        let gap_tokens = (f64::from(listed.memory_tokens) - engine.usage.tokens).max(0.0);
        let free_slots = listed.slots.saturating_sub(engine.usage.used_slots);
        Some(
            (gap_tokens / unit_tokens)
                .floor()
                .min(f64::from(free_slots)),
        )
    });
    FreeRoom {
        unit_tokens,
        units: units.sum(),
    }
}
