//! Parses the headers of a caller's request.
//!
//! Unknown `Larkwick-` headers and values are rejected, so that a typing error cannot silently
//! change how a request is run.

use std::time::Duration;

use rocket::http::HeaderMap;

use crate::daemon::request::RequestOptions;
use crate::error::{Error, ErrorKind, Result};

const LARKWICK_PREFIX: &str = "larkwick-";
const REPEATABLE: &str = "larkwick-repeatable";
const TICKET: &str = "larkwick-ticket";
const DEADLINE: &str = "larkwick-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;
const LAST_EVENT_ID: &str = "last-event-id";

/// The parsed headers of a request.
pub(super) struct CallerHeaders {
    pub(super) bearer_key: String,
    pub(super) options: RequestOptions,
    pub(super) last_event_id: Option<String>,
    pub(super) content_type: String,
}

fn bad_request(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::BadRequest, message)
}

impl CallerHeaders {
    /// Parses and validates the headers.
    pub(super) fn parse(headers: &HeaderMap<'_>) -> Result<Self> {
        let bearer_key = headers
            .get_one("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::Unauthorized,
                    "no bearer key; send 'Authorization: Bearer KEY'",
                )
            })?;
        reject_unknown_headers(headers)?;
        Ok(Self {
            bearer_key: bearer_key.to_owned(),
            options: parse_options(headers)?,
            last_event_id: headers.get_one(LAST_EVENT_ID).map(str::to_owned),
            content_type: headers
                .get_one("content-type")
                .unwrap_or("application/octet-stream")
                .to_owned(),
        })
    }
}

fn reject_unknown_headers(headers: &HeaderMap<'_>) -> Result<()> {
    let known = [REPEATABLE, TICKET, DEADLINE];
    for header in headers.iter() {
        let name = header.name().as_str().to_ascii_lowercase();
        if name.starts_with(LARKWICK_PREFIX) && !known.contains(&name.as_str()) {
            return Err(bad_request(format!(
                "unknown header {name}; known: {}",
                known.join(", ")
            )));
        }
    }
    Ok(())
}

fn parse_options(headers: &HeaderMap<'_>) -> Result<RequestOptions> {
    let repeatable = match headers.get_one(REPEATABLE) {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad_request(format!("{REPEATABLE}: allowed: true, false"))),
    };
    let ticket = headers.get_one(TICKET).map(str::parse).transpose();
    let ticket = ticket.map_err(|error| bad_request(format!("{TICKET}: {error}")))?;
    let deadline = headers.get_one(DEADLINE).map(str::parse).transpose();
    let deadline =
        deadline.map_err(|_| bad_request(format!("{DEADLINE}: allowed: milliseconds")))?;
    let key = headers.get_one(IDEMPOTENCY_KEY);
    if key.is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES) {
        return Err(bad_request(format!(
            "{IDEMPOTENCY_KEY}: allowed: 1 to {IDEMPOTENCY_KEY_MAX_BYTES} bytes"
        )));
    }
    Ok(RequestOptions {
        repeatable,
        ticket,
        idempotency_key: key.map(str::to_owned),
        deadline: deadline.map(Duration::from_millis),
    })
}
