//! What endpoints get and what they answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue,
    RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::request::Parts;
use http::{HeaderMap, Method, Request, StatusCode, response};
use serde::{Deserialize, Serialize};

use super::{names, unknown};
use crate::gateway::message_heads::{EndpointRequestHead, ResponseHead};
use crate::kernel::endpoint_signals::EndpointSignals;
use crate::kernel::limit::LimitSignal;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that belong to one connection.
const PER_CONNECTION: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    CONTENT_LENGTH,
];

/// Headers of an endpoint's answer that are read, or left aside: the id of who answers is told by a 421 without its service, and how cold an endpoint
/// is stands in its entry.
const OF_ANSWERS: [HeaderName; 9] = [
    names::REQUEST_ID,
    names::SEAL,
    names::NOT_RUN,
    names::ENDPOINT_ID,
    names::LEAVING,
    names::LIMIT,
    RETRY_AFTER,
    names::COLD_MS,
    names::VERSIONS,
];

/// Drops what belongs to one connection, also what the `Connection` header names, but never a header that the request depends on.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name: &HeaderName| !name.as_str().starts_with("larkwick-") && name != HOST)
        .collect();
    for name in named.iter().chain(&PER_CONNECTION) {
        headers.remove(name);
    }
}

fn header(value: &str) -> HeaderValue {
    // Values are ids, addresses and numbers; one that is no header value would be refused as empty by the endpoint.
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// The request for an endpoint: the caller's own, but for what larkwick sets.
///
/// # Errors
/// The caller's request cannot be sent on as it is.
pub fn forward(
    parts: &Parts,
    body: Bytes,
    send: &EndpointRequestHead<'_>,
) -> http::Result<Request<Bytes>> {
    let mut headers = parts.headers.clone();
    strip_connection_headers(&mut headers);
    for name in &names::SET_BY_US {
        headers.remove(name);
    }
    headers.insert(names::EXPECTED_ENDPOINT, header(send.endpoint_id));
    headers.insert(
        names::DEADLINE_MS,
        HeaderValue::from(millis(send.time_left)),
    );
    if let Some(account) = send.account {
        headers.insert(names::ACCOUNT, header(account));
    }
    if let Some(priority) = send.priority {
        headers.insert(names::PRIORITY, HeaderValue::from(u16::from(priority)));
    }
    if let Some(from) = &send.continue_from {
        let source = format!("{}/{}", from.copy_address, from.copy);
        headers.insert(names::CONTINUE_FROM, header(&source));
    }
    if let Some(id) = send.last_event_id {
        headers.insert(names::LAST_EVENT_ID, header(id));
    }
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", http::uri::PathAndQuery::as_str);
    let mut request = Request::builder()
        .method(parts.method.clone())
        .uri(path)
        .body(body)?;
    *request.headers_mut() = headers;
    Ok(request)
}

fn millis(time: Duration) -> u64 {
    crate::kernel::clock::millis(time)
}

/// Reads the head of an endpoint's answer.
#[must_use]
pub fn decode_answer(parts: &response::Parts) -> ResponseHead {
    let headers = &parts.headers;
    unknown::note_headers("endpoint's header", headers, &OF_ANSWERS);
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let not_run = headers.contains_key(names::NOT_RUN) || misdirected;
    ResponseHead {
        status: parts.status.as_u16(),
        request_id: text(&names::REQUEST_ID).map(str::to_owned),
        sealed: headers.contains_key(names::SEAL),
        not_run,
        misdirected,
        encoded: headers.contains_key(CONTENT_ENCODING),
        closes: connection_closes(headers),
        idle_timeout: kept_for(headers),
        signals: decode_word(parts.status, headers),
    }
}

/// Reads what an endpoint says of itself, whatever it answers.
fn decode_word(status: StatusCode, headers: &HeaderMap) -> EndpointSignals {
    EndpointSignals {
        draining: says_leaving(headers),
        cooldown: rest_asked(status, headers),
        limit: limit_named(headers),
    }
}

/// For how long an endpoint that turns a request away asks us to send it nothing. With other answers the same header is for the caller. Of several
/// values the longest counts.
fn rest_asked(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values = headers.get_all(RETRY_AFTER).iter();
    let rests = values.filter_map(|value| {
        let rest = value.to_str().ok().and_then(seconds);
        if rest.is_none() {
            unknown::note(
                "value of retry-after",
                &String::from_utf8_lossy(value.as_bytes()),
            );
        }
        rest
    });
    rests.max()
}

/// A time in seconds, fractions included; the longest one there is where it fits no clock.
fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if seconds.is_nan() || seconds < 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn says_leaving(headers: &HeaderMap) -> bool {
    let values = headers.get_all(names::LEAVING).iter();
    let mut leaving = false;
    for value in values {
        match value.as_bytes().trim_ascii() {
            b"1" => leaving = true,
            b"0" => {}
            other => unknown::note("value of server-leaving", &String::from_utf8_lossy(other)),
        }
    }
    leaving
}

/// Requests a second that an endpoint takes from all instances together. Of several values the lowest counts.
fn limit_named(headers: &HeaderMap) -> LimitSignal {
    let mut limit = LimitSignal::Absent;
    for value in headers.get_all(names::LIMIT) {
        let per_s = value.to_str().ok().and_then(decimal);
        if per_s.is_none() {
            let text = String::from_utf8_lossy(value.as_bytes());
            unknown::note("value of server-limit", &text);
        }
        limit = match (limit, per_s) {
            (LimitSignal::PerS(known), Some(per_s)) => LimitSignal::PerS(known.min(per_s)),
            (LimitSignal::PerS(known), None) => LimitSignal::PerS(known),
            (_, Some(per_s)) => LimitSignal::PerS(per_s),
            (_, None) => LimitSignal::Invalid,
        };
    }
    limit
}

/// A decimal number that is not negative.
fn decimal(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn connection_closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut words = values.filter_map(|value| value.to_str().ok());
    words.any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Seconds that an endpoint keeps an idle connection.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut fields = value.split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// The head of the answer to the caller: the endpoint's own, but for what it says to us of itself: that it leaves, how much it takes, and for
/// how long we are to leave it alone.
#[must_use]
pub fn answer_headers(parts: &response::Parts) -> HeaderMap {
    let mut headers = parts.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(names::LEAVING);
    headers.remove(names::LIMIT);
    if parts.status == StatusCode::SERVICE_UNAVAILABLE {
        headers.remove(RETRY_AFTER);
    }
    headers
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireMove<'a> {
    id: &'a str,
    /// The wire says version; it is the address of the engine that gets the copy.
    target_version: String,
    last: bool,
}

#[derive(Deserialize)]
struct WireMoved {
    /// Names the copy.
    handle: Option<serde_json::Value>,
}

/// What became of an order to copy a running generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Copied {
    /// The copy is whole as of now; its name.
    Done(String),
    /// The engine does not run this generation (any more).
    NotRunning,
    /// Another copy of it is under way.
    Busy,
    /// No room or no way there. Where the run was stopped for it, the name of what the source keeps.
    NoRoom(Option<String>),
    /// An answer that cannot be read.
    Unreadable(String),
}

/// The order to copy a running generation's memory; with `stop` the run stops first.
///
/// # Errors
/// The request cannot be built.
pub fn move_request(
    source: SocketAddr,
    run: &str,
    target: SocketAddr,
    stop: bool,
) -> http::Result<Request<Bytes>> {
    let order = WireMove {
        id: run,
        target_version: target.to_string(),
        last: stop,
    };
    let body = serde_json::to_vec(&order).unwrap_or_default();
    Request::builder()
        .method(Method::POST)
        .uri(names::MOVE_PATH)
        .header(HOST, source.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
}

/// Reads the answer to [`move_request`].
#[must_use]
pub fn decode_moved(status: u16, body: &[u8]) -> Copied {
    let moved: Option<WireMoved> = serde_json::from_slice(body).ok();
    let handle = moved
        .and_then(|moved| moved.handle)
        .map(|handle| match handle {
            serde_json::Value::String(text) => text,
            other => other.to_string(),
        });
    match (status, handle) {
        (200, Some(handle)) => Copied::Done(handle),
        (404, _) => Copied::NotRunning,
        (409, _) => Copied::Busy,
        (503, handle) => Copied::NoRoom(handle),
        (status, _) => Copied::Unreadable(format!("status {status}")),
    }
}

#[derive(Deserialize)]
struct WireReport {
    /// `ready`, or `draining` before a planned end.
    #[serde(default)]
    state: String,
    /// Milliseconds until the end, where it is known.
    leaves_ms: Option<f64>,
    /// Unix milliseconds of its start.
    born: Option<u64>,
    /// Requests that wait; nothing where it does not say.
    queued: Option<f64>,
    /// Each one a list: its request, tokens in memory, events made, priority.
    #[serde(default)]
    runs: Vec<serde_json::Value>,
}

/// What an engine says of itself, half a second late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it started, where it tells.
    pub born_ms: Option<u64>,
    /// Whether no request waits at it, as far as it says.
    nobody_waits: bool,
    /// Events that its generations have made, by request.
    runs: HashMap<String, u64>,
}

impl EngineReport {
    /// Events that a generation has made; nothing where the engine does not run it.
    #[must_use]
    pub fn made(&self, request_id: &str) -> Option<u64> {
        self.runs.get(request_id).copied()
    }

    /// Whether it has nothing to do with a generation any more: it neither runs it nor may it wait there for memory.
    #[must_use]
    pub fn is_done_with(&self, request_id: &str) -> bool {
        self.nobody_waits && !self.runs.contains_key(request_id)
    }
}

/// The question for an engine's report.
///
/// # Errors
/// The request cannot be built.
pub fn report_request(engine: SocketAddr) -> http::Result<Request<Bytes>> {
    Request::builder()
        .method(Method::GET)
        .uri(names::REPORT_PATH)
        .header(HOST, engine.to_string())
        .body(Bytes::new())
}

/// Reads an engine's report.
///
/// # Errors
/// The text is not a report.
pub fn decode_report(text: &[u8]) -> Result<EngineReport, String> {
    let wire: WireReport = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    // What an engine says of its end must be read, whatever its generations look like.
    let runs = wire.runs.iter().filter_map(|run| {
        let (request, made) = (run.get(0)?.as_str()?, run.get(2)?.as_u64()?);
        Some((request.to_owned(), made))
    });
    Ok(EngineReport {
        leaving: wire.state == "draining" || wire.leaves_ms.is_some(),
        born_ms: wire.born,
        nobody_waits: wire.queued.is_some_and(|queued| queued <= 0.0),
        runs: runs.collect(),
    })
}
