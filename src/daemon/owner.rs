//! Groups of endpoints and their soft owner: reservations by the kernel's ledger, with requests that wait.

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

/// Endpoints of a group at most.
pub(crate) const GROUP_SIZE: usize = 16;
const SETTLE_EVERY: Duration = Duration::from_millis(20);
/// Streams grow between reports; what they are expected to hold is counted anew this often.
const RECOUNT_EVERY: Duration = Duration::from_millis(60);
/// A group that nobody asked for this long is dropped by an instance that does not own it.
const UNUSED_AFTER: Duration = Duration::from_secs(10);

struct Group {
    ledger: Mutex<GroupLedger>,
    waiters: Mutex<HashMap<Uuid, oneshot::Sender<Result<Grant>>>>,
    last_used: Mutex<Duration>,
    recounted_at: Mutex<Duration>,
    dirty: std::sync::atomic::AtomicBool,
}

/// The groups that this instance owns or was asked for.
#[derive(Default)]
pub(crate) struct Groups {
    groups: Mutex<BTreeMap<String, Arc<Group>>>,
}

/// A place on an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct PlacedOn {
    /// Endpoint.
    pub(crate) endpoint: String,
    /// Its incarnation, where the owner knows it.
    pub(crate) incarnation: Option<Uuid>,
    /// Version of the model that it holds.
    pub(crate) version: String,
}

/// A group in a dump.
#[derive(Debug, Serialize)]
pub(crate) struct GroupDump {
    owner: Option<String>,
    summary: GroupSummary,
}

/// Groups of one hall: group name to its endpoints.
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

/// The hall that a group lies in.
fn hall_of(group: &str) -> &str {
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

    /// Takes a load report.
    pub(crate) fn report(&self, endpoint: &str, report: &LoadReport) {
        for (_, group) in self.all() {
            group.ledger.lock().record_load_report(endpoint, report);
        }
    }

    /// Takes a cache event.
    pub(crate) fn cached(&self, endpoint: &str, prefix: u64) {
        for (_, group) in self.all() {
            group.ledger.lock().record_cached_prefix(endpoint, prefix);
        }
    }
}

impl Group {
    /// Wakes the requests that waited. What was granted to one that went away is released.
    fn answer(&self, settled: Vec<QueueDecision>) {
        for one in settled {
            let waiter = self.waiters.lock().remove(&one.reservation_id);
            let taken = waiter.is_some_and(|waiter| waiter.send(one.result).is_ok());
            if !taken {
                self.ledger.lock().release(one.reservation_id);
            }
        }
    }
}

impl Node {
    /// Who applies the policy of the settings.
    pub(crate) fn policy_scope(&self) -> PolicyScope {
        policy::build(&self.settings.policy).map_or(PolicyScope::Group, |policy| policy.scope())
    }

    /// The owner of a group: by the live view of the hall's instances, or of all where the hall has none.
    pub(crate) fn owner_of(&self, group: &str) -> Option<String> {
        let hall = hall_of(group);
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
        let everyone: Vec<_> = live.chain(own).collect();
        let in_hall = everyone
            .iter()
            .filter(|(_, its)| *its == hall)
            .map(|(name, _)| *name);
        let owner = rendezvous(group, in_hall)
            .or_else(|| rendezvous(group, everyone.iter().map(|(name, _)| *name)));
        owner.map(str::to_owned)
    }

    fn owns(&self, group: &str) -> bool {
        self.owner_of(group).as_deref() == Some(self.incarnation.name.as_str())
    }

    /// Halls whose groups this instance may own (its own, and those without a live instance) or was asked for.
    fn halls_here(&self, catalog: &Catalog) -> BTreeSet<String> {
        let served: BTreeSet<String> = {
            let members = self.members.lock();
            let live = members.live(&self.settings.hall, self.now());
            live.map(|peer| peer.status.hall.clone()).collect()
        };
        let halls = catalog.endpoints.iter().map(|endpoint| &endpoint.hall);
        let ownable = halls.filter(|hall| **hall == self.settings.hall || !served.contains(*hall));
        let open = self.groups.all();
        let asked_for = open.iter().map(|(name, _)| hall_of(name).to_owned());
        ownable.cloned().chain(asked_for).collect()
    }

    /// Names of the endpoints whose load this instance needs: those of the groups here, and the plain services of halls whose
    /// first group it owns.
    pub(crate) fn used_endpoints(&self) -> BTreeSet<String> {
        let catalog = self.catalog();
        let halls = self.halls_here(&catalog);
        let mut used = BTreeSet::new();
        for hall in &halls {
            for (name, members) in groups_of_hall(hall, catalog.endpoints.iter()) {
                if self.groups.get(&name).is_some() || self.owns(&name) {
                    used.extend(members.iter().map(|endpoint| endpoint.name.clone()));
                }
            }
            if self.owns(&format!("{hall}/0")) {
                let services = catalog.endpoints.iter().filter(|endpoint| {
                    endpoint.hall == *hall && matches!(endpoint.role, EndpointRole::Service { .. })
                });
                used.extend(services.map(|endpoint| endpoint.name.clone()));
            }
        }
        used
    }

    /// Brings the groups in step with the configuration, the departures and the silences.
    pub(crate) fn refresh_groups(&self) {
        let catalog = self.catalog();
        let halls = self.halls_here(&catalog);
        for hall in &halls {
            for (name, members) in groups_of_hall(hall, catalog.endpoints.iter()) {
                self.refresh_group(&name, &members);
            }
        }
    }

    fn refresh_group(&self, name: &str, members: &[&EndpointObject]) {
        let now = self.now();
        let owned = self.owns(name);
        let group = match self.groups.get(name) {
            Some(group) => group,
            None if owned => self.open_group(name),
            None => return,
        };
        if owned {
            *group.last_used.lock() = now;
        } else if now.saturating_sub(*group.last_used.lock()) > UNUSED_AFTER {
            self.groups.groups.lock().remove(name);
            return;
        }
        let share = if owned { 1 } else { self.instances_live() };
        let usable = members
            .iter()
            .filter(|endpoint| self.takes_work(&endpoint.name));
        let usable: HashMap<&str, u64> = usable
            .map(|endpoint| (endpoint.name.as_str(), capacity(endpoint) / share))
            .collect();
        let mut ledger = group.ledger.lock();
        let gone: Vec<String> = ledger
            .endpoints()
            .filter(|known| !usable.contains_key(*known))
            .map(str::to_owned)
            .collect();
        for name in gone {
            ledger.remove_endpoint(&name);
        }
        for (name, capacity_tokens) in usable {
            ledger.set_endpoint(name, capacity_tokens);
        }
    }

    /// Instances that share an unowned group's endpoints, this one included.
    fn instances_live(&self) -> u64 {
        let members = self.members.lock();
        1 + members.live(&self.settings.hall, self.now()).count() as u64
    }

    /// Whether an endpoint reports and is not leaving.
    pub(crate) fn takes_work(&self, endpoint: &str) -> bool {
        let reports = self.endpoints.has_recent_report(endpoint, self.now());
        reports && !is_departed(self, endpoint, self.endpoints.incarnation(endpoint))
    }

    fn open_group(&self, name: &str) -> Arc<Group> {
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
            recounted_at: Mutex::default(),
            dirty: std::sync::atomic::AtomicBool::new(false),
        });
        let mut groups = self.groups.groups.lock();
        groups.entry(name.to_owned()).or_insert(group).clone()
    }

    /// Decides on a request for a place in a group here.
    pub(crate) async fn reserve_as_owner(
        &self,
        group_name: &str,
        request: &ReserveRequest,
    ) -> Result<PlacedOn> {
        let group = match self.groups.get(group_name) {
            Some(group) => group,
            None => self.open_group(group_name),
        };
        *group.last_used.lock() = self.now();
        let request = self.narrow(request);
        let (sender, receiver) = oneshot::channel();
        group.waiters.lock().insert(request.reservation_id, sender);
        let decision = self.decide(&group, &request);
        if !matches!(decision, Decision::Queued) {
            group.waiters.lock().remove(&request.reservation_id);
        }
        let grant = match decision {
            Decision::Granted(grant) => grant,
            Decision::Refused(error) => return Err(error),
            Decision::Queued => {
                let waited = self.now();
                let settled = receiver.await;
                let waited = self.now().saturating_sub(waited);
                metrics::histogram!("larkwick_queue_wait_seconds").record(waited.as_secs_f64());
                settled.map_err(|_| Error::new(ErrorKind::Crowded, "the queue was closed"))??
            }
        };
        Ok(self.placed(grant, &request))
    }

    fn decide(&self, group: &Group, request: &ReserveRequest) -> Decision {
        let now = self.now();
        let mut ledger = group.ledger.lock();
        ledger.reserve(request, now, &mut rand::rng())
    }

    /// Keeps the candidates that hold the model, those with the version in force first.
    fn narrow(&self, request: &ReserveRequest) -> ReserveRequest {
        let catalog = self.catalog();
        let wanted = catalog
            .model(&request.model)
            .map_or("", |model| model.version.as_str());
        let held = |name: &String| self.endpoints.loaded_version(name, &request.model, wanted);
        let holders: Vec<(String, bool)> = request
            .candidates
            .iter()
            .filter_map(|name| held(name).map(|version| (name.clone(), version == wanted)))
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

    fn placed(&self, grant: Grant, request: &ReserveRequest) -> PlacedOn {
        let catalog = self.catalog();
        let wanted = catalog
            .model(&request.model)
            .map_or("", |model| model.version.as_str());
        let version = self
            .endpoints
            .loaded_version(&grant.endpoint, &request.model, wanted)
            .unwrap_or_else(|| wanted.to_owned());
        PlacedOn {
            incarnation: self.endpoints.incarnation(&grant.endpoint),
            endpoint: grant.endpoint,
            version,
        }
    }

    /// Takes progress or release of a reservation in a group here.
    pub(crate) fn take_progress(&self, group_name: &str, id: Uuid, progress: &wire::Progress) {
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

    fn settle_group(&self, group: &Group) -> Vec<ExpiredReservation> {
        let now = self.now();
        let dirty = group
            .dirty
            .swap(false, std::sync::atomic::Ordering::Relaxed);
        let due = now.saturating_sub(*group.recounted_at.lock()) >= RECOUNT_EVERY;
        if due {
            *group.recounted_at.lock() = now;
        }
        let (settled, lapsed) = {
            let mut ledger = group.ledger.lock();
            let lapsed = ledger.expire_reservations(now);
            if due || (dirty && ledger.has_waiting()) {
                ledger.refresh_in_flight(now);
            }
            let settled = ledger.process_queue(now, &mut rand::rng());
            (settled, lapsed)
        };
        group.answer(settled);
        lapsed
    }

    /// Cancels what a silent entry left behind, unless its caller reads it through another entry.
    async fn cancel_lapsed(self: Arc<Self>, lapsed: ExpiredReservation) {
        info!("reservation lapsed", kv: { endpoint = lapsed.endpoint.as_str() });
        metrics::counter!("larkwick_reservations_lapsed_total").increment(1);
        tokio::time::sleep(ms(self.settings.times.resume_ms)).await;
        if let Some(generation) = lapsed.generation {
            super::generation::cancel_by_id(&self, &generation).await;
        }
    }

    /// Groups here, for the dump.
    pub(crate) fn dump_groups(&self) -> BTreeMap<String, GroupDump> {
        let dumped = self.groups.all().into_iter().map(|(name, group)| {
            let dump = GroupDump {
                owner: self.owner_of(&name),
                summary: group.ledger.lock().summary(),
            };
            (name, dump)
        });
        dumped.collect()
    }
}

/// Settles the groups' queues for the life of the node.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SETTLE_EVERY).await;
        for (_, group) in node.groups.all() {
            for lapsed in node.settle_group(&group) {
                tokio::spawn(node.clone().cancel_lapsed(lapsed));
            }
        }
    }
}

/// Memory of an engine; 0 for a plain service.
pub(crate) fn capacity(endpoint: &EndpointObject) -> u64 {
    match endpoint.role {
        EndpointRole::Engine {
            kv_capacity_tokens, ..
        } => kv_capacity_tokens,
        EndpointRole::Service { .. } => 0,
    }
}

/// Milliseconds that an owner may take to answer a request that waits.
pub(crate) fn reserve_timeout(request: &ReserveRequest, queue_wait_ms: u64) -> Duration {
    const ANSWER_MS: u64 = 1_000;
    ms(millis(request.deadline).min(queue_wait_ms) + ANSWER_MS)
}
