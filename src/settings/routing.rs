//! Settings of an instance that serves the routes of a site.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::error::{SettingsError, ms};
use super::load::LoadSettings;
use crate::gateway::site_store;
use crate::kernel::freshness::Freshness;
use crate::kernel::roles::default_link_mbps;

/// Settings of an instance that serves the routes of a site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// IP address and port where the platform checks whether this instance is ready for callers.
    pub ready_address: SocketAddr,
    /// IP address and port of the directory, where callers look up the addresses to connect to.
    pub directory_address: SocketAddr,
    /// Name of the plug-in that reaches the store.
    #[serde(default = "default_store_plugin")]
    pub store_plugin: String,
    /// IP address and port of the store.
    pub store_address: SocketAddr,
    /// Peer addresses of a few members, used to join the site if the store is down at start. Some
    /// of them may no longer exist.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Address announced to peers, if it differs from `peer_address` because a forwarder stands in
    /// front of this instance.
    #[serde(default)]
    pub peer_address_told: Option<SocketAddr>,
    /// Addresses under which this instance reaches endpoints, by their listed address, where a
    /// forwarder stands between them. Endpoints that are not named are reached as listed.
    #[serde(default)]
    pub endpoint_forwarders: BTreeMap<SocketAddr, SocketAddr>,
    /// Processor share of this instance, in cores.
    pub processor_cores: f64,
    /// Network bandwidth of this instance, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory of this instance in megabytes. It decides how much is held for callers that send or
    /// read slowly.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Region of each hall, by the name of the hall. Calls that may be served in some regions only
    /// are not sent to halls whose region is not given.
    #[serde(default)]
    pub hall_regions: BTreeMap<String, String>,
    /// Largest share of a service's requests that a new version may get before it is accepted.
    #[serde(default = "default_canary_share")]
    pub canary_share: f64,
    /// Requests that a new version may get in addition to `canary_share`, in total over all
    /// instances.
    #[serde(default = "default_canary_slack")]
    pub canary_slack: f64,
    /// How long callers may cache a response of the directory, in milliseconds.
    pub directory_valid_ms: u64,
    /// Time in seconds after a request to stop at which the process is killed.
    pub stop_within_s: f64,
    /// Retry budget of the site, as a fraction of its requests.
    pub retry_share: f64,
    /// Retries that the site allows in addition to `retry_share`, in total over all instances.
    pub retry_slack: f64,
    /// Time window in seconds over which retries are counted. An instance does not use
    /// `retry_slack` for this long after its start.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Maximum time in milliseconds until a change of the configuration or of the endpoints must be
    /// in force at every instance.
    #[serde(default = "default_change_within_ms")]
    pub change_within_ms: f64,
    /// Maximum time in milliseconds for which a call is held that arrives before the configuration
    /// and the endpoints are known.
    #[serde(default = "default_hold_max_ms")]
    pub hold_max_ms: u64,
    /// How the instance decides when load exceeds the engines or is uneven.
    #[serde(default)]
    pub load: LoadSettings,
}

/// The memory of the users' smaller instances.
fn default_memory_mb() -> f64 {
    110.0
}

/// Part of the memory that is held for callers and endpoints. The lists of a large site take half.
const HELD_MEMORY_SHARE: f64 = 0.25;
const BYTES_PER_MB: f64 = 1e6;

/// The share that users allow.
fn default_canary_share() -> f64 {
    0.1
}

/// The number of requests that users allow.
fn default_canary_slack() -> f64 {
    50.0
}

/// The window over which users count retries.
fn default_retry_window_s() -> f64 {
    10.0
}

/// The shortest time that users require.
fn default_change_within_ms() -> f64 {
    2_000.0
}

/// Just below 2 s, after which callers abandon a generation that has not started.
fn default_hold_max_ms() -> u64 {
    1_900
}

fn default_store_plugin() -> String {
    "keyed_log".to_owned()
}

impl RoutingSettings {
    /// Validates what the types of the fields do not ensure.
    ///
    /// # Errors
    /// Names the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |field, allowed: &str| {
            Err(SettingsError {
                field,
                allowed: allowed.to_owned(),
            })
        };
        if !site_store::names().contains(&self.store_plugin.as_str()) {
            let allowed = format!("one of {}", site_store::names().join(", "));
            return invalid("store_plugin", &allowed);
        }
        if !(self.processor_cores > 0.0 && self.processor_cores.is_finite()) {
            return invalid("processor_cores", "a positive number");
        }
        if !(self.link_mbps > 0.0 && self.link_mbps.is_finite()) {
            return invalid("link_mbps", "a positive number");
        }
        if !(1.0..=1e9).contains(&self.memory_mb) {
            return invalid("memory_mb", "a number from 1 to 1000000000");
        }
        if !(0.0..=1.0).contains(&self.canary_share) {
            return invalid("canary_share", "a number from 0 to 1");
        }
        if !(self.canary_slack >= 0.0 && self.canary_slack.is_finite()) {
            return invalid("canary_slack", "a number that is not negative");
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return invalid("retry_share", "a number from 0 to 1");
        }
        if !(self.retry_slack >= 0.0 && self.retry_slack.is_finite()) {
            return invalid("retry_slack", "a number that is not negative");
        }
        if !(0.0..=3_600.0).contains(&self.retry_window_s) {
            return invalid("retry_window_s", "a number from 0 to 3600");
        }
        if !(500.0..=3_600_000.0).contains(&self.change_within_ms) {
            return invalid("change_within_ms", "a number from 500 to 3600000");
        }
        if !(1.0..=3_600.0).contains(&self.stop_within_s) {
            return invalid("stop_within_s", "a number from 1 to 3600");
        }
        self.load.validate()
    }

    /// Returns the time after a request to stop at which the process is killed.
    #[must_use]
    pub fn stop_within(&self) -> Duration {
        Duration::from_secs_f64(self.stop_within_s)
    }

    /// Returns the time window over which retries are counted.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }

    /// Returns the maximum number of bytes held for callers and endpoints.
    #[must_use]
    pub fn held_max_bytes(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "positive, and validated to be far below the maximum"
        )]
        let bytes = (self.memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE) as usize;
        bytes
    }

    /// Returns how up to date the state known to the instances must be.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        Freshness::new(Duration::from_secs_f64(self.change_within_ms / 1_000.0))
    }

    /// Returns the maximum time for which a call is held that arrives before the configuration and
    /// the endpoints are known.
    #[must_use]
    pub fn hold_max(&self) -> Duration {
        ms(self.hold_max_ms)
    }

    /// Returns how long callers may cache a response of the directory.
    #[must_use]
    pub fn directory_valid(&self) -> Duration {
        ms(self.directory_valid_ms)
    }
}
