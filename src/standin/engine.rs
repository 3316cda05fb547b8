//! Stand-in model engine: serves the simulated engine over the endpoint protocol.
//!
//! Load reports can lag, cache events can be lost, orders are fenced, and faults are set through a
//! control port.

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
use super::engine_core::{EngineCore, EngineSpec, Progress, SequenceEnd, token_text};
use super::server::{Server, build_rocket, start_server, stop_servers};
use crate::endpoint::protocol::{
    ATTEMPT_ID_HEADER, CacheEvent, EngineEvent, GenerationRequest, NOT_ADMITTED_HEADER, Order,
    OrderStatus, Started,
};
use crate::kernel::membership::Incarnation;
use crate::kernel::policy::{LoadReport, LoadedModel};

/// Settings of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of the published endpoint.
    pub name: String,
    /// Listen address of the endpoint protocol.
    pub address: SocketAddr,
    /// Listen address of the control port.
    pub control: SocketAddr,
    /// Address of the platform that receives announcements and serves model weights.
    pub platform: Option<String>,
    /// Simulated speed and memory size.
    pub spec: EngineSpec,
    /// Models that are loaded at startup.
    pub models: Vec<LoadedModel>,
    /// Whether orders with an older fence are refused.
    pub checks_fence: bool,
}

/// Injected faults, set through the control port.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the faults are independent of each other"
)]
pub struct EngineFaults {
    /// Age of the load reports that are returned, in milliseconds.
    pub load_lag_ms: u64,
    /// Sends every n-th token twice; 0 disables the fault.
    pub duplicate_every: u32,
    /// Omits every n-th token of a stream, unless the stream is resumed at it; 0 disables the
    /// fault.
    pub skip_every: u32,
    /// Ends each connection without a final event after this many tokens; 0 disables the fault.
    pub cut_after_tokens: u32,
    /// Returns a wrong attempt id in the `Started` event.
    pub cross_answers: bool,
    /// Stops decoding.
    pub stalled: bool,
    /// Refuses new generations.
    pub refuse: bool,
    /// Reports that the engine is draining, and refuses new generations.
    pub leaving: bool,
    /// Loses every n-th cache event; 0 disables the fault.
    pub lose_events_every: u64,
}

#[derive(Debug, Clone)]
struct TimedReport {
    recorded_at: Instant,
    report: LoadReport,
}

#[derive(Debug)]
struct Inner {
    core: EngineCore,
    faults: EngineFaults,
    models: Vec<LoadedModel>,
    order: Option<Order>,
    latest_fence: u64,
    reports: VecDeque<TimedReport>,
    /// Number of accepted generations, read by tests.
    started_total: u64,
}

/// State of a stand-in engine, shared by its request handlers.
pub struct Engine {
    incarnation: Incarnation,
    settings: EngineSettings,
    inner: Mutex<Inner>,
}

impl Engine {
    fn load_report(&self, inner: &Inner) -> LoadReport {
        let counts = inner.core.load_counts();
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

    /// Returns the current load without the configured lag, for benchmarks.
    #[must_use]
    pub fn current_load(&self) -> LoadReport {
        self.load_report(&self.inner.lock())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner.lock().faults = faults;
    }

    fn step(&self) -> Duration {
        const REPORTS_MAX: usize = 4_096;
        let mut inner = self.inner.lock();
        let report = self.load_report(&inner);
        let recorded_at = Instant::now();
        inner.reports.push_back(TimedReport {
            recorded_at,
            report,
        });
        if inner.reports.len() > REPORTS_MAX {
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
            // At most 20 ms of lag are caught up, so that a delay does not cause a burst of steps.
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
                    && let Ok(transfer) = response.json::<super::platform::WeightTransfer>().await
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
            fence: inner.latest_fence,
            desired: inner
                .order
                .as_ref()
                .map(|o| o.models.clone())
                .unwrap_or_default(),
            loaded: inner.models.clone(),
        }
    }
}

type EngineState = State<Arc<Engine>>;

/// Attempt id of a request; the nil id if the header is missing or invalid.
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
enum EngineResponse<S> {
    Refused(NotAdmitted),
    NotFound(Status),
    Events(ByteStream<S>),
}

/// A reader of a generation's event stream.
///
/// It subscribes to the progress channel, so that the generation's readers can be counted.
struct StreamReader {
    engine: Arc<Engine>,
    number: u64,
    progress: tokio::sync::watch::Receiver<Progress>,
    started: Started,
    request: GenerationRequest,
    first_index: u32,
}

fn encode_line(event: &EngineEvent) -> Vec<u8> {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    line
}

impl StreamReader {
    fn new(engine: &Arc<Engine>, number: u64, first_index: u32, inner: &Inner) -> Option<Self> {
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
            first_index,
        })
    }

    fn token_lines(&self, index: u32, faults: &EngineFaults) -> Vec<u8> {
        let is_nth = |every: u32| every > 0 && (index + 1).is_multiple_of(every);
        // An omitted token is sent when the stream is resumed at it.
        if is_nth(faults.skip_every) && index != self.requested_index() {
            return Vec::new();
        }
        let text = token_text(&self.request, index);
        let mut lines = encode_line(&EngineEvent::Token { index, text });
        if is_nth(faults.duplicate_every) {
            lines.extend_from_within(..);
        }
        lines
    }

    const fn requested_index(&self) -> u32 {
        self.first_index
    }

    fn events(mut self) -> impl Stream<Item = Vec<u8>> {
        rocket::async_stream::stream! {
            yield encode_line(&EngineEvent::Started(self.started.clone()));
            let mut index = self.first_index;
            loop {
                let progress = *self.progress.borrow_and_update();
                let faults = self.engine.inner.lock().faults.clone();
                let mut lines = Vec::new();
                let mut cut = false;
                while index < progress.generated_tokens && !cut {
                    lines.extend(self.token_lines(index, &faults));
                    index += 1;
                    cut = faults.cut_after_tokens > 0 && index - self.first_index >= faults.cut_after_tokens;
                }
                if !lines.is_empty() {
                    yield lines;
                }
                if cut {
                    break;
                }
                match progress.ended {
                    Some(SequenceEnd::Done(reason)) => {
                        yield encode_line(&EngineEvent::Done { reason, tokens: progress.generated_tokens });
                        break;
                    }
                    Some(SequenceEnd::Cancelled) => {
                        yield encode_line(&EngineEvent::Failed { message: "cancelled".to_owned() });
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

    fn reader_count(&self) -> usize {
        let inner = self.engine.inner.lock();
        let sequence = inner.core.sequence(self.number);
        sequence.map_or(0, |sequence| sequence.progress.receiver_count())
    }
}

#[post("/v1/generations", data = "<request>")]
fn generate(
    engine: &EngineState,
    attempt: AttemptId,
    request: Json<GenerationRequest>,
) -> EngineResponse<impl Stream<Item = Vec<u8>> + use<>> {
    let mut inner = engine.inner.lock();
    let model = LoadedModel {
        name: request.model.clone(),
        version: request.version.clone(),
    };
    let is_loaded = inner.models.contains(&model);
    let is_refused = inner.faults.refuse || inner.faults.leaving || !is_loaded;
    let number = if is_refused {
        None
    } else {
        inner.core.submit(request.into_inner())
    };
    let reader = number.and_then(|number| StreamReader::new(engine, number, 0, &inner));
    let Some(reader) = reader else {
        return EngineResponse::Refused(NotAdmitted {
            body: (),
            attempt: Header::new(NOT_ADMITTED_HEADER, attempt.0.to_string()),
        });
    };
    inner.started_total += 1;
    EngineResponse::Events(ByteStream(reader.events()))
}

#[get("/v1/generations/<number>?<from>")]
fn resume(
    engine: &EngineState,
    number: u64,
    from: u32,
) -> EngineResponse<impl Stream<Item = Vec<u8>> + use<>> {
    let reader = StreamReader::new(engine, number, from, &engine.inner.lock());
    match reader {
        None => EngineResponse::NotFound(Status::NotFound),
        Some(reader) => EngineResponse::Events(ByteStream(reader.events())),
    }
}

#[delete("/v1/generations/<number>?<incarnation>&<unless_read>")]
fn cancel(engine: &EngineState, number: u64, incarnation: &str, unless_read: bool) -> Status {
    if incarnation != engine.incarnation.id.to_string() {
        return Status::NotFound;
    }
    let reader = StreamReader::new(engine, number, 0, &engine.inner.lock());
    // `reader` itself is included in the count.
    let is_read = reader.is_some_and(|reader| reader.reader_count() > 1);
    if !(unless_read && is_read) {
        engine.inner.lock().core.cancel(number);
    }
    Status::NoContent
}

#[get("/v1/load")]
fn load(engine: &EngineState) -> Json<LoadReport> {
    let inner = engine.inner.lock();
    let lag = Duration::from_millis(inner.faults.load_lag_ms);
    let lagged = inner
        .reports
        .iter()
        .rev()
        .find(|timed| timed.recorded_at.elapsed() >= lag);
    let mut report =
        lagged.map_or_else(|| engine.load_report(&inner), |timed| timed.report.clone());
    report.leaving = inner.faults.leaving;
    report.models.clone_from(&inner.models);
    Json(report)
}

#[get("/v1/cache_events?<after>")]
fn cache_events(engine: &EngineState, after: u64) -> Json<Vec<CacheEvent>> {
    let inner = engine.inner.lock();
    let lose_every = inner.faults.lose_events_every;
    let mut events = inner.core.cache_events_after(after);
    events.retain(|event| lose_every == 0 || !event.sequence.is_multiple_of(lose_every));
    Json(events)
}

#[post("/v1/orders", data = "<order>")]
fn order(engine: &EngineState, order: Json<Order>) -> (Status, Json<OrderStatus>) {
    let mut inner = engine.inner.lock();
    if engine.settings.checks_fence && order.fence < inner.latest_fence {
        return (Status::Conflict, Json(Engine::order_status(&inner)));
    }
    inner.latest_fence = order.fence;
    let is_changed = inner.order.as_ref().map(|o| &o.models) != Some(&order.models);
    if is_changed {
        inner.order = Some(order.0.clone());
        tokio::spawn(engine.inner().clone().load_models(order.into_inner()));
    }
    (Status::Ok, Json(Engine::order_status(&inner)))
}

/// Counters that the control port returns, for tests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineCounters {
    /// Number of generations accepted since startup.
    pub started_total: u64,
    /// Current load, without the configured lag.
    pub load: LoadReport,
    /// Fence and models of the last order, and the loaded models.
    pub orders: OrderStatus,
}

#[get("/counters")]
fn counters(engine: &EngineState) -> Json<EngineCounters> {
    let inner = engine.inner.lock();
    Json(EngineCounters {
        started_total: inner.started_total,
        load: engine.load_report(&inner),
        orders: Engine::order_status(&inner),
    })
}

#[put("/faults", data = "<faults>")]
fn set_faults(engine: &EngineState, faults: Json<EngineFaults>) -> Status {
    engine.set_faults(faults.into_inner());
    Status::NoContent
}

/// A running stand-in engine.
pub struct RunningEngine {
    /// Server of the endpoint protocol.
    pub server: Server,
    /// Server of the control port.
    pub control: Server,
    /// State shared by both servers.
    pub engine: Arc<Engine>,
    steps: tokio::task::JoinHandle<()>,
}

impl RunningEngine {
    /// Stops the engine and its servers; open streams are cut.
    pub async fn stop(self) {
        self.steps.abort();
        stop_servers(vec![self.server, self.control]).await;
    }
}

/// Starts a stand-in engine.
///
/// # Errors
/// Fails if an address cannot be bound.
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
            latest_fence: 0,
            reports: VecDeque::new(),
            started_total: 0,
        }),
        settings,
    });
    let settings = &engine.settings;
    let protocol = routes![generate, resume, cancel, load, cache_events, order];
    let rocket = build_rocket(settings.address).manage(engine.clone());
    let server = start_server(rocket.mount("/", protocol)).await?;
    let rocket = build_rocket(settings.control).manage(engine.clone());
    let control = start_server(rocket.mount("/", routes![set_faults, counters])).await?;
    let steps = tokio::spawn(engine.clone().run_steps());
    if let Some(platform) = settings.platform.clone() {
        let announced = engine.clone();
        let is_leaving = move || announced.inner.lock().faults.leaving;
        tokio::spawn(announce::announce_periodically(
            platform,
            engine.incarnation.clone(),
            is_leaving,
        ));
    }
    Ok(RunningEngine {
        server,
        control,
        engine,
        steps,
    })
}
