//! Counts the requests that all gateway instances together sent to endpoints with an announced rate
//! limit, per endpoint and second, from the logs of the instances.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use super::logs::LogLine;

/// Maximum number of rows kept in memory. A row takes a few hundred bytes plus the name of each
/// instance.
const ROWS_MAX: usize = 20_000;
const MILLIS_PER_S: u64 = 1_000;

/// Requests sent to one endpoint in one second.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitUsageRow {
    /// The endpoint, as one incarnation: a restarted endpoint gets separate rows.
    pub endpoint: String,
    /// The second, as Unix time by the clocks of the instances.
    pub at_s: u64,
    /// Lowest limit that an instance knew of, in requests per second.
    pub limit_per_s: f64,
    /// Number of requests sent.
    pub sent: u32,
    /// Names of the logs that contain these requests.
    pub instances: BTreeSet<String>,
}

/// Requests sent to rate-limited endpoints, aggregated over any number of logs.
#[derive(Debug, Default)]
pub struct LimitUsage {
    /// Rows by endpoint and second.
    rows: BTreeMap<(String, u64), LimitUsageRow>,
    uncounted_lines: u64,
}

impl LimitUsage {
    /// Counts a line of the log named `source_name`. Lines of other kinds are ignored.
    pub fn record_line(&mut self, source_name: &str, line: &LogLine) {
        if line.payload != "sent to limited endpoint" {
            return;
        }
        let limit_per_s = line.fields.get("limit_per_s");
        let limit_per_s = limit_per_s.and_then(|text| text.parse().ok());
        let (Some(endpoint), Some(limit_per_s)) = (line.fields.get("endpoint"), limit_per_s) else {
            return;
        };
        let at_s = line.timestamp_ms / MILLIS_PER_S;
        let key = (endpoint.clone(), at_s);
        if self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&key) {
            self.uncounted_lines += 1;
            return;
        }
        let row = self.rows.entry(key).or_insert_with(|| LimitUsageRow {
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

    /// Returns all rows, or those of one endpoint, ordered by endpoint and second.
    #[must_use]
    pub fn rows_for(&self, endpoint: Option<&str>) -> Vec<&LimitUsageRow> {
        let rows = self.rows.values();
        rows.filter(|row| endpoint.is_none_or(|endpoint| row.endpoint == endpoint))
            .collect()
    }

    /// Returns the number of lines that were not counted because the maximum number of rows was
    /// reached.
    #[must_use]
    pub fn uncounted_lines(&self) -> u64 {
        self.uncounted_lines
    }
}

impl fmt::Display for LimitUsageRow {
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
