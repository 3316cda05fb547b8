//! Schedule of the moves off an engine that ends at a known time.
//!
//! Answers full engines that leave 1.5 s after the notice: copying all of their memory takes their
//! link about as long, or twice as long if it goes to another hall. The link must not idle, must
//! not copy what is not finished in time, and must not copy what ends by itself.
//!
//! One copy at a time leaves an engine. The next one begins only after the last step of the move
//! before it: on the link it would delay that step, for which the stopped generation's caller waits.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::engine_run::MoveOrder;

/// Time from planning a move to the start of its copy, and from the end of the copy to the end of
/// the generation's last step at the engine.
const MOVE_OVERHEAD: Duration = Duration::from_millis(10);
/// A generation expected to end within this share of the time left is not moved. The others that
/// may end in time are moved last, as estimates of the length are often too short.
const ENDS_EARLY_SHARE: f64 = 0.5;
/// Time left that is assumed if the engine's end is unknown, to tell which generations may end by
/// themselves.
const TIME_LEFT_UNKNOWN: Duration = Duration::from_millis(700);
/// Number of failed moves of a generation, one after the other, that are repeated at once.
const REPEATS_AT_ONCE_MAX: u32 = 3;
/// Number of copies that an engine receives at once if no other engine can.
pub(super) const INCOMING_COPIES_MAX: usize = 2;
/// Shortest wait for the result of an order, for copies that take next to no time.
const RESULT_WAIT_MIN: Duration = Duration::from_millis(300);

/// Whether a copy stays within a hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyDistance {
    /// Both engines are in the same hall.
    SameHall,
    /// They are in different halls, between which copies take twice as long.
    OtherHall,
}

/// Link of an engine over which generations' memory is copied.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CopyLink {
    /// Bytes per token of memory.
    pub token_bytes: u64,
    /// Bandwidth within a hall.
    pub link_mbps: f64,
}

impl CopyLink {
    /// Returns the time that copying this many tokens takes on an idle link.
    #[must_use]
    pub fn copy_time(self, tokens: f64, distance: CopyDistance) -> Duration {
        let factor = match distance {
            CopyDistance::SameHall => 1.0,
            CopyDistance::OtherHall => 2.0,
        };
        #[expect(clippy::cast_precision_loss, reason = "bytes of one token")]
        let bits = tokens * self.token_bytes as f64 * 8.0 * factor;
        let seconds = bits / (self.link_mbps * 1e6);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the time from planning a move to its end on idle links.
    #[must_use]
    pub fn move_time(self, tokens: f64, distance: CopyDistance) -> Duration {
        self.copy_time(tokens, distance)
            .saturating_add(MOVE_OVERHEAD)
    }

    /// Returns how long the result of an order is waited for. An order or result that was lost must
    /// not keep the engine's other generations waiting until it ends.
    #[must_use]
    pub fn result_wait(self, tokens: f64, distance: CopyDistance) -> Duration {
        let expected = self.move_time(tokens, distance);
        // Its target may be receiving another copy that goes first.
        expected.saturating_mul(3).max(RESULT_WAIT_MIN)
    }
}

/// A generation that may be moved off a leaving engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate<'a> {
    /// Id of the generation.
    pub run: &'a str,
    /// Tokens in memory, all of which are copied.
    pub tokens: f64,
    /// Tokens that it is expected to generate still.
    pub remaining_tokens: f64,
    /// Tokens that it generates in a second.
    pub tokens_per_s: f64,
    /// Work that is lost with it, in prompt tokens.
    pub lost_work_tokens: f64,
    /// Moves of it that failed one after the other.
    pub failed_moves: u32,
}

/// What the time left allows for a generation, the most pressing first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Prospect {
    /// It is saved by a move.
    Movable,
    /// It may end before its engine does.
    MayEnd,
    /// Its copy is not expected to be finished in time.
    TooLong,
    /// It ends well before its engine does.
    EndsEarly,
}

impl Candidate<'_> {
    /// Returns what the time left allows; `time_left` is `None` if the engine's end is unknown.
    #[must_use]
    pub fn prospect(&self, time_left: Option<Duration>, link: CopyLink) -> Prospect {
        let left = time_left.unwrap_or(TIME_LEFT_UNKNOWN);
        let ends_in_s = self.remaining_tokens / self.tokens_per_s;
        if time_left.is_some() && ends_in_s <= left.as_secs_f64() * ENDS_EARLY_SHARE {
            Prospect::EndsEarly
        } else if ends_in_s <= left.as_secs_f64() {
            Prospect::MayEnd
        } else if time_left.is_some_and(|left| self.shortest_move(link) > left) {
            Prospect::TooLong
        } else {
            Prospect::Movable
        }
    }

    /// Returns the time that a move within the hall takes.
    fn shortest_move(&self, link: CopyLink) -> Duration {
        link.move_time(self.tokens, CopyDistance::SameHall)
    }

    /// Returns the work saved per token copied, which is the same as per time on the link.
    fn work_per_copied_token(&self) -> f64 {
        self.lost_work_tokens / self.tokens.max(1.0)
    }

    /// Compares generations of the same prospect; the one to move first is less.
    fn compare_for(&self, other: &Self, prospect: Prospect) -> Ordering {
        if prospect == Prospect::TooLong {
            return self.tokens.total_cmp(&other.tokens);
        }
        let by_failures = self.failed_moves.cmp(&other.failed_moves);
        let by_work = other
            .work_per_copied_token()
            .total_cmp(&self.work_per_copied_token());
        by_failures.then(by_work)
    }
}

/// Returns the generations to move, in this order. Those that end well before their engine does are
/// left out.
#[must_use]
pub fn order_candidates<'a>(
    candidates: &[Candidate<'a>],
    time_left: Option<Duration>,
    link: CopyLink,
) -> Vec<Candidate<'a>> {
    let judged = candidates
        .iter()
        .map(|candidate| (candidate.prospect(time_left, link), *candidate));
    let mut judged: Vec<(Prospect, Candidate<'a>)> = judged
        .filter(|(prospect, _)| *prospect != Prospect::EndsEarly)
        .collect();
    judged.sort_by(|(prospect, left), (other, right)| {
        let by_prospect = prospect.cmp(other);
        by_prospect.then_with(|| left.compare_for(right, *prospect))
    });
    judged.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Returns whether moving all these generations takes the link longer than the time left, even
/// within the hall.
#[must_use]
pub fn is_link_short(
    candidates: &[Candidate<'_>],
    time_left: Option<Duration>,
    link: CopyLink,
) -> bool {
    let times = candidates
        .iter()
        .map(|candidate| candidate.shortest_move(link));
    let total = times.fold(Duration::ZERO, Duration::saturating_add);
    // Between halls it would take twice as long.
    time_left.is_some_and(|left| total.saturating_mul(2) > left)
}

/// Why a generation was not moved before its engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MissReason {
    /// Copying its memory takes longer than the whole notice.
    NoticeTooShort,
    /// The engine's link was busy with the memory of others until then.
    LinkBusy,
    /// No engine had room for it.
    NoRoom,
    /// The orders to move it failed.
    OrderFailed,
    /// It had generated nothing yet, so that it could not continue elsewhere.
    NoOutput,
    /// Its copy was in progress at the end.
    CopyUnfinished,
    /// It was expected to end by itself before.
    ExpectedToEnd,
    /// Its engine ended before it was expected to.
    EndedEarly,
}

impl MissReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoticeTooShort => "notice_too_short",
            Self::LinkBusy => "link_busy",
            Self::NoRoom => "no_room",
            Self::OrderFailed => "order_failed",
            Self::NoOutput => "no_output",
            Self::CopyUnfinished => "copy_unfinished",
            Self::ExpectedToEnd => "expected_to_end",
            Self::EndedEarly => "engine_ended_early",
        }
    }
}

/// A generation that is not moved before the expected end of its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissedMove {
    /// Id of the generation.
    pub run: String,
    /// Engine that leaves.
    pub source: String,
    /// Why it was not moved.
    pub reason: MissReason,
}

/// Result of planning.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MovePlan {
    /// Moves to start now, with the time to wait for the result of each.
    pub orders: Vec<(MoveOrder, Duration)>,
    /// Generations that have become impossible to save since the last plan. They are moved
    /// nevertheless if their engine outlives its notice.
    pub missed: Vec<MissedMove>,
}

/// What an owner remembers of moves; a new owner starts without it and plans from the reports.
#[derive(Debug, Default)]
pub(super) struct MoveRecords {
    /// When each leaving engine was first planned for. Holds only leaving engines.
    first_planned_at: BTreeMap<String, Duration>,
    /// Failed moves of a generation, one after the other. Holds only running generations.
    failed_moves: BTreeMap<String, u32>,
    /// Generations that were told as missed. Holds only running generations.
    missed: BTreeSet<String>,
}

impl MoveRecords {
    /// Drops engines and generations that are gone, and notes engines that leave since now.
    pub(super) fn sync<'a>(
        &mut self,
        leaving: impl Iterator<Item = &'a str>,
        is_running: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        let leaving: BTreeSet<&str> = leaving.collect();
        self.first_planned_at
            .retain(|engine, _| leaving.contains(engine.as_str()));
        for engine in leaving {
            self.first_planned_at
                .entry(engine.to_owned())
                .or_insert(now);
        }
        self.failed_moves.retain(|run, _| is_running(run));
        self.missed.retain(|run| is_running(run));
    }

    /// Returns the engines that were leaving when the records were last synced.
    pub(super) fn leaving_engines(&self) -> impl Iterator<Item = &str> {
        self.first_planned_at.keys().map(String::as_str)
    }

    /// Returns for how long it has been known that an engine leaves.
    pub(super) fn known_for(&self, engine: &str, now: Duration) -> Duration {
        let first = self.first_planned_at.get(engine).copied();
        now.saturating_sub(first.unwrap_or(now))
    }

    /// Returns the number of moves of a generation that failed one after the other.
    pub(super) fn failed_moves(&self, run: &str) -> u32 {
        self.failed_moves.get(run).copied().unwrap_or_default()
    }

    /// Records a failed move; returns whether the next one is due at once.
    pub(super) fn record_failure(&mut self, run: &str) -> bool {
        let failed = self.failed_moves.entry(run.to_owned()).or_default();
        *failed = failed.saturating_add(1);
        *failed <= REPEATS_AT_ONCE_MAX
    }

    /// Records a move that succeeded.
    pub(super) fn record_success(&mut self, run: &str) {
        self.failed_moves.remove(run);
        self.missed.remove(run);
    }

    /// Records that a generation is missed.
    pub(super) fn record_missed(&mut self, run: &str) {
        self.missed.insert(run.to_owned());
    }

    /// Returns whether a generation was told as missed.
    pub(super) fn is_missed(&self, run: &str) -> bool {
        self.missed.contains(run)
    }
}
