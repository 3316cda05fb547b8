//! Crash suspects: requests that may crash the endpoints that run them, and which of them are no
//! longer sent to any endpoint.
//!
//! A request may crash every endpoint that starts to run it, and it may be sent again under a new
//! request id to any instance, so attempts counted by request id would start from zero each time.
//! Crashes are therefore counted by request fingerprint, and instances share them with each other
//! and with the store.
//!
//! A single crash says little: everything that ran on the endpoint is cut off with it, and
//! endpoints also crash for other reasons. A crash therefore counts in full only against requests
//! that had just started there, and by half against the others; three full ones are needed to
//! refuse a request; and a request that any endpoint has finished is innocent.
//!
//! Each fingerprint has an epoch, and reports of an earlier epoch are ignored. A new epoch starts
//! when the request is found innocent or when an operator releases it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fingerprint::{HeadHash, RequestFingerprint, short_hash};

/// A request that runs for longer than this after its first event did not crash its endpoint by
/// starting. Crashes by a start come within a tenth of this time; even slow engines
/// generate several events in it.
pub const START_WINDOW: Duration = Duration::from_secs(1);

/// Points per crash, and the number of points at which a request is refused.
///
/// Engines also crash for unrelated reasons: rules that count all crashes alike would refuse
/// innocent requests (`cargo bench --bench crashing`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalRules {
    /// Points of a crash under a request that had just started.
    pub points_at_start: u32,
    /// Points of a crash under a request that had run for longer.
    pub points_later: u32,
    /// A request with this many points is refused.
    pub refuse_at_points: u32,
}

impl Default for RefusalRules {
    /// Refuses a request after three crashes at its start, or after six later ones, so that
    /// requests that crash endpoints late are found, too. With two, a request that happened to run
    /// next to the cause twice would be refused: requests that are cut off together are also
    /// retried together.
    fn default() -> Self {
        Self {
            points_at_start: 2,
            points_later: 1,
            refuse_at_points: 6,
        }
    }
}

/// Number of crashes from which a suspect is written to the store, so that it survives the loss of
/// all instances. A single crash is not worth a call, because most requests that are cut off once
/// never are again.
const STORED_FROM_CRASHES: usize = 2;
/// Maximum number of crashes recorded per suspect; more than it takes to refuse it.
const CRASHES_MAX: usize = 8;
/// Maximum number of suspects, about 0.5 MB. An engine with 24 slots leaves 24 suspects per crash,
/// so this covers 170 crashes within [`SUSPECTED_FOR`].
const SUSPECTS_MAX: usize = 4_096;
/// Number of suspects that are evicted at once when the limit is reached.
const EVICTION_BATCH: usize = SUSPECTS_MAX / 8;
/// Maximum number of suspects in the store at a time, so that a client that crashes endpoints with
/// ever new requests cannot fill it.
pub const STORED_MAX: usize = 256;
/// A suspect is forgotten this long after its last crash; a request that is sent so rarely crashes
/// few endpoints.
const SUSPECTED_FOR: Duration = Duration::from_hours(1);
/// A refused request stays refused for this long after its last crash. This leaves time for a
/// software release that fixes the endpoints, or for an operator to investigate.
const REFUSED_FOR: Duration = Duration::from_hours(24);
/// After this time another instance writes a suspect to the store if the instance that saw the
/// crash has not done so.
const STORE_FALLBACK_AFTER: Duration = Duration::from_secs(1);
/// How long a change is gossiped; all of 2,300 instances know of it after 2 s
/// (`news_site_of_2300_*`).
const GOSSIP_FOR: Duration = Duration::from_secs(10);
/// Maximum number of suspects in one message, those with the most points first. About 60 bytes
/// each.
pub const UPDATES_MAX: usize = 16;
/// Number of crashes after which users expect a request to be refused, apart from a few trials.
const CRASHES_BEFORE_REFUSAL: usize = 3;
/// How often a refused request is tried on software that has not crashed under it, since a software
/// release may have fixed the fault. The first three crashes plus these trials are as many as users
/// accept.
const TRIALS_MAX: usize = 2;
/// Maximum number of software versions recorded as finishing a request under which others crash.
/// One is the common case, after a release that fixes the fault.
const FINISHED_ON_MAX: usize = 4;
/// A trial without a result counts as over after this time, which is longer than a generation
/// takes.
const TRIAL_TIMEOUT: Duration = Duration::from_mins(1);

/// An endpoint crash, as counted against one request that ran on the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// Identifies the endpoint incarnation that crashed: the first bytes of a hash of
    /// [`super::endpoint_entry::EndpointEntry::id`].
    pub endpoint: u64,
    /// Identifies the software of the endpoint, see [`software_id`].
    pub software: u64,
    /// Whether the request had just started on it, see [`START_WINDOW`].
    #[serde(rename = "beginning")]
    pub at_start: bool,
}

/// All that is shared about one suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    #[serde(rename = "content")]
    pub fingerprint: RequestFingerprint,
    /// Number of times that the suspect was found innocent or released.
    #[serde(rename = "life")]
    pub epoch: u32,
    /// Whether an endpoint has finished the request.
    pub innocent: bool,
    /// Whether the request ran past its start on an endpoint in this epoch.
    #[serde(rename = "ran_on")]
    pub ran_past_start: bool,
    /// Software that has finished the request although other software crashed under it; sorted.
    #[serde(rename = "sound_on")]
    pub finished_on: Vec<u64>,
    /// Crashes in this epoch, at most one per endpoint; sorted.
    #[serde(rename = "ends")]
    pub crashes: Vec<EndpointCrash>,
    /// Time since the last crash was first reported.
    #[serde(rename = "last_end_ago")]
    pub last_crash_age: Duration,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is not suspected.
    #[serde(rename = "sound")]
    Allowed,
    /// Endpoints crashed while they ran it, but too few to tell.
    Suspected,
    /// It is not sent to any endpoint, except for trials.
    Refused,
}

/// The significance of a change; later variants matter more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectChange {
    /// Nothing changed.
    None,
    /// New information was recorded.
    Updated,
    /// The request is refused from now on.
    NowRefused,
}

#[derive(Debug, Clone)]
struct Suspect {
    rules: RefusalRules,
    epoch: u32,
    innocent: bool,
    ran_past_start: bool,
    /// Software that has finished the request although other software crashed under it. Sorted, at
    /// most [`FINISHED_ON_MAX`].
    finished_on: Vec<u64>,
    /// Sorted, at most one per endpoint and at most [`CRASHES_MAX`].
    crashes: Vec<EndpointCrash>,
    /// When the last crash became known, by this instance's clock. For a crash reported by another
    /// instance it is backdated by the age in the report.
    last_crash_at: Duration,
    /// When this suspect last changed on this instance.
    changed_at: Duration,
    /// The state that the store is known to hold.
    stored: Option<StoredState>,
    /// Whether an endpoint crashed under a request from this instance, which must then write the
    /// suspect to the store.
    crashed_here: bool,
    /// When this instance last sent the request on trial.
    trial_at: Option<Duration>,
}

/// A summary of the state that the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoredState {
    epoch: u32,
    innocent: bool,
    points: u32,
    finished_on: usize,
}

/// The crash suspects, by request fingerprint.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    rules: RefusalRules,
    /// At most [`SUSPECTS_MAX`].
    by_fingerprint: BTreeMap<RequestFingerprint, Suspect>,
    /// Number of suspects per head; heads without suspects have no entry.
    heads: HashMap<HeadHash, u32>,
}

/// Returns the id of the software that a service's endpoints run.
#[must_use]
pub fn software_id(service: &str, version: &str) -> u64 {
    short_hash(&format!("{service}/{version}"))
}

impl Suspect {
    fn new(rules: RefusalRules, now: Duration) -> Self {
        Self {
            rules,
            epoch: 0,
            innocent: false,
            ran_past_start: false,
            finished_on: Vec::new(),
            crashes: Vec::new(),
            last_crash_at: now,
            changed_at: now,
            stored: None,
            crashed_here: false,
            trial_at: None,
        }
    }

    fn points(&self) -> u32 {
        let points = self.crashes.iter().map(|crash| {
            if crash.at_start && !self.ran_past_start {
                self.rules.points_at_start
            } else {
                self.rules.points_later
            }
        });
        points.sum()
    }

    fn is_refused(&self) -> bool {
        !self.innocent && self.points() >= self.rules.refuse_at_points
    }

    fn add_crash(&mut self, crash: EndpointCrash) -> bool {
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.endpoint == crash.endpoint)
        {
            let is_changed = crash.at_start && !known.at_start;
            known.at_start |= crash.at_start;
            return is_changed;
        }
        if self.crashes.len() >= CRASHES_MAX {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_unstable();
        true
    }

    fn add_finished_on(&mut self, software: u64) -> bool {
        if self.finished_on.contains(&software) || self.finished_on.len() >= FINISHED_ON_MAX {
            return false;
        }
        self.finished_on.push(software);
        self.finished_on.sort_unstable();
        true
    }

    fn start_epoch(&mut self, epoch: u32, innocent: bool, now: Duration) {
        self.epoch = epoch;
        self.innocent = innocent;
        self.ran_past_start = false;
        self.finished_on.clear();
        self.crashes.clear();
        self.trial_at = None;
        self.changed_at = now;
    }

    fn expires_at(&self) -> Duration {
        let retention = if self.is_refused() {
            REFUSED_FOR
        } else {
            SUSPECTED_FOR
        };
        self.last_crash_at.saturating_add(retention)
    }

    fn report(&self, fingerprint: RequestFingerprint, now: Duration) -> SuspectReport {
        SuspectReport {
            fingerprint,
            epoch: self.epoch,
            innocent: self.innocent,
            ran_past_start: self.ran_past_start,
            finished_on: self.finished_on.clone(),
            crashes: self.crashes.clone(),
            last_crash_age: now.saturating_sub(self.last_crash_at),
        }
    }

    fn stored_state(&self) -> StoredState {
        StoredState {
            epoch: self.epoch,
            innocent: self.innocent,
            points: self.points(),
            finished_on: self.finished_on.len(),
        }
    }

    /// Returns whether the store should hold another state than it does.
    fn needs_storing(&self) -> bool {
        match self.stored {
            Some(stored) => stored != self.stored_state(),
            None => !self.innocent && self.crashes.len() >= STORED_FROM_CRASHES,
        }
    }

    fn has_crashed(&self, software: u64) -> bool {
        self.crashes.iter().any(|crash| crash.software == software)
    }

    /// Returns whether the request may be tried on software that has not crashed under it.
    fn can_be_tried(&self, now: Duration) -> bool {
        let running = self
            .trial_at
            .filter(|at| now.saturating_sub(*at) < TRIAL_TIMEOUT);
        running.is_none() && self.crashes.len() < CRASHES_BEFORE_REFUSAL + TRIALS_MAX
    }
}

impl CrashSuspects {
    /// Creates an empty set of suspects with other rules than the default.
    #[must_use]
    pub fn with_rules(rules: RefusalRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_fingerprint.len()
    }

    /// Returns the number of refused suspects.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        let all = self.by_fingerprint.values();
        all.filter(|suspect| suspect.is_refused()).count()
    }

    /// Returns whether a suspect has this head. If none has, a request's body need not be read.
    #[must_use]
    pub fn has_head(&self, head: HeadHash) -> bool {
        self.heads.contains_key(&head)
    }

    /// Returns whether a request may be sent.
    #[must_use]
    pub fn verdict(&self, fingerprint: RequestFingerprint, now: Duration) -> Verdict {
        let Some(suspect) = self.by_fingerprint.get(&fingerprint) else {
            return Verdict::Allowed;
        };
        if suspect.innocent || suspect.crashes.is_empty() || now >= suspect.expires_at() {
            Verdict::Allowed
        } else if suspect.is_refused() {
            Verdict::Refused
        } else {
            Verdict::Suspected
        }
    }

    /// Starts a trial of a refused request on endpoints with this software. Returns `false` if this
    /// software has crashed under the request, if a trial is running, or if too many trials were
    /// made. The instances must agree on the one that makes trials.
    pub fn begin_trial(
        &mut self,
        fingerprint: RequestFingerprint,
        software: u64,
        now: Duration,
    ) -> bool {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return false;
        };
        let is_allowed = suspect.can_be_tried(now) && !suspect.has_crashed(software);
        if is_allowed {
            suspect.trial_at = Some(now);
        }
        is_allowed
    }

    /// Records that an endpoint crashed while it ran a request.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: EndpointCrash,
        now: Duration,
    ) -> SuspectChange {
        self.make_room(fingerprint, now);
        let suspect = self.entry(fingerprint, now);
        if suspect.innocent {
            return SuspectChange::None;
        }
        if now >= suspect.expires_at() {
            suspect.crashes.clear();
        }
        let was_refused = suspect.is_refused();
        if !suspect.add_crash(crash) {
            return SuspectChange::None;
        }
        suspect.last_crash_at = now;
        suspect.changed_at = now;
        suspect.crashed_here = true;
        if suspect.is_refused() && !was_refused {
            SuspectChange::NowRefused
        } else {
            SuspectChange::Updated
        }
    }

    /// Records that an endpoint with this software finished a request and still runs. If other
    /// endpoints with the same software had crashed, the request was not the cause and is innocent.
    /// If only other software had crashed, the request may be sent to this software, and its other
    /// state is unchanged.
    pub fn record_survival(
        &mut self,
        fingerprint: RequestFingerprint,
        software: u64,
        now: Duration,
    ) -> SuspectChange {
        let suspect = self.by_fingerprint.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|suspect| !suspect.innocent) else {
            return SuspectChange::None;
        };
        if suspect.crashes.is_empty() || suspect.has_crashed(software) {
            suspect.start_epoch(suspect.epoch + 1, true, now);
            return SuspectChange::Updated;
        }
        if !suspect.add_finished_on(software) {
            return SuspectChange::None;
        }
        suspect.changed_at = now;
        SuspectChange::Updated
    }

    /// Returns whether this software has finished a request under which other software crashed.
    #[must_use]
    pub fn has_finished_on(&self, fingerprint: RequestFingerprint, software: u64) -> bool {
        let suspect = self.by_fingerprint.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.finished_on.contains(&software))
    }

    /// Records that a request ran past its start on an endpoint. Earlier crashes were then not
    /// caused by its start: clients send identical requests by the hundred, and one that runs on
    /// every endpoint is cut off by every crash.
    pub fn record_ran_past_start(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Duration,
    ) -> SuspectChange {
        let suspect = self.by_fingerprint.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|suspect| !suspect.innocent && !suspect.ran_past_start)
        else {
            return SuspectChange::None;
        };
        suspect.ran_past_start = true;
        suspect.changed_at = now;
        SuspectChange::Updated
    }

    /// Releases a suspect on behalf of an operator, so that its crashes are counted from zero.
    /// Returns whether the suspect was known.
    pub fn release(&mut self, fingerprint: RequestFingerprint, now: Duration) -> bool {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return false;
        };
        suspect.start_epoch(suspect.epoch + 1, false, now);
        true
    }

    /// Merges a report from a peer or from the store.
    pub fn merge(&mut self, report: &SuspectReport, now: Duration) -> SuspectChange {
        self.make_room(report.fingerprint, now);
        let suspect = self.entry(report.fingerprint, now);
        if report.epoch < suspect.epoch {
            return SuspectChange::None;
        }
        let was_refused = suspect.is_refused();
        let mut is_changed = report.epoch > suspect.epoch || report.innocent && !suspect.innocent;
        if is_changed {
            suspect.start_epoch(report.epoch, report.innocent, now);
        }
        if suspect.innocent {
            return if is_changed {
                SuspectChange::Updated
            } else {
                SuspectChange::None
            };
        }
        is_changed |= report.ran_past_start && !suspect.ran_past_start;
        suspect.ran_past_start |= report.ran_past_start;
        for software in &report.finished_on {
            is_changed |= suspect.add_finished_on(*software);
        }
        for crash in &report.crashes {
            is_changed |= suspect.add_crash(*crash);
        }
        if !is_changed {
            return SuspectChange::None;
        }
        suspect.last_crash_at = now.saturating_sub(report.last_crash_age);
        suspect.changed_at = now;
        if suspect.is_refused() && !was_refused {
            SuspectChange::NowRefused
        } else {
            SuspectChange::Updated
        }
    }

    /// Records that the store holds this state of a suspect.
    pub fn mark_stored(&mut self, report: &SuspectReport) {
        if let Some(suspect) = self.by_fingerprint.get_mut(&report.fingerprint) {
            let stored_suspect = Suspect {
                epoch: report.epoch,
                innocent: report.innocent,
                ran_past_start: report.ran_past_start,
                finished_on: report.finished_on.clone(),
                crashes: report.crashes.clone(),
                ..Suspect::new(suspect.rules, Duration::ZERO)
            };
            suspect.stored = Some(stored_suspect.stored_state());
        }
    }

    /// Records that the store no longer holds a suspect.
    pub fn mark_not_stored(&mut self, fingerprint: RequestFingerprint) {
        if let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) {
            suspect.stored = None;
        }
    }

    /// Records that the store holds exactly these suspects, so that the others are written again.
    /// Returns whether the store has lost any.
    pub fn sync_stored(&mut self, stored: &BTreeSet<RequestFingerprint>) -> bool {
        let mut any_lost = false;
        for (fingerprint, suspect) in &mut self.by_fingerprint {
            if suspect.stored.is_some() && !stored.contains(fingerprint) {
                suspect.stored = None;
                any_lost = true;
            }
        }
        any_lost
    }

    /// Returns the suspects to gossip to peers, for some time after each change. Those with the
    /// most points come first, [`UPDATES_MAX`] at most.
    #[must_use]
    pub fn recent_updates(&self, now: Duration) -> Vec<SuspectReport> {
        let all = self.by_fingerprint.iter();
        let recent = all.filter(|(_, suspect)| {
            let has_state = suspect.epoch > 0 || !suspect.crashes.is_empty();
            has_state && now.saturating_sub(suspect.changed_at) < GOSSIP_FOR
        });
        let mut recent_updates: Vec<_> = recent.collect();
        recent_updates
            .sort_by_key(|(_, suspect)| (std::cmp::Reverse(suspect.points()), suspect.changed_at));
        recent_updates.truncate(UPDATES_MAX);
        let recent_updates = recent_updates.into_iter();
        recent_updates
            .map(|(fingerprint, suspect)| suspect.report(*fingerprint, now))
            .collect()
    }

    /// Returns the suspects that this instance must write to the store. Those that crashed an
    /// endpoint here are due at once. With `is_fallback_writer`, suspects that other instances
    /// should have written by now are included.
    #[must_use]
    pub fn due_for_store(&self, is_fallback_writer: bool, now: Duration) -> Vec<SuspectReport> {
        let all = self.by_fingerprint.values();
        let stored = all.filter(|suspect| suspect.stored.is_some()).count();
        let free_slots = STORED_MAX.saturating_sub(stored);
        let all = self.by_fingerprint.iter();
        let (known, new): (Vec<_>, Vec<_>) = all
            .filter(|(_, suspect)| {
                let is_overdue = now.saturating_sub(suspect.changed_at) >= STORE_FALLBACK_AFTER;
                suspect.needs_storing()
                    && (suspect.crashed_here || is_fallback_writer && is_overdue)
            })
            .partition(|(_, suspect)| suspect.stored.is_some());
        let due = known.into_iter().chain(new.into_iter().take(free_slots));
        due.map(|(fingerprint, suspect)| suspect.report(*fingerprint, now))
            .collect()
    }

    /// Returns all suspects, for the state dump.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = SuspectReport> {
        let all = self.by_fingerprint.iter();
        all.map(move |(fingerprint, suspect)| suspect.report(*fingerprint, now))
    }

    /// Removes suspects that have expired and returns those among them that the store still holds.
    pub fn expire(&mut self, now: Duration) -> Vec<RequestFingerprint> {
        let expired = self.by_fingerprint.iter();
        let expired: Vec<RequestFingerprint> = expired
            .filter(|(_, suspect)| now >= suspect.expires_at())
            .map(|(fingerprint, _)| *fingerprint)
            .collect();
        let stored = expired.iter().copied().filter(|fingerprint| {
            let suspect = self.by_fingerprint.get(fingerprint);
            suspect.is_some_and(|suspect| suspect.stored.is_some())
        });
        let stored = stored.collect();
        for fingerprint in expired {
            self.remove(fingerprint);
        }
        stored
    }

    fn entry(&mut self, fingerprint: RequestFingerprint, now: Duration) -> &mut Suspect {
        self.by_fingerprint.entry(fingerprint).or_insert_with(|| {
            *self.heads.entry(fingerprint.head).or_default() += 1;
            Suspect::new(self.rules, now)
        })
    }

    /// Evicts the suspects with the fewest points, oldest first, if there is no room for one more.
    /// It evicts many at a time: one by one, recording a crash of a new suspect took 0.12 ms once
    /// the limit was reached; in batches it took 0.002 ms (a million suspects, one test).
    fn make_room(&mut self, fingerprint: RequestFingerprint, now: Duration) {
        if self.by_fingerprint.len() < SUSPECTS_MAX
            || self.by_fingerprint.contains_key(&fingerprint)
        {
            return;
        }
        self.expire(now);
        if self.by_fingerprint.len() < SUSPECTS_MAX {
            return;
        }
        let all = self.by_fingerprint.iter();
        let mut by_points: Vec<_> = all
            .map(|(fingerprint, suspect)| (suspect.points(), suspect.changed_at, *fingerprint))
            .collect();
        by_points.sort_unstable();
        for (_, _, fingerprint) in by_points.into_iter().take(EVICTION_BATCH) {
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: RequestFingerprint) {
        if self.by_fingerprint.remove(&fingerprint).is_none() {
            return;
        }
        if let Some(count) = self.heads.get_mut(&fingerprint.head) {
            *count -= 1;
            if *count == 0 {
                self.heads.remove(&fingerprint.head);
            }
        }
    }
}
