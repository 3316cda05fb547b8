//! Which generations to move when an engine leaves, and where to.

use std::collections::BTreeSet;
use std::time::Duration;

use super::engine_ledger::{Engine, EngineLedger, MOVED_RUN_FILL_MAX, Run};
use super::engine_run::{EngineEntry, MoveOrder};

/// Copies between halls take about twice as long as inside one.
const OTHER_HALL_COST: f64 = 0.6;

impl EngineLedger {
    /// Moves to begin now: one at a time for each engine that leaves and for each engine that takes in.
    pub fn plan_moves(&mut self, now: Duration) -> Vec<MoveOrder> {
        let mut orders = Vec::new();
        let mut busy = self.engines_busy();
        for source in self.engines_to_empty() {
            if busy.contains(&source.id) {
                continue;
            }
            if let Some(order) = self.next_move(&source, &busy, now) {
                busy.insert(order.source.clone());
                busy.insert(order.target.clone());
                let target = order.target.clone();
                let target_counted = self.note_sent(&target, &order.entry, now);
                self.change(&order.run, |run| run.moving_to = Some(target));
                orders.push(MoveOrder {
                    target_counted,
                    ..order
                });
            }
        }
        orders
    }

    /// Engines between which a copy is under way.
    fn engines_busy(&self) -> BTreeSet<String> {
        let mut busy = BTreeSet::new();
        for run in self.moving.iter().filter_map(|name| self.runs.get(name)) {
            busy.extend(run.moving_to.clone());
            busy.insert(run.reported.endpoint.clone());
        }
        busy
    }

    fn engines_to_empty(&self) -> Vec<EngineEntry> {
        let engines = self.engines.values();
        let running = engines.filter(|engine| !engine.runs.is_empty());
        let listed = running.filter_map(|engine| engine.entry.as_ref());
        listed
            .filter(|engine| engine.leaving && engine.moves)
            .cloned()
            .collect()
    }

    /// The engine with most room for a generation of another one; inside the hall before elsewhere.
    fn best_target(
        &self,
        run: &Run,
        source: &EngineEntry,
        busy: &BTreeSet<String>,
        now: Duration,
    ) -> Option<String> {
        let usable = self.engines.values().filter(|engine| engine.is_sound(now));
        let fits = usable.filter_map(|engine| {
            let entry = engine.entry.as_ref()?;
            if entry.id == source.id || !engine.is_open() || busy.contains(&entry.id) {
                return None;
            }
            if !self.takes_one_more(entry, &run.entry, now) || self.rests_for(&run.entry, &entry.id)
            {
                return None;
            }
            let fill = engine.fill_with(entry, &run.reported, MOVED_RUN_FILL_MAX)?;
            let elsewhere = if entry.hall == source.hall {
                0.0
            } else {
                OTHER_HALL_COST
            };
            Some((engine.compared(fill) + elsewhere, entry))
        });
        let best = fits.min_by(|one, other| one.0.total_cmp(&other.0));
        best.map(|(_, engine)| engine.id.clone())
    }

    /// Whether an engine that leaves takes an order to move a generation of an entry: an order is a request like others.
    fn takes_order(&self, source: &EngineEntry, entry: &str, now: Duration) -> bool {
        source.limit.is_none() || self.takes_one_more(source, entry, now)
    }

    /// The next generation to move off an engine: the one that has most to lose for the memory that has to be copied.
    fn next_move(
        &self,
        source: &EngineEntry,
        busy: &BTreeSet<String>,
        now: Duration,
    ) -> Option<MoveOrder> {
        let engine: &Engine = self.engines.get(&source.id)?;
        let on_source = engine.runs.iter().filter_map(|name| self.runs.get(name));
        let movable = on_source.filter(|run| {
            run.moving_to.is_none()
                && run.confirmed
                && run.reported.made_tokens > 0
                && now >= run.next_move_at
                && self.takes_order(source, &run.entry, now)
        });
        let mut candidates: Vec<&Run> = movable.collect();
        // Those that may end by themselves come last: hints are often too short.
        candidates.sort_by(|one, other| {
            let ends_soon = one.reported.ends_soon().cmp(&other.reported.ends_soon());
            ends_soon.then(move_worth(other).total_cmp(&move_worth(one)))
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

/// What is lost with a generation, for each token that has to be copied.
fn move_worth(run: &Run) -> f64 {
    let demand = &run.reported.demand;
    let size = f64::from(demand.prompt_tokens) + 10.0 * demand.expected_made();
    size / run.reported.held()
}
