//! The state of an instance that serves routes, in shards each under its own lock.
//!
//! No lock is held across an await. Several are held at once in these orders only: a service's ledger, then the table or the fleet; the
//! view of the live members, then the members, then their entries; the members or their entries, then the routing settings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use rand::RngExt;
use serde::Serialize;
use spdlog::info;
use tokio::sync::{Notify, watch};
use uuid::Uuid;

use super::aborted_requests::PresenceProbes;
use super::endpoint_words::EndpointWords;
use super::held_calls::HeldCalls;
use super::ledgers::Ledgers;
use super::live_members::LiveMembers;
use super::runs::RunRegistry;
use super::shared_store::SharedStore;
use super::site_store::{MemberEntry, SiteStore, Subject};
use super::suspend_aware_waits::Suspensions;
use super::tally::Tally;
use super::upstream::{Upstream, connections_per_instance};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::Clock;
use crate::kernel::cold_start::ColdRateLimiter;
use crate::kernel::crash_suspects::CrashSuspects;
use crate::kernel::exclusive_task::ExclusiveTask;
use crate::kernel::fleet::Fleet;
use crate::kernel::health::EndpointHealth;
use crate::kernel::instance_count::InstanceCounter;
use crate::kernel::membership::{Incarnation, Members, PeerStatus};
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::kernel::retry::{RetryAllowance, RetryBudget};
use crate::kernel::route::{RouteConfig, RouteTable};
use crate::peer::client::PeerClients;
use crate::settings::Settings;
use crate::settings::routing::RoutingSettings;

/// All members of a site watch each other on one ring, whatever hall they stand in: callers of any hall may use any of them.
pub(crate) const MEMBER_RING: &str = "site";

/// How far an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Stage {
    /// Takes callers once it knows configuration and endpoints.
    Serving,
    /// Asked to stop: not named to callers any more, answers whoever still comes.
    Leaving,
}

/// Calls and connections in flight.
pub(crate) struct InFlight {
    calls: AtomicUsize,
    connections: AtomicUsize,
    stage: watch::Sender<Stage>,
}

/// Counts something in flight for as long as it lives.
pub(crate) struct Counted {
    gateway: Arc<Gateway>,
    what: fn(&InFlight) -> &AtomicUsize,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let counter = (self.what)(&self.gateway.in_flight);
        counter.fetch_sub(1, Ordering::Relaxed);
    }
}

impl InFlight {
    fn new() -> Self {
        Self {
            calls: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    /// Calls in flight.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Open connections of callers.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// The stage.
    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Follows the stage.
    pub(crate) fn watch_stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// The instance was asked to stop; there is no way back.
    pub(crate) fn leave(&self) {
        self.stage.send_replace(Stage::Leaving);
    }
}

/// The repeats of one service that this instance may make.
struct ServiceRepeats {
    budget: RetryBudget,
    /// Whether it has what is allowed on top.
    is_filled: bool,
}

/// An instance that serves routes.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) routing: RwLock<RoutingSettings>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: SharedStore,
    table: RwLock<Option<Arc<RouteTable>>>,
    pub(crate) fleet: Arc<Mutex<Fleet>>,
    /// What endpoints say of themselves.
    pub(crate) words: Arc<EndpointWords>,
    /// Whether the list of endpoints was read once.
    fleet_known: std::sync::atomic::AtomicBool,
    pub(crate) members: Arc<Mutex<Members>>,
    /// The members that share the site's allowances.
    sharers: Mutex<InstanceCounter>,
    /// When heartbeats last went to members out of turn.
    pub(crate) beaten_soon_at: Mutex<Option<Duration>>,
    /// The members that live, with what they can carry.
    pub(crate) live: Arc<LiveMembers>,
    pub(crate) member_entries: Arc<Mutex<HashMap<String, MemberEntry>>>,
    /// Era of the store in which it was last looked whether it holds what this instance wrote.
    pub(crate) own_records_era: Mutex<Option<u64>>,
    /// Wakes the task that writes this instance's own entry.
    pub(crate) entry_lost: Notify,
    pub(crate) health: Mutex<EndpointHealth>,
    /// What plain calls from here have sent to cold endpoints of late.
    pub(crate) cold_gate: Mutex<ColdRateLimiter>,
    /// By service.
    retries: Mutex<HashMap<String, ServiceRepeats>>,
    started_at: Duration,
    /// How long the services take to answer, by name.
    paces: Mutex<HashMap<String, ResponseTimeEstimate>>,
    pub(crate) upstream: Upstream,
    pub(crate) suspensions: Suspensions,
    /// Contents that endpoints ended under.
    pub(crate) suspects: Mutex<CrashSuspects>,
    /// Wakes the task that has them kept by the store.
    pub(crate) suspects_changed: Notify,
    /// Endpoints that broke off answers of late.
    pub(crate) looks: PresenceProbes,
    pub(crate) runs: RunRegistry,
    pub(crate) ledgers: Ledgers,
    pub(crate) peers: Arc<PeerClients>,
    /// Whether a configuration is being taken from a peer.
    pub(crate) catch_up: ExclusiveTask,
    pub(crate) in_flight: InFlight,
    pub(crate) tally: Arc<Tally>,
    pub(crate) held: HeldCalls,
    /// When this instance ends at the latest; set when it is asked to stop.
    pub(crate) ends_at: Mutex<Option<Duration>>,
}

/// Least weight of a member's address among those named to callers, in cores.
const ADDRESS_WEIGHT_MIN: f64 = 0.1;

impl Gateway {
    /// An instance that has heard of nothing yet.
    pub(crate) fn new(
        settings: Settings,
        routing: RoutingSettings,
        store: Arc<dyn SiteStore>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let incarnation = Incarnation {
            name: settings.instance.clone(),
            id: Uuid::new_v4(),
        };
        let members: Arc<Mutex<Members>> = Arc::default();
        let peers: Arc<PeerClients> = Arc::default();
        let member_entries: Arc<Mutex<HashMap<String, MemberEntry>>> = Arc::default();
        let entries = member_entries.clone();
        let own_name = settings.instance.clone();
        let peer_address = peer_address(&settings, &routing);
        let live = Arc::new(LiveMembers::new(
            &own_name,
            peer_address.to_string(),
            members.clone(),
            entries,
            clock.clone(),
        ));
        let tally: Arc<Tally> = Arc::default();
        let store = SharedStore::new(
            own_name,
            store,
            clock.clone(),
            peers.clone(),
            live.clone(),
            routing.freshness(),
            tally.clone(),
        );
        let ledgers = Ledgers::for_instance(&settings.instance);
        let fleet: Arc<Mutex<Fleet>> = Arc::default();
        let words = Arc::new(EndpointWords::new(clock.clone(), fleet.clone()));
        Self {
            upstream: Upstream::new(clock.clone(), words.clone()),
            suspensions: Suspensions::default(),
            suspects: Mutex::default(),
            suspects_changed: Notify::new(),
            beaten_soon_at: Mutex::default(),
            entry_lost: Notify::new(),
            own_records_era: Mutex::default(),
            looks: PresenceProbes::default(),
            routing: RwLock::new(routing),
            settings,
            started_at: clock.now(),
            clock,
            incarnation,
            store,
            table: RwLock::default(),
            fleet,
            words,
            fleet_known: std::sync::atomic::AtomicBool::new(false),
            members,
            sharers: Mutex::default(),
            live,
            member_entries,
            health: Mutex::default(),
            cold_gate: Mutex::default(),
            retries: Mutex::default(),
            paces: Mutex::default(),
            runs: RunRegistry::default(),
            ledgers,
            peers,
            catch_up: ExclusiveTask::default(),
            in_flight: InFlight::new(),
            tally,
            held: HeldCalls::default(),
            ends_at: Mutex::default(),
        }
    }

    /// Time on this instance's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The configuration in force here, once one is known.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().clone()
    }

    /// Puts a configuration in force, unless one as new is in force already.
    fn put_in_force(&self, newer: RouteTable) -> bool {
        let mut table = self.table.write();
        let known = table.as_ref().map(|table| table.version());
        if known.is_some_and(|known| known >= newer.version()) {
            return false;
        }
        *table = Some(Arc::new(newer));
        true
    }

    /// Puts a configuration in force, unless it is older than the one known.
    pub(crate) fn take_config(&self, config: RouteConfig, source: &str) {
        let version = config.version;
        let before = self.config_version();
        if self.put_in_force(RouteTable::new(config)) {
            info!("configuration in force", kv: { version:, before:, source });
            self.release_held();
        }
    }

    /// Version of the configuration in force; 0 where none is known.
    pub(crate) fn config_version(&self) -> u64 {
        let table = self.table.read();
        table.as_ref().map_or(0, |table| table.version())
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.in_flight.stage() == Stage::Serving && self.can_serve()
    }

    /// Whether configuration and endpoints are known.
    pub(crate) fn can_serve(&self) -> bool {
        self.table.read().is_some() && self.fleet_known.load(Ordering::Relaxed)
    }

    /// The list of endpoints was read.
    pub(crate) fn fleet_read(&self) {
        self.fleet_known.store(true, Ordering::Relaxed);
        self.release_held();
    }

    fn release_held(&self) {
        if self.can_serve() {
            self.held.release();
        }
    }

    /// Time until this instance ends, where it was asked to stop.
    pub(crate) fn time_until_stop(&self) -> Option<Duration> {
        let ends_at = *self.ends_at.lock();
        Some(ends_at?.saturating_sub(self.now()))
    }

    /// Counts a call as in flight.
    pub(crate) fn begin_call(self: &Arc<Self>) -> Counted {
        self.count(|in_flight| &in_flight.calls)
    }

    /// Counts a caller's connection as open.
    pub(crate) fn begin_connection(self: &Arc<Self>) -> Counted {
        self.count(|in_flight| &in_flight.connections)
    }

    fn count(self: &Arc<Self>, what: fn(&InFlight) -> &AtomicUsize) -> Counted {
        what(&self.in_flight).fetch_add(1, Ordering::Relaxed);
        Counted {
            gateway: self.clone(),
            what,
        }
    }

    /// Instances that are there, as far as is known, this one included.
    pub(crate) fn instances(&self) -> usize {
        1 + self.members.lock().recently_reachable(self.now()).count()
    }

    /// Instances that share what is allowed to all of them together, this one included.
    pub(crate) fn instances_sharing(&self) -> usize {
        let sharers = self.sharers.lock().count();
        sharers.max(self.instances())
    }

    /// Looks which members share the site's allowances.
    pub(crate) fn look_at_sharers(&self) {
        let now = self.now();
        let members: Vec<(String, bool)> = {
            let members = self.members.lock();
            let named = members.all().map(|peer| {
                let name = &peer.status.incarnation.name;
                (name.clone(), members.is_live(name, MEMBER_RING, now))
            });
            named.collect()
        };
        let members = members.iter().map(|(name, lives)| (name.as_str(), *lives));
        self.sharers.lock().observe(members, now);
    }

    /// Instances that live, this one included.
    pub(crate) fn instances_live(&self) -> usize {
        let members = self.members.lock();
        1 + members.live(MEMBER_RING, self.now()).count()
    }

    /// Takes a member's own entry.
    pub(crate) fn take_member_entry(&self, entry: MemberEntry) {
        self.member_entries.lock().insert(entry.name.clone(), entry);
        self.live.note_changed();
    }

    /// Connections that this instance may hold to an endpoint of a service.
    pub(crate) fn connections_max(&self, table: &RouteTable, service: &str) -> usize {
        let allowed = table
            .service(service)
            .map_or(u32::MAX, |service| service.connections_max);
        connections_per_instance(allowed, self.instances())
    }

    /// Counts a first send to a service.
    pub(crate) fn count_first_send(&self, service: &str) {
        self.with_budget(service, RetryBudget::record_first_attempt);
    }

    /// Takes a repeat from the budget of a service.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        // Who does not know the members does not know its part.
        let knows_members = !self.store.has_no_data(Subject::Members);
        let taken = knows_members && self.with_budget(service, RetryBudget::try_spend);
        metrics::counter!("larkwick_retries_total", "allowed" => taken.to_string()).increment(1);
        taken
    }

    /// The part of what is allowed to all instances together follows their number: counted once, at the first call, parts added up to several wholes.
    fn with_budget<T>(&self, service: &str, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let instances = self.instances_sharing();
        let (allowance, window) = {
            let routing = self.routing.read();
            let allowance = RetryAllowance {
                share: routing.retry_share,
                slack: routing.retry_slack,
            };
            (allowance, routing.retry_window())
        };
        let part = allowance.instance_budget(instances);
        let is_young = self.now().saturating_sub(self.started_at) < window;
        let mut retries = self.retries.lock();
        let repeats = retries.entry(service.to_owned());
        let repeats = repeats.or_insert_with(|| ServiceRepeats {
            budget: part.without_slack(),
            is_filled: false,
        });
        repeats.budget.adjust_to(part);
        if !repeats.is_filled && !is_young {
            repeats.budget.fill_up();
            repeats.is_filled = true;
        }
        change(&mut repeats.budget)
    }

    /// How fast a service answers, as far as is known.
    pub(crate) fn pace(
        &self,
        service: &str,
        before_any: ResponseTimeEstimate,
    ) -> ResponseTimeEstimate {
        let paces = self.paces.lock();
        paces.get(service).copied().unwrap_or(before_any)
    }

    /// A service answered within this time.
    pub(crate) fn note_pace(
        &self,
        service: &str,
        before_any: ResponseTimeEstimate,
        took: Duration,
    ) {
        let mut paces = self.paces.lock();
        let pace = paces.entry(service.to_owned()).or_insert(before_any);
        pace.record(took);
    }

    /// What this instance says about itself.
    pub(crate) fn status(&self) -> PeerStatus {
        PeerStatus {
            incarnation: self.incarnation.clone(),
            hall: MEMBER_RING.to_owned(),
            caller_address: self.settings.caller_address.to_string(),
            peer_address: peer_address(&self.settings, &self.routing.read()).to_string(),
            operator_address: self.settings.operator_address.to_string(),
            leaving: self.in_flight.stage() == Stage::Leaving,
            ticket_epoch: 0,
            config_next_offset: self.config_version(),
        }
    }

    /// What this instance writes to the store about itself.
    pub(crate) fn member_entry(&self) -> MemberEntry {
        let routing = self.routing.read();
        MemberEntry {
            name: self.incarnation.name.clone(),
            incarnation: self.incarnation.id,
            hall: self.settings.hall.clone(),
            caller_address: self.settings.caller_address,
            peer_address: peer_address(&self.settings, &routing),
            processor_cores: routing.processor_cores,
            link_mbps: routing.link_mbps,
        }
    }

    /// Addresses for callers: those of the members that live, the larger ones more often where not all can be named.
    pub(crate) fn caller_addresses(&self, most: usize) -> Vec<SocketAddr> {
        let own = self.is_ready().then_some(self.settings.caller_address);
        let live: Vec<(String, SocketAddr)> = {
            let members = self.members.lock();
            let live = members.live(MEMBER_RING, self.now());
            let named = live.filter_map(|peer| {
                let address = peer.status.caller_address.parse().ok()?;
                Some((peer.status.incarnation.name.clone(), address))
            });
            named.collect()
        };
        let mut weighted: Vec<(f64, SocketAddr)> = {
            let entries = self.member_entries.lock();
            let cores = |name: &str| entries.get(name).map(|entry| entry.processor_cores);
            let others = live.into_iter();
            let others = others.map(|(name, address)| (cores(&name).unwrap_or_default(), address));
            let own_cores = self.routing.read().processor_cores;
            others
                .chain(own.map(|address| (own_cores, address)))
                .collect()
        };
        if weighted.len() > most {
            weighted = sample_by_weight(weighted, most);
        }
        weighted.into_iter().map(|(_, address)| address).collect()
    }

    /// The error for a call that no endpoint can take now.
    pub(crate) fn no_endpoint(service: &str) -> Error {
        Error::new(
            ErrorKind::NoEndpoint,
            format!("no endpoint of service {service} takes work; come back later"),
        )
    }
}

/// Where peers connect.
fn peer_address(settings: &Settings, routing: &RoutingSettings) -> SocketAddr {
    routing.peer_address_told.unwrap_or(settings.peer_address)
}

/// Draws so many, each in proportion to its weight.
fn sample_by_weight(weighted: Vec<(f64, SocketAddr)>, most: usize) -> Vec<(f64, SocketAddr)> {
    let mut drawn: Vec<(f64, (f64, SocketAddr))> = weighted
        .into_iter()
        .map(|one| {
            let weight = one.0.max(ADDRESS_WEIGHT_MIN);
            let key = rand::rng().random_range(f64::EPSILON..1.0).ln() / weight;
            (key, one)
        })
        .collect();
    drawn.sort_by(|one, other| other.0.total_cmp(&one.0));
    drawn.truncate(most);
    drawn.into_iter().map(|(_, one)| one).collect()
}
