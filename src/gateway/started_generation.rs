//! Generations that an engine has started to answer, and the record of their end.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use tokio::sync::mpsc;

use super::inbound_call::{Call, SendsBefore};
use super::runs::{RunCommand, RunHandle};
use super::upstream::EndpointResponse;
use crate::kernel::clock::millis;
use crate::kernel::event_split::EventSplitter;
use crate::kernel::stream_timing::StreamTiming;

/// An engine's response and the splitter of its events.
pub(crate) struct ResponseStream {
    pub(crate) response: EndpointResponse,
    pub(crate) splitter: EventSplitter,
}

impl ResponseStream {
    pub(crate) fn new(response: EndpointResponse) -> Self {
        Self {
            response,
            splitter: EventSplitter::default(),
        }
    }

    /// Returns whether nothing but the end of the connection ends the stream.
    pub(crate) const fn ends_with_connection(&self) -> bool {
        self.response.head.ends_with_connection
    }

    /// Returns whether the engine answered with success.
    pub(crate) fn is_success(&self) -> bool {
        self.response.parts.status.is_success()
    }
}

/// What a caller got of a generation.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamSummary {
    pub(crate) events: u32,
    pub(crate) moves: u32,
    /// `None` if no engine answered.
    pub(crate) timing: Option<StreamTiming>,
}

/// Logs and counts the end of a generation.
pub(crate) fn record_generation_end(
    call: &Call,
    outcome: &str,
    reason: &str,
    summary: &StreamSummary,
) {
    let first_event = summary.timing.and_then(|timing| timing.first_event());
    let pause = summary.timing.and_then(|timing| timing.longest_pause());
    let pause_cause = pause.map_or("", |pause| pause.cause.name());
    if let Some(first_event) = first_event {
        metrics::histogram!("larkwick_first_event_seconds").record(first_event.as_secs_f64());
    }
    if let Some(pause) = pause {
        metrics::histogram!("larkwick_longest_pause_seconds", "cause" => pause_cause)
            .record(pause.length.as_secs_f64());
    }
    metrics::counter!("larkwick_generations_total", "outcome" => outcome.to_owned()).increment(1);
    metrics::histogram!("larkwick_generation_seconds").record(call.age().as_secs_f64());
    if crate::log::should_log("generation ended") {
        info!("generation ended", kv: {
            request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(),
            outcome, why = reason, events: = summary.events, moves: = summary.moves,
            first_event_ms: = first_event.map_or(0, millis),
            pause_max_ms: = pause.map_or(0, |pause| millis(pause.length)), pause_cause,
            config_version: = call.table.version(),
            took_ms: = millis(call.age()),
        });
    }
}

/// A generation that an engine has started to answer.
pub(crate) struct StartedGeneration {
    pub(crate) source: ResponseStream,
    pub(crate) run_guard: RunGuard,
    pub(crate) commands: mpsc::UnboundedReceiver<RunCommand>,
    /// The attempts so far, needed if the generation is restarted.
    pub(crate) attempts: EngineAttempts,
}

/// The attempts to run one generation so far.
#[derive(Debug, Default)]
pub(crate) struct EngineAttempts {
    /// Engines that are not tried again.
    pub(crate) excluded: Vec<String>,
    /// Number of requests that reached an engine, refused ones included.
    pub(crate) sends: u32,
    /// Number of engines that may have run the generation; at most one if the route's generations
    /// are not resumable.
    pub(crate) runs: u32,
    /// Whether the request is a crash suspect and only endpoints with other software may run it.
    pub(crate) restricted: bool,
    /// Whether the generation is passed on to a peer if this instance reaches no engine.
    pub(crate) may_forward: bool,
    /// Whether no peer that was asked reaches an engine either.
    pub(crate) out_of_reach: bool,
    /// Time until the engines have room, as their owner told when it refused the generation.
    pub(crate) room_in: Option<Duration>,
}

impl EngineAttempts {
    /// Returns the attempts of a generation for which some requests were sent already.
    pub(crate) fn after(before: SendsBefore) -> Self {
        Self {
            sends: before.sends,
            runs: before.runs,
            ..Self::default()
        }
    }

    /// Returns what was sent so far, for a peer that goes on.
    pub(crate) const fn sends_so_far(&self) -> SendsBefore {
        SendsBefore {
            sends: self.sends,
            runs: self.runs,
            is_counted: true,
        }
    }
}

/// Keeps a generation registered until it is dropped.
pub(crate) struct RunGuard {
    pub(crate) call: Arc<Call>,
    pub(crate) run: Arc<RunHandle>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let gateway = &self.call.gateway;
        gateway.runs.remove(&self.run);
        gateway.ledgers.runs_changed.notify_one();
    }
}
