//! Body of a response to a caller.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use super::inbound_call::Call;
use crate::kernel::byte_budget::HeldBytes;

/// Body of a response. An error closes the connection, so that the caller does not take a truncated
/// response for a complete one.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// The response ends early: the rest of its body is not available.
#[derive(Debug, Clone, thiserror::Error)]
#[error("response aborted: {0}")]
pub(crate) struct ResponseAborted(pub(crate) String);

/// A buffer that keeps something alive until it is dropped.
struct KeepingBuffer<T> {
    bytes: Bytes,
    _kept: T,
}

impl<T> AsRef<[u8]> for KeepingBuffer<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns a body whose bytes count as held, and keep their call in flight, until they are written to
/// the caller.
pub(crate) fn held_body(bytes: Bytes, held: HeldBytes, call: Arc<Call>) -> ResponseBody {
    full_body(Bytes::from_owner(KeepingBuffer {
        bytes,
        _kept: (held, call),
    }))
}

/// Returns a body whose bytes are all available.
pub(crate) fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}
