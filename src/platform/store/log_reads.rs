//! Reads of the store's log: from a position on, whole, or the latest record of each key.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;

use super::http_calls::{read_body, read_json};
use super::{StoreClient, topic};
use crate::gateway::site_store::{SitePage, StoreError, StoreResult, Subject};
use crate::kernel::position::Position;
use crate::platform::names::{STORE_NEWEST_PATH, STORE_READ_PATH};
use crate::platform::store_records::{
    LogPage, LogReplay, WireItem, decode_latest_item, merge_orders, parse_log_page,
};

/// Maximum time until a response starts, in addition to the wait that the call requests. The store
/// normally responds in 4 ms, and in sixty times that on slow days.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the result of one read.
pub(super) const READ_MAX_KB: u32 = 1_024;
/// Maximum number of calls in which the whole log of a topic is read.
const REPLAY_CALLS_MAX: u64 = 8;
/// Attempts to read each page of latest records but the first.
const PAGE_ATTEMPTS: u32 = 3;

#[derive(Deserialize)]
pub(super) struct WireNewest {
    pub(super) items: Vec<WireItem>,
    #[serde(default)]
    pub(super) more: bool,
    /// Offset of the next record to be appended.
    pub(super) end: u64,
}

impl StoreClient {
    /// Reads records from a position on. Returns them with their era.
    pub(super) async fn read_log(
        &self,
        subject: Subject,
        from: Position,
        max_kb: u32,
        wait: Duration,
    ) -> StoreResult<(LogPage, u64)> {
        let url = format!(
            "{}{STORE_READ_PATH}?topic={}&part=0&from={}&max_kb={max_kb}&wait-ms={}",
            self.base_url,
            topic(subject),
            from.offset(),
            wait.as_millis()
        );
        let response = self
            .call(|client| client.get(url), wait + CALL_TIMEOUT)
            .await?;
        if response.era > from.era() {
            return Err(StoreError::EraChanged { era: response.era });
        }
        let era = response.era;
        let body = read_body(response.response).await?;
        let page = parse_log_page(&body).map_err(StoreError::Malformed)?;
        Ok((page, era))
    }

    /// Reads the start of a topic's log, in which keys may occur repeatedly. Returns `None` if the
    /// store no longer retains it.
    pub(super) async fn read_log_start(
        &self,
        subject: Subject,
        max_kb: u32,
    ) -> StoreResult<Option<(LogPage, u64)>> {
        let from = |era| Position::new(era, 0);
        let known_era = self.latest_era.load(Ordering::Relaxed);
        let mut read = self
            .read_log(subject, from(known_era), max_kb, Duration::ZERO)
            .await;
        // The first response of all tells the era.
        if let Err(StoreError::EraChanged { era }) = read {
            read = self
                .read_log(subject, from(era), max_kb, Duration::ZERO)
                .await;
        }
        match read {
            Ok(page) => Ok(Some(page)),
            Err(StoreError::Expired { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads the latest record of each key from the whole log of a topic, which takes far fewer
    /// calls and bytes than pages of latest records while the log is short. Returns `None` if the
    /// store no longer retains the whole log, or if it is too long.
    pub(super) async fn replay_log(&self, subject: Subject) -> StoreResult<Option<SitePage>> {
        let Some((first, era)) = self.read_log_start(subject, READ_MAX_KB).await? else {
            return Ok(None);
        };
        let mut replay = LogReplay::new(era);
        let mut page = first;
        for calls_left in (0..REPLAY_CALLS_MAX).rev() {
            let remaining = replay.apply(page);
            if remaining == 0 {
                return Ok(Some(replay.into_page(subject)));
            }
            if remaining > calls_left.saturating_mul(replay.last_page_records()) {
                return Ok(None);
            }
            let read = self.read_log(subject, replay.next(), READ_MAX_KB, Duration::ZERO);
            page = match read.await {
                Ok((page, _)) => page,
                Err(StoreError::Expired { .. }) => return Ok(None),
                Err(error) => return Err(error),
            };
        }
        Ok(None)
    }

    /// Reads the latest record of each key, page by page.
    pub(super) async fn read_latest_pages(&self, subject: Subject) -> StoreResult<SitePage> {
        let mut records = Vec::new();
        let mut first_end = None;
        let mut since: Option<String> = None;
        loop {
            let (page, era) = self.fetch_latest_page(subject, since.as_deref()).await?;
            let end = Position::new(era, page.end);
            // The pages are not a snapshot. Reading on from the end of the first page misses
            // nothing.
            let first_end: Position = *first_end.get_or_insert(end);
            if era != first_end.era() {
                return Err(StoreError::EraChanged { era });
            }
            since = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                records.extend(decode_latest_item(subject, &item, end));
            }
            if !page.more || since.is_none() {
                break;
            }
        }
        let next = first_end.unwrap_or_default();
        if subject == Subject::Configuration {
            records = merge_orders(records, next);
        }
        Ok(SitePage { records, next })
    }

    /// Reads a page of the latest record of each key, starting after the key `since`. Returns it with its era.
    pub(super) async fn fetch_latest_page(
        &self,
        subject: Subject,
        since: Option<&str>,
    ) -> StoreResult<(WireNewest, u64)> {
        let url = format!("{}{STORE_NEWEST_PATH}", self.base_url);
        let mut query = vec![("topic", topic(subject)), ("part", "0")];
        query.extend(since.map(|key| ("since-rev", key)));
        let query: Vec<String> = query
            .into_iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let url = format!("{url}?{}", query.join("&"));
        let mut attempts_left = PAGE_ATTEMPTS;
        loop {
            attempts_left -= 1;
            let response = self.call(|client| client.get(&url), CALL_TIMEOUT).await;
            let read = match response {
                Ok(response) => read_json(response.response)
                    .await
                    .map(|page| (page, response.era)),
                Err(error) => Err(error),
            };
            // A list of many pages would hardly ever be read whole if each failed page cost all
            // pages before it.
            if read.is_ok() || since.is_none() || attempts_left == 0 {
                return read;
            }
        }
    }
}
