//! Response to the query for the addresses to connect to.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use serde::Serialize;

/// Maximum number of addresses in a response.
pub const ADDRESSES_MAX: usize = 64;

#[derive(Serialize)]
struct WireAddresses<'a> {
    addrs: &'a [SocketAddr],
    #[serde(rename = "ttl-s")]
    valid_s: f64,
}

/// A query for the addresses to connect to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Host that the caller wants to reach.
    pub host: String,
    /// Region of the caller.
    pub region: String,
}

/// Decodes a query. Missing parts are empty.
#[must_use]
pub fn decode_query(uri: &Uri) -> DirectoryQuery {
    let query = uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut decoded = DirectoryQuery::default();
    for (name, value) in pairs {
        match name {
            "name" => value.clone_into(&mut decoded.host),
            "region" => value.clone_into(&mut decoded.region),
            _ => {}
        }
    }
    decoded
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
