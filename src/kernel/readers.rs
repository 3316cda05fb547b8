//! Which members read the store for all, and whom the others ask.

use super::membership::rendezvous_weight;

/// Members for which one reader reads. A reader answers each of them about twice a second.
const MEMBERS_PER_READER: usize = 24;
/// Fewest readers: one may be cut off from the store.
const READERS_MIN: usize = 2;

/// The readers among the members, in the order in which a member asks them: each member has its own, so that they share the work.
#[must_use]
pub fn ranked_for<'a>(member: &str, members: &[&'a str]) -> Vec<&'a str> {
    let count = members.len().div_ceil(MEMBERS_PER_READER).max(READERS_MIN);
    let mut readers: Vec<&str> = members.to_vec();
    readers.sort_by_key(|name| std::cmp::Reverse(rendezvous_weight("readers", name)));
    readers.truncate(count);
    readers.sort_by_key(|name| std::cmp::Reverse(rendezvous_weight(member, name)));
    readers
}
