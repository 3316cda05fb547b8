//! The HTTP API for callers: entries, completions, chat completions and plain services.

mod headers;
mod openai;
mod render;

use std::path::PathBuf;
use std::sync::Arc;

use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::request::Request;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, catch, catchers, get, post, routes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use crate::daemon::dispatch;
use crate::daemon::drain::Entry;
use crate::daemon::node::Node;
use crate::daemon::request::{CallerRequest, RequestedWork};
use crate::daemon::response::single_event;
use crate::error::{Error, ErrorKind, Result};
use headers::CallerHeaders;
use openai::{ChatBody, CompletionBody, ResponseFormat};
use render::{CallerResponse, error_response, render_generation, render_service};

type NodeState = State<Arc<Node>>;

/// Mounts the routes for callers.
pub(crate) fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    let routes = routes![entries, completions, chat_completions, service, health];
    rocket
        .mount("/", routes)
        .register("/", catchers![catch_all])
}

/// Response of `/v1/entries`.
#[derive(Serialize)]
struct EntriesResponse {
    /// Entries in order of preference.
    entries: Vec<Entry>,
    /// How long callers may cache this response.
    valid_for_ms: u64,
}

#[get("/v1/entries")]
fn entries(node: &NodeState) -> Json<EntriesResponse> {
    Json(EntriesResponse {
        entries: node.entries(),
        valid_for_ms: node.settings.times.entries_valid_ms,
    })
}

#[get("/healthz")]
fn health() -> &'static str {
    "ok\n"
}

/// Reads a request body of at most `body_max_bytes`.
async fn read_body(node: &Node, data: Data<'_>) -> Result<Vec<u8>> {
    let limit = node.settings.limits.body_max_bytes;
    let read = data.open(limit.bytes()).into_bytes().await;
    let body = read.map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
    if !body.is_complete() {
        return Err(Error::new(
            ErrorKind::TooLarge,
            format!("the body exceeds {limit} bytes"),
        ));
    }
    Ok(body.into_inner())
}

/// A request whose bearer key belongs to a client account.
struct AuthorizedRequest {
    headers: CallerHeaders,
    body: Vec<u8>,
}

/// Checks the bearer key, then reads the body.
async fn authorize(
    node: &Node,
    headers: Result<CallerHeaders>,
    data: Data<'_>,
) -> Result<AuthorizedRequest> {
    let headers = headers?;
    node.catalog().account_for_key(&headers.bearer_key)?;
    let body = read_body(node, data).await?;
    Ok(AuthorizedRequest { headers, body })
}

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("body: {error}")))
}

async fn handle_generation<T: DeserializeOwned + openai::IntoGenerationParams>(
    node: &Arc<Node>,
    headers: Result<CallerHeaders>,
    data: Data<'_>,
    format: ResponseFormat,
) -> CallerResponse {
    let request_id = Uuid::new_v4();
    let prepared = prepare_generation::<T>(node, headers, data, request_id).await;
    match prepared {
        Err(error) => error_response(request_id, &error),
        Ok(request) => {
            let builder = openai::ResponseBuilder::new(format, &request);
            render_generation(request_id, dispatch::start_request(node, request), builder).await
        }
    }
}

async fn prepare_generation<T: DeserializeOwned + openai::IntoGenerationParams>(
    node: &Node,
    headers: Result<CallerHeaders>,
    data: Data<'_>,
    request_id: Uuid,
) -> Result<CallerRequest> {
    let AuthorizedRequest { headers, body } = authorize(node, headers, data).await?;
    let work = match headers.last_event_id {
        Some(last_event_id) => RequestedWork::Resume { last_event_id },
        None => RequestedWork::Generation(parse_body::<T>(&body)?.into_generation_params()?),
    };
    Ok(CallerRequest {
        request_id,
        bearer_key: headers.bearer_key,
        options: headers.options,
        work,
    })
}

#[post("/v1/completions", data = "<data>")]
async fn completions(
    node: &NodeState,
    headers: CallerHeadersGuard,
    data: Data<'_>,
) -> CallerResponse {
    handle_generation::<CompletionBody>(node, headers.0, data, ResponseFormat::Completion).await
}

#[post("/v1/chat/completions", data = "<data>")]
async fn chat_completions(
    node: &NodeState,
    headers: CallerHeadersGuard,
    data: Data<'_>,
) -> CallerResponse {
    handle_generation::<ChatBody>(node, headers.0, data, ResponseFormat::Chat).await
}

#[post("/v1/services/<name>/<path..>", data = "<data>")]
async fn service(
    node: &NodeState,
    name: &str,
    path: PathBuf,
    headers: CallerHeadersGuard,
    data: Data<'_>,
) -> CallerResponse {
    let request_id = Uuid::new_v4();
    let prepared = prepare_service(node, name, &path, headers.0, data, request_id).await;
    let response = match prepared {
        Ok(request) => dispatch::start_request(node, request),
        Err(error) => single_event(error),
    };
    render_service(request_id, response).await
}

async fn prepare_service(
    node: &Node,
    name: &str,
    path: &std::path::Path,
    headers: Result<CallerHeaders>,
    data: Data<'_>,
    request_id: Uuid,
) -> Result<CallerRequest> {
    let AuthorizedRequest { headers, body } = authorize(node, headers, data).await?;
    Ok(CallerRequest {
        request_id,
        bearer_key: headers.bearer_key,
        options: headers.options,
        work: RequestedWork::Service {
            service: name.to_owned(),
            path: path.display().to_string(),
            content_type: headers.content_type,
            body,
        },
    })
}

/// Request guard that yields the parsed headers, or the error in them.
struct CallerHeadersGuard(Result<CallerHeaders>);

#[rocket::async_trait]
impl<'r> rocket::request::FromRequest<'r> for CallerHeadersGuard {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> rocket::request::Outcome<Self, Self::Error> {
        rocket::request::Outcome::Success(Self(CallerHeaders::parse(request.headers())))
    }
}

#[catch(default)]
fn catch_all(status: Status, _: &Request<'_>) -> CallerResponse {
    let error = match status.code {
        404 | 405 => Error::new(ErrorKind::NotFound, "no such path; see docs/CALLERS.md"),
        413 => Error::new(ErrorKind::TooLarge, "the body is too large"),
        400..=499 => Error::new(ErrorKind::BadRequest, status.to_string()),
        _ => Error::new(ErrorKind::Internal, "larkwick failed; report this"),
    };
    error_response(Uuid::new_v4(), &error)
}
