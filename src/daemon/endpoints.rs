//! The endpoints known to this instance: their clients, their last load reports and whether they
//! accept new work.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Serialize;
use spdlog::warn;
use uuid::Uuid;

use super::member_loop::record_departure;
use super::node::Node;
use crate::endpoint::Endpoint;
use crate::kernel::membership::Incarnation;
use crate::kernel::object::{Endpoint as EndpointObject, EndpointRole};
use crate::kernel::policy::{LoadReport, LoadedModel, PolicyScope};
use crate::settings::ms;

/// Maximum age of the last load report with which an endpoint still gets new work from its group.
pub(crate) const REPORT_AGE_MAX: Duration = Duration::from_millis(2_500);
/// Rounds between two polls of the whole hall by its lease holder.
pub(crate) const HALL_POLL_INTERVAL_ROUNDS: u32 = 10;
/// Timeout of one request for a load report or for cache events.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An endpoint for which this instance has created a client.
#[derive(Clone)]
struct KnownEndpoint {
    address: String,
    plugin: String,
    client: Arc<dyn Endpoint>,
    last_report: Option<LoadReport>,
    last_reported_at: Option<Duration>,
    /// Sequence number of the last cache event applied.
    cache_sequence: u64,
    is_polling: bool,
}

/// All endpoints for which this instance has created a client.
#[derive(Default)]
pub(crate) struct EndpointTable {
    known: Mutex<HashMap<String, KnownEndpoint>>,
    /// Incarnations from the platform's list, which may be out of date.
    listed_incarnations: Mutex<HashMap<String, Uuid>>,
}

/// An endpoint in the debug dump.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointDump {
    address: String,
    incarnation: Option<Uuid>,
    leaving: bool,
    /// Whether there is no recent load report.
    silent: bool,
    report: Option<LoadReport>,
}

impl EndpointTable {
    /// Returns the client of a published endpoint, which is created if necessary.
    ///
    /// Returns `None` if the client cannot be created, for example because the plug-in is unknown.
    pub(crate) fn client_for(&self, object: &EndpointObject) -> Option<Arc<dyn Endpoint>> {
        let mut known = self.known.lock();
        if let Some(endpoint) = known.get(&object.name)
            && endpoint.address == object.address
            && endpoint.plugin == object.plugin
        {
            return Some(endpoint.client.clone());
        }
        let connected = crate::endpoint::connect(&object.plugin, &object.name, &object.address);
        let client = connected.inspect_err(|error| warn!("{}", error)).ok()?;
        let entry = KnownEndpoint {
            address: object.address.clone(),
            plugin: object.plugin.clone(),
            client: client.clone(),
            last_report: None,
            last_reported_at: None,
            cache_sequence: 0,
            is_polling: false,
        };
        known.insert(object.name.clone(), entry);
        Some(client)
    }

    /// Returns the last load report.
    pub(crate) fn last_report(&self, name: &str) -> Option<LoadReport> {
        self.known.lock().get(name)?.last_report.clone()
    }

    /// Returns the last load report if it is younger than `age_max`.
    pub(crate) fn report_younger_than(
        &self,
        name: &str,
        now: Duration,
        age_max: Duration,
    ) -> Option<LoadReport> {
        let known = self.known.lock();
        let endpoint = known.get(name)?;
        let is_fresh = now.saturating_sub(endpoint.last_reported_at?) < age_max;
        endpoint.last_report.clone().filter(|_| is_fresh)
    }

    /// Returns the incarnation in the last report, or the one in the platform's list if there is no
    /// report.
    pub(crate) fn incarnation(&self, name: &str) -> Option<Uuid> {
        let reported = self.last_report(name).map(|report| report.incarnation);
        reported.or_else(|| self.listed_incarnations.lock().get(name).copied())
    }

    /// Records an incarnation from the platform's list.
    pub(crate) fn record_listed_incarnation(&self, incarnation: &Incarnation) {
        let mut listed = self.listed_incarnations.lock();
        listed.insert(incarnation.name.clone(), incarnation.id);
    }

    fn has_client(&self, name: &str) -> bool {
        self.known.lock().contains_key(name)
    }

    /// Returns whether the last report is younger than [`REPORT_AGE_MAX`].
    pub(crate) fn has_recent_report(&self, name: &str, now: Duration) -> bool {
        let known = self.known.lock();
        let last_reported_at = known
            .get(name)
            .and_then(|endpoint| endpoint.last_reported_at);
        last_reported_at.is_some_and(|at| now.saturating_sub(at) < REPORT_AGE_MAX)
    }

    /// Returns the version of `model` that the endpoint has loaded, preferably `wanted`.
    pub(crate) fn loaded_version(&self, name: &str, model: &str, wanted: &str) -> Option<String> {
        let known = self.known.lock();
        let models = &known.get(name)?.last_report.as_ref()?.models;
        let is_model = |loaded: &&LoadedModel| loaded.name == model;
        let exact = models
            .iter()
            .filter(is_model)
            .find(|loaded| loaded.version == wanted);
        let loaded = exact.or_else(|| models.iter().find(is_model))?;
        Some(loaded.version.clone())
    }

    fn record_report(&self, name: &str, report: LoadReport, now: Duration) {
        if let Some(endpoint) = self.known.lock().get_mut(name) {
            endpoint.last_report = Some(report);
            endpoint.last_reported_at = Some(now);
        }
    }

    /// Marks an endpoint as being polled; returns `false` if it is unknown or already being polled.
    fn try_start_poll(&self, name: &str) -> bool {
        let mut known = self.known.lock();
        let Some(endpoint) = known.get_mut(name) else {
            return false;
        };
        !std::mem::replace(&mut endpoint.is_polling, true)
    }

    fn finish_poll(&self, name: &str) {
        if let Some(endpoint) = self.known.lock().get_mut(name) {
            endpoint.is_polling = false;
        }
    }

    fn cache_sequence(&self, name: &str) -> u64 {
        self.known
            .lock()
            .get(name)
            .map_or(0, |endpoint| endpoint.cache_sequence)
    }

    fn set_cache_sequence(&self, name: &str, sequence: u64) {
        if let Some(endpoint) = self.known.lock().get_mut(name) {
            endpoint.cache_sequence = sequence;
        }
    }

    /// Returns all known endpoints for the debug dump, by name.
    pub(crate) fn dump(&self, node: &Node) -> BTreeMap<String, EndpointDump> {
        let now = node.now();
        let known: Vec<(String, KnownEndpoint)> = {
            let known = self.known.lock();
            known
                .iter()
                .map(|(name, endpoint)| (name.clone(), endpoint.clone()))
                .collect()
        };
        let dumped = known.into_iter().map(|(name, endpoint)| {
            let incarnation = endpoint
                .last_report
                .as_ref()
                .map(|report| report.incarnation);
            let dump = EndpointDump {
                address: endpoint.address,
                incarnation,
                leaving: is_departed(node, &name, incarnation),
                silent: !self.has_recent_report(&name, now),
                report: endpoint.last_report,
            };
            (name, dump)
        });
        dumped.collect()
    }
}

/// Returns whether an endpoint is known to be leaving.
///
/// If its incarnation is unknown, any departure under its name counts.
pub(crate) fn is_departed(node: &Node, name: &str, incarnation: Option<Uuid>) -> bool {
    let members = node.members.lock();
    match incarnation {
        Some(id) => members.departures.contains(&Incarnation {
            name: name.to_owned(),
            id,
        }),
        None => members
            .departures
            .iter()
            .any(|departed| departed.name == name),
    }
}

/// Reads the load report and the cache events of an endpoint, unless a poll of it is under way.
async fn poll(node: Arc<Node>, object: EndpointObject) {
    let Some(client) = node.endpoints.client_for(&object) else {
        return;
    };
    if !node.endpoints.try_start_poll(&object.name) {
        return;
    }
    let reply = tokio::time::timeout(POLL_TIMEOUT, client.load_report()).await;
    if let Ok(Ok(report)) = reply {
        if report.leaving {
            let incarnation = Incarnation {
                name: object.name.clone(),
                id: report.incarnation,
            };
            record_departure(&node, &incarnation);
        }
        node.endpoints
            .record_report(&object.name, report.clone(), node.now());
        node.groups.record_load_report(&object.name, &report);
        poll_cache_events(&node, &object.name, client.as_ref()).await;
    } else {
        metrics::counter!("larkwick_endpoint_poll_failures_total").increment(1);
    }
    node.endpoints.finish_poll(&object.name);
}

/// Applies new cache events of an endpoint to the prefix affinity of the groups.
async fn poll_cache_events(node: &Node, name: &str, client: &dyn Endpoint) {
    let after = node.endpoints.cache_sequence(name);
    let reply = tokio::time::timeout(POLL_TIMEOUT, client.cache_events(after)).await;
    let Ok(Ok(events)) = reply else { return };
    // A gap in the events only leaves some prefixes unknown, which is fine since affinity is a hint.
    for event in &events {
        node.groups.record_cached_prefix(name, event.prefix);
    }
    if let Some(last) = events.last() {
        node.endpoints.set_cache_sequence(name, last.sequence);
    }
}

/// Returns the endpoints whose load this instance polls in this round.
///
/// These are the endpoints of its groups and the services that it has called, or all endpoints if
/// each entry selects endpoints without group owners. A lease holder also polls its whole hall in
/// every [`HALL_POLL_INTERVAL_ROUNDS`]-th round.
fn endpoints_to_poll(node: &Node, round: u32) -> Vec<EndpointObject> {
    let catalog = node.catalog();
    let is_entry_scope = node.policy_scope() == PolicyScope::Entry;
    let all = catalog.endpoints.iter();
    let is_used_service = |endpoint: &EndpointObject| {
        matches!(endpoint.role, EndpointRole::Service { .. })
            && node.endpoints.has_client(&endpoint.name)
    };
    let used = node.endpoints_to_poll();
    let polls_own_hall = round.is_multiple_of(HALL_POLL_INTERVAL_ROUNDS) && node.holds_lease();
    let is_in_polled_hall =
        |endpoint: &EndpointObject| polls_own_hall && endpoint.hall == node.settings.hall;
    let polled = all.filter(|endpoint| {
        is_entry_scope
            || used.contains(&endpoint.name)
            || is_used_service(endpoint)
            || is_in_polled_hall(endpoint)
    });
    polled.cloned().collect()
}

/// Polls endpoints periodically until the node stops.
pub(crate) async fn run(node: Arc<Node>) {
    let interval = ms(node.settings.times.load_poll_ms);
    let mut round: u32 = 0;
    loop {
        node.refresh_groups();
        for object in endpoints_to_poll(&node, round) {
            tokio::spawn(poll(node.clone(), object));
        }
        round = round.wrapping_add(1);
        tokio::time::sleep(interval).await;
    }
}
