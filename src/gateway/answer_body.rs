//! The body of an answer to a caller.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Body of an answer; an error closes the connection, so that the answer does not look complete.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BodyBroken>;

/// The rest of an answer will not come.
#[derive(Debug, Clone, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub(crate) struct BodyBroken(pub(crate) String);

/// A body that is at hand.
pub(crate) fn whole(body: Bytes) -> AnswerBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}
