//! How often what the store holds is read again, and how old it may be, from the time within which a change has to be in force everywhere.
//!
//! An instance that is cut off from the store goes on telling others what it knew. They notice by the age of its words, and then need time to
//! ask elsewhere: the shares below add up to the age allowed, and leave 0.45 of the time for that. Where changes have four seconds, an instance reads
//! 3.5 times a second at others (counted at 295 instances); the waits that go with two seconds make 8.6 of it.

use std::time::Duration;

/// Share of the time for which a read at the store waits for news.
const STORE_WAIT_SHARE: f64 = 0.375;
/// The same where relays stand between readers and the others: one more wait goes into the age.
const STORE_WAIT_SHARE_RELAYED: f64 = 0.2;
/// Share of the time for which a read at another instance waits for news.
const PEER_WAIT_SHARE: f64 = 0.175;
/// Share of the time that a word of the store may be old when it is taken from another instance.
const AGE_SHARE_MAX: f64 = 0.55;
/// Share of the time after which the store counts as silent: above every age that occurs while it answers.
const SILENT_SHARE: f64 = 0.75;

/// The waits and ages that go with one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Freshness {
    change_within: Duration,
}

impl Freshness {
    /// Freshness by which a change is in force everywhere within this time.
    #[must_use]
    pub const fn new(change_within: Duration) -> Self {
        Self { change_within }
    }

    /// How long a read at the store waits for news.
    #[must_use]
    pub fn store_wait(self, is_relayed: bool) -> Duration {
        self.change_within.mul_f64(if is_relayed {
            STORE_WAIT_SHARE_RELAYED
        } else {
            STORE_WAIT_SHARE
        })
    }

    /// How long a read at another instance waits for news; its silence is noticed soon after.
    #[must_use]
    pub fn peer_wait(self) -> Duration {
        self.change_within.mul_f64(PEER_WAIT_SHARE)
    }

    /// How old a word of the store may be when it is taken from another instance.
    #[must_use]
    pub fn age_max(self) -> Duration {
        self.change_within.mul_f64(AGE_SHARE_MAX)
    }

    /// The store counts as silent when its last word is older than this.
    #[must_use]
    pub fn silent_after(self) -> Duration {
        self.change_within.mul_f64(SILENT_SHARE)
    }
}
