//! Requests for reservations and the decisions on them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::error::Error;

/// A request to reserve capacity on one of the group's endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Idempotency id chosen by the entry. A duplicate of a granted or queued request gets the same
    /// decision.
    pub reservation_id: Uuid,
    /// Instance that will stream the output to the caller.
    pub entry: String,
    /// Client account.
    pub account: String,
    /// Fair-queueing weight of the account.
    pub share: u32,
    /// Name of the model.
    pub model: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Declared maximum length of the output, in tokens.
    pub max_tokens: u32,
    /// Queue priority; requests with higher values are granted first.
    pub priority: i32,
    /// Time left until the deadline of the request; zero for a request that must not be queued.
    pub deadline: Duration,
    /// Hash of the beginning of the prompt, for prefix-cache affinity.
    pub prefix: u64,
    /// Names of the endpoints that the rules allow.
    pub candidates: Vec<String>,
}

/// A granted reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Id of the reservation.
    pub reservation_id: Uuid,
    /// Endpoint that serves the request.
    pub endpoint: String,
}

/// Immediate decision on a [`ReserveRequest`].
#[derive(Debug, Clone)]
pub enum Decision {
    /// Capacity is reserved.
    Granted(Grant),
    /// The request is queued; [`process_queue`](super::GroupLedger::process_queue) decides on it later.
    Queued,
    /// The request is refused and not queued.
    Refused(Error),
}

/// Decision on a queued request.
#[derive(Debug, Clone)]
pub struct QueueDecision {
    /// Id of the reservation.
    pub reservation_id: Uuid,
    /// The grant, or the error to answer with.
    pub result: Result<Grant, Error>,
}

/// A reservation that expired because its entry stopped reporting progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiredReservation {
    /// Endpoint of the reservation.
    pub endpoint: String,
    /// Id of the generation on the endpoint, if the entry has reported it.
    pub generation: Option<String>,
}
