//! Cache of one subject of the store, with encoded pages for peers that read from this instance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use spdlog::warn;

use super::chunked_pages::EncodedPage;
use super::site_store::{SitePage, SiteRecord, Subject};
use crate::kernel::evacuation::EvacuatedHalls;
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::position::Position;
use crate::kernel::rollout_orders::RolloutOrders;
use crate::kernel::route::RouteConfig;

/// Number of recent records that are always kept for peers that continue from an earlier position.
const RECENT_RECORDS_MIN: usize = 512;
/// Share of the subject's keys for which recent records are kept. A peer that is further behind
/// reads the latest record of each key, which is not much more.
const RECENT_RECORDS_DIVISOR: usize = 4;

/// Cached records of a subject.
#[derive(Debug)]
pub(super) struct SubjectCache {
    subject: Subject,
    /// Latest record of each key; empty before the first page.
    latest: BTreeMap<String, SiteRecord>,
    /// The most recent records in order, each with a position before which it is included. Empty for
    /// the configuration: only its latest record matters, and each record may be a megabyte in size.
    recent_records: VecDeque<(Position, SiteRecord)>,
    /// Position after which all records are in `recent_records`.
    recent_from: Position,
    /// Position after the last record that may take an endpoint out of service.
    urgent_to: Position,
    /// The evacuated halls. Every page of the configuration subject includes them, since they are
    /// few and small.
    evacuated: EvacuatedHalls,
    /// The roll-out orders. Every page of the configuration subject includes them, too.
    rollouts: RolloutOrders,
    /// Readers that have reached this position have the latest configuration.
    config_position: Position,
    /// Position of the next record.
    pub(super) next: Position,
    /// Time at which the store last confirmed the data, by this instance's clock.
    pub(super) confirmed_at: Option<Duration>,
    /// The last encoded page and its first position. Most peers request the same page.
    encoded: Option<(Position, EncodedPage)>,
    /// The latest record of each key, encoded.
    encoded_full: Option<EncodedPage>,
}

impl SubjectCache {
    pub(super) fn new(subject: Subject) -> Self {
        Self {
            subject,
            latest: BTreeMap::new(),
            recent_records: VecDeque::new(),
            recent_from: Position::default(),
            urgent_to: Position::default(),
            evacuated: EvacuatedHalls::default(),
            rollouts: RolloutOrders::default(),
            config_position: Position::default(),
            next: Position::default(),
            confirmed_at: None,
            encoded: None,
            encoded_full: None,
        }
    }

    /// Applies a record as the latest of its key. `page_end` is the end of the page that contained
    /// it.
    fn apply_record(&mut self, record: &SiteRecord, page_end: Position) {
        let key = match record {
            SiteRecord::EvacuatedHalls(halls) => {
                self.evacuated.replace_if_older(halls);
                return;
            }
            SiteRecord::HallOrder(order) => {
                self.evacuated.apply(order);
                return;
            }
            SiteRecord::RolloutOrders(orders) => {
                self.rollouts.replace_if_older(orders);
                return;
            }
            SiteRecord::RolloutChange(change) => {
                self.rollouts.apply(change.clone());
                return;
            }
            SiteRecord::EndpointGone(listed_id) => {
                self.latest.remove(listed_id);
                return;
            }
            SiteRecord::Configuration(config) => {
                self.config_position = page_end;
                if self.is_older_than_cached(config) {
                    return;
                }
                String::new()
            }
            SiteRecord::Endpoint(entry) => entry.listed_id.clone(),
            SiteRecord::Member(entry) => entry.name.clone(),
            SiteRecord::RolloutStatus(status) => format!("rollout/{}", status.service),
            SiteRecord::Suspect(stored) => suspect_key(stored.fingerprint()),
            SiteRecord::SuspectGone(fingerprint) => {
                self.latest.remove(&suspect_key(*fingerprint));
                return;
            }
            // Readers of the list must not use the earlier entry of this key.
            SiteRecord::Unreadable { key, .. } if self.subject == Subject::Endpoints => key.clone(),
            SiteRecord::Unreadable { .. } => return,
        };
        self.latest.insert(key, record.clone());
    }

    /// Replaces the cached records by a page with the latest record of each key.
    ///
    /// What it changes is kept for peers that continue from an earlier position of the same era:
    /// otherwise a store that forgets its history would make all members read the whole list again.
    pub(super) fn replace(&mut self, page: &SitePage, confirmed_at: Duration) {
        let before = std::mem::take(&mut self.latest);
        // A store restored from an older copy may return an older configuration, which must not be
        // served to peers.
        let config = before
            .get("")
            .filter(|_| self.subject == Subject::Configuration);
        self.latest
            .extend(config.map(|config| (String::new(), config.clone())));
        self.invalidate_encoded();
        for record in &page.records {
            self.apply_record(record, page.next);
        }
        let continues = self.confirmed_at.is_some()
            && self.next.era() == page.next.era()
            && self.next <= page.next;
        if continues {
            let changes = self.changes_since(&before);
            self.push_recent(changes.into_iter().map(|change| (page.next, change)));
        } else {
            self.recent_records.clear();
            self.recent_from = page.next;
        }
        self.next = page.next;
        self.urgent_to = page.next;
        self.confirmed_at = Some(confirmed_at);
    }

    /// Returns the records that lead from earlier records of all keys to the current ones.
    fn changes_since(&self, before: &BTreeMap<String, SiteRecord>) -> Vec<SiteRecord> {
        let latest = self.latest.iter();
        let changed = latest.filter(|(key, record)| before.get(*key) != Some(record));
        let changed = changed.map(|(_, record)| record.clone());
        let gone = before
            .iter()
            .filter(|(key, _)| !self.latest.contains_key(*key))
            .filter_map(|(_, record)| match record {
                SiteRecord::Endpoint(entry) => {
                    Some(SiteRecord::EndpointGone(entry.listed_id.clone()))
                }
                SiteRecord::Unreadable { key, .. } => Some(SiteRecord::EndpointGone(key.clone())),
                SiteRecord::Suspect(stored) => Some(SiteRecord::SuspectGone(stored.fingerprint())),
                _ => None,
            });
        changed.chain(gone).collect()
    }

    /// Adds records for peers that continue from an earlier position, and drops the oldest ones.
    fn push_recent(&mut self, records: impl Iterator<Item = (Position, SiteRecord)>) {
        if self.subject == Subject::Configuration {
            return;
        }
        self.recent_records.extend(records);
        let recent_max = RECENT_RECORDS_MIN.max(self.latest.len() / RECENT_RECORDS_DIVISOR);
        let excess = self.recent_records.len().saturating_sub(recent_max);
        if let Some((position, _)) = self.recent_records.drain(..excess).next_back() {
            self.recent_from = position;
        }
    }

    /// Returns whether any record after a position may take an endpoint out of service, or whether
    /// the position is of another era.
    pub(super) fn has_urgent_since(&self, from: Position) -> bool {
        self.urgent_to > from
    }

    /// Returns whether a configuration is older than the cached one.
    fn is_older_than_cached(&self, config: &RouteConfig) -> bool {
        let cached = self.latest.get("");
        cached.is_some_and(|cached| match cached {
            SiteRecord::Configuration(cached) => cached.version > config.version,
            _ => false,
        })
    }

    /// Appends a page that starts at the end of the cached records; other pages only update the
    /// time of confirmation.
    pub(super) fn extend(&mut self, from: Position, page: &SitePage, confirmed_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        if from != self.next || page.next <= from {
            return;
        }
        self.invalidate_encoded();
        for record in &page.records {
            self.apply_record(record, page.next);
        }
        self.next = page.next;
        if page.records.iter().any(is_urgent) {
            self.urgent_to = page.next;
        }
        // Records that larkwick does not read leave gaps in the offsets. The others then count as
        // read together: a peer that is in between reads some of them twice.
        let read = u64::try_from(page.records.len()).unwrap_or(u64::MAX);
        let has_gaps = page.next.records_since(from) != Some(read);
        let positions = (1..).map(|count| {
            if has_gaps {
                page.next
            } else {
                from.plus(count)
            }
        });
        self.push_recent(positions.zip(page.records.iter().cloned()));
    }

    fn invalidate_encoded(&mut self) {
        self.encoded = None;
        self.encoded_full = None;
    }

    /// Returns the encoded records from a position on; `None` if some of them are no longer cached.
    ///
    /// The page is empty if the requester is ahead of this cache, and for a position of another era:
    /// the requester learns the current era from the head and reads the latest records. Of the
    /// configuration, recent records are not cached: the page is the full one, or has only the
    /// operator's orders if the requester has the latest configuration.
    pub(super) fn encoded_since(&mut self, from: Position) -> Option<EncodedPage> {
        if from.era() != self.next.era() {
            return encode(&[]);
        }
        if self.subject == Subject::Configuration && from < self.config_position {
            return self.encoded_full();
        }
        if self.subject == Subject::Configuration && from < self.next {
            return encode(&self.orders().each_ref());
        }
        if let Some((_, page)) = self.encoded.as_ref().filter(|(first, _)| *first == from) {
            return Some(page.clone());
        }
        if from < self.recent_from {
            return None;
        }
        let recent = self.recent_records.iter();
        let missing = recent.filter(|(position, _)| *position > from);
        let records: Vec<&SiteRecord> = missing.map(|(_, record)| record).collect();
        let page = encode(&records)?;
        self.encoded = Some((from, page.clone()));
        Some(page)
    }

    /// Returns the operator's orders.
    fn orders(&self) -> [SiteRecord; 2] {
        [
            SiteRecord::EvacuatedHalls(self.evacuated.clone()),
            SiteRecord::RolloutOrders(self.rollouts.clone()),
        ]
    }

    /// Returns the encoded latest record of each key; `None` if encoding fails.
    pub(super) fn encoded_full(&mut self) -> Option<EncodedPage> {
        if self.encoded_full.is_none() {
            let orders = self.orders();
            let mut records: Vec<&SiteRecord> = self.latest.values().collect();
            if self.subject == Subject::Configuration {
                records.extend(&orders);
            }
            self.encoded_full = encode(&records);
        }
        self.encoded_full.clone()
    }
}

/// Returns whether a record has to be passed on at once. New endpoints can wait.
fn is_urgent(record: &SiteRecord) -> bool {
    !matches!(record, SiteRecord::Endpoint(entry) if !entry.leaving)
}

/// Returns the cache key of a suspect, which cannot be the name of a member.
fn suspect_key(fingerprint: Fingerprint) -> String {
    format!("suspect/{fingerprint}")
}

fn encode(records: &[&SiteRecord]) -> Option<EncodedPage> {
    let encoded = EncodedPage::encode(&records);
    encoded
        .inspect_err(|error| warn!("could not encode records for peers", kv: { why: = error }))
        .ok()
}
