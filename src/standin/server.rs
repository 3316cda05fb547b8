//! How the stand-ins and the daemon start a rocket server on an address from their settings.

use std::net::{IpAddr, SocketAddr};

use anyhow::Context;
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::{Build, Orbit, Rocket, Shutdown};
use tokio::sync::oneshot;

/// Largest body that is read.
pub const BODY_MAX_BYTES: u64 = 4 * 1024 * 1024;
const PLATFORM_BODY_MAX_MIB: u64 = 64;

/// A running rocket server.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Stops it.
    pub shutdown: Shutdown,
    /// Ends when it has stopped.
    pub task: tokio::task::JoinHandle<()>,
}

/// Takes the place of rocket's logger, which would print on standard output.
///
/// Rocket's level of logging is global: one server that launches raises it for the others, whatever their settings say.
struct Silent;

impl log::Log for Silent {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// A rocket that binds `address` (port 0 takes a free one), prints nothing and leaves signals alone.
#[must_use]
pub fn rocket_at(address: SocketAddr) -> Rocket<Build> {
    // Fails where a logger is set already; then rocket's is not.
    let _ = log::set_logger(&Silent);
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
/// The address cannot be bound or the routes collide.
pub async fn start(rocket: Rocket<Build>) -> anyhow::Result<Server> {
    let (bound, listening) = oneshot::channel();
    let bound = parking_lot::Mutex::new(Some(bound));
    let liftoff = AdHoc::on_liftoff("bound address", move |rocket: &Rocket<Orbit>| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        if let Some(bound) = bound.lock().take() {
            let _ = bound.send(address);
        }
        Box::pin(async {})
    });
    let wanted = (
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
    let address = listening.await;
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
        let why = result.err().map(|error| error.kind().to_string());
        anyhow::bail!("cannot listen on {wanted:?}: {}", why.unwrap_or_default())
    }
}

/// Stops servers side by side.
pub async fn stop_all(servers: Vec<Server>) {
    for server in &servers {
        server.shutdown.clone().notify();
    }
    for server in servers {
        // A server that failed has stopped too.
        let _ = server.task.await;
    }
}
