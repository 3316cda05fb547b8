//! Requests whose route allows only some regions stay there, whatever becomes of their engines.

mod support;

use std::sync::Arc;

use futures::future::join_all;
use larkwick::standin::site::KEY;
use larkwick::standin::site::server::{Server, ServerFault, ServerKind};
use serde_json::json;
use support::proxy::Proxy;
use support::site::{RoutedSite, event_numbers, send_request, wait_until};

/// Generations whose streams go silent. Each chooses its new engine by itself, so that a choice
/// among all engines would hardly leave all of them in the allowed region.
const GENERATIONS: usize = 10;
/// Takes four seconds: the engine still runs a generation when it is asked about it.
const EVENTS: u32 = 160;

async fn start_engine_in(site: &RoutedSite, hall: &str) -> (Arc<Server>, Proxy) {
    let engine = site
        .standin
        .start_unlisted_server("llm", ServerKind::Engine)
        .await
        .expect("engine starts");
    let proxy = Proxy::start(engine.listen_address()).await;
    engine.set_listed_address(proxy.address);
    let entry = json!({"zone": hall});
    site.standin.list_server_with(&engine, &entry);
    (engine, proxy)
}

/// Guards against a generation that leaves its allowed regions when it is taken over from an
/// engine whose connection went silent.
#[tokio::test(flavor = "multi_thread")]
async fn generation_taken_over_stays_in_allowed_regions() {
    let site = RoutedSite::start(0).await;
    let mut config = site.standin.default_config(3, &[KEY]);
    config["routes"][2]["allowed-regions"] = json!(["north"]);
    site.standin.publish_config(&config);
    let (source, proxy) = start_engine_in(&site, "hall-n").await;
    let (allowed, _allowed_proxy) = start_engine_in(&site, "hall-n").await;
    let (outside, _outside_proxy) = start_engine_in(&site, "hall-s").await;
    let regions = json!({"hall_regions": {"hall-n": "north", "hall-s": "south"}});
    let instance = site.start_instance_with_settings("n1", regions);
    instance.wait_until_ready().await;
    wait_until("configuration and engines known", async || {
        let state = instance.state().await;
        let engines = state["endpoints"]
            .as_object()
            .map_or(0, serde_json::Map::len);
        state["config_version"] == 3 && engines == 3
    })
    .await;
    allowed.set_fault(ServerFault::Refuses);
    let running: Vec<_> = (0..GENERATIONS)
        .map(|number| {
            let request = instance.generation(EVENTS, &format!("g{number}"));
            tokio::spawn(send_request(request))
        })
        .collect();
    wait_until("all run", async || source.running_count() == GENERATIONS).await;
    allowed.set_fault(ServerFault::None);
    proxy.blackhole_open_connections();
    let expected: Vec<u32> = (1..=EVENTS).collect();
    for response in join_all(running).await {
        let response = response.expect("answered");
        assert_eq!(event_numbers(&response.body), expected, "{response:?}");
    }
    assert_eq!(outside.request_count(), 0, "requests outside the regions");
    assert!(allowed.request_count() > 0);
}
