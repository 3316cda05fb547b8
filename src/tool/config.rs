//! Reads the configuration from the platform's log, by the same fold as every instance.

use std::time::Duration;

use anyhow::Context;

use crate::kernel::config::{ConfigState, ConfigStateMachine, LogRead, Record};
use crate::log_service::{CONFIG_STREAM, Platform};

/// Reads the log to its head and gives the fold.
///
/// # Errors
/// The log cannot be read, or records have expired and no snapshot closes the gap.
pub async fn read_fold(platform: &Platform) -> anyhow::Result<ConfigStateMachine> {
    let mut fold = ConfigStateMachine::default();
    catch_up(platform, &mut fold).await?;
    Ok(fold)
}

/// Reads the log from the fold's offset to its head.
///
/// # Errors
/// As for [`read_fold`].
pub async fn catch_up(platform: &Platform, fold: &mut ConfigStateMachine) -> anyhow::Result<()> {
    let from = fold.state().next_offset;
    let mut page = platform.log.read(CONFIG_STREAM, from).await?;
    let first_offset = page.first_offset;
    let mut values = std::mem::take(&mut page.records);
    while first_offset + (values.len() as u64) < page.head {
        let next = first_offset + values.len() as u64;
        page = platform.log.read(CONFIG_STREAM, next).await?;
        anyhow::ensure!(!page.records.is_empty(), "the log gave an empty page");
        values.append(&mut page.records);
    }
    let records: Vec<Option<Record>> = values
        .into_iter()
        .map(|value| serde_json::from_value(value).ok())
        .collect();
    let read = LogRead {
        first_offset,
        records: &records,
    };
    fold.catch_up(&read).context("log")?;
    Ok(())
}

/// The objects in force as text.
#[must_use]
pub fn show(state: &ConfigState) -> String {
    let lines = state.objects.iter().map(|(key, held)| {
        let object = serde_json::to_string(&held.object).unwrap_or_default();
        format!("{key} revision {} {object}", held.revision)
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Recent publishes as text, oldest first.
#[must_use]
pub fn history(state: &ConfigState) -> String {
    let mut decided: Vec<_> = state.decided.iter().collect();
    decided.sort_by_key(|(_, one)| one.offset);
    let lines = decided.into_iter().map(|(id, one)| {
        let verdict = serde_json::to_string(&one.verdict).unwrap_or_default();
        let keys: Vec<String> = one.keys.iter().map(ToString::to_string).collect();
        let (offset, publisher) = (one.offset, &one.publisher);
        format!("{offset} {id} {publisher} {verdict} {}", keys.join(" "))
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Time that a reader waits between looks at the log.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
