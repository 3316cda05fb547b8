//! Turns the events of an answer into HTTP: a stream of server-sent events, a whole body, or a typed error.

use std::io::Cursor;
use std::pin::Pin;

use futures::{Stream, StreamExt};
use rocket::http::{ContentType, Status};
use rocket::request::Request;
use rocket::response::stream::{Event, EventStream};
use rocket::response::{self, Responder, Response};
use uuid::Uuid;

use super::openai::{Reply, Usage};
use crate::daemon::response::{ResponseEvent, ResponseStream};
use crate::error::{Error, ErrorDetail, ErrorKind};

const DONE: &str = "[DONE]";

type Events = Pin<Box<dyn Stream<Item = Event> + Send>>;

/// An answer to a caller.
pub(super) struct CallerAnswer {
    request_id: Uuid,
    status: Status,
    content_type: String,
    retry_after_ms: Option<u64>,
    body: Body,
}

enum Body {
    Whole(Vec<u8>),
    Events(Events),
}

impl<'r> Responder<'r, 'r> for CallerAnswer {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let mut response = match self.body {
            Body::Events(events) => EventStream::from(events).respond_to(request)?,
            Body::Whole(body) => Response::build()
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

fn json(request_id: Uuid, status: Status, body: impl Into<Vec<u8>>) -> CallerAnswer {
    CallerAnswer {
        request_id,
        status,
        content_type: ContentType::JSON.to_string(),
        retry_after_ms: None,
        body: Body::Whole(body.into()),
    }
}

/// A typed error as a whole answer.
pub(super) fn error_answer(request_id: Uuid, error: &Error) -> CallerAnswer {
    let body = error.body();
    let status = Status::new(error.kind.response_rule().status);
    let text = serde_json::to_vec(&body).unwrap_or_default();
    CallerAnswer {
        retry_after_ms: body.error.retry_after_ms,
        ..json(request_id, status, text)
    }
}

fn cut() -> Error {
    Error::new(ErrorKind::Internal, "the answer ended without a last event")
}

/// The answer to a call of a plain service.
pub(super) async fn render_service(request_id: Uuid, mut answer: ResponseStream) -> CallerAnswer {
    match answer.next().await {
        Some(ResponseEvent::Service(answer)) => CallerAnswer {
            request_id,
            status: Status::new(answer.status),
            content_type: answer.content_type,
            retry_after_ms: None,
            body: Body::Whole(answer.body),
        },
        Some(ResponseEvent::Error(detail)) => error_answer(request_id, &detail.into()),
        Some(_) | None => error_answer(request_id, &cut()),
    }
}

/// The answer to a generation: streamed or whole, as the caller asked.
pub(super) async fn render_generation(
    request_id: Uuid,
    mut answer: ResponseStream,
    reply: Reply,
) -> CallerAnswer {
    // An error before the first token is an ordinary error answer with its status.
    let first = match answer.next().await {
        Some(ResponseEvent::Error(detail)) => return error_answer(request_id, &detail.into()),
        Some(first) => first,
        None => return error_answer(request_id, &cut()),
    };
    let answer = futures::stream::iter([first]).chain(answer);
    if reply.streamed {
        return CallerAnswer {
            request_id,
            status: Status::Ok,
            content_type: String::new(),
            retry_after_ms: None,
            body: Body::Events(Box::pin(streamed(answer, reply))),
        };
    }
    match whole(answer, &reply).await {
        Ok(body) => json(request_id, Status::Ok, body),
        Err(error) => error_answer(request_id, &error),
    }
}

async fn whole(
    mut answer: impl Stream<Item = ResponseEvent> + Unpin,
    reply: &Reply,
) -> Result<String, Error> {
    let mut text = String::new();
    while let Some(event) = answer.next().await {
        match event {
            ResponseEvent::Token { text: token, .. } => text.push_str(&token),
            ResponseEvent::Done {
                reason,
                prompt_tokens,
                tokens,
            } => return Ok(reply.whole(&text, reason, usage(prompt_tokens, tokens))),
            ResponseEvent::Error(detail) => return Err(detail.into()),
            ResponseEvent::Moved { .. } | ResponseEvent::Service(_) => break,
        }
    }
    Err(cut())
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

/// Server-sent events; the last one is always `[DONE]`, `error` or `moved`.
fn streamed(answer: impl Stream<Item = ResponseEvent>, reply: Reply) -> impl Stream<Item = Event> {
    rocket::async_stream::stream! {
        let mut answer = std::pin::pin!(answer);
        while let Some(event) = answer.next().await {
            match event {
                ResponseEvent::Token { id, text } => {
                    yield Event::data(reply.chunk(&text, None, None)).id(id);
                }
                ResponseEvent::Done { reason, prompt_tokens, tokens } => {
                    let usage = usage(prompt_tokens, tokens);
                    yield Event::data(reply.chunk("", Some(reason), Some(usage)));
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
        yield error_event(&cut().body().error);
    }
}

/// Where to go on reading.
#[derive(serde::Serialize)]
struct Moved {
    entries: Vec<String>,
}
