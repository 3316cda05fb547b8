//! What the settings file says of routing.

use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::error::{SettingsError, ms};
use crate::gateway::site_store;
use crate::kernel::freshness::Freshness;
use crate::kernel::roles::default_link_mbps;

/// Settings of an instance that serves the routes of a site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RoutingSettings {
    /// Where the platform asks whether this instance takes callers.
    pub ready_address: SocketAddr,
    /// Where callers ask which addresses to use.
    pub directory_address: SocketAddr,
    /// Plug-in that reaches the store.
    #[serde(default = "default_store_plugin")]
    pub store_plugin: String,
    /// The store.
    pub store_address: SocketAddr,
    /// Peer addresses of a few members, which may be gone: the way in for a start while the store is down.
    #[serde(default)]
    pub seed_addresses: Vec<SocketAddr>,
    /// Where peers connect, if that is not `peer_address`: a forwarder stands before this instance.
    #[serde(default)]
    pub peer_address_told: Option<SocketAddr>,
    /// Processor share of this instance, in cores.
    pub processor_cores: f64,
    /// Speed of this instance's link.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// How long callers may keep the answer of the directory.
    pub directory_valid_ms: u64,
    /// After a request to stop, the process is killed at this time.
    pub stop_within_s: f64,
    /// Repeats that the site allows, as a share of the requests.
    pub retry_share: f64,
    /// Repeats that the site allows on top of that, in all instances together.
    pub retry_slack: f64,
    /// The span that repeats are counted over: an instance that has started leaves what is allowed on top alone for so long.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Within this time a change of the configuration or of the endpoints has to be in force at every instance.
    #[serde(default = "default_change_within_ms")]
    pub change_within_ms: f64,
    /// Longest time that a call is held which comes before configuration and endpoints are known.
    #[serde(default = "default_hold_max_ms")]
    pub hold_max_ms: u64,
}

/// The span that the users count over.
fn default_retry_window_s() -> f64 {
    10.0
}

/// The shortest time that users have asked for.
fn default_change_within_ms() -> f64 {
    2_000.0
}

/// Just below the two seconds after which callers leave a generation that has not begun.
fn default_hold_max_ms() -> u64 {
    1_900
}

fn default_store_plugin() -> String {
    "keyed_log".to_owned()
}

impl RoutingSettings {
    /// Checks that need more than the types.
    ///
    /// # Errors
    /// The first field at fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fault = |field, allowed: &str| {
            Err(SettingsError {
                field,
                allowed: allowed.to_owned(),
            })
        };
        if !site_store::names().contains(&self.store_plugin.as_str()) {
            let known = format!("one of {}", site_store::names().join(", "));
            return fault("store_plugin", &known);
        }
        if !(self.processor_cores > 0.0 && self.processor_cores.is_finite()) {
            return fault("processor_cores", "a positive number");
        }
        if !(self.link_mbps > 0.0 && self.link_mbps.is_finite()) {
            return fault("link_mbps", "a positive number");
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return fault("retry_share", "a number from 0 to 1");
        }
        if !(self.retry_slack >= 0.0 && self.retry_slack.is_finite()) {
            return fault("retry_slack", "a number that is not negative");
        }
        if !(0.0..=3_600.0).contains(&self.retry_window_s) {
            return fault("retry_window_s", "a number from 0 to 3600");
        }
        if !(500.0..=3_600_000.0).contains(&self.change_within_ms) {
            return fault("change_within_ms", "a number from 500 to 3600000");
        }
        if !(1.0..=3_600.0).contains(&self.stop_within_s) {
            return fault("stop_within_s", "a number from 1 to 3600");
        }
        Ok(())
    }

    /// After a request to stop, the process is killed at this time.
    #[must_use]
    pub fn stop_within(&self) -> Duration {
        Duration::from_secs_f64(self.stop_within_s)
    }

    /// The span that repeats are counted over.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.retry_window_s)
    }

    /// How fresh what the instances know must be.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        Freshness::new(Duration::from_secs_f64(self.change_within_ms / 1_000.0))
    }

    /// Longest time that a call is held which comes before configuration and endpoints are known.
    #[must_use]
    pub fn hold_max(&self) -> Duration {
        ms(self.hold_max_ms)
    }

    /// How long callers may keep the answer of the directory.
    #[must_use]
    pub fn directory_valid(&self) -> Duration {
        ms(self.directory_valid_ms)
    }
}
