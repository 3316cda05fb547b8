//! Which request is the same as another one, whoever sends it and under which name: method, host, path with its query, client account and the bytes
//! of the body are equal. The name of the try, its deadline, the key that stands for the account and the way in which the body was framed are not
//! looked at.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What makes two requests the same, but for the bytes of their bodies.
#[derive(Debug, Clone, Copy)]
pub struct ContentHead<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host of the route, in lower case and without a port.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// The client account; nothing where anyone may call.
    pub account: Option<&'a str>,
    /// Length of the body.
    pub body_bytes: usize,
}

/// Names [`ContentHead`]: cheap beside the whole, so that a body is read only where the rest fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HeadId(pub u64);

/// Names the content of a request. Two requests share one by chance once in 2^64 contents; an innocent one would then be taken for the other.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentId {
    /// Its head.
    pub head: HeadId,
    /// The whole.
    pub whole: u128,
}

impl ContentHead<'_> {
    /// The id of this head.
    #[must_use]
    pub fn id(&self) -> HeadId {
        let mut hasher = blake3::Hasher::new();
        for part in [self.method, self.host, self.path] {
            update_delimited(&mut hasher, part.as_bytes());
        }
        hasher.update(&[u8::from(self.account.is_some())]);
        update_delimited(&mut hasher, self.account.unwrap_or_default().as_bytes());
        hasher.update(&length(self.body_bytes));
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        HeadId(u64::from_be_bytes(first))
    }
}

impl HeadId {
    /// The id of this head with a body.
    #[must_use]
    pub fn with_body(self, body: &[u8]) -> ContentId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_be_bytes());
        hasher.update(body);
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        ContentId {
            head: self,
            whole: u128::from_be_bytes(first),
        }
    }
}

fn update_delimited(hasher: &mut blake3::Hasher, part: &[u8]) {
    hasher.update(&length(part.len()));
    hasher.update(part);
}

fn length(bytes: usize) -> [u8; 8] {
    u64::try_from(bytes).unwrap_or(u64::MAX).to_be_bytes()
}

impl fmt::Display for ContentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:032x}", self.head.0, self.whole)
    }
}

impl fmt::Debug for ContentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// A text that names no content.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not the name of a content: 48 hexadecimal digits are wanted")]
pub struct NotAContent(String);

impl std::str::FromStr for ContentId {
    type Err = NotAContent;

    fn from_str(text: &str) -> Result<Self, NotAContent> {
        const HEAD_DIGITS: usize = 16;
        const DIGITS: usize = 48;
        let fault = || NotAContent(text.to_owned());
        if text.len() != DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(fault());
        }
        let (head, whole) = text.split_at(HEAD_DIGITS);
        Ok(Self {
            head: HeadId(u64::from_str_radix(head, 16).map_err(|_| fault())?),
            whole: u128::from_str_radix(whole, 16).map_err(|_| fault())?,
        })
    }
}

impl From<ContentId> for String {
    fn from(content: ContentId) -> Self {
        content.to_string()
    }
}

impl TryFrom<String> for ContentId {
    type Error = NotAContent;

    fn try_from(text: String) -> Result<Self, NotAContent> {
        text.parse()
    }
}
