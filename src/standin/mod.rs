//! Small stand-ins for the systems around larkwick: platform, model engine and plain service. For tests, trials and the demo.

mod announce;
pub mod engine;
pub mod engine_core;
pub mod platform;
pub mod server;
pub mod service;
pub mod site;
