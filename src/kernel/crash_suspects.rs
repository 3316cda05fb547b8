//! Crash suspects: requests and prompt segments that may crash the endpoints that run them, and
//! which of them are no longer sent to any endpoint.
//!
//! A request may crash every endpoint that starts to run it, and it may be sent again under a new
//! request id to any instance, so attempts counted by request id would start from zero each time.
//! So may every request with some segment in its prompt, no two of them alike. Crashes are therefore
//! counted by the fingerprints of the request and of its segments, and instances share them with
//! each other and with the store.
//!
//! A single crash says little: everything that ran on the endpoint is cut off with it, and
//! endpoints also crash for other reasons. A crash therefore counts in full only against requests
//! that had just started there, by half against other requests, and not at all against their
//! segments; three full ones are needed to refuse a request or segment; a request that any endpoint has finished is innocent, and a segment
//! that any endpoint has finished needs twice as many. [`Culprit`] says which of several
//! suspects is refused for the same crashes.
//!
//! Each fingerprint has an epoch, and reports of an earlier epoch are ignored. A new epoch starts
//! when the request is found innocent or when an operator releases it.

mod culprits;
mod sharing;
mod suspect;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::Serialize;

use super::fingerprint::{Fingerprint, HeadHash};
use super::segment_survivals::SegmentSurvivals;
pub use culprits::Culprit;
use culprits::find_culprits;
pub use sharing::{STORED_MAX, UPDATES_MAX};
pub use suspect::{EndpointCrash, RefusalRules, SuspectReport, software_id};
use suspect::{Suspect, SuspectKind};

/// A request that runs for longer than this after its first event did not crash its endpoint by
/// starting. Crashes by a start come within a tenth of this time; even slow engines
/// generate several events in it.
pub const START_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of suspects, about 0.5 MB. An engine with 24 slots leaves 24 suspects per crash,
/// so this covers 170 crashes within [`SUSPECTED_FOR`].
const SUSPECTS_MAX: usize = 4_096;
/// Number of suspects that are evicted at once when the limit is reached.
const EVICTION_BATCH: usize = SUSPECTS_MAX / 8;
/// A suspect is forgotten this long after its last crash; a request that is sent so rarely crashes
/// few endpoints.
const SUSPECTED_FOR: Duration = Duration::from_hours(1);
/// A refused request stays refused for this long after its last crash. This leaves time for a
/// software release that fixes the endpoints, or for an operator to investigate.
const REFUSED_FOR: Duration = Duration::from_hours(24);
/// The same for segments, which many requests may have.
const SEGMENT_REFUSED_FOR: Duration = SUSPECTED_FOR;

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

/// The crash suspects, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    rules: RefusalRules,
    /// At most [`SUSPECTS_MAX`].
    by_fingerprint: BTreeMap<Fingerprint, Suspect>,
    /// Number of suspects per head; heads without suspects have no entry.
    heads: HashMap<HeadHash, u32>,
    /// Suspects with enough points to be refused, unless something else explains their crashes.
    with_enough_points: BTreeSet<Fingerprint>,
    /// Derived from `with_enough_points`.
    culprits: Vec<Culprit>,
    survivals: SegmentSurvivals,
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

    /// Returns what is refused.
    #[must_use]
    pub fn culprits(&self) -> &[Culprit] {
        &self.culprits
    }

    /// Returns whether a suspect has this head. If none has, a request's body need not be read.
    #[must_use]
    pub fn has_head(&self, head: HeadHash) -> bool {
        self.heads.contains_key(&head)
    }

    /// Returns whether a request with these fingerprints may be sent.
    #[must_use]
    pub fn verdict(&self, fingerprints: &[Fingerprint], now: Duration) -> Verdict {
        if self.matching_culprits(fingerprints, now).next().is_some() {
            return Verdict::Refused;
        }
        let mut suspects = fingerprints.iter().filter_map(|fingerprint| {
            let suspect = self.by_fingerprint.get(fingerprint)?;
            Some((fingerprint, suspect))
        });
        let is_suspected = suspects.any(|(fingerprint, suspect)| {
            let is_current = now < self.expires_at(*fingerprint, suspect);
            !suspect.innocent && !suspect.crashes.is_empty() && is_current
        });
        if is_suspected {
            Verdict::Suspected
        } else {
            Verdict::Allowed
        }
    }

    /// Returns the verdict on one suspect by itself, and [`Verdict::Refused`] for each member of a
    /// culprit.
    #[must_use]
    pub fn suspect_verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let culprit = self.culprit_of(fingerprint);
        let members = culprit.map_or(vec![fingerprint], |culprit| culprit.members.clone());
        self.verdict(&members, now)
    }

    fn matching_culprits<'a>(
        &'a self,
        fingerprints: &'a [Fingerprint],
        now: Duration,
    ) -> impl Iterator<Item = &'a Culprit> {
        let is_current = move |fingerprint: &Fingerprint| {
            let suspect = self.by_fingerprint.get(fingerprint);
            suspect.is_some_and(|suspect| now < self.expires_at(*fingerprint, suspect))
        };
        let matching = self.culprits.iter();
        let matching = matching.filter(move |culprit| culprit.matches(fingerprints));
        matching.filter(move |culprit| culprit.members.iter().all(is_current))
    }

    fn culprit_of(&self, fingerprint: Fingerprint) -> Option<&Culprit> {
        let mut culprits = self.culprits.iter();
        culprits.find(|culprit| culprit.members.contains(&fingerprint))
    }

    fn expires_at(&self, fingerprint: Fingerprint, suspect: &Suspect) -> Duration {
        let is_refused = self.culprit_of(fingerprint).is_some();
        let retention = match (is_refused, fingerprint.segment()) {
            (true, None) => REFUSED_FOR,
            (true, Some(_)) => SEGMENT_REFUSED_FOR,
            (false, _) => SUSPECTED_FOR,
        };
        suspect.last_crash_at.saturating_add(retention)
    }

    /// Returns the refused suspects because of which a request with these fingerprints is refused.
    fn refused_members(
        &self,
        fingerprints: &[Fingerprint],
        now: Duration,
    ) -> BTreeSet<Fingerprint> {
        let culprits = self.matching_culprits(fingerprints, now);
        culprits
            .flat_map(|culprit| culprit.members.iter().copied())
            .collect()
    }

    /// Starts a trial of a refused request on endpoints with this software. Returns `false` if this
    /// software has crashed under the request (of late, if it is refused for segments), if a trial is
    /// running, or if too many trials were made. The instances must agree on the one that makes
    /// trials.
    pub fn begin_trial(
        &mut self,
        fingerprints: &[Fingerprint],
        software: u64,
        now: Duration,
    ) -> bool {
        let members = self.refused_members(fingerprints, now);
        let can_be_tried = |member: &Fingerprint| {
            let suspect = self.by_fingerprint.get(member);
            suspect.is_some_and(|suspect| suspect.can_be_tried(software, now))
        };
        if members.is_empty() || !members.iter().all(can_be_tried) {
            return false;
        }
        for member in members {
            if let Some(suspect) = self.by_fingerprint.get_mut(&member) {
                suspect.begin_trial(software, now);
            }
        }
        true
    }

    /// Returns whether this software has finished all for which a request is refused.
    #[must_use]
    pub fn has_finished_on(
        &self,
        fingerprints: &[Fingerprint],
        software: u64,
        now: Duration,
    ) -> bool {
        let members = self.refused_members(fingerprints, now);
        let has_finished = |member: &Fingerprint| {
            let suspect = self.by_fingerprint.get(member);
            let finished_unsuspected = self.survivals.contains(software, *member);
            suspect.is_some_and(|suspect| {
                suspect.finished_on.contains(&software)
                    || finished_unsuspected && !suspect.has_crashed(software)
            })
        };
        !members.is_empty() && members.iter().all(has_finished)
    }

    /// Records that an endpoint crashed while it ran a request or segment.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: EndpointCrash,
        now: Duration,
    ) -> SuspectChange {
        if fingerprint.segment().is_some() && !crash.at_start {
            // What shares a segment also shares the load: it is cut off by every crash.
            return SuspectChange::None;
        }
        let was_finished = self.survivals.contains(crash.software, fingerprint);
        self.make_room(fingerprint, now);
        let known = self.by_fingerprint.get(&fingerprint);
        let is_expired = known.is_some_and(|suspect| now >= self.expires_at(fingerprint, suspect));
        let suspect = self.entry(fingerprint, now);
        if suspect.is_cleared_for_good() {
            return SuspectChange::None;
        }
        if is_expired {
            suspect.crashes.clear();
        }
        suspect.innocent |= was_finished;
        if !suspect.add_crash(crash) {
            return SuspectChange::None;
        }
        suspect.last_crash_at = now;
        suspect.changed_at = now;
        suspect.crashed_here = true;
        self.change_after_update(fingerprint)
    }

    /// Records that an endpoint with this software finished a request or segment and still runs. If
    /// other endpoints with the same software had crashed, it was not the cause and is innocent. If
    /// only other software had crashed, it may be sent to this software, and its other state is
    /// unchanged.
    pub fn record_survival(
        &mut self,
        fingerprint: Fingerprint,
        software: u64,
        now: Duration,
    ) -> SuspectChange {
        if fingerprint.segment().is_some() {
            self.survivals.record(software, fingerprint, now);
        }
        let suspect = self.by_fingerprint.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|suspect| !suspect.has_nothing_against_it()) else {
            return SuspectChange::None;
        };
        if suspect.crashes.is_empty() || suspect.has_crashed(software) {
            suspect.start_epoch(suspect.epoch + 1, true, now);
            return self.change_after_update(fingerprint);
        }
        if !suspect.add_finished_on(software) {
            return SuspectChange::None;
        }
        suspect.changed_at = now;
        SuspectChange::Updated
    }

    /// Records that a request or segment ran past its start on an endpoint. Earlier crashes were
    /// then not caused by its start: clients send identical requests by the hundred, and one that
    /// runs on every endpoint is cut off by every crash.
    pub fn record_ran_past_start(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
    ) -> SuspectChange {
        let suspect = self.by_fingerprint.get_mut(&fingerprint);
        let Some(suspect) =
            suspect.filter(|suspect| !suspect.has_nothing_against_it() && !suspect.ran_past_start)
        else {
            return SuspectChange::None;
        };
        suspect.ran_past_start = true;
        suspect.changed_at = now;
        self.change_after_update(fingerprint)
    }

    /// Releases a suspect on behalf of an operator, so that its crashes are counted from zero.
    /// Releases what is refused together with it, too, and what would be refused in its place.
    /// Returns whether the suspect was known.
    pub fn release(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        if !self.by_fingerprint.contains_key(&fingerprint) {
            return false;
        }
        let own = self.culprit_of(fingerprint);
        let mut released = own.map_or_else(Vec::new, |culprit| culprit.members.clone());
        released.push(fingerprint);
        let others = self.with_enough_points.iter();
        let explained = others.filter(|other| self.culprit_of(**other).is_none());
        released.extend(explained);
        for member in released {
            if let Some(suspect) = self.by_fingerprint.get_mut(&member) {
                suspect.start_epoch(suspect.epoch + 1, false, now);
            }
            self.change_after_update(member);
        }
        true
    }

    /// Merges a report from a peer or from the store.
    pub fn merge(&mut self, report: &SuspectReport, now: Duration) -> SuspectChange {
        let fingerprint = report.fingerprint;
        let mut crashed_on = report.crashes.iter().map(|crash| crash.software);
        let was_finished =
            crashed_on.any(|software| self.survivals.contains(software, fingerprint));
        self.make_room(fingerprint, now);
        let suspect = self.entry(fingerprint, now);
        if report.epoch < suspect.epoch {
            return SuspectChange::None;
        }
        let mut is_changed = suspect.begin_reported_epoch(report, now);
        if suspect.is_cleared_for_good() {
            return if is_changed {
                self.change_after_update(fingerprint)
            } else {
                SuspectChange::None
            };
        }
        is_changed |= suspect.merge_evidence(report);
        if was_finished && !suspect.innocent {
            suspect.innocent = true;
            is_changed = true;
        }
        if !is_changed {
            return SuspectChange::None;
        }
        suspect.last_crash_at = now.saturating_sub(report.last_crash_age);
        suspect.changed_at = now;
        self.change_after_update(fingerprint)
    }

    /// Finds the culprits again after a suspect has changed.
    fn change_after_update(&mut self, fingerprint: Fingerprint) -> SuspectChange {
        let suspect = self.by_fingerprint.get(&fingerprint);
        let had_enough_points = self.with_enough_points.contains(&fingerprint);
        if suspect.is_some_and(Suspect::has_enough_points) {
            self.with_enough_points.insert(fingerprint);
        } else if had_enough_points {
            self.with_enough_points.remove(&fingerprint);
        } else {
            return SuspectChange::Updated;
        }
        let suspects = self.with_enough_points.iter().filter_map(|fingerprint| {
            let suspect = self.by_fingerprint.get(fingerprint)?;
            Some((*fingerprint, suspect))
        });
        let culprits = find_culprits(suspects);
        let before = std::mem::replace(&mut self.culprits, culprits);
        let mut culprits = self.culprits.iter();
        if culprits.any(|culprit| !before.contains(culprit)) {
            SuspectChange::NowRefused
        } else {
            SuspectChange::Updated
        }
    }

    /// Removes suspects that have expired and returns those among them that the store still holds.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        let all = self.by_fingerprint.iter();
        let expired: Vec<(Fingerprint, bool)> = all
            .filter(|(fingerprint, suspect)| now >= self.expires_at(**fingerprint, suspect))
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.stored.is_some()))
            .collect();
        for (fingerprint, _) in &expired {
            self.remove(*fingerprint);
        }
        let stored = expired.into_iter().filter(|(_, is_stored)| *is_stored);
        stored.map(|(fingerprint, _)| fingerprint).collect()
    }

    fn entry(&mut self, fingerprint: Fingerprint, now: Duration) -> &mut Suspect {
        self.by_fingerprint.entry(fingerprint).or_insert_with(|| {
            *self.heads.entry(fingerprint.head).or_default() += 1;
            Suspect::new(self.rules, SuspectKind::of(fingerprint), now)
        })
    }

    /// Evicts the suspects with the fewest points, oldest first, if there is no room for one more.
    /// It evicts many at a time: one by one, recording a crash of a new suspect took 0.12 ms once
    /// the limit was reached; in batches it took 0.002 ms (a million suspects, one test).
    fn make_room(&mut self, fingerprint: Fingerprint, now: Duration) {
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
            .map(|(fingerprint, suspect)| {
                let counts = (!suspect.innocent, suspect.points(), suspect.changed_at);
                (counts, *fingerprint)
            })
            .collect();
        by_points.sort_unstable();
        for (_, fingerprint) in by_points.into_iter().take(EVICTION_BATCH) {
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if self.by_fingerprint.remove(&fingerprint).is_none() {
            return;
        }
        self.change_after_update(fingerprint);
        if let Some(count) = self.heads.get_mut(&fingerprint.head) {
            *count -= 1;
            if *count == 0 {
                self.heads.remove(&fingerprint.head);
            }
        }
    }
}
