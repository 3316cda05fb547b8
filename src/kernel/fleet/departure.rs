//! Endpoints that leave: who noticed it, when they end, and what other members are told.

use std::time::Duration;

use super::{Availability, Fleet, FleetChange};

/// How long each instance gossips the notice that an endpoint is draining, unless the list reports
/// it. This is several times the 3 s and 4 s after which all of 300 and of 2,300 members know such
/// an update (simulated by `news_site_of_*` in the tests).
const GOSSIP_FOR: Duration = Duration::from_secs(15);
/// Maximum number of endpoints named in one heartbeat, eight bytes each, even if thousands drain
/// while the list is unavailable. Successive heartbeats name different ones.
pub const DRAIN_NOTICES_MAX: usize = 32;
impl Fleet {
    /// Records that an endpoint is draining, according to the endpoint itself or to another member.
    /// The list may lag or be unavailable.
    pub fn record_drain_notice(&mut self, id: &str, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get_mut(id)?;
        if known.entry.leaving {
            return None;
        }
        let was_usable = known.is_usable();
        known.drain_notice_at = Some(now);
        known.mark_leaving(now);
        self.version += 1;
        was_usable.then(|| FleetChange::Left(known.entry.clone()))
    }

    /// Records the end that an endpoint announced. The earliest one counts.
    pub fn record_announced_end(&mut self, id: &str, end_at: Duration) {
        if let Some(known) = self.endpoints.get_mut(id)
            && known.announced_end_at.is_none_or(|known| end_at < known)
        {
            known.announced_end_at = Some(end_at);
            self.version += 1;
        }
    }

    /// Returns when an endpoint that is leaving is expected to end: as it announced, or else by the
    /// notice that others of its service gave. `None` if it is not known to leave.
    #[must_use]
    pub fn expected_end(&self, id: &str) -> Option<Duration> {
        let known = self.endpoints.get(id)?;
        let noticed_at = known
            .leaving_noticed_at
            .filter(|_| known.availability == Availability::Leaving)?;
        let predicted = || noticed_at + self.notice_times.estimate(&known.entry.service);
        Some(known.announced_end_at.unwrap_or_else(predicted))
    }

    /// Returns the short names of endpoints that were recently reported as draining by another
    /// source than the list, unless the list reports it now, for other members. `offset` selects
    /// the first one if there are too many for one heartbeat.
    #[must_use]
    pub fn drain_notices(&self, offset: usize, now: Duration) -> Vec<u64> {
        let all = self.endpoints.values();
        let recent = all.filter(|known| {
            let noticed_at = known.drain_notice_at;
            noticed_at.is_some_and(|at| now.saturating_sub(at) < GOSSIP_FOR)
        });
        let mut short_names: Vec<u64> = recent.map(|known| known.short_name).collect();
        let count = short_names.len().max(1);
        short_names.rotate_left(offset % count);
        short_names.truncate(DRAIN_NOTICES_MAX);
        short_names
    }

    /// Applies drain notices received from another member.
    pub fn apply_drain_notices(&mut self, short_names: &[u64], now: Duration) -> Vec<FleetChange> {
        if short_names.is_empty() {
            return Vec::new();
        }
        let all = self.endpoints.values();
        let draining = all.filter(|known| short_names.contains(&known.short_name));
        let draining: Vec<String> = draining.map(|known| known.entry.id.clone()).collect();
        let changes = draining
            .iter()
            .filter_map(|id| self.record_drain_notice(id, now));
        changes.collect()
    }
}
