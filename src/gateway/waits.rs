//! Waits that end at a time on the instance's clock, also where the machine was suspended meanwhile: timers stand still then, and a caller's deadline
//! passes all the same.

use std::time::Duration;

use parking_lot::Mutex;
use spdlog::warn;
use tokio::sync::Notify;

use super::node::Gateway;
use crate::kernel::clock::millis;

/// A difference between the clocks that is smaller is no suspension: they are read one after the other, on a machine that may be busy.
const SUSPENDED_MIN: Duration = Duration::from_millis(100);

/// What is known of suspensions.
#[derive(Default)]
pub(crate) struct Suspensions {
    /// How long the machine had been suspended when it was looked last.
    seen: Mutex<Duration>,
    /// Wakes whoever waits once the machine runs again.
    resumed: Notify,
}

impl Gateway {
    /// Waits for something, for no longer than until a time on this instance's clock.
    pub(crate) async fn wait_until<T>(
        &self,
        until: Duration,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(awaited);
        loop {
            let resumed = self.suspensions.resumed.notified();
            let left = until.saturating_sub(self.now());
            tokio::select! {
                biased;
                done = &mut awaited => return Some(done),
                () = tokio::time::sleep(left) => {
                    if self.now() >= until {
                        return None;
                    }
                }
                () = resumed => {}
            }
        }
    }

    /// Waits for something, for no longer than given by this instance's clock.
    pub(crate) async fn wait_for<T>(
        &self,
        most: Duration,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        self.wait_until(self.now().saturating_add(most), awaited)
            .await
    }

    /// Lets time pass until a time on this instance's clock.
    pub(crate) async fn sleep_until(&self, until: Duration) {
        let never = std::future::pending::<()>();
        // Only the time ends it.
        let _ = self.wait_until(until, never).await;
    }

    /// Lets time pass by this instance's clock.
    pub(crate) async fn sleep_for(&self, most: Duration) {
        self.sleep_until(self.now().saturating_add(most)).await;
    }

    /// Looks whether the machine was suspended since the last look, and has all waits look at the clock then.
    pub(crate) fn look_for_suspension(&self) {
        let suspended = self.clock.suspended();
        let lasted = {
            let mut seen = self.suspensions.seen.lock();
            let lasted = suspended.saturating_sub(*seen);
            if lasted < SUSPENDED_MIN {
                return;
            }
            *seen = suspended;
            lasted
        };
        metrics::counter!("larkwick_suspensions_total").increment(1);
        warn!("instance was suspended", kv: { lasted_ms: = millis(lasted) });
        self.suspensions.resumed.notify_waiters();
    }
}
