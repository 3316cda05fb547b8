//! Regions: which of them may serve a request.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The regions in which a request may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions(Option<BTreeSet<String>>);

impl AllowedRegions {
    /// Allows only these regions.
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Returns whether the regions are restricted at all.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether a region may serve the request.
    #[must_use]
    pub fn contains(&self, region: &str) -> bool {
        self.0
            .as_ref()
            .is_none_or(|regions| regions.contains(region))
    }

    /// Returns the regions that both allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(one), Some(other)) => Self(Some(one.intersection(other).cloned().collect())),
            (restricted, None) | (None, restricted) => Self(restricted.clone()),
        }
    }

    /// Returns the names of the allowed regions, or `None` if all are allowed.
    #[must_use]
    pub fn names(&self) -> Option<&BTreeSet<String>> {
        self.0.as_ref()
    }
}

/// The region of each hall.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HallRegions {
    regions: BTreeMap<String, String>,
}

impl HallRegions {
    /// Creates the table from the regions by hall.
    #[must_use]
    pub fn new(regions: BTreeMap<String, String>) -> Self {
        Self { regions }
    }

    /// Returns the region of a hall; an empty name, which no restriction contains, if it is not
    /// known.
    #[must_use]
    pub fn region_of(&self, hall: &str) -> &str {
        self.regions.get(hall).map_or("", String::as_str)
    }
}
