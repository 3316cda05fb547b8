//! Where an instance reads the store's contents: a few readers access the store itself, all others
//! read through them.
//!
//! During a store outage only the readers keep polling the store. The others ask the readers, and
//! the store itself only occasionally, in case it is unavailable for the readers alone.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use super::backoff::Backoff;
use super::roles::ReaderPlan;

/// Initial back-off after an instance failed as a source. It doubles with each further failure.
const PEER_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum back-off for an instance. A reader that the store rejects for ten seconds is asked three
/// times in that period.
const PEER_BACKOFF_MAX: Duration = Duration::from_secs(8);
/// Initial back-off of an instance that is no reader after the store failed. It doubles with each
/// further failure.
const STORE_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum back-off for the store. While the store rejects the readers but not others, a
/// configuration change may take this long to arrive; the users allow five seconds in addition to
/// two in this case.
const STORE_BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Maximum number of relays that a member asks in one read. If the first one fails, the others are
/// asked in parallel.
const RELAYS_PER_READ: usize = 3;

/// Where records are read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another instance, by name.
    Peer(String),
}

/// The sources of one subject, and which of them failed recently.
#[derive(Debug, Default)]
pub struct StoreSources {
    /// Sources that failed since their last answer.
    failed: HashMap<Source, FailedSource>,
}

/// A source that failed, and its back-off.
#[derive(Debug)]
struct FailedSource {
    /// Time from which the source is used again.
    paused_until: Duration,
    backoff: Backoff,
}

impl StoreSources {
    /// Returns the sources in the order in which to try them; never empty.
    ///
    /// A reader asks the store first and then the other readers, since the store may reject it
    /// alone. Other members ask their reader, the other readers, and the store last. If all readers
    /// have failed, a few members read in their place and the others ask those, so that the store
    /// is not called by all of them.
    #[must_use]
    pub fn ordered_sources(&self, plan: &ReaderPlan, now: Duration) -> Vec<Source> {
        if plan.reads_through_relays() {
            return self.relay_sources(plan, now);
        }
        let is_reader = plan.reads_store();
        let mut sources = Vec::new();
        let mut reads_itself = false;
        for group in &plan.groups {
            reads_itself |= plan.is_member_of(group);
            let others = group.iter().filter(|name| **name != plan.own_name);
            sources.extend(others.map(|name| peer_source(name)));
            let store_paused = !reads_itself || self.is_paused(&Source::Store, now);
            // Checks for a running back-off instead of any failure, so that a member that replaces
            // readers asks them again later.
            if !(store_paused && sources.iter().all(|source| self.is_paused(source, now))) {
                break;
            }
        }
        let store_index = if reads_itself { 0 } else { sources.len() };
        sources.insert(store_index, Source::Store);
        let available: Vec<Source> = sources
            .iter()
            .filter(|source| !self.is_paused(source, now))
            .cloned()
            .collect();
        if !available.is_empty() {
            return available;
        }
        // A repeated call to a peer is cheap, whereas a call to the store is expensive.
        let has_peers = sources.len() > 1;
        sources.retain(|source| is_reader || !has_peers || *source != Source::Store);
        sources
    }

    /// Returns the sources of a member of a large site that is neither reader nor relay: a few
    /// relays; if none is available, the readers; and then the store. With hundreds of such
    /// members, direct calls would turn each outage into thousands of calls to the store.
    fn relay_sources(&self, plan: &ReaderPlan, now: Duration) -> Vec<Source> {
        let is_available = |source: &Source| !self.is_paused(source, now);
        let relays = plan
            .relays
            .iter()
            .map(|name| peer_source(name))
            .filter(is_available);
        let relays: Vec<Source> = relays.take(RELAYS_PER_READ).collect();
        if !relays.is_empty() {
            return relays;
        }
        let readers = plan.groups.iter().take(1).flatten();
        let readers: Vec<Source> = readers
            .map(|name| peer_source(name))
            .filter(is_available)
            .collect();
        if !readers.is_empty() {
            return readers;
        }
        if self.can_ask_store(now) {
            return vec![Source::Store];
        }
        plan.relays
            .iter()
            .take(RELAYS_PER_READ)
            .map(|name| peer_source(name))
            .collect()
    }

    /// Returns whether the store may be asked: it has not failed since its last answer, or its
    /// back-off has ended.
    #[must_use]
    pub fn can_ask_store(&self, now: Duration) -> bool {
        !self.is_paused(&Source::Store, now)
    }

    /// Returns whether a source failed recently and its back-off is still running.
    fn is_paused(&self, source: &Source, now: Duration) -> bool {
        let failed = self.failed.get(source);
        failed.is_some_and(|failed| now < failed.paused_until)
    }

    /// Records a failure of a source. `jitter`, from 0 to 1, spreads the retries of instances for
    /// which the source failed at the same time.
    pub fn record_failure(&mut self, source: &Source, now: Duration, jitter: f64) {
        let (first, max) = match source {
            Source::Store => (STORE_BACKOFF, STORE_BACKOFF_MAX),
            Source::Peer(_) => (PEER_BACKOFF, PEER_BACKOFF_MAX),
        };
        let failed = self.failed.entry(source.clone()).or_insert(FailedSource {
            paused_until: now,
            backoff: Backoff::new(first, max),
        });
        failed.paused_until = now + failed.backoff.next_pause(jitter);
    }

    /// Records that a source answered, which ends its back-off.
    pub fn record_success(&mut self, source: &Source) {
        self.failed.remove(source);
    }
}

fn peer_source(name: &str) -> Source {
    Source::Peer(name.to_owned())
}
