//! The store as seen through other instances: a few readers ask the store itself, the others ask a reader.
//!
//! A call to the store is dear and there may be thousands of instances. Offsets are the store's own, so an instance can change its
//! source at any record. Every answer carries the age of the last word of the store, so that two instances that read from each
//! other notice when neither hears the store any more.

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
use super::tally::{Tally, Work};
use crate::kernel::clock::{Clock, millis};
use crate::kernel::content::ContentId;
use crate::kernel::freshness::Freshness;
use crate::kernel::position::Position;
use crate::kernel::store_contact::StoreContact;
use crate::kernel::store_sources::{Source, StoreSources};
use crate::peer::client::PeerClients;
use crate::peer::generated as wire;

/// On top of its wait, the head of another instance's answer may take this long.
const PEER_HEAD_MARGIN: Duration = Duration::from_millis(200);

/// How long a read of the members at another instance waits for news: heartbeats tell of members sooner.
const MEMBERS_PEER_POLL_WAIT: Duration = Duration::from_secs(2);
/// How long a read of the members at the store waits for news.
const MEMBERS_STORE_POLL_WAIT: Duration = Duration::from_secs(5);
/// How old a word on the members may be when it is taken from another instance. Longer than a reader waits for news.
const MEMBERS_PEER_AGE_MAX: Duration = Duration::from_secs(12);

/// An entry lapses after three silent heartbeats of more than a second each, so that shorter outages take none away.
const OUTAGE_MIN: Duration = Duration::from_secs(2);
/// Beside its wait, a call to the store that takes longer than this was not answered late but read late: calls are given up sooner.
const STORE_RESPONSE_MAX: Duration = Duration::from_secs(1);
/// A page, and how fresh it is.
#[derive(Debug)]
struct AgedPage {
    page: SitePage,
    /// Age of the store's last word.
    age: Duration,
    /// Time since the store came back from an outage, where that was of late.
    since_recovery: Option<Duration>,
}

struct SubjectShard {
    cache: Mutex<SubjectCache>,
    sources: Mutex<StoreSources>,
    /// When the store came back from its last outage.
    recovered_at: Mutex<Option<Duration>>,
    /// When the store last failed somebody, here or elsewhere.
    contact: Mutex<StoreContact>,
    /// Source last used, for the log.
    last_source: Mutex<Option<Source>>,
    changed: Notify,
    /// Pages that are on their way here from other instances.
    transfers: AtomicUsize,
    /// Whether the last read failed at all sources.
    last_read_failed: AtomicBool,
}

/// Counts a page as on its way for as long as it lives.
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

/// The store, read directly or through other instances.
pub(crate) struct SharedStore {
    own_name: String,
    store: Arc<dyn SiteStore>,
    clock: Arc<dyn Clock>,
    peers: Arc<PeerClients>,
    live: Arc<LiveMembers>,
    freshness: Freshness,
    tally: Arc<Tally>,
    /// The latest era of the store that was heard of.
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
        live: Arc<LiveMembers>,
        freshness: Freshness,
        tally: Arc<Tally>,
    ) -> Self {
        Self {
            store,
            era: AtomicU64::new(0),
            freshness,
            tally,
            clock,
            peers,
            live,
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

    /// How long a read at another instance waits for news.
    fn peer_poll_wait(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => self.freshness.peer_poll_wait(),
            Subject::Members => MEMBERS_PEER_POLL_WAIT,
        }
    }

    /// How old a word of the store may be when it is taken from another instance.
    fn peer_age_max(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => self.freshness.peer_age_max(),
            Subject::Members => MEMBERS_PEER_AGE_MAX,
        }
    }

    /// How long a read waits for news.
    pub(crate) fn poll_wait(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => {
                let is_relayed = !self.live.view().readers().relays.is_empty();
                self.freshness.store_poll_wait(is_relayed)
            }
            Subject::Members => MEMBERS_STORE_POLL_WAIT,
        }
    }

    fn shard(&self, subject: Subject) -> &SubjectShard {
        let index = SUBJECTS.iter().position(|candidate| *candidate == subject);
        &self.shards[index.unwrap_or_default()]
    }

    /// Sources of a subject in the order in which they are tried, with the addresses of peers.
    fn sources(&self, subject: Subject) -> Vec<(Source, Option<String>)> {
        let live = self.live.view();
        let now = self.clock.now();
        let shard = self.shard(subject);
        let sources = shard.sources.lock().ordered_sources(live.readers(), now);
        let with_address = sources.into_iter().map(|source| {
            let address = match &source {
                Source::Store => None,
                Source::Peer(name) => live.get(name).map(|member| member.peer_address.clone()),
            };
            (source, address)
        });
        with_address.collect()
    }

    fn record_source_failure(&self, subject: Subject, source: &Source, error: &StoreError) {
        // A peer that knows as little as this instance may know more in a moment.
        if *source == Source::Store || !self.has_no_data(subject) {
            let jitter = rand::rng().random_range(0.0..1.0);
            let now = self.clock.now();
            let mut sources = self.shard(subject).sources.lock();
            sources.record_failure(source, now, jitter);
        }
        if *source == Source::Store {
            self.record_store_failure(subject, self.clock.now());
        }
        if crate::log::admits("store source failed") {
            info!("store source failed", kv: { subject = subject.name(), source:?, why: = error });
        }
    }

    /// The store failed at this time, here or elsewhere. Who waits for news here is told at once.
    fn record_store_failure(&self, subject: Subject, at: Duration) {
        let was_unavailable = self.is_store_unavailable(subject);
        self.shard(subject).contact.lock().record_failure(at);
        if !was_unavailable && self.is_store_unavailable(subject) {
            self.shard(subject).changed.notify_waiters();
        }
    }

    /// Whether nobody is known to have heard the store since it last failed.
    pub(crate) fn is_store_unavailable(&self, subject: Subject) -> bool {
        let shard = self.shard(subject);
        let last_confirmed_at = shard.cache.lock().last_confirmed_at;
        shard.contact.lock().is_unavailable(last_confirmed_at)
    }

    /// The latest era of the store that was heard of.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// An era was heard of, from the store or another instance. In a new one entries may be missing that are written again in a moment, as after an
    /// outage.
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
        if before.as_ref() != Some(source) && crate::log::admits("store source") {
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
            let why = format!("the peer heard the store {} ms ago", head.age_ms);
            return Err(StoreError::NoAnswer(why));
        }
        if head.era < self.era() && !any_age {
            let why = format!("the peer's word is of the store's era {}", head.era);
            return Err(StoreError::NoAnswer(why));
        }
        if from.is_some_and(|from| head.era > from.era()) {
            return Err(StoreError::EraChanged { era: head.era });
        }
        if head.store_failed_ms_ago > 0 {
            let ago = Duration::from_millis(head.store_failed_ms_ago);
            self.record_store_failure(subject, head_at.saturating_sub(ago));
        }
        let transfers = TransferGuard::start(&self.shard(subject).transfers);
        let page = response.rest().await.map_err(StoreError::NoAnswer)?;
        drop(transfers);
        let records = page.decode();
        let records = records.map_err(|fault| StoreError::Malformed(fault.to_string()))?;
        let since_recovery = Duration::from_millis(head.regained_ms_ago);
        Ok(AgedPage {
            page: SitePage {
                records,
                next: Position::new(head.era, head.next_offset),
            },
            // The transfer may have taken its time, too.
            age: age + self.clock.now().saturating_sub(head_at),
            since_recovery: (!since_recovery.is_zero()).then_some(since_recovery),
        })
    }

    /// Whether a page of a subject is on its way here from another instance.
    pub(crate) fn is_receiving(&self, subject: Subject) -> bool {
        self.shard(subject).transfers.load(Ordering::Relaxed) > 0
    }

    /// Reads from the source that comes first; when it fails, from all other instances at once, and last from the store: one after the
    /// other they could take longer than a departure or a configuration may stay unknown.
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

    /// The store itself; each use of it is a call.
    fn store(&self) -> &dyn SiteStore {
        self.tally.count(Work::StoreCall);
        self.store.as_ref()
    }

    /// Reads from several sources at once; the first answer counts.
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

    /// Whether the store was never heard of a subject, neither here nor through others.
    pub(crate) fn has_no_data(&self, subject: Subject) -> bool {
        self.shard(subject).cache.lock().last_confirmed_at.is_none()
    }

    /// Whether neither the store nor any instance answered the last read of a subject.
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
            // Only the store itself knows which records are gone for good.
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
        let through_relays = self.live.view().readers().reads_through_relays();
        let page = match from {
            Some(from) => self.store().read(subject, from, wait).await?,
            None if self.has_no_data(subject) && !through_relays => {
                self.read_latest_with_retries(subject).await?
            }
            None => self.store().read_latest(subject).await?,
        };
        // Where others passed on fresh words meanwhile, only this instance was turned away, and no entry lapsed.
        let silent_for = self.data_age(subject);
        if silent_for.is_some_and(|silent| silent >= OUTAGE_MIN) {
            self.record_recovery(subject, self.clock.now());
        }
        // An answer that lay unread while this process stood still is as old as that: taken for new, it would be passed on to all as the store's word
        // of now.
        let elapsed = self.clock.now().saturating_sub(requested_at);
        let unread_for = match from {
            Some(_) => elapsed.saturating_sub(wait + STORE_RESPONSE_MAX),
            // Several calls, which may take their time.
            None => Duration::ZERO,
        };
        Ok(AgedPage {
            page,
            age: unread_for,
            since_recovery: None,
        })
    }

    fn record_recovery(&self, subject: Subject, at: Duration) {
        let mut regained = self.shard(subject).recovered_at.lock();
        *regained = Some(at).max(*regained);
    }

    /// Age of the store's last word on a subject; nothing before the first one.
    pub(crate) fn data_age(&self, subject: Subject) -> Option<Duration> {
        let last_confirmed_at = self.shard(subject).cache.lock().last_confirmed_at?;
        Some(self.clock.now().saturating_sub(last_confirmed_at))
    }

    /// When the store came back from its last outage, as far as is known.
    pub(crate) fn recovered_at(&self, subject: Subject) -> Option<Duration> {
        *self.shard(subject).recovered_at.lock()
    }

    /// Keeps a page for others to read.
    fn cache_page(&self, subject: Subject, from: Option<Position>, aged: AgedPage) -> SitePage {
        let now = self.clock.now();
        if let Some(ago) = aged.since_recovery {
            self.record_recovery(subject, now.saturating_sub(ago));
        }
        let last_confirmed_at = now.saturating_sub(aged.age);
        let page = aged.page;
        let shard = self.shard(subject);
        shard.last_read_failed.store(false, Ordering::Relaxed);
        {
            let mut cache = shard.cache.lock();
            match from {
                Some(from) => cache.extend(from, &page, last_confirmed_at),
                None if page.next.era() >= cache.next.era() => {
                    cache.replace(&page, last_confirmed_at)
                }
                // On its way while the store came back; whoever asked goes on from there and is told so.
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
    StoreError::NoAnswer("no source".to_owned())
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

    async fn delete_suspect(&self, content: ContentId) -> StoreResult<()> {
        self.store().delete_suspect(content).await
    }
}
