//! Endpoints of a site's services as described by the platform's endpoint list, and whether each of
//! them accepts new work.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use serde::Serialize;

pub use super::endpoint_entry::{EndpointEntry, ListUpdate, incarnation_id};
use super::evacuation::{ActiveEvacuations, EvacuatedHalls, HallChange, HallOrder};
use super::fingerprint::short_hash;
use super::notice_times::NoticeTimes;

/// How long after an outage of the list a missing entry may reappear; the platform specifies two
/// seconds.
pub const RELIST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Longest time for which an endpoint whose entry vanished may still get new work. It may really be
/// leaving, and the platform allows two seconds.
const UNLISTED_GRACE_MAX: Duration = Duration::from_millis(1_600);
/// How long an endpoint that has left is remembered, so that its streams can still be found.
const GONE_RETENTION: Duration = Duration::from_mins(1);
/// How long each instance gossips the notice that an endpoint is draining, unless the list reports
/// it. This is several times the 3 s and 4 s after which all of 300 and of 2,300 members know such
/// an update (simulated by `news_site_of_*` in the tests).
const GOSSIP_FOR: Duration = Duration::from_secs(15);
/// Maximum number of endpoints named in one heartbeat, eight bytes each, even if thousands drain
/// while the list is unavailable. Successive heartbeats name different ones.
pub const DRAIN_NOTICES_MAX: usize = 32;
/// If more than this share of a service's endpoints vanish together, a fault of the list is assumed
/// at first.
const MASS_VANISH_SHARE: f64 = 0.34;
/// Smallest number of endpoints of a service that can vanish together by a fault of the list.
const MASS_VANISH_MIN: u32 = 2;

/// Availability of an endpoint for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// Listed and not leaving.
    Ready,
    /// Its entry vanished, possibly by a fault of the list. It accepts work until the time by which
    /// it should have been listed again.
    Unlisted,
    /// Its newest entry cannot be read: it gets no new work, and running work continues.
    Unreadable,
    /// Its hall is evacuated: it gets no new work, and running work continues.
    Evacuated,
    /// Leaving or gone: it gets no new work.
    Leaving,
}

#[derive(Debug, Clone)]
struct EndpointState {
    entry: EndpointEntry,
    /// Never [`Availability::Evacuated`], which is derived from the hall.
    availability: Availability,
    /// Time of the last change of `availability`.
    since: Duration,
    /// Time from which an unlisted endpoint counts as leaving.
    unlisted_deadline: Duration,
    /// Until when it is cold, as announced by itself or expected after its hall's return.
    cold_until: Duration,
    /// Whether the list has an entry of this incarnation.
    listed: bool,
    /// When a source other than the list reported that it is draining; `None` once the list reports
    /// it.
    drain_notice_at: Option<Duration>,
    /// When this instance first learned that it leaves, or that its entry vanished; `None` if it is
    /// not known to leave.
    leaving_noticed_at: Option<Duration>,
    /// Earliest end that it announced.
    announced_end_at: Option<Duration>,
    /// Identifies this incarnation in messages between instances.
    short_name: u64,
}

impl EndpointState {
    fn is_usable(&self) -> bool {
        matches!(
            self.availability,
            Availability::Ready | Availability::Unlisted
        )
    }

    /// Marks it as leaving, regardless of later entries in the list.
    fn mark_leaving(&mut self, now: Duration) {
        self.entry.leaving = true;
        self.leaving_noticed_at.get_or_insert(now);
        if self.availability != Availability::Leaving {
            self.availability = Availability::Leaving;
            self.since = now;
        }
    }

    /// Returns whether the loss of its entry changes its availability.
    fn can_vanish(&self) -> bool {
        matches!(
            self.availability,
            Availability::Ready | Availability::Unreadable
        )
    }
}

/// A change of an endpoint's availability that other components may need to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// The endpoint accepts work from now on.
    Joined(EndpointEntry),
    /// The endpoint accepts no new work from now on.
    Left(EndpointEntry),
}

/// All endpoints known to this instance.
#[derive(Debug, Default)]
pub struct Fleet {
    /// Keyed by [`EndpointEntry::id`].
    endpoints: BTreeMap<String, EndpointState>,
    /// Newest incarnation of each listed id. Entries are removed together with their endpoint.
    newest_incarnation: BTreeMap<String, String>,
    /// Evacuated halls, whose endpoints get no new work.
    halls: ActiveEvacuations,
    /// When the list last recovered from an outage.
    list_recovered_at: Option<Duration>,
    /// Times from notice to end of endpoints that were seen to end.
    notice_times: NoticeTimes,
    /// Incremented on every change.
    version: u64,
}

impl Fleet {
    /// Records that the list is available again after an outage.
    pub fn record_list_recovery(&mut self, now: Duration) {
        self.list_recovered_at = Some(now);
    }

    /// Applies records that were read together.
    pub fn apply_update(&mut self, update: ListUpdate, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for entry in update.entries {
            changes.append(&mut self.apply_entry(entry, now));
        }
        for listed_id in &update.unreadable {
            self.mark_unreadable(listed_id, now);
        }
        let vanished = update.vanished.iter();
        let vanished: Vec<String> = vanished
            .filter_map(|listed_id| self.newest_incarnation.get(listed_id).cloned())
            .collect();
        let is_mass_vanish = self.is_mass_vanish(&vanished);
        for id in &vanished {
            changes.extend(self.mark_vanished(id, is_mass_vanish, now));
        }
        changes
    }

    /// Applies a complete list: endpoints that are missing from it have vanished.
    pub fn apply_full_list(&mut self, mut update: ListUpdate, now: Duration) -> Vec<FleetChange> {
        let entries = update.entries.iter();
        let listed_ids = entries.map(|entry| entry.listed_id.as_str());
        let unreadable = update.unreadable.iter().map(String::as_str);
        let listed: HashSet<&str> = listed_ids.chain(unreadable).collect();
        let incarnations = self.newest_incarnation.iter();
        let vanished = incarnations.filter(|(listed_id, id)| {
            let known = self.endpoints.get(*id);
            known.is_some_and(|known| known.listed) && !listed.contains(listed_id.as_str())
        });
        let vanished = vanished.map(|(listed_id, _)| listed_id.clone()).collect();
        update.vanished = vanished;
        self.apply_update(update, now)
    }

    /// Returns a counter that is incremented on every change, so that data derived from the fleet
    /// can be cached.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies one order to evacuate or restore a hall, and returns the changes.
    pub fn apply_hall_order(&mut self, order: &HallOrder, now: Duration) -> Vec<HallChange> {
        let changes = self.halls.apply_order(order, now);
        self.version += u64::from(!changes.is_empty());
        changes
    }

    /// Merges the set of evacuated halls of another member, unless a later state is known, and
    /// returns the changes.
    pub fn merge_evacuated_halls(
        &mut self,
        evacuated: &EvacuatedHalls,
        now: Duration,
    ) -> Vec<HallChange> {
        let changes = self.halls.merge(evacuated, now);
        self.version += u64::from(!changes.is_empty());
        changes
    }

    /// Advances the state of the halls to the current time, and returns the changes.
    pub fn advance_halls(&mut self, now: Duration) -> Vec<HallChange> {
        let changes = self.halls.refresh(now);
        self.version += u64::from(!changes.is_empty());
        changes
    }

    /// Returns the evacuated halls in the form that is sent to other members.
    #[must_use]
    pub fn evacuated_halls(&self) -> &EvacuatedHalls {
        self.halls.for_members()
    }

    /// Treats the endpoints of a hall as cold for the time that their services specify, since they
    /// may have been restarted.
    pub fn mark_hall_cold(
        &mut self,
        hall: &str,
        warm_up_time: impl Fn(&str) -> Duration,
        now: Duration,
    ) {
        let all = self.endpoints.values_mut();
        for known in all.filter(|known| known.entry.hall == hall) {
            let until = now.saturating_add(warm_up_time(&known.entry.service));
            known.cold_until = known.cold_until.max(until);
        }
        self.version += 1;
    }

    /// Returns until when an endpoint is cold; a time in the past if it is not.
    #[must_use]
    pub fn cold_until(&self, id: &str) -> Duration {
        let known = self.endpoints.get(id);
        known.map_or(Duration::ZERO, |known| known.cold_until)
    }

    fn apply_entry(&mut self, entry: EndpointEntry, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        if let Some(previous) = self.newest_incarnation.get(&entry.listed_id).cloned()
            && previous != entry.id
        {
            let previous_born_ms = self.endpoints.get(&previous);
            let previous_born_ms = previous_born_ms.and_then(|known| known.entry.born_ms);
            if previous_born_ms.is_some() && entry.born_ms.is_none() {
                // Either all incarnations of an endpoint report their start time or none does, so
                // this entry comes from another writer.
                self.mark_unreadable(&entry.listed_id, now);
                return changes;
            }
            if entry.born_ms < previous_born_ms {
                // A late entry of an earlier incarnation.
                return changes;
            }
            changes.extend(self.retire_incarnation(&previous, now));
        }
        let listed_id = entry.listed_id.clone();
        self.newest_incarnation.insert(listed_id, entry.id.clone());
        changes.extend(self.apply_newest_entry(entry, now));
        changes
    }

    /// Applies an entry of the newest incarnation of its listed id.
    fn apply_newest_entry(&mut self, entry: EndpointEntry, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get(&entry.id);
        let was_usable = known.is_some_and(EndpointState::is_usable);
        // The endpoint's own announcement is final for this incarnation. Only a missing entry can
        // be reversed.
        let is_leaving = entry.leaving || known.is_some_and(|known| known.entry.leaving);
        let availability = if is_leaving {
            Availability::Leaving
        } else {
            Availability::Ready
        };
        let since = match known {
            Some(known) if known.availability == availability => known.since,
            _ => now,
        };
        // A repeated, unchanged entry says nothing new about the remaining warm-up time.
        let cold_until = match known {
            Some(known) if known.entry.cold_left == entry.cold_left => known.cold_until,
            Some(known) => known.cold_until.max(now.saturating_add(entry.cold_left)),
            None => now.saturating_add(entry.cold_left),
        };
        let drain_notice_at = known.and_then(|known| known.drain_notice_at);
        let noticed_at = known.and_then(|known| known.leaving_noticed_at);
        let announced_end_at = known.and_then(|known| known.announced_end_at);
        let short_name = known.map_or_else(|| short_hash(&entry.id), |known| known.short_name);
        let listed_leaving = entry.leaving;
        let mut entry = entry;
        entry.leaving = is_leaving;
        let change = match (was_usable, is_leaving) {
            (true, true) => Some(FleetChange::Left(entry.clone())),
            (false, false) => Some(FleetChange::Joined(entry.clone())),
            _ => None,
        };
        let known = EndpointState {
            entry,
            availability,
            since,
            unlisted_deadline: Duration::ZERO,
            cold_until,
            listed: true,
            drain_notice_at: drain_notice_at.filter(|_| !listed_leaving),
            leaving_noticed_at: is_leaving.then(|| noticed_at.unwrap_or(now)),
            announced_end_at,
            short_name,
        };
        self.endpoints.insert(known.entry.id.clone(), known);
        self.version += 1;
        change
    }

    /// Marks the endpoint of a listed id as unreadable: its newest entry cannot be read and
    /// describes no usable endpoint.
    fn mark_unreadable(&mut self, listed_id: &str, now: Duration) {
        let id = self.newest_incarnation.get(listed_id);
        let known = id.and_then(|id| self.endpoints.get_mut(id));
        if let Some(known) = known.filter(|known| known.is_usable()) {
            known.availability = Availability::Unreadable;
            known.since = now;
            self.version += 1;
        }
    }

    /// Retires an incarnation whose listed id is now used by another one.
    fn retire_incarnation(&mut self, id: &str, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get_mut(id)?;
        known.listed = false;
        known.drain_notice_at = None;
        if known.availability == Availability::Leaving {
            return None;
        }
        known.mark_leaving(now);
        self.version += 1;
        Some(FleetChange::Left(known.entry.clone()))
    }

    fn mark_vanished(
        &mut self,
        id: &str,
        is_mass_vanish: bool,
        now: Duration,
    ) -> Option<FleetChange> {
        let relist_deadline = self.list_recovered_at.map(|at| at + RELIST_TIMEOUT);
        let after_outage = relist_deadline.filter(|until| now < *until);
        let known = self.endpoints.get_mut(id)?;
        let was_listed = std::mem::replace(&mut known.listed, false);
        // An endpoint whose drain notice is not in the list may drop its entry and go on serving.
        let listed_leaving =
            known.drain_notice_at.take().is_none() && known.availability == Availability::Leaving;
        if was_listed
            && listed_leaving
            && after_outage.is_none()
            && let Some(noticed_at) = known.leaving_noticed_at
        {
            let after_notice = now.saturating_sub(noticed_at);
            self.notice_times
                .record_end(&known.entry.service, after_notice);
            self.version += 1;
        }
        if !known.can_vanish() {
            return None;
        }
        known.leaving_noticed_at.get_or_insert(now);
        known.since = now;
        self.version += 1;
        if (after_outage.is_some() || is_mass_vanish) && known.availability == Availability::Ready {
            known.availability = Availability::Unlisted;
            let unlisted_deadline = now + UNLISTED_GRACE_MAX;
            known.unlisted_deadline = after_outage
                .unwrap_or(unlisted_deadline)
                .min(unlisted_deadline);
            return None;
        }
        known.availability = Availability::Leaving;
        Some(FleetChange::Left(known.entry.clone()))
    }

    /// Returns whether so many endpoints of one service vanish at once that a fault of the list is
    /// the more likely cause.
    fn is_mass_vanish(&self, vanished: &[String]) -> bool {
        if vanished.len() < MASS_VANISH_MIN as usize {
            return false;
        }
        let vanished: HashSet<&str> = vanished.iter().map(String::as_str).collect();
        let mut by_service: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for (id, known) in &self.endpoints {
            if known.availability == Availability::Ready {
                let counts = by_service.entry(&known.entry.service).or_default();
                counts.0 += 1;
                counts.1 += u32::from(vanished.contains(id.as_str()));
            }
        }
        let mut counts = by_service.values();
        counts.any(|(ready, gone)| {
            *gone >= MASS_VANISH_MIN && f64::from(*gone) > MASS_VANISH_SHARE * f64::from(*ready)
        })
    }

    /// Records that an endpoint is draining, according to the endpoint itself or to another member.
    /// The list may lag or be unavailable.
    pub fn record_drain_notice(&mut self, id: &str, now: Duration) -> Option<FleetChange> {
        let known = self.endpoints.get_mut(id)?;
        if known.entry.leaving {
            return None;
        }
        let was_usable = known.is_usable();
        known.drain_notice_at = Some(now);
        known.mark_leaving(now);
        self.version += 1;
        was_usable.then(|| FleetChange::Left(known.entry.clone()))
    }

    /// Records the end that an endpoint announced. The earliest one counts.
    pub fn record_announced_end(&mut self, id: &str, end_at: Duration) {
        if let Some(known) = self.endpoints.get_mut(id)
            && known.announced_end_at.is_none_or(|known| end_at < known)
        {
            known.announced_end_at = Some(end_at);
            self.version += 1;
        }
    }

    /// Returns when an endpoint that is leaving is expected to end: as it announced, or else by the
    /// notice that others of its service gave. `None` if it is not known to leave.
    #[must_use]
    pub fn expected_end(&self, id: &str) -> Option<Duration> {
        let known = self.endpoints.get(id)?;
        let noticed_at = known
            .leaving_noticed_at
            .filter(|_| known.availability == Availability::Leaving)?;
        let predicted = || noticed_at + self.notice_times.estimate(&known.entry.service);
        Some(known.announced_end_at.unwrap_or_else(predicted))
    }

    /// Returns the short names of endpoints that were recently reported as draining by another
    /// source than the list, unless the list reports it now, for other members. `offset` selects
    /// the first one if there are too many for one heartbeat.
    #[must_use]
    pub fn drain_notices(&self, offset: usize, now: Duration) -> Vec<u64> {
        let all = self.endpoints.values();
        let recent = all.filter(|known| {
            let noticed_at = known.drain_notice_at;
            noticed_at.is_some_and(|at| now.saturating_sub(at) < GOSSIP_FOR)
        });
        let mut short_names: Vec<u64> = recent.map(|known| known.short_name).collect();
        let count = short_names.len().max(1);
        short_names.rotate_left(offset % count);
        short_names.truncate(DRAIN_NOTICES_MAX);
        short_names
    }

    /// Applies drain notices received from another member.
    pub fn apply_drain_notices(&mut self, short_names: &[u64], now: Duration) -> Vec<FleetChange> {
        if short_names.is_empty() {
            return Vec::new();
        }
        let all = self.endpoints.values();
        let draining = all.filter(|known| short_names.contains(&known.short_name));
        let draining: Vec<String> = draining.map(|known| known.entry.id.clone()).collect();
        let changes = draining
            .iter()
            .filter_map(|id| self.record_drain_notice(id, now));
        changes.collect()
    }

    /// Returns the id of the incarnation with this short name.
    #[must_use]
    pub fn id_by_short_name(&self, short_name: u64) -> Option<String> {
        let mut all = self.endpoints.iter();
        let found = all.find(|(_, known)| known.short_name == short_name);
        found.map(|(id, _)| id.clone())
    }

    /// Applies timeouts: entries that were not listed again in time count as leaving, and
    /// endpoints that left long ago are forgotten.
    pub fn expire_entries(&mut self, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for known in self.endpoints.values_mut() {
            if known.availability == Availability::Unlisted && now >= known.unlisted_deadline {
                known.availability = Availability::Leaving;
                known.since = now;
                changes.push(FleetChange::Left(known.entry.clone()));
            }
        }
        let before = self.endpoints.len();
        // An endpoint that is still listed is kept: otherwise its entry would bring it back as if
        // it had never announced that it is draining.
        self.endpoints.retain(|_, known| {
            let is_gone = known.availability == Availability::Leaving && !known.listed;
            !is_gone || now.saturating_sub(known.since) < GONE_RETENTION
        });
        if self.endpoints.len() < before {
            let endpoints = &self.endpoints;
            self.newest_incarnation
                .retain(|_, id| endpoints.contains_key(id));
        }
        if !changes.is_empty() || self.endpoints.len() < before {
            self.version += 1;
        }
        changes
    }

    /// Returns an endpoint by id, including one that has left.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&EndpointEntry> {
        self.endpoints.get(id).map(|known| &known.entry)
    }

    /// Returns whether an endpoint accepts new work.
    #[must_use]
    pub fn can_accept_work(&self, id: &str) -> bool {
        let known = self.endpoints.get(id);
        known.is_some_and(|known| self.is_open(known))
    }

    /// Returns whether an endpoint is leaving or gone, so that its running work has to be moved
    /// off.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let known = self.endpoints.get(id);
        known.is_none_or(|known| known.availability == Availability::Leaving)
    }

    fn is_open(&self, known: &EndpointState) -> bool {
        known.is_usable() && self.halls.since(&known.entry.hall).is_none()
    }

    /// Returns the availability of an endpoint, taking the state of its hall into account, and the
    /// time of its last change.
    fn effective_availability(&self, known: &EndpointState) -> (Availability, Duration) {
        match self.halls.since(&known.entry.hall) {
            Some(since) if known.is_usable() => (Availability::Evacuated, since.max(known.since)),
            _ => (known.availability, known.since),
        }
    }

    /// Returns the availability of an endpoint and the time since it last changed.
    #[must_use]
    pub fn availability(&self, id: &str, now: Duration) -> Option<(Availability, Duration)> {
        let known = self.endpoints.get(id)?;
        let (availability, since) = self.effective_availability(known);
        Some((availability, now.saturating_sub(since)))
    }

    /// Returns for how long an endpoint has been closed to new work; `None` if it accepts work.
    #[must_use]
    pub fn closed_for(&self, id: &str, now: Duration) -> Option<Duration> {
        let Some(known) = self.endpoints.get(id) else {
            // It left so long ago that it has been forgotten.
            return Some(GONE_RETENTION);
        };
        let evacuated = self.halls.since(&known.entry.hall);
        let left = (known.availability == Availability::Leaving).then_some(known.since);
        let since = evacuated.into_iter().chain(left).min()?;
        Some(now.saturating_sub(since))
    }

    /// Returns the endpoints of a service that accept work.
    pub fn ready_endpoints<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a EndpointEntry> {
        let all = self.endpoints.values();
        let open = all.filter(|known| self.is_open(known));
        let entries = open.map(|known| &known.entry);
        entries.filter(move |entry| entry.service == service)
    }

    /// Returns all remembered endpoints.
    pub fn all_endpoints(&self) -> impl Iterator<Item = (&EndpointEntry, Availability)> {
        let all = self.endpoints.values();
        all.map(|known| (&known.entry, self.effective_availability(known).0))
    }
}
