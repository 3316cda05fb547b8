//! Calls that come before this instance knows configuration and endpoints: held for a moment, since both are often about to come.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use super::call::CallHead;
use super::node::Gateway;

/// Longest time that a call is held. Callers of generations wait two seconds for a first event before they leave.
const HELD_MAX: Duration = Duration::from_millis(1_900);
/// Left of a caller's time to serve its call once it can be served: what 98 in 100 calls of plain services took.
const SERVING_TIME: Duration = Duration::from_millis(120);
/// Calls held at once; each takes some 4 KB.
const CALLS_HELD_MAX: usize = 512;

/// The calls that wait until this instance can serve.
pub(crate) struct HeldCalls {
    able: watch::Sender<bool>,
    held: AtomicUsize,
}

impl Default for HeldCalls {
    fn default() -> Self {
        Self {
            able: watch::Sender::new(false),
            held: AtomicUsize::new(0),
        }
    }
}

/// Counts a held call for as long as it waits.
struct Held<'a>(&'a AtomicUsize);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl HeldCalls {
    /// Configuration and endpoints are known from now on.
    pub(crate) fn release(&self) {
        self.able.send_if_modified(|able| !std::mem::replace(able, true));
    }

    fn begin(&self) -> Option<Held<'_>> {
        let before = self.held.fetch_add(1, Ordering::Relaxed);
        let held = Held(&self.held);
        (before < CALLS_HELD_MAX).then_some(held)
    }

    /// Waits until the instance can serve, for no longer than given.
    async fn wait(&self, most: Duration) {
        let Some(_held) = self.begin() else { return };
        let mut able = self.able.subscribe();
        let waited = tokio::time::timeout(most, able.wait_for(|able| *able));
        // Whether it came or not shows in what is known afterwards.
        let _ = waited.await;
    }
}

/// Holds a call while this instance knows no configuration or no endpoints, if its caller waits long enough for it to be served then.
pub(crate) async fn hold(gateway: &Arc<Gateway>, head: &CallHead) {
    if gateway.can_serve() {
        return;
    }
    let left = head.deadline.unwrap_or(HELD_MAX);
    let most = left.saturating_sub(SERVING_TIME).min(HELD_MAX);
    if most.is_zero() {
        return;
    }
    let begun = gateway.now();
    gateway.held.wait(most).await;
    let held = gateway.now().saturating_sub(begun);
    metrics::histogram!("larkwick_call_held_seconds").record(held.as_secs_f64());
}
