//! Starts an instance that serves routes, and stops it as planned.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use spdlog::{info, warn};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::listener::{self, Surface};
use super::node::{Gateway, MEMBER_RING};
use super::peers::SiteService;
use super::site_store::{self, SiteStore, Subject};
use super::{
    coordinator, crash_suspects, endpoint_words, engine_reports, heartbeat, operators, run_reports,
    store_follower, tally,
};
use crate::daemon::app::metrics_handle;
use crate::kernel::backoff::Backoff;
use crate::kernel::clock::{Clock, SystemClock, millis};
use crate::kernel::membership::LivenessCounts;
use crate::peer::generated::site_server::SiteServer;
use crate::settings::Settings;
use crate::standin::server::{Server, rocket_at, start, stop_all};

/// How often it is looked whether an endpoint that is doubted has to count as gone.
const SETTLE_EVERY: Duration = Duration::from_millis(200);
/// After so many of these, state of endpoints that are gone is dropped: once a second.
const SETTLES_A_TIDY: u32 = 5;
/// First pause before this instance's own entry is written again.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(300);
/// Longest such pause.
const ANNOUNCE_PAUSE_MAX: Duration = Duration::from_secs(2);
/// After a request to stop, callers that still hold the address are answered for this many times its validity.
const ADDRESS_HELD_TIMES: f64 = 1.5;
/// Left of the time to stop when what is still in flight is cut.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// How often a stop looks whether everything has ended.
const STOP_CHECK_EVERY: Duration = Duration::from_millis(50);

/// A running instance that serves routes.
pub struct GatewayApp {
    gateway: Arc<Gateway>,
    servers: Vec<Server>,
    tasks: Vec<JoinHandle<()>>,
    settings_file: Option<PathBuf>,
    operator_address: SocketAddr,
}

impl GatewayApp {
    /// Starts an instance.
    ///
    /// # Errors
    /// The settings are wrong or an address cannot be bound.
    pub async fn start(settings: Settings, settings_file: Option<&Path>) -> anyhow::Result<Self> {
        let clock = Arc::new(SystemClock::default());
        Self::start_by_clock(settings, settings_file, clock).await
    }

    /// Starts an instance that reads the time from a given clock.
    ///
    /// # Errors
    /// The settings are wrong or an address cannot be bound.
    pub async fn start_by_clock(
        settings: Settings,
        settings_file: Option<&Path>,
        clock: Arc<dyn Clock>,
    ) -> anyhow::Result<Self> {
        settings.check()?;
        let mut settings = settings;
        let listeners = Listeners::bind(&mut settings).await?;
        let routing = settings
            .routing
            .clone()
            .context("the settings have no \"routing\"")?;
        let store = site_store::connect(&routing.store_plugin, routing.store_address)?;
        let metrics = metrics_handle()?;
        let gateway = Arc::new(Gateway::new(settings, routing.clone(), store, clock));
        let rocket = rocket_at(gateway.settings.operator_address)
            .manage(gateway.clone())
            .manage(metrics);
        let operators = start(operators::mount(rocket)).await;
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
        app.spawn_loops();
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
                spdlog::error!("peer server ended: {}", error);
            }
        }));
        let surfaces = [
            (listeners.ready, Surface::Ready),
            (listeners.directory, Surface::Directory),
            (listeners.callers, Surface::Callers),
        ];
        for (listener, surface) in surfaces {
            let run = listener::run(gateway.clone(), listener, surface);
            self.tasks.push(tokio::spawn(run));
        }
    }

    fn spawn_loops(&mut self) {
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
            .push(tokio::spawn(run_reports::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(engine_reports::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(crash_suspects::run(gateway.clone())));
        self.tasks
            .push(tokio::spawn(endpoint_words::run(gateway.clone())));
        self.tasks.push(tokio::spawn(announce(gateway.clone())));
        self.tasks.push(tokio::spawn(tidy(gateway.clone())));
        self.tasks.push(tokio::spawn(tell_tally(gateway.clone())));
    }

    /// Where callers connect.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.gateway.settings.caller_address
    }

    /// Where operators connect.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.gateway.is_ready()
    }

    /// Reads the settings file again and puts in force what can change in a running instance.
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
            Ok(None) => warn!("settings kept: the file has no \"routing\" any more"),
            Err(error) => warn!("settings kept: {}", error),
        }
    }

    /// Asked to stop: leaves the directory, answers what is in flight and what still comes, and ends within the time allowed.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let begun = gateway.now();
        info!("instance stopping", kv: { calls: = gateway.in_flight.calls() });
        let (held, within) = {
            let routing = gateway.routing.read();
            let held = routing.directory_valid().mul_f64(ADDRESS_HELD_TIMES);
            (held, routing.stop_within().saturating_sub(STOP_MARGIN))
        };
        *gateway.ends_at.lock() = Some(begun + within);
        gateway.in_flight.leave();
        heartbeat::beat_round(gateway);
        loop {
            let age = gateway.now().saturating_sub(begun);
            let idle = gateway.in_flight.calls() == 0;
            if age >= within || (idle && age >= held.min(within)) {
                break;
            }
            tokio::time::sleep(STOP_CHECK_EVERY).await;
        }
        let took_ms = millis(gateway.now().saturating_sub(begun));
        info!("instance stopped", kv: { calls_cut: = gateway.in_flight.calls(), took_ms: });
        self.abort().await;
    }

    /// Ends at once.
    pub async fn abort(self) {
        for task in &self.tasks {
            task.abort();
        }
        stop_all(self.servers).await;
    }
}

/// The listeners of an instance, bound before anything else so that ports that were left open are known.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
}

impl Listeners {
    /// Binds all, and puts the ports taken into the settings.
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

/// Writes this instance's own entry, until the store has taken it.
async fn announce(gateway: Arc<Gateway>) {
    let entry = gateway.member_entry();
    gateway.take_member_entry(entry.clone());
    let mut pause = Backoff::new(ANNOUNCE_PAUSE, ANNOUNCE_PAUSE_MAX);
    loop {
        while let Err(error) = gateway.store.announce(&entry).await {
            warn!("own entry not written", kv: { why: = error });
            let pause = pause.next_pause(rand::rng().random_range(0.0..1.0));
            tokio::time::sleep(pause).await;
        }
        pause.reset();
        // The store may come back from a copy that lacks it.
        gateway.entry_lost.notified().await;
    }
}

async fn tell_tally(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(tally::TOLD_EVERY).await;
        gateway.tally.tell();
        tell_evidence(&gateway);
    }
}

/// Tells on what grounds members count as live: whoever is live without having been heard is so because nobody has said otherwise.
fn tell_evidence(gateway: &Gateway) {
    let evidence = {
        let members = gateway.members.lock();
        members.liveness_counts(MEMBER_RING, gateway.now())
    };
    let LivenessCounts {
        heard,
        unreported,
        reported,
        unreachable: silent,
    } = evidence;
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

async fn tidy(gateway: Arc<Gateway>) {
    let mut rounds: u32 = 0;
    loop {
        tokio::time::sleep(SETTLE_EVERY).await;
        gateway.check_for_suspension();
        let changes = gateway.fleet.lock().expire_entries(gateway.now());
        store_follower::log_fleet_changes(&changes);
        gateway.settle_halls();
        rounds = rounds.wrapping_add(1);
        if !rounds.is_multiple_of(SETTLES_A_TIDY) {
            continue;
        }
        let known: std::collections::HashSet<String> = {
            let fleet = gateway.fleet.lock();
            fleet
                .all_endpoints()
                .map(|(entry, _)| entry.id.clone())
                .collect()
        };
        gateway.look_at_sharers();
        gateway.cold_gate.lock().prune(gateway.now());
        let now = gateway.now();
        let is_known = |endpoint: &str| known.contains(endpoint);
        gateway.words.rests.lock().prune(is_known, now);
        gateway.words.permits.tidy(is_known);
        gateway
            .upstream
            .prune_idle(|endpoint| known.contains(endpoint));
        gateway
            .health
            .lock()
            .prune(|endpoint| known.contains(endpoint));
    }
}
