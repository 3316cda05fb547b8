//! Counters of the work that grows with the size of the site: requests of other instances, by kind,
//! and calls to the store.
//!
//! They are exported as metrics and logged periodically, so that the cost of each mechanism over a
//! day can be derived from the logs alone.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spdlog::info;

/// Interval at which each instance logs its counters, in one line.
pub(crate) const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Kinds of work that are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// Answered a heartbeat of another instance.
    Heartbeat,
    /// Served a read of store data for another instance.
    RelayedRead,
    /// Handled a placement request as the owner.
    Place,
    /// Handled a report of generations as the owner.
    Report,
    /// Handled a permit request as the issuer.
    Permit,
    /// Handled a request to move a generation from this instance.
    Move,
    /// Served a call of another instance.
    ForwardedCall,
    /// Called the store.
    StoreCall,
}

const KINDS: [WorkKind; 8] = [
    WorkKind::Heartbeat,
    WorkKind::RelayedRead,
    WorkKind::Place,
    WorkKind::Report,
    WorkKind::Permit,
    WorkKind::Move,
    WorkKind::ForwardedCall,
    WorkKind::StoreCall,
];

impl WorkKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::RelayedRead => "passed_on",
            Self::Place => "place",
            Self::Report => "report",
            Self::Permit => "permit",
            Self::Move => "move",
            Self::ForwardedCall => "forwarded_call",
            Self::StoreCall => "store_call",
        }
    }

    const fn index(self) -> usize {
        self as usize
    }
}

/// Counts since the last log line, by kind.
#[derive(Debug, Default)]
pub(crate) struct WorkCounters {
    counts: [AtomicU64; KINDS.len()],
}

impl WorkCounters {
    /// Increments the counter of a kind of work.
    pub(crate) fn increment(&self, kind: WorkKind) {
        metrics::counter!("larkwick_work_total", "kind" => kind.name()).increment(1);
        self.counts[kind.index()].fetch_add(1, Ordering::Relaxed);
    }

    /// Logs the counts since the last call and resets them.
    pub(crate) fn log_and_reset(&self) {
        let [
            heartbeats,
            passed_on,
            places,
            reports,
            permits,
            moves,
            forwarded_calls,
            store_calls,
        ] = KINDS.map(|kind| self.counts[kind.index()].swap(0, Ordering::Relaxed));
        info!("work done", kv: {
            heartbeats:, passed_on:, places:, reports:, permits:, moves:, forwarded_calls:,
            store_calls:,
        });
    }
}
