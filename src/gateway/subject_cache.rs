//! What an instance knows of one subject of the store, and the pages in which others read it here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use spdlog::warn;

use super::chunked_pages::EncodedPage;
use super::site_store::{SitePage, SiteRecord, Subject};
use crate::kernel::evacuation::EvacuatedHalls;
use crate::kernel::fingerprint::RequestFingerprint;
use crate::kernel::position::Position;
use crate::kernel::route::RouteConfig;

/// Records of a subject that are kept for others to read on from.
const KEPT_RECORDS: usize = 512;
/// What is known of a subject.
#[derive(Debug)]
pub(super) struct SubjectCache {
    subject: Subject,
    /// Newest record of each key; empty before the first answer.
    newest: BTreeMap<String, SiteRecord>,
    /// The last records, the newest last; the first one stands their number before `next`. Empty for the configuration, of
    /// which only the newest record counts: each one may have a megabyte.
    recent: VecDeque<SiteRecord>,
    /// The halls that are evacuated; told with every page of the operator's subject, since they are few and short.
    evacuated: EvacuatedHalls,
    /// Who has read to here has the newest configuration.
    config_in_by: Position,
    /// Place of the next record.
    pub(super) next: Position,
    /// When the store last said something, by this instance's clock.
    pub(super) word_at: Option<Duration>,
    /// The last page that was encoded for others, which most of them ask for, and its first place.
    encoded: Option<(Position, EncodedPage)>,
    /// The newest records, encoded for others.
    encoded_whole: Option<EncodedPage>,
}

impl SubjectCache {
    pub(super) fn new(subject: Subject) -> Self {
        Self {
            subject,
            newest: BTreeMap::new(),
            recent: VecDeque::new(),
            evacuated: EvacuatedHalls::default(),
            config_in_by: Position::default(),
            next: Position::default(),
            word_at: None,
            encoded: None,
            encoded_whole: None,
        }
    }

    /// Keeps a record as the newest of its key; the page that it came in ends at a place.
    fn put_newest(&mut self, record: &SiteRecord, page_end: Position) {
        let key = match record {
            SiteRecord::EvacuatedHalls(told) => {
                self.evacuated.replace_if_older(told);
                return;
            }
            SiteRecord::HallOrder(order) => {
                self.evacuated.apply(order);
                return;
            }
            SiteRecord::EndpointGone(listed_id) => {
                self.newest.remove(listed_id);
                return;
            }
            SiteRecord::Configuration(config) => {
                self.config_in_by = page_end;
                if self.is_older(config) {
                    return;
                }
                String::new()
            }
            SiteRecord::Endpoint(entry) => entry.listed_id.clone(),
            SiteRecord::Member(entry) => entry.name.clone(),
            SiteRecord::Suspect(kept) => suspect_key(kept.content()),
            SiteRecord::SuspectGone(content) => {
                self.newest.remove(&suspect_key(*content));
                return;
            }
            // Whoever reads the list here must not use what the entry before said.
            SiteRecord::Unreadable { key, .. } if self.subject == Subject::Endpoints => key.clone(),
            SiteRecord::Unreadable { .. } => return,
        };
        self.newest.insert(key, record.clone());
    }

    pub(super) fn replace(&mut self, page: &SitePage, word_at: Duration) {
        // A copy from which the store has come back may have an older configuration; it is never told on.
        self.newest
            .retain(|_, record| matches!(record, SiteRecord::Configuration(_)));
        self.recent.clear();
        self.forget_encoded();
        for record in &page.records {
            self.put_newest(record, page.next);
        }
        self.next = page.next;
        self.word_at = Some(word_at);
    }

    /// Whether a configuration is older than the one kept.
    fn is_older(&self, config: &RouteConfig) -> bool {
        let kept = self.newest.get("");
        kept.is_some_and(|kept| match kept {
            SiteRecord::Configuration(kept) => kept.version > config.version,
            _ => false,
        })
    }

    pub(super) fn extend(&mut self, from: Position, page: &SitePage, word_at: Duration) {
        self.word_at = self.word_at.max(Some(word_at));
        if from != self.next || page.next <= from {
            return;
        }
        self.forget_encoded();
        for record in &page.records {
            self.put_newest(record, page.next);
        }
        self.next = page.next;
        if self.subject == Subject::Configuration {
            return;
        }
        self.recent.extend(page.records.iter().cloned());
        // Records that are not ours to read leave gaps; then only whole pages can be passed on from here.
        let read = u64::try_from(page.records.len()).unwrap_or(u64::MAX);
        if page.next.records_since(from) != Some(read) {
            self.recent.clear();
        }
        while self.recent.len() > KEPT_RECORDS {
            self.recent.pop_front();
        }
    }

    fn forget_encoded(&mut self) {
        self.encoded = None;
        self.encoded_whole = None;
    }

    /// Records from a place on, encoded; nothing where they are not all kept. Who asks may be ahead of what is known here. Of another era there are none:
    /// who asks is told this one and reads the newest.
    pub(super) fn encoded_since(&mut self, from: Position) -> Option<EncodedPage> {
        if from.era() != self.next.era() {
            return encode(&[]);
        }
        if self.subject == Subject::Configuration && from < self.config_in_by {
            return self.encoded_whole();
        }
        if self.subject == Subject::Configuration && from < self.next {
            return encode(&[&SiteRecord::EvacuatedHalls(self.evacuated.clone())]);
        }
        if let Some((_, page)) = self.encoded.as_ref().filter(|(first, _)| *first == from) {
            return Some(page.clone());
        }
        let missing = self.next.records_since(from).unwrap_or_default();
        let missing = usize::try_from(missing).ok()?;
        let skipped = self.recent.len().checked_sub(missing)?;
        let records: Vec<&SiteRecord> = self.recent.iter().skip(skipped).collect();
        let page = encode(&records)?;
        self.encoded = Some((from, page.clone()));
        Some(page)
    }

    /// The newest record of each key, encoded.
    pub(super) fn encoded_whole(&mut self) -> Option<EncodedPage> {
        if self.encoded_whole.is_none() {
            let halls = SiteRecord::EvacuatedHalls(self.evacuated.clone());
            let mut records: Vec<&SiteRecord> = self.newest.values().collect();
            if self.subject == Subject::Configuration {
                records.push(&halls);
            }
            self.encoded_whole = encode(&records);
        }
        self.encoded_whole.clone()
    }
}

/// No member has such a name.
fn suspect_key(content: RequestFingerprint) -> String {
    format!("suspect/{content}")
}

fn encode(records: &[&SiteRecord]) -> Option<EncodedPage> {
    let encoded = EncodedPage::encode(&records);
    encoded
        .inspect_err(|fault| warn!("records not encoded", kv: { why: = fault }))
        .ok()
}
