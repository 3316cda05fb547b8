//! What an instance knows of one subject of the store, and the pages in which others read it here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use spdlog::warn;

use super::parts::EncodedPage;
use super::site_store::{SitePage, SiteRecord, Subject};
use crate::kernel::content::ContentId;
use crate::kernel::evacuation::EvacuatedHalls;
use crate::kernel::position::Position;
use crate::kernel::route::RouteConfig;

/// Records of a subject that are kept for others to read on from.
const RECENT_RECORDS_MAX: usize = 512;
/// What is known of a subject.
#[derive(Debug)]
pub(super) struct SubjectCache {
    subject: Subject,
    /// Newest record of each key; empty before the first answer.
    latest: BTreeMap<String, SiteRecord>,
    /// The last records, the newest last; the first one stands their number before `next`. Empty for the configuration, of
    /// which only the newest record counts: each one may have a megabyte.
    recent_records: VecDeque<SiteRecord>,
    /// The halls that are evacuated; told with every page of the operator's subject, since they are few and short.
    evacuated: EvacuatedHalls,
    /// Who has read to here has the newest configuration.
    config_position: Position,
    /// Place of the next record.
    pub(super) next: Position,
    /// When the store last said something, by this instance's clock.
    pub(super) last_confirmed_at: Option<Duration>,
    /// The last page that was encoded for others, which most of them ask for, and its first place.
    encoded: Option<(Position, EncodedPage)>,
    /// The newest records, encoded for others.
    encoded_full: Option<EncodedPage>,
}

impl SubjectCache {
    pub(super) fn new(subject: Subject) -> Self {
        Self {
            subject,
            latest: BTreeMap::new(),
            recent_records: VecDeque::new(),
            evacuated: EvacuatedHalls::default(),
            config_position: Position::default(),
            next: Position::default(),
            last_confirmed_at: None,
            encoded: None,
            encoded_full: None,
        }
    }

    /// Keeps a record as the newest of its key; the page that it came in ends at a place.
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
            SiteRecord::Suspect(stored) => suspect_key(stored.fingerprint()),
            SiteRecord::SuspectGone(fingerprint) => {
                self.latest.remove(&suspect_key(*fingerprint));
                return;
            }
            // Whoever reads the list here must not use what the entry before said.
            SiteRecord::Unreadable { key, .. } if self.subject == Subject::Endpoints => key.clone(),
            SiteRecord::Unreadable { .. } => return,
        };
        self.latest.insert(key, record.clone());
    }

    pub(super) fn replace(&mut self, page: &SitePage, last_confirmed_at: Duration) {
        // A copy from which the store has come back may have an older configuration; it is never told on.
        self.latest
            .retain(|_, record| matches!(record, SiteRecord::Configuration(_)));
        self.recent_records.clear();
        self.invalidate_encoded();
        for record in &page.records {
            self.apply_record(record, page.next);
        }
        self.next = page.next;
        self.last_confirmed_at = Some(last_confirmed_at);
    }

    /// Whether a configuration is older than the one kept.
    fn is_older_than_cached(&self, config: &RouteConfig) -> bool {
        let cached = self.latest.get("");
        cached.is_some_and(|cached| match cached {
            SiteRecord::Configuration(cached) => cached.version > config.version,
            _ => false,
        })
    }

    pub(super) fn extend(&mut self, from: Position, page: &SitePage, last_confirmed_at: Duration) {
        self.last_confirmed_at = self.last_confirmed_at.max(Some(last_confirmed_at));
        if from != self.next || page.next <= from {
            return;
        }
        self.invalidate_encoded();
        for record in &page.records {
            self.apply_record(record, page.next);
        }
        self.next = page.next;
        if self.subject == Subject::Configuration {
            return;
        }
        self.recent_records.extend(page.records.iter().cloned());
        // Records that are not ours to read leave gaps; then only whole pages can be passed on from here.
        let read = u64::try_from(page.records.len()).unwrap_or(u64::MAX);
        if page.next.records_since(from) != Some(read) {
            self.recent_records.clear();
        }
        while self.recent_records.len() > RECENT_RECORDS_MAX {
            self.recent_records.pop_front();
        }
    }

    fn invalidate_encoded(&mut self) {
        self.encoded = None;
        self.encoded_full = None;
    }

    /// Records from a place on, encoded; nothing where they are not all kept. Who asks may be ahead of what is known here. Of another era there are none:
    /// who asks is told this one and reads the newest.
    pub(super) fn encoded_since(&mut self, from: Position) -> Option<EncodedPage> {
        if from.era() != self.next.era() {
            return encode(&[]);
        }
        if self.subject == Subject::Configuration && from < self.config_position {
            return self.encoded_full();
        }
        if self.subject == Subject::Configuration && from < self.next {
            return encode(&[&SiteRecord::EvacuatedHalls(self.evacuated.clone())]);
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

    /// The newest record of each key, encoded.
    pub(super) fn encoded_full(&mut self) -> Option<EncodedPage> {
        if self.encoded_full.is_none() {
            let halls = SiteRecord::EvacuatedHalls(self.evacuated.clone());
            let mut records: Vec<&SiteRecord> = self.latest.values().collect();
            if self.subject == Subject::Configuration {
                records.push(&halls);
            }
            self.encoded_full = encode(&records);
        }
        self.encoded_full.clone()
    }
}

/// No member has such a name.
fn suspect_key(fingerprint: ContentId) -> String {
    format!("suspect/{fingerprint}")
}

fn encode(records: &[&SiteRecord]) -> Option<EncodedPage> {
    let encoded = EncodedPage::encode(&records);
    encoded
        .inspect_err(|error| warn!("records not encoded", kv: { why: = error }))
        .ok()
}
