//! The generations that this instance serves: what their owner is told of them, and the way to reach each one.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::kernel::engine_ledger::{ReportedRun, RunDemand};
use crate::kernel::fleet::EndpointEntry;

/// Where a generation goes on once the engine that ran it has stopped it: the stream of that one closes by itself.
#[derive(Debug, Clone)]
pub(crate) struct Continuation {
    /// Engine that runs it from now on.
    pub(crate) target: EndpointEntry,
    /// Engine that the copy is named after.
    pub(crate) copy_address: std::net::SocketAddr,
    /// Name of the copy.
    pub(crate) copy: String,
    /// Whether going on there was counted against the limit that the engine names.
    pub(crate) counted: bool,
}

/// What is told to the task that passes a generation on.
#[derive(Debug)]
pub(crate) enum RunCommand {
    /// Its engine is asked to stop it; its stream will close before the place to go on is known.
    Stopping,
    /// Where it goes on.
    Continue(Box<Continuation>),
    /// It was not stopped after all.
    NotStopped,
}

/// A generation served here.
#[derive(Debug)]
pub(crate) struct RunHandle {
    pub(crate) service: String,
    pub(crate) demand: RunDemand,
    /// Engine that runs it.
    pub(crate) endpoint: Mutex<EndpointEntry>,
    pub(crate) made_tokens: AtomicU32,
    pub(crate) commands: mpsc::UnboundedSender<RunCommand>,
}

impl RunHandle {
    fn reported(&self) -> ReportedRun {
        ReportedRun {
            demand: self.demand.clone(),
            endpoint: self.endpoint.lock().id.clone(),
            made_tokens: self.made_tokens.load(Ordering::Relaxed),
        }
    }
}

/// Engines that did not take a generation.
#[derive(Debug, Clone, Default)]
pub(crate) struct NotTaken {
    /// They refused as full, or could not be reached from here.
    pub(crate) refused: BTreeSet<String>,
    /// Nobody listens at their address.
    pub(crate) dead: BTreeSet<String>,
    /// They asked the entry for rest that is not over.
    pub(crate) resting: BTreeSet<String>,
}

/// All generations served here.
#[derive(Debug, Default)]
pub(crate) struct RunRegistry {
    runs: Mutex<HashMap<String, Arc<RunHandle>>>,
    /// Engines that did not take a generation since the last report, by service.
    not_taken: Mutex<HashMap<String, NotTaken>>,
}

impl RunRegistry {
    pub(crate) fn insert(&self, handle: Arc<RunHandle>) {
        self.runs.lock().insert(handle.demand.run.clone(), handle);
    }

    /// Removes a generation, unless it was begun anew meanwhile.
    pub(crate) fn remove(&self, handle: &Arc<RunHandle>) {
        let mut runs = self.runs.lock();
        let name = &handle.demand.run;
        if runs
            .get(name)
            .is_some_and(|known| Arc::ptr_eq(known, handle))
        {
            runs.remove(name);
        }
    }

    pub(crate) fn get(&self, run: &str) -> Option<Arc<RunHandle>> {
        self.runs.lock().get(run).cloned()
    }

    /// Services with generations here.
    pub(crate) fn services(&self) -> BTreeSet<String> {
        let runs = self.runs.lock();
        runs.values().map(|run| run.service.clone()).collect()
    }

    /// Engines that run generations served here.
    pub(crate) fn endpoints(&self) -> BTreeSet<String> {
        let runs = self.runs.lock();
        let endpoints = runs.values().map(|run| run.endpoint.lock().id.clone());
        endpoints.collect()
    }

    /// Generations of a service, as its owner is told.
    pub(crate) fn of_service(&self, service: &str) -> Vec<ReportedRun> {
        let runs = self.runs.lock();
        let runs = runs.values().filter(|run| run.service == service);
        runs.map(|run| run.reported()).collect()
    }

    /// Notes an engine that did not take a generation.
    pub(crate) fn note_not_taken(&self, service: &str, endpoint: &str, dead: bool) {
        let mut not_taken = self.not_taken.lock();
        let not_taken = not_taken.entry(service.to_owned()).or_default();
        let engines = if dead {
            &mut not_taken.dead
        } else {
            &mut not_taken.refused
        };
        engines.insert(endpoint.to_owned());
    }

    /// Takes the engines that did not take a generation since the last call.
    pub(crate) fn take_not_taken(&self, service: &str) -> NotTaken {
        self.not_taken.lock().remove(service).unwrap_or_default()
    }
}
