//! Poll intervals and maximum ages of store data, derived from the time within which a change must
//! be in force everywhere.
//!
//! An instance that is cut off from the store continues to send what it knows. Other instances
//! notice this by the age of the data and then need time to ask elsewhere: the shares below add up
//! to the maximum age and leave 0.45 of the time for that. If changes have four seconds, an
//! instance reads 3.5 times a second from others (counted at 295 instances); with the poll
//! waits for two seconds, 8.6 times.

use std::time::Duration;

/// Share of the time for which a read from the store waits for new records.
const STORE_POLL_SHARE: f64 = 0.375;
/// Same as `STORE_POLL_SHARE` for sites with relays between readers and other members: one more
/// wait adds to the age.
const STORE_POLL_SHARE_RELAYED: f64 = 0.2;
/// Share of the time for which a read from another instance waits for new records.
const PEER_POLL_SHARE: f64 = 0.175;
/// Maximum age of store data accepted from another instance, as a share of the time.
const PEER_AGE_SHARE_MAX: f64 = 0.55;
/// Share of the time after which the store counts as unavailable: above every age that occurs while
/// it answers.
const STORE_TIMEOUT_SHARE: f64 = 0.75;

/// Delay after new records of endpoints, for readers and for the members of a site without relays:
/// short compared with the 1.5 s notice that engines give before they leave.
const ENDPOINTS_BATCHING_DELAY: Duration = Duration::from_millis(25);
/// Share of the time that relays wait after new records of endpoints.
const RELAY_BATCHING_SHARE: f64 = 0.02;
/// Share of the time that members wait after new records of endpoints if they read through relays.
/// While the servers of a large site start, hundreds of records come in a second.
const RELAYED_BATCHING_SHARE: f64 = 0.05;

/// Waits and ages for a given propagation time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Freshness {
    change_within: Duration,
}

impl Freshness {
    /// Returns the waits and ages with which a change is in force everywhere within this time.
    #[must_use]
    pub const fn new(change_within: Duration) -> Self {
        Self { change_within }
    }

    /// Returns how long a read from the store waits for new records.
    #[must_use]
    pub fn store_poll_wait(self, is_relayed: bool) -> Duration {
        self.change_within.mul_f64(if is_relayed {
            STORE_POLL_SHARE_RELAYED
        } else {
            STORE_POLL_SHARE
        })
    }

    /// Returns how long a read from another instance waits for new records. A failure of that
    /// instance is noticed soon after.
    #[must_use]
    pub fn peer_poll_wait(self) -> Duration {
        self.change_within.mul_f64(PEER_POLL_SHARE)
    }

    /// Returns the delay after new records of endpoints before the next ones are read.
    #[must_use]
    pub fn endpoints_batching_delay(
        self,
        has_relays: bool,
        reads_through_relays: bool,
    ) -> Duration {
        let share = if reads_through_relays {
            RELAYED_BATCHING_SHARE
        } else if has_relays {
            RELAY_BATCHING_SHARE
        } else {
            return ENDPOINTS_BATCHING_DELAY;
        };
        self.change_within.mul_f64(share)
    }

    /// Returns the maximum age of store data accepted from another instance.
    #[must_use]
    pub fn peer_age_max(self) -> Duration {
        self.change_within.mul_f64(PEER_AGE_SHARE_MAX)
    }

    /// Returns the age of the latest store data from which the store counts as unavailable.
    #[must_use]
    pub fn store_timeout(self) -> Duration {
        self.change_within.mul_f64(STORE_TIMEOUT_SHARE)
    }
}
