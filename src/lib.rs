//! larkwick serves language model generations of unknown length on heavily loaded engines.
//!
//! [`App`] runs an instance and [`Settings`] configures it. [`kernel`] holds the decision logic,
//! which does no input or output. [`standin`] holds small substitutes for the systems around
//! larkwick.

mod caller;
mod daemon;
pub mod endpoint;
pub mod error;
pub mod gateway;
pub mod kernel;
pub mod log;
pub mod log_service;
mod operator;
mod peer;
pub mod platform;
pub mod settings;
pub mod standin;
pub mod tool;

pub use daemon::app::{App, any_loopback_port};
pub use daemon::node::Addresses;
pub use settings::Settings;
