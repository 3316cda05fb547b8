//! Encodes requests to endpoints and decodes their responses, including the status reports and copy
//! orders of engines.

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

use super::{names, unknown_names};
use crate::gateway::message_heads::{EndpointRequestHead, ResponseHead};
use crate::kernel::endpoint_signals::EndpointSignals;
use crate::kernel::limit::LimitSignal;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that apply to a single connection and are not forwarded (hop-by-hop headers).
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
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

/// Known headers of an endpoint's response. Some are ignored on purpose: a 421 names the id of the
/// endpoint that responds but not its service, and the remaining warm-up time of an endpoint is
/// taken from its entry.
const KNOWN_RESPONSE_HEADERS: [HeaderName; 9] = [
    names::REQUEST_ID,
    names::RESPONSE_SEAL,
    names::NOT_RUN,
    names::ENDPOINT_ID,
    names::DRAINING,
    names::RATE_LIMIT,
    RETRY_AFTER,
    names::COLD_MS,
    names::VERSIONS,
];

/// Removes hop-by-hop headers, including those that the `Connection` header names, but never a
/// header that the request depends on.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name: &HeaderName| !name.as_str().starts_with("larkwick-") && name != HOST)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

fn header_value(value: &str) -> HeaderValue {
    // Values are ids, addresses and numbers. An invalid one is sent as empty, which the endpoint
    // refuses.
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Builds the request to an endpoint: the caller's request with the headers that larkwick sets.
///
/// # Errors
/// Returns an error if the caller's request cannot be forwarded as it is.
pub fn build_forwarded_request(
    parts: &Parts,
    body: Bytes,
    head: &EndpointRequestHead<'_>,
) -> http::Result<Request<Bytes>> {
    let mut headers = parts.headers.clone();
    strip_connection_headers(&mut headers);
    for name in &names::RESERVED_HEADERS {
        headers.remove(name);
    }
    headers.insert(names::EXPECTED_ENDPOINT, header_value(head.endpoint_id));
    headers.insert(
        names::DEADLINE_MS,
        HeaderValue::from(millis(head.time_left)),
    );
    if let Some(account) = head.account {
        headers.insert(names::ACCOUNT, header_value(account));
    }
    if let Some(priority) = head.priority {
        headers.insert(names::PRIORITY, HeaderValue::from(u16::from(priority)));
    }
    if let Some(from) = &head.continue_from {
        let source = format!("{}/{}", from.copy_address, from.copy);
        headers.insert(names::CONTINUE_FROM, header_value(&source));
    }
    if let Some(address) = head.copy_at {
        headers.insert(names::KV_BACKUP_AT, header_value(&address.to_string()));
    }
    if let Some(id) = head.last_event_id {
        headers.insert(names::LAST_EVENT_ID, header_value(id));
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

/// Decodes the head of an endpoint's response.
#[must_use]
pub fn decode_response_head(parts: &response::Parts) -> ResponseHead {
    let headers = &parts.headers;
    unknown_names::record_unknown_headers("endpoint's header", headers, &KNOWN_RESPONSE_HEADERS);
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let not_run = headers.contains_key(names::NOT_RUN) || misdirected;
    ResponseHead {
        status: parts.status.as_u16(),
        request_id: text(&names::REQUEST_ID).map(str::to_owned),
        sealed: headers.contains_key(names::RESPONSE_SEAL),
        not_run,
        unproved_refusal: !not_run && PROMISING_STATUSES.contains(&parts.status),
        misdirected,
        encoded: headers.contains_key(CONTENT_ENCODING),
        closes: has_connection_close(headers),
        ends_with_connection: ends_with_connection(parts),
        idle_timeout: keep_alive_timeout(headers),
        signals: decode_signals(parts.status, headers),
    }
}

/// Statuses that promise callers that the request did not run and will not run.
const PROMISING_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Decodes the endpoint signals, which do not depend on the request that the response is for.
fn decode_signals(status: StatusCode, headers: &HeaderMap) -> EndpointSignals {
    EndpointSignals {
        draining: is_draining(headers),
        cooldown: requested_cooldown(status, headers),
        limit: rate_limit(headers),
    }
}

/// Returns the cooldown that an endpoint asks for when it refuses a request. With any other status,
/// the header is meant for the caller. The longest of several values applies.
fn requested_cooldown(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values = headers.get_all(RETRY_AFTER).iter();
    let cooldowns = values.filter_map(|value| {
        let cooldown = value.to_str().ok().and_then(parse_seconds);
        if cooldown.is_none() {
            unknown_names::record_unknown(
                "value of retry-after",
                &String::from_utf8_lossy(value.as_bytes()),
            );
        }
        cooldown
    });
    cooldowns.max()
}

/// Parses a number of seconds, which may be a fraction. Returns the longest duration if it is too
/// large.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if seconds.is_nan() || seconds < 0.0 {
        return None;
    }
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn is_draining(headers: &HeaderMap) -> bool {
    let values = headers.get_all(names::DRAINING).iter();
    let mut draining = false;
    for value in values {
        match value.as_bytes().trim_ascii() {
            b"1" => draining = true,
            b"0" => {}
            other => unknown_names::record_unknown(
                "value of server-leaving",
                &String::from_utf8_lossy(other),
            ),
        }
    }
    draining
}

/// Returns the rate limit that an endpoint sets for all instances together. The lowest of several
/// values applies.
fn rate_limit(headers: &HeaderMap) -> LimitSignal {
    let mut limit = LimitSignal::Absent;
    for value in headers.get_all(names::RATE_LIMIT) {
        let per_s = value.to_str().ok().and_then(parse_non_negative);
        if per_s.is_none() {
            let text = String::from_utf8_lossy(value.as_bytes());
            unknown_names::record_unknown("value of server-limit", &text);
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

fn parse_non_negative(text: &str) -> Option<f64> {
    let number: f64 = text.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Returns whether nothing but the end of the connection tells where the body ends.
fn ends_with_connection(parts: &response::Parts) -> bool {
    let has_no_body = matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let headers = &parts.headers;
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !is_framed && !has_no_body
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let mut options = values.flat_map(|value| value.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns the time for which an endpoint keeps an idle connection open, if it announces one.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut fields = value.split(',').map(str::trim);
    let seconds = fields.find_map(|field| field.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the headers of the response to the caller: those of the endpoint without hop-by-hop
/// headers and without its signals to larkwick (draining, rate limit and cooldown).
#[must_use]
pub fn caller_response_headers(parts: &response::Parts) -> HeaderMap {
    let mut headers = parts.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(names::DRAINING);
    headers.remove(names::RATE_LIMIT);
    if parts.status == StatusCode::SERVICE_UNAVAILABLE {
        headers.remove(RETRY_AFTER);
    }
    headers
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireCopyOrder<'a> {
    id: &'a str,
    /// Address of the engine that receives the copy, despite the name of the field.
    target_version: String,
    last: bool,
}

#[derive(Deserialize)]
struct WireCopyResult {
    /// Name of the copy.
    handle: Option<serde_json::Value>,
}

/// Outcome of an order to copy the KV memory of a running generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is complete as of now; contains its name.
    Done(String),
    /// The engine does not run this generation, or no longer does.
    NotRunning,
    /// Another copy of this generation is in progress.
    Busy,
    /// The target has no capacity or is unreachable. If the generation was stopped for the copy,
    /// contains the name of the copy that the source keeps.
    NoRoom(Option<String>),
    /// The response cannot be decoded; contains the reason.
    Unreadable(String),
}

/// Builds the order to copy the KV memory of a running generation. With `stop`, the generation is
/// stopped first.
///
/// # Errors
/// Returns an error if the request cannot be built.
pub fn build_move_request(
    source: SocketAddr,
    run: &str,
    target: SocketAddr,
    stop: bool,
) -> http::Result<Request<Bytes>> {
    let order = WireCopyOrder {
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

/// Builds the request to free a copy that an engine made, at both engines.
///
/// # Errors
/// Returns an error if the name of the copy cannot be part of a path.
pub fn build_free_copy_request(source: SocketAddr, copy: &str) -> http::Result<Request<Bytes>> {
    Request::builder()
        .method(Method::DELETE)
        .uri(format!("{}{copy}", names::COPY_PATH))
        .header(HOST, source.to_string())
        .body(Bytes::new())
}

/// Decodes the response to [`build_move_request`].
#[must_use]
pub fn decode_copy_outcome(status: u16, body: &[u8]) -> CopyOutcome {
    let result: Option<WireCopyResult> = serde_json::from_slice(body).ok();
    let handle = result
        .and_then(|result| result.handle)
        .map(|handle| match handle {
            serde_json::Value::String(text) => text,
            other => other.to_string(),
        });
    match (status, handle) {
        (200, Some(handle)) => CopyOutcome::Done(handle),
        (404, _) => CopyOutcome::NotRunning,
        (409, _) => CopyOutcome::Busy,
        (503, handle) => CopyOutcome::NoRoom(handle),
        (status, _) => CopyOutcome::Unreadable(format!("status {status}")),
    }
}

#[derive(Deserialize)]
struct WireReport {
    /// `ready`, or `draining` before a planned stop.
    #[serde(default)]
    state: String,
    /// Milliseconds until the planned stop, if known.
    leaves_ms: Option<f64>,
    /// Start time, in milliseconds since the Unix epoch.
    born: Option<u64>,
    /// Number of queued requests; `None` if not reported.
    queued: Option<f64>,
    /// Running generations, each one a list: request id, tokens in memory, events generated,
    /// priority.
    #[serde(default)]
    runs: Vec<serde_json::Value>,
}

/// Status report of an engine. It is half a second old when it arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine is draining.
    pub draining: bool,
    /// Time from the report to the engine's planned end, if it is known.
    pub leaves_in: Option<Duration>,
    /// Start time, in milliseconds since the Unix epoch, if reported.
    pub born_ms: Option<u64>,
    /// Whether the engine reported that it has no queued requests.
    is_queue_empty: bool,
    /// Number of events generated so far, by request id.
    events_by_run: HashMap<String, u64>,
}

impl EngineReport {
    /// Returns the number of events that a generation has produced so far, or `None` if the engine
    /// does not run it.
    #[must_use]
    pub fn generated_events(&self, request_id: &str) -> Option<u64> {
        self.events_by_run.get(request_id).copied()
    }

    /// Returns whether the engine no longer has a generation: it does not run it, and the
    /// generation cannot be queued there for memory.
    #[must_use]
    pub fn is_done_with(&self, request_id: &str) -> bool {
        self.is_queue_empty && !self.events_by_run.contains_key(request_id)
    }
}

/// Builds the request for an engine's report.
///
/// # Errors
/// Returns an error if the request cannot be built.
pub fn build_report_request(engine: SocketAddr) -> http::Result<Request<Bytes>> {
    Request::builder()
        .method(Method::GET)
        .uri(names::REPORT_PATH)
        .header(HOST, engine.to_string())
        .body(Bytes::new())
}

/// Builds a request for an engine's report that every other endpoint refuses as misdirected.
///
/// # Errors
/// Returns an error if the request cannot be built.
pub fn build_presence_request(engine: SocketAddr, listed_id: &str) -> http::Result<Request<Bytes>> {
    let mut request = build_report_request(engine)?;
    let headers = request.headers_mut();
    headers.insert(names::EXPECTED_ENDPOINT, header_value(listed_id));
    Ok(request)
}

/// Builds a health check of an endpoint that every other endpoint refuses as misdirected.
///
/// # Errors
/// Returns an error if the request cannot be built.
pub fn build_identity_request(
    endpoint: SocketAddr,
    health_path: &str,
    listed_id: &str,
) -> http::Result<Request<Bytes>> {
    Request::builder()
        .method(Method::GET)
        .uri(health_path)
        .header(HOST, endpoint.to_string())
        .header(names::EXPECTED_ENDPOINT, header_value(listed_id))
        .body(Bytes::new())
}

/// Decodes an engine's report.
///
/// # Errors
/// Returns an error if the text is not a report.
pub fn decode_report(text: &[u8]) -> Result<EngineReport, String> {
    let wire: WireReport = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    // Malformed generations are skipped, so that the announcement of a planned stop is always read.
    let events_by_run = wire.runs.iter().filter_map(|run| {
        let (request_id, events) = (run.get(0)?.as_str()?, run.get(2)?.as_u64()?);
        Some((request_id.to_owned(), events))
    });
    let leaves_ms = wire.leaves_ms.filter(|leaves_ms| leaves_ms.is_finite());
    let leaves_in =
        leaves_ms.and_then(|leaves_ms| Duration::try_from_secs_f64(leaves_ms.max(0.0) / 1e3).ok());
    Ok(EngineReport {
        leaves_in,
        draining: wire.state == "draining" || wire.leaves_ms.is_some(),
        born_ms: wire.born,
        is_queue_empty: wire.queued.is_some_and(|queued| queued <= 0.0),
        events_by_run: events_by_run.collect(),
    })
}
