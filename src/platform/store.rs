//! Client of the platform's log. Every call has a timeout. The type of an error tells what is known
//! after the failed call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use parking_lot::Mutex;
use reqwest::StatusCode;
use serde::Deserialize;
use spdlog::warn;

use super::names::{STORE_APPEND_PATH, STORE_NEWEST_PATH, STORE_READ_PATH};
use super::store_records::{
    LogPage, LogReplay, WireItem, decode, decode_latest_item, encode_record, merge_orders,
    parse_log_page, rollout_key, suspect_key,
};
use super::{names, rollouts, unknown_names};
use crate::gateway::chunked_pages;
use crate::gateway::site_store::{
    MemberEntry, SitePage, SiteSample, SiteStore, SiteStorePlugin, StoreError, StoreResult,
    StoredSuspect, Subject,
};
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::position::Position;
use crate::kernel::rollout::RolloutStatus;

/// Maximum time until a response starts, in addition to the wait that the call requests. The store
/// normally responds in 4 ms, and in sixty times that on slow days.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time until an append is answered. The store works through the appends of a topic one
/// after the other, and rejects those that would wait for more than two seconds.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of TCP keepalive probes. A server that disappears without closing its connections is
/// detected after about twice this time.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which sent bytes may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of eras that an instance may have missed; each restore of the store from an older
/// copy adds one. A larger jump is treated as an invalid value: if it were accepted, all later eras
/// would look like earlier ones.
const ERAS_MISSED_MAX: u64 = 1_000;
/// Response headers that the client reads.
const KNOWN_RESPONSE_HEADERS: [HeaderName; 1] = [names::STORE_ERA];
/// Maximum size of the result of one read.
const READ_MAX_KB: u32 = 1_024;
/// Maximum number of calls in which the whole log of a topic is read.
const REPLAY_CALLS_MAX: u64 = 8;
/// Maximum size of a sample of a subject's records. A few hundred members fit.
const SAMPLE_MAX_KB: u32 = 32;
/// Attempts to read each page of latest records but the first.
const PAGE_ATTEMPTS: u32 = 3;

inventory::submit! {
    SiteStorePlugin {
        name: "keyed_log",
        connect: |address| Ok(Arc::new(StoreClient::new(address)?))
    }
}

/// Client of the log at one address.
#[derive(Debug)]
pub struct StoreClient {
    client: Mutex<PooledClient>,
    base_url: String,
    /// Latest valid era in a response so far; 0 if no response had one.
    latest_era: AtomicU64,
}

/// A response of the store.
struct StoreResponse {
    response: reqwest::Response,
    /// Era of the store in which it was sent.
    era: u64,
}

/// An HTTP client with its connection pool.
#[derive(Debug, Clone)]
struct PooledClient {
    client: reqwest::Client,
    /// Incremented each time that the client is replaced.
    number: u64,
}

#[derive(Deserialize)]
struct WireNewest {
    items: Vec<WireItem>,
    #[serde(default)]
    more: bool,
    /// Offset of the next record to be appended.
    end: u64,
}

#[derive(Deserialize)]
struct WireExpired {
    first: u64,
}

const fn topic(subject: Subject) -> &'static str {
    match subject {
        Subject::Configuration => "keyed.op",
        Subject::Endpoints => "keyed.servers",
        Subject::Members => "keyed.status",
    }
}

impl StoreClient {
    /// Creates a client, which connects on the first call.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> anyhow::Result<Self> {
        let client = PooledClient {
            client: build_client()?,
            number: 0,
        };
        Ok(Self {
            client: Mutex::new(client),
            base_url: format!("http://{address}"),
            latest_era: AtomicU64::new(0),
        })
    }

    /// Replaces a client on which a call timed out, and with it all of its pooled connections:
    /// others may have stopped responding together with that one, and each would cost a call. With
    /// 8 idle connections, one call is lost instead of 8
    /// (`store_connections_silent_one_call_lost`).
    fn replace_client(&self, unresponsive: &PooledClient) {
        let mut pooled = self.client.lock();
        if pooled.number != unresponsive.number {
            return;
        }
        match build_client() {
            Ok(client) => {
                *pooled = PooledClient {
                    client,
                    number: unresponsive.number + 1,
                }
            }
            Err(error) => warn!("connections to the store kept", kv: { why: = error }),
        }
    }

    /// Sends a request and checks the status and the era of the response, whose head must arrive
    /// within `head_timeout`.
    async fn call(
        &self,
        request: impl FnOnce(&reqwest::Client) -> reqwest::RequestBuilder,
        head_timeout: Duration,
    ) -> StoreResult<StoreResponse> {
        let pooled = self.client.lock().clone();
        let sending = request(&pooled.client).send();
        let Ok(sent) = tokio::time::timeout(head_timeout, sending).await else {
            self.replace_client(&pooled);
            return Err(StoreError::NoAnswer("no answer in time".to_owned()));
        };
        let response = sent.map_err(|error| {
            if error.is_connect() {
                StoreError::Refused(error.to_string())
            } else {
                StoreError::NoAnswer(error.to_string())
            }
        })?;
        let headers = response.headers();
        unknown_names::record_unknown_headers("store's header", headers, &KNOWN_RESPONSE_HEADERS);
        let era = self.check_era(headers)?;
        let status = response.status();
        if status.is_success() {
            return Ok(StoreResponse { response, era });
        }
        if status == StatusCode::GONE {
            let expired: WireExpired = read_json(response).await?;
            return Err(StoreError::Expired {
                first_offset: expired.first,
            });
        }
        if status == StatusCode::PRECONDITION_FAILED {
            return Err(StoreError::Conflict);
        }
        Err(StoreError::Refused(status.to_string()))
    }

    /// Returns the era of a response, and records it as the latest. A response without a valid era
    /// is assumed to belong to the latest known one.
    ///
    /// # Errors
    /// Returns an error if the response belongs to an earlier era: it was in transit while the
    /// store was restored from an older copy, and its data no longer exists.
    fn check_era(&self, headers: &HeaderMap) -> StoreResult<u64> {
        let header = headers.get(names::STORE_ERA);
        let era: Option<u64> = header.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let known = self.latest_era.load(Ordering::Relaxed);
        let is_valid = |era: &u64| known == 0 || era.saturating_sub(known) <= ERAS_MISSED_MAX;
        let Some(era) = era.filter(is_valid) else {
            if let Some(value) = header {
                unknown_names::record_unknown(
                    "value of store-era",
                    &String::from_utf8_lossy(value.as_bytes()),
                );
            }
            return Ok(known);
        };
        let latest = self.latest_era.fetch_max(era, Ordering::Relaxed);
        if era < latest {
            warn!("answer of an earlier era of the store dropped", kv: { era:, latest: });
            return Err(StoreError::NoAnswer(format!(
                "response of the earlier store era {era}"
            )));
        }
        Ok(era)
    }

    /// Appends a record of this instance; with `at`, only if the log ends there. An empty value
    /// deletes the key.
    async fn append_record(
        &self,
        key: &str,
        value: &[u8],
        at: Option<Position>,
    ) -> StoreResult<()> {
        let topic = topic(Subject::Members);
        let condition = at.map_or_else(String::new, |at| format!("&at={}", at.offset()));
        let url = format!(
            "{}{STORE_APPEND_PATH}?topic={topic}&part=0{condition}",
            self.base_url
        );
        let record = encode_record(key, value).map_err(StoreError::Malformed)?;
        let request = |client: &reqwest::Client| client.post(url).body(record);
        self.call(request, APPEND_TIMEOUT).await?;
        Ok(())
    }

    /// Reads records from a position on. Returns them with their era.
    async fn read_log(
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
    async fn read_log_start(
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
    async fn replay_log(&self, subject: Subject) -> StoreResult<Option<SitePage>> {
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
    async fn read_latest_pages(&self, subject: Subject) -> StoreResult<SitePage> {
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
    async fn fetch_latest_page(
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

fn build_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(2)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .build()
}

/// Reads the body of a response. There is no limit on the total time as long as bytes keep
/// arriving.
async fn read_body(response: reqwest::Response) -> StoreResult<Bytes> {
    let body =
        chunked_pages::collect_chunks(response.bytes_stream(), chunked_pages::CHUNK_TIMEOUT).await;
    body.map_err(|error| StoreError::NoAnswer(error.to_string()))
}

async fn read_json<T: serde::de::DeserializeOwned>(response: reqwest::Response) -> StoreResult<T> {
    let body = read_body(response).await?;
    serde_json::from_slice(&body).map_err(|error| StoreError::Malformed(error.to_string()))
}

#[async_trait]
impl SiteStore for StoreClient {
    async fn read_latest(&self, subject: Subject) -> StoreResult<SitePage> {
        if subject != Subject::Configuration
            && let Some(page) = self.replay_log(subject).await?
        {
            return Ok(page);
        }
        self.read_latest_pages(subject).await
    }

    async fn read_sample(&self, subject: Subject) -> StoreResult<SiteSample> {
        if let Some((page, era)) = self.read_log_start(subject, SAMPLE_MAX_KB).await? {
            let mut replay = LogReplay::new(era);
            let is_complete = replay.apply(page) == 0;
            return Ok(SiteSample {
                page: replay.into_page(subject),
                is_complete,
            });
        }
        let (page, era) = self.fetch_latest_page(subject, None).await?;
        let next = Position::new(era, page.end);
        let items = page.items.iter();
        Ok(SiteSample {
            page: SitePage {
                records: items
                    .filter_map(|item| decode_latest_item(subject, item, next))
                    .collect(),
                next,
            },
            is_complete: !page.more,
        })
    }

    async fn read(
        &self,
        subject: Subject,
        from: Position,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let (page, _) = self.read_log(subject, from, READ_MAX_KB, wait).await?;
        let keyed = page.records;
        let count = u64::try_from(keyed.len()).unwrap_or(u64::MAX);
        let next_positions = (1..).map(|records| from.plus(records));
        let records = next_positions
            .zip(&keyed)
            .filter_map(|(next, record)| {
                decode(subject, &record.key, record.value.as_deref(), next)
            })
            .collect();
        Ok(SitePage {
            records,
            next: from.plus(count),
        })
    }

    async fn announce(&self, member: &MemberEntry) -> StoreResult<()> {
        self.append_record(&member.name, &to_json(member)?, None)
            .await
    }

    async fn write_rollout_status(
        &self,
        status: &RolloutStatus,
        at: Position,
    ) -> StoreResult<bool> {
        let value = rollouts::encode_status(status).map_err(StoreError::Malformed)?;
        let key = rollout_key(&status.service);
        let appended = self.append_record(&key, &value, Some(at)).await;
        match appended {
            Ok(()) => Ok(true),
            Err(StoreError::Conflict) => Ok(false),
            Err(error) => Err(error),
        }
    }

    async fn store_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()> {
        let key = suspect_key(suspect.fingerprint());
        self.append_record(&key, &to_json(suspect)?, None).await
    }

    async fn delete_suspect(&self, fingerprint: Fingerprint) -> StoreResult<()> {
        self.append_record(&suspect_key(fingerprint), &[], None)
            .await
    }
}

fn to_json(value: &impl serde::Serialize) -> StoreResult<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| StoreError::Malformed(error.to_string()))
}
