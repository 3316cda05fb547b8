//! The stand-in's servers: plain ones that answer a call, and engines that stream events, hold memory and move it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::{Listening, StandinBody, add_unknown, answer, listen};
use crate::platform::names;

/// Pause between two events of an engine, short so that tests need not wait.
const EVENT_EVERY: Duration = Duration::from_millis(25);
/// How long a copy of memory takes.
const COPY_TAKES: Duration = Duration::from_millis(40);

/// How late an answer is that comes late: many times what an answer takes otherwise.
pub const LATE_BY: Duration = Duration::from_millis(700);

/// What a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKind {
    /// Answers a call as a whole.
    Plain,
    /// Streams events. The last part of the path tells how many.
    Engine,
}

/// What a server does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServerFault {
    /// Nothing.
    #[default]
    None,
    /// Refuses each request before it runs.
    Refuses,
    /// Runs each request and closes the connection in place of an answer.
    RunsAndCloses,
    /// Runs each request and says nothing.
    RunsAndHangs,
    /// Takes [`LATE_BY`] before each answer.
    AnswersLate,
    /// Answers with the id of another request.
    Crosses,
    /// Answers 500.
    Fails,
    /// Leaves out its proof.
    Unsealed,
    /// Refuses to take in copies of memory.
    NoRoom,
    /// Takes in copies of memory and refuses to go on from them.
    DropsCopies,
    /// Another server has its address and answers that it is not the one expected.
    Misdirects,
}

/// What a server says of itself in its answers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Word {
    /// Text of the header that tells that it leaves, where it tells.
    leaving: Option<&'static str>,
    /// For how long it asks those that it refuses to send it nothing, as it stands in the header.
    rest: Option<&'static str>,
    /// Text of the header that names a limit, where it names one.
    limit: Option<String>,
    /// A header that no page names.
    unknown: Option<&'static str>,
}

impl Word {
    fn add_to(&self, response: &mut Response<StandinBody>) {
        add_unknown(self.unknown, response);
        let refused = response.status() == http::StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        if let Some(text) = self.leaving {
            headers.insert(names::DRAINING, http::HeaderValue::from_static(text));
        }
        if let Some(limit) = self.limit.as_deref().and_then(|text| text.parse().ok()) {
            headers.insert(names::RATE_LIMIT, limit);
        }
        if let Some(text) = self.rest.filter(|_| refused) {
            headers.insert(RETRY_AFTER, http::HeaderValue::from_static(text));
        }
    }
}

/// A request that reached a server, and what the answer said of the server.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The server.
    pub server: String,
    /// The request.
    pub request: String,
    /// When it came.
    pub at: Instant,
    /// Whether the answer said that the server leaves.
    pub said_leaving: bool,
    /// Until when the answer asked for rest, where it did.
    pub rest_until: Option<Instant>,
}

/// A generation should go on from a copy that is not there.
struct NoSuchCopy;

/// A generation on an engine.
#[derive(Debug, Default)]
struct EngineRun {
    /// Events made; shared with its stream.
    made: AtomicU32,
    stopped: Notify,
    stop: AtomicBool,
}

/// A server.
pub struct Server {
    /// Names this start.
    pub id: String,
    /// Its service.
    pub service: String,
    kind: ServerKind,
    fault: Mutex<ServerFault>,
    /// Whether it survives what others crash on.
    mended: AtomicBool,
    /// What all its answers say of it, beside the matter asked.
    word: Mutex<Word>,
    /// When requests came, whatever they asked for.
    reached_at: Mutex<Vec<Instant>>,
    listening: Mutex<Option<Listening>>,
    address: std::sync::OnceLock<SocketAddr>,
    /// Where callers find it, where that is not where it listens: a proxy stands before it.
    listed: std::sync::OnceLock<SocketAddr>,
    servers: std::sync::Weak<Servers>,
    running: Mutex<HashMap<String, Arc<EngineRun>>>,
    /// Heads of the requests that it got, by request id.
    heads: Mutex<HashMap<String, HeaderMap>>,
}

/// All servers, and what ran on them.
#[derive(Default)]
pub struct Servers {
    by_address: Mutex<HashMap<SocketAddr, Arc<Server>>>,
    /// Server and request, in order.
    runs: Mutex<Vec<(String, String)>>,
    /// Copies by the address they are named after and their name: events made when the copy was taken.
    copies: Mutex<HashMap<(SocketAddr, String), u32>>,
    started: AtomicU32,
    /// Requests in the order in which they were answered.
    arrivals: Mutex<Vec<Arrival>>,
    /// Bodies under which a server crashes.
    crash_on: Mutex<Vec<&'static [u8]>>,
    /// Servers that crashed, in order.
    crashed: Mutex<Vec<String>>,
}

impl Servers {
    pub(super) async fn start(
        self: &Arc<Self>,
        service: &str,
        kind: ServerKind,
    ) -> std::io::Result<Arc<Server>> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let server = Arc::new(Server {
            id: format!("i-{number}"),
            service: service.to_owned(),
            kind,
            fault: Mutex::default(),
            mended: AtomicBool::new(false),
            word: Mutex::default(),
            reached_at: Mutex::default(),
            listening: Mutex::default(),
            address: std::sync::OnceLock::new(),
            listed: std::sync::OnceLock::new(),
            servers: Arc::downgrade(self),
            running: Mutex::default(),
            heads: Mutex::default(),
        });
        let handled_by = server.clone();
        let listening = listen(move |request| {
            let server = handled_by.clone();
            async move { server.answer_with_word(request).await }
        })
        .await?;
        let address = listening.address;
        server.address.get_or_init(|| address);
        *server.listening.lock() = Some(listening);
        self.by_address.lock().insert(address, server.clone());
        Ok(server)
    }

    pub(super) fn crash_on(&self, body: &'static [u8]) {
        self.crash_on.lock().push(body);
    }

    pub(super) fn crashed(&self) -> Vec<String> {
        self.crashed.lock().clone()
    }

    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().clone()
    }

    fn crashes_on(&self, body: &[u8]) -> bool {
        self.crash_on.lock().contains(&body)
    }

    pub(super) fn runs_of(&self, request: &str) -> Vec<String> {
        let runs = self.runs.lock();
        let of_request = runs.iter().filter(|(_, run)| run == request);
        of_request.map(|(server, _)| server.clone()).collect()
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// An answer with what shows that it is the server's own.
fn sealed(mut response: Response<StandinBody>, id: &str) -> Response<StandinBody> {
    let headers = response.headers_mut();
    headers.insert(names::REQUEST_ID, id.parse().expect("an id"));
    headers.insert(names::RESPONSE_SEAL, http::HeaderValue::from_static("seal"));
    response
}

fn not_run(status: u16) -> Response<StandinBody> {
    let mut refused = answer(status, "not run");
    let yes = http::HeaderValue::from_static("1");
    refused.headers_mut().insert(names::NOT_RUN, yes);
    refused
}

impl Server {
    /// Where it listens.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        *self
            .address
            .get_or_init(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// Requests that reached it, refused ones included; one that came twice counts once.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.heads.lock().len()
    }

    /// Most requests of any kind, questions and orders included, that reached it within such a span that began after then.
    #[must_use]
    pub fn most_within(&self, span: Duration, after: Instant) -> usize {
        let reached_at = self.reached_at.lock();
        let counted: Vec<Instant> = reached_at
            .iter()
            .copied()
            .filter(|at| *at > after)
            .collect();
        let within = |first: &Instant| {
            let last = *first + span;
            counted
                .iter()
                .filter(|at| (*first..last).contains(*at))
                .count()
        };
        counted.iter().map(within).max().unwrap_or_default()
    }

    /// Where callers find it.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listed
            .get()
            .copied()
            .unwrap_or_else(|| self.own_address())
    }

    /// Has callers find it at another address from now on; once at most.
    pub fn list_at(self: &Arc<Self>, address: SocketAddr) {
        self.listed.get_or_init(|| address);
        if let Some(servers) = self.servers.upgrade() {
            servers.by_address.lock().insert(address, self.clone());
        }
    }

    /// Requests that it works on at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        24
    }

    /// Changes what it does wrong.
    pub fn set_fault(&self, fault: ServerFault) {
        *self.fault.lock() = fault;
    }

    /// Has it survive what others crash on.
    pub fn mend(&self) {
        self.mended.store(true, Ordering::Relaxed);
    }

    /// Has all its answers say that it leaves, whatever its entry says.
    pub fn say_leaving(&self, text: &'static str) {
        self.word.lock().leaving = Some(text);
    }

    /// Has each refusal ask for so many seconds without a request, or for none.
    pub fn ask_for_rest(&self, seconds: Option<&'static str>) {
        self.word.lock().rest = seconds;
    }

    /// Has all its answers name how many requests a second it takes from all instances together, or nothing.
    pub fn name_limit(&self, per_s: Option<&str>) {
        self.word.lock().limit = per_s.map(str::to_owned);
    }

    /// Has all its answers carry a header that no page names.
    pub fn say_unknown(&self, header: &'static str) {
        self.word.lock().unknown = Some(header);
    }

    /// Ends it: its address refuses connections, and the open ones are cut.
    pub fn kill(&self) {
        self.listening.lock().take();
    }

    /// Generations that it runs.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.lock().len()
    }

    /// Head of a request as it came here.
    #[must_use]
    pub fn head_of(&self, request: &str) -> Option<HeaderMap> {
        self.heads.lock().get(request).cloned()
    }

    async fn answer_with_word(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<StandinBody> {
        let id = text(request.headers(), &names::REQUEST_ID).map(str::to_owned);
        let at = Instant::now();
        self.reached_at.lock().push(at);
        let mut answered = self.clone().answer(request).await;
        let word = self.word.lock().clone();
        word.add_to(&mut answered);
        if let (Some(request), Some(servers)) = (id, self.servers.upgrade()) {
            let rest = text(answered.headers(), &RETRY_AFTER);
            let rest = rest.and_then(|text| text.parse().ok());
            servers.arrivals.lock().push(Arrival {
                server: self.id.clone(),
                request,
                at,
                said_leaving: word.leaving.is_some(),
                rest_until: rest.map(|seconds| Instant::now() + Duration::from_secs_f64(seconds)),
            });
        }
        answered
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<StandinBody> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            names::MOVE_PATH => return self.copy_run(request).await,
            names::REPORT_PATH => return answer(200, self.report().to_string()),
            _ => {}
        }
        let headers = request.headers().clone();
        let id = text(&headers, &names::REQUEST_ID)
            .unwrap_or_default()
            .to_owned();
        self.heads.lock().insert(id.clone(), headers.clone());
        let expected = text(&headers, &names::EXPECTED_ENDPOINT);
        let misdirects = *self.fault.lock() == ServerFault::Misdirects;
        if misdirects || expected.is_some_and(|expected| expected != self.id) {
            return answer(421, "another server");
        }
        let body = request.into_body().collect().await;
        let body = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let fault = *self.fault.lock();
        if fault == ServerFault::Refuses {
            return not_run(503);
        }
        let from = match self.continued_from(&headers) {
            Ok(Some(_)) if fault == ServerFault::DropsCopies => return not_run(503),
            Ok(from) => from,
            Err(NoSuchCopy) => return not_run(503),
        };
        let Some(servers) = self.servers.upgrade() else {
            return answer(500, "the stand-in has ended");
        };
        if from.is_none() {
            servers.runs.lock().push((self.id.clone(), id.clone()));
        }
        if servers.crashes_on(&body) && !self.mended.load(Ordering::Relaxed) {
            servers.crashed.lock().push(self.id.clone());
            return self.crash(&id).await;
        }
        match fault {
            ServerFault::RunsAndHangs => std::future::pending().await,
            ServerFault::AnswersLate => tokio::time::sleep(LATE_BY).await,
            ServerFault::RunsAndCloses => {
                let cut = futures::future::ready(Err(std::io::Error::other("cut")));
                let frames = stream::once(cut);
                return Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
            }
            _ => {}
        }
        match self.kind {
            ServerKind::Plain => Self::plain(&id, fault, &body),
            ServerKind::Engine => {
                let from = from.unwrap_or_else(|| last_event(&headers));
                self.stream(&id, &path, from)
            }
        }
    }

    /// Ends in the middle of an answer: a plain server before its head, an engine after it.
    async fn crash(self: Arc<Self>, id: &str) -> Response<StandinBody> {
        if self.kind == ServerKind::Plain {
            self.end().await;
            return std::future::pending().await;
        }
        let crashing = stream::once(async move {
            tokio::time::sleep(EVENT_EVERY).await;
            self.end().await;
            std::future::pending().await
        });
        let body = BodyExt::boxed_unsync(StreamBody::new(crashing));
        sealed(Response::new(body), id)
    }

    async fn end(&self) {
        let listening = self.listening.lock().take();
        if let Some(listening) = listening {
            listening.end().await;
        }
    }

    fn report(&self) -> Value {
        let running = self.running.lock();
        let runs = running.iter();
        let runs: Vec<Value> = runs
            .map(|(id, run)| json!([id, 1_000, run.made.load(Ordering::Relaxed), 5]))
            .collect();
        json!({"state": "ready", "queued": 0, "runs": runs})
    }

    fn plain(id: &str, fault: ServerFault, body: &Bytes) -> Response<StandinBody> {
        let status = if fault == ServerFault::Fails {
            500
        } else {
            200
        };
        let mut answered = answer(status, body.clone());
        let echoed = if fault == ServerFault::Crosses {
            "other"
        } else {
            id
        };
        let headers = answered.headers_mut();
        headers.insert(names::REQUEST_ID, echoed.parse().expect("an id"));
        if fault != ServerFault::Unsealed {
            headers.insert(names::RESPONSE_SEAL, http::HeaderValue::from_static("seal"));
        }
        answered
    }

    /// The number of the last event before the first one to make; an error where there is no such copy.
    fn continued_from(&self, headers: &HeaderMap) -> Result<Option<u32>, NoSuchCopy> {
        let Some(from) = text(headers, &names::CONTINUE_FROM) else {
            return Ok(None);
        };
        let copy = from.split_once('/').and_then(|(address, name)| {
            let key = (address.parse().ok()?, name.to_owned());
            let servers = self.servers.upgrade()?;
            let mut copies = servers.copies.lock();
            if *self.fault.lock() == ServerFault::DropsCopies {
                copies.get(&key).copied()
            } else {
                copies.remove(&key)
            }
        });
        if copy.is_none() {
            return Err(NoSuchCopy);
        }
        Ok(Some(last_event(headers)))
    }

    fn stream(self: &Arc<Self>, id: &str, path: &str, from: u32) -> Response<StandinBody> {
        let events = path.rsplit('/').next().and_then(|last| last.parse().ok());
        let events: u32 = events.unwrap_or(1);
        let run = Arc::new(EngineRun::default());
        run.made.store(from, Ordering::Relaxed);
        self.running.lock().insert(id.to_owned(), run.clone());
        let making = Making {
            server: self.clone(),
            id: id.to_owned(),
            run,
            next: from + 1,
            events,
        };
        let frames = stream::unfold(making, |mut making| async {
            making.event().await.map(|frame| (frame, making))
        });
        let body = BodyExt::boxed_unsync(StreamBody::new(frames));
        sealed(Response::new(body), id)
    }

    async fn copy_run(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let body = request.into_body().collect().await;
        let body = body
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let order: Value = serde_json::from_slice(&body).unwrap_or_default();
        let id = order["id"].as_str().unwrap_or_default().to_owned();
        let run = self.running.lock().get(&id).cloned();
        let (Some(run), Some(servers)) = (run, self.servers.upgrade()) else {
            return answer(404, "no such run");
        };
        let target = order["target-version"]
            .as_str()
            .and_then(|text| text.parse().ok());
        let target: Option<Arc<Server>> =
            target.and_then(|address: SocketAddr| servers.by_address.lock().get(&address).cloned());
        if target.is_none_or(|target| *target.fault.lock() == ServerFault::NoRoom) {
            return answer(503, "no room");
        }
        let stop = order["last"].as_bool().unwrap_or_default();
        if stop {
            run.stop.store(true, Ordering::Relaxed);
            run.stopped.notify_waiters();
        }
        tokio::time::sleep(COPY_TAKES).await;
        let made = run.made.load(Ordering::Relaxed);
        let handle = format!("h-{id}");
        let mut copies = servers.copies.lock();
        copies.insert((self.address(), handle.clone()), made);
        answer(200, json!({"handle": handle, "made": made}).to_string())
    }
}

/// Number of the last event that the caller has; 0 where it has none.
fn last_event(headers: &HeaderMap) -> u32 {
    let id = text(headers, &names::LAST_EVENT_ID);
    id.and_then(|id| id.parse().ok()).unwrap_or_default()
}

/// A stream of events in the making.
struct Making {
    server: Arc<Server>,
    id: String,
    run: Arc<EngineRun>,
    next: u32,
    events: u32,
}

impl Making {
    async fn event(&mut self) -> Option<std::io::Result<Frame<Bytes>>> {
        if self.next > self.events {
            return None;
        }
        let stopped = self.run.stopped.notified();
        tokio::select! {
            () = tokio::time::sleep(EVENT_EVERY) => {}
            () = stopped => {}
        }
        if self.run.stop.load(Ordering::Relaxed) {
            return Some(Err(std::io::Error::other("stopped")));
        }
        let number = self.next;
        self.next += 1;
        self.run.made.store(number, Ordering::Relaxed);
        let event = format!("id: {number}\ndata: event {number} of {}\n\n", self.id);
        Some(Ok(Frame::data(Bytes::from(event))))
    }
}

impl Drop for Making {
    fn drop(&mut self) {
        self.server.running.lock().remove(&self.id);
    }
}
