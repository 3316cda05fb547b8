//! Store of the stand-in platform: compacted topics with long-poll reads and injected faults.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{StandinBody, add_unknown_header, build_response};
use crate::platform::names::{STORE_APPEND_PATH, STORE_ERA, STORE_NEWEST_PATH, STORE_READ_PATH};

/// Injected fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Responds with status 503 and executes nothing.
    Busy,
    /// Never responds and executes nothing.
    Unresponsive,
    /// Responds with status 503 to reads of this topic.
    BusyTopic(&'static str),
    /// Executes appends and never responds to them.
    LosesAppendReplies,
}

/// Size of the two offsets at the start of a response to a read.
const OFFSETS_BYTES: usize = 16;

#[derive(Debug, Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    records: Vec<Record>,
    /// Offset before which records can no longer be read.
    first_offset: usize,
    /// Offset before which records come from the snapshot that was restored.
    restored_end: usize,
}

/// Contents of the store at one time.
#[derive(Debug, Clone)]
pub struct StoreSnapshot {
    topics: HashMap<String, Topic>,
}

impl StoreSnapshot {
    /// Appends a record, as if it were rewritten after the restore and before the first read.
    pub fn put(&mut self, topic: &str, key: &str, value: &Value) {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push(Record {
            key: key.to_owned(),
            value: value.to_string().into_bytes(),
        });
    }
}

/// In-memory log store.
#[derive(Debug, Default)]
pub struct LogStore {
    topics: Mutex<HashMap<String, Topic>>,
    fault: Mutex<StoreFault>,
    /// Number of times that a snapshot was restored.
    era: AtomicU64,
    /// Value of the era header that replaces the true era.
    era_override: Mutex<Option<&'static str>>,
    /// Name of an undocumented header that is added to all responses.
    unknown_header: Mutex<Option<&'static str>>,
    calls_by_path: Mutex<BTreeMap<String, u32>>,
    records_added: Notify,
}

fn query_parameters(request: &Request<Incoming>) -> HashMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn query_number(query: &HashMap<String, String>, name: &str) -> u64 {
    let value = query.get(name).and_then(|text| text.parse().ok());
    value.unwrap_or_default()
}

impl LogStore {
    /// Adds an undocumented header to all responses.
    pub fn add_unknown_header(&self, header: &'static str) {
        *self.unknown_header.lock() = Some(header);
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock() = fault;
    }

    /// Writes the record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.append(topic, key, value.to_string().into_bytes());
    }

    /// Writes the record of a key as raw bytes, valid or not.
    pub fn put_raw(&self, topic: &str, key: &str, value: &[u8]) {
        self.append(topic, key, value.to_vec());
    }

    /// Deletes a key.
    pub fn delete(&self, topic: &str, key: &str) {
        self.append(topic, key, Vec::new());
    }

    /// Compacts a topic: its history can no longer be read, the latest record of each key can.
    pub fn compact(&self, topic: &str) {
        let mut topics = self.topics.lock();
        if let Some(topic) = topics.get_mut(topic) {
            topic.first_offset = topic.records.len();
        }
        drop(topics);
        self.records_added.notify_waiters();
    }

    /// Replaces the value of the era header; `None` restores the true era.
    pub fn override_era(&self, value: Option<&'static str>) {
        *self.era_override.lock() = value;
    }

    /// Returns a snapshot of its contents.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            topics: self.topics.lock().clone(),
        }
    }

    /// Restores a snapshot; returns the contents from before.
    ///
    /// Later records are lost, and their offsets are assigned again.
    pub fn restore(&self, snapshot: StoreSnapshot) -> StoreSnapshot {
        let mut restored = snapshot.topics;
        for topic in restored.values_mut() {
            topic.restored_end = topic.records.len();
        }
        let topics = std::mem::replace(&mut *self.topics.lock(), restored);
        self.era.fetch_add(1, Ordering::Relaxed);
        self.records_added.notify_waiters();
        StoreSnapshot { topics }
    }

    /// Repeats the writes and deletions of the operator and the servers that a restore has lost.
    ///
    /// Keys that were written since the restore are left as they are.
    pub fn replay_lost_writes(&self, before: &StoreSnapshot) {
        for name in ["keyed.op", "keyed.servers"] {
            let latest =
                |topics: &HashMap<String, Topic>| topics.get(name).map(Topic::latest_by_key);
            let expected = latest(&before.topics).unwrap_or_default();
            let current = latest(&self.topics.lock()).unwrap_or_default();
            let written = self
                .topics
                .lock()
                .get(name)
                .map(Topic::keys_written_since_restore);
            let written = written.unwrap_or_default();
            let mut keys: BTreeSet<&String> = expected.keys().chain(current.keys()).collect();
            keys.retain(|key| !written.contains(*key) && expected.get(*key) != current.get(*key));
            for key in keys {
                let value = expected.get(key).cloned().unwrap_or_default();
                self.append(name, key, value);
            }
        }
    }

    /// Returns the number of calls to a path so far.
    #[must_use]
    pub fn call_count(&self, path: &str) -> u32 {
        self.calls_by_path
            .lock()
            .get(path)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the values of all records of a key, in order.
    #[must_use]
    pub fn history(&self, topic: &str, key: &str) -> Vec<Value> {
        let topics = self.topics.lock();
        let records = topics
            .get(topic)
            .into_iter()
            .flat_map(|topic| &topic.records);
        let values = records.filter(|record| record.key == key);
        values
            .filter_map(|record| serde_json::from_slice(&record.value).ok())
            .collect()
    }

    /// Returns the keys of a topic that have a value.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.topics.lock();
        let latest = topics
            .get(topic)
            .map(Topic::latest_by_key)
            .unwrap_or_default();
        latest.into_keys().collect()
    }

    fn append(&self, topic: &str, key: &str, value: Vec<u8>) {
        let record = Record {
            key: key.to_owned(),
            value,
        };
        let mut topics = self.topics.lock();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push(record);
        drop(topics);
        self.records_added.notify_waiters();
    }

    /// Handles a call.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let mut response = self.handle_call(request).await;
        let era = self.era.load(Ordering::Relaxed);
        let headers = response.headers_mut();
        let era_override = *self.era_override.lock();
        let era = era_override.map_or_else(|| HeaderValue::from(era), HeaderValue::from_static);
        headers.insert(STORE_ERA, era);
        add_unknown_header(*self.unknown_header.lock(), &mut response);
        response
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let path = request.uri().path().to_owned();
        *self.calls_by_path.lock().entry(path.clone()).or_default() += 1;
        let fault = *self.fault.lock();
        match fault {
            StoreFault::Busy => return build_response(503, "busy"),
            StoreFault::Unresponsive => std::future::pending().await,
            StoreFault::BusyTopic(topic) => {
                if query_parameters(&request)
                    .get("topic")
                    .is_some_and(|name| name == topic)
                {
                    return build_response(503, "busy");
                }
            }
            StoreFault::None | StoreFault::LosesAppendReplies => {}
        }
        match path.as_str() {
            STORE_NEWEST_PATH => self.read_latest(&query_parameters(&request)),
            STORE_READ_PATH => self.read(&query_parameters(&request)).await,
            STORE_APPEND_PATH => {
                let is_applied = self.handle_append(request).await;
                if !is_applied {
                    return build_response(412, json!({"end": 0}).to_string());
                }
                if fault == StoreFault::LosesAppendReplies {
                    std::future::pending::<()>().await;
                }
                build_response(200, json!({"offset": 0, "end": 1}).to_string())
            }
            _ => build_response(404, "no such call"),
        }
    }

    fn read_latest(&self, query: &HashMap<String, String>) -> Response<StandinBody> {
        let topics = self.topics.lock();
        let empty = Topic::default();
        let topic = query.get("topic").and_then(|name| topics.get(name));
        let topic = topic.unwrap_or(&empty);
        let items: Vec<Value> = topic
            .latest_by_key()
            .into_iter()
            .map(|(key, value)| json!({"key": key, "value": STANDARD.encode(value), "offset": 0}))
            .collect();
        let page = json!({"items": items, "more": false, "end": topic.records.len()});
        build_response(200, page.to_string())
    }

    async fn read(&self, query: &HashMap<String, String>) -> Response<StandinBody> {
        let from = usize::try_from(query_number(query, "from")).unwrap_or(usize::MAX);
        let name = query.get("topic").cloned().unwrap_or_default();
        let wait = Duration::from_millis(query_number(query, "wait-ms"));
        let deadline = tokio::time::Instant::now() + wait;
        let max_kb = query_number(query, "max_kb");
        let max_bytes = usize::try_from(max_kb << 10).unwrap_or(usize::MAX);
        loop {
            let added = self.records_added.notified();
            {
                let mut topics = self.topics.lock();
                let topic = topics.entry(name.clone()).or_default();
                if from < topic.first_offset || from > topic.records.len() {
                    return build_response(410, json!({"first": topic.first_offset}).to_string());
                }
                if topic.records.len() > from {
                    return build_response(200, topic.encode_from(from, max_bytes));
                }
            }
            if tokio::time::timeout_at(deadline, added).await.is_err() {
                let mut topics = self.topics.lock();
                let topic = topics.entry(name.clone()).or_default();
                return build_response(200, topic.encode_from(from, max_bytes));
            }
        }
    }

    /// Appends records; returns `false` if the topic does not end where the call requires.
    async fn handle_append(&self, request: Request<Incoming>) -> bool {
        let mut query = query_parameters(&request);
        let topic = query.remove("topic").unwrap_or_default();
        let Ok(body) = request.into_body().collect().await else {
            return true;
        };
        let body = body.to_bytes();
        let required_end = query.get("at").and_then(|at| at.parse().ok());
        let end = self
            .topics
            .lock()
            .get(&topic)
            .map(|topic| topic.records.len());
        if required_end.is_some_and(|required: usize| required != end.unwrap_or_default()) {
            return false;
        }
        let mut rest = &body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, after) = after.split_at(length);
            let key_length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
            self.append(&topic, &key, record[1 + key_length..].to_vec());
            rest = after;
        }
        true
    }
}

impl Topic {
    fn latest_by_key(&self) -> BTreeMap<String, Vec<u8>> {
        let mut latest = BTreeMap::new();
        for record in &self.records {
            if record.value.is_empty() {
                latest.remove(&record.key);
            } else {
                latest.insert(record.key.clone(), record.value.clone());
            }
        }
        latest
    }

    fn keys_written_since_restore(&self) -> BTreeSet<String> {
        let written = self.records.iter().skip(self.restored_end);
        written.map(|record| record.key.clone()).collect()
    }

    /// Encodes the records from an offset on, the first one and more up to a size.
    fn encode_from(&self, from: usize, max_bytes: usize) -> Vec<u8> {
        let mut body = Vec::new();
        let encode_offset = |number: usize| u64::try_from(number).unwrap_or(u64::MAX).to_be_bytes();
        body.extend_from_slice(&encode_offset(self.records.len()));
        body.extend_from_slice(&encode_offset(self.first_offset));
        for record in self.records.iter().skip(from) {
            if body.len() >= max_bytes.max(OFFSETS_BYTES + 1) {
                break;
            }
            let length = 1 + record.key.len() + record.value.len();
            let length = u32::try_from(length).expect("test records fit u32");
            body.extend_from_slice(&length.to_be_bytes());
            body.push(u8::try_from(record.key.len()).expect("test keys fit u8"));
            body.extend_from_slice(record.key.as_bytes());
            body.extend_from_slice(&record.value);
        }
        body
    }
}
