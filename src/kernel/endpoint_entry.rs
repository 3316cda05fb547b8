//! What the platform's list says of endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What the list says of one start of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Names this start, and nothing that was known of an earlier one: ledgers, health, connections and orders are kept under it. Made by
    /// [`start_id`] alone.
    pub id: String,
    /// The name under which it is listed and by which it answers. It may be started again under the same one.
    pub listed_id: String,
    /// When it started, in milliseconds since 1970 by its own clock; nothing where it does not tell.
    pub born_ms: Option<u64>,
    /// Service that it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Hall in which it stands.
    pub hall: String,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// Version of its software; empty where it does not tell.
    #[serde(default)]
    pub software: String,
    /// How much longer it said it would be slow from its start.
    pub cold_left: Duration,
}

/// Names one start of an endpoint: by what it is listed under, and by the time of the start where that is told.
#[must_use]
pub fn start_id(listed_id: &str, born_ms: Option<u64>) -> String {
    match born_ms {
        Some(born_ms) => format!("{listed_id}@{born_ms}"),
        None => listed_id.to_owned(),
    }
}

/// Records of the list that came together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListNews {
    /// Entries.
    pub entries: Vec<EndpointEntry>,
    /// Listed ids whose entry is gone.
    pub vanished: Vec<String>,
    /// Listed ids whose newest entry cannot be read.
    pub unreadable: Vec<String>,
}

impl ListNews {
    /// An entry has come: what was said before of its absence no longer holds.
    pub fn add(&mut self, entry: EndpointEntry) {
        self.forget_absence(&entry.listed_id);
        self.entries.push(entry);
    }

    /// The entry under a listed id is gone: what it said before no longer matters.
    pub fn add_vanished(&mut self, listed_id: String) {
        self.forget_absence(&listed_id);
        self.entries.retain(|entry| entry.listed_id != listed_id);
        self.vanished.push(listed_id);
    }

    /// The newest entry under a listed id cannot be read. What it said before stays said: that it is leaving is final.
    pub fn add_unreadable(&mut self, listed_id: String) {
        self.forget_absence(&listed_id);
        self.unreadable.push(listed_id);
    }

    fn forget_absence(&mut self, listed_id: &str) {
        self.vanished.retain(|known| known != listed_id);
        self.unreadable.retain(|known| known != listed_id);
    }
}
