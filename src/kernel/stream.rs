//! The order of a stream's tokens: each index once, none skipped, all from one generation.

use std::fmt;
use std::str::FromStr;

use uuid::Uuid;

use super::object::is_valid_name;

const GENERATION_SEPARATOR: char = '~';
const INDEX_SEPARATOR: char = ':';

/// Names one generation on one incarnation of one endpoint, written `endpoint~incarnation~number`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GenerationId {
    /// Endpoint that decodes it.
    pub endpoint: String,
    /// Incarnation of the endpoint.
    pub incarnation: Uuid,
    /// The endpoint's own number.
    pub number: u64,
}

/// Id of a server-sent event, written `generation:index`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EventId {
    /// Which generation.
    pub generation: GenerationId,
    /// Index of the token, from 0.
    pub index: u32,
}

/// The text is not an event id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not an event id; send the id of the last event as it came")]
pub struct NotAnEventId;

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
    type Err = NotAnEventId;

    fn from_str(text: &str) -> Result<Self, NotAnEventId> {
        let (generation, index) = text.rsplit_once(INDEX_SEPARATOR).ok_or(NotAnEventId)?;
        let mut parts = generation.split(GENERATION_SEPARATOR);
        let (Some(endpoint), Some(incarnation), Some(number), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(NotAnEventId);
        };
        if !is_valid_name(endpoint) {
            return Err(NotAnEventId);
        }
        Ok(Self {
            generation: GenerationId {
                endpoint: endpoint.to_owned(),
                incarnation: incarnation.parse().map_err(|_| NotAnEventId)?,
                number: number.parse().map_err(|_| NotAnEventId)?,
            },
            index: index.parse().map_err(|_| NotAnEventId)?,
        })
    }
}

/// What to do with a token that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenStep {
    /// The next one: pass it on.
    Deliver,
    /// Seen already: drop it.
    Duplicate,
    /// Earlier ones are missing: resume from the cursor, pass nothing on.
    Gap,
}

/// Follows the indices of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCursor {
    /// Index of the next token to pass on. Every lower one has been passed on exactly once.
    next_index: u32,
}

impl TokenCursor {
    /// A cursor that expects this index next.
    #[must_use]
    pub const fn starting_at(next_index: u32) -> Self {
        Self { next_index }
    }

    /// The next index.
    #[must_use]
    pub const fn next_index(self) -> u32 {
        self.next_index
    }

    /// Takes the index of a token that arrived.
    pub fn accept(&mut self, index: u32) -> TokenStep {
        match index.cmp(&self.next_index) {
            std::cmp::Ordering::Less => TokenStep::Duplicate,
            std::cmp::Ordering::Greater => TokenStep::Gap,
            std::cmp::Ordering::Equal => {
                self.next_index += 1;
                TokenStep::Deliver
            }
        }
    }
}
