//! Fetches a newer configuration from a peer that announced it, if the primary path through the
//! store is late because this instance or its reader is cut off.
//!
//! Every heartbeat of an up-to-date peer announces the newer version. Only one transfer runs at a
//! time: several would saturate the link, and none would complete.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};

use super::chunked_pages::EncodedPage;
use super::node::Gateway;
use super::site_store::Subject;
use crate::kernel::clock::millis;
use crate::kernel::route::RouteConfig;
use crate::peer::generated as wire;

/// Time allowed for the primary path before a peer is queried; a reader forwards a change within
/// 100 ms.
const PRIMARY_PATH_WAIT: Duration = Duration::from_millis(250);
/// Interval of checks for progress of the primary path.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for the head of a peer's response.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Fetches a newer configuration version that a peer announced, unless a fetch is running.
pub(crate) fn fetch_newer_config(gateway: &Arc<Gateway>, version: u64, address: String) {
    let Some(guard) = gateway.catch_up.try_start() else {
        return;
    };
    let gateway = gateway.clone();
    tokio::spawn(async move {
        wait_for_primary_path(&gateway, version).await;
        if gateway.config_version() < version {
            fetch_and_apply(&gateway, &address).await;
        }
        drop(guard);
    });
}

/// Waits briefly for the primary path, and for as long as it is receiving a configuration.
async fn wait_for_primary_path(gateway: &Gateway, version: u64) {
    let deadline = gateway.now() + PRIMARY_PATH_WAIT;
    while gateway.config_version() < version
        && (gateway.now() < deadline || gateway.store.is_receiving(Subject::Configuration))
    {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn fetch_and_apply(gateway: &Gateway, address: &str) {
    let started_at = gateway.now();
    match fetch(gateway, address).await {
        Ok(Some(config)) => {
            let took_ms = millis(gateway.now().saturating_sub(started_at));
            info!("configuration taken from peer", kv: {
                version: = config.version, peer = address, took_ms:,
            });
            gateway.apply_config(config, "peer");
        }
        Ok(None) => {}
        Err(why) => {
            warn!("configuration not taken from peer", kv: { peer = address, why = why.as_str() });
        }
    }
}

async fn fetch(gateway: &Gateway, address: &str) -> Result<Option<RouteConfig>, String> {
    let request = wire::FetchRoutesRequest {
        config_version: gateway.config_version(),
    };
    let page = gateway
        .peers
        .fetch_routes(address, request, HEAD_TIMEOUT)
        .await?;
    page.decode().map_err(|error| error.to_string())
}

/// Encodes the current configuration for a peer; `None` if it is not newer than the peer's.
pub(crate) fn encode_newer_config(
    gateway: &Gateway,
    request: wire::FetchRoutesRequest,
) -> Result<EncodedPage, tonic::Status> {
    let table = gateway.table();
    let newer = table.filter(|table| table.version() > request.config_version);
    let config = newer.as_ref().map(|table| table.config());
    EncodedPage::encode(&config).map_err(|error| tonic::Status::internal(error.to_string()))
}
