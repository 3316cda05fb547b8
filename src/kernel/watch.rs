//! Which peers an instance watches, and what watchers say of those that do not answer.
//!
//! One instance alone may be cut off from a peer, so that two have to report it, and none that hears the peer may object.

use std::collections::BTreeMap;
use std::time::Duration;

/// Instances that must report a peer: one alone may be cut off from it.
const REPORTERS_NEEDED: usize = 2;
/// A report waits this long for those that hear the peer: a round of heartbeats.
const OBJECTIONS_WAITED_FOR: Duration = Duration::from_millis(500);
/// An instance that hears nobody takes its own report for true after this long: by then the others, who may only be cut off from it, have found it
/// silent and do not take its word.
const ALONE_AFTER: Duration = Duration::from_secs(4);
/// A report counts for this long after it was last made: four rounds of heartbeats.
const REPORT_KEPT: Duration = Duration::from_secs(2);
/// The word of an instance that it hears a peer counts for this long: two rounds of heartbeats.
const OBJECTION_KEPT: Duration = Duration::from_secs(1);
/// A peer that a single other instance has reported for this long needs a second one that looks.
const ALONE_REPORTED: Duration = Duration::from_secs(1);
/// Peers at which an instance looks since others reported them: what it sends stays bounded, whoever reports how many.
pub const LOOKED_AT_MAX: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Report {
    peer: u64,
    reporter: u64,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    first: Duration,
    /// Never before `first`.
    last: Duration,
}

/// The peers that one instance watches, and the reports that it knows.
#[derive(Debug, Clone, Default)]
pub struct Watch {
    /// Peers that are watched, and since when.
    since: BTreeMap<u64, Duration>,
    reports: BTreeMap<Report, Reported>,
    /// When another instance last said that it hears a peer.
    objected: BTreeMap<u64, Duration>,
}

impl Watch {
    /// These peers are watched now. Who was watched before stays so since then.
    pub fn set(&mut self, peers: impl IntoIterator<Item = u64>, now: Duration) {
        let peers = peers.into_iter();
        let since = peers.map(|peer| (peer, self.since.get(&peer).copied().unwrap_or(now)));
        self.since = since.collect();
    }

    /// Begins anew: after a pause of this instance the peers' silence was its own.
    pub fn restart(&mut self) {
        self.since.clear();
        self.reports.clear();
    }

    /// Peers that are watched.
    pub fn watched(&self) -> impl Iterator<Item = u64> {
        self.since.keys().copied()
    }

    /// Since when a peer is watched.
    #[must_use]
    pub fn since(&self, peer: u64) -> Option<Duration> {
        self.since.get(&peer).copied()
    }

    /// An instance reports that a peer does not answer.
    pub fn report(&mut self, peer: u64, reporter: u64, now: Duration) {
        let just_now = Reported {
            first: now,
            last: now,
        };
        let known = self
            .reports
            .entry(Report { peer, reporter })
            .or_insert(just_now);
        if now.saturating_sub(known.last) >= REPORT_KEPT {
            *known = just_now;
        }
        known.last = now;
    }

    /// An instance says that it hears a peer.
    pub fn object(&mut self, peer: u64, now: Duration) {
        self.objected.insert(peer, now);
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Duration) {
        self.reports
            .retain(|_, reported| now.saturating_sub(reported.last) < REPORT_KEPT);
        self.objected
            .retain(|_, at| now.saturating_sub(*at) < OBJECTION_KEPT);
    }

    /// Forgets a peer.
    pub fn forget(&mut self, peer: u64) {
        self.since.remove(&peer);
        self.objected.remove(&peer);
        self.reports.retain(|report, _| report.peer != peer);
    }

    /// Peers that somebody reports, each once.
    #[must_use]
    pub fn reported(&self) -> Vec<u64> {
        let mut reported: Vec<u64> = self.reports.keys().map(|report| report.peer).collect();
        reported.dedup();
        reported
    }

    /// How many instances report a peer.
    #[must_use]
    pub fn reporters(&self, peer: u64) -> usize {
        self.of(peer).count()
    }

    fn of(&self, peer: u64) -> impl Iterator<Item = (u64, Reported)> {
        let first = Report { peer, reporter: 0 };
        let last = Report {
            peer,
            reporter: u64::MAX,
        };
        let reports = self.reports.range(first..=last);
        reports.map(|(report, reported)| (report.reporter, *reported))
    }

    /// Whether a peer that this instance does not hear counts as silent. `counts` tells whose word counts.
    #[must_use]
    pub fn is_found_silent(
        &self,
        peer: u64,
        own: u64,
        hears_nobody: impl Fn() -> bool,
        counts: impl Fn(u64) -> bool,
        now: Duration,
    ) -> bool {
        if self.objected.contains_key(&peer) {
            return false;
        }
        let waited = |reported: Reported| now.saturating_sub(reported.first);
        let by_others = self.of(peer).filter(|(reporter, reported)| {
            *reporter != own && counts(*reporter) && waited(*reported) >= OBJECTIONS_WAITED_FOR
        });
        let by_others = by_others.count();
        let own = self.of(peer).find(|(reporter, _)| *reporter == own);
        let own = own.map(|(_, reported)| waited(reported));
        let by_own = own.is_some_and(|waited| waited >= OBJECTIONS_WAITED_FOR);
        let alone = own.is_some_and(|waited| waited >= ALONE_AFTER) && hears_nobody();
        by_others + usize::from(by_own) >= REPORTERS_NEEDED || alone
    }

    /// Peers that need a second instance that looks: one other alone has reported them for some time.
    pub fn to_look_at(&self, own: u64, now: Duration) -> impl Iterator<Item = u64> {
        let reported = self.reported().into_iter();
        reported.filter(move |peer| {
            let mut others = self.of(*peer).filter(|(reporter, _)| *reporter != own);
            let (first, second) = (others.next(), others.next());
            let is_old = |reported: Reported| now.saturating_sub(reported.first) >= ALONE_REPORTED;
            second.is_none() && first.is_some_and(|(_, reported)| is_old(reported))
        })
    }
}
