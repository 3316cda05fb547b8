//! Limits the bytes that an instance holds for callers and endpoints.
//!
//! Load pattern: many callers send their bodies or read their responses slowly, and the instance
//! holds megabytes for each of them. New bodies beyond the limit are refused before they are read;
//! responses that are ready are always held until they are read.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[derive(Debug)]
struct State {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
}

/// The budget of one instance. Clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    state: Arc<State>,
}

/// Bytes that count against the budget until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            state: Arc::new(State {
                limit_bytes,
                held_bytes: AtomicUsize::new(0),
            }),
        }
    }

    /// Returns the number of bytes held now.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.state.held_bytes.load(Ordering::Relaxed)
    }

    /// Holds bytes whether or not the limit is reached.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> HeldBytes {
        self.state.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        HeldBytes {
            budget: self.clone(),
            bytes,
        }
    }

    /// Holds bytes if the limit allows it.
    #[must_use]
    pub fn try_hold(&self, bytes: usize) -> Option<HeldBytes> {
        let mut held = self.hold(0);
        held.try_grow(bytes).then_some(held)
    }
}

impl HeldBytes {
    /// Holds more bytes if the limit allows it; returns whether it does.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let state = &self.budget.state;
        let grown = |held: usize| {
            let held = held.checked_add(bytes)?;
            (held <= state.limit_bytes).then_some(held)
        };
        let is_allowed = state
            .held_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown)
            .is_ok();
        if is_allowed {
            self.bytes += bytes;
        }
        is_allowed
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = &self.budget.state.held_bytes;
        held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
