//! Groups of endpoints and their owners. A group's owner reserves capacity on its endpoints through
//! the kernel's ledger and queues the requests that have to wait.
//!
//! Ownership is soft: instances whose views of the live instances differ may disagree about it for
//! a while, and an instance that cannot reach the owner decides within its own share of the group.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Serialize;
use spdlog::info;
use tokio::sync::oneshot;
use uuid::Uuid;

use super::endpoints::is_departed;
use super::node::{Node, Phase};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::clock::millis;
use crate::kernel::group::{
    Decision, ExpiredReservation, Grant, GroupLedger, GroupLimits, GroupSummary, QueueDecision,
    ReserveRequest,
};
use crate::kernel::membership::rendezvous;
use crate::kernel::object::{Endpoint as EndpointObject, EndpointRole};
use crate::kernel::policy::{self, LoadReport, PolicyScope};
use crate::kernel::rules::Catalog;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Maximum number of endpoints in a group.
pub(crate) const GROUP_SIZE: usize = 16;
/// Interval at which the queues of waiting requests are processed.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the expected memory use of running streams is recalculated, because streams
/// grow between progress reports.
const IN_FLIGHT_REFRESH_INTERVAL: Duration = Duration::from_millis(60);
/// An instance that does not own a group drops it after this long without a request for it.
const UNUSED_GROUP_RETENTION: Duration = Duration::from_secs(10);

/// A group kept by this instance.
struct Group {
    ledger: Mutex<GroupLedger>,
    /// Queued requests by reservation id.
    waiters: Mutex<HashMap<Uuid, oneshot::Sender<Result<Grant>>>>,
    last_used: Mutex<Duration>,
    in_flight_refreshed_at: Mutex<Duration>,
    /// Whether progress has been reported since the queue was last processed.
    dirty: std::sync::atomic::AtomicBool,
}

/// The groups that this instance owns or has received requests for.
#[derive(Default)]
pub(crate) struct Groups {
    groups: Mutex<BTreeMap<String, Arc<Group>>>,
}

/// The endpoint on which a reservation was granted.
#[derive(Debug, Clone)]
pub(crate) struct GrantedEndpoint {
    pub(crate) endpoint: String,
    /// Incarnation of the endpoint, if the owner knows it.
    pub(crate) incarnation: Option<Uuid>,
    /// Version of the requested model that the endpoint has loaded.
    pub(crate) version: String,
}

/// A group in the state dump.
#[derive(Debug, Serialize)]
pub(crate) struct GroupDump {
    owner: Option<String>,
    summary: GroupSummary,
}

/// Returns the engine groups of a hall: the endpoints of each group by group name.
pub(crate) fn groups_of_hall<'a>(
    hall: &str,
    endpoints: impl Iterator<Item = &'a EndpointObject>,
) -> BTreeMap<String, Vec<&'a EndpointObject>> {
    let engines = endpoints.filter(|endpoint| {
        endpoint.hall == hall && matches!(endpoint.role, EndpointRole::Engine { .. })
    });
    let mut groups: BTreeMap<String, Vec<&EndpointObject>> = BTreeMap::new();
    for (index, engine) in engines.enumerate() {
        let name = format!("{hall}/{}", index / GROUP_SIZE);
        groups.entry(name).or_default().push(engine);
    }
    groups
}

/// Returns the name of the hall that a group belongs to.
fn hall_of_group(group: &str) -> &str {
    group.rsplit_once('/').map_or(group, |(hall, _)| hall)
}

impl Groups {
    fn get(&self, name: &str) -> Option<Arc<Group>> {
        self.groups.lock().get(name).cloned()
    }

    fn all(&self) -> Vec<(String, Arc<Group>)> {
        let groups = self.groups.lock();
        groups
            .iter()
            .map(|(name, group)| (name.clone(), group.clone()))
            .collect()
    }

    /// Records an endpoint's load report in all groups.
    pub(crate) fn record_load_report(&self, endpoint: &str, report: &LoadReport) {
        for (_, group) in self.all() {
            group.ledger.lock().record_load_report(endpoint, report);
        }
    }

    /// Records in all groups that an endpoint has cached a prompt prefix.
    pub(crate) fn record_cached_prefix(&self, endpoint: &str, prefix: u64) {
        for (_, group) in self.all() {
            group.ledger.lock().record_cached_prefix(endpoint, prefix);
        }
    }
}

impl Group {
    /// Wakes the requests that waited. Releases a grant if its request no longer waits.
    fn notify_waiters(&self, decisions: Vec<QueueDecision>) {
        for decision in decisions {
            let waiter = self.waiters.lock().remove(&decision.reservation_id);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(decision.result).is_ok());
            if !is_delivered {
                self.ledger.lock().release(decision.reservation_id);
            }
        }
    }
}

impl Node {
    /// Returns whether group owners or single entries apply the configured policy.
    pub(crate) fn policy_scope(&self) -> PolicyScope {
        policy::build(&self.settings.policy).map_or(PolicyScope::Group, |policy| policy.scope())
    }

    /// Returns the owner of a group, chosen by rendezvous hashing among the live instances of the
    /// group's hall, or among all live instances if the hall has none.
    pub(crate) fn group_owner(&self, group: &str) -> Option<String> {
        let hall = hall_of_group(group);
        let now = self.now();
        let members = self.members.lock();
        let serving = self.drain_state.phase() == Phase::Serving;
        let own = serving.then_some((self.incarnation.name.as_str(), self.settings.hall.as_str()));
        let live = members.live(&self.settings.hall, now).map(|peer| {
            (
                peer.status.incarnation.name.as_str(),
                peer.status.hall.as_str(),
            )
        });
        let candidates: Vec<_> = live.chain(own).collect();
        let in_hall = candidates
            .iter()
            .filter(|(_, instance_hall)| *instance_hall == hall)
            .map(|(name, _)| *name);
        let owner = rendezvous(group, in_hall)
            .or_else(|| rendezvous(group, candidates.iter().map(|(name, _)| *name)));
        owner.map(str::to_owned)
    }

    fn owns_group(&self, group: &str) -> bool {
        self.group_owner(group).as_deref() == Some(self.incarnation.name.as_str())
    }

    /// Returns the halls whose groups this instance may own (its own hall, and halls without a live
    /// instance) and the halls of the groups that it already keeps.
    fn halls_to_manage(&self, catalog: &Catalog) -> BTreeSet<String> {
        let halls_with_instances: BTreeSet<String> = {
            let members = self.members.lock();
            let live = members.live(&self.settings.hall, self.now());
            live.map(|peer| peer.status.hall.clone()).collect()
        };
        let halls = catalog.endpoints.iter().map(|endpoint| &endpoint.hall);
        let ownable = halls
            .filter(|hall| **hall == self.settings.hall || !halls_with_instances.contains(*hall));
        let kept_groups = self.groups.all();
        let kept_halls = kept_groups
            .iter()
            .map(|(name, _)| hall_of_group(name).to_owned());
        ownable.cloned().chain(kept_halls).collect()
    }

    /// Returns the names of the endpoints whose load reports this instance needs: those of the
    /// groups that it keeps or owns, and the services of each hall whose first group it owns.
    pub(crate) fn endpoints_to_poll(&self) -> BTreeSet<String> {
        let catalog = self.catalog();
        let halls = self.halls_to_manage(&catalog);
        let mut needed = BTreeSet::new();
        for hall in &halls {
            for (name, members) in groups_of_hall(hall, catalog.endpoints.iter()) {
                if self.groups.get(&name).is_some() || self.owns_group(&name) {
                    needed.extend(members.iter().map(|endpoint| endpoint.name.clone()));
                }
            }
            if self.owns_group(&format!("{hall}/0")) {
                let services = catalog.endpoints.iter().filter(|endpoint| {
                    endpoint.hall == *hall && matches!(endpoint.role, EndpointRole::Service { .. })
                });
                needed.extend(services.map(|endpoint| endpoint.name.clone()));
            }
        }
        needed
    }

    /// Updates the groups from the configuration, and removes endpoints that have departed or
    /// stopped reporting.
    pub(crate) fn refresh_groups(&self) {
        let catalog = self.catalog();
        let halls = self.halls_to_manage(&catalog);
        for hall in &halls {
            for (name, members) in groups_of_hall(hall, catalog.endpoints.iter()) {
                self.refresh_group(&name, &members);
            }
        }
    }

    fn refresh_group(&self, name: &str, members: &[&EndpointObject]) {
        let now = self.now();
        let owned = self.owns_group(name);
        let group = match self.groups.get(name) {
            Some(group) => group,
            None if owned => self.get_or_create_group(name),
            None => return,
        };
        if owned {
            *group.last_used.lock() = now;
        } else if now.saturating_sub(*group.last_used.lock()) > UNUSED_GROUP_RETENTION {
            self.groups.groups.lock().remove(name);
            return;
        }
        let share = if owned { 1 } else { self.live_instance_count() };
        let usable = members
            .iter()
            .filter(|endpoint| self.can_accept_work(&endpoint.name));
        let usable: HashMap<&str, u64> = usable
            .map(|endpoint| (endpoint.name.as_str(), kv_capacity(endpoint) / share))
            .collect();
        let mut ledger = group.ledger.lock();
        let unusable: Vec<String> = ledger
            .endpoints()
            .filter(|known| !usable.contains_key(*known))
            .map(str::to_owned)
            .collect();
        for name in unusable {
            ledger.remove_endpoint(&name);
        }
        for (name, capacity_tokens) in usable {
            ledger.set_endpoint(name, capacity_tokens);
        }
    }

    /// Returns the number of live instances, this one included, which divide the capacity of a
    /// group between them when they decide without its owner.
    fn live_instance_count(&self) -> u64 {
        let members = self.members.lock();
        1 + members.live(&self.settings.hall, self.now()).count() as u64
    }

    /// Returns whether an endpoint sends load reports and has not departed.
    pub(crate) fn can_accept_work(&self, endpoint: &str) -> bool {
        let is_reporting = self.endpoints.has_recent_report(endpoint, self.now());
        is_reporting && !is_departed(self, endpoint, self.endpoints.incarnation(endpoint))
    }

    fn get_or_create_group(&self, name: &str) -> Arc<Group> {
        let policy = policy::build(&self.settings.policy)
            .or_else(|| policy::build("profile"))
            .expect("the default policy is registered in this crate");
        let limits = GroupLimits {
            queue_length: self.settings.limits.queue_length,
            queue_wait: ms(self.settings.limits.queue_wait_ms),
            ..GroupLimits::default()
        };
        let group = Arc::new(Group {
            ledger: Mutex::new(GroupLedger::new(policy, limits)),
            waiters: Mutex::default(),
            last_used: Mutex::new(self.now()),
            in_flight_refreshed_at: Mutex::default(),
            dirty: std::sync::atomic::AtomicBool::new(false),
        });
        let mut groups = self.groups.groups.lock();
        groups.entry(name.to_owned()).or_insert(group).clone()
    }

    /// Reserves capacity for a request in a group kept by this instance, waiting in the group's
    /// queue if necessary.
    pub(crate) async fn reserve_in_group(
        &self,
        group_name: &str,
        request: &ReserveRequest,
    ) -> Result<GrantedEndpoint> {
        let group = match self.groups.get(group_name) {
            Some(group) => group,
            None => self.get_or_create_group(group_name),
        };
        *group.last_used.lock() = self.now();
        let request = self.narrow_candidates(request);
        let (sender, receiver) = oneshot::channel();
        group.waiters.lock().insert(request.reservation_id, sender);
        let decision = self.try_reserve(&group, &request);
        if !matches!(decision, Decision::Queued) {
            group.waiters.lock().remove(&request.reservation_id);
        }
        let grant = match decision {
            Decision::Granted(grant) => grant,
            Decision::Refused(error) => return Err(error),
            Decision::Queued => {
                let queued_at = self.now();
                let result = receiver.await;
                let waited = self.now().saturating_sub(queued_at);
                metrics::histogram!("larkwick_queue_wait_seconds").record(waited.as_secs_f64());
                result.map_err(|_| Error::new(ErrorKind::Crowded, "the queue was closed"))??
            }
        };
        Ok(self.granted_endpoint(grant, &request))
    }

    fn try_reserve(&self, group: &Group, request: &ReserveRequest) -> Decision {
        let now = self.now();
        let mut ledger = group.ledger.lock();
        ledger.reserve(request, now, &mut rand::rng())
    }

    /// Limits the candidates of a request to the endpoints that have the model loaded in its
    /// current version, or in any version if none has the current one.
    fn narrow_candidates(&self, request: &ReserveRequest) -> ReserveRequest {
        let catalog = self.catalog();
        let current_version = catalog
            .model(&request.model)
            .map_or("", |model| model.version.as_str());
        let loaded_version = |name: &String| {
            self.endpoints
                .loaded_version(name, &request.model, current_version)
        };
        let holders: Vec<(String, bool)> = request
            .candidates
            .iter()
            .filter_map(|name| {
                loaded_version(name).map(|version| (name.clone(), version == current_version))
            })
            .collect();
        let any_current = holders.iter().any(|(_, current)| *current);
        let mut narrowed = request.clone();
        narrowed.candidates = holders
            .into_iter()
            .filter(|(_, current)| *current || !any_current)
            .map(|(name, _)| name)
            .collect();
        narrowed
    }

    fn granted_endpoint(&self, grant: Grant, request: &ReserveRequest) -> GrantedEndpoint {
        let catalog = self.catalog();
        let current_version = catalog
            .model(&request.model)
            .map_or("", |model| model.version.as_str());
        let version = self
            .endpoints
            .loaded_version(&grant.endpoint, &request.model, current_version)
            .unwrap_or_else(|| current_version.to_owned());
        GrantedEndpoint {
            incarnation: self.endpoints.incarnation(&grant.endpoint),
            endpoint: grant.endpoint,
            version,
        }
    }

    /// Records the progress or release of a reservation in a group kept by this instance.
    pub(crate) fn record_progress_report(
        &self,
        group_name: &str,
        id: Uuid,
        progress: &wire::Progress,
    ) {
        let Some(group) = self.groups.get(group_name) else {
            return;
        };
        let now = self.now();
        let generation = Some(progress.generation.as_str()).filter(|text| !text.is_empty());
        {
            let mut ledger = group.ledger.lock();
            ledger.record_progress(id, progress.made_tokens, generation, now);
            if progress.finished {
                ledger.record_output_length(id, progress.made_tokens);
            }
            if progress.released {
                ledger.release(id);
            }
        }
        group
            .dirty
            .store(true, std::sync::atomic::Ordering::Relaxed);
    }

    /// Expires reservations and processes the queue of a group. Returns the expired reservations.
    fn process_group(&self, group: &Group) -> Vec<ExpiredReservation> {
        let now = self.now();
        let dirty = group
            .dirty
            .swap(false, std::sync::atomic::Ordering::Relaxed);
        let refresh_due =
            now.saturating_sub(*group.in_flight_refreshed_at.lock()) >= IN_FLIGHT_REFRESH_INTERVAL;
        if refresh_due {
            *group.in_flight_refreshed_at.lock() = now;
        }
        let (decisions, expired) = {
            let mut ledger = group.ledger.lock();
            let expired = ledger.expire_reservations(now);
            if refresh_due || (dirty && ledger.has_waiting()) {
                ledger.refresh_in_flight(now);
            }
            let decisions = ledger.process_queue(now, &mut rand::rng());
            (decisions, expired)
        };
        group.notify_waiters(decisions);
        expired
    }

    /// Cancels the generation of a reservation whose entry stopped reporting, unless its caller
    /// reads it through another entry.
    async fn cancel_expired(self: Arc<Self>, expired: ExpiredReservation) {
        info!("reservation lapsed", kv: { endpoint = expired.endpoint.as_str() });
        metrics::counter!("larkwick_reservations_lapsed_total").increment(1);
        tokio::time::sleep(ms(self.settings.times.resume_ms)).await;
        if let Some(generation) = expired.generation {
            super::generation::cancel_by_id(&self, &generation).await;
        }
    }

    /// Returns the groups kept by this instance, for the state dump.
    pub(crate) fn dump_groups(&self) -> BTreeMap<String, GroupDump> {
        let dumped = self.groups.all().into_iter().map(|(name, group)| {
            let dump = GroupDump {
                owner: self.group_owner(&name),
                summary: group.ledger.lock().summary(),
            };
            (name, dump)
        });
        dumped.collect()
    }
}

/// Processes the groups' queues until the node shuts down.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(QUEUE_INTERVAL).await;
        for (_, group) in node.groups.all() {
            for expired in node.process_group(&group) {
                tokio::spawn(node.clone().cancel_expired(expired));
            }
        }
    }
}

/// Returns the KV-cache capacity of an engine in tokens; 0 for a service.
pub(crate) fn kv_capacity(endpoint: &EndpointObject) -> u64 {
    match endpoint.role {
        EndpointRole::Engine {
            kv_capacity_tokens, ..
        } => kv_capacity_tokens,
        EndpointRole::Service { .. } => 0,
    }
}

/// Returns how long to wait for an owner's reply to a request that it may queue.
pub(crate) fn reserve_timeout(request: &ReserveRequest, queue_wait_ms: u64) -> Duration {
    /// Time allowed for the reply beyond the time in the queue.
    const REPLY_MARGIN_MS: u64 = 1_000;
    ms(millis(request.deadline).min(queue_wait_ms) + REPLY_MARGIN_MS)
}
