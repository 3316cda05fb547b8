//! Stand-in platform: append-only log with offsets, retention, a limited append rate and outages; a lagging list of instances;
//! a rate-limited weight store.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, get, post, put, routes};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::server::{Server, rocket_at, start};
use crate::kernel::clock::{Clock, SystemClock};
use crate::log_service::{ListedInstance, LogPage};

const PAGE_RECORDS: usize = 1_000;
/// An instance that announces nothing for this long leaves the list.
const ANNOUNCEMENT_KEPT: Duration = Duration::from_secs(10);

/// Faults and limits, changed through the control port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Everything is refused.
    pub outage: bool,
    /// The log alone is refused.
    pub log_outage: bool,
    /// This many appends take effect and their replies are lost.
    pub lose_replies: u32,
    /// The list shows what was true this long ago.
    pub list_lag_ms: u64,
    /// Names that the list shows as live whatever they announce.
    pub list_as_live: Vec<String>,
    /// Appends a second.
    pub appends_per_s: u32,
    /// Records before this offset have expired, whatever their age.
    pub expire_before: u64,
    /// Records are kept this long.
    pub retention_ms: u64,
    /// Bytes a second that the weight store gives out.
    pub weight_bytes_per_s: u64,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            outage: false,
            log_outage: false,
            lose_replies: 0,
            list_lag_ms: 0,
            list_as_live: Vec::new(),
            appends_per_s: 100,
            expire_before: 0,
            retention_ms: 24 * 3600 * 1000,
            weight_bytes_per_s: 1 << 30,
        }
    }
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The platform is down.
    Outage,
    /// Too many appends.
    TooFast,
    /// The append took effect, but its reply is lost.
    ReplyLost,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Outage => "outage",
            Self::TooFast => "too many appends",
            Self::ReplyLost => "reply lost",
        })
    }
}

#[derive(Debug, Clone)]
struct Kept {
    at: Duration,
    record: Value,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first record kept.
    first: u64,
    records: VecDeque<Kept>,
}

#[derive(Debug, Clone)]
struct Announced {
    at: Duration,
    instance: ListedInstance,
}

#[derive(Debug, Default)]
struct Inner {
    faults: PlatformFaults,
    streams: HashMap<String, Stream>,
    /// Latest announcements per name, oldest first; enough to show a lagging view.
    instances: BTreeMap<String, VecDeque<Announced>>,
    append_times: VecDeque<Duration>,
    weights_free_at: Duration,
}

/// The platform without its server.
pub struct PlatformCore {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

impl PlatformCore {
    /// An empty platform.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner::default()),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.inner.lock().faults = faults;
    }

    /// Appends a record.
    ///
    /// # Errors
    /// As the faults say.
    pub fn append(&self, stream: &str, record: Value) -> Result<u64, Refusal> {
        let at = self.clock.now();
        let mut inner = self.inner.lock();
        if inner.faults.outage || inner.faults.log_outage {
            return Err(Refusal::Outage);
        }
        inner.take_append(at)?;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let offset = stream.first + stream.records.len() as u64;
        stream.records.push_back(Kept { at, record });
        if inner.faults.lose_replies > 0 {
            inner.faults.lose_replies -= 1;
            return Err(Refusal::ReplyLost);
        }
        Ok(offset)
    }

    /// Reads records.
    ///
    /// # Errors
    /// During an outage.
    pub fn read(&self, stream: &str, from_offset: u64) -> Result<LogPage, Refusal> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        if inner.faults.outage || inner.faults.log_outage {
            return Err(Refusal::Outage);
        }
        let retention = Duration::from_millis(inner.faults.retention_ms);
        let expire_before = inner.faults.expire_before;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        while stream.records.front().is_some_and(|kept| {
            now.saturating_sub(kept.at) > retention || stream.first < expire_before
        }) {
            stream.records.pop_front();
            stream.first += 1;
        }
        let first_offset = from_offset.max(stream.first);
        let skip = usize::try_from(first_offset - stream.first).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(PAGE_RECORDS);
        Ok(LogPage {
            first_kept: stream.first,
            head: stream.first + stream.records.len() as u64,
            first_offset,
            records: records.map(|kept| kept.record.clone()).collect(),
        })
    }

    /// The list as it was `list_lag_ms` ago.
    ///
    /// # Errors
    /// During an outage.
    pub fn list(&self) -> Result<Vec<ListedInstance>, Refusal> {
        let now = self.clock.now();
        let inner = self.inner.lock();
        if inner.faults.outage {
            return Err(Refusal::Outage);
        }
        let seen_at = now.saturating_sub(Duration::from_millis(inner.faults.list_lag_ms));
        let shown = inner.instances.values().filter_map(|history| {
            let shown = history
                .iter()
                .rev()
                .find(|announced| announced.at <= seen_at)?;
            let fresh = seen_at.saturating_sub(shown.at) < ANNOUNCEMENT_KEPT;
            fresh.then(|| inner.faults.show(&shown.instance))
        });
        Ok(shown.collect())
    }

    /// Takes an announcement.
    ///
    /// # Errors
    /// During an outage.
    pub fn announce(&self, instance: &ListedInstance) -> Result<(), Refusal> {
        const HISTORY: usize = 64;
        let at = self.clock.now();
        let mut inner = self.inner.lock();
        if inner.faults.outage {
            return Err(Refusal::Outage);
        }
        let name = instance.incarnation.name.clone();
        let history = inner.instances.entry(name).or_default();
        if history.len() == HISTORY {
            history.pop_front();
        }
        let instance = instance.clone();
        history.push_back(Announced { at, instance });
        Ok(())
    }

    /// Reserves a transfer from the weight store and gives the time until it is complete.
    pub fn fetch_weights(&self, bytes: u64) -> Duration {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let per_s = inner.faults.weight_bytes_per_s.max(1);
        let takes = Duration::from_millis(bytes.saturating_mul(1000) / per_s);
        inner.weights_free_at = inner.weights_free_at.max(now) + takes;
        inner.weights_free_at.saturating_sub(now)
    }
}

impl PlatformFaults {
    fn show(&self, instance: &ListedInstance) -> ListedInstance {
        let mut shown = instance.clone();
        if self.list_as_live.contains(&instance.incarnation.name) {
            shown.leaving = false;
            if let Some(status) = &mut shown.status {
                status.leaving = false;
            }
        }
        shown
    }
}

impl Inner {
    fn take_append(&mut self, now: Duration) -> Result<(), Refusal> {
        let window = Duration::from_secs(1);
        while self
            .append_times
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= window)
        {
            self.append_times.pop_front();
        }
        let limit = usize::try_from(self.faults.appends_per_s).unwrap_or(usize::MAX);
        if self.append_times.len() >= limit {
            return Err(Refusal::TooFast);
        }
        self.append_times.push_back(now);
        Ok(())
    }
}

/// Offset of an appended record.
#[derive(Debug, Serialize)]
struct Appended {
    offset: u64,
}

/// Time until a transfer is complete.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Transfer {
    /// In milliseconds.
    pub(crate) takes_ms: u64,
}

type Core = State<Arc<PlatformCore>>;

fn status_of(refusal: Refusal) -> Status {
    match refusal {
        Refusal::Outage => Status::ServiceUnavailable,
        Refusal::TooFast => Status::TooManyRequests,
        Refusal::ReplyLost => Status::GatewayTimeout,
    }
}

#[post("/log/<stream>", data = "<record>")]
fn append(core: &Core, stream: &str, record: Json<Value>) -> Result<Json<Appended>, Status> {
    let appended = core.append(stream, record.into_inner());
    appended
        .map(|offset| Json(Appended { offset }))
        .map_err(status_of)
}

#[get("/log/<stream>?<from>")]
fn read(core: &Core, stream: &str, from: u64) -> Result<Json<LogPage>, Status> {
    core.read(stream, from).map(Json).map_err(status_of)
}

#[get("/instances")]
fn list(core: &Core) -> Result<Json<Vec<ListedInstance>>, Status> {
    core.list().map(Json).map_err(status_of)
}

#[put("/instances/<_>", data = "<instance>")]
#[expect(clippy::needless_pass_by_value, reason = "a guard of rocket")]
fn announce(core: &Core, instance: Json<ListedInstance>) -> Result<Json<()>, Status> {
    core.announce(&instance).map(Json).map_err(status_of)
}

#[post("/weights?<bytes>")]
fn weights(core: &Core, bytes: u64) -> Json<Transfer> {
    let takes = core.fetch_weights(bytes);
    Json(Transfer {
        takes_ms: crate::kernel::clock::millis(takes),
    })
}

#[put("/faults", data = "<faults>")]
fn set_faults(core: &Core, faults: Json<PlatformFaults>) -> Status {
    core.set_faults(faults.into_inner());
    Status::NoContent
}

/// A platform that listens.
pub struct RunningPlatform {
    /// The platform's protocol.
    pub server: Server,
    /// Faults.
    pub control: Server,
    /// The state behind both.
    pub core: Arc<PlatformCore>,
}

/// Starts a stand-in platform.
///
/// # Errors
/// An address cannot be bound.
pub async fn run(address: SocketAddr, control: SocketAddr) -> anyhow::Result<RunningPlatform> {
    let core = Arc::new(PlatformCore::new(Arc::new(SystemClock::default())));
    let routes = routes![append, read, list, announce, weights];
    let server = start(rocket_at(address).manage(core.clone()).mount("/", routes)).await?;
    let faults = rocket_at(control).manage(core.clone());
    let control = start(faults.mount("/", routes![set_faults])).await?;
    Ok(RunningPlatform {
        server,
        control,
        core,
    })
}
