//! Splits the bytes of an event stream into complete events, so that a partial event is never
//! forwarded when a connection breaks.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; far above what engines send.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// One event as received, including its terminating blank line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvent {
    /// The bytes, unchanged.
    pub bytes: Bytes,
    /// Value of its `id` field, if present.
    pub id: Option<String>,
}

/// An event exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream exceeds {EVENT_MAX_BYTES} bytes")]
pub struct EventTooLarge;

/// Splitter that buffers the incomplete event at the end of the received bytes.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete.
    ///
    /// # Errors
    /// Returns [`EventTooLarge`] if the incomplete event exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<CompleteEvent>, EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.pending) {
            let bytes = self.pending.split_to(end).freeze();
            let id = event_id(&bytes);
            events.push(CompleteEvent { bytes, id });
        }
        if self.pending.len() > EVENT_MAX_BYTES {
            return Err(EventTooLarge);
        }
        Ok(events)
    }

    /// Returns whether no incomplete event is buffered.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Returns the end of the first event, just after its blank line.
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

/// Returns the value of the event's `id` field.
fn event_id(bytes: &[u8]) -> Option<String> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?;
    let id = String::from_utf8_lossy(id);
    Some(id.trim().to_owned())
}
