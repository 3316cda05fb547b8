//! Serves reads of peers from the cached data of the store.

use std::time::Duration;

use super::{SUBJECTS, SharedStore};
use crate::gateway::chunked_pages::EncodedPage;
use crate::gateway::site_store::Subject;
use crate::kernel::clock::millis;
use crate::kernel::position::Position;
use crate::peer::generated as wire;

/// Time for which a recovery of the store is reported to peers.
const RECOVERY_REPORTED_FOR: Duration = Duration::from_secs(5);

impl SharedStore {
    /// Serves a peer's read from the cache, after waiting for new records for as long as the peer
    /// requested.
    ///
    /// # Errors
    /// The subject is unknown, or the requested records are not cached, or the cached data is too
    /// old or from an earlier era.
    pub(crate) async fn serve_peer_read(
        &self,
        request: &wire::ReadSiteRequest,
    ) -> Result<(wire::PageHead, EncodedPage), tonic::Status> {
        let subject = SUBJECTS
            .into_iter()
            .find(|subject| subject.name() == request.subject)
            .ok_or_else(|| tonic::Status::invalid_argument("unknown subject"))?;
        let shard = self.shard(subject);
        let wait = Duration::from_millis(request.wait_ms).min(self.peer_poll_wait(subject));
        let deadline = self.clock.now() + wait;
        let was_unavailable = self.is_store_unavailable(subject);
        let from = Position::new(request.from_era, request.from_offset);
        let defers_new_endpoints = self.defers_new_endpoints(subject);
        loop {
            let changed = shard.changed.notified();
            let has_update = {
                let cache = shard.cache.lock();
                let can_send_full = request.whole && cache.confirmed_at.is_some();
                let has_records =
                    cache.next > from && (!defers_new_endpoints || cache.has_urgent_since(from));
                can_send_full || has_records
            };
            let has_update = has_update || (!was_unavailable && self.is_store_unavailable(subject));
            let remaining = deadline.saturating_sub(self.clock.now());
            if has_update || tokio::time::timeout(remaining, changed).await.is_err() {
                return self.page_for_peer(subject, from, request);
            }
        }
    }

    /// Returns whether new endpoints are passed on only at the end of a peer's wait. At a large
    /// site, hundreds of servers may start in a second, and hundreds of members read here.
    fn defers_new_endpoints(&self, subject: Subject) -> bool {
        let live = self.live_members.view();
        subject == Subject::Endpoints && !live.readers().relays.is_empty()
    }

    fn page_for_peer(
        &self,
        subject: Subject,
        from: Position,
        request: &wire::ReadSiteRequest,
    ) -> Result<(wire::PageHead, EncodedPage), tonic::Status> {
        let now = self.clock.now();
        let recovered_at = self.recovered_at(subject);
        let since_recovery = recovered_at.map(|at| now.saturating_sub(at));
        let since_recovery = since_recovery.filter(|ago| *ago < RECOVERY_REPORTED_FOR);
        let since_failure = self.shard(subject).contact.lock().time_since_failure(now);
        let since_failure = since_failure.filter(|_| self.is_store_unavailable(subject));
        let mut cache = self.shard(subject).cache.lock();
        let confirmed_at = cache
            .confirmed_at
            .ok_or_else(|| tonic::Status::unavailable("nothing known yet"))?;
        let age = now.saturating_sub(confirmed_at);
        if age > self.peer_age_max(subject) && !request.any_age {
            return Err(tonic::Status::unavailable(
                "the store was not heard of late",
            ));
        }
        // Data of an earlier era is not served as current.
        let is_outdated = cache.next.era() < self.era().max(from.era());
        if is_outdated && !request.any_age {
            return Err(tonic::Status::unavailable(
                "the store came back from an older copy that was not read yet",
            ));
        }
        let page = if request.whole {
            cache.encoded_full()
        } else {
            cache.encoded_since(from)
        };
        let page = page.ok_or_else(|| tonic::Status::out_of_range("records are not kept here"))?;
        if request.whole && !self.transfer_budget.lock().try_admit(page.bytes.len(), now) {
            return Err(tonic::Status::resource_exhausted(
                "busy with other transfers",
            ));
        }
        let next = cache.next.max(from);
        let head = wire::PageHead {
            next_offset: next.offset(),
            era: next.era(),
            age_ms: millis(age),
            regained_ms_ago: since_recovery.map_or(0, |ago| millis(ago).max(1)),
            compressed: page.compressed,
            store_failed_ms_ago: since_failure.map_or(0, |ago| millis(ago).max(1)),
        };
        Ok((head, page))
    }
}
