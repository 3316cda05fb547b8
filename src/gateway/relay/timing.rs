//! Feeds the timing of a stream, and the pauses that tell the pace of its engine.

use std::time::Duration;

use super::Relay;
use crate::gateway::started_generation::StreamSummary;

impl Relay {
    /// Records that a frame is handed over to the caller.
    pub(super) fn record_handover(&mut self) {
        self.handed_over_at = Some(self.call.gateway.now());
    }

    /// Records how long the caller took until it asked for the next frame.
    pub(super) fn record_caller_wait(&mut self) {
        if let Some(handed_over_at) = self.handed_over_at.take() {
            let wait = self.call.gateway.now().saturating_sub(handed_over_at);
            self.timing.record_caller_wait(wait);
        }
    }

    /// Records new events that arrived together.
    pub(super) fn record_events(&mut self, events: u32, now: Duration) {
        self.events += events;
        let Some(pauses) = self.timing.record_events(events, now) else {
            return;
        };
        let gateway = &self.call.gateway;
        if gateway.routing.read().load.engine_pace {
            gateway.runs.record_pauses(&self.run_guard.run, pauses);
        }
    }

    /// Returns the summary of the stream so far.
    pub(super) fn summary(&self) -> StreamSummary {
        StreamSummary {
            events: self.events,
            moves: self.moves,
            timing: Some(self.timing),
        }
    }
}
