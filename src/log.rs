//! The process log, written as JSON lines.
//!
//! A separate thread writes the lines. When its queue is full, lines are dropped, so that logging
//! never blocks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use parking_lot::Mutex;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Maximum number of queued lines: about half a megabyte at some 300 bytes a line.
const QUEUE_LINES_MAX: usize = 2_048;
/// Maximum number of lines of one kind per second. Lines above it are only counted.
const LINES_PER_KIND_PER_SECOND_MAX: u32 = 40;

/// Destination of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Installs the process log. Every line has the name of the process as its logger.
///
/// # Errors
/// The log cannot be set up.
pub fn init(process: &str, verbose: bool, output: LogOutput) -> anyhow::Result<()> {
    let stream = match output {
        LogOutput::Stdout => StdStreamSink::builder().stdout(),
        LogOutput::Stderr => StdStreamSink::builder().stderr(),
    };
    let stream = stream
        .formatter(JsonFormatter::new())
        .build_arc()
        .context("log sink")?;
    let pool = ThreadPool::builder()
        .capacity(QUEUE_LINES_MAX.try_into()?)
        .build_arc()
        .context("log thread")?;
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_: spdlog::Error| {
            metrics::counter!("larkwick_log_lines_dropped_total").increment(1);
        })
        .build_arc()
        .context("log queue")?;
    let level = if verbose {
        LevelFilter::All
    } else {
        LevelFilter::MoreSevereEqual(spdlog::Level::Info)
    };
    let logger = Logger::builder()
        .name(process)
        .sink(sink)
        .level_filter(level)
        .build()
        .context("logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Rate limit of one kind of line: the lines of the current second.
struct RateWindow {
    started_at: Instant,
    lines: u32,
    suppressed: u64,
}

static RATE_WINDOWS: Mutex<Option<HashMap<&'static str, RateWindow>>> = Mutex::new(None);

/// Returns `true` if a line of this kind may be written now, and counts it against the rate limit.
///
/// Suppressed lines are counted. The first line admitted in a later second logs the count.
#[must_use]
pub fn should_log(kind: &'static str) -> bool {
    let suppressed = {
        let mut windows = RATE_WINDOWS.lock();
        let windows = windows.get_or_insert_default();
        let window = windows.entry(kind).or_insert_with(|| RateWindow {
            started_at: Instant::now(),
            lines: 0,
            suppressed: 0,
        });
        if window.started_at.elapsed() < Duration::from_secs(1) {
            if window.lines >= LINES_PER_KIND_PER_SECOND_MAX {
                window.suppressed += 1;
                return false;
            }
            window.lines += 1;
            return true;
        }
        window.started_at = Instant::now();
        window.lines = 1;
        std::mem::take(&mut window.suppressed)
    };
    if suppressed > 0 {
        metrics::counter!("larkwick_log_lines_left_out_total").increment(suppressed);
        spdlog::warn!("log lines left out", kv: { kind, left_out: = suppressed });
    }
    true
}
