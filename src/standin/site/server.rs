//! Servers of the stand-in platform: plain servers, and engines that stream events and copy
//! their memory.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt, stream};
use http::header::{CONTENT_ENCODING, RETRY_AFTER};
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::copies::MemoryCopies;
use super::{Listener, StandinBody, add_unknown_header, build_response, serve_at};
use crate::platform::names;

/// Interval between two events of an engine; short, so that tests run quickly.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a server that crashes still listens after it has closed its connections, if it
/// closes these first.
const LISTENING_AFTER_CLOSE: Duration = Duration::from_millis(3);
/// Duration of a memory copy.
const COPY_DURATION: Duration = Duration::from_millis(40);

/// Path of the health checks.
pub(super) const HEALTH_PATH: &str = "/healthz";

/// Event that [`ServerFault::SkipsEvent`] omits.
const SKIPPED_EVENT: u32 = 5;
/// Delay of [`ServerFault::RespondsLate`]: many times the usual response time.
pub const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(700);

/// Delay of [`ServerFault::AnswersStopsLate`]: longer than callers go without an event.
pub const LATE_STOP_DELAY: Duration = Duration::from_secs(2);

/// Kind of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// Returns one complete response per call.
    Plain,
    /// Streams events; the last segment of the request path is their number.
    Engine,
}

/// Injected fault of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServerFault {
    /// No fault.
    #[default]
    None,
    /// Refuses each request before it runs.
    Refuses,
    /// Runs each request and closes the connection instead of responding.
    RunsAndCloses,
    /// Runs each request and never responds.
    RunsAndHangs,
    /// Delays each response by [`LATE_RESPONSE_DELAY`].
    RespondsLate,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Responds with status 500.
    InternalError,
    /// Runs each request and responds with status 503, without saying that it did not run.
    RunsAndRefuses,
    /// Omits the response seal.
    Unsealed,
    /// Copies the memory of its generations, and does not stop them for a move.
    RefusesStops,
    /// Refuses to receive memory copies.
    RefusesCopies,
    /// Receives memory copies and refuses to continue from them.
    DropsCopies,
    /// Receives memory copies, and encodes the response that continues from them.
    EncodesResumed,
    /// Omits one event of each generation, in a chunk that begins with the event before it.
    SkipsEvent,
    /// Responds with status 421, as if another server had taken over its address.
    Misdirects,
    /// Cuts the stream of each generation's first run after this number of events, and goes on with
    /// the run.
    LosesStreamsAfter(u32),
    /// As [`ServerFault::LosesStreamsAfter`] three events; it does not get the orders to stop either.
    LosesStreamsAndStopOrders,
    /// Copies the memory of its generations, and does not get the orders to stop them.
    LosesStopOrders,
    /// Stops generations as ordered, and its answers to these orders are lost.
    LosesStopAnswers,
    /// Stops generations as ordered, and answers these orders after [`LATE_STOP_DELAY`].
    AnswersStopsLate,
}

/// What becomes of the listening socket of a server that crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SocketAfterCrash {
    /// It is closed with the process.
    #[default]
    Closed,
    /// A child of the process, such as a worker, holds it for this long. Until then connections
    /// are accepted, and nobody serves them.
    HeldFor(Duration),
}

/// Endpoint signals that a server adds to its responses.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct ResponseSignals {
    /// Value of the draining header; `None` omits it.
    draining: Option<&'static str>,
    /// Value of the `Retry-After` header on refusals, which asks for a cooldown; `None` omits it.
    cooldown: Option<&'static str>,
    /// Value of the limit header; `None` omits it.
    limit: Option<String>,
    /// Name of an undocumented header; `None` omits it.
    unknown_header: Option<&'static str>,
}

impl ResponseSignals {
    fn add_to(&self, response: &mut Response<StandinBody>) {
        add_unknown_header(self.unknown_header, response);
        let is_refusal = response.status() == http::StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        if let Some(text) = self.draining {
            headers.insert(names::DRAINING, http::HeaderValue::from_static(text));
        }
        if let Some(limit) = self.limit.as_deref().and_then(|text| text.parse().ok()) {
            headers.insert(names::RATE_LIMIT, limit);
        }
        if let Some(text) = self.cooldown.filter(|_| is_refusal) {
            headers.insert(RETRY_AFTER, http::HeaderValue::from_static(text));
        }
    }
}

/// A request that reached a server, with the endpoint signals of its response.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Server id.
    pub server: String,
    /// Request id.
    pub request: String,
    /// Time at which it arrived.
    pub at: Instant,
    /// Whether the response announced that the server drains.
    pub announced_draining: bool,
    /// End of the cooldown that the response asked for, if any.
    pub cooldown_until: Option<Instant>,
}

/// Error: the memory copy to continue from does not exist.
struct CopyNotFound;

/// A generation that runs on an engine.
#[derive(Debug, Default)]
struct EngineRun {
    /// Number of generated events; shared with the event stream.
    generated_events: AtomicU32,
    stop_signal: Notify,
    stop_requested: AtomicBool,
}

/// A plain server or an engine.
pub struct Server {
    /// Id of this incarnation.
    pub id: String,
    /// Name of its service.
    pub service: String,
    kind: ServerKind,
    fault: Mutex<ServerFault>,
    /// Whether it survives the requests that crash other servers.
    crash_proof: AtomicBool,
    /// Time at which it stops, as its reports tell; `None` if they tell none.
    leaves_at: Mutex<Option<Instant>>,
    /// Endpoint signals that are added to all responses.
    signals: Mutex<ResponseSignals>,
    /// Arrival times of all requests, queries and orders included.
    arrival_times: Mutex<Vec<Instant>>,
    listener: Mutex<Option<Listener>>,
    address: std::sync::OnceLock<SocketAddr>,
    /// Address in its entry, if it differs from the listen address because a proxy is in front.
    listed_address: std::sync::OnceLock<SocketAddr>,
    servers: std::sync::Weak<ServerRegistry>,
    running: Mutex<HashMap<String, Arc<EngineRun>>>,
    /// Engines that keep copies of its generations as these grow, by request id.
    backups: Mutex<HashMap<String, SocketAddr>>,
    /// Headers of the received requests, by request id.
    headers_by_request: Mutex<HashMap<String, HeaderMap>>,
}

/// All servers, with the requests that they received and ran.
#[derive(Default)]
pub struct ServerRegistry {
    by_address: Mutex<HashMap<SocketAddr, Arc<Server>>>,
    /// Server id and request id of each run, in order.
    runs: Mutex<Vec<(String, String)>>,
    copies: Mutex<MemoryCopies>,
    started_count: AtomicU32,
    /// Requests, in the order in which they were answered.
    arrivals: Mutex<Vec<Arrival>>,
    /// Request bodies that crash a server.
    crashing_bodies: Mutex<Vec<&'static [u8]>>,
    /// Ids of prompt segments that crash a server, wherever they stand but last.
    crashing_segments: Mutex<Vec<&'static str>>,
    /// Number of events that an engine sends before it crashes.
    events_before_crash: AtomicU32,
    /// Whether responses have neither a length nor chunks, and end with their connection.
    ends_with_connection: AtomicBool,
    /// Whether a server that crashes starts again at its address at once, under another id.
    restarts_at_once: AtomicBool,
    /// Whether a server that crashes closes its connections before its listening socket.
    closes_connections_first: AtomicBool,
    /// Ids of the crashed servers, in order.
    crashed: Mutex<Vec<String>>,
    /// Requests that began at a server while another ran them, in order.
    ran_twice_at_once: Mutex<Vec<String>>,
    socket_after_crash: Mutex<SocketAfterCrash>,
}

impl ServerRegistry {
    pub(super) async fn start(
        self: &Arc<Self>,
        service: &str,
        kind: ServerKind,
    ) -> std::io::Result<Arc<Server>> {
        self.start_at(service, kind, super::ANY_ADDRESS).await
    }

    async fn start_at(
        self: &Arc<Self>,
        service: &str,
        kind: ServerKind,
        address: &str,
    ) -> std::io::Result<Arc<Server>> {
        let number = self.started_count.fetch_add(1, Ordering::Relaxed);
        let server = Arc::new(Server {
            id: format!("i-{number}"),
            service: service.to_owned(),
            kind,
            fault: Mutex::default(),
            crash_proof: AtomicBool::new(false),
            leaves_at: Mutex::default(),
            signals: Mutex::default(),
            arrival_times: Mutex::default(),
            listener: Mutex::default(),
            address: std::sync::OnceLock::new(),
            listed_address: std::sync::OnceLock::new(),
            servers: Arc::downgrade(self),
            running: Mutex::default(),
            backups: Mutex::default(),
            headers_by_request: Mutex::default(),
        });
        let handler_server = server.clone();
        let listener = serve_at(address, move |request| {
            let server = handler_server.clone();
            async move { server.handle_with_signals(request).await }
        })
        .await?;
        let address = listener.address;
        server.address.get_or_init(|| address);
        *server.listener.lock() = Some(listener);
        self.by_address.lock().insert(address, server.clone());
        Ok(server)
    }

    pub(super) fn add_crashing_body(&self, body: &'static [u8]) {
        self.crashing_bodies.lock().push(body);
    }

    pub(super) fn add_crashing_segment(&self, segment: &'static str) {
        self.crashing_segments.lock().push(segment);
    }

    pub(super) fn set_events_before_crash(&self, events: u32) {
        self.events_before_crash.store(events, Ordering::Relaxed);
    }

    pub(super) fn end_responses_with_connection(&self) {
        self.ends_with_connection.store(true, Ordering::Relaxed);
    }

    pub(super) fn restart_at_once(&self) {
        self.restarts_at_once.store(true, Ordering::Relaxed);
    }

    pub(super) fn close_connections_first(&self) {
        self.closes_connections_first.store(true, Ordering::Relaxed);
    }

    pub(super) fn set_socket_after_crash(&self, socket: SocketAfterCrash) {
        *self.socket_after_crash.lock() = socket;
    }

    pub(super) fn crashed_ids(&self) -> Vec<String> {
        self.crashed.lock().clone()
    }

    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().clone()
    }

    fn crashes_on(&self, headers: &HeaderMap, body: &[u8]) -> bool {
        let crashing_segments = self.crashing_segments.lock();
        let segments = header_text(headers, &names::PROMPT_SEGMENTS).unwrap_or_default();
        let mut segments = segments.split(',');
        // The last segment is the request's own.
        segments.next_back();
        let mut ids = segments.filter_map(|segment| segment.split(':').next());
        ids.any(|id| crashing_segments.contains(&id)) || self.crashing_bodies.lock().contains(&body)
    }

    pub(super) fn servers_that_ran(&self, request: &str) -> Vec<String> {
        let runs = self.runs.lock();
        let of_request = runs.iter().filter(|(_, run)| run == request);
        of_request.map(|(server, _)| server.clone()).collect()
    }

    /// Records a request that begins at a server, if another runs it.
    fn record_begin(&self, server: &Server, request: &str) {
        let others: Vec<Arc<Server>> = self.by_address.lock().values().cloned().collect();
        let runs_elsewhere = others
            .iter()
            .any(|other| other.id != server.id && other.is_running(request));
        if runs_elsewhere {
            self.ran_twice_at_once.lock().push(request.to_owned());
        }
    }

    pub(super) fn ran_twice_at_once(&self) -> Vec<String> {
        self.ran_twice_at_once.lock().clone()
    }

    pub(super) fn copies_at_once_max(&self) -> usize {
        self.copies.lock().most_at_once()
    }

    pub(super) fn copy_count(&self) -> usize {
        self.copies.lock().received_count()
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Adds the request id and the seal, which show that the server itself sent the response.
fn with_seal(mut response: Response<StandinBody>, id: &str) -> Response<StandinBody> {
    let headers = response.headers_mut();
    headers.insert(names::REQUEST_ID, id.parse().expect("a valid header value"));
    headers.insert(names::RESPONSE_SEAL, http::HeaderValue::from_static("seal"));
    response
}

/// Returns a response whose connection is cut.
fn lost_response() -> Response<StandinBody> {
    let cut = stream::iter([Err(std::io::Error::other("connection cut"))]);
    Response::new(BodyExt::boxed_unsync(StreamBody::new(cut)))
}

/// Returns a refusal with the header that says that the request did not run.
fn not_run_response(status: u16) -> Response<StandinBody> {
    let mut refusal = build_response(status, "not run");
    let yes = http::HeaderValue::from_static("1");
    refusal.headers_mut().insert(names::NOT_RUN, yes);
    refusal
}

impl Server {
    /// Returns the address on which it listens.
    #[must_use]
    pub fn listen_address(&self) -> SocketAddr {
        *self
            .address
            .get_or_init(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Returns the number of requests that reached it, refused ones included.
    ///
    /// A request that was sent twice counts once.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.headers_by_request.lock().len()
    }

    /// Returns the maximum number of requests within any span of this length that starts after
    /// `after`.
    ///
    /// All requests count, queries and orders included.
    #[must_use]
    pub fn max_requests_within(&self, span: Duration, after: Instant) -> usize {
        let arrival_times = self.arrival_times.lock();
        let times: Vec<Instant> = arrival_times
            .iter()
            .copied()
            .filter(|at| *at > after)
            .collect();
        let count_from = |first: &Instant| {
            let end = *first + span;
            times
                .iter()
                .filter(|at| (*first..end).contains(*at))
                .count()
        };
        times.iter().map(count_from).max().unwrap_or_default()
    }

    /// Returns the address at which callers reach it.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listed_address
            .get()
            .copied()
            .unwrap_or_else(|| self.listen_address())
    }

    /// Sets the address at which callers reach it; further calls have no effect.
    pub fn set_listed_address(self: &Arc<Self>, address: SocketAddr) {
        self.listed_address.get_or_init(|| address);
        if let Some(servers) = self.servers.upgrade() {
            servers.by_address.lock().insert(address, self.clone());
        }
    }

    /// Returns the number of requests that it can run concurrently.
    #[must_use]
    pub fn slots(&self) -> u32 {
        24
    }

    /// Sets the injected fault.
    pub fn set_fault(&self, fault: ServerFault) {
        *self.fault.lock() = fault;
    }

    /// Makes it survive the requests that crash other servers.
    pub fn make_crash_proof(&self) {
        self.crash_proof.store(true, Ordering::Relaxed);
    }

    /// Adds the draining header to all responses, whatever its entry says.
    pub fn announce_draining(&self, value: &'static str) {
        self.signals.lock().draining = Some(value);
    }

    /// Tells in its reports that it leaves after `notice`.
    pub fn announce_leave(&self, notice: Duration) {
        *self.leaves_at.lock() = Some(Instant::now() + notice);
    }

    /// Sets the cooldown in seconds that each refusal asks for; `None` omits the header.
    pub fn set_cooldown(&self, seconds: Option<&'static str>) {
        self.signals.lock().cooldown = seconds;
    }

    /// Sets the limit that all responses announce; `None` omits the header.
    ///
    /// The limit is the number of requests per second that it accepts from all instances together.
    pub fn announce_limit(&self, per_s: Option<&str>) {
        self.signals.lock().limit = per_s.map(str::to_owned);
    }

    /// Adds an undocumented header to all responses.
    pub fn add_unknown_header(&self, header: &'static str) {
        self.signals.lock().unknown_header = Some(header);
    }

    /// Stops it: its address refuses connections, unless a child of this process holds the listening
    /// socket for a moment, and open connections are cut.
    pub async fn kill(&self) {
        let listener = self.listener.lock().take();
        if let Some(listener) = listener {
            listener.crash(false).await;
        }
    }

    /// Returns the number of generations that it runs.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.lock().len()
    }

    /// Returns whether it works on a generation that it was not told to stop.
    fn is_running(&self, request: &str) -> bool {
        // What a killed server ran ends with it, though its tasks may take a moment.
        if self.listener.lock().is_none() {
            return false;
        }
        let running = self.running.lock();
        let run = running.get(request);
        run.is_some_and(|run| !run.stop_requested.load(Ordering::Relaxed))
    }

    /// Returns the number of events that it has made of a generation that it runs.
    #[must_use]
    pub fn generated_events(&self, request: &str) -> u32 {
        let running = self.running.lock();
        let run = running.get(request);
        run.map_or(0, |run| run.generated_events.load(Ordering::Relaxed))
    }

    /// Returns the headers of a request as received.
    #[must_use]
    pub fn request_headers(&self, request: &str) -> Option<HeaderMap> {
        self.headers_by_request.lock().get(request).cloned()
    }

    async fn handle_with_signals(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<StandinBody> {
        let id = header_text(request.headers(), &names::REQUEST_ID).map(str::to_owned);
        let at = Instant::now();
        self.arrival_times.lock().push(at);
        let mut response = self.clone().handle(request).await;
        if self.ends_responses_with_connection()
            && response.headers().contains_key(names::RESPONSE_SEAL)
        {
            // A body of unknown length has no chunks in this version of HTTP.
            *response.version_mut() = http::Version::HTTP_10;
            let (parts, body) = response.into_parts();
            let frames = body.into_data_stream().map_ok(Frame::data);
            response = Response::from_parts(parts, BodyExt::boxed_unsync(StreamBody::new(frames)));
        }
        let signals = self.signals.lock().clone();
        signals.add_to(&mut response);
        if let (Some(request), Some(servers)) = (id, self.servers.upgrade()) {
            let cooldown = header_text(response.headers(), &RETRY_AFTER);
            let cooldown = cooldown.and_then(|text| text.parse().ok());
            servers.arrivals.lock().push(Arrival {
                server: self.id.clone(),
                request,
                at,
                announced_draining: signals.draining.is_some(),
                cooldown_until: cooldown
                    .map(|seconds| Instant::now() + Duration::from_secs_f64(seconds)),
            });
        }
        response
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<StandinBody> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            names::MOVE_PATH => return self.copy_memory(request).await,
            HEALTH_PATH => return self.health(request.headers()),
            names::REPORT_PATH => return build_response(200, self.run_report().to_string()),
            _ => {}
        }
        if let Some(copy) = path.strip_prefix(names::COPY_PATH) {
            return self.free_copy(copy);
        }
        let headers = request.headers().clone();
        let id = header_text(&headers, &names::REQUEST_ID)
            .unwrap_or_default()
            .to_owned();
        self.headers_by_request
            .lock()
            .insert(id.clone(), headers.clone());
        let expected = header_text(&headers, &names::EXPECTED_ENDPOINT);
        let is_misdirected = *self.fault.lock() == ServerFault::Misdirects;
        if is_misdirected || expected.is_some_and(|expected| expected != self.id) {
            return build_response(421, "another server");
        }
        let body = request.into_body().collect().await;
        let body = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let fault = *self.fault.lock();
        if fault == ServerFault::Refuses {
            return not_run_response(503);
        }
        let from = match self.resume_from(&headers) {
            Ok(Some(_)) if fault == ServerFault::DropsCopies => return not_run_response(503),
            Ok(from) => from,
            Err(CopyNotFound) => return not_run_response(503),
        };
        let Some(servers) = self.servers.upgrade() else {
            return build_response(500, "the stand-in has ended");
        };
        if from.is_none() {
            servers.runs.lock().push((self.id.clone(), id.clone()));
        }
        self.keep_backup(&id, &headers);
        if servers.crashes_on(&headers, &body) && !self.crash_proof.load(Ordering::Relaxed) {
            servers.crashed.lock().push(self.id.clone());
            let events = servers.events_before_crash.load(Ordering::Relaxed);
            return self.crash(&id, &body, events).await;
        }
        match fault {
            ServerFault::RunsAndHangs => std::future::pending().await,
            ServerFault::RespondsLate => tokio::time::sleep(LATE_RESPONSE_DELAY).await,
            ServerFault::RunsAndCloses => {
                return lost_response();
            }
            _ => {}
        }
        match self.kind {
            ServerKind::Engine
                if matches!(
                    fault,
                    ServerFault::InternalError | ServerFault::RunsAndRefuses
                ) =>
            {
                Self::plain_response(&id, fault, &body)
            }
            ServerKind::Plain => Self::plain_response(&id, fault, &body),
            ServerKind::Engine => {
                let start = from.unwrap_or_else(|| last_event(&headers));
                let mut response = self.event_stream(&id, &path, start);
                if fault == ServerFault::EncodesResumed && from.is_some() {
                    let encoding = http::HeaderValue::from_static("gzip");
                    response.headers_mut().insert(CONTENT_ENCODING, encoding);
                }
                response
            }
        }
    }

    /// Crashes while it responds: an engine after the response head and this number of events; a
    /// plain server before the head, or within a body that ends with its connection.
    async fn crash(self: Arc<Self>, id: &str, body: &Bytes, events: u32) -> Response<StandinBody> {
        let is_engine = self.kind == ServerKind::Engine;
        if !is_engine && !self.ends_responses_with_connection() {
            self.crash_listener().await;
            return std::future::pending().await;
        }
        let first = if is_engine {
            (1..=events).map(|number| self.event(number)).collect()
        } else {
            String::from_utf8_lossy(&body[..body.len() / 2]).into_owned()
        };
        let first = stream::iter([Ok(Frame::data(Bytes::from(first)))]);
        // The crash belongs to no single frame, and ends the body without one of its own.
        let crashing = stream::once(async move {
            tokio::time::sleep(EVENT_INTERVAL).await;
            if self.restarts_at_once() {
                // In a task of its own: the crash ends the task of this connection.
                tokio::spawn(self.restart());
                return std::future::pending().await;
            }
            if self.closes_connections_first() {
                tokio::spawn(async move {
                    tokio::time::sleep(LISTENING_AFTER_CLOSE).await;
                    self.crash_listener().await;
                });
                return None;
            }
            self.crash_listener().await;
            std::future::pending().await
        });
        let crashing = crashing.filter_map(|frame: Option<_>| async { frame });
        let body = BodyExt::boxed_unsync(StreamBody::new(StreamExt::chain(first, crashing)));
        with_seal(Response::new(body), id)
    }

    fn restarts_at_once(&self) -> bool {
        let servers = self.servers.upgrade();
        servers.is_some_and(|servers| servers.restarts_at_once.load(Ordering::Relaxed))
    }

    /// Crashes, and starts again at the same address as another incarnation.
    fn restart(self: Arc<Self>) -> futures::future::BoxFuture<'static, ()> {
        Box::pin(async move {
            self.crash_listener().await;
            let address = self.listen_address().to_string();
            if let Some(servers) = self.servers.upgrade() {
                let started = servers.start_at(&self.service, self.kind, &address);
                // The test finds out if the address was taken meanwhile.
                let _ = started.await;
            }
        })
    }

    fn closes_connections_first(&self) -> bool {
        let servers = self.servers.upgrade();
        servers.is_some_and(|servers| servers.closes_connections_first.load(Ordering::Relaxed))
    }

    fn ends_responses_with_connection(&self) -> bool {
        let servers = self.servers.upgrade();
        servers.is_some_and(|servers| servers.ends_with_connection.load(Ordering::Relaxed))
    }

    async fn crash_listener(&self) {
        let Some(listener) = self.listener.lock().take() else {
            return;
        };
        let servers = self.servers.upgrade();
        let socket = servers.map_or_else(Default::default, |servers| {
            *servers.socket_after_crash.lock()
        });
        match socket {
            SocketAfterCrash::Closed => {
                listener.crash(false).await;
            }
            SocketAfterCrash::HeldFor(duration) => {
                let held = listener.crash(true).await;
                tokio::spawn(async move {
                    tokio::time::sleep(duration).await;
                    drop(held);
                });
            }
        }
    }

    fn health(&self, headers: &HeaderMap) -> Response<StandinBody> {
        let expected = header_text(headers, &names::EXPECTED_ENDPOINT);
        if expected.is_some_and(|expected| expected != self.id) {
            return build_response(421, "another server");
        }
        build_response(200, "")
    }

    fn run_report(&self) -> Value {
        let running = self.running.lock();
        let runs = running.iter();
        let runs: Vec<Value> = runs
            .map(|(id, run)| json!([id, 1_000, run.generated_events.load(Ordering::Relaxed), 5]))
            .collect();
        let mut report = json!({"state": "ready", "queued": 0, "runs": runs});
        if let Some(leaves_at) = *self.leaves_at.lock() {
            let left = leaves_at.saturating_duration_since(Instant::now());
            report["state"] = json!("draining");
            report["leaves_ms"] = json!(left.as_secs_f64() * 1_000.0);
        }
        report
    }

    fn plain_response(id: &str, fault: ServerFault, body: &Bytes) -> Response<StandinBody> {
        let status = match fault {
            ServerFault::InternalError => 500,
            ServerFault::RunsAndRefuses => 503,
            _ => 200,
        };
        let mut response = build_response(status, body.clone());
        let echoed_id = if fault == ServerFault::WrongRequestId {
            "other"
        } else {
            id
        };
        let headers = response.headers_mut();
        headers.insert(
            names::REQUEST_ID,
            echoed_id.parse().expect("a valid header value"),
        );
        if fault != ServerFault::Unsealed {
            headers.insert(names::RESPONSE_SEAL, http::HeaderValue::from_static("seal"));
        }
        response
    }

    /// Returns the number of the last event that the caller has, if a memory copy is to be
    /// continued.
    ///
    /// # Errors
    /// Fails if there is no such copy.
    fn resume_from(&self, headers: &HeaderMap) -> Result<Option<u32>, CopyNotFound> {
        let Some(from) = header_text(headers, &names::CONTINUE_FROM) else {
            return Ok(None);
        };
        let is_found = from.split_once('/').and_then(|(address, handle)| {
            let source = address.parse().ok()?;
            let servers = self.servers.upgrade()?;
            let mut copies = servers.copies.lock();
            let fault = *self.fault.lock();
            let is_kept = matches!(
                fault,
                ServerFault::DropsCopies | ServerFault::EncodesResumed
            );
            Some(if is_kept {
                copies.contains(source, handle)
            } else {
                copies.use_at(self.address(), source, handle)
            })
        });
        if is_found != Some(true) {
            return Err(CopyNotFound);
        }
        Ok(Some(last_event(headers)))
    }

    /// Keeps a copy of a generation at the engine that its request names, under the id of the
    /// request.
    fn keep_backup(&self, id: &str, headers: &HeaderMap) {
        let keeper = header_text(headers, &names::KV_BACKUP_AT).and_then(|text| text.parse().ok());
        let (Some(keeper), Some(servers)) = (keeper, self.servers.upgrade()) else {
            return;
        };
        servers.copies.lock().insert_backup(keeper, id);
        self.backups.lock().insert(id.to_owned(), keeper);
    }

    /// Frees the copy of a generation that has ended well.
    fn free_backup(&self, id: &str) {
        let keeper = self.backups.lock().remove(id);
        if let (Some(keeper), Some(servers)) = (keeper, self.servers.upgrade()) {
            servers.copies.lock().free_at(keeper, id);
        }
    }

    fn event_stream(self: &Arc<Self>, id: &str, path: &str, from: u32) -> Response<StandinBody> {
        let event_count = path.rsplit('/').next().and_then(|last| last.parse().ok());
        let event_count: u32 = event_count.unwrap_or(1);
        let run = Arc::new(EngineRun::default());
        run.generated_events.store(from, Ordering::Relaxed);
        if let Some(servers) = self.servers.upgrade() {
            servers.record_begin(self, id);
        }
        self.running.lock().insert(id.to_owned(), run.clone());
        let event_stream = EventStream {
            server: self.clone(),
            id: id.to_owned(),
            run,
            next: from + 1,
            event_count,
        };
        if let Some(events) = self.lost_after(id) {
            let response = Response::new(event_stream.lose_after(events));
            // Without any event, the head of the response is lost, too.
            return if events == 0 {
                response
            } else {
                with_seal(response, id)
            };
        }
        let frames = stream::unfold(event_stream, |mut events| async {
            events.next_event().await.map(|frame| (frame, events))
        });
        let body = BodyExt::boxed_unsync(StreamBody::new(frames));
        with_seal(Response::new(body), id)
    }

    /// Returns after how many events the stream of a generation is to be lost; `None` if it is not,
    /// or has run before.
    fn lost_after(&self, id: &str) -> Option<u32> {
        let servers = self.servers.upgrade()?;
        let is_first_run = servers.servers_that_ran(id) == [self.id.as_str()];
        match *self.fault.lock() {
            ServerFault::LosesStreamsAfter(events) => Some(events),
            ServerFault::LosesStreamsAndStopOrders => Some(3),
            _ => None,
        }
        .filter(|_| is_first_run)
    }

    fn event(&self, number: u32) -> String {
        format!("id: {number}\ndata: event {number} of {}\n\n", self.id)
    }

    fn free_copy(&self, copy: &str) -> Response<StandinBody> {
        let servers = self.servers.upgrade();
        let is_freed =
            servers.is_some_and(|servers| servers.copies.lock().free_at(self.address(), copy));
        build_response(if is_freed { 200 } else { 404 }, "")
    }

    async fn copy_memory(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let body = request.into_body().collect().await;
        let body = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let order: Value = serde_json::from_slice(&body).unwrap_or_default();
        let id = order["id"].as_str().unwrap_or_default().to_owned();
        let run = self.running.lock().get(&id).cloned();
        let (Some(run), Some(servers)) = (run, self.servers.upgrade()) else {
            return build_response(404, "no such run");
        };
        let target = order["target-version"]
            .as_str()
            .and_then(|text| text.parse().ok());
        let target: Option<Arc<Server>> =
            target.and_then(|address: SocketAddr| servers.by_address.lock().get(&address).cloned());
        let target = target.filter(|target| *target.fault.lock() != ServerFault::RefusesCopies);
        let Some(target) = target else {
            return build_response(503, "no room");
        };
        let is_last = order["last"].as_bool().unwrap_or_default();
        if is_last && *self.fault.lock() == ServerFault::RefusesStops {
            return build_response(404, "no such run");
        }
        let fault = *self.fault.lock();
        let loses_stop_orders = matches!(
            fault,
            ServerFault::LosesStopOrders | ServerFault::LosesStreamsAndStopOrders
        );
        if is_last && loses_stop_orders {
            return lost_response();
        }
        if is_last {
            run.stop_requested.store(true, Ordering::Relaxed);
            run.stop_signal.notify_waiters();
        }
        servers.copies.lock().begin(self.address());
        tokio::time::sleep(COPY_DURATION).await;
        if is_last && *self.fault.lock() == ServerFault::AnswersStopsLate {
            tokio::time::sleep(LATE_STOP_DELAY).await;
        }
        let generated_events = run.generated_events.load(Ordering::Relaxed);
        let handle = format!("h-{id}");
        let mut copies = servers.copies.lock();
        copies.insert(self.address(), target.address(), &handle);
        drop(copies);
        match *self.fault.lock() {
            ServerFault::LosesStopAnswers if is_last => return lost_response(),
            _ => {}
        }
        build_response(
            200,
            json!({"handle": handle, "made": generated_events}).to_string(),
        )
    }
}

/// Returns the number of the last event that the caller has; 0 if it has none.
fn last_event(headers: &HeaderMap) -> u32 {
    let id = header_text(headers, &names::LAST_EVENT_ID);
    id.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// State of an event stream that is being generated.
struct EventStream {
    server: Arc<Server>,
    id: String,
    run: Arc<EngineRun>,
    next: u32,
    event_count: u32,
}

impl EventStream {
    async fn next_event(&mut self) -> Option<std::io::Result<Frame<Bytes>>> {
        if self.next > self.event_count {
            self.server.free_backup(&self.id);
            return None;
        }
        let stopped = self.run.stop_signal.notified();
        tokio::select! {
            () = tokio::time::sleep(EVENT_INTERVAL) => {}
            () = stopped => {}
        }
        if self.run.stop_requested.load(Ordering::Relaxed) {
            return Some(Err(std::io::Error::other("generation stopped")));
        }
        let number = self.next;
        self.next += 1;
        self.run.generated_events.store(number, Ordering::Relaxed);
        let mut chunk = self.server.event(number);
        if *self.server.fault.lock() == ServerFault::SkipsEvent && number == SKIPPED_EVENT - 1 {
            chunk.push_str(&self.server.event(SKIPPED_EVENT + 1));
            self.next = SKIPPED_EVENT + 2;
        }
        Some(Ok(Frame::data(Bytes::from(chunk))))
    }
}

impl EventStream {
    /// Returns a body that breaks off after some events, while the run goes on to its end or until it
    /// is stopped.
    fn lose_after(mut self, events: u32) -> StandinBody {
        let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            let mut sender = Some(sender);
            while let Some(frame) = self.next_event().await {
                let is_last = frame.is_err();
                if let Some(sender) = sender.as_ref().filter(|_| self.next <= events + 1) {
                    // The reader may be gone.
                    let _ = sender.send(frame);
                }
                if is_last {
                    break;
                }
                if self.next > events {
                    sender = None;
                }
            }
        });
        let events = stream::unfold(receiver, |mut receiver| async {
            receiver.recv().await.map(|frame| (frame, receiver))
        });
        let cut = stream::iter([Err(std::io::Error::other("connection cut"))]);
        BodyExt::boxed_unsync(StreamBody::new(StreamExt::chain(events, cut)))
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        self.server.running.lock().remove(&self.id);
    }
}
