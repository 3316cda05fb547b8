//! Places a generation on an engine and starts it there.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use http::Response;
use parking_lot::Mutex;
use rand::RngExt;
use spdlog::info;
use tokio::sync::mpsc;

use super::aborted_requests;
use super::coordinator::{self, Placed};
use super::crash_suspects::{self, Admission};
use super::endpoint_cooldowns;
use super::inbound_call::Call;
use super::message_heads::EndpointRequestHead;
use super::relay;
use super::response_body::{ResponseBody, full_body};
use super::runs::{RunCommand, RunHandle};
use super::started::{Offers, RunGuard, Source, Started, tell_end};
use super::takeover::{self, Silence};
use super::upstream::{ConnectError, ConnectionReuse, EndpointResponse, SendError};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::engine_ledger::RunDemand;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::platform::{engine, ingress};

/// Engines that one generation is offered to.
const OFFERS_MAX: u32 = 5;
/// Time to a first event before any was seen: what engines with four generations took to read 2,500 tokens, and how much that varied.
const FIRST_EVENT: ResponseTimeEstimate = ResponseTimeEstimate::initial(0.45, 0.25);
/// Left of the caller's time when a generation is begun anew: its prompt has to be read once more.
const BEGIN_ANEW_MIN: Duration = Duration::from_millis(300);
/// Callers heed a time to come back up to this part of the time that they have left; the users say so.
const CALLER_HEEDS_PART: u32 = 3;
/// Prior for how long engines stay full once they are. Told to come back after 1 s, 90 of 1,450 generations were refused for good in place
/// of 55, and 0.016 of worth was lost (two days of bursts and dead engines, six seeds each).
const CROWD_LASTS: Duration = Duration::from_secs(5);
/// Callers come back within this share of the longest time and all of it, so that they do not come together.
const COME_BACK_SPREAD: f64 = 0.6;
/// Tokens of a request whose caller does not tell: a middling one.
const UNTOLD_PROMPT_TOKENS: u32 = 1_000;
const UNTOLD_MADE_TOKENS: u32 = 500;

/// Answers a call for a generation.
pub(crate) async fn answer(call: Call) -> Response<ResponseBody> {
    call.gateway.record_first_attempt(&call.service);
    let call = Arc::new(call);
    match start(&call).await {
        Ok(started) => relay::answer(call, started),
        Err(error) => {
            tell_end(&call, &format!("{:?}", error.kind), &error.message, 0, 0);
            ingress::refusal(&error).map(full_body)
        }
    }
}

fn demand(call: &Call) -> RunDemand {
    let tokens = call.head.tokens.as_ref();
    RunDemand {
        run: call.head.request_id.clone(),
        prompt_tokens: tokens.map_or(UNTOLD_PROMPT_TOKENS, |tokens| tokens.prompt_tokens),
        made_max_tokens: tokens.map_or(UNTOLD_MADE_TOKENS, |tokens| tokens.generated_max_tokens),
        made_hint_tokens: tokens.and_then(|tokens| tokens.generated_hint_tokens),
        priority: u32::from(call.priority),
    }
}

/// How an offer to an engine ended, where it was not taken.
enum NotStarted {
    /// The engine refused it: another one may be asked.
    Refused {
        why: String,
        /// Whether another endpoint is at its address.
        misdirected: bool,
    },
    /// Nothing was sent: another engine may be asked.
    Unsent {
        why: String,
        /// Whether nobody listens at the engine's address.
        dead: bool,
    },
    /// It was found meanwhile that endpoints end under it. Nothing was sent.
    Withheld,
    /// The engine has asked for rest meanwhile. Nothing was sent.
    Rests,
    /// The engine takes no more from all instances for now. Nothing was sent.
    Limited,
    /// The engine failed, and says so. Another engine may be asked where the route's generations may be resumed.
    Answered(Box<Begun>),
    /// It may have run. Another engine may be asked where the route's generations may be resumed.
    Lost(Error),
    /// The caller has to be told.
    Failed(Error),
}

impl NotStarted {
    fn why(&self) -> String {
        match self {
            Self::Refused { why, .. } | Self::Unsent { why, .. } => why.clone(),
            Self::Withheld => "endpoints end under it".to_owned(),
            Self::Rests => "the engine rests".to_owned(),
            Self::Limited => "the engine takes no more for now".to_owned(),
            Self::Answered(begun) => format!("engine answered {}", begun.source.answer.head.status),
            Self::Lost(error) | Self::Failed(error) => error.message.clone(),
        }
    }

    /// Whether the engine is not at its address any more: nobody listens there, or another endpoint does. All that place are told, so that each
    /// does not ask by itself: 631 of 3,427 generations were answered by other starts than the expected ones while a quarter of the endpoints
    /// started again six times, one run.
    fn is_dead(&self) -> bool {
        matches!(
            self,
            Self::Unsent { dead: true, .. }
                | Self::Refused {
                    misdirected: true,
                    ..
                }
        )
    }
}

impl Offers {
    /// Counts what an offer has cost: a request that reached an engine, and a run where there may have been one.
    fn count(&mut self, offered: &Result<Begun, NotStarted>) {
        let (sent, may_have_run) = match offered {
            Ok(_) | Err(NotStarted::Answered(_) | NotStarted::Lost(_)) => (1, 1),
            Err(NotStarted::Refused { .. }) => (1, 0),
            Err(
                NotStarted::Unsent { .. }
                | NotStarted::Withheld
                | NotStarted::Rests
                | NotStarted::Limited
                | NotStarted::Failed(_),
            ) => (0, 0),
        };
        self.sends += sent;
        self.runs += may_have_run;
    }
}

async fn start(call: &Arc<Call>) -> Result<Started, Error> {
    let last_event_id = last_event_id(call);
    start_after(call, Offers::default(), last_event_id).await
}

/// The last event that the caller has already, where it may resume.
pub(crate) fn last_event_id(call: &Call) -> Option<&str> {
    let id = call.head.last_event_id.as_deref();
    id.filter(|_| call.route.resumable)
}

/// Whether a generation that may have run at these engines may be begun anew at another one.
pub(crate) fn may_begin_anew(call: &Call, offers: &Offers) -> bool {
    call.route.resumable
        && !offers.restricted
        && offers.runs < call.route.attempts_max
        && call.time_left() > BEGIN_ANEW_MIN
}

/// Offers a generation to one engine after the other until one begins to answer after the given event.
pub(crate) async fn start_after(
    call: &Arc<Call>,
    mut offers: Offers,
    last_event_id: Option<&str>,
) -> Result<Started, Error> {
    let gateway = &call.gateway;
    let demand = demand(call);
    let mut reason = String::new();
    let mut tries = FailedTries::default();
    for _ in 0..OFFERS_MAX {
        if call.time_left().is_zero() {
            reason.push_str("; no time left");
            break;
        }
        // A request that ends endpoints is sent to no more of them, whatever became of its earlier tries.
        match crash_suspects::admission(call, offers.restricted) {
            Admission::Admitted => {}
            Admission::Restricted { excluded } => {
                offers.restricted = true;
                offers.excluded.extend(excluded);
            }
            Admission::Refused if offers.runs == 0 => {
                return Err(crash_suspects::refusal_error(call));
            }
            Admission::Refused => {
                reason.push_str("; endpoints end under it");
                break;
            }
        }
        if offers.sends > 0 && !gateway.try_spend_retry(&call.service) {
            reason.push_str("; retry budget spent");
            break;
        }
        let wait = wait_for_room(call, &offers);
        if !opens_in_time(call, &offers, wait).await {
            reason.push_str("; all engines rest or leave");
            break;
        }
        let wait = wait_for_room(call, &offers);
        let excluded = excluded_now(call, &offers);
        let placed = coordinator::place(gateway, &call.service, &demand, &excluded, wait).await;
        let Some(Placed {
            engine: granted,
            counted_at,
        }) = placed
        else {
            reason.push_str("; no room");
            break;
        };
        tell_placed(call, &demand, &granted);
        let patience = patience(call, &offers);
        let restricted = offers.restricted;
        let offer = Offer {
            granted: &granted,
            counted_at,
            last_event_id,
            patience,
            restricted,
        };
        let offered = offer_to(call, &demand, offer).await;
        offers.count(&offered);
        let not_started = match offered {
            Ok(begun) => return Ok(begun.started(offers)),
            Err(NotStarted::Withheld | NotStarted::Rests | NotStarted::Limited) => continue,
            Err(not_started) => not_started,
        };
        reason = not_started.why();
        let is_dead = not_started.is_dead();
        if tries.is_final(call, &offers, not_started) {
            break;
        }
        gateway
            .runs
            .note_not_taken(&call.service, &granted, is_dead);
        gateway.ledgers.changed.notify_one();
        offers.excluded.push(granted);
    }
    tries.outcome(call, offers, &reason)
}

/// What to answer where no engine begins: the truth about all engines that may have run the generation.
#[derive(Default)]
struct FailedTries {
    /// A failure that an engine answered with.
    answered: Option<Box<Begun>>,
    /// An engine may have run it, or it cannot be sent at all.
    error: Option<Error>,
}

impl FailedTries {
    /// Keeps what a try leaves to tell the caller; gives whether no other engine may be asked.
    fn is_final(&mut self, call: &Call, offers: &Offers, not_started: NotStarted) -> bool {
        match not_started {
            NotStarted::Refused { .. }
            | NotStarted::Unsent { .. }
            | NotStarted::Withheld
            | NotStarted::Rests
            | NotStarted::Limited => false,
            NotStarted::Answered(begun) => {
                self.answered = Some(begun);
                !may_begin_anew(call, offers)
            }
            NotStarted::Lost(error) => {
                self.error = Some(error);
                !may_begin_anew(call, offers)
            }
            NotStarted::Failed(error) => {
                self.error = Some(error);
                true
            }
        }
    }

    fn outcome(self, call: &Call, offers: Offers, reason: &str) -> Result<Started, Error> {
        if let Some(begun) = self.answered {
            return Ok(begun.started(offers));
        }
        // Once an engine may have run it, no later refusal makes it "not run".
        Err(self.error.unwrap_or_else(|| {
            if offers.runs == 0 {
                no_room(call, reason)
            } else {
                may_have_run(call, ErrorKind::EndpointLost, reason)
            }
        }))
    }
}

/// How long room is waited for: as long as the first event can still come within the goal; a generation that has begun, until it can just
/// be served.
fn wait_for_room(call: &Call, offers: &Offers) -> Duration {
    let usual = call
        .gateway
        .response_time(&call.service, FIRST_EVENT)
        .typical();
    let until = if offers.runs > 0 {
        call.time_left()
    } else {
        call.route.latency_objective.saturating_sub(call.age())
    };
    until.saturating_sub(usual)
}

/// Whether some engine that it may go to does not rest, or none did and one that is to be had within the wait has been waited for.
async fn opens_in_time(call: &Call, offers: &Offers, wait: Duration) -> bool {
    let gateway = &call.gateway;
    let waits_until = gateway.now().saturating_add(wait);
    let is_excluded = |engine: &EndpointEntry| offers.excluded.contains(&engine.id);
    match endpoint_cooldowns::cooldown_outlook(call, is_excluded, waits_until) {
        ServiceAvailability::Available => true,
        ServiceAvailability::AvailableAt { at } => {
            gateway.sleep_until(at).await;
            true
        }
        ServiceAvailability::Unavailable { .. } => false,
    }
}

/// Engines that are not to be granted: those that did not take it, and those that ask this instance for rest. The owner, whom they did not ask, would
/// grant them for as long as they look empty.
fn excluded_now(call: &Call, offers: &Offers) -> Vec<String> {
    let mut excluded = call.gateway.cooling_down_endpoints();
    excluded.extend(offers.excluded.iter().cloned());
    excluded.into_iter().collect()
}

/// How long an engine may take to begin: all that is left, but for what another one needs where one can be asked. Not sooner: what was read
/// of the prompt is lost with it (left when a repeat could only just meet the goal, 8.7 of 295 short generations came late and 0 with this;
/// mean of six seeds of a quiet day).
fn patience(call: &Call, offers: &Offers) -> Duration {
    let left = call.time_left();
    let another = call.route.resumable && offers.runs + 1 < call.route.attempts_max;
    if another {
        let pace = call.gateway.response_time(&call.service, FIRST_EVENT);
        left.saturating_sub(pace.typical())
    } else {
        left
    }
}

fn no_room(call: &Call, reason: &str) -> Error {
    Error::new(
        ErrorKind::NoRoom,
        format!("service {}: {reason}; not run", call.service),
    )
    .with_retry_after(
        endpoint_cooldowns::retry_after_cooldown(call).unwrap_or_else(|| room_expected(call)),
    )
}

/// When to come back to full engines. A caller comes back once: too soon, it meets the same crowd.
fn room_expected(call: &Call) -> Duration {
    let most = (call.time_left() / CALLER_HEEDS_PART).min(CROWD_LASTS);
    most.mul_f64(rand::rng().random_range(COME_BACK_SPREAD..1.0))
}

fn tell_placed(call: &Call, demand: &RunDemand, granted: &str) {
    if crate::log::admits("generation placed") {
        info!("generation placed", kv: {
            request_id = demand.run.as_str(), endpoint = granted,
            prompt_tokens: = demand.prompt_tokens,
            made_hint:? = demand.made_hint_tokens, waited_ms: = millis(call.age()),
        });
    }
}

/// How a generation is offered to an engine.
struct Offer<'a> {
    granted: &'a str,
    /// When the place was counted against the limit that the engine names.
    counted_at: Option<Duration>,
    /// The last event that the caller has.
    last_event_id: Option<&'a str>,
    patience: Duration,
    /// Whether endpoints end under its content.
    restricted: bool,
}

/// Has a generation count as one that runs at an engine.
fn register(
    call: &Arc<Call>,
    demand: &RunDemand,
    engine: &EndpointEntry,
) -> (RunGuard, mpsc::UnboundedReceiver<RunCommand>) {
    let (sender, commands) = mpsc::unbounded_channel();
    let run = Arc::new(RunHandle {
        service: call.service.clone(),
        demand: demand.clone(),
        endpoint: Mutex::new(engine.clone()),
        made_tokens: AtomicU32::new(0),
        commands: sender,
    });
    call.gateway.runs.insert(run.clone());
    let handle = RunGuard {
        call: call.clone(),
        run,
    };
    (handle, commands)
}

async fn offer_to(
    call: &Arc<Call>,
    demand: &RunDemand,
    offer: Offer<'_>,
) -> Result<Begun, NotStarted> {
    let Offer {
        granted,
        counted_at,
        last_event_id,
        patience,
        restricted,
    } = offer;
    let gateway = &call.gateway;
    let endpoint = gateway.fleet.lock().get(granted).cloned();
    let unsent = |why: &str| NotStarted::Unsent {
        why: why.to_owned(),
        dead: false,
    };
    let endpoint = endpoint.ok_or_else(|| unsent("engine unknown here"))?;
    let (handle, commands) = register(call, demand, &endpoint);
    let open_max = gateway.connections_max(&call.table, &call.service);
    // A generation is sent once: on a silent connection it would be lost. A new connection takes a round trip of its goal.
    let connection = gateway
        .upstream
        .acquire_connection(&endpoint, open_max, ConnectionReuse::Never)
        .await;
    let connection = connection.map_err(|none| NotStarted::Unsent {
        why: none.to_string(),
        dead: matches!(none, ConnectError::Refused(_)),
    })?;
    let permit = match counted_at {
        Some(_) => Some(gateway.permit_for_placement(granted, counted_at)),
        None => gateway.request_permit(&call.service, granted).await,
    };
    let permit = permit.ok_or(NotStarted::Limited)?;
    may_still_be_sent(call, &endpoint, restricted)?;
    let send = EndpointRequestHead {
        endpoint_id: &endpoint.listed_id,
        time_left: call.time_left(),
        account: call.account.as_deref(),
        priority: None,
        continue_from: None,
        last_event_id,
    };
    let request = engine::forward(&call.parts, call.body.clone(), &send).map_err(|error| {
        NotStarted::Failed(Error::new(ErrorKind::BadRequest, error.to_string()))
    })?;
    let sent_at = gateway.now();
    let sending = connection.send(request, permit);
    let answered = first_answer(call, &handle.run, last_event_id, sending);
    let answer = match gateway.wait_for(patience, answered).await {
        Some(Ok(answer)) => answer,
        Some(Err(SendError::Unsent(why))) => return Err(unsent(&why)),
        Some(Err(SendError::NoPermit)) => return Err(NotStarted::Limited),
        Some(Err(SendError::MayHaveRun(why))) => {
            aborted_requests::report(call, endpoint, Duration::ZERO).await;
            return Err(lost(call, ErrorKind::EndpointLost, &why));
        }
        None => return Err(lost(call, ErrorKind::AnswerTimeout, "no event in time")),
    };
    if answer
        .head
        .request_id
        .as_deref()
        .is_some_and(|id| id != demand.run)
    {
        return Err(lost(
            call,
            ErrorKind::EndpointLost,
            "answer of another request",
        ));
    }
    if answer.head.not_run {
        let status = answer.head.status;
        return Err(NotStarted::Refused {
            why: format!("engine refused: {status}"),
            misdirected: answer.head.misdirected,
        });
    }
    let sound = answer.head.sealed && !answer.head.encoded && answer.head.request_id.is_some();
    if answer.parts.status.is_success() && !sound {
        return Err(lost(
            call,
            ErrorKind::EndpointLost,
            "not the engine's own answer",
        ));
    }
    let fails = answer.parts.status.is_server_error();
    let begun = Begun {
        source: Source::new(answer),
        handle,
        commands,
    };
    if fails {
        return Err(NotStarted::Answered(Box::new(begun)));
    }
    let took = gateway.now().saturating_sub(sent_at);
    gateway.record_response_time(&call.service, FIRST_EVENT, took);
    Ok(begun)
}

/// Looks last before a generation is sent: news may have come since it was placed, and the machine may have been suspended.
fn may_still_be_sent(
    call: &Call,
    engine: &EndpointEntry,
    restricted: bool,
) -> Result<(), NotStarted> {
    let unsent = |why: &str| NotStarted::Unsent {
        why: why.to_owned(),
        dead: false,
    };
    if !call.gateway.fleet.lock().can_accept_work(&engine.id) {
        return Err(unsent("the engine is leaving"));
    }
    if call.gateway.is_cooling_down(&engine.id) {
        return Err(NotStarted::Rests);
    }
    if !restricted && crash_suspects::current_verdict(call) == Verdict::Refused {
        return Err(NotStarted::Withheld);
    }
    if call.time_left().is_zero() {
        return Err(unsent("no time left"));
    }
    Ok(())
}

/// Waits for the head of an engine's answer. Where the engine has made events and none has come, the generation goes on on a new connection.
async fn first_answer(
    call: &Arc<Call>,
    run: &RunHandle,
    last_event_id: Option<&str>,
    sending: impl Future<Output = Result<EndpointResponse, SendError>>,
) -> Result<EndpointResponse, SendError> {
    tokio::pin!(sending);
    let mut silence = Silence::from_now();
    let came = last_event_id.and_then(|id| id.parse().ok());
    let why = loop {
        let answered = call.gateway.wait_for(silence.ask_after, &mut sending);
        if let Some(answered) = answered.await {
            return answered;
        }
        let engine = run.endpoint.lock().clone();
        if let Some(why) = silence.ask(call, &engine, came.unwrap_or_default()).await {
            break why;
        }
    };
    let lost = |why: String| SendError::MayHaveRun(why);
    let taken_over = takeover::take_over(call, run, why).await;
    let continuation = taken_over.ok_or_else(|| lost(why.to_owned()))?;
    let answer = takeover::resume(call, &continuation, last_event_id).await;
    let answer = answer.map_err(lost)?;
    *run.endpoint.lock() = continuation.target;
    call.gateway.ledgers.changed.notify_one();
    Ok(answer)
}

/// An engine's answer, before it is known what came before it.
struct Begun {
    source: Source,
    handle: RunGuard,
    commands: mpsc::UnboundedReceiver<RunCommand>,
}

impl Begun {
    fn started(self, offers: Offers) -> Started {
        Started {
            source: self.source,
            handle: self.handle,
            commands: self.commands,
            offers,
        }
    }
}

fn lost(call: &Call, kind: ErrorKind, why: &str) -> NotStarted {
    NotStarted::Lost(may_have_run(call, kind, why))
}

fn may_have_run(call: &Call, kind: ErrorKind, why: &str) -> Error {
    let service = &call.service;
    Error::new(kind, format!("service {service}: {why}; it may have run"))
}
