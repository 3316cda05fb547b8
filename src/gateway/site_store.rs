//! Interface to the platform's store of a site, which holds the configuration, the list of
//! endpoints and the members. Clients of the store are plug-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::SuspectReport;
use crate::kernel::evacuation::{EvacuatedHalls, HallOrder};
use crate::kernel::fingerprint::Fingerprint;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::position::Position;
use crate::kernel::roles::{self, default_link_mbps};
use crate::kernel::rollout::RolloutStatus;
use crate::kernel::rollout_orders::{RolloutOrderChange, RolloutOrders};
use crate::kernel::route::RouteConfig;

/// A group of records that is cached and followed independently of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Subject {
    /// The operator's configuration.
    Configuration,
    /// The entries that endpoints write about themselves.
    Endpoints,
    /// The entries that members write about themselves.
    Members,
}

impl Subject {
    /// Returns the name used in logs and in requests to peers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Members => "members",
        }
    }
}

/// The entry that an instance writes about itself when it starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the instance.
    pub name: String,
    /// Identifies the incarnation; new at each start.
    pub incarnation: uuid::Uuid,
    /// Hall of the instance.
    pub hall: String,
    /// Address on which it accepts callers.
    pub caller_address: SocketAddr,
    /// Address on which it accepts peers.
    pub peer_address: SocketAddr,
    /// Processor share, in cores.
    pub processor_cores: f64,
    /// Speed of its network link, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
}

impl MemberEntry {
    /// Returns its capacity relative to other members, in cores.
    #[must_use]
    pub fn capacity_cores(&self) -> f64 {
        roles::capacity_cores(self.processor_cores, self.link_mbps)
    }
}

/// A fingerprint suspected of crashing endpoints, as recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspect {
    /// The report at the time of writing.
    #[serde(rename = "told")]
    report: SuspectReport,
    /// Time of writing, in milliseconds since the Unix epoch.
    at_unix_ms: u64,
}

impl StoredSuspect {
    /// Creates the record of a report at this Unix time.
    #[must_use]
    pub fn new(report: SuspectReport, unix_time: Duration) -> Self {
        Self {
            report,
            at_unix_ms: millis(unix_time),
        }
    }

    /// Returns the fingerprint of the suspect.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        self.report.fingerprint
    }

    /// Returns the report with the age of its last crash adjusted to this Unix time.
    #[must_use]
    pub fn report_at(&self, unix_time: Duration) -> SuspectReport {
        let stored_for = unix_time.saturating_sub(Duration::from_millis(self.at_unix_ms));
        SuspectReport {
            last_crash_age: self.report.last_crash_age.saturating_add(stored_for),
            ..self.report.clone()
        }
    }
}

/// A decoded record of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SiteRecord {
    /// The complete configuration.
    Configuration(RouteConfig),
    /// An order to evacuate a hall or to restore it.
    HallOrder(HallOrder),
    /// All evacuated halls.
    EvacuatedHalls(EvacuatedHalls),
    /// A change of a roll-out order.
    RolloutChange(RolloutOrderChange),
    /// All roll-out orders.
    RolloutOrders(RolloutOrders),
    /// The recorded state of a roll-out.
    RolloutStatus(RolloutStatus),
    /// The entry of an endpoint.
    Endpoint(EndpointEntry),
    /// The entry of a listed id was deleted.
    EndpointGone(String),
    /// The entry of a member.
    Member(MemberEntry),
    /// A fingerprint suspected of crashing endpoints.
    Suspect(StoredSuspect),
    /// The record of a suspect was deleted.
    SuspectGone(Fingerprint),
    /// A record that could not be decoded.
    Unreadable {
        /// Its key.
        key: String,
        /// Reason why decoding failed.
        why: String,
    },
}

/// Consecutive records, or the latest record of each key.
#[derive(Debug, Clone, PartialEq)]
pub struct SitePage {
    /// The records.
    pub records: Vec<SiteRecord>,
    /// Position at which the next read continues.
    pub next: Position,
}

/// Some of a subject's records, or all of them if there are few.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteSample {
    /// The records, and the position after them if they are complete.
    pub page: SitePage,
    /// Whether these are the latest records of all keys.
    pub is_complete: bool,
}

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store rejected the call without any effect.
    #[error("the store rejected the call: {0}")]
    Refused(String),
    /// No complete response was received. A write may have been applied, or may be applied later.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The instance that was asked is sending as much as its link carries; others may answer.
    #[error("the instance is busy with other transfers")]
    Busy,
    /// Records at the requested offset are no longer retained.
    #[error("records before offset {first_offset} are no longer retained")]
    Expired {
        /// The first retained offset.
        first_offset: u64,
    },
    /// The store was restored from an older copy; the requested offset now refers to other records.
    #[error("the store was restored from an older copy; its era is now {era}")]
    EraChanged {
        /// The current era.
        era: u64,
    },
    /// A conditional write was not applied because others came before it.
    #[error("the log has grown since it was read")]
    Conflict,
    /// The response could not be decoded.
    #[error("could not decode the store's response: {0}")]
    Malformed(String),
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;

/// Operations of the store that an instance uses.
#[async_trait]
pub trait SiteStore: Send + Sync {
    /// Reads the latest record of each key.
    async fn read_latest(&self, subject: Subject) -> StoreResult<SitePage>;
    /// Reads a bounded number of a subject's records, the same ones for all instances that start
    /// together.
    async fn read_sample(&self, subject: Subject) -> StoreResult<SiteSample>;
    /// Reads records from a position on; waits up to `wait` for the first one.
    async fn read(&self, subject: Subject, from: Position, wait: Duration)
    -> StoreResult<SitePage>;
    /// Writes the entry of this instance.
    async fn announce(&self, member: &MemberEntry) -> StoreResult<()>;
    /// Writes the status of a roll-out if nothing was written to the members' log since the position
    /// `at`; returns whether it did.
    async fn write_rollout_status(&self, status: &RolloutStatus, at: Position)
    -> StoreResult<bool>;
    /// Writes the record of a suspect, replacing an earlier one.
    async fn store_suspect(&self, suspect: &StoredSuspect) -> StoreResult<()>;
    /// Deletes the record of a suspect.
    async fn delete_suspect(&self, fingerprint: Fingerprint) -> StoreResult<()>;
}

/// A registered client of a store.
pub struct SiteStorePlugin {
    /// Name in the settings.
    pub name: &'static str,
    /// Creates a client for an address.
    pub connect: fn(address: SocketAddr) -> anyhow::Result<Arc<dyn SiteStore>>,
}

inventory::collect!(SiteStorePlugin);

/// Returns the names of the registered plug-ins, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let plugins = inventory::iter::<SiteStorePlugin>();
    let mut names: Vec<_> = plugins.map(|plugin| plugin.name).collect();
    names.sort_unstable();
    names
}

/// Creates a client with the named plug-in.
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
