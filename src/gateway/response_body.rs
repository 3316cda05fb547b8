//! Body of a response to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};

use crate::kernel::byte_budget::HeldBytes;

/// Body of a response. An error closes the connection, so that the caller does not take a truncated
/// response for a complete one.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// The response ends early: the rest of its body is not available.
#[derive(Debug, Clone, thiserror::Error)]
#[error("response aborted: {0}")]
pub(crate) struct ResponseAborted(pub(crate) String);

/// A body that keeps something alive until it was written to the caller.
struct KeepingBody<T> {
    body: ResponseBody,
    _kept: T,
}

impl<T: Unpin> Body for KeepingBody<T> {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns a body that keeps `kept` alive until it is dropped, once it was written to the caller.
pub(crate) fn keeping_body<T: Send + Unpin + 'static>(body: ResponseBody, kept: T) -> ResponseBody {
    KeepingBody { body, _kept: kept }.boxed_unsync()
}

/// A buffer that counts as held until it is dropped.
struct HeldBuffer {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns a body whose bytes count as held until they are written to the caller.
pub(crate) fn held_body(bytes: Bytes, held: HeldBytes) -> ResponseBody {
    full_body(Bytes::from_owner(HeldBuffer { bytes, _held: held }))
}

/// Returns a body whose bytes are all available.
pub(crate) fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}
