//! Time as an interface: monotonic time since an arbitrary origin, as a `Duration`.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;

/// Source of monotonic time.
pub trait Clock: Send + Sync {
    /// Time since this clock's origin. Never goes back.
    fn now(&self) -> Duration;

    /// Time of day, since 1970. It may jump and differs between machines: for what outlasts the process, and for nothing that is decided in seconds.
    fn unix_time(&self) -> Duration;
}

/// The operating system's monotonic clock; its origin is the moment of construction.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn unix_time(&self) -> Duration {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default()
    }
}

/// A clock that a test moves by hand. Clones share the same time.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    now: Arc<Mutex<Duration>>,
}

impl ManualClock {
    /// Moves the time forward.
    pub fn advance(&self, by: Duration) {
        *self.now.lock() += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.now.lock()
    }

    fn unix_time(&self) -> Duration {
        self.now()
    }
}

/// Whole milliseconds of a duration, saturating.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
