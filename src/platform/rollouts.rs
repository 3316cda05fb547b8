//! Roll-out orders of the operator, and the status that it is told.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::endpoint_entries::software_version;
use super::unknown_names;
use crate::kernel::clock::millis;
use crate::kernel::rollout::{RolloutOrder, RolloutState, RolloutStatus};

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireOrder {
    service: String,
    /// Version, of any JSON type, as in the entries of endpoints.
    target_version: serde_json::Value,
    /// Time from the order to its deadline, in seconds.
    finish_by_s: f64,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireStatus {
    service: String,
    target_version: String,
    state: RolloutState,
    /// Time at which the order was first seen, in milliseconds since the Unix epoch. Only larkwick
    /// reads it.
    #[serde(default)]
    started_unix_ms: u64,
}

/// Decodes an order that was written under the key of `service`.
///
/// # Errors
/// Returns an error if the text is not an order for this service.
pub(super) fn decode_order(service: &str, text: &[u8]) -> Result<RolloutOrder, String> {
    let wire: WireOrder = unknown_names::parse_json("roll-out order", text, &[])?;
    if wire.service != service {
        return Err(format!("it names another service, {:?}", wire.service));
    }
    let target_version = software_version(&wire.target_version);
    if target_version.is_empty() {
        return Err("the target version is empty".to_owned());
    }
    let finish_within = Duration::try_from_secs_f64(wire.finish_by_s.max(0.0));
    Ok(RolloutOrder {
        service: wire.service,
        target_version,
        finish_within: finish_within.map_err(|error| format!("finish-by-s: {error}"))?,
    })
}

/// Encodes a status.
///
/// # Errors
/// Returns an error if it cannot be represented as JSON.
pub(super) fn encode_status(status: &RolloutStatus) -> Result<Vec<u8>, String> {
    let wire = WireStatus {
        service: status.service.clone(),
        target_version: status.target_version.clone(),
        state: status.state,
        started_unix_ms: millis(status.started_at_unix),
    };
    serde_json::to_vec(&wire).map_err(|error| error.to_string())
}

/// Decodes a status.
///
/// # Errors
/// Returns an error if the text is not a status.
pub(super) fn decode_status(text: &[u8]) -> Result<RolloutStatus, String> {
    let wire: WireStatus = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    Ok(RolloutStatus {
        service: wire.service,
        target_version: wire.target_version,
        state: wire.state,
        started_at_unix: Duration::from_millis(wire.started_unix_ms),
    })
}
