//! First read of a subject, while this instance has no data. Callers are waiting, and all instances
//! of the site may be starting at the same time.

use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use rand::RngExt;
use rand::seq::IteratorRandom;
use spdlog::info;

use super::{AgedPage, SharedStore, no_source};
use crate::gateway::site_store::{
    MemberEntry, SitePage, SiteRecord, SiteSample, StoreError, StoreResult, Subject,
};
use crate::kernel::clock::millis;
use crate::kernel::roles::{self, MemberCapacity};
use crate::kernel::store_sources::Source;

/// Poll wait at a peer that has no data either.
const BOOTSTRAP_PEER_WAIT: Duration = Duration::from_millis(350);
/// Interval between calls to the store while no call has been answered. Five times the response
/// time of a healthy store that is ten times slower than usual.
const BOOTSTRAP_STORE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before instances other than readers query the store. An available store has answered the
/// readers by then.
const READER_HEAD_START: Duration = Duration::from_millis(60);
/// Pause before peers without data are queried again; some of them may not have been listening yet.
const BOOTSTRAP_PEER_PAUSE: Duration = Duration::from_millis(50);
/// Members of a sample that are asked for all members in one round.
const SAMPLE_READ_PEERS: usize = 3;
/// Number of rounds in which members of a sample are asked; in each, those that failed are replaced.
const SAMPLE_READ_ROUNDS: u32 = 6;
/// Longest pause before busy members are asked again.
const BOOTSTRAP_BUSY_PAUSE: Duration = Duration::from_millis(200);
/// Number of members queried concurrently for data of any age.
const STALE_READ_PEERS: usize = 8;
/// Maximum number of calls to the store in one bootstrap read. Starting peers are polled for as
/// many intervals.
const BOOTSTRAP_STORE_CALLS: u32 = 4;

impl SharedStore {
    /// Reads a subject of which this instance has no data: from peers that have data, else
    /// concurrently from the store and from peers that are starting too, else stale data from any
    /// member.
    pub(super) async fn bootstrap(
        &self,
        subject: Subject,
        sources: Vec<(Source, Option<String>)>,
    ) -> StoreResult<SitePage> {
        if subject == Subject::Members
            && let Some(page) = self.bootstrap_members().await
        {
            return Ok(page);
        }
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
        if read == Err(StoreError::Busy) {
            return read;
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

    /// Reads the members of a site that starts: a sample from the store and, on a large site, the
    /// others from members of the sample. Returns `None` if the store or all of these members fail.
    ///
    /// If all of a thousand instances read the whole list from the store, it would send hundreds of
    /// megabytes. All of them read the same sample, so that only a few members answer for it.
    async fn bootstrap_members(&self) -> Option<SitePage> {
        let read = self.read_sample_with_retries(Subject::Members).await;
        let sample = match read {
            Ok(sample) => sample,
            Err(error) => {
                self.record_source_failure(Subject::Members, &Source::Store, &error);
                return None;
            }
        };
        if sample.is_complete {
            let aged = AgedPage::fresh(sample.page);
            self.record_source_success(Subject::Members, &Source::Store);
            return Some(self.cache_page(Subject::Members, None, aged));
        }
        let entries = sample.page.records.into_iter();
        let mut entries: Vec<MemberEntry> = entries
            .filter_map(|record| match record {
                SiteRecord::Member(entry) if entry.name != self.own_name => Some(entry),
                _ => None,
            })
            .collect();
        info!("members read from a sample", kv: { members: = entries.len() });
        for _ in 0..SAMPLE_READ_ROUNDS {
            let capacities: Vec<MemberCapacity> = entries
                .iter()
                .map(|entry| (entry.name.as_str(), entry.capacity_cores()))
                .collect();
            let chosen = roles::spread_by_capacity(&self.own_name, &capacities, SAMPLE_READ_PEERS);
            let chosen: Vec<String> = chosen.into_iter().map(str::to_owned).collect();
            let peers = entries
                .iter()
                .filter(|entry| chosen.contains(&entry.name))
                .map(|entry| {
                    let source = Source::Peer(entry.name.clone());
                    (source, Some(entry.peer_address.to_string()))
                });
            let read = self
                .read_first_success(peers.collect(), Subject::Members, None, BOOTSTRAP_PEER_WAIT)
                .await;
            match read {
                Ok(page) => return Some(page),
                Err(StoreError::Busy) => {
                    let pause = BOOTSTRAP_BUSY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.0));
                    tokio::time::sleep(pause).await;
                }
                Err(_) => entries.retain(|entry| !chosen.contains(&entry.name)),
            }
        }
        None
    }

    /// Reads a sample, repeating the call while the store has not answered.
    async fn read_sample_with_retries(&self, subject: Subject) -> StoreResult<SiteSample> {
        self.call_with_retries(subject, || self.store().read_sample(subject))
            .await
    }

    /// Reads from the store and meanwhile polls peers that are starting too: one of them may
    /// receive data long before the calls of this instance time out. With a single query of the
    /// peers, two of six instances began to serve 0.8 s after the others.
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
        let head_start = if self.live_members.view().readers().reads_store() {
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

    /// Polls peers until one returns data. Starts no further read once `duration` has passed.
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

    /// Reads a member's data regardless of its age, so that an instance that starts during an
    /// outage of the store serves what the others serve. Queries a few members concurrently:
    /// querying 100 members without data one after the other takes longer than an outage lasts.
    async fn read_stale_from_peers(&self, subject: Subject) -> Option<SitePage> {
        let live = self.live_members.view();
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
        info!("bootstrapped from cached data of a member", kv: {
            subject = subject.name(), member = member.name.as_str(), age_ms: = millis(aged.age),
        });
        Some(self.cache_page(subject, None, aged))
    }

    /// Reads the latest records, repeating the call while the store has not answered: a call that
    /// began while the store was unresponsive is lost, and callers are waiting.
    pub(super) async fn read_latest_with_retries(&self, subject: Subject) -> StoreResult<SitePage> {
        self.call_with_retries(subject, || self.store().read_latest(subject))
            .await
    }

    /// Makes a call to the store, and again after each interval without a success. Returns the first
    /// success.
    async fn call_with_retries<T, F: Future<Output = StoreResult<T>>>(
        &self,
        subject: Subject,
        call: impl Fn() -> F,
    ) -> StoreResult<T> {
        let mut calls = FuturesUnordered::new();
        calls.push(call());
        for _ in 1..BOOTSTRAP_STORE_CALLS {
            match tokio::time::timeout(BOOTSTRAP_STORE_INTERVAL, calls.next()).await {
                Ok(Some(Ok(result))) => return Ok(result),
                Ok(_) => {
                    self.shard(subject)
                        .last_read_failed
                        .store(true, Ordering::Relaxed);
                    tokio::time::sleep(BOOTSTRAP_STORE_INTERVAL).await;
                }
                Err(_) => {}
            }
            calls.push(call());
        }
        let mut last = Err(no_source());
        while let Some(result) = calls.next().await {
            last = result;
            if last.is_ok() {
                break;
            }
        }
        last
    }
}
