//! Response to the query for the addresses to connect to.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

/// Maximum number of addresses in a response.
pub const ADDRESSES_MAX: usize = 64;

#[derive(Serialize)]
struct WireAddresses<'a> {
    addrs: &'a [SocketAddr],
    #[serde(rename = "ttl-s")]
    valid_s: f64,
}

/// Encodes a response: the addresses, and the time for which callers may cache them.
#[must_use]
pub fn encode(addresses: &[SocketAddr], valid: Duration) -> Bytes {
    let response = WireAddresses {
        addrs: addresses,
        valid_s: valid.as_secs_f64(),
    };
    // Serializing addresses and a number cannot fail.
    Bytes::from(serde_json::to_vec(&response).unwrap_or_default())
}
