//! Gossip about unreachable members, exchanged with the heartbeats of a large hall.
//!
//! Each instance monitors its next few answering successors on a hash ring and skips those that do
//! not answer. It reports a peer that does not answer in all heartbeats it sends, and any instance
//! that receives heartbeats from the peer refutes the report. If two instances report a peer and
//! none refutes it, the peer is confirmed unreachable and the new state is spread to all. An
//! unreachable member that is in fact live learns of its state from the reply to its next heartbeat
//! and refutes it.
//!
//! An instance sends at most [`MONITORED_PEERS_MAX`] + [`REPORTED_PROBES_MAX`] + [`DISTANT_PEERS`]
//! heartbeats per round. Each one names at most [`HEARTBEAT_UPDATES_MAX`] + 1 + 2 x
//! [`MONITORED_PEERS_MAX`] members, however many are unreachable. Only the reply to a full sync
//! request, sent once every [`FULL_SYNC_INTERVAL`], names all unreachable members.

use std::collections::BTreeSet;
use std::time::Duration;

#[cfg(doc)]
use super::member_states::HEARTBEAT_UPDATES_MAX;
use super::member_states::MemberState;
use super::membership::{
    Incarnation, Members, PEER_HEARTBEAT_TIMEOUT, Peer, PeerStatus, has_heartbeat_within,
    rendezvous_weight, ring_position,
};
use super::peer_monitor::REPORTED_PROBES_MAX;

/// Number of answering peers that each instance of a larger hall monitors.
pub const MONITORED_PEERS: usize = 4;
/// Maximum number of monitored peers, including those that do not answer.
pub const MONITORED_PEERS_MAX: usize = 16;
/// Number of peers that receive a heartbeat in each round besides the monitored ones. At a small
/// site every peer receives one.
pub const DISTANT_PEERS: usize = 2;
/// Time after which an instance selects other distant peers. Each distant peer needs a connection,
/// so frequent changes would in time connect every instance to every other.
pub const DISTANT_PEERS_ROTATION: Duration = Duration::from_secs(20);
/// A monitored peer without a heartbeat for this long no longer counts as answering, and the
/// instance monitors one more successor: two heartbeats were missed.
const SKIP_AFTER: Duration = Duration::from_secs(1);
/// A monitored peer without a heartbeat for this long is reported: four heartbeats were missed.
const REPORT_AFTER: Duration = Duration::from_secs(2);
/// Interval at which an instance requests the full set of unreachable members from a peer. It may
/// have missed an update that is no longer being sent and would otherwise never learn of it.
pub const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an unanswered full sync request is sent to the next peer.
const FULL_SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Gossip about other members that accompanies the sender's own status in a heartbeat. Members are
/// named by [`Incarnation::short_id`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Peers that the sender monitors and that do not answer it.
    pub suspected: Vec<u64>,
    /// Peers that others report and from which the sender receives heartbeats.
    pub reachable: Vec<u64>,
    /// States of members: pending updates, or all unreachable members in a full sync.
    pub states: Vec<MemberState>,
    /// Whether the sender requests the full set of unreachable members.
    pub requests_full_sync: bool,
    /// Whether `states` is the full set of unreachable members.
    pub is_full_sync: bool,
}

impl Gossip {
    /// Returns the number of members named, which determines the size of a heartbeat beyond the
    /// sender's own status.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.suspected.len() + self.reachable.len() + self.states.len()
    }
}

/// Full sync requests received from peers and sent by this instance.
#[derive(Debug, Clone, Default)]
pub(super) struct FullSync {
    /// Names of the peers that requested a full sync.
    requested_by: BTreeSet<String>,
    /// Time of this instance's last request.
    requested_at: Option<Duration>,
    /// Time at which the last full sync was received.
    received_at: Option<Duration>,
}

impl FullSync {
    /// Returns whether to request a full sync now, and if so records the request.
    fn request_if_due(&mut self, now: Duration) -> bool {
        let has_elapsed = |since: Option<Duration>, time| {
            since.is_none_or(|since| now.saturating_sub(since) >= time)
        };
        let is_due = has_elapsed(self.received_at, FULL_SYNC_INTERVAL)
            && has_elapsed(self.requested_at, FULL_SYNC_TIMEOUT);
        if is_due {
            self.requested_at = Some(now);
        }
        is_due
    }

    /// Marks the last full sync as outdated, so that a new one is requested.
    pub(super) fn expire(&mut self) {
        self.received_at = None;
    }
}

impl Members {
    /// Returns the names of the peers to which this instance sends a heartbeat in this round: all
    /// peers at a small site, else the monitored peers, reported peers to probe and a few distant
    /// peers of its hall.
    pub fn heartbeat_targets(
        &mut self,
        own: &Incarnation,
        own_hall: &str,
        now: Duration,
    ) -> Vec<String> {
        own_hall.clone_into(&mut self.own_hall);
        if self.is_small_site() {
            return self.all().map(name_of).collect();
        }
        let before = self.round_at.replace(now);
        if before.is_none_or(|before| now.saturating_sub(before) >= REPORT_AFTER) {
            self.monitor.reset();
        }
        self.monitor.expire(now);
        let mut targets: Vec<&Peer> = self.monitored_window(&own.name, now).collect();
        let to_probe = self.monitor.peers_to_probe(own.short_id(), now);
        let to_probe = to_probe.filter_map(|id| self.get_by_id(id));
        let to_probe = to_probe.filter(|peer| !self.is_unreachable(peer));
        targets.extend(to_probe.take(REPORTED_PROBES_MAX));
        let monitored: Vec<u64> = targets.iter().map(|peer| id_of(peer)).collect();
        targets.extend(self.distant_peers(&own.name, now));
        let mut seen = BTreeSet::new();
        let unique = targets.into_iter().filter(|peer| seen.insert(id_of(peer)));
        let targets = unique.map(name_of).collect();
        self.monitor.set_monitored(monitored, now);
        targets
    }

    /// Returns the successors on the ring until [`MONITORED_PEERS`] of them answer, at most
    /// [`MONITORED_PEERS_MAX`]. Peers confirmed unreachable are skipped.
    pub(super) fn monitored_window(
        &self,
        own_name: &str,
        now: Duration,
    ) -> impl Iterator<Item = &Peer> {
        let mut answering = 0;
        let next = self.ring_peers_from(ring_position(own_name).wrapping_add(1));
        let next = next.filter(|peer| !self.is_unreachable(peer));
        let window = next.take_while(move |peer| {
            let is_full = answering == MONITORED_PEERS;
            answering += usize::from(self.time_without_heartbeat(peer, now) < SKIP_AFTER);
            !is_full
        });
        window.take(MONITORED_PEERS_MAX)
    }

    /// Returns the time since the last heartbeat of a peer. Time before the start of monitoring is
    /// not counted, since the peer was not probed then.
    fn time_without_heartbeat(&self, peer: &Peer, now: Duration) -> Duration {
        let monitored_since = self.monitor.monitored_since(id_of(peer)).unwrap_or(now);
        let since = peer.last_heard.unwrap_or_default().max(monitored_since);
        now.saturating_sub(since)
    }

    /// Returns a few distant peers of the hall that receive heartbeats besides the monitored ones,
    /// so that updates cross a large ring in a few rounds. One of them is not known to be
    /// unreachable; the other may be any peer, so that the parts of a hall reconnect after a
    /// network partition. The selection stays the same for [`DISTANT_PEERS_ROTATION`]: changing it
    /// in each round would in time connect every instance to every other.
    fn distant_peers(&self, own_name: &str, now: Duration) -> impl Iterator<Item = &Peer> {
        let rotation = now.as_secs() / DISTANT_PEERS_ROTATION.as_secs();
        let from = |key: &str| rendezvous_weight(&format!("{own_name}/{rotation}"), key);
        let mut answering = self.ring_peers_from(from("answering"));
        let answering = answering.find(|peer| !self.is_unreachable(peer));
        let any = self.ring_peers_from(from("any")).next();
        answering.into_iter().chain(any)
    }

    /// Returns the gossip about other members to send to a peer.
    pub fn gossip_for(
        &mut self,
        own: &Incarnation,
        own_hall: &str,
        to: &str,
        now: Duration,
    ) -> Gossip {
        own_hall.clone_into(&mut self.own_hall);
        if self.is_small_site() {
            return Gossip::default();
        }
        let own_id = own.short_id();
        self.refute_own_state(own_id, now);
        let suspected = self.report_suspects(own_id, now);
        self.confirm_unreachable(own_id, now);
        let is_full_sync = self.full_sync.requested_by.remove(to);
        let mut states = if is_full_sync {
            self.states.unreachable().collect()
        } else {
            let members = self.all().count();
            self.states.next_updates(members)
        };
        let receiver = self.get(to).map(|peer| self.states.get(id_of(peer)));
        states.extend(receiver.filter(|state| state.unreachable && !states.contains(state)));
        Gossip {
            reachable: self.reachable_suspects(now),
            suspected: suspected
                .into_iter()
                .filter(|peer| !self.states.is_unreachable(*peer))
                .collect(),
            states,
            requests_full_sync: self.full_sync.request_if_due(now),
            is_full_sync,
        }
    }

    /// Refutes that this instance is unreachable, if others consider it so. It was cut off, so the
    /// states that it determined for others are discarded.
    fn refute_own_state(&mut self, own_id: u64, now: Duration) {
        if self.states.is_unreachable(own_id) {
            self.states.refute(own_id, now);
            self.states.clear_unreachable();
            self.full_sync.expire();
        }
    }

    /// Reports the monitored peers that do not answer.
    fn report_suspects(&mut self, own_id: u64, now: Duration) -> Vec<u64> {
        let monitored = self.monitor.monitored();
        let monitored = monitored.filter_map(|id| self.get_by_id(id));
        let unanswered =
            monitored.filter(|peer| self.time_without_heartbeat(peer, now) >= REPORT_AFTER);
        let unanswered: Vec<u64> = unanswered.map(id_of).take(MONITORED_PEERS_MAX).collect();
        for peer in &unanswered {
            self.monitor.report(*peer, own_id, now);
        }
        unanswered
    }

    /// Marks the peers that are reported by enough instances as unreachable.
    fn confirm_unreachable(&mut self, own_id: u64, now: Duration) {
        for peer in self.monitor.reported_peers() {
            if self.is_confirmed_by_reports(peer, own_id, now) {
                self.states.mark_unreachable(peer, now);
            }
        }
    }

    /// Returns whether the reports confirm that a peer, not yet marked, is unreachable. A recent
    /// heartbeat received by this instance overrides the reports of others.
    fn is_confirmed_by_reports(&self, peer: u64, own_id: u64, now: Duration) -> bool {
        let known = self.get_by_id(peer);
        let has_no_heartbeat =
            known.is_some_and(|peer| !has_heartbeat_within(peer, REPORT_AFTER, now));
        if !has_no_heartbeat || self.states.is_unreachable(peer) {
            return false;
        }
        let is_in_contact = |peer: &Peer| has_heartbeat_within(peer, PEER_HEARTBEAT_TIMEOUT, now);
        let has_no_contact = || !self.all().any(is_in_contact);
        let is_trusted = |reporter: u64| !self.states.is_unreachable(reporter);
        let monitor = &self.monitor;
        monitor.is_unreachable(peer, own_id, has_no_contact, is_trusted, now)
    }

    /// Returns the peers that others report and from which this instance receives heartbeats.
    fn reachable_suspects(&self, now: Duration) -> Vec<u64> {
        let reported = self.monitor.reported_peers().into_iter();
        let reported = reported.filter_map(|id| self.get_by_id(id));
        let answering = reported.filter(|peer| has_heartbeat_within(peer, SKIP_AFTER, now));
        answering.map(id_of).take(MONITORED_PEERS_MAX).collect()
    }

    /// Processes a heartbeat and its gossip. From a sender marked as unreachable, only the states
    /// of the sender and of this instance are merged: it was cut off and may have marked all others
    /// as unreachable.
    pub fn receive_heartbeat(
        &mut self,
        own: &Incarnation,
        status: PeerStatus,
        gossip: &Gossip,
        now: Duration,
    ) {
        if status.incarnation.name == own.name {
            return;
        }
        let (own_id, sender) = (own.short_id(), status.incarnation.short_id());
        let sender_name = status.incarnation.name.clone();
        self.record_heartbeat(status, now);
        let (about_sender_or_self, about_others): (Vec<MemberState>, Vec<MemberState>) = gossip
            .states
            .iter()
            .partition(|state| state.member == sender || state.member == own_id);
        for state in about_sender_or_self {
            self.states.merge(state, now);
        }
        if gossip.requests_full_sync {
            self.full_sync.requested_by.insert(sender_name);
        }
        if self.states.is_unreachable(sender) {
            return;
        }
        for state in about_others {
            if self.get_by_id(state.member).is_some() {
                self.states.merge(state, now);
            }
        }
        for peer in &gossip.suspected {
            if self.get_by_id(*peer).is_some() {
                self.monitor.report(*peer, sender, now);
            }
        }
        for peer in &gossip.reachable {
            self.monitor.refute(*peer, now);
        }
        if gossip.is_full_sync {
            self.full_sync.received_at = Some(now);
        }
    }
}

fn name_of(peer: &Peer) -> String {
    peer.status.incarnation.name.clone()
}

fn id_of(peer: &Peer) -> u64 {
    peer.status.incarnation.short_id()
}
