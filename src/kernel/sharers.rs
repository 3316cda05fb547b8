//! How many instances share what a site allows all of them together.
//!
//! Whoever counts too few takes too much. A member that falls silent may be gone or cut off, with callers and endpoints of its own. So it counts
//! for some time after it was heard last, and for far longer where more than a quarter of those that are counted are silent: the instance may be the one that
//! is cut off. Of the parts into which a site falls, one at most hears more than three quarters and forgets the others, and what these still count as
//! theirs is less than a quarter.

use std::collections::BTreeMap;
use std::time::Duration;

/// A member that is silent counts for this long.
pub const SILENT_COUNTED: Duration = Duration::from_secs(30);
/// It counts for this long where more than a quarter of those that are counted are silent.
pub const MOST_SILENT_COUNTED: Duration = Duration::from_mins(10);

/// A member as it was seen last.
#[derive(Debug, Clone, Copy)]
struct Sharer {
    /// When it lived; when it was first named where it never did.
    seen_at: Duration,
    /// When it was named last.
    named_at: Duration,
    /// Whether it counts. One that does not may go on being named.
    is_counted: bool,
}

impl Sharer {
    fn see(&mut self, lives: bool, now: Duration) {
        self.named_at = now;
        if lives {
            self.seen_at = now;
            self.is_counted = true;
        }
    }

    fn settle(&mut self, hears_most: bool, now: Duration) {
        let counted_for = if hears_most {
            SILENT_COUNTED
        } else {
            MOST_SILENT_COUNTED
        };
        self.is_counted &= now.saturating_sub(self.seen_at) < counted_for;
    }
}

/// The other members that share what a site allows.
#[derive(Debug, Default)]
pub struct Sharers {
    /// By name; one that starts again is the same one.
    members: BTreeMap<String, Sharer>,
}

impl Sharers {
    /// Takes the members that are named now, and whether each lives.
    pub fn look<'a>(&mut self, members: impl Iterator<Item = (&'a str, bool)>, now: Duration) {
        let mut living = 0;
        for (name, lives) in members {
            living += usize::from(lives);
            if let Some(known) = self.members.get_mut(name) {
                known.see(lives, now);
                continue;
            }
            let member = Sharer {
                seen_at: now,
                named_at: now,
                is_counted: true,
            };
            self.members.insert(name.to_owned(), member);
        }
        let hears_most = (1 + living) * 4 > self.count() * 3;
        for member in self.members.values_mut() {
            member.settle(hears_most, now);
        }
        self.members
            .retain(|_, member| member.is_counted || member.named_at == now);
    }

    /// Instances that share, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        let counted = self.members.values().filter(|member| member.is_counted);
        1 + counted.count()
    }
}
