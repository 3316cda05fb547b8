//! Connections to peers, one per address.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use parking_lot::Mutex;
use tonic::transport::{Channel, Endpoint};

use super::generated::peer_client::PeerClient;
use super::generated::site_client::SiteClient;
use crate::gateway::chunked_pages::{self, EncodedPage};
use crate::peer::generated as wire;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A peer that is gone without a word is noticed after this long twice over, and then connected to anew.
const KEEPALIVE: Duration = Duration::from_secs(1);
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// Connections to peers; made lazily, reconnected by the library.
#[derive(Default)]
pub(crate) struct PeerClients {
    channels: Mutex<HashMap<String, KeptChannel>>,
}

/// A connection to a peer.
struct KeptChannel {
    channel: Channel,
    /// Whether a call began on it since the unused ones were last dropped.
    used: bool,
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

    /// Reads a page of what the store holds, through a peer. Its head comes within the time given, or the call has failed.
    pub(crate) async fn read_site(
        &self,
        address: &str,
        request: wire::ReadSiteRequest,
        head_timeout: Duration,
    ) -> Result<ComingPage, String> {
        let mut client = self.site_at(address).map_err(|status| message(&status))?;
        ComingPage::begin(head_timeout, client.read_site(request)).await
    }

    /// Reads the configuration in force at a peer.
    pub(crate) async fn fetch_routes(
        &self,
        address: &str,
        request: wire::FetchRoutesRequest,
        head_timeout: Duration,
    ) -> Result<EncodedPage, String> {
        let mut client = self.site_at(address).map_err(|status| message(&status))?;
        let coming = ComingPage::begin(head_timeout, client.fetch_routes(request)).await?;
        coming.rest().await
    }

    fn channel(&self, address: &str) -> Result<Channel, tonic::Status> {
        let mut channels = self.channels.lock();
        let channel = if let Some(kept) = channels.get_mut(address) {
            kept.used = true;
            kept.channel.clone()
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
            let kept = KeptChannel {
                channel: channel.clone(),
                used: true,
            };
            channels.insert(address.to_owned(), kept);
            channel
        };
        Ok(channel)
    }

    /// Drops connections on which no call began since the last time. Calls in flight keep theirs until they end.
    pub(crate) fn drop_unused(&self) {
        self.channels
            .lock()
            .retain(|_, kept| std::mem::replace(&mut kept.used, false));
    }

    /// Drops connections to addresses that no peer has any more.
    pub(crate) fn retain(&self, known: impl Fn(&str) -> bool) {
        self.channels.lock().retain(|address, _| known(address));
    }
}

fn message(status: &tonic::Status) -> String {
    status.message().to_owned()
}

/// A page whose head has come; its other parts are on their way.
pub(crate) struct ComingPage {
    /// What the peer says of the page.
    pub(crate) head: wire::PageHead,
    first: Bytes,
    parts: tonic::Streaming<wire::SitePart>,
}

impl ComingPage {
    async fn begin(
        head_timeout: Duration,
        call: impl Future<
            Output = Result<tonic::Response<tonic::Streaming<wire::SitePart>>, tonic::Status>,
        >,
    ) -> Result<Self, String> {
        let begun = async {
            let mut parts = call.await?.into_inner();
            let first = parts.message().await?;
            let first = first.ok_or_else(|| tonic::Status::data_loss("a page without parts"))?;
            let head = first.head.unwrap_or_default();
            Ok(tonic::Response::new(Self {
                head,
                first: first.bytes.into(),
                parts,
            }))
        };
        within(head_timeout, begun)
            .await
            .map_err(|status| message(&status))
    }

    /// The page, once all its parts have come.
    pub(crate) async fn rest(self) -> Result<EncodedPage, String> {
        let first = futures::stream::iter([Ok(self.first)]);
        let others = self
            .parts
            .map(|part| part.map(|part| Bytes::from(part.bytes)));
        let bytes =
            chunked_pages::collect_chunks(first.chain(others), chunked_pages::CHUNK_TIMEOUT).await;
        Ok(EncodedPage {
            compressed: self.head.compressed,
            bytes: bytes.map_err(|fault| fault.to_string())?,
        })
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
