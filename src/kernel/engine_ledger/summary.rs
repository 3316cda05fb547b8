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
            };
            Some((id.clone(), summary))
        });
        engines.collect()
    }
}
