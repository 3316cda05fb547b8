//! The platform's service as larkwick sees it: an append-only log and a list of instances, behind traits with plug-ins.

mod embedded;
mod http;

use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::kernel::membership::{Incarnation, PeerStatus};

pub use embedded::connect as embedded;

/// Stream that carries the published configuration, the lease claims and the snapshots.
pub const CONFIG_STREAM: &str = "config";

/// A call to the platform that did not succeed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum PlatformError {
    /// Refused before any effect.
    #[error("platform refused: {0}")]
    Refused(String),
    /// No answer: the call may have taken effect.
    #[error("platform did not answer: {0}")]
    NoAnswer(String),
}

/// Result of a call to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// Consecutive records of a stream.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LogPage {
    /// First offset that the log still keeps.
    pub first_kept: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Offset of the first record below. At least the offset asked for; above it where records have expired.
    pub first_offset: u64,
    /// Records.
    pub records: Vec<Value>,
}

/// The append-only log.
#[async_trait]
pub trait AppendLog: Send + Sync {
    /// Appends a record and gives its offset.
    async fn append(&self, stream: &str, record: Value) -> PlatformResult<u64>;
    /// Reads records from an offset on.
    async fn read(&self, stream: &str, from_offset: u64) -> PlatformResult<LogPage>;
}

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Instance or endpoint, and its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Present for instances of larkwick.
    #[serde(default)]
    pub status: Option<PeerStatus>,
}

/// The lagging list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Live and leaving instances.
    async fn list(&self) -> PlatformResult<Vec<ListedInstance>>;
    /// Tells the platform about this instance.
    async fn announce(&self, instance: &ListedInstance) -> PlatformResult<()>;
}

/// A connection to the platform.
#[derive(Clone)]
pub struct Platform {
    /// The log.
    pub log: Arc<dyn AppendLog>,
    /// The list.
    pub instances: Arc<dyn InstanceList>,
}

/// A registered platform plug-in.
pub struct PlatformPlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Connects, given the addresses of the settings.
    pub connect: fn(addresses: &[String]) -> anyhow::Result<Platform>,
}

inventory::collect!(PlatformPlugin);

/// Names of the registered plug-ins, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<PlatformPlugin>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}

/// Connects by plug-in name.
///
/// # Errors
/// The name is unknown, or the addresses do not suit the plug-in.
pub fn connect(plugin: &str, addresses: &[String]) -> anyhow::Result<Platform> {
    let found = inventory::iter::<PlatformPlugin>().find(|known| known.name == plugin);
    let Some(found) = found else {
        anyhow::bail!(
            "unknown platform plug-in {plugin:?}; known: {}",
            names().join(", ")
        );
    };
    (found.connect)(addresses)
}
