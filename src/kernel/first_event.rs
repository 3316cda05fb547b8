//! Time from a grant to the first event, predicted from the prompts that an engine reads until then.
//!
//! Load: short generations that are put behind each other's prompts on the slowest engines. Engines
//! read prompts and decode at paces that go together, so the time is learned in mean pauses of the
//! engine and pooled over the engines of the service.

use std::time::Duration;

use super::engine_pace::decay;

/// Time constant with which earlier first events are forgotten, as for the pooled distribution of
/// pauses.
const MEMORY_S: f64 = 15.0;
/// First events from which the prediction counts: fewer may all come from one moment of slowness.
const KNOWN_FROM: f64 = 8.0;

/// A first event that was observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEvent {
    /// Prompt tokens that the engine had to read until then, at the grant.
    pub tokens: f64,
    /// Time from the grant to the event, in mean pauses of the engine.
    pub pauses: f64,
}

/// Estimate of the pauses that pass for each prompt token that is to be read.
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstEventEstimate {
    /// Number of first events, less what is forgotten.
    weight: f64,
    /// Sum of their tokens, less what is forgotten.
    tokens: f64,
    /// Sum of their pauses, less what is forgotten.
    pauses: f64,
    aged_to: Duration,
}

impl FirstEventEstimate {
    /// Adds a first event. Sums of both are kept, and not the mean of their ratios: the time that
    /// does not depend on prompts would make short prompts count for too much.
    pub fn observe(&mut self, event: FirstEvent, now: Duration) {
        let elapsed = now.saturating_sub(self.aged_to);
        let left = decay(elapsed.as_secs_f64(), MEMORY_S);
        self.weight = self.weight * left + 1.0;
        self.tokens = self.tokens * left + event.tokens;
        self.pauses = self.pauses * left + event.pauses;
        self.aged_to = now;
    }

    /// Returns the predicted time to the first event behind these prompt tokens, its own included,
    /// on an engine with this mean pause; `None` while too few first events are known.
    #[must_use]
    pub fn predict_s(&self, tokens: f64, mean_pause_s: f64) -> Option<f64> {
        let is_known = self.weight >= KNOWN_FROM && self.tokens > 0.0;
        is_known.then(|| self.pauses / self.tokens * tokens * mean_pause_s)
    }
}
