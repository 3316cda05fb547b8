//! The entries that endpoints write about themselves.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use super::unknown;
use crate::kernel::fleet::{EndpointEntry, incarnation_id};

/// Fields of an entry that nothing is made of: `seq` only counts an endpoint's heartbeats, whose silence the store itself notices, and which models it
/// has is the operator's matter.
const LEFT_ASIDE: [&str; 3] = ["seq", "stage", "models"];

/// An entry. What is missing or of another type makes it another writer's, and it names no endpoint to use.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireServer {
    service: String,
    addr: SocketAddr,
    zone: String,
    slots: u32,
    state: WireState,
    /// Of its software. Nothing but a trial of what ended other versions depends on it, so that any value will do.
    #[serde(default)]
    version: serde_json::Value,
    /// Unix milliseconds of the start; where it is told, always a whole number.
    #[serde(default, deserialize_with = "present")]
    born: Option<u64>,
    /// How much longer it is slow from its start.
    #[serde(default, deserialize_with = "present")]
    cold_left_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum WireState {
    Ready,
    /// Before a planned end.
    Draining,
}

/// A field that may be left out, but is never null.
fn present<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Decodes an entry; its key is the id under which the endpoint is listed.
///
/// # Errors
/// The text is not an entry.
pub fn decode(id: &str, text: &[u8]) -> Result<EndpointEntry, String> {
    let wire: WireServer = unknown::read("entry", text, &LEFT_ASIDE)?;
    let cold_left_ms = wire.cold_left_ms.unwrap_or_default().max(0.0);
    let cold_left = Duration::try_from_secs_f64(cold_left_ms / 1_000.0);
    Ok(EndpointEntry {
        id: incarnation_id(id, wire.born),
        listed_id: id.to_owned(),
        born_ms: wire.born,
        service: wire.service,
        address: wire.addr,
        hall: wire.zone,
        slots: wire.slots,
        leaving: matches!(wire.state, WireState::Draining),
        software: software(&wire.version),
        cold_left: cold_left.map_err(|error| error.to_string())?,
    })
}

fn software(version: &serde_json::Value) -> String {
    match version {
        serde_json::Value::Null => String::new(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
