//! The HTTP API for operators, on its own address: status, state dump, metrics, configuration and
//! drain.

use std::collections::BTreeMap;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, post, routes};
use serde::Serialize;

use crate::daemon::config_loop::ConfigDump;
use crate::daemon::drain;
use crate::daemon::endpoints::EndpointDump;
use crate::daemon::node::{Addresses, Node, Phase};
use crate::daemon::owner::GroupDump;
use crate::daemon::placement_loop::LeaseDump;
use crate::kernel::clock::millis;
use crate::kernel::config::ConfigState;
use crate::kernel::membership::{Incarnation, PeerStatus};
use crate::settings::PluginNames;

type NodeState = State<Arc<Node>>;

/// Mounts the routes for operators.
pub(crate) fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    rocket.mount("/", routes![state, status, metrics, config, begin_drain])
}

/// Dump of the state of an instance, the response of `/debug/state`.
#[derive(Serialize)]
struct StateDump {
    status: StatusDump,
    addresses: Addresses,
    plugins: PluginNames,
    policy: String,
    config: ConfigDump,
    members: Vec<MemberDump>,
    departures: Vec<Incarnation>,
    endpoints: BTreeMap<String, EndpointDump>,
    groups: BTreeMap<String, GroupDump>,
    lease: LeaseDump,
    once: IdempotencyCacheDump,
    reservations_held: usize,
    /// Resident memory of the process. `None` if the operating system does not report it.
    memory_resident_bytes: Option<u64>,
}

/// Status of an instance, the response of `/status`.
#[derive(Serialize)]
struct StatusDump {
    instance: String,
    incarnation: String,
    hall: String,
    phase: Phase,
    requests_active: usize,
    stands_down: bool,
    config_next_offset: u64,
    ticket_epoch: u64,
    members_live: usize,
}

/// A member as this instance knows it.
#[derive(Serialize)]
struct MemberDump {
    status: PeerStatus,
    last_heard_ms_ago: Option<u64>,
    last_listed_ms_ago: Option<u64>,
}

/// Size of the idempotency cache.
#[derive(Serialize)]
struct IdempotencyCacheDump {
    requests: usize,
    bytes: usize,
}

fn status_dump(node: &Node) -> StatusDump {
    let members_live = {
        let members = node.members.lock();
        members.live(&node.settings.hall, node.now()).count()
    };
    StatusDump {
        instance: node.incarnation.name.clone(),
        incarnation: node.incarnation.id.to_string(),
        hall: node.settings.hall.clone(),
        phase: node.drain_state.phase(),
        requests_active: node.drain_state.active_requests(),
        stands_down: node.is_standing_down(),
        config_next_offset: node.config.next_offset(),
        ticket_epoch: node.idempotency.ticket_epoch(),
        members_live,
    }
}

/// Returns the resident memory of the process as Linux reports it in `/proc`.
fn memory_resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}

#[get("/status")]
fn status(node: &NodeState) -> Json<StatusDump> {
    Json(status_dump(node))
}

#[get("/debug/state")]
fn state(node: &NodeState) -> Json<StateDump> {
    let now = node.now();
    let (members, departures) = {
        let members = node.members.lock();
        let peers = members.all().map(|peer| MemberDump {
            status: peer.status.clone(),
            last_heard_ms_ago: peer.last_heard.map(|at| millis(now.saturating_sub(at))),
            last_listed_ms_ago: peer.last_listed.map(|at| millis(now.saturating_sub(at))),
        });
        let departures = members.departures.iter().cloned().collect();
        (peers.collect(), departures)
    };
    Json(StateDump {
        status: status_dump(node),
        addresses: node.addresses(),
        plugins: crate::settings::plugin_names(),
        policy: node.settings.policy.clone(),
        config: node.config.dump(now),
        members,
        departures,
        endpoints: node.endpoints.dump(node),
        groups: node.dump_groups(),
        lease: node.dump_lease(),
        once: IdempotencyCacheDump {
            requests: node.idempotency.len(),
            bytes: node.idempotency.size_bytes(),
        },
        reservations_held: node.reservations.len(),
        memory_resident_bytes: memory_resident_bytes(),
    })
}

#[get("/metrics")]
fn metrics(handle: &State<PrometheusHandle>) -> String {
    handle.run_upkeep();
    handle.render()
}

#[get("/config")]
fn config(node: &NodeState) -> Json<ConfigState> {
    Json(node.config.state())
}

#[post("/drain")]
fn begin_drain(node: &NodeState) -> Status {
    tokio::spawn(drain::run(node.inner().clone()));
    Status::Accepted
}
