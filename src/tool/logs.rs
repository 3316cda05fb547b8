//! Reads the logs of gateway instances: a summary of request outcomes and their causes, and the
//! timeline of a single request.
//!
//! Memory use is bounded regardless of the size of the logs: summary rows, open generations and the
//! lines of one request each have a maximum. Rows and lines beyond their maximum are counted.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::io::BufRead;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Maximum number of summary rows: more distinct outcomes than any site has shown. Each row takes
/// about 20 KB.
const ROWS_MAX: usize = 500;
/// Maximum number of tracked generations that have started and not ended: far above what one
/// instance of a site with 2,300 instances runs at once.
const OPEN_GENERATIONS_MAX: usize = 200_000;
/// Maximum number of lines kept for one request.
const TIMELINE_LINES_MAX: usize = 10_000;
/// Longest duration that the histograms distinguish; longer ones are counted as this value.
const DURATION_MAX_MS: u64 = 3_600_000;

/// A line that is not a valid log line.
#[derive(Debug, thiserror::Error)]
#[error("{source_name} line {number}: {reason}; pass --skip-damaged to skip such lines")]
pub struct MalformedLine {
    source_name: String,
    number: u64,
    reason: String,
}

/// A line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// Unix time in milliseconds by the clock of the instance.
    #[serde(rename = "timestamp")]
    pub timestamp_ms: u64,
    /// Severity, such as `info`.
    pub level: String,
    /// Text of the line. It is constant per kind of line, so that lines can be matched by it.
    pub payload: String,
    /// Structured fields of the line, with their values as text.
    #[serde(default, rename = "kv")]
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Returns the value of a field, or an empty string if the line does not have it.
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Parses the log lines of a source one by one and calls `on_line` with each. Blank lines are
/// ignored.
///
/// Returns the number of malformed lines that were skipped.
///
/// # Errors
/// Fails if the source cannot be read, or if a line is malformed and `skip_malformed` is not set.
pub fn read_lines(
    source_name: &str,
    source: impl BufRead,
    skip_malformed: bool,
    mut on_line: impl FnMut(LogLine),
) -> anyhow::Result<u64> {
    let mut malformed_count = 0;
    for (number, line) in (1..).zip(source.lines()) {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(&line) {
            Ok(line) => on_line(line),
            Err(_) if skip_malformed => malformed_count += 1,
            Err(error) => {
                return Err(MalformedLine {
                    source_name: source_name.to_owned(),
                    number,
                    reason: error.to_string(),
                }
                .into());
            }
        }
    }
    Ok(malformed_count)
}

/// The properties by which a summary groups requests into rows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct OutcomeKey {
    /// Name of the route; empty for requests that were rejected before a route was found.
    pub route: String,
    /// Outcome, as logged.
    pub outcome: String,
    /// Cause, with request-specific names and numbers replaced; see `normalize_cause`.
    pub cause: String,
}

/// Durations of the requests of one row.
struct RowDurations {
    durations_ms: Histogram<u64>,
}

/// Request outcomes, aggregated over any number of logs.
#[derive(Default)]
pub struct Summary {
    rows: BTreeMap<OutcomeKey, RowDurations>,
    /// Requests that were not counted because their row would have exceeded [`ROWS_MAX`].
    uncounted_requests: u64,
    /// Ids of generations that were placed and have not ended.
    open_generations: HashSet<String>,
    /// Generations that were placed while [`OPEN_GENERATIONS_MAX`] others were open.
    unfollowed_generations: u64,
    /// Lines that the instances themselves dropped and reported as dropped.
    dropped_lines: u64,
}

/// A printable row of a summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SummaryRow {
    /// Properties that the requests of the row share.
    #[serde(flatten)]
    pub key: OutcomeKey,
    /// Number of requests.
    pub requests: u64,
    /// Median duration.
    pub median_ms: u64,
    /// 99th percentile of the duration.
    pub p99_ms: u64,
}

impl Summary {
    /// Counts a line. Lines of other kinds are ignored.
    pub fn record_line(&mut self, line: &LogLine) {
        match line.payload.as_str() {
            "call ended" => {
                self.add_outcome(line, line.field("outcome"), line.field("last_reason"));
            }
            "generation ended" => {
                self.open_generations.remove(line.field("request_id"));
                self.add_outcome(line, line.field("outcome"), line.field("why"));
            }
            "call refused" => self.add_outcome(line, line.field("kind"), line.field("why")),
            "generation placed" => self.open_generation(line.field("request_id")),
            "log lines left out" => {
                self.dropped_lines += line.field("left_out").parse().unwrap_or(1);
            }
            _ => {}
        }
    }

    fn open_generation(&mut self, request_id: &str) {
        if self.open_generations.contains(request_id) {
            return;
        }
        if self.open_generations.len() >= OPEN_GENERATIONS_MAX {
            self.unfollowed_generations += 1;
            return;
        }
        self.open_generations.insert(request_id.to_owned());
    }

    fn add_outcome(&mut self, line: &LogLine, outcome: &str, reason: &str) {
        let key = OutcomeKey {
            route: line.field("route").to_owned(),
            outcome: outcome.to_owned(),
            cause: normalize_cause(reason),
        };
        if self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&key) {
            self.uncounted_requests += 1;
            return;
        }
        let row = self.rows.entry(key).or_insert_with(RowDurations::new);
        let duration_ms = line.field("took_ms").parse().unwrap_or_default();
        row.durations_ms.saturating_record(duration_ms);
    }

    /// Returns the rows, ordered by number of requests, largest first.
    #[must_use]
    pub fn rows(&self) -> Vec<SummaryRow> {
        let rows = self.rows.iter().map(|(key, row)| SummaryRow {
            key: key.clone(),
            requests: row.durations_ms.len(),
            median_ms: row.durations_ms.value_at_quantile(0.5),
            p99_ms: row.durations_ms.value_at_quantile(0.99),
        });
        let mut rows: Vec<SummaryRow> = rows.collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.requests));
        rows
    }

    /// Returns the number of generations that were placed and have no end in the logs: they are
    /// still running, or the instance crashed before it logged their end.
    #[must_use]
    pub fn open_generations(&self) -> usize {
        self.open_generations.len()
    }
}

impl RowDurations {
    fn new() -> Self {
        let durations_ms = Histogram::new_with_bounds(1, DURATION_MAX_MS, 2);
        Self {
            durations_ms: durations_ms.expect("constant histogram bounds are valid"),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "requests  median ms  99 % ms  route  outcome: cause")?;
        for row in self.rows() {
            let OutcomeKey {
                route,
                outcome,
                cause,
            } = &row.key;
            let route = if route.is_empty() { "-" } else { route };
            let (requests, median_ms, p99_ms) = (row.requests, row.median_ms, row.p99_ms);
            write!(
                out,
                "{requests:>8}  {median_ms:>9}  {p99_ms:>7}  {route}  {outcome}"
            )?;
            if !cause.is_empty() {
                write!(out, ": {cause}")?;
            }
            writeln!(out)?;
        }
        writeln!(
            out,
            "{:>8}  generations without an end",
            self.open_generations()
        )?;
        if self.unfollowed_generations > 0 {
            let generations = self.unfollowed_generations;
            writeln!(
                out,
                "{generations:>8}  further generations not followed to their end"
            )?;
        }
        if self.dropped_lines > 0 {
            let lines = self.dropped_lines;
            writeln!(
                out,
                "{lines:>8}  lines left out by the instances: counts are too low"
            )?;
        }
        if self.uncounted_requests > 0 {
            let requests = self.uncounted_requests;
            writeln!(out, "{requests:>8}  ends of further kinds")?;
        }
        Ok(())
    }
}

/// Normalizes a reason so that requests with the same cause are counted together: words that
/// contain a digit, such as addresses, become `#`. Three-digit numbers are kept, since they are
/// status codes.
fn normalize_cause(reason: &str) -> String {
    let words = reason.split(' ').map(|word| {
        let trimmed = word.trim_matches(|symbol: char| !symbol.is_alphanumeric());
        let is_status = trimmed.len() == 3 && trimmed.chars().all(|symbol| symbol.is_ascii_digit());
        if is_status || !trimmed.chars().any(|symbol| symbol.is_ascii_digit()) {
            word.to_owned()
        } else {
            word.replace(trimmed, "#")
        }
    });
    let words: Vec<String> = words.collect();
    words.join(" ")
}

/// The log lines of one request, collected from any number of logs.
#[derive(Default)]
pub struct RequestTimeline {
    request_id: String,
    /// Lines with the name of the log that contains them.
    lines: Vec<(String, LogLine)>,
    omitted_lines: u64,
}

impl RequestTimeline {
    /// Creates an empty timeline for the request with this id.
    #[must_use]
    pub fn new(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a line of the log named `source_name`. Lines of other requests are ignored.
    pub fn record_line(&mut self, source_name: &str, line: LogLine) {
        if line.field("request_id") != self.request_id {
            return;
        }
        if self.lines.len() >= TIMELINE_LINES_MAX {
            self.omitted_lines += 1;
            return;
        }
        self.lines.push((source_name.to_owned(), line));
    }

    /// Returns true if no line of the request was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines: Vec<_> = self.lines.iter().collect();
        // The sort is stable, so lines of one log keep their order.
        lines.sort_by_key(|(_, line)| line.timestamp_ms);
        let start_ms = lines.first().map_or(0, |(_, line)| line.timestamp_ms);
        for (source_name, line) in lines {
            let elapsed_ms = line.timestamp_ms.saturating_sub(start_ms);
            write!(out, "{elapsed_ms:>8} ms  {source_name}  {}", line.payload)?;
            for (name, value) in &line.fields {
                if name != "request_id" && !value.is_empty() {
                    write!(out, "  {name}={value}")?;
                }
            }
            writeln!(out)?;
        }
        if self.omitted_lines > 0 {
            writeln!(out, "{} lines left out", self.omitted_lines)?;
        }
        Ok(())
    }
}
