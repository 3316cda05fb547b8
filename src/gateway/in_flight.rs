//! Calls and connections in flight, and the lifecycle stage of an instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;
use tokio::sync::watch;

/// Lifecycle stage of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Stage {
    /// Accepts callers once the configuration and the endpoints are known.
    Serving,
    /// Shutting down: removed from the directory, but still answers incoming calls.
    Leaving,
}

/// Numbers of calls and connections in flight, and the lifecycle stage.
pub(crate) struct InFlight {
    calls: AtomicUsize,
    connections: AtomicUsize,
    stage: watch::Sender<Stage>,
}

/// Guard that counts a call or connection as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    in_flight: Arc<InFlight>,
    counter: fn(&InFlight) -> &AtomicUsize,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = (self.counter)(&self.in_flight);
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl InFlight {
    pub(super) fn new() -> Self {
        Self {
            calls: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn track_call(self: &Arc<Self>) -> InFlightGuard {
        self.track(|in_flight| &in_flight.calls)
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub(crate) fn track_connection(self: &Arc<Self>) -> InFlightGuard {
        self.track(|in_flight| &in_flight.connections)
    }

    fn track(self: &Arc<Self>, counter: fn(&Self) -> &AtomicUsize) -> InFlightGuard {
        counter(self).fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            in_flight: self.clone(),
            counter,
        }
    }

    /// Returns the number of calls in flight.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of open caller connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Subscribes to changes of the stage.
    pub(crate) fn subscribe_stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Marks the instance as leaving. This cannot be undone.
    pub(crate) fn mark_leaving(&self) {
        self.stage.send_replace(Stage::Leaving);
    }
}
