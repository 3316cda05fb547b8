//! Labels of objects, and selectors that match them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Labels of an object: a map from key to value.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(transparent)]
pub struct Labels(pub BTreeMap<String, String>);

impl Labels {
    /// Returns the value of a label.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    /// Returns a copy with one label added or replaced.
    #[must_use]
    pub fn with_label(&self, key: &str, value: &str) -> Self {
        let mut labels = self.clone();
        labels.0.insert(key.to_owned(), value.to_owned());
        labels
    }
}

/// A condition on labels. All parts must hold; the empty selector matches everything.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct Selector {
    /// Labels that must have exactly the given value.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub equals: BTreeMap<String, String>,
    /// Labels that must have one of the given values.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub any_of: BTreeMap<String, BTreeSet<String>>,
    /// Labels that must not be present.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub absent: BTreeSet<String>,
}

impl Selector {
    /// Returns whether the labels satisfy the condition.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        let equals = self
            .equals
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value));
        let any_of = self
            .any_of
            .iter()
            .all(|(key, values)| labels.get(key).is_some_and(|value| values.contains(value)));
        let absent = self.absent.iter().all(|key| labels.get(key).is_none());
        equals && any_of && absent
    }
}
