//! The endpoints of a site's services, as the platform's list tells of them, and which of them take work.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::crash_suspects::short_hash;
pub use super::endpoint_entry::{EndpointEntry, ListNews, start_id};
use super::evacuation::{EvacuatedHalls, HallChange, HallOrder, HallsInForce};

/// After an outage of the list, an entry that is missing may come back for this long; the platform's word is two seconds.
pub const RELIST_WITHIN: Duration = Duration::from_millis(2_200);
/// No endpoint whose entry vanished takes work for longer than this: it may really be leaving, and two seconds are allowed.
const DOUBT_MAX: Duration = Duration::from_millis(1_600);
/// How long an endpoint that left is remembered, so that its streams can still be looked up.
const GONE_KEPT: Duration = Duration::from_mins(1);
/// What an endpoint said of leaving is passed on for this long by each instance, while the list does not say so: several times the 3 and 4 s in which all of
/// 300 and of 2,300 members know news that is told so (simulated, `news_site_of_*` in the tests).
const LEAVING_PASSED_ON: Duration = Duration::from_secs(15);
/// Endpoints named in one heartbeat, eight bytes each, also where thousands leave while the list is silent. Each heartbeat names others.
pub const LEAVING_NEWS_MAX: usize = 32;
/// Above this share of a service's endpoints, entries that vanish together are taken for a fault of the list at first.
const VANISHED_TOGETHER_SHARE: f64 = 0.34;

/// Whether an endpoint takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Listed and not leaving.
    Ready,
    /// Its entry vanished, and the list is doubted; it takes work until it should have been listed again.
    Unlisted,
    /// Its newest entry cannot be read: it takes no new work, and what runs there goes on.
    Unreadable,
    /// Its hall is evacuated: it takes no new work, and what runs there goes on.
    Evacuated,
    /// Leaving or gone: takes no new work.
    Leaving,
}

#[derive(Debug, Clone)]
struct Known {
    entry: EndpointEntry,
    /// Never [`Standing::Evacuated`]: that is the hall's.
    standing: Standing,
    /// When the standing last changed.
    since: Duration,
    /// While unlisted: when it counts as leaving.
    doubted_until: Duration,
    /// Until when it is cold, as it said or as its hall's return lets expect.
    cold_until: Duration,
    /// Whether the list has an entry of this start.
    listed: bool,
    /// When it was told otherwise than by the list that it is leaving; nothing once the list tells so.
    told_leaving_at: Option<Duration>,
    /// Names this start among instances.
    short_name: u64,
}

impl Known {
    fn is_named(&self) -> bool {
        matches!(self.standing, Standing::Ready | Standing::Unlisted)
    }

    /// It is leaving from now on, whatever is listed later.
    fn leave(&mut self, now: Duration) {
        self.entry.leaving = true;
        if self.standing != Standing::Leaving {
            self.standing = Standing::Leaving;
            self.since = now;
        }
    }

    /// Whether it is news that its entry is gone.
    fn may_vanish(&self) -> bool {
        matches!(self.standing, Standing::Ready | Standing::Unreadable)
    }
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
    /// By [`EndpointEntry::id`].
    endpoints: BTreeMap<String, Known>,
    /// The newest start of each listed id. An id stays after its endpoint is forgotten no longer than the endpoint.
    newest_start: BTreeMap<String, String>,
    /// The halls whose endpoints take nothing new.
    halls: HallsInForce,
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

    /// Takes records that came together.
    pub fn take(&mut self, news: ListNews, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for entry in news.entries {
            changes.append(&mut self.listed(entry, now));
        }
        for listed_id in &news.unreadable {
            self.unreadable(listed_id, now);
        }
        let vanished = news.vanished.iter();
        let vanished: Vec<String> = vanished
            .filter_map(|listed_id| self.newest_start.get(listed_id).cloned())
            .collect();
        let together = self.vanished_together(&vanished);
        for id in &vanished {
            changes.extend(self.vanished(id, together, now));
        }
        changes
    }

    /// Takes a whole list: what is not in it has vanished.
    pub fn take_whole(&mut self, mut news: ListNews, now: Duration) -> Vec<FleetChange> {
        let is_listed = |listed_id: &String| {
            let mut entries = news.entries.iter();
            entries.any(|entry| entry.listed_id == *listed_id)
                || news.unreadable.contains(listed_id)
        };
        let starts = self.newest_start.iter();
        let vanished = starts.filter(|(listed_id, id)| {
            let known = self.endpoints.get(*id);
            known.is_some_and(|known| known.listed) && !is_listed(listed_id)
        });
        let vanished = vanished.map(|(listed_id, _)| listed_id.clone()).collect();
        news.vanished = vanished;
        self.take(news, now)
    }

    /// Rises with every change of what is known, so that what is made of it need not be made again.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes one order to empty a hall or take it back; gives what changed.
    pub fn order_hall(&mut self, order: &HallOrder, now: Duration) -> Vec<HallChange> {
        let changes = self.halls.order(order, now);
        self.version += u64::from(!changes.is_empty());
        changes
    }

    /// Takes the halls that are evacuated, unless a later word is known; gives what changed.
    pub fn take_halls(&mut self, told: &EvacuatedHalls, now: Duration) -> Vec<HallChange> {
        let changes = self.halls.take(told, now);
        self.version += u64::from(!changes.is_empty());
        changes
    }

    /// Lets time pass for the halls; gives what changed.
    pub fn settle_halls(&mut self, now: Duration) -> Vec<HallChange> {
        let changes = self.halls.settle(now);
        self.version += u64::from(!changes.is_empty());
        changes
    }

    /// The halls that are evacuated, as others are told.
    #[must_use]
    pub fn evacuated_halls(&self) -> &EvacuatedHalls {
        self.halls.told()
    }

    /// The endpoints of a hall may have been started again: they are taken for cold for as long as their services say.
    pub fn expect_cold(&mut self, hall: &str, lasts: impl Fn(&str) -> Duration, now: Duration) {
        let all = self.endpoints.values_mut();
        for known in all.filter(|known| known.entry.hall == hall) {
            let until = now.saturating_add(lasts(&known.entry.service));
            known.cold_until = known.cold_until.max(until);
        }
        self.version += 1;
    }

    /// Until when an endpoint is cold; a time that is over where it is not.
    #[must_use]
    pub fn cold_until(&self, id: &str) -> Duration {
        let known = self.endpoints.get(id);
        known.map_or(Duration::ZERO, |known| known.cold_until)
    }

    fn listed(&mut self, entry: EndpointEntry, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        if let Some(before) = self.newest_start.get(&entry.listed_id).cloned()
            && before != entry.id
        {
            let born_before = self.endpoints.get(&before);
            let born_before = born_before.and_then(|known| known.entry.born_ms);
            if born_before.is_some() && entry.born_ms.is_none() {
                // Each start tells when it was, or none does: this is another writer's.
                self.unreadable(&entry.listed_id, now);
                return changes;
            }
            if entry.born_ms < born_before {
                // A late word of an earlier life.
                return changes;
            }
            changes.extend(self.ended(&before, now));
        }
        let listed_id = entry.listed_id.clone();
        self.newest_start.insert(listed_id, entry.id.clone());
        changes.extend(self.listed_start(entry, now));
        changes
    }

    /// Takes an entry of the newest start of its listed id.
    fn listed_start(&mut self, entry: EndpointEntry, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get(&entry.id);
        let was_taking = known.is_some_and(Known::is_named);
        // What it said itself is final for this start; only a missing entry can come back.
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
        // An entry that comes once more, unchanged, says nothing new of the time that is left.
        let cold_until = match known {
            Some(known) if known.entry.cold_left == entry.cold_left => known.cold_until,
            Some(known) => known.cold_until.max(now.saturating_add(entry.cold_left)),
            None => now.saturating_add(entry.cold_left),
        };
        let told_leaving_at = known.and_then(|known| known.told_leaving_at);
        let short_name = known.map_or_else(|| short_hash(&entry.id), |known| known.short_name);
        let listed_leaving = entry.leaving;
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
            cold_until,
            listed: true,
            told_leaving_at: told_leaving_at.filter(|_| !listed_leaving),
            short_name,
        };
        self.endpoints.insert(known.entry.id.clone(), known);
        self.version += 1;
        change
    }

    /// The newest entry of a listed id cannot be read: it names no endpoint to use.
    fn unreadable(&mut self, listed_id: &str, now: Duration) {
        let id = self.newest_start.get(listed_id);
        let known = id.and_then(|id| self.endpoints.get_mut(id));
        if let Some(known) = known.filter(|known| known.is_named()) {
            known.standing = Standing::Unreadable;
            known.since = now;
            self.version += 1;
        }
    }

    /// A start of an endpoint has ended: another one has its name.
    fn ended(&mut self, id: &str, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get_mut(id)?;
        known.listed = false;
        known.told_leaving_at = None;
        if known.standing == Standing::Leaving {
            return None;
        }
        known.leave(now);
        self.version += 1;
        Some(FleetChange::Left(known.entry.clone()))
    }

    fn vanished(&mut self, id: &str, together: bool, now: Duration) -> Option<FleetChange> {
        let relisted_until = self.regained_at.map(|at| at + RELIST_WITHIN);
        let after_outage = relisted_until.filter(|until| now < *until);
        let known = self.endpoints.get_mut(id)?;
        known.listed = false;
        known.told_leaving_at = None;
        if !known.may_vanish() {
            return None;
        }
        known.since = now;
        self.version += 1;
        if (after_outage.is_some() || together) && known.standing == Standing::Ready {
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

    /// It is known otherwise than by the list, which may lag or be away, that an endpoint is leaving: by its own word, or by a member's.
    pub fn told_leaving(&mut self, id: &str, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get_mut(id)?;
        if known.entry.leaving {
            return None;
        }
        let was_taking = known.is_named();
        known.told_leaving_at = Some(now);
        known.leave(now);
        self.version += 1;
        was_taking.then(|| FleetChange::Left(known.entry.clone()))
    }

    /// Endpoints of which it is known so of late, and of which the list does not tell it, for members; `first` picks whom to begin with where
    /// there are too many.
    #[must_use]
    pub fn leaving_news(&self, first: usize, now: Duration) -> Vec<u64> {
        let all = self.endpoints.values();
        let told_of_late = all.filter(|known| {
            let told_at = known.told_leaving_at;
            told_at.is_some_and(|at| now.saturating_sub(at) < LEAVING_PASSED_ON)
        });
        let mut news: Vec<u64> = told_of_late.map(|known| known.short_name).collect();
        let count = news.len().max(1);
        news.rotate_left(first % count);
        news.truncate(LEAVING_NEWS_MAX);
        news
    }

    /// Takes what a member tells of endpoints that leave.
    pub fn take_leaving_news(&mut self, news: &[u64], now: Duration) -> Vec<FleetChange> {
        if news.is_empty() {
            return Vec::new();
        }
        let all = self.endpoints.values();
        let told = all.filter(|known| news.contains(&known.short_name));
        let told: Vec<String> = told.map(|known| known.entry.id.clone()).collect();
        let changes = told.iter().filter_map(|id| self.told_leaving(id, now));
        changes.collect()
    }

    /// The start that members name so.
    #[must_use]
    pub fn id_of(&self, short_name: u64) -> Option<String> {
        let mut all = self.endpoints.iter();
        let named = all.find(|(_, known)| known.short_name == short_name);
        named.map(|(id, _)| id.clone())
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
        // One that the list still has would come back from there as if it had never said that it leaves.
        self.endpoints.retain(|_, known| {
            let is_gone = known.standing == Standing::Leaving && !known.listed;
            !is_gone || now.saturating_sub(known.since) < GONE_KEPT
        });
        if self.endpoints.len() < before {
            let endpoints = &self.endpoints;
            self.newest_start.retain(|_, id| endpoints.contains_key(id));
        }
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

    /// Whether an endpoint takes new work.
    #[must_use]
    pub fn takes_work(&self, id: &str) -> bool {
        let known = self.endpoints.get(id);
        known.is_some_and(|known| self.is_open(known))
    }

    /// Whether an endpoint is leaving or gone: what runs there has to go.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let known = self.endpoints.get(id);
        known.is_none_or(|known| known.standing == Standing::Leaving)
    }

    fn is_open(&self, known: &Known) -> bool {
        known.is_named() && self.halls.since(&known.entry.hall).is_none()
    }

    /// How an endpoint stands, its hall considered, and since when.
    fn effective(&self, known: &Known) -> (Standing, Duration) {
        match self.halls.since(&known.entry.hall) {
            Some(since) if known.is_named() => (Standing::Evacuated, since.max(known.since)),
            _ => (known.standing, known.since),
        }
    }

    /// How an endpoint stands and for how long.
    #[must_use]
    pub fn standing(&self, id: &str, now: Duration) -> Option<(Standing, Duration)> {
        let known = self.endpoints.get(id)?;
        let (standing, since) = self.effective(known);
        Some((standing, now.saturating_sub(since)))
    }

    /// How long nothing new has been allowed to reach an endpoint; nothing where it takes work.
    #[must_use]
    pub fn closed_for(&self, id: &str, now: Duration) -> Option<Duration> {
        let Some(known) = self.endpoints.get(id) else {
            // It left so long ago that it is forgotten.
            return Some(GONE_KEPT);
        };
        let evacuated = self.halls.since(&known.entry.hall);
        let left = (known.standing == Standing::Leaving).then_some(known.since);
        let since = evacuated.into_iter().chain(left).min()?;
        Some(now.saturating_sub(since))
    }

    /// Endpoints of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointEntry> {
        let all = self.endpoints.values();
        let taking = all.filter(|known| self.is_open(known));
        let entries = taking.map(|known| &known.entry);
        entries.filter(move |entry| entry.service == service)
    }

    /// All endpoints that are remembered.
    pub fn all(&self) -> impl Iterator<Item = (&EndpointEntry, Standing)> {
        let all = self.endpoints.values();
        all.map(|known| (&known.entry, self.effective(known).0))
    }
}
