//! The daemon: background tasks and request handlers that feed events to the kernel and carry out
//! its decisions.

pub mod app;
pub(crate) mod config_loop;
pub(crate) mod dispatch;
pub(crate) mod drain;
pub(crate) mod endpoints;
pub(crate) mod engine_selection;
pub(crate) mod generation;
pub(crate) mod idempotency;
pub(crate) mod member_loop;
pub(crate) mod node;
pub(crate) mod owner;
pub(crate) mod placement_loop;
pub(crate) mod request;
pub(crate) mod reservations;
pub(crate) mod response;
pub(crate) mod service_call;
