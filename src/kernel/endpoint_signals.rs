//! State signals that an endpoint sends in the headers of its responses.

use std::time::Duration;

use super::limit::LimitSignal;

/// Signals sent by one incarnation of an endpoint. They apply to that incarnation regardless of
/// which request was sent and by whom.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointSignals {
    /// Whether it announced that it is draining, which is final for this incarnation.
    pub draining: bool,
    /// Cooldown during which the instance whose request it refused should send it nothing.
    pub cooldown: Option<Duration>,
    /// Rate limit for all instances together, in force as long as the endpoint keeps sending it.
    pub limit: LimitSignal,
}
