//! Calls with one answer: sent to an endpoint that fares well, and sent again only where nothing can run twice by it.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use spdlog::info;

use super::answer_body::{AnswerBody, whole};
use super::broken_off;
use super::call::SendHead;
use super::endpoint_choice::choose;
use super::inbound_call::Call;
use super::node::Gateway;
use super::permits::Permit;
use super::rests;
use super::suspects::{self, Admission};
use super::upstream::{Answer, RestedWith, Reuse, SendFailure};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::cooldown::ServiceAvailability;
use crate::kernel::crash_suspects::Verdict;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::response_time::ResponseTimeEstimate;
use crate::kernel::route::CallKind;
use crate::platform::{engine, ingress};

/// Largest answer that is held whole before it is passed on.
const ANSWER_MAX_BYTES: usize = 4 << 20;
/// Sends of one call, those that endpoints refused included.
const SENDS_MAX: u32 = 4;
/// Time to an answer before any was seen; plain services that were measured took 45 ms and varied by 20.
const ANSWER: ResponseTimeEstimate = ResponseTimeEstimate::initial(0.06, 0.03);
/// An answer that was not waited for counts as having taken this many times as long, so that patience grows with a slower service.
const LATE_TIMES: u32 = 2;
/// An answer is overdue after this many times what all but a few take.
const OVERDUE_TIMES: u32 = 4;
/// Endpoints that one call asks for a permit in vain; each costs a question to another instance.
const VAIN_ASKS_MAX: u32 = 6;
/// Below this much time left, nothing new is sent.
const TIME_LEFT_MIN: Duration = Duration::from_millis(3);

/// A whole answer of an endpoint.
pub(crate) struct WholeAnswer {
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
}

/// How an attempt ended.
enum Attempt {
    Answered(WholeAnswer),
    /// The endpoint says that it did not run the request, or nothing was sent.
    NotRun(String),
    /// Endpoints end under it, as was found meanwhile. Nothing was sent.
    Withheld,
    /// The endpoint has asked for rest meanwhile. Nothing was sent.
    Rests,
    /// The endpoint takes no more from all instances for now. Nothing was sent.
    Limited,
    /// Another endpoint is at its address and did not run the request.
    Misdirected,
    /// Sent, and not known whether it ran.
    MayHaveRun(String),
    /// Sent, and no answer in the time given.
    TimedOut,
}

/// What became of the attempts so far.
#[derive(Default)]
struct Attempts {
    /// Requests that left this instance, refused ones included.
    sends: u32,
    /// Endpoints that may have run it.
    may_have_run: u32,
    tried: HashSet<String>,
    /// A failure that an endpoint answered with, kept in case no other attempt does better.
    failure_answer: Option<WholeAnswer>,
    timed_out: bool,
    last_reason: String,
    /// Whether endpoints end under its content, and only those with other software may run it.
    restricted: bool,
}

/// Answers a call.
pub(crate) async fn answer(call: Call) -> Response<AnswerBody> {
    let mut attempts = Attempts::default();
    call.gateway.count_first_send(&call.service);
    let answered = run(&call, &mut attempts).await;
    let took_ms = millis(call.age());
    let (response, outcome) = match answered {
        Ok(answer) => {
            let status = answer.parts.status.as_u16();
            (deliver(answer), format!("answered {status}"))
        }
        Err(error) => {
            let response = ingress::refusal(&error).map(whole);
            (response, format!("{:?}", error.kind))
        }
    };
    metrics::counter!("larkwick_calls_total", "outcome" => outcome.clone()).increment(1);
    metrics::histogram!("larkwick_call_seconds").record(call.age().as_secs_f64());
    if crate::log::admits("call ended") {
        info!("call ended", kv: {
            request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(),
            config_version: = call.table.version(),
            outcome = outcome.as_str(),
            sends: = attempts.sends,
            tried:? = attempts.tried,
            last_reason = attempts.last_reason.as_str(),
            took_ms:,
        });
    }
    response
}

fn deliver(answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(whole(answer.body));
    *response.status_mut() = answer.parts.status;
    *response.headers_mut() = engine::answer_headers(&answer.parts);
    response
}

async fn run(call: &Call, attempts: &mut Attempts) -> Result<WholeAnswer, Error> {
    let repeatable = call.route.kind == CallKind::Repeatable;
    // A request that ends endpoints is sent to no more of them.
    match suspects::admission(call, false) {
        Admission::Sent => {}
        Admission::Restricted { excluded } => {
            attempts.restricted = true;
            attempts.tried.extend(excluded);
        }
        Admission::Refused => return Err(suspects::refused(call)),
    }
    while let Some((endpoint, permit)) = next_endpoint(call, &attempts.tried).await {
        let is_repeat = attempts.sends > 0;
        if is_repeat && !call.gateway.take_retry(&call.service) {
            "retry budget spent".clone_into(&mut attempts.last_reason);
            break;
        }
        attempts.tried.insert(endpoint.id.clone());
        let mut health = HealthGuard::begin(&call.gateway, &endpoint);
        let attempt = attempt(call, &endpoint, permit, attempts).await;
        health.failed = endpoint_failed(&attempt);
        drop(health);
        if matches!(attempt, Attempt::Misdirected) {
            let now = call.gateway.now();
            call.gateway.health.lock().record_absent(&endpoint.id, now);
        }
        match attempt {
            Attempt::Answered(answer) => {
                let failed = answer.parts.status.is_server_error();
                if !(failed && repeatable && may_repeat(call, attempts)) {
                    return Ok(answer);
                }
                attempts.last_reason = format!("endpoint answered {}", answer.parts.status);
                attempts.failure_answer = Some(answer);
            }
            Attempt::NotRun(why) => attempts.last_reason = why,
            Attempt::Withheld => {
                "endpoints end under it".clone_into(&mut attempts.last_reason);
                if attempts.may_have_run == 0 && attempts.failure_answer.is_none() {
                    return Err(suspects::refused(call));
                }
                break;
            }
            Attempt::Rests => "the endpoint rests".clone_into(&mut attempts.last_reason),
            Attempt::Limited => {
                "the endpoint takes no more for now".clone_into(&mut attempts.last_reason);
            }
            Attempt::Misdirected => {
                "another endpoint is at its address".clone_into(&mut attempts.last_reason);
            }
            Attempt::MayHaveRun(why) => {
                attempts.last_reason = why;
                if !repeatable {
                    break;
                }
            }
            Attempt::TimedOut => {
                "no answer in time".clone_into(&mut attempts.last_reason);
                attempts.timed_out = true;
                if !repeatable {
                    break;
                }
            }
        }
        let runs_max = if attempts.restricted {
            1
        } else {
            call.route.attempts_max
        };
        let out_of_runs = attempts.may_have_run >= runs_max;
        if out_of_runs || attempts.sends >= SENDS_MAX || call.time_left() < TIME_LEFT_MIN {
            break;
        }
    }
    match attempts.failure_answer.take() {
        Some(answer) => Ok(answer),
        None => Err(failure(call, attempts)),
    }
}

/// The endpoint to try next, with the permit that it takes. Where all rest or take no more for now, the first one that is to be had within the goal
/// is waited for.
async fn next_endpoint(call: &Call, tried: &HashSet<String>) -> Option<(EndpointEntry, Permit)> {
    let gateway = &call.gateway;
    let mut vain_asks = 0;
    loop {
        if let Some(chosen) = choose(call, tried, ANSWER) {
            // Without a permit it is not chosen again before one may be had.
            if let Some(permit) = gateway.permit(&call.service, &chosen.id).await {
                return Some((chosen, permit));
            }
            vain_asks += 1;
            if vain_asks >= VAIN_ASKS_MAX || call.time_left() < TIME_LEFT_MIN {
                return None;
            }
            continue;
        }
        let usual = gateway.pace(&call.service, ANSWER).typical();
        let waits_until = (call.arrived + call.route.latency_objective).saturating_sub(usual);
        let is_tried = |endpoint: &EndpointEntry| tried.contains(&endpoint.id);
        match rests::outlook(call, is_tried, waits_until) {
            ServiceAvailability::AvailableAt { at } => gateway.sleep_until(at).await,
            ServiceAvailability::Available | ServiceAvailability::Unavailable { .. } => {
                return None;
            }
        }
    }
}

fn may_repeat(call: &Call, attempts: &Attempts) -> bool {
    attempts.may_have_run < call.route.attempts_max
        && attempts.sends < SENDS_MAX
        && call.age() < call.route.latency_objective
}

/// The error that tells the truth about all attempts.
fn failure(call: &Call, attempts: &Attempts) -> Error {
    let reason = &attempts.last_reason;
    if attempts.may_have_run > 0 {
        let kind = if attempts.timed_out {
            ErrorKind::AnswerTimeout
        } else {
            ErrorKind::EndpointLost
        };
        return Error::new(
            kind,
            format!("service {}: {reason}; it may have run", call.service),
        );
    }
    let closed_for = rests::come_back_after(call);
    if attempts.tried.is_empty() && closed_for.is_none() {
        return Gateway::no_endpoint(&call.service).with_retry_after(NO_ENDPOINT_RETRY_AFTER);
    }
    let reason = if attempts.tried.is_empty() {
        "all endpoints rest, leave or take no more for now"
    } else {
        reason
    };
    Error::new(
        ErrorKind::EndpointRefused,
        format!("service {}: {reason}; not run", call.service),
    )
    .with_retry_after(closed_for.unwrap_or(REFUSED_RETRY_AFTER))
}

/// Endpoints that left are replaced within seconds.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// A full endpoint has a free slot again after a few calls' time.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Counts a call at an endpoint, also where the caller leaves before its end.
struct HealthGuard<'a> {
    gateway: &'a Gateway,
    endpoint: &'a EndpointEntry,
    begun: Duration,
    /// Whether the endpoint failed, where that is known.
    failed: Option<bool>,
}

impl<'a> HealthGuard<'a> {
    fn begin(gateway: &'a Gateway, endpoint: &'a EndpointEntry) -> Self {
        let begun = gateway.now();
        gateway.health.lock().record_start(&endpoint.id, begun);
        Self {
            gateway,
            endpoint,
            begun,
            failed: None,
        }
    }
}

impl Drop for HealthGuard<'_> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut health = self.gateway.health.lock();
        health.record_end(&self.endpoint.id, self.begun, self.failed, now);
    }
}

/// What an attempt says of its endpoint.
fn endpoint_failed(attempt: &Attempt) -> Option<bool> {
    match attempt {
        // An endpoint's own failures say little: some calls fail everywhere.
        Attempt::Answered(answer) if answer.parts.status.is_server_error() => None,
        Attempt::Answered(_) => Some(false),
        Attempt::Withheld | Attempt::Rests | Attempt::Limited => None,
        Attempt::NotRun(_) | Attempt::Misdirected | Attempt::MayHaveRun(_) | Attempt::TimedOut => {
            Some(true)
        }
    }
}

async fn attempt(
    call: &Call,
    endpoint: &EndpointEntry,
    permit: Permit,
    attempts: &mut Attempts,
) -> Attempt {
    let gateway = &call.gateway;
    let open_max = gateway.connections_max(&call.table, &call.service);
    // A first attempt without an answer may have gone out on a connection that went silent while it rested; the next one must not.
    let reuse = if attempts.may_have_run > 0 {
        Reuse::Never
    } else {
        Reuse::Allowed
    };
    let connection = gateway.upstream.connection(endpoint, open_max, reuse);
    let connection = match connection.await {
        Ok(connection) => connection,
        Err(none) => return Attempt::NotRun(none.to_string()),
    };
    // News of a departure may have come since the choice.
    if !gateway.fleet.lock().takes_work(&endpoint.id) {
        return Attempt::NotRun("the endpoint is leaving".to_owned());
    }
    if gateway.rests(&endpoint.id) {
        return Attempt::Rests;
    }
    if !attempts.restricted && suspects::verdict(call) == Verdict::Refused {
        return Attempt::Withheld;
    }
    // Its time may be over since the choice: the machine may have been suspended.
    if call.time_left() < TIME_LEFT_MIN {
        return Attempt::NotRun("no time left".to_owned());
    }
    let send = SendHead {
        endpoint_id: &endpoint.listed_id,
        time_left: call.time_left(),
        account: call.account.as_deref(),
        priority: None,
        continue_from: None,
        last_event_id: None,
    };
    let request = match engine::forward(&call.parts, call.body.clone(), &send) {
        Ok(request) => request,
        Err(error) => return Attempt::NotRun(error.to_string()),
    };
    attempts.sends += 1;
    let patience = patience(call, attempts);
    let is_given_up = patience < call.time_left();
    let rested = connection.rested_with();
    let overdue_after = gateway.pace(&call.service, ANSWER).overdue() * OVERDUE_TIMES;
    let answered = Box::pin(async {
        let answer = connection.send(request, permit).await?;
        read_whole(gateway, &call.head.request_id, answer).await
    });
    let answered = distrusting(rested.as_ref(), overdue_after, answered);
    let answered = gateway.wait_for(patience, answered);
    let sent_at = gateway.now();
    let attempt = match answered.await {
        Some(Ok(attempt)) => {
            let took = gateway.now().saturating_sub(sent_at);
            gateway.note_pace(&call.service, ANSWER, took);
            attempt
        }
        Some(Err(SendFailure::Unsent(why))) => Attempt::NotRun(why),
        Some(Err(SendFailure::NoPermit)) => {
            attempts.sends -= 1;
            Attempt::Limited
        }
        Some(Err(SendFailure::MayHaveRun(why))) => {
            broken_off::note(call, endpoint.clone(), Duration::ZERO).await;
            Attempt::MayHaveRun(why)
        }
        None => {
            if is_given_up {
                gateway.note_pace(&call.service, ANSWER, patience * LATE_TIMES);
            }
            if let Some(rested) = &rested {
                rested.distrust();
            }
            Attempt::TimedOut
        }
    };
    if matches!(&attempt, Attempt::Answered(answer) if answer.parts.status.is_success()) {
        suspects::note_survived(call, endpoint);
    }
    if !matches!(
        attempt,
        Attempt::NotRun(_) | Attempt::Misdirected | Attempt::Limited
    ) {
        attempts.may_have_run += 1;
    }
    attempt
}

/// Waits for an answer. Where it is overdue on a connection that had rested, other calls need not go out on those that rested with it: a call that
/// cannot be sent again waits for its answer to the end.
async fn distrusting<T>(
    rested: Option<&RestedWith>,
    overdue_after: Duration,
    answered: impl Future<Output = T>,
) -> T {
    let Some(rested) = rested else {
        return answered.await;
    };
    tokio::pin!(answered);
    if let Ok(answered) = tokio::time::timeout(overdue_after, &mut answered).await {
        return answered;
    }
    rested.distrust();
    answered.await
}

/// How long this attempt may take: all that is left, unless another one can follow in time.
fn patience(call: &Call, attempts: &Attempts) -> Duration {
    let left = call.time_left();
    // With nobody else to ask, an answer that comes late is better than none.
    let another = call.route.kind == CallKind::Repeatable
        && attempts.may_have_run + 1 < call.route.attempts_max
        && rests::has_another(call, &attempts.tried);
    if another {
        let pace = call.gateway.pace(&call.service, ANSWER);
        left.min(pace.timeout(call.route.latency_objective.saturating_sub(call.age())))
    } else {
        left
    }
}

/// Reads an answer to its end and looks whether it is the answer to this request.
async fn read_whole(
    gateway: &Gateway,
    request_id: &str,
    answer: Answer,
) -> Result<Attempt, SendFailure> {
    let Answer {
        parts,
        head,
        body,
        connection,
    } = answer;
    if head
        .request_id
        .as_deref()
        .is_some_and(|id| id != request_id)
    {
        let why = "the answer belongs to another request".to_owned();
        return Err(SendFailure::MayHaveRun(why));
    }
    let collected = Limited::new(body, ANSWER_MAX_BYTES).collect().await;
    let body = collected
        .map_err(|error| SendFailure::MayHaveRun(format!("the answer broke off: {error}")))?;
    gateway.upstream.give_back(connection, &head);
    if head.misdirected {
        return Ok(Attempt::Misdirected);
    }
    if head.not_run {
        return Ok(Attempt::NotRun(format!(
            "endpoint refused: {}",
            head.status
        )));
    }
    let is_success = parts.status.is_success();
    if is_success && (!head.sealed || head.encoded || head.request_id.is_none()) {
        let why = "the answer is not the endpoint's own".to_owned();
        return Err(SendFailure::MayHaveRun(why));
    }
    Ok(Attempt::Answered(WholeAnswer {
        parts,
        body: body.to_bytes(),
    }))
}
