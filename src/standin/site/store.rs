//! The stand-in's store: topics whose newest record of each key is kept, with long reads and faults.

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

use super::{StandinBody, add_unknown, answer};
use crate::platform::names::{STORE_APPEND_PATH, STORE_ERA, STORE_NEWEST_PATH, STORE_READ_PATH};

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMood {
    /// Answers them.
    #[default]
    Sound,
    /// Answers 503; nothing is done.
    Busy,
    /// Says nothing.
    Silent,
    /// Does what appends ask for and does not answer them.
    LosesAnswers,
}

#[derive(Debug, Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    records: Vec<Record>,
    /// Records before this offset are gone from reads.
    first: usize,
    /// Records before this offset are of the copy that it came back from.
    copied: usize,
}

/// What the store held at some time.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    topics: HashMap<String, Topic>,
}

impl StoreCopy {
    /// Adds the record of a key: written again right after the return, before anybody reads.
    pub fn put(&mut self, topic: &str, key: &str, value: &Value) {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        topic.records.push(Record {
            key: key.to_owned(),
            value: value.to_string().into_bytes(),
        });
    }
}

/// The store.
#[derive(Debug, Default)]
pub struct LogStore {
    topics: Mutex<HashMap<String, Topic>>,
    mood: Mutex<StoreMood>,
    /// Times it came back from a copy.
    era: AtomicU64,
    /// What it tells in place of its era.
    told_era: Mutex<Option<&'static str>>,
    /// A header that no page names, in all answers.
    unknown: Mutex<Option<&'static str>>,
    calls: Mutex<BTreeMap<String, u32>>,
    added: Notify,
}

fn query(request: &Request<Incoming>) -> HashMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn number(query: &HashMap<String, String>, name: &str) -> u64 {
    let value = query.get(name).and_then(|text| text.parse().ok());
    value.unwrap_or_default()
}

impl LogStore {
    /// Has all its answers carry a header that no page names.
    pub fn say_unknown(&self, header: &'static str) {
        *self.unknown.lock() = Some(header);
    }

    /// Changes what the store does with calls from now on.
    pub fn set_mood(&self, mood: StoreMood) {
        *self.mood.lock() = mood;
    }

    /// Writes the record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.append(topic, key, value.to_string().into_bytes());
    }

    /// Writes the record of a key as it is, readable or not.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.append(topic, key, value.to_vec());
    }

    /// Drops a key.
    pub fn drop_key(&self, topic: &str, key: &str) {
        self.append(topic, key, Vec::new());
    }

    /// Forgets the history of a topic; the newest record of each key stays.
    pub fn compact(&self, topic: &str) {
        let mut topics = self.topics.lock();
        if let Some(topic) = topics.get_mut(topic) {
            topic.first = topic.records.len();
        }
        drop(topics);
        self.added.notify_waiters();
    }

    /// Tells an era as it stands in the header, whatever it is; nothing for the true one.
    pub fn tell_era(&self, text: Option<&'static str>) {
        *self.told_era.lock() = text;
    }

    /// A copy of all that it holds.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: self.topics.lock().clone(),
        }
    }

    /// Comes back from a copy: what was written since is gone, and its offsets are given out again. Gives what it held before.
    pub fn come_back_from(&self, copy: StoreCopy) -> StoreCopy {
        let mut copied = copy.topics;
        for topic in copied.values_mut() {
            topic.copied = topic.records.len();
        }
        let topics = std::mem::replace(&mut *self.topics.lock(), copied);
        self.era.fetch_add(1, Ordering::Relaxed);
        self.added.notify_waiters();
        StoreCopy { topics }
    }

    /// The operator and the servers write again what they had written and the store holds no more, and drop again what they had dropped, but for what
    /// they have written anew since.
    pub fn write_again(&self, before: &StoreCopy) {
        for name in ["keyed.op", "keyed.servers"] {
            let newest = |topics: &HashMap<String, Topic>| topics.get(name).map(Topic::newest);
            let wanted = newest(&before.topics).unwrap_or_default();
            let held = newest(&self.topics.lock()).unwrap_or_default();
            let written = self.topics.lock().get(name).map(Topic::written_since_copy);
            let written = written.unwrap_or_default();
            let mut keys: BTreeSet<&String> = wanted.keys().chain(held.keys()).collect();
            keys.retain(|key| !written.contains(*key) && wanted.get(*key) != held.get(*key));
            for key in keys {
                let value = wanted.get(key).cloned().unwrap_or_default();
                self.append(name, key, value);
            }
        }
    }

    /// Calls so far, by path.
    #[must_use]
    pub fn calls(&self, path: &str) -> u32 {
        self.calls.lock().get(path).copied().unwrap_or_default()
    }

    /// Keys of a topic that have a value.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.topics.lock();
        let newest = topics.get(topic).map(Topic::newest).unwrap_or_default();
        newest.into_keys().collect()
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
        self.added.notify_waiters();
    }

    /// Answers a call.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let mut answered = self.answer_call(request).await;
        let era = self.era.load(Ordering::Relaxed);
        let headers = answered.headers_mut();
        let told = *self.told_era.lock();
        let era = told.map_or_else(|| HeaderValue::from(era), HeaderValue::from_static);
        headers.insert(STORE_ERA, era);
        add_unknown(*self.unknown.lock(), &mut answered);
        answered
    }

    async fn answer_call(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let path = request.uri().path().to_owned();
        *self.calls.lock().entry(path.clone()).or_default() += 1;
        let mood = *self.mood.lock();
        match mood {
            StoreMood::Busy => return answer(503, "busy"),
            StoreMood::Silent => std::future::pending().await,
            StoreMood::Sound | StoreMood::LosesAnswers => {}
        }
        match path.as_str() {
            STORE_NEWEST_PATH => self.newest(&query(&request)),
            STORE_READ_PATH => self.read(&query(&request)).await,
            STORE_APPEND_PATH => {
                self.take_append(request).await;
                if mood == StoreMood::LosesAnswers {
                    std::future::pending::<()>().await;
                }
                answer(200, json!({"offset": 0, "end": 1}).to_string())
            }
            _ => answer(404, "no such call"),
        }
    }

    fn newest(&self, query: &HashMap<String, String>) -> Response<StandinBody> {
        let topics = self.topics.lock();
        let empty = Topic::default();
        let topic = query.get("topic").and_then(|name| topics.get(name));
        let topic = topic.unwrap_or(&empty);
        let items: Vec<Value> = topic
            .newest()
            .into_iter()
            .map(|(key, value)| json!({"key": key, "value": STANDARD.encode(value), "offset": 0}))
            .collect();
        let page = json!({"items": items, "more": false, "end": topic.records.len()});
        answer(200, page.to_string())
    }

    async fn read(&self, query: &HashMap<String, String>) -> Response<StandinBody> {
        let from = usize::try_from(number(query, "from")).unwrap_or(usize::MAX);
        let name = query.get("topic").cloned().unwrap_or_default();
        let wait = Duration::from_millis(number(query, "wait-ms"));
        let until = tokio::time::Instant::now() + wait;
        loop {
            let added = self.added.notified();
            {
                let mut topics = self.topics.lock();
                let topic = topics.entry(name.clone()).or_default();
                if from < topic.first || from > topic.records.len() {
                    return answer(410, json!({"first": topic.first}).to_string());
                }
                if topic.records.len() > from {
                    return answer(200, topic.encode_from(from));
                }
            }
            if tokio::time::timeout_at(until, added).await.is_err() {
                let mut topics = self.topics.lock();
                let topic = topics.entry(name.clone()).or_default();
                return answer(200, topic.encode_from(from));
            }
        }
    }

    async fn take_append(&self, request: Request<Incoming>) {
        let topic = query(&request).remove("topic").unwrap_or_default();
        let Ok(body) = request.into_body().collect().await else {
            return;
        };
        let body = body.to_bytes();
        let mut rest = &body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, after) = after.split_at(length);
            let key_length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
            self.append(&topic, &key, record[1 + key_length..].to_vec());
            rest = after;
        }
    }
}

impl Topic {
    fn newest(&self) -> BTreeMap<String, Vec<u8>> {
        let mut newest = BTreeMap::new();
        for record in &self.records {
            if record.value.is_empty() {
                newest.remove(&record.key);
            } else {
                newest.insert(record.key.clone(), record.value.clone());
            }
        }
        newest
    }

    fn written_since_copy(&self) -> BTreeSet<String> {
        let written = self.records.iter().skip(self.copied);
        written.map(|record| record.key.clone()).collect()
    }

    fn encode_from(&self, from: usize) -> Vec<u8> {
        let mut body = Vec::new();
        let offset = |number: usize| u64::try_from(number).unwrap_or(u64::MAX).to_be_bytes();
        body.extend_from_slice(&offset(self.records.len()));
        body.extend_from_slice(&offset(self.first));
        for record in self.records.iter().skip(from) {
            let length = 1 + record.key.len() + record.value.len();
            let length = u32::try_from(length).expect("records of tests are small");
            body.extend_from_slice(&length.to_be_bytes());
            body.push(u8::try_from(record.key.len()).expect("keys of tests are short"));
            body.extend_from_slice(record.key.as_bytes());
            body.extend_from_slice(&record.value);
        }
        body
    }
}
