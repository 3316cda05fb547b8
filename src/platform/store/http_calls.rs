//! HTTP calls to the store: connections, timeouts, and the era of each response.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use reqwest::StatusCode;
use serde::Deserialize;
use spdlog::warn;

use super::StoreClient;
use crate::gateway::chunked_pages;
use crate::gateway::site_store::{StoreError, StoreResult};
use crate::platform::{names, unknown_names};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of TCP keepalive probes. A server that disappears without closing its connections is
/// detected after about twice this time.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which sent bytes may stay unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of eras that an instance may have missed; each restore of the store from an older
/// copy adds one. A larger jump is treated as an invalid value: if it were accepted, all later eras
/// would look like earlier ones.
const ERAS_MISSED_MAX: u64 = 1_000;
/// Response headers that the client reads.
const KNOWN_RESPONSE_HEADERS: [HeaderName; 1] = [names::STORE_ERA];

/// A response of the store.
pub(super) struct StoreResponse {
    pub(super) response: reqwest::Response,
    /// Era of the store in which it was sent.
    pub(super) era: u64,
}

/// An HTTP client with its connection pool.
#[derive(Debug, Clone)]
pub(super) struct PooledClient {
    pub(super) client: reqwest::Client,
    /// Incremented each time that the client is replaced.
    pub(super) number: u64,
}

#[derive(Deserialize)]
struct WireExpired {
    first: u64,
}

impl StoreClient {
    /// Replaces a client on which a call timed out, and with it all of its pooled connections:
    /// others may have stopped responding together with that one, and each would cost a call. With
    /// 8 idle connections, one call is lost instead of 8
    /// (`store_connections_silent_one_call_lost`).
    fn replace_client(&self, unresponsive: &PooledClient) {
        let mut pooled = self.client.lock();
        if pooled.number != unresponsive.number {
            return;
        }
        match build_client() {
            Ok(client) => {
                *pooled = PooledClient {
                    client,
                    number: unresponsive.number + 1,
                }
            }
            Err(error) => warn!("connections to the store kept", kv: { why: = error }),
        }
    }

    /// Sends a request and checks the status and the era of the response, whose head must arrive
    /// within `head_timeout`.
    pub(super) async fn call(
        &self,
        request: impl FnOnce(&reqwest::Client) -> reqwest::RequestBuilder,
        head_timeout: Duration,
    ) -> StoreResult<StoreResponse> {
        let pooled = self.client.lock().clone();
        let sending = request(&pooled.client).send();
        let Ok(sent) = tokio::time::timeout(head_timeout, sending).await else {
            self.replace_client(&pooled);
            return Err(StoreError::NoAnswer("no answer in time".to_owned()));
        };
        let response = sent.map_err(|error| {
            if error.is_connect() {
                StoreError::Refused(error.to_string())
            } else {
                StoreError::NoAnswer(error.to_string())
            }
        })?;
        let headers = response.headers();
        unknown_names::record_unknown_headers("store's header", headers, &KNOWN_RESPONSE_HEADERS);
        let era = self.check_era(headers)?;
        let status = response.status();
        if status.is_success() {
            return Ok(StoreResponse { response, era });
        }
        if status == StatusCode::GONE {
            let expired: WireExpired = read_json(response).await?;
            return Err(StoreError::Expired {
                first_offset: expired.first,
            });
        }
        if status == StatusCode::PRECONDITION_FAILED {
            return Err(StoreError::Conflict);
        }
        Err(StoreError::Refused(status.to_string()))
    }

    /// Returns the era of a response, and records it as the latest. A response without a valid era
    /// is assumed to belong to the latest known one.
    ///
    /// # Errors
    /// Returns an error if the response belongs to an earlier era: it was in transit while the
    /// store was restored from an older copy, and its data no longer exists.
    fn check_era(&self, headers: &HeaderMap) -> StoreResult<u64> {
        let header = headers.get(names::STORE_ERA);
        let era: Option<u64> = header.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let known = self.latest_era.load(Ordering::Relaxed);
        let is_valid = |era: &u64| known == 0 || era.saturating_sub(known) <= ERAS_MISSED_MAX;
        let Some(era) = era.filter(is_valid) else {
            if let Some(value) = header {
                unknown_names::record_unknown(
                    "value of store-era",
                    &String::from_utf8_lossy(value.as_bytes()),
                );
            }
            return Ok(known);
        };
        let latest = self.latest_era.fetch_max(era, Ordering::Relaxed);
        if era < latest {
            warn!("answer of an earlier era of the store dropped", kv: { era:, latest: });
            return Err(StoreError::NoAnswer(format!(
                "response of the earlier store era {era}"
            )));
        }
        Ok(era)
    }
}

/// Builds a client without connections.
pub(super) fn build_client() -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(2)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .build()
}

/// Reads the body of a response. There is no limit on the total time as long as bytes keep
/// arriving.
pub(super) async fn read_body(response: reqwest::Response) -> StoreResult<Bytes> {
    let body =
        chunked_pages::collect_chunks(response.bytes_stream(), chunked_pages::CHUNK_TIMEOUT).await;
    body.map_err(|error| StoreError::NoAnswer(error.to_string()))
}

/// Reads the body of a response as JSON.
pub(super) async fn read_json<T: serde::de::DeserializeOwned>(
    response: reqwest::Response,
) -> StoreResult<T> {
    let body = read_body(response).await?;
    serde_json::from_slice(&body).map_err(|error| StoreError::Malformed(error.to_string()))
}
