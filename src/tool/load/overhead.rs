//! What larkwick adds: the same engine driven directly and through an entry, turn by turn in one run.

use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::Instant;

use super::arrivals::{ArrivalPlan, Mix};
use super::stream::{StreamEnd, StreamMeasured, Target, drive};
use crate::endpoint::no_retry_client;

const TURNS: u32 = 6;

/// What to drive.
#[derive(Debug, Clone)]
pub struct OverheadOptions {
    /// The engine.
    pub engine: String,
    /// The entry.
    pub entry: String,
    /// Operators' address of the entry, for its memory.
    pub operator: String,
    /// Bearer key.
    pub key: String,
    /// Streams open at once.
    pub streams: usize,
    /// Tokens of each stream.
    pub tokens: u32,
}

/// Times of one way, in microseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct WayTimes {
    /// Time to the first token, median.
    pub first_token_p50_us: u64,
    /// Time to the first token, 99 in 100.
    pub first_token_p99_us: u64,
    /// Between tokens, median.
    pub gap_p50_us: u64,
    /// Between tokens, 99 in 100.
    pub gap_p99_us: u64,
    /// Streams that were refused.
    pub refused: usize,
    /// Streams that began and did not end whole.
    pub failed: usize,
}

/// The comparison.
#[derive(Debug, Clone, Serialize)]
pub struct Overhead {
    /// Streams open at once.
    pub streams: usize,
    /// Tokens of each stream.
    pub tokens: u32,
    /// Directly.
    pub direct: WayTimes,
    /// Through the entry.
    pub through: WayTimes,
    /// Memory of the entry with the streams open, in bytes.
    pub memory_open_bytes: u64,
}

/// Runs the comparison.
///
/// # Errors
/// Engine or entry cannot be reached.
pub async fn run(options: &OverheadOptions) -> anyhow::Result<Overhead> {
    let load = super::super::instance::get(&options.engine, "/v1/load").await?;
    let version = load["models"][0]["version"]
        .as_str()
        .unwrap_or("1")
        .to_owned();
    let direct = Target::Engine {
        address: options.engine.clone(),
        version,
    };
    let through = Target::Entry {
        address: options.entry.clone(),
        keys: vec![options.key.clone()],
    };
    let mut measured: [Vec<StreamMeasured>; 2] = [Vec::new(), Vec::new()];
    let mut memory_open_bytes = 0;
    for turn in 0..TURNS {
        // Which way goes first changes from turn to turn.
        for way in [turn % 2, 1 - turn % 2] {
            let target = if way == 0 { &direct } else { &through };
            let streams = tokio::spawn(open_streams(options.clone(), target.clone()));
            if way == 1 {
                tokio::time::sleep(Duration::from_millis(u64::from(options.tokens))).await;
                memory_open_bytes = memory_open_bytes.max(memory_of(&options.operator).await?);
            }
            measured[way as usize].extend(streams.await.context("streams")?);
        }
    }
    let [direct, through] = measured;
    Ok(Overhead {
        streams: options.streams,
        tokens: options.tokens,
        direct: way_times(&direct)?,
        through: way_times(&through)?,
        memory_open_bytes,
    })
}

async fn memory_of(operator: &str) -> anyhow::Result<u64> {
    let state = super::super::instance::get(operator, "/debug/state").await?;
    let bytes = state["memory_resident_bytes"].as_u64();
    bytes.context("the dump names no memory")
}

async fn open_streams(options: OverheadOptions, target: Target) -> Vec<StreamMeasured> {
    let Ok(client) = no_retry_client(Duration::from_secs(1)) else {
        return Vec::new();
    };
    let start = Instant::now();
    let streams = (0..options.streams).map(|index| {
        let arrival = ArrivalPlan {
            at: Duration::ZERO,
            account: 0,
            prompt_tokens: 20,
            length_tokens: options.tokens,
            seed: index as u64,
        };
        let (client, target) = (client.clone(), target.clone());
        // Spread over a step or two, so that the starts do not queue behind each other.
        let offset = Duration::from_micros(200 * index as u64);
        async move {
            tokio::time::sleep(offset).await;
            drive(client, target, arrival, Mix::General, start).await
        }
    });
    let running: Vec<_> = streams.map(tokio::spawn).collect();
    let ended = futures::future::join_all(running).await;
    ended.into_iter().filter_map(Result::ok).collect()
}

fn way_times(streams: &[StreamMeasured]) -> anyhow::Result<WayTimes> {
    let count = |end| streams.iter().filter(|one| one.end == end).count();
    let mut first: Histogram<u64> = Histogram::new(3)?;
    let mut gaps: Histogram<u64> = Histogram::new(3)?;
    for stream in streams {
        if let Some(time) = stream.first_token {
            first.record(micros(time))?;
        }
        for gap in &stream.gaps {
            gaps.record(micros(*gap))?;
        }
    }
    Ok(WayTimes {
        first_token_p50_us: first.value_at_quantile(0.5),
        first_token_p99_us: first.value_at_quantile(0.99),
        gap_p50_us: gaps.value_at_quantile(0.5),
        gap_p99_us: gaps.value_at_quantile(0.99),
        refused: count(StreamEnd::Refused),
        failed: count(StreamEnd::Failed),
    })
}

/// Whole microseconds, saturating.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl std::fmt::Display for Overhead {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (direct, through) = (self.direct, self.through);
        writeln!(f, "{} streams of {} tokens", self.streams, self.tokens)?;
        writeln!(f, "| measure | direct | through | added |")?;
        writeln!(f, "|---|---:|---:|---:|")?;
        let rows = [
            (
                "first token, median, us",
                direct.first_token_p50_us,
                through.first_token_p50_us,
            ),
            (
                "first token, 99 in 100, us",
                direct.first_token_p99_us,
                through.first_token_p99_us,
            ),
            (
                "between tokens, median, us",
                direct.gap_p50_us,
                through.gap_p50_us,
            ),
            (
                "between tokens, 99 in 100, us",
                direct.gap_p99_us,
                through.gap_p99_us,
            ),
        ];
        for (name, direct, through) in rows {
            let added = i128::from(through) - i128::from(direct);
            writeln!(f, "| {name} | {direct} | {through} | {added} |")?;
        }
        writeln!(
            f,
            "| refused | {} | {} | |",
            direct.refused, through.refused
        )?;
        writeln!(
            f,
            "| not whole | {} | {} | |",
            direct.failed, through.failed
        )?;
        write!(
            f,
            "memory of the entry with the streams open: {} bytes",
            self.memory_open_bytes
        )
    }
}
