//! Finds when endpoints and halls stopped accepting work and resumed, why, and which gateway
//! instances saw it, from the logs of the instances.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use super::logs::LogLine;

/// Maximum number of changes kept in memory. A change takes a few hundred bytes plus the name of
/// each instance.
const CHANGES_MAX: usize = 10_000;

/// One availability change of an endpoint or hall, merged from the logs of all instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AvailabilityChange {
    /// Name of the endpoint or hall, or the key of an endpoint entry that could not be read.
    pub name: String,
    /// What changed: the text of the log line.
    #[serde(rename = "what")]
    pub event: String,
    /// When the first instance logged it, as Unix time in milliseconds by that instance's clock.
    pub first_ms: u64,
    /// Name of that instance's log.
    #[serde(rename = "first_at")]
    pub first_source: String,
    /// When the last instance logged it, in the same unit.
    pub last_ms: u64,
    /// Name of that instance's log.
    #[serde(rename = "last_at")]
    pub last_source: String,
    /// Names of the logs that contain the change.
    pub instances: BTreeSet<String>,
}

/// Availability changes of endpoints and halls, merged from any number of logs.
#[derive(Debug, Default)]
pub struct AvailabilityChanges {
    /// Changes by name and event, in the order in which the logs were read.
    changes: BTreeMap<(String, String), Vec<AvailabilityChange>>,
    count: usize,
    omitted_changes: u64,
}

/// Returns the log field that holds the name of the endpoint or hall, or `None` if log lines with
/// this text report no availability change.
fn name_field(payload: &str) -> Option<&'static str> {
    match payload {
        "endpoint joined" | "endpoint leaving" | "engine told that it leaves" => Some("endpoint"),
        "hall evacuated" | "hall taken back" => Some("hall"),
        "entry not read; its endpoint is not used" => Some("key"),
        _ => None,
    }
}

impl AvailabilityChanges {
    /// Merges a line of the log named `source_name`. The same event may occur several times: a log
    /// that contains it once more reports a further change, not a duplicate.
    pub fn record_line(&mut self, source_name: &str, line: &LogLine) {
        let name = name_field(&line.payload).and_then(|field| line.fields.get(field));
        let Some(name) = name else { return };
        let key = (name.clone(), line.payload.clone());
        let changes = self.changes.entry(key).or_default();
        let unmatched = changes
            .iter_mut()
            .find(|change| !change.instances.contains(source_name));
        if let Some(change) = unmatched {
            change.add_report(source_name, line.timestamp_ms);
            return;
        }
        if self.count >= CHANGES_MAX {
            self.omitted_changes += 1;
            return;
        }
        self.count += 1;
        changes.push(AvailabilityChange {
            name: name.clone(),
            event: line.payload.clone(),
            first_ms: line.timestamp_ms,
            first_source: source_name.to_owned(),
            last_ms: line.timestamp_ms,
            last_source: source_name.to_owned(),
            instances: BTreeSet::from([source_name.to_owned()]),
        });
    }

    /// Returns all changes, or those of one endpoint or hall, ordered by the time at which the
    /// first instance logged them.
    #[must_use]
    pub fn changes_of(&self, name: Option<&str>) -> Vec<&AvailabilityChange> {
        let all = self.changes.values().flatten();
        let mut selected: Vec<&AvailabilityChange> = all
            .filter(|change| name.is_none_or(|name| change.name == name))
            .collect();
        selected.sort_by(|one, other| {
            let by_time = one.first_ms.cmp(&other.first_ms);
            by_time.then_with(|| one.name.cmp(&other.name))
        });
        selected
    }

    /// Returns the number of changes that were not kept because the maximum was reached.
    #[must_use]
    pub fn omitted_changes(&self) -> u64 {
        self.omitted_changes
    }
}

impl AvailabilityChange {
    fn add_report(&mut self, source_name: &str, timestamp_ms: u64) {
        if timestamp_ms < self.first_ms {
            self.first_ms = timestamp_ms;
            source_name.clone_into(&mut self.first_source);
        }
        if timestamp_ms > self.last_ms {
            self.last_ms = timestamp_ms;
            source_name.clone_into(&mut self.last_source);
        }
        self.instances.insert(source_name.to_owned());
    }
}

impl fmt::Display for AvailabilityChange {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spread_ms = self.last_ms.saturating_sub(self.first_ms);
        write!(
            out,
            "{}  {}  {}: first {}, last {} after {spread_ms} ms, {} instances",
            self.first_ms,
            self.name,
            self.event,
            self.first_source,
            self.last_source,
            self.instances.len(),
        )
    }
}
