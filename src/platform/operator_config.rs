//! The operator's configuration, as the platform writes it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use super::unknown;
use crate::kernel::cold_start::ColdStart;
use crate::kernel::route::{
    CallKind, CallLimits, DEFAULT_PRIORITY, EngineCapabilities, KeyedAccount, Route, RouteConfig,
    Service, WeightedService,
};

/// Hold time of a route that names none; the longest that the first sites use.
const ROUTE_TIMEOUT_MS: u64 = 39_000;
/// Goal of a route that names none.
const ROUTE_GOAL_MS: u64 = 1_000;
/// How long an engine keeps an unused copy where the configuration does not say.
const COPY_KEPT_S: f64 = 5.0;

/// Fields that nothing is made of. Health is judged by the results of calls, since questions about it are priced and answers may be false; every
/// server speaks plain HTTP/1.1; placement does not depend on `sticky`; engines are not asked to pin or to hold, and their models are the operator's.
const LEFT_ASIDE: [&str; 11] = [
    "health-path",
    "protocol",
    "tls",
    "sticky",
    "backups",
    "most",
    "pin_ms",
    "hold-ms",
    "models",
    "idle-routes",
    "quota",
];

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: Option<u64>,
    goal_ms: Option<u64>,
    priority: Option<u8>,
    service: Option<String>,
    /// Where a route is split over services.
    #[serde(default)]
    backends: Vec<WireShare>,
    /// Counts servers, the first one included.
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// Longest pause between events; spelled with underscores on the wire.
    #[serde(rename = "gap_aim_ms")]
    longest_pause_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireShare {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireService {
    name: String,
    max_conns: Option<u32>,
    /// Seconds that a server is slow after a start.
    cold_start_s: Option<f64>,
    /// Requests a second that it bears meanwhile; 0 where nothing is said.
    cold_per_s: Option<f64>,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEngine {
    slots: u32,
    /// In tokens.
    kv_capacity: u32,
    token_kv_bytes: u64,
    link_mbps: f64,
    #[serde(default)]
    moves: bool,
    /// Tokens in one event.
    #[serde(default = "one")]
    stride: u32,
    /// Seconds that an unused copy is kept.
    handle_s: Option<f64>,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<u64>,
    idle_timeout_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
}

/// Decodes a configuration.
///
/// # Errors
/// The text is not a configuration.
pub fn decode(text: &[u8]) -> Result<RouteConfig, String> {
    let wire: WireConfig = unknown::read("configuration", text, &LEFT_ASIDE)?;
    let routes: Result<Vec<Route>, String> = wire.routes.into_iter().map(route).collect();
    let services: BTreeMap<String, Service> = wire.services.into_iter().map(service).collect();
    let accounts = wire
        .tenants
        .map(|tenants| tenants.into_iter().map(account).collect());
    Ok(RouteConfig {
        version: wire.version,
        routes: routes?,
        services,
        limits: limits(wire.limits),
        accounts,
    })
}

/// A time on the wire; none where it is negative, and the longest there is where it is longer. A number that no time can hold ended the reader.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

fn route(wire: WireRoute) -> Result<Route, String> {
    let kind = match wire.kind.as_str() {
        "idempotent" => CallKind::Repeatable,
        "stream" => CallKind::Generation,
        // Whatever else there is may run once at most.
        _ => CallKind::Once,
    };
    let mut services: Vec<WeightedService> = wire.backends.into_iter().filter_map(share).collect();
    if services.is_empty() {
        let service = wire.service;
        let service = service.ok_or_else(|| format!("route {} names no service", wire.name))?;
        services.push(WeightedService { service, weight: 1 });
    }
    let ms = Duration::from_millis;
    Ok(Route {
        name: wire.name,
        host: wire.host.to_ascii_lowercase(),
        path_prefix: wire.path_prefix,
        kind,
        services,
        attempts_max: wire.max_attempts.unwrap_or(1).max(1),
        timeout: ms(wire.timeout_ms.unwrap_or(ROUTE_TIMEOUT_MS)),
        latency_objective: ms(wire.goal_ms.unwrap_or(ROUTE_GOAL_MS)),
        pause_max: wire
            .longest_pause_ms
            .map(|pause_ms| seconds(pause_ms / 1_000.0)),
        priority: wire.priority.unwrap_or(DEFAULT_PRIORITY),
        public: wire.public,
        resumable: wire.resumable,
    })
}

/// Weights may be fractions on the wire; hundredths are enough to tell them apart.
fn share(wire: WireShare) -> Option<WeightedService> {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let weight = (wire.weight * 100.0).clamp(0.0, 1e6) as u32;
    (weight > 0).then_some(WeightedService {
        service: wire.service,
        weight,
    })
}

fn service(wire: WireService) -> (String, Service) {
    let engine = wire.engine.map(|engine| EngineCapabilities {
        slots: engine.slots,
        memory_tokens: engine.kv_capacity,
        token_bytes: engine.token_kv_bytes,
        link_mbps: engine.link_mbps,
        supports_migration: engine.moves,
        event_tokens: engine.stride.max(1),
        copy_retention: seconds(engine.handle_s.unwrap_or(COPY_KEPT_S)),
    });
    let bears_per_s = wire.cold_per_s.filter(|per_s| *per_s > 0.0);
    let cold_start = bears_per_s.map(|bears_per_s| ColdStart {
        duration: seconds(wire.cold_start_s.unwrap_or_default()),
        sustainable_per_s: bears_per_s,
    });
    let service = Service {
        connections_max: wire.max_conns.unwrap_or(u32::MAX),
        cold_start,
        engine,
    };
    (wire.name, service)
}

fn account(wire: WireTenant) -> KeyedAccount {
    KeyedAccount {
        name: wire.name,
        keys: wire.api_keys,
        priority: wire.priority,
    }
}

fn limits(wire: Option<WireLimits>) -> CallLimits {
    let default = CallLimits::default();
    let Some(wire) = wire else { return default };
    let ms = Duration::from_millis;
    CallLimits {
        head_max_bytes: wire.max_header_bytes.unwrap_or(default.head_max_bytes),
        body_max_bytes: wire.max_body_bytes.unwrap_or(default.body_max_bytes),
        head_timeout: wire.header_timeout_ms.map_or(default.head_timeout, ms),
        idle_timeout: wire.idle_timeout_ms.map_or(default.idle_timeout, ms),
    }
}
