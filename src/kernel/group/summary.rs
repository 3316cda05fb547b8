//! Counters of a group for the state dump.

use serde::{Deserialize, Serialize};

/// Counters of a group for the state dump.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupSummary {
    /// Number of streams in flight.
    pub streams: usize,
    /// Number of queued requests.
    pub waiting: usize,
    /// Counters per endpoint.
    #[serde(rename = "places")]
    pub endpoints: Vec<EndpointSummary>,
}

/// Counters of one endpoint in a [`GroupSummary`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Number of granted streams.
    pub streams: u32,
    /// Prompt and output tokens held in memory.
    pub held_tokens: f64,
    /// Predicted peak memory use plus one standard deviation, in tokens.
    pub predicted_peak_tokens: f64,
    /// Fraction of the memory that predicted tokens may fill.
    pub fill_limit: f64,
}
