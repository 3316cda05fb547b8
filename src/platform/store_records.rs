//! Records of the platform's log: their encoding, and the decoding of each subject's keys.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;

use super::{endpoint_entries, operator_config, rollouts, unknown_names};
use crate::gateway::site_store::{SitePage, SiteRecord, Subject};
use crate::kernel::evacuation::{EvacuatedHalls, HallOrder};
use crate::kernel::fingerprint::{Fingerprint, InvalidFingerprint};
use crate::kernel::position::Position;
use crate::kernel::rollout_orders::{RolloutOrderChange, RolloutOrders};

/// Key of the only configuration record.
const CONFIG_KEY: &str = "config";
/// Key prefix of the records that order the evacuation of a hall; the name of the hall follows.
/// Their values have no meaning.
const EVACUATE_KEY_PREFIX: &str = "evacuate/";
/// Key prefix of roll-out orders and of their status; the name of the service follows. No instance
/// has a name with this prefix.
const ROLLOUT_KEY_PREFIX: &str = "rollout/";
/// Key prefix of the records of crash suspects; the request fingerprint follows. No instance has a
/// name with this prefix.
const SUSPECT_KEY_PREFIX: &str = "suspect/";

/// An item of a page with the latest record of each key.
#[derive(Deserialize)]
pub(super) struct WireItem {
    pub(super) key: String,
    /// Encoded in base64; absent or empty if the key was deleted.
    #[serde(default)]
    value: Option<String>,
}

/// A record of a topic that retains the latest record of each key.
pub(super) struct KeyedRecord {
    pub(super) key: String,
    /// `None` if the key was deleted.
    pub(super) value: Option<Bytes>,
}

/// Consecutive records of a topic.
pub(super) struct LogPage {
    /// Offset after the last record of the topic, which may be beyond this page.
    pub(super) end: u64,
    pub(super) records: Vec<KeyedRecord>,
}

/// The latest record of each key in a part of a topic's log that begins at offset 0.
pub(super) struct LogReplay {
    next: Position,
    /// `None` for deleted keys.
    latest: BTreeMap<String, Option<Bytes>>,
    last_page_records: u64,
}

impl LogReplay {
    pub(super) fn new(era: u64) -> Self {
        Self {
            next: Position::new(era, 0),
            latest: BTreeMap::new(),
            last_page_records: 0,
        }
    }

    /// Applies the next page; returns the number of records that follow it.
    pub(super) fn apply(&mut self, page: LogPage) -> u64 {
        self.last_page_records = u64::try_from(page.records.len()).unwrap_or(u64::MAX);
        self.next = self.next.plus(self.last_page_records);
        let records = page.records.into_iter();
        self.latest
            .extend(records.map(|record| (record.key, record.value)));
        page.end.saturating_sub(self.next.offset())
    }

    /// Returns the position after the records applied so far.
    pub(super) fn next(&self) -> Position {
        self.next
    }

    pub(super) fn last_page_records(&self) -> u64 {
        self.last_page_records
    }

    /// Returns the decoded latest records of the keys that are not deleted.
    pub(super) fn into_page(self, subject: Subject) -> SitePage {
        let next = self.next;
        let records = self.latest.into_iter();
        let records =
            records.filter_map(|(key, value)| decode(subject, &key, Some(value.as_deref()?), next));
        SitePage {
            records: records.collect(),
            next,
        }
    }
}

/// Returns the key of a roll-out's status.
pub(super) fn rollout_key(service: &str) -> String {
    format!("{ROLLOUT_KEY_PREFIX}{service}")
}

/// Returns the key of a suspect's record.
pub(super) fn suspect_key(fingerprint: Fingerprint) -> String {
    format!("{SUSPECT_KEY_PREFIX}{fingerprint}")
}

/// Encodes a record for appending: its length, the length of its key, the key and the value.
pub(super) fn encode_record(key: &str, value: &[u8]) -> Result<Vec<u8>, String> {
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
pub(super) fn parse_log_page(body: &[u8]) -> Result<LogPage, String> {
    let offsets_missing = "response to a read lacks the two offsets";
    let (end, rest) = body.split_first_chunk::<8>().ok_or(offsets_missing)?;
    let (_, mut rest) = rest.split_first_chunk::<8>().ok_or(offsets_missing)?;
    let mut records = Vec::new();
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let record = after.get(..length).ok_or("record truncated")?;
        records.push(parse_record(record)?);
        rest = &after[length..];
    }
    Ok(LogPage {
        end: u64::from_be_bytes(*end),
        records,
    })
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
pub(super) fn decode_latest_item(
    subject: Subject,
    item: &WireItem,
    end: Position,
) -> Option<SiteRecord> {
    let text = item.value.as_ref().filter(|text| !text.is_empty())?;
    match STANDARD.decode(text) {
        Ok(value) => decode(subject, &item.key, Some(&value), end),
        Err(error) => Some(SiteRecord::Unreadable {
            key: item.key.clone(),
            why: error.to_string(),
        }),
    }
}

/// Merges the hall and roll-out orders of a complete read into one record each, which also say that
/// there are no others.
pub(super) fn merge_orders(records: Vec<SiteRecord>, end: Position) -> Vec<SiteRecord> {
    let mut evacuated = EvacuatedHalls {
        complete_to: end,
        ..EvacuatedHalls::default()
    };
    let mut rollouts = RolloutOrders {
        complete_to: end,
        ..RolloutOrders::default()
    };
    let mut others = Vec::new();
    for record in records {
        match record {
            SiteRecord::HallOrder(order) => {
                evacuated.halls.insert(order.hall);
            }
            SiteRecord::RolloutChange(change) => {
                let order = change.order.into_iter();
                rollouts
                    .orders
                    .extend(order.map(|order| (change.service.clone(), order)));
            }
            other => {
                if let SiteRecord::Unreadable { key, .. } = &other
                    && let Some(service) = key.strip_prefix(ROLLOUT_KEY_PREFIX)
                {
                    rollouts.unreadable.insert(service.to_owned());
                }
                others.push(other);
            }
        }
    }
    others.push(SiteRecord::EvacuatedHalls(evacuated));
    others.push(SiteRecord::RolloutOrders(rollouts));
    others
}

/// Decodes a record of a subject; `next` is the position of the record after it. Returns `None` for
/// keys that larkwick does not read.
pub(super) fn decode(
    subject: Subject,
    key: &str,
    value: Option<&[u8]>,
    next: Position,
) -> Option<SiteRecord> {
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
    if key.starts_with(ROLLOUT_KEY_PREFIX) {
        let status = rollouts::decode_status(value?);
        return Some(record_or_unreadable(
            key,
            status.map(SiteRecord::RolloutStatus),
        ));
    }
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
    if let Some(service) = key.strip_prefix(ROLLOUT_KEY_PREFIX) {
        let order = value.map(|value| rollouts::decode_order(service, value));
        let change = order.transpose().map(|order| {
            SiteRecord::RolloutChange(RolloutOrderChange {
                service: service.to_owned(),
                order,
                next,
            })
        });
        return Some(record_or_unreadable(key, change));
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
