//! The entries that endpoints write about themselves.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::kernel::fleet::EndpointEntry;

#[derive(Deserialize)]
struct WireServer {
    service: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default = "one")]
    slots: u32,
    /// `ready`, or `draining` before a planned end.
    #[serde(default)]
    state: String,
}

fn one() -> u32 {
    1
}

/// Decodes an entry; its key is the id of that start of the endpoint.
///
/// # Errors
/// The text is not an entry.
pub fn decode(id: &str, text: &[u8]) -> Result<EndpointEntry, String> {
    let wire: WireServer = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    Ok(EndpointEntry {
        id: id.to_owned(),
        service: wire.service,
        address: wire.addr,
        hall: wire.zone,
        slots: wire.slots,
        leaving: wire.state == "draining",
    })
}
