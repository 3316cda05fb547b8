//! How entries of the platform's endpoint list, and their loss, change the endpoints.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use super::state::EndpointState;
use super::{Availability, Fleet, FleetChange, GONE_RETENTION, RELIST_TIMEOUT};
use crate::kernel::endpoint_entry::{EndpointEntry, ListUpdate};
use crate::kernel::fingerprint::short_hash;

/// Longest time for which an endpoint whose entry vanished may still get new work. It may really be
/// leaving, and the platform allows two seconds.
const UNLISTED_GRACE_MAX: Duration = Duration::from_millis(1_600);
/// If more than this share of a service's endpoints vanish together, a fault of the list is assumed
/// at first.
const MASS_VANISH_SHARE: f64 = 0.34;
/// Smallest number of endpoints of a service that can vanish together by a fault of the list.
const MASS_VANISH_MIN: u32 = 2;

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
}
