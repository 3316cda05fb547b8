//! Start-up and graceful shutdown of an instance that serves routes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::in_flight::CallCounts;
use super::listener::{self, ListenerKind};
use super::node::{Gateway, MEMBER_RING};
use super::peers::SiteService;
use super::site_store::{self, SiteStore, Subject};
use super::{
    coordinator, crash_suspects, endpoint_signals, engine_reports, heartbeat, operator_api,
    reach_monitor, rollout_reports, run_reports, store_follower, work_counters,
};
use crate::daemon::app::metrics_handle;
use crate::kernel::backoff::Backoff;
use crate::kernel::clock::{Clock, SystemClock, millis};
use crate::kernel::membership::LivenessCounts;
use crate::kernel::recently_listed::RecentlyListed;
use crate::peer::generated::site_server::SiteServer;
use crate::settings::Settings;
use crate::standin::server::{Server, build_rocket, start_server, stop_servers};

/// Interval at which endpoints that may be gone are checked for expiry.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// State of unknown endpoints is pruned once per this many checks, that is once per second.
const EXPIRY_CHECKS_PER_PRUNE: u32 = 5;
/// Initial pause before writing this instance's own entry is retried.
const ANNOUNCE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Maximum pause before writing this instance's own entry is retried.
const ANNOUNCE_RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);
/// During shutdown, callers that still use a cached address are answered for this multiple of the
/// validity of directory entries.
const ADDRESS_VALIDITY_FACTOR: f64 = 1.5;
/// Part of the shutdown time that is reserved for closing after in-flight calls are aborted.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which shutdown checks whether all calls have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A running instance that serves routes.
pub struct GatewayApp {
    gateway: Arc<Gateway>,
    servers: Vec<Server>,
    tasks: Vec<JoinHandle<()>>,
    settings_file: Option<PathBuf>,
    operator_address: SocketAddr,
}

impl GatewayApp {
    /// Starts an instance with the system clock.
    ///
    /// # Errors
    /// The settings are invalid or an address cannot be bound.
    pub async fn start(settings: Settings, settings_file: Option<&Path>) -> anyhow::Result<Self> {
        let clock = Arc::new(SystemClock::default());
        Self::start_with_clock(settings, settings_file, clock).await
    }

    /// Starts an instance with a given clock.
    ///
    /// # Errors
    /// The settings are invalid or an address cannot be bound.
    pub async fn start_with_clock(
        settings: Settings,
        settings_file: Option<&Path>,
        clock: Arc<dyn Clock>,
    ) -> anyhow::Result<Self> {
        settings.validate()?;
        let mut settings = settings;
        let listeners = Listeners::bind(&mut settings).await?;
        let routing = settings
            .routing
            .clone()
            .context("the settings have no \"routing\"")?;
        let store = site_store::connect(&routing.store_plugin, routing.store_address)?;
        let metrics = metrics_handle()?;
        let gateway = Arc::new(Gateway::new(settings, routing.clone(), store, clock));
        let rocket = build_rocket(gateway.settings.operator_address)
            .manage(gateway.clone())
            .manage(metrics);
        let operators = start_server(operator_api::mount(rocket)).await;
        let operators = operators.context("operator_address")?;
        let operator_address = operators.address;
        let mut app = Self {
            gateway: gateway.clone(),
            servers: vec![operators],
            tasks: Vec::new(),
            settings_file: settings_file.map(Path::to_owned),
            operator_address,
        };
        app.serve(listeners);
        app.spawn_tasks();
        info!("instance started", kv: {
            instance = gateway.incarnation.name.as_str(),
            incarnation: = gateway.incarnation.id,
            hall = gateway.settings.hall.as_str(),
            caller: = gateway.settings.caller_address,
            peer: = gateway.settings.peer_address,
            ready: = routing.ready_address,
            directory: = routing.directory_address,
            operator: = operator_address,
        });
        Ok(app)
    }

    fn serve(&mut self, listeners: Listeners) {
        let gateway = &self.gateway;
        let service = SiteServer::new(SiteService::new(gateway.clone()));
        let incoming = tokio_stream::wrappers::TcpListenerStream::new(listeners.peers);
        self.tasks.push(tokio::spawn(async move {
            let served = tonic::transport::Server::builder()
                .tcp_nodelay(true)
                .add_service(service)
                .serve_with_incoming(incoming);
            if let Err(error) = served.await {
                spdlog::error!("server for peers failed: {}", error);
            }
        }));
        let listener_kinds = [
            (listeners.ready, ListenerKind::Ready),
            (listeners.directory, ListenerKind::Directory),
            (listeners.callers, ListenerKind::Callers),
        ];
        for (listener, kind) in listener_kinds {
            let run = listener::run(gateway.clone(), listener, kind);
            self.tasks.push(tokio::spawn(run));
        }
    }

    fn spawn_tasks(&mut self) {
        let gateway = &self.gateway;
        let subjects = [Subject::Configuration, Subject::Endpoints, Subject::Members];
        for subject in subjects {
            let run = store_follower::follow_subject(gateway.clone(), subject);
            self.tasks.push(tokio::spawn(run));
        }
        self.tasks
            .push(tokio::spawn(heartbeat::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(coordinator::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(reach_monitor::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(run_reports::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(engine_reports::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(rollout_reports::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(crash_suspects::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(endpoint_signals::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(announce_own_entry(gateway.clone())));
        self.tasks
            .push(tokio::spawn(run_maintenance(gateway.clone())));
        self.tasks.push(tokio::spawn(log_counters(gateway.clone())));
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.gateway.settings.caller_address
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns whether callers may be routed to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.gateway.is_ready()
    }

    /// Reloads the settings file and applies the settings that can change at run time.
    pub fn reload(&self) {
        let Some(path) = &self.settings_file else {
            return;
        };
        let read = Settings::read(path).map(|settings| settings.routing);
        match read {
            Ok(Some(routing)) => {
                let changed = *self.gateway.routing.read() != routing;
                *self.gateway.routing.write() = routing;
                info!("settings read again", kv: { changed: });
            }
            Ok(None) => warn!("settings not reloaded: the file has no \"routing\" section"),
            Err(error) => warn!("settings not reloaded: {}", error),
        }
    }

    /// Shuts down gracefully within the configured time.
    ///
    /// Leaves the directory, and continues to answer calls in flight and those that still arrive.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let started_at = gateway.now();
        info!("instance stopping", kv: { calls: = gateway.in_flight.calls() });
        let (address_validity, timeout) = {
            let routing = gateway.routing.read();
            let address_validity = routing.directory_valid().mul_f64(ADDRESS_VALIDITY_FACTOR);
            (
                address_validity,
                routing.stop_within().saturating_sub(STOP_MARGIN),
            )
        };
        gateway.in_flight.mark_leaving();
        gateway.shutdown.begin(started_at + timeout);
        heartbeat::send_heartbeats(gateway);
        loop {
            let elapsed = gateway.now().saturating_sub(started_at);
            let is_idle = gateway.in_flight.calls() == 0;
            if elapsed >= timeout || (is_idle && elapsed >= address_validity.min(timeout)) {
                break;
            }
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
        let took_ms = millis(gateway.now().saturating_sub(started_at));
        log_stopped(gateway.in_flight.call_counts(), took_ms);
        self.abort().await;
    }

    /// Stops immediately, without waiting for calls in flight.
    pub async fn abort(self) {
        for task in &self.tasks {
            task.abort();
        }
        stop_servers(self.servers).await;
    }
}

/// Logs the end of a planned stop, with the calls that it cut by how far they had come.
fn log_stopped(cut: CallCounts, took_ms: u64) {
    let CallCounts {
        receiving,
        waiting,
        forwarded,
        sent,
        answering,
    } = cut;
    info!("instance stopped", kv: {
        calls_cut: = cut.total(), receiving:, waiting:, forwarded:, sent:, answering:, took_ms:,
    });
}

/// The listeners of an instance. They are bound first so that ports assigned by the operating
/// system are known.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
}

impl Listeners {
    /// Binds all listeners and stores their actual addresses in the settings.
    async fn bind(settings: &mut Settings) -> anyhow::Result<Self> {
        let peers = bind("peer_address", &mut settings.peer_address).await?;
        let callers = bind("caller_address", &mut settings.caller_address).await?;
        let routing = settings
            .routing
            .as_mut()
            .context("the settings have no \"routing\"")?;
        Ok(Self {
            callers,
            peers,
            ready: bind("ready_address", &mut routing.ready_address).await?,
            directory: bind("directory_address", &mut routing.directory_address).await?,
        })
    }
}

async fn bind(field: &'static str, address: &mut SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .await
        .with_context(|| format!("{field} {address} cannot be bound"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Writes this instance's own entry to the store, with retries, and again whenever it is lost.
async fn announce_own_entry(gateway: Arc<Gateway>) {
    let entry = gateway.member_entry();
    gateway.record_member_entry(entry.clone());
    let mut pause = Backoff::new(ANNOUNCE_RETRY_PAUSE, ANNOUNCE_RETRY_PAUSE_MAX);
    loop {
        while let Err(error) = gateway.store.announce(&entry).await {
            warn!("failed to write own member entry", kv: { why: = error });
            let pause = pause.next_pause(rand::rng().random_range(0.0..1.0));
            tokio::time::sleep(pause).await;
        }
        pause.reset();
        // The store may be restored from an older copy that lacks the entry.
        gateway.own_entry_lost.notified().await;
    }
}

async fn log_counters(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(work_counters::LOG_INTERVAL).await;
        gateway.work_counters.log_and_reset();
        log_liveness_counts(&gateway);
    }
}

/// Logs how many members count as live, by kind of evidence.
///
/// Members without a received heartbeat count as live as long as no peer reports otherwise.
fn log_liveness_counts(gateway: &Gateway) {
    let counts = {
        let members = gateway.members.lock();
        members.liveness_counts(MEMBER_RING, gateway.now())
    };
    let LivenessCounts {
        heard,
        unreported,
        reported,
        unreachable: silent,
    } = counts;
    info!("members by evidence", kv: { heard:, unreported:, reported:, silent: });
    let counts = [
        ("heard", heard),
        ("unreported", unreported),
        ("reported", reported),
        ("silent", silent),
    ];
    for (evidence, count) in counts {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        metrics::gauge!("larkwick_members", "evidence" => evidence).set(f64::from(count));
    }
}

async fn run_maintenance(gateway: Arc<Gateway>) {
    let mut rounds: u32 = 0;
    let mut pruned_version = None;
    let mut recently_listed = RecentlyListed::default();
    loop {
        tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        gateway.check_for_suspension();
        let changes = gateway.fleet.lock().expire_entries(gateway.now());
        store_follower::log_fleet_changes(&changes);
        gateway.advance_halls();
        let held_bytes = u32::try_from(gateway.held_bytes.held_bytes()).unwrap_or(u32::MAX);
        metrics::gauge!("larkwick_held_bytes").set(f64::from(held_bytes));
        rounds = rounds.wrapping_add(1);
        if !rounds.is_multiple_of(EXPIRY_CHECKS_PER_PRUNE) {
            continue;
        }
        gateway.observe_sharing_instances();
        gateway.cold_rate_limiter.lock().prune(gateway.now());
        let fleet_version = gateway.fleet.lock().version();
        if pruned_version.replace(fleet_version) == Some(fleet_version) {
            continue;
        }
        let now = gateway.now();
        {
            let fleet = gateway.fleet.lock();
            let listed = fleet.all_endpoints().map(|(entry, _)| entry.id.as_str());
            recently_listed.update(listed, now);
        }
        let is_known = |endpoint: &str| recently_listed.contains(endpoint);
        gateway
            .endpoint_signals
            .cooldowns
            .lock()
            .prune(is_known, now);
        gateway.endpoint_signals.permits.prune(is_known);
        gateway
            .upstream
            .prune_idle(|endpoint| recently_listed.is_listed(endpoint, now));
        gateway.health.lock().prune(is_known);
    }
}
