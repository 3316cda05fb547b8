//! Heads of requests and responses as the gateway sees them, independent of their wire format.

use std::net::SocketAddr;
use std::time::Duration;

use crate::kernel::endpoint_signals::EndpointSignals;
use crate::kernel::prompt_segments::SegmentId;

/// The head of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallHead {
    /// Identifies this attempt of the caller; never empty.
    pub request_id: String,
    /// Requested host.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Time that the caller waits, counted from the arrival of the head.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Token demand, if the request is a generation.
    pub tokens: Option<TokenDemand>,
    /// Segments of the prompt that other prompts may have, too: all but the last, which belongs to
    /// the request or its session.
    pub shared_segments: Vec<SegmentId>,
    /// Last event that the caller received in an earlier attempt at the same generation.
    pub last_event_id: Option<String>,
}

/// Model and token counts that a generation requires of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenDemand {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub generated_max_tokens: u32,
    /// Number of tokens that the caller expects to be generated.
    pub generated_hint_tokens: Option<f64>,
}

/// Headers that larkwick sets on a request to an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointRequestHead<'a> {
    /// Listed name of the only endpoint that may run the request.
    pub endpoint_id: &'a str,
    /// Time left until the caller's deadline or the route's timeout, whichever is first.
    pub time_left: Duration,
    /// Name of the client account.
    pub account: Option<&'a str>,
    /// Priority at an engine.
    pub priority: Option<u8>,
    /// KV-cache copy from which a moved generation continues.
    pub continue_from: Option<ContinueFrom<'a>>,
    /// Address of the engine that is to keep a copy of the generation's memory.
    pub copy_at: Option<SocketAddr>,
    /// Last event that the caller received, if the endpoint is to continue after it.
    pub last_event_id: Option<&'a str>,
}

/// KV-cache copy from which a moved generation continues.
#[derive(Debug, Clone)]
pub struct ContinueFrom<'a> {
    /// Address of the engine that the copy is named after.
    pub copy_address: SocketAddr,
    /// Name of the copy.
    pub copy: &'a str,
}

/// The head of an endpoint's response.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Id of the request that the response belongs to, if the endpoint names it.
    pub request_id: Option<String>,
    /// Whether the response carries the seal that proves that the endpoint itself sent it.
    pub sealed: bool,
    /// Whether the endpoint declares that it did not run the request.
    pub not_run: bool,
    /// Whether callers take its status for the promise that the request did not run, although the
    /// endpoint does not declare it.
    pub unproved_refusal: bool,
    /// Whether a different endpoint than the expected one runs at the address.
    pub misdirected: bool,
    /// Whether the body has a content encoding, which callers never request.
    pub encoded: bool,
    /// Whether the endpoint closes the connection after this response.
    pub closes: bool,
    /// Whether the body has neither a length nor chunks, and ends when the connection does.
    pub ends_with_connection: bool,
    /// Time for which the endpoint keeps the connection open when idle.
    pub idle_timeout: Option<Duration>,
    /// Endpoint signals in the response headers: draining, cooldown and rate limit.
    pub signals: EndpointSignals,
}
