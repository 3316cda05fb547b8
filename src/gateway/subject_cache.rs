//! Cache of one subject of the store, with encoded pages for peers that read from this instance.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use spdlog::warn;

use super::chunked_pages::EncodedPage;
use super::site_store::{SitePage, SiteRecord, Subject};
use crate::kernel::evacuation::EvacuatedHalls;
use crate::kernel::fingerprint::RequestFingerprint;
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
    /// The most recent records in order; the first one is `recent_records.len()` positions before
    /// `next`. Empty for the configuration: only its latest record matters, and each record may be
    /// a megabyte in size.
    recent_records: VecDeque<SiteRecord>,
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
    pub(super) fn replace(&mut self, page: &SitePage, confirmed_at: Duration) {
        // A store restored from an older copy may return an older configuration, which must not be
        // served to peers.
        self.latest
            .retain(|_, record| matches!(record, SiteRecord::Configuration(_)));
        self.recent_records.clear();
        self.invalidate_encoded();
        for record in &page.records {
            self.apply_record(record, page.next);
        }
        self.next = page.next;
        self.urgent_to = page.next;
        self.confirmed_at = Some(confirmed_at);
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
        if self.subject == Subject::Configuration {
            return;
        }
        self.recent_records.extend(page.records.iter().cloned());
        // Records that larkwick does not read leave gaps in the offsets. Peers at earlier positions
        // then cannot continue here; only full reads are served.
        let read = u64::try_from(page.records.len()).unwrap_or(u64::MAX);
        if page.next.records_since(from) != Some(read) {
            self.recent_records.clear();
        }
        let recent_max = RECENT_RECORDS_MIN.max(self.latest.len() / RECENT_RECORDS_DIVISOR);
        let excess = self.recent_records.len().saturating_sub(recent_max);
        self.recent_records.drain(..excess);
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
        let missing = self.next.records_since(from).unwrap_or_default();
        let missing = usize::try_from(missing).ok()?;
        let skipped = self.recent_records.len().checked_sub(missing)?;
        let records: Vec<&SiteRecord> = self.recent_records.iter().skip(skipped).collect();
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
fn suspect_key(fingerprint: RequestFingerprint) -> String {
    format!("suspect/{fingerprint}")
}

fn encode(records: &[&SiteRecord]) -> Option<EncodedPage> {
    let encoded = EncodedPage::encode(&records);
    encoded
        .inspect_err(|error| warn!("could not encode records for peers", kv: { why: = error }))
        .ok()
}
