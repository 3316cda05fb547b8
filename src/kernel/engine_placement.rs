//! Placement of new generations on engines.

use std::time::Duration;

use super::engine_ledger::{EngineLedger, MOVED_RUN_FILL_MAX, Run};
use super::engine_run::{ReportedRun, RunDemand};

/// Share of an engine's memory that new generations may fill, including the tokens generated within
/// the prediction horizon. On engines that hold about six generations, reserving a tenth of the
/// memory costs most of one placement.
const NEW_RUN_FILL_MAX: f64 = 0.97;
/// Weight of an engine's prompt tokens that are not prefilled yet, as a share of its memory, when
/// engines are compared. It spreads new generations over the engines.
const PREFILL_BACKLOG_WEIGHT: f64 = 1.5;

impl EngineLedger {
    /// Chooses an engine for a new generation and records the grant. Returns the engine's id.
    pub fn place(
        &mut self,
        demand: &RunDemand,
        entry: &str,
        excluded: &[String],
        now: Duration,
    ) -> Option<String> {
        let new = ReportedRun {
            demand: demand.clone(),
            endpoint: String::new(),
            generated_tokens: 0,
        };
        let fill_max = if demand.ends_within_horizon() {
            MOVED_RUN_FILL_MAX
        } else {
            NEW_RUN_FILL_MAX
        };
        let usable = self.engines.iter().filter(|(id, engine)| {
            engine.is_available(now) && !excluded.contains(id) && engine.is_open()
        });
        let fits = usable.filter_map(|(_, engine)| {
            let listed = engine.listed.as_ref()?;
            if !listed.meets(&demand.requirements) {
                return None;
            }
            let fill = engine.fill_with_run(listed, &new, fill_max)?;
            if !self.can_accept_request(listed, entry, now) {
                return None;
            }
            let prefill_backlog =
                engine.usage.prefill_backlog_tokens / f64::from(listed.memory_tokens);
            let score = engine.comparison_score(fill) + PREFILL_BACKLOG_WEIGHT * prefill_backlog;
            // An engine in cooldown for another entry instance is likely to refuse this one too, so
            // it is the last choice.
            Some((
                self.cooling_down_engines.contains(&listed.id),
                score,
                listed,
            ))
        });
        let (_, _, chosen) = fits.min_by(|left, right| {
            let by_cooldown = left.0.cmp(&right.0);
            by_cooldown.then(left.1.total_cmp(&right.1))
        })?;
        let granted = chosen.id.clone();
        let reported = ReportedRun {
            endpoint: granted.clone(),
            ..new
        };
        let run = Run::granted(reported, entry, now);
        self.insert(&demand.run, run);
        self.record_sent_request(&granted, entry, now);
        Some(granted)
    }
}
