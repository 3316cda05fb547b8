//! Reads the log, folds its records, passes them on to peers and keeps snapshots in the log.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Serialize;
use serde_json::Value;
use spdlog::{info, warn};

use super::node::Node;
use crate::kernel::config::{ConfigState, ConfigStateMachine, LogRead, Record, RecordEffect};
use crate::kernel::lease::HeldLease;
use crate::kernel::membership::rendezvous_weight;
use crate::kernel::rules::Catalog;
use crate::log_service::{CONFIG_STREAM, PlatformError};
use crate::peer::client::call_with_timeout;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Records kept for peers.
const RECENT_RECORDS: usize = 2_048;
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Instances per hall that read the log at the full rate; the others are told by peers.
const READERS_PER_HALL: usize = 2;
/// The others read the log this many times less often.
const FALLBACK_READ_EVERY: u32 = 10;
/// Snapshots in the log per time that the log keeps records.
const SNAPSHOTS_PER_RETENTION: u32 = 4;
/// A snapshot is written at the latest after this many records.
const SNAPSHOT_AFTER_RECORDS: u64 = 50_000;

/// The fold and what peers may ask of it.
#[derive(Default)]
pub(crate) struct ConfigShard {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    fold: ConfigStateMachine,
    /// The newest records applied, oldest first; the last one has offset `next_offset - 1`.
    recent: VecDeque<Value>,
    /// When the log or a live peer last confirmed this state.
    last_contact: Duration,
    last_snapshot: Option<SnapshotSeen>,
    disagreements: u64,
}

#[derive(Clone, Copy)]
struct SnapshotSeen {
    next_offset: u64,
    at: Duration,
}

/// The shard in a dump.
#[derive(Debug, Serialize)]
pub(crate) struct ConfigDump {
    next_offset: u64,
    objects: usize,
    decided: usize,
    tombstones: usize,
    last_contact_ms_ago: u64,
    snapshot_next_offset: Option<u64>,
    snapshot_disagreements: u64,
}

impl ConfigShard {
    /// Offset of the next record.
    pub(crate) fn next_offset(&self) -> u64 {
        self.inner.lock().fold.state().next_offset
    }

    /// When the state was last confirmed.
    pub(crate) fn last_contact(&self) -> Duration {
        self.inner.lock().last_contact
    }

    /// The claim in force for a hall.
    pub(crate) fn lease(&self, hall: &str) -> Option<HeldLease> {
        self.inner.lock().fold.state().leases.held(hall).cloned()
    }

    /// A copy of the state.
    pub(crate) fn state(&self) -> ConfigState {
        self.inner.lock().fold.state().clone()
    }

    /// Counts for the dump.
    pub(crate) fn dump(&self, now: Duration) -> ConfigDump {
        let inner = self.inner.lock();
        let state = inner.fold.state();
        ConfigDump {
            next_offset: state.next_offset,
            objects: state.objects.len(),
            decided: state.decided.len(),
            tombstones: state.tombstones.len(),
            last_contact_ms_ago: crate::kernel::clock::millis(
                now.saturating_sub(inner.last_contact),
            ),
            snapshot_next_offset: inner.last_snapshot.map(|seen| seen.next_offset),
            snapshot_disagreements: inner.disagreements,
        }
    }
}

/// What a peer gets that asks for records from an offset on.
pub(crate) fn give(node: &Node, from_offset: u64) -> wire::FetchConfigReply {
    let inner = node.config.inner.lock();
    let next_offset = inner.fold.state().next_offset;
    let first_recent = next_offset - inner.recent.len() as u64;
    if from_offset >= first_recent {
        let skip = usize::try_from(from_offset - first_recent).unwrap_or(usize::MAX);
        let records = inner.recent.iter().skip(skip).map(Value::to_string);
        return wire::FetchConfigReply {
            next_offset,
            records: records.collect(),
            state: String::new(),
        };
    }
    wire::FetchConfigReply {
        next_offset,
        records: Vec::new(),
        state: serde_json::to_string(inner.fold.state()).unwrap_or_default(),
    }
}

/// Applies consecutive records that begin at `first_offset`. Gives false where records in between are missing.
fn take_records(node: &Node, first_offset: u64, values: Vec<Value>) -> bool {
    let records: Vec<Option<Record>> = values.iter().map(Record::deserialize_from).collect();
    let now = node.now();
    let mut inner = node.config.inner.lock();
    let before = inner.fold.state().next_offset;
    let read = LogRead {
        first_offset,
        records: &records,
    };
    let applied = match inner.fold.catch_up(&read) {
        Ok(applied) => applied,
        Err(gap) => {
            warn!("configuration cannot be continued: {}", gap);
            return false;
        }
    };
    let jumped = first_offset > before;
    if jumped {
        inner.recent.clear();
    }
    let new = values.len().saturating_sub(applied.len());
    for value in values.into_iter().skip(new) {
        if inner.recent.len() == RECENT_RECORDS {
            inner.recent.pop_front();
        }
        inner.recent.push_back(value);
    }
    // The age of snapshots found at the start is unknown, so they count for nothing.
    if inner.last_contact > Duration::ZERO {
        inner.note_snapshots(&records, now);
    }
    inner.note_disagreements(&applied);
    let changed = jumped
        || applied
            .iter()
            .any(|one| matches!(one, RecordEffect::PublishDecided(_)));
    let catalog = changed.then(|| Catalog::new(inner.fold.state()));
    drop(inner);
    install(node, catalog);
    true
}

fn install(node: &Node, catalog: Option<Catalog>) {
    let Some(catalog) = catalog else { return };
    node.set_catalog(catalog);
    metrics::counter!("larkwick_config_changes_total").increment(1);
    info!("configuration in force", kv: { next_offset = node.config.next_offset() });
}

impl Inner {
    fn note_snapshots(&mut self, records: &[Option<Record>], now: Duration) {
        let newest = records.iter().rev().find_map(|record| match record {
            Some(Record::Snapshot(snapshot)) => Some(snapshot.state.next_offset),
            _ => None,
        });
        if let Some(next_offset) = newest {
            self.last_snapshot = Some(SnapshotSeen {
                next_offset,
                at: now,
            });
        }
    }

    fn note_disagreements(&mut self, applied: &[RecordEffect]) {
        let disagree = RecordEffect::Snapshot {
            digest_matches: Some(false),
        };
        let count = applied.iter().filter(|one| **one == disagree).count() as u64;
        if count > 0 {
            self.disagreements += count;
            metrics::counter!("larkwick_config_disagreements_total").increment(count);
            spdlog::error!("another instance's snapshot differs from this instance's state");
        }
    }
}

impl Record {
    fn deserialize_from(value: &Value) -> Option<Self> {
        serde::Deserialize::deserialize(value).ok()
    }
}

/// Reads the log until its head.
async fn read_log(node: &Node) -> Result<(), PlatformError> {
    loop {
        let from = node.config.next_offset();
        let mut page = node.platform.log.read(CONFIG_STREAM, from).await?;
        let first_offset = page.first_offset;
        let mut values = std::mem::take(&mut page.records);
        let gap = first_offset > from;
        while gap && first_offset + (values.len() as u64) < page.head {
            // The snapshot that closes the gap may stand anywhere up to the head.
            let next = first_offset + values.len() as u64;
            page = node.platform.log.read(CONFIG_STREAM, next).await?;
            values.append(&mut page.records);
        }
        if !values.is_empty() && !take_records(node, first_offset, values) {
            return Ok(());
        }
        if gap && node.config.next_offset() == from {
            return Ok(());
        }
        if node.config.next_offset() >= page.head {
            node.config.inner.lock().last_contact = node.now();
            return Ok(());
        }
    }
}

/// Takes records or state from a peer that is ahead.
pub(crate) async fn fetch_from_peer(node: &Node, address: &str) -> Result<(), tonic::Status> {
    let from_offset = node.config.next_offset();
    let mut client = node.peers.peer_client(address)?;
    let request = wire::FetchConfigRequest { from_offset };
    let reply = call_with_timeout(PEER_TIMEOUT, client.fetch_config(request)).await?;
    if reply.next_offset <= from_offset {
        return Ok(());
    }
    if reply.state.is_empty() {
        let values: Vec<Value> = reply
            .records
            .iter()
            .filter_map(|text| serde_json::from_str(text).ok())
            .collect();
        take_records(node, from_offset, values);
        return Ok(());
    }
    let state: ConfigState = serde_json::from_str(&reply.state)
        .map_err(|error| tonic::Status::data_loss(error.to_string()))?;
    let catalog = {
        let mut inner = node.config.inner.lock();
        if !inner.fold.install_peer_state(state) {
            return Ok(());
        }
        inner.recent.clear();
        Catalog::new(inner.fold.state())
    };
    install(node, Some(catalog));
    Ok(())
}

/// Records that a live peer confirmed this state.
pub(crate) fn confirmed_by_peer(node: &Node) {
    node.config.inner.lock().last_contact = node.now();
}

/// Whether this instance is among its hall's readers of the log.
fn is_reader(node: &Node) -> bool {
    let hall = &node.settings.hall;
    let own = rendezvous_weight(hall, &node.incarnation.name);
    let members = node.members.lock();
    let ahead = members
        .live(&node.settings.hall, node.now())
        .filter(|peer| peer.status.hall == *hall)
        .filter(|peer| rendezvous_weight(hall, &peer.status.incarnation.name) > own)
        .count();
    ahead < READERS_PER_HALL
}

/// Writes a snapshot where none is recent enough. All instances try at different times, so that one write suffices.
async fn maybe_snapshot(node: &Node) {
    let retention = ms(node.settings.times.log_retention_ms);
    let now = node.now();
    let snapshot = {
        let mut inner = node.config.inner.lock();
        let next_offset = inner.fold.state().next_offset;
        let due = match inner.last_snapshot {
            None => next_offset > 0,
            Some(seen) => {
                let old = now.saturating_sub(seen.at) > retention / SNAPSHOTS_PER_RETENTION;
                let long = next_offset > seen.next_offset + SNAPSHOT_AFTER_RECORDS;
                // A snapshot record alone gives nothing new to keep.
                old || long
            }
        };
        due.then(|| inner.fold.snapshot(&node.incarnation.name))
    };
    let Some(snapshot) = snapshot else { return };
    let next_offset = snapshot.state.next_offset;
    let Ok(record) = serde_json::to_value(Record::Snapshot(Box::new(snapshot))) else {
        return;
    };
    match node.platform.log.append(CONFIG_STREAM, record).await {
        Ok(offset) => info!("snapshot written", kv: { offset, next_offset }),
        Err(error) => warn!("snapshot not written: {}", error),
    }
}

/// Runs for the life of the node.
pub(crate) async fn run(node: Arc<Node>) {
    let poll = ms(node.settings.times.config_poll_ms);
    let mut round: u32 = 0;
    loop {
        let reads = is_reader(&node) || round.is_multiple_of(FALLBACK_READ_EVERY);
        if reads {
            match read_log(&node).await {
                Ok(()) => {
                    if is_snapshot_writer(&node, round) {
                        maybe_snapshot(&node).await;
                    }
                }
                Err(error) => {
                    metrics::counter!("larkwick_log_read_failures_total").increment(1);
                    if round.is_multiple_of(FALLBACK_READ_EVERY) {
                        warn!("log cannot be read: {}", error);
                    }
                }
            }
        }
        round = round.wrapping_add(1);
        tokio::time::sleep(poll).await;
    }
}

/// The instance with the highest weight writes; the others only from time to time, should it fail to.
fn is_snapshot_writer(node: &Node, round: u32) -> bool {
    const OTHERS_EVERY: u32 = 64;
    let own = rendezvous_weight("snapshot", &node.incarnation.name);
    let members = node.members.lock();
    let first = members
        .live(&node.settings.hall, node.now())
        .all(|peer| rendezvous_weight("snapshot", &peer.status.incarnation.name) < own);
    first || (round > 0 && round.is_multiple_of(OTHERS_EVERY))
}
