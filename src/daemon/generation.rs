//! A generation: started on an engine, followed token by token, resumed after a cut, replayed only where that is verified.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use rand::Rng;
use spdlog::{info, warn};
use tokio::sync::watch;

use super::endpoints::is_departed;
use super::node::{Node, Phase};
use super::place::{Place, PlaceWanted};
use super::request::{CallerRequest, GenerationParams};
use super::reservations::Reservation;
use super::response::{ResponseEvent, ResponseSink};
use crate::endpoint::protocol::{EngineEvent, FinishReason, GenerationRequest, Started};
use crate::endpoint::{Endpoint, EngineStream, ResumeError, ResumeFrom};
use crate::error::{Error, ErrorKind, Result};
use crate::kernel::attempt::{Failed, FailedAttempts, Unsent};
use crate::kernel::membership::rendezvous_weight;
use crate::kernel::object::{ClientAccount, Model};
use crate::kernel::stream::{EventId, GenerationId, TokenAction, TokenCursor};
use crate::settings::ms;
use crate::standin::engine_core::prompt_tokens;

/// Beginning of a prompt that decides its cache affinity.
const PREFIX_BYTES: usize = 256;
const RESUME_PAUSE: Duration = Duration::from_millis(100);
const STARTS_MAX: usize = 4;

/// Where a stream came to its end, or why it did not.
enum Followed {
    /// The last event has been passed on, or nobody reads any more.
    Ended,
    /// The caller went away; the generation may be taken up elsewhere.
    Abandoned,
    /// The engine lost the generation.
    Lost(String),
    /// The tokens of a replay differ from those delivered.
    Differs,
}

/// A generation on its way to a caller.
struct Run<'a> {
    node: &'a Arc<Node>,
    sink: &'a ResponseSink,
    account: &'a str,
    /// The model, for the placement's demand; empty for a generation taken up from elsewhere.
    model: &'a str,
    /// Whether the answer is streamed, and so can be moved.
    streamed: bool,
    cursor: TokenCursor,
    /// Hash of each token passed on, to verify a replay; indexes before the cursor's start are missing after a resume.
    delivered: Vec<u32>,
    phase: watch::Receiver<Phase>,
}

/// Where a generation runs.
struct Source {
    client: Arc<dyn Endpoint>,
    generation: GenerationId,
    prompt_tokens: u32,
    reservation: Option<Reservation>,
}

fn token_hash(text: &str) -> u32 {
    let mut first = [0; 4];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..4]);
    u32::from_le_bytes(first)
}

/// Hash of the beginning of a prompt.
fn prefix_of(model: &str, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let beginning = String::from_utf8_lossy(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    rendezvous_weight(model, &beginning)
}

/// Runs a new generation and writes its answer.
pub(crate) async fn run(
    node: &Arc<Node>,
    request: &CallerRequest,
    asked: &GenerationParams,
    sink: &ResponseSink,
) {
    if let Err(error) = run_to_end(node, request, asked, sink).await {
        metrics::counter!("larkwick_errors_total", "kind" => format!("{:?}", error.kind))
            .increment(1);
        sink.send(error.into()).await;
    }
}

async fn run_to_end(
    node: &Arc<Node>,
    request: &CallerRequest,
    asked: &GenerationParams,
    sink: &ResponseSink,
) -> Result<()> {
    let catalog = node.catalog();
    let account = catalog.account_for_key(&request.bearer_key)?;
    let model = catalog.model(&asked.model)?;
    let mut run = Run {
        node,
        sink,
        account: &account.name,
        model: &model.name,
        streamed: asked.streamed,
        cursor: TokenCursor::starting_at(0),
        delivered: Vec::new(),
        phase: node.drain_state.subscribe_phase(),
    };
    let deadline = request.options.deadline;
    let deadline = node.now() + deadline.unwrap_or(ms(node.settings.times.deadline_ms));
    let mut start = Start {
        request,
        asked,
        account,
        model,
        seed: asked.seed.unwrap_or_else(|| rand::rng().next_u64()),
        max_tokens: asked
            .max_tokens
            .unwrap_or(u32::MAX)
            .min(model.max_output_tokens),
        deadline,
        excluded: HashSet::new(),
        failures: FailedAttempts::default(),
    };
    node.record_first_attempt(&account.name);
    loop {
        let (source, stream) = run.start(&mut start).await?;
        let endpoint = source.generation.endpoint.clone();
        match run.follow(source, stream).await {
            Followed::Ended | Followed::Abandoned => return Ok(()),
            Followed::Differs => return Err(lost("a replay gave other tokens")),
            Followed::Lost(why) => {
                let nothing_delivered = run.cursor.next_index() == 0;
                let may_run_again =
                    request.options.repeatable && (nothing_delivered || model.reproducible);
                warn!("generation lost", kv: { request_id: = request.request_id, why = why.as_str() });
                if !may_run_again || !node.try_spend_retry(&account.name) {
                    return Err(lost(&why));
                }
                start.failures.record(Failed::MayHaveRun(lost(&why)));
                start.excluded.insert(endpoint);
                // The replay is checked from its first token on.
                metrics::counter!("larkwick_replays_total").increment(1);
            }
        }
    }
}

/// Nobody reads this error; it only ends the run.
fn caller_gone() -> Error {
    Error::new(ErrorKind::BadRequest, "the caller went away")
}

fn lost(why: &str) -> Error {
    Error::new(
        ErrorKind::GenerationLost,
        format!("the generation was lost: {why}"),
    )
}

/// What is needed to start a generation, and what became of earlier starts.
struct Start<'a> {
    request: &'a CallerRequest,
    asked: &'a GenerationParams,
    account: &'a ClientAccount,
    model: &'a Model,
    seed: u64,
    max_tokens: u32,
    deadline: Duration,
    excluded: HashSet<String>,
    failures: FailedAttempts,
}

impl Start<'_> {
    fn generation_request(&self, attempt: &Unsent, place: &Place) -> GenerationRequest {
        GenerationRequest {
            request_id: self.request.request_id,
            attempt_id: attempt.attempt_id,
            account: self.account.name.clone(),
            model: self.model.name.clone(),
            version: place.version.clone(),
            prompt: self.asked.prompt.clone(),
            prefix: prefix_of(&self.model.name, &self.asked.prompt),
            max_tokens: self.max_tokens,
            seed: self.seed,
            priority: place.priority,
        }
    }
}

impl Run<'_> {
    /// Starts the generation somewhere, trying other endpoints while nothing forbids it.
    async fn start(&mut self, start: &mut Start<'_>) -> Result<(Source, EngineStream)> {
        let repeatable = start.request.options.repeatable;
        for tries in 0..STARTS_MAX {
            if tries > 0 && !self.node.try_spend_retry(&start.account.name) {
                break;
            }
            let wanted = PlaceWanted {
                account: start.account,
                model: start.model,
                prompt_tokens: prompt_tokens(&start.asked.prompt),
                max_tokens: start.max_tokens,
                prefix: prefix_of(&start.model.name, &start.asked.prompt),
                deadline: start.deadline.saturating_sub(self.node.now()),
                excluded: &start.excluded,
            };
            let place = tokio::select! {
                place = self.node.find_place(&wanted) => place,
                () = self.sink.closed() => return Err(caller_gone()),
            };
            let place = place.map_err(|error| start.failures.error(error))?;
            let endpoint = place.endpoint.name.clone();
            match self.attempt(start, place).await {
                Ok(started) => return Ok(started),
                Err(Failed::MayHaveRun(error)) if !repeatable => return Err(error),
                Err(failed) => start.failures.record(failed),
            }
            start.excluded.insert(endpoint);
        }
        Err(start.failures.error(Error::new(
            ErrorKind::EndpointRefused,
            "no endpoint took the request",
        )))
    }

    async fn attempt(
        &self,
        start: &Start<'_>,
        place: Place,
    ) -> Result<(Source, EngineStream), Failed> {
        let attempt = Unsent::default();
        let name = place.endpoint.name.clone();
        // The last step before sending: news of a departure may have come since the choice.
        if is_departed(self.node, &name, place.incarnation) {
            return Err(attempt.not_connected(&name));
        }
        let Some(client) = self.node.endpoints.client_for(&place.endpoint) else {
            return Err(attempt.not_connected(&name));
        };
        let request = start.generation_request(&attempt, &place);
        let request_id = request.request_id;
        let attempt_id = request.attempt_id;
        info!("attempt", kv: { request_id:, attempt_id:, endpoint = name.as_str() });
        let mut stream = client.generate(attempt, &request).await?;
        let Some(Ok(EngineEvent::Started(started))) = stream.next().await else {
            return Err(Failed::MayHaveRun(lost("the engine named no generation")));
        };
        let source = Source {
            generation: generation_id(&name, &started),
            client,
            prompt_tokens: started.prompt_tokens,
            reservation: place.reservation,
        };
        if let Some(reservation) = &source.reservation {
            reservation.set_generation(&source.generation.to_string());
        }
        Ok((source, stream))
    }

    /// Passes tokens on until the generation ends, resuming it on the same engine after cuts and silences.
    async fn follow(&mut self, source: Source, mut stream: EngineStream) -> Followed {
        // A replay is read from its first token; what was delivered already is compared instead of passed on.
        let mut position = TokenCursor::starting_at(if self.delivered.is_empty() {
            self.cursor.next_index()
        } else {
            0
        });
        loop {
            match self.read(&source, &mut stream, &mut position).await {
                Read::End(followed) => {
                    self.settle(source, &followed);
                    return followed;
                }
                Read::Broken => match self.reconnect(&source, position.next_index()).await {
                    Ok(resumed) => stream = resumed,
                    Err(why) => {
                        let followed = Followed::Lost(why);
                        self.settle(source, &followed);
                        return followed;
                    }
                },
            }
        }
    }

    /// Cleans up after a generation that nobody follows here any more.
    fn settle(&self, source: Source, followed: &Followed) {
        match followed {
            Followed::Ended => {}
            Followed::Abandoned => {
                // Without an event id nobody can come back for it.
                let resumable = self.cursor.next_index() > 0;
                let resume_ms = self.node.settings.times.resume_ms;
                tokio::spawn(async move {
                    tokio::time::sleep(ms(if resumable { resume_ms } else { 0 })).await;
                    cancel(&source, true).await;
                });
            }
            Followed::Lost(_) | Followed::Differs => {
                tokio::spawn(async move { cancel(&source, false).await });
            }
        }
    }

    async fn read(
        &mut self,
        source: &Source,
        stream: &mut EngineStream,
        position: &mut TokenCursor,
    ) -> Read {
        let stall = ms(self.node.settings.times.stall_ms);
        loop {
            let may_move = self.streamed && self.cursor.next_index() > 0;
            let event = tokio::select! {
                event = tokio::time::timeout(stall, stream.next()) => event,
                () = self.sink.closed() => return Read::End(Followed::Abandoned),
                () = moving(&mut self.phase), if may_move => {
                    self.send_moved().await;
                    return Read::End(Followed::Abandoned);
                }
            };
            match event {
                Err(_) => {
                    metrics::counter!("larkwick_stalls_total").increment(1);
                    return Read::Broken;
                }
                Ok(None | Some(Err(_))) => return Read::Broken,
                Ok(Some(Ok(event))) => {
                    if let Some(read) = self.take(source, event, position).await {
                        return read;
                    }
                }
            }
        }
    }

    /// Takes one event; `None` where reading goes on.
    async fn take(
        &mut self,
        source: &Source,
        event: EngineEvent,
        position: &mut TokenCursor,
    ) -> Option<Read> {
        match event {
            EngineEvent::Started(_) => None,
            EngineEvent::Token { index, text } => match position.accept(index) {
                TokenAction::Duplicate => None,
                TokenAction::Gap => {
                    metrics::counter!("larkwick_token_gaps_total").increment(1);
                    Some(Read::Broken)
                }
                TokenAction::Deliver => self.deliver(source, index, text).await.map(Read::End),
            },
            EngineEvent::Done { reason, tokens } => {
                if position.next_index() != tokens {
                    return Some(Read::Broken);
                }
                Some(Read::End(self.finish(source, reason, tokens).await))
            }
            EngineEvent::Failed { message } => Some(Read::End(Followed::Lost(message))),
        }
    }

    /// Passes a token on, or compares it where it was passed on before.
    async fn deliver(&mut self, source: &Source, index: u32, text: String) -> Option<Followed> {
        let hash = token_hash(&text);
        if index < self.cursor.next_index() {
            let seen = self.delivered.get(index as usize);
            return (seen != Some(&hash)).then_some(Followed::Differs);
        }
        self.cursor.accept(index);
        self.delivered.push(hash);
        if let Some(reservation) = &source.reservation {
            reservation.set_made(index + 1);
        }
        let id = EventId {
            generation: source.generation.clone(),
            index,
        };
        let event = ResponseEvent::Token {
            id: id.to_string(),
            text,
        };
        let read = self.sink.send(event).await;
        (!read).then_some(Followed::Abandoned)
    }

    async fn finish(&mut self, source: &Source, reason: FinishReason, tokens: u32) -> Followed {
        if tokens < self.cursor.next_index() {
            return Followed::Differs;
        }
        if let Some(reservation) = &source.reservation {
            reservation.set_made(tokens);
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
        Followed::Ended
    }

    async fn send_moved(&self) {
        let entries = self.node.other_entry_addresses();
        metrics::counter!("larkwick_streams_moved_total").increment(1);
        self.sink.send(ResponseEvent::Moved { entries }).await;
    }

    /// Opens a new connection to the same generation.
    async fn reconnect(&self, source: &Source, index: u32) -> Result<EngineStream, String> {
        let patience = ms(self.node.settings.times.resume_patience_ms);
        let give_up = self.node.now() + patience;
        let from = ResumeFrom {
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
                Err(error) if self.node.now() >= give_up => return Err(error.to_string()),
                Err(ResumeError::Unreachable(_)) => tokio::time::sleep(RESUME_PAUSE).await,
            }
        }
    }
}

/// Why reading from one connection ended.
enum Read {
    /// The generation is over for this run.
    End(Followed),
    /// Only the connection.
    Broken,
}

async fn moving(phase: &mut watch::Receiver<Phase>) {
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

async fn cancel(source: &Source, unless_read: bool) {
    let generation = &source.generation;
    source
        .client
        .cancel(generation.number, generation.incarnation, unless_read)
        .await;
}

/// Cancels a generation by its id, unless somebody reads it.
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

/// Takes a generation up after the last event that its caller has.
pub(crate) async fn resume(
    node: &Arc<Node>,
    request: &CallerRequest,
    last_event_id: &str,
    sink: &ResponseSink,
) {
    if let Err(error) = resume_to_end(node, request, last_event_id, sink).await {
        sink.send(error.into()).await;
    }
}

async fn resume_to_end(
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
        .ok_or_else(|| lost("its endpoint is not published any more"))?;
    let client = node
        .endpoints
        .client_for(object)
        .ok_or_else(|| lost("its endpoint's plug-in is not known here"))?;
    let next_index = id.index.saturating_add(1);
    let mut run = Run {
        node,
        sink,
        account: &account.name,
        model: "",
        streamed: true,
        cursor: TokenCursor::starting_at(next_index),
        delivered: Vec::new(),
        phase: node.drain_state.subscribe_phase(),
    };
    let mut source = Source {
        client,
        generation: id.generation,
        prompt_tokens: 0,
        reservation: None,
    };
    let mut stream = run
        .reconnect(&source, next_index)
        .await
        .map_err(|why| lost(&why))?;
    if let Some(Ok(EngineEvent::Started(started))) = stream.next().await {
        source.prompt_tokens = started.prompt_tokens;
    }
    match run.follow(source, stream).await {
        Followed::Ended | Followed::Abandoned => Ok(()),
        Followed::Lost(why) => Err(lost(&why)),
        Followed::Differs => Err(lost("the engine gave other tokens")),
    }
}
