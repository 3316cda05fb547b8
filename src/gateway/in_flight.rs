//! Calls and connections in flight, and the lifecycle stage of an instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
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

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// Its body is being read, or it is held until this instance is ready.
    Receiving,
    /// No endpoint may have run it: it waits for capacity, a connection or a permit.
    Waiting,
    /// A peer was asked to serve it.
    Forwarded,
    /// An endpoint may run it, or answers it.
    Sent,
    /// Its whole answer is known and is being written to the caller.
    Answering,
}

/// Numbers of calls in flight by phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CallCounts {
    pub(crate) receiving: usize,
    pub(crate) waiting: usize,
    pub(crate) forwarded: usize,
    pub(crate) sent: usize,
    pub(crate) answering: usize,
}

impl CallCounts {
    fn of_phase(&mut self, phase: CallPhase) -> &mut usize {
        match phase {
            CallPhase::Receiving => &mut self.receiving,
            CallPhase::Waiting => &mut self.waiting,
            CallPhase::Forwarded => &mut self.forwarded,
            CallPhase::Sent => &mut self.sent,
            CallPhase::Answering => &mut self.answering,
        }
    }

    pub(crate) const fn total(&self) -> usize {
        self.receiving + self.waiting + self.forwarded + self.sent + self.answering
    }
}

/// Numbers of calls and connections in flight, and the lifecycle stage.
pub(crate) struct InFlight {
    calls: Mutex<CallCounts>,
    connections: AtomicUsize,
    stage: watch::Sender<Stage>,
}

/// Counts a call as in flight until it is dropped.
pub(crate) struct CallGuard {
    in_flight: Arc<InFlight>,
    phase: Mutex<CallPhase>,
}

impl CallGuard {
    pub(crate) fn set_phase(&self, phase: CallPhase) {
        let mut current = self.phase.lock();
        let mut calls = self.in_flight.calls.lock();
        *calls.of_phase(*current) -= 1;
        *calls.of_phase(phase) += 1;
        *current = phase;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let phase = *self.phase.lock();
        *self.in_flight.calls.lock().of_phase(phase) -= 1;
    }
}

/// Counts a connection as open until it is dropped.
pub(crate) struct ConnectionGuard(Arc<InFlight>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl InFlight {
    pub(super) fn new() -> Self {
        Self {
            calls: Mutex::default(),
            connections: AtomicUsize::new(0),
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn track_call(self: &Arc<Self>) -> CallGuard {
        let phase = CallPhase::Receiving;
        *self.calls.lock().of_phase(phase) += 1;
        CallGuard {
            in_flight: self.clone(),
            phase: Mutex::new(phase),
        }
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub(crate) fn track_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Returns the numbers of calls in flight.
    pub(crate) fn call_counts(&self) -> CallCounts {
        *self.calls.lock()
    }

    /// Returns the number of calls in flight.
    pub(crate) fn calls(&self) -> usize {
        self.call_counts().total()
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
