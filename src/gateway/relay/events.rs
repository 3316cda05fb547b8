//! Which events of a stream are forwarded: each once, in order, also after the generation went on at
//! another engine.

use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};

use super::{Relay, Step};
use crate::gateway::crash_suspects;
use crate::gateway::takeover::StallDetector;
use crate::kernel::crash_suspects::START_WINDOW;

impl Relay {
    /// Processes data of the current stream and returns what is to be forwarded of it.
    pub(super) fn process_data(&mut self, data: &[u8]) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Pending;
        };
        if !source.is_success() {
            // The body of an error is not a stream of events.
            return Step::Events(Bytes::copy_from_slice(data));
        }
        let events = match source.splitter.push(data) {
            Ok(events) => events,
            Err(error) => return Step::Aborted(error.to_string()),
        };
        let mut bytes = BytesMut::new();
        let mut new_events = 0;
        for event in events {
            if !self.is_contiguous(event.id.as_deref()) {
                // The events before it are forwarded first: what continues the generation does so
                // after the last of them.
                self.pending_abort = Some("engine stream skipped an event".to_owned());
                break;
            }
            if self.is_already_forwarded(event.id.as_deref()) {
                continue;
            }
            new_events += 1;
            if event.id.is_some() {
                self.last_event_id = event.id;
            }
            bytes.extend_from_slice(&event.bytes);
        }
        self.stall_detector = StallDetector::start();
        let now = self.call.gateway.now();
        self.record_events(new_events, now);
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if !self.ran_past_start && now.saturating_sub(first_event_at) > START_WINDOW {
            self.ran_past_start = true;
            let engine = self.run_guard.run.endpoint.lock().clone();
            crash_suspects::record_ran_past_start(&self.call, &engine);
        }
        let generated = self.events.saturating_mul(self.event_tokens);
        let run = &self.run_guard.run;
        run.generated_tokens.store(generated, Ordering::Relaxed);
        if bytes.is_empty() {
            Step::Pending
        } else {
            Step::Events(bytes.freeze())
        }
    }

    pub(super) fn last_event_number(&self) -> Option<u64> {
        self.last_event_id.as_ref()?.parse().ok()
    }

    /// Returns whether an event was already forwarded from the previous engine.
    fn is_already_forwarded(&self, id: Option<&str>) -> bool {
        let number = id.and_then(|id| id.parse::<u64>().ok());
        match (number, self.last_event_number()) {
            (Some(number), Some(last)) => number <= last,
            _ => false,
        }
    }

    /// Returns whether no event is missing before this one. Event IDs are consecutive numbers.
    fn is_contiguous(&self, id: Option<&str>) -> bool {
        let number = id.and_then(|id| id.parse::<u64>().ok());
        match (number, self.last_event_number()) {
            (Some(number), Some(last)) => number <= last + 1,
            (Some(number), None) => number <= 1,
            _ => true,
        }
    }
}
