//! Planning of moves by the ends of the leaving engines, on the ledger of their owner.
//!
//! Answers several full engines that leave at once while the others are nearly full: their links
//! and the room elsewhere go first to what can be saved in time.

use std::collections::BTreeSet;
use std::time::Duration;

use super::engine_ledger::{Engine, EngineLedger, Run};
use super::engine_moves::lost_work_tokens;
use super::engine_run::{DECODE_TOKENS_PER_S, ListedEngine, MoveOrder, MoveResult};
use super::move_schedule::{
    Candidate, CopyDistance, CopyLink, INCOMING_COPIES_MAX, MissReason, MissedMove, MovePlan,
    Prospect, is_link_short, order_candidates,
};

/// Returns the time until a leaving engine is expected to end; `None` if that is unknown, or if the
/// engine outlives what was expected.
fn time_left(source: &ListedEngine, now: Duration) -> Option<Duration> {
    let left = source.leaves_at?.saturating_sub(now);
    (!left.is_zero()).then_some(left)
}

impl EngineLedger {
    /// Plans the moves to start now, so that as much work as possible leaves the engines before
    /// they end. One copy at a time leaves each engine; `link` is that of each engine.
    pub fn plan_scheduled_moves(&mut self, link: CopyLink, now: Duration) -> MovePlan {
        let mut sources = self.leaving_engines();
        sources.sort_by_key(|source| source.leaves_at.unwrap_or(Duration::MAX));
        let mut plan = MovePlan {
            missed: self.take_ended_early(),
            ..MovePlan::default()
        };
        let runs = &self.runs;
        self.move_records.sync(
            sources.iter().map(|source| source.id.as_str()),
            |run| runs.contains_key(run),
            now,
        );
        for source in &sources {
            if !self.is_copying_from(&source.id)
                && let Some((order, wait)) = self.next_scheduled_move(source, link, now)
            {
                plan.orders.push((self.start_move(order, now), wait));
            }
            plan.missed
                .append(&mut self.take_missed_moves(source, link, now));
        }
        plan
    }

    /// Records the result of a scheduled move. A failed one is repeated at once a few times: a
    /// delay would take a large part of the notice.
    pub fn record_scheduled_result(
        &mut self,
        order: &MoveOrder,
        result: MoveResult,
        now: Duration,
    ) {
        self.record_move_result(order, result, now);
        match result {
            MoveResult::Copied => self.move_records.record_success(&order.run),
            MoveResult::RunGone => {}
            MoveResult::NoRoom | MoveResult::Failed => {
                if result == MoveResult::NoRoom {
                    self.record_refusal(&order.target, now);
                }
                if self.move_records.record_failure(&order.run) {
                    self.update_run(&order.run, |run| run.next_move_at = now);
                }
            }
        }
    }

    /// Returns whether memory is being copied off an engine.
    fn is_copying_from(&self, source: &str) -> bool {
        let mut moving = self.moving.iter().filter_map(|name| self.runs.get(name));
        moving.any(|run| run.reported.endpoint == source)
    }

    fn candidate<'a>(&self, run: &'a Run) -> Candidate<'a> {
        let name = run.reported.demand.run.as_str();
        let engine = self.engines.get(&run.reported.endpoint);
        Candidate {
            run: name,
            tokens: run.reported.current_tokens(),
            remaining_tokens: run.reported.remaining_tokens(),
            tokens_per_s: engine.map_or(DECODE_TOKENS_PER_S, Engine::decode_tokens_per_s),
            lost_work_tokens: lost_work_tokens(run),
            failed_moves: self.move_records.failed_moves(name),
        }
    }

    /// Chooses the next generation to move off an engine, and returns its order and the time to
    /// wait for the result.
    fn next_scheduled_move(
        &self,
        source: &ListedEngine,
        link: CopyLink,
        now: Duration,
    ) -> Option<(MoveOrder, Duration)> {
        let left = time_left(source, now);
        let movable = self.movable_runs(source, now);
        let candidates: Vec<Candidate<'_>> =
            movable.iter().map(|run| self.candidate(run)).collect();
        // An engine that outlives what was expected may end any moment.
        let is_overdue = source.leaves_at.is_some() && left.is_none();
        let is_short = is_overdue || is_link_short(&candidates, left, link);
        let mut late = None;
        for candidate in order_candidates(&candidates, left, link) {
            let Some(run) = self.runs.get(candidate.run) else {
                continue;
            };
            let Some(target) = self.scheduled_target(run, source, is_short, now) else {
                continue;
            };
            let distance = self.distance(source, &target);
            let wait = link.result_wait(candidate.tokens, distance);
            let queue = self.incoming_copy_time(&target, link);
            let move_time = link.move_time(candidate.tokens, distance);
            let is_late = left.is_some_and(|left| queue.saturating_add(move_time) > left);
            if is_late && !queue.is_zero() {
                // It would take time on the target's link from copies that can be finished.
                continue;
            }
            let order = MoveOrder {
                run: candidate.run.to_owned(),
                entry: run.entry.clone(),
                source: source.id.clone(),
                target,
                target_counted: false,
            };
            if !is_late {
                return Some((order, wait));
            }
            // The engine may last longer than expected, but others can be saved for certain.
            late.get_or_insert((order, wait));
        }
        late
    }

    fn distance(&self, source: &ListedEngine, target: &str) -> CopyDistance {
        let target = self.engines.get(target);
        let listed = target.and_then(|target| target.listed.as_ref());
        if listed.is_some_and(|listed| listed.hall == source.hall) {
            CopyDistance::SameHall
        } else {
            CopyDistance::OtherHall
        }
    }

    /// Returns the engine to move a generation to. If the link is short of time, any engine in the
    /// same hall goes before those in others, and an engine that receives a copy already goes
    /// before none.
    fn scheduled_target(
        &self,
        run: &Run,
        source: &ListedEngine,
        is_short: bool,
        now: Duration,
    ) -> Option<String> {
        let busy = self.engines_in_moves();
        if !is_short {
            return self.best_target(run, source, &busy, now);
        }
        let mut busy_or_far = busy.clone();
        busy_or_far.extend(self.engines_outside(&source.hall));
        self.best_target(run, source, &busy_or_far, now)
            .or_else(|| self.best_target(run, source, &busy, now))
            .or_else(|| self.best_target(run, source, &self.engines_receiving_most(), now))
    }

    /// Returns the time that the copies in progress to an engine take at most.
    fn incoming_copy_time(&self, target: &str, link: CopyLink) -> Duration {
        let incoming = self.engines.get(target).into_iter();
        let incoming = incoming.flat_map(|engine| &engine.incoming);
        let runs = incoming.filter_map(|name| self.runs.get(name));
        let times =
            runs.map(|run| link.copy_time(run.reported.current_tokens(), CopyDistance::SameHall));
        times.fold(Duration::ZERO, Duration::saturating_add)
    }

    fn engines_outside(&self, hall: &str) -> impl Iterator<Item = String> {
        let listed = self.engines.values();
        let listed = listed.filter_map(|engine| engine.listed.as_ref());
        listed
            .filter(move |listed| listed.hall != hall)
            .map(|listed| listed.id.clone())
    }

    /// Returns the engines that receive as many copies as they may.
    fn engines_receiving_most(&self) -> BTreeSet<String> {
        let engines = self.engines.iter();
        let full = engines.filter(|(_, engine)| engine.incoming.len() >= INCOMING_COPIES_MAX);
        full.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the generations on leaving engines that are gone since the last plan, each once. Those
    /// on an engine that lasted as long as expected were told before.
    fn take_ended_early(&mut self) -> Vec<MissedMove> {
        let mut missed = Vec::new();
        for source in self.move_records.leaving_engines() {
            let engine = self.engines.get(source);
            let ended = engine.filter(|engine| engine.listed.is_none());
            let names = ended.into_iter().flat_map(|engine| &engine.runs);
            let untold = names
                .filter_map(|name| self.runs.get(name))
                .filter(|run| !self.move_records.is_missed(&run.reported.demand.run));
            missed.extend(untold.map(|run| MissedMove {
                run: run.reported.demand.run.clone(),
                source: source.to_owned(),
                reason: if run.moving_to.is_some() {
                    MissReason::CopyUnfinished
                } else {
                    MissReason::EndedEarly
                },
            }));
        }
        for missed in &missed {
            self.move_records.record_missed(&missed.run);
        }
        missed
    }

    /// Returns the generations on an engine that have become impossible to move before its expected
    /// end, or that are still there then, each once.
    fn take_missed_moves(
        &mut self,
        source: &ListedEngine,
        link: CopyLink,
        now: Duration,
    ) -> Vec<MissedMove> {
        if source.leaves_at.is_none() {
            return Vec::new();
        }
        let left = time_left(source, now);
        let names = self.engines.get(&source.id);
        let names = names.into_iter().flat_map(|engine| &engine.runs);
        let untold = names
            .filter_map(|name| self.runs.get(name))
            .filter(|run| !self.move_records.is_missed(&run.reported.demand.run));
        let missed = untold.filter_map(|run| {
            let reason = match left {
                Some(left) => self.miss_reason(run, source, left, link, now)?,
                None if run.moving_to.is_some() => MissReason::CopyUnfinished,
                None => MissReason::ExpectedToEnd,
            };
            Some(MissedMove {
                run: run.reported.demand.run.clone(),
                source: source.id.clone(),
                reason,
            })
        });
        let missed: Vec<MissedMove> = missed.collect();
        for missed in &missed {
            self.move_records.record_missed(&missed.run);
        }
        missed
    }

    /// Returns why a generation can no longer be moved in the time left; `None` if it can, or need
    /// not.
    fn miss_reason(
        &self,
        run: &Run,
        source: &ListedEngine,
        left: Duration,
        link: CopyLink,
        now: Duration,
    ) -> Option<MissReason> {
        let candidate = self.candidate(run);
        if run.moving_to.is_some() || candidate.prospect(Some(left), link) != Prospect::TooLong {
            return None;
        }
        let notice = left + self.move_records.known_for(&source.id, now);
        let move_time = link.move_time(candidate.tokens, CopyDistance::SameHall);
        let has_target = || {
            let target = self.best_target(run, source, &BTreeSet::new(), now);
            target.is_some()
        };
        let reason = if move_time > notice {
            MissReason::NoticeTooShort
        } else if run.reported.generated_tokens == 0 {
            MissReason::NoOutput
        } else if !has_target() {
            MissReason::NoRoom
        } else if candidate.failed_moves > 0 {
            MissReason::OrderFailed
        } else {
            MissReason::LinkBusy
        };
        Some(reason)
    }
}
