//! Shared state of an instance that serves routes, split into shards with a lock each.
//!
//! No lock is held across an await. Nested locks are acquired in these orders only:
//! - the ledger of a service, then the route table or the fleet;
//! - the view of the live members, then the members, then their entries;
//! - the members or their entries, then the routing settings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use spdlog::info;
use tokio::sync::Notify;
use uuid::Uuid;

use super::call_forwarding::DecliningPeers;
use super::endpoint_presence::PresenceProbes;
use super::endpoint_signals::EndpointSignalHandler;
use super::held_calls::HeldCalls;
use super::in_flight::{InFlight, Stage};
use super::ledgers::Ledgers;
use super::live_members::LiveMembers;
use super::reach_monitor::ReachMonitor;
use super::retry_budgets::RetryBudgets;
use super::rollouts::Rollouts;
use super::runs::RunRegistry;
use super::shared_store::SharedStore;
use super::shutdown::Shutdown;
use super::site_store::{MemberEntry, SiteStore, Subject};
use super::suspend_aware_waits::Suspensions;
use super::upstream::{Upstream, connections_per_instance};
use super::work_counters::WorkCounters;
use crate::error::{Error, ErrorKind};
use crate::kernel::byte_budget::ByteBudget;
use crate::kernel::clock::Clock;
use crate::kernel::cold_start::ColdRateLimiter;
use crate::kernel::crash_suspects::CrashSuspects;
use crate::kernel::exclusive_task::ExclusiveTask;
use crate::kernel::fleet::Fleet;
use crate::kernel::health::EndpointHealth;
use crate::kernel::instance_count::InstanceCounter;
use crate::kernel::membership::{Incarnation, Members, PeerStatus};
use crate::kernel::region::HallRegions;
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::kernel::route::{RouteConfig, RouteTable};
use crate::peer::client::PeerClients;
use crate::settings::Settings;
use crate::settings::routing::RoutingSettings;

/// Name of the ring on which members monitor each other. There is one for the whole site, because
/// callers in any hall may use the members in every hall.
pub(crate) const MEMBER_RING: &str = "site";

/// An instance that serves routes.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) routing: RwLock<RoutingSettings>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: SharedStore,
    table: RwLock<Option<Arc<RouteTable>>>,
    pub(crate) fleet: Arc<Mutex<Fleet>>,
    /// Handles the signals in the response headers of endpoints.
    pub(crate) endpoint_signals: Arc<EndpointSignalHandler>,
    /// Whether the list of endpoints was read at least once.
    is_fleet_loaded: std::sync::atomic::AtomicBool,
    pub(crate) members: Arc<Mutex<Members>>,
    /// Counts the instances that share site-wide limits.
    instance_counter: Mutex<InstanceCounter>,
    /// When heartbeats were last sent ahead of schedule.
    pub(crate) early_heartbeats_sent_at: Mutex<Option<Duration>>,
    /// The live members with their capacity.
    pub(crate) live_members: Arc<LiveMembers>,
    pub(crate) member_entries: Arc<Mutex<HashMap<String, MemberEntry>>>,
    /// Era of the store for which the records of this instance were last verified.
    pub(crate) own_records_checked_era: Mutex<Option<u64>>,
    /// Wakes the task that writes this instance's own member entry.
    pub(crate) own_entry_lost: Notify,
    pub(crate) health: Mutex<EndpointHealth>,
    /// Limits the rate of plain calls from this instance to endpoints in cold start.
    pub(crate) cold_rate_limiter: Mutex<ColdRateLimiter>,
    pub(crate) retry_budgets: Arc<RetryBudgets>,
    pub(crate) started_at: Duration,
    /// Response-time estimates by service.
    response_times: Mutex<HashMap<String, ResponseTimeEstimate>>,
    pub(crate) upstream: Upstream,
    pub(crate) reach: Arc<ReachMonitor>,
    pub(crate) declining_peers: DecliningPeers,
    pub(crate) suspensions: Suspensions,
    /// Request fingerprints suspected of crashing endpoints.
    pub(crate) crash_suspects: Mutex<CrashSuspects>,
    /// Wakes the task that persists crash suspects in the store.
    pub(crate) suspects_changed: Notify,
    /// Probes of endpoints that recently aborted responses.
    pub(crate) presence_probes: PresenceProbes,
    pub(crate) runs: RunRegistry,
    pub(crate) ledgers: Ledgers,
    pub(crate) rollouts: Rollouts,
    pub(crate) hall_regions: HallRegions,
    pub(crate) peers: Arc<PeerClients>,
    /// Ensures that only one task fetches a configuration from a peer.
    pub(crate) catch_up: ExclusiveTask,
    pub(crate) in_flight: Arc<InFlight>,
    pub(crate) work_counters: Arc<WorkCounters>,
    pub(crate) held_calls: HeldCalls,
    /// Bytes of bodies that callers or endpoints have not read yet.
    pub(crate) held_bytes: ByteBudget,
    pub(crate) shutdown: Shutdown,
}

impl Gateway {
    /// Creates an instance without configuration, endpoints or members.
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
        let live_members = Arc::new(LiveMembers::new(
            &own_name,
            peer_address.to_string(),
            members.clone(),
            entries,
            clock.clone(),
        ));
        let work_counters: Arc<WorkCounters> = Arc::default();
        let store = SharedStore::new(
            own_name,
            store,
            clock.clone(),
            peers.clone(),
            live_members.clone(),
            &routing,
            work_counters.clone(),
        );
        let held_bytes = ByteBudget::new(routing.held_max_bytes());
        let hall_regions = HallRegions::new(routing.hall_regions.clone());
        let ledgers = Ledgers::for_instance(&settings.instance);
        let fleet: Arc<Mutex<Fleet>> = Arc::default();
        let endpoint_signals = Arc::new(EndpointSignalHandler::new(clock.clone(), fleet.clone()));
        let reach = Arc::new(ReachMonitor::new(clock.clone(), fleet.clone()));
        let forwarders = routing.endpoint_forwarders.clone();
        Self {
            upstream: Upstream::new(
                clock.clone(),
                endpoint_signals.clone(),
                reach.clone(),
                forwarders,
            ),
            reach,
            declining_peers: DecliningPeers::default(),
            suspensions: Suspensions::default(),
            crash_suspects: Mutex::default(),
            suspects_changed: Notify::new(),
            early_heartbeats_sent_at: Mutex::default(),
            own_entry_lost: Notify::new(),
            own_records_checked_era: Mutex::default(),
            presence_probes: PresenceProbes::default(),
            routing: RwLock::new(routing),
            settings,
            started_at: clock.now(),
            clock,
            incarnation,
            store,
            table: RwLock::default(),
            fleet,
            endpoint_signals,
            is_fleet_loaded: std::sync::atomic::AtomicBool::new(false),
            members,
            instance_counter: Mutex::default(),
            live_members,
            member_entries,
            health: Mutex::default(),
            cold_rate_limiter: Mutex::default(),
            retry_budgets: Arc::default(),
            response_times: Mutex::default(),
            runs: RunRegistry::default(),
            ledgers,
            rollouts: Rollouts::default(),
            hall_regions,
            peers,
            catch_up: ExclusiveTask::default(),
            in_flight: Arc::new(InFlight::new()),
            work_counters,
            held_calls: HeldCalls::default(),
            held_bytes,
            shutdown: Shutdown::default(),
        }
    }

    /// Returns the current time on this instance's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the active configuration, or `None` if none is known yet.
    pub(crate) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().clone()
    }

    /// Activates a configuration if it is newer than the active one; returns whether it did.
    fn install_table(&self, newer: RouteTable) -> bool {
        let mut table = self.table.write();
        let known = table.as_ref().map(|table| table.version());
        if known.is_some_and(|known| known >= newer.version()) {
            return false;
        }
        *table = Some(Arc::new(newer));
        true
    }

    /// Activates a configuration if it is newer than the active one, and releases held calls.
    pub(crate) fn apply_config(&self, config: RouteConfig, source: &str) {
        let version = config.version;
        let before = self.config_version();
        if self.install_table(RouteTable::new(config)) {
            info!("configuration in force", kv: { version:, before:, source });
            self.release_held_calls();
        }
    }

    /// Returns the version of the active configuration, or 0 if none is known.
    pub(crate) fn config_version(&self) -> u64 {
        let table = self.table.read();
        table.as_ref().map_or(0, |table| table.version())
    }

    /// Returns whether callers may be routed to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.in_flight.stage() == Stage::Serving && self.can_serve()
    }

    /// Returns whether the configuration and the endpoints are known.
    pub(crate) fn can_serve(&self) -> bool {
        self.table.read().is_some() && self.is_fleet_loaded.load(Ordering::Relaxed)
    }

    /// Records that the list of endpoints was read.
    pub(crate) fn mark_fleet_loaded(&self) {
        self.is_fleet_loaded.store(true, Ordering::Relaxed);
        self.release_held_calls();
    }

    fn release_held_calls(&self) {
        if self.can_serve() {
            self.held_calls.release();
        }
    }

    /// Returns the number of instances that were reachable recently, including this one.
    pub(crate) fn reachable_instance_count(&self) -> usize {
        1 + self.members.lock().recently_reachable(self.now()).count()
    }

    /// Returns whether a list of members was ever received. Without one, this instance does not
    /// know its share of what all instances may use together.
    pub(crate) fn knows_members(&self) -> bool {
        !self.store.has_no_data(Subject::Members)
    }

    /// Returns the number of instances that share site-wide limits, including this one.
    pub(crate) fn sharing_instance_count(&self) -> usize {
        let sharing = self.instance_counter.lock().count();
        sharing.max(self.reachable_instance_count())
    }

    /// Updates the count of the instances that share site-wide limits.
    pub(crate) fn observe_sharing_instances(&self) {
        let now = self.now();
        let members: Vec<(String, bool)> = {
            let members = self.members.lock();
            let states = members.all().map(|peer| {
                let name = &peer.status.incarnation.name;
                (name.clone(), members.is_live(name, MEMBER_RING, now))
            });
            states.collect()
        };
        let members = members
            .iter()
            .map(|(name, is_live)| (name.as_str(), *is_live));
        self.instance_counter.lock().observe(members, now);
    }

    /// Returns the number of live instances, including this one.
    pub(crate) fn live_instance_count(&self) -> usize {
        let members = self.members.lock();
        1 + members.live(MEMBER_RING, self.now()).count()
    }

    /// Records the entry that a member wrote about itself.
    pub(crate) fn record_member_entry(&self, entry: MemberEntry) {
        self.member_entries.lock().insert(entry.name.clone(), entry);
        self.live_members.invalidate();
    }

    /// Returns how many connections this instance may open to an endpoint of a service.
    pub(crate) fn connections_max(&self, table: &RouteTable, service: &str) -> usize {
        let allowed = table
            .service(service)
            .map_or(u32::MAX, |service| service.connections_max);
        let instances = if self.knows_members() {
            self.reachable_instance_count()
        } else {
            usize::MAX
        };
        connections_per_instance(allowed, instances)
    }

    /// Returns the response-time estimate of a service, or `initial` if there is none.
    pub(crate) fn response_time(
        &self,
        service: &str,
        initial: ResponseTimeEstimate,
    ) -> ResponseTimeEstimate {
        let estimates = self.response_times.lock();
        estimates.get(service).copied().unwrap_or(initial)
    }

    /// Records the response time of a service.
    pub(crate) fn record_response_time(
        &self,
        service: &str,
        initial: ResponseTimeEstimate,
        took: Duration,
    ) {
        let mut estimates = self.response_times.lock();
        let estimate = estimates.entry(service.to_owned()).or_insert(initial);
        estimate.record(took);
    }

    /// Returns the status of this instance that is sent to peers.
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

    /// Returns the member entry that this instance writes to the store.
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

    /// Returns the error for a call that no endpoint can accept now.
    pub(crate) fn no_endpoint_error(service: &str) -> Error {
        Error::new(
            ErrorKind::NoEndpoint,
            format!("no endpoint of service {service} takes work; come back later"),
        )
    }
}

/// Returns the address under which peers reach this instance.
fn peer_address(settings: &Settings, routing: &RoutingSettings) -> SocketAddr {
    routing.peer_address_told.unwrap_or(settings.peer_address)
}
