//! The endpoints of a site's services, as the platform's list tells of them, and which of them take work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// After an outage of the list, an entry that is missing may come back for this long; the platform's word is two seconds.
pub const RELIST_WITHIN: Duration = Duration::from_millis(2_200);
/// No endpoint whose entry vanished takes work for longer than this: it may really be leaving, and two seconds are allowed.
const DOUBT_MAX: Duration = Duration::from_millis(1_600);
/// How long an endpoint that left is remembered, so that its streams can still be looked up.
const GONE_KEPT: Duration = Duration::from_mins(1);
/// Above this share of a service's endpoints, entries that vanish together are taken for a fault of the list at first.
const VANISHED_TOGETHER_SHARE: f64 = 0.34;

/// What the list says of one start of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Names this start; a restart has another.
    pub id: String,
    /// Service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Hall in which it stands.
    pub hall: String,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it said that it is leaving.
    pub leaving: bool,
}

/// Whether an endpoint takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Listed and not leaving.
    Ready,
    /// Its entry vanished, and the list is doubted; it takes work until it should have been listed again.
    Unlisted,
    /// Leaving or gone: takes no new work.
    Leaving,
}

#[derive(Debug, Clone)]
struct Known {
    entry: EndpointEntry,
    standing: Standing,
    /// When the standing last changed.
    since: Duration,
    /// While unlisted: when it counts as leaving.
    doubted_until: Duration,
}

/// A change that others may need to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// An endpoint takes work from now on.
    Joined(EndpointEntry),
    /// An endpoint takes no new work from now on.
    Left(EndpointEntry),
}

/// The endpoints known here.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<String, Known>,
    /// When the list last came back from an outage.
    regained_at: Option<Duration>,
    /// Rises with every change.
    version: u64,
}

impl Fleet {
    /// The list answers again after an outage.
    pub fn regained(&mut self, now: Duration) {
        self.regained_at = Some(now);
    }

    /// Takes records that came together: entries, and ids whose entry is gone.
    pub fn take(
        &mut self,
        entries: Vec<EndpointEntry>,
        vanished: &[String],
        now: Duration,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for entry in entries {
            changes.extend(self.listed(entry, now));
        }
        let together = self.vanished_together(vanished);
        for id in vanished {
            changes.extend(self.vanished(id, together, now));
        }
        changes
    }

    /// Takes a whole list: what is not in it has vanished.
    pub fn take_whole(&mut self, entries: Vec<EndpointEntry>, now: Duration) -> Vec<FleetChange> {
        let listed = |id: &String| entries.iter().any(|entry| entry.id == *id);
        let vanished: Vec<String> = self
            .endpoints
            .iter()
            .filter(|(id, known)| known.standing == Standing::Ready && !listed(id))
            .map(|(id, _)| id.clone())
            .collect();
        self.take(entries, &vanished, now)
    }

    /// Rises with every change of what is known, so that what is made of it need not be made again.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    fn listed(&mut self, entry: EndpointEntry, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get(&entry.id);
        let was_taking = known.is_some_and(|known| known.standing != Standing::Leaving);
        // What it said itself is final; only a missing entry can come back.
        let said_leaving = entry.leaving || known.is_some_and(|known| known.entry.leaving);
        let standing = if said_leaving {
            Standing::Leaving
        } else {
            Standing::Ready
        };
        let since = match known {
            Some(known) if known.standing == standing => known.since,
            _ => now,
        };
        let mut entry = entry;
        entry.leaving = said_leaving;
        let change = match (was_taking, said_leaving) {
            (true, true) => Some(FleetChange::Left(entry.clone())),
            (false, false) => Some(FleetChange::Joined(entry.clone())),
            _ => None,
        };
        let known = Known {
            entry,
            standing,
            since,
            doubted_until: Duration::ZERO,
        };
        self.endpoints.insert(known.entry.id.clone(), known);
        self.version += 1;
        change
    }

    fn vanished(&mut self, id: &str, together: bool, now: Duration) -> Option<FleetChange> {
        let relisted_until = self.regained_at.map(|at| at + RELIST_WITHIN);
        let after_outage = relisted_until.filter(|until| now < *until);
        let known = self.endpoints.get_mut(id)?;
        if known.standing != Standing::Ready {
            return None;
        }
        known.since = now;
        self.version += 1;
        if after_outage.is_some() || together {
            known.standing = Standing::Unlisted;
            let doubted_until = now + DOUBT_MAX;
            known.doubted_until = after_outage.unwrap_or(doubted_until).min(doubted_until);
            return None;
        }
        known.standing = Standing::Leaving;
        Some(FleetChange::Left(known.entry.clone()))
    }

    /// Whether so many of one service's endpoints vanish at once that the list itself is the likelier cause.
    fn vanished_together(&self, vanished: &[String]) -> bool {
        let mut by_service: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for (id, known) in &self.endpoints {
            if known.standing == Standing::Ready {
                let counts = by_service.entry(&known.entry.service).or_default();
                counts.0 += 1;
                counts.1 += u32::from(vanished.contains(id));
            }
        }
        let mut counts = by_service.values();
        counts.any(|(ready, gone)| {
            *gone >= 2 && f64::from(*gone) > VANISHED_TOGETHER_SHARE * f64::from(*ready)
        })
    }

    /// An endpoint says itself that it is leaving, while the list is silent.
    pub fn told_leaving(&mut self, id: &str, now: Duration) -> Option<FleetChange> {
        let mut entry = self.get(id)?.clone();
        entry.leaving = true;
        self.listed(entry, now)
    }

    /// Lets time pass: entries that were not listed again count as gone, and those gone for long are forgotten.
    pub fn settle(&mut self, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for known in self.endpoints.values_mut() {
            if known.standing == Standing::Unlisted && now >= known.doubted_until {
                known.standing = Standing::Leaving;
                known.since = now;
                changes.push(FleetChange::Left(known.entry.clone()));
            }
        }
        let before = self.endpoints.len();
        self.endpoints.retain(|_, known| {
            known.standing != Standing::Leaving || now.saturating_sub(known.since) < GONE_KEPT
        });
        if !changes.is_empty() || self.endpoints.len() < before {
            self.version += 1;
        }
        changes
    }

    /// An endpoint by id, also one that left.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&EndpointEntry> {
        self.endpoints.get(id).map(|known| &known.entry)
    }

    /// Whether an endpoint takes work.
    #[must_use]
    pub fn takes_work(&self, id: &str) -> bool {
        let known = self.endpoints.get(id);
        known.is_some_and(|known| known.standing != Standing::Leaving)
    }

    /// How an endpoint stands and for how long.
    #[must_use]
    pub fn standing(&self, id: &str, now: Duration) -> Option<(Standing, Duration)> {
        let known = self.endpoints.get(id)?;
        Some((known.standing, now.saturating_sub(known.since)))
    }

    /// Endpoints of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointEntry> {
        let all = self.endpoints.values();
        let taking = all.filter(|known| known.standing != Standing::Leaving);
        let entries = taking.map(|known| &known.entry);
        entries.filter(move |entry| entry.service == service)
    }

    /// All endpoints that are remembered.
    pub fn all(&self) -> impl Iterator<Item = (&EndpointEntry, Standing)> {
        let all = self.endpoints.values();
        all.map(|known| (&known.entry, known.standing))
    }
}
