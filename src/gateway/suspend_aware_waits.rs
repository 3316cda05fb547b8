//! Waits with a deadline on the clock of the instance, which also counts the time while the machine
//! is suspended. Timers stand still during a suspension, but the deadlines of callers pass.

use std::time::Duration;

use parking_lot::Mutex;
use spdlog::warn;
use tokio::sync::Notify;

use super::node::Gateway;
use crate::kernel::clock::millis;

/// Shortest suspension that is recognised. Smaller differences between the two clocks arise because
/// they are read one after the other on a machine that may be busy.
const SUSPENDED_MIN: Duration = Duration::from_millis(100);

/// Suspensions of the machine seen so far.
#[derive(Default)]
pub(crate) struct Suspensions {
    /// Total suspended time at the last check.
    last_seen: Mutex<Duration>,
    /// Wakes all waits after a suspension.
    resumed: Notify,
}

impl Gateway {
    /// Waits for a future until a deadline on the clock of this instance; `None` if the deadline
    /// passed first.
    pub(crate) async fn wait_until<T>(
        &self,
        until: Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(future);
        loop {
            let resumed = self.suspensions.resumed.notified();
            let time_left = until.saturating_sub(self.now());
            tokio::select! {
                biased;
                done = &mut future => return Some(done),
                () = tokio::time::sleep(time_left) => {
                    if self.now() >= until {
                        return None;
                    }
                }
                () = resumed => {}
            }
        }
    }

    /// Waits for a future for at most `duration` on the clock of this instance; `None` if the time
    /// ran out.
    pub(crate) async fn wait_for<T>(
        &self,
        duration: Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        self.wait_until(self.now().saturating_add(duration), future)
            .await
    }

    /// Sleeps until a time on the clock of this instance.
    pub(crate) async fn sleep_until(&self, until: Duration) {
        let never = std::future::pending::<()>();
        // The future never completes, so only the deadline ends the wait.
        let _ = self.wait_until(until, never).await;
    }

    /// Sleeps for `duration` on the clock of this instance.
    pub(crate) async fn sleep_for(&self, duration: Duration) {
        self.sleep_until(self.now().saturating_add(duration)).await;
    }

    /// Checks whether the machine was suspended since the last check; if so, makes all waits
    /// compare their deadlines with the clock.
    pub(crate) fn check_for_suspension(&self) {
        let suspended = self.clock.suspended();
        let lasted = {
            let mut last_seen = self.suspensions.last_seen.lock();
            let lasted = suspended.saturating_sub(*last_seen);
            if lasted < SUSPENDED_MIN {
                return;
            }
            *last_seen = suspended;
            lasted
        };
        metrics::counter!("larkwick_suspensions_total").increment(1);
        warn!("instance was suspended", kv: { lasted_ms: = millis(lasted) });
        self.suspensions.resumed.notify_waiters();
    }
}
