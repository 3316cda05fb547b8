//! Shared access to the store: a few readers query the store itself, and all other instances query
//! a reader.
//!
//! Calls to the store are expensive, and a site may have thousands of instances. All sources use
//! the store's own offsets, so an instance can switch its source at any record. Every response
//! carries the time since the store last confirmed the data, so two instances that read from each
//! other notice when neither of them reaches the store.

mod bootstrap;
mod peer_reads;
mod source_reads;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use spdlog::{info, warn};
use tokio::sync::Notify;

use super::live_members::LiveMembers;
use super::site_store::{
    MemberEntry, SitePage, SiteSample, SiteStore, StoreError, StoreResult, StoredSuspect, Subject,
};
use super::subject_cache::SubjectCache;
use super::work_counters::{WorkCounters, WorkKind};
use crate::kernel::clock::Clock;
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::freshness::Freshness;
use crate::kernel::position::Position;
use crate::kernel::rollout::RolloutStatus;
use crate::kernel::store_contact::StoreContact;
use crate::kernel::store_sources::{Source, StoreSources};
use crate::kernel::transfer_budget::TransferBudget;
use crate::peer::client::PeerClients;
use crate::settings::routing::RoutingSettings;

/// Poll wait when reading the members from a peer. Heartbeats report changes of the members sooner.
const MEMBERS_PEER_POLL_WAIT: Duration = Duration::from_secs(2);
/// Poll wait when reading the members from the store.
const MEMBERS_STORE_POLL_WAIT: Duration = Duration::from_secs(5);
/// Maximum age of members data accepted from a peer. Longer than a reader's poll wait.
const MEMBERS_PEER_AGE_MAX: Duration = Duration::from_secs(12);

/// A page with the age of its data.
#[derive(Debug)]
struct AgedPage {
    page: SitePage,
    /// Time since the store last confirmed the data.
    age: Duration,
    /// Time since the store recovered from an outage; `None` if no recent recovery is known.
    since_recovery: Option<Duration>,
}

impl AgedPage {
    /// A page that the store has just sent.
    fn fresh(page: SitePage) -> Self {
        Self {
            page,
            age: Duration::ZERO,
            since_recovery: None,
        }
    }
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
    /// Whether the store has written this instance's entry.
    has_written_own_entry: AtomicBool,
    /// Limits the whole lists that peers read from this instance.
    transfer_budget: Mutex<TransferBudget>,
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
        routing: &RoutingSettings,
        work_counters: Arc<WorkCounters>,
    ) -> Self {
        Self {
            store,
            era: AtomicU64::new(0),
            has_written_own_entry: AtomicBool::new(false),
            transfer_budget: Mutex::new(TransferBudget::new(routing.link_mbps)),
            freshness: routing.freshness(),
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

    /// Returns the delay after new records of endpoints before the next ones are read.
    pub(crate) fn endpoints_batching_delay(&self) -> Duration {
        let live = self.live_members.view();
        let plan = live.readers();
        self.freshness
            .endpoints_batching_delay(!plan.relays.is_empty(), plan.reads_through_relays())
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

    /// Returns whether the store has written this instance's own entry.
    pub(crate) fn has_written_own_entry(&self) -> bool {
        self.has_written_own_entry.load(Ordering::Relaxed)
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

    /// Returns whether a page of this subject is being received from a peer.
    pub(crate) fn is_receiving(&self, subject: Subject) -> bool {
        self.shard(subject).transfers.load(Ordering::Relaxed) > 0
    }

    /// Returns the store itself and counts a call to it.
    fn store(&self) -> &dyn SiteStore {
        self.work_counters.increment(WorkKind::StoreCall);
        self.store.as_ref()
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

    /// Returns the position up to which the records of a subject are known.
    pub(crate) fn known_to(&self, subject: Subject) -> Position {
        self.shard(subject).cache.lock().next
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

    async fn read_sample(&self, subject: Subject) -> StoreResult<SiteSample> {
        self.store().read_sample(subject).await
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
        let written = self.store().announce(member).await;
        self.has_written_own_entry
            .fetch_or(written.is_ok(), Ordering::Relaxed);
        written
    }

    async fn write_rollout_status(
        &self,
        status: &RolloutStatus,
        at: Position,
    ) -> StoreResult<bool> {
        self.store().write_rollout_status(status, at).await
    }

    async fn store_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()> {
        self.store().store_suspect(suspect).await
    }

    async fn delete_suspect(&self, fingerprint: Fingerprint) -> StoreResult<()> {
        self.store().delete_suspect(fingerprint).await
    }
}
