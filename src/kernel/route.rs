//! Routes: map a call to a service by host and longest path prefix, and check which client account
//! may make it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cold_start::ColdStart;
use super::region::AllowedRegions;
use crate::error::{Error, ErrorKind, Result};

/// Priority of a call if neither its route nor its client account sets one.
pub const DEFAULT_PRIORITY: u8 = 5;

/// How often a call may run, which decides whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Runs at most once and responds with a stream of events.
    Generation,
}

/// A configured route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique among routes.
    pub name: String,
    /// Host name, in lower case and without a port.
    pub host: String,
    /// Starts and ends with a slash.
    pub path_prefix: String,
    /// How often a call on this route may run.
    pub kind: CallKind,
    /// Services and their weights; never empty, weights positive.
    pub services: Vec<WeightedService>,
    /// Maximum number of endpoints that one call may run on.
    pub attempts_max: u32,
    /// Maximum time that a call may take.
    pub timeout: Duration,
    /// Latency objective: the time within which a response is worth most. For a generation it
    /// covers the time to its first event.
    #[serde(rename = "goal")]
    pub latency_objective: Duration,
    /// Longest pause between events that clients accept without complaint.
    pub pause_max: Option<Duration>,
    /// Time after its call at which a client that got no event leaves; `None` if it waits until its
    /// deadline.
    #[serde(default)]
    pub caller_patience: Option<Duration>,
    /// 0 is served first.
    pub priority: u8,
    /// Whether it may be called without a key.
    pub public: bool,
    /// Whether a client may reconnect with the id of the last event it received.
    pub resumable: bool,
    /// Regions in which its calls may be served.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
}

/// One of the services of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the calls, relative to the sum of all weights.
    pub weight: u32,
}

/// A configured service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that each of its endpoints accepts from all instances together.
    pub connections_max: u32,
    /// The request rate that its endpoints sustain after a start; `None` if it is not configured.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Path of the health checks of its endpoints.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Set if its endpoints are model engines.
    pub engine: Option<EngineCapabilities>,
}

/// The capacity and features of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineCapabilities {
    /// Generations decoded concurrently.
    pub slots: u32,
    /// KV-cache memory shared by running generations and cached prompts, in tokens.
    pub memory_tokens: u32,
    /// Bytes per token, in memory and in a transfer.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link for migrated memory.
    pub link_mbps: f64,
    /// Whether running generations can be migrated.
    #[serde(rename = "moves")]
    pub supports_migration: bool,
    /// Whether a running generation's memory can be copied to a second engine as it grows.
    #[serde(default, rename = "backups")]
    pub supports_copies: bool,
    /// Tokens per event.
    pub event_tokens: u32,
    /// How long an unused copy is retained.
    #[serde(rename = "copy_kept")]
    pub copy_retention: Duration,
}

/// Limits on the requests of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// Largest request head.
    pub head_max_bytes: usize,
    /// Largest request body.
    pub body_max_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        // Used only until a configuration is known; the values are those of the first sites.
        Self {
            head_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A client account and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedAccount {
    /// Name of the account.
    pub name: String,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions in which its calls may be served, in addition to the restriction of the route.
    #[serde(default)]
    pub allowed_regions: AllowedRegions,
}

/// One version of the route configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Incremented on every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on requests.
    pub limits: CallLimits,
    /// Client accounts; `None` if calls need no key.
    pub accounts: Option<Vec<KeyedAccount>>,
}

/// A route configuration with its indexes.
#[derive(Debug)]
pub struct RouteTable {
    config: RouteConfig,
    /// Indexes into the routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Index into the accounts.
    by_key: HashMap<String, usize>,
}

/// The account that makes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAccount<'a> {
    /// The call needs no key.
    Anyone,
    /// The account that the key belongs to.
    Account(&'a KeyedAccount),
}

impl RouteTable {
    /// Creates the indexes of a configuration.
    #[must_use]
    pub fn new(config: RouteConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            let prefix_length = |index: &usize| config.routes[*index].path_prefix.len();
            indexes.sort_by_key(|index| std::cmp::Reverse(prefix_length(index)));
        }
        let mut by_key = HashMap::new();
        for (index, account) in config.accounts.iter().flatten().enumerate() {
            for key in &account.keys {
                by_key.insert(key.clone(), index);
            }
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &RouteConfig {
        &self.config
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.services.get(name)
    }

    /// Returns the route of a host with the longest prefix of the path.
    ///
    /// # Errors
    /// No route matches.
    pub fn find(&self, host: &str, path: &str) -> Result<&Route> {
        let name = host_name(host);
        let indexes = self.by_host.get(&name).map_or(&[][..], Vec::as_slice);
        let mut routes = indexes.iter().map(|index| &self.config.routes[*index]);
        routes
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::NotFound,
                    "no route for this host and path; check both",
                )
            })
    }

    /// Returns the regions in which calls to a host may be served, by its routes together;
    /// unrestricted if one of them is.
    #[must_use]
    pub fn regions_of_host(&self, host: &str) -> AllowedRegions {
        let indexes = self.by_host.get(&host_name(host));
        let routes = indexes.into_iter().flatten();
        let routes = routes.map(|index| &self.config.routes[*index].allowed_regions);
        let names: Option<Vec<_>> = routes.map(AllowedRegions::names).collect();
        match names {
            Some(names) if !names.is_empty() => {
                AllowedRegions::only(names.into_iter().flatten().cloned())
            }
            _ => AllowedRegions::default(),
        }
    }

    /// Returns the account that calls a route with a key.
    ///
    /// # Errors
    /// The route needs a valid key.
    pub fn authorize(&self, route: &Route, key: Option<&str>) -> Result<CallerAccount<'_>> {
        let Some(accounts) = &self.config.accounts else {
            return Ok(CallerAccount::Anyone);
        };
        let known = key.and_then(|key| self.by_key.get(key));
        match known {
            Some(index) => Ok(CallerAccount::Account(&accounts[*index])),
            None if route.public => Ok(CallerAccount::Anyone),
            None => Err(Error::new(
                ErrorKind::Unauthorized,
                "the key is missing or not in force; ask the operators for one",
            )),
        }
    }
}

impl CallerAccount<'_> {
    /// Returns the name of the account, if there is one.
    #[must_use]
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Anyone => None,
            Self::Account(account) => Some(&account.name),
        }
    }

    /// Returns the regions in which its calls on a route may be served.
    #[must_use]
    pub fn allowed_regions(&self, route: &Route) -> AllowedRegions {
        match self {
            Self::Anyone => route.allowed_regions.clone(),
            Self::Account(account) => route.allowed_regions.intersection(&account.allowed_regions),
        }
    }

    /// Returns the priority of its calls on a route.
    #[must_use]
    pub fn priority(&self, route: &Route) -> u8 {
        match self {
            Self::Anyone => route.priority,
            Self::Account(account) => account.priority.unwrap_or(route.priority),
        }
    }
}

impl Route {
    /// Returns whether calls of this route may go to a service.
    #[must_use]
    pub fn leads_to(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        services.any(|weighted| weighted.weight > 0 && weighted.service == service)
    }

    /// Returns the service for a call, chosen by weight with a random number evenly distributed
    /// from 0 to 1.
    #[must_use]
    pub fn choose_service(&self, random: f64) -> &str {
        let total: u32 = self.services.iter().map(|weighted| weighted.weight).sum();
        let mut remaining = random * f64::from(total);
        for weighted in &self.services {
            remaining -= f64::from(weighted.weight);
            if remaining < 0.0 {
                return &weighted.service;
            }
        }
        self.services
            .last()
            .map_or("", |weighted| &weighted.service)
    }
}

/// Number of priorities of a route that are told apart within one priority of the account.
const ROUTE_PRIORITIES: u32 = 10;
/// The same for engines, which know fewer priorities.
const ROUTE_PRIORITIES_AT_ENGINES: u8 = 3;
/// Least urgent priority that engines know.
const ENGINE_PRIORITY_MAX: u8 = 9;

/// Returns the rank of a call among those that compete for engines, where 0 comes first: by the
/// priority in force, which the account may set for all its calls, then by that of the route, which
/// still tells the urgent ones of the account from the others.
#[must_use]
pub fn rank(priority: u8, route_priority: u8) -> u32 {
    let within = u32::from(route_priority).min(ROUTE_PRIORITIES - 1);
    u32::from(priority) * ROUTE_PRIORITIES + within
}

/// Returns the priority by which engines order a call of this [`rank`], as far as they can.
#[must_use]
pub fn engine_priority(priority: u8, route_priority: u8) -> u8 {
    let within = route_priority.min(ROUTE_PRIORITIES_AT_ENGINES - 1);
    let rank = priority.saturating_mul(ROUTE_PRIORITIES_AT_ENGINES);
    rank.saturating_add(within).min(ENGINE_PRIORITY_MAX)
}

/// Returns the name in a `Host` header, in lower case and without the port.
fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
