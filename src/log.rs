//! Logs: JSON lines. Lines are handed to a thread of their own; when its queue is full, lines are dropped rather than waited for.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use parking_lot::Mutex;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Lines that wait to be written. At some 300 bytes a line this is half a megabyte.
const QUEUE_LINES: usize = 2_048;
/// Lines of one kind in a second; above it they are counted instead.
const LINES_PER_KIND_AND_SECOND: u32 = 40;

/// Where the log goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Makes JSON lines the process's log. Every line names its process as logger.
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
        .capacity(QUEUE_LINES.try_into()?)
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

/// Lines of one kind in the current second.
struct Window {
    begun: Instant,
    lines: u32,
    left_out: u64,
}

static WINDOWS: Mutex<Option<HashMap<&'static str, Window>>> = Mutex::new(None);

/// Whether a line of this kind may be written now. What is left out is counted, and the count is written with the next second.
#[must_use]
pub fn should_log(kind: &'static str) -> bool {
    let left_out = {
        let mut windows = WINDOWS.lock();
        let windows = windows.get_or_insert_default();
        let window = windows.entry(kind).or_insert_with(|| Window {
            begun: Instant::now(),
            lines: 0,
            left_out: 0,
        });
        if window.begun.elapsed() < Duration::from_secs(1) {
            if window.lines >= LINES_PER_KIND_AND_SECOND {
                window.left_out += 1;
                return false;
            }
            window.lines += 1;
            return true;
        }
        window.begun = Instant::now();
        window.lines = 1;
        std::mem::take(&mut window.left_out)
    };
    if left_out > 0 {
        metrics::counter!("larkwick_log_lines_left_out_total").increment(left_out);
        spdlog::warn!("log lines left out", kv: { kind, left_out: });
    }
    true
}
