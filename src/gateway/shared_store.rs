//! Shared access to the store: a few readers query the store itself, and all other instances query
//! a reader.
//!
//! Calls to the store are expensive, and a site may have thousands of instances. All sources use
//! the store's own offsets, so an instance can switch its source at any record. Every response
//! carries the time since the store last confirmed the data, so two instances that read from each
//! other notice when neither of them reaches the store.

mod bootstrap;
mod peer_reads;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use spdlog::{info, warn};
use tokio::sync::Notify;

use super::live_members::LiveMembers;
use super::site_store::{
    MemberEntry, SitePage, SiteStore, StoreError, StoreResult, StoredSuspect, Subject,
};
use super::subject_cache::SubjectCache;
use super::work_counters::{WorkCounters, WorkKind};
use crate::kernel::clock::{Clock, millis};
use crate::kernel::fingerprint::RequestFingerprint;
use crate::kernel::freshness::Freshness;
use crate::kernel::position::Position;
use crate::kernel::store_contact::StoreContact;
use crate::kernel::store_sources::{Source, StoreSources};
use crate::peer::client::PeerClients;
use crate::peer::generated as wire;

/// Time allowed for the head of a peer's response, in addition to the poll wait of the request.
const PEER_HEAD_MARGIN: Duration = Duration::from_millis(200);

/// Poll wait when reading the members from a peer. Heartbeats report changes of the members sooner.
const MEMBERS_PEER_POLL_WAIT: Duration = Duration::from_secs(2);
/// Poll wait when reading the members from the store.
const MEMBERS_STORE_POLL_WAIT: Duration = Duration::from_secs(5);
/// Maximum age of members data accepted from a peer. Longer than a reader's poll wait.
const MEMBERS_PEER_AGE_MAX: Duration = Duration::from_secs(12);

/// Shortest outage of the store after which entries may be missing: an entry expires after three
/// missed heartbeats of more than one second each, so no entry expires in a shorter outage.
const OUTAGE_MIN: Duration = Duration::from_secs(2);
/// Maximum time to a response of the store, in addition to the poll wait. Calls time out sooner, so
/// a call that took longer was answered in time but its response was read late.
const STORE_RESPONSE_MAX: Duration = Duration::from_secs(1);

/// A page with the age of its data.
#[derive(Debug)]
struct AgedPage {
    page: SitePage,
    /// Time since the store last confirmed the data.
    age: Duration,
    /// Time since the store recovered from an outage; `None` if no recent recovery is known.
    since_recovery: Option<Duration>,
}

/// State of one subject.
struct SubjectShard {
    cache: Mutex<SubjectCache>,
    sources: Mutex<StoreSources>,
    /// Time at which the store recovered from its last outage.
    recovered_at: Mutex<Option<Duration>>,
    /// Last failed call to the store, by this instance or another one.
    contact: Mutex<StoreContact>,
    /// Source of the last successful read, used for logging.
    last_source: Mutex<Option<Source>>,
    /// Wakes waiting peer reads when records arrive or the store becomes unavailable.
    changed: Notify,
    /// Number of pages being received from peers.
    transfers: AtomicUsize,
    /// True if the last read failed at all sources.
    last_read_failed: AtomicBool,
}

/// Counts a page as being received until the guard is dropped.
struct TransferGuard<'a>(&'a AtomicUsize);

impl<'a> TransferGuard<'a> {
    fn start(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The store, read directly or through peers.
pub(crate) struct SharedStore {
    own_name: String,
    store: Arc<dyn SiteStore>,
    clock: Arc<dyn Clock>,
    peers: Arc<PeerClients>,
    live_members: Arc<LiveMembers>,
    freshness: Freshness,
    work_counters: Arc<WorkCounters>,
    /// The latest known era of the store.
    era: AtomicU64,
    shards: [SubjectShard; 3],
}

const SUBJECTS: [Subject; 3] = [Subject::Configuration, Subject::Endpoints, Subject::Members];

impl SharedStore {
    pub(crate) fn new(
        own_name: String,
        store: Arc<dyn SiteStore>,
        clock: Arc<dyn Clock>,
        peers: Arc<PeerClients>,
        live_members: Arc<LiveMembers>,
        freshness: Freshness,
        work_counters: Arc<WorkCounters>,
    ) -> Self {
        Self {
            store,
            era: AtomicU64::new(0),
            freshness,
            work_counters,
            clock,
            peers,
            live_members,
            shards: SUBJECTS.map(|subject| SubjectShard {
                cache: Mutex::new(SubjectCache::new(subject)),
                sources: Mutex::new(StoreSources::default()),
                recovered_at: Mutex::default(),
                contact: Mutex::default(),
                last_source: Mutex::default(),
                changed: Notify::new(),
                transfers: AtomicUsize::new(0),
                last_read_failed: AtomicBool::new(false),
            }),
            own_name,
        }
    }

    /// Returns the poll wait for reads from a peer.
    fn peer_poll_wait(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => self.freshness.peer_poll_wait(),
            Subject::Members => MEMBERS_PEER_POLL_WAIT,
        }
    }

    /// Returns the maximum age of data accepted from a peer.
    fn peer_age_max(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => self.freshness.peer_age_max(),
            Subject::Members => MEMBERS_PEER_AGE_MAX,
        }
    }

    /// Returns how long a read waits for new records.
    pub(crate) fn poll_wait(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => {
                let is_relayed = !self.live_members.view().readers().relays.is_empty();
                self.freshness.store_poll_wait(is_relayed)
            }
            Subject::Members => MEMBERS_STORE_POLL_WAIT,
        }
    }

    fn shard(&self, subject: Subject) -> &SubjectShard {
        let index = SUBJECTS.iter().position(|candidate| *candidate == subject);
        &self.shards[index.unwrap_or_default()]
    }

    /// Returns the sources of a subject in the order in which they are tried, with the addresses of
    /// peers.
    fn sources(&self, subject: Subject) -> Vec<(Source, Option<String>)> {
        let live = self.live_members.view();
        let now = self.clock.now();
        let shard = self.shard(subject);
        let sources = shard.sources.lock().ordered_sources(live.readers(), now);
        let with_addresses = sources.into_iter().map(|source| {
            let address = match &source {
                Source::Store => None,
                Source::Peer(name) => live.get(name).map(|member| member.peer_address.clone()),
            };
            (source, address)
        });
        with_addresses.collect()
    }

    fn record_source_failure(&self, subject: Subject, source: &Source, error: &StoreError) {
        // While this instance has no data, failures of peers are not recorded: a peer without data
        // may receive some shortly.
        if *source == Source::Store || !self.has_no_data(subject) {
            let jitter = rand::rng().random_range(0.0..1.0);
            let now = self.clock.now();
            let mut sources = self.shard(subject).sources.lock();
            sources.record_failure(source, now, jitter);
        }
        if *source == Source::Store {
            self.record_store_failure(subject, self.clock.now());
        }
        if crate::log::should_log("store source failed") {
            info!("store source failed", kv: { subject = subject.name(), source:?, why: = error });
        }
    }

    /// Records that a call to the store failed at this time, here or at another instance. Wakes
    /// waiting peer reads if the store thereby becomes unavailable.
    fn record_store_failure(&self, subject: Subject, at: Duration) {
        let was_unavailable = self.is_store_unavailable(subject);
        self.shard(subject).contact.lock().record_failure(at);
        if !was_unavailable && self.is_store_unavailable(subject) {
            self.shard(subject).changed.notify_waiters();
        }
    }

    /// Returns whether no instance is known to have reached the store since its last failure.
    pub(crate) fn is_store_unavailable(&self, subject: Subject) -> bool {
        let shard = self.shard(subject);
        let confirmed_at = shard.cache.lock().confirmed_at;
        shard.contact.lock().is_unavailable(confirmed_at)
    }

    /// Returns the latest known era of the store.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Records an era that was received from the store or a peer. A new era counts as a recovery:
    /// as after an outage, entries may be missing until they are written again.
    fn observe_era(&self, era: u64, source: &Source) {
        let before = self.era.fetch_max(era, Ordering::Relaxed);
        if era <= before {
            return;
        }
        let has_data = SUBJECTS
            .iter()
            .any(|candidate| !self.has_no_data(*candidate));
        if !has_data {
            return;
        }
        let now = self.clock.now();
        for subject in SUBJECTS {
            self.record_recovery(subject, now);
        }
        metrics::counter!("larkwick_store_returns_total").increment(1);
        warn!("store came back from an older copy", kv: { era:, before:, source:? });
    }

    fn record_source_success(&self, subject: Subject, source: &Source) {
        let shard = self.shard(subject);
        shard.sources.lock().record_success(source);
        let before = shard.last_source.lock().replace(source.clone());
        if before.as_ref() != Some(source) && crate::log::should_log("store source") {
            info!("store read through", kv: { subject = subject.name(), source:?, before:? });
        }
    }

    async fn read_from_peer(
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
            .map_err(StoreError::NoAnswer)?;
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

    /// Returns whether a page of this subject is being received from a peer.
    pub(crate) fn is_receiving(&self, subject: Subject) -> bool {
        self.shard(subject).transfers.load(Ordering::Relaxed) > 0
    }

    /// Reads from the preferred source. If it fails, reads from all other peers concurrently, then
    /// from the store. Sequential reads could exceed the time within which a departure or a
    /// configuration must be known.
    async fn read_from_any_source(
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
            if read.is_err() && !group.is_empty() {
                read = self
                    .read_first_success(group, subject, from, Duration::ZERO)
                    .await;
            }
        }
        self.record_outcome(subject, &read);
        read
    }

    /// Returns the store itself and counts a call to it.
    fn store(&self) -> &dyn SiteStore {
        self.work_counters.increment(WorkKind::StoreCall);
        self.store.as_ref()
    }

    /// Reads from several sources concurrently and returns the first success.
    async fn read_first_success(
        &self,
        sources: Vec<(Source, Option<String>)>,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let reads = sources
            .into_iter()
            .map(|source| Box::pin(self.read_from_source(source, subject, from, wait)));
        let (page, _) = futures::future::select_ok(reads).await?;
        Ok(page)
    }

    fn record_outcome(&self, subject: Subject, read: &StoreResult<SitePage>) {
        let last_read_failed = &self.shard(subject).last_read_failed;
        last_read_failed.store(read.is_err(), Ordering::Relaxed);
    }

    /// Returns whether no data of this subject was ever received, from the store or from peers.
    pub(crate) fn has_no_data(&self, subject: Subject) -> bool {
        self.shard(subject).cache.lock().confirmed_at.is_none()
    }

    /// Returns whether the last read of this subject failed at the store and at all peers.
    pub(crate) fn is_failing(&self, subject: Subject) -> bool {
        self.shard(subject).last_read_failed.load(Ordering::Relaxed)
    }

    async fn read_from_source(
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
            // Not a failure of the source: only the store itself reports records as permanently
            // gone.
            Err(error @ (StoreError::Expired { .. } | StoreError::EraChanged { .. })) => Err(error),
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

    fn record_recovery(&self, subject: Subject, at: Duration) {
        let mut recovered_at = self.shard(subject).recovered_at.lock();
        *recovered_at = Some(at).max(*recovered_at);
    }

    /// Returns the time since the store last confirmed the data of this subject; `None` before the
    /// first data.
    pub(crate) fn data_age(&self, subject: Subject) -> Option<Duration> {
        let confirmed_at = self.shard(subject).cache.lock().confirmed_at?;
        Some(self.clock.now().saturating_sub(confirmed_at))
    }

    /// Returns the time at which the store recovered from its last known outage.
    pub(crate) fn recovered_at(&self, subject: Subject) -> Option<Duration> {
        *self.shard(subject).recovered_at.lock()
    }

    /// Adds a page to the cache that peers read from.
    fn cache_page(&self, subject: Subject, from: Option<Position>, aged: AgedPage) -> SitePage {
        let now = self.clock.now();
        if let Some(ago) = aged.since_recovery {
            self.record_recovery(subject, now.saturating_sub(ago));
        }
        let confirmed_at = now.saturating_sub(aged.age);
        let page = aged.page;
        let shard = self.shard(subject);
        shard.last_read_failed.store(false, Ordering::Relaxed);
        {
            let mut cache = shard.cache.lock();
            match from {
                Some(from) => cache.extend(from, &page, confirmed_at),
                None if page.next.era() >= cache.next.era() => cache.replace(&page, confirmed_at),
                // In transit while the store was restored. The caller continues from the end of
                // this page, and its next read reports the new era.
                None => {
                    info!("page of an earlier era left aside", kv: { subject = subject.name(), next: = page.next });
                }
            }
        }
        if !page.records.is_empty() || from.is_none() {
            shard.changed.notify_waiters();
        }
        page
    }
}

fn no_source() -> StoreError {
    StoreError::NoAnswer("no source available".to_owned())
}

#[async_trait::async_trait]
impl SiteStore for SharedStore {
    async fn read_latest(&self, subject: Subject) -> StoreResult<SitePage> {
        self.read_from_any_source(subject, None, Duration::ZERO)
            .await
    }

    async fn read(
        &self,
        subject: Subject,
        from: Position,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        self.read_from_any_source(subject, Some(from), wait).await
    }

    async fn announce(&self, member: &MemberEntry) -> StoreResult<()> {
        self.store().announce(member).await
    }

    async fn store_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()> {
        self.store().store_suspect(suspect).await
    }

    async fn delete_suspect(&self, fingerprint: RequestFingerprint) -> StoreResult<()> {
        self.store().delete_suspect(fingerprint).await
    }
}
