//! The closed list of error kinds and the table from each kind to the answer a caller gets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran. `NotRun` is a promise: the request did not run and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request started and did not reach its end.
    RanPartly,
}

/// Every kind of error that larkwick answers with.
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
    /// The body stopped coming before its end.
    BodyTimeout,
    /// An idempotency key came without a ticket.
    TicketRequired,
    /// The ticket is too old to be accepted and young enough to know that the request never ran.
    TicketStale,
    /// The ticket is so old that it is no longer known whether the request ran.
    TicketForgotten,
    /// The instance that the ticket names, in that incarnation, is gone or unreachable.
    InstanceGone,
    /// The memory of requests marked not repeatable is full.
    OnceMemoryFull,
    /// Every allowed endpoint is full and the queue does not take the request.
    Crowded,
    /// The request cannot finish queueing before its deadline.
    DeadlineExceeded,
    /// No allowed endpoint is live.
    NoEndpoint,
    /// This instance takes no new work because it may not know the configuration in force.
    StandingDown,
    /// The endpoint refused the request before admission.
    EndpointRefused,
    /// The connection to the endpoint broke after bytes were sent.
    EndpointLost,
    /// The endpoint did not answer within the deadline; the request may have run.
    AnswerTimeout,
    /// Endpoints end under requests like this one, so that it is sent to none.
    EndsEndpoints,
    /// The engines have no memory for the generation now.
    NoRoom,
    /// The generation no longer exists and cannot be continued.
    GenerationLost,
    /// A fault of larkwick itself.
    Internal,
}

/// One row of the table from kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseRule {
    /// HTTP status code.
    pub status: u16,
    /// What the caller may believe about the request.
    pub outcome: Outcome,
    /// When to come back, where coming back can help.
    pub retry_after: Option<Duration>,
    /// Whether larkwick itself may try another endpoint.
    pub retry_elsewhere: bool,
}

impl ErrorKind {
    /// All kinds, for tables and tests.
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

    /// The answer for this kind.
    #[must_use]
    pub const fn response_rule(self) -> ResponseRule {
        use Outcome::{NotRun, RanPartly, Unknown};
        match self {
            Self::BadRequest | Self::TicketRequired => row(400, NotRun, None, false),
            Self::Unauthorized => row(401, NotRun, None, false),
            Self::NotAllowed => row(403, NotRun, None, false),
            Self::UnknownModel | Self::UnknownService | Self::NotFound => {
                row(404, NotRun, None, false)
            }
            Self::TooLarge => row(413, NotRun, None, false),
            Self::BodyTimeout => row(408, NotRun, None, false),
            Self::TicketStale => row(409, NotRun, Some(0), false),
            Self::TicketForgotten => row(409, Unknown, None, false),
            Self::OnceMemoryFull => row(429, NotRun, Some(30_000), false),
            Self::Crowded => row(429, NotRun, Some(1_000), false),
            Self::DeadlineExceeded => row(504, NotRun, Some(1_000), false),
            Self::NoEndpoint | Self::StandingDown => row(503, NotRun, Some(2_000), false),
            Self::EndpointRefused => row(503, NotRun, Some(1_000), true),
            Self::InstanceGone | Self::EndpointLost => row(502, Unknown, None, false),
            Self::AnswerTimeout => row(504, Unknown, None, false),
            // A release that mends the endpoints takes minutes at the least.
            Self::EndsEndpoints => row(503, NotRun, Some(600_000), false),
            Self::NoRoom => row(503, NotRun, Some(1_000), false),
            Self::GenerationLost => row(502, RanPartly, None, false),
            Self::Internal => row(500, Unknown, None, false),
        }
    }
}

const fn row(
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

/// An error with its kind and a message for a person.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{message}")]
pub struct Error {
    /// Which row of the table applies.
    pub kind: ErrorKind,
    /// Short, lower case, naming the culprit and what to try.
    pub message: String,
    /// Replaces the table's time to come back, where a better one is known.
    pub retry_after: Option<Duration>,
}

/// Result with larkwick's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Builds an error of a kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: kind.response_rule().retry_after,
        }
    }

    /// Replaces the time to come back.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The object that callers read, as the body of an answer or the last event of a stream.
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

/// JSON object around [`ErrorDetail`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// An error as callers read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind from the closed list.
    pub kind: ErrorKind,
    /// What the caller may believe.
    pub outcome: Outcome,
    /// For a person.
    pub message: String,
    /// When to come back, in milliseconds.
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
