//! Which endpoints that aborted requests have ended.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;

use super::node::Gateway;
use super::presence_probe::{ProbeResult, closed, run_probe};
use super::runs::Unavailability;
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::presence::Presence;

/// Interval at which an endpoint that has ended and is still listed is probed again. It is shorter
/// than the time for which the owner avoids the endpoint after each report.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long the result of a probe is kept.
const RESULT_TTL: Duration = Duration::from_secs(4);
/// How long the connection of a probe that is still open at its result is watched further. A
/// listening socket that goes away resets it.
const WATCH_MAX: Duration = Duration::from_secs(1);

/// A probe of an endpoint, shared by all requests that it aborted.
pub(super) struct PresenceProbe {
    started_at: Duration,
    result: OnceCell<ProbeResult>,
    /// Connection to a plain endpoint that was still open at the result.
    open_connection: Mutex<Option<TcpStream>>,
    /// Result of watching that connection further.
    late_result: OnceCell<Option<ProbeResult>>,
}

/// The latest probe of each endpoint that aborted a request of late.
#[derive(Default)]
pub(crate) struct PresenceProbes {
    by_endpoint: Mutex<HashMap<String, Arc<PresenceProbe>>>,
    /// Endpoints found to have ended, until they are no longer listed or found to run after all,
    /// with the result of their last probe.
    ended: Mutex<BTreeMap<String, ProbeResult>>,
    /// Number of aborted requests without a result, by fingerprint; none is zero.
    pending: Mutex<HashMap<Fingerprint, u32>>,
}

impl PresenceProbes {
    /// Returns the latest probe of an endpoint if it has no result yet or began at `aborted_at` or
    /// later. Else begins a new one.
    fn begin(&self, endpoint: &EndpointEntry, aborted_at: Duration) -> Arc<PresenceProbe> {
        let mut probes = self.by_endpoint.lock();
        probes.retain(|_, probe| {
            probe.is_pending() || aborted_at.saturating_sub(probe.started_at) < RESULT_TTL
        });
        let latest = probes.get(&endpoint.id);
        if let Some(latest) = latest
            && (latest.started_at >= aborted_at || latest.is_pending())
        {
            return latest.clone();
        }
        let probe = Arc::new(PresenceProbe::new(aborted_at));
        probes.insert(endpoint.id.clone(), probe.clone());
        probe
    }

    /// Returns whether an endpoint that aborted a request with this fingerprint is being probed.
    pub(super) fn has_pending(&self, fingerprint: Fingerprint) -> bool {
        self.pending.lock().contains_key(&fingerprint)
    }

    /// Records that the result for an aborted request is known.
    pub(super) fn remove_pending(&self, fingerprint: Fingerprint) {
        let mut pending = self.pending.lock();
        if let Entry::Occupied(mut count) = pending.entry(fingerprint) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }

    /// Returns whether no other probe of the endpoint has begun since this one.
    fn is_latest(&self, endpoint: &EndpointEntry, probe: &Arc<PresenceProbe>) -> bool {
        let latest = self.latest(endpoint);
        latest.is_some_and(|latest| Arc::ptr_eq(&latest, probe))
    }

    /// Returns the endpoints that are being probed or have ended.
    fn avoided_endpoints(&self) -> BTreeSet<String> {
        let mut avoided: BTreeSet<String> = self.ended.lock().keys().cloned().collect();
        let probes = self.by_endpoint.lock();
        let pending = probes.iter().filter(|(_, probe)| probe.is_pending());
        avoided.extend(pending.map(|(endpoint, _)| endpoint.clone()));
        avoided
    }

    /// Returns the endpoints that have ended and whose addresses accept requests nevertheless.
    pub(super) fn unanswered_endpoints(&self) -> BTreeSet<String> {
        let ended = self.ended.lock();
        let unanswered = ended.iter().filter(|(_, probed)| probed.is_unanswered);
        unanswered.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Returns whether an endpoint has ended and its address accepts requests nevertheless.
    pub(super) fn is_unanswered(&self, endpoint: &str) -> bool {
        let ended = self.ended.lock();
        ended
            .get(endpoint)
            .is_some_and(|probed| probed.is_unanswered)
    }

    fn latest(&self, endpoint: &EndpointEntry) -> Option<Arc<PresenceProbe>> {
        self.by_endpoint.lock().get(&endpoint.id).cloned()
    }
}

impl PresenceProbe {
    fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            result: OnceCell::new(),
            open_connection: Mutex::default(),
            late_result: OnceCell::new(),
        }
    }

    fn is_pending(&self) -> bool {
        self.result.get().is_none()
    }

    /// Returns the result, after running the probe if no other request has.
    async fn result(&self, gateway: &Gateway, endpoint: &EndpointEntry) -> ProbeResult {
        // Boxed because it is rare, and would otherwise enlarge the future of every generation.
        let result = self.result.get_or_init(|| async {
            let (result, connection) = Box::pin(run_probe(gateway, endpoint)).await;
            *self.open_connection.lock() = connection;
            result
        });
        result.await.clone()
    }

    /// Watches the connection of the probe further. Returns a result if the endpoint has ended.
    async fn late_result(
        &self,
        gateway: &Gateway,
        endpoint: &EndpointEntry,
    ) -> Option<ProbeResult> {
        let result = self.late_result.get_or_init(|| async {
            let connection = self.open_connection.lock().take()?;
            gateway.wait_for(WATCH_MAX, closed(&connection)).await?;
            let (result, _) = run_probe(gateway, endpoint).await;
            (result.presence == Presence::Ended).then_some(result)
        });
        result.await.clone()
    }
}

impl Gateway {
    /// Begins to probe an endpoint that aborted a request at `aborted_at`. From then on it is
    /// avoided, and the request counts as pending until [`PresenceProbes::remove_pending`].
    pub(super) fn begin_probe(
        &self,
        endpoint: &EndpointEntry,
        fingerprint: Fingerprint,
        aborted_at: Duration,
    ) -> Arc<PresenceProbe> {
        let probes = &self.presence_probes;
        *probes.pending.lock().entry(fingerprint).or_default() += 1;
        probes.begin(endpoint, aborted_at)
    }

    /// Returns the result of a probe for a request that was aborted at `aborted_at`. A probe that
    /// began before may have found the endpoint running although it has crashed since.
    pub(super) async fn probe_result(
        &self,
        mut probe: Arc<PresenceProbe>,
        endpoint: &EndpointEntry,
        aborted_at: Duration,
    ) -> (Arc<PresenceProbe>, ProbeResult) {
        loop {
            let result = probe.result(self, endpoint).await;
            if result.presence != Presence::Listens || probe.started_at >= aborted_at {
                return (probe, result);
            }
            probe = self.presence_probes.begin(endpoint, aborted_at);
        }
    }

    /// Returns whether an endpoint has ended after all, for a request whose probe found it running.
    ///
    /// If it has aborted other requests meanwhile, it ended under one of these.
    pub(super) async fn late_probe_result(
        &self,
        probe: &Arc<PresenceProbe>,
        endpoint: &EndpointEntry,
    ) -> Option<ProbeResult> {
        let result = probe.late_result(self, endpoint).await;
        result.filter(|_| self.presence_probes.is_latest(endpoint, probe))
    }

    /// Waits until an endpoint is found to have ended; never returns if its latest probe finds
    /// something else.
    pub(super) async fn endpoint_ended(&self, endpoint: &EndpointEntry) {
        if self.presence_probes.ended.lock().contains_key(&endpoint.id) {
            return;
        }
        if let Some(probe) = self.presence_probes.latest(endpoint)
            && probe.result(self, endpoint).await.presence == Presence::Ended
        {
            return;
        }
        std::future::pending::<()>().await;
    }

    /// Returns whether an endpoint that aborted a request just now is known to have ended.
    pub(super) async fn has_ended(&self, endpoint: &EndpointEntry) -> bool {
        if self.presence_probes.ended.lock().contains_key(&endpoint.id) {
            return true;
        }
        let presence = match self.presence_probes.latest(endpoint) {
            Some(probe) => {
                let result = probe.result(self, endpoint).await;
                self.weigh_probe(endpoint, result).await.presence
            }
            // Its end was expected and it was not probed.
            None => self.presence_after_answer(endpoint).await,
        };
        presence == Presence::Ended
    }

    /// Records that an endpoint has ended. It is avoided until it is no longer listed, or a later
    /// probe finds that it runs. No caller's request serves as that probe.
    pub(super) fn record_ended(self: &Arc<Self>, endpoint: &EndpointEntry, probed: ProbeResult) {
        self.notify_placement(endpoint);
        let before = self
            .presence_probes
            .ended
            .lock()
            .insert(endpoint.id.clone(), probed);
        if before.is_none() {
            tokio::spawn(self.clone().recheck(endpoint.clone()));
        }
    }

    async fn recheck(self: Arc<Self>, endpoint: EndpointEntry) {
        loop {
            self.sleep_for(RECHECK_INTERVAL).await;
            let is_listed = self.fleet.lock().get(&endpoint.id).is_some();
            if !is_listed {
                break;
            }
            let (result, _) = run_probe(&self, &endpoint).await;
            let result = self.weigh_probe(&endpoint, result).await;
            if result.presence == Presence::Listens {
                info!("ended endpoint runs after all", kv: {
                    endpoint = endpoint.id.as_str(), probe = result.steps.as_str(),
                });
                break;
            }
            if result.presence == Presence::Ended {
                self.notify_placement(&endpoint);
            }
            let mut ended = self.presence_probes.ended.lock();
            ended.insert(endpoint.id.clone(), result);
        }
        self.presence_probes.ended.lock().remove(&endpoint.id);
    }

    /// Stops placements on an ended endpoint at once, also by other instances. Otherwise, of 185
    /// generations in one run, twelve were offered to engines that had already exited, and each
    /// cost a retry.
    fn notify_placement(&self, endpoint: &EndpointEntry) {
        let EndpointEntry { id, service, .. } = endpoint;
        if self.has_engines(service) {
            self.runs
                .record_unavailable_engine(service, id, Unavailability::Gone);
            self.ledgers.runs_changed.notify_one();
        } else {
            self.health.lock().record_absent(id, self.now());
        }
    }

    /// Returns the endpoints to which nothing new should be sent from here because they are being
    /// probed or have ended. If there would be no other among `candidates`, returns only those that
    /// would never answer.
    pub(super) fn avoided_endpoints<'a>(
        &self,
        mut candidates: impl Iterator<Item = &'a EndpointEntry>,
    ) -> BTreeSet<String> {
        let avoided = self.presence_probes.avoided_endpoints();
        if candidates.all(|endpoint| avoided.contains(&endpoint.id)) {
            return self.presence_probes.unanswered_endpoints();
        }
        avoided
    }
}
