//! Forwards a generation to its caller event by event, also when it continues at another engine.

mod continuation;
mod events;
mod standby_copy;
mod timing;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

use super::aborted_requests;
use super::crash_suspects::Survival;
use super::generation;
use super::inbound_call::Call;
use super::read_ahead::read_ahead;
use super::response_body::{ResponseAborted, ResponseBody};
use super::runs::{Continuation, RunCommand};
use super::started_generation::{
    EngineAttempts, ResponseStream, RunGuard, StartedGeneration, record_generation_end,
};
use super::takeover::StallDetector;
use crate::kernel::presence::Presence;
use crate::kernel::run_state::RunState;
use crate::kernel::stream_timing::StreamTiming;
use crate::platform::engine;

/// Longest wait for the stream of a stopped generation to close.
const STREAM_CLOSE_TIMEOUT: Duration = Duration::from_millis(120);
/// Time before its deadline in which a stream that breaks ends for want of time: engines stop at the
/// deadline that they are told, and nothing more could be made elsewhere.
const TIME_UP_MARGIN: Duration = Duration::from_millis(50);
/// Maximum number of times that a generation is taken over from an engine whose stream broke.
const TAKEOVERS_MAX: u32 = 2;

struct Relay {
    call: Arc<Call>,
    run_guard: RunGuard,
    commands: mpsc::UnboundedReceiver<RunCommand>,
    /// The current stream; `None` between two engines.
    source: Option<ResponseStream>,
    /// Whether the engine of the current stream may have stopped the generation by order.
    run_state: RunState,
    /// Where the generation continues once the stopped engine has closed its stream: the events
    /// generated before the stop must be read first.
    pending_continuation: Option<Continuation>,
    event_tokens: u32,
    events: u32,
    /// Arrival time of the first event from the current engine.
    first_event_at: Option<Duration>,
    /// Whether an engine has run the generation past its start window.
    ran_past_start: bool,
    last_event_id: Option<String>,
    moves: u32,
    timing: StreamTiming,
    /// When the last frame was handed over to the caller; `None` once it asked for the next one.
    handed_over_at: Option<Duration>,
    stall_detector: StallDetector,
    /// Why the stream has to be given up once the events before the fault were forwarded.
    pending_abort: Option<String>,
    /// Number of times the generation was taken over from an engine whose stream broke.
    takeovers: u32,
    /// The attempts so far, needed if the generation is restarted.
    attempts: EngineAttempts,
    has_ended: bool,
}

/// Result of one wait for the stream or a command.
enum Step {
    /// Events to forward.
    Events(Bytes),
    /// The generation is complete; the flag tells whether its engine was seen to run after it.
    End { engine_survived: bool },
    /// The connection was closed between two events, and nothing but that ends the stream.
    ConnectionEnded,
    /// No event arrived for the stall timeout.
    Stalled,
    /// The stream broke.
    Aborted(String),
    /// The call's own time is up, which is no fault of its engine.
    TimeUp,
    /// The generation continues from its KV-cache memory at an engine.
    Continue(Box<Continuation>),
    /// The generation is restarted from the prompt; forwarding continues after the last forwarded
    /// event.
    Restart(String),
    /// Nothing to forward yet.
    Pending,
}

/// What a wait for the stream ends with if nothing arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Timeout {
    /// The engine stopped the generation and has not closed its stream.
    StreamClose,
    /// The engine is to be asked for the state of the generation.
    Stall,
    /// The caller or the route waits no longer.
    Deadline,
}

/// Returns the response to the caller; its body is forwarded as it arrives.
pub(crate) fn forward_response(
    call: Arc<Call>,
    started: StartedGeneration,
) -> Response<ResponseBody> {
    let parts = &started.source.response.parts;
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = engine::caller_response_headers(parts);
    let service = call.table.service(&call.service);
    let event_tokens = service
        .and_then(|service| service.engine)
        .map_or(1, |engine| engine.event_tokens);
    let relay = Relay {
        run_guard: started.run_guard,
        commands: started.commands,
        source: Some(started.source),
        run_state: RunState::default(),
        pending_continuation: None,
        event_tokens,
        events: 0,
        first_event_at: None,
        ran_past_start: false,
        last_event_id: generation::last_event_id(&call).map(str::to_owned),
        moves: 0,
        timing: StreamTiming::starting_at(call.gateway.now().saturating_sub(call.age())),
        handed_over_at: None,
        stall_detector: StallDetector::start(),
        pending_abort: None,
        takeovers: 0,
        attempts: started.attempts,
        has_ended: false,
        call: call.clone(),
    };
    let frames = stream::unfold(relay, |mut relay| async {
        relay.record_caller_wait();
        let frame = relay.next_frame().await?;
        relay.record_handover();
        Some((frame, relay))
    });
    let frames = read_ahead(call, frames);
    let (parts, ()) = response.into_parts();
    Response::from_parts(parts, BodyExt::boxed_unsync(StreamBody::new(frames)))
}

impl Relay {
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, ResponseAborted>> {
        if self.has_ended {
            return None;
        }
        loop {
            let mut step = self.next_step().await;
            if let Step::Stalled = step {
                step = self.query_stalled_engine().await;
            }
            if matches!(step, Step::ConnectionEnded | Step::Aborted(_)) {
                // An order to stop precedes what it causes, but may not have been read yet.
                while let Ok(command) = self.commands.try_recv() {
                    self.handle_command(command);
                }
            }
            if let Step::ConnectionEnded = step {
                step = self.judge_connection_end().await;
            }
            if matches!(step, Step::Aborted(_)) && self.call.time_left() < TIME_UP_MARGIN {
                step = Step::TimeUp;
            }
            if let Step::Aborted(reason) = step {
                self.report_abort().await;
                step = self.recover_from_abort(reason).await;
            }
            match step {
                Step::Events(bytes) => return Some(Ok(Frame::data(bytes))),
                Step::Pending | Step::Stalled | Step::ConnectionEnded => {}
                Step::Continue(continuation) => {
                    if let Err(reason) = self.resume_or_restart(*continuation).await {
                        return Some(Err(self.fail(&reason)));
                    }
                }
                Step::Restart(reason) => {
                    if let Err(reason) = self.restart(reason).await {
                        return Some(Err(self.fail(&reason)));
                    }
                }
                Step::End { engine_survived } => {
                    self.finish(engine_survived);
                    return None;
                }
                Step::Aborted(reason) => return Some(Err(self.fail(&reason))),
                Step::TimeUp => return Some(Err(self.fail("no time left"))),
            }
        }
    }

    /// Waits for data, a command, or a timeout.
    async fn next_step(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Aborted("no engine stream to read from".to_owned());
        };
        if let Some(reason) = self.pending_abort.take() {
            return Step::Aborted(reason);
        }
        let left = self.call.time_left();
        let (timeout, on_timeout) = if self.pending_continuation.is_some() {
            (STREAM_CLOSE_TIMEOUT, Timeout::StreamClose)
        } else if self.stall_detector.query_after < left && !self.run_state.is_stopping() {
            (self.stall_detector.query_after, Timeout::Stall)
        } else {
            (left, Timeout::Deadline)
        };
        let gateway = self.call.gateway.clone();
        tokio::select! {
            biased;
            frame = source.response.body.frame() => match frame {
                Some(Ok(frame)) => match frame.data_ref() {
                    Some(data) => self.process_data(&data.clone()),
                    None => Step::Pending,
                },
                Some(Err(error)) => Step::Aborted(error.to_string()),
                None if !source.splitter.is_between_events() => {
                    Step::Aborted("engine stream ended inside an event".to_owned())
                }
                None if source.ends_with_connection() => Step::ConnectionEnded,
                None => Step::End { engine_survived: source.is_success() },
            },
            Some(command) = self.commands.recv() => {
                self.handle_command(command);
                Step::Pending
            }
            () = gateway.sleep_for(timeout) => match on_timeout {
                Timeout::StreamClose => Step::Aborted("the stopped stream did not close".to_owned()),
                Timeout::Stall => Step::Stalled,
                Timeout::Deadline => Step::TimeUp,
            }
        }
    }

    fn handle_command(&mut self, command: RunCommand) {
        match command {
            RunCommand::Stopping => self.run_state.record_order(),
            RunCommand::NotStopped => self.run_state.record_no_effect(),
            RunCommand::StopUnclear => self.run_state.record_unclear(),
            RunCommand::RunsOn => self.run_state.record_running(),
            RunCommand::Continue(continuation) => {
                self.pending_continuation = Some(*continuation);
            }
        }
    }

    /// Reports that the engine aborted the request, unless it was asked to stop it.
    async fn report_abort(&self) {
        let was_ordered = self.run_state.is_stopping() || self.run_state.may_be_stopped();
        if was_ordered || self.pending_continuation.is_some() {
            return;
        }
        let endpoint = self.run_guard.run.endpoint.lock().clone();
        let now = self.call.gateway.now();
        let ran_for = self.first_event_at.map(|at| now.saturating_sub(at));
        let latency = ran_for.unwrap_or_default();
        aborted_requests::report(&self.call, endpoint.clone(), latency).await;
        self.call
            .gateway
            .record_rollout_outcome(&self.call, &endpoint, true, latency);
    }

    /// Determines whether a generation is complete whose stream ended with its connection, between
    /// two events: it ends like that, too, if its engine crashes or was asked to stop it.
    async fn judge_connection_end(&mut self) -> Step {
        if let Some(continuation) = self.stop_result().await {
            return Step::Continue(continuation);
        }
        if self.run_state.may_be_stopped() {
            let reason = "the engine may have stopped it; the outcome of the order is not known";
            return Step::Aborted(reason.to_owned());
        }
        let is_success = self.source.as_ref().is_some_and(ResponseStream::is_success);
        if is_success && self.events == 0 {
            return Step::Aborted("engine stream ended before its first event".to_owned());
        }
        let engine = self.run_guard.run.endpoint.lock().clone();
        let presence = self.call.gateway.presence_after_answer(&engine).await;
        if presence == Presence::Ended {
            return Step::Aborted("the engine ended with its stream".to_owned());
        }
        Step::End {
            engine_survived: is_success && presence == Presence::Listens,
        }
    }

    /// Waits for the result of the stop that was requested, if any, and returns where the generation
    /// continues. The order itself gives up in time, so that nothing but the call ends this wait.
    async fn stop_result(&mut self) -> Option<Box<Continuation>> {
        while self.run_state.is_stopping() && self.pending_continuation.is_none() {
            let left = self.call.time_left();
            let command = self.call.gateway.wait_for(left, self.commands.recv());
            match command.await {
                Some(Some(command)) => self.handle_command(command),
                Some(None) | None => self.run_state.record_unclear(),
            }
        }
        self.pending_continuation.take().map(Box::new)
    }

    /// Determines how to proceed after the stream broke: wait for the continuation of a stop, go on
    /// from the copy at another engine, or leave the engine.
    async fn recover_from_abort(&mut self, reason: String) -> Step {
        self.source = None;
        if let Some(continuation) = self.stop_result().await {
            return Step::Continue(continuation);
        }
        if self.resume_from_copy(&reason).await {
            return Step::Pending;
        }
        self.leave_engine(reason).await
    }

    /// Asks the engine of a stalled stream for the state of the generation.
    async fn query_stalled_engine(&mut self) -> Step {
        let engine = self.run_guard.run.endpoint.lock().clone();
        let received_events = self.last_event_number().unwrap_or_default();
        let abort_reason = self
            .stall_detector
            .query_engine(&self.call, &engine, received_events)
            .await;
        abort_reason.map_or(Step::Pending, |reason| Step::Aborted(reason.to_owned()))
    }

    fn finish(&mut self, engine_survived: bool) {
        self.has_ended = true;
        if engine_survived && self.events > 0 {
            let engine = self.run_guard.run.endpoint.lock().clone();
            Survival::of(&self.call, &engine).record();
        }
        record_generation_end(&self.call, "whole", "", &self.summary());
        self.source = None;
    }

    fn fail(&mut self, reason: &str) -> ResponseAborted {
        self.has_ended = true;
        self.source = None;
        record_generation_end(&self.call, "broken", reason, &self.summary());
        ResponseAborted(reason.to_owned())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.has_ended {
            record_generation_end(&self.call, "caller gone", "", &self.summary());
        }
    }
}
