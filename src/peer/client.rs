//! Connections to peers, one per address.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use tonic::transport::{Channel, Endpoint};

use super::generated::peer_client::PeerClient;
use super::generated::site_client::SiteClient;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A peer that is gone without a word is noticed after this long twice over, and then connected to anew.
const KEEPALIVE: Duration = Duration::from_secs(1);
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// Connections to peers; made lazily, reconnected by the library.
#[derive(Default)]
pub(crate) struct PeerClients {
    channels: Mutex<HashMap<String, Channel>>,
}

impl PeerClients {
    /// A client for the peer at an address.
    pub(crate) fn to(&self, address: &str) -> Result<PeerClient<Channel>, tonic::Status> {
        let channel = self.channel(address)?;
        Ok(PeerClient::new(channel).max_decoding_message_size(MESSAGE_MAX_BYTES))
    }

    /// A client for the peer at an address that serves routes.
    pub(crate) fn site_at(&self, address: &str) -> Result<SiteClient<Channel>, tonic::Status> {
        let channel = self.channel(address)?;
        Ok(SiteClient::new(channel).max_decoding_message_size(MESSAGE_MAX_BYTES))
    }

    fn channel(&self, address: &str) -> Result<Channel, tonic::Status> {
        let mut channels = self.channels.lock();
        let channel = if let Some(channel) = channels.get(address) {
            channel.clone()
        } else {
            let endpoint = Endpoint::from_shared(format!("http://{address}"))
                .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?;
            let channel = endpoint
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_nodelay(true)
                .tcp_keepalive(Some(KEEPALIVE))
                .http2_keep_alive_interval(KEEPALIVE)
                .keep_alive_timeout(KEEPALIVE)
                .connect_lazy();
            channels.insert(address.to_owned(), channel.clone());
            channel
        };
        Ok(channel)
    }

    /// Drops connections to addresses that no peer has any more.
    pub(crate) fn retain(&self, known: impl Fn(&str) -> bool) {
        self.channels.lock().retain(|address, _| known(address));
    }
}

/// A call with a time limit.
pub(crate) async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T, tonic::Status> {
    let answered = tokio::time::timeout(limit, call).await;
    let answered = answered.map_err(|_| tonic::Status::deadline_exceeded("no answer in time"))?;
    answered.map(tonic::Response::into_inner)
}
