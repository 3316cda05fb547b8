//! Takes a newer configuration from a peer that told of it, where the usual path is late: this instance or its reader may be cut off.
//!
//! Every heartbeat of an up-to-date peer tells of the newer version. One transfer at a time is enough: many of them fill the link, and none
//! comes to its end.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};

use super::chunked_pages::EncodedPage;
use super::node::Gateway;
use super::site_store::Subject;
use crate::kernel::clock::millis;
use crate::kernel::route::RouteConfig;
use crate::peer::generated as wire;

/// The usual path gets this long before a peer is asked: a reader passes a change on within 100 ms.
const USUAL_PATH_WAIT: Duration = Duration::from_millis(250);
/// How often it is looked whether the usual path is still at it.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for the head of a peer's answer.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// A peer told that it has a newer version.
pub(crate) fn heard_newer(gateway: &Arc<Gateway>, version: u64, address: String) {
    let Some(turn) = gateway.catch_up.try_start() else {
        return;
    };
    let gateway = gateway.clone();
    tokio::spawn(async move {
        usual_path(&gateway, version).await;
        if gateway.config_version() < version {
            take_from(&gateway, &address).await;
        }
        drop(turn);
    });
}

/// Waits a moment for the usual path, and for as long as a configuration is on its way along it.
async fn usual_path(gateway: &Gateway, version: u64) {
    let until = gateway.now() + USUAL_PATH_WAIT;
    while gateway.config_version() < version
        && (gateway.now() < until || gateway.store.is_receiving(Subject::Configuration))
    {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn take_from(gateway: &Gateway, address: &str) {
    let begun = gateway.now();
    match fetch(gateway, address).await {
        Ok(Some(config)) => {
            let took_ms = millis(gateway.now().saturating_sub(begun));
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
    page.decode().map_err(|fault| fault.to_string())
}

/// Answers a peer that asks for the configuration in force: nothing where it is no newer.
pub(crate) fn give(
    gateway: &Gateway,
    request: wire::FetchRoutesRequest,
) -> Result<EncodedPage, tonic::Status> {
    let table = gateway.table();
    let newer = table.filter(|table| table.version() > request.config_version);
    let config = newer.as_ref().map(|table| table.config());
    EncodedPage::encode(&config).map_err(|fault| tonic::Status::internal(fault.to_string()))
}
