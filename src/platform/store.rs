//! A client of the platform's log. Every call has a time-out; what is known after a failed call is in the type of its error.

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
use super::{names, operator_config, servers, unknown};
use crate::gateway::chunked_pages;
use crate::gateway::site_store::{
    KeptSuspect, MemberEntry, SitePage, SiteRecord, SiteStore, SiteStorePlugin, StoreError,
    StoreResult, Subject,
};
use crate::kernel::evacuation::{EvacuatedHalls, HallOrder};
use crate::kernel::fingerprint::{InvalidFingerprint, RequestFingerprint};
use crate::kernel::position::Position;

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
/// Eras that an instance may have missed: they rise by one with each return. One further on is no era: believed, it would make all later ones look
/// like earlier ones.
const ERAS_MISSED_MAX: u64 = 1_000;
/// Headers of an answer that are read.
const OF_ANSWERS: [HeaderName; 1] = [names::STORE_ERA];
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
    /// The last sound era that an answer told; 0 where none does.
    era: AtomicU64,
}

/// An answer of the store.
struct Answered {
    response: reqwest::Response,
    /// The era that it is of.
    era: u64,
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
            era: AtomicU64::new(0),
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
    ) -> StoreResult<Answered> {
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
        let headers = response.headers();
        unknown::note_headers("store's header", headers, &OF_ANSWERS);
        let era = self.take_era(headers)?;
        let status = response.status();
        if status.is_success() {
            return Ok(Answered { response, era });
        }
        if status == StatusCode::GONE {
            let expired: WireExpired = json(response).await?;
            return Err(StoreError::Expired {
                first_offset: expired.first,
            });
        }
        Err(StoreError::Refused(status.to_string()))
    }

    /// The era of an answer. One that tells none, or something that can be none, is taken to be of the last that was told.
    ///
    /// # Errors
    /// The answer is of an earlier era: it was on its way while the store came back from an older copy, and what it says is gone.
    fn take_era(&self, headers: &HeaderMap) -> StoreResult<u64> {
        let told = headers.get(names::STORE_ERA);
        let era: Option<u64> = told.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let before = self.era.load(Ordering::Relaxed);
        let is_sound = |era: &u64| before == 0 || era.saturating_sub(before) <= ERAS_MISSED_MAX;
        let Some(era) = era.filter(is_sound) else {
            if let Some(value) = told {
                unknown::note(
                    "value of store-era",
                    &String::from_utf8_lossy(value.as_bytes()),
                );
            }
            return Ok(before);
        };
        let latest = self.era.fetch_max(era, Ordering::Relaxed);
        if era < latest {
            warn!("answer of an earlier era of the store dropped", kv: { era:, latest: });
            return Err(StoreError::NoAnswer(format!("an answer of era {era}")));
        }
        Ok(era)
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

    /// A page of the newest records, and its era.
    async fn newest_page(
        &self,
        subject: Subject,
        since: Option<&str>,
    ) -> StoreResult<(WireNewest, u64)> {
        let url = format!("{}{STORE_NEWEST_PATH}", self.base);
        let mut query = vec![("topic", topic(subject)), ("part", "0")];
        query.extend(since.map(|key| ("since-rev", key)));
        let query: Vec<String> = query
            .into_iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let url = format!("{url}?{}", query.join("&"));
        let answered = self.call(|client| client.get(url), CALL_TIMEOUT).await?;
        Ok((json(answered.response).await?, answered.era))
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
    let body =
        chunked_pages::collect_chunks(response.bytes_stream(), chunked_pages::CHUNK_TIMEOUT).await;
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
        let mut first_end = None;
        let mut since: Option<String> = None;
        loop {
            let (page, era) = self.newest_page(subject, since.as_deref()).await?;
            let end = Position::new(era, page.end);
            // Pages are no snapshot: reading on from the end of the first one misses nothing.
            let first_end: Position = *first_end.get_or_insert(end);
            if era != first_end.era() {
                return Err(StoreError::AnotherEra { era });
            }
            since = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                records.extend(decode_newest(subject, &item, end));
            }
            if !page.more || since.is_none() {
                break;
            }
        }
        let next = first_end.unwrap_or_default();
        if subject == Subject::Configuration {
            records = with_halls(records, next);
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
            self.base,
            topic(subject),
            from.offset(),
            wait.as_millis()
        );
        let answered = self
            .call(|client| client.get(url), wait + CALL_TIMEOUT)
            .await?;
        if answered.era > from.era() {
            return Err(StoreError::AnotherEra { era: answered.era });
        }
        let body = body(answered.response).await?;
        let keyed = split_records(&body).map_err(StoreError::Malformed)?;
        let count = u64::try_from(keyed.len()).unwrap_or(u64::MAX);
        let places = (1..).map(|records| from.plus(records));
        let records = places
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
        self.put(&member.name, &to_json(member)?).await
    }

    async fn keep_suspect(&self, suspect: &KeptSuspect) -> StoreResult<()> {
        let key = suspect_key(suspect.content());
        self.put(&key, &to_json(suspect)?).await
    }

    async fn drop_suspect(&self, content: RequestFingerprint) -> StoreResult<()> {
        self.put(&suspect_key(content), &[]).await
    }
}

fn to_json(value: &impl serde::Serialize) -> StoreResult<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn suspect_key(content: RequestFingerprint) -> String {
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
fn decode_newest(subject: Subject, item: &WireItem, end: Position) -> Option<SiteRecord> {
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
fn with_halls(records: Vec<SiteRecord>, end: Position) -> Vec<SiteRecord> {
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

/// Decodes a record of a subject, after which the next one has the given place; gives nothing for keys that are not ours to read.
fn decode(subject: Subject, key: &str, value: Option<&[u8]>, next: Position) -> Option<SiteRecord> {
    let decoded = match (subject, value) {
        (Subject::Configuration, value) => return decode_operators(key, value, next),
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
            .map_err(|error: InvalidFingerprint| error.to_string()),
    };
    Some(readable(key, decoded))
}

/// Decodes a record that the operator wrote.
fn decode_operators(key: &str, value: Option<&[u8]>, next: Position) -> Option<SiteRecord> {
    if let Some(hall) = key.strip_prefix(EVACUATE_KEY_PREFIX) {
        return Some(SiteRecord::HallOrder(HallOrder {
            hall: hall.to_owned(),
            evacuate: value.is_some(),
            next,
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
