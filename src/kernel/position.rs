//! A place in the store's log.

use serde::{Deserialize, Serialize};

/// A place in the store's log: the era, then the offset. The store may come back from an older copy and gives offsets out again then, so that offsets of
/// two eras say nothing of each other; compared as a whole, whatever is of a later era is further on.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    // The order of the fields is the order of positions.
    era: u64,
    offset: u64,
}

impl Position {
    /// A place before a record of an era; 0 is the era of a store that tells none.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// How often the store had come back from a copy, as it counts.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Records before it in its era.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.offset
    }

    /// So many records further on.
    #[must_use]
    pub const fn plus(self, records: u64) -> Self {
        Self {
            era: self.era,
            offset: self.offset.saturating_add(records),
        }
    }

    /// Records between an earlier place of the same era and this one; nothing where they cannot be counted.
    #[must_use]
    pub const fn records_since(self, earlier: Self) -> Option<u64> {
        if self.era == earlier.era {
            self.offset.checked_sub(earlier.offset)
        } else {
            None
        }
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.era, self.offset)
    }
}
