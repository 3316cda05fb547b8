//! Runs a generation: starts it on an engine, forwards its tokens to the caller and resumes it after
//! a lost connection. If the engine loses it, a repeatable generation is replayed on another engine,
//! but only if no token has been delivered yet or the replayed tokens can be verified.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use rand::Rng;
use spdlog::{info, warn};
use tokio::sync::watch;

use super::endpoints::is_departed;
use super::engine_selection::{SelectedEndpoint, SelectionRequest};
use super::node::{Node, Phase};
use super::request::{CallerRequest, GenerationParams};
use super::reservations::Reservation;
use super::response::{ResponseEvent, ResponseSink};
use crate::endpoint::protocol::{EngineEvent, FinishReason, GenerationRequest, Started};
use crate::endpoint::{Endpoint, EngineStream, ResumeError, ResumePosition};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::attempt::{AttemptFailure, FailedAttempts, UnsentAttempt};
use crate::kernel::membership::rendezvous_weight;
use crate::kernel::object::{ClientAccount, Model};
use crate::kernel::stream::{EventId, GenerationId, TokenAction, TokenCursor};
use crate::settings::ms;
use crate::standin::engine_core::prompt_tokens;

/// Length of the prompt prefix whose hash determines prefix-cache affinity.
const PREFIX_BYTES: usize = 256;
/// Pause between attempts to reconnect to a generation.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of endpoints on which the start of a generation is attempted.
const STARTS_MAX: usize = 4;

/// How forwarding a generation's stream ended.
enum StreamOutcome {
    /// The last event was sent; the caller may have disconnected before reading it.
    Finished,
    /// The caller disconnected or was sent to another entry, where it may resume the generation.
    Abandoned,
    /// The engine lost the generation, for the given reason.
    Lost(String),
    /// The tokens differ from those already delivered, or end before them.
    TokenMismatch,
}

/// A generation that is being forwarded to a caller.
struct GenerationRun<'a> {
    node: &'a Arc<Node>,
    sink: &'a ResponseSink,
    account: &'a str,
    /// Model name under which token demand is counted for model placement; empty for a resumed
    /// generation, which is not counted.
    model: &'a str,
    /// Whether the response is streamed. Only a streamed response can move to another entry.
    streamed: bool,
    cursor: TokenCursor,
    /// Hash of each token delivered, to verify a replay. After a resume, the tokens before the
    /// index at which the cursor started are not included.
    delivered: Vec<u32>,
    phase: watch::Receiver<Phase>,
}

/// A generation as it runs on an engine.
struct EngineGeneration {
    client: Arc<dyn Endpoint>,
    generation: GenerationId,
    prompt_tokens: u32,
    reservation: Option<Reservation>,
}

/// Returns the first four bytes of a token's BLAKE3 hash, as a little-endian integer.
fn token_hash(text: &str) -> u32 {
    let mut prefix = [0; 4];
    prefix.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..4]);
    u32::from_le_bytes(prefix)
}

/// Returns the hash of the first [`PREFIX_BYTES`] bytes of a prompt, salted with the model name.
fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = String::from_utf8_lossy(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    rendezvous_weight(model, &prefix)
}

/// Runs a new generation and sends its events, or the error that ended it, to `sink`.
pub(crate) async fn run(
    node: &Arc<Node>,
    request: &CallerRequest,
    params: &GenerationParams,
    sink: &ResponseSink,
) {
    if let Err(error) = try_run(node, request, params, sink).await {
        metrics::counter!("larkwick_errors_total", "kind" => format!("{:?}", error.kind))
            .increment(1);
        sink.send(error.into()).await;
    }
}

async fn try_run(
    node: &Arc<Node>,
    request: &CallerRequest,
    params: &GenerationParams,
    sink: &ResponseSink,
) -> Result<()> {
    let catalog = node.catalog();
    let account = catalog.account_for_key(&request.bearer_key)?;
    let model = catalog.model(&params.model)?;
    let mut run = GenerationRun {
        node,
        sink,
        account: &account.name,
        model: &model.name,
        streamed: params.streamed,
        cursor: TokenCursor::starting_at(0),
        delivered: Vec::new(),
        phase: node.drain_state.subscribe_phase(),
    };
    let timeout = request.options.deadline;
    let deadline = node.now() + timeout.unwrap_or(ms(node.settings.times.deadline_ms));
    let mut start = StartContext {
        request,
        params,
        account,
        model,
        seed: params.seed.unwrap_or_else(|| rand::rng().next_u64()),
        max_tokens: params
            .max_tokens
            .unwrap_or(u32::MAX)
            .min(model.max_output_tokens),
        deadline,
        excluded: HashSet::new(),
        failures: FailedAttempts::default(),
    };
    node.record_first_attempt(&account.name);
    loop {
        let (source, stream) = run.start_generation(&mut start).await?;
        let endpoint = source.generation.endpoint.clone();
        match run.forward_stream(source, stream).await {
            StreamOutcome::Finished | StreamOutcome::Abandoned => return Ok(()),
            StreamOutcome::TokenMismatch => {
                return Err(generation_lost("a replay gave other tokens"));
            }
            StreamOutcome::Lost(reason) => {
                let none_delivered = run.cursor.next_index() == 0;
                let can_replay =
                    request.options.repeatable && (none_delivered || model.reproducible);
                warn!("generation lost", kv: { request_id: = request.request_id, why = reason.as_str() });
                if !can_replay || !node.try_spend_retry(&account.name) {
                    return Err(generation_lost(&reason));
                }
                start
                    .failures
                    .record(AttemptFailure::MayHaveRun(generation_lost(&reason)));
                start.excluded.insert(endpoint);
                // The replay is compared with the delivered tokens from its first token on.
                metrics::counter!("larkwick_replays_total").increment(1);
            }
        }
    }
}

/// Error that ends the run after the caller disconnected; no one receives it.
fn caller_disconnected() -> Error {
    Error::new(ErrorKind::BadRequest, "the caller disconnected")
}

fn generation_lost(reason: &str) -> Error {
    Error::new(
        ErrorKind::GenerationLost,
        format!("the generation was lost: {reason}"),
    )
}

/// The parameters for starting a generation, with the endpoints and errors of failed attempts.
struct StartContext<'a> {
    request: &'a CallerRequest,
    params: &'a GenerationParams,
    account: &'a ClientAccount,
    model: &'a Model,
    seed: u64,
    max_tokens: u32,
    deadline: Duration,
    excluded: HashSet<String>,
    failures: FailedAttempts,
}

impl StartContext<'_> {
    fn generation_request(
        &self,
        attempt: &UnsentAttempt,
        selected: &SelectedEndpoint,
    ) -> GenerationRequest {
        GenerationRequest {
            request_id: self.request.request_id,
            attempt_id: attempt.attempt_id,
            account: self.account.name.clone(),
            model: self.model.name.clone(),
            version: selected.version.clone(),
            prompt: self.params.prompt.clone(),
            prefix: prefix_hash(&self.model.name, &self.params.prompt),
            max_tokens: self.max_tokens,
            seed: self.seed,
            priority: selected.priority,
        }
    }
}

impl GenerationRun<'_> {
    /// Starts the generation on an endpoint, and on failure tries others.
    ///
    /// Stops after [`STARTS_MAX`] endpoints, when the account's retry budget is used up, or when a
    /// request that is not repeatable may have run.
    async fn start_generation(
        &mut self,
        start: &mut StartContext<'_>,
    ) -> Result<(EngineGeneration, EngineStream)> {
        let repeatable = start.request.options.repeatable;
        for attempt in 0..STARTS_MAX {
            if attempt > 0 && !self.node.try_spend_retry(&start.account.name) {
                break;
            }
            let selection = SelectionRequest {
                account: start.account,
                model: start.model,
                prompt_tokens: prompt_tokens(&start.params.prompt),
                max_tokens: start.max_tokens,
                prefix: prefix_hash(&start.model.name, &start.params.prompt),
                deadline: start.deadline.saturating_sub(self.node.now()),
                excluded: &start.excluded,
            };
            let selected = tokio::select! {
                selected = self.node.select_engine(&selection) => selected,
                () = self.sink.closed() => return Err(caller_disconnected()),
            };
            let selected = selected.map_err(|error| start.failures.error(error))?;
            let endpoint = selected.endpoint.name.clone();
            match self.start_on(start, selected).await {
                Ok(started) => return Ok(started),
                Err(AttemptFailure::MayHaveRun(error)) if !repeatable => return Err(error),
                Err(failed) => start.failures.record(failed),
            }
            start.excluded.insert(endpoint);
        }
        Err(start.failures.error(Error::new(
            ErrorKind::EndpointRefused,
            "no endpoint took the request",
        )))
    }

    /// Starts the generation on the selected endpoint, unless that has departed.
    async fn start_on(
        &self,
        start: &StartContext<'_>,
        selected: SelectedEndpoint,
    ) -> Result<(EngineGeneration, EngineStream), AttemptFailure> {
        let attempt = UnsentAttempt::default();
        let name = selected.endpoint.name.clone();
        // Last check before sending: the endpoint may have departed since it was selected.
        if is_departed(self.node, &name, selected.incarnation) {
            return Err(attempt.not_connected(&name));
        }
        let Some(client) = self.node.endpoints.client_for(&selected.endpoint) else {
            return Err(attempt.not_connected(&name));
        };
        let request = start.generation_request(&attempt, &selected);
        let request_id = request.request_id;
        let attempt_id = request.attempt_id;
        info!("attempt", kv: { request_id:, attempt_id:, endpoint = name.as_str() });
        let mut stream = client.generate(attempt, &request).await?;
        let Some(Ok(EngineEvent::Started(started))) = stream.next().await else {
            return Err(AttemptFailure::MayHaveRun(generation_lost(
                "the engine named no generation",
            )));
        };
        let source = EngineGeneration {
            generation: generation_id(&name, &started),
            client,
            prompt_tokens: started.prompt_tokens,
            reservation: selected.reservation,
        };
        if let Some(reservation) = &source.reservation {
            reservation.set_generation(&source.generation.to_string());
        }
        Ok((source, stream))
    }

    /// Forwards tokens until the generation ends. After a lost connection or a stall it resumes the
    /// generation on the same engine.
    async fn forward_stream(
        &mut self,
        source: EngineGeneration,
        mut stream: EngineStream,
    ) -> StreamOutcome {
        // A replay is read from its first token; tokens delivered before are compared instead of
        // delivered again.
        let mut position = TokenCursor::starting_at(if self.delivered.is_empty() {
            self.cursor.next_index()
        } else {
            0
        });
        loop {
            match self
                .forward_events(&source, &mut stream, &mut position)
                .await
            {
                ReadOutcome::Ended(outcome) => {
                    self.clean_up(source, &outcome);
                    return outcome;
                }
                ReadOutcome::Interrupted => {
                    match self.reconnect(&source, position.next_index()).await {
                        Ok(resumed) => stream = resumed,
                        Err(reason) => {
                            let outcome = StreamOutcome::Lost(reason);
                            self.clean_up(source, &outcome);
                            return outcome;
                        }
                    }
                }
            }
        }
    }

    /// Cancels a generation that this instance no longer forwards, unless it ran to its end.
    ///
    /// After an abandoned generation it waits for the time in which the caller may resume it, and
    /// then cancels it only if no caller is reading it.
    fn clean_up(&self, source: EngineGeneration, outcome: &StreamOutcome) {
        match outcome {
            StreamOutcome::Finished => {}
            StreamOutcome::Abandoned => {
                // Without an event id the caller cannot resume the generation, so cancel it at
                // once.
                let resumable = self.cursor.next_index() > 0;
                let resume_ms = self.node.settings.times.resume_ms;
                tokio::spawn(async move {
                    tokio::time::sleep(ms(if resumable { resume_ms } else { 0 })).await;
                    cancel(&source, true).await;
                });
            }
            StreamOutcome::Lost(_) | StreamOutcome::TokenMismatch => {
                tokio::spawn(async move { cancel(&source, false).await });
            }
        }
    }

    /// Forwards events from one connection until the generation or the connection ends.
    async fn forward_events(
        &mut self,
        source: &EngineGeneration,
        stream: &mut EngineStream,
        position: &mut TokenCursor,
    ) -> ReadOutcome {
        let stall = ms(self.node.settings.times.stall_ms);
        loop {
            let can_move = self.streamed && self.cursor.next_index() > 0;
            let event = tokio::select! {
                event = tokio::time::timeout(stall, stream.next()) => event,
                () = self.sink.closed() => return ReadOutcome::Ended(StreamOutcome::Abandoned),
                () = wait_until_moving(&mut self.phase), if can_move => {
                    self.send_moved().await;
                    return ReadOutcome::Ended(StreamOutcome::Abandoned);
                }
            };
            match event {
                Err(_) => {
                    metrics::counter!("larkwick_stalls_total").increment(1);
                    return ReadOutcome::Interrupted;
                }
                Ok(None | Some(Err(_))) => return ReadOutcome::Interrupted,
                Ok(Some(Ok(event))) => {
                    if let Some(outcome) = self.handle_event(source, event, position).await {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Handles one event. Returns `None` if reading continues.
    async fn handle_event(
        &mut self,
        source: &EngineGeneration,
        event: EngineEvent,
        position: &mut TokenCursor,
    ) -> Option<ReadOutcome> {
        match event {
            EngineEvent::Started(_) => None,
            EngineEvent::Token { index, text } => match position.accept(index) {
                TokenAction::Duplicate => None,
                TokenAction::Gap => {
                    metrics::counter!("larkwick_token_gaps_total").increment(1);
                    Some(ReadOutcome::Interrupted)
                }
                TokenAction::Deliver => self
                    .deliver_token(source, index, text)
                    .await
                    .map(ReadOutcome::Ended),
            },
            EngineEvent::Done { reason, tokens } => {
                if position.next_index() != tokens {
                    return Some(ReadOutcome::Interrupted);
                }
                Some(ReadOutcome::Ended(
                    self.deliver_done(source, reason, tokens).await,
                ))
            }
            EngineEvent::Failed { message } => {
                Some(ReadOutcome::Ended(StreamOutcome::Lost(message)))
            }
        }
    }

    /// Delivers a token, or compares it with the token already delivered at the same index.
    async fn deliver_token(
        &mut self,
        source: &EngineGeneration,
        index: u32,
        text: String,
    ) -> Option<StreamOutcome> {
        let hash = token_hash(&text);
        if index < self.cursor.next_index() {
            let delivered = self.delivered.get(index as usize);
            return (delivered != Some(&hash)).then_some(StreamOutcome::TokenMismatch);
        }
        self.cursor.accept(index);
        self.delivered.push(hash);
        if let Some(reservation) = &source.reservation {
            reservation.set_generated_tokens(index + 1);
        }
        let id = EventId {
            generation: source.generation.clone(),
            index,
        };
        let event = ResponseEvent::Token {
            id: id.to_string(),
            text,
        };
        let is_open = self.sink.send(event).await;
        (!is_open).then_some(StreamOutcome::Abandoned)
    }

    /// Records the final length and sends the last event to the caller.
    async fn deliver_done(
        &mut self,
        source: &EngineGeneration,
        reason: FinishReason,
        tokens: u32,
    ) -> StreamOutcome {
        if tokens < self.cursor.next_index() {
            return StreamOutcome::TokenMismatch;
        }
        if let Some(reservation) = &source.reservation {
            reservation.set_generated_tokens(tokens);
            reservation.set_finished();
        }
        if !self.model.is_empty() {
            self.node.lease.count_demand(self.model, tokens);
        }
        let event = ResponseEvent::Done {
            reason,
            prompt_tokens: source.prompt_tokens,
            tokens,
        };
        self.sink.send(event).await;
        StreamOutcome::Finished
    }

    /// Tells the caller which other entries it can resume the stream at.
    async fn send_moved(&self) {
        let entries = self.node.other_entry_addresses();
        metrics::counter!("larkwick_streams_moved_total").increment(1);
        self.sink.send(ResponseEvent::Moved { entries }).await;
    }

    /// Opens a new connection to the same generation, to read it from token `index` on.
    ///
    /// Retries while the engine is unreachable, until `resume_patience_ms` have passed.
    async fn reconnect(
        &self,
        source: &EngineGeneration,
        index: u32,
    ) -> Result<EngineStream, String> {
        let timeout = ms(self.node.settings.times.resume_patience_ms);
        let retry_until = self.node.now() + timeout;
        let from = ResumePosition {
            number: source.generation.number,
            incarnation: source.generation.incarnation,
            account: self.account,
            index,
        };
        loop {
            metrics::counter!("larkwick_resumes_total").increment(1);
            match source.client.resume(&from).await {
                Ok(stream) => return Ok(stream),
                Err(error @ ResumeError::Unknown) => return Err(error.to_string()),
                Err(error) if self.node.now() >= retry_until => return Err(error.to_string()),
                Err(ResumeError::Unreachable(_)) => tokio::time::sleep(RESUME_RETRY_INTERVAL).await,
            }
        }
    }
}

/// Why reading from one connection ended.
enum ReadOutcome {
    /// This run has ended.
    Ended(StreamOutcome),
    /// The connection was lost, stalled or skipped tokens; the generation can be resumed.
    Interrupted,
}

/// Waits until this instance starts to move its streams; pends forever if the phase channel closes.
async fn wait_until_moving(phase: &mut watch::Receiver<Phase>) {
    if phase
        .wait_for(|phase| *phase >= Phase::Moving)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}

fn generation_id(endpoint: &str, started: &Started) -> GenerationId {
    GenerationId {
        endpoint: endpoint.to_owned(),
        incarnation: started.incarnation,
        number: started.number,
    }
}

/// Cancels a generation on its engine; with `unless_read`, only if no caller is reading it.
async fn cancel(source: &EngineGeneration, unless_read: bool) {
    let generation = &source.generation;
    source
        .client
        .cancel(generation.number, generation.incarnation, unless_read)
        .await;
}

/// Cancels the generation with the given id, unless a caller is reading it.
pub(crate) async fn cancel_by_id(node: &Arc<Node>, generation: &str) {
    let Ok(id) = format!("{generation}:0").parse::<EventId>() else {
        return;
    };
    let generation = id.generation;
    let catalog = node.catalog();
    let object = catalog.endpoint(&generation.endpoint);
    let Some(client) = object.and_then(|object| node.endpoints.client_for(object)) else {
        return;
    };
    client
        .cancel(generation.number, generation.incarnation, true)
        .await;
}

/// Resumes a generation after the last event that its caller received.
pub(crate) async fn resume(
    node: &Arc<Node>,
    request: &CallerRequest,
    last_event_id: &str,
    sink: &ResponseSink,
) {
    if let Err(error) = try_resume(node, request, last_event_id, sink).await {
        sink.send(error.into()).await;
    }
}

async fn try_resume(
    node: &Arc<Node>,
    request: &CallerRequest,
    last_event_id: &str,
    sink: &ResponseSink,
) -> Result<()> {
    let id: EventId = last_event_id
        .parse()
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("Last-Event-ID: {error}")))?;
    let catalog = node.catalog();
    let account = catalog.account_for_key(&request.bearer_key)?;
    let object = catalog
        .endpoint(&id.generation.endpoint)
        .ok_or_else(|| generation_lost("its endpoint is not published any more"))?;
    let client = node
        .endpoints
        .client_for(object)
        .ok_or_else(|| generation_lost("its endpoint's plug-in is not known here"))?;
    let next_index = id.index.saturating_add(1);
    let mut run = GenerationRun {
        node,
        sink,
        account: &account.name,
        model: "",
        streamed: true,
        cursor: TokenCursor::starting_at(next_index),
        delivered: Vec::new(),
        phase: node.drain_state.subscribe_phase(),
    };
    let mut source = EngineGeneration {
        client,
        generation: id.generation,
        prompt_tokens: 0,
        reservation: None,
    };
    let mut stream = run
        .reconnect(&source, next_index)
        .await
        .map_err(|reason| generation_lost(&reason))?;
    if let Some(Ok(EngineEvent::Started(started))) = stream.next().await {
        source.prompt_tokens = started.prompt_tokens;
    }
    match run.forward_stream(source, stream).await {
        StreamOutcome::Finished | StreamOutcome::Abandoned => Ok(()),
        StreamOutcome::Lost(reason) => Err(generation_lost(&reason)),
        StreamOutcome::TokenMismatch => Err(generation_lost("the engine gave other tokens")),
    }
}
