//! Client of the platform's service: an append-only log and a list of instances.
//!
//! Both are traits that plug-ins implement. Plug-ins register themselves with [`inventory`].
//!
//! | file | subject |
//! |---|---|
//! | `embedded` | plug-in `embedded` |
//! | `http` | plug-in `http` |

mod embedded;
mod http;

use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::kernel::membership::{Incarnation, PeerStatus};

pub use embedded::connect as embedded;

/// Log stream with the published configuration, the lease claims and the snapshots.
pub const CONFIG_STREAM: &str = "config";

/// Why a call to the platform failed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum PlatformError {
    /// The platform refused the call; it had no effect.
    #[error("platform refused: {0}")]
    Refused(String),
    /// The platform did not answer as expected; the call may have taken effect.
    #[error("platform did not answer: {0}")]
    NoAnswer(String),
}

/// Result of a call to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// A page of consecutive records of a log stream.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LogPage {
    /// Offset of the oldest record that the log retains.
    pub first_kept: u64,
    /// Offset of the next record to be appended.
    pub head: u64,
    /// Offset of the first record in `records`: the requested offset, or a higher one if records
    /// have expired.
    pub first_offset: u64,
    /// The records, in order of their offsets.
    pub records: Vec<Value>,
}

/// The append-only log.
#[async_trait]
pub trait AppendLog: Send + Sync {
    /// Appends a record and returns its offset.
    async fn append(&self, stream: &str, record: Value) -> PlatformResult<u64>;
    /// Reads a page of records from an offset.
    async fn read(&self, stream: &str, from_offset: u64) -> PlatformResult<LogPage>;
}

/// An entry of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Incarnation of the instance or endpoint.
    pub incarnation: Incarnation,
    /// Whether the instance or endpoint is leaving.
    pub leaving: bool,
    /// Peer status. Present for larkwick instances only.
    #[serde(default)]
    pub status: Option<PeerStatus>,
}

/// The platform's instance list, which lags behind the actual state.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Returns the live and leaving instances.
    async fn list(&self) -> PlatformResult<Vec<ListedInstance>>;
    /// Announces this instance to the platform.
    async fn announce(&self, instance: &ListedInstance) -> PlatformResult<()>;
}

/// A connection to the platform.
#[derive(Clone)]
pub struct Platform {
    /// Client of the append-only log.
    pub log: Arc<dyn AppendLog>,
    /// Client of the instance list.
    pub instances: Arc<dyn InstanceList>,
}

/// A registered platform plug-in.
pub struct PlatformPlugin {
    /// Name by which the settings refer to the plug-in.
    pub name: &'static str,
    /// Connects to the platform at the addresses in the settings.
    pub connect: fn(addresses: &[String]) -> anyhow::Result<Platform>,
}

inventory::collect!(PlatformPlugin);

/// Returns the names of the registered plug-ins in sorted order.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<PlatformPlugin>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}

/// Connects to the platform with the plug-in of the given name.
///
/// # Errors
/// The plug-in is unknown or cannot use the addresses.
pub fn connect(plugin: &str, addresses: &[String]) -> anyhow::Result<Platform> {
    let plugin_entry = inventory::iter::<PlatformPlugin>().find(|entry| entry.name == plugin);
    let Some(plugin_entry) = plugin_entry else {
        anyhow::bail!(
            "unknown platform plug-in {plugin:?}; known: {}",
            names().join(", ")
        );
    };
    (plugin_entry.connect)(addresses)
}
