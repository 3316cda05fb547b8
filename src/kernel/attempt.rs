//! One attempt to send a request to an endpoint, as a typestate: what may be claimed about it
//! depends on whether any byte may have left this process.

use uuid::Uuid;

use crate::error::{Error, ErrorKind};

/// An attempt of which no byte has been sent.
#[derive(Debug)]
pub struct UnsentAttempt {
    /// Echoed by the endpoint; a response with another id is discarded.
    pub attempt_id: Uuid,
}

/// An attempt of which bytes may have been sent.
#[derive(Debug)]
pub struct SentAttempt {
    /// Echoed by the endpoint.
    pub attempt_id: Uuid,
}

/// How an attempt failed, which decides whether it may be retried.
#[derive(Debug)]
pub enum AttemptFailure {
    /// The request certainly did not run: another endpoint may be tried.
    NotRun(Error),
    /// The request may have run: only the caller may decide whether to repeat it.
    MayHaveRun(Error),
}

impl Default for UnsentAttempt {
    fn default() -> Self {
        Self {
            attempt_id: Uuid::new_v4(),
        }
    }
}

impl UnsentAttempt {
    /// Marks the attempt as sent: from here on bytes may have left this process.
    #[must_use]
    pub fn mark_sent(self) -> SentAttempt {
        SentAttempt {
            attempt_id: self.attempt_id,
        }
    }

    /// Returns the failure of an attempt whose connection was never established.
    #[must_use]
    pub fn not_connected(self, endpoint: &str) -> AttemptFailure {
        AttemptFailure::NotRun(Error::new(
            ErrorKind::EndpointRefused,
            format!("endpoint {endpoint} cannot be reached; try again"),
        ))
    }
}

impl SentAttempt {
    /// Returns the failure of an attempt that the endpoint refused before admission, with this
    /// attempt's id in its response.
    #[must_use]
    pub fn refused(self, endpoint: &str) -> AttemptFailure {
        AttemptFailure::NotRun(Error::new(
            ErrorKind::EndpointRefused,
            format!("endpoint {endpoint} refused the request; try again"),
        ))
    }

    /// Returns the failure of an attempt that ended in any other way.
    #[must_use]
    pub fn lost(self, endpoint: &str, reason: &str) -> AttemptFailure {
        AttemptFailure::MayHaveRun(Error::new(
            ErrorKind::EndpointLost,
            format!("endpoint {endpoint} was lost after the request was sent: {reason}"),
        ))
    }
}

/// The failed attempts at one request, and the error that is correct for all of them.
#[derive(Debug, Default)]
pub struct FailedAttempts {
    may_have_run: Option<Error>,
    not_run: Option<Error>,
}

impl FailedAttempts {
    /// Records a failed attempt.
    pub fn record(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::MayHaveRun(error) => self.may_have_run = Some(error),
            AttemptFailure::NotRun(error) => self.not_run = Some(error),
        }
    }

    /// Returns whether no attempt has failed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.may_have_run.is_none() && self.not_run.is_none()
    }

    /// Returns the error to send to the caller, or `fallback` if no attempt has failed. Once an
    /// attempt may have run, a later refusal does not turn the result into "not run".
    #[must_use]
    pub fn error(&self, fallback: Error) -> Error {
        let worst = self.may_have_run.as_ref().or(self.not_run.as_ref());
        worst.cloned().unwrap_or(fallback)
    }
}
