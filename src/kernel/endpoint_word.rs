//! What an endpoint says of itself in an answer, beside the matter asked.

/// What one start of an endpoint says of itself. It holds for that start whatever was asked and whoever asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointWord {
    /// Whether it is leaving. Once said, it stays said for this start.
    pub leaving: bool,
}
