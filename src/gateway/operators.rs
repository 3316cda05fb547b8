//! What operators see of an instance that serves routes: its state and its metrics.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use serde::Serialize;

use super::node::{Gateway, Stage};
use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::engine_ledger::EngineSummary;
use crate::kernel::fingerprint::RequestFingerprint;
use crate::kernel::fleet::{Availability, EndpointEntry};
use crate::kernel::membership::PeerStatus;

/// Adds the operators' routes.
pub(crate) fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    rocket.mount("/", routes![state, metrics, suspects, let_go])
}

#[derive(Serialize)]
struct Dump {
    instance: String,
    incarnation: String,
    hall: String,
    stage: Stage,
    ready: bool,
    config_version: u64,
    /// How often the store has come back from an older copy, as it counts.
    store_era: u64,
    calls: usize,
    /// Calls that wait until this instance can serve.
    calls_held: usize,
    calls_held_so_far: u64,
    connections: usize,
    addresses_given: Vec<SocketAddr>,
    members: Vec<MemberDump>,
    endpoints: BTreeMap<String, EndpointDump>,
    engines: HashMap<String, BTreeMap<String, EngineSummary>>,
}

#[derive(Serialize)]
struct MemberDump {
    status: PeerStatus,
    last_heard_ms_ago: Option<u64>,
}

#[derive(Serialize)]
struct EndpointDump {
    entry: EndpointEntry,
    standing: Availability,
    failures_share: f64,
    calls_in_flight: u32,
    /// Time for which it goes on to rest, as it asked this instance; 0 where it does not.
    rests_ms: u64,
    /// Requests a second that it takes from all instances together, as it names it in answers; nothing where it names none.
    limit_per_s: Option<f64>,
}

#[get("/debug/state")]
fn state(gateway: &State<Arc<Gateway>>) -> Json<Dump> {
    let now = gateway.now();
    let members = {
        let members = gateway.members.lock();
        let dumped = members.all().map(|peer| MemberDump {
            status: peer.status.clone(),
            last_heard_ms_ago: peer.last_heard.map(|at| millis(now.saturating_sub(at))),
        });
        dumped.collect()
    };
    let fleet: Vec<(EndpointEntry, Availability)> = {
        let fleet = gateway.fleet.lock();
        let all = fleet.all_endpoints();
        all.map(|(entry, standing)| (entry.clone(), standing))
            .collect()
    };
    let endpoints = {
        let health = gateway.health.lock();
        let rests = gateway.words.rests.lock();
        let dumped = fleet.into_iter().map(|(entry, standing)| {
            let failures_share = health.failure_rate(&entry.id, now);
            let calls_in_flight = health.in_flight(&entry.id);
            let rests_until = rests.ends_at(&entry.id, now).unwrap_or_default();
            let limit_per_s = gateway.words.permits.limit_per_s(&entry.id);
            let id = entry.id.clone();
            let dump = EndpointDump {
                entry,
                standing,
                failures_share,
                calls_in_flight,
                rests_ms: millis(rests_until.saturating_sub(now)),
                limit_per_s,
            };
            (id, dump)
        });
        dumped.collect()
    };
    let (calls_held, calls_held_so_far) = gateway.held.counts();
    Json(Dump {
        instance: gateway.incarnation.name.clone(),
        incarnation: gateway.incarnation.id.to_string(),
        hall: gateway.settings.hall.clone(),
        stage: gateway.in_flight.stage(),
        ready: gateway.is_ready(),
        config_version: gateway.config_version(),
        store_era: gateway.store.era(),
        calls: gateway.in_flight.calls(),
        calls_held,
        calls_held_so_far,
        connections: gateway.in_flight.connections(),
        addresses_given: gateway.caller_addresses(usize::MAX),
        members,
        endpoints,
        engines: gateway.ledgers.dump(),
    })
}

#[get("/metrics")]
fn metrics(handle: &State<PrometheusHandle>) -> String {
    handle.render()
}

/// A content that endpoints ended under.
#[derive(Serialize)]
struct SuspectDump {
    content: RequestFingerprint,
    verdict: Verdict,
    /// Whether an endpoint has finished it.
    innocent: bool,
    /// Endpoints that ended under it.
    ends: usize,
    last_end_ms_ago: u64,
}

#[get("/suspects")]
fn suspects(gateway: &State<Arc<Gateway>>) -> Json<Vec<SuspectDump>> {
    let now = gateway.now();
    let suspects = gateway.suspects.lock();
    let dumped = suspects.reports(now).map(|told| SuspectDump {
        content: told.fingerprint,
        verdict: suspects.verdict(told.fingerprint, now),
        innocent: told.innocent,
        ends: told.crashes.len(),
        last_end_ms_ago: millis(told.last_crash_age),
    });
    Json(dumped.collect())
}

/// Lets a content go: at all instances it is counted from nothing.
#[post("/suspects/<content>/let-go")]
fn let_go(gateway: &State<Arc<Gateway>>, content: &str) -> Status {
    let Ok(content) = content.parse() else {
        return Status::BadRequest;
    };
    if gateway.release_suspect(content) {
        Status::NoContent
    } else {
        Status::NotFound
    }
}
