//! Stand-in plain service: echoes what it was asked and counts how often each request ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{Responder, State, get, post, put, routes};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::announce;
use super::server::{Server, rocket_at, start};
use crate::endpoint::protocol::{ATTEMPT_ID_HEADER, NOT_ADMITTED_HEADER, REQUEST_ID_HEADER};
use crate::kernel::membership::Incarnation;
use crate::kernel::policy::LoadReport;

/// Faults, changed through the control port.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Time from counting a run to its answer.
    pub delay_ms: u64,
    /// This many calls run and their answers are lost.
    pub lose_replies: u32,
    /// Calls are refused before they run.
    pub refuse: bool,
    /// This many answers echo a wrong request id.
    pub cross_replies: u32,
    /// The service says that it is leaving.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ServiceFaults,
    /// Runs by the body's text: tests send a text of their own with each request.
    runs: BTreeMap<String, u32>,
}

/// The service behind its server.
pub struct Service {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

type Shared = State<Arc<Service>>;

struct CallIds {
    request_id: String,
    attempt_id: String,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallIds {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let header = |name| request.headers().get_one(name).unwrap_or("").to_owned();
        Outcome::Success(Self {
            request_id: header(REQUEST_ID_HEADER),
            attempt_id: header(ATTEMPT_ID_HEADER),
        })
    }
}

#[derive(Serialize)]
struct Ran {
    path: String,
    echo: String,
}

#[derive(Responder)]
enum Answer {
    #[response(status = 503)]
    Refused((), Header<'static>),
    #[response(status = 200)]
    Ran(Json<Ran>, Header<'static>, Header<'static>),
    #[response(status = 504)]
    Lost(()),
}

#[post("/<path..>", data = "<body>", rank = 10)]
async fn call(service: &Shared, ids: CallIds, path: PathBuf, body: String) -> Answer {
    let faults = {
        let mut inner = service.inner.lock();
        if inner.faults.refuse || inner.faults.leaving {
            let header = Header::new(NOT_ADMITTED_HEADER, ids.attempt_id);
            return Answer::Refused((), header);
        }
        *inner.runs.entry(body.clone()).or_default() += 1;
        let faults = inner.faults.clone();
        inner.faults.lose_replies = faults.lose_replies.saturating_sub(1);
        inner.faults.cross_replies = faults.cross_replies.saturating_sub(1);
        faults
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.lose_replies > 0 {
        return Answer::Lost(());
    }
    let request_id = if faults.cross_replies > 0 {
        Uuid::new_v4().to_string()
    } else {
        ids.request_id
    };
    let ran = Ran {
        path: path.display().to_string(),
        echo: body,
    };
    Answer::Ran(
        Json(ran),
        Header::new(REQUEST_ID_HEADER, request_id),
        Header::new(ATTEMPT_ID_HEADER, ids.attempt_id),
    )
}

#[get("/v1/load")]
fn load(service: &Shared) -> Json<LoadReport> {
    Json(LoadReport {
        incarnation: service.incarnation.id,
        leaving: service.inner.lock().faults.leaving,
        running: 0,
        waiting: 0,
        kv_used_tokens: 0,
        kv_capacity_tokens: 0,
        preemptions_total: 0,
        models: Vec::new(),
    })
}

#[get("/runs")]
fn runs(service: &Shared) -> Json<BTreeMap<String, u32>> {
    Json(service.inner.lock().runs.clone())
}

#[put("/faults", data = "<faults>")]
fn set_faults(service: &Shared, faults: Json<ServiceFaults>) -> Status {
    service.inner.lock().faults = faults.into_inner();
    Status::NoContent
}

/// A service that listens.
pub struct RunningService {
    /// The service's calls.
    pub server: Server,
    /// Faults and counters.
    pub control: Server,
}

/// Starts a stand-in service.
///
/// # Errors
/// An address cannot be bound.
pub async fn run(
    name: &str,
    address: SocketAddr,
    control: SocketAddr,
    platform: Option<String>,
) -> anyhow::Result<RunningService> {
    let service = Arc::new(Service {
        incarnation: Incarnation {
            name: name.to_owned(),
            id: Uuid::new_v4(),
        },
        inner: Mutex::default(),
    });
    let rocket = rocket_at(address).manage(service.clone());
    let server = start(rocket.mount("/", routes![call, load])).await?;
    let rocket = rocket_at(control).manage(service.clone());
    let control = start(rocket.mount("/", routes![runs, set_faults])).await?;
    if let Some(platform) = platform {
        let announced = service.clone();
        let leaving = move || announced.inner.lock().faults.leaving;
        tokio::spawn(announce::run(
            platform,
            service.incarnation.clone(),
            leaving,
        ));
    }
    Ok(RunningService { server, control })
}
