//! Who is live: the platform's lagging list, heartbeats, and departures that are final for an incarnation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// One incarnation of an instance or endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the instance or endpoint.
    pub name: String,
    /// New at each start.
    pub id: Uuid,
}

/// Incarnations that are leaving. Nothing removes one but its age: a list that lags or flaps cannot bring it back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Departures {
    since: BTreeMap<Incarnation, Duration>,
}

/// How long a departure is kept: far beyond the time after which the list drops an incarnation that is gone.
pub const DEPARTURE_KEPT: Duration = Duration::from_hours(24);

impl Departures {
    /// Records a departure. Gives true where it is news.
    pub fn record(&mut self, incarnation: &Incarnation, now: Duration) -> bool {
        if self.since.contains_key(incarnation) {
            return false;
        }
        self.since.insert(incarnation.clone(), now);
        true
    }

    /// Whether the incarnation is leaving.
    #[must_use]
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.since.contains_key(incarnation)
    }

    /// All departures, to pass on to peers.
    pub fn iter(&self) -> impl Iterator<Item = &Incarnation> {
        self.since.keys()
    }

    /// Departures recorded at or after a time.
    pub fn recent(&self, since: Duration) -> impl Iterator<Item = &Incarnation> {
        self.since
            .iter()
            .filter(move |(_, at)| **at >= since)
            .map(|(incarnation, _)| incarnation)
    }

    /// Forgets what is old enough.
    pub fn expire(&mut self, now: Duration) {
        self.since
            .retain(|_, at| now.saturating_sub(*at) < DEPARTURE_KEPT);
    }
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
    /// When it was last heard directly; `None` where only the list knows it.
    pub last_heard: Option<Duration>,
}

/// Entry of the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Instance status as the platform has it.
    pub status: PeerStatus,
}

/// The peers of an instance.
#[derive(Debug, Clone, Default)]
pub struct Members {
    peers: BTreeMap<String, Peer>,
    /// Departures of instances and endpoints.
    pub departures: Departures,
}

/// A peer that has not been heard for this long is named to callers no more.
pub const PEER_SILENT_AFTER: Duration = Duration::from_millis(2_500);
/// A peer that has neither been heard nor listed for this long is dropped.
pub const PEER_DROPPED_AFTER: Duration = Duration::from_secs(30);

impl Members {
    /// Takes a heartbeat, directly from the peer.
    pub fn heard(&mut self, status: PeerStatus, now: Duration) {
        if status.leaving {
            self.departures.record(&status.incarnation, now);
        }
        let name = status.incarnation.name.clone();
        let last_heard = Some(now);
        self.peers.insert(name, Peer { status, last_heard });
    }

    /// Takes the platform's list. It adds peers and departures; it never overrules what was heard directly.
    pub fn listed(&mut self, list: &[Listed], own_name: &str, now: Duration) {
        for entry in list
            .iter()
            .filter(|e| e.status.incarnation.name != own_name)
        {
            let status = &entry.status;
            if status.leaving {
                self.departures.record(&status.incarnation, now);
            }
            let known = self.peers.get(&status.incarnation.name);
            let overrule = known.is_none_or(|peer| peer.last_heard.is_none());
            if overrule {
                let peer = Peer {
                    status: status.clone(),
                    last_heard: None,
                };
                self.peers.insert(status.incarnation.name.clone(), peer);
            }
        }
        let names: BTreeSet<&str> = list
            .iter()
            .map(|entry| entry.status.incarnation.name.as_str())
            .collect();
        self.peers.retain(|name, peer| {
            let recent = peer
                .last_heard
                .is_some_and(|at| now.saturating_sub(at) < PEER_DROPPED_AFTER);
            names.contains(name.as_str()) || recent
        });
    }

    /// All peers known, to send heartbeats to.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Peers heard of late that are not leaving.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            let heard = peer
                .last_heard
                .is_some_and(|at| now.saturating_sub(at) < PEER_SILENT_AFTER);
            heard && !self.departures.contains(&peer.status.incarnation)
        })
    }

    /// A peer by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Whether most of the peers known are silent.
    #[must_use]
    pub fn isolated(&self, now: Duration) -> bool {
        let known = self
            .peers
            .values()
            .filter(|peer| !self.departures.contains(&peer.status.incarnation))
            .count();
        known > 0 && self.live(now).count() * 2 < known
    }
}

/// The member with the highest hash for a key: all instances with the same view choose the same one.
#[must_use]
pub fn rendezvous<'a>(key: &str, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by_key(|member| rendezvous_weight(key, member))
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
