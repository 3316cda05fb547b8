//! The daemon: loops that feed events to the kernel and carry out its decisions.

pub(crate) mod answer;
pub mod app;
pub(crate) mod config_loop;
pub(crate) mod drain;
pub(crate) mod endpoints;
pub(crate) mod engine_selection;
pub(crate) mod generation;
pub(crate) mod member_loop;
pub(crate) mod node;
pub(crate) mod once;
pub(crate) mod owner;
pub(crate) mod placement_loop;
pub(crate) mod request;
pub(crate) mod reservations;
pub(crate) mod serve;
pub(crate) mod service_call;
