//! Starts an instance: binds its listeners, then runs its loops until a planned stop is complete.

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

const MESSAGE_MAX_BYTES: usize = 64 << 20;

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
    loops: Vec<JoinHandle<()>>,
}

/// The process's metrics; instances in one process share them.
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
    /// Starts an instance with the platform that its settings name.
    ///
    /// # Errors
    /// The settings are wrong or an address cannot be bound.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        settings.check()?;
        let platform =
            log_service::connect(&settings.platform.plugin, &settings.platform.addresses)?;
        Self::start_with(settings, platform).await
    }

    /// Starts an instance with a platform at hand.
    ///
    /// # Errors
    /// As for [`App::start`].
    pub async fn start_with(settings: Settings, platform: Platform) -> anyhow::Result<Self> {
        settings.check()?;
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
            .context("caller_address")?;
        let rocket = build_rocket(settings.operator_address)
            .manage(node.clone())
            .manage(metrics);
        let operators = start_server(operator::mount(rocket))
            .await
            .context("operator_address")?;
        let peers = TcpListener::bind(settings.peer_address)
            .await
            .context("peer_address cannot be bound")?;
        node.set_addresses(Addresses {
            caller: callers.address,
            operator: operators.address,
            peer: peers.local_addr()?,
        });
        let mut app = Self {
            servers: vec![callers, operators],
            loops: Vec::new(),
            node,
        };
        app.spawn_peer_server(peers);
        app.spawn_loops();
        info!("instance started", kv: {
            instance = app.node.incarnation.name.as_str(),
            incarnation: = app.node.incarnation.id,
        });
        Ok(app)
    }

    fn spawn_peer_server(&mut self, listener: TcpListener) {
        let service = PeerServer::new(PeerService::new(self.node.clone()))
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES);
        let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
        self.loops.push(tokio::spawn(async move {
            let served = tonic::transport::Server::builder()
                .tcp_nodelay(true)
                .add_service(service)
                .serve_with_incoming(incoming);
            if let Err(error) = served.await {
                spdlog::error!("peer server ended: {}", error);
            }
        }));
    }

    fn spawn_loops(&mut self) {
        let node = &self.node;
        self.loops.extend([
            tokio::spawn(config_loop::run(node.clone())),
            tokio::spawn(member_loop::run_beats(node.clone())),
            tokio::spawn(member_loop::run_list(node.clone())),
            tokio::spawn(member_loop::run_epochs(node.clone())),
            tokio::spawn(endpoints::run(node.clone())),
            tokio::spawn(owner::run(node.clone())),
            tokio::spawn(reservations::run(node.clone())),
            tokio::spawn(placement_loop::run(node.clone())),
        ]);
    }

    /// Where the instance listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.node.addresses()
    }

    /// Begins a planned stop; [`App::stopped`] ends when it is complete.
    pub fn drain(&self) {
        tokio::spawn(drain::run(self.node.clone()));
    }

    /// Serves until `stop` ends, then runs a planned stop to its end.
    pub async fn drained_by(self, stop: impl Future<Output = ()>) {
        let mut phase = self.node.work.watch_phase();
        tokio::select! {
            () = stop => self.drain(),
            // Operators may begin one too.
            _ = phase.wait_for(|phase| *phase > Phase::Serving) => {}
        }
        self.stopped().await;
    }

    /// Waits until a planned stop is complete and everything has ended.
    pub async fn stopped(self) {
        let mut phase = self.node.work.watch_phase();
        // The sender lives in the node, which this value holds.
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
        self.abort().await;
    }

    /// Ends at once; requests in flight are cut.
    pub async fn abort(self) {
        for one in &self.loops {
            one.abort();
        }
        stop_servers(self.servers).await;
    }
}

/// A free port on the loopback address.
#[must_use]
pub fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
