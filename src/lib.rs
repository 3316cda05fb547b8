//! larkwick serves language model generations of unknown length on crowded engines.
//!
//! The public face is small: [`App`] runs an instance, [`Settings`] configures it, [`kernel`] holds the decisions without any
//! input or output, and [`standin`] holds small stand-ins of the systems around it.

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
