//! How long a generation waits for capacity, and what its caller is told if there is none.

use std::time::Duration;

use rand::RngExt;

use super::coordinator::CapacityWait;
use super::endpoint_cooldowns;
use super::engine_attempt::INITIAL_FIRST_EVENT_TIME;
use super::inbound_call::Call;
use super::started_generation::EngineAttempts;
use crate::error::{Error, ErrorKind};
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::fleet::EndpointEntry;

/// Callers honour a `Retry-After` of at most their remaining time divided by this; the users of the
/// service state this.
const RETRY_AFTER_MAX_DIVISOR: u32 = 3;
/// Prior for how long engines stay full once they are. Callers come back once, so an early return
/// is refused for good.
const EXPECTED_OVERLOAD_DURATION: Duration = Duration::from_secs(5);
/// Lower end of the random `Retry-After`, as a share of its upper end. The spread keeps callers
/// from retrying at the same moment.
const RETRY_AFTER_MIN_SHARE: f64 = 0.6;

/// Returns how long to wait for capacity.
///
/// A generation that has not run waits as long as its first event can still meet the latency
/// objective; one that may have run waits as long as it can still be served before its deadline.
pub(super) fn capacity_wait(call: &Call, attempts: &EngineAttempts) -> CapacityWait {
    let typical = call
        .gateway
        .response_time(&call.service, INITIAL_FIRST_EVENT_TIME)
        .typical();
    let budget = if attempts.runs > 0 {
        call.time_left()
    } else {
        call.route.latency_objective.saturating_sub(call.age())
    };
    let wait = budget.saturating_sub(typical);
    CapacityWait {
        within_objective: wait,
        total: wait,
    }
}

/// Waits until an eligible engine is out of cooldown, for at most `wait`. Returns whether there is
/// one, without a wait if an engine is available now.
pub(super) async fn wait_for_available_engine(
    call: &Call,
    attempts: &EngineAttempts,
    wait: Duration,
) -> bool {
    let gateway = &call.gateway;
    let wait_deadline = gateway.now().saturating_add(wait);
    let is_excluded = |engine: &EndpointEntry| attempts.excluded.contains(&engine.id);
    match endpoint_cooldowns::service_availability(call, is_excluded, wait_deadline) {
        ServiceAvailability::Available => true,
        ServiceAvailability::AvailableAt { at } => {
            gateway.sleep_until(at).await;
            true
        }
        ServiceAvailability::Unavailable { .. } => false,
    }
}

pub(super) fn no_allowed_engine_error(call: &Call) -> Error {
    Error::new(
        ErrorKind::NoEndpoint,
        format!(
            "service {}: no engine in the allowed regions; not run",
            call.service
        ),
    )
    .with_retry_after(capacity_retry_after(call))
}

pub(super) fn no_capacity_error(call: &Call, reason: &str) -> Error {
    Error::new(
        ErrorKind::NoRoom,
        format!("service {}: {reason}; not run", call.service),
    )
    .with_retry_after(
        endpoint_cooldowns::retry_after_cooldown(call)
            .unwrap_or_else(|| capacity_retry_after(call)),
    )
}

/// Returns when to retry while the engines are full. A caller retries once: if it does so too
/// early, the engines are still overloaded.
fn capacity_retry_after(call: &Call) -> Duration {
    let upper_bound = (call.time_left() / RETRY_AFTER_MAX_DIVISOR).min(EXPECTED_OVERLOAD_DURATION);
    upper_bound.mul_f64(rand::rng().random_range(RETRY_AFTER_MIN_SHARE..1.0))
}
