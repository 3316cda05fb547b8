//! Until when calls may be started and answered at an instance that stops.

use std::time::Duration;

/// Time before the exit from which on no answer is awaited any more; what is known by then is still
/// written to the callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The deadlines of a planned stop, on the clock of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopDeadlines {
    /// Latest time at which the process exits.
    exit_at: Duration,
}

impl StopDeadlines {
    /// Returns the deadlines of an instance that exits at `exit_at` or earlier.
    #[must_use]
    pub const fn new(exit_at: Duration) -> Self {
        Self { exit_at }
    }

    /// Returns the time at which calls without a final answer get one.
    #[must_use]
    pub const fn last_answer_at(self) -> Duration {
        self.exit_at.saturating_sub(ANSWER_MARGIN)
    }

    /// Returns the latest time at which a call may be sent that takes up to `max_duration` then and
    /// ends by itself at `deadline`.
    #[must_use]
    pub fn last_send_at(self, max_duration: Duration, deadline: Duration) -> Duration {
        let last_answer_at = self.last_answer_at();
        if deadline <= last_answer_at {
            last_answer_at
        } else {
            last_answer_at.saturating_sub(max_duration)
        }
    }
}
