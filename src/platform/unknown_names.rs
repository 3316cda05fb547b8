//! Headers, fields and keys of the platform that the adapter does not know. Each name is counted
//! and logged once, so that an extension of the platform's interface shows up in the logs on the
//! first day.

use std::collections::BTreeSet;

use http::header::{
    ACCEPT_RANGES, ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH,
    CONTENT_TYPE, DATE, SERVER, TRAILER, TRANSFER_ENCODING, VARY,
};
use http::{HeaderMap, HeaderName};
use parking_lot::Mutex;
use spdlog::warn;

/// Maximum number of names that are logged. Further names are only counted, so that a writer that
/// invents names cannot fill the log.
const LOGGED_NAMES_MAX: usize = 256;
/// Maximum number of characters of a name that are logged.
const NAME_CHARS_MAX: usize = 64;

/// Response headers of HTTP itself. Those that matter are handled by the HTTP library.
const HTTP_HEADERS: [HeaderName; 13] = [
    ACCEPT_RANGES,
    ALLOW,
    CACHE_CONTROL,
    CONNECTION,
    CONTENT_ENCODING,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    DATE,
    HeaderName::from_static("keep-alive"),
    SERVER,
    TRAILER,
    TRANSFER_ENCODING,
    VARY,
];

static LOGGED: Mutex<BTreeSet<(&'static str, String)>> = Mutex::new(BTreeSet::new());

/// Records an unknown name; `kind` tells where it was found, such as a kind of record or header.
pub(super) fn record_unknown(kind: &'static str, name: &str) {
    metrics::counter!("larkwick_platform_unknown_total", "kind" => kind).increment(1);
    let name: String = name.chars().take(NAME_CHARS_MAX).collect();
    let (is_new, logged_count) = {
        let mut logged = LOGGED.lock();
        let is_new = logged.len() < LOGGED_NAMES_MAX && logged.insert((kind, name.clone()));
        (is_new, logged.len())
    };
    if is_new {
        let logged_count = u32::try_from(logged_count).unwrap_or(u32::MAX);
        metrics::gauge!("larkwick_platform_unknown_names").set(f64::from(logged_count));
        warn!("unknown on the platform", kv: { kind, name = name.as_str() });
    }
}

/// Records the headers of a response that are neither known nor part of HTTP itself.
pub(super) fn record_unknown_headers(
    kind: &'static str,
    headers: &HeaderMap,
    known: &[HeaderName],
) {
    let names = headers.keys();
    let unknown = names.filter(|name| !known.contains(name) && !HTTP_HEADERS.contains(name));
    for name in unknown {
        record_unknown(kind, name.as_str());
    }
}

/// Parses a JSON text and records the fields that the type does not have, except those that are
/// ignored on purpose.
pub(super) fn parse_json<'a, T: serde::Deserialize<'a>>(
    kind: &'static str,
    text: &'a [u8],
    ignored_fields: &[&str],
) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let parsed = serde_ignored::deserialize(&mut json, |path| {
        let path = path.to_string();
        let name = path.rsplit('.').next().unwrap_or_default();
        if !ignored_fields.contains(&name) {
            record_unknown(kind, name);
        }
    });
    let parsed = parsed.map_err(|error| error.to_string())?;
    json.end().map_err(|error| error.to_string())?;
    Ok(parsed)
}
