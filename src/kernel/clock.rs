//! Time as an interface: time since an arbitrary origin, as a `Duration`.
//!
//! A machine may be suspended. What is believed grows old meanwhile, so that ages are counted by a clock that runs on; timers stand still, so that a wait
//! has to look at the clock once the machine runs again.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use nix::time::{ClockId, clock_gettime};
use parking_lot::Mutex;

/// Source of time.
pub trait Clock: Send + Sync {
    /// Time since this clock's origin, the time included in which the machine was suspended. Never goes back.
    fn now(&self) -> Duration;

    /// How long the machine was suspended since this clock's origin: by so much timers are late.
    fn suspended(&self) -> Duration;

    /// Time of day, since 1970. It may jump and differs between machines: for what outlasts the process, and for nothing that is decided in seconds.
    fn unix_time(&self) -> Duration;
}

/// The operating system's clock that counts while the machine is suspended; its origin is the moment of construction.
#[derive(Debug)]
pub struct SystemClock {
    /// On the clock that counts while the machine is suspended; nothing where there is none.
    origin: Option<Duration>,
    /// On the steady clock, which timers follow.
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

/// Time since the machine was started; nothing where the system has no such clock.
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

/// A clock that a test moves by hand. Clones share the same time.
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
    /// Moves the time forward.
    pub fn advance(&self, by: Duration) {
        self.times.lock().now += by;
    }

    /// Moves the time forward as a suspension does.
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

/// Whole milliseconds of a duration, saturating.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
