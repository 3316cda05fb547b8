//! How long a call waits for a connection to its endpoint.
//!
//! Load pattern: some of hundreds of endpoints go dark at once, and each of hundreds of instances
//! sends one call in seconds, so that none of them learns from its earlier calls which ones. A call
//! that waits as long as a lost packet takes is late; nothing was sent yet, so it may go elsewhere.

use std::time::Duration;

/// Longest wait. Endpoints accept connections within milliseconds; a longer wait means that the
/// first packet was lost or nothing runs at the address.
pub const CONNECT_TIMEOUT_MAX: Duration = Duration::from_millis(400);
/// Shortest wait, above the round trip between regions and the pauses of a small instance.
const CONNECT_TIMEOUT_MIN: Duration = Duration::from_millis(50);
/// Part of the latency objective that one endpoint may take to accept a connection. Another one then
/// still answers in time.
const OBJECTIVE_DIVISOR: u32 = 3;
/// Connections that may be given up early. If more fail, the network is slow rather than an
/// endpoint.
const EARLY_ATTEMPTS: usize = 2;

/// Returns how long a call waits for its next connection after `failed` ones.
#[must_use]
pub fn connect_timeout(latency_objective: Duration, failed: usize) -> Duration {
    if failed >= EARLY_ATTEMPTS {
        return CONNECT_TIMEOUT_MAX;
    }
    (latency_objective / OBJECTIVE_DIVISOR).clamp(CONNECT_TIMEOUT_MIN, CONNECT_TIMEOUT_MAX)
}
