//! What is wrong with a setting, and how settings tell time.

use std::time::Duration;

/// A field of the settings at fault.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field \"{field}\": allowed: {allowed}")]
pub struct SettingsError {
    /// The field.
    pub field: &'static str,
    /// What is allowed.
    pub allowed: String,
}

/// A number of milliseconds as a duration.
#[must_use]
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
