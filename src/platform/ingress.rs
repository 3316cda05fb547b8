//! Heads of callers' requests, and the error responses that larkwick itself sends.

use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER, TRANSFER_ENCODING,
};
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};

use super::{names, prompt_segments};
use crate::error::{Error, ErrorKind, Result};
use crate::gateway::message_heads::{CallHead, TokenDemand};

/// Headers whose meaning would be ambiguous if they occurred more than once.
const SINGLE_VALUE_HEADERS: [HeaderName; 8] = [
    HOST,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    names::REQUEST_ID,
    names::DEADLINE_MS,
    names::API_KEY,
    names::TOKEN_COUNTS,
    names::MODEL,
];

/// Decodes the head of a caller's request.
///
/// # Errors
/// Returns an error if the head is ambiguous or lacks the request id or the host, or if the
/// deadline is not a number.
pub fn decode_head(parts: &Parts) -> Result<CallHead> {
    let headers = &parts.headers;
    reject_ambiguous(headers)?;
    let request_id = header_text(headers, &names::REQUEST_ID).filter(|id| !id.is_empty());
    let request_id = request_id.ok_or_else(|| bad_request("the request id is missing"))?;
    let host = header_text(headers, &HOST)
        .or_else(|| parts.uri.host())
        .ok_or_else(|| bad_request("the host is missing"))?;
    Ok(CallHead {
        request_id: request_id.to_owned(),
        host: host.to_owned(),
        path: parts.uri.path().to_owned(),
        deadline: parse_deadline(headers)?,
        key: header_text(headers, &names::API_KEY).map(str::to_owned),
        tokens: parse_token_demand(headers),
        shared_segments: prompt_segments::decode_shared(headers),
        last_event_id: header_text(headers, &names::LAST_EVENT_ID).map(str::to_owned),
    })
}

/// Rejects a head with ambiguous headers. If the length of a body can be read in two ways, part of
/// the body may be taken for the head of another request (request smuggling).
fn reject_ambiguous(headers: &HeaderMap) -> Result<()> {
    for name in &SINGLE_VALUE_HEADERS {
        if headers.get_all(name).iter().count() > 1 {
            return Err(bad_request(&format!("header {name} comes more than once")));
        }
    }
    if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
        return Err(bad_request("the body has both a length and chunks"));
    }
    Ok(())
}

fn bad_request(message: &str) -> Error {
    Error::new(ErrorKind::BadRequest, message)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>> {
    let Some(value) = header_text(headers, &names::DEADLINE_MS) else {
        return Ok(None);
    };
    let milliseconds: f64 = value
        .parse()
        .map_err(|_| bad_request("the deadline is not a number"))?;
    if !milliseconds.is_finite() {
        return Err(bad_request("the deadline is not a number"));
    }
    Ok(Some(Duration::from_secs_f64(
        milliseconds.clamp(0.0, 1e9) / 1_000.0,
    )))
}

fn parse_token_demand(headers: &HeaderMap) -> Option<TokenDemand> {
    let counts = header_text(headers, &names::TOKEN_COUNTS)?;
    let (prompt, generated_max) = counts.split_once(',')?;
    Some(TokenDemand {
        model: header_text(headers, &names::MODEL)
            .unwrap_or_default()
            .to_owned(),
        prompt_tokens: prompt.trim().parse().ok()?,
        generated_max_tokens: generated_max.trim().parse().ok()?,
        generated_hint_tokens: header_text(headers, &names::LENGTH_HINT)
            .and_then(|hint| hint.parse().ok()),
    })
}

/// Builds the response for an error of larkwick itself.
#[must_use]
pub fn error_response(error: &Error) -> Response<Bytes> {
    let mapping = error.kind.response_rule();
    let body = serde_json::to_vec(&error.body()).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() =
        StatusCode::from_u16(mapping.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    // The platform accepts fractions of a second.
    let seconds = error
        .retry_after
        .map(|wait| format!("{:.3}", wait.as_secs_f64()));
    if let Some(value) = seconds.and_then(|text| text.parse().ok()) {
        headers.insert(RETRY_AFTER, value);
    }
    response
}
