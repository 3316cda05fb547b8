//! Headers of a caller's request. An unknown `Larkwick-` header or value is refused: a mistyped one must not change what runs.

use std::time::Duration;

use rocket::http::HeaderMap;

use crate::daemon::request::RequestOptions;
use crate::error::{Error, ErrorKind, Result};

const OWN_PREFIX: &str = "larkwick-";
const REPEATABLE: &str = "larkwick-repeatable";
const TICKET: &str = "larkwick-ticket";
const DEADLINE: &str = "larkwick-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;
const LAST_EVENT_ID: &str = "last-event-id";

/// What a request's headers say.
pub(super) struct CallerHeaders {
    pub(super) bearer_key: String,
    pub(super) options: RequestOptions,
    pub(super) last_event_id: Option<String>,
    pub(super) content_type: String,
}

fn bad(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::BadRequest, message)
}

impl CallerHeaders {
    /// Reads and checks the headers.
    pub(super) fn read(headers: &HeaderMap<'_>) -> Result<Self> {
        let bearer_key = headers
            .get_one("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::Unauthorized,
                    "no bearer key; send 'Authorization: Bearer KEY'",
                )
            })?;
        check_known(headers)?;
        Ok(Self {
            bearer_key: bearer_key.to_owned(),
            options: read_options(headers)?,
            last_event_id: headers.get_one(LAST_EVENT_ID).map(str::to_owned),
            content_type: headers
                .get_one("content-type")
                .unwrap_or("application/octet-stream")
                .to_owned(),
        })
    }
}

fn check_known(headers: &HeaderMap<'_>) -> Result<()> {
    let known = [REPEATABLE, TICKET, DEADLINE];
    for header in headers.iter() {
        let name = header.name().as_str().to_ascii_lowercase();
        if name.starts_with(OWN_PREFIX) && !known.contains(&name.as_str()) {
            return Err(bad(format!(
                "unknown header {name}; known: {}",
                known.join(", ")
            )));
        }
    }
    Ok(())
}

fn read_options(headers: &HeaderMap<'_>) -> Result<RequestOptions> {
    let repeatable = match headers.get_one(REPEATABLE) {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad(format!("{REPEATABLE}: allowed: true, false"))),
    };
    let ticket = headers.get_one(TICKET).map(str::parse).transpose();
    let ticket = ticket.map_err(|error| bad(format!("{TICKET}: {error}")))?;
    let deadline = headers.get_one(DEADLINE).map(str::parse).transpose();
    let deadline = deadline.map_err(|_| bad(format!("{DEADLINE}: allowed: milliseconds")))?;
    let key = headers.get_one(IDEMPOTENCY_KEY);
    if key.is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES) {
        return Err(bad(format!(
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
