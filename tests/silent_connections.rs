//! Open connections that stop delivering data permanently, without a reset, while new connections
//! work.
//!
//! A silent connection shows only in responses that do not arrive, and each idle one cost a call,
//! one after the other. With 8 idle connections, the second call of the store client was lost as
//! well (`no answer in time`). A repeatable call was answered with 504, since both of its attempts
//! were sent on silent connections (`no answer in time; it may have run`). A generation whose
//! stream went silent was cut off at its deadline of 20 s without an event, although its engine
//! kept running it.

mod support;

use std::time::Duration;

use futures::future::join_all;
use larkwick::gateway::site_store::{self, Subject};
use larkwick::standin::site::server::ServerFault;
use support::proxy::{LinkMode, Proxy};
use support::site::{RoutedSite, event_numbers, send_request, wait_until};

/// Number of connections that are opened at the same time.
const CONNECTIONS: usize = 8;

#[tokio::test(flavor = "multi_thread")]
async fn store_connections_silent_one_call_lost() {
    let site = RoutedSite::start(0).await;
    let proxy = Proxy::start(site.standin.store_address()).await;
    let store = site_store::connect("keyed_log", proxy.address).expect("a client");
    let concurrent = (0..CONNECTIONS).map(|_| store.read_latest(Subject::Configuration));
    for read in join_all(concurrent).await {
        read.expect("an answer");
    }
    proxy.blackhole_open_connections();
    store
        .read_latest(Subject::Configuration)
        .await
        .expect_err("no answer on a silent connection");
    for _ in 0..CONNECTIONS {
        let read = store.read_latest(Subject::Configuration).await;
        read.expect("an answer on a new connection");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_idle_connections_silent_at_most_one_call_lost() {
    let site = RoutedSite::start(0).await;
    let (_one, one) = site.start_app_behind_proxy().await;
    let (_other, other) = site.start_app_behind_proxy().await;
    let instance = site.start_instance("n1").await;
    let silence_idle_connections = async |round: &str| {
        let concurrent = (0..2 * CONNECTIONS).map(|number| {
            let id = format!("{round}{number}");
            send_request(instance.request("/once/1", &id))
        });
        for response in join_all(concurrent).await {
            assert_eq!(response.status, 200);
        }
        // Connections are reused only after a short idle time.
        tokio::time::sleep(Duration::from_millis(100)).await;
        one.blackhole_open_connections();
        other.blackhole_open_connections();
    };
    silence_idle_connections("a").await;
    for number in 0..10 {
        let response = instance.call("/calls/1", &format!("r{number}")).await;
        assert_eq!(response.status, 200, "a repeatable call: {response:?}");
    }
    silence_idle_connections("b").await;
    let mut statuses = Vec::new();
    for number in 0..10 {
        let id = format!("o{number}");
        statuses.push(instance.call("/once/1", &id).await.status);
        assert!(site.standin.servers_that_ran(&id).len() <= 1);
    }
    let lost = statuses.iter().filter(|status| **status != 200);
    assert!(lost.count() <= 1, "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_connections_silent_each_event_delivered_once() {
    /// Takes four seconds: the engine still runs the generation when it is asked about it.
    const EVENTS: u32 = 160;
    /// Takes a tenth of a second: the engine has completed the generation when it is asked about
    /// it.
    const FEW_EVENTS: u32 = 4;
    let site = RoutedSite::start(0).await;
    let (engine, proxy) = site.start_engine_behind_proxy().await;
    let instance = site.start_instance("n1").await;
    let is_complete = |response: &support::site::HttpResponse| {
        let expected: Vec<u32> = (1..=EVENTS).collect();
        response.is_complete && event_numbers(&response.body) == expected
    };
    let other = site.start_engine().await;
    other.set_fault(ServerFault::Refuses);
    wait_until("both known", async || {
        instance.state().await["endpoints"][&other.id].is_object()
    })
    .await;
    // In use: the stream goes silent while the engine keeps generating.
    let running = tokio::spawn(send_request(instance.generation(EVENTS, "used")));
    wait_until("running", async || engine.running_count() == 1).await;
    proxy.blackhole_open_connections();
    other.set_fault(ServerFault::None);
    let response = running.await.expect("answered");
    assert!(is_complete(&response), "{response:?}");
    assert_eq!(
        site.standin.servers_that_ran("used").len(),
        1,
        "not restarted"
    );
    // In use, before the first event arrives.
    proxy.set_mode(LinkMode::ResponsesStalled);
    other.set_fault(ServerFault::Refuses);
    let starting = tokio::spawn(send_request(instance.generation(EVENTS, "begun")));
    wait_until("begun", async || engine.running_count() == 1).await;
    proxy.blackhole_open_connections();
    proxy.set_mode(LinkMode::Normal);
    other.set_fault(ServerFault::None);
    let response = starting.await.expect("answered");
    assert!(is_complete(&response), "{response:?}");
    assert_eq!(
        site.standin.servers_that_ran("begun").len(),
        1,
        "not restarted"
    );
    // In use, and complete before the engine can be asked: the caller gets an error well before its
    // deadline.
    proxy.set_mode(LinkMode::ResponsesStalled);
    other.set_fault(ServerFault::Refuses);
    let short = tokio::spawn(send_request(instance.generation(FEW_EVENTS, "short")));
    wait_until("short", async || engine.request_headers("short").is_some()).await;
    proxy.blackhole_open_connections();
    proxy.set_mode(LinkMode::Normal);
    let short = short.await.expect("answered");
    assert_eq!(short.status, 502, "{short:?}");
    let lacks_end = |line: &serde_json::Value| {
        let why = line["kv"]["why"].as_str().unwrap_or_default();
        line["kv"]["request_id"] == "short" && why.contains("its end did not come")
    };
    wait_until("the reason", async || {
        let lines = instance.log_lines.lock().expect("lines");
        lines.iter().any(lacks_end)
    })
    .await;
    other.set_fault(ServerFault::None);
    // Idle: connections opened earlier are not reused.
    proxy.blackhole_open_connections();
    let concurrent =
        (0..4).map(|number| send_request(instance.generation(EVENTS, &format!("g{number}"))));
    for response in join_all(concurrent).await {
        assert!(is_complete(&response), "{response:?}");
    }
}
