//! A call as the gateway sees it, whatever it looked like on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use crate::kernel::endpoint_signals::EndpointSignals;

/// The head of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallHead {
    /// Names this attempt of the caller; never empty.
    pub request_id: String,
    /// Host that was called.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// How long the caller waits, from the arrival of the head.
    pub deadline: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// What a generation needs.
    pub tokens: Option<TokenDemand>,
    /// The last event that the caller has of an earlier attempt at the same generation.
    pub last_event_id: Option<String>,
}

/// What a generation needs of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenDemand {
    /// Model.
    pub model: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens that may be made.
    pub made_max_tokens: u32,
    /// The caller's guess of the tokens to be made.
    pub made_hint_tokens: Option<f64>,
    /// Parts of the prompt in order; engines may have them in memory already.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt, shared by all requests that name its id after the same parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// What larkwick adds to a request for an endpoint.
#[derive(Debug, Clone)]
pub struct SendHead<'a> {
    /// The name of the endpoint that alone may run it, as it is listed.
    pub endpoint_id: &'a str,
    /// What is left of the caller's deadline and the route's time-out.
    pub time_left: Duration,
    /// The client account.
    pub account: Option<&'a str>,
    /// Rank at an engine.
    pub priority: Option<u8>,
    /// Copy from which a moved generation goes on.
    pub continue_from: Option<ContinueFrom<'a>>,
    /// The last event that the caller has, where the endpoint is to go on after it.
    pub last_event_id: Option<&'a str>,
}

/// Where a moved generation goes on.
#[derive(Debug, Clone)]
pub struct ContinueFrom<'a> {
    /// Engine that the copy is named after.
    pub copy_address: SocketAddr,
    /// Name of the copy.
    pub copy: &'a str,
}

/// The head of an endpoint's answer.
#[expect(
    clippy::struct_excessive_bools,
    reason = "four facts that are independent of each other"
)]
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// The request that it answers, where it says so.
    pub request_id: Option<String>,
    /// Whether it carries the endpoint's proof.
    pub sealed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether another endpoint is there than the one expected.
    pub misdirected: bool,
    /// Whether its body is encoded, which callers never ask for.
    pub encoded: bool,
    /// Whether the endpoint closes the connection after it.
    pub closes: bool,
    /// How long the endpoint keeps the connection when idle.
    pub kept_for: Option<Duration>,
    /// What the endpoint says of itself beside.
    pub word: EndpointSignals,
}
