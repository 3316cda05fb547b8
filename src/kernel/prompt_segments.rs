//! Ids of the segments that make up a prompt.

use std::fmt;

/// Maximum number of segments of one prompt that are told apart, about 0.5 KB a request.
pub const SEGMENTS_MAX: usize = 64;

/// Identifies a segment of a prompt. Prompts that name the same id have the segment in common,
/// whatever else they contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SegmentId(pub u64);

impl fmt::Display for SegmentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}
