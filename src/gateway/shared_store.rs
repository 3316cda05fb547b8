//! The store as seen through other instances: a few readers ask the store itself, the others ask a reader.
//!
//! A call to the store is dear and there may be thousands of instances. Offsets are the store's own, so an instance can change its
//! source at any record. Every answer carries the age of the last word of the store, so that two instances that read from each
//! other notice when neither hears the store any more.

mod first_words;
mod pass_on;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use spdlog::{info, warn};
use tokio::sync::Notify;

use super::live_members::LiveMembers;
use super::site_store::{
    KeptSuspect, MemberEntry, SitePage, SiteStore, StoreError, StoreResult, Subject,
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

/// On top of its wait, the head of another instance's answer may take this long.
const PEER_MARGIN: Duration = Duration::from_millis(200);

/// How long a read of the members at another instance waits for news: heartbeats tell of members sooner.
const MEMBERS_PEER_WAIT: Duration = Duration::from_secs(2);
/// How long a read of the members at the store waits for news.
const MEMBERS_STORE_WAIT: Duration = Duration::from_secs(5);
/// How old a word on the members may be when it is taken from another instance. Longer than a reader waits for news.
const MEMBERS_AGE_MAX: Duration = Duration::from_secs(12);

/// An entry lapses after three silent heartbeats of more than a second each, so that shorter outages take none away.
const OUTAGE_MIN: Duration = Duration::from_secs(2);
/// Beside its wait, a call to the store that takes longer than this was not answered late but read late: calls are given up sooner.
const ANSWERED_WITHIN: Duration = Duration::from_secs(1);
/// A page, and how fresh it is.
#[derive(Debug)]
struct AgedPage {
    page: SitePage,
    /// Age of the store's last word.
    age: Duration,
    /// Time since the store came back from an outage, where that was of late.
    regained_ago: Option<Duration>,
}

struct SubjectShard {
    cache: Mutex<SubjectCache>,
    sources: Mutex<StoreSources>,
    /// When the store came back from its last outage.
    regained_at: Mutex<Option<Duration>>,
    /// When the store last failed somebody, here or elsewhere.
    contact: Mutex<StoreContact>,
    /// Source last used, for the log.
    used: Mutex<Option<Source>>,
    added: Notify,
    /// Pages that are on their way here from other instances.
    receiving: AtomicUsize,
    /// Whether the last read failed at all sources.
    failing: AtomicBool,
}

/// Counts a page as on its way for as long as it lives.
struct Receiving<'a>(&'a AtomicUsize);

impl<'a> Receiving<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The store, read directly or through other instances.
pub(crate) struct SharedStore {
    own_name: String,
    direct: Arc<dyn SiteStore>,
    clock: Arc<dyn Clock>,
    peers: Arc<PeerClients>,
    live: Arc<LiveMembers>,
    freshness: Freshness,
    tally: Arc<WorkCounters>,
    /// The latest era of the store that was heard of.
    era: AtomicU64,
    shards: [SubjectShard; 3],
}

const SUBJECTS: [Subject; 3] = [Subject::Configuration, Subject::Endpoints, Subject::Members];

impl SharedStore {
    pub(crate) fn new(
        own_name: String,
        direct: Arc<dyn SiteStore>,
        clock: Arc<dyn Clock>,
        peers: Arc<PeerClients>,
        live: Arc<LiveMembers>,
        freshness: Freshness,
        tally: Arc<WorkCounters>,
    ) -> Self {
        Self {
            direct,
            era: AtomicU64::new(0),
            freshness,
            tally,
            clock,
            peers,
            live,
            shards: SUBJECTS.map(|subject| SubjectShard {
                cache: Mutex::new(SubjectCache::new(subject)),
                sources: Mutex::new(StoreSources::default()),
                regained_at: Mutex::default(),
                contact: Mutex::default(),
                used: Mutex::default(),
                added: Notify::new(),
                receiving: AtomicUsize::new(0),
                failing: AtomicBool::new(false),
            }),
            own_name,
        }
    }

    /// How long a read at another instance waits for news.
    fn peer_wait(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => self.freshness.peer_poll_wait(),
            Subject::Members => MEMBERS_PEER_WAIT,
        }
    }

    /// How old a word of the store may be when it is taken from another instance.
    fn age_max(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => self.freshness.peer_age_max(),
            Subject::Members => MEMBERS_AGE_MAX,
        }
    }

    /// How long a read waits for news.
    pub(crate) fn wait(&self, subject: Subject) -> Duration {
        match subject {
            Subject::Configuration | Subject::Endpoints => {
                let is_relayed = !self.live.view().readers().relays.is_empty();
                self.freshness.store_poll_wait(is_relayed)
            }
            Subject::Members => MEMBERS_STORE_WAIT,
        }
    }

    fn shard(&self, subject: Subject) -> &SubjectShard {
        let index = SUBJECTS.iter().position(|one| *one == subject);
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

    fn note_failed(&self, subject: Subject, source: &Source, error: &StoreError) {
        // A peer that knows as little as this instance may know more in a moment.
        if *source == Source::Store || !self.knows_nothing(subject) {
            let drawn = rand::rng().random_range(0.0..1.0);
            let now = self.clock.now();
            let mut sources = self.shard(subject).sources.lock();
            sources.record_failure(source, now, drawn);
        }
        if *source == Source::Store {
            self.note_store_failed(subject, self.clock.now());
        }
        if crate::log::admits("store source failed") {
            info!("store source failed", kv: { subject = subject.name(), source:?, why: = error });
        }
    }

    /// The store failed at this time, here or elsewhere. Who waits for news here is told at once.
    fn note_store_failed(&self, subject: Subject, at: Duration) {
        let was_away = self.is_store_away(subject);
        self.shard(subject).contact.lock().record_failure(at);
        if !was_away && self.is_store_away(subject) {
            self.shard(subject).added.notify_waiters();
        }
    }

    /// Whether nobody is known to have heard the store since it last failed.
    pub(crate) fn is_store_away(&self, subject: Subject) -> bool {
        let shard = self.shard(subject);
        let word_at = shard.cache.lock().word_at;
        shard.contact.lock().is_unavailable(word_at)
    }

    /// The latest era of the store that was heard of.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// An era was heard of, from the store or another instance. In a new one entries may be missing that are written again in a moment, as after an
    /// outage.
    fn note_era(&self, era: u64, source: &Source) {
        let before = self.era.fetch_max(era, Ordering::Relaxed);
        if era <= before {
            return;
        }
        let has_heard = SUBJECTS.iter().any(|one| !self.knows_nothing(*one));
        if !has_heard {
            return;
        }
        let now = self.clock.now();
        for subject in SUBJECTS {
            self.note_regained(subject, now);
        }
        metrics::counter!("larkwick_store_returns_total").increment(1);
        warn!("store came back from an older copy", kv: { era:, before:, source:? });
    }

    fn note_answered(&self, subject: Subject, source: &Source) {
        let shard = self.shard(subject);
        shard.sources.lock().record_success(source);
        let before = shard.used.lock().replace(source.clone());
        if before.as_ref() != Some(source) && crate::log::admits("store source") {
            info!("store read through", kv: { subject = subject.name(), source:?, before:? });
        }
    }

    async fn read_at_peer(
        &self,
        address: &str,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
        any_age: bool,
    ) -> StoreResult<AgedPage> {
        let wait = wait.min(self.peer_wait(subject));
        let asked_at = self.clock.now();
        let request = wire::ReadSiteRequest {
            subject: subject.name().to_owned(),
            whole: from.is_none(),
            from_offset: from.unwrap_or_default().offset(),
            from_era: from.unwrap_or_default().era(),
            wait_ms: millis(wait),
            any_age,
        };
        let coming = self
            .peers
            .read_site(address, request, wait + PEER_MARGIN)
            .await
            .map_err(StoreError::NoAnswer)?;
        let head_at = self.clock.now();
        let head = coming.head;
        let lay_unread = head_at.saturating_sub(asked_at + wait + PEER_MARGIN);
        let age = Duration::from_millis(head.age_ms) + lay_unread;
        if age > self.age_max(subject) && !any_age {
            let why = format!("the peer heard the store {} ms ago", head.age_ms);
            return Err(StoreError::NoAnswer(why));
        }
        if head.era < self.era() && !any_age {
            let why = format!("the peer's word is of the store's era {}", head.era);
            return Err(StoreError::NoAnswer(why));
        }
        if from.is_some_and(|from| head.era > from.era()) {
            return Err(StoreError::AnotherEra { era: head.era });
        }
        if head.store_failed_ms_ago > 0 {
            let ago = Duration::from_millis(head.store_failed_ms_ago);
            self.note_store_failed(subject, head_at.saturating_sub(ago));
        }
        let receiving = Receiving::begin(&self.shard(subject).receiving);
        let page = coming.rest().await.map_err(StoreError::NoAnswer)?;
        drop(receiving);
        let records = page.decode();
        let records = records.map_err(|fault| StoreError::Malformed(fault.to_string()))?;
        let regained_ago = Duration::from_millis(head.regained_ms_ago);
        Ok(AgedPage {
            page: SitePage {
                records,
                next: Position::new(head.era, head.next_offset),
            },
            // The transfer may have taken its time, too.
            age: age + self.clock.now().saturating_sub(head_at),
            regained_ago: (!regained_ago.is_zero()).then_some(regained_ago),
        })
    }

    /// Whether a page of a subject is on its way here from another instance.
    pub(crate) fn is_receiving(&self, subject: Subject) -> bool {
        self.shard(subject).receiving.load(Ordering::Relaxed) > 0
    }

    /// Reads from the source that comes first; when it fails, from all other instances at once, and last from the store: one after the
    /// other they could take longer than a departure or a configuration may stay unknown.
    async fn read_anywhere(
        &self,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let sources = self.sources(subject);
        if from.is_none() && self.knows_nothing(subject) {
            return self.read_first_words(subject, sources).await;
        }
        let mut sources = sources.into_iter();
        let Some(first) = sources.next() else {
            return Err(no_source());
        };
        let first = self.read_at(first, subject, from, wait).await;
        if matches!(
            first,
            Ok(_) | Err(StoreError::Expired { .. } | StoreError::AnotherEra { .. })
        ) {
            return first;
        }
        let (store, peers): (Vec<_>, Vec<_>) =
            sources.partition(|(source, _)| *source == Source::Store);
        let mut read = first;
        for together in [peers, store] {
            if read.is_err() && !together.is_empty() {
                read = self.read_any(together, subject, from, Duration::ZERO).await;
            }
        }
        self.note_outcome(subject, &read);
        read
    }

    /// The store itself; each use of it is a call.
    fn direct(&self) -> &dyn SiteStore {
        self.tally.increment(WorkKind::StoreCall);
        self.direct.as_ref()
    }

    /// Reads from several sources at once; the first answer counts.
    async fn read_any(
        &self,
        sources: Vec<(Source, Option<String>)>,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let reads = sources
            .into_iter()
            .map(|source| Box::pin(self.read_at(source, subject, from, wait)));
        let (page, _) = futures::future::select_ok(reads).await?;
        Ok(page)
    }

    fn note_outcome(&self, subject: Subject, read: &StoreResult<SitePage>) {
        let failing = &self.shard(subject).failing;
        failing.store(read.is_err(), Ordering::Relaxed);
    }

    /// Whether the store was never heard of a subject, neither here nor through others.
    pub(crate) fn knows_nothing(&self, subject: Subject) -> bool {
        self.shard(subject).cache.lock().word_at.is_none()
    }

    /// Whether neither the store nor any instance answered the last read of a subject.
    pub(crate) fn is_failing(&self, subject: Subject) -> bool {
        self.shard(subject).failing.load(Ordering::Relaxed)
    }

    async fn read_at(
        &self,
        (source, address): (Source, Option<String>),
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let read = match &address {
            Some(address) => self.read_at_peer(address, subject, from, wait, false).await,
            None => self.read_at_store(subject, from, wait).await,
        };
        match &read {
            Ok(aged) => self.note_era(aged.page.next.era(), &source),
            Err(StoreError::AnotherEra { era }) => self.note_era(*era, &source),
            Err(_) => {}
        }
        match read {
            Ok(aged) => {
                self.note_answered(subject, &source);
                Ok(self.keep(subject, from, aged))
            }
            // Only the store itself knows which records are gone for good.
            Err(error @ (StoreError::Expired { .. } | StoreError::AnotherEra { .. })) => Err(error),
            Err(error) => {
                self.note_failed(subject, &source, &error);
                Err(error)
            }
        }
    }

    async fn read_at_store(
        &self,
        subject: Subject,
        from: Option<Position>,
        wait: Duration,
    ) -> StoreResult<AgedPage> {
        let asked_at = self.clock.now();
        let through_relays = self.live.view().readers().reads_through_relays();
        let page = match from {
            Some(from) => self.direct().read(subject, from, wait).await?,
            None if self.knows_nothing(subject) && !through_relays => {
                self.newest_asked_often(subject).await?
            }
            None => self.direct().newest(subject).await?,
        };
        // Where others passed on fresh words meanwhile, only this instance was turned away, and no entry lapsed.
        let silent_for = self.word_age(subject);
        if silent_for.is_some_and(|silent| silent >= OUTAGE_MIN) {
            self.note_regained(subject, self.clock.now());
        }
        // An answer that lay unread while this process stood still is as old as that: taken for new, it would be passed on to all as the store's word
        // of now.
        let took = self.clock.now().saturating_sub(asked_at);
        let lay_unread = match from {
            Some(_) => took.saturating_sub(wait + ANSWERED_WITHIN),
            // Several calls, which may take their time.
            None => Duration::ZERO,
        };
        Ok(AgedPage {
            page,
            age: lay_unread,
            regained_ago: None,
        })
    }

    fn note_regained(&self, subject: Subject, at: Duration) {
        let mut regained = self.shard(subject).regained_at.lock();
        *regained = Some(at).max(*regained);
    }

    /// Age of the store's last word on a subject; nothing before the first one.
    pub(crate) fn word_age(&self, subject: Subject) -> Option<Duration> {
        let word_at = self.shard(subject).cache.lock().word_at?;
        Some(self.clock.now().saturating_sub(word_at))
    }

    /// When the store came back from its last outage, as far as is known.
    pub(crate) fn regained_at(&self, subject: Subject) -> Option<Duration> {
        *self.shard(subject).regained_at.lock()
    }

    /// Keeps a page for others to read.
    fn keep(&self, subject: Subject, from: Option<Position>, aged: AgedPage) -> SitePage {
        let now = self.clock.now();
        if let Some(ago) = aged.regained_ago {
            self.note_regained(subject, now.saturating_sub(ago));
        }
        let word_at = now.saturating_sub(aged.age);
        let page = aged.page;
        let shard = self.shard(subject);
        shard.failing.store(false, Ordering::Relaxed);
        {
            let mut cache = shard.cache.lock();
            match from {
                Some(from) => cache.extend(from, &page, word_at),
                None if page.next.era() >= cache.next.era() => cache.replace(&page, word_at),
                // On its way while the store came back; whoever asked goes on from there and is told so.
                None => {
                    info!("page of an earlier era left aside", kv: { subject = subject.name(), next: = page.next });
                }
            }
        }
        if !page.records.is_empty() || from.is_none() {
            shard.added.notify_waiters();
        }
        page
    }
}

fn no_source() -> StoreError {
    StoreError::NoAnswer("no source".to_owned())
}

#[async_trait::async_trait]
impl SiteStore for SharedStore {
    async fn newest(&self, subject: Subject) -> StoreResult<SitePage> {
        self.read_anywhere(subject, None, Duration::ZERO).await
    }

    async fn read(
        &self,
        subject: Subject,
        from: Position,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        self.read_anywhere(subject, Some(from), wait).await
    }

    async fn announce(&self, member: &MemberEntry) -> StoreResult<()> {
        self.direct().announce(member).await
    }

    async fn keep_suspect(&self, suspect: &KeptSuspect) -> StoreResult<()> {
        self.direct().keep_suspect(suspect).await
    }

    async fn drop_suspect(&self, content: RequestFingerprint) -> StoreResult<()> {
        self.direct().drop_suspect(content).await
    }
}
