//! A task that runs at most once at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Ensures that a task is not started while it is already running.
#[derive(Debug, Default)]
pub struct ExclusiveTask {
    is_running: Arc<AtomicBool>,
}

/// Marks the task as running until dropped.
#[derive(Debug)]
pub struct TaskGuard {
    is_running: Arc<AtomicBool>,
}

impl ExclusiveTask {
    /// Starts the task, or returns `None` if it is already running.
    #[must_use]
    pub fn try_start(&self) -> Option<TaskGuard> {
        let was_running = self.is_running.swap(true, Ordering::AcqRel);
        (!was_running).then(|| TaskGuard {
            is_running: self.is_running.clone(),
        })
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.is_running.store(false, Ordering::Release);
    }
}
