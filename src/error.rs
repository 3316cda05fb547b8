//! The closed list of error kinds, and the HTTP response that each kind leads to.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran.
///
/// `NotRun` is a guarantee: the request did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request started but did not complete.
    RanPartly,
}

/// Every kind of error that larkwick returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or belongs to no client account.
    Unauthorized,
    /// No rule allows this account to run this work on any endpoint.
    NotAllowed,
    /// No model of that name is published.
    UnknownModel,
    /// No service of that name is published.
    UnknownService,
    /// The path or method does not exist.
    NotFound,
    /// The body exceeds the limit.
    TooLarge,
    /// The body stopped arriving before its end.
    BodyTimeout,
    /// The request has an idempotency key but no ticket.
    TicketRequired,
    /// The ticket is too old to be accepted, but recent enough to tell that the request never ran.
    TicketStale,
    /// The ticket is so old that it is no longer known whether the request ran.
    TicketForgotten,
    /// The instance incarnation that the ticket names is gone or unreachable.
    InstanceGone,
    /// The idempotency cache, which holds the requests marked not repeatable, is full.
    OnceMemoryFull,
    /// Every allowed endpoint is full and the queue cannot accept the request.
    Crowded,
    /// The request would still be queued at its deadline.
    DeadlineExceeded,
    /// No allowed endpoint is live.
    NoEndpoint,
    /// This instance accepts no new work because it may not have the configuration in force.
    StandingDown,
    /// The endpoint refused the request before admission.
    EndpointRefused,
    /// The connection to the endpoint was lost after bytes were sent.
    EndpointLost,
    /// The endpoint did not answer within the deadline; the request may have run.
    AnswerTimeout,
    /// Requests like this one have crashed endpoints, so it is not sent to any.
    EndsEndpoints,
    /// The engines currently have no memory for the generation.
    NoRoom,
    /// The generation was lost and cannot be resumed.
    GenerationLost,
    /// An internal fault of larkwick.
    Internal,
}

/// How an error kind is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseRule {
    /// HTTP status code.
    pub status: u16,
    /// What the caller can rely on about whether the request ran.
    pub outcome: Outcome,
    /// Delay after which a retry may succeed. `None` if a retry does not help.
    pub retry_after: Option<Duration>,
    /// Whether larkwick may retry the request at another endpoint.
    pub retry_elsewhere: bool,
}

impl ErrorKind {
    /// All kinds.
    pub const ALL: [Self; 24] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotAllowed,
        Self::UnknownModel,
        Self::UnknownService,
        Self::NotFound,
        Self::TooLarge,
        Self::BodyTimeout,
        Self::TicketRequired,
        Self::TicketStale,
        Self::TicketForgotten,
        Self::InstanceGone,
        Self::OnceMemoryFull,
        Self::Crowded,
        Self::DeadlineExceeded,
        Self::NoEndpoint,
        Self::StandingDown,
        Self::EndpointRefused,
        Self::EndpointLost,
        Self::AnswerTimeout,
        Self::EndsEndpoints,
        Self::NoRoom,
        Self::GenerationLost,
        Self::Internal,
    ];

    /// Returns how this kind is answered.
    #[must_use]
    pub const fn response_rule(self) -> ResponseRule {
        use Outcome::{NotRun, RanPartly, Unknown};
        match self {
            Self::BadRequest | Self::TicketRequired => rule(400, NotRun, None, false),
            Self::Unauthorized => rule(401, NotRun, None, false),
            Self::NotAllowed => rule(403, NotRun, None, false),
            Self::UnknownModel | Self::UnknownService | Self::NotFound => {
                rule(404, NotRun, None, false)
            }
            Self::TooLarge => rule(413, NotRun, None, false),
            Self::BodyTimeout => rule(408, NotRun, None, false),
            Self::TicketStale => rule(409, NotRun, Some(0), false),
            Self::TicketForgotten => rule(409, Unknown, None, false),
            Self::OnceMemoryFull => rule(429, NotRun, Some(30_000), false),
            Self::Crowded => rule(429, NotRun, Some(1_000), false),
            Self::DeadlineExceeded => rule(504, NotRun, Some(1_000), false),
            Self::NoEndpoint | Self::StandingDown => rule(503, NotRun, Some(2_000), false),
            Self::EndpointRefused => rule(503, NotRun, Some(1_000), true),
            Self::InstanceGone | Self::EndpointLost => rule(502, Unknown, None, false),
            Self::AnswerTimeout => rule(504, Unknown, None, false),
            // It takes at least some minutes to release a fix for the endpoints.
            Self::EndsEndpoints => rule(503, NotRun, Some(600_000), false),
            Self::NoRoom => rule(503, NotRun, Some(1_000), false),
            Self::GenerationLost => rule(502, RanPartly, None, false),
            Self::Internal => rule(500, Unknown, None, false),
        }
    }
}

const fn rule(
    status: u16,
    outcome: Outcome,
    retry_after_ms: Option<u64>,
    retry_elsewhere: bool,
) -> ResponseRule {
    let retry_after = match retry_after_ms {
        Some(ms) => Some(Duration::from_millis(ms)),
        None => None,
    };
    ResponseRule {
        status,
        outcome,
        retry_after,
        retry_elsewhere,
    }
}

/// An error with its kind and a human-readable message.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// Kind, which determines the response.
    pub kind: ErrorKind,
    /// Short lower-case text that names the cause and what to try.
    pub message: String,
    /// Delay after which to retry: that of the kind, or a better estimate where one is known.
    pub retry_after: Option<Duration>,
}

/// Result with larkwick's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Creates an error with the retry delay of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: kind.response_rule().retry_after,
        }
    }

    /// Replaces the delay after which to retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the JSON object that callers receive, as a response body or as the last event of a
    /// stream.
    #[must_use]
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                kind: self.kind,
                outcome: self.kind.response_rule().outcome,
                message: self.message.clone(),
                retry_after_ms: self.retry_after.map(crate::kernel::clock::millis),
            },
        }
    }
}

/// JSON object that wraps an [`ErrorDetail`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error as callers receive it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// What the caller can rely on about whether the request ran.
    pub outcome: Outcome,
    /// Human-readable message.
    pub message: String,
    /// Delay in milliseconds after which to retry.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl From<ErrorDetail> for Error {
    fn from(detail: ErrorDetail) -> Self {
        Self {
            kind: detail.kind,
            message: detail.message,
            retry_after: detail.retry_after_ms.map(Duration::from_millis),
        }
    }
}
