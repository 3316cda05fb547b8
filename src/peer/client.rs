//! Client connections to peers, one per address.

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
/// Interval of keepalive probes, and the timeout for their replies. A peer that disappears without
/// closing the connection is detected after twice this time; a new connection is made then.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const MESSAGE_MAX_BYTES: usize = 64 << 20;

/// Largest part of the response to a forwarded call that a peer sends ahead of its reader.
const FORWARDED_STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// The same for all forwarded calls at one peer. Slow readers of some of them leave room for others.
const FORWARDED_CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Connections to peers. They are established on the first call, and the library reconnects them.
#[derive(Default)]
pub(crate) struct PeerClients {
    channels: Mutex<HashMap<String, PooledChannel>>,
    /// Connections for forwarded calls: callers that read slowly hold up nothing else.
    forwarding_channels: Mutex<HashMap<String, PooledChannel>>,
}

/// A connection to a peer.
struct PooledChannel {
    channel: Channel,
    /// Whether a call started on it since the last [`PeerClients::drop_idle`].
    used: bool,
}

impl PeerClients {
    /// Returns a client of the `Peer` service at an address.
    pub(crate) fn peer_client(&self, address: &str) -> Result<PeerClient<Channel>, tonic::Status> {
        let channel = self.channel(address)?;
        Ok(PeerClient::new(channel).max_decoding_message_size(MESSAGE_MAX_BYTES))
    }

    /// Returns a client of the `Site` service at an address. Instances that serve routes offer it.
    pub(crate) fn site_client(&self, address: &str) -> Result<SiteClient<Channel>, tonic::Status> {
        let channel = self.channel(address)?;
        Ok(SiteClient::new(channel).max_decoding_message_size(MESSAGE_MAX_BYTES))
    }

    /// Reads a page of the store's records through a peer. The call fails if the head of the page
    /// does not arrive within `head_timeout`.
    pub(crate) async fn read_site(
        &self,
        address: &str,
        request: wire::ReadSiteRequest,
        head_timeout: Duration,
    ) -> Result<IncomingPage, tonic::Status> {
        let mut client = self.site_client(address)?;
        IncomingPage::receive_head(head_timeout, client.read_site(request)).await
    }

    /// Reads the configuration in force at a peer. The call fails if the head of the page does not
    /// arrive within `head_timeout`.
    pub(crate) async fn fetch_routes(
        &self,
        address: &str,
        request: wire::FetchRoutesRequest,
        head_timeout: Duration,
    ) -> Result<EncodedPage, String> {
        let mut client = self
            .site_client(address)
            .map_err(|status| message(&status))?;
        let page = IncomingPage::receive_head(head_timeout, client.fetch_routes(request))
            .await
            .map_err(|status| message(&status))?;
        page.receive_rest().await
    }

    /// Returns a client of the `Site` service at an address, for calls that are passed on.
    pub(crate) fn forwarding_client(
        &self,
        address: &str,
    ) -> Result<SiteClient<Channel>, tonic::Status> {
        let channel = pooled_channel(&self.forwarding_channels, address, |endpoint| {
            endpoint
                .initial_stream_window_size(FORWARDED_STREAM_WINDOW_BYTES)
                .initial_connection_window_size(FORWARDED_CONNECTION_WINDOW_BYTES)
        })?;
        Ok(SiteClient::new(channel))
    }

    fn channel(&self, address: &str) -> Result<Channel, tonic::Status> {
        pooled_channel(&self.channels, address, |endpoint| endpoint)
    }

    /// Drops the connections on which no call started since the previous invocation. Calls in
    /// flight keep their connection until they end.
    pub(crate) fn drop_idle(&self) {
        for channels in [&self.channels, &self.forwarding_channels] {
            channels
                .lock()
                .retain(|_, pooled| std::mem::replace(&mut pooled.used, false));
        }
    }

    /// Drops the connections to addresses for which `is_known` returns false.
    pub(crate) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        for channels in [&self.channels, &self.forwarding_channels] {
            channels.lock().retain(|address, _| is_known(address));
        }
    }
}

/// Returns the connection to an address, or a new one that is set up by `configure` on top of what all
/// have in common.
fn pooled_channel(
    channels: &Mutex<HashMap<String, PooledChannel>>,
    address: &str,
    configure: impl FnOnce(Endpoint) -> Endpoint,
) -> Result<Channel, tonic::Status> {
    let mut channels = channels.lock();
    if let Some(pooled) = channels.get_mut(address) {
        pooled.used = true;
        return Ok(pooled.channel.clone());
    }
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(Some(KEEPALIVE_INTERVAL))
        .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_INTERVAL);
    let channel = configure(endpoint).connect_lazy();
    let pooled = PooledChannel {
        channel: channel.clone(),
        used: true,
    };
    channels.insert(address.to_owned(), pooled);
    Ok(channel)
}

/// Returns whether a call failed before its peer handled it: the peer refused the connection, or is of
/// a version that does not know the call.
pub(crate) fn is_never_handled(status: &tonic::Status) -> bool {
    if status.code() == tonic::Code::Unimplemented {
        return true;
    }
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        let io_error = error.downcast_ref::<std::io::Error>();
        if io_error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        source = error.source();
    }
    false
}

fn message(status: &tonic::Status) -> String {
    status.message().to_owned()
}

/// A page whose head has arrived while its other chunks are still in transit.
pub(crate) struct IncomingPage {
    /// Metadata of the page, sent by the peer with the first chunk.
    pub(crate) head: wire::PageHead,
    first_chunk: Bytes,
    chunks: tonic::Streaming<wire::SitePart>,
}

impl IncomingPage {
    /// Makes a call and waits for the first chunk of its page.
    async fn receive_head(
        head_timeout: Duration,
        call: impl Future<
            Output = Result<tonic::Response<tonic::Streaming<wire::SitePart>>, tonic::Status>,
        >,
    ) -> Result<Self, tonic::Status> {
        let receiving = async {
            let mut chunks = call.await?.into_inner();
            let first = chunks.message().await?;
            let first = first.ok_or_else(|| tonic::Status::data_loss("a page without parts"))?;
            let head = first.head.unwrap_or_default();
            Ok(tonic::Response::new(Self {
                head,
                first_chunk: first.bytes.into(),
                chunks,
            }))
        };
        call_with_timeout(head_timeout, receiving).await
    }

    /// Receives the remaining chunks and returns the complete page.
    pub(crate) async fn receive_rest(self) -> Result<EncodedPage, String> {
        let first = futures::stream::iter([Ok(self.first_chunk)]);
        let others = self
            .chunks
            .map(|chunk| chunk.map(|chunk| Bytes::from(chunk.bytes)));
        let bytes =
            chunked_pages::collect_chunks(first.chain(others), chunked_pages::CHUNK_TIMEOUT).await;
        Ok(EncodedPage {
            compressed: self.head.compressed,
            bytes: bytes.map_err(|error| error.to_string())?,
        })
    }
}

/// Awaits a call and returns its message, or an error with code `DeadlineExceeded` on timeout.
pub(crate) async fn call_with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T, tonic::Status> {
    let response = tokio::time::timeout(timeout, call).await;
    let response = response.map_err(|_| tonic::Status::deadline_exceeded("no answer in time"))?;
    response.map(tonic::Response::into_inner)
}
