//! Measures the latency that larkwick adds: drives the same engine directly and through an entry,
//! in alternating rounds of one run.

use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::Instant;

use super::arrivals::{Mix, PlannedRequest};
use super::stream::{StreamMeasurement, StreamOutcome, Target, drive_stream};
use crate::endpoint::no_retry_client;

const ROUNDS: u32 = 6;

/// The addresses and the load of an overhead measurement.
#[derive(Debug, Clone)]
pub struct OverheadOptions {
    /// Address of the engine.
    pub engine: String,
    /// Address of the entry for callers.
    pub entry: String,
    /// Operator address of the entry, used to read its memory usage.
    pub operator: String,
    /// Bearer key.
    pub key: String,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of tokens per stream.
    pub tokens: u32,
}

/// Latencies of one path to the engine, in microseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct PathLatency {
    /// Median time to the first token.
    pub first_token_p50_us: u64,
    /// 99th percentile of the time to the first token.
    pub first_token_p99_us: u64,
    /// Median time between tokens.
    pub gap_p50_us: u64,
    /// 99th percentile of the time between tokens.
    pub gap_p99_us: u64,
    /// Number of streams refused before the first token.
    pub refused: usize,
    /// Number of streams that failed in any other way.
    pub failed: usize,
}

/// Latencies with and without larkwick.
#[derive(Debug, Clone, Serialize)]
pub struct Overhead {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of tokens per stream.
    pub tokens: u32,
    /// Latencies when the engine is called directly.
    pub direct: PathLatency,
    /// Latencies through the entry.
    pub through: PathLatency,
    /// Resident memory of the entry while the streams are open, in bytes.
    pub memory_open_bytes: u64,
}

/// Runs the measurement.
///
/// # Errors
/// Fails if the engine or the entry cannot be reached.
pub async fn run(options: &OverheadOptions) -> anyhow::Result<Overhead> {
    let load = super::super::instance::get_json(&options.engine, "/v1/load").await?;
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
    let mut measured: [Vec<StreamMeasurement>; 2] = [Vec::new(), Vec::new()];
    let mut memory_open_bytes = 0;
    for round in 0..ROUNDS {
        // Alternate which path goes first, so that neither gains from the order.
        for path in [round % 2, 1 - round % 2] {
            let target = if path == 0 { &direct } else { &through };
            let streams = tokio::spawn(drive_streams(options.clone(), target.clone()));
            if path == 1 {
                tokio::time::sleep(Duration::from_millis(u64::from(options.tokens))).await;
                memory_open_bytes =
                    memory_open_bytes.max(read_resident_memory(&options.operator).await?);
            }
            measured[path as usize].extend(streams.await.context("streams")?);
        }
    }
    let [direct, through] = measured;
    Ok(Overhead {
        streams: options.streams,
        tokens: options.tokens,
        direct: path_latency(&direct)?,
        through: path_latency(&through)?,
        memory_open_bytes,
    })
}

async fn read_resident_memory(operator: &str) -> anyhow::Result<u64> {
    let state = super::super::instance::get_json(operator, "/debug/state").await?;
    let bytes = state["memory_resident_bytes"].as_u64();
    bytes.context("field `memory_resident_bytes` is missing in the state dump")
}

async fn drive_streams(options: OverheadOptions, target: Target) -> Vec<StreamMeasurement> {
    let Ok(client) = no_retry_client(Duration::from_secs(1)) else {
        return Vec::new();
    };
    let start = Instant::now();
    let streams = (0..options.streams).map(|index| {
        let arrival = PlannedRequest {
            arrival_offset: Duration::ZERO,
            account: 0,
            prompt_tokens: 20,
            length_tokens: options.tokens,
            seed: index as u64,
        };
        let (client, target) = (client.clone(), target.clone());
        // Stagger the starts over one or two engine steps, so that they do not queue behind each
        // other.
        let delay = Duration::from_micros(200 * index as u64);
        async move {
            tokio::time::sleep(delay).await;
            drive_stream(client, target, arrival, Mix::General, start).await
        }
    });
    let running: Vec<_> = streams.map(tokio::spawn).collect();
    let finished = futures::future::join_all(running).await;
    finished.into_iter().filter_map(Result::ok).collect()
}

fn path_latency(streams: &[StreamMeasurement]) -> anyhow::Result<PathLatency> {
    let count = |outcome| {
        streams
            .iter()
            .filter(|stream| stream.outcome == outcome)
            .count()
    };
    let mut first_token_us: Histogram<u64> = Histogram::new(3)?;
    let mut gaps_us: Histogram<u64> = Histogram::new(3)?;
    for stream in streams {
        if let Some(time) = stream.first_token {
            first_token_us.record(micros(time))?;
        }
        for gap in &stream.gaps {
            gaps_us.record(micros(*gap))?;
        }
    }
    Ok(PathLatency {
        first_token_p50_us: first_token_us.value_at_quantile(0.5),
        first_token_p99_us: first_token_us.value_at_quantile(0.99),
        gap_p50_us: gaps_us.value_at_quantile(0.5),
        gap_p99_us: gaps_us.value_at_quantile(0.99),
        refused: count(StreamOutcome::Refused),
        failed: count(StreamOutcome::Failed),
    })
}

/// Converts a duration to whole microseconds, saturating at `u64::MAX`.
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
