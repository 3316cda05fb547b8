//! Routes: which service a call goes to, by host and longest path prefix, and which client account may make it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::cold_start::ColdStart;
use crate::error::{Error, ErrorKind, Result};

/// Rank of a call where neither its route nor its client account sets one.
pub const DEFAULT_PRIORITY: u8 = 5;

/// What may be done with a call whose first attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// Runs at most once and answers with a stream of events.
    Generation,
}

/// A route of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique among routes.
    pub name: String,
    /// Host name, in lower case and without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Services and their weights; never empty, weights positive.
    pub services: Vec<WeightedService>,
    /// Servers that one call may run on.
    pub attempts_max: u32,
    /// The longest that a call may be held.
    pub timeout: Duration,
    /// Time within which an answer is worth most; for a generation, until its first event.
    pub goal: Duration,
    /// Longest pause between events that callers accept without complaint.
    pub pause_max: Option<Duration>,
    /// 0 is served first.
    pub priority: u8,
    /// Whether it may be called without a key.
    pub public: bool,
    /// Whether a caller may come back with the id of the last event it read.
    pub resumable: bool,
}

/// One of the services of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the calls, against the sum of all weights.
    pub weight: u32,
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that each of its endpoints accepts from all instances together.
    pub connections_max: u32,
    /// What its endpoints bear after a start; nothing where that is not said.
    #[serde(default)]
    pub cold_start: Option<ColdStart>,
    /// Present where its endpoints are model engines.
    pub engine: Option<EngineShape>,
}

/// The size and abilities of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineShape {
    /// Generations decoded at once.
    pub slots: u32,
    /// Memory shared by running generations and cached prompts, in tokens.
    pub memory_tokens: u32,
    /// Bytes that one token takes in memory, and so on a link.
    pub token_bytes: u64,
    /// Speed of an engine's link for moved memory.
    pub link_mbps: f64,
    /// Whether running generations can be moved.
    pub moves: bool,
    /// Tokens in one event.
    pub event_tokens: u32,
    /// How long an unused copy is kept.
    pub copy_kept: Duration,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallLimits {
    /// Largest head of a request.
    pub head_max_bytes: usize,
    /// Largest body of a request.
    pub body_max_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest time that a connection may be at rest.
    pub idle_timeout: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        // Used only before a configuration is known; the figures are those of the first sites.
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
    /// Name.
    pub name: String,
    /// Keys in force.
    pub keys: Vec<String>,
    /// Goes before the priority of the route.
    pub priority: Option<u8>,
}

/// A configuration of routes, as one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Rises with every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits.
    pub limits: CallLimits,
    /// Client accounts; absent where calls need no key.
    pub accounts: Option<Vec<KeyedAccount>>,
}

/// A configuration with its indexes.
#[derive(Debug)]
pub struct RouteTable {
    config: RouteConfig,
    /// Indexes into the routes, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Index into the accounts.
    by_key: HashMap<String, usize>,
}

/// Who makes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAccount<'a> {
    /// The configuration asks for no key here.
    Anyone,
    /// The owner of the key.
    Account(&'a KeyedAccount),
}

impl RouteTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: RouteConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            let length = |index: &usize| config.routes[*index].path_prefix.len();
            indexes.sort_by_key(|index| std::cmp::Reverse(length(index)));
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

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &RouteConfig {
        &self.config
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.config.services.get(name)
    }

    /// The route of a host whose prefix is the longest that begins the path.
    ///
    /// # Errors
    /// No route fits.
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

    /// Who may call a route with a key.
    ///
    /// # Errors
    /// The route needs a key that is in force.
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
    /// Name of the account, if there is one.
    #[must_use]
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Anyone => None,
            Self::Account(account) => Some(&account.name),
        }
    }

    /// The rank of its calls on a route.
    #[must_use]
    pub fn priority(&self, route: &Route) -> u8 {
        match self {
            Self::Anyone => route.priority,
            Self::Account(account) => account.priority.unwrap_or(route.priority),
        }
    }
}

impl Route {
    /// The service for a call, by a number drawn evenly from 0 to 1.
    #[must_use]
    pub fn choose_service(&self, drawn: f64) -> &str {
        let total: u32 = self.services.iter().map(|one| one.weight).sum();
        let mut left = drawn * f64::from(total);
        for one in &self.services {
            left -= f64::from(one.weight);
            if left < 0.0 {
                return &one.service;
            }
        }
        self.services.last().map_or("", |one| &one.service)
    }
}

/// A host header's name, in lower case and without the port.
fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
