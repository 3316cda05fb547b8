//! Reads from one source, the store or a peer, and the order in which sources are tried.

use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};

use super::{AgedPage, SharedStore, TransferGuard, no_source};
use crate::gateway::site_store::{SitePage, StoreError, StoreResult, Subject};
use crate::kernel::clock::millis;
use crate::kernel::position::Position;
use crate::kernel::store_sources::Source;
use crate::peer::generated as wire;

/// Time allowed for the head of a peer's response, in addition to the poll wait of the request.
const PEER_HEAD_MARGIN: Duration = Duration::from_millis(200);
/// Shortest outage of the store after which entries may be missing: an entry expires after three
/// missed heartbeats of more than one second each, so no entry expires in a shorter outage.
const OUTAGE_MIN: Duration = Duration::from_secs(2);
/// Maximum time to a response of the store, in addition to the poll wait. Calls time out sooner, so
/// a call that took longer was answered in time but its response was read late.
const STORE_RESPONSE_MAX: Duration = Duration::from_secs(1);

/// Returns the error for the status with which a peer answered a read.
fn peer_error(status: &tonic::Status) -> StoreError {
    match status.code() {
        // The peer has read the whole list since, so it cannot continue from an earlier position,
        // now or later.
        tonic::Code::OutOfRange => StoreError::Expired { first_offset: 0 },
        tonic::Code::ResourceExhausted => StoreError::Busy,
        _ => StoreError::NoAnswer(status.message().to_owned()),
    }
}

impl SharedStore {
    /// Reads from the preferred source. If it fails, reads from all other peers concurrently, then
    /// from the store. Sequential reads could exceed the time within which a departure or a
    /// configuration must be known.
    pub(super) async fn read_from_any_source(
        &self,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let sources = self.sources(subject);
        if from.is_none() && self.has_no_data(subject) {
            return self.bootstrap(subject, sources).await;
        }
        let mut sources = sources.into_iter();
        let Some(first) = sources.next() else {
            return Err(no_source());
        };
        let first = self.read_from_source(first, subject, from, wait).await;
        if matches!(
            first,
            Ok(_) | Err(StoreError::Expired { .. } | StoreError::EraChanged { .. })
        ) {
            return first;
        }
        let (store, peers): (Vec<_>, Vec<_>) =
            sources.partition(|(source, _)| *source == Source::Store);
        let mut read = first;
        for group in [peers, store] {
            // A busy peer is no reason to ask the store, for which hundreds of instances may look
            // at the same time.
            if matches!(&read, Err(error) if *error != StoreError::Busy) && !group.is_empty() {
                read = self
                    .read_first_success(group, subject, from, Duration::ZERO)
                    .await;
            }
        }
        self.record_outcome(subject, &read);
        read
    }

    /// Reads from several sources concurrently and returns the first success. If there is none but
    /// one of them is only busy, returns that error, since it may answer soon.
    pub(super) async fn read_first_success(
        &self,
        sources: Vec<(Source, Option<String>)>,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let reads = sources
            .into_iter()
            .map(|source| self.read_from_source(source, subject, from, wait));
        let mut reads: FuturesUnordered<_> = reads.collect();
        let mut failure = no_source();
        while let Some(read) = reads.next().await {
            match read {
                Ok(page) => return Ok(page),
                Err(error) if failure != StoreError::Busy => failure = error,
                Err(_) => {}
            }
        }
        Err(failure)
    }

    pub(super) async fn read_from_source(
        &self,
        (source, address): (Source, Option<String>),
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let read = match &address {
            Some(address) => {
                self.read_from_peer(address, subject, from, wait, false)
                    .await
            }
            None => self.read_from_store(subject, from, wait).await,
        };
        match &read {
            Ok(aged) => self.observe_era(aged.page.next.era(), &source),
            Err(StoreError::EraChanged { era }) => self.observe_era(*era, &source),
            Err(_) => {}
        }
        match read {
            Ok(aged) => {
                self.record_source_success(subject, &source);
                Ok(self.cache_page(subject, from, aged))
            }
            // Not a failure of the source.
            Err(
                error @ (StoreError::Expired { .. }
                | StoreError::EraChanged { .. }
                | StoreError::Busy),
            ) => Err(error),
            Err(error) => {
                self.record_source_failure(subject, &source, &error);
                Err(error)
            }
        }
    }

    async fn read_from_store(
        &self,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<AgedPage> {
        let requested_at = self.clock.now();
        let through_relays = self.live_members.view().readers().reads_through_relays();
        let page = match from {
            Some(from) => self.store().read(subject, from, wait).await?,
            None if self.has_no_data(subject) && !through_relays => {
                self.read_latest_with_retries(subject).await?
            }
            None => self.store().read_latest(subject).await?,
        };
        // If peers supplied fresh data in the meantime, only this instance could not reach the
        // store, and no entry expired.
        let data_age = self.data_age(subject);
        if data_age.is_some_and(|age| age >= OUTAGE_MIN) {
            self.record_recovery(subject, self.clock.now());
        }
        // A response that waited unread while this process was suspended is that old. Treated as
        // new, it would be served to peers as current data.
        let elapsed = self.clock.now().saturating_sub(requested_at);
        let unread_for = match from {
            Some(_) => elapsed.saturating_sub(wait + STORE_RESPONSE_MAX),
            // Several calls, which may legitimately take longer.
            None => Duration::ZERO,
        };
        Ok(AgedPage {
            page,
            age: unread_for,
            since_recovery: None,
        })
    }

    pub(super) async fn read_from_peer(
        &self,
        address: &str,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
        any_age: bool,
    ) -> StoreResult<AgedPage> {
        let wait = wait.min(self.peer_poll_wait(subject));
        let requested_at = self.clock.now();
        let request = wire::ReadSiteRequest {
            subject: subject.name().to_owned(),
            whole: from.is_none(),
            from_offset: from.unwrap_or_default().offset(),
            from_era: from.unwrap_or_default().era(),
            wait_ms: millis(wait),
            any_age,
        };
        let response = self
            .peers
            .read_site(address, request, wait + PEER_HEAD_MARGIN)
            .await
            .map_err(|status| peer_error(&status))?;
        let head_at = self.clock.now();
        let head = response.head;
        let unread_for = head_at.saturating_sub(requested_at + wait + PEER_HEAD_MARGIN);
        let age = Duration::from_millis(head.age_ms) + unread_for;
        if age > self.peer_age_max(subject) && !any_age {
            let why = format!("the peer last reached the store {} ms ago", head.age_ms);
            return Err(StoreError::NoAnswer(why));
        }
        if head.era < self.era() && !any_age {
            let why = format!("the peer's data is from the earlier store era {}", head.era);
            return Err(StoreError::NoAnswer(why));
        }
        if from.is_some_and(|from| head.era > from.era()) {
            return Err(StoreError::EraChanged { era: head.era });
        }
        if head.store_failed_ms_ago > 0 {
            let ago = Duration::from_millis(head.store_failed_ms_ago);
            self.record_store_failure(subject, head_at.saturating_sub(ago));
        }
        let transfer = TransferGuard::start(&self.shard(subject).transfers);
        let page = response
            .receive_rest()
            .await
            .map_err(StoreError::NoAnswer)?;
        drop(transfer);
        let records = page.decode();
        let records = records.map_err(|error| StoreError::Malformed(error.to_string()))?;
        let since_recovery = Duration::from_millis(head.regained_ms_ago);
        Ok(AgedPage {
            page: SitePage {
                records,
                next: Position::new(head.era, head.next_offset),
            },
            // Includes the time of the transfer.
            age: age + self.clock.now().saturating_sub(head_at),
            since_recovery: (!since_recovery.is_zero()).then_some(since_recovery),
        })
    }
}
