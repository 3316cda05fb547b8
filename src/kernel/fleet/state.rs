//! State of one endpoint.

use std::time::Duration;

use super::Availability;
use crate::kernel::endpoint_entry::EndpointEntry;

#[derive(Debug, Clone)]
pub(super) struct EndpointState {
    pub(super) entry: EndpointEntry,
    /// Never [`Availability::Evacuated`], which is derived from the hall.
    pub(super) availability: Availability,
    /// Time of the last change of `availability`.
    pub(super) since: Duration,
    /// Time from which an unlisted endpoint counts as leaving.
    pub(super) unlisted_deadline: Duration,
    /// Until when it is cold, as announced by itself or expected after its hall's return.
    pub(super) cold_until: Duration,
    /// Whether the list has an entry of this incarnation.
    pub(super) listed: bool,
    /// When a source other than the list reported that it is draining; `None` once the list reports
    /// it.
    pub(super) drain_notice_at: Option<Duration>,
    /// When this instance first learned that it leaves, or that its entry vanished; `None` if it is
    /// not known to leave.
    pub(super) leaving_noticed_at: Option<Duration>,
    /// Earliest end that it announced.
    pub(super) announced_end_at: Option<Duration>,
    /// Identifies this incarnation in messages between instances.
    pub(super) short_name: u64,
}

impl EndpointState {
    pub(super) fn is_usable(&self) -> bool {
        matches!(
            self.availability,
            Availability::Ready | Availability::Unlisted
        )
    }

    /// Marks it as leaving, regardless of later entries in the list.
    pub(super) fn mark_leaving(&mut self, now: Duration) {
        self.entry.leaving = true;
        self.leaving_noticed_at.get_or_insert(now);
        if self.availability != Availability::Leaving {
            self.availability = Availability::Leaving;
            self.since = now;
        }
    }

    /// Returns whether the loss of its entry changes its availability.
    pub(super) fn can_vanish(&self) -> bool {
        matches!(
            self.availability,
            Availability::Ready | Availability::Unreadable
        )
    }
}
