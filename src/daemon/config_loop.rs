//! Reads the configuration log, applies its records, serves them to peers and writes snapshots to
//! the log.

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

/// Maximum number of applied records kept in memory for peers.
const RECENT_RECORDS_MAX: usize = 2_048;
/// Timeout of fetching configuration from a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Instances per hall that read the log in every round; the others fetch new records from peers.
const LOG_READERS_PER_HALL: usize = 2;
/// Rounds between two reads of the log by an instance that is not a log reader.
const FALLBACK_READ_ROUNDS: u32 = 10;
/// Snapshots written per retention period of the log.
const SNAPSHOTS_PER_RETENTION: u32 = 4;
/// A snapshot is due when more than this many records follow the last one.
const SNAPSHOT_INTERVAL_RECORDS: u64 = 50_000;

/// The configuration state machine and the recent records that peers can fetch.
#[derive(Default)]
pub(crate) struct SharedConfig {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    state_machine: ConfigStateMachine,
    /// The most recently applied records, oldest first; the last has offset `next_offset - 1`.
    recent_records: VecDeque<Value>,
    /// When the log last confirmed this state, to this instance or to a peer that has the same.
    last_contact: Duration,
    last_snapshot: Option<ObservedSnapshot>,
    snapshot_disagreements: u64,
}

/// A snapshot found in the log.
#[derive(Clone, Copy)]
struct ObservedSnapshot {
    next_offset: u64,
    /// When this instance read it.
    observed_at: Duration,
}

/// Summary of the configuration for the debug dump.
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

impl SharedConfig {
    /// Returns the offset of the next record to apply.
    pub(crate) fn next_offset(&self) -> u64 {
        self.inner.lock().state_machine.state().next_offset
    }

    /// Returns the time since the log last confirmed this state, directly or through peers.
    pub(crate) fn confirmed_ago(&self, now: Duration) -> Duration {
        now.saturating_sub(self.inner.lock().last_contact)
    }

    /// Records that the log confirmed this state at `at`.
    pub(crate) fn record_confirmation(&self, at: Duration) {
        let mut inner = self.inner.lock();
        inner.last_contact = inner.last_contact.max(at);
    }

    /// Returns the lease in force for `hall`.
    pub(crate) fn lease(&self, hall: &str) -> Option<HeldLease> {
        self.inner
            .lock()
            .state_machine
            .state()
            .leases
            .held(hall)
            .cloned()
    }

    /// Returns a copy of the configuration state.
    pub(crate) fn state(&self) -> ConfigState {
        self.inner.lock().state_machine.state().clone()
    }

    /// Returns the summary for the debug dump.
    pub(crate) fn dump(&self, now: Duration) -> ConfigDump {
        let inner = self.inner.lock();
        let state = inner.state_machine.state();
        ConfigDump {
            next_offset: state.next_offset,
            objects: state.objects.len(),
            decided: state.decided.len(),
            tombstones: state.tombstones.len(),
            last_contact_ms_ago: crate::kernel::clock::millis(
                now.saturating_sub(inner.last_contact),
            ),
            snapshot_next_offset: inner.last_snapshot.map(|snapshot| snapshot.next_offset),
            snapshot_disagreements: inner.snapshot_disagreements,
        }
    }
}

/// Builds the reply to a peer that requests the records from `from_offset` on.
///
/// The reply holds the whole state instead of records if the requested records are no longer in
/// memory.
pub(crate) fn build_fetch_reply(node: &Node, from_offset: u64) -> wire::FetchConfigReply {
    let inner = node.config.inner.lock();
    let next_offset = inner.state_machine.state().next_offset;
    let first_recent = next_offset - inner.recent_records.len() as u64;
    if from_offset >= first_recent {
        let skip = usize::try_from(from_offset - first_recent).unwrap_or(usize::MAX);
        let records = inner.recent_records.iter().skip(skip).map(Value::to_string);
        return wire::FetchConfigReply {
            next_offset,
            records: records.collect(),
            state: String::new(),
        };
    }
    wire::FetchConfigReply {
        next_offset,
        records: Vec::new(),
        state: serde_json::to_string(inner.state_machine.state()).unwrap_or_default(),
    }
}

/// Applies consecutive records that start at `first_offset`.
///
/// Returns `false` if records before them are missing.
fn apply_records(node: &Node, first_offset: u64, values: Vec<Value>) -> bool {
    let records: Vec<Option<Record>> = values.iter().map(Record::from_json).collect();
    let now = node.now();
    let mut inner = node.config.inner.lock();
    let expected_offset = inner.state_machine.state().next_offset;
    let read = LogRead {
        first_offset,
        records: &records,
    };
    let applied = match inner.state_machine.catch_up(&read) {
        Ok(applied) => applied,
        Err(gap) => {
            warn!("configuration cannot be continued: {}", gap);
            return false;
        }
    };
    let skipped_ahead = first_offset > expected_offset;
    if skipped_ahead {
        inner.recent_records.clear();
    }
    let already_applied = values.len().saturating_sub(applied.len());
    for value in values.into_iter().skip(already_applied) {
        if inner.recent_records.len() == RECENT_RECORDS_MAX {
            inner.recent_records.pop_front();
        }
        inner.recent_records.push_back(value);
    }
    // The age of snapshots found while catching up after start-up is unknown, so they are ignored.
    if inner.last_contact > Duration::ZERO {
        inner.record_snapshots(&records, now);
    }
    inner.record_snapshot_disagreements(&applied);
    let changed = skipped_ahead
        || applied
            .iter()
            .any(|effect| matches!(effect, RecordEffect::PublishDecided(_)));
    let catalog = changed.then(|| Catalog::new(inner.state_machine.state()));
    drop(inner);
    activate_catalog(node, catalog);
    true
}

/// Makes `catalog` the one in force, if there is one.
fn activate_catalog(node: &Node, catalog: Option<Catalog>) {
    let Some(catalog) = catalog else { return };
    node.set_catalog(catalog);
    metrics::counter!("larkwick_config_changes_total").increment(1);
    info!("configuration in force", kv: { next_offset = node.config.next_offset() });
}

impl Inner {
    fn record_snapshots(&mut self, records: &[Option<Record>], now: Duration) {
        let newest = records.iter().rev().find_map(|record| match record {
            Some(Record::Snapshot(snapshot)) => Some(snapshot.state.next_offset),
            _ => None,
        });
        if let Some(next_offset) = newest {
            self.last_snapshot = Some(ObservedSnapshot {
                next_offset,
                observed_at: now,
            });
        }
    }

    fn record_snapshot_disagreements(&mut self, applied: &[RecordEffect]) {
        let disagreement = RecordEffect::Snapshot {
            digest_matches: Some(false),
        };
        let count = applied
            .iter()
            .filter(|effect| **effect == disagreement)
            .count() as u64;
        if count > 0 {
            self.snapshot_disagreements += count;
            metrics::counter!("larkwick_config_disagreements_total").increment(count);
            spdlog::error!("another instance's snapshot differs from this instance's state");
        }
    }
}

impl Record {
    fn from_json(value: &Value) -> Option<Self> {
        serde::Deserialize::deserialize(value).ok()
    }
}

/// Reads and applies the log up to its head.
async fn read_log(node: &Node) -> Result<(), PlatformError> {
    loop {
        let from = node.config.next_offset();
        let read_at = node.now();
        let mut page = node.platform.log.read(CONFIG_STREAM, from).await?;
        let first_offset = page.first_offset;
        let mut values = std::mem::take(&mut page.records);
        let has_gap = first_offset > from;
        while has_gap && first_offset + (values.len() as u64) < page.head {
            // The snapshot that covers the missing records may be anywhere up to the head.
            let next = first_offset + values.len() as u64;
            page = node.platform.log.read(CONFIG_STREAM, next).await?;
            values.append(&mut page.records);
        }
        if !values.is_empty() && !apply_records(node, first_offset, values) {
            return Ok(());
        }
        if has_gap && node.config.next_offset() == from {
            return Ok(());
        }
        if node.config.next_offset() >= page.head {
            node.config.record_confirmation(read_at);
            return Ok(());
        }
    }
}

/// Fetches records or the whole state from a peer that is ahead, and applies them.
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
        apply_records(node, from_offset, values);
        return Ok(());
    }
    let state: ConfigState = serde_json::from_str(&reply.state)
        .map_err(|error| tonic::Status::data_loss(error.to_string()))?;
    let catalog = {
        let mut inner = node.config.inner.lock();
        if !inner.state_machine.install_peer_state(state) {
            return Ok(());
        }
        inner.recent_records.clear();
        Catalog::new(inner.state_machine.state())
    };
    activate_catalog(node, Some(catalog));
    Ok(())
}

/// Returns whether this instance is one of the log readers of its hall.
fn is_log_reader(node: &Node) -> bool {
    let hall = &node.settings.hall;
    let own_weight = rendezvous_weight(hall, &node.incarnation.name);
    let members = node.members.lock();
    let higher_ranked = members
        .live(&node.settings.hall, node.now())
        .filter(|peer| peer.status.hall == *hall)
        .filter(|peer| rendezvous_weight(hall, &peer.status.incarnation.name) > own_weight)
        .count();
    higher_ranked < LOG_READERS_PER_HALL
}

/// Writes a snapshot to the log if the last one is too old or too many records follow it.
///
/// Instances attempt this at different times, so usually only one of them writes.
async fn write_snapshot_if_due(node: &Node) {
    let retention = ms(node.settings.times.log_retention_ms);
    let now = node.now();
    let snapshot = {
        let mut inner = node.config.inner.lock();
        let next_offset = inner.state_machine.state().next_offset;
        let is_due = match inner.last_snapshot {
            None => next_offset > 0,
            Some(last) => {
                let is_old =
                    now.saturating_sub(last.observed_at) > retention / SNAPSHOTS_PER_RETENTION;
                let has_many_records = next_offset > last.next_offset + SNAPSHOT_INTERVAL_RECORDS;
                // A snapshot record alone is no reason to write another snapshot.
                is_old || has_many_records
            }
        };
        is_due.then(|| inner.state_machine.snapshot(&node.incarnation.name))
    };
    let Some(snapshot) = snapshot else { return };
    let next_offset = snapshot.state.next_offset;
    let Ok(record) = serde_json::to_value(Record::Snapshot(Box::new(snapshot))) else {
        return;
    };
    match node.platform.log.append(CONFIG_STREAM, record).await {
        Ok(offset) => info!("snapshot written to the log", kv: { offset, next_offset }),
        Err(error) => warn!("cannot write snapshot to the log: {}", error),
    }
}

/// Keeps the configuration up to date until the node stops.
pub(crate) async fn run(node: Arc<Node>) {
    let poll_interval = ms(node.settings.times.config_poll_ms);
    let mut round: u32 = 0;
    loop {
        let should_read = is_log_reader(&node) || round.is_multiple_of(FALLBACK_READ_ROUNDS);
        if should_read {
            match read_log(&node).await {
                Ok(()) => {
                    if is_snapshot_writer(&node, round) {
                        write_snapshot_if_due(&node).await;
                    }
                }
                Err(error) => {
                    metrics::counter!("larkwick_log_read_failures_total").increment(1);
                    if round.is_multiple_of(FALLBACK_READ_ROUNDS) {
                        warn!("log cannot be read: {}", error);
                    }
                }
            }
        }
        round = round.wrapping_add(1);
        tokio::time::sleep(poll_interval).await;
    }
}

/// Returns whether this instance attempts to write a snapshot in this round.
///
/// The instance with the highest rendezvous weight attempts it in every round in which it reads the
/// log. The others attempt it only occasionally, in case that instance fails to write.
fn is_snapshot_writer(node: &Node, round: u32) -> bool {
    const FALLBACK_WRITE_ROUNDS: u32 = 64;
    let own_weight = rendezvous_weight("snapshot", &node.incarnation.name);
    let members = node.members.lock();
    let is_highest = members
        .live(&node.settings.hall, node.now())
        .all(|peer| rendezvous_weight("snapshot", &peer.status.incarnation.name) < own_weight);
    is_highest || (round > 0 && round.is_multiple_of(FALLBACK_WRITE_ROUNDS))
}
