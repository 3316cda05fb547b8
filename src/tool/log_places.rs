//! When endpoints and halls stopped taking work and took it again, why, and at which instances: from the logs of instances that serve routes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use super::logs::LogLine;

/// Changes that are kept; each takes some hundred bytes and a name for each instance.
const CHANGES_MAX: usize = 10_000;

/// One change of an endpoint or a hall, as all instances tell of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The endpoint or hall.
    pub name: String,
    /// What changed, as the log line names it.
    pub what: String,
    /// When the first instance told of it, by that instance's time of day.
    pub first_ms: u64,
    /// The log of that instance.
    pub first_at: String,
    /// When the last one did.
    pub last_ms: u64,
    /// The log of that instance.
    pub last_at: String,
    /// Logs that tell of it.
    pub instances: BTreeSet<String>,
}

/// Changes of endpoints and halls, from any number of logs.
#[derive(Debug, Default)]
pub struct PlaceChanges {
    /// By name and kind, in the order in which they are told.
    changes: BTreeMap<(String, String), Vec<Change>>,
    count: usize,
    left_out: u64,
}

/// The field of a line that names the endpoint or hall that it tells of; nothing where it tells of neither.
fn named_by(payload: &str) -> Option<&'static str> {
    match payload {
        "endpoint joined" | "endpoint leaving" | "engine told that it leaves" => Some("endpoint"),
        "hall evacuated" | "hall taken back" => Some("hall"),
        "entry not read; its endpoint is not used" => Some("key"),
        _ => None,
    }
}

impl PlaceChanges {
    /// Takes a line of one instance's log into account. A log that tells the same once more tells of a further change.
    pub fn take(&mut self, source_name: &str, line: &LogLine) {
        let name = named_by(&line.payload).and_then(|field| line.fields.get(field));
        let Some(name) = name else { return };
        let key = (name.clone(), line.payload.clone());
        let changes = self.changes.entry(key).or_default();
        let known = changes
            .iter_mut()
            .find(|change| !change.instances.contains(source_name));
        if let Some(change) = known {
            change.told_by(source_name, line.at_ms);
            return;
        }
        if self.count >= CHANGES_MAX {
            self.left_out += 1;
            return;
        }
        self.count += 1;
        changes.push(Change {
            name: name.clone(),
            what: line.payload.clone(),
            first_ms: line.at_ms,
            first_at: source_name.to_owned(),
            last_ms: line.at_ms,
            last_at: source_name.to_owned(),
            instances: BTreeSet::from([source_name.to_owned()]),
        });
    }

    /// All changes, or those of one endpoint or hall, by the time at which the first instance told of them.
    #[must_use]
    pub fn of(&self, name: Option<&str>) -> Vec<&Change> {
        let all = self.changes.values().flatten();
        let mut wanted: Vec<&Change> = all
            .filter(|change| name.is_none_or(|name| change.name == name))
            .collect();
        wanted.sort_by(|one, other| {
            let by_time = one.first_ms.cmp(&other.first_ms);
            by_time.then_with(|| one.name.cmp(&other.name))
        });
        wanted
    }

    /// Changes beyond the limit, which are not kept.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

impl Change {
    fn told_by(&mut self, source_name: &str, at_ms: u64) {
        if at_ms < self.first_ms {
            self.first_ms = at_ms;
            source_name.clone_into(&mut self.first_at);
        }
        if at_ms > self.last_ms {
            self.last_ms = at_ms;
            source_name.clone_into(&mut self.last_at);
        }
        self.instances.insert(source_name.to_owned());
    }
}

impl fmt::Display for Change {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spread_ms = self.last_ms.saturating_sub(self.first_ms);
        write!(
            out,
            "{}  {}  {}: first {}, last {} after {spread_ms} ms, {} instances",
            self.first_ms,
            self.name,
            self.what,
            self.first_at,
            self.last_at,
            self.instances.len(),
        )
    }
}
