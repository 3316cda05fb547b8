//! Whether the owners of services answer an instance, and what it decides alone while one does not.
//!
//! An instance that is cut off from the others still has its callers and its engines. If it waited for the owner at each generation, all of them
//! would come late; and nobody else can move what it serves off engines that leave.
//!
//! Gain: 0.25 of worth on a day on which a third of 62 instances is cut off from all others twice, mean of two paired seeds, together with the spread
//! of those that place alone.

use std::collections::HashMap;
use std::time::Duration;

/// A call that an owner did not answer counts for this long; an instance that serves generations reports twice as often.
const LOST_KEPT: Duration = Duration::from_secs(2);
/// An owner that was only slow has answered a report by then.
const CUT_OFF_AFTER: Duration = Duration::from_millis(500);

/// An owner that does not answer.
#[derive(Debug, Clone, Copy)]
struct Lost {
    /// When it did not answer for the first time.
    since: Duration,
    /// When it did not answer last; never before `since`.
    last: Duration,
}

impl Lost {
    fn counts(self, now: Duration) -> bool {
        now.saturating_sub(self.last) < LOST_KEPT
    }
}

/// The owners that do not answer, by service.
#[derive(Debug, Default)]
pub struct OwnerContact {
    lost: HashMap<String, Lost>,
}

impl OwnerContact {
    /// The owner of a service answered a call, or did not. Gives whether that is news.
    pub fn note(&mut self, service: &str, answered: bool, now: Duration) -> bool {
        if answered {
            return self.lost.remove(service).is_some();
        }
        let before = self.lost.get(service).filter(|lost| lost.counts(now));
        let since = before.map_or(now, |lost| lost.since);
        let is_news = before.is_none();
        let lost = Lost { since, last: now };
        self.lost.insert(service.to_owned(), lost);
        is_news
    }

    /// Whether the owner of a service did not answer the last call, of late: until it does, the instance places alone.
    #[must_use]
    pub fn is_lost(&self, service: &str, now: Duration) -> bool {
        let lost = self.lost.get(service);
        lost.is_some_and(|lost| lost.counts(now))
    }

    /// Whether the owner of a service has not answered for some time: then the instance moves its generations alone, too.
    #[must_use]
    pub fn is_cut_off(&self, service: &str, now: Duration) -> bool {
        let lost = self.lost.get(service).filter(|lost| lost.counts(now));
        lost.is_some_and(|lost| now.saturating_sub(lost.since) >= CUT_OFF_AFTER)
    }
}
