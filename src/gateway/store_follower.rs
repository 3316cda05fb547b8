//! Synchronizes configuration, endpoints and members with the store: reads the latest record of
//! each key first, then follows new records.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spdlog::{info, warn};

use super::heartbeat;
use super::node::{Gateway, MEMBER_RING};
use super::site_store::{MemberEntry, SitePage, SiteRecord, SiteStore, StoreError, Subject};
use crate::kernel::backoff::Backoff;
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::fleet::{FleetChange, ListUpdate};
use crate::kernel::membership::{Incarnation, ListedPeer, PeerStatus};
use crate::kernel::position::Position;
use crate::kernel::rollout::RolloutStatus;

/// Initial pause after a failed call.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(100);
/// Maximum pause after a failed call. Readers notice a recovery of the store within this time and
/// other instances within twice that, well before the shortest deadline for catching up, three
/// seconds.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(600);
/// Maximum pause while a subject has no data. Callers are waiting, and in an outage the reads
/// before the pause already take half a second.
const PAUSE_WITHOUT_DATA_MAX: Duration = Duration::from_millis(50);

/// Maximum wait for the list of members, with a margin for a site of thousands that starts.
const MEMBERS_WAIT_MAX: Duration = Duration::from_secs(2);
/// Maximum wait for this instance's own entry to be written before the members are read.
const OWN_ENTRY_WAIT_MAX: Duration = Duration::from_millis(150);
/// Interval of checks while an instance waits for its own entry or the list of members.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum number of changes of the endpoint list that are logged one by one.
const LOGGED_CHANGES_MAX: usize = 16;

/// Returns the delay after new records, so that the next read returns the following records in one
/// batch: endpoints leave several at a time, and the instances of a site start together. Each read
/// costs one call to the store per reader.
fn batching_delay(gateway: &Gateway, subject: Subject) -> Duration {
    match subject {
        Subject::Configuration => Duration::ZERO,
        Subject::Endpoints => gateway.store.endpoints_batching_delay(),
        Subject::Members => Duration::from_millis(500),
    }
}

/// Availability of the store for a subject, and the pause after failed calls.
struct StoreStatus {
    subject: Subject,
    unavailable_since: Option<Duration>,
    pause: Backoff,
}

impl StoreStatus {
    fn new(subject: Subject) -> Self {
        Self {
            subject,
            unavailable_since: None,
            pause: Backoff::new(RETRY_PAUSE_MIN, RETRY_PAUSE_MAX),
        }
    }

    fn record_success(&mut self, gateway: &Gateway) {
        self.pause.reset();
        let Some(since) = self.unavailable_since.take() else {
            return;
        };
        let now = gateway.now();
        let away_ms = now.saturating_sub(since).as_millis();
        info!("store regained", kv: { subject = self.subject.name(), away_ms: });
    }

    /// Pauses before the latest records are read although the store answers.
    async fn pause(&mut self) {
        let pause = self.pause.next_pause(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(pause).await;
    }

    async fn pause_after_failure(&mut self, gateway: &Gateway, error: &StoreError) {
        metrics::counter!("larkwick_store_failures_total").increment(1);
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(gateway.now());
            warn!("store lost", kv: { subject = self.subject.name(), why: = error });
        }
        let pause = self.pause.next_pause(rand::rng().random_range(0.0..1.0));
        let has_no_data = gateway.store.has_no_data(self.subject);
        let pause_max = if has_no_data {
            PAUSE_WITHOUT_DATA_MAX
        } else {
            RETRY_PAUSE_MAX
        };
        tokio::time::sleep(pause.min(pause_max)).await;
    }
}

/// Waits until a condition holds, at most for `max`.
async fn wait_until(gateway: &Gateway, max: Duration, holds: impl Fn() -> bool) {
    let deadline = gateway.now() + max;
    while !holds() && gateway.now() < deadline {
        tokio::time::sleep(START_CHECK_INTERVAL).await;
    }
}

/// Waits for the list of members or, if the store fails, for a first live peer. Data that peers
/// have need not be read from the store. An instance that knows only one member acts as a reader,
/// and so would each of hundreds that start together.
async fn wait_for_members(gateway: &Gateway) {
    wait_until(gateway, MEMBERS_WAIT_MAX, || {
        let is_store_failing = gateway.store.is_failing(Subject::Members);
        !gateway.store.has_no_data(Subject::Members)
            || (is_store_failing && gateway.live_instance_count() >= 2)
    })
    .await;
}

/// Waits for this instance's own entry to be written, so that the members that are read next
/// include those that started before it.
async fn wait_for_own_entry(gateway: &Gateway) {
    wait_until(gateway, OWN_ENTRY_WAIT_MAX, || {
        gateway.store.has_written_own_entry()
    })
    .await;
}

/// Follows a subject for the lifetime of the instance.
pub(crate) async fn follow_subject(gateway: Arc<Gateway>, subject: Subject) {
    if subject == Subject::Members {
        wait_for_own_entry(&gateway).await;
    } else {
        wait_for_members(&gateway).await;
    }
    let mut status = StoreStatus::new(subject);
    loop {
        match gateway.store.read_latest(subject).await {
            Ok(page) => {
                status.record_success(&gateway);
                let next = page.next;
                apply_latest(&gateway, subject, page);
                follow_from(&gateway, &mut status, next).await;
            }
            Err(error) => status.pause_after_failure(&gateway, &error).await,
        }
    }
}

/// Follows new records until records have expired, the era changes or a response cannot be decoded.
async fn follow_from(gateway: &Gateway, status: &mut StoreStatus, mut from: Position) {
    let subject = status.subject;
    loop {
        // After a failure, an immediate response without records shows that the store is available
        // again; a read that waits for records would delay this.
        let wait = if status.unavailable_since.is_some() {
            Duration::ZERO
        } else {
            gateway.store.poll_wait(subject)
        };
        match gateway.store.read(subject, from, wait).await {
            Ok(page) => {
                status.record_success(gateway);
                let has_new_records = page.next > from;
                from = page.next;
                apply_records(gateway, subject, page.records);
                if has_new_records {
                    tokio::time::sleep(batching_delay(gateway, subject)).await;
                }
            }
            // Already logged by the shared store.
            Err(StoreError::EraChanged { .. }) => return,
            Err(error @ (StoreError::Expired { .. } | StoreError::Malformed(_))) => {
                warn!("cannot continue from the last position; reading the latest records", kv: {
                    subject = subject.name(), from: = from, why: = error,
                });
                status.pause().await;
                return;
            }
            Err(error) => status.pause_after_failure(gateway, &error).await,
        }
    }
}

/// Applies a page with the latest record of each key.
fn apply_latest(gateway: &Arc<Gateway>, subject: Subject, page: SitePage) {
    if subject != Subject::Endpoints {
        if subject == Subject::Members {
            rewrite_missing_records(gateway, &page);
        }
        apply_records(gateway, subject, page.records);
        if subject == Subject::Members {
            heartbeat::send_heartbeats(gateway);
        }
        return;
    }
    let mut update = ListUpdate::default();
    for record in page.records {
        collect_list_record(gateway, &mut update, record);
    }
    record_list_recovery(gateway);
    let changes = gateway.fleet.lock().apply_full_list(update, gateway.now());
    gateway.mark_fleet_loaded();
    log_fleet_changes(&changes);
}

/// Triggers rewriting of records that are missing after the store was restored from an older copy:
/// this instance's own ones, and the results of roll-outs. Does nothing within an era: no record is
/// lost then, and a list may be older than the last write.
fn rewrite_missing_records(gateway: &Gateway, page: &SitePage) {
    let era = page.next.era();
    let before = gateway.own_records_checked_era.lock().replace(era);
    if before.is_none_or(|before| before >= era) {
        return;
    }
    let records = &page.records;
    let statuses = records.iter().filter_map(|record| match record {
        SiteRecord::RolloutStatus(status) => Some(status),
        _ => None,
    });
    let statuses: Vec<&RolloutStatus> = statuses.collect();
    gateway.rollouts.statuses.lock().sync_stored(&statuses);
    let own = &gateway.incarnation;
    let is_own = |record: &SiteRecord| match record {
        SiteRecord::Member(entry) => entry.name == own.name && entry.incarnation == own.id,
        _ => false,
    };
    if !records.iter().any(is_own) {
        gateway.own_entry_lost.notify_one();
    }
    let stored = records.iter().filter_map(|record| match record {
        SiteRecord::Suspect(stored) => Some(stored.fingerprint()),
        _ => None,
    });
    let stored: BTreeSet<Fingerprint> = stored.collect();
    if gateway.crash_suspects.lock().sync_stored(&stored) {
        gateway.suspects_changed.notify_one();
    }
}

/// Adds a record of the endpoint list to an update; a later record of an endpoint replaces an
/// earlier one.
fn collect_list_record(gateway: &Gateway, update: &mut ListUpdate, record: SiteRecord) {
    match record {
        SiteRecord::Endpoint(entry) => update.add_entry(entry),
        SiteRecord::EndpointGone(listed_id) => update.add_vanished(listed_id),
        SiteRecord::Unreadable { key, why } => {
            log_unreadable("entry not read; its endpoint is not used", &key, &why);
            update.add_unreadable(key);
        }
        other => apply_record(gateway, other),
    }
}

/// Reports a recovery of the store to the fleet: entries missing right after an outage may come
/// back.
fn record_list_recovery(gateway: &Gateway) {
    if let Some(at) = gateway.store.recovered_at(Subject::Endpoints) {
        gateway.fleet.lock().record_list_recovery(at);
    }
}

fn apply_records(gateway: &Gateway, subject: Subject, records: Vec<SiteRecord>) {
    if subject == Subject::Endpoints {
        apply_endpoint_records(gateway, records);
        return;
    }
    for record in records {
        apply_record(gateway, record);
    }
}

fn apply_endpoint_records(gateway: &Gateway, records: Vec<SiteRecord>) {
    let mut update = ListUpdate::default();
    for record in records {
        collect_list_record(gateway, &mut update, record);
    }
    record_list_recovery(gateway);
    let changes = gateway.fleet.lock().apply_update(update, gateway.now());
    log_fleet_changes(&changes);
    gateway.ledgers.wake_coordinator();
    let mut changes = changes.iter();
    if changes.any(|change| matches!(change, FleetChange::Left(_))) {
        // Owners move generations that were reported with an event.
        gateway.ledgers.runs_changed.notify_one();
    }
}

fn apply_record(gateway: &Gateway, record: SiteRecord) {
    match record {
        SiteRecord::Configuration(config) => gateway.apply_config(config, "store"),
        SiteRecord::Member(entry) => apply_member(gateway, entry),
        SiteRecord::Suspect(stored) => gateway.merge_stored_suspect(&stored),
        SiteRecord::SuspectGone(fingerprint) => {
            gateway.crash_suspects.lock().mark_not_stored(fingerprint);
        }
        SiteRecord::RolloutChange(change) => gateway
            .rollouts
            .apply_change(change, gateway.clock.as_ref()),
        SiteRecord::RolloutOrders(orders) => gateway
            .rollouts
            .apply_orders(&orders, gateway.clock.as_ref()),
        SiteRecord::RolloutStatus(status) => gateway.rollouts.apply_status(status, gateway.now()),
        SiteRecord::HallOrder(order) => gateway.apply_hall_order(&order),
        SiteRecord::EvacuatedHalls(halls) => gateway.merge_evacuated_halls(&halls, "store"),
        SiteRecord::Unreadable { key, why } => {
            log_unreadable("record not read; what was known stays", &key, &why);
        }
        SiteRecord::Endpoint(_) | SiteRecord::EndpointGone(_) => {}
    }
}

fn log_unreadable(message: &'static str, key: &str, why: &str) {
    metrics::counter!("larkwick_records_unreadable_total").increment(1);
    if crate::log::should_log(message) {
        warn!("{}", message, kv: { key, why });
    }
}

fn apply_member(gateway: &Gateway, entry: MemberEntry) {
    if entry.name == gateway.incarnation.name {
        return;
    }
    let status = PeerStatus {
        incarnation: Incarnation {
            name: entry.name.clone(),
            id: entry.incarnation,
        },
        hall: MEMBER_RING.to_owned(),
        caller_address: entry.caller_address.to_string(),
        peer_address: entry.peer_address.to_string(),
        operator_address: String::new(),
        leaving: false,
        ticket_epoch: 0,
        config_next_offset: 0,
    };
    let now = gateway.now();
    let own_name = &gateway.incarnation.name;
    gateway
        .members
        .lock()
        .apply_list(&[ListedPeer { status }], own_name, now);
    gateway.record_member_entry(entry);
}

/// Logs endpoints that joined or are leaving, or only how many if there are very many.
pub(crate) fn log_fleet_changes(changes: &[FleetChange]) {
    if changes.len() > LOGGED_CHANGES_MAX {
        let is_join = |change: &&FleetChange| matches!(change, FleetChange::Joined(_));
        let joined = changes.iter().filter(is_join).count();
        let left = changes.len() - joined;
        info!("endpoints changed", kv: { joined:, left: });
        return;
    }
    for change in changes {
        let (message, entry) = match change {
            FleetChange::Joined(entry) => ("endpoint joined", entry),
            FleetChange::Left(entry) => ("endpoint leaving", entry),
        };
        info!("{}", message, kv: {
            endpoint = entry.id.as_str(), service = entry.service.as_str(), address: = entry.address,
        });
    }
}
