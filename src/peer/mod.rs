//! Calls between instances, over gRPC.

pub(crate) mod client;
pub(crate) mod convert;
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
pub(crate) mod generated;
pub(crate) mod server;
