//! Work of which one piece at a time is enough.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Gives out one turn at a time.
#[derive(Debug, Default)]
pub struct OneAtATime {
    taken: Arc<AtomicBool>,
}

/// A turn; the next one can begin once it is dropped.
#[derive(Debug)]
pub struct Turn {
    taken: Arc<AtomicBool>,
}

impl OneAtATime {
    /// A turn; nothing while another one is taken.
    #[must_use]
    pub fn begin(&self) -> Option<Turn> {
        let was_taken = self.taken.swap(true, Ordering::AcqRel);
        (!was_taken).then(|| Turn {
            taken: self.taken.clone(),
        })
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.taken.store(false, Ordering::Release);
    }
}
