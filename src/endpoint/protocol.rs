//! Messages of the protocol that endpoints speak; docs/ENDPOINTS.md describes it.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::kernel::policy::LoadedModel;

/// Header that carries the request id both ways.
pub const REQUEST_ID_HEADER: &str = "larkwick-request-id";
/// Header that carries the attempt id both ways.
pub const ATTEMPT_ID_HEADER: &str = "larkwick-attempt-id";
/// Header of a refusal before admission; its value is the attempt id.
pub const NOT_ADMITTED_HEADER: &str = "larkwick-not-admitted";

/// Asks an engine for a generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// The request, as the caller sees it.
    pub request_id: Uuid,
    /// This attempt at it.
    pub attempt_id: Uuid,
    /// Client account; a resume must name the same one.
    pub account: String,
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// Prompt.
    pub prompt: String,
    /// Hash of the prompt's beginning, for the prefix cache.
    pub prefix: u64,
    /// Longest output.
    pub max_tokens: u32,
    /// Seed of the sampling.
    pub seed: u64,
    /// Higher goes first.
    pub priority: i32,
}

/// One line of a generation's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EngineEvent {
    /// Always first.
    Started(Started),
    /// One token.
    Token {
        /// From 0, each once.
        index: u32,
        /// Text.
        text: String,
    },
    /// Always last; a stream without it was cut.
    Done {
        /// `stop` or `length`.
        reason: FinishReason,
        /// Tokens in all.
        tokens: u32,
    },
    /// Last instead of `Done`: the engine gave the generation up.
    Failed {
        /// For a person.
        message: String,
    },
}

/// First line of a generation's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// The engine's own number of the generation.
    pub number: u64,
    /// Incarnation of the endpoint.
    pub incarnation: Uuid,
    /// Echo.
    pub request_id: Uuid,
    /// Echo.
    pub attempt_id: Uuid,
    /// Client account it belongs to.
    pub account: String,
    /// Model.
    pub model: String,
    /// Version that decodes it.
    pub version: String,
    /// Prompt, in tokens.
    pub prompt_tokens: u32,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// The declared maximum was reached.
    Length,
}

/// A cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one; a gap shows that events were lost.
    pub sequence: u64,
    /// Prefix now held.
    pub prefix: u64,
}

/// Desired state of an engine, under the hall's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Fence of the lease.
    pub fence: u64,
    /// Models to hold, and no others.
    pub models: Vec<LoadedModel>,
    /// Size of each model's weights, in the same order, in bytes.
    pub weights_bytes: Vec<u64>,
}

/// What an engine is doing about orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// Fence of the order in force; 0 for none.
    pub fence: u64,
    /// Models that the order in force asks for.
    pub desired: Vec<LoadedModel>,
    /// Models loaded.
    pub loaded: Vec<LoadedModel>,
}
