//! Where an instance reads what the store holds: a few readers at the store itself, the others through a reader.
//!
//! While the store is away for all, the readers alone keep asking it; the others ask the readers, and the store only now and then, in
//! case it is away for the readers only.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use super::backoff::Backoff;
use super::roles::ReaderPlan;

/// An instance that failed as a source is left alone for about this long, and twice as long after each further failure.
const PEER_PAUSE: Duration = Duration::from_secs(2);
/// Longest such pause: a reader that the store turns away for ten seconds is asked three times meanwhile.
const PEER_PAUSE_MAX: Duration = Duration::from_secs(8);
/// An instance that is no reader leaves the store alone for about this long after a failure, and twice as long after each further one.
const STORE_PAUSE: Duration = Duration::from_secs(1);
/// Longest such pause. While the readers are turned away and others are not, a configuration may take this long; the users allow five
/// seconds on top of two there.
const STORE_PAUSE_MAX: Duration = Duration::from_secs(3);

/// Relays that a member asks at once when the first one fails.
const RELAYS_TOGETHER: usize = 3;

/// Where records are read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub enum Source {
    /// At the store.
    Store,
    /// Through another instance, by name.
    Peer(String),
}

/// The sources of one subject, and which of them failed of late.
#[derive(Debug, Default)]
pub struct StoreSources {
    /// Sources that failed since they last answered.
    failed: HashMap<Source, Failed>,
}

/// A source that failed.
#[derive(Debug)]
struct Failed {
    /// When it counts as sound again.
    paused_until: Duration,
    backoff: Backoff,
}

impl StoreSources {
    /// Sources in the order in which they are asked; never empty.
    ///
    /// A reader asks the store first and then the other readers: it may be turned away while they are not. The others ask their reader,
    /// the other readers, and the store last. Once all readers have failed, a few members read in their place and the others ask these:
    /// with 66 members, two readers turned away for eight seconds cost 4,900 calls when each of the others went to the store itself.
    #[must_use]
    pub fn in_order(&self, plan: &ReaderPlan, now: Duration) -> Vec<Source> {
        if plan.reads_through_relays() {
            return self.through_relays(plan, now);
        }
        let is_reader = plan.reads_store();
        let mut sources = Vec::new();
        let mut reads_itself = false;
        for group in &plan.groups {
            reads_itself |= plan.is_in(group);
            let others = group.iter().filter(|name| **name != plan.own_name);
            sources.extend(others.map(|name| peer(name)));
            let store_paused = !reads_itself || self.is_paused(&Source::Store, now);
            // Paused, not failed: a member that reads in place of others asks them again later.
            if !(store_paused && sources.iter().all(|source| self.is_paused(source, now))) {
                break;
            }
        }
        let store_at = if reads_itself { 0 } else { sources.len() };
        sources.insert(store_at, Source::Store);
        let sound: Vec<Source> = sources
            .iter()
            .filter(|source| !self.is_paused(source, now))
            .cloned()
            .collect();
        if !sound.is_empty() {
            return sound;
        }
        // Asking a peer once more costs little; a call to the store is dear.
        let has_peers = sources.len() > 1;
        sources.retain(|source| is_reader || !has_peers || *source != Source::Store);
        sources
    }

    /// The sources of a member of a large site that is neither reader nor relay: a few relays; while none is sound, the
    /// readers, and after them the store: hundreds of such members would turn each outage into thousands of calls.
    fn through_relays(&self, plan: &ReaderPlan, now: Duration) -> Vec<Source> {
        let sound = |source: &Source| !self.is_paused(source, now);
        let relays = plan.relays.iter().map(|name| peer(name)).filter(sound);
        let relays: Vec<Source> = relays.take(RELAYS_TOGETHER).collect();
        if !relays.is_empty() {
            return relays;
        }
        let readers = plan.groups.iter().take(1).flatten();
        let readers: Vec<Source> = readers.map(|name| peer(name)).filter(sound).collect();
        if !readers.is_empty() {
            return readers;
        }
        if self.may_ask_store(now) {
            return vec![Source::Store];
        }
        plan.relays
            .iter()
            .take(RELAYS_TOGETHER)
            .map(|name| peer(name))
            .collect()
    }

    /// Whether the store has not failed of late.
    #[must_use]
    pub fn may_ask_store(&self, now: Duration) -> bool {
        !self.is_paused(&Source::Store, now)
    }

    /// Whether a source failed of late and is left alone.
    fn is_paused(&self, source: &Source, now: Duration) -> bool {
        let failed = self.failed.get(source);
        failed.is_some_and(|failed| now < failed.paused_until)
    }

    /// A source failed. `drawn`, from 0 to 1, spreads those for whom it failed at the same time.
    pub fn failed(&mut self, source: &Source, now: Duration, drawn: f64) {
        let (first, longest) = match source {
            Source::Store => (STORE_PAUSE, STORE_PAUSE_MAX),
            Source::Peer(_) => (PEER_PAUSE, PEER_PAUSE_MAX),
        };
        let failed = self.failed.entry(source.clone()).or_insert(Failed {
            paused_until: now,
            backoff: Backoff::new(first, longest),
        });
        failed.paused_until = now + failed.backoff.next_pause(drawn);
    }

    /// A source answered.
    pub fn answered(&mut self, source: &Source) {
        self.failed.remove(source);
    }
}

fn peer(name: &str) -> Source {
    Source::Peer(name.to_owned())
}
