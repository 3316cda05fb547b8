//! Checks right before a request is sent: updates may have arrived since its endpoint was selected,
//! or the machine may have been suspended.

use std::time::Duration;

use super::crash_suspects;
use super::inbound_call::Call;
use super::shutdown::STOPPING;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::fleet::EndpointEntry;

/// Why a request is not sent to the selected endpoint after all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Withheld {
    /// The endpoint entered a cooldown.
    CoolingDown,
    /// The request became refused because it crashes endpoints.
    CrashSuspected,
    /// For this reason; another endpoint may be tried.
    Unsent(&'static str),
}

/// Checks that a request may still be sent to an endpoint. `restricted` requests are crash suspects
/// that this endpoint may run.
pub(super) fn check_before_send(
    call: &Call,
    endpoint: &EndpointEntry,
    restricted: bool,
    time_left_min: Duration,
) -> Result<(), Withheld> {
    let gateway = &call.gateway;
    if !gateway.fleet.lock().can_accept_work(&endpoint.id) {
        return Err(Withheld::Unsent("the endpoint is leaving"));
    }
    if gateway.presence_probes.is_unanswered(&endpoint.id) {
        return Err(Withheld::Unsent("the endpoint has ended"));
    }
    if gateway.is_cooling_down(&endpoint.id) {
        return Err(Withheld::CoolingDown);
    }
    if !restricted && crash_suspects::current_verdict(call) == Verdict::Refused {
        return Err(Withheld::CrashSuspected);
    }
    if gateway.is_past_last_answer() {
        return Err(Withheld::Unsent(STOPPING));
    }
    let time_left = call.time_left();
    if time_left.is_zero() || time_left < time_left_min {
        return Err(Withheld::Unsent("no time left"));
    }
    Ok(())
}
