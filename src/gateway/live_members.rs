//! The view of the members that live, kept until it changes.

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

/// How long a view is believed without a look at the members: little beside the 2.5 s after which a silent member counts as gone.
const VIEW_KEPT: Duration = Duration::from_millis(200);
/// What a member carries whose entry was not read yet, in cores: little, so that roles fall to others.
const UNKNOWN_CORES: f64 = 0.01;

/// Names of members in one line of the log.
const NAMES_TOLD: usize = 32;

/// The view in use, and when the members were last looked at for it.
struct Current {
    view: Arc<LiveView>,
    looked_at: Option<Duration>,
}

/// The members that live, this instance included.
pub(crate) struct LiveMembers {
    own_name: String,
    own_peer_address: String,
    members: Arc<Mutex<Members>>,
    entries: Arc<Mutex<HashMap<String, MemberEntry>>>,
    clock: Arc<dyn Clock>,
    current: Mutex<Current>,
    /// Whether something changed since the members were last looked at.
    changed: AtomicBool,
}

impl LiveMembers {
    /// Follows the members of an instance.
    pub(crate) fn new(
        own_name: &str,
        own_peer_address: String,
        members: Arc<Mutex<Members>>,
        entries: Arc<Mutex<HashMap<String, MemberEntry>>>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let view = Arc::new(LiveView::new(own_name, Vec::new()));
        let current = Current {
            view,
            looked_at: None,
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

    /// A member was heard or listed anew, or is leaving: the next view is made from a fresh look.
    pub(crate) fn note_changed(&self) {
        self.changed.store(true, Ordering::Relaxed);
    }

    /// The view as of now. The same one for as long as the same members live.
    pub(crate) fn view(&self) -> Arc<LiveView> {
        let now = self.clock.now();
        let mut current = self.current.lock();
        let age = current.looked_at.map(|at| now.saturating_sub(at));
        let is_fresh = age.is_some_and(|age| age < VIEW_KEPT);
        let has_changed = self.changed.swap(false, Ordering::Relaxed);
        if is_fresh && !has_changed {
            return current.view.clone();
        }
        current.looked_at = Some(now);
        if !self.still_holds(&current.view, now) {
            let view = Arc::new(LiveView::new(&self.own_name, self.look(now)));
            tell_change(&current.view, &view);
            current.view = view;
        }
        current.view.clone()
    }

    /// Whether the same members live as in a view. Compared in place: copying 295 names several times a second was most of what an idle
    /// instance allocated.
    fn still_holds(&self, view: &LiveView, now: Duration) -> bool {
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

    fn look(&self, now: Duration) -> Vec<LiveMember> {
        let mut live: Vec<LiveMember> = {
            let members = self.members.lock();
            let live = members.live(MEMBER_RING, now);
            let named = live.map(|peer| LiveMember {
                name: peer.status.incarnation.name.clone(),
                peer_address: peer.status.peer_address.clone(),
                capacity_cores: UNKNOWN_CORES,
            });
            named.collect()
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

/// Logs which members came and went: with the lines of all instances it shows who held which member for live, and for how long.
fn tell_change(before: &LiveView, after: &LiveView) {
    if !crate::log::should_log("members live") {
        return;
    }
    let came = names_missing(after, before);
    let went = names_missing(before, after);
    let members = after.members().len();
    info!("members live", kv: { members:, came = came.as_str(), went = went.as_str() });
}

/// The first few names in one view that are not in the other.
fn names_missing(view: &LiveView, other: &LiveView) -> String {
    let names = view.members().iter().map(|member| member.name.as_str());
    let missing = names.filter(|name| other.get(name).is_none());
    let few: Vec<&str> = missing.take(NAMES_TOLD).collect();
    few.join(" ")
}
