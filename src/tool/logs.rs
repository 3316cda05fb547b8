//! Reads the log lines of instances that serve routes: how requests ended and why, and one request's life.
//!
//! Memory is bounded whatever the length of the logs: rows, open generations and lines of one request each have a limit, and what goes
//! beyond it is counted.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::io::BufRead;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Rows of a summary; more kinds of ends than any site has shown. Each takes some 20 KB.
const ROWS_MAX: usize = 500;
/// Generations that have begun and not ended; far above what a site of 2,300 instances runs at once on one instance.
const OPEN_MAX: usize = 200_000;
/// Lines of one request.
const LIFE_LINES_MAX: usize = 10_000;
/// Longest time that is told apart from longer ones.
const TOOK_MAX_MS: u64 = 3_600_000;

/// A line that is no log line.
#[derive(Debug, thiserror::Error)]
#[error("{source_name} line {number}: {why}; pass --skip-damaged to leave such lines out")]
pub struct DamagedLine {
    source_name: String,
    number: u64,
    why: String,
}

/// A line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogLine {
    /// Time of day at the instance.
    #[serde(rename = "timestamp")]
    pub at_ms: u64,
    /// Severity.
    pub level: String,
    /// Kind of the line.
    pub payload: String,
    /// What the line tells, as text.
    #[serde(default, rename = "kv")]
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads lines one by one; `take` gets each.
///
/// Gives the number of damaged lines left out.
///
/// # Errors
/// The source cannot be read, or a line is damaged and `skips_damaged` is not set.
pub fn read_lines(
    source_name: &str,
    source: impl BufRead,
    skips_damaged: bool,
    mut take: impl FnMut(LogLine),
) -> anyhow::Result<u64> {
    let mut damaged = 0;
    for (number, line) in (1..).zip(source.lines()) {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(&line) {
            Ok(line) => take(line),
            Err(_) if skips_damaged => damaged += 1,
            Err(error) => {
                return Err(DamagedLine {
                    source_name: source_name.to_owned(),
                    number,
                    why: error.to_string(),
                }
                .into());
            }
        }
    }
    Ok(damaged)
}

/// Which requests a row counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Ending {
    /// Name of the route; empty for requests that were refused before they had one.
    pub route: String,
    /// How they ended.
    pub outcome: String,
    /// Why, with names and numbers left out.
    pub cause: String,
}

/// How long the requests of a row took.
struct Row {
    took_ms: Histogram<u64>,
}

/// How requests ended, from any number of logs.
#[derive(Default)]
pub struct Summary {
    rows: BTreeMap<Ending, Row>,
    /// Ends that would have been one row too many.
    rows_left_out: u64,
    /// Generations that were placed and have not ended, with nothing more known of them.
    open: HashSet<String>,
    /// Lines that instances left out themselves.
    lines_left_out: u64,
}

/// A row of a summary as it is printed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SummaryRow {
    /// Which requests.
    #[serde(flatten)]
    pub ending: Ending,
    /// How many.
    pub requests: u64,
    /// Half of them took no longer.
    pub median_ms: u64,
    /// 99 in 100 took no longer.
    pub p99_ms: u64,
}

impl Summary {
    /// Takes a line into account.
    pub fn take(&mut self, line: &LogLine) {
        match line.payload.as_str() {
            "call ended" => self.ended(line, line.field("outcome"), line.field("last_reason")),
            "generation ended" => {
                self.open.remove(line.field("request_id"));
                self.ended(line, line.field("outcome"), line.field("why"));
            }
            "call refused" => self.ended(line, line.field("kind"), line.field("why")),
            "generation placed" if self.open.len() < OPEN_MAX => {
                self.open.insert(line.field("request_id").to_owned());
            }
            "log lines left out" => {
                self.lines_left_out += line.field("left_out").parse().unwrap_or(1);
            }
            _ => {}
        }
    }

    fn ended(&mut self, line: &LogLine, outcome: &str, why: &str) {
        let ending = Ending {
            route: line.field("route").to_owned(),
            outcome: outcome.to_owned(),
            cause: cause(why),
        };
        if self.rows.len() >= ROWS_MAX && !self.rows.contains_key(&ending) {
            self.rows_left_out += 1;
            return;
        }
        let row = self.rows.entry(ending).or_insert_with(Row::new);
        let took_ms = line.field("took_ms").parse().unwrap_or_default();
        row.took_ms.saturating_record(took_ms);
    }

    /// The rows, those with most requests first.
    #[must_use]
    pub fn rows(&self) -> Vec<SummaryRow> {
        let rows = self.rows.iter().map(|(ending, row)| SummaryRow {
            ending: ending.clone(),
            requests: row.took_ms.len(),
            median_ms: row.took_ms.value_at_quantile(0.5),
            p99_ms: row.took_ms.value_at_quantile(0.99),
        });
        let mut rows: Vec<SummaryRow> = rows.collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.requests));
        rows
    }

    /// Generations that were placed and have no end in the logs: they run still, or their instance died with them.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }
}

impl Row {
    fn new() -> Self {
        let took_ms = Histogram::new_with_bounds(1, TOOK_MAX_MS, 2);
        Self {
            took_ms: took_ms.expect("the bounds are constants that fit"),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "requests  median ms  99 % ms  route  outcome: cause")?;
        for row in self.rows() {
            let Ending {
                route,
                outcome,
                cause,
            } = &row.ending;
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
        writeln!(out, "{:>8}  generations without an end", self.open())?;
        if self.lines_left_out > 0 {
            let lines = self.lines_left_out;
            writeln!(
                out,
                "{lines:>8}  lines left out by the instances: counts are too low"
            )?;
        }
        if self.rows_left_out > 0 {
            let ends = self.rows_left_out;
            writeln!(out, "{ends:>8}  ends of further kinds")?;
        }
        Ok(())
    }
}

/// A reason without what differs from request to request: words with a digit become `#`, but for status codes.
fn cause(why: &str) -> String {
    let words = why.split(' ').map(|word| {
        let plain = word.trim_matches(|sign: char| !sign.is_alphanumeric());
        let is_status = plain.len() == 3 && plain.chars().all(|sign| sign.is_ascii_digit());
        if is_status || !plain.chars().any(|sign| sign.is_ascii_digit()) {
            word.to_owned()
        } else {
            word.replace(plain, "#")
        }
    });
    let words: Vec<String> = words.collect();
    words.join(" ")
}

/// The lines of one request, from any number of logs.
#[derive(Default)]
pub struct Life {
    request_id: String,
    /// Lines, each with the log that it stands in.
    lines: Vec<(String, LogLine)>,
    lines_left_out: u64,
}

impl Life {
    /// The life of a request of which nothing was read yet.
    #[must_use]
    pub fn of(request_id: &str) -> Self {
        Self {
            request_id: request_id.to_owned(),
            ..Self::default()
        }
    }

    /// Takes a line into account.
    pub fn take(&mut self, source_name: &str, line: LogLine) {
        if line.field("request_id") != self.request_id {
            return;
        }
        if self.lines.len() >= LIFE_LINES_MAX {
            self.lines_left_out += 1;
            return;
        }
        self.lines.push((source_name.to_owned(), line));
    }

    /// Whether no line names the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

impl fmt::Display for Life {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines: Vec<_> = self.lines.iter().collect();
        // Lines of one log stay in their order.
        lines.sort_by_key(|(_, line)| line.at_ms);
        let begun_ms = lines.first().map_or(0, |(_, line)| line.at_ms);
        for (source_name, line) in lines {
            let after_ms = line.at_ms.saturating_sub(begun_ms);
            write!(out, "{after_ms:>8} ms  {source_name}  {}", line.payload)?;
            for (name, value) in &line.fields {
                if name != "request_id" && !value.is_empty() {
                    write!(out, "  {name}={value}")?;
                }
            }
            writeln!(out)?;
        }
        if self.lines_left_out > 0 {
            writeln!(out, "{} lines left out", self.lines_left_out)?;
        }
        Ok(())
    }
}
