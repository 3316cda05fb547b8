//! An attempt at an endpoint, as a type: what may be said about it depends on whether bytes may have left.

use uuid::Uuid;

use crate::error::{Error, ErrorKind};

/// An attempt of which no byte has left this process.
#[derive(Debug)]
pub struct Unsent {
    /// Echoed by the endpoint; an answer with another id goes to nobody.
    pub attempt_id: Uuid,
}

/// An attempt whose bytes may have left.
#[derive(Debug)]
pub struct Sent {
    /// Echoed by the endpoint.
    pub attempt_id: Uuid,
}

/// How an attempt failed, and so what may follow.
#[derive(Debug)]
pub enum Failed {
    /// Certainly not run: another endpoint may be tried.
    NotRun(Error),
    /// May have run: only the caller may decide.
    MayHaveRun(Error),
}

impl Default for Unsent {
    fn default() -> Self {
        Self {
            attempt_id: Uuid::new_v4(),
        }
    }
}

impl Unsent {
    /// From here on bytes may have left.
    #[must_use]
    pub fn send(self) -> Sent {
        Sent {
            attempt_id: self.attempt_id,
        }
    }

    /// The connection was never established.
    #[must_use]
    pub fn not_connected(self, endpoint: &str) -> Failed {
        Failed::NotRun(Error::new(
            ErrorKind::EndpointRefused,
            format!("endpoint {endpoint} cannot be reached; try again"),
        ))
    }
}

impl Sent {
    /// The endpoint refused before admission and echoed this attempt.
    #[must_use]
    pub fn refused(self, endpoint: &str) -> Failed {
        Failed::NotRun(Error::new(
            ErrorKind::EndpointRefused,
            format!("endpoint {endpoint} refused the request; try again"),
        ))
    }

    /// Anything else.
    #[must_use]
    pub fn lost(self, endpoint: &str, why: &str) -> Failed {
        Failed::MayHaveRun(Error::new(
            ErrorKind::EndpointLost,
            format!("endpoint {endpoint} was lost after the request was sent: {why}"),
        ))
    }
}

/// The failed attempts at one request, and the error that tells the truth about all of them.
#[derive(Debug, Default)]
pub struct FailedAttempts {
    may_have_run: Option<Error>,
    not_run: Option<Error>,
}

impl FailedAttempts {
    /// Adds a failed attempt.
    pub fn record(&mut self, failed: Failed) {
        match failed {
            Failed::MayHaveRun(error) => self.may_have_run = Some(error),
            Failed::NotRun(error) => self.not_run = Some(error),
        }
    }

    /// Whether no attempt failed yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.may_have_run.is_none() && self.not_run.is_none()
    }

    /// The error to answer with: once any attempt may have run, no later refusal makes it "not run".
    #[must_use]
    pub fn error(&self, otherwise: Error) -> Error {
        let worst = self.may_have_run.as_ref().or(self.not_run.as_ref());
        worst.cloned().unwrap_or(otherwise)
    }
}
