//! Simulated versions of the systems around larkwick: platform, model engine and plain service.
//!
//! Tests, benchmarks and the demo run against them.

mod announce;
pub mod engine;
pub mod engine_core;
pub mod platform;
pub mod server;
pub mod service;
pub mod site;
