//! Splits the bytes of an event stream into whole events, so that a broken connection never passes on half of one.

use bytes::{Bytes, BytesMut};

/// Largest event that is waited for; far above what engines send.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// One event as it came, its closing blank line included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeEvent {
    /// The bytes, unchanged.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<String>,
}

/// An event that is larger than any engine sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream exceeds {EVENT_MAX_BYTES} bytes")]
pub struct EventTooLarge;

/// The part of a stream that has come and is not a whole event yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and gives the events that are whole now.
    ///
    /// # Errors
    /// What is pending cannot be an event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<WholeEvent>, EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.pending) {
            let bytes = self.pending.split_to(end).freeze();
            let id = event_id(&bytes);
            events.push(WholeEvent { bytes, id });
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(EventTooLarge);
        }
        Ok(events)
    }

    /// Whether the stream stands between two events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Where the first event ends: after a blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(offset) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + offset + 1;
        let rest = &bytes[next..];
        if rest.first() == Some(&b'\n') {
            return Some(next + 1);
        }
        if rest.starts_with(b"\r\n") {
            return Some(next + 2);
        }
        at = next;
    }
    None
}

/// The event's id field.
fn event_id(bytes: &[u8]) -> Option<String> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let id = String::from_utf8_lossy(id);
    Some(id.trim().to_owned())
}
