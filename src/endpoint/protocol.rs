//! Messages of the endpoint protocol, which docs/ENDPOINTS.md describes.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::kernel::policy::LoadedModel;

/// Header with the request id, in requests and responses.
pub const REQUEST_ID_HEADER: &str = "larkwick-request-id";
/// Header with the attempt id, in requests and responses.
pub const ATTEMPT_ID_HEADER: &str = "larkwick-attempt-id";
/// Header of a response that refuses a request before admission. Its value is the attempt id.
pub const NOT_ADMITTED_HEADER: &str = "larkwick-not-admitted";

/// Request to an engine to start a generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Id of the caller's request, the same for all attempts.
    pub request_id: Uuid,
    /// Id of this attempt.
    pub attempt_id: Uuid,
    /// Client account. Only the same account can resume the generation.
    pub account: String,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Prompt text.
    pub prompt: String,
    /// Hash of the beginning of the prompt, the key of the prefix cache.
    pub prefix: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Sampling seed.
    pub seed: u64,
    /// Scheduling priority; a higher value is served first.
    pub priority: i32,
}

/// One line of an engine's response to a generation request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EngineEvent {
    /// The generation has started. Always the first event.
    Started(Started),
    /// One generated token.
    Token {
        /// Index of the token, from 0; each index occurs once.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The generation is complete. A stream that ends without `Done` or `Failed` was cut off.
    Done {
        /// Why the generation ended.
        reason: FinishReason,
        /// Number of generated tokens.
        tokens: u32,
    },
    /// The engine aborted the generation. Takes the place of `Done` as the last event.
    Failed {
        /// Human-readable reason.
        message: String,
    },
}

/// The first event of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// Number that the engine gave the generation.
    pub number: u64,
    /// Incarnation of the endpoint.
    pub incarnation: Uuid,
    /// Request id, echoed from the request.
    pub request_id: Uuid,
    /// Attempt id, echoed from the request.
    pub attempt_id: Uuid,
    /// Client account that owns the generation.
    pub account: String,
    /// Model name.
    pub model: String,
    /// Model version that runs the generation.
    pub version: String,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the generation.
    Stop,
    /// The generation reached `max_tokens`.
    Length,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases by one. A gap means that events were lost.
    pub sequence: u64,
    /// Hash of the prefix that is now cached.
    pub prefix: u64,
}

/// The desired state of an engine, ordered by the holder of the hall's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Fence (fencing token) of the lease.
    pub fence: u64,
    /// Models to keep loaded, to the exclusion of all others.
    pub models: Vec<LoadedModel>,
    /// Size of each model's weights in bytes, in the order of `models`.
    pub weights_bytes: Vec<u64>,
}

/// The state of an engine with regard to orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// Fence of the order in force, or 0 if there is none.
    pub fence: u64,
    /// Models that the order in force requires.
    pub desired: Vec<LoadedModel>,
    /// Models that are loaded.
    pub loaded: Vec<LoadedModel>,
}
