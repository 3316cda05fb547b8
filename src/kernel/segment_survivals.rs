//! Prompt segments that engines have answered of late.
//!
//! Each instance remembers them for itself: only once a segment is suspected does it matter whether
//! it was answered, and then its suspect tells the others.

use std::collections::HashSet;
use std::time::Duration;

use super::fingerprint::Fingerprint;

/// Number of segments in one set; two sets take about 0.6 MB.
const SET_MAX: usize = 16_384;
/// A set is replaced after this time, so that a segment is remembered for once to twice as long.
const SET_AGE_MAX: Duration = Duration::from_mins(10);

/// Segments that software has answered, in two sets of which the older one is dropped at a time.
#[derive(Debug, Default)]
pub(super) struct SegmentSurvivals {
    /// At most [`SET_MAX`].
    current: HashSet<(u64, Fingerprint)>,
    previous: HashSet<(u64, Fingerprint)>,
    current_since: Duration,
}

impl SegmentSurvivals {
    /// Records that a request with this segment ran to its end on this software.
    pub(super) fn record(&mut self, software: u64, segment: Fingerprint, now: Duration) {
        let age = now.saturating_sub(self.current_since);
        if self.current.len() >= SET_MAX || age >= SET_AGE_MAX {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.current.insert((software, segment));
    }

    /// Returns whether a request with this segment ran to its end on this software of late.
    pub(super) fn contains(&self, software: u64, segment: Fingerprint) -> bool {
        let key = (software, segment);
        self.current.contains(&key) || self.previous.contains(&key)
    }
}
