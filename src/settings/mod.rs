//! Settings of an instance: a file in JSON with comments, checked before use.

use std::net::SocketAddr;
use std::path::Path;

use jsonc_parser::ParseOptions;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::gateway::site_store;
use crate::kernel::object::is_valid_name;
use crate::{endpoint, kernel::policy, log_service};

pub mod error;
pub mod routing;

pub use error::{SettingsError, ms};
use routing::RoutingSettings;

/// A place in a file and what is wrong there.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct FileError {
    /// The file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// The field and what is allowed.
    pub message: String,
}

/// Reads a value from JSON with comments.
///
/// # Errors
/// The file cannot be read, or a place in it is wrong.
pub fn read_jsonc<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| FileError {
        file: file.clone(),
        line: 0,
        message: error.to_string(),
    })?;
    parse_jsonc(&file, &text)
}

/// Reads a value from the text of a file.
///
/// # Errors
/// A place in the text is wrong.
pub fn parse_jsonc<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, FileError> {
    // JSON with comments and trailing commas; nothing looser, so that a slip of the pen is found.
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_extended_string_escapes: false,
        allow_non_finite_numbers: false,
    };
    jsonc_parser::parse_to_serde_value(text, &options).map_err(|error| {
        let message = error.kind().to_string();
        FileError {
            file: file.to_owned(),
            line: unknown_field_line(text, &message).unwrap_or(error.line_display()),
            message,
        }
    })
}

/// The line of a field that is unknown. The library gives only where the object's list begins.
fn unknown_field_line(text: &str, message: &str) -> Option<usize> {
    let rest = message.strip_prefix("unknown field `")?;
    let (field, _) = rest.split_once('`')?;
    Some(line_of_field(text, field))
}

/// Settings of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, unique among instances.
    pub instance: String,
    /// Hall it stands in; published as an object.
    pub hall: String,
    /// IP address and port for callers. Port 0 takes a free one.
    pub caller_address: SocketAddr,
    /// IP address and port for operators.
    pub operator_address: SocketAddr,
    /// IP address and port for peers.
    pub peer_address: SocketAddr,
    /// The platform's service.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Present where this instance serves the routes of a site.
    #[serde(default)]
    pub routing: Option<RoutingSettings>,
    /// Routing policy.
    #[serde(default = "default_policy")]
    pub policy: String,
    /// Threads that serve. As many as cores where absent.
    #[serde(default)]
    pub worker_threads: Option<usize>,
    /// Times.
    #[serde(default)]
    pub times: Times,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
}

/// How to reach the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Plug-in.
    #[serde(default = "default_platform_plugin")]
    pub plugin: String,
    /// Addresses, tried in turn.
    #[serde(default)]
    pub addresses: Vec<String>,
}

fn default_policy() -> String {
    "profile".to_owned()
}

fn default_platform_plugin() -> String {
    "http".to_owned()
}

/// Times, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// How long callers may keep an answer of `/v1/entries`.
    pub entries_valid_ms: u64,
    /// Length of a ticket epoch. Five epochs must exceed `entries_valid_ms`.
    pub ticket_epoch_ms: u64,
    /// Between reads of the log.
    pub config_poll_ms: u64,
    /// Between rounds of heartbeats.
    pub heartbeat_ms: u64,
    /// Between reads of the platform's list.
    pub list_poll_ms: u64,
    /// Between reads of an endpoint's load, and between reports to owners.
    pub load_poll_ms: u64,
    /// A stream that is silent for this long is resumed on a new connection.
    pub stall_ms: u64,
    /// How long an engine that went silent is tried before the generation counts as lost.
    pub resume_patience_ms: u64,
    /// How long a generation is kept for a caller that went away.
    pub resume_ms: u64,
    /// Deadline of requests that name none.
    pub deadline_ms: u64,
    /// How long a draining instance lets streams end before it moves them.
    pub drain_streams_ms: u64,
    /// How long a lease claim holds.
    pub lease_ms: u64,
    /// How long an order may take.
    pub order_ms: u64,
    /// How long the platform's log keeps records.
    pub log_retention_ms: u64,
    /// Without log and most peers for this long, an instance takes no new work.
    pub stand_down_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            entries_valid_ms: 30_000,
            ticket_epoch_ms: 60_000,
            config_poll_ms: 500,
            heartbeat_ms: 500,
            list_poll_ms: 1_000,
            load_poll_ms: 500,
            stall_ms: 3_000,
            resume_patience_ms: 5_000,
            resume_ms: 15_000,
            deadline_ms: 30_000,
            drain_streams_ms: 30_000,
            lease_ms: 10_000,
            order_ms: 3_000,
            log_retention_ms: 24 * 3600 * 1000,
            stand_down_ms: 4_000,
        }
    }
}

/// Limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body of a caller's request.
    pub body_max_bytes: usize,
    /// Requests marked not repeatable that are remembered.
    pub once_requests: usize,
    /// Memory for their answers.
    pub once_bytes: usize,
    /// Requests that wait for one group of endpoints.
    pub queue_length: usize,
    /// Longest wait there.
    pub queue_wait_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_max_bytes: 1 << 20,
            once_requests: 50_000,
            once_bytes: 32 << 20,
            queue_length: 256,
            queue_wait_ms: 5_000,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// File, line and field of the first fault.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let settings: Self = read_jsonc(path)?;
        settings.validate().map_err(|fault| {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            FileError {
                file: path.display().to_string(),
                line: line_of_field(&text, fault.field),
                message: fault.to_string(),
            }
        })?;
        Ok(settings)
    }

    /// Checks that need more than the types.
    ///
    /// # Errors
    /// The first field at fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fault = |field, allowed: String| Err(SettingsError { field, allowed });
        if !is_valid_name(&self.instance) {
            return fault("instance", "a name of a-z, 0-9, '-', '_', '.'".to_owned());
        }
        if policy::build(&self.policy).is_none() {
            return fault("policy", format!("one of {}", policy::names().join(", ")));
        }
        if let Some(routing) = &self.routing {
            routing.validate()?;
        } else if !log_service::names().contains(&self.platform.plugin.as_str()) {
            return fault(
                "plugin",
                format!("one of {}", log_service::names().join(", ")),
            );
        }
        let times = &self.times;
        if times.ticket_epoch_ms * 5 < times.entries_valid_ms {
            return fault(
                "ticket_epoch_ms",
                "a fifth of entries_valid_ms or more".to_owned(),
            );
        }
        if times.heartbeat_ms == 0 || times.config_poll_ms == 0 || times.load_poll_ms == 0 {
            return fault(
                "times",
                "heartbeat_ms, config_poll_ms and load_poll_ms must be positive".to_owned(),
            );
        }
        if times.lease_ms < 4 * times.config_poll_ms {
            return fault("lease_ms", "four times config_poll_ms or more".to_owned());
        }
        Ok(())
    }
}

/// Line on which a field first stands, from 1; 1 where it does not.
#[must_use]
pub fn line_of_field(text: &str, field: &str) -> usize {
    let quoted = format!("\"{field}\"");
    text.lines()
        .position(|line| line.contains(&quoted))
        .map_or(1, |index| index + 1)
}

/// Names of all registered plug-ins, by kind: a registration that was dropped at link time shows here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PluginNames {
    /// Platform plug-ins.
    pub platform: Vec<&'static str>,
    /// Endpoint plug-ins.
    pub endpoint: Vec<&'static str>,
    /// Routing policies.
    pub policy: Vec<&'static str>,
    /// Ways to reach a site's store.
    pub store: Vec<&'static str>,
}

/// Lists the registered plug-ins.
#[must_use]
pub fn plugin_names() -> PluginNames {
    PluginNames {
        platform: log_service::names(),
        endpoint: endpoint::names(),
        policy: policy::names(),
        store: site_store::names(),
    }
}
