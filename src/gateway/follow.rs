//! Keeps configuration, endpoints and members in step with the store: the newest records first, then whatever is added.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spdlog::{info, warn};

use super::heartbeat;
use super::node::{Gateway, MEMBER_RING};
use super::site_store::{MemberEntry, SitePage, SiteRecord, SiteStore, StoreError, Subject};
use crate::kernel::backoff::Backoff;
use crate::kernel::fingerprint::RequestFingerprint;
use crate::kernel::fleet::{FleetChange, ListUpdate};
use crate::kernel::membership::{Incarnation, ListedPeer, PeerStatus};
use crate::kernel::position::Position;

/// First pause after a failed call.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause: when the store is back, readers hear of it within this time and the others within twice that, so that all have caught
/// up well before the shortest span after which they are held to it, three seconds.
const PAUSE_MAX: Duration = Duration::from_millis(600);
/// Longest pause while nothing is known of a subject: callers are waiting, and the reads before it took half a second in an outage.
const PAUSE_UNKNOWN: Duration = Duration::from_millis(50);

/// A site that starts as a whole knows its members after about this long.
const MEMBERS_MET_WITHIN: Duration = Duration::from_millis(300);
/// A store that answers has told the members within this time; after it, a member that was heard is enough.
const MEMBERS_LISTED_WITHIN: Duration = Duration::from_millis(60);

/// After news, a read waits this long for what comes with it: endpoints leave several at a time, and a site starts as a whole. One read
/// is one call to the store for each reader.
const fn gather(subject: Subject) -> Duration {
    match subject {
        Subject::Configuration => Duration::ZERO,
        // Little of the 1.5 s that engines give notice.
        Subject::Endpoints => Duration::from_millis(25),
        Subject::Members => Duration::from_millis(500),
    }
}

/// Whether the store answers for a subject, and since when it does not.
struct Contact {
    subject: Subject,
    lost_since: Option<Duration>,
    pause: Backoff,
}

impl Contact {
    fn new(subject: Subject) -> Self {
        Self {
            subject,
            lost_since: None,
            pause: Backoff::new(PAUSE_MIN, PAUSE_MAX),
        }
    }

    fn answered(&mut self, gateway: &Gateway) {
        self.pause.reset();
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let now = gateway.now();
        let away_ms = now.saturating_sub(since).as_millis();
        info!("store regained", kv: { subject = self.subject.name(), away_ms: });
    }

    async fn failed(&mut self, gateway: &Gateway, error: &StoreError) {
        metrics::counter!("larkwick_store_failures_total").increment(1);
        if self.lost_since.is_none() {
            self.lost_since = Some(gateway.now());
            warn!("store lost", kv: { subject = self.subject.name(), why: = error });
        }
        let pause = self.pause.next_pause(rand::rng().random_range(0.0..1.0));
        let knows_nothing = gateway.store.knows_nothing(self.subject);
        let pause_max = if knows_nothing {
            PAUSE_UNKNOWN
        } else {
            PAUSE_MAX
        };
        tokio::time::sleep(pause.min(pause_max)).await;
    }
}

/// Waits a moment for the list of the members, or in an outage of the store for a first one that lives: what they know need not be read at
/// the store. An instance that has met one member only takes itself for a reader, and so would each of hundreds that start together.
async fn members_met(gateway: &Gateway) {
    const CHECK_EVERY: Duration = Duration::from_millis(15);
    let begun = gateway.now();
    loop {
        let waited = gateway.now().saturating_sub(begun);
        let is_listed = !gateway.store.knows_nothing(Subject::Members);
        let has_met = waited >= MEMBERS_LISTED_WITHIN && gateway.live_instance_count() >= 2;
        if is_listed || has_met || waited >= MEMBERS_MET_WITHIN {
            return;
        }
        tokio::time::sleep(CHECK_EVERY).await;
    }
}

/// Follows a subject for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>, subject: Subject) {
    if subject != Subject::Members {
        members_met(&gateway).await;
    }
    let mut contact = Contact::new(subject);
    loop {
        match gateway.store.newest(subject).await {
            Ok(page) => {
                contact.answered(&gateway);
                let next = page.next;
                take_newest(&gateway, subject, page);
                follow_from(&gateway, &mut contact, next).await;
            }
            Err(error) => contact.failed(&gateway, &error).await,
        }
    }
}

/// Reads on until records have expired or an answer cannot be read.
async fn follow_from(gateway: &Gateway, contact: &mut Contact, mut from: Position) {
    let subject = contact.subject;
    loop {
        // An answer without news shows that the store is there; after a failure, one that waits for news would not.
        let wait = if contact.lost_since.is_some() {
            Duration::ZERO
        } else {
            gateway.store.wait(subject)
        };
        match gateway.store.read(subject, from, wait).await {
            Ok(page) => {
                contact.answered(gateway);
                let is_news = page.next > from;
                from = page.next;
                take_records(gateway, subject, page.records);
                if is_news {
                    tokio::time::sleep(gather(subject)).await;
                }
            }
            // Noted where it was found.
            Err(StoreError::AnotherEra { .. }) => return,
            Err(error @ (StoreError::Expired { .. } | StoreError::Malformed(_))) => {
                warn!("records cannot be followed; reading the newest", kv: {
                    subject = subject.name(), from: = from, why: = error,
                });
                contact.failed(gateway, &error).await;
                return;
            }
            Err(error) => contact.failed(gateway, &error).await,
        }
    }
}

fn take_newest(gateway: &Arc<Gateway>, subject: Subject, page: SitePage) {
    if subject != Subject::Endpoints {
        if subject == Subject::Members {
            look_for_own_records(gateway, &page);
        }
        take_records(gateway, subject, page.records);
        if subject == Subject::Members {
            heartbeat::send_heartbeats(gateway);
        }
        return;
    }
    let mut news = ListUpdate::default();
    for record in page.records {
        take_list_record(gateway, &mut news, record);
    }
    note_regained(gateway);
    let changes = gateway.fleet.lock().apply_full_list(news, gateway.now());
    gateway.mark_fleet_loaded();
    tell_changes(&changes);
}

/// Has what this instance wrote written again where the store holds it no more since it came back from an older copy. Within an era nothing is lost, and
/// a list may be older than what was written.
fn look_for_own_records(gateway: &Gateway, page: &SitePage) {
    let era = page.next.era();
    let before = gateway.own_records_checked_era.lock().replace(era);
    if before.is_none_or(|before| before >= era) {
        return;
    }
    let records = &page.records;
    let own = &gateway.incarnation;
    let is_own = |record: &SiteRecord| match record {
        SiteRecord::Member(entry) => entry.name == own.name && entry.incarnation == own.id,
        _ => false,
    };
    if !records.iter().any(is_own) {
        gateway.own_entry_lost.notify_one();
    }
    let kept = records.iter().filter_map(|record| match record {
        SiteRecord::Suspect(kept) => Some(kept.content()),
        _ => None,
    });
    let kept: BTreeSet<RequestFingerprint> = kept.collect();
    if gateway.suspects.lock().sync_stored(&kept) {
        gateway.suspects_changed.notify_one();
    }
}

/// Adds a record of the list to the news; a later word on an endpoint takes the place of an earlier one.
fn take_list_record(gateway: &Gateway, news: &mut ListUpdate, record: SiteRecord) {
    match record {
        SiteRecord::Endpoint(entry) => news.add_entry(entry),
        SiteRecord::EndpointGone(listed_id) => news.add_vanished(listed_id),
        SiteRecord::Unreadable { key, why } => {
            tell_unreadable("entry not read; its endpoint is not used", &key, &why);
            news.add_unreadable(key);
        }
        other => take_other(gateway, other),
    }
}

/// Entries that are missing right after an outage of the list may come back.
fn note_regained(gateway: &Gateway) {
    if let Some(at) = gateway.store.regained_at(Subject::Endpoints) {
        gateway.fleet.lock().record_list_recovery(at);
    }
}

fn take_records(gateway: &Gateway, subject: Subject, records: Vec<SiteRecord>) {
    if subject == Subject::Endpoints {
        take_list_records(gateway, records);
        return;
    }
    for record in records {
        take_other(gateway, record);
    }
}

fn take_list_records(gateway: &Gateway, records: Vec<SiteRecord>) {
    let mut news = ListUpdate::default();
    for record in records {
        take_list_record(gateway, &mut news, record);
    }
    note_regained(gateway);
    let changes = gateway.fleet.lock().apply_update(news, gateway.now());
    tell_changes(&changes);
    gateway.ledgers.wake();
    let mut changes = changes.iter();
    if changes.any(|change| matches!(change, FleetChange::Left(_))) {
        // Owners move generations that were reported with an event.
        gateway.ledgers.changed.notify_one();
    }
}

fn take_other(gateway: &Gateway, record: SiteRecord) {
    match record {
        SiteRecord::Configuration(config) => gateway.apply_config(config, "store"),
        SiteRecord::Member(entry) => take_member(gateway, entry),
        SiteRecord::Suspect(kept) => gateway.merge_stored_suspect(&kept),
        SiteRecord::SuspectGone(content) => gateway.suspects.lock().mark_not_stored(content),
        SiteRecord::HallOrder(order) => gateway.apply_hall_order(&order),
        SiteRecord::EvacuatedHalls(told) => gateway.merge_evacuated_halls(&told, "store"),
        SiteRecord::Unreadable { key, why } => {
            tell_unreadable("record not read; what was known stays", &key, &why);
        }
        SiteRecord::Endpoint(_) | SiteRecord::EndpointGone(_) => {}
    }
}

fn tell_unreadable(what: &'static str, key: &str, why: &str) {
    metrics::counter!("larkwick_records_unreadable_total").increment(1);
    if crate::log::admits(what) {
        warn!("{}", what, kv: { key, why });
    }
}

fn take_member(gateway: &Gateway, entry: MemberEntry) {
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

/// Logs what changed in the fleet.
pub(crate) fn tell_changes(changes: &[FleetChange]) {
    for change in changes {
        let (what, entry) = match change {
            FleetChange::Joined(entry) => ("endpoint joined", entry),
            FleetChange::Left(entry) => ("endpoint leaving", entry),
        };
        info!("{}", what, kv: {
            endpoint = entry.id.as_str(), service = entry.service.as_str(), address: = entry.address,
        });
    }
}
