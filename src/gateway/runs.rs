//! The generations that this instance serves: what is reported to their owner, and the command
//! channel of each.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::retry_budgets::RetryReservation;
use crate::kernel::engine_ledger::{ReportedRun, RunDemand};
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::pause_counts::{EnginePauses, PauseBuffer};
use crate::kernel::stream_timing::EventPauses;

/// Where a generation continues once the engine that ran it has stopped it; the stream of that
/// engine closes by itself.
#[derive(Debug)]
pub(crate) struct Continuation {
    /// Engine that runs the generation from now on.
    pub(crate) target: EndpointEntry,
    /// Address of the engine that the copy is named after.
    pub(crate) copy_address: std::net::SocketAddr,
    /// Name of the KV-cache copy.
    pub(crate) copy: String,
    /// Engine that received the copy; not the target if the generation continues where it ran.
    pub(crate) copy_receiver: EndpointEntry,
    /// Whether the continuation was counted against the rate limit that the engine announces.
    pub(crate) counted: bool,
    /// Covers the sends of the continuation.
    pub(crate) reservation: RetryReservation,
}

/// Command to the task that forwards a generation.
#[derive(Debug)]
pub(crate) enum RunCommand {
    /// The engine is being asked to stop the generation; its stream will close before the
    /// continuation is known.
    Stopping,
    /// The generation continues at this engine.
    Continue(Box<Continuation>),
    /// The order to stop the generation had no effect.
    NotStopped,
    /// The order may have stopped the generation: its outcome is not known.
    StopUnclear,
    /// The engine was seen to run the generation after the order to stop it.
    RunsOn,
}

/// A generation that this instance serves.
#[derive(Debug)]
pub(crate) struct RunHandle {
    pub(crate) service: String,
    pub(crate) demand: RunDemand,
    /// Engine that runs the generation.
    pub(crate) endpoint: Mutex<EndpointEntry>,
    /// Engine that keeps a copy of its memory, which is named after the request.
    pub(crate) copy_at: Mutex<Option<EndpointEntry>>,
    pub(crate) generated_tokens: AtomicU32,
    /// Whether a move of it is in progress.
    pub(crate) is_moving: AtomicBool,
    pub(crate) commands: mpsc::UnboundedSender<RunCommand>,
}

impl RunHandle {
    /// Sets the engine on which it goes on, where no copy of its memory is kept elsewhere.
    pub(crate) fn set_engine(&self, engine: EndpointEntry) {
        *self.endpoint.lock() = engine;
        *self.copy_at.lock() = None;
    }

    fn to_report(&self) -> ReportedRun {
        ReportedRun {
            demand: self.demand.clone(),
            endpoint: self.endpoint.lock().id.clone(),
            copy_at: self.copy_at.lock().as_ref().map(|keeper| keeper.id.clone()),
            generated_tokens: self.generated_tokens.load(Ordering::Relaxed),
        }
    }
}

/// Why an engine cannot be used for now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unavailability {
    /// It refused a generation.
    Refused,
    /// It no longer runs at its address, by what was answered there.
    Gone,
    /// It could not be connected to from here, which does not show whether others can.
    Unreached,
}

/// Engines that this instance cannot use for now.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnavailableEngines {
    /// Engines that refused as full.
    pub(crate) refused: BTreeSet<String>,
    /// Engines whose address answers for another endpoint, or accepts connections and does not
    /// answer.
    pub(crate) gone: BTreeSet<String>,
    /// Engines that could not be connected to from here.
    pub(crate) unreached: BTreeSet<String>,
    /// Engines in a cooldown towards the reporting instance.
    pub(crate) cooling_down: BTreeSet<String>,
}

/// All generations that this instance serves.
#[derive(Debug, Default)]
pub(crate) struct RunRegistry {
    runs: Mutex<HashMap<String, Arc<RunHandle>>>,
    /// Engines found unavailable since the last report, by service.
    unavailable: Mutex<HashMap<String, UnavailableEngines>>,
    /// Pauses between events observed since the last report, by service.
    pauses: Mutex<HashMap<String, PauseBuffer>>,
}

impl RunRegistry {
    pub(crate) fn insert(&self, handle: Arc<RunHandle>) {
        self.runs.lock().insert(handle.demand.run.clone(), handle);
    }

    /// Removes a generation unless it was restarted meanwhile.
    pub(crate) fn remove(&self, handle: &Arc<RunHandle>) {
        let mut runs = self.runs.lock();
        let run = &handle.demand.run;
        if runs
            .get(run)
            .is_some_and(|known| Arc::ptr_eq(known, handle))
        {
            runs.remove(run);
        }
    }

    pub(crate) fn get(&self, run: &str) -> Option<Arc<RunHandle>> {
        self.runs.lock().get(run).cloned()
    }

    /// Returns the services of the running generations.
    pub(crate) fn services(&self) -> BTreeSet<String> {
        let runs = self.runs.lock();
        runs.values().map(|run| run.service.clone()).collect()
    }

    /// Returns the engines that run the generations served here.
    pub(crate) fn active_engines(&self) -> BTreeSet<String> {
        let runs = self.runs.lock();
        let active_engines = runs.values().map(|run| run.endpoint.lock().id.clone());
        active_engines.collect()
    }

    /// Returns the generations of a service in the form reported to its owner.
    pub(crate) fn reported_runs(&self, service: &str) -> Vec<ReportedRun> {
        let runs = self.runs.lock();
        let runs = runs.values().filter(|run| run.service == service);
        runs.map(|run| run.to_report()).collect()
    }

    /// Records an engine that did not accept a generation.
    pub(crate) fn record_unavailable_engine(
        &self,
        service: &str,
        endpoint: &str,
        unavailability: Unavailability,
    ) {
        let mut unavailable = self.unavailable.lock();
        let unavailable = unavailable.entry(service.to_owned()).or_default();
        let engines = match unavailability {
            Unavailability::Refused => &mut unavailable.refused,
            Unavailability::Gone => &mut unavailable.gone,
            Unavailability::Unreached => &mut unavailable.unreached,
        };
        engines.insert(endpoint.to_owned());
    }

    /// Returns the services with unavailable engines that were not reported yet.
    pub(crate) fn services_with_unavailable_engines(&self) -> BTreeSet<String> {
        self.unavailable.lock().keys().cloned().collect()
    }

    /// Records pauses between events of the engine that runs a generation.
    pub(crate) fn record_pauses(&self, run: &RunHandle, pauses: EventPauses) {
        let mut buffers = self.pauses.lock();
        let buffer = buffers.entry(run.service.clone()).or_default();
        buffer.record(&run.endpoint.lock().id, pauses.length, pauses.count);
    }

    /// Takes the pauses of a service's engines observed since the last call.
    pub(crate) fn take_pauses(&self, service: &str) -> Vec<EnginePauses> {
        let mut buffers = self.pauses.lock();
        buffers
            .get_mut(service)
            .map(PauseBuffer::take)
            .unwrap_or_default()
    }

    /// Takes the unavailable engines recorded since the last call.
    pub(crate) fn take_unavailable_engines(&self, service: &str) -> UnavailableEngines {
        self.unavailable.lock().remove(service).unwrap_or_default()
    }
}
