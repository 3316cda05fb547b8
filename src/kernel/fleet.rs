//! Endpoints of a site's services as described by the platform's endpoint list, and whether each of
//! them accepts new work.

mod departure;
mod listing;
mod state;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

pub use super::endpoint_entry::{EndpointEntry, ListUpdate, incarnation_id};
use super::evacuation::{ActiveEvacuations, EvacuatedHalls, HallChange, HallOrder};
use super::notice_times::NoticeTimes;
use state::EndpointState;

pub use departure::DRAIN_NOTICES_MAX;

/// How long after an outage of the list a missing entry may reappear; the platform specifies two
/// seconds.
pub const RELIST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// How long an endpoint that has left is remembered, so that its streams can still be found.
const GONE_RETENTION: Duration = Duration::from_mins(1);

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

    /// Returns the id of the incarnation with this short name.
    #[must_use]
    pub fn id_by_short_name(&self, short_name: u64) -> Option<String> {
        let mut all = self.endpoints.iter();
        let found = all.find(|(_, known)| known.short_name == short_name);
        found.map(|(id, _)| id.clone())
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
