//! A caller's request in typed form, as it also travels to a peer.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::kernel::ticket::Ticket;

/// A caller's request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallerRequest {
    /// Chosen by the entry that took it.
    pub request_id: Uuid,
    /// The bearer key.
    pub bearer_key: String,
    /// What the caller said besides the body.
    pub options: RequestOptions,
    /// What to do.
    pub work: RequestedWork,
}

/// Options from the headers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestOptions {
    /// Whether larkwick may run it again after a failure that may have run it.
    pub repeatable: bool,
    /// Ticket from `/v1/entries`.
    pub ticket: Option<Ticket>,
    /// The caller's name for the request.
    pub idempotency_key: Option<String>,
    /// Time from arrival until the answer is worthless.
    pub deadline: Option<Duration>,
}

/// What a request asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RequestedWork {
    /// A new generation.
    Generation(GenerationAsked),
    /// The rest of a generation after an event.
    Resume {
        /// The last event the caller has.
        last_event_id: String,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        service: String,
        /// Path after the service's name.
        path: String,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
}

/// A generation as a caller asks for it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GenerationAsked {
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Longest output; the model's maximum where absent.
    pub max_tokens: Option<u32>,
    /// Seed; random where absent.
    pub seed: Option<u64>,
    /// Whether the answer is streamed, and so can be moved to another entry.
    pub streamed: bool,
}
