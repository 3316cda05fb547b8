//! What endpoints that name a limit got from all instances together, second by second: from the logs of instances that serve routes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use super::logs::LogLine;

/// Rows that are kept; each takes some hundred bytes and a name for each instance.
const ROWS_MAX: usize = 20_000;
const MILLIS_PER_S: u64 = 1_000;

/// What one endpoint got in one second.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitRow {
    /// The start of the endpoint.
    pub endpoint: String,
    /// The second, since 1970, by the instances' time of day.
    pub at_s: u64,
    /// Lowest limit that an instance knew, in requests a second.
    pub limit_per_s: f64,
    /// Requests that left for it.
    pub sent: u32,
    /// Logs that tell of them.
    pub instances: BTreeSet<String>,
}

/// What limited endpoints got, from any number of logs.
#[derive(Debug, Default)]
pub struct LimitedSends {
    /// By endpoint and second.
    rows: BTreeMap<(String, u64), LimitRow>,
    left_out: u64,
}

impl LimitedSends {
    /// Takes a line of one instance's log into account.
    pub fn take(&mut self, source_name: &str, line: &LogLine) {
        if line.payload != "sent to limited endpoint" {
            return;
        }
        let limit_per_s = line.fields.get("limit_per_s");
        let limit_per_s = limit_per_s.and_then(|text| text.parse().ok());
        let (Some(endpoint), Some(limit_per_s)) = (line.fields.get("endpoint"), limit_per_s) else {
            return;
        };
        let at_s = line.at_ms / MILLIS_PER_S;
        let key = (endpoint.clone(), at_s);
        if self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&key) {
            self.left_out += 1;
            return;
        }
        let row = self.rows.entry(key).or_insert_with(|| LimitRow {
            endpoint: endpoint.clone(),
            at_s,
            limit_per_s,
            sent: 0,
            instances: BTreeSet::new(),
        });
        row.limit_per_s = row.limit_per_s.min(limit_per_s);
        row.sent += 1;
        row.instances.insert(source_name.to_owned());
    }

    /// All rows, or those of one endpoint, by endpoint and second.
    #[must_use]
    pub fn of(&self, name: Option<&str>) -> Vec<&LimitRow> {
        let rows = self.rows.values();
        rows.filter(|row| name.is_none_or(|name| row.endpoint == name))
            .collect()
    }

    /// Lines beyond the limit, which are not counted.
    #[must_use]
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

impl fmt::Display for LimitRow {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{}  {}  limit {}/s, sent {}, {} instances",
            self.at_s,
            self.endpoint,
            self.limit_per_s,
            self.sent,
            self.instances.len(),
        )
    }
}
