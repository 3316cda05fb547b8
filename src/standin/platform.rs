//! Stand-in platform: an append-only log, an instance list and a weight store.
//!
//! The log has offsets, retention, an append rate limit and outages; the instance list can lag; the
//! weight store has limited bandwidth.

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

use super::server::{Server, build_rocket, start_server};
use crate::kernel::clock::{Clock, SystemClock};
use crate::log_service::{ListedInstance, LogPage};

const PAGE_RECORDS_MAX: usize = 1_000;
/// Time after which an instance without a new announcement is removed from the list.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// Injected faults and limits, set through the control port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses all calls to the log and the instance list.
    pub outage: bool,
    /// Refuses calls to the log only.
    pub log_outage: bool,
    /// Number of further appends that take effect although their replies are lost.
    pub lose_replies: u32,
    /// Age of the instance list that is returned, in milliseconds.
    pub list_lag_ms: u64,
    /// Names of instances that are listed as not leaving, whatever they announce.
    pub list_as_live: Vec<String>,
    /// Maximum number of appends per second.
    pub appends_per_s: u32,
    /// Offset before which records have expired, whatever their age.
    pub expire_before: u64,
    /// Retention time of records, in milliseconds.
    pub retention_ms: u64,
    /// Bandwidth of the weight store, in bytes per second.
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

/// Reason why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The platform, or its log, is unavailable.
    Outage,
    /// The append rate limit is exceeded.
    RateLimited,
    /// The append took effect, but its reply was lost.
    ReplyLost,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Outage => "outage",
            Self::RateLimited => "too many appends",
            Self::ReplyLost => "reply lost",
        })
    }
}

#[derive(Debug, Clone)]
struct StoredRecord {
    appended_at: Duration,
    record: Value,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the first retained record.
    first_offset: u64,
    records: VecDeque<StoredRecord>,
}

#[derive(Debug, Clone)]
struct Announcement {
    announced_at: Duration,
    instance: ListedInstance,
}

#[derive(Debug, Default)]
struct Inner {
    faults: PlatformFaults,
    streams: HashMap<String, Stream>,
    /// Latest announcements by instance name, oldest first; the history serves the lagging list.
    instances: BTreeMap<String, VecDeque<Announcement>>,
    append_times: VecDeque<Duration>,
    weight_store_free_at: Duration,
}

/// State of the stand-in platform, without its server.
pub struct PlatformCore {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
}

impl PlatformCore {
    /// Creates a platform without records or instances.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            inner: Mutex::new(Inner::default()),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.inner.lock().faults = faults;
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    /// Fails during an outage, above the append rate limit, or after the append if its reply is to be lost.
    pub fn append(&self, stream: &str, record: Value) -> Result<u64, CallError> {
        let at = self.clock.now();
        let mut inner = self.inner.lock();
        if inner.faults.outage || inner.faults.log_outage {
            return Err(CallError::Outage);
        }
        inner.count_append(at)?;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        let offset = stream.first_offset + stream.records.len() as u64;
        stream.records.push_back(StoredRecord {
            appended_at: at,
            record,
        });
        if inner.faults.lose_replies > 0 {
            inner.faults.lose_replies -= 1;
            return Err(CallError::ReplyLost);
        }
        Ok(offset)
    }

    /// Reads a page of records from an offset on.
    ///
    /// # Errors
    /// Fails during an outage.
    pub fn read(&self, stream: &str, from_offset: u64) -> Result<LogPage, CallError> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        if inner.faults.outage || inner.faults.log_outage {
            return Err(CallError::Outage);
        }
        let retention = Duration::from_millis(inner.faults.retention_ms);
        let expire_before = inner.faults.expire_before;
        let stream = inner.streams.entry(stream.to_owned()).or_default();
        while stream.records.front().is_some_and(|logged| {
            now.saturating_sub(logged.appended_at) > retention
                || stream.first_offset < expire_before
        }) {
            stream.records.pop_front();
            stream.first_offset += 1;
        }
        let first_offset = from_offset.max(stream.first_offset);
        let skip = usize::try_from(first_offset - stream.first_offset).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(PAGE_RECORDS_MAX);
        Ok(LogPage {
            first_kept: stream.first_offset,
            head: stream.first_offset + stream.records.len() as u64,
            first_offset,
            records: records.map(|logged| logged.record.clone()).collect(),
        })
    }

    /// Returns the instance list as it was `list_lag_ms` ago.
    ///
    /// # Errors
    /// Fails during an outage.
    pub fn list(&self) -> Result<Vec<ListedInstance>, CallError> {
        let now = self.clock.now();
        let inner = self.inner.lock();
        if inner.faults.outage {
            return Err(CallError::Outage);
        }
        let as_of = now.saturating_sub(Duration::from_millis(inner.faults.list_lag_ms));
        let listed = inner.instances.values().filter_map(|history| {
            let latest = history
                .iter()
                .rev()
                .find(|announcement| announcement.announced_at <= as_of)?;
            let is_fresh = as_of.saturating_sub(latest.announced_at) < ANNOUNCEMENT_TTL;
            is_fresh.then(|| inner.faults.listed_as(&latest.instance))
        });
        Ok(listed.collect())
    }

    /// Records the announcement of an instance.
    ///
    /// # Errors
    /// Fails during an outage.
    pub fn announce(&self, instance: &ListedInstance) -> Result<(), CallError> {
        const HISTORY_MAX: usize = 64;
        let at = self.clock.now();
        let mut inner = self.inner.lock();
        if inner.faults.outage {
            return Err(CallError::Outage);
        }
        let name = instance.incarnation.name.clone();
        let history = inner.instances.entry(name).or_default();
        if history.len() == HISTORY_MAX {
            history.pop_front();
        }
        let instance = instance.clone();
        history.push_back(Announcement {
            announced_at: at,
            instance,
        });
        Ok(())
    }

    /// Reserves a transfer from the weight store; returns the time until it completes.
    ///
    /// Transfers run one after the other.
    pub fn fetch_weights(&self, bytes: u64) -> Duration {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let per_s = inner.faults.weight_bytes_per_s.max(1);
        let transfer = Duration::from_millis(bytes.saturating_mul(1000) / per_s);
        inner.weight_store_free_at = inner.weight_store_free_at.max(now) + transfer;
        inner.weight_store_free_at.saturating_sub(now)
    }
}

impl PlatformFaults {
    fn listed_as(&self, instance: &ListedInstance) -> ListedInstance {
        let mut listed = instance.clone();
        if self.list_as_live.contains(&instance.incarnation.name) {
            listed.leaving = false;
            if let Some(status) = &mut listed.status {
                status.leaving = false;
            }
        }
        listed
    }
}

impl Inner {
    fn count_append(&mut self, now: Duration) -> Result<(), CallError> {
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
            return Err(CallError::RateLimited);
        }
        self.append_times.push_back(now);
        Ok(())
    }
}

/// Reply to an append.
#[derive(Debug, Serialize)]
struct AppendReply {
    offset: u64,
}

/// Reply to a weight request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WeightTransfer {
    /// Time until the transfer completes, in milliseconds.
    pub(crate) takes_ms: u64,
}

type PlatformState = State<Arc<PlatformCore>>;

fn http_status(error: CallError) -> Status {
    match error {
        CallError::Outage => Status::ServiceUnavailable,
        CallError::RateLimited => Status::TooManyRequests,
        CallError::ReplyLost => Status::GatewayTimeout,
    }
}

#[post("/log/<stream>", data = "<record>")]
fn append(
    core: &PlatformState,
    stream: &str,
    record: Json<Value>,
) -> Result<Json<AppendReply>, Status> {
    let appended = core.append(stream, record.into_inner());
    appended
        .map(|offset| Json(AppendReply { offset }))
        .map_err(http_status)
}

#[get("/log/<stream>?<from>")]
fn read(core: &PlatformState, stream: &str, from: u64) -> Result<Json<LogPage>, Status> {
    core.read(stream, from).map(Json).map_err(http_status)
}

#[get("/instances")]
fn list(core: &PlatformState) -> Result<Json<Vec<ListedInstance>>, Status> {
    core.list().map(Json).map_err(http_status)
}

#[put("/instances/<_>", data = "<instance>")]
#[expect(
    clippy::needless_pass_by_value,
    reason = "rocket passes request guards by value"
)]
fn announce(core: &PlatformState, instance: Json<ListedInstance>) -> Result<Json<()>, Status> {
    core.announce(&instance).map(Json).map_err(http_status)
}

#[post("/weights?<bytes>")]
fn weights(core: &PlatformState, bytes: u64) -> Json<WeightTransfer> {
    let remaining = core.fetch_weights(bytes);
    Json(WeightTransfer {
        takes_ms: crate::kernel::clock::millis(remaining),
    })
}

#[put("/faults", data = "<faults>")]
fn set_faults(core: &PlatformState, faults: Json<PlatformFaults>) -> Status {
    core.set_faults(faults.into_inner());
    Status::NoContent
}

/// A running stand-in platform.
pub struct RunningPlatform {
    /// Server of the platform protocol.
    pub server: Server,
    /// Server of the control port.
    pub control: Server,
    /// State shared by both servers.
    pub core: Arc<PlatformCore>,
}

/// Starts a stand-in platform.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run(address: SocketAddr, control: SocketAddr) -> anyhow::Result<RunningPlatform> {
    let core = Arc::new(PlatformCore::new(Arc::new(SystemClock::default())));
    let routes = routes![append, read, list, announce, weights];
    let server = start_server(
        build_rocket(address)
            .manage(core.clone())
            .mount("/", routes),
    )
    .await?;
    let rocket = build_rocket(control).manage(core.clone());
    let control = start_server(rocket.mount("/", routes![set_faults])).await?;
    Ok(RunningPlatform {
        server,
        control,
        core,
    })
}
