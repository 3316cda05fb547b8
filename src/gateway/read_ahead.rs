//! Reads a generation ahead of its caller.
//!
//! An engine cuts off a stream that stays unread for some seconds, so a caller that reads slowly must
//! not slow the engine down for as long as there is room for its events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::inbound_call::Call;
use super::response_body::ResponseAborted;
use crate::kernel::byte_budget::HeldBytes;

/// Maximum number of events read ahead of one caller. The longest generations have some hundred.
const EVENTS_MAX: usize = 512;
/// Pause before room is looked for again while the instance holds as much as it may.
const ROOM_PAUSE: Duration = Duration::from_millis(50);

type EventFrame = Result<Frame<Bytes>, ResponseAborted>;

/// A frame that the caller has not read yet.
struct HeldFrame {
    frame: EventFrame,
    _held: Option<HeldBytes>,
}

/// Ends the task that reads ahead when the caller is gone, and with it the generation.
struct Reader {
    frames: mpsc::Receiver<HeldFrame>,
    task: AbortHandle,
    /// The instance does not stop before the caller has read all events.
    _call: Arc<Call>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the frames of a generation for its caller. They are read as they come, also while the
/// caller reads none.
pub(super) fn read_ahead(
    call: Arc<Call>,
    frames: impl Stream<Item = EventFrame> + Send + 'static,
) -> impl Stream<Item = EventFrame> + Send {
    let (sender, receiver) = mpsc::channel(EVENTS_MAX);
    let task = tokio::spawn(forward(call.clone(), frames, sender)).abort_handle();
    let reader = Reader {
        frames: receiver,
        task,
        _call: call,
    };
    stream::unfold(reader, |mut reader| async {
        let held = reader.frames.recv().await?;
        Some((held.frame, reader))
    })
}

async fn forward(
    call: Arc<Call>,
    frames: impl Stream<Item = EventFrame> + Send,
    sender: mpsc::Sender<HeldFrame>,
) {
    let mut frames = std::pin::pin!(frames);
    while let Some(frame) = futures::StreamExt::next(&mut frames).await {
        let bytes = frame
            .as_ref()
            .ok()
            .and_then(|frame| frame.data_ref())
            .map_or(0, Bytes::len);
        let held = hold(&call, bytes, &sender).await;
        let sent = sender.send(HeldFrame { frame, _held: held });
        if sent.await.is_err() {
            return;
        }
    }
}

/// Waits for room for a frame. A caller that has read everything so far gets its next frame in any
/// case.
async fn hold(call: &Call, bytes: usize, sender: &mpsc::Sender<HeldFrame>) -> Option<HeldBytes> {
    loop {
        let held = call.gateway.held_bytes.try_hold(bytes);
        let has_read_all = sender.capacity() == sender.max_capacity();
        if held.is_some() || has_read_all {
            return held;
        }
        tokio::time::sleep(ROOM_PAUSE).await;
    }
}
