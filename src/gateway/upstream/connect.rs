//! Opens connections to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time that sent bytes may stay unacknowledged before the peer counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Failure to get a connection. Nothing was sent.
#[derive(Debug, Clone, thiserror::Error)]
pub(crate) enum ConnectError {
    /// Nothing listens at the address.
    #[error("{0} refuses connections")]
    Refused(SocketAddr),
    /// No connection was made in time, or there is no way to the address.
    #[error("{0}")]
    Unreached(String),
    /// A failure of this instance, such as an exhausted connection limit.
    #[error("{0}")]
    Other(String),
}

impl ConnectError {
    /// Returns whether the address was not reached. Whether others reach it is not known.
    pub(crate) const fn is_unreached(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unreached(_))
    }
}

/// Returns whether a failure to connect is due to the way to the address or its other end, rather than
/// to this instance.
fn is_network_failure(kind: std::io::ErrorKind) -> bool {
    use std::io::ErrorKind;
    matches!(
        kind,
        ErrorKind::TimedOut
            | ErrorKind::ConnectionReset
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
    )
}

/// Connects to an address.
pub(super) async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| ConnectError::Unreached(format!("{address} did not answer in time")))?
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => ConnectError::Refused(address),
            kind if is_network_failure(kind) => {
                ConnectError::Unreached(format!("{address}: {error}"))
            }
            _ => ConnectError::Other(format!("{address}: {error}")),
        })?;
    enable_dead_peer_detection(&stream).map_err(|error| ConnectError::Other(error.to_string()))?;
    Ok(stream)
}

/// Enables TCP keepalive and a user timeout, so that a connection fails soon after its peer
/// disappears without closing it.
pub(crate) fn enable_dead_peer_detection(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
