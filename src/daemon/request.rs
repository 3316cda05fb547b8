//! Typed form of a caller's request, in which it is also relayed to peers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::kernel::ticket::Ticket;

/// A caller's request, as the handling entry parsed it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Request id, assigned by the entry that received the request.
    pub request_id: Uuid,
    /// Bearer key that identifies the client account.
    pub bearer_key: String,
    /// Options from the headers.
    pub options: RequestOptions,
    /// The requested work.
    pub work: RequestedWork,
}

/// Options that a caller sets in the headers of a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestOptions {
    /// Whether larkwick may retry the request after a failed attempt that may have run.
    pub repeatable: bool,
    /// Ticket from `/v1/entries`.
    pub ticket: Option<Ticket>,
    /// Idempotency key that the caller assigned to the request.
    pub idempotency_key: Option<String>,
    /// Time from arrival after which the caller has no more use for the response.
    pub deadline: Option<Duration>,
}

/// The work that a request asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RequestedWork {
    /// A new generation.
    Generation(GenerationParams),
    /// Resumes a generation after an event.
    Resume {
        /// Id of the last event that the caller received.
        last_event_id: String,
    },
    /// A call of a plain service.
    Service {
        /// Name of the service.
        service: String,
        /// Path that follows the service's name in the URL.
        path: String,
        /// Content type of the body.
        content_type: String,
        /// Request body.
        body: Vec<u8>,
    },
}

/// The parameters of a generation that a caller requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerationParams {
    /// Name of the model.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Maximum output length in tokens; defaults to the model's maximum.
    pub max_tokens: Option<u32>,
    /// Sampling seed; defaults to a random one.
    pub seed: Option<u64>,
    /// Whether the response is streamed, which allows it to be moved to another entry.
    pub streamed: bool,
}
