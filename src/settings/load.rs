//! Settings of how an instance decides when load exceeds the engines or is uneven.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::error::SettingsError;

/// Largest weight of a client account; a larger one would leave the others next to nothing.
const ACCOUNT_WEIGHT_MAX: f64 = 1_000.0;

/// How an instance decides when load exceeds the engines or is uneven. Everything is off unless it
/// is set, and can be changed while the instance runs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switches a part of its own"
)]
pub struct LoadSettings {
    /// Whether waiting generations of the same priority get freed capacity in turn by client
    /// account, rather than by arrival.
    pub fair_accounts: bool,
    /// Weights of client accounts that get more or less than others; 1 for all that are not named.
    pub account_weights: BTreeMap<String, f64>,
    /// Whether generations of a lower priority leave room for those of a higher one that are
    /// expected to arrive.
    pub reserve_for_urgent: bool,
    /// Whether a generation that can no longer meet its latency objective waits on, rather than
    /// being refused, as long as its caller does.
    pub wait_past_objective: bool,
    /// Whether the observed pace of each engine decides which generations are placed on it.
    pub engine_pace: bool,
    /// Whether generations are moved off leaving engines by a schedule that ends before they do.
    pub scheduled_moves: bool,
    /// Whether new generations leave room for those that have to be moved off leaving engines.
    pub reserve_for_moves: bool,
    /// Whether shorter generations may get freed capacity before longer ones of the same priority
    /// that arrived up to a bounded time earlier.
    pub shorter_first: bool,
    /// Whether the late attempt of a repeatable call with a single response stays open while the
    /// call is sent to another endpoint; the first answer counts.
    pub plain_load: bool,
    /// Whether running generations keep a copy of their memory at a second engine, from which they
    /// go on if their engine crashes, as long as there is memory to spare.
    pub standby_copies: bool,
}

impl LoadSettings {
    /// Validates what the types of the fields do not ensure.
    ///
    /// # Errors
    /// Names the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let is_valid = |weight: &f64| *weight > 0.0 && *weight <= ACCOUNT_WEIGHT_MAX;
        if self.account_weights.values().all(is_valid) {
            return Ok(());
        }
        Err(SettingsError {
            field: "account_weights",
            allowed: format!("numbers above 0, at most {ACCOUNT_WEIGHT_MAX}"),
        })
    }
}
