//! Stand-in plain service: echoes the request body and counts how often each request ran.

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
use super::server::{Server, build_rocket, start_server};
use crate::endpoint::protocol::{ATTEMPT_ID_HEADER, NOT_ADMITTED_HEADER, REQUEST_ID_HEADER};
use crate::kernel::membership::Incarnation;
use crate::kernel::policy::LoadReport;

/// Injected faults, set through the control port.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay between running a request and responding to it, in milliseconds.
    pub delay_ms: u64,
    /// Number of further calls that run although their responses are lost.
    pub lose_replies: u32,
    /// Refuses calls before they run.
    pub refuse: bool,
    /// Number of further responses that carry a wrong request id.
    pub cross_replies: u32,
    /// Reports that the service is draining, and refuses calls.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ServiceFaults,
    /// Number of runs by request body; tests send a distinct body with each request.
    run_counts: BTreeMap<String, u32>,
}

/// State of a stand-in service, shared by its request handlers.
pub struct Service {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

type ServiceState = State<Arc<Service>>;

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
struct EchoBody {
    path: String,
    echo: String,
}

#[derive(Responder)]
enum ServiceResponse {
    #[response(status = 503)]
    Refused((), Header<'static>),
    #[response(status = 200)]
    Echoed(Json<EchoBody>, Header<'static>, Header<'static>),
    #[response(status = 504)]
    ReplyLost(()),
}

#[post("/<path..>", data = "<body>", rank = 10)]
async fn call(
    service: &ServiceState,
    ids: CallIds,
    path: PathBuf,
    body: String,
) -> ServiceResponse {
    let faults = {
        let mut inner = service.inner.lock();
        if inner.faults.refuse || inner.faults.leaving {
            let header = Header::new(NOT_ADMITTED_HEADER, ids.attempt_id);
            return ServiceResponse::Refused((), header);
        }
        *inner.run_counts.entry(body.clone()).or_default() += 1;
        let faults = inner.faults.clone();
        inner.faults.lose_replies = faults.lose_replies.saturating_sub(1);
        inner.faults.cross_replies = faults.cross_replies.saturating_sub(1);
        faults
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.lose_replies > 0 {
        return ServiceResponse::ReplyLost(());
    }
    let request_id = if faults.cross_replies > 0 {
        Uuid::new_v4().to_string()
    } else {
        ids.request_id
    };
    let echo = EchoBody {
        path: path.display().to_string(),
        echo: body,
    };
    ServiceResponse::Echoed(
        Json(echo),
        Header::new(REQUEST_ID_HEADER, request_id),
        Header::new(ATTEMPT_ID_HEADER, ids.attempt_id),
    )
}

#[get("/v1/load")]
fn load(service: &ServiceState) -> Json<LoadReport> {
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
fn run_counts(service: &ServiceState) -> Json<BTreeMap<String, u32>> {
    Json(service.inner.lock().run_counts.clone())
}

#[put("/faults", data = "<faults>")]
fn set_faults(service: &ServiceState, faults: Json<ServiceFaults>) -> Status {
    service.inner.lock().faults = faults.into_inner();
    Status::NoContent
}

/// A running stand-in service.
pub struct RunningService {
    /// Server of the service's calls.
    pub server: Server,
    /// Server of the control port.
    pub control: Server,
}

/// Starts a stand-in service.
///
/// # Errors
/// Fails if an address cannot be bound.
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
    let rocket = build_rocket(address).manage(service.clone());
    let server = start_server(rocket.mount("/", routes![call, load])).await?;
    let rocket = build_rocket(control).manage(service.clone());
    let control = start_server(rocket.mount("/", routes![run_counts, set_faults])).await?;
    if let Some(platform) = platform {
        let announced = service.clone();
        let is_leaving = move || announced.inner.lock().faults.leaving;
        tokio::spawn(announce::announce_periodically(
            platform,
            service.incarnation.clone(),
            is_leaving,
        ));
    }
    Ok(RunningService { server, control })
}
