//! Implementation of the command-line tool's commands, one module per subject.

pub mod check;
pub mod config;
pub mod instance;
pub mod load;
pub mod log_availability;
pub mod log_limits;
pub mod logs;
pub mod publish;
