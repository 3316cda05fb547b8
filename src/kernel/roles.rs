//! Which members take on more than their own calls: reading the store for all, and owning a service's engines. All members with the
//! same view choose the same ones, the larger ones more often.

use super::membership::{rendezvous_weight, weighted_rendezvous};

/// Members for which one reader reads. A reader answers each of them a few times a second.
const MEMBERS_PER_READER: usize = 24;
/// Fewest readers: one may be cut off from the store.
const READERS_MIN: usize = 2;
/// Most readers that ask the store. Where more are needed, the others read through these: with 295 members, 13 readers at the store made
/// 6,100 calls in 48 s.
const STORE_READERS_MAX: usize = 4;
/// Readers that ask the store where others read through them: the loss of one leaves two.
const STORE_READERS: usize = 3;
/// Members that carry less than this share of the largest take on a role only where no others are left.
const CAPACITY_SHARE_MIN: f64 = 0.5;

/// Link that goes with one core. The users' larger instances have 0.5 cores and 200 Mbit/s, their smaller ones 0.12 and 10: there the link
/// is what runs out first when an instance passes pages on to others.
const LINK_MBPS_PER_CORE: f64 = 400.0;

/// Link of a member that names none: wide enough that the processor share decides.
#[must_use]
pub fn default_link_mbps() -> f64 {
    1_000.0
}

/// A member and what it can carry, in cores.
pub type MemberCapacity<'a> = (&'a str, f64);

/// What a member can carry, in cores: its processor share, or less where its link is narrow for it.
#[must_use]
pub fn capacity_cores(processor_cores: f64, link_mbps: f64) -> f64 {
    processor_cores.min(link_mbps / LINK_MBPS_PER_CORE)
}

/// A member with what decides its place in the order of a role.
struct Ranked<'a> {
    small: bool,
    weight: f64,
    name: &'a str,
}

/// The members in the order in which a role falls to them.
pub(super) fn ranked<'a>(role: &str, members: &[MemberCapacity<'a>]) -> Vec<&'a str> {
    let largest = members.iter().map(|(_, capacity)| *capacity);
    let largest = largest.fold(0.0, f64::max);
    // Each weight is a hash: inside the comparison of the sort they took half of the processor time of 100 idle instances.
    let weighed = members.iter().map(|(name, capacity)| Ranked {
        small: *capacity < CAPACITY_SHARE_MIN * largest,
        weight: weighted_rendezvous(role, name, *capacity),
        name,
    });
    let mut ranked: Vec<Ranked> = weighed.collect();
    ranked.sort_by(|one, other| {
        let by_size = one.small.cmp(&other.small);
        by_size.then(other.weight.total_cmp(&one.weight))
    });
    ranked.into_iter().map(|member| member.name).collect()
}

/// Groups of readers that are tried before each member goes to the store itself.
const READER_GROUPS: usize = 3;

/// Where one member reads what the store holds. All members with the same view choose the same readers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderPlan {
    /// The member.
    pub own_name: String,
    /// The readers that ask the store, and after them groups of as many members that ask it in their place, each group when the one before
    /// it is out of touch with the store. Within a group, the order in which this member asks.
    pub groups: Vec<Vec<String>>,
    /// On a large site: readers that ask the first group and are asked by all others, in the order in which this member asks them.
    pub relays: Vec<String>,
}

impl ReaderPlan {
    /// The plan of a member.
    #[must_use]
    pub fn new(own_name: &str, members: &[MemberCapacity]) -> Self {
        let needed = members.len().div_ceil(MEMBERS_PER_READER).max(READERS_MIN);
        let ranked = ranked("readers", members);
        let at_store = if needed > STORE_READERS_MAX {
            STORE_READERS
        } else {
            needed
        };
        let groups = ranked.chunks(at_store).take(READER_GROUPS);
        let relays = ranked.iter().skip(at_store).take(needed);
        let relays: Vec<&str> = relays.copied().collect();
        Self {
            own_name: own_name.to_owned(),
            groups: groups.map(|group| own_order(own_name, group)).collect(),
            relays: if needed > STORE_READERS_MAX {
                own_order(own_name, &relays)
            } else {
                Vec::new()
            },
        }
    }

    /// Whether this member asks the store before anyone else.
    #[must_use]
    pub fn reads_store(&self) -> bool {
        self.groups.first().is_some_and(|first| self.is_in(first))
    }

    /// Whether this member reads through relays: on a large site, all but the readers and the relays themselves.
    #[must_use]
    pub fn reads_through_relays(&self) -> bool {
        !self.relays.is_empty() && !self.reads_store() && !self.is_in(&self.relays)
    }

    /// Whether this member is in a group.
    #[must_use]
    pub fn is_in(&self, group: &[String]) -> bool {
        group.contains(&self.own_name)
    }
}

/// Readers in the order in which a member asks them: each member has its own, so that they share the work.
fn own_order(own_name: &str, readers: &[&str]) -> Vec<String> {
    let weighed = readers.iter();
    let mut weighed: Vec<(u64, &str)> = weighed
        .map(|name| (rendezvous_weight(own_name, name), *name))
        .collect();
    weighed.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighed
        .into_iter()
        .map(|(_, name)| name.to_owned())
        .collect()
}
