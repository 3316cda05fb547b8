//! Decodes the entries that endpoints write about themselves in the platform's log.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use super::unknown_names;
use crate::kernel::fleet::{EndpointEntry, incarnation_id};

/// Fields that are ignored on purpose: `seq` only counts the heartbeats of an endpoint, and the
/// store itself notices when they stop; which models an endpoint has is up to the operator.
const IGNORED_FIELDS: [&str; 3] = ["seq", "stage", "models"];

/// An entry. If a required field is missing or a field has another type, a different kind of writer
/// made the entry, and its endpoint must not be used.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEntry {
    service: String,
    addr: SocketAddr,
    zone: String,
    slots: u32,
    state: WireState,
    /// Version of its software, of any JSON type. It only decides whether a request that crashed
    /// other versions may be tried here.
    #[serde(default)]
    version: serde_json::Value,
    /// Time of the start, in milliseconds since the Unix epoch; an integer if present.
    #[serde(default, deserialize_with = "deserialize_non_null")]
    born: Option<u64>,
    /// Remaining warm-up time that it announced at its start, in milliseconds.
    #[serde(default, deserialize_with = "deserialize_non_null")]
    cold_left_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum WireState {
    Ready,
    /// Will stop as planned.
    Draining,
}

/// Deserializes a field that may be absent but not null.
fn deserialize_non_null<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Decodes an entry. `id` is the key of the record, under which the endpoint is listed.
///
/// # Errors
/// Returns an error if the text is not an entry.
pub fn decode(id: &str, text: &[u8]) -> Result<EndpointEntry, String> {
    let wire: WireEntry = unknown_names::parse_json("entry", text, &IGNORED_FIELDS)?;
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
        software: software_version(&wire.version),
        cold_left: cold_left.map_err(|error| error.to_string())?,
    })
}

/// Returns a software version, which may be of any JSON type, as text.
pub(super) fn software_version(version: &serde_json::Value) -> String {
    match version {
        serde_json::Value::Null => String::new(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
