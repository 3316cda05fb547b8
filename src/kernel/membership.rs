//! Who is live: the platform's lagging list, heartbeats, and what watchers say of silent peers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::departures::Departures;

/// One incarnation of an instance or endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the instance or endpoint.
    pub name: String,
    /// New at each start.
    pub id: Uuid,
}

/// What an instance says about itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name and incarnation.
    pub incarnation: Incarnation,
    /// Hall.
    pub hall: String,
    /// IP and port for callers.
    pub caller_address: String,
    /// IP and port for peers.
    pub peer_address: String,
    /// IP and port for operators.
    #[serde(default)]
    pub operator_address: String,
    /// Whether it is draining.
    pub leaving: bool,
    /// Ticket epoch.
    pub ticket_epoch: u64,
    /// Next configuration offset.
    pub config_next_offset: u64,
}

/// A peer as this instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// What it last said, or what the list says where it said nothing yet.
    pub status: PeerStatus,
    /// Since when this incarnation has been known here.
    pub known_since: Duration,
    /// When it was last heard directly.
    pub last_heard: Option<Duration>,
    /// When the list last had it.
    pub last_listed: Option<Duration>,
}

/// Entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Instance status as the platform has it.
    pub status: PeerStatus,
}

/// What an instance says of a peer that it watches: it has gone silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// [`Incarnation::short_id`] of the peer.
    pub peer: u64,
    /// [`Incarnation::short_id`] of the instance that watches it.
    pub reporter: u64,
    /// Time since the reporter last said so.
    pub age: Duration,
}

/// What an instance tells a peer of others, beside its own status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Reports of silent peers that still count.
    pub suspicions: Vec<Suspicion>,
}

impl Gossip {
    /// Members that it names: what a heartbeat costs beside its own status.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.suspicions.len()
    }
}

impl Incarnation {
    /// The first eight bytes of the id: enough to name a peer among thousands in few bytes.
    #[must_use]
    pub fn short_id(&self) -> u64 {
        self.id.as_u64_pair().0
    }
}

/// On what grounds the members of a site count as live or not, as counts of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Heard directly of late.
    pub heard: usize,
    /// Live since nobody says otherwise.
    pub unreported: usize,
    /// Live although some instances, too few to count, say that it is silent.
    pub reported: usize,
    /// Silent.
    pub silent: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Suspected {
    peer: u64,
    reporter: u64,
}

/// The peers of an instance.
///
/// A small site's instances hear each other directly. In a larger hall each instance watches the next few on a ring of hashed names,
/// and what they say of silent ones travels with the heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Members {
    peers: BTreeMap<String, Peer>,
    /// Place of each peer on the ring, by name; the same names as in `peers`. Hashed once: with 295 members a round of heartbeats hashed
    /// every name 24 times a second.
    ring: BTreeMap<String, u64>,
    /// When a reporter last said that a peer is silent, by peer and reporter.
    suspicions: BTreeMap<Suspected, Duration>,
    /// Departures of instances and endpoints.
    pub departures: Departures,
}

/// A peer that has not been heard for this long is named to callers no more.
pub const PEER_SILENT_AFTER: Duration = Duration::from_millis(2_500);
/// A peer that has neither been heard nor listed for this long is dropped.
pub const PEER_DROPPED_AFTER: Duration = Duration::from_secs(30);
/// At sites of more peers, instances hear only some of their own hall; of other halls the list tells.
pub const SMALL_SITE_PEERS: usize = 12;
/// Peers that each instance of a larger hall watches.
pub const WATCHED: usize = 4;
/// Peers told in each round besides those watched; at a small site all are told.
pub const DISTANT: usize = 2;
/// How long these stay the same: each one is a connection, and every instance would in time hold one to every other.
pub const DISTANT_KEPT: Duration = Duration::from_secs(20);
/// Instances that must say that a peer is silent before it counts as silent: one alone may be cut off from it.
const REPORTERS_NEEDED: usize = 2;
/// A watched peer that has not been heard for this long is reported.
const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// A report counts for this long after its reporter last said so.
const SUSPICION_KEPT: Duration = Duration::from_secs(6);
/// How long the list's word for a peer of another hall holds.
const LISTED_KEPT: Duration = Duration::from_secs(10);
/// In a large hall a peer that nobody suspects is kept this long without list and heartbeat.
const UNSUSPECTED_KEPT: Duration = Duration::from_mins(10);

impl Members {
    /// Takes a heartbeat, directly from the peer.
    pub fn heard(&mut self, status: PeerStatus, now: Duration) {
        if status.leaving {
            self.departures.record(&status.incarnation, now);
        }
        let known = self.get(&status.incarnation.name);
        let known = known.filter(|peer| peer.status.incarnation == status.incarnation);
        let last_listed = known.and_then(|peer| peer.last_listed);
        let known_since = known.map_or(now, |peer| peer.known_since);
        let peer = Peer {
            status,
            known_since,
            last_heard: Some(now),
            last_listed,
        };
        self.put(peer);
    }

    fn put(&mut self, peer: Peer) {
        let name = &peer.status.incarnation.name;
        if !self.ring.contains_key(name) {
            self.ring.insert(name.clone(), ring_place(name));
        }
        self.peers.insert(name.clone(), peer);
    }

    /// Takes a heartbeat with what its sender tells of others.
    pub fn take(&mut self, own: &Incarnation, status: PeerStatus, gossip: &Gossip, now: Duration) {
        if status.incarnation.name == own.name {
            return;
        }
        self.heard(status, now);
        self.take_suspicions(&gossip.suspicions, now);
    }

    /// What this instance tells a peer of others.
    pub fn gossip(
        &mut self,
        own: &Incarnation,
        own_hall: &str,
        _to: &str,
        now: Duration,
    ) -> Gossip {
        Gossip {
            suspicions: self.suspicions(own, own_hall, now),
        }
    }

    /// Names of the peers to which this instance sends a heartbeat in a round: all of a small site, else the watched ones and a few distant
    /// ones of its hall.
    pub fn to_tell(&mut self, own: &Incarnation, own_hall: &str, now: Duration) -> Vec<String> {
        if self.is_small_site() {
            return self.peers.keys().cloned().collect();
        }
        let turn = now.as_secs() / DISTANT_KEPT.as_secs();
        let distant = self.distant(&own.name, own_hall, turn);
        let distant = distant.map(|peer| peer.status.incarnation.name.clone());
        let mut told = self.watched(&own.name, own_hall);
        told.extend(distant);
        told
    }

    /// Takes what a peer says of silent ones, its own reports and those passed on.
    fn take_suspicions(&mut self, suspicions: &[Suspicion], now: Duration) {
        for suspicion in suspicions {
            let key = Suspected {
                peer: suspicion.peer,
                reporter: suspicion.reporter,
            };
            let said = now.saturating_sub(suspicion.age);
            let known = self.suspicions.entry(key).or_insert(said);
            *known = said.max(*known);
        }
    }

    /// Reports the watched peers that are silent, and gives all reports that still count, to pass on.
    fn suspicions(&mut self, own: &Incarnation, own_hall: &str, now: Duration) -> Vec<Suspicion> {
        let watched = self.watched(&own.name, own_hall);
        let silent: Vec<u64> = watched
            .iter()
            .filter_map(|name| self.peers.get(name))
            .filter(|peer| {
                let since = peer.last_heard.unwrap_or(peer.known_since);
                now.saturating_sub(since) >= SUSPECT_AFTER
            })
            .map(|peer| peer.status.incarnation.short_id())
            .collect();
        let reporter = own.short_id();
        for peer in silent {
            self.suspicions.insert(Suspected { peer, reporter }, now);
        }
        self.suspicions
            .retain(|_, said| now.saturating_sub(*said) < SUSPICION_KEPT);
        let counting = self.suspicions.iter().map(|(key, said)| Suspicion {
            peer: key.peer,
            reporter: key.reporter,
            age: now.saturating_sub(*said),
        });
        counting.collect()
    }

    /// The next few peers of the hall after this instance, on a ring of hashed names. All instances with the same view watch each
    /// other evenly.
    #[must_use]
    pub fn watched(&self, own_name: &str, own_hall: &str) -> Vec<String> {
        let own_place = ring_place(own_name);
        let mut ring: Vec<(u64, &Peer)> = self
            .peers
            .values()
            .zip(self.ring.values())
            .map(|(peer, place)| (place.wrapping_sub(own_place), peer))
            .filter(|(_, peer)| peer.status.hall == own_hall)
            .collect();
        ring.sort_unstable_by_key(|(distance, _)| *distance);
        let next = ring
            .into_iter()
            .map(|(_, peer)| &peer.status.incarnation)
            .filter(|incarnation| !self.departures.contains(incarnation))
            .take(WATCHED);
        next.map(|incarnation| incarnation.name.clone()).collect()
    }

    /// A few peers of the hall that an instance tells besides those it watches, so that news crosses a large ring in a few rounds. They stay
    /// the same for one `turn`: with new ones in each round, every instance in time holds a connection to every other.
    fn distant(&self, own_name: &str, own_hall: &str, turn: u64) -> impl Iterator<Item = &Peer> {
        let key = format!("{own_name}/{turn}");
        let in_hall = self.peers.values();
        let in_hall = in_hall.filter(|peer| peer.status.hall == own_hall);
        let mut drawn: Vec<(u64, &Peer)> = in_hall
            .filter(|peer| !self.departures.contains(&peer.status.incarnation))
            .map(|peer| (rendezvous_weight(&key, &peer.status.incarnation.name), peer))
            .collect();
        drawn.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        drawn.truncate(DISTANT);
        drawn.into_iter().map(|(_, peer)| peer)
    }

    /// On what grounds the members count as live or not.
    #[must_use]
    pub fn evidence(&self, own_hall: &str, now: Duration) -> Evidence {
        let mut evidence = Evidence::default();
        let staying = self.peers.values();
        for peer in staying.filter(|peer| !self.departures.contains(&peer.status.incarnation)) {
            let count = if heard_within(peer, PEER_SILENT_AFTER, now) {
                &mut evidence.heard
            } else if !self.lives(peer, own_hall, now) {
                &mut evidence.silent
            } else if self.reporters(peer, now) > 0 {
                &mut evidence.reported
            } else {
                &mut evidence.unreported
            };
            *count += 1;
        }
        evidence
    }

    fn is_suspected(&self, peer: &Peer, now: Duration) -> bool {
        self.reporters(peer, now) >= REPORTERS_NEEDED
    }

    /// How many instances say that a peer is silent.
    fn reporters(&self, peer: &Peer, now: Duration) -> usize {
        let id = peer.status.incarnation.short_id();
        let of_peer = Suspected {
            peer: id,
            reporter: 0,
        }..=Suspected {
            peer: id,
            reporter: u64::MAX,
        };
        let counting = self.suspicions.range(of_peer);
        let counting = counting.filter(|(_, said)| now.saturating_sub(**said) < SUSPICION_KEPT);
        counting.count()
    }

    /// Takes the platform's list. It adds peers and departures; it never overrules what was heard directly.
    pub fn listed(&mut self, list: &[Listed], own_name: &str, now: Duration) {
        for entry in list
            .iter()
            .filter(|e| e.status.incarnation.name != own_name)
        {
            self.take_listed(&entry.status, now);
        }
        let gone: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| !self.is_kept(peer, now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.peers.remove(&name);
            self.ring.remove(&name);
        }
    }

    fn is_kept(&self, peer: &Peer, now: Duration) -> bool {
        let since = peer.last_heard.max(peer.last_listed).unwrap_or_default();
        let since = now.saturating_sub(since);
        let unsuspected = !self.is_small_site() && !self.is_suspected(peer, now);
        since < PEER_DROPPED_AFTER || (unsuspected && since < UNSUSPECTED_KEPT)
    }

    fn take_listed(&mut self, status: &PeerStatus, now: Duration) {
        if status.leaving {
            self.departures.record(&status.incarnation, now);
        }
        let known = self.peers.get_mut(&status.incarnation.name);
        match known {
            Some(peer) if peer.status.incarnation == status.incarnation => {
                peer.last_listed = Some(now);
            }
            // Another incarnation that was heard of late is newer than what the list lags behind with.
            Some(peer)
                if peer
                    .last_heard
                    .is_some_and(|at| now.saturating_sub(at) < PEER_DROPPED_AFTER) => {}
            _ => {
                let peer = Peer {
                    status: status.clone(),
                    known_since: now,
                    last_heard: None,
                    last_listed: Some(now),
                };
                self.put(peer);
            }
        }
    }

    /// All peers known, to send heartbeats to.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Whether the site is small enough to hear every peer of every hall.
    #[must_use]
    pub fn is_small_site(&self) -> bool {
        self.peers.len() <= SMALL_SITE_PEERS
    }

    /// Peers that live, as far as is known here, and are not leaving.
    pub fn live<'a>(&'a self, own_hall: &'a str, now: Duration) -> impl Iterator<Item = &'a Peer> {
        self.peers.values().filter(move |peer| {
            !self.departures.contains(&peer.status.incarnation) && self.lives(peer, own_hall, now)
        })
    }

    /// Whether a peer lives, as far as is known here, and is not leaving.
    #[must_use]
    pub fn is_live(&self, name: &str, own_hall: &str, now: Duration) -> bool {
        self.peers.get(name).is_some_and(|peer| {
            !self.departures.contains(&peer.status.incarnation) && self.lives(peer, own_hall, now)
        })
    }

    fn lives(&self, peer: &Peer, own_hall: &str, now: Duration) -> bool {
        if heard_within(peer, PEER_SILENT_AFTER, now) {
            return true;
        }
        if self.is_small_site() {
            return false;
        }
        if peer.status.hall == own_hall {
            return !self.is_suspected(peer, now);
        }
        let listed = peer.last_listed;
        listed.is_some_and(|at| now.saturating_sub(at) < LISTED_KEPT)
    }

    /// A peer by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Whether most of the peers that this instance should hear are silent.
    #[must_use]
    pub fn isolated(&self, own_name: &str, own_hall: &str, now: Duration) -> bool {
        let expected: Vec<&Peer> = if self.is_small_site() {
            let all = self.peers.values();
            all.filter(|peer| !self.departures.contains(&peer.status.incarnation))
                .collect()
        } else {
            let watched = self.watched(own_name, own_hall);
            watched
                .iter()
                .filter_map(|name| self.peers.get(name))
                .collect()
        };
        let heard = expected
            .iter()
            .filter(|peer| heard_within(peer, PEER_SILENT_AFTER, now));
        !expected.is_empty() && heard.count() * 2 < expected.len()
    }
}

fn ring_place(name: &str) -> u64 {
    rendezvous_weight("ring", name)
}

fn heard_within(peer: &Peer, within: Duration, now: Duration) -> bool {
    peer.last_heard
        .is_some_and(|at| now.saturating_sub(at) < within)
}

/// The member with the highest hash for a key: all instances with the same view choose the same one.
#[must_use]
pub fn rendezvous<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| rendezvous_weight(key, member))
}

/// Weight of a member for a key, so that members win in proportion to their capacity.
#[must_use]
pub fn weighted_rendezvous(key: &str, member: &str, capacity: f64) -> f64 {
    let drawn = rendezvous_share(key, member).max(f64::MIN_POSITIVE);
    drawn.ln() / capacity.max(f64::EPSILON)
}

/// Weight of a member for a key, as a share of the largest weight there is: from 0 to 1.
#[must_use]
pub fn rendezvous_share(key: &str, member: &str) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "a hash, of which the high bits are enough"
    )]
    let share = rendezvous_weight(key, member) as f64 / u64::MAX as f64;
    share
}

/// Weight of a member for a key.
#[must_use]
pub fn rendezvous_weight(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(member.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
