//! Pauses that grow while something keeps failing.

use std::time::Duration;

/// Doubling pauses between two bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    /// Between `first` and `longest`.
    next: Duration,
}

impl Backoff {
    /// Pauses that begin with one length and double up to another.
    #[must_use]
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// The pause after a further failure. `drawn`, from 0 to 1, spreads those who fail together over the upper half of it.
    pub fn failed(&mut self, drawn: f64) -> Duration {
        let pause = self.next.mul_f64(0.5 + 0.5 * drawn.clamp(0.0, 1.0));
        self.next = (self.next * 2).min(self.longest);
        pause
    }

    /// It works again.
    pub fn succeeded(&mut self) {
        self.next = self.first;
    }
}
