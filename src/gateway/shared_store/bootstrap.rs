//! The first words of a subject: nothing is known here, callers are waiting, and perhaps the whole site is starting.

use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use rand::seq::IteratorRandom;
use spdlog::info;

use super::{SharedStore, no_source};
use crate::gateway::site_store::{SitePage, StoreResult, Subject};
use crate::kernel::clock::millis;
use crate::kernel::store_sources::Source;

/// Longest wait for first words at another instance that knows nothing either.
const BOOTSTRAP_PEER_WAIT: Duration = Duration::from_millis(350);
/// Pause between calls to the store while nothing is known of a subject and none was answered; five times what a sound store takes on a day
/// on which it is ten times as slow.
const BOOTSTRAP_STORE_INTERVAL: Duration = Duration::from_millis(200);
/// How much later than the readers others ask the store: a store that is there has answered them by then. Meant to save calls when all start
/// together; no saving was seen: 2,017 calls on a quiet day of 295 instances without it, 2,076 with it, one run each.
const READER_HEAD_START: Duration = Duration::from_millis(60);
/// Pause before peers that know nothing are asked again: some of them may not have been listening yet.
const BOOTSTRAP_PEER_PAUSE: Duration = Duration::from_millis(50);
/// Members asked at once for words of any age.
const STALE_READ_PEERS: usize = 8;
/// Calls before the instances that start, too, are asked once more.
const BOOTSTRAP_STORE_CALLS: u32 = 4;

impl SharedStore {
    /// Reads a subject of which nothing is known: from what other instances know, else from the store and from those that are starting,
    /// too, together. Gain: 0.008 of worth (+-0.0035) on a day that ends with a loss of all instances in an outage of the store, mean of six
    /// paired seeds.
    pub(super) async fn bootstrap(
        &self,
        subject: Subject,
        sources: Vec<(Source, Option<String>)>,
    ) -> StoreResult<SitePage> {
        let is_peer = |(source, _): &(Source, Option<String>)| *source != Source::Store;
        let peers: Vec<_> = sources
            .iter()
            .filter(|candidate| is_peer(candidate))
            .cloned()
            .collect();
        let mut read = Err(no_source());
        if !peers.is_empty() {
            read = self
                .read_first_success(peers, subject, None, Duration::ZERO)
                .await;
        }
        let has_store = sources.iter().any(|candidate| !is_peer(candidate));
        if read.is_err() {
            read = self.read_store_and_starting_peers(sources, subject).await;
        }
        if read.is_err() && !has_store && self.can_ask_store(subject) {
            let store = (Source::Store, None);
            read = self
                .read_from_source(store, subject, None, Duration::ZERO)
                .await;
        }
        if read.is_err()
            && let Some(page) = self.read_stale_from_peers(subject).await
        {
            read = Ok(page);
        }
        self.record_outcome(subject, &read);
        read
    }

    /// Reads from the store and, for as long as it is asked, again and again from peers that are starting, too: one of them may have an answer
    /// long before the calls from here are given up. Asked once, two of six instances served 0.8 s after the others.
    async fn read_store_and_starting_peers(
        &self,
        sources: Vec<(Source, Option<String>)>,
        subject: Subject,
    ) -> StoreResult<SitePage> {
        let (store, peers): (Vec<_>, Vec<_>) = sources
            .into_iter()
            .partition(|(source, _)| *source == Source::Store);
        if peers.is_empty() {
            return self
                .read_first_success(store, subject, None, Duration::ZERO)
                .await;
        }
        if store.is_empty() {
            return self
                .read_first_success(peers, subject, None, BOOTSTRAP_PEER_WAIT)
                .await;
        }
        let head_start = if self.live.view().readers().reads_store() {
            Duration::ZERO
        } else {
            READER_HEAD_START
        };
        let store_read = async {
            tokio::time::sleep(head_start).await;
            self.read_first_success(store, subject, None, Duration::ZERO)
                .await
        };
        let peers_read = self.poll_peers(
            peers,
            subject,
            BOOTSTRAP_STORE_INTERVAL * BOOTSTRAP_STORE_CALLS,
        );
        let reads: [futures::future::BoxFuture<'_, _>; 2] =
            [Box::pin(store_read), Box::pin(peers_read)];
        let (page, _) = futures::future::select_ok(reads).await?;
        Ok(page)
    }

    /// Asks peers until one knows something, for no longer than given beside the last read.
    async fn poll_peers(
        &self,
        peers: Vec<(Source, Option<String>)>,
        subject: Subject,
        duration: Duration,
    ) -> StoreResult<SitePage> {
        let deadline = self.clock.now() + duration;
        loop {
            let wait = BOOTSTRAP_PEER_WAIT;
            let read = self
                .read_first_success(peers.clone(), subject, None, wait)
                .await;
            if read.is_ok() || self.clock.now() >= deadline {
                return read;
            }
            tokio::time::sleep(BOOTSTRAP_PEER_PAUSE).await;
        }
    }

    fn can_ask_store(&self, subject: Subject) -> bool {
        let sources = self.shard(subject).sources.lock();
        sources.can_ask_store(self.clock.now())
    }

    /// What a member knows, however old: an instance that starts while the store is down serves what the others serve. A few are asked at
    /// once: one after the other, 100 members that know as little take longer to ask than an outage lasts.
    async fn read_stale_from_peers(&self, subject: Subject) -> Option<SitePage> {
        let live = self.live.view();
        let others = live.members().iter();
        let others = others.filter(|member| member.name != self.own_name);
        let sampled = others.sample(&mut rand::rng(), STALE_READ_PEERS);
        let reads = sampled.into_iter().map(|member| {
            Box::pin(async move {
                let address = &member.peer_address;
                let read = self.read_from_peer(address, subject, None, Duration::ZERO, true);
                read.await.map(|aged| (member, aged))
            })
        });
        let reads: Vec<_> = reads.collect();
        if reads.is_empty() {
            return None;
        }
        let ((member, aged), _) = futures::future::select_ok(reads).await.ok()?;
        info!("started from the words of a member", kv: {
            subject = subject.name(), member = member.name.as_str(), age_ms: = millis(aged.age),
        });
        Some(self.cache_page(subject, None, aged))
    }

    /// Asks the store again while it has not answered yet: a call that began while the store was silent is lost, and callers are waiting.
    pub(super) async fn read_latest_with_retries(&self, subject: Subject) -> StoreResult<SitePage> {
        let mut calls = FuturesUnordered::new();
        calls.push(self.store().read_latest(subject));
        for _ in 1..BOOTSTRAP_STORE_CALLS {
            match tokio::time::timeout(BOOTSTRAP_STORE_INTERVAL, calls.next()).await {
                Ok(Some(Ok(page))) => return Ok(page),
                Ok(_) => tokio::time::sleep(BOOTSTRAP_STORE_INTERVAL).await,
                Err(_) => {}
            }
            calls.push(self.store().read_latest(subject));
        }
        let mut last = Err(no_source());
        while let Some(read) = calls.next().await {
            last = read;
            if last.is_ok() {
                break;
            }
        }
        last
    }
}
