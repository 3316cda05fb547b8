//! One crash suspect: the crashes under it, and what they count.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::kernel::fingerprint::{Fingerprint, short_hash};

/// Number of crashes from which a suspect is written to the store, so that it survives the loss of
/// all instances. A single crash is not worth a call, because most requests that are cut off once
/// never are again.
const STORED_FROM_CRASHES: usize = 2;
/// Maximum number of crashes recorded per suspect: twice as many as it takes to refuse a segment
/// that has been finished, since others are told apart from it by the crashes they do not share.
const CRASHES_MAX: usize = 16;
/// A segment that has been finished needs this many times the points to be refused.
const POINTS_FACTOR_AFTER_SURVIVAL: u32 = 2;
/// Number of crashes after which users expect a request to be refused, apart from a few trials.
const CRASHES_BEFORE_REFUSAL: usize = 3;
/// How often a refused request is tried on software that has not crashed under it, since a software
/// release may have fixed the fault. The first three crashes plus these trials are as many as users
/// accept.
const TRIALS_MAX: usize = 2;
/// Maximum number of software versions recorded as finishing a request under which others crash.
/// One is the common case, after a release that fixes the fault.
const FINISHED_ON_MAX: usize = 4;
/// A refused segment is tried again on software that crashed under it this long after the last
/// crash.
const SEGMENT_RETRIED_AFTER: Duration = Duration::from_mins(5);
/// How often that is done; users accept three further sends.
const SEGMENT_RETRIALS_MAX: u32 = 2;
/// A trial without a result counts as over after this time, which is longer than a generation
/// takes.
const TRIAL_TIMEOUT: Duration = Duration::from_mins(1);

/// Points per crash, and the number of points at which a request or segment is refused.
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

/// An endpoint crash, as counted against one request that ran on the endpoint, or against a segment of
/// its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// Identifies the endpoint incarnation that crashed: the first bytes of a hash of
    /// `EndpointEntry::id`.
    pub endpoint: u64,
    /// Identifies the software of the endpoint, see [`software_id`].
    pub software: u64,
    /// Whether the request had just started on it, see [`super::START_WINDOW`].
    #[serde(rename = "beginning")]
    pub at_start: bool,
}

/// All that is shared about one suspect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the request or segment.
    #[serde(rename = "content")]
    pub fingerprint: Fingerprint,
    /// Number of times that the suspect was found innocent or released.
    #[serde(rename = "life")]
    pub epoch: u32,
    /// Whether an endpoint has finished the request, or answered the segment past its start.
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

/// What a suspect is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SuspectKind {
    /// A whole request.
    Request,
    /// A segment of prompts.
    Segment,
}

impl SuspectKind {
    /// Returns what a fingerprint is of.
    pub(super) fn of(fingerprint: Fingerprint) -> Self {
        match fingerprint.segment() {
            Some(_) => Self::Segment,
            None => Self::Request,
        }
    }
}

/// A request or segment under which endpoints crashed.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    rules: RefusalRules,
    kind: SuspectKind,
    pub(super) epoch: u32,
    pub(super) innocent: bool,
    pub(super) ran_past_start: bool,
    /// Software that has finished the request although other software crashed under it. Sorted, at
    /// most [`FINISHED_ON_MAX`].
    pub(super) finished_on: Vec<u64>,
    /// Sorted, at most one per endpoint: those with the lowest [`CRASHES_MAX`] endpoints, so that all
    /// instances keep the same ones and suspects of the same crashes have the same list.
    pub(super) crashes: Vec<EndpointCrash>,
    /// When the last crash became known, by this instance's clock. For a crash reported by another
    /// instance it is backdated by the age in the report.
    pub(super) last_crash_at: Duration,
    /// When this suspect last changed on this instance.
    pub(super) changed_at: Duration,
    /// The state that the store is known to hold.
    pub(super) stored: Option<StoredState>,
    /// Whether an endpoint crashed under a request from this instance, which must then write the
    /// suspect to the store.
    pub(super) crashed_here: bool,
    /// When this instance last sent the request on trial.
    pub(super) trial_at: Option<Duration>,
    /// Number of trials from here on software that had crashed under it, in this epoch.
    retrials: u32,
}

/// A summary of the state that the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StoredState {
    epoch: u32,
    innocent: bool,
    points: u32,
    finished_on: usize,
}

/// Returns the id of the software that a service's endpoints run.
#[must_use]
pub fn software_id(service: &str, version: &str) -> u64 {
    short_hash(&format!("{service}/{version}"))
}

impl Suspect {
    pub(super) fn new(rules: RefusalRules, kind: SuspectKind, now: Duration) -> Self {
        Self {
            rules,
            kind,
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
            retrials: 0,
        }
    }

    /// Returns whether it is never refused again in this epoch.
    pub(super) fn is_cleared_for_good(&self) -> bool {
        self.innocent && self.kind == SuspectKind::Request
    }

    /// Returns whether it is innocent and no endpoint has crashed under it since.
    pub(super) fn has_nothing_against_it(&self) -> bool {
        self.innocent && (self.kind == SuspectKind::Request || self.crashes.is_empty())
    }

    /// Returns the points of all its crashes.
    pub(super) fn points(&self) -> u32 {
        self.points_without(&BTreeSet::new())
    }

    /// Returns the points of its crashes, except those of some endpoints.
    pub(super) fn points_without(&self, endpoints: &BTreeSet<u64>) -> u32 {
        let crashes = self.crashes.iter();
        let counted = crashes.filter(|crash| !endpoints.contains(&crash.endpoint));
        let points = counted.map(|crash| {
            if crash.at_start && !self.ran_past_start {
                self.rules.points_at_start
            } else {
                self.rules.points_later
            }
        });
        points.sum()
    }

    /// Returns the number of points at which it is refused; `None` if it never is.
    ///
    /// A segment that has been finished may have begun to crash endpoints since; a request that
    /// has been finished is innocent for good.
    pub(super) fn refuse_at_points(&self) -> Option<u32> {
        match (self.innocent, self.kind) {
            (false, _) => Some(self.rules.refuse_at_points),
            (true, SuspectKind::Segment) => {
                Some(self.rules.refuse_at_points * POINTS_FACTOR_AFTER_SURVIVAL)
            }
            (true, SuspectKind::Request) => None,
        }
    }

    /// Returns whether its crashes suffice to refuse it, unless something else explains them.
    pub(super) fn has_enough_points(&self) -> bool {
        let limit = self.refuse_at_points();
        limit.is_some_and(|limit| self.points() >= limit)
    }

    /// Adds a crash and returns whether that changed anything.
    pub(super) fn add_crash(&mut self, crash: EndpointCrash) -> bool {
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.endpoint == crash.endpoint)
        {
            let is_changed = crash.at_start && !known.at_start;
            known.at_start |= crash.at_start;
            return is_changed;
        }
        self.crashes.push(crash);
        self.crashes.sort_unstable();
        self.crashes.truncate(CRASHES_MAX);
        self.crashes.contains(&crash)
    }

    /// Adds software that has finished it and returns whether that changed anything.
    pub(super) fn add_finished_on(&mut self, software: u64) -> bool {
        if self.finished_on.contains(&software) || self.finished_on.len() >= FINISHED_ON_MAX {
            return false;
        }
        self.finished_on.push(software);
        self.finished_on.sort_unstable();
        true
    }

    /// Discards all crashes. The new epoch begins as innocent or not.
    pub(super) fn start_epoch(&mut self, epoch: u32, innocent: bool, now: Duration) {
        self.epoch = epoch;
        self.innocent = innocent;
        self.ran_past_start = false;
        self.finished_on.clear();
        self.crashes.clear();
        self.trial_at = None;
        self.retrials = 0;
        self.changed_at = now;
    }

    /// Begins the epoch of a report if it is later than its own, or found it innocent. Returns
    /// whether it did.
    pub(super) fn begin_reported_epoch(&mut self, report: &SuspectReport, now: Duration) -> bool {
        let was_finished = report.innocent && !self.innocent;
        let begins = report.epoch > self.epoch || was_finished && self.kind == SuspectKind::Request;
        if begins {
            self.start_epoch(report.epoch, report.innocent, now);
        }
        begins
    }

    /// Adds what a report of the same epoch has and returns whether that changed anything.
    pub(super) fn merge_evidence(&mut self, report: &SuspectReport) -> bool {
        let mut is_changed = report.ran_past_start && !self.ran_past_start;
        self.ran_past_start |= report.ran_past_start;
        is_changed |= report.innocent && !self.innocent;
        self.innocent |= report.innocent;
        for software in &report.finished_on {
            is_changed |= self.add_finished_on(*software);
        }
        for crash in &report.crashes {
            is_changed |= self.add_crash(*crash);
        }
        is_changed
    }

    /// Returns all that is shared about it.
    pub(super) fn report(&self, fingerprint: Fingerprint, now: Duration) -> SuspectReport {
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

    /// Returns what the store should hold.
    pub(super) fn stored_state(&self) -> StoredState {
        StoredState {
            epoch: self.epoch,
            innocent: self.innocent,
            points: self.points(),
            finished_on: self.finished_on.len(),
        }
    }

    /// Returns what the store holds once this report has been written.
    pub(super) fn reported_state(&self, report: &SuspectReport) -> StoredState {
        let reported = Self {
            epoch: report.epoch,
            innocent: report.innocent,
            ran_past_start: report.ran_past_start,
            finished_on: report.finished_on.clone(),
            crashes: report.crashes.clone(),
            ..Self::new(self.rules, self.kind, Duration::ZERO)
        };
        reported.stored_state()
    }

    /// Returns whether the store should hold another state than it does.
    pub(super) fn needs_storing(&self) -> bool {
        match self.stored {
            // It is cut off and finished again all the time; that it is innocent is enough to know.
            Some(stored) if stored.innocent && self.innocent && !self.has_enough_points() => false,
            Some(stored) => stored != self.stored_state(),
            None => !self.innocent && self.crashes.len() >= STORED_FROM_CRASHES,
        }
    }

    /// Returns whether this software crashed under it.
    pub(super) fn has_crashed(&self, software: u64) -> bool {
        self.crashes.iter().any(|crash| crash.software == software)
    }

    /// Returns whether it may be tried on this software.
    ///
    /// On software that has not crashed under it a few trials are made at once. A segment is tried
    /// again on any software after a pause: all that share it are refused, and if that is every
    /// request of a service, none could ever clear it.
    pub(super) fn can_be_tried(&self, software: u64, now: Duration) -> bool {
        let is_running = |at: Duration| now.saturating_sub(at) < TRIAL_TIMEOUT;
        if self.trial_at.is_some_and(is_running) {
            return false;
        }
        let trials_left = self.crashes.len() < CRASHES_BEFORE_REFUSAL + TRIALS_MAX;
        let has_paused = now.saturating_sub(self.last_crash_at) >= SEGMENT_RETRIED_AFTER;
        let is_retried =
            self.kind == SuspectKind::Segment && has_paused && self.retrials < SEGMENT_RETRIALS_MAX;
        trials_left && !self.has_crashed(software) || is_retried
    }

    /// Records that it is tried on this software.
    pub(super) fn begin_trial(&mut self, software: u64, now: Duration) {
        self.trial_at = Some(now);
        self.retrials += u32::from(self.has_crashed(software));
    }
}
