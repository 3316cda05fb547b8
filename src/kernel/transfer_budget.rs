//! Limits how many bytes of whole lists an instance sends to peers at a time.
//!
//! Load pattern: all instances of a site start together, and hundreds of them ask the few members
//! that they know for lists of megabytes. Sent all at once over one link, none of the lists would
//! arrive in time. Requests beyond what the link carries soon are refused at once, so that their
//! senders ask another member.

use std::time::Duration;

/// Share of the link for lists; the rest is left for calls and heartbeats.
const LINK_SHARE: f64 = 0.5;
/// Longest time until the link has sent all admitted lists.
const BACKLOG_MAX: Duration = Duration::from_secs(1);
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// Budget of one instance's link.
#[derive(Debug)]
pub struct TransferBudget {
    bytes_per_s: f64,
    /// Time at which the admitted lists will have been sent.
    busy_until: Duration,
}

impl TransferBudget {
    /// Creates the budget of a link with this bandwidth.
    #[must_use]
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_s: link_mbps * BYTES_PER_S_PER_MBPS * LINK_SHARE,
            busy_until: Duration::ZERO,
        }
    }

    /// Admits a list of this size, or returns `false` if the link is busy with others. A list is
    /// admitted on an idle link however large it is.
    pub fn try_admit(&mut self, bytes: usize, now: Duration) -> bool {
        let begins_at = self.busy_until.max(now);
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        let ends_at = begins_at + Duration::from_secs_f64(bytes / self.bytes_per_s);
        let is_admitted = begins_at == now || ends_at <= now + BACKLOG_MAX;
        if is_admitted {
            self.busy_until = ends_at;
        }
        is_admitted
    }
}
