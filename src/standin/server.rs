//! Starting and stopping of rocket servers, shared by the stand-ins and the daemon.

use std::net::{IpAddr, SocketAddr};

use anyhow::Context;
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::{Build, Orbit, Rocket, Shutdown};
use tokio::sync::oneshot;

/// Maximum size of a request body.
pub const BODY_MAX_BYTES: u64 = 4 * 1024 * 1024;
const PLATFORM_BODY_MAX_MIB: u64 = 64;

/// A running rocket server.
pub struct Server {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Handle that triggers the shutdown.
    pub shutdown: Shutdown,
    /// Task that completes when the server has stopped.
    pub task: tokio::task::JoinHandle<()>,
}

/// Discards all log records; installed in place of rocket's logger, which prints to standard
/// output.
///
/// Setting rocket's log level is not enough: the level is global, and each server that launches
/// raises it for the others, whatever their settings say.
struct NoopLogger;

impl log::Log for NoopLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// Builds a rocket that binds `address`, prints nothing and installs no signal handlers.
///
/// Port 0 selects a free port.
#[must_use]
pub fn build_rocket(address: SocketAddr) -> Rocket<Build> {
    // Fails if a logger is already installed; then rocket cannot install its own either.
    let _ = log::set_logger(&NoopLogger);
    let limits = Limits::default()
        .limit("json", PLATFORM_BODY_MAX_MIB.mebibytes())
        .limit("bytes", BODY_MAX_BYTES.bytes());
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        ..rocket::config::Shutdown::default()
    };
    let config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        keep_alive: 60,
        limits,
        shutdown,
        ..rocket::Config::release_default()
    };
    rocket::custom(config)
}

/// Starts a server and waits until it listens.
///
/// # Errors
/// Fails if the address cannot be bound or the routes collide.
pub async fn start_server(rocket: Rocket<Build>) -> anyhow::Result<Server> {
    let (bound_sender, bound_address) = oneshot::channel();
    let bound_sender = parking_lot::Mutex::new(Some(bound_sender));
    let liftoff = AdHoc::on_liftoff("bound address", move |rocket: &Rocket<Orbit>| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        if let Some(sender) = bound_sender.lock().take() {
            let _ = sender.send(address);
        }
        Box::pin(async {})
    });
    let requested = (
        rocket.figment().extract_inner::<IpAddr>("address").ok(),
        rocket.figment().extract_inner::<u16>("port").ok(),
    );
    let ignited = rocket
        .attach(liftoff)
        .ignite()
        .await
        .map_err(|error| anyhow::anyhow!("cannot start server: {error}"))?;
    let shutdown = ignited.shutdown();
    let launch = tokio::spawn(async move { ignited.launch().await.map(drop) });
    let address = bound_address.await;
    if let Ok(address) = address {
        Ok(Server {
            address,
            shutdown,
            task: tokio::spawn(async move {
                let _ = launch.await;
            }),
        })
    } else {
        let result = launch.await.context("server task")?;
        let reason = result.err().map(|error| error.kind().to_string());
        anyhow::bail!(
            "cannot listen on {requested:?}: {}",
            reason.unwrap_or_default()
        )
    }
}

/// Stops servers concurrently and waits until all have stopped.
pub async fn stop_servers(servers: Vec<Server>) {
    for server in &servers {
        server.shutdown.clone().notify();
    }
    for server in servers {
        // A server task that panicked has stopped as well.
        let _ = server.task.await;
    }
}
