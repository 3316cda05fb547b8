//! Ordering of a stream's tokens: each index is delivered once, none is skipped, and all come from
//! one generation.

use std::fmt;
use std::str::FromStr;

use uuid::Uuid;

use super::object::is_valid_name;

const GENERATION_SEPARATOR: char = '~';
const INDEX_SEPARATOR: char = ':';

/// Id of a generation on one incarnation of an endpoint, written `endpoint~incarnation~number`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GenerationId {
    /// Endpoint that decodes it.
    pub endpoint: String,
    /// Incarnation of the endpoint.
    pub incarnation: Uuid,
    /// Number assigned by the endpoint.
    pub number: u64,
}

/// Id of a server-sent event, written `generation:index`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EventId {
    /// Generation that the event belongs to.
    pub generation: GenerationId,
    /// Index of the token, from 0.
    pub index: u32,
}

/// The text is not a valid event id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not an event id; send the id of the last event as it came")]
pub struct InvalidEventId;

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            endpoint,
            incarnation,
            number,
        } = self;
        write!(
            f,
            "{endpoint}{GENERATION_SEPARATOR}{incarnation}{GENERATION_SEPARATOR}{number}"
        )
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{INDEX_SEPARATOR}{}", self.generation, self.index)
    }
}

impl FromStr for EventId {
    type Err = InvalidEventId;

    fn from_str(text: &str) -> Result<Self, InvalidEventId> {
        let (generation, index) = text.rsplit_once(INDEX_SEPARATOR).ok_or(InvalidEventId)?;
        let mut parts = generation.split(GENERATION_SEPARATOR);
        let (Some(endpoint), Some(incarnation), Some(number), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(InvalidEventId);
        };
        if !is_valid_name(endpoint) {
            return Err(InvalidEventId);
        }
        Ok(Self {
            generation: GenerationId {
                endpoint: endpoint.to_owned(),
                incarnation: incarnation.parse().map_err(|_| InvalidEventId)?,
                number: number.parse().map_err(|_| InvalidEventId)?,
            },
            index: index.parse().map_err(|_| InvalidEventId)?,
        })
    }
}

/// What to do with a received token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenAction {
    /// It is the next token: deliver it.
    Deliver,
    /// It has been delivered before: drop it.
    Duplicate,
    /// Earlier tokens are missing: resume from the cursor without delivering it.
    Gap,
}

/// Tracks the token indices of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCursor {
    /// Index of the next token to deliver. Every lower index has been delivered exactly once.
    next_index: u32,
}

impl TokenCursor {
    /// Creates a cursor that expects `next_index` next.
    #[must_use]
    pub const fn starting_at(next_index: u32) -> Self {
        Self { next_index }
    }

    /// Returns the next index.
    #[must_use]
    pub const fn next_index(self) -> u32 {
        self.next_index
    }

    /// Processes the index of a received token.
    pub fn accept(&mut self, index: u32) -> TokenAction {
        match index.cmp(&self.next_index) {
            std::cmp::Ordering::Less => TokenAction::Duplicate,
            std::cmp::Ordering::Greater => TokenAction::Gap,
            std::cmp::Ordering::Equal => {
                self.next_index += 1;
                TokenAction::Deliver
            }
        }
    }
}
