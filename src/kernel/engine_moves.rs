//! Planning of moves: which generations to move off a leaving engine, and to which engine.

use std::collections::BTreeSet;
use std::time::Duration;

use super::engine_ledger::{Engine, EngineLedger, MOVED_RUN_FILL_MAX, Run};
use super::engine_run::{ListedEngine, MoveOrder};

/// Added to the score of engines in another hall: copies between halls take about twice as long as
/// copies within one.
const CROSS_HALL_PENALTY: f64 = 0.6;

impl EngineLedger {
    /// Plans the moves to start now. Each engine takes part in at most one move at a time, as
    /// source or target.
    pub fn plan_moves(&mut self, now: Duration) -> Vec<MoveOrder> {
        let mut orders = Vec::new();
        let mut busy = self.engines_in_moves();
        for source in self.leaving_engines() {
            if busy.contains(&source.id) {
                continue;
            }
            if let Some(order) = self.next_move(&source, &busy, now) {
                busy.insert(order.source.clone());
                busy.insert(order.target.clone());
                orders.push(self.start_move(order, now));
            }
        }
        orders
    }

    /// Records that a move starts, and returns its order.
    pub(super) fn start_move(&mut self, order: MoveOrder, now: Duration) -> MoveOrder {
        let target = order.target.clone();
        let target_counted = self.record_sent_request(&target, &order.entry, now);
        self.update_run(&order.run, |run| run.moving_to = Some(target));
        MoveOrder {
            target_counted,
            ..order
        }
    }

    /// Returns the source and target engines of moves in progress.
    pub(super) fn engines_in_moves(&self) -> BTreeSet<String> {
        let mut busy = BTreeSet::new();
        for run in self.moving.iter().filter_map(|name| self.runs.get(name)) {
            busy.extend(run.moving_to.clone());
            busy.insert(run.reported.endpoint.clone());
        }
        busy
    }

    /// Returns the engines whose generations have to be moved off and can be.
    pub(super) fn leaving_engines(&self) -> Vec<ListedEngine> {
        let engines = self.engines.values();
        let running = engines.filter(|engine| !engine.runs.is_empty());
        let listed = running.filter_map(|engine| engine.listed.as_ref());
        listed
            .filter(|engine| engine.must_be_emptied())
            .cloned()
            .collect()
    }

    /// Returns the target engine with the most free capacity for a generation, preferring engines
    /// in the same hall.
    pub(super) fn best_target(
        &self,
        run: &Run,
        source: &ListedEngine,
        busy: &BTreeSet<String>,
        now: Duration,
    ) -> Option<String> {
        let usable = self
            .engines
            .values()
            .filter(|engine| engine.is_available(now));
        let fits = usable.filter_map(|engine| {
            let listed = engine.listed.as_ref()?;
            if listed.id == source.id || !engine.is_open() || busy.contains(&listed.id) {
                return None;
            }
            if !listed.meets(&run.reported.demand.requirements)
                || !self.can_accept_request(listed, &run.entry, now)
                || self.is_cooling_down_for(&run.entry, &listed.id)
            {
                return None;
            }
            let fill = engine.fill_with_run(listed, &run.reported, MOVED_RUN_FILL_MAX)?;
            let hall_penalty = if listed.hall == source.hall {
                0.0
            } else {
                CROSS_HALL_PENALTY
            };
            let breaks_limit = !self.keeps_pace(&listed.id, &run.reported.demand);
            let score = engine.comparison_score(fill) + hall_penalty;
            Some((breaks_limit, score, listed))
        });
        let best = fits.min_by(|left, right| {
            let by_limit = left.0.cmp(&right.0);
            by_limit.then(left.1.total_cmp(&right.1))
        });
        best.map(|(_, _, engine)| engine.id.clone())
    }

    /// Returns whether a leaving engine may be sent an order to move a generation of an entry
    /// instance. An order counts against the engine's rate limit like any other request.
    fn can_accept_order(&self, source: &ListedEngine, entry: &str, now: Duration) -> bool {
        source.limit.is_none() || self.can_accept_request(source, entry, now)
    }

    /// Returns the generations on an engine that can be moved off it now.
    pub(super) fn movable_runs(&self, source: &ListedEngine, now: Duration) -> Vec<&Run> {
        let engine: Option<&Engine> = self.engines.get(&source.id);
        let names = engine.into_iter().flat_map(|engine| &engine.runs);
        let on_source = names.filter_map(|name| self.runs.get(name));
        let movable = on_source.filter(|run| {
            run.can_be_moved()
                && now >= run.next_move_at
                && self.can_accept_order(source, &run.entry, now)
        });
        movable.collect()
    }

    /// Chooses the next generation to move off an engine: the one with the most work to lose per
    /// token of memory to be copied.
    fn next_move(
        &self,
        source: &ListedEngine,
        busy: &BTreeSet<String>,
        now: Duration,
    ) -> Option<MoveOrder> {
        let mut candidates = self.movable_runs(source, now);
        // Generations that are about to end come last: hints are often too short.
        candidates.sort_by(|left, right| {
            let by_ending_soon = left
                .reported
                .is_ending_soon()
                .cmp(&right.reported.is_ending_soon());
            by_ending_soon
                .then(loss_per_copied_token(right).total_cmp(&loss_per_copied_token(left)))
        });
        candidates.into_iter().find_map(|run| {
            let target = self.best_target(run, source, busy, now)?;
            Some(MoveOrder {
                run: run.reported.demand.run.clone(),
                entry: run.entry.clone(),
                source: source.id.clone(),
                target,
                target_counted: false,
            })
        })
    }
}

/// Returns the work that is lost with a generation, per token of memory that has to be copied.
fn loss_per_copied_token(run: &Run) -> f64 {
    lost_work_tokens(run) / run.reported.current_tokens()
}

/// Returns the work that is lost with a generation, as a number of prompt tokens.
pub(super) fn lost_work_tokens(run: &Run) -> f64 {
    let demand = &run.reported.demand;
    f64::from(demand.prompt_tokens) + 10.0 * demand.expected_output_tokens()
}
