//! Membership: which instances are live, based on the platform's delayed list, heartbeats and
//! gossip about unreachable members.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::departures::Departures;
use super::gossip::FullSync;
use super::member_states::MemberStates;
use super::peer_monitor::PeerMonitor;

/// One incarnation of an instance or endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the instance or endpoint.
    pub name: String,
    /// Unique id of this start of the process.
    pub id: Uuid,
}

/// Status that an instance reports about itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name and incarnation.
    pub incarnation: Incarnation,
    /// Hall of the instance.
    pub hall: String,
    /// IP address and port for callers.
    pub caller_address: String,
    /// IP address and port for peers.
    pub peer_address: String,
    /// IP address and port for operators.
    #[serde(default)]
    pub operator_address: String,
    /// Whether the instance is departing.
    pub leaving: bool,
    /// Ticket epoch.
    pub ticket_epoch: u64,
    /// Next configuration offset that the instance will read.
    pub config_next_offset: u64,
}

/// A peer as seen by this instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Status from the last heartbeat, or from the list if no heartbeat was received yet.
    pub status: PeerStatus,
    /// Time since which this incarnation is known here.
    pub known_since: Duration,
    /// Time of the last heartbeat received directly from the peer.
    pub last_heard: Option<Duration>,
    /// Time at which the list last contained the peer.
    pub last_listed: Option<Duration>,
}

/// An entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedPeer {
    /// Status of the instance as reported by the platform.
    pub status: PeerStatus,
}

impl Incarnation {
    /// Returns the first eight bytes of the id, a compact key that is enough to identify a peer
    /// among thousands.
    #[must_use]
    pub fn short_id(&self) -> u64 {
        self.id.as_u64_pair().0
    }
}

/// Counts of the members of a site by the evidence for their liveness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LivenessCounts {
    /// Members whose heartbeat was received recently.
    pub heard: usize,
    /// Members considered live because no instance reports them as unreachable.
    pub unreported: usize,
    /// Members considered live although some instances, too few to confirm it, report them as
    /// unreachable.
    pub reported: usize,
    /// Members considered unreachable.
    pub unreachable: usize,
}

/// The peers of an instance.
///
/// The instances of a small site exchange heartbeats with all others. In a larger hall each
/// instance monitors its next few answering successors on a ring of hashed names, and a peer that
/// two of them report is unreachable for all (see [`gossip`](super::gossip)).
#[derive(Debug, Clone, Default)]
pub struct Members {
    peers: BTreeMap<String, Peer>,
    /// Ring positions and names of the peers; the same names as in `peers`. Cached,
    /// since at 295 members the heartbeat rounds would hash every name 24 times a second.
    ring: BTreeSet<(u64, String)>,
    /// Names by [`Incarnation::short_id`]; the same names as in `peers`.
    names: HashMap<u64, String>,
    /// Replaced incarnations and the time of their replacement. Prevents a delayed list from
    /// bringing them back.
    replaced: BTreeMap<u64, Duration>,
    /// Hall whose ring this instance is on; empty before its first heartbeat round.
    pub(super) own_hall: String,
    /// Peers that this instance monitors.
    pub(super) monitor: PeerMonitor,
    /// Known member states.
    pub(super) states: MemberStates,
    /// Full sync requests of this instance and of its peers.
    pub(super) full_sync: FullSync,
    /// Time of this instance's last heartbeat round.
    pub(super) round_at: Option<Duration>,
    /// Departures of instances and endpoints.
    pub departures: Departures,
}

/// A peer whose last heartbeat is this old is no longer returned to callers.
pub const PEER_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A peer whose last heartbeat and last list entry are both this old is removed.
pub const PEER_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of peers at which all instances exchange heartbeats with all others. At larger
/// sites they do so only with some peers of their own hall, and rely on the list for other halls.
pub const SMALL_SITE_PEERS_MAX: usize = 12;
/// Number of peers that each instance of a larger hall monitors.
pub const MONITORED_PEERS: usize = 4;
/// Time for which a list entry counts as evidence that a peer of another hall is live.
const LISTED_RETENTION: Duration = Duration::from_secs(10);
/// A peer of another hall is removed after this long without a list entry or heartbeat.
const OTHER_HALL_RETENTION: Duration = Duration::from_mins(10);

impl Members {
    /// Records a heartbeat received directly from a peer.
    pub fn record_heartbeat(&mut self, status: PeerStatus, now: Duration) {
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
        self.insert_peer(peer, now);
    }

    fn insert_peer(&mut self, peer: Peer, now: Duration) {
        let incarnation = &peer.status.incarnation;
        let (name, id) = (incarnation.name.clone(), incarnation.short_id());
        let before = self.peers.get(&name);
        let before = before.map(|peer| peer.status.incarnation.short_id());
        if before != Some(id) {
            if let Some(before) = before {
                self.remove_incarnation(before);
                self.replaced.insert(before, now);
            }
            self.replaced.remove(&id);
            self.ring.insert((ring_position(&name), name.clone()));
            self.names.insert(id, name.clone());
        }
        self.peers.insert(name, peer);
    }

    fn remove_peer(&mut self, name: &str) {
        if let Some(peer) = self.peers.remove(name) {
            self.ring.remove(&(ring_position(name), name.to_owned()));
            self.remove_incarnation(peer.status.incarnation.short_id());
        }
    }

    fn remove_incarnation(&mut self, id: u64) {
        self.names.remove(&id);
        self.monitor.remove(id);
        self.states.remove(id);
    }

    /// Returns a peer by the short id of its incarnation.
    pub(super) fn get_by_id(&self, id: u64) -> Option<&Peer> {
        self.peers.get(self.names.get(&id)?)
    }

    /// Returns the peers of this instance's hall in ring order, starting at a position, without
    /// those that are departing.
    pub(super) fn ring_peers_from(&self, position: u64) -> impl Iterator<Item = &Peer> {
        let from = (position, String::new());
        let clockwise = self.ring.range(from.clone()..);
        let from_position = clockwise.chain(self.ring.range(..from));
        let peers = from_position.filter_map(|(_, name)| self.peers.get(name));
        peers.filter(|peer| {
            peer.status.hall == self.own_hall && !self.departures.contains(&peer.status.incarnation)
        })
    }

    /// Returns whether a peer was confirmed unreachable.
    pub(super) fn is_unreachable(&self, peer: &Peer) -> bool {
        let id = peer.status.incarnation.short_id();
        self.states.is_unreachable(id)
    }

    /// Counts the members by the evidence for their liveness.
    #[must_use]
    pub fn liveness_counts(&self, own_hall: &str, now: Duration) -> LivenessCounts {
        let mut counts = LivenessCounts::default();
        let not_departing = self.peers.values();
        for peer in not_departing.filter(|peer| !self.departures.contains(&peer.status.incarnation))
        {
            let count = if has_heartbeat_within(peer, PEER_HEARTBEAT_TIMEOUT, now) {
                &mut counts.heard
            } else if !self.is_considered_live(peer, own_hall, now) {
                &mut counts.unreachable
            } else if self
                .monitor
                .reporter_count(peer.status.incarnation.short_id())
                > 0
            {
                &mut counts.reported
            } else {
                &mut counts.unreported
            };
            *count += 1;
        }
        counts
    }

    /// Applies the platform's list. It adds peers and departures, but never overrides heartbeats
    /// received directly.
    pub fn apply_list(&mut self, list: &[ListedPeer], own_name: &str, now: Duration) {
        for entry in list
            .iter()
            .filter(|e| e.status.incarnation.name != own_name)
        {
            self.apply_listed(&entry.status, now);
        }
        self.replaced
            .retain(|_, at| now.saturating_sub(*at) < PEER_RETENTION);
        let expired: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| !self.should_keep(peer, now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.remove_peer(&name);
        }
    }

    /// Returns whether a peer is retained. On a large site, all peers of the own hall are retained,
    /// including unreachable ones: the list may keep naming them, and removing them would also
    /// remove their states. Absence from the list is no reason for removal, since it names a member
    /// only once. This needs one entry for each name that the list ever contained.
    fn should_keep(&self, peer: &Peer, now: Duration) -> bool {
        let since = peer.last_heard.max(peer.last_listed).unwrap_or_default();
        let since = now.saturating_sub(since);
        let is_own_hall = peer.status.hall == self.own_hall;
        let should_keep_on_large_site = is_own_hall || since < OTHER_HALL_RETENTION;
        since < PEER_RETENTION || (!self.is_small_site() && should_keep_on_large_site)
    }

    /// Returns the peers that are reachable or became unreachable less than [`PEER_RETENTION`] ago.
    pub fn recently_reachable(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            let id = peer.status.incarnation.short_id();
            let since = self.states.unreachable_since(id);
            since.is_none_or(|since| now.saturating_sub(since) < PEER_RETENTION)
        })
    }

    fn apply_listed(&mut self, status: &PeerStatus, now: Duration) {
        if status.leaving {
            self.departures.record(&status.incarnation, now);
        }
        let id = status.incarnation.short_id();
        let known = self.peers.get_mut(&status.incarnation.name);
        match known {
            Some(peer) if peer.status.incarnation == status.incarnation => {
                peer.last_listed = Some(now);
            }
            // The list names a new incarnation only once. An instance that ignored it, because it
            // recently received a heartbeat of the previous incarnation, would never learn of the
            // new one, and an incarnation that no instance monitors cannot be detected as
            // unreachable.
            _ if self.replaced.contains_key(&id) => {}
            _ => {
                let peer = Peer {
                    status: status.clone(),
                    known_since: now,
                    last_heard: None,
                    last_listed: Some(now),
                };
                self.insert_peer(peer, now);
            }
        }
    }

    /// Returns all known peers.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns whether the site is small enough for every instance to exchange heartbeats with
    /// every peer of every hall.
    #[must_use]
    pub fn is_small_site(&self) -> bool {
        self.peers.len() <= SMALL_SITE_PEERS_MAX
    }

    /// Returns the peers that are considered live and are not departing.
    pub fn live<'a>(&'a self, own_hall: &'a str, now: Duration) -> impl Iterator<Item = &'a Peer> {
        self.peers.values().filter(move |peer| {
            !self.departures.contains(&peer.status.incarnation)
                && self.is_considered_live(peer, own_hall, now)
        })
    }

    /// Returns whether a peer is considered live and is not departing.
    #[must_use]
    pub fn is_live(&self, name: &str, own_hall: &str, now: Duration) -> bool {
        self.peers.get(name).is_some_and(|peer| {
            !self.departures.contains(&peer.status.incarnation)
                && self.is_considered_live(peer, own_hall, now)
        })
    }

    fn is_considered_live(&self, peer: &Peer, own_hall: &str, now: Duration) -> bool {
        if has_heartbeat_within(peer, PEER_HEARTBEAT_TIMEOUT, now) {
            return true;
        }
        if self.is_small_site() {
            return false;
        }
        if peer.status.hall == own_hall {
            return !self.is_unreachable(peer);
        }
        let listed = peer.last_listed;
        listed.is_some_and(|at| now.saturating_sub(at) < LISTED_RETENTION)
    }

    /// Returns a peer by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns whether this instance recently received heartbeats from fewer than half of the peers
    /// from which it expects them.
    #[must_use]
    pub fn is_isolated(&self, own_name: &str, own_hall: &str, now: Duration) -> bool {
        if self.is_small_site() {
            let all = self.peers.values();
            let not_departing =
                all.filter(|peer| !self.departures.contains(&peer.status.incarnation));
            return is_mostly_out_of_contact(not_departing, now);
        }
        let monitored: Vec<&Peer> = self.monitored_window(own_name, now).collect();
        if monitored.is_empty() {
            return self.peers.values().any(|peer| peer.status.hall == own_hall);
        }
        is_mostly_out_of_contact(monitored.into_iter(), now)
    }
}

fn is_mostly_out_of_contact<'a>(expected: impl Iterator<Item = &'a Peer>, now: Duration) -> bool {
    let (mut all, mut in_contact) = (0, 0);
    for peer in expected {
        all += 1;
        in_contact += usize::from(has_heartbeat_within(peer, PEER_HEARTBEAT_TIMEOUT, now));
    }
    all > 0 && in_contact * 2 < all
}

/// Returns the ring position of a name.
pub(super) fn ring_position(name: &str) -> u64 {
    rendezvous_weight("ring", name)
}

/// Returns whether a heartbeat of a peer was received within the given time.
pub(super) fn has_heartbeat_within(peer: &Peer, within: Duration, now: Duration) -> bool {
    peer.last_heard
        .is_some_and(|at| now.saturating_sub(at) < within)
}

/// Returns the member with the highest hash for a key (rendezvous hashing). All instances with the
/// same view select the same member.
#[must_use]
pub fn rendezvous<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| rendezvous_weight(key, member))
}

/// Returns the capacity-weighted rendezvous weight of a member for a key: members win in proportion
/// to their capacity.
#[must_use]
pub fn weighted_rendezvous(key: &str, member: &str, capacity: f64) -> f64 {
    let share = rendezvous_share(key, member).max(f64::MIN_POSITIVE);
    share.ln() / capacity.max(f64::EPSILON)
}

/// Returns the rendezvous weight of a member for a key, as a fraction of the maximum weight, from 0
/// to 1.
#[must_use]
pub fn rendezvous_share(key: &str, member: &str) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "a hash, of which the high bits are enough"
    )]
    let share = rendezvous_weight(key, member) as f64 / u64::MAX as f64;
    share
}

/// Returns the rendezvous weight of a member for a key.
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
