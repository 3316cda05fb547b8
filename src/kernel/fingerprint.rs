//! Fingerprints: which requests, or segments of prompts, are the same, whoever sends them and under
//! whichever request id.
//!
//! Two requests are the same if method, host, path with query, client account and the bytes of the
//! body are equal. The request id, the deadline, the key that identified the account and the
//! framing of the body are ignored.
//!
//! Two segments are the same if they are sent to the same service and have the same id, whatever
//! else their prompts contain.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::prompt_segments::SegmentId;

/// Upper half of [`Fingerprint::full`] of a segment; the lower half is its id. That of a request is
/// a hash.
const SEGMENT_TAG: u64 = u64::from_be_bytes(*b"segment\0");

/// The parts of a fingerprint other than the bytes of the body.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintHead<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host of the route, in lower case and without a port.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// The client account; `None` if anyone may call.
    pub account: Option<&'a str>,
    /// Length of the body.
    pub body_bytes: usize,
}

/// Hash of a [`FingerprintHead`]. It is cheaper than the full fingerprint, so a body is read only
/// if its head matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HeadHash(pub u64);

/// Fingerprint of a request or of a prompt segment. A collision is expected only among about 2^64
/// different requests; a harmless request would then be taken for the other one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint {
    /// Hash of the head; for a segment that of its service.
    pub head: HeadHash,
    /// Hash of the head and the body; for a segment its id.
    pub full: u128,
}

impl Fingerprint {
    /// Returns the id, if this is the fingerprint of a segment.
    #[must_use]
    pub fn segment(self) -> Option<SegmentId> {
        let [tag, id] = [self.full >> 64, self.full & u128::from(u64::MAX)];
        let id = u64::try_from(id).ok()?;
        (tag == u128::from(SEGMENT_TAG)).then_some(SegmentId(id))
    }
}

impl FingerprintHead<'_> {
    /// Returns the hash of this head.
    #[must_use]
    pub fn hash(&self) -> HeadHash {
        let mut hasher = blake3::Hasher::new();
        for field in [self.method, self.host, self.path] {
            update_delimited(&mut hasher, field.as_bytes());
        }
        hasher.update(&[u8::from(self.account.is_some())]);
        update_delimited(&mut hasher, self.account.unwrap_or_default().as_bytes());
        hasher.update(&length(self.body_bytes));
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        HeadHash(u64::from_be_bytes(prefix))
    }
}

impl HeadHash {
    /// Returns the head of all prompt segments that are sent to a service.
    #[must_use]
    pub fn of_segments(service: &str) -> Self {
        Self(short_hash(&format!("prompt segments/{service}")))
    }

    /// Returns the fingerprint of a prompt segment; this is the head of its service.
    #[must_use]
    pub fn with_segment(self, segment: SegmentId) -> Fingerprint {
        Fingerprint {
            head: self,
            full: u128::from(SEGMENT_TAG) << 64 | u128::from(segment.0),
        }
    }

    /// Returns the fingerprint of a request with this head and the given body.
    #[must_use]
    pub fn with_body(self, body: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_be_bytes());
        hasher.update(body);
        let mut prefix = [0; 16];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint {
            head: self,
            full: u128::from_be_bytes(prefix),
        }
    }
}

/// Returns the first eight bytes of a hash, to identify something in few bytes.
#[must_use]
pub fn short_hash(text: &str) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_be_bytes(prefix)
}

fn update_delimited(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&length(field.len()));
    hasher.update(field);
}

fn length(bytes: usize) -> [u8; 8] {
    u64::try_from(bytes).unwrap_or(u64::MAX).to_be_bytes()
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:032x}", self.head.0, self.full)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// The error for a text that is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a fingerprint: expected 48 hexadecimal digits")]
pub struct InvalidFingerprint(String);

impl std::str::FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        const HEAD_DIGITS: usize = 16;
        const DIGITS: usize = 48;
        let invalid = || InvalidFingerprint(text.to_owned());
        if text.len() != DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let (head, full) = text.split_at(HEAD_DIGITS);
        Ok(Self {
            head: HeadHash(u64::from_str_radix(head, 16).map_err(|_| invalid())?),
            full: u128::from_str_radix(full, 16).map_err(|_| invalid())?,
        })
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = InvalidFingerprint;

    fn try_from(text: String) -> Result<Self, InvalidFingerprint> {
        text.parse()
    }
}
