//! Passes a generation on event by event, also when it goes on at another engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use spdlog::info;
use tokio::sync::mpsc;

use super::aborted_requests;
use super::crash_suspects;
use super::generation;
use super::inbound_call::Call;
use super::response_body::{ResponseAborted, ResponseBody};
use super::runs::{Continuation, RunCommand};
use super::started::{Offers, RunGuard, Source, Started, tell_end};
use super::takeover::{self, Silence};
use super::upstream::EndpointResponse;
use crate::kernel::clock::millis;
use crate::kernel::crash_suspects::START_WINDOW;
use crate::platform::engine;

/// An engine that was asked to stop a generation closes its stream, and the place to go on is known, within this time.
const STOP_PATIENCE: Duration = Duration::from_millis(1_500);
/// Longest wait for the stream of a stopped generation to close.
const CLOSE_PATIENCE: Duration = Duration::from_millis(120);
/// How often a generation is taken over from an engine whose stream broke off.
const TAKEN_OVER_MAX: u32 = 2;
/// Longest wait for the first event after a move.
const RESUME_PATIENCE: Duration = Duration::from_millis(2_500);

struct Relay {
    call: Arc<Call>,
    handle: RunGuard,
    commands: mpsc::UnboundedReceiver<RunCommand>,
    /// Absent between two engines.
    source: Option<Source>,
    /// Whether an engine was asked to stop it, and the place to go on is not known yet.
    stopping: bool,
    /// Where it goes on once its stopped source has closed the stream: what the source made before must be read first.
    pending: Option<Continuation>,
    event_tokens: u32,
    events: u32,
    /// When the first event came from the engine that runs it now.
    first_event_at: Option<Duration>,
    /// Whether an engine was seen to run it on past its beginning.
    ran_on: bool,
    last_event_id: Option<String>,
    moves: u32,
    silence: Silence,
    /// How often it was taken over from an engine whose stream broke off.
    taken_over: u32,
    /// The engines so far, in case it has to begin anew.
    offers: Offers,
    ended: bool,
}

/// How far one step came.
enum Step {
    /// Events to pass on.
    Events(Bytes),
    /// The generation is whole.
    End,
    /// No event has come for some time.
    Silent,
    /// The source broke off.
    Broken(String),
    /// It goes on elsewhere.
    Continue(Box<Continuation>),
    /// It begins anew after the last event that was passed on.
    BeginAnew(String),
    /// Nothing to pass on yet.
    Again,
}

/// The answer to the caller, passed on as it comes.
pub(crate) fn answer(call: Arc<Call>, started: Started) -> Response<ResponseBody> {
    let parts = &started.source.answer.parts;
    let mut response = Response::new(());
    *response.status_mut() = parts.status;
    *response.headers_mut() = engine::answer_headers(parts);
    let service = call.table.service(&call.service);
    let event_tokens = service
        .and_then(|service| service.engine)
        .map_or(1, |engine| engine.event_tokens);
    let relay = Relay {
        handle: started.handle,
        commands: started.commands,
        source: Some(started.source),
        stopping: false,
        pending: None,
        event_tokens,
        events: 0,
        first_event_at: None,
        ran_on: false,
        last_event_id: generation::last_event_id(&call).map(str::to_owned),
        moves: 0,
        silence: Silence::from_now(),
        taken_over: 0,
        offers: started.offers,
        ended: false,
        call,
    };
    let frames = stream::unfold(relay, |mut relay| async {
        relay.next().await.map(|frame| (frame, relay))
    });
    let (parts, ()) = response.into_parts();
    Response::from_parts(parts, BodyExt::boxed_unsync(StreamBody::new(frames)))
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, ResponseAborted>> {
        if self.ended {
            return None;
        }
        loop {
            let mut step = self.step().await;
            if let Step::Silent = step {
                step = self.ask_source().await;
            }
            if let Step::Broken(why) = step {
                self.note_broken_off().await;
                step = self.after_break(why).await;
            }
            match step {
                Step::Events(bytes) => return Some(Ok(Frame::data(bytes))),
                Step::Again | Step::Silent => {}
                Step::Continue(continuation) => {
                    if let Err(why) = self.go_on_or_begin_anew(*continuation).await {
                        return Some(Err(self.fail(&why)));
                    }
                }
                Step::BeginAnew(why) => {
                    if let Err(why) = self.begin_anew(why).await {
                        return Some(Err(self.fail(&why)));
                    }
                }
                Step::End => {
                    self.finish();
                    return None;
                }
                Step::Broken(why) => return Some(Err(self.fail(&why))),
            }
        }
    }

    /// Waits for the source, a command, or a silence that is too long.
    async fn step(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Broken("no source".to_owned());
        };
        let left = self.call.time_left();
        let (patience, silent) = if self.pending.is_some() {
            (CLOSE_PATIENCE, None)
        } else if self.silence.ask_after < left && !self.stopping {
            (self.silence.ask_after, Some(Step::Silent))
        } else {
            (left, None)
        };
        let gateway = self.call.gateway.clone();
        tokio::select! {
            biased;
            frame = source.answer.body.frame() => match frame {
                Some(Ok(frame)) => match frame.data_ref() {
                    Some(data) => self.take_data(&data.clone()),
                    None => Step::Again,
                },
                Some(Err(error)) => Step::Broken(error.to_string()),
                None if source.splitter.is_between_events() => Step::End,
                None => Step::Broken("the stream ended inside an event".to_owned()),
            },
            Some(command) = self.commands.recv() => self.take_command(command),
            () = gateway.sleep_for(patience) => {
                silent.unwrap_or_else(|| Step::Broken("silent for too long".to_owned()))
            }
        }
    }

    fn take_data(&mut self, data: &[u8]) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Again;
        };
        let events = match source.splitter.push(data) {
            Ok(events) => events,
            Err(error) => return Step::Broken(error.to_string()),
        };
        let mut bytes = BytesMut::new();
        for event in events {
            if !self.is_next(event.id.as_deref()) {
                return Step::Broken("an event is missing".to_owned());
            }
            if self.is_known(event.id.as_deref()) {
                continue;
            }
            self.events += 1;
            if event.id.is_some() {
                self.last_event_id = event.id;
            }
            bytes.extend_from_slice(&event.bytes);
        }
        self.silence = Silence::from_now();
        let now = self.call.gateway.now();
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if !self.ran_on && now.saturating_sub(first_event_at) > START_WINDOW {
            self.ran_on = true;
            crash_suspects::record_progress(&self.call);
        }
        let made = self.events.saturating_mul(self.event_tokens);
        let handle = &self.handle.run;
        handle.made_tokens.store(made, Ordering::Relaxed);
        if bytes.is_empty() {
            Step::Again
        } else {
            Step::Events(bytes.freeze())
        }
    }

    fn last_number(&self) -> Option<u64> {
        self.last_event_id.as_ref()?.parse().ok()
    }

    /// Whether an event was passed on already, by the engine before.
    fn is_known(&self, id: Option<&str>) -> bool {
        let number = id.and_then(|id| id.parse::<u64>().ok());
        match (number, self.last_number()) {
            (Some(number), Some(last)) => number <= last,
            _ => false,
        }
    }

    /// Whether no event is missing before this one; ids are numbers that rise by one.
    fn is_next(&self, id: Option<&str>) -> bool {
        let number = id.and_then(|id| id.parse::<u64>().ok());
        match (number, self.last_number()) {
            (Some(number), Some(last)) => number <= last + 1,
            (Some(number), None) => number <= 1,
            _ => true,
        }
    }

    fn take_command(&mut self, command: RunCommand) -> Step {
        match command {
            RunCommand::Stopping => {
                self.stopping = true;
                Step::Again
            }
            RunCommand::NotStopped => {
                self.stopping = false;
                Step::Again
            }
            RunCommand::Continue(continuation) => {
                self.pending = Some(*continuation);
                Step::Again
            }
        }
    }

    /// Notes that the engine broke off, unless it was asked to.
    async fn note_broken_off(&self) {
        if self.stopping || self.pending.is_some() {
            return;
        }
        let endpoint = self.handle.run.endpoint.lock().clone();
        let now = self.call.gateway.now();
        let ran_for = self.first_event_at.map(|at| now.saturating_sub(at));
        aborted_requests::report(&self.call, endpoint, ran_for.unwrap_or_default()).await;
    }

    /// The source broke off: the place to go on is about to be known, or it may begin anew, or it is the end.
    async fn after_break(&mut self, why: String) -> Step {
        self.source = None;
        if let Some(continuation) = self.pending.take() {
            return Step::Continue(Box::new(continuation));
        }
        while self.stopping {
            let commands = &mut self.commands;
            let command = self.call.gateway.wait_for(STOP_PATIENCE, commands.recv());
            match command.await {
                Some(Some(RunCommand::Continue(continuation))) => {
                    return Step::Continue(continuation);
                }
                Some(Some(RunCommand::Stopping)) => {}
                Some(Some(RunCommand::NotStopped) | None) | None => self.stopping = false,
            }
        }
        if generation::may_begin_anew(&self.call, &self.offers) {
            return Step::BeginAnew(why);
        }
        let taken_over = self.take_over(&why).await;
        taken_over.map_or(Step::Broken(why), |continuation| {
            Step::Continue(Box::new(continuation))
        })
    }

    /// Asks the engine of a silent stream what became of the generation.
    async fn ask_source(&mut self) -> Step {
        let engine = self.handle.run.endpoint.lock().clone();
        let came = self.last_number().unwrap_or_default();
        let given_up = self.silence.ask(&self.call, &engine, came).await;
        given_up.map_or(Step::Again, |why| Step::Broken(why.to_owned()))
    }

    /// Has the engine of a stream that broke off stop the generation; gives where it goes on.
    async fn take_over(&mut self, why: &str) -> Option<Continuation> {
        if self.taken_over >= TAKEN_OVER_MAX {
            return None;
        }
        self.taken_over += 1;
        takeover::take_over(&self.call, &self.handle.run, why).await
    }

    async fn go_on_or_begin_anew(&mut self, continuation: Continuation) -> Result<(), String> {
        match self.go_on(continuation).await {
            Err(why) if generation::may_begin_anew(&self.call, &self.offers) => {
                self.begin_anew(why).await
            }
            other => other,
        }
    }

    /// Begins anew at another engine, which goes on after the last event that was passed on.
    async fn begin_anew(&mut self, why: String) -> Result<(), String> {
        let engine = self.handle.run.endpoint.lock().id.clone();
        let mut offers = std::mem::take(&mut self.offers);
        offers.excluded.push(engine);
        let after = self.last_event_id.clone();
        let started = generation::start_after(&self.call, offers, after.as_deref()).await;
        let outcome = started
            .as_ref()
            .err()
            .map_or("begun", |error| &error.message);
        if crate::log::admits("generation begun anew") {
            info!("generation begun anew", kv: {
                request_id = self.call.head.request_id.as_str(), why = why.as_str(), outcome,
                last_event_id:? = after,
            });
        }
        let started = started.map_err(|error| error.message)?;
        if !started.source.answer.parts.status.is_success() {
            return Err(format!(
                "engine answered {}",
                started.source.answer.head.status
            ));
        }
        self.handle = started.handle;
        self.commands = started.commands;
        self.offers = started.offers;
        self.source = Some(started.source);
        self.first_event_at = None;
        Ok(())
    }

    /// Goes on at another engine; where that one refuses, at the one that stopped it, which still has its memory.
    async fn go_on(&mut self, continuation: Continuation) -> Result<(), String> {
        self.stopping = false;
        self.source = None;
        let before = self.handle.run.endpoint.lock().clone();
        let (target, answer) = match self.try_at(&continuation).await {
            Ok(answer) => (continuation.target, answer),
            Err(_) if continuation.target.id != before.id => {
                let call = &self.call;
                let refused = &continuation.target.id;
                call.gateway
                    .runs
                    .note_not_taken(&call.service, refused, false);
                let back = Continuation {
                    target: before,
                    counted: false,
                    ..continuation
                };
                let answer = self.try_at(&back).await?;
                (back.target, answer)
            }
            Err(why) => return Err(why),
        };
        self.moves += 1;
        *self.handle.run.endpoint.lock() = target;
        self.call.gateway.ledgers.changed.notify_one();
        self.source = Some(Source::new(answer));
        self.first_event_at = None;
        Ok(())
    }

    async fn try_at(&self, continuation: &Continuation) -> Result<EndpointResponse, String> {
        let begun = self.call.gateway.now();
        let after = self.last_event_id.as_deref();
        let resumed = takeover::resume(&self.call, continuation, after);
        let resumed = tokio::time::timeout(RESUME_PATIENCE, resumed).await;
        let resumed = resumed.unwrap_or_else(|_| Err("no event in time".to_owned()));
        let pause_ms = millis(self.call.gateway.now().saturating_sub(begun));
        if crate::log::admits("generation moved") {
            let outcome = resumed.as_ref().err().map_or("gone on", String::as_str);
            info!("generation moved", kv: {
                request_id = self.call.head.request_id.as_str(),
                target = continuation.target.id.as_str(), outcome, pause_ms:,
                last_event_id:? = self.last_event_id,
            });
        }
        resumed
    }

    fn finish(&mut self) {
        self.ended = true;
        let engine = self.handle.run.endpoint.lock().clone();
        crash_suspects::record_survived(&self.call, &engine);
        tell_end(&self.call, "whole", "", self.events, self.moves);
        self.source = None;
    }

    fn fail(&mut self, why: &str) -> ResponseAborted {
        self.ended = true;
        self.source = None;
        tell_end(&self.call, "broken", why, self.events, self.moves);
        ResponseAborted(why.to_owned())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            tell_end(&self.call, "caller gone", "", self.events, self.moves);
        }
    }
}
