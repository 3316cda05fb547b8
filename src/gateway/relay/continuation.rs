//! How a generation goes on whose stream broke or whose engine was asked to stop it: taken over,
//! resumed from its memory, or restarted.

use spdlog::info;

use super::{Relay, TAKEOVERS_MAX};
use crate::gateway::generation;
use crate::gateway::moves;
use crate::gateway::retry_budgets::RepeatCause;
use crate::gateway::runs::{Continuation, Unavailability};
use crate::gateway::started_generation::ResponseStream;
use crate::gateway::takeover::{self, ResumeError};
use crate::gateway::upstream::EndpointResponse;
use crate::kernel::clock::millis;
use crate::kernel::fleet::EndpointEntry;

impl Relay {
    /// Asks the engine of a broken stream to stop the generation and returns its continuation,
    /// unless it has been taken over too often.
    pub(super) async fn take_over(&mut self, reason: &str) -> Option<Continuation> {
        if self.takeovers >= TAKEOVERS_MAX {
            return None;
        }
        self.takeovers += 1;
        takeover::take_over(&self.call, &self.run_guard.run, reason).await
    }

    pub(super) async fn resume_or_restart(
        &mut self,
        continuation: Continuation,
    ) -> Result<(), String> {
        match self.resume_at_target(continuation).await {
            Err(reason) if generation::can_restart(&self.call, &self.attempts) => {
                self.restart(reason).await
            }
            other => other,
        }
    }

    /// Restarts the generation at another engine, which continues after the last forwarded event.
    pub(super) async fn restart(&mut self, reason: String) -> Result<(), String> {
        let engine = self.run_guard.run.endpoint.lock().id.clone();
        let mut attempts = std::mem::take(&mut self.attempts);
        attempts.excluded.push(engine);
        let after = self.last_event_id.clone();
        let started = generation::start_from_event(&self.call, attempts, after.as_deref()).await;
        let outcome = started
            .as_ref()
            .err()
            .map_or("begun", |error| &error.message);
        if crate::log::should_log("generation begun anew") {
            info!("generation begun anew", kv: {
                request_id = self.call.head.request_id.as_str(), why = reason.as_str(), outcome,
                last_event_id:? = after,
            });
        }
        let started = started.map_err(|error| error.message)?;
        if !started.source.response.parts.status.is_success() {
            return Err(format!(
                "engine answered {}",
                started.source.response.head.status
            ));
        }
        self.run_guard = started.run_guard;
        self.commands = started.commands;
        self.attempts = started.attempts;
        self.source = Some(started.source);
        self.first_event_at = None;
        self.timing.record_move();
        Ok(())
    }

    /// Resumes the generation at the target. If the target refuses, resumes it at the engine that
    /// stopped it, which still holds its memory.
    async fn resume_at_target(&mut self, mut continuation: Continuation) -> Result<(), String> {
        self.is_stopping = false;
        self.source = None;
        let previous = self.run_guard.run.endpoint.lock().clone();
        let resumed = self.try_resume(&mut continuation, RepeatCause::Move).await;
        let response = match resumed {
            Ok(response) => response,
            Err(error) if continuation.target.id != previous.id => {
                if let ResumeError::NotAccepted(_) = error {
                    let call = &self.call;
                    let refused = &continuation.target.id;
                    call.gateway.runs.record_unavailable_engine(
                        &call.service,
                        refused,
                        Unavailability::Refused,
                    );
                }
                continuation.target = previous;
                continuation.counted = false;
                let returned = self.try_resume(&mut continuation, RepeatCause::Return);
                returned.await.map_err(|error| error.to_string())?
            }
            Err(error) => return Err(error.to_string()),
        };
        self.moves += 1;
        if continuation.copy_receiver.id != continuation.target.id {
            let run = &self.run_guard.run;
            moves::start_freeing_received(&self.call.gateway, run, &continuation);
        }
        self.go_on_at(continuation.target, response);
        Ok(())
    }

    /// Goes on with the stream of the engine that now runs the generation.
    pub(super) fn go_on_at(&mut self, engine: EndpointEntry, response: EndpointResponse) {
        self.run_guard.run.set_engine(engine);
        self.call.gateway.ledgers.runs_changed.notify_one();
        self.source = Some(ResponseStream::new(response));
        self.first_event_at = None;
        self.timing.record_move();
    }

    async fn try_resume(
        &self,
        continuation: &mut Continuation,
        cause: RepeatCause,
    ) -> Result<EndpointResponse, ResumeError> {
        let started_at = self.call.gateway.now();
        let after = self.last_event_id.as_deref();
        let resumed = takeover::resume(&self.call, continuation, cause, after).await;
        let pause_ms = millis(self.call.gateway.now().saturating_sub(started_at));
        if crate::log::should_log("generation moved") {
            let error = resumed.as_ref().err().map(ToString::to_string);
            info!("generation moved", kv: {
                request_id = self.call.head.request_id.as_str(),
                target = continuation.target.id.as_str(), outcome = error.as_deref().unwrap_or("gone on"), pause_ms:,
                last_event_id:? = self.last_event_id,
            });
        }
        resumed
    }
}
