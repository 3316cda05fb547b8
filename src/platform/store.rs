//! A client of the platform's log. Every call has a time-out; what is known after a failed call is in the type of its error.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use parking_lot::Mutex;
use reqwest::StatusCode;
use serde::Deserialize;
use spdlog::warn;

use super::names::{STORE_APPEND_PATH, STORE_NEWEST_PATH, STORE_READ_PATH};
use super::{operator_config, servers, unknown};
use crate::gateway::parts;
use crate::gateway::site_store::{
    KeptSuspect, MemberEntry, SitePage, SiteRecord, SiteStore, SiteStorePlugin, StoreError,
    StoreResult, Subject,
};
use crate::kernel::content::{ContentId, NotAContent};
use crate::kernel::evacuation::{EvacuatedHalls, HallOrder};

/// Longest time until an answer begins, beside what the call waits by itself. The store answers in 4 ms; slow days take sixty times that.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A peer that is gone without a word is noticed after about this long twice over.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// How long sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Key of the one configuration record.
const CONFIG_KEY: &str = "config";
/// Keys of the records that ask for a hall to be emptied begin so; the hall's name follows. Their values say nothing.
const EVACUATE_KEY_PREFIX: &str = "evacuate/";
/// Keys of the contents that endpoints ended under begin so; the content's name follows. No instance has such a name.
const SUSPECT_KEY_PREFIX: &str = "suspect/";
/// Most that one read returns.
const READ_MAX_KB: u32 = 1_024;

inventory::submit! {
    SiteStorePlugin { name: "keyed_log", connect: |address| Ok(Arc::new(Store::new(address)?)) }
}

/// Client of the log at one address.
#[derive(Debug)]
pub struct Store {
    client: Mutex<Pooled>,
    base: String,
}

/// A client with the connections that it keeps.
#[derive(Debug, Clone)]
struct Pooled {
    client: reqwest::Client,
    /// Rises with each client that takes the place of another.
    number: u64,
}

#[derive(Deserialize)]
struct WireNewest {
    items: Vec<WireItem>,
    #[serde(default)]
    more: bool,
    /// Offset that the next record will get.
    end: u64,
}

#[derive(Deserialize)]
struct WireItem {
    key: String,
    /// In base64; absent or empty where the key was dropped.
    #[serde(default)]
    value: Option<String>,
}

#[derive(Deserialize)]
struct WireExpired {
    first: u64,
}

/// One record of a topic whose newest record of each key is kept.
struct KeyedRecord {
    key: String,
    /// Absent where the record drops its key.
    value: Option<Bytes>,
}

const fn topic(subject: Subject) -> &'static str {
    match subject {
        Subject::Configuration => "keyed.op",
        Subject::Endpoints => "keyed.servers",
        Subject::Members => "keyed.status",
    }
}

impl Store {
    /// A client; connects with the first call.
    ///
    /// # Errors
    /// The HTTP client cannot be built.
    pub fn new(address: SocketAddr) -> anyhow::Result<Self> {
        let first = Pooled {
            client: build_client()?,
            number: 0,
        };
        Ok(Self {
            client: Mutex::new(first),
            base: format!("http://{address}"),
        })
    }

    /// Leaves the connections of a client alone on which a call had no answer: others may have gone silent with that one, and each would cost a
    /// call. With 8 connections at rest, one call in place of 8 is lost (`store_connections_silent_one_call_lost`).
    fn leave_connections(&self, silent: &Pooled) {
        let mut pooled = self.client.lock();
        if pooled.number != silent.number {
            return;
        }
        match build_client() {
            Ok(client) => {
                *pooled = Pooled {
                    client,
                    number: silent.number + 1,
                }
            }
            Err(error) => warn!("connections to the store kept", kv: { why: = error }),
        }
    }

    async fn call(
        &self,
        request: impl FnOnce(&reqwest::Client) -> reqwest::RequestBuilder,
        answer_begins_within: Duration,
    ) -> StoreResult<reqwest::Response> {
        let pooled = self.client.lock().clone();
        let sending = request(&pooled.client).send();
        let Ok(sent) = tokio::time::timeout(answer_begins_within, sending).await else {
            self.leave_connections(&pooled);
            return Err(StoreError::NoAnswer("no answer in time".to_owned()));
        };
        let response = sent.map_err(|error| {
            if error.is_connect() {
                StoreError::Refused(error.to_string())
            } else {
                StoreError::NoAnswer(error.to_string())
            }
        })?;
        unknown::note_headers("store's header", response.headers(), &[]);
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        if status == StatusCode::GONE {
            let expired: WireExpired = json(response).await?;
            return Err(StoreError::Expired {
                first_offset: expired.first,
            });
        }
        Err(StoreError::Refused(status.to_string()))
    }

    /// Writes a record of our own; without a value it drops the key.
    async fn put(&self, key: &str, value: &[u8]) -> StoreResult<()> {
        let topic = topic(Subject::Members);
        let url = format!("{}{STORE_APPEND_PATH}?topic={topic}&part=0", self.base);
        let record = keyed_record(key, value).map_err(StoreError::Malformed)?;
        let request = |client: &reqwest::Client| client.post(url).body(record);
        self.call(request, CALL_TIMEOUT).await?;
        Ok(())
    }

    async fn newest_page(&self, subject: Subject, since: Option<&str>) -> StoreResult<WireNewest> {
        let url = format!("{}{STORE_NEWEST_PATH}", self.base);
        let mut query = vec![("topic", topic(subject)), ("part", "0")];
        query.extend(since.map(|key| ("since-rev", key)));
        let query: Vec<String> = query
            .into_iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let url = format!("{url}?{}", query.join("&"));
        let response = self.call(|client| client.get(url), CALL_TIMEOUT).await?;
        json(response).await
    }
}

fn build_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE)
        .tcp_keepalive_interval(KEEPALIVE)
        .tcp_keepalive_retries(2)
        .tcp_user_timeout(USER_TIMEOUT)
        .build()
}

/// The body of an answer, however long it takes, as long as it keeps coming.
async fn body(response: reqwest::Response) -> StoreResult<Bytes> {
    let body = parts::collect(response.bytes_stream(), parts::SILENCE_MAX).await;
    body.map_err(|fault| StoreError::NoAnswer(fault.to_string()))
}

async fn json<T: serde::de::DeserializeOwned>(response: reqwest::Response) -> StoreResult<T> {
    let body = body(response).await?;
    serde_json::from_slice(&body).map_err(|error| StoreError::Malformed(error.to_string()))
}

#[async_trait]
impl SiteStore for Store {
    async fn newest(&self, subject: Subject) -> StoreResult<SitePage> {
        let mut records = Vec::new();
        let mut next_offset = None;
        let mut since: Option<String> = None;
        loop {
            let page = self.newest_page(subject, since.as_deref()).await?;
            // Pages are no snapshot: reading on from the end of the first one misses nothing.
            next_offset = next_offset.or(Some(page.end));
            since = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                records.extend(decode_newest(subject, &item, page.end));
            }
            if !page.more || since.is_none() {
                break;
            }
        }
        let next_offset = next_offset.unwrap_or_default();
        if subject == Subject::Configuration {
            records = with_halls(records, next_offset);
        }
        Ok(SitePage {
            records,
            next_offset,
        })
    }

    async fn read(&self, subject: Subject, from: u64, wait: Duration) -> StoreResult<SitePage> {
        let url = format!(
            "{}{STORE_READ_PATH}?topic={}&part=0&from={from}&max_kb={READ_MAX_KB}&wait-ms={}",
            self.base,
            topic(subject),
            wait.as_millis()
        );
        let response = self
            .call(|client| client.get(url), wait + CALL_TIMEOUT)
            .await?;
        let body = body(response).await?;
        let keyed = split_records(&body).map_err(StoreError::Malformed)?;
        let count = u64::try_from(keyed.len()).unwrap_or(u64::MAX);
        let offsets = from.saturating_add(1)..;
        let records = offsets
            .zip(&keyed)
            .filter_map(|(next, record)| {
                decode(subject, &record.key, record.value.as_deref(), next)
            })
            .collect();
        Ok(SitePage {
            records,
            next_offset: from.saturating_add(count),
        })
    }

    async fn announce(&self, member: &MemberEntry) -> StoreResult<()> {
        self.put(&member.name, &to_json(member)?).await
    }

    async fn keep_suspect(&self, suspect: &KeptSuspect) -> StoreResult<()> {
        let key = suspect_key(suspect.content());
        self.put(&key, &to_json(suspect)?).await
    }

    async fn drop_suspect(&self, content: ContentId) -> StoreResult<()> {
        self.put(&suspect_key(content), &[]).await
    }
}

fn to_json(value: &impl serde::Serialize) -> StoreResult<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn suspect_key(content: ContentId) -> String {
    format!("{SUSPECT_KEY_PREFIX}{content}")
}

/// A record as it is appended: its length, the key's length, the key, the value.
fn keyed_record(key: &str, value: &[u8]) -> Result<Vec<u8>, String> {
    let key_length = u8::try_from(key.len()).map_err(|_| format!("key {key:?} is too long"))?;
    let length = 1 + key.len() + value.len();
    let length = u32::try_from(length).map_err(|_| format!("record of {key:?} is too long"))?;
    let mut record = length.to_be_bytes().to_vec();
    record.push(key_length);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    Ok(record)
}

/// Splits the body of a read: two offsets (the end and the first one kept), then records.
fn split_records(body: &[u8]) -> Result<Vec<KeyedRecord>, String> {
    const OFFSETS_BYTES: usize = 16;
    let mut rest = body
        .get(OFFSETS_BYTES..)
        .ok_or("a read without its two offsets")?;
    let mut records = Vec::new();
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let record = after.get(..length).ok_or("a record is cut short")?;
        records.push(split_record(record)?);
        rest = &after[length..];
    }
    Ok(records)
}

fn split_record(record: &[u8]) -> Result<KeyedRecord, String> {
    let (key_length, rest) = record.split_first().ok_or("a record without a key")?;
    let key_length = usize::from(*key_length);
    let key = rest.get(..key_length).ok_or("a key is cut short")?;
    let value = &rest[key_length..];
    Ok(KeyedRecord {
        key: String::from_utf8_lossy(key).into_owned(),
        value: (!value.is_empty()).then(|| Bytes::copy_from_slice(value)),
    })
}

/// Decodes an item of the newest records; nothing where its key was dropped.
fn decode_newest(subject: Subject, item: &WireItem, end: u64) -> Option<SiteRecord> {
    let text = item.value.as_ref().filter(|text| !text.is_empty())?;
    match STANDARD.decode(text) {
        Ok(value) => decode(subject, &item.key, Some(&value), end),
        Err(error) => Some(SiteRecord::Unreadable {
            key: item.key.clone(),
            why: error.to_string(),
        }),
    }
}

/// Puts the halls that a whole reading names into one record: a hall that it does not name is not evacuated.
fn with_halls(records: Vec<SiteRecord>, end: u64) -> Vec<SiteRecord> {
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

/// Decodes a record of a subject, after which the next one has the given offset; gives nothing for keys that are not ours to read.
fn decode(
    subject: Subject,
    key: &str,
    value: Option<&[u8]>,
    next_offset: u64,
) -> Option<SiteRecord> {
    let decoded = match (subject, value) {
        (Subject::Configuration, value) => return decode_operators(key, value, next_offset),
        (Subject::Endpoints, Some(value)) => servers::decode(key, value).map(SiteRecord::Endpoint),
        (Subject::Endpoints, None) => Ok(SiteRecord::EndpointGone(key.to_owned())),
        (Subject::Members, value) => return decode_own(key, value),
    };
    Some(readable(key, decoded))
}

/// Decodes a record that an instance wrote.
fn decode_own(key: &str, value: Option<&[u8]>) -> Option<SiteRecord> {
    let Some(content) = key.strip_prefix(SUSPECT_KEY_PREFIX) else {
        let member = serde_json::from_slice(value?).map(SiteRecord::Member);
        return Some(readable(key, member.map_err(|error| error.to_string())));
    };
    let decoded = match value {
        Some(value) => serde_json::from_slice(value)
            .map(SiteRecord::Suspect)
            .map_err(|error| error.to_string()),
        None => content
            .parse()
            .map(SiteRecord::SuspectGone)
            .map_err(|error: NotAContent| error.to_string()),
    };
    Some(readable(key, decoded))
}

/// Decodes a record that the operator wrote.
fn decode_operators(key: &str, value: Option<&[u8]>, next_offset: u64) -> Option<SiteRecord> {
    if let Some(hall) = key.strip_prefix(EVACUATE_KEY_PREFIX) {
        return Some(SiteRecord::HallOrder(HallOrder {
            hall: hall.to_owned(),
            evacuate: value.is_some(),
            next_offset,
        }));
    }
    if key != CONFIG_KEY {
        unknown::note("operator's key", key);
        return None;
    }
    let decoded = operator_config::decode(value?);
    Some(readable(key, decoded.map(SiteRecord::Configuration)))
}

fn readable(key: &str, decoded: Result<SiteRecord, String>) -> SiteRecord {
    decoded.unwrap_or_else(|why| SiteRecord::Unreadable {
        key: key.to_owned(),
        why,
    })
}
