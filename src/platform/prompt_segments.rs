//! Decodes the segments that a caller's request names for its prompt.

use http::HeaderMap;

use super::{names, unknown_names};
use crate::kernel::fingerprint::short_hash;
use crate::kernel::prompt_segments::{SEGMENTS_MAX, SegmentId};

/// Stands for all segments of a prompt beyond the first [`SEGMENTS_MAX`].
const FURTHER_SEGMENTS: &str = "further segments";

/// Decodes the segments of a prompt that other prompts may have, too: all but the last. A segment
/// that is named twice is listed once.
///
/// Nothing is left out: an id that is not a number is told apart by its text, and segments beyond
/// the first [`SEGMENTS_MAX`] count as one, so that no caller can hide a segment behind them.
#[must_use]
pub(super) fn decode_shared(headers: &HeaderMap) -> Vec<SegmentId> {
    let values = headers.get_all(names::PROMPT_SEGMENTS).iter();
    let values: Vec<_> = values
        .map(|value| String::from_utf8_lossy(value.as_bytes()))
        .collect();
    let items = values.iter().flat_map(|value| value.split(','));
    let mut items = items.filter(|item| !item.trim().is_empty());
    // The last item, wherever it stands, is the request's own.
    items.next_back();
    let mut shared = Vec::new();
    for item in items {
        let is_full = shared.len() + 1 >= SEGMENTS_MAX;
        let id = if is_full {
            further_segments()
        } else {
            decode_id(item)
        };
        if !shared.contains(&id) {
            shared.push(id);
        }
        if is_full {
            break;
        }
    }
    shared
}

fn further_segments() -> SegmentId {
    unknown_names::record_unknown("prompt with too many segments", FURTHER_SEGMENTS);
    SegmentId(short_hash(FURTHER_SEGMENTS))
}

fn decode_id(item: &str) -> SegmentId {
    let (text, tokens) = item.split_once(':').unwrap_or((item, ""));
    let text = text.trim();
    let id = u64::from_str_radix(text, 16);
    if id.is_err() || tokens.trim().parse::<u32>().is_err() {
        // Without the text, since callers could otherwise use up the names that are logged.
        unknown_names::record_unknown("prompt segment", "not a hexadecimal id and a token count");
    }
    SegmentId(id.unwrap_or_else(|_| short_hash(text)))
}
