//! Requests that crash endpoints (crash suspects): recorded when an endpoint crashes under them,
//! shared with members and the store, and checked before each send.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use spdlog::{info, warn};

use super::heartbeat;
use super::inbound_call::Call;
use super::node::Gateway;
use super::ownership::owner_address;
use super::site_store::{SiteStore, StoredSuspect};
use crate::error::{Error, ErrorKind};
use crate::kernel::backoff::Backoff;
use crate::kernel::crash_suspects::{
    EndpointCrash, START_WINDOW, SuspectChange, SuspectReport, Verdict, software_id,
};
use crate::kernel::fingerprint::{Fingerprint, short_hash};
use crate::kernel::fleet::EndpointEntry;
use crate::peer::convert::InvalidMessageField;
use crate::peer::generated as wire;

/// Interval at which expired suspects are removed and unsaved ones are written to the store.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Initial backoff after a failed write to the store.
const STORE_RETRY_MIN: Duration = Duration::from_millis(200);
/// Maximum backoff: once the store is available again, it receives the suspects within this time.
const STORE_RETRY_MAX: Duration = Duration::from_secs(1);
/// Role whose owner writes suspects to the store that other members should have written, and
/// deletes expired ones.
const KEEPER_ROLE: &str = "contents that endpoints ended under";

/// Decision on whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Admission {
    /// It may be sent to any endpoint.
    Admitted,
    /// The request has crashed endpoints. It may be sent only to endpoints with other software that
    /// has completed it or on which it is tried once.
    Restricted {
        /// Ids of the endpoints to which it must not be sent.
        excluded: Vec<String>,
    },
    /// It must not be sent.
    Refused,
}

/// Returns the verdict on a request. The body is hashed only if a suspect has the same fingerprint
/// head.
pub(super) fn current_verdict(call: &Call) -> Verdict {
    let fingerprints = suspected_fingerprints(call);
    if fingerprints.is_empty() {
        return Verdict::Allowed;
    }
    let gateway = &call.gateway;
    let now = gateway.now();
    gateway.crash_suspects.lock().verdict(&fingerprints, now)
}

/// Returns those fingerprints of a request and its segments that suspects may have.
fn suspected_fingerprints(call: &Call) -> Vec<Fingerprint> {
    let suspects = &call.gateway.crash_suspects;
    // Usually there are no suspects, and nothing has to be hashed.
    if suspects.lock().is_empty() {
        return Vec::new();
    }
    let request_head = call.fingerprint_head();
    let segments = call.segment_fingerprints();
    let (knows_request, knows_segments) = {
        let suspects = suspects.lock();
        let segment_head = segments.first().map(|segment| segment.head);
        let knows_segments = segment_head.is_some_and(|head| suspects.has_head(head));
        (suspects.has_head(request_head), knows_segments)
    };
    let mut fingerprints = Vec::new();
    if knows_segments {
        fingerprints.extend_from_slice(segments);
    }
    if knows_request {
        fingerprints.push(call.fingerprint());
    }
    fingerprints
}

/// Decides whether a request may be sent; `restricted` says that it was already admitted to some
/// endpoints.
pub(super) fn admission(call: &Call, restricted: bool) -> Admission {
    if restricted || current_verdict(call) != Verdict::Refused {
        return Admission::Admitted;
    }
    let ready: Vec<EndpointEntry> = {
        let fleet = call.gateway.fleet.lock();
        fleet.ready_endpoints(&call.service).cloned().collect()
    };
    let Some(proven) = proven_software(call, &ready).or_else(|| begin_software_trial(call, &ready))
    else {
        return Admission::Refused;
    };
    let other_endpoints = ready.iter();
    let other_endpoints = other_endpoints.filter(|endpoint| software(endpoint) != proven);
    let excluded = other_endpoints
        .map(|endpoint| endpoint.id.clone())
        .collect();
    Admission::Restricted { excluded }
}

/// Returns a software version of the ready endpoints that has completed the request.
fn proven_software(call: &Call, ready: &[EndpointEntry]) -> Option<u64> {
    let fingerprints = call.all_fingerprints();
    let now = call.gateway.now();
    let suspects = call.gateway.crash_suspects.lock();
    let mut versions = ready.iter().map(software);
    versions.find(|software| suspects.has_finished_on(&fingerprints, *software, now))
}

/// Starts a trial of the request on a software version that has not run it, and returns that
/// version.
///
/// Only the owner of the service starts trials, so that a release which does not fix the crash
/// costs one endpoint rather than one for each instance.
fn begin_software_trial(call: &Call, ready: &[EndpointEntry]) -> Option<u64> {
    let gateway = &call.gateway;
    if owner_address(gateway, &call.service).is_some() {
        return None;
    }
    let fingerprints = call.all_fingerprints();
    let now = gateway.now();
    let trial_software = {
        let mut suspects = gateway.crash_suspects.lock();
        let mut versions = ready.iter().map(software);
        versions.find(|software| suspects.begin_trial(&fingerprints, *software, now))
    }?;
    info!("crashing content on trial", kv: { content: = call.fingerprint(), service = call.service.as_str() });
    Some(trial_software)
}

fn software(endpoint: &EndpointEntry) -> u64 {
    software_id(&endpoint.service, &endpoint.software)
}

/// Returns the error for a request that is sent to no endpoint.
pub(super) fn refusal_error(call: &Call) -> Error {
    let cause = refusal_cause(call);
    if crate::log::should_log("crashing content refused") {
        info!("crashing content refused", kv: {
            request_id = call.head.request_id.as_str(), content = cause.as_str(), service = call.service.as_str(),
        });
    }
    metrics::counter!("larkwick_suspects_refused_total").increment(1);
    let message = format!(
        "endpoints of service {} end when they run this request; not run; ask the operators to let {cause} go",
        call.service
    );
    Error::new(ErrorKind::EndsEndpoints, message)
}

/// Returns the fingerprint to release so that a refused request is sent again.
fn refusal_cause(call: &Call) -> String {
    let fingerprints = call.all_fingerprints();
    let suspects = call.gateway.crash_suspects.lock();
    let mut culprits = suspects.culprits().iter();
    let culprit = culprits.find(|culprit| culprit.matches(&fingerprints));
    let member = culprit.and_then(|culprit| culprit.members.first().copied());
    // It may have been released meanwhile.
    member.unwrap_or_else(|| call.fingerprint()).to_string()
}

/// What it says of a request and of the segments of its prompt that an endpoint finished it with
/// success and still runs.
pub(super) struct Survival {
    gateway: Arc<Gateway>,
    request_id: String,
    /// Fingerprints of all shared segments, which are remembered in any case, and of the request if
    /// it is suspected.
    fingerprints: Vec<Fingerprint>,
    concerns_suspect: bool,
    endpoint: EndpointEntry,
}

impl Survival {
    /// Returns what a response with success of this endpoint says of a request.
    pub(super) fn of(call: &Call, endpoint: &EndpointEntry) -> Self {
        let suspected = suspected_fingerprints(call);
        let mut fingerprints = call.segment_fingerprints().to_vec();
        fingerprints.extend(suspected.iter().filter(|one| one.segment().is_none()));
        Self {
            gateway: call.gateway.clone(),
            request_id: call.head.request_id.clone(),
            fingerprints,
            concerns_suspect: !suspected.is_empty(),
            endpoint: endpoint.clone(),
        }
    }

    /// Returns whether the request or a segment may be suspected.
    pub(super) fn concerns_suspect(&self) -> bool {
        self.concerns_suspect
    }

    /// Records that neither the request nor any segment of its prompt crashes endpoints.
    pub(super) fn record(self) {
        let software = software(&self.endpoint);
        let now = self.gateway.now();
        for fingerprint in &self.fingerprints {
            let mut suspects = self.gateway.crash_suspects.lock();
            let change = suspects.record_survival(*fingerprint, software, now);
            drop(suspects);
            if change != SuspectChange::None {
                self.log(*fingerprint);
                self.gateway
                    .handle_suspect_change(*fingerprint, change, "finished here");
            }
        }
    }

    fn log(&self, fingerprint: Fingerprint) {
        if crate::log::should_log("suspected content finished") {
            info!("suspected content finished", kv: {
                content: = fingerprint, endpoint = self.endpoint.id.as_str(),
                request_id = self.request_id.as_str(),
            });
        }
    }
}

/// Records that an engine has run a generation past its start window. Its segments have survived:
/// only crashes at the start count against them.
pub(super) fn record_ran_past_start(call: &Call, endpoint: &EndpointEntry) {
    let survival = Survival::of(call, endpoint);
    let (segments, requests) = survival
        .fingerprints
        .iter()
        .partition(|one| one.segment().is_some());
    let gateway = &call.gateway;
    let now = gateway.now();
    for fingerprint in requests {
        let mut suspects = gateway.crash_suspects.lock();
        let change = suspects.record_ran_past_start(fingerprint, now);
        drop(suspects);
        gateway.handle_suspect_change(fingerprint, change, "ran on here");
    }
    let segments = Survival {
        fingerprints: segments,
        ..survival
    };
    segments.record();
}

impl Gateway {
    /// Records that an endpoint crashed while it ran a request with these fingerprints; `ran_for` is
    /// the time since the first event.
    pub(super) fn record_crash(
        self: &Arc<Self>,
        fingerprints: &[Fingerprint],
        endpoint: &EndpointEntry,
        ran_for: Duration,
    ) {
        let crash = EndpointCrash {
            endpoint: short_hash(&endpoint.id),
            software: software(endpoint),
            at_start: ran_for < START_WINDOW,
        };
        let mut has_changed = false;
        for fingerprint in fingerprints {
            let mut suspects = self.crash_suspects.lock();
            let change = suspects.record_crash(*fingerprint, crash, self.now());
            drop(suspects);
            self.handle_suspect_change(*fingerprint, change, "seen here");
            has_changed |= change != SuspectChange::None;
        }
        if has_changed {
            // The caller may retry at once at any instance. With regular heartbeats each 0.5 s, 14
            // attempts 28 ms apart at three instances crashed nine engines instead of three (six
            // runs).
            heartbeat::try_send_early_heartbeats(self);
        }
    }

    /// Releases a suspect at the request of an operator, here and, by gossip, at all instances.
    /// Returns whether it was known.
    pub(super) fn release_suspect(self: &Arc<Self>, fingerprint: Fingerprint) -> bool {
        let was_known = self.crash_suspects.lock().release(fingerprint, self.now());
        if was_known {
            info!("content let go by an operator", kv: { content: = fingerprint });
            self.suspects_changed.notify_one();
            heartbeat::try_send_early_heartbeats(self);
        }
        was_known
    }

    /// Merges suspects that a peer sent.
    pub(super) fn merge_suspects(
        self: &Arc<Self>,
        suspects: Vec<wire::Suspect>,
    ) -> Result<(), InvalidMessageField> {
        for received in suspects {
            let received: SuspectReport = received.try_into()?;
            let change = self.crash_suspects.lock().merge(&received, self.now());
            self.handle_suspect_change(received.fingerprint, change, "member");
            if change == SuspectChange::NowRefused {
                heartbeat::try_send_early_heartbeats(self);
            }
        }
        Ok(())
    }

    /// Merges a suspect that the store holds.
    pub(super) fn merge_stored_suspect(&self, stored: &StoredSuspect) {
        let received = stored.report_at(self.clock.unix_time());
        let change = {
            let mut suspects = self.crash_suspects.lock();
            let change = suspects.merge(&received, self.now());
            suspects.mark_stored(&received);
            change
        };
        self.handle_suspect_change(received.fingerprint, change, "store");
    }

    /// Returns the suspects to send to peers.
    pub(super) fn suspect_updates(&self) -> Vec<wire::Suspect> {
        let updates = self.crash_suspects.lock().recent_updates(self.now());
        updates.iter().map(Into::into).collect()
    }

    fn handle_suspect_change(&self, fingerprint: Fingerprint, change: SuspectChange, source: &str) {
        if change == SuspectChange::None {
            return;
        }
        self.suspects_changed.notify_one();
        let (known, culprits) = {
            let suspects = self.crash_suspects.lock();
            (suspects.len(), suspects.culprits().to_vec())
        };
        let refused = culprits.len();
        let gauge = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        metrics::gauge!("larkwick_suspects", "kind" => "known").set(gauge(known));
        metrics::gauge!("larkwick_suspects", "kind" => "refused").set(gauge(refused));
        if change == SuspectChange::NowRefused {
            let culprit = culprits
                .iter()
                .find(|culprit| culprit.members.contains(&fingerprint));
            let together = culprit.map_or(0, |culprit| culprit.members.len());
            let segment = fingerprint.segment().map(|segment| segment.to_string());
            let segment = segment.as_deref().unwrap_or_default();
            warn!("crashing content found", kv: {
                content: = fingerprint, segment, together:, source, known:, refused:
            });
        }
    }

    fn is_suspect_keeper(&self) -> bool {
        let live = self.live_members.view();
        let keeper = live.owner(KEEPER_ROLE);
        keeper.is_some_and(|keeper| keeper.name == self.incarnation.name)
    }
}

/// Keeps the stored suspects up to date while the instance runs, so that they outlast a loss of all
/// instances.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new(STORE_RETRY_MIN, STORE_RETRY_MAX);
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = gateway.suspects_changed.notified() => {}
        }
        match sync_with_store(&gateway).await {
            Ok(()) => backoff.reset(),
            Err(why) => {
                if crate::log::should_log("content not kept") {
                    warn!("content not kept", kv: { why = why.as_str() });
                }
                let pause = backoff.next_pause(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(pause).await;
                gateway.suspects_changed.notify_one();
            }
        }
    }
}

async fn sync_with_store(gateway: &Gateway) -> Result<(), String> {
    let now = gateway.now();
    let is_keeper = gateway.is_suspect_keeper();
    let (unsaved, expired) = {
        let mut suspects = gateway.crash_suspects.lock();
        if suspects.is_empty() {
            return Ok(());
        }
        let expired = suspects.expire(now);
        (suspects.due_for_store(is_keeper, now), expired)
    };
    for suspect in unsaved {
        let stored = StoredSuspect::new(suspect.clone(), gateway.clock.unix_time());
        let written = gateway.store.store_suspect(&stored).await;
        written.map_err(|error| error.to_string())?;
        gateway.crash_suspects.lock().mark_stored(&suspect);
    }
    for fingerprint in expired.into_iter().filter(|_| is_keeper) {
        let dropped = gateway.store.delete_suspect(fingerprint).await;
        dropped.map_err(|error| error.to_string())?;
    }
    Ok(())
}
