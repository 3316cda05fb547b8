//! How often an instance did what grows with the site: answered other instances, by kind, and called the store. Counted for the metrics, and
//! written to the log now and then, so that a day's cost can be told by mechanism from the logs alone.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spdlog::info;

/// How often the counts are written to the log: one line an instance.
pub(crate) const TOLD_EVERY: Duration = Duration::from_secs(10);

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// A heartbeat of another instance was answered.
    Heartbeat,
    /// Another instance read what the store holds, here.
    PassedOn,
    /// A place was asked for, here as the owner.
    Place,
    /// Generations were reported, here as the owner.
    Report,
    /// A permit was asked for, here as the giver.
    Permit,
    /// A generation was moved from here.
    Move,
    /// The store was called.
    StoreCall,
}

const KINDS: [Work; 7] = [
    Work::Heartbeat,
    Work::PassedOn,
    Work::Place,
    Work::Report,
    Work::Permit,
    Work::Move,
    Work::StoreCall,
];

impl Work {
    const fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::PassedOn => "passed_on",
            Self::Place => "place",
            Self::Report => "report",
            Self::Permit => "permit",
            Self::Move => "move",
            Self::StoreCall => "store_call",
        }
    }

    const fn index(self) -> usize {
        self as usize
    }
}

/// Counts since the last line, by kind.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    counts: [AtomicU64; KINDS.len()],
}

impl Tally {
    /// Counts a piece of work.
    pub(crate) fn count(&self, work: Work) {
        metrics::counter!("larkwick_work_total", "kind" => work.name()).increment(1);
        self.counts[work.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Writes the counts since the last time to the log.
    pub(crate) fn tell(&self) {
        let [
            heartbeats,
            passed_on,
            places,
            reports,
            permits,
            moves,
            store_calls,
        ] = KINDS.map(|kind| self.counts[kind.index()].swap(0, Ordering::Relaxed));
        info!("work done", kv: {
            heartbeats:, passed_on:, places:, reports:, permits:, moves:, store_calls:,
        });
    }
}
