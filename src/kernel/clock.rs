//! Clock interface. Times are a `Duration` since an arbitrary origin.
//!
//! A machine may be suspended. Known data ages in the meantime, so ages are measured by a clock
//! that continues to count. Timers stop, so code that waits must check the clock after the machine
//! resumes.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};
use parking_lot::Mutex;

/// Source of time.
pub trait Clock: Send + Sync {
    /// Returns the time since this clock's origin, including time in which the machine was
    /// suspended. Never decreases.
    fn now(&self) -> Duration;

    /// Returns the time for which the machine was suspended since this clock's origin. Timers fire
    /// late by this much.
    fn suspended(&self) -> Duration;

    /// Returns the time since the Unix epoch. It may jump and differs between machines: use it only
    /// for data that outlives the process, not for decisions on the scale of seconds.
    fn unix_time(&self) -> Duration;
}

/// The operating system's clock that continues to count while the machine is suspended. Its origin
/// is the time of construction.
#[derive(Debug)]
pub struct SystemClock {
    /// Origin on the clock that includes suspension, or `None` if the system has no such clock.
    origin: Option<Duration>,
    /// Origin on the monotonic clock, which timers follow.
    steady_origin: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            origin: boot_time(),
            steady_origin: Instant::now(),
        }
    }
}

/// Returns the time since the machine was booted, or `None` if the system has no such clock.
fn boot_time() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .ok()
        .map(Duration::from)
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        let since = boot_time().zip(self.origin);
        let since = since.map(|(now, origin)| now.saturating_sub(origin));
        since.unwrap_or_else(|| self.steady_origin.elapsed())
    }

    fn suspended(&self) -> Duration {
        let steady = self.steady_origin.elapsed();
        self.now().saturating_sub(steady)
    }

    fn unix_time(&self) -> Duration {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or_default()
    }
}

/// A clock that tests advance manually. Clones share the same time.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    times: Arc<Mutex<ManualTimes>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ManualTimes {
    now: Duration,
    suspended: Duration,
}

impl ManualClock {
    /// Advances the time.
    pub fn advance(&self, by: Duration) {
        self.times.lock().now += by;
    }

    /// Advances the time as a suspension of the machine does.
    pub fn suspend(&self, by: Duration) {
        let mut times = self.times.lock();
        times.now += by;
        times.suspended += by;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        self.times.lock().now
    }

    fn suspended(&self) -> Duration {
        self.times.lock().suspended
    }

    fn unix_time(&self) -> Duration {
        self.now()
    }
}

/// Returns the whole milliseconds of a duration, saturating.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
