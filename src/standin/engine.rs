//! Stand-in engine: the core behind the endpoint protocol, with lagged load reports, late cache events with gaps, fenced orders
//! and faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::Stream;
use parking_lot::Mutex;
use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::stream::ByteStream;
use rocket::serde::json::Json;
use rocket::{Responder, State, delete, get, post, put, routes};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::announce;
use super::engine_core::{Ended, EngineCore, EngineSpec, Progress, token_text};
use super::server::{Server, rocket_at, start, stop_all};
use crate::endpoint::protocol::{
    ATTEMPT_ID_HEADER, CacheEvent, EngineEvent, GenerationRequest, NOT_ADMITTED_HEADER, Order,
    OrderStatus, Started,
};
use crate::kernel::membership::Incarnation;
use crate::kernel::policy::{LoadReport, LoadedModel};

/// Settings of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name; that of the published endpoint.
    pub name: String,
    /// Address of the endpoint protocol.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Platform to announce to and to load weights from.
    pub platform: Option<String>,
    /// Speed and size.
    pub spec: EngineSpec,
    /// Models loaded from the start.
    pub models: Vec<LoadedModel>,
    /// Whether older fences are refused.
    pub checks_fence: bool,
}

/// Faults, changed through the control port.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct EngineFaults {
    /// Load reports show what was true this long ago.
    pub load_lag_ms: u64,
    /// Every n-th token is sent twice.
    pub duplicate_every: u32,
    /// Every n-th token is left out, once per stream.
    pub skip_every: u32,
    /// Connections end without a final event after this many tokens.
    pub cut_after_tokens: u32,
    /// `Started` echoes a wrong attempt id.
    pub cross_answers: bool,
    /// No step is made.
    pub stalled: bool,
    /// New generations are refused.
    pub refuse: bool,
    /// The engine says that it is leaving.
    pub leaving: bool,
    /// Every n-th cache event is lost.
    pub lose_events_every: u64,
}

#[derive(Debug, Clone)]
struct TimedReport {
    at: Instant,
    report: LoadReport,
}

#[derive(Debug)]
struct Inner {
    core: EngineCore,
    faults: EngineFaults,
    models: Vec<LoadedModel>,
    order: Option<Order>,
    newest_fence: u64,
    reports: VecDeque<TimedReport>,
    /// Generations accepted, for tests.
    started_total: u64,
}

/// The engine behind its server.
pub struct Engine {
    incarnation: Incarnation,
    settings: EngineSettings,
    inner: Mutex<Inner>,
}

impl Engine {
    fn report(&self, inner: &Inner) -> LoadReport {
        let counts = inner.core.counts();
        LoadReport {
            incarnation: self.incarnation.id,
            leaving: inner.faults.leaving,
            running: counts.running,
            waiting: counts.waiting,
            kv_used_tokens: counts.kv_used_tokens,
            kv_capacity_tokens: self.settings.spec.kv_capacity_tokens,
            preemptions_total: counts.preemptions_total,
            models: inner.models.clone(),
        }
    }

    /// Counts now, without lag: for benchmarks.
    #[must_use]
    pub fn report_now(&self) -> LoadReport {
        self.report(&self.inner.lock())
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner.lock().faults = faults;
    }

    fn step(&self) -> Duration {
        const REPORTS_KEPT: usize = 4_096;
        let mut inner = self.inner.lock();
        let report = self.report(&inner);
        let at = Instant::now();
        inner.reports.push_back(TimedReport { at, report });
        if inner.reports.len() > REPORTS_KEPT {
            inner.reports.pop_front();
        }
        if inner.faults.stalled {
            return Duration::from_micros(self.settings.spec.step_us);
        }
        inner.core.step()
    }

    async fn run_steps(self: Arc<Self>) {
        let mut next = tokio::time::Instant::now();
        loop {
            next += self.step();
            let now = tokio::time::Instant::now();
            // Steps that are late are not made up for all at once.
            next = next.max(now.checked_sub(Duration::from_millis(20)).unwrap_or(now));
            tokio::time::sleep_until(next).await;
        }
    }

    async fn load_models(self: Arc<Self>, order: Order) {
        let client = reqwest::Client::new();
        let models = order.models.iter().zip(&order.weights_bytes);
        for (model, bytes) in models {
            if self.inner.lock().models.contains(model) {
                continue;
            }
            if let Some(platform) = &self.settings.platform {
                let url = format!("http://{platform}/weights?bytes={bytes}");
                let response = client.post(url).send().await;
                if let Ok(response) = response
                    && let Ok(transfer) = response.json::<super::platform::Transfer>().await
                {
                    tokio::time::sleep(Duration::from_millis(transfer.takes_ms)).await;
                }
            }
            let mut inner = self.inner.lock();
            if inner.order.as_ref() != Some(&order) {
                return;
            }
            inner.models.push(model.clone());
        }
        let mut inner = self.inner.lock();
        if inner.order.as_ref() == Some(&order) {
            inner.models.retain(|model| order.models.contains(model));
        }
    }

    fn order_status(inner: &Inner) -> OrderStatus {
        OrderStatus {
            fence: inner.newest_fence,
            desired: inner
                .order
                .as_ref()
                .map(|o| o.models.clone())
                .unwrap_or_default(),
            loaded: inner.models.clone(),
        }
    }
}

type Shared = State<Arc<Engine>>;

/// The attempt id of a request; nil where it is missing.
#[derive(Clone, Copy)]
struct AttemptId(Uuid);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for AttemptId {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let value = request.headers().get_one(ATTEMPT_ID_HEADER);
        Outcome::Success(Self(value.and_then(|v| v.parse().ok()).unwrap_or_default()))
    }
}

#[derive(Responder)]
#[response(status = 503)]
struct NotAdmitted {
    body: (),
    attempt: Header<'static>,
}

#[derive(Responder)]
enum Answer<S> {
    Refused(NotAdmitted),
    Missing(Status),
    Events(ByteStream<S>),
}

/// Counts a reader for as long as it lives.
struct Reading {
    engine: Arc<Engine>,
    number: u64,
    progress: tokio::sync::watch::Receiver<Progress>,
    started: Started,
    request: GenerationRequest,
    next_index: u32,
}

fn line(event: &EngineEvent) -> Vec<u8> {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    line
}

impl Reading {
    fn new(engine: &Arc<Engine>, number: u64, next_index: u32, inner: &Inner) -> Option<Self> {
        let sequence = inner.core.sequence(number)?;
        let request = sequence.request.clone();
        let attempt_id = if inner.faults.cross_answers {
            Uuid::nil()
        } else {
            request.attempt_id
        };
        let started = Started {
            number,
            incarnation: engine.incarnation.id,
            request_id: request.request_id,
            attempt_id,
            account: request.account.clone(),
            model: request.model.clone(),
            version: request.version.clone(),
            prompt_tokens: sequence.prompt_tokens(),
        };
        Some(Self {
            engine: engine.clone(),
            number,
            progress: sequence.progress.subscribe(),
            started,
            request,
            next_index,
        })
    }

    fn token_lines(&self, index: u32, faults: &EngineFaults) -> Vec<u8> {
        let hit = |every: u32| every > 0 && (index + 1).is_multiple_of(every);
        // A token left out comes when the stream is resumed from it.
        if hit(faults.skip_every) && index != self.next_index_at_start() {
            return Vec::new();
        }
        let text = token_text(&self.request, index);
        let mut lines = line(&EngineEvent::Token { index, text });
        if hit(faults.duplicate_every) {
            lines.extend_from_within(..);
        }
        lines
    }

    const fn next_index_at_start(&self) -> u32 {
        self.next_index
    }

    fn events(mut self) -> impl Stream<Item = Vec<u8>> {
        rocket::async_stream::stream! {
            yield line(&EngineEvent::Started(self.started.clone()));
            let mut index = self.next_index;
            loop {
                let progress = *self.progress.borrow_and_update();
                let faults = self.engine.inner.lock().faults.clone();
                let mut lines = Vec::new();
                let mut cut = false;
                while index < progress.made_tokens && !cut {
                    lines.extend(self.token_lines(index, &faults));
                    index += 1;
                    cut = faults.cut_after_tokens > 0 && index - self.next_index >= faults.cut_after_tokens;
                }
                if !lines.is_empty() {
                    yield lines;
                }
                if cut {
                    break;
                }
                match progress.ended {
                    Some(Ended::Done(reason)) => {
                        yield line(&EngineEvent::Done { reason, tokens: progress.made_tokens });
                        break;
                    }
                    Some(Ended::Cancelled) => {
                        yield line(&EngineEvent::Failed { message: "cancelled".to_owned() });
                        break;
                    }
                    None => {}
                }
                if self.progress.changed().await.is_err() {
                    break;
                }
            }
        }
    }

    fn readers(&self) -> usize {
        let inner = self.engine.inner.lock();
        let sequence = inner.core.sequence(self.number);
        sequence.map_or(0, |sequence| sequence.progress.receiver_count())
    }
}

#[post("/v1/generations", data = "<request>")]
fn generate(
    engine: &Shared,
    attempt: AttemptId,
    request: Json<GenerationRequest>,
) -> Answer<impl Stream<Item = Vec<u8>> + use<>> {
    let mut inner = engine.inner.lock();
    let wanted = LoadedModel {
        name: request.model.clone(),
        version: request.version.clone(),
    };
    let holds = inner.models.contains(&wanted);
    let refused = inner.faults.refuse || inner.faults.leaving || !holds;
    let number = if refused {
        None
    } else {
        inner.core.submit(request.into_inner())
    };
    let reading = number.and_then(|number| Reading::new(engine, number, 0, &inner));
    let Some(reading) = reading else {
        return Answer::Refused(NotAdmitted {
            body: (),
            attempt: Header::new(NOT_ADMITTED_HEADER, attempt.0.to_string()),
        });
    };
    inner.started_total += 1;
    Answer::Events(ByteStream(reading.events()))
}

#[get("/v1/generations/<number>?<from>")]
fn resume(engine: &Shared, number: u64, from: u32) -> Answer<impl Stream<Item = Vec<u8>> + use<>> {
    let reading = Reading::new(engine, number, from, &engine.inner.lock());
    match reading {
        None => Answer::Missing(Status::NotFound),
        Some(reading) => Answer::Events(ByteStream(reading.events())),
    }
}

#[delete("/v1/generations/<number>?<incarnation>&<unless_read>")]
fn cancel(engine: &Shared, number: u64, incarnation: &str, unless_read: bool) -> Status {
    if incarnation != engine.incarnation.id.to_string() {
        return Status::NotFound;
    }
    let reading = Reading::new(engine, number, 0, &engine.inner.lock());
    // The reader made here counts itself.
    let read = reading.is_some_and(|reading| reading.readers() > 1);
    if !(unless_read && read) {
        engine.inner.lock().core.cancel(number);
    }
    Status::NoContent
}

#[get("/v1/load")]
fn load(engine: &Shared) -> Json<LoadReport> {
    let inner = engine.inner.lock();
    let lag = Duration::from_millis(inner.faults.load_lag_ms);
    let lagged = inner
        .reports
        .iter()
        .rev()
        .find(|timed| timed.at.elapsed() >= lag);
    let mut report = lagged.map_or_else(|| engine.report(&inner), |timed| timed.report.clone());
    report.leaving = inner.faults.leaving;
    report.models.clone_from(&inner.models);
    Json(report)
}

#[get("/v1/cache_events?<after>")]
fn cache_events(engine: &Shared, after: u64) -> Json<Vec<CacheEvent>> {
    let inner = engine.inner.lock();
    let lost = inner.faults.lose_events_every;
    let mut events = inner.core.events_after(after);
    events.retain(|event| lost == 0 || !event.sequence.is_multiple_of(lost));
    Json(events)
}

#[post("/v1/orders", data = "<order>")]
fn order(engine: &Shared, order: Json<Order>) -> (Status, Json<OrderStatus>) {
    let mut inner = engine.inner.lock();
    if engine.settings.checks_fence && order.fence < inner.newest_fence {
        return (Status::Conflict, Json(Engine::order_status(&inner)));
    }
    inner.newest_fence = order.fence;
    let changed = inner.order.as_ref().map(|o| &o.models) != Some(&order.models);
    if changed {
        inner.order = Some(order.0.clone());
        tokio::spawn(engine.inner().clone().load_models(order.into_inner()));
    }
    (Status::Ok, Json(Engine::order_status(&inner)))
}

/// Counters for tests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Generations accepted since the start.
    pub started_total: u64,
    /// Load now, without lag.
    pub load: LoadReport,
    /// Orders.
    pub orders: OrderStatus,
}

#[get("/counters")]
fn counters(engine: &Shared) -> Json<EngineCounters> {
    let inner = engine.inner.lock();
    Json(EngineCounters {
        started_total: inner.started_total,
        load: engine.report(&inner),
        orders: Engine::order_status(&inner),
    })
}

#[put("/faults", data = "<faults>")]
fn set_faults(engine: &Shared, faults: Json<EngineFaults>) -> Status {
    engine.set_faults(faults.into_inner());
    Status::NoContent
}

/// An engine that listens.
pub struct RunningEngine {
    /// The endpoint protocol.
    pub server: Server,
    /// Faults and counters.
    pub control: Server,
    /// The engine behind both.
    pub engine: Arc<Engine>,
    steps: tokio::task::JoinHandle<()>,
}

impl RunningEngine {
    /// Ends the engine; streams are cut.
    pub async fn stop(self) {
        self.steps.abort();
        stop_all(vec![self.server, self.control]).await;
    }
}

/// Starts a stand-in engine.
///
/// # Errors
/// An address cannot be bound.
pub async fn run(settings: EngineSettings) -> anyhow::Result<RunningEngine> {
    let engine = Arc::new(Engine {
        incarnation: Incarnation {
            name: settings.name.clone(),
            id: Uuid::new_v4(),
        },
        inner: Mutex::new(Inner {
            core: EngineCore::new(settings.spec.clone()),
            faults: EngineFaults::default(),
            models: settings.models.clone(),
            order: None,
            newest_fence: 0,
            reports: VecDeque::new(),
            started_total: 0,
        }),
        settings,
    });
    let settings = &engine.settings;
    let protocol = routes![generate, resume, cancel, load, cache_events, order];
    let rocket = rocket_at(settings.address).manage(engine.clone());
    let server = start(rocket.mount("/", protocol)).await?;
    let rocket = rocket_at(settings.control).manage(engine.clone());
    let control = start(rocket.mount("/", routes![set_faults, counters])).await?;
    let steps = tokio::spawn(engine.clone().run_steps());
    if let Some(platform) = settings.platform.clone() {
        let announced = engine.clone();
        let leaving = move || announced.inner.lock().faults.leaving;
        tokio::spawn(announce::run(platform, engine.incarnation.clone(), leaving));
    }
    Ok(RunningEngine {
        server,
        control,
        engine,
        steps,
    })
}
