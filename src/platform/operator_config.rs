//! Decodes the operator's configuration from the platform's format.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use super::unknown_names;
use crate::kernel::cold_start::ColdStart;
use crate::kernel::region::AllowedRegions;
use crate::kernel::route::{
    CallKind, CallLimits, DEFAULT_PRIORITY, EngineCapabilities, KeyedAccount, Route, RouteConfig,
    Service, WeightedService,
};

/// Timeout of a route that sets none; the longest one that the first sites use.
const DEFAULT_ROUTE_TIMEOUT_MS: u64 = 39_000;
/// Latency objective of a route that sets none.
const DEFAULT_LATENCY_OBJECTIVE_MS: u64 = 1_000;
/// Time for which an engine keeps an unused KV-cache copy if the configuration does not set it.
const DEFAULT_COPY_RETENTION_S: f64 = 5.0;

/// The caller of a stream leaves after silence of the longest of these: a fixed time, a multiple of
/// the latency objective, and a multiple of the longest acceptable pause.
const PATIENCE_MIN: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// Fields that are ignored on purpose. Every server speaks plain HTTP/1.1.
/// Placement does not depend on `sticky`. Engines are not asked to pin prompts or to hold
/// reservations, and which models they have is up to the operator.
const IGNORED_FIELDS: [&str; 9] = [
    "protocol",
    "tls",
    "sticky",
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
    /// Weighted services, if the route is split between several.
    #[serde(default)]
    backends: Vec<WireWeightedService>,
    /// Number of servers to try, including the first one.
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    allowed_regions: Option<Vec<String>>,
    /// Longest acceptable pause between events. Unlike the other fields, this one has underscores
    /// on the wire.
    #[serde(rename = "gap_aim_ms")]
    pause_max_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireWeightedService {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireService {
    name: String,
    max_conns: Option<u32>,
    /// Time for which a server is slow after a start, in seconds.
    cold_start_s: Option<f64>,
    /// Sustainable rate during that time, in requests per second; 0 if not specified.
    cold_per_s: Option<f64>,
    /// Path of its servers' health checks. Health itself is derived from the results of calls, since
    /// health checks are charged for and may report false results.
    health_path: Option<String>,
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEngine {
    slots: u32,
    /// KV-cache memory, in tokens.
    kv_capacity: u32,
    token_kv_bytes: u64,
    link_mbps: f64,
    #[serde(default)]
    moves: bool,
    #[serde(default)]
    backups: bool,
    /// Number of tokens per event.
    #[serde(default = "default_stride")]
    stride: u32,
    /// Time for which an unused KV-cache copy is kept, in seconds.
    handle_s: Option<f64>,
}

fn default_stride() -> u32 {
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
    allowed_regions: Option<Vec<String>>,
}

/// Decodes a configuration.
///
/// # Errors
/// Returns an error if the text is not a configuration.
pub fn decode(text: &[u8]) -> Result<RouteConfig, String> {
    let wire: WireConfig = unknown_names::parse_json("configuration", text, &IGNORED_FIELDS)?;
    let routes: Result<Vec<Route>, String> = wire.routes.into_iter().map(convert_route).collect();
    let services: BTreeMap<String, Service> =
        wire.services.into_iter().map(convert_service).collect();
    let accounts = wire
        .tenants
        .map(|tenants| tenants.into_iter().map(convert_account).collect());
    Ok(RouteConfig {
        version: wire.version,
        routes: routes?,
        services,
        limits: convert_limits(wire.limits),
        accounts,
    })
}

/// Converts a number of seconds: zero if it is negative, and the longest duration if it is too
/// large. A plain conversion panics on numbers that a `Duration` cannot hold, which would end the
/// task that reads the configuration.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

fn convert_route(wire: WireRoute) -> Result<Route, String> {
    let kind = match wire.kind.as_str() {
        "idempotent" => CallKind::Repeatable,
        "stream" => CallKind::Generation,
        // Calls of any other kind may run at most once.
        _ => CallKind::Once,
    };
    let mut services: Vec<WeightedService> = wire
        .backends
        .into_iter()
        .filter_map(convert_weight)
        .collect();
    if services.is_empty() {
        let service = wire.service;
        let service = service.ok_or_else(|| format!("route {} has no service", wire.name))?;
        services.push(WeightedService { service, weight: 1 });
    }
    let ms = Duration::from_millis;
    let latency_objective = ms(wire.goal_ms.unwrap_or(DEFAULT_LATENCY_OBJECTIVE_MS));
    let pause_max = wire
        .pause_max_ms
        .map(|pause_ms| seconds(pause_ms / 1_000.0));
    Ok(Route {
        name: wire.name,
        host: wire.host.to_ascii_lowercase(),
        path_prefix: wire.path_prefix,
        kind,
        services,
        attempts_max: wire.max_attempts.unwrap_or(1).max(1),
        timeout: ms(wire.timeout_ms.unwrap_or(DEFAULT_ROUTE_TIMEOUT_MS)),
        latency_objective,
        pause_max,
        caller_patience: (kind == CallKind::Generation)
            .then(|| stream_patience(latency_objective, pause_max)),
        priority: wire.priority.unwrap_or(DEFAULT_PRIORITY),
        public: wire.public,
        resumable: wire.resumable,
        allowed_regions: convert_regions(wire.allowed_regions),
    })
}

/// Returns the time without an event after which the caller of a stream leaves.
fn stream_patience(latency_objective: Duration, pause_max: Option<Duration>) -> Duration {
    let by_objective = latency_objective.saturating_mul(PATIENCE_OBJECTIVES);
    let by_pause = pause_max
        .unwrap_or_default()
        .saturating_mul(PATIENCE_PAUSES);
    by_objective.max(by_pause).max(PATIENCE_MIN)
}

/// Converts a weight, which may be a fraction on the wire, to an integer number of hundredths,
/// which is precise enough.
fn convert_weight(wire: WireWeightedService) -> Option<WeightedService> {
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

fn convert_service(wire: WireService) -> (String, Service) {
    let engine = wire.engine.map(|engine| EngineCapabilities {
        slots: engine.slots,
        memory_tokens: engine.kv_capacity,
        token_bytes: engine.token_kv_bytes,
        link_mbps: engine.link_mbps,
        supports_migration: engine.moves,
        supports_copies: engine.backups,
        event_tokens: engine.stride.max(1),
        copy_retention: seconds(engine.handle_s.unwrap_or(DEFAULT_COPY_RETENTION_S)),
    });
    let sustainable_per_s = wire.cold_per_s.filter(|per_s| *per_s > 0.0);
    let cold_start = sustainable_per_s.map(|sustainable_per_s| ColdStart {
        duration: seconds(wire.cold_start_s.unwrap_or_default()),
        sustainable_per_s,
    });
    let service = Service {
        connections_max: wire.max_conns.unwrap_or(u32::MAX),
        cold_start,
        health_path: wire.health_path,
        engine,
    };
    (wire.name, service)
}

fn convert_account(wire: WireTenant) -> KeyedAccount {
    KeyedAccount {
        name: wire.name,
        keys: wire.api_keys,
        priority: wire.priority,
        allowed_regions: convert_regions(wire.allowed_regions),
    }
}

fn convert_regions(wire: Option<Vec<String>>) -> AllowedRegions {
    wire.map_or_else(AllowedRegions::default, AllowedRegions::only)
}

fn convert_limits(wire: Option<WireLimits>) -> CallLimits {
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
