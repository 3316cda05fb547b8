//! Member states (reachable or unreachable), spread from instance to instance as gossip updates.
//!
//! A member that was confirmed unreachable stays so until it refutes this itself. States neither
//! expire nor need renewal: a member stays unreachable even if all instances that detected it are
//! lost, and an unreachable member causes no traffic once all instances know of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of updates in one heartbeat, which keeps heartbeats short when many members are
/// lost at once. 32 updates take 450 bytes.
pub const HEARTBEAT_UPDATES_MAX: usize = 32;
/// Number of times that an instance sends an update, per doubling of the number of members. One
/// heartbeat with its reply already reaches two instances; sending three times as often leaves no
/// instance out (see the `losses_*` tests).
const SENDS_PER_DOUBLING: u32 = 3;

/// State of a member, as spread by gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberState {
    /// [`Incarnation::short_id`](super::membership::Incarnation::short_id) of the member.
    pub member: u64,
    /// Number of times that the member has refuted being unreachable. Of two states, the one with
    /// more refutations wins.
    pub refutations: u32,
    /// Whether the member was confirmed unreachable. With equal refutations, unreachable wins.
    pub unreachable: bool,
}

impl MemberState {
    fn precedence(self) -> (u32, bool) {
        (self.refutations, self.unreachable)
    }
}

#[derive(Debug, Clone, Copy)]
struct Known {
    state: MemberState,
    since: Duration,
}

/// The member states known to one instance.
#[derive(Debug, Clone, Default)]
pub struct MemberStates {
    /// States by member. A missing member is reachable and has refuted nothing.
    known: BTreeMap<u64, Known>,
    /// Number of times that each pending update was sent. Has the same members as `send_queue`.
    send_counts: BTreeMap<u64, u32>,
    /// Pending updates ordered by the number of times sent, fewest first.
    send_queue: BTreeSet<(u32, u64)>,
}

impl MemberStates {
    /// Returns the state of a member.
    #[must_use]
    pub fn get(&self, member: u64) -> MemberState {
        let initial = MemberState {
            member,
            refutations: 0,
            unreachable: false,
        };
        let known = self.known.get(&member);
        known.map_or(initial, |known| known.state)
    }

    /// Returns the time since which a member is known to be unreachable, or `None` if it is
    /// reachable.
    #[must_use]
    pub fn unreachable_since(&self, member: u64) -> Option<Duration> {
        let known = self.known.get(&member)?;
        known.state.unreachable.then_some(known.since)
    }

    /// Returns whether a member was confirmed unreachable.
    #[must_use]
    pub fn is_unreachable(&self, member: u64) -> bool {
        self.get(member).unreachable
    }

    /// Merges a state received from another instance. A newer state is queued for forwarding.
    pub fn merge(&mut self, state: MemberState, now: Duration) {
        let member = state.member;
        if state.precedence() <= self.get(member).precedence() {
            return;
        }
        let since = now;
        self.known.insert(member, Known { state, since });
        self.remove_update(member);
        self.send_counts.insert(member, 0);
        self.send_queue.insert((0, member));
    }

    /// Marks a member as unreachable.
    pub fn mark_unreachable(&mut self, member: u64, now: Duration) {
        let unreachable = MemberState {
            unreachable: true,
            ..self.get(member)
        };
        self.merge(unreachable, now);
    }

    /// Refutes that a member is unreachable. Only the member itself may do so.
    pub fn refute(&mut self, member: u64, now: Duration) {
        let refuted = MemberState {
            member,
            refutations: self.get(member).refutations + 1,
            unreachable: false,
        };
        self.merge(refuted, now);
    }

    /// Returns the updates for one heartbeat at a site with this number of members.
    pub fn next_updates(&mut self, members: usize) -> Vec<MemberState> {
        let doublings = usize::BITS - members.leading_zeros();
        let sends_max = SENDS_PER_DOUBLING * doublings;
        let selected: Vec<(u32, u64)> = self
            .send_queue
            .iter()
            .copied()
            .take(HEARTBEAT_UPDATES_MAX)
            .collect();
        for (sent, member) in &selected {
            self.remove_update(*member);
            if sent + 1 < sends_max {
                self.send_counts.insert(*member, sent + 1);
                self.send_queue.insert((sent + 1, *member));
            }
        }
        let members = selected.into_iter().map(|(_, member)| self.get(member));
        members.collect()
    }

    /// Returns the states of all unreachable members.
    pub fn unreachable(&self) -> impl Iterator<Item = MemberState> {
        let all = self.known.values().map(|known| known.state);
        all.filter(|state| state.unreachable)
    }

    /// Removes a member.
    pub fn remove(&mut self, member: u64) {
        self.known.remove(&member);
        self.remove_update(member);
    }

    /// Removes all unreachable members. An instance that was cut off itself has wrongly marked
    /// others as unreachable.
    pub fn clear_unreachable(&mut self) {
        let unreachable: Vec<u64> = self.unreachable().map(|state| state.member).collect();
        for member in unreachable {
            self.remove(member);
        }
    }

    fn remove_update(&mut self, member: u64) {
        if let Some(sent) = self.send_counts.remove(&member) {
            self.send_queue.remove(&(sent, member));
        }
    }
}
