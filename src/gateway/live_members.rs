//! Cached view of the live members.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;

use super::node::MEMBER_RING;
use super::site_store::MemberEntry;
use crate::kernel::clock::Clock;
use crate::kernel::live_view::{LiveMember, LiveView};
use crate::kernel::membership::Members;

/// Maximum age of the cached view; short compared with the 2.5 s after which a member without
/// heartbeats counts as gone.
const VIEW_MAX_AGE: Duration = Duration::from_millis(200);
/// Capacity assumed for a member whose entry was not read yet, in processor cores. It is small so
/// that roles are assigned to other members.
const UNKNOWN_CORES: f64 = 0.01;

/// Maximum number of member names in one log line.
const LOGGED_NAMES_MAX: usize = 32;

/// The cached view and when it was last compared with the members.
struct CachedView {
    view: Arc<LiveView>,
    refreshed_at: Option<Duration>,
}

/// The live members, including this instance.
pub(crate) struct LiveMembers {
    own_name: String,
    own_peer_address: String,
    members: Arc<Mutex<Members>>,
    entries: Arc<Mutex<HashMap<String, MemberEntry>>>,
    clock: Arc<dyn Clock>,
    current: Mutex<CachedView>,
    /// Whether something may have changed since the last refresh.
    changed: AtomicBool,
}

impl LiveMembers {
    /// Creates the view for an instance, initially without other members.
    pub(crate) fn new(
        own_name: &str,
        own_peer_address: String,
        members: Arc<Mutex<Members>>,
        entries: Arc<Mutex<HashMap<String, MemberEntry>>>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let view = Arc::new(LiveView::new(own_name, Vec::new()));
        let current = CachedView {
            view,
            refreshed_at: None,
        };
        Self {
            own_name: own_name.to_owned(),
            own_peer_address,
            members,
            entries,
            clock,
            current: Mutex::new(current),
            changed: AtomicBool::new(true),
        }
    }

    /// Forces a refresh of the view at its next use, after a change of a member or its entry.
    pub(crate) fn invalidate(&self) {
        self.changed.store(true, Ordering::Relaxed);
    }

    /// Returns the current view. It is the same object for as long as the live members are the
    /// same.
    pub(crate) fn view(&self) -> Arc<LiveView> {
        let now = self.clock.now();
        let mut current = self.current.lock();
        let age = current.refreshed_at.map(|at| now.saturating_sub(at));
        let is_fresh = age.is_some_and(|age| age < VIEW_MAX_AGE);
        let is_invalidated = self.changed.swap(false, Ordering::Relaxed);
        if is_fresh && !is_invalidated {
            return current.view.clone();
        }
        current.refreshed_at = Some(now);
        if !self.is_current(&current.view, now) {
            let view = Arc::new(LiveView::new(
                &self.own_name,
                self.collect_live_members(now),
            ));
            log_membership_change(&current.view, &view);
            current.view = view;
        }
        current.view.clone()
    }

    /// Returns whether a view still matches the live members.
    ///
    /// Compares in place: copying 295 names several times per second caused most of the allocations
    /// of an idle instance.
    fn is_current(&self, view: &LiveView, now: Duration) -> bool {
        let members = self.members.lock();
        let entries = self.entries.lock();
        let cores = |name: &str| {
            entries
                .get(name)
                .map_or(UNKNOWN_CORES, MemberEntry::capacity_cores)
        };
        let same_cores = |member: &LiveMember| {
            (cores(&member.name) - member.capacity_cores).abs() < f64::EPSILON
        };
        let mut known = view.members().iter();
        let mut others = known.by_ref().filter(|member| member.name != self.own_name);
        let mut live = members.live(MEMBER_RING, now);
        let same = live.by_ref().all(|peer| {
            let status = &peer.status;
            others.next().is_some_and(|member| {
                member.name == status.incarnation.name
                    && member.peer_address == status.peer_address
                    && same_cores(member)
            })
        });
        same && others.next().is_none() && view.get(&self.own_name).is_some_and(same_cores)
    }

    fn collect_live_members(&self, now: Duration) -> Vec<LiveMember> {
        let mut live: Vec<LiveMember> = {
            let members = self.members.lock();
            let live = members.live(MEMBER_RING, now);
            let live_members = live.map(|peer| LiveMember {
                name: peer.status.incarnation.name.clone(),
                peer_address: peer.status.peer_address.clone(),
                capacity_cores: UNKNOWN_CORES,
            });
            live_members.collect()
        };
        live.push(LiveMember {
            name: self.own_name.clone(),
            peer_address: self.own_peer_address.clone(),
            capacity_cores: UNKNOWN_CORES,
        });
        let entries = self.entries.lock();
        for member in &mut live {
            if let Some(entry) = entries.get(&member.name) {
                member.capacity_cores = entry.capacity_cores();
            }
        }
        live
    }
}

/// Logs which members were added and removed. The lines of all instances together show which
/// instance considered which member live, and for how long.
fn log_membership_change(before: &LiveView, after: &LiveView) {
    if !crate::log::should_log("members live") {
        return;
    }
    let added = names_not_in(after, before);
    let removed = names_not_in(before, after);
    let members = after.members().len();
    info!("members live", kv: { members:, came = added.as_str(), went = removed.as_str() });
}

/// Returns up to [`LOGGED_NAMES_MAX`] names that are in `view` but not in `other`.
fn names_not_in(view: &LiveView, other: &LiveView) -> String {
    let names = view.members().iter().map(|member| member.name.as_str());
    let missing = names.filter(|name| other.get(name).is_none());
    let names: Vec<&str> = missing.take(LOGGED_NAMES_MAX).collect();
    names.join(" ")
}
