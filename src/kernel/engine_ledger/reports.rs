//! How reports of entry instances and the lack of them change the ledger.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{EngineLedger, ReportedRun, Run};

/// A grant that no report has confirmed is dropped after this time.
const UNCONFIRMED_GRANT_TTL: Duration = Duration::from_millis(1_500);
/// An entry instance that has not reported for this long is considered gone, along with its
/// connections.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_500);

impl EngineLedger {
    /// Replaces all generations of an entry instance by those of its new report.
    pub fn apply_report(&mut self, entry: &str, reported: Vec<ReportedRun>, now: Duration) {
        let instance = self.entries.entry(entry.to_owned()).or_default();
        instance.reported_at = Some(now);
        let before = instance.runs.clone();
        let names: BTreeSet<&str> = reported.iter().map(|run| run.demand.run.as_str()).collect();
        let missing = before.iter().filter(|name| !names.contains(name.as_str()));
        let ended: Vec<&String> = missing
            .filter(|name| !self.is_recent_grant(name, now))
            .collect();
        for name in ended {
            self.remove(name);
        }
        for reported in reported {
            self.apply_reported_run(entry, reported, now);
        }
    }

    /// Replaces the set of engines in cooldown that an entry instance reported.
    pub fn set_cooling_down(&mut self, entry: &str, cooling_down: BTreeSet<String>) {
        if let Some(entry) = self.entries.get_mut(entry)
            && entry.cooling_down != cooling_down
        {
            entry.cooling_down = cooling_down;
            self.rebuild_cooling_down();
        }
    }

    fn rebuild_cooling_down(&mut self) {
        let entries = self.entries.values();
        let cooling_down = entries.flat_map(|entry| entry.cooling_down.iter().cloned());
        self.cooling_down_engines = cooling_down.collect();
    }

    /// Returns whether an engine is in cooldown for an entry instance.
    pub(in crate::kernel) fn is_cooling_down_for(&self, entry: &str, engine: &str) -> bool {
        let entry = self.entries.get(entry);
        entry.is_some_and(|entry| entry.cooling_down.contains(engine))
    }

    /// Returns whether a generation was granted so recently that reports need not include it yet.
    fn is_recent_grant(&self, name: &str, now: Duration) -> bool {
        let run = self.runs.get(name);
        run.is_some_and(|run| {
            !run.confirmed && now.saturating_sub(run.updated_at) < UNCONFIRMED_GRANT_TTL
        })
    }

    fn apply_reported_run(&mut self, entry: &str, reported: ReportedRun, now: Duration) {
        let name = reported.demand.run.clone();
        let before = self.runs.get(&name);
        // During a move, the report may still name the source engine.
        let moving_to = before.and_then(|run| run.moving_to.clone());
        let moving_to = moving_to.filter(|target| *target != reported.endpoint);
        let grant = before.and_then(|run| run.grant);
        let grant = grant.filter(|_| before.is_some_and(|run| run.runs_on(&reported.endpoint)));
        if let Some(grant) = grant {
            self.pace.observe_first_event(&reported, grant, now);
        }
        let run = Run {
            grant: grant.filter(|_| reported.generated_tokens == 0),
            reported,
            entry: entry.to_owned(),
            updated_at: now,
            confirmed: true,
            moving_to,
            next_move_at: before.map_or(Duration::ZERO, |run| run.next_move_at),
            failed_moves: before.map_or(0, |run| run.failed_moves),
        };
        self.insert(&name, run);
    }

    /// Drops the generations of entry instances that stopped reporting, and grants that were never
    /// confirmed.
    pub fn expire(&mut self, now: Duration) {
        let old_grants = self.unconfirmed.iter();
        let old_grants: Vec<String> = old_grants
            .filter(|name| !self.is_recent_grant(name, now))
            .cloned()
            .collect();
        let mut stale: Vec<String> = Vec::new();
        for entry in self.entries.values() {
            let at = entry.reported_at;
            if at.is_none_or(|at| now.saturating_sub(at) >= ENTRY_TIMEOUT) {
                let runs = entry.runs.iter();
                stale.extend(
                    runs.filter(|name| !self.is_recent_grant(name, now))
                        .cloned(),
                );
            }
        }
        for name in old_grants.iter().chain(&stale) {
            self.remove(name);
        }
        self.cold_rate_limiter.prune(now);
        self.pace.estimates.expire(now);
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            let at = entry.reported_at;
            let is_reporting = at.is_some_and(|at| now.saturating_sub(at) < ENTRY_TIMEOUT);
            is_reporting || !entry.runs.is_empty()
        });
        if self.entries.len() < before && !self.cooling_down_engines.is_empty() {
            self.rebuild_cooling_down();
        }
    }
}
