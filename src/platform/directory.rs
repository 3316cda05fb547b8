//! The question where to connect, and its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

/// Most addresses that an answer may hold.
pub const ADDRESSES_MAX: usize = 64;

#[derive(Serialize)]
struct WireAnswer<'a> {
    addrs: &'a [SocketAddr],
    #[serde(rename = "ttl-s")]
    valid_s: f64,
}

/// Encodes an answer: the addresses, and how long callers may keep them.
#[must_use]
pub fn encode(addresses: &[SocketAddr], valid: Duration) -> Bytes {
    let answer = WireAnswer {
        addrs: addresses,
        valid_s: valid.as_secs_f64(),
    };
    // Addresses and a number always encode.
    Bytes::from(serde_json::to_vec(&answer).unwrap_or_default())
}
