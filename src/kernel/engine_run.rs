//! A generation on an engine: what it needs, and the memory and time that it is expected to take.

use std::time::Duration;

use serde::Serialize;

use super::permits::LimitShare;

/// Tokens that a generation makes in a second on an engine with several others; measured at 63 ms an event of 4.
const MADE_TOKENS_PER_S: f64 = 64.0;
/// How far ahead memory is predicted. Longer than an owner takes to learn of an end, and no longer than new ones wait for room: what is made later than
/// that meets the room that others have given back.
const HORIZON: Duration = Duration::from_millis(1_200);
/// A generation that is expected to end within this time is moved after the others.
const ENDS_SOON: Duration = Duration::from_millis(700);
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
    /// Whether what runs on it has to go.
    pub leaving: bool,
    /// Whether it takes no new generations, though what runs on it may stay.
    pub closed: bool,
    /// Whether generations can be moved off it.
    pub moves: bool,
    /// What it bears while it is cold; nothing where it is warm, or no bound is told.
    pub cold: Option<ColdEngine>,
    /// What it takes from all instances together, and the part that is placed from here; nothing where it names no limit.
    pub limit: Option<LimitShare>,
}

/// An engine that has just started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ColdEngine {
    /// Until when it is cold.
    pub until: Duration,
    /// Requests that it may be sent from here in any second until then.
    pub share_per_s: u32,
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
    /// Whether going on there is one of the requests that the target takes from all instances together.
    pub target_counted: bool,
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

/// Tokens that a generation makes within the horizon.
fn growth_within_horizon() -> f64 {
    MADE_TOKENS_PER_S * HORIZON.as_secs_f64()
}

impl RunDemand {
    /// Tokens expected to be made in all.
    pub(super) fn expected_made(&self) -> f64 {
        let most = f64::from(self.made_max_tokens.max(1));
        let usual = (most * MADE_SHARE).max(1.0);
        let hint = self.made_hint_tokens.unwrap_or(usual).clamp(1.0, most);
        let blended = usual.ln() * (1.0 - HINT_WEIGHT) + hint.ln() * HINT_WEIGHT;
        blended.exp().min(most)
    }

    /// Whether it is expected to end within the horizon.
    pub(super) fn ends_within_horizon(&self) -> bool {
        self.expected_made() <= growth_within_horizon()
    }

    /// Tokens in memory within the horizon after the start.
    pub(super) fn predicted_at_start(&self) -> f64 {
        f64::from(self.prompt_tokens) + self.expected_made().min(growth_within_horizon())
    }
}

impl ReportedRun {
    /// Tokens in memory now.
    pub(super) fn held(&self) -> f64 {
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
    pub(super) fn predicted(&self) -> f64 {
        self.held() + self.remaining().min(growth_within_horizon())
    }

    pub(super) fn ends_soon(&self) -> bool {
        self.remaining() < MADE_TOKENS_PER_S * ENDS_SOON.as_secs_f64()
    }
}
