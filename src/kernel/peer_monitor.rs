//! Failure detection: the peers that an instance monitors, and the reports about those that do not
//! answer.
//!
//! A single instance may itself be cut off from a peer. A peer is therefore only confirmed
//! unreachable if two instances report it and no instance that still receives its heartbeats
//! refutes the reports.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of reporters that confirm a peer as unreachable. A single reporter may be cut off from
/// the peer itself.
const REPORTERS_MIN: usize = 2;
/// Time that a report waits for refutations from instances that receive the peer's heartbeats: one
/// heartbeat interval.
const REFUTATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an instance without contact to any peer confirms its own reports. By then the
/// other instances, which may merely be cut off from it, consider it unreachable and ignore its
/// reports.
const LONE_REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a report stays valid after its last renewal: four heartbeat intervals.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Time for which a refutation stays valid: two heartbeat intervals.
const REFUTATION_TTL: Duration = Duration::from_secs(1);
/// A peer that a single other instance has reported for this long is probed by a second one.
const SECOND_PROBE_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of peers that an instance probes because others reported them. It bounds the
/// number of heartbeats per round, however many peers are reported.
pub const REPORTED_PROBES_MAX: usize = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    peer: u64,
    reporter: u64,
}

#[derive(Debug, Clone, Copy)]
struct ReportPeriod {
    first: Duration,
    /// Never earlier than `first`.
    last: Duration,
}

/// The peers that one instance monitors, and the reports that it knows of.
#[derive(Debug, Clone, Default)]
pub struct PeerMonitor {
    /// Monitored peers and the time since which each one is monitored.
    monitored_since: BTreeMap<u64, Duration>,
    reports: BTreeMap<ReportKey, ReportPeriod>,
    /// Time at which another instance last refuted the reports about a peer.
    refuted_at: BTreeMap<u64, Duration>,
}

impl PeerMonitor {
    /// Sets the monitored peers. Peers that were monitored before keep their start time.
    pub fn set_monitored(&mut self, peers: impl IntoIterator<Item = u64>, now: Duration) {
        let peers = peers.into_iter();
        let since = peers.map(|peer| {
            (
                peer,
                self.monitored_since.get(&peer).copied().unwrap_or(now),
            )
        });
        self.monitored_since = since.collect();
    }

    /// Discards the monitored peers and all reports. Called after a pause of this instance, which
    /// missed the peers' heartbeats through its own fault.
    pub fn reset(&mut self) {
        self.monitored_since.clear();
        self.reports.clear();
    }

    /// Returns the monitored peers.
    pub fn monitored(&self) -> impl Iterator<Item = u64> {
        self.monitored_since.keys().copied()
    }

    /// Returns the time since which a peer is monitored.
    #[must_use]
    pub fn monitored_since(&self, peer: u64) -> Option<Duration> {
        self.monitored_since.get(&peer).copied()
    }

    /// Records that `reporter` gets no answer from `peer`.
    pub fn report(&mut self, peer: u64, reporter: u64, now: Duration) {
        let new_period = ReportPeriod {
            first: now,
            last: now,
        };
        let period = self
            .reports
            .entry(ReportKey { peer, reporter })
            .or_insert(new_period);
        if now.saturating_sub(period.last) >= REPORT_TTL {
            *period = new_period;
        }
        period.last = now;
    }

    /// Records that another instance receives heartbeats from `peer`.
    pub fn refute(&mut self, peer: u64, now: Duration) {
        self.refuted_at.insert(peer, now);
    }

    /// Removes expired reports and refutations.
    pub fn expire(&mut self, now: Duration) {
        self.reports
            .retain(|_, period| now.saturating_sub(period.last) < REPORT_TTL);
        self.refuted_at
            .retain(|_, at| now.saturating_sub(*at) < REFUTATION_TTL);
    }

    /// Removes a peer and all reports about it.
    pub fn remove(&mut self, peer: u64) {
        self.monitored_since.remove(&peer);
        self.refuted_at.remove(&peer);
        self.reports.retain(|key, _| key.peer != peer);
    }

    /// Returns the reported peers without duplicates.
    #[must_use]
    pub fn reported_peers(&self) -> Vec<u64> {
        let mut peers: Vec<u64> = self.reports.keys().map(|key| key.peer).collect();
        peers.dedup();
        peers
    }

    /// Returns the number of instances that report a peer.
    #[must_use]
    pub fn reporter_count(&self, peer: u64) -> usize {
        self.reports_of(peer).count()
    }

    fn reports_of(&self, peer: u64) -> impl Iterator<Item = (u64, ReportPeriod)> {
        let first = ReportKey { peer, reporter: 0 };
        let last = ReportKey {
            peer,
            reporter: u64::MAX,
        };
        let reports = self.reports.range(first..=last);
        reports.map(|(key, period)| (key.reporter, *period))
    }

    /// Returns whether a peer that does not answer this instance is confirmed unreachable.
    /// `has_no_contact` returns whether no peer at all answers this instance, and `is_trusted`
    /// whether the reports of an instance count.
    #[must_use]
    pub fn is_unreachable(
        &self,
        peer: u64,
        own_id: u64,
        has_no_contact: impl Fn() -> bool,
        is_trusted: impl Fn(u64) -> bool,
        now: Duration,
    ) -> bool {
        if self.refuted_at.contains_key(&peer) {
            return false;
        }
        let age = |period: ReportPeriod| now.saturating_sub(period.first);
        let by_others = self.reports_of(peer).filter(|(reporter, period)| {
            *reporter != own_id && is_trusted(*reporter) && age(*period) >= REFUTATION_TIMEOUT
        });
        let by_others = by_others.count();
        let own_report = self
            .reports_of(peer)
            .find(|(reporter, _)| *reporter == own_id);
        let own_age = own_report.map(|(_, period)| age(period));
        let by_self = own_age.is_some_and(|age| age >= REFUTATION_TIMEOUT);
        let confirmed_alone =
            own_age.is_some_and(|age| age >= LONE_REPORT_TIMEOUT) && has_no_contact();
        by_others + usize::from(by_self) >= REPORTERS_MIN || confirmed_alone
    }

    /// Returns the peers that need a second probe: only one other instance has reported them for at
    /// least `SECOND_PROBE_AFTER`.
    pub fn peers_to_probe(&self, own_id: u64, now: Duration) -> impl Iterator<Item = u64> {
        let reported = self.reported_peers().into_iter();
        reported.filter(move |peer| {
            let mut others = self
                .reports_of(*peer)
                .filter(|(reporter, _)| *reporter != own_id);
            let (first, second) = (others.next(), others.next());
            let is_due =
                |period: ReportPeriod| now.saturating_sub(period.first) >= SECOND_PROBE_AFTER;
            second.is_none() && first.is_some_and(|(_, period)| is_due(period))
        })
    }
}
