//! Position in the store's log.

use serde::{Deserialize, Serialize};

/// A position in the store's log: era and offset. After the store was restored from an older
/// copy it assigns offsets again, so offsets of different eras are not comparable; among positions,
/// a later era is always greater.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    // The derived order relies on the order of these fields.
    era: u64,
    offset: u64,
}

impl Position {
    /// Returns the position before a record of an era. Era 0 is that of a store that reports none.
    #[must_use]
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the number of times the store had been restored from a copy, according to the store.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the number of records before this position in its era.
    #[must_use]
    pub const fn offset(self) -> u64 {
        self.offset
    }

    /// Returns the position that is this number of records further on.
    #[must_use]
    pub const fn plus(self, records: u64) -> Self {
        Self {
            era: self.era,
            offset: self.offset.saturating_add(records),
        }
    }

    /// Returns the number of records between an earlier position of the same era and this one, or
    /// `None` if they cannot be counted.
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
