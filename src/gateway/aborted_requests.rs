//! Requests that their endpoint aborted: records them and probes whether the endpoint still runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;

use super::inbound_call::Call;
use super::node::Gateway;
use super::upstream::Upstream;
use crate::kernel::clock::millis;
use crate::kernel::fingerprint::RequestFingerprint;
use crate::kernel::fleet::EndpointEntry;

/// Lifetime of a probe result. An endpoint that exits closes all its connections within
/// milliseconds, so one probe serves all requests that it aborted.
const PROBE_RESULT_TTL: Duration = Duration::from_secs(1);
/// Delay before an endpoint that accepted a connection is probed again; a process closes its open
/// sockets within a few milliseconds when it exits.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(20);
/// Maximum wait for a probe: an endpoint that has exited refuses a connection within a round trip.
const PROBE_WAIT_MAX: Duration = Duration::from_millis(50);

/// Whether an endpoint that aborted a response still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// A process listens at its address.
    Listens,
    /// No process listens at its address: it has exited.
    Ended,
    /// Not reachable from here, or already draining, so that its exit would not implicate the
    /// requests that ran there.
    Unknown,
}

/// The result of a probe and the steps that led to it.
#[derive(Debug, Clone)]
struct ProbeResult {
    presence: Presence,
    /// Each step with the time since the start of the probe, for the log.
    steps: Vec<(Duration, ProbeStep)>,
}

/// What one step of a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeStep {
    /// The connection was refused.
    Refused,
    /// The connection was neither accepted nor refused in time.
    Unreachable,
    /// The connection was accepted.
    Accepted,
    /// An accepted connection was closed by the other side.
    Closed,
}

/// A probe of an endpoint, shared by all requests that it aborted.
struct PresenceProbe {
    started_at: Duration,
    result: Arc<OnceCell<ProbeResult>>,
}

/// Recent probes by endpoint.
#[derive(Default)]
pub(crate) struct PresenceProbes {
    by_endpoint: Mutex<HashMap<String, PresenceProbe>>,
}

impl PresenceProbes {
    /// Returns whether an endpoint still runs. Requests within one second share one probe.
    async fn presence(
        &self,
        upstream: &Upstream,
        endpoint: &EndpointEntry,
        now: Duration,
    ) -> ProbeResult {
        let result = {
            let mut probes = self.by_endpoint.lock();
            probes.retain(|_, probe| now.saturating_sub(probe.started_at) < PROBE_RESULT_TTL);
            let probe = probes
                .entry(endpoint.id.clone())
                .or_insert_with(|| PresenceProbe {
                    started_at: now,
                    result: Arc::default(),
                });
            probe.result.clone()
        };
        let probe = || probe_twice(upstream, endpoint);
        result.get_or_init(probe).await.clone()
    }
}

/// Probes an endpoint, and once more if it still listens: an exiting process may close a connection
/// before its listening socket.
async fn probe_twice(upstream: &Upstream, endpoint: &EndpointEntry) -> ProbeResult {
    let started_at = tokio::time::Instant::now();
    let mut steps = Vec::new();
    let (first, connection) = upstream.probe_connection(endpoint).await;
    steps.push((started_at.elapsed(), first));
    if let Some(connection) = connection {
        let closed = wait_until_closed(&connection);
        if tokio::time::timeout(SECOND_PROBE_DELAY, closed)
            .await
            .is_ok()
        {
            steps.push((started_at.elapsed(), ProbeStep::Closed));
            tokio::time::sleep_until(started_at + SECOND_PROBE_DELAY).await;
        }
        drop(connection);
        let (second, _) = upstream.probe_connection(endpoint).await;
        steps.push((started_at.elapsed(), second));
    }
    let presence = match steps.last() {
        Some((_, ProbeStep::Accepted | ProbeStep::Closed)) => Presence::Listens,
        Some((_, ProbeStep::Refused)) => Presence::Ended,
        Some((_, ProbeStep::Unreachable)) | None => Presence::Unknown,
    };
    ProbeResult { presence, steps }
}

/// Waits until the other side closes a connection.
async fn wait_until_closed(connection: &TcpStream) {
    loop {
        if connection.readable().await.is_err() {
            return;
        }
        match connection.try_read(&mut [0; 16]) {
            Ok(0) => return,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
            Ok(_) | Err(_) => {}
        }
    }
}

/// Formats the steps of a probe for the log.
fn steps_text(steps: &[(Duration, ProbeStep)]) -> String {
    let steps = steps
        .iter()
        .map(|(after, step)| format!("{step:?} {} ms", millis(*after)));
    steps.collect::<Vec<_>>().join(", ")
}

/// A request that its endpoint aborted.
struct AbortedRequest {
    gateway: Arc<Gateway>,
    request_id: String,
    fingerprint: RequestFingerprint,
    endpoint: EndpointEntry,
    ran_for: Duration,
}

/// Reports that an endpoint aborted a request; `ran_for` is the time since the first event, zero if
/// there was none.
///
/// Waits briefly for the probe of the endpoint, so that its result is known before the request is
/// retried.
pub(crate) async fn report(call: &Call, endpoint: EndpointEntry, ran_for: Duration) {
    let aborted = AbortedRequest {
        gateway: call.gateway.clone(),
        request_id: call.head.request_id.clone(),
        fingerprint: call.fingerprint(),
        endpoint,
        ran_for,
    };
    let probing = tokio::spawn(aborted.probe_and_record());
    // The probe continues if this wait times out.
    let _ = tokio::time::timeout(PROBE_WAIT_MAX, probing).await;
}

impl AbortedRequest {
    async fn probe_and_record(self) {
        let reported_at = self.gateway.now();
        let ProbeResult { presence, steps } = self.endpoint_presence().await;
        let took = self.gateway.now().saturating_sub(reported_at);
        metrics::counter!("larkwick_broken_off_total", "endpoint" => format!("{presence:?}"))
            .increment(1);
        if crate::log::should_log("endpoint broke off") {
            info!("endpoint broke off", kv: {
                request_id = self.request_id.as_str(),
                content: = self.fingerprint,
                endpoint = self.endpoint.id.as_str(),
                presence:?,
                probe = steps_text(&steps).as_str(),
                probe_ms: = millis(took),
                ran_for_ms: = millis(self.ran_for),
            });
        }
        if presence == Presence::Ended {
            self.notify_placement();
            self.gateway
                .record_crash(self.fingerprint, &self.endpoint, self.ran_for);
        }
    }

    /// Stops placements on the crashed endpoint at once. Otherwise, of 185 generations in one run,
    /// twelve were offered to engines that had already exited, and each cost a retry.
    fn notify_placement(&self) {
        let gateway = &self.gateway;
        let EndpointEntry { id, service, .. } = &self.endpoint;
        let has_engines = gateway
            .table()
            .and_then(|table| table.service(service)?.engine)
            .is_some();
        if has_engines {
            gateway.runs.record_unavailable_engine(service, id, true);
            gateway.ledgers.runs_changed.notify_one();
        } else {
            gateway.health.lock().record_absent(id, gateway.now());
        }
    }

    async fn endpoint_presence(&self) -> ProbeResult {
        let gateway = &self.gateway;
        let endpoint = &self.endpoint;
        // The exit of an endpoint that drains, or whose hall is evacuated, is expected.
        if !gateway.fleet.lock().can_accept_work(&endpoint.id) {
            return ProbeResult {
                presence: Presence::Unknown,
                steps: Vec::new(),
            };
        }
        let now = gateway.now();
        gateway
            .presence_probes
            .presence(&gateway.upstream, endpoint, now)
            .await
    }
}
