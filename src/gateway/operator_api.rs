//! HTTP routes for operators: state, metrics and crash suspects of an instance.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use serde::Serialize;

use super::account_metrics;
use super::in_flight::{CallCounts, Stage};
use super::node::Gateway;
use super::rollouts::RolloutDump;
use crate::kernel::admission_queue::AccountSummary;
use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::engine_ledger::EngineSummary;
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::fleet::{Availability, EndpointEntry};
use crate::kernel::membership::PeerStatus;
use crate::kernel::region::AllowedRegions;

/// Mounts the routes for operators.
pub(crate) fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    rocket.mount("/", routes![state, metrics, suspects, release_suspect])
}

#[derive(Serialize)]
struct StateDump {
    instance: String,
    incarnation: String,
    hall: String,
    stage: Stage,
    ready: bool,
    config_version: u64,
    /// Era of the store: the number of times it was restored from an older copy, as it counts them.
    store_era: u64,
    calls: usize,
    calls_by_phase: CallCounts,
    /// Calls held until this instance is ready.
    calls_held: usize,
    calls_held_so_far: u64,
    connections: usize,
    addresses_given: Vec<SocketAddr>,
    members: Vec<MemberDump>,
    endpoints: BTreeMap<String, EndpointDump>,
    engines: HashMap<String, BTreeMap<String, EngineSummary>>,
    /// Client accounts with the most waiting generations, by service.
    accounts: HashMap<String, Vec<AccountSummary>>,
    /// Roll-outs by service.
    rollouts: BTreeMap<String, RolloutDump>,
}

#[derive(Serialize)]
struct MemberDump {
    status: PeerStatus,
    last_heard_ms_ago: Option<u64>,
}

#[derive(Serialize)]
struct EndpointDump {
    entry: EndpointEntry,
    #[serde(rename = "standing")]
    availability: Availability,
    #[serde(rename = "failures_share")]
    failure_rate: f64,
    calls_in_flight: u32,
    /// Remaining cooldown that the endpoint requested from this instance; 0 if there is none.
    #[serde(rename = "rests_ms")]
    cooldown_ms: u64,
    /// Limit on the sum of requests per second from all instances that the endpoint announces in
    /// responses, if any.
    limit_per_s: Option<f64>,
}

#[get("/debug/state")]
fn state(gateway: &State<Arc<Gateway>>) -> Json<StateDump> {
    let now = gateway.now();
    let members = {
        let members = gateway.members.lock();
        let dumps = members.all().map(|peer| MemberDump {
            status: peer.status.clone(),
            last_heard_ms_ago: peer.last_heard.map(|at| millis(now.saturating_sub(at))),
        });
        dumps.collect()
    };
    let fleet: Vec<(EndpointEntry, Availability)> = {
        let fleet = gateway.fleet.lock();
        let all = fleet.all_endpoints();
        all.map(|(entry, availability)| (entry.clone(), availability))
            .collect()
    };
    let endpoints = {
        let health = gateway.health.lock();
        let cooldowns = gateway.endpoint_signals.cooldowns.lock();
        let dumps = fleet.into_iter().map(|(entry, availability)| {
            let failure_rate = health.failure_rate(&entry.id, now);
            let calls_in_flight = health.in_flight(&entry.id);
            let cooldown_ends_at = cooldowns.ends_at(&entry.id, now).unwrap_or_default();
            let limit_per_s = gateway.endpoint_signals.permits.limit_per_s(&entry.id);
            let id = entry.id.clone();
            let dump = EndpointDump {
                entry,
                availability,
                failure_rate,
                calls_in_flight,
                cooldown_ms: millis(cooldown_ends_at.saturating_sub(now)),
                limit_per_s,
            };
            (id, dump)
        });
        dumps.collect()
    };
    let (calls_held, calls_held_so_far) = gateway.held_calls.counts();
    Json(StateDump {
        instance: gateway.incarnation.name.clone(),
        incarnation: gateway.incarnation.id.to_string(),
        hall: gateway.settings.hall.clone(),
        stage: gateway.in_flight.stage(),
        ready: gateway.is_ready(),
        config_version: gateway.config_version(),
        store_era: gateway.store.era(),
        calls: gateway.in_flight.calls(),
        calls_by_phase: gateway.in_flight.call_counts(),
        calls_held,
        calls_held_so_far,
        connections: gateway.in_flight.connections(),
        addresses_given: gateway.caller_addresses(usize::MAX, &AllowedRegions::default()),
        members,
        endpoints,
        engines: gateway.ledgers.dump(),
        accounts: gateway.ledgers.dump_accounts(now),
        rollouts: gateway.rollouts.dump(now),
    })
}

#[get("/metrics")]
fn metrics(handle: &State<PrometheusHandle>, gateway: &State<Arc<Gateway>>) -> String {
    let by_account = account_metrics::render(&gateway.ledgers.account_counts());
    handle.render() + &by_account
}

/// A request or prompt segment suspected of crashing endpoints.
#[derive(Serialize)]
struct SuspectDump {
    #[serde(rename = "content")]
    fingerprint: Fingerprint,
    /// Id of the prompt segment, if it is one.
    segment: Option<String>,
    verdict: Verdict,
    /// Whether an endpoint has completed a request with this fingerprint.
    innocent: bool,
    /// Number of endpoints that crashed under it.
    #[serde(rename = "ends")]
    crashes: usize,
    #[serde(rename = "last_end_ms_ago")]
    last_crash_age_ms: u64,
}

#[get("/suspects")]
fn suspects(gateway: &State<Arc<Gateway>>) -> Json<Vec<SuspectDump>> {
    let now = gateway.now();
    let suspects = gateway.crash_suspects.lock();
    let dumps = suspects.reports(now).map(|report| SuspectDump {
        fingerprint: report.fingerprint,
        segment: report
            .fingerprint
            .segment()
            .map(|segment| segment.to_string()),
        verdict: suspects.suspect_verdict(report.fingerprint, now),
        innocent: report.innocent,
        crashes: report.crashes.len(),
        last_crash_age_ms: millis(report.last_crash_age),
    });
    Json(dumps.collect())
}

/// Releases a crash suspect: all instances reset their evidence against it.
#[post("/suspects/<content>/let-go")]
fn release_suspect(gateway: &State<Arc<Gateway>>, content: &str) -> Status {
    let Ok(content) = content.parse() else {
        return Status::BadRequest;
    };
    if gateway.release_suspect(content) {
        Status::NoContent
    } else {
        Status::NotFound
    }
}
