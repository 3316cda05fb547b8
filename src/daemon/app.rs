//! Starts an instance: binds its listeners, then runs its background tasks until a planned stop is
//! complete.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use parking_lot::Mutex;
use spdlog::info;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::node::{Addresses, Node, Phase};
use super::{config_loop, drain, endpoints, member_loop, owner, placement_loop, reservations};
use crate::kernel::clock::SystemClock;
use crate::log_service::{self, Platform};
use crate::peer::generated::peer_server::PeerServer;
use crate::peer::server::PeerService;
use crate::settings::Settings;
use crate::standin::server::{Server, build_rocket, start_server, stop_servers};
use crate::{caller, operator};

/// Maximum size of a gRPC message between peers, sent or received.
const PEER_MESSAGE_MAX_BYTES: usize = 64 << 20;

/// A running instance.
///
/// ```no_run
/// # async fn example() -> anyhow::Result<()> {
/// use larkwick::{App, Settings};
///
/// let settings = Settings::read("larkwickd.jsonc".as_ref())?;
/// let app = App::start(settings).await?;
/// println!("callers: {}", app.addresses().caller);
/// app.stopped().await;
/// # Ok(())
/// # }
/// ```
pub struct App {
    node: Arc<Node>,
    servers: Vec<Server>,
    tasks: Vec<JoinHandle<()>>,
}

/// Returns the metrics recorder of the process, which is installed on the first call.
///
/// All instances in one process share it.
pub(crate) fn metrics_handle() -> anyhow::Result<PrometheusHandle> {
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut handle = HANDLE.lock();
    if let Some(installed) = handle.as_ref() {
        return Ok(installed.clone());
    }
    let installed = PrometheusBuilder::new()
        .install_recorder()
        .context("cannot install the metrics recorder")?;
    *handle = Some(installed.clone());
    Ok(installed)
}

impl App {
    /// Starts an instance with the platform named in its settings.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid or an address cannot be bound.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        settings.validate()?;
        let platform =
            log_service::connect(&settings.platform.plugin, &settings.platform.addresses)?;
        Self::start_with_platform(settings, platform).await
    }

    /// Starts an instance with the given platform.
    ///
    /// # Errors
    /// Returns the same errors as [`App::start`].
    pub async fn start_with_platform(
        settings: Settings,
        platform: Platform,
    ) -> anyhow::Result<Self> {
        settings.validate()?;
        let metrics = metrics_handle()?;
        let node = Arc::new(Node::new(
            settings,
            platform,
            Arc::new(SystemClock::default()),
        ));
        let settings = &node.settings;
        let rocket = build_rocket(settings.caller_address).manage(node.clone());
        let callers = start_server(caller::mount(rocket))
            .await
            .context("cannot start the server at caller_address")?;
        let rocket = build_rocket(settings.operator_address)
            .manage(node.clone())
            .manage(metrics);
        let operators = start_server(operator::mount(rocket))
            .await
            .context("cannot start the server at operator_address")?;
        let peers = TcpListener::bind(settings.peer_address)
            .await
            .context("cannot bind peer_address")?;
        node.set_addresses(Addresses {
            caller: callers.address,
            operator: operators.address,
            peer: peers.local_addr()?,
        });
        let mut app = Self {
            servers: vec![callers, operators],
            tasks: Vec::new(),
            node,
        };
        app.spawn_peer_server(peers);
        app.spawn_background_tasks();
        info!("instance started", kv: {
            instance = app.node.incarnation.name.as_str(),
            incarnation: = app.node.incarnation.id,
        });
        Ok(app)
    }

    fn spawn_peer_server(&mut self, listener: TcpListener) {
        let service = PeerServer::new(PeerService::new(self.node.clone()))
            .max_decoding_message_size(PEER_MESSAGE_MAX_BYTES)
            .max_encoding_message_size(PEER_MESSAGE_MAX_BYTES);
        let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
        self.tasks.push(tokio::spawn(async move {
            let served = tonic::transport::Server::builder()
                .tcp_nodelay(true)
                .add_service(service)
                .serve_with_incoming(incoming);
            if let Err(error) = served.await {
                spdlog::error!("peer server failed: {}", error);
            }
        }));
    }

    fn spawn_background_tasks(&mut self) {
        let node = &self.node;
        self.tasks.extend([
            tokio::spawn(config_loop::run(node.clone())),
            tokio::spawn(member_loop::run_heartbeats(node.clone())),
            tokio::spawn(member_loop::run_instance_list(node.clone())),
            tokio::spawn(member_loop::run_ticket_epochs(node.clone())),
            tokio::spawn(endpoints::run(node.clone())),
            tokio::spawn(owner::run(node.clone())),
            tokio::spawn(reservations::run(node.clone())),
            tokio::spawn(placement_loop::run(node.clone())),
        ]);
    }

    /// Returns the addresses that the instance listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.node.addresses()
    }

    /// Begins a planned stop; [`App::stopped`] returns when it is complete.
    pub fn drain(&self) {
        tokio::spawn(drain::run(self.node.clone()));
    }

    /// Serves until `stop` completes, then runs a planned stop to its end.
    pub async fn serve_until(self, stop: impl Future<Output = ()>) {
        let mut phase = self.node.drain_state.subscribe_phase();
        tokio::select! {
            () = stop => self.drain(),
            // An operator can begin a planned stop as well.
            _ = phase.wait_for(|phase| *phase > Phase::Serving) => {}
        }
        self.stopped().await;
    }

    /// Waits until a planned stop is complete, then ends all servers and background tasks.
    pub async fn stopped(self) {
        let mut phase = self.node.drain_state.subscribe_phase();
        // This cannot fail: the node, which `self` holds, owns the sender.
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
        self.abort().await;
    }

    /// Ends the instance immediately; requests in flight are aborted.
    pub async fn abort(self) {
        for task in &self.tasks {
            task.abort();
        }
        stop_servers(self.servers).await;
    }
}

/// Returns a loopback address whose port is chosen by the system when it is bound.
#[must_use]
pub fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
