//! Which members take on more than their own calls: reading the store for all, and owning a service's engines. All members with the
//! same view choose the same ones, the larger ones more often.

use super::membership::{rendezvous_weight, weighted_rendezvous};

/// Members for which one reader reads. A reader answers each of them about twice a second.
const MEMBERS_PER_READER: usize = 24;
/// Fewest readers: one may be cut off from the store.
const READERS_MIN: usize = 2;
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

/// The members in the order in which a role falls to them.
fn ranked<'a>(role: &str, members: &[MemberCapacity<'a>]) -> Vec<&'a str> {
    let largest = members.iter().map(|(_, capacity)| *capacity);
    let largest = largest.fold(0.0, f64::max);
    let mut ranked = members.to_vec();
    ranked.sort_by(|one, other| {
        let small = |member: &MemberCapacity| member.1 < CAPACITY_SHARE_MIN * largest;
        let weight = |member: &MemberCapacity| weighted_rendezvous(role, member.0, member.1);
        let by_size = small(one).cmp(&small(other));
        by_size.then(weight(other).total_cmp(&weight(one)))
    });
    ranked.into_iter().map(|(name, _)| name).collect()
}

/// The readers of the store, in the order in which a member asks them: each member has its own, so that they share the work.
#[must_use]
pub fn readers_for<'a>(member: &str, members: &[MemberCapacity<'a>]) -> Vec<&'a str> {
    let mut groups = reader_groups(member, members, 1);
    groups.pop().unwrap_or_default()
}

/// The readers of the store, and after them groups of as many members that read in their place, each group when the one before it is out of
/// touch with the store. Within a group, the order in which a member asks.
#[must_use]
pub fn reader_groups<'a>(
    member: &str,
    members: &[MemberCapacity<'a>],
    groups: usize,
) -> Vec<Vec<&'a str>> {
    let count = members.len().div_ceil(MEMBERS_PER_READER).max(READERS_MIN);
    let ranked = ranked("readers", members);
    let groups = ranked.chunks(count).take(groups).map(|group| {
        let mut group = group.to_vec();
        group.sort_by_key(|name| std::cmp::Reverse(rendezvous_weight(member, name)));
        group
    });
    groups.collect()
}

/// The owner of a service's engines.
#[must_use]
pub fn owner<'a>(service: &str, members: &[MemberCapacity<'a>]) -> Option<&'a str> {
    ranked(service, members).into_iter().next()
}
