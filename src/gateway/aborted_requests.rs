//! Requests that their endpoint aborted: records whether the endpoint crashed under them.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use super::crash_suspects;
use super::endpoint_presence::PresenceProbe;
use super::inbound_call::Call;
use super::node::Gateway;
use super::presence_probe::ProbeResult;
use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::presence::Presence;

/// Maximum wait for a probe: an endpoint that has exited refuses a connection within a round trip.
const PROBE_WAIT_MAX: Duration = Duration::from_millis(50);

/// Maximum number of segments of a prompt in a line of the log.
const SEGMENTS_LOGGED_MAX: usize = 8;

/// A request that its endpoint aborted.
struct AbortedRequest {
    gateway: Arc<Gateway>,
    request_id: String,
    fingerprint: Fingerprint,
    /// Fingerprints of the segments of its prompt.
    segments: Vec<Fingerprint>,
    route: String,
    endpoint: EndpointEntry,
    ran_for: Duration,
    aborted_at: Duration,
}

/// Reports that an endpoint aborted a request; `ran_for` is the time since the first event, zero if
/// there was none.
///
/// Waits briefly for the probe of the endpoint, so that its result is known before the request is
/// retried. A request that is suspected already waits for the result: its retry could crash the
/// next endpoint.
pub(crate) async fn report(call: &Call, endpoint: EndpointEntry, ran_for: Duration) {
    let gateway = &call.gateway;
    // An endpoint that ended before it read the request did not end under it.
    if gateway.presence_probes.is_unanswered(&endpoint.id) {
        return;
    }
    let fingerprint = call.fingerprint();
    let aborted = AbortedRequest {
        gateway: gateway.clone(),
        request_id: call.head.request_id.clone(),
        fingerprint,
        segments: call.segment_fingerprints().to_vec(),
        route: call.route.name.clone(),
        endpoint,
        ran_for,
        aborted_at: gateway.now(),
    };
    let is_suspected = crash_suspects::current_verdict(call) != Verdict::Allowed
        || gateway.presence_probes.has_pending(fingerprint);
    // Begun before this returns, so that nothing else is sent to the endpoint meanwhile.
    let probe = aborted.begin_probe();
    let probing = tokio::spawn(aborted.record_result(probe));
    if is_suspected {
        // An error would mean that the task panicked, and there is no result to wait for.
        let _ = probing.await;
    } else {
        // The probe continues if this wait times out.
        let _ = tokio::time::timeout(PROBE_WAIT_MAX, probing).await;
    }
}

impl AbortedRequest {
    /// Begins the probe of the endpoint, unless its exit is expected because it drains or its hall
    /// is evacuated.
    fn begin_probe(&self) -> Option<Arc<PresenceProbe>> {
        let gateway = &self.gateway;
        let can_accept_work = gateway.fleet.lock().can_accept_work(&self.endpoint.id);
        can_accept_work
            .then(|| gateway.begin_probe(&self.endpoint, self.fingerprint, self.aborted_at))
    }

    /// Waits for the result of the probe and records it.
    async fn record_result(self, probe: Option<Arc<PresenceProbe>>) {
        let Some(probe) = probe else {
            self.record(&ProbeResult::unknown());
            return;
        };
        let gateway = &self.gateway;
        let probed = gateway.probe_result(probe, &self.endpoint, self.aborted_at);
        let (probe, result) = probed.await;
        let is_running = result.presence == Presence::Listens;
        let result = gateway.weigh_probe(&self.endpoint, result);
        self.record(&result.await);
        gateway.presence_probes.remove_pending(self.fingerprint);
        if is_running {
            tokio::spawn(self.record_late_result(probe));
        }
    }

    async fn record_late_result(self, probe: Arc<PresenceProbe>) {
        let gateway = &self.gateway;
        let late_result = gateway.late_probe_result(&probe, &self.endpoint).await;
        if let Some(result) = late_result {
            let result = gateway.weigh_probe(&self.endpoint, result);
            self.record(&result.await);
        }
    }

    /// Returns the ids of the first segments of the prompt, for the log.
    fn segment_names(&self) -> String {
        let ids = self.segments.iter().filter_map(|one| one.segment());
        let names: Vec<String> = ids
            .take(SEGMENTS_LOGGED_MAX)
            .map(|id| id.to_string())
            .collect();
        names.join(" ")
    }

    fn record(&self, result: &ProbeResult) {
        let presence = result.presence;
        let took = self.gateway.now().saturating_sub(self.aborted_at);
        metrics::counter!("larkwick_broken_off_total", "endpoint" => format!("{presence:?}"))
            .increment(1);
        if crate::log::should_log("endpoint broke off") {
            info!("endpoint broke off", kv: {
                request_id = self.request_id.as_str(),
                content: = self.fingerprint,
                route = self.route.as_str(),
                segments = self.segment_names().as_str(),
                endpoint = self.endpoint.id.as_str(),
                presence:?,
                probe = result.steps.as_str(),
                probe_ms: = millis(took),
                ran_for_ms: = millis(self.ran_for),
            });
        }
        if presence == Presence::Ended {
            self.gateway.record_ended(&self.endpoint, result.clone());
            let mut fingerprints = self.segments.clone();
            fingerprints.push(self.fingerprint);
            self.gateway
                .record_crash(&fingerprints, &self.endpoint, self.ran_for);
        }
    }
}
