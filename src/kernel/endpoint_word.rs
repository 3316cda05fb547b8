//! What an endpoint says of itself in an answer, beside the matter asked.

use std::time::Duration;

use super::limit::LimitSignal;

/// What one start of an endpoint says of itself. It holds for that start whatever was asked and whoever asked.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointWord {
    /// Whether it is leaving. Once said, it stays said for this start.
    pub leaving: bool,
    /// For how long it asks the instance that it turned away to send it nothing.
    pub rest: Option<Duration>,
    /// How many requests it takes from all instances together, for as long as it says so.
    pub limit: LimitSignal,
}
