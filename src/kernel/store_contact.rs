//! Detection of store outages, based on failures reported by any instance.
//!
//! A reader notices at once when the store fails. Others, going by the age of the data alone, would
//! notice only when it becomes too old, on some sites two seconds later, while engines drain with
//! 1.5 s of notice. On a day on which engines leave while the store is unavailable for eight
//! seconds, sharing failures reduced the lost long generations from 910 to 791 of 5,001 (one run
//! each).

use std::time::Duration;

/// Time of the last known failure of the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreContact {
    failed_at: Option<Duration>,
}

impl StoreContact {
    /// Records a failure of the store, seen here or by another instance.
    pub fn record_failure(&mut self, at: Duration) {
        self.failed_at = self.failed_at.max(Some(at));
    }

    /// Returns the time since the last known failure of the store.
    #[must_use]
    pub fn time_since_failure(self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.failed_at?))
    }

    /// Returns whether the store has not answered any known instance since its last failure.
    /// `last_answer_at` is the time of its latest known answer. If the store rejects a single
    /// instance, newer answers still arrive through others.
    #[must_use]
    pub fn is_unavailable(self, last_answer_at: Option<Duration>) -> bool {
        self.failed_at
            .is_some_and(|failed_at| Some(failed_at) > last_answer_at)
    }
}
