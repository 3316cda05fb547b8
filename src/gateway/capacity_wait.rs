//! How long a generation waits for capacity, and what its caller is told if there is none.

use std::time::Duration;

use rand::RngExt;

use super::endpoint_cooldowns;
use super::engine_attempt::INITIAL_FIRST_EVENT_TIME;
use super::inbound_call::Call;
use super::placement::CapacityWait;
use super::started_generation::EngineAttempts;
use crate::error::{Error, ErrorKind};
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::return_times::retry_after_within;

/// Callers honour a `Retry-After` of at most their remaining time divided by this; the users of the
/// service state this.
const RETRY_AFTER_MAX_DIVISOR: u32 = 3;

/// Returns how long to wait for capacity.
///
/// A generation that has not run waits as long as its first event can still meet the latency
/// objective, and, if the settings say so, on until its caller would leave; one that may have run
/// waits as long as it can still be served before its deadline.
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
    let within_objective = budget.saturating_sub(typical);
    let waits_on = attempts.runs == 0 && call.gateway.routing.read().load.wait_past_objective;
    let total = if waits_on {
        within_objective.max(patience_left(call).saturating_sub(typical))
    } else {
        within_objective
    };
    CapacityWait {
        within_objective,
        total,
    }
}

/// Returns the time until the caller of a generation without events leaves.
fn patience_left(call: &Call) -> Duration {
    let patience = call.route.caller_patience;
    let left = patience.map(|patience| patience.saturating_sub(call.age()));
    left.map_or_else(|| call.time_left(), |left| left.min(call.time_left()))
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
    .with_retry_after(capacity_retry_after(call, None))
}

pub(super) fn no_capacity_error(call: &Call, attempts: &EngineAttempts, reason: &str) -> Error {
    Error::new(
        ErrorKind::NoRoom,
        format!("service {}: {reason}; not run", call.service),
    )
    .with_retry_after(
        endpoint_cooldowns::retry_after_cooldown(call)
            .unwrap_or_else(|| capacity_retry_after(call, attempts.room_in)),
    )
}

/// Returns when to retry while the engines are full. A caller retries once: if it does so too
/// early, the engines are still overloaded.
fn capacity_retry_after(call: &Call, room_in: Option<Duration>) -> Duration {
    let honoured_max = call.time_left() / RETRY_AFTER_MAX_DIVISOR;
    let spread = rand::rng().random_range(0.0..1.0);
    retry_after_within(honoured_max, room_in, spread)
}
