//! What instances of a large hall tell each other of silent ones, with their heartbeats.
//!
//! Each instance watches the next few peers on a ring that answer, past those that do not. A peer that does not answer is reported to all that the
//! instance tells; whoever hears it objects. Where two report it and nobody objects it is found silent, and that is news for all. A member that was
//! found silent and lives hears so with the answer to its next heartbeat, and says that it lives.
//!
//! An instance sends at most [`WATCHED_MAX`] + [`LOOKED_AT_MAX`] + [`DISTANT`] heartbeats in a round, and none names more than [`NEWS_MAX`] + 1 + 2 x
//! [`WATCHED_MAX`] members, however many are silent; only the answer to who asks for all names all that are silent, once in
//! [`WHOLE_ASKED_EVERY`].

use std::collections::BTreeSet;
use std::time::Duration;

use super::membership::{
    Incarnation, Members, PEER_SILENT_AFTER, Peer, PeerStatus, heard_within, rendezvous_weight,
    ring_place,
};
#[cfg(doc)]
use super::standings::NEWS_MAX;
use super::standings::Standing;
use super::watch::LOOKED_AT_MAX;

/// Peers that answer which each instance of a larger hall watches.
pub const WATCHED: usize = 4;
/// Most peers that it watches, with those among them that do not answer.
pub const WATCHED_MAX: usize = 16;
/// Peers told in each round besides those watched; at a small site all are told.
pub const DISTANT: usize = 2;
/// How long these stay the same: each one is a connection, and every instance would in time hold one to every other.
pub const DISTANT_KEPT: Duration = Duration::from_secs(20);
/// A watched peer that was not heard for this long is watched past: two heartbeats were missed.
const DOUBTED_AFTER: Duration = Duration::from_secs(1);
/// A watched peer that was not heard for this long is reported: four heartbeats were missed.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// An instance asks a peer this often for all that were found silent: news may have passed it by, and what nobody tells any more it would
/// never learn.
pub const WHOLE_ASKED_EVERY: Duration = Duration::from_secs(5);
/// The next one is asked after this long where one does not answer.
const WHOLE_WAITED_FOR: Duration = Duration::from_secs(1);

/// What an instance tells a peer of others, beside its own status. Members are named by [`Incarnation::short_id`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Peers that the sender watches and that do not answer it.
    pub suspected: Vec<u64>,
    /// Peers that others report and that the sender hears.
    pub heard: Vec<u64>,
    /// Who was found silent, or lives after all: news, or all that are silent.
    pub standings: Vec<Standing>,
    /// Whether the sender asks for all that were found silent.
    pub asks_whole: bool,
    /// Whether these are all that were found silent.
    pub is_whole: bool,
}

impl Gossip {
    /// Members that it names: what a heartbeat costs beside its own status.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.suspected.len() + self.heard.len() + self.standings.len()
    }
}

/// Who asked for all that were found silent, and when this instance did.
#[derive(Debug, Clone, Default)]
pub(super) struct WholeAsked {
    /// Names of peers that asked.
    owed_to: BTreeSet<String>,
    /// When this instance last asked.
    asked_at: Option<Duration>,
    /// When it was last told.
    told_at: Option<Duration>,
}

impl WholeAsked {
    /// Whether to ask now; then it counts as asked.
    fn ask(&mut self, now: Duration) -> bool {
        let passed = |since: Option<Duration>, time| {
            since.is_none_or(|since| now.saturating_sub(since) >= time)
        };
        let asks =
            passed(self.told_at, WHOLE_ASKED_EVERY) && passed(self.asked_at, WHOLE_WAITED_FOR);
        if asks {
            self.asked_at = Some(now);
        }
        asks
    }

    /// What was told before is not enough any more.
    pub(super) fn ask_anew(&mut self) {
        self.told_at = None;
    }
}

impl Members {
    /// Names of the peers to which this instance sends a heartbeat in a round: all of a small site, else the watched ones and a few distant
    /// ones of its hall.
    pub fn to_tell(&mut self, own: &Incarnation, own_hall: &str, now: Duration) -> Vec<String> {
        own_hall.clone_into(&mut self.own_hall);
        if self.is_small_site() {
            return self.all().map(name_of).collect();
        }
        let before = self.round_at.replace(now);
        if before.is_none_or(|before| now.saturating_sub(before) >= SUSPECT_AFTER) {
            self.watch.restart();
        }
        self.watch.expire(now);
        let mut told: Vec<&Peer> = self.window(&own.name, now).collect();
        let to_look_at = self.watch.to_look_at(own.short_id(), now);
        let to_look_at = to_look_at.filter_map(|id| self.by_id(id));
        let to_look_at = to_look_at.filter(|peer| !self.is_found_silent(peer));
        told.extend(to_look_at.take(LOOKED_AT_MAX));
        let watched: Vec<u64> = told.iter().map(|peer| id_of(peer)).collect();
        told.extend(self.distant(&own.name, now));
        let mut seen = BTreeSet::new();
        let each_once = told.into_iter().filter(|peer| seen.insert(id_of(peer)));
        let told = each_once.map(name_of).collect();
        self.watch.set(watched, now);
        told
    }

    /// The next peers on the ring, up to the fourth that answers. Those that were found silent are left out.
    pub(super) fn window(&self, own_name: &str, now: Duration) -> impl Iterator<Item = &Peer> {
        let mut answering = 0;
        let next = self.on_ring_from(ring_place(own_name).wrapping_add(1));
        let next = next.filter(|peer| !self.is_found_silent(peer));
        let window = next.take_while(move |peer| {
            let is_full = answering == WATCHED;
            answering += usize::from(self.unheard_for(peer, now) < DOUBTED_AFTER);
            !is_full
        });
        window.take(WATCHED_MAX)
    }

    /// How long a peer has not answered: counted from when it was watched first, since before nobody asked it.
    fn unheard_for(&self, peer: &Peer, now: Duration) -> Duration {
        let watched_since = self.watch.since(id_of(peer)).unwrap_or(now);
        let since = peer.last_heard.unwrap_or_default().max(watched_since);
        now.saturating_sub(since)
    }

    /// A few peers of the hall that an instance tells besides those it watches, so that news crosses a large ring in a few rounds: one that is not
    /// silent, and any one, so that parts of a hall that were cut from each other meet again. They stay the same for some time: with new ones in
    /// each round, every instance in time holds a connection to every other.
    fn distant(&self, own_name: &str, now: Duration) -> impl Iterator<Item = &Peer> {
        let turn = now.as_secs() / DISTANT_KEPT.as_secs();
        let from = |key: &str| rendezvous_weight(&format!("{own_name}/{turn}"), key);
        let mut answering = self.on_ring_from(from("answering"));
        let answering = answering.find(|peer| !self.is_found_silent(peer));
        let any = self.on_ring_from(from("any")).next();
        answering.into_iter().chain(any)
    }

    /// What this instance tells a peer of others.
    pub fn gossip(&mut self, own: &Incarnation, own_hall: &str, to: &str, now: Duration) -> Gossip {
        own_hall.clone_into(&mut self.own_hall);
        if self.is_small_site() {
            return Gossip::default();
        }
        let own_id = own.short_id();
        self.live_after_all(own_id, now);
        let suspected = self.suspect(own_id, now);
        self.find_silent(own_id, now);
        let is_whole = self.whole.owed_to.remove(to);
        let mut standings = if is_whole {
            self.standings.silent().collect()
        } else {
            let members = self.all().count();
            self.standings.news(members)
        };
        let receiver = self.get(to).map(|peer| self.standings.get(id_of(peer)));
        standings
            .extend(receiver.filter(|standing| standing.silent && !standings.contains(standing)));
        Gossip {
            heard: self.heard_though_reported(now),
            suspected: suspected
                .into_iter()
                .filter(|peer| !self.standings.is_silent(*peer))
                .collect(),
            standings,
            asks_whole: self.whole.ask(now),
            is_whole,
        }
    }

    /// Says that this instance lives where it was found silent. It was out of touch, so that what it found out of others does not count.
    fn live_after_all(&mut self, own_id: u64, now: Duration) {
        if self.standings.is_silent(own_id) {
            self.standings.lives_after_all(own_id, now);
            self.standings.forget_silent();
            self.whole.ask_anew();
        }
    }

    /// Reports the watched peers that do not answer.
    fn suspect(&mut self, own_id: u64, now: Duration) -> Vec<u64> {
        let watched = self.watch.watched();
        let watched = watched.filter_map(|id| self.by_id(id));
        let silent = watched.filter(|peer| self.unheard_for(peer, now) >= SUSPECT_AFTER);
        let silent: Vec<u64> = silent.map(id_of).take(WATCHED_MAX).collect();
        for peer in &silent {
            self.watch.report(*peer, own_id, now);
        }
        silent
    }

    /// Finds those silent whom enough instances report.
    fn find_silent(&mut self, own_id: u64, now: Duration) {
        for peer in self.watch.reported() {
            if self.is_silent_by_reports(peer, own_id, now) {
                self.standings.found_silent(peer, now);
            }
        }
    }

    /// Whether a peer that is not silent yet is to be found so. What this instance heard itself of late goes before what others report.
    fn is_silent_by_reports(&self, peer: u64, own_id: u64, now: Duration) -> bool {
        let known = self.by_id(peer);
        let is_unheard = known.is_some_and(|peer| !heard_within(peer, SUSPECT_AFTER, now));
        if !is_unheard || self.standings.is_silent(peer) {
            return false;
        }
        let hears = |peer: &Peer| heard_within(peer, PEER_SILENT_AFTER, now);
        let hears_nobody = || !self.all().any(hears);
        let counts = |reporter: u64| !self.standings.is_silent(reporter);
        let watch = &self.watch;
        watch.is_found_silent(peer, own_id, hears_nobody, counts, now)
    }

    /// Peers that others report and that answer here.
    fn heard_though_reported(&self, now: Duration) -> Vec<u64> {
        let reported = self.watch.reported().into_iter();
        let reported = reported.filter_map(|id| self.by_id(id));
        let heard = reported.filter(|peer| heard_within(peer, DOUBTED_AFTER, now));
        heard.map(id_of).take(WATCHED_MAX).collect()
    }

    /// Takes a heartbeat with what its sender tells of others. The word of a sender that was found silent counts for itself and for this instance
    /// only: it was out of touch, and may have found all others silent.
    pub fn take(&mut self, own: &Incarnation, status: PeerStatus, gossip: &Gossip, now: Duration) {
        if status.incarnation.name == own.name {
            return;
        }
        let (own_id, sender) = (own.short_id(), status.incarnation.short_id());
        let sender_name = status.incarnation.name.clone();
        self.heard(status, now);
        let (of_both, of_others): (Vec<Standing>, Vec<Standing>) = gossip
            .standings
            .iter()
            .partition(|standing| standing.member == sender || standing.member == own_id);
        for standing in of_both {
            self.standings.take(standing, now);
        }
        if gossip.asks_whole {
            self.whole.owed_to.insert(sender_name);
        }
        if self.standings.is_silent(sender) {
            return;
        }
        for standing in of_others {
            if self.by_id(standing.member).is_some() {
                self.standings.take(standing, now);
            }
        }
        for peer in &gossip.suspected {
            if self.by_id(*peer).is_some() {
                self.watch.report(*peer, sender, now);
            }
        }
        for peer in &gossip.heard {
            self.watch.object(*peer, now);
        }
        if gossip.is_whole {
            self.whole.told_at = Some(now);
        }
    }
}

fn name_of(peer: &Peer) -> String {
    peer.status.incarnation.name.clone()
}

fn id_of(peer: &Peer) -> u64 {
    peer.status.incarnation.short_id()
}
