//! Entries of the platform's endpoint list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Listed data of one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Identifies this incarnation only: ledgers, health, connections and orders are keyed by it,
    /// and nothing known about an earlier incarnation applies. Always created by
    /// [`incarnation_id`].
    pub id: String,
    /// Name under which the endpoint is listed and by which it identifies itself. A restart may
    /// reuse it.
    pub listed_id: String,
    /// Start time in milliseconds since 1970 by the endpoint's own clock; `None` if not reported.
    pub born_ms: Option<u64>,
    /// Service that it serves.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Hall where it is located.
    pub hall: String,
    /// Number of calls that it processes concurrently.
    pub slots: u32,
    /// Whether it announced that it is draining, or another incarnation has replaced it; final.
    pub leaving: bool,
    /// Version of its software; empty if not reported.
    #[serde(default)]
    pub software: String,
    /// Remaining warm-up time that it announced.
    pub cold_left: Duration,
}

/// Returns the id of one incarnation of an endpoint: its listed id, and its start time if reported.
#[must_use]
pub fn incarnation_id(listed_id: &str, born_ms: Option<u64>) -> String {
    match born_ms {
        Some(born_ms) => format!("{listed_id}@{born_ms}"),
        None => listed_id.to_owned(),
    }
}

/// Records of the endpoint list that were read together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Entries that are new or changed.
    pub entries: Vec<EndpointEntry>,
    /// Listed ids whose entry has vanished.
    pub vanished: Vec<String>,
    /// Listed ids whose newest entry cannot be read.
    pub unreadable: Vec<String>,
}

impl ListUpdate {
    /// Adds an entry, which overrides earlier records that its listed id vanished or was
    /// unreadable.
    pub fn add_entry(&mut self, entry: EndpointEntry) {
        self.clear_absence(&entry.listed_id);
        self.entries.push(entry);
    }

    /// Records that the entry of a listed id has vanished, which overrides its earlier entries.
    pub fn add_vanished(&mut self, listed_id: String) {
        self.clear_absence(&listed_id);
        self.entries.retain(|entry| entry.listed_id != listed_id);
        self.vanished.push(listed_id);
    }

    /// Records that the newest entry of a listed id cannot be read. Earlier entries are kept,
    /// because an announcement that the endpoint is draining is final.
    pub fn add_unreadable(&mut self, listed_id: String) {
        self.clear_absence(&listed_id);
        self.unreadable.push(listed_id);
    }

    fn clear_absence(&mut self, listed_id: &str) {
        self.vanished.retain(|known| known != listed_id);
        self.unreadable.retain(|known| known != listed_id);
    }
}
