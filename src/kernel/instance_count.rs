//! Counts the instances that share a site-wide limit.
//!
//! An instance that counts too few takes too large a share. A member that becomes unreachable may
//! be down, or it may be partitioned off together with callers and endpoints of its own. It
//! therefore stays counted for some time after the last contact, and for far longer if more than a
//! quarter of the counted members are unreachable, because then this instance may be the one that
//! is cut off.
//!
//! When a site is partitioned, at most one part reaches more than three quarters of the members and
//! forgets the others, and the shares that the others still claim add up to less than a quarter.

use std::collections::BTreeMap;
use std::time::Duration;

/// How long an unreachable member stays counted.
pub const UNREACHABLE_COUNTED_FOR: Duration = Duration::from_secs(30);
/// How long an unreachable member stays counted while more than a quarter of the counted members
/// are unreachable.
pub const MOST_UNREACHABLE_COUNTED_FOR: Duration = Duration::from_mins(10);

/// The last known state of a member.
#[derive(Debug, Clone, Copy)]
struct Member {
    /// When it was last reachable; when it was first listed if it never was.
    reachable_at: Duration,
    /// When it was last listed.
    listed_at: Duration,
    /// Whether it counts. A member may stay listed after it no longer counts.
    is_counted: bool,
}

impl Member {
    fn record(&mut self, is_reachable: bool, now: Duration) {
        self.listed_at = now;
        if is_reachable {
            self.reachable_at = now;
            self.is_counted = true;
        }
    }

    fn update_counted(&mut self, reaches_most: bool, now: Duration) {
        let keep_for = if reaches_most {
            UNREACHABLE_COUNTED_FOR
        } else {
            MOST_UNREACHABLE_COUNTED_FOR
        };
        self.is_counted &= now.saturating_sub(self.reachable_at) < keep_for;
    }
}

/// Counts the other members that share the limits of a site.
#[derive(Debug, Default)]
pub struct InstanceCounter {
    /// By name, so a restarted member is the same one.
    members: BTreeMap<String, Member>,
}

impl InstanceCounter {
    /// Updates the counts from the members that are listed now, and whether each is reachable.
    pub fn observe<'a>(&mut self, members: impl Iterator<Item = (&'a str, bool)>, now: Duration) {
        let mut reachable = 0;
        for (name, is_reachable) in members {
            reachable += usize::from(is_reachable);
            if let Some(known) = self.members.get_mut(name) {
                known.record(is_reachable, now);
                continue;
            }
            let member = Member {
                reachable_at: now,
                listed_at: now,
                is_counted: true,
            };
            self.members.insert(name.to_owned(), member);
        }
        let reaches_most = (1 + reachable) * 4 > self.count() * 3;
        for member in self.members.values_mut() {
            member.update_counted(reaches_most, now);
        }
        self.members
            .retain(|_, member| member.is_counted || member.listed_at == now);
    }

    /// Returns the number of instances that share the limits, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        let counted = self.members.values().filter(|member| member.is_counted);
        1 + counted.count()
    }
}
