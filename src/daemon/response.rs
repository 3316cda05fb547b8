//! Responses as sequences of events, and the sinks and streams that carry them to their readers.

use std::pin::Pin;
use std::sync::Arc;

use futures::Stream;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::endpoint::ServiceResponse;
use crate::endpoint::protocol::FinishReason;
use crate::error::{Error, ErrorDetail, Outcome};

/// Maximum number of events buffered for a slow reader.
///
/// When the buffer is full, no more is read from the engine.
const BUFFERED_EVENTS_MAX: usize = 256;

/// One event of a response.
///
/// Each response ends with exactly one event that is not a [`Token`](Self::Token).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ResponseEvent {
    /// A generated token.
    Token {
        /// Event id, made of the generation and the index of the token.
        id: String,
        /// Text of the token.
        text: String,
    },
    /// The generation finished.
    Done {
        /// Why it finished.
        reason: FinishReason,
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Number of generated tokens.
        tokens: u32,
    },
    /// The stream continues at another entry, after the last event id.
    Moved {
        /// Addresses of entries at which the caller can resume.
        entries: Vec<String>,
    },
    /// The response of a plain service.
    Service(ServiceResponse),
    /// The request failed.
    Error(ErrorDetail),
}

impl ResponseEvent {
    /// Returns whether no event follows this one.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Token { .. })
    }

    /// Returns the approximate memory size.
    fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 64;
        let payload_bytes = match self {
            Self::Token { id, text } => id.len() + text.len(),
            Self::Service(response) => response.body.len(),
            Self::Error(detail) => detail.message.len(),
            Self::Done { .. } | Self::Moved { .. } => 0,
        };
        OVERHEAD_BYTES + payload_bytes
    }
}

impl From<Error> for ResponseEvent {
    fn from(error: Error) -> Self {
        Self::Error(error.body().error)
    }
}

/// The stream from which a response is read.
pub type ResponseStream = Pin<Box<dyn Stream<Item = ResponseEvent> + Send>>;

/// Returns a response that consists of one event.
pub fn single_event(event: impl Into<ResponseEvent>) -> ResponseStream {
    let event = event.into();
    Box::pin(futures::stream::once(async move { event }))
}

/// The destination to which a running request writes its response.
pub enum ResponseSink {
    /// A single reader; when it disconnects, the request ends.
    Reader(mpsc::Sender<ResponseEvent>),
    /// Stored for any number of readers; the request always runs to its end.
    Stored(Arc<StoredResponse>),
}

impl ResponseSink {
    /// Writes an event to the response; returns `false` if the reader has disconnected.
    pub async fn send(&self, event: ResponseEvent) -> bool {
        match self {
            Self::Reader(sender) => sender.send(event).await.is_ok(),
            Self::Stored(response) => {
                response.push(event);
                true
            }
        }
    }

    /// Waits until the reader has disconnected; never completes for a stored response.
    pub async fn closed(&self) {
        match self {
            Self::Reader(sender) => sender.closed().await,
            Self::Stored(_) => std::future::pending().await,
        }
    }
}

/// Creates a sink for a single reader, and the stream that reads from it.
pub fn response_channel() -> (ResponseSink, ResponseStream) {
    let (sender, receiver) = mpsc::channel(BUFFERED_EVENTS_MAX);
    let stream = tokio_stream::wrappers::ReceiverStream::new(receiver);
    (ResponseSink::Reader(sender), Box::pin(stream))
}

/// The response of a request that runs at most once, which repeated requests read as well.
#[derive(Debug)]
pub struct StoredResponse {
    events: Mutex<Vec<ResponseEvent>>,
    /// Number of events; the last event is final once the response is complete.
    length: watch::Sender<usize>,
}

impl Default for StoredResponse {
    fn default() -> Self {
        Self {
            events: Mutex::default(),
            length: watch::Sender::new(0),
        }
    }
}

impl StoredResponse {
    fn push(&self, event: ResponseEvent) {
        self.events.lock().push(event);
        self.length.send_modify(|length| *length += 1);
    }

    /// Returns the approximate memory size of the events.
    pub fn size_bytes(&self) -> usize {
        self.events
            .lock()
            .iter()
            .map(ResponseEvent::size_bytes)
            .sum()
    }

    /// Returns whether the response ended with an error of outcome `not_run`.
    pub fn is_not_run(&self) -> bool {
        let events = self.events.lock();
        matches!(events.last(), Some(ResponseEvent::Error(detail)) if detail.outcome == Outcome::NotRun)
    }

    fn event(&self, index: usize) -> Option<ResponseEvent> {
        self.events.lock().get(index).cloned()
    }

    /// Returns a stream that reads the response from its beginning.
    pub fn read(self: &Arc<Self>) -> ResponseStream {
        let response = self.clone();
        let mut length = self.length.subscribe();
        Box::pin(rocket::async_stream::stream! {
            let mut index = 0;
            loop {
                while let Some(event) = response.event(index) {
                    index += 1;
                    let is_last = event.is_last();
                    yield event;
                    if is_last {
                        return;
                    }
                }
                if length.changed().await.is_err() {
                    return;
                }
            }
        })
    }
}
