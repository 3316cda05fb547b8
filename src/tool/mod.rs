//! What the command-line tool does, one subject a file.

pub mod check;
pub mod config;
pub mod instance;
pub mod load;
pub mod log_limits;
pub mod log_places;
pub mod logs;
pub mod publish;
