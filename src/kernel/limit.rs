//! The request rate that each endpoint accepts from all instances together, as announced in its
//! responses.
//!
//! An overloaded endpoint announces its limit in every response, and a response without one ends
//! the limit. Responses may arrive out of order: a response to a request sent before the overload
//! may arrive long after it began. A signal that raises or ends a limit therefore counts only if
//! its request was sent after the last signal that confirmed the limit had arrived.

use std::collections::BTreeMap;
use std::time::Duration;

/// How long each instance gossips the start and the end of a limit. Several times the 3 and 4 s
/// after which all of 300 and of 2,300 members know of an update (simulated, see the
/// `news_site_of_*` tests).
const GOSSIP_FOR: Duration = Duration::from_secs(15);
/// Maximum number of limits in one heartbeat, about 30 bytes each. Consecutive heartbeats carry
/// different ones.
pub const LIMIT_UPDATES_MAX: usize = 8;

/// The rate limit that one response announces for its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitSignal {
    /// No limit: the endpoint is not overloaded.
    #[default]
    Absent,
    /// Not a valid rate; the known limit, if any, stays in force.
    Invalid,
    /// Requests per second from all instances together; finite and never negative.
    PerS(f64),
}

/// How a signal or an update changed a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The endpoint had no limit before.
    Began(f64),
    /// The limit has a new value.
    Changed(f64),
    /// The endpoint has no limit any more.
    Ended,
}

/// The start or end of a limit, as gossiped between members.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitUpdate {
    /// The endpoint incarnation.
    pub endpoint: String,
    /// Requests per second; `None` if the limit ended.
    pub per_s: Option<f64>,
    /// Time since a response announced the limit. If the limit ended: time since the request was
    /// sent whose response announced none.
    pub age: Duration,
}

/// The limit of one endpoint incarnation.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ActiveLimit {
    per_s: f64,
    /// When this instance learned of the limit.
    known_at: Duration,
    /// When a response with any limit last arrived.
    announced_at: Duration,
    /// When a response with this limit or a lower one last arrived; never after `announced_at`.
    confirmed_at: Duration,
}

/// A limit that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
struct EndedLimit {
    /// When the request was sent whose response announced no limit.
    sent_at: Duration,
    /// When this instance learned of the end.
    known_at: Duration,
}

/// The limits in force, by endpoint incarnation. At most one entry for each known endpoint.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    active: BTreeMap<String, ActiveLimit>,
    /// Limits that ended recently; none of them is in `active`.
    ended: BTreeMap<String, EndedLimit>,
    /// Incremented on every change.
    version: u64,
}

impl EndpointLimits {
    /// Records the signal of a response that arrived `now` to a request sent at `sent_at`.
    pub fn record_signal(
        &mut self,
        endpoint: &str,
        signal: LimitSignal,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        match signal {
            LimitSignal::Invalid => None,
            LimitSignal::Absent => self.clear(endpoint, sent_at, now),
            LimitSignal::PerS(per_s) => self.set_from_response(endpoint, per_s, sent_at, now),
        }
    }

    /// Applies an update from another member. The responses that the two instances received may
    /// have arrived out of order, so an update older than the known state changes nothing.
    pub fn apply_update(&mut self, update: &LimitUpdate, now: Duration) -> Option<LimitChange> {
        let at = now.saturating_sub(update.age);
        let Some(per_s) = update.per_s else {
            return self.clear(&update.endpoint, at, now);
        };
        let ended = self.ended.get(&update.endpoint);
        let known = self.active.get(&update.endpoint);
        let is_outdated = ended.is_some_and(|ended| at <= ended.sent_at)
            || known.is_some_and(|limit| at <= limit.announced_at);
        if is_outdated {
            return None;
        }
        self.set(&update.endpoint, per_s, at, now)
    }

    /// Sets a limit and discards a recorded end.
    fn set(
        &mut self,
        endpoint: &str,
        per_s: f64,
        announced_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        self.ended.remove(endpoint);
        let previous = self.active.get(endpoint).copied();
        let limit = ActiveLimit {
            per_s,
            known_at: previous.map_or(now, |previous| previous.known_at),
            announced_at,
            confirmed_at: announced_at,
        };
        self.active.insert(endpoint.to_owned(), limit);
        let change = match previous {
            None => Some(LimitChange::Began(per_s)),
            Some(previous) if previous.per_s.to_bits() == per_s.to_bits() => None,
            Some(_) => Some(LimitChange::Changed(per_s)),
        };
        self.version += u64::from(change.is_some());
        change
    }

    fn set_from_response(
        &mut self,
        endpoint: &str,
        per_s: f64,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        if let Some(limit) = self.active.get_mut(endpoint) {
            limit.announced_at = limit.announced_at.max(now);
            if per_s > limit.per_s && sent_at <= limit.confirmed_at {
                return None;
            }
        }
        self.set(endpoint, per_s, now, now)
    }

    fn clear(&mut self, endpoint: &str, sent_at: Duration, now: Duration) -> Option<LimitChange> {
        let limit = self.active.get(endpoint)?;
        if sent_at <= limit.announced_at {
            return None;
        }
        self.active.remove(endpoint);
        let ended = EndedLimit {
            sent_at,
            known_at: now,
        };
        self.ended.insert(endpoint.to_owned(), ended);
        self.version += 1;
        Some(LimitChange::Ended)
    }

    /// Returns the limits that started or ended recently, for other members. `offset` selects the
    /// first one if there are too many for one heartbeat.
    #[must_use]
    pub fn recent_updates(&self, offset: usize, now: Duration) -> Vec<LimitUpdate> {
        let is_recent = |known_at: Duration| now.saturating_sub(known_at) < GOSSIP_FOR;
        let began = self.active.iter();
        let began = began.filter(|(_, limit)| is_recent(limit.known_at));
        let began = began.map(|(endpoint, limit)| LimitUpdate {
            endpoint: endpoint.clone(),
            per_s: Some(limit.per_s),
            age: now.saturating_sub(limit.announced_at),
        });
        let ended = self.ended.iter();
        let ended = ended.filter(|(_, ended)| is_recent(ended.known_at));
        let ended = ended.map(|(endpoint, ended)| LimitUpdate {
            endpoint: endpoint.clone(),
            per_s: None,
            age: now.saturating_sub(ended.sent_at),
        });
        let mut updates: Vec<LimitUpdate> = began.chain(ended).collect();
        let count = updates.len().max(1);
        updates.rotate_left(offset % count);
        updates.truncate(LIMIT_UPDATES_MAX);
        updates
    }

    /// Returns the known limit of an endpoint as an update for another member.
    #[must_use]
    pub fn update_for(&self, endpoint: &str, now: Duration) -> Option<LimitUpdate> {
        let limit = self.active.get(endpoint)?;
        Some(LimitUpdate {
            endpoint: endpoint.to_owned(),
            per_s: Some(limit.per_s),
            age: now.saturating_sub(limit.announced_at),
        })
    }

    /// Returns a version that is incremented on every change of the limits in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the requests per second that an endpoint accepts from all instances together; `None`
    /// if it announces no limit.
    #[must_use]
    pub fn per_s(&self, endpoint: &str) -> Option<f64> {
        self.active.get(endpoint).map(|limit| limit.per_s)
    }

    /// Returns the endpoints that announce a limit, with their requests per second.
    pub fn announced(&self) -> impl Iterator<Item = (String, f64)> {
        let limits = self.active.iter();
        limits.map(|(endpoint, limit)| (endpoint.clone(), limit.per_s))
    }

    /// Returns the number of endpoints that announce a limit.
    #[must_use]
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Returns whether no endpoint announces a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Removes endpoint incarnations that are gone and ends that need no more gossip.
    pub fn prune(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        let count_before = self.active.len();
        self.active.retain(|endpoint, _| is_known(endpoint));
        self.version += u64::from(self.active.len() < count_before);
        let is_recent = |ended: &EndedLimit| now.saturating_sub(ended.known_at) < GOSSIP_FOR;
        self.ended
            .retain(|endpoint, ended| is_recent(ended) && is_known(endpoint));
    }
}
