//! How a generation goes on whose stream broke or whose engine was asked to stop it: taken over,
//! resumed from its memory, or restarted.

use spdlog::info;

use super::{Relay, Step, TAKEOVERS_MAX};
use crate::gateway::former_run::{self, FormerRun};
use crate::gateway::generation;
use crate::gateway::moves;
use crate::gateway::runs::Continuation;
use crate::gateway::started_generation::ResponseStream;
use crate::gateway::takeover::{self, NotResumed, Resumed};
use crate::gateway::upstream::EndpointResponse;
use crate::kernel::fleet::EndpointEntry;

impl Relay {
    /// Determines how a generation goes on whose stream is lost: its engine is asked to stop it, so
    /// that it never runs at two engines, and it goes on from its memory or is restarted.
    pub(super) async fn leave_engine(&mut self, reason: String) -> Step {
        let may_restart = generation::can_restart(&self.call, &self.attempts);
        let may_take_over = self.takeovers < TAKEOVERS_MAX;
        let engine = self.run_guard.run.endpoint.lock().clone();
        let has_left = takeover::has_left_too_long_ago(&self.call, &engine);
        if !may_restart && (!may_take_over || has_left) {
            return Step::Aborted(reason);
        }
        self.takeovers += 1;
        let run = &self.run_guard.run;
        let former = former_run::stop_former_run(&self.call, run, &engine, &reason, None).await;
        match former {
            FormerRun::Stopped(continuation) if may_take_over => Step::Continue(continuation),
            former if may_restart && former.allows_restart() => Step::Restart(reason),
            _ => Step::Aborted(reason),
        }
    }

    pub(super) async fn resume_or_restart(
        &mut self,
        continuation: Continuation,
    ) -> Result<(), String> {
        self.source = None;
        let after = self.last_event_id.clone();
        let run = &self.run_guard.run;
        let resumed = takeover::resume_or_return(&self.call, run, continuation, after.as_deref());
        match resumed.await {
            Ok(resumed) => {
                self.go_on_after_stop(resumed);
                Ok(())
            }
            Err(NotResumed { reason, may_run })
                if !may_run && generation::can_restart(&self.call, &self.attempts) =>
            {
                self.restart(reason).await
            }
            Err(not_resumed) => Err(not_resumed.reason),
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
        self.run_state.record_new_engine();
        self.pending_continuation = None;
        self.attempts = started.attempts;
        self.source = Some(started.source);
        self.first_event_at = None;
        self.timing.record_move();
        Ok(())
    }

    fn go_on_after_stop(&mut self, resumed: Resumed) {
        let Resumed {
            continuation,
            response,
        } = resumed;
        self.moves += 1;
        if continuation.copy_receiver.id != continuation.target.id {
            let run = &self.run_guard.run;
            moves::start_freeing_received(&self.call.gateway, run, &continuation);
        }
        self.go_on_at(continuation.target, response);
    }

    /// Goes on with the stream of the engine that now runs the generation.
    pub(super) fn go_on_at(&mut self, engine: EndpointEntry, response: EndpointResponse) {
        self.run_guard.run.set_engine(engine);
        self.call.gateway.ledgers.runs_changed.notify_one();
        self.source = Some(ResponseStream::new(response));
        self.run_state.record_new_engine();
        self.first_event_at = None;
        self.timing.record_move();
    }
}
