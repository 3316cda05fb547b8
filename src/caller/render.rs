//! Renders response events as HTTP: a stream of server-sent events, a complete body, or a typed
//! error.

use std::io::Cursor;
use std::pin::Pin;

use futures::{Stream, StreamExt};
use rocket::http::{ContentType, Status};
use rocket::request::Request;
use rocket::response::stream::{Event, EventStream};
use rocket::response::{self, Responder, Response};
use uuid::Uuid;

use super::openai::{ResponseBuilder, Usage};
use crate::daemon::response::{ResponseEvent, ResponseStream};
use crate::error::{Error, ErrorDetail, ErrorKind};

const DONE: &str = "[DONE]";

type SseEvents = Pin<Box<dyn Stream<Item = Event> + Send>>;

/// An HTTP response to a caller.
pub(super) struct CallerResponse {
    request_id: Uuid,
    status: Status,
    content_type: String,
    retry_after_ms: Option<u64>,
    body: Body,
}

enum Body {
    Full(Vec<u8>),
    Events(SseEvents),
}

impl<'r> Responder<'r, 'r> for CallerResponse {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            Body::Events(events) => EventStream::from(events).respond_to(request)?,
            Body::Full(body) => Response::build()
                .sized_body(body.len(), Cursor::new(body))
                .raw_header("Content-Type", self.content_type)
                .finalize(),
        };
        response.set_status(self.status);
        response.set_raw_header("Larkwick-Request-Id", self.request_id.to_string());
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1000);
            response.set_raw_header("Retry-After", seconds.to_string());
        }
        Ok(response)
    }
}

fn json_response(request_id: Uuid, status: Status, body: impl Into<Vec<u8>>) -> CallerResponse {
    CallerResponse {
        request_id,
        status,
        content_type: ContentType::JSON.to_string(),
        retry_after_ms: None,
        body: Body::Full(body.into()),
    }
}

/// Renders an error as a complete JSON response with the status of its kind.
pub(super) fn error_response(request_id: Uuid, error: &Error) -> CallerResponse {
    let body = error.body();
    let status = Status::new(error.kind.response_rule().status);
    let text = serde_json::to_vec(&body).unwrap_or_default();
    CallerResponse {
        retry_after_ms: body.error.retry_after_ms,
        ..json_response(request_id, status, text)
    }
}

fn missing_end_error() -> Error {
    Error::new(ErrorKind::Internal, "the answer ended without a last event")
}

/// Renders the response to a service call.
pub(super) async fn render_service(request_id: Uuid, mut events: ResponseStream) -> CallerResponse {
    match events.next().await {
        Some(ResponseEvent::Service(response)) => CallerResponse {
            request_id,
            status: Status::new(response.status),
            content_type: response.content_type,
            retry_after_ms: None,
            body: Body::Full(response.body),
        },
        Some(ResponseEvent::Error(detail)) => error_response(request_id, &detail.into()),
        Some(_) | None => error_response(request_id, &missing_end_error()),
    }
}

/// Renders the response to a generation, streamed or complete as the caller asked.
pub(super) async fn render_generation(
    request_id: Uuid,
    mut events: ResponseStream,
    builder: ResponseBuilder,
) -> CallerResponse {
    // An error before the first token is rendered as a plain error response with its own status.
    let first = match events.next().await {
        Some(ResponseEvent::Error(detail)) => return error_response(request_id, &detail.into()),
        Some(first) => first,
        None => return error_response(request_id, &missing_end_error()),
    };
    let events = futures::stream::iter([first]).chain(events);
    if builder.streamed {
        return CallerResponse {
            request_id,
            status: Status::Ok,
            content_type: String::new(),
            retry_after_ms: None,
            body: Body::Events(Box::pin(sse_events(events, builder))),
        };
    }
    match collect_body(events, &builder).await {
        Ok(body) => json_response(request_id, Status::Ok, body),
        Err(error) => error_response(request_id, &error),
    }
}

async fn collect_body(
    mut events: impl Stream<Item = ResponseEvent> + Unpin,
    builder: &ResponseBuilder,
) -> Result<String, Error> {
    let mut text = String::new();
    while let Some(event) = events.next().await {
        match event {
            ResponseEvent::Token { text: token, .. } => text.push_str(&token),
            ResponseEvent::Done {
                reason,
                prompt_tokens,
                tokens,
            } => return Ok(builder.full(&text, reason, usage(prompt_tokens, tokens))),
            ResponseEvent::Error(detail) => return Err(detail.into()),
            ResponseEvent::Moved { .. } | ResponseEvent::Service(_) => break,
        }
    }
    Err(missing_end_error())
}

fn usage(prompt_tokens: u32, completion_tokens: u32) -> Usage {
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens.saturating_add(completion_tokens),
    }
}

fn error_event(detail: &ErrorDetail) -> Event {
    let error = Error::from(detail.clone());
    Event::json(&error.body()).event("error")
}

/// Converts response events into server-sent events. The last one is always `[DONE]`, `error` or
/// `moved`.
fn sse_events(
    events: impl Stream<Item = ResponseEvent>,
    builder: ResponseBuilder,
) -> impl Stream<Item = Event> {
    rocket::async_stream::stream! {
        let mut events = std::pin::pin!(events);
        while let Some(event) = events.next().await {
            match event {
                ResponseEvent::Token { id, text } => {
                    yield Event::data(builder.chunk(&text, None, None)).id(id);
                }
                ResponseEvent::Done { reason, prompt_tokens, tokens } => {
                    let usage = usage(prompt_tokens, tokens);
                    yield Event::data(builder.chunk("", Some(reason), Some(usage)));
                    yield Event::data(DONE);
                    return;
                }
                ResponseEvent::Moved { entries } => {
                    yield Event::json(&Moved { entries }).event("moved");
                    return;
                }
                ResponseEvent::Error(detail) => {
                    yield error_event(&detail);
                    return;
                }
                ResponseEvent::Service(_) => break,
            }
        }
        yield error_event(&missing_end_error().body().error);
    }
}

/// Data of the `moved` event: the entries at which the caller can resume the stream.
#[derive(serde::Serialize)]
struct Moved {
    entries: Vec<String>,
}
