//! Endpoints that are listed, or were until a short time ago.
//!
//! An endpoint may vanish from the list for a moment and come back as the same start, as when the
//! store returns from an older copy. What it said of itself holds on meanwhile.

use std::collections::HashMap;
use std::time::Duration;

/// Time for which what is known of an endpoint outlasts its entry.
pub const UNLISTED_KEPT_FOR: Duration = Duration::from_secs(10);

/// The endpoints that are or recently were listed, by id of their start.
#[derive(Debug, Default)]
pub struct RecentlyListed {
    /// When each was last seen in the list.
    last_listed_at: HashMap<String, Duration>,
}

impl RecentlyListed {
    /// Records which endpoints are listed now, and forgets those that have been gone for longer than
    /// [`UNLISTED_KEPT_FOR`].
    pub fn update<'a>(&mut self, listed: impl Iterator<Item = &'a str>, now: Duration) {
        for endpoint in listed {
            match self.last_listed_at.get_mut(endpoint) {
                Some(last_listed_at) => *last_listed_at = now,
                None => {
                    self.last_listed_at.insert(endpoint.to_owned(), now);
                }
            }
        }
        self.last_listed_at
            .retain(|_, last_listed_at| now.saturating_sub(*last_listed_at) < UNLISTED_KEPT_FOR);
    }

    /// Returns whether an endpoint was listed at the last update, which was at this time.
    #[must_use]
    pub fn is_listed(&self, endpoint: &str, updated_at: Duration) -> bool {
        self.last_listed_at.get(endpoint) == Some(&updated_at)
    }

    /// Returns whether an endpoint is or recently was listed.
    #[must_use]
    pub fn contains(&self, endpoint: &str) -> bool {
        self.last_listed_at.contains_key(endpoint)
    }
}
