//! Answers other instances that read what the store holds through this one.

use std::time::Duration;

use super::{SUBJECTS, SharedStore};
use crate::gateway::chunked_pages::EncodedPage;
use crate::gateway::site_store::Subject;
use crate::kernel::clock::millis;
use crate::kernel::position::Position;
use crate::peer::generated as wire;

/// That the store came back from an outage is told for this long.
const REGAINED_TOLD: Duration = Duration::from_secs(5);
impl SharedStore {
    /// Answers another instance from what is known here; waits for news as it asks.
    pub(crate) async fn pass_on(
        &self,
        request: &wire::ReadSiteRequest,
    ) -> Result<(wire::PageHead, EncodedPage), tonic::Status> {
        let subject = SUBJECTS
            .into_iter()
            .find(|subject| subject.name() == request.subject)
            .ok_or_else(|| tonic::Status::invalid_argument("unknown subject"))?;
        let shard = self.shard(subject);
        let wait = Duration::from_millis(request.wait_ms).min(self.peer_wait(subject));
        let until = self.clock.now() + wait;
        let was_away = self.is_store_away(subject);
        let from = Position::new(request.from_era, request.from_offset);
        loop {
            let added = shard.added.notified();
            let has_news = {
                let cache = shard.cache.lock();
                let has_words = request.whole && cache.word_at.is_some();
                has_words || cache.next > from
            };
            let has_news = has_news || (!was_away && self.is_store_away(subject));
            let left = until.saturating_sub(self.clock.now());
            if has_news || tokio::time::timeout(left, added).await.is_err() {
                return self.page_for(subject, from, request);
            }
        }
    }

    fn page_for(
        &self,
        subject: Subject,
        from: Position,
        request: &wire::ReadSiteRequest,
    ) -> Result<(wire::PageHead, EncodedPage), tonic::Status> {
        let now = self.clock.now();
        let regained_at = self.regained_at(subject);
        let regained_ago = regained_at.map(|at| now.saturating_sub(at));
        let regained_ago = regained_ago.filter(|ago| *ago < REGAINED_TOLD);
        let failed_ago = self.shard(subject).contact.lock().time_since_failure(now);
        let failed_ago = failed_ago.filter(|_| self.is_store_away(subject));
        let mut cache = self.shard(subject).cache.lock();
        let word_at = cache
            .word_at
            .ok_or_else(|| tonic::Status::unavailable("nothing known yet"))?;
        let age = now.saturating_sub(word_at);
        if age > self.age_max(subject) && !request.any_age {
            return Err(tonic::Status::unavailable(
                "the store was not heard of late",
            ));
        }
        // What is known here of an earlier era is not passed on as the store's word of now.
        let is_outdated = cache.next.era() < self.era().max(from.era());
        if is_outdated && !request.any_age {
            return Err(tonic::Status::unavailable(
                "the store came back from an older copy that was not read yet",
            ));
        }
        let page = if request.whole {
            cache.encoded_whole()
        } else {
            cache.encoded_since(from)
        };
        let page = page.ok_or_else(|| tonic::Status::out_of_range("records are not kept here"))?;
        let next = cache.next.max(from);
        let head = wire::PageHead {
            next_offset: next.offset(),
            era: next.era(),
            age_ms: millis(age),
            regained_ms_ago: regained_ago.map_or(0, |ago| millis(ago).max(1)),
            compressed: page.compressed,
            store_failed_ms_ago: failed_ago.map_or(0, |ago| millis(ago).max(1)),
        };
        Ok((head, page))
    }
}
