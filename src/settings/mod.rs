//! Settings of an instance, read from a file in JSON with comments and validated before use.
//!
//! | file | subject |
//! |---|---|
//! | `error` | the error for invalid settings |
//! | `load` | settings of how an instance decides under load |
//! | `routing` | settings of an instance that serves the routes of a site |

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
pub mod load;
pub mod routing;

pub use error::{SettingsError, ms};
use routing::RoutingSettings;

/// An error at a line of a settings or objects file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct FileError {
    /// Path of the file.
    pub file: String,
    /// Line number from 1, or 0 if the file cannot be read.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

/// Reads and parses a file in JSON with comments.
///
/// # Errors
/// The file cannot be read, or its content is invalid.
pub fn read_jsonc<T: DeserializeOwned>(path: &Path) -> Result<T, FileError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| FileError {
        file: file.clone(),
        line: 0,
        message: error.to_string(),
    })?;
    parse_jsonc(&file, &text)
}

/// Parses text in JSON with comments. `file` is the path shown in errors.
///
/// # Errors
/// The text is invalid.
pub fn parse_jsonc<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, FileError> {
    // Comments and trailing commas are the only extensions of JSON allowed, so that typing errors
    // are found.
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

/// Returns the line of the unknown field that an error message names.
///
/// The parser reports only the position at which the enclosing array of objects begins.
fn unknown_field_line(text: &str, message: &str) -> Option<usize> {
    let quoted_field = message.strip_prefix("unknown field `")?;
    let (field, _) = quoted_field.split_once('`')?;
    Some(line_of_field(text, field))
}

/// Settings of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, unique among all instances.
    pub instance: String,
    /// Hall of this instance. The hall must be published as an object.
    pub hall: String,
    /// IP address and port for callers. Port 0 selects a free port.
    pub caller_address: SocketAddr,
    /// IP address and port for operators.
    pub operator_address: SocketAddr,
    /// IP address and port for peers.
    pub peer_address: SocketAddr,
    /// How to reach the platform's service.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Routing settings. Present if this instance serves the routes of a site.
    #[serde(default)]
    pub routing: Option<RoutingSettings>,
    /// Name of the routing policy.
    #[serde(default = "default_policy")]
    pub policy: String,
    /// Number of worker threads. Defaults to the number of cores.
    #[serde(default)]
    pub worker_threads: Option<usize>,
    /// Intervals, timeouts and other times.
    #[serde(default)]
    pub times: Times,
    /// Limits on sizes, counts and waits.
    #[serde(default)]
    pub limits: Limits,
}

/// How to reach the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Name of the platform plug-in.
    #[serde(default = "default_platform_plugin")]
    pub plugin: String,
    /// Addresses of the platform, tried in turn.
    #[serde(default)]
    pub addresses: Vec<String>,
}

fn default_policy() -> String {
    "profile".to_owned()
}

fn default_platform_plugin() -> String {
    "http".to_owned()
}

/// Intervals, timeouts and other times, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// How long callers may cache a response of `/v1/entries`.
    pub entries_valid_ms: u64,
    /// Length of a ticket epoch. Five epochs must not be shorter than `entries_valid_ms`.
    pub ticket_epoch_ms: u64,
    /// Interval between reads of the log.
    pub config_poll_ms: u64,
    /// Interval between rounds of heartbeats.
    pub heartbeat_ms: u64,
    /// Interval between reads of the platform's instance list.
    pub list_poll_ms: u64,
    /// Interval between reads of an endpoint's load, and between reports to owners.
    pub load_poll_ms: u64,
    /// Stall timeout: a stream without events for this long is resumed on a new connection.
    pub stall_ms: u64,
    /// How long to retry an engine that stopped responding before its generation counts as lost.
    pub resume_patience_ms: u64,
    /// How long a generation is kept for a caller that has disconnected.
    pub resume_ms: u64,
    /// Default deadline of a request.
    pub deadline_ms: u64,
    /// How long a draining instance waits for streams to end before it moves them.
    pub drain_streams_ms: u64,
    /// Validity of a lease claim.
    pub lease_ms: u64,
    /// Timeout of an order to an engine.
    pub order_ms: u64,
    /// Retention time of records in the platform's log.
    pub log_retention_ms: u64,
    /// An instance that has reached neither the log nor most of its peers for this long accepts no
    /// new work.
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

/// Limits on sizes, counts and waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of the body of a caller's request, in bytes.
    pub body_max_bytes: usize,
    /// Maximum number of requests marked not repeatable that are remembered.
    pub once_requests: usize,
    /// Memory for the responses to requests marked not repeatable, in bytes.
    pub once_bytes: usize,
    /// Maximum number of requests queued for one group of endpoints.
    pub queue_length: usize,
    /// Maximum time in that queue, in milliseconds.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Names the file, line and field of the first error.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let settings: Self = read_jsonc(path)?;
        settings.validate().map_err(|error| {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            FileError {
                file: path.display().to_string(),
                line: line_of_field(&text, error.field),
                message: error.to_string(),
            }
        })?;
        Ok(settings)
    }

    /// Validates what the types of the fields do not ensure.
    ///
    /// # Errors
    /// Names the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let invalid = |field, allowed: String| Err(SettingsError { field, allowed });
        if !is_valid_name(&self.instance) {
            return invalid("instance", "a name of a-z, 0-9, '-', '_', '.'".to_owned());
        }
        if policy::build(&self.policy).is_none() {
            return invalid("policy", format!("one of {}", policy::names().join(", ")));
        }
        if let Some(routing) = &self.routing {
            routing.validate()?;
        } else if !log_service::names().contains(&self.platform.plugin.as_str()) {
            return invalid(
                "plugin",
                format!("one of {}", log_service::names().join(", ")),
            );
        }
        let times = &self.times;
        if times.ticket_epoch_ms * 5 < times.entries_valid_ms {
            return invalid(
                "ticket_epoch_ms",
                "at least a fifth of entries_valid_ms".to_owned(),
            );
        }
        if times.heartbeat_ms == 0 || times.config_poll_ms == 0 || times.load_poll_ms == 0 {
            return invalid(
                "times",
                "heartbeat_ms, config_poll_ms and load_poll_ms must be positive".to_owned(),
            );
        }
        if times.lease_ms < 4 * times.config_poll_ms {
            return invalid("lease_ms", "at least four times config_poll_ms".to_owned());
        }
        Ok(())
    }
}

/// Returns the line number, from 1, of the first occurrence of a field. Returns 1 if there is none.
#[must_use]
pub fn line_of_field(text: &str, field: &str) -> usize {
    let quoted = format!("\"{field}\"");
    text.lines()
        .position(|line| line.contains(&quoted))
        .map_or(1, |index| index + 1)
}

/// Names of all registered plug-ins by kind.
///
/// Operators see here if a registration was dropped at link time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PluginNames {
    /// Platform plug-ins.
    pub platform: Vec<&'static str>,
    /// Endpoint plug-ins.
    pub endpoint: Vec<&'static str>,
    /// Routing policies.
    pub policy: Vec<&'static str>,
    /// Plug-ins that reach a site's store.
    pub store: Vec<&'static str>,
}

/// Returns the names of all registered plug-ins.
#[must_use]
pub fn plugin_names() -> PluginNames {
    PluginNames {
        platform: log_service::names(),
        endpoint: endpoint::names(),
        policy: policy::names(),
        store: site_store::names(),
    }
}
