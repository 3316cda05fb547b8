//! Decides from a few connections whether an endpoint that aborted a request still runs.
//!
//! A connection that is accepted shows only that a listening socket exists. While a process exits,
//! or for as long as one of its children holds the socket, the kernel accepts connections that
//! nobody serves. What becomes of the connection tells more: a socket that goes away resets it,
//! and only a running endpoint answers a question.

use std::time::Duration;

/// Connections closed by the other side without an answer, one after the other, from which on the
/// endpoint counts as running: a socket that nobody serves closes once, and refuses the next.
const CLOSED_MAX: u32 = 3;
/// Unanswered questions from which on the endpoint counts as ended. A single one may be due to a
/// pause of this instance.
const UNANSWERED_MAX: u32 = 2;

/// Whether an endpoint that aborted a request still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It runs, as far as can be told.
    Listens,
    /// It has exited, or another incarnation has taken its address.
    Ended,
    /// Not reachable from here, or already draining, so that its exit would not implicate the
    /// requests that ran there.
    Unknown,
}

/// What one step of a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStep {
    /// The connection was refused.
    Refused,
    /// The connection was neither accepted nor refused in time.
    Unreachable,
    /// The connection was accepted, and closed by the other side without an answer.
    Closed,
    /// The connection was accepted and is still open. Nothing was asked.
    StillOpen,
    /// The endpoint answered.
    Answered,
    /// Another endpoint, or another incarnation of this one, answered.
    OtherAnswered,
    /// The connection was accepted, and the question got no answer in time.
    Unanswered,
}

/// The steps of a probe so far.
#[derive(Debug, Clone, Default)]
pub struct PresenceCheck {
    /// Connections closed in a row.
    closed: u32,
    unanswered: u32,
    steps: Vec<(ProbeStep, Duration)>,
}

impl PresenceCheck {
    /// Records a step that ended `after` the start of the probe. Returns the result once there is
    /// one; until then the endpoint is to be probed again.
    pub fn record(&mut self, step: ProbeStep, after: Duration) -> Option<Presence> {
        self.steps.push((step, after));
        match step {
            ProbeStep::Refused | ProbeStep::OtherAnswered => Some(Presence::Ended),
            ProbeStep::Unreachable => Some(Presence::Unknown),
            ProbeStep::StillOpen | ProbeStep::Answered => Some(Presence::Listens),
            ProbeStep::Closed => {
                self.closed += 1;
                (self.closed >= CLOSED_MAX).then_some(Presence::Listens)
            }
            ProbeStep::Unanswered => {
                self.closed = 0;
                self.unanswered += 1;
                (self.unanswered >= UNANSWERED_MAX).then_some(Presence::Ended)
            }
        }
    }

    /// Returns whether the last connection was accepted and nobody answered on it.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        let last = self.steps.last();
        last.is_some_and(|(step, _)| *step == ProbeStep::Unanswered)
    }

    /// Returns whether the last connection was refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let last = self.steps.last();
        last.is_some_and(|(step, _)| *step == ProbeStep::Refused)
    }

    /// Returns the steps with their times, for the log.
    #[must_use]
    pub fn summary(&self) -> String {
        let steps = self.steps.iter();
        let steps = steps.map(|(step, after)| format!("{step:?} {} ms", after.as_millis()));
        steps.collect::<Vec<_>>().join(", ")
    }
}
