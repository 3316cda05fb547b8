//! Selection of the members with additional roles: reading the store for all, and owning a
//! service's engines. All members with the same view select the same ones, and larger members are
//! selected more often.

use super::membership::{rendezvous_weight, weighted_rendezvous};

/// Number of members per reader. A reader answers each of them a few times a second.
const MEMBERS_PER_READER: usize = 24;
/// Minimum number of readers, since one may be cut off from the store.
const READERS_MIN: usize = 2;
/// Maximum number of readers that access the store. If more readers are needed, the others read
/// through these.
const STORE_READERS_MAX: usize = 4;
/// Number of readers that access the store if other members read through relays. If one is lost,
/// two remain.
const STORE_READERS_WITH_RELAYS: usize = 3;
/// Members with less than this share of the largest member's capacity take a role only if no larger
/// members are available.
const CAPACITY_SHARE_MIN: f64 = 0.5;

/// Link bandwidth that matches one core. The users' larger instances have 0.5 cores and 200 Mbit/s,
/// their smaller ones 0.12 cores and 10 Mbit/s: on the latter, the link is the first bottleneck
/// when an instance forwards pages.
const LINK_MBPS_PER_CORE: f64 = 400.0;

/// Returns the link bandwidth of a member that does not specify one, wide enough for the processor
/// share to be the limit.
#[must_use]
pub fn default_link_mbps() -> f64 {
    1_000.0
}

/// A member's name and its capacity in cores.
pub type MemberCapacity<'a> = (&'a str, f64);

/// Returns a member's capacity in cores: its processor share, or less if its link is the
/// bottleneck.
#[must_use]
pub fn capacity_cores(processor_cores: f64, link_mbps: f64) -> f64 {
    processor_cores.min(link_mbps / LINK_MBPS_PER_CORE)
}

/// A member and its sort keys in the ranking for a role.
struct RankedMember<'a> {
    is_small: bool,
    weight: f64,
    name: &'a str,
}

/// Returns the members in the order in which they are selected for a role.
pub(super) fn ranked_members<'a>(role: &str, members: &[MemberCapacity<'a>]) -> Vec<&'a str> {
    let largest = members.iter().map(|(_, capacity)| *capacity);
    let largest = largest.fold(0.0, f64::max);
    // The weights are hashes, too slow for the sort's comparison.
    let weighted = members.iter().map(|(name, capacity)| RankedMember {
        is_small: *capacity < CAPACITY_SHARE_MIN * largest,
        weight: weighted_rendezvous(role, name, *capacity),
        name,
    });
    let mut ranked: Vec<RankedMember> = weighted.collect();
    ranked.sort_by(|one, other| {
        let by_size = one.is_small.cmp(&other.is_small);
        by_size.then(other.weight.total_cmp(&one.weight))
    });
    ranked.into_iter().map(|member| member.name).collect()
}

/// Returns a few members for one instance to ask, larger ones first. Each instance gets its own
/// selection, so that the members of one size share the requests of all instances.
#[must_use]
pub fn spread_by_capacity<'a>(
    own_name: &str,
    members: &[MemberCapacity<'a>],
    count: usize,
) -> Vec<&'a str> {
    let ranked = ranked_members(own_name, members);
    ranked.into_iter().take(count).collect()
}

/// Maximum number of reader groups that a member tries before it accesses the store itself.
const READER_GROUPS_MAX: usize = 3;

/// Where one member reads the store's contents. All members with the same view select the same
/// readers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderPlan {
    /// Name of the member.
    pub own_name: String,
    /// The readers that access the store, followed by equally large groups of members that replace
    /// them, each one used if the group before it cannot reach the store. The members of a group
    /// are listed in the order in which this member asks them.
    pub groups: Vec<Vec<String>>,
    /// Relays of a large site, which read from the first group and are asked by all other members,
    /// in the order in which this member asks them.
    pub relays: Vec<String>,
}

impl ReaderPlan {
    /// Returns the plan of a member.
    #[must_use]
    pub fn new(own_name: &str, members: &[MemberCapacity]) -> Self {
        let needed = members.len().div_ceil(MEMBERS_PER_READER).max(READERS_MIN);
        let ranked = ranked_members("readers", members);
        let at_store = if needed > STORE_READERS_MAX {
            STORE_READERS_WITH_RELAYS
        } else {
            needed
        };
        let groups = ranked.chunks(at_store).take(READER_GROUPS_MAX);
        let relays = ranked.iter().skip(at_store).take(needed);
        let relays: Vec<&str> = relays.copied().collect();
        Self {
            own_name: own_name.to_owned(),
            groups: groups
                .map(|group| order_for_member(own_name, group))
                .collect(),
            relays: if needed > STORE_READERS_MAX {
                order_for_member(own_name, &relays)
            } else {
                Vec::new()
            },
        }
    }

    /// Returns whether this member belongs to the first group, which accesses the store.
    #[must_use]
    pub fn reads_store(&self) -> bool {
        self.groups
            .first()
            .is_some_and(|first| self.is_member_of(first))
    }

    /// Returns whether this member reads through relays. On a large site, all members except
    /// readers and relays do.
    #[must_use]
    pub fn reads_through_relays(&self) -> bool {
        !self.relays.is_empty() && !self.reads_store() && !self.is_member_of(&self.relays)
    }

    /// Returns whether this member is in a group.
    #[must_use]
    pub fn is_member_of(&self, group: &[String]) -> bool {
        group.contains(&self.own_name)
    }
}

/// Returns the readers in the order in which a member asks them. Each member has its own order,
/// which distributes the load.
fn order_for_member(own_name: &str, readers: &[&str]) -> Vec<String> {
    let weighted = readers.iter();
    let mut weighted: Vec<(u64, &str)> = weighted
        .map(|name| (rendezvous_weight(own_name, name), *name))
        .collect();
    weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted
        .into_iter()
        .map(|(_, name)| name.to_owned())
        .collect()
}
