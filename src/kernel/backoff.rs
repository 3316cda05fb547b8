//! Exponential backoff with jitter.

use std::time::Duration;

/// Pauses that double from a minimum to a maximum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    /// Between `initial` and `max`.
    next_max: Duration,
}

impl Backoff {
    /// Creates a backoff whose pauses start at `initial` and double up to `max`.
    #[must_use]
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            next_max: initial,
        }
    }

    /// Returns the pause after a further failure. `jitter`, from 0 to 1, spreads clients that fail
    /// together over the upper half of the pause.
    pub fn next_pause(&mut self, jitter: f64) -> Duration {
        let pause = self.next_max.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0));
        self.next_max = (self.next_max * 2).min(self.max);
        pause
    }

    /// Resets the pause after a success.
    pub fn reset(&mut self) {
        self.next_max = self.initial;
    }
}
