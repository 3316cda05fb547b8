//! Reads the configuration from the platform's log with the state machine that every instance uses.

use std::time::Duration;

use anyhow::Context;

use crate::kernel::config::{ConfigState, ConfigStateMachine, LogRead, Record};
use crate::log_service::{CONFIG_STREAM, Platform};

/// Reads the log up to its head and returns the resulting configuration.
///
/// # Errors
/// Fails if the log cannot be read, or if records have expired and no snapshot covers the gap.
pub async fn read_config(platform: &Platform) -> anyhow::Result<ConfigStateMachine> {
    let mut config = ConfigStateMachine::default();
    catch_up(platform, &mut config).await?;
    Ok(config)
}

/// Applies all records from the next offset of `config` up to the head of the log.
///
/// # Errors
/// The same as those of [`read_config`].
pub async fn catch_up(platform: &Platform, config: &mut ConfigStateMachine) -> anyhow::Result<()> {
    let from = config.state().next_offset;
    let mut page = platform.log.read(CONFIG_STREAM, from).await?;
    let first_offset = page.first_offset;
    let mut raw_records = std::mem::take(&mut page.records);
    while first_offset + (raw_records.len() as u64) < page.head {
        let next = first_offset + raw_records.len() as u64;
        page = platform.log.read(CONFIG_STREAM, next).await?;
        anyhow::ensure!(
            !page.records.is_empty(),
            "log page at offset {next} is empty below the head of the log"
        );
        raw_records.append(&mut page.records);
    }
    let records: Vec<Option<Record>> = raw_records
        .into_iter()
        .map(|value| serde_json::from_value(value).ok())
        .collect();
    let read = LogRead {
        first_offset,
        records: &records,
    };
    config.catch_up(&read).context("configuration log")?;
    Ok(())
}

/// Formats the objects in force as text, one per line.
#[must_use]
pub fn format_objects(state: &ConfigState) -> String {
    let lines = state.objects.iter().map(|(key, stored)| {
        let object = serde_json::to_string(&stored.object).unwrap_or_default();
        format!("{key} revision {} {object}", stored.revision)
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Formats recent publishes as text, one per line, oldest first.
#[must_use]
pub fn format_history(state: &ConfigState) -> String {
    let mut decided: Vec<_> = state.decided.iter().collect();
    decided.sort_by_key(|(_, decision)| decision.offset);
    let lines = decided.into_iter().map(|(id, decision)| {
        let verdict = serde_json::to_string(&decision.verdict).unwrap_or_default();
        let keys: Vec<String> = decision.keys.iter().map(ToString::to_string).collect();
        let (offset, publisher) = (decision.offset, &decision.publisher);
        format!("{offset} {id} {publisher} {verdict} {}", keys.join(" "))
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Interval between reads of the log while waiting for a record.
pub const LOG_POLL_INTERVAL: Duration = Duration::from_millis(100);
