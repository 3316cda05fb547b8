//! The error for invalid settings, and the conversion of settings in milliseconds.

use std::time::Duration;

/// An invalid value of a settings field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field \"{field}\": allowed: {allowed}")]
pub struct SettingsError {
    /// Name of the field.
    pub field: &'static str,
    /// Description of the allowed values.
    pub allowed: String,
}

/// Converts a number of milliseconds to a [`Duration`].
#[must_use]
pub const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
