//! How a generation whose engine crashed goes on from its copy at another engine.

use std::time::Duration;

use spdlog::info;

use super::Relay;
use crate::gateway::retry_budgets::{Repeat, RepeatCause};
use crate::gateway::runs::Continuation;
use crate::gateway::takeover;
use crate::kernel::clock::millis;
use crate::kernel::fleet::EndpointEntry;

/// Longest wait until the engine is known to have ended. Callers notice longer pauses, and a crashed
/// process refuses connections at once.
const ENDED_WAIT_MAX: Duration = Duration::from_millis(500);

impl Relay {
    /// Resumes the generation from the copy of its memory, if it has one and its engine is known to
    /// have ended. Returns whether it goes on. A copy is tried once.
    pub(super) async fn resume_from_copy(&mut self, reason: &str) -> bool {
        let keeper = self.run_guard.run.copy_at.lock().take();
        let Some(keeper) = keeper else {
            return false;
        };
        let source = self.run_guard.run.endpoint.lock().clone();
        let started_at = self.call.gateway.now();
        let resumed = self.try_copy(&source, &keeper).await;
        let outcome = if resumed.is_ok() { "used" } else { "failed" };
        metrics::counter!("larkwick_standby_copies_total", "outcome" => outcome).increment(1);
        if crate::log::should_log("generation resumed from its copy") {
            let took_ms = millis(self.call.gateway.now().saturating_sub(started_at));
            let outcome = resumed.as_ref().err().map_or("gone on", String::as_str);
            info!("generation resumed from its copy", kv: {
                request_id = self.call.head.request_id.as_str(), source = source.id.as_str(),
                target = keeper.id.as_str(), why = reason, outcome, took_ms:,
                last_event_id:? = self.last_event_id,
            });
        }
        resumed.is_ok()
    }

    async fn try_copy(
        &mut self,
        source: &EndpointEntry,
        keeper: &EndpointEntry,
    ) -> Result<(), String> {
        let call = self.call.clone();
        let gateway = &call.gateway;
        let ended = gateway.wait_for(ENDED_WAIT_MAX, gateway.has_ended(source));
        if ended.await != Some(true) {
            return Err("the engine may still run it".to_owned());
        }
        let can_accept_work = gateway.fleet.lock().can_accept_work(&keeper.id);
        if !can_accept_work || !call.is_region_allowed(keeper) {
            return Err("the engine that has the copy takes no work".to_owned());
        }
        let request_id = &call.head.request_id;
        let reservation = gateway.reserve_continuation(Repeat {
            service: &call.service,
            request_id,
            cause: RepeatCause::StandbyCopy,
        });
        let mut continuation = Continuation {
            target: keeper.clone(),
            copy_address: keeper.address,
            copy: request_id.clone(),
            copy_receiver: keeper.clone(),
            counted: false,
            reservation: reservation.ok_or("retry budget spent")?,
        };
        let after = self.last_event_id.as_deref();
        let resumed = takeover::resume(&call, &mut continuation, RepeatCause::StandbyCopy, after);
        let response = resumed.await.map_err(|error| error.to_string())?;
        self.moves += 1;
        self.go_on_at(continuation.target, response);
        Ok(())
    }
}
