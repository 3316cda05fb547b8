//! A generation on an engine: its demand, and the memory and time that it is predicted to take.

use std::time::Duration;

use serde::Serialize;

use super::permits::LimitShare;
use super::region::AllowedRegions;
use super::rollout_evidence::Version;

/// Tokens that a generation decodes in a second on an engine shared with several others.
pub(super) const DECODE_TOKENS_PER_S: f64 = 64.0;
/// How far ahead memory use is predicted. It is longer than an owner takes to learn that a
/// generation ended, and no longer than new generations wait for capacity: tokens generated later
/// use memory that others have freed by then.
const PREDICTION_HORIZON: Duration = Duration::from_millis(1_200);
/// Generations expected to end within this time are moved last.
const ENDS_SOON_WITHIN: Duration = Duration::from_millis(700);
/// Expected output as a share of the maximum if the caller gives no hint.
const OUTPUT_SHARE_DEFAULT: f64 = 0.35;
/// Time from a grant to the first token on an engine shared with several others.
const TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(400);
/// Weight of the caller's hint against [`OUTPUT_SHARE_DEFAULT`], on a logarithmic scale: hints are
/// right in the median, but single ones are far off.
const HINT_WEIGHT: f64 = 0.5;

/// Resources that a generation needs.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RunDemand {
    /// Id of the generation.
    pub run: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    #[serde(rename = "made_max_tokens")]
    pub generated_max_tokens: u32,
    /// The caller's estimate of the number of output tokens.
    #[serde(rename = "made_hint_tokens")]
    pub generated_hint_tokens: Option<f64>,
    /// Rank among the generations that compete for engines; 0 is served first.
    pub priority: u32,
    /// Client account that asked for it; `None` if calls need no key.
    pub account: Option<String>,
    /// Longest pause between events at which the answer is still in time.
    pub pause_max: Option<Duration>,
    /// Time from the request for a place within which its first event meets the latency objective.
    pub first_event_within: Option<Duration>,
    /// Whether a standby copy is wanted: nobody may run it again, and its content is not suspected.
    pub wants_copy: bool,
    /// Requirements for the engine, apart from its capacity.
    pub requirements: EngineRequirements,
}

/// Requirements of a generation for its engine, apart from the engine's capacity.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct EngineRequirements {
    /// Version that it runs on while a roll-out compares two versions.
    pub version: Version,
    /// Regions in which it may run.
    pub regions: AllowedRegions,
}

/// An engine as described by the endpoint list and the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub struct ListedEngine {
    /// Id of this incarnation of the engine.
    pub id: String,
    /// Hall where it is located.
    pub hall: String,
    /// Region of the hall.
    pub region: String,
    /// Its software version while a roll-out compares two versions; `None` at other times.
    pub version: Option<Version>,
    /// Generations decoded concurrently.
    pub slots: u32,
    /// KV-cache memory in tokens.
    pub memory_tokens: u32,
    /// Whether its generations have to be moved off.
    pub leaving: bool,
    /// Time at which it is expected to end, if it is leaving and the time is known.
    pub leaves_at: Option<Duration>,
    /// Whether it accepts no new generations, although running ones may stay.
    pub closed: bool,
    /// Whether generations can be moved off it.
    #[serde(rename = "moves")]
    pub supports_migration: bool,
    /// Whether it sends copies of its generations to a second engine, and keeps those of others.
    #[serde(rename = "backups")]
    pub supports_copies: bool,
    /// Rate limit while it is cold; `None` if it is warm or no limit is configured.
    pub cold: Option<ColdLimit>,
    /// Rate limit that it announced for all instances together, and this instance's share of it;
    /// `None` if it announced none.
    pub limit: Option<LimitShare>,
}

impl ListedEngine {
    /// Returns whether its generations have to be moved off it, and can be.
    pub(super) fn must_be_emptied(&self) -> bool {
        self.leaving && self.supports_migration
    }

    /// Returns whether the engine meets the requirements of a generation.
    #[must_use]
    pub fn meets(&self, requirements: &EngineRequirements) -> bool {
        let has_version = self
            .version
            .is_none_or(|version| version == requirements.version);
        has_version && requirements.regions.contains(&self.region)
    }
}

/// Rate limit of an engine that has recently started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ColdLimit {
    /// Time at which the engine counts as warm.
    pub until: Duration,
    /// Requests per second that this instance may send to it until then.
    pub share_per_s: u32,
}

/// A generation as reported by its entry instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportedRun {
    /// Its demand.
    pub demand: RunDemand,
    /// Engine that runs it.
    pub endpoint: String,
    /// Engine that keeps a copy of its memory.
    #[serde(rename = "copy")]
    pub copy_at: Option<String>,
    /// Tokens generated so far.
    #[serde(rename = "made_tokens")]
    pub generated_tokens: u32,
}

/// An order to an entry instance to move one of its generations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveOrder {
    /// Id of the generation.
    pub run: String,
    /// Instance that serves it.
    pub entry: String,
    /// Engine that it is moved from.
    pub source: String,
    /// Engine that it is moved to.
    pub target: String,
    /// Whether resuming on the target was counted against the target's rate limit.
    pub target_counted: bool,
}

/// Result of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveResult {
    /// The memory was copied, and the generation continues on the target.
    Copied,
    /// The entry instance no longer serves this generation.
    RunGone,
    /// The target had no capacity.
    NoRoom,
    /// Any other failure.
    Failed,
}

/// Returns the number of tokens that a generation decodes within the horizon.
fn growth_within_horizon(tokens_per_s: f64) -> f64 {
    tokens_per_s * PREDICTION_HORIZON.as_secs_f64()
}

impl RunDemand {
    /// Returns the expected total number of output tokens.
    pub(super) fn expected_output_tokens(&self) -> f64 {
        let max_tokens = f64::from(self.generated_max_tokens.max(1));
        let prior = (max_tokens * OUTPUT_SHARE_DEFAULT).max(1.0);
        let hint = self
            .generated_hint_tokens
            .unwrap_or(prior)
            .clamp(1.0, max_tokens);
        let blended = prior.ln() * (1.0 - HINT_WEIGHT) + hint.ln() * HINT_WEIGHT;
        blended.exp().min(max_tokens)
    }

    /// Returns the time for which the generation is expected to hold its memory.
    pub(super) fn expected_holding(&self) -> Duration {
        let decoding_s = self.expected_output_tokens() / DECODE_TOKENS_PER_S;
        TIME_TO_FIRST_TOKEN + Duration::from_secs_f64(decoding_s)
    }

    /// Returns the predicted memory, in tokens, when the generation ends.
    pub(super) fn predicted_tokens_at_end(&self) -> f64 {
        f64::from(self.prompt_tokens) + self.expected_output_tokens()
    }

    /// Returns the memory that the generation is expected to take, multiplied by the time for which
    /// it holds it.
    pub(super) fn expected_token_seconds(&self) -> f64 {
        self.predicted_tokens_at_end() * self.expected_holding().as_secs_f64()
    }

    /// Returns whether the generation is expected to end within the horizon.
    pub(super) fn ends_within_horizon(&self) -> bool {
        self.expected_output_tokens() <= growth_within_horizon(DECODE_TOKENS_PER_S)
    }

    /// Returns the predicted memory, in tokens, at the end of the horizon after the start.
    pub(super) fn predicted_tokens_at_start(&self) -> f64 {
        let growth_tokens = growth_within_horizon(DECODE_TOKENS_PER_S);
        f64::from(self.prompt_tokens) + self.expected_output_tokens().min(growth_tokens)
    }
}

impl ReportedRun {
    /// Returns the memory in use now, in tokens.
    pub(super) fn current_tokens(&self) -> f64 {
        f64::from(self.demand.prompt_tokens) + f64::from(self.generated_tokens)
    }

    /// Returns the expected number of tokens still to be generated, at most up to the maximum. It is
    /// at least a quarter of those generated so far, because hints are often too short.
    pub(super) fn remaining_tokens(&self) -> f64 {
        let generated = f64::from(self.generated_tokens);
        let max_tokens = f64::from(self.demand.generated_max_tokens);
        let expected = self.demand.expected_output_tokens() - generated;
        expected
            .max(generated * 0.25)
            .min(max_tokens - generated)
            .max(0.0)
    }

    /// Returns the predicted memory, in tokens, at the end of the horizon on an engine that decodes
    /// this many tokens of it in a second.
    pub(super) fn predicted_tokens(&self, tokens_per_s: f64) -> f64 {
        let growth_tokens = growth_within_horizon(tokens_per_s);
        self.current_tokens() + self.remaining_tokens().min(growth_tokens)
    }

    /// Returns the predicted memory, in tokens, at the end of the horizon on an engine of usual rate.
    pub(super) fn usual_predicted_tokens(&self) -> f64 {
        self.predicted_tokens(DECODE_TOKENS_PER_S)
    }

    pub(super) fn is_ending_soon(&self) -> bool {
        self.remaining_tokens() < DECODE_TOKENS_PER_S * ENDS_SOON_WITHIN.as_secs_f64()
    }
}
