//! Tracks whether the owners of services answer this instance, and what it decides alone if one
//! does not.
//!
//! An instance that is cut off from the others still has its callers and its engines. Waiting for
//! the owner at each generation would delay all of them, and no other instance can move its
//! generations away from draining engines.

use std::collections::HashMap;
use std::time::Duration;

/// Time for which an unanswered call counts. An instance that serves generations reports twice as
/// often.
const UNANSWERED_TTL: Duration = Duration::from_secs(2);
/// Time after which an unresponsive owner counts as cut off. An owner that is only slow has
/// answered a report by then.
const CUT_OFF_AFTER: Duration = Duration::from_millis(500);

/// The unanswered calls to an owner.
#[derive(Debug, Clone, Copy)]
struct UnansweredCalls {
    /// Time of the first unanswered call.
    since: Duration,
    /// Time of the last unanswered call; never earlier than `since`.
    last: Duration,
}

impl UnansweredCalls {
    fn is_current(self, now: Duration) -> bool {
        now.saturating_sub(self.last) < UNANSWERED_TTL
    }
}

/// The owners that do not answer, by service.
#[derive(Debug, Default)]
pub struct OwnerContact {
    unanswered: HashMap<String, UnansweredCalls>,
}

impl OwnerContact {
    /// Records whether the owner of a service answered a call. Returns whether this is a change.
    pub fn record_call(&mut self, service: &str, answered: bool, now: Duration) -> bool {
        if answered {
            return self.unanswered.remove(service).is_some();
        }
        let previous = self
            .unanswered
            .get(service)
            .filter(|unanswered| unanswered.is_current(now));
        let since = previous.map_or(now, |unanswered| unanswered.since);
        let is_change = previous.is_none();
        let unanswered = UnansweredCalls { since, last: now };
        self.unanswered.insert(service.to_owned(), unanswered);
        is_change
    }

    /// Returns whether the owner of a service did not answer a recent call. Until it answers, this
    /// instance places generations alone.
    #[must_use]
    pub fn is_unreachable(&self, service: &str, now: Duration) -> bool {
        let unanswered = self.unanswered.get(service);
        unanswered.is_some_and(|unanswered| unanswered.is_current(now))
    }

    /// Returns whether the owner of a service has not answered for some time. This instance then
    /// also moves its generations alone.
    #[must_use]
    pub fn is_cut_off(&self, service: &str, now: Duration) -> bool {
        let unanswered = self
            .unanswered
            .get(service)
            .filter(|unanswered| unanswered.is_current(now));
        unanswered.is_some_and(|unanswered| now.saturating_sub(unanswered.since) >= CUT_OFF_AFTER)
    }
}
