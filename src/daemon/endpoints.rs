//! Endpoints as this instance knows them: a client each, the last load report, and whether new work may go there.

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

/// An endpoint that has not reported for this long gets no new work from its group.
pub(crate) const SILENT_AFTER: Duration = Duration::from_millis(2_500);
/// Rounds between a lease holder's reads of its whole hall.
pub(crate) const HALL_EVERY: u32 = 10;
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Clone)]
struct Known {
    address: String,
    plugin: String,
    client: Arc<dyn Endpoint>,
    report: Option<LoadReport>,
    reported_at: Option<Duration>,
    /// Sequence number of the last cache event taken.
    cache_sequence: u64,
    polling: bool,
}

/// All endpoints that this instance has spoken to.
#[derive(Default)]
pub(crate) struct EndpointTable {
    known: Mutex<HashMap<String, Known>>,
    /// Incarnations as the platform's lagging list has them.
    listed: Mutex<HashMap<String, Uuid>>,
}

/// An endpoint in a dump.
#[derive(Debug, Serialize)]
pub(crate) struct EndpointDump {
    address: String,
    incarnation: Option<Uuid>,
    leaving: bool,
    silent: bool,
    report: Option<LoadReport>,
}

impl EndpointTable {
    /// The client for a published endpoint; `None` where its plug-in is not known here.
    pub(crate) fn client(&self, object: &EndpointObject) -> Option<Arc<dyn Endpoint>> {
        let mut known = self.known.lock();
        if let Some(held) = known.get(&object.name)
            && held.address == object.address
            && held.plugin == object.plugin
        {
            return Some(held.client.clone());
        }
        let connected = crate::endpoint::connect(&object.plugin, &object.name, &object.address);
        let client = connected.inspect_err(|error| warn!("{}", error)).ok()?;
        let entry = Known {
            address: object.address.clone(),
            plugin: object.plugin.clone(),
            client: client.clone(),
            report: None,
            reported_at: None,
            cache_sequence: 0,
            polling: false,
        };
        known.insert(object.name.clone(), entry);
        Some(client)
    }

    /// The last report.
    pub(crate) fn report(&self, name: &str) -> Option<LoadReport> {
        self.known.lock().get(name)?.report.clone()
    }

    /// The last report, unless it is older than `within`.
    pub(crate) fn recent_report(
        &self,
        name: &str,
        now: Duration,
        within: Duration,
    ) -> Option<LoadReport> {
        let known = self.known.lock();
        let held = known.get(name)?;
        let fresh = now.saturating_sub(held.reported_at?) < within;
        held.report.clone().filter(|_| fresh)
    }

    /// The incarnation last reported; where it never reported here, the one listed.
    pub(crate) fn incarnation(&self, name: &str) -> Option<Uuid> {
        let reported = self.report(name).map(|report| report.incarnation);
        reported.or_else(|| self.listed.lock().get(name).copied())
    }

    /// Takes an incarnation from the platform's list.
    pub(crate) fn set_listed(&self, incarnation: &Incarnation) {
        let mut listed = self.listed.lock();
        listed.insert(incarnation.name.clone(), incarnation.id);
    }

    fn has_client(&self, name: &str) -> bool {
        self.known.lock().contains_key(name)
    }

    /// Whether the endpoint reported of late.
    pub(crate) fn reports(&self, name: &str, now: Duration) -> bool {
        let known = self.known.lock();
        let at = known.get(name).and_then(|held| held.reported_at);
        at.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER)
    }

    /// The version of a model that an endpoint holds; the wanted one first.
    pub(crate) fn held_version(&self, name: &str, model: &str, wanted: &str) -> Option<String> {
        let known = self.known.lock();
        let models = &known.get(name)?.report.as_ref()?.models;
        let of_model = |held: &&LoadedModel| held.name == model;
        let exact = models
            .iter()
            .filter(of_model)
            .find(|held| held.version == wanted);
        let held = exact.or_else(|| models.iter().find(of_model))?;
        Some(held.version.clone())
    }

    fn take_report(&self, name: &str, report: LoadReport, now: Duration) {
        if let Some(held) = self.known.lock().get_mut(name) {
            held.report = Some(report);
            held.reported_at = Some(now);
        }
    }

    /// Marks an endpoint as being polled; false where it is already.
    fn begin_poll(&self, name: &str) -> bool {
        let mut known = self.known.lock();
        let Some(held) = known.get_mut(name) else {
            return false;
        };
        !std::mem::replace(&mut held.polling, true)
    }

    fn end_poll(&self, name: &str) {
        if let Some(held) = self.known.lock().get_mut(name) {
            held.polling = false;
        }
    }

    fn cache_sequence(&self, name: &str) -> u64 {
        self.known
            .lock()
            .get(name)
            .map_or(0, |held| held.cache_sequence)
    }

    fn set_cache_sequence(&self, name: &str, sequence: u64) {
        if let Some(held) = self.known.lock().get_mut(name) {
            held.cache_sequence = sequence;
        }
    }

    /// All endpoints, for the dump.
    pub(crate) fn dump(&self, node: &Node) -> BTreeMap<String, EndpointDump> {
        let now = node.now();
        let known: Vec<(String, Known)> = {
            let known = self.known.lock();
            known
                .iter()
                .map(|(name, held)| (name.clone(), held.clone()))
                .collect()
        };
        let dumped = known.into_iter().map(|(name, held)| {
            let incarnation = held.report.as_ref().map(|report| report.incarnation);
            let dump = EndpointDump {
                address: held.address,
                incarnation,
                leaving: is_departed(node, &name, incarnation),
                silent: !self.reports(&name, now),
                report: held.report,
            };
            (name, dump)
        });
        dumped.collect()
    }
}

/// Whether an endpoint is leaving. Where its incarnation is unknown, any departure under its name counts.
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

async fn poll(node: Arc<Node>, object: EndpointObject) {
    let Some(client) = node.endpoints.client(&object) else {
        return;
    };
    if !node.endpoints.begin_poll(&object.name) {
        return;
    }
    let answered = tokio::time::timeout(LOAD_TIMEOUT, client.load()).await;
    if let Ok(Ok(report)) = answered {
        if report.leaving {
            let incarnation = Incarnation {
                name: object.name.clone(),
                id: report.incarnation,
            };
            record_departure(&node, &incarnation);
        }
        node.endpoints
            .take_report(&object.name, report.clone(), node.now());
        node.groups.record_load_report(&object.name, &report);
        poll_cache(&node, &object.name, client.as_ref()).await;
    } else {
        metrics::counter!("larkwick_endpoint_poll_failures_total").increment(1);
    }
    node.endpoints.end_poll(&object.name);
}

async fn poll_cache(node: &Node, name: &str, client: &dyn Endpoint) {
    let after = node.endpoints.cache_sequence(name);
    let asked = tokio::time::timeout(LOAD_TIMEOUT, client.cache_events(after)).await;
    let Ok(Ok(events)) = asked else { return };
    // A gap only means that some prefixes are unknown: affinity is a hint.
    for event in &events {
        node.groups.record_cached_prefix(name, event.prefix);
    }
    if let Some(last) = events.last() {
        node.endpoints.set_cache_sequence(name, last.sequence);
    }
}

/// The endpoints whose load this instance reads: those of its groups, the services it has called, or all where entries choose
/// alone. A lease holder reads its whole hall in every `HALL_EVERY`-th round.
fn polled(node: &Node, round: u32) -> Vec<EndpointObject> {
    let catalog = node.catalog();
    let alone = node.policy_scope() == PolicyScope::Entry;
    let all = catalog.endpoints.iter();
    let used_service = |endpoint: &EndpointObject| {
        matches!(endpoint.role, EndpointRole::Service { .. })
            && node.endpoints.has_client(&endpoint.name)
    };
    let used = node.endpoints_to_poll();
    let whole_hall = round.is_multiple_of(HALL_EVERY) && node.holds_lease();
    let ordered = |endpoint: &EndpointObject| whole_hall && endpoint.hall == node.settings.hall;
    let polled = all.filter(|endpoint| {
        alone || used.contains(&endpoint.name) || used_service(endpoint) || ordered(endpoint)
    });
    polled.cloned().collect()
}

/// Reads loads for the life of the node.
pub(crate) async fn run(node: Arc<Node>) {
    let every = ms(node.settings.times.load_poll_ms);
    let mut round: u32 = 0;
    loop {
        node.refresh_groups();
        for object in polled(&node, round) {
            tokio::spawn(poll(node.clone(), object));
        }
        round = round.wrapping_add(1);
        tokio::time::sleep(every).await;
    }
}
