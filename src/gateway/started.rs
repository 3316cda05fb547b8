//! A generation that an engine has begun to answer, and its end in the log.

use std::sync::Arc;

use spdlog::info;
use tokio::sync::mpsc;

use super::inbound_call::Call;
use super::runs::{RunCommand, RunHandle};
use super::upstream::EndpointResponse;
use crate::kernel::clock::millis;
use crate::kernel::event_split::EventSplitter;

/// An engine's answer that is being passed on.
pub(crate) struct Source {
    pub(crate) answer: EndpointResponse,
    pub(crate) splitter: EventSplitter,
}

impl Source {
    pub(crate) fn new(answer: EndpointResponse) -> Self {
        Self {
            answer,
            splitter: EventSplitter::default(),
        }
    }
}

/// Logs the end of a generation.
pub(crate) fn tell_end(call: &Call, outcome: &str, why: &str, events: u32, moves: u32) {
    metrics::counter!("larkwick_generations_total", "outcome" => outcome.to_owned()).increment(1);
    metrics::histogram!("larkwick_generation_seconds").record(call.age().as_secs_f64());
    if crate::log::admits("generation ended") {
        info!("generation ended", kv: {
            request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(),
            outcome, why, events:, moves:,
            config_version: = call.table.version(),
            took_ms: = millis(call.age()),
        });
    }
}

/// A generation that an engine has begun to answer.
pub(crate) struct Started {
    pub(crate) source: Source,
    pub(crate) handle: RunGuard,
    pub(crate) commands: mpsc::UnboundedReceiver<RunCommand>,
    /// What came before, in case it has to begin anew.
    pub(crate) offers: Offers,
}

/// The engines that a generation was offered to so far.
#[derive(Debug, Default)]
pub(crate) struct Offers {
    /// Engines that are not asked again.
    pub(crate) excluded: Vec<String>,
    /// Requests that reached an engine, refused ones included.
    pub(crate) sends: u32,
    /// Engines that may have run it. Never above one where the route's generations may not be resumed.
    pub(crate) runs: u32,
    /// Whether endpoints end under its content, and only those with other software may run it.
    pub(crate) restricted: bool,
}

/// Keeps a generation registered for as long as it lives.
pub(crate) struct RunGuard {
    pub(crate) call: Arc<Call>,
    pub(crate) run: Arc<RunHandle>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let gateway = &self.call.gateway;
        gateway.runs.remove(&self.run);
        gateway.ledgers.changed.notify_one();
    }
}
