//! Logs: JSON lines on standard error.

use std::sync::Arc;

use anyhow::Context;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;
use spdlog::{LevelFilter, Logger};

/// Makes JSON lines on standard error the process's log. Every line names its process as logger.
///
/// # Errors
/// The log cannot be set up.
pub fn init(process: &str, verbose: bool) -> anyhow::Result<()> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build()
        .context("log sink")?;
    let level = if verbose {
        LevelFilter::All
    } else {
        LevelFilter::MoreSevereEqual(spdlog::Level::Info)
    };
    let logger = Logger::builder()
        .name(process)
        .sink(Arc::new(sink))
        .level_filter(level)
        .build()
        .context("logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
