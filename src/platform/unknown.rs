//! What the platform says and the adapter does not know: logged once a name and counted, so that a page that has grown shows in the logs of the first day.

use std::collections::BTreeSet;

use http::header::{
    ACCEPT_RANGES, ALLOW, CACHE_CONTROL, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH,
    CONTENT_TYPE, DATE, SERVER, TRAILER, TRANSFER_ENCODING, VARY,
};
use http::{HeaderMap, HeaderName};
use parking_lot::Mutex;
use spdlog::warn;

/// Names that are remembered as logged. Beyond it, names are counted and not logged: a writer that makes names up must not fill the log.
const NAMES_MAX: usize = 256;
/// Longest part of a name that is logged, in characters.
const NAME_CHARS_MAX: usize = 64;

/// Headers of answers that belong to HTTP itself; what matters of them is read by the HTTP library.
const OF_HTTP: [HeaderName; 13] = [
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

/// Notes a name that is not known, of one kind of record or field.
pub(super) fn note(kind: &'static str, name: &str) {
    metrics::counter!("larkwick_platform_unknown_total", "kind" => kind).increment(1);
    let name: String = name.chars().take(NAME_CHARS_MAX).collect();
    let (is_new, names) = {
        let mut logged = LOGGED.lock();
        let is_new = logged.len() < NAMES_MAX && logged.insert((kind, name.clone()));
        (is_new, logged.len())
    };
    if is_new {
        let names = u32::try_from(names).unwrap_or(u32::MAX);
        metrics::gauge!("larkwick_platform_unknown_names").set(f64::from(names));
        warn!("unknown on the platform", kv: { kind, name = name.as_str() });
    }
}

/// Notes the headers of an answer that nothing is made of.
pub(super) fn note_headers(kind: &'static str, headers: &HeaderMap, known: &[HeaderName]) {
    let names = headers.keys();
    let unknown = names.filter(|name| !known.contains(name) && !OF_HTTP.contains(name));
    for name in unknown {
        note(kind, name.as_str());
    }
}

/// Reads a JSON text and notes the fields that nothing is made of, but for those that are left aside on purpose.
pub(super) fn read<'a, T: serde::Deserialize<'a>>(
    kind: &'static str,
    text: &'a [u8],
    left_aside: &[&str],
) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let read = serde_ignored::deserialize(&mut json, |path| {
        let path = path.to_string();
        let name = path.rsplit('.').next().unwrap_or_default();
        if !left_aside.contains(&name) {
            note(kind, name);
        }
    });
    let read = read.map_err(|error| error.to_string())?;
    json.end().map_err(|error| error.to_string())?;
    Ok(read)
}
