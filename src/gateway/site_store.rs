//! What the platform's store holds for a site: the configuration, the list of endpoints and the members. Plug-ins reach it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::kernel::clock::millis;
use crate::kernel::content::ContentId;
use crate::kernel::evacuation::{EvacuatedHalls, HallOrder};
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::position::Position;
use crate::kernel::roles::{self, default_link_mbps};
use crate::kernel::route::RouteConfig;
use crate::kernel::suspects::Told;

/// A subject that is kept and followed on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Subject {
    /// The operator's configuration.
    Configuration,
    /// The endpoints' own entries.
    Endpoints,
    /// The members' own entries.
    Members,
}

impl Subject {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Members => "members",
        }
    }
}

/// What an instance writes about itself when it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the instance.
    pub name: String,
    /// New at each start.
    pub incarnation: uuid::Uuid,
    /// Its hall.
    pub hall: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Processor share, in cores.
    pub processor_cores: f64,
    /// Speed of its link.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
}

impl MemberEntry {
    /// What it can carry against others, in cores.
    #[must_use]
    pub fn capacity_cores(&self) -> f64 {
        roles::capacity_cores(self.processor_cores, self.link_mbps)
    }
}

/// A content that endpoints ended under, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspect {
    /// What was known of it.
    #[serde(rename = "told")]
    report: Told,
    /// When, in milliseconds since 1970.
    at_unix_ms: u64,
}

impl StoredSuspect {
    /// What is known of a content at this time of day.
    #[must_use]
    pub fn new(report: Told, unix_time: Duration) -> Self {
        Self {
            report,
            at_unix_ms: millis(unix_time),
        }
    }

    /// The content.
    #[must_use]
    pub fn fingerprint(&self) -> ContentId {
        self.report.content
    }

    /// The same, as it is told at this time of day.
    #[must_use]
    pub fn report_at(&self, unix_time: Duration) -> Told {
        let stored_for = unix_time.saturating_sub(Duration::from_millis(self.at_unix_ms));
        Told {
            last_end_ago: self.report.last_end_ago.saturating_add(stored_for),
            ..self.report.clone()
        }
    }
}

/// A record of the store, decoded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SiteRecord {
    /// The configuration in full.
    Configuration(RouteConfig),
    /// An order to empty a hall or take it back.
    HallOrder(HallOrder),
    /// All halls that are evacuated.
    EvacuatedHalls(EvacuatedHalls),
    /// An endpoint's entry.
    Endpoint(EndpointEntry),
    /// The entry under a listed id is gone.
    EndpointGone(String),
    /// A member's entry.
    Member(MemberEntry),
    /// A content that endpoints ended under.
    Suspect(StoredSuspect),
    /// A content is kept no more.
    SuspectGone(ContentId),
    /// A record that cannot be read.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
}

/// Consecutive records, or the newest of each key.
#[derive(Debug, Clone, PartialEq)]
pub struct SitePage {
    /// The records.
    pub records: Vec<SiteRecord>,
    /// Place from which to read on.
    pub next: Position,
}

/// A call to the store that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused: {0}")]
    Refused(String),
    /// No whole answer: a write may have been done, or may be done later.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// Records from the offset asked for are no longer kept.
    #[error("records before offset {first_offset} are no longer kept")]
    Expired {
        /// The first offset that is kept.
        first_offset: u64,
    },
    /// The store has come back from an older copy since: the records under the offset asked for are others.
    #[error("the store came back from an older copy; its era is {era} now")]
    EraChanged {
        /// The era now.
        era: u64,
    },
    /// An answer that cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// The store, as an instance uses it.
#[async_trait]
pub trait SiteStore: Send + Sync {
    /// The newest record of each key.
    async fn read_latest(&self, subject: Subject) -> StoreResult<SitePage>;
    /// Records from a place on; waits up to `wait` for the first one.
    async fn read(&self, subject: Subject, from: Position, wait: Duration)
    -> StoreResult<SitePage>;
    /// Writes this instance's own entry.
    async fn announce(&self, member: &MemberEntry) -> StoreResult<()>;
    /// Keeps a content that endpoints ended under, in place of what was kept of it.
    async fn store_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()>;
    /// Drops what is kept of a content.
    async fn delete_suspect(&self, fingerprint: ContentId) -> StoreResult<()>;
}

/// A registered way to reach a store.
pub struct SiteStorePlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Connects to an address.
    pub connect: fn(address: SocketAddr) -> anyhow::Result<Arc<dyn SiteStore>>,
}

inventory::collect!(SiteStorePlugin);

/// Names of the registered plug-ins, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let plugins = inventory::iter::<SiteStorePlugin>();
    let mut names: Vec<_> = plugins.map(|plugin| plugin.name).collect();
    names.sort_unstable();
    names
}

/// Connects by plug-in name.
///
/// # Errors
/// The name is unknown, or the client cannot be built.
pub fn connect(plugin: &str, address: SocketAddr) -> anyhow::Result<Arc<dyn SiteStore>> {
    let mut plugins = inventory::iter::<SiteStorePlugin>();
    let Some(found) = plugins.find(|known| known.name == plugin) else {
        anyhow::bail!(
            "unknown store plug-in {plugin:?}; known: {}",
            names().join(", ")
        );
    };
    (found.connect)(address)
}
