//! What callers send, and the answers that larkwick gives by itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER, TRANSFER_ENCODING,
};
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};

use super::names;
use crate::error::{Error, ErrorKind, Result};
use crate::gateway::message_heads::{CallHead, PromptSegment, TokenDemand};

/// Headers that would mean two things if they came twice.
const SINGULAR: [HeaderName; 8] = [
    HOST,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    names::REQUEST_ID,
    names::DEADLINE_MS,
    names::KEY,
    names::TOKENS,
    names::MODEL,
];

/// Reads the head of a caller's request.
///
/// # Errors
/// The head is ambiguous or names no request.
pub fn decode_head(parts: &Parts) -> Result<CallHead> {
    let headers = &parts.headers;
    refuse_ambiguous(headers)?;
    let request_id = text(headers, &names::REQUEST_ID).filter(|id| !id.is_empty());
    let request_id = request_id.ok_or_else(|| bad("the request id is missing"))?;
    let host = text(headers, &HOST)
        .or_else(|| parts.uri.host())
        .ok_or_else(|| bad("the host is missing"))?;
    Ok(CallHead {
        request_id: request_id.to_owned(),
        host: host.to_owned(),
        path: parts.uri.path().to_owned(),
        deadline: deadline(headers)?,
        key: text(headers, &names::KEY).map(str::to_owned),
        tokens: token_demand(headers),
        last_event_id: text(headers, &names::LAST_EVENT_ID).map(str::to_owned),
    })
}

/// The first byte of a body may be the second one's head: a request whose length can be read in two ways goes nowhere.
fn refuse_ambiguous(headers: &HeaderMap) -> Result<()> {
    for name in &SINGULAR {
        if headers.get_all(name).iter().count() > 1 {
            return Err(bad(&format!("header {name} comes more than once")));
        }
    }
    if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
        return Err(bad("the body has both a length and chunks"));
    }
    Ok(())
}

fn bad(message: &str) -> Error {
    Error::new(ErrorKind::BadRequest, message)
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let Some(value) = text(headers, &names::DEADLINE_MS) else {
        return Ok(None);
    };
    let milliseconds: f64 = value
        .parse()
        .map_err(|_| bad("the deadline is not a number"))?;
    if !milliseconds.is_finite() {
        return Err(bad("the deadline is not a number"));
    }
    Ok(Some(Duration::from_secs_f64(
        milliseconds.clamp(0.0, 1e9) / 1_000.0,
    )))
}

fn token_demand(headers: &HeaderMap) -> Option<TokenDemand> {
    let counts = text(headers, &names::TOKENS)?;
    let (prompt, made_max) = counts.split_once(',')?;
    Some(TokenDemand {
        model: text(headers, &names::MODEL).unwrap_or_default().to_owned(),
        prompt_tokens: prompt.trim().parse().ok()?,
        generated_max_tokens: made_max.trim().parse().ok()?,
        generated_hint_tokens: text(headers, &names::LENGTH_HINT)
            .and_then(|hint| hint.parse().ok()),
        segments: prompt_parts(headers),
    })
}

fn prompt_parts(headers: &HeaderMap) -> Vec<PromptSegment> {
    let parts = text(headers, &names::PROMPT_PARTS).unwrap_or_default();
    let parts = parts.split(',').filter_map(|part| part.split_once(':'));
    let parts = parts.filter_map(|(id, tokens)| {
        Some(PromptSegment {
            id: u64::from_str_radix(id.trim(), 16).ok()?,
            tokens: tokens.trim().parse().ok()?,
        })
    });
    parts.collect()
}

/// The answer for an error of larkwick's own.
#[must_use]
pub fn refusal(error: &Error) -> Response<Bytes> {
    let row = error.kind.response_rule();
    let body = serde_json::to_vec(&error.body()).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() =
        StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    // The platform reads fractions of a second.
    let seconds = error
        .retry_after
        .map(|wait| format!("{:.3}", wait.as_secs_f64()));
    if let Some(value) = seconds.and_then(|text| text.parse().ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
