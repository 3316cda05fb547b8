//! An engine in the ledger: the generations on it, and the memory and slots that they use.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;

use super::pace::ObservedPace;
use super::{ListedEngine, MoveResult, ReportedRun};
use crate::kernel::engine_run::DECODE_TOKENS_PER_S;

/// A failed move is retried after this delay, which doubles with each further failure of the
/// generation.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Number of times that the delay doubles at most.
const MOVE_RETRY_DOUBLINGS_MAX: u32 = 4;

/// The grant of a generation's engine.
#[derive(Debug, Clone, Copy, Serialize)]
pub(in crate::kernel) struct Grant {
    pub(in crate::kernel) at: Duration,
    /// Prompt tokens that the engine had to read until the first event: its own and those ahead.
    pub(in crate::kernel) unread_tokens: f64,
}

/// A generation as recorded in the ledger.
#[derive(Debug, Clone, Serialize)]
pub(in crate::kernel) struct Run {
    pub(in crate::kernel) reported: ReportedRun,
    /// Instance that serves it.
    pub(in crate::kernel) entry: String,
    /// Time of the grant or of the last report.
    #[serde(rename = "at")]
    pub(in crate::kernel) updated_at: Duration,
    /// Whether a report has confirmed it.
    pub(in crate::kernel) confirmed: bool,
    /// Target engine of the move in progress.
    pub(in crate::kernel) moving_to: Option<String>,
    /// No further move before this time.
    pub(in crate::kernel) next_move_at: Duration,
    /// Moves that its engine has failed one after the other.
    pub(super) failed_moves: u32,
    /// Its grant, if this ledger made it and no report has told a generated token yet.
    pub(super) grant: Option<Grant>,
}

impl Run {
    /// Returns whether its memory can be copied to another engine: it has generated something, and no
    /// move of it is in progress.
    pub(in crate::kernel) fn can_be_moved(&self) -> bool {
        self.confirmed && self.moving_to.is_none() && self.reported.generated_tokens > 0
    }

    /// Returns whether it was last known to run on this engine.
    pub(super) fn runs_on(&self, endpoint: &str) -> bool {
        self.reported.endpoint == endpoint
    }

    /// Returns a generation that was granted an engine.
    pub(in crate::kernel) fn granted(reported: ReportedRun, entry: &str, grant: Grant) -> Self {
        Self {
            reported,
            entry: entry.to_owned(),
            updated_at: grant.at,
            confirmed: false,
            moving_to: None,
            next_move_at: Duration::ZERO,
            failed_moves: 0,
            grant: Some(grant),
        }
    }

    /// Sets when it may be moved next after a move with this result.
    pub(super) fn schedule_next_move(&mut self, result: MoveResult, now: Duration) {
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
pub(in crate::kernel) struct Engine {
    /// The engine as listed; `None` if it is no longer listed but generations are still reported to
    /// run on it.
    pub(in crate::kernel) listed: Option<ListedEngine>,
    pub(super) unavailable_until: Duration,
    /// Added to its fill when engines are compared; less than a token.
    pub(super) tie_breaker: f64,
    /// Generations that run on it.
    pub(in crate::kernel) runs: BTreeSet<String>,
    /// Generations that are being moved to it.
    pub(in crate::kernel) incoming: BTreeSet<String>,
    /// Generations that run elsewhere and of which it keeps a copy.
    pub(in crate::kernel) copies: BTreeSet<String>,
    /// Usage by `runs`, `incoming` and `copies` together.
    pub(in crate::kernel) usage: EngineUsage,
    /// What is known of its pace.
    pub(in crate::kernel) pace: ObservedPace,
}

/// Memory and slots used on an engine.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(in crate::kernel) struct EngineUsage {
    /// Tokens, including copies and those predicted to be generated within the horizon.
    pub(in crate::kernel) tokens: f64,
    /// Prompt tokens that have not been prefilled yet.
    #[serde(rename = "unread_tokens")]
    pub(in crate::kernel) prefill_backlog_tokens: f64,
    /// Slots taken by generations, including incoming ones.
    #[serde(rename = "places")]
    pub(in crate::kernel) used_slots: u32,
}

impl Engine {
    pub(in crate::kernel) fn is_leaving(&self) -> bool {
        self.listed.as_ref().is_none_or(|listed| listed.leaving)
    }

    /// Returns whether the engine accepts new generations, including moved ones.
    pub(in crate::kernel) fn is_open(&self) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| !listed.leaving && !listed.closed)
    }

    /// Returns whether the pause after a refusal or a failed connection is over.
    pub(in crate::kernel) fn is_available(&self, now: Duration) -> bool {
        now >= self.unavailable_until
    }

    /// Grants nothing on the engine before `until`, or before a later time that is set already.
    pub(super) fn avoid_until(&mut self, until: Duration) {
        self.unavailable_until = self.unavailable_until.max(until);
    }

    /// Returns the score by which engines are compared: the given fill plus the tie-breaker.
    pub(in crate::kernel) fn comparison_score(&self, fill: f64) -> f64 {
        fill + self.tie_breaker
    }

    /// Returns the tokens of one generation that the engine decodes in a second.
    pub(in crate::kernel) fn decode_tokens_per_s(&self) -> f64 {
        self.pace.decode_tokens_per_s.unwrap_or(DECODE_TOKENS_PER_S)
    }

    /// Returns the prompt tokens that the engine reads before the first event of a new generation.
    pub(in crate::kernel) fn tokens_before_first_event(&self, prompt_tokens: u32) -> f64 {
        self.usage.prefill_backlog_tokens + f64::from(prompt_tokens)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.incoming.is_empty()
    }

    /// Returns the fill of this engine with one more generation, or `None` if it has no free slot
    /// or the fill would exceed `fill_max`.
    pub(in crate::kernel) fn fill_with_run(
        &self,
        listed: &ListedEngine,
        run: &ReportedRun,
        fill_max: f64,
    ) -> Option<f64> {
        let run_tokens = run.predicted_tokens(self.decode_tokens_per_s());
        let fill = (self.usage.tokens + run_tokens) / f64::from(listed.memory_tokens);
        (self.usage.used_slots < listed.slots && fill <= fill_max).then_some(fill)
    }
}

impl EngineUsage {
    pub(super) fn add(&mut self, run: &ReportedRun, runs_here: bool, decode_tokens_per_s: f64) {
        self.tokens += run.predicted_tokens(decode_tokens_per_s);
        self.used_slots += 1;
        if runs_here && run.generated_tokens == 0 {
            self.prefill_backlog_tokens += f64::from(run.demand.prompt_tokens);
        }
    }

    /// Adds a copy of a generation that runs on another engine. It takes memory and no slot.
    pub(super) fn add_copy(&mut self, run: &ReportedRun) {
        self.tokens += run.usual_predicted_tokens();
    }
}
