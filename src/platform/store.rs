//! Client of the platform's log. Every call has a timeout. The type of an error tells what is known
//! after the failed call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use parking_lot::Mutex;
use reqwest::StatusCode;
use serde::Deserialize;
use spdlog::warn;

use super::names::{STORE_APPEND_PATH, STORE_NEWEST_PATH, STORE_READ_PATH};
use super::{endpoint_entries, names, operator_config, unknown_names};
use crate::gateway::chunked_pages;
use crate::gateway::site_store::{
    MemberEntry, SitePage, SiteRecord, SiteStore, SiteStorePlugin, StoreError, StoreResult,
    StoredSuspect, Subject,
};
use crate::kernel::evacuation::{EvacuatedHalls, HallOrder};
use crate::kernel::fingerprint::{InvalidFingerprint, RequestFingerprint};
use crate::kernel::position::Position;

/// Maximum time until a response starts, in addition to the wait that the call requests. The store
/// normally responds in 4 ms, and in sixty times that on slow days.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of TCP keepalive probes. A server that disappears without closing its connections is
/// detected after about twice this time.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which sent bytes may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Key of the only configuration record.
const CONFIG_KEY: &str = "config";
/// Key prefix of the records that order the evacuation of a hall; the name of the hall follows.
/// Their values have no meaning.
const EVACUATE_KEY_PREFIX: &str = "evacuate/";
/// Key prefix of the records of crash suspects; the request fingerprint follows. No instance has a
/// name with this prefix.
const SUSPECT_KEY_PREFIX: &str = "suspect/";
/// Maximum number of eras that an instance may have missed; each restore of the store from an older
/// copy adds one. A larger jump is treated as an invalid value: if it were accepted, all later eras
/// would look like earlier ones.
const ERAS_MISSED_MAX: u64 = 1_000;
/// Response headers that the client reads.
const KNOWN_RESPONSE_HEADERS: [HeaderName; 1] = [names::STORE_ERA];
/// Maximum size of the result of one read.
const READ_MAX_KB: u32 = 1_024;

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
struct WireItem {
    key: String,
    /// Encoded in base64; absent or empty if the key was deleted.
    #[serde(default)]
    value: Option<String>,
}

#[derive(Deserialize)]
struct WireExpired {
    first: u64,
}

/// A record of a topic that retains the latest record of each key.
struct KeyedRecord {
    key: String,
    /// `None` if the record deletes its key.
    value: Option<Bytes>,
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

    /// Appends a record of this instance. An empty value deletes the key.
    async fn append_record(&self, key: &str, value: &[u8]) -> StoreResult<()> {
        let topic = topic(Subject::Members);
        let url = format!("{}{STORE_APPEND_PATH}?topic={topic}&part=0", self.base_url);
        let record = encode_record(key, value).map_err(StoreError::Malformed)?;
        let request = |client: &reqwest::Client| client.post(url).body(record);
        self.call(request, CALL_TIMEOUT).await?;
        Ok(())
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
        let response = self.call(|client| client.get(url), CALL_TIMEOUT).await?;
        Ok((read_json(response.response).await?, response.era))
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
            records = merge_hall_orders(records, next);
        }
        Ok(SitePage { records, next })
    }

    async fn read(
        &self,
        subject: Subject,
        from: Position,
        wait: Duration,
    ) -> StoreResult<SitePage> {
        let url = format!(
            "{}{STORE_READ_PATH}?topic={}&part=0&from={}&max_kb={READ_MAX_KB}&wait-ms={}",
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
        let body = read_body(response.response).await?;
        let keyed = parse_records(&body).map_err(StoreError::Malformed)?;
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
        self.append_record(&member.name, &to_json(member)?).await
    }

    async fn store_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()> {
        let key = suspect_key(suspect.fingerprint());
        self.append_record(&key, &to_json(suspect)?).await
    }

    async fn delete_suspect(&self, fingerprint: RequestFingerprint) -> StoreResult<()> {
        self.append_record(&suspect_key(fingerprint), &[]).await
    }
}

fn to_json(value: &impl serde::Serialize) -> StoreResult<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn suspect_key(fingerprint: RequestFingerprint) -> String {
    format!("{SUSPECT_KEY_PREFIX}{fingerprint}")
}

/// Encodes a record for appending: its length, the length of its key, the key and the value.
fn encode_record(key: &str, value: &[u8]) -> Result<Vec<u8>, String> {
    let key_length = u8::try_from(key.len()).map_err(|_| format!("key {key:?} is too long"))?;
    let length = 1 + key.len() + value.len();
    let length = u32::try_from(length).map_err(|_| format!("record of {key:?} is too long"))?;
    let mut record = length.to_be_bytes().to_vec();
    record.push(key_length);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    Ok(record)
}

/// Parses the body of a read: two offsets (the end and the first retained one), then the records.
fn parse_records(body: &[u8]) -> Result<Vec<KeyedRecord>, String> {
    const OFFSETS_BYTES: usize = 16;
    let mut rest = body
        .get(OFFSETS_BYTES..)
        .ok_or("response to a read lacks the two offsets")?;
    let mut records = Vec::new();
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let record = after.get(..length).ok_or("record truncated")?;
        records.push(parse_record(record)?);
        rest = &after[length..];
    }
    Ok(records)
}

fn parse_record(record: &[u8]) -> Result<KeyedRecord, String> {
    let (key_length, rest) = record.split_first().ok_or("record has no key")?;
    let key_length = usize::from(*key_length);
    let key = rest.get(..key_length).ok_or("key of a record truncated")?;
    let value = &rest[key_length..];
    Ok(KeyedRecord {
        key: String::from_utf8_lossy(key).into_owned(),
        value: (!value.is_empty()).then(|| Bytes::copy_from_slice(value)),
    })
}

/// Decodes an item of a page of latest records. Returns `None` if its key was deleted.
fn decode_latest_item(subject: Subject, item: &WireItem, end: Position) -> Option<SiteRecord> {
    let text = item.value.as_ref().filter(|text| !text.is_empty())?;
    match STANDARD.decode(text) {
        Ok(value) => decode(subject, &item.key, Some(&value), end),
        Err(error) => Some(SiteRecord::Unreadable {
            key: item.key.clone(),
            why: error.to_string(),
        }),
    }
}

/// Merges the hall orders of a complete read into one record, which also says that no other hall
/// is evacuated.
fn merge_hall_orders(records: Vec<SiteRecord>, end: Position) -> Vec<SiteRecord> {
    let mut evacuated = EvacuatedHalls {
        complete_to: end,
        ..EvacuatedHalls::default()
    };
    let mut others = Vec::new();
    for record in records {
        match record {
            SiteRecord::HallOrder(order) => {
                evacuated.halls.insert(order.hall);
            }
            other => others.push(other),
        }
    }
    others.push(SiteRecord::EvacuatedHalls(evacuated));
    others
}

/// Decodes a record of a subject; `next` is the position of the record after it. Returns `None` for
/// keys that larkwick does not read.
fn decode(subject: Subject, key: &str, value: Option<&[u8]>, next: Position) -> Option<SiteRecord> {
    let decoded = match (subject, value) {
        (Subject::Configuration, value) => return decode_operator_record(key, value, next),
        (Subject::Endpoints, Some(value)) => {
            endpoint_entries::decode(key, value).map(SiteRecord::Endpoint)
        }
        (Subject::Endpoints, None) => Ok(SiteRecord::EndpointGone(key.to_owned())),
        (Subject::Members, value) => return decode_instance_record(key, value),
    };
    Some(record_or_unreadable(key, decoded))
}

/// Decodes a record that an instance wrote.
fn decode_instance_record(key: &str, value: Option<&[u8]>) -> Option<SiteRecord> {
    let Some(fingerprint) = key.strip_prefix(SUSPECT_KEY_PREFIX) else {
        let member = serde_json::from_slice(value?).map(SiteRecord::Member);
        return Some(record_or_unreadable(
            key,
            member.map_err(|error| error.to_string()),
        ));
    };
    let decoded = match value {
        Some(value) => serde_json::from_slice(value)
            .map(SiteRecord::Suspect)
            .map_err(|error| error.to_string()),
        None => fingerprint
            .parse()
            .map(SiteRecord::SuspectGone)
            .map_err(|error: InvalidFingerprint| error.to_string()),
    };
    Some(record_or_unreadable(key, decoded))
}

/// Decodes a record that the operator wrote.
fn decode_operator_record(key: &str, value: Option<&[u8]>, next: Position) -> Option<SiteRecord> {
    if let Some(hall) = key.strip_prefix(EVACUATE_KEY_PREFIX) {
        return Some(SiteRecord::HallOrder(HallOrder {
            hall: hall.to_owned(),
            evacuate: value.is_some(),
            next,
        }));
    }
    if key != CONFIG_KEY {
        unknown_names::record_unknown("operator's key", key);
        return None;
    }
    let decoded = operator_config::decode(value?);
    Some(record_or_unreadable(
        key,
        decoded.map(SiteRecord::Configuration),
    ))
}

/// Returns the decoded record, or one that marks the key as unreadable if decoding failed.
fn record_or_unreadable(key: &str, decoded: Result<SiteRecord, String>) -> SiteRecord {
    decoded.unwrap_or_else(|why| SiteRecord::Unreadable {
        key: key.to_owned(),
        why,
    })
}
