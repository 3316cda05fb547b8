//! An answer as a sequence of events, and the ways it reaches its readers.

use std::pin::Pin;
use std::sync::Arc;

use futures::Stream;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

use crate::endpoint::ServiceAnswer;
use crate::endpoint::protocol::FinishReason;
use crate::error::{Error, ErrorDetail, Outcome};

/// Events that wait for a slow reader before its engine stream is read no further.
const CHANNEL_EVENTS: usize = 256;

/// One event of an answer. Each answer ends with exactly one of the events after `Token`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEvent {
    /// A token.
    Token {
        /// Event id: generation and index.
        id: String,
        /// Text.
        text: String,
    },
    /// The generation ended.
    Done {
        /// Why.
        reason: FinishReason,
        /// Prompt, in tokens.
        prompt_tokens: u32,
        /// Tokens in all.
        tokens: u32,
    },
    /// The stream goes on at another entry, after the last event id.
    Moved {
        /// Addresses to resume at.
        entries: Vec<String>,
    },
    /// The answer of a plain service.
    Service(ServiceAnswer),
    /// The request failed.
    Error(ErrorDetail),
}

impl AnswerEvent {
    /// Whether nothing follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Token { .. })
    }

    fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 64;
        let text = match self {
            Self::Token { id, text } => id.len() + text.len(),
            Self::Service(answer) => answer.body.len(),
            Self::Error(detail) => detail.message.len(),
            Self::Done { .. } | Self::Moved { .. } => 0,
        };
        OVERHEAD_BYTES + text
    }
}

impl From<Error> for AnswerEvent {
    fn from(error: Error) -> Self {
        Self::Error(error.body().error)
    }
}

/// An answer to read.
pub type AnswerStream = Pin<Box<dyn Stream<Item = AnswerEvent> + Send>>;

/// An answer of one event.
pub fn single(event: impl Into<AnswerEvent>) -> AnswerStream {
    let event = event.into();
    Box::pin(futures::stream::once(async move { event }))
}

/// Where a request's run writes its answer.
pub enum AnswerSink {
    /// One reader; its going away ends the run.
    Reader(mpsc::Sender<AnswerEvent>),
    /// Remembered for any number of readers; the run always goes on to its end.
    Remembered(Arc<RememberedAnswer>),
}

impl AnswerSink {
    /// Passes an event on. Gives false where nobody will read any more.
    pub async fn send(&self, event: AnswerEvent) -> bool {
        match self {
            Self::Reader(sender) => sender.send(event).await.is_ok(),
            Self::Remembered(answer) => {
                answer.push(event);
                true
            }
        }
    }

    /// Ends when nobody will read any more.
    pub async fn abandoned(&self) {
        match self {
            Self::Reader(sender) => sender.closed().await,
            Self::Remembered(_) => std::future::pending().await,
        }
    }
}

/// A sink and the stream that reads it.
pub fn channel() -> (AnswerSink, AnswerStream) {
    let (sender, receiver) = mpsc::channel(CHANNEL_EVENTS);
    let stream = tokio_stream::wrappers::ReceiverStream::new(receiver);
    (AnswerSink::Reader(sender), Box::pin(stream))
}

/// The answer of a request that runs at most once; later arrivals read it too.
#[derive(Debug)]
pub struct RememberedAnswer {
    events: Mutex<Vec<AnswerEvent>>,
    /// Number of events; the last one is an end event once the answer is whole.
    length: watch::Sender<usize>,
}

impl Default for RememberedAnswer {
    fn default() -> Self {
        Self {
            events: Mutex::default(),
            length: watch::Sender::new(0),
        }
    }
}

impl RememberedAnswer {
    fn push(&self, event: AnswerEvent) {
        self.events.lock().push(event);
        self.length.send_modify(|length| *length += 1);
    }

    /// Memory that the events take, about.
    pub fn size_bytes(&self) -> usize {
        self.events.lock().iter().map(AnswerEvent::size_bytes).sum()
    }

    /// Whether the answer ended in `not_run`.
    pub fn is_not_run(&self) -> bool {
        let events = self.events.lock();
        matches!(events.last(), Some(AnswerEvent::Error(detail)) if detail.outcome == Outcome::NotRun)
    }

    fn event(&self, index: usize) -> Option<AnswerEvent> {
        self.events.lock().get(index).cloned()
    }

    /// Reads the answer from its beginning.
    pub fn read(self: &Arc<Self>) -> AnswerStream {
        let answer = self.clone();
        let mut length = self.length.subscribe();
        Box::pin(rocket::async_stream::stream! {
            let mut index = 0;
            loop {
                while let Some(event) = answer.event(index) {
                    index += 1;
                    let last = event.is_last();
                    yield event;
                    if last {
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
