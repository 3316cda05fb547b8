//! Summary of the engines for the debug dump.

use std::collections::BTreeMap;

use serde::Serialize;

use super::EngineLedger;

/// An engine in the debug dump.
#[derive(Debug, Clone, Serialize)]
pub struct EngineSummary {
    /// Slots taken by generations, including incoming ones.
    #[serde(rename = "places")]
    pub used_slots: u32,
    /// Memory predicted to be used within the horizon.
    pub predicted_tokens: f64,
    /// Total memory.
    pub memory_tokens: u32,
    /// Whether its generations have to be moved off.
    pub leaving: bool,
    /// Whether it accepts no new generations, although running ones may stay.
    pub closed: bool,
    /// Estimated mean pause between two events, if engines are placed on by pace.
    pub mean_pause_ms: Option<f64>,
    /// Predicted longest pause of a long stream as recently placed.
    pub predicted_pause_ms: Option<f64>,
    /// Whether that is within what such streams' callers accept.
    pub keeps_pace: Option<bool>,
}

impl EngineLedger {
    /// Returns a summary of each listed engine for the debug dump.
    #[must_use]
    pub fn summary(&self) -> BTreeMap<String, EngineSummary> {
        let engines = self.engines.iter().filter_map(|(id, engine)| {
            let listed = engine.listed.as_ref()?;
            let summary = EngineSummary {
                used_slots: engine.usage.used_slots,
                predicted_tokens: engine.usage.tokens,
                memory_tokens: listed.memory_tokens,
                leaving: listed.leaving,
                closed: listed.closed,
                mean_pause_ms: engine.pace.mean_pause_ms,
                predicted_pause_ms: engine.pace.predicted_pause_ms,
                keeps_pace: engine.pace.keeps_pace,
            };
            Some((id.clone(), summary))
        });
        engines.collect()
    }
}
