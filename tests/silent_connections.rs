//! Connections that are open go silent for good, without a reset, while new ones work.
//!
//! Nothing tells that such a connection is dead but the answers that do not come on it, and each one at rest cost a call, one after the other. With
//! 8 connections at rest the store's client lost its second call, too (`no answer in time`); a call that may be repeated was answered 504, both of
//! its attempts having gone out on silent connections (`no answer in time; it may have run`); and a generation whose stream went silent was cut at
//! its deadline of 20 s without an event, though its engine went on with it.

mod support;

use std::time::Duration;

use futures::future::join_all;
use larkwick::gateway::site_store::{self, Subject};
use larkwick::standin::site::server::ServerFault;
use support::proxy::{Link, Proxy};
use support::site::{RoutedSite, answered, event_numbers, until};

/// Connections that are opened together.
const TOGETHER: usize = 8;

#[tokio::test(flavor = "multi_thread")]
async fn store_connections_silent_one_call_lost() {
    let site = RoutedSite::start(0).await;
    let proxy = Proxy::start(site.standin.store_address()).await;
    let store = site_store::connect("keyed_log", proxy.address).expect("a client");
    let together = (0..TOGETHER).map(|_| store.newest(Subject::Configuration));
    for read in join_all(together).await {
        read.expect("an answer");
    }
    proxy.silence_open();
    store
        .newest(Subject::Configuration)
        .await
        .expect_err("no answer on a silent connection");
    for _ in 0..TOGETHER {
        let read = store.newest(Subject::Configuration).await;
        read.expect("an answer on a new connection");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_connections_at_rest_silent_one_call_lost() {
    let site = RoutedSite::start(0).await;
    let (_one, one) = site.app_behind_proxy().await;
    let (_other, other) = site.app_behind_proxy().await;
    let instance = site.instance("n1").await;
    let warm = async |round: &str| {
        let together = (0..2 * TOGETHER).map(|number| {
            let id = format!("{round}{number}");
            answered(instance.request("/once/1", &id))
        });
        for answer in join_all(together).await {
            assert_eq!(answer.status, 200);
        }
        // Connections rest a moment before they are used again.
        tokio::time::sleep(Duration::from_millis(100)).await;
        one.silence_open();
        other.silence_open();
    };
    warm("a").await;
    for number in 0..10 {
        let answer = instance.call("/calls/1", &format!("r{number}")).await;
        assert_eq!(
            answer.status, 200,
            "a call that may be repeated: {answer:?}"
        );
    }
    warm("b").await;
    let mut statuses = Vec::new();
    for number in 0..10 {
        let id = format!("o{number}");
        statuses.push(instance.call("/once/1", &id).await.status);
        assert!(site.standin.runs_of(&id).len() <= 1);
    }
    let lost = statuses.iter().filter(|status| **status != 200);
    assert!(lost.count() <= 1, "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_connections_silent_each_event_once() {
    /// Four seconds: the engine is still at it when it is asked.
    const EVENTS: u32 = 160;
    /// A tenth of a second: the engine is done with it when it is asked.
    const FEW_EVENTS: u32 = 4;
    let site = RoutedSite::start(0).await;
    let (engine, proxy) = site.engine_behind_proxy().await;
    let instance = site.instance("n1").await;
    let whole = |answer: &support::site::Answered| {
        let expected: Vec<u32> = (1..=EVENTS).collect();
        answer.whole && event_numbers(&answer.body) == expected
    };
    let other = site.engine().await;
    other.set_fault(ServerFault::Refuses);
    until("both known", async || {
        instance.state().await["endpoints"][&other.id].is_object()
    })
    .await;
    // In use: the stream goes silent while the engine goes on with it.
    let running = tokio::spawn(answered(instance.generation(EVENTS, "used")));
    until("running", async || engine.running() == 1).await;
    proxy.silence_open();
    other.set_fault(ServerFault::None);
    let answer = running.await.expect("answered");
    assert!(whole(&answer), "{answer:?}");
    assert_eq!(site.standin.runs_of("used").len(), 1, "not run anew");
    // In use, before the first event came.
    proxy.set(Link::OneWay);
    other.set_fault(ServerFault::Refuses);
    let begun = tokio::spawn(answered(instance.generation(EVENTS, "begun")));
    until("begun", async || engine.running() == 1).await;
    proxy.silence_open();
    proxy.set(Link::Sound);
    other.set_fault(ServerFault::None);
    let answer = begun.await.expect("answered");
    assert!(whole(&answer), "{answer:?}");
    assert_eq!(site.standin.runs_of("begun").len(), 1, "not run anew");
    // In use, and over before anybody can ask: the caller hears so, and not at its deadline.
    proxy.set(Link::OneWay);
    other.set_fault(ServerFault::Refuses);
    let short = tokio::spawn(answered(instance.generation(FEW_EVENTS, "short")));
    until("short", async || engine.head_of("short").is_some()).await;
    proxy.silence_open();
    proxy.set(Link::Sound);
    let short = short.await.expect("answered");
    assert_eq!(short.status, 502, "{short:?}");
    let unheard = |line: &serde_json::Value| {
        let why = line["kv"]["why"].as_str().unwrap_or_default();
        line["kv"]["request_id"] == "short" && why.contains("its end did not come")
    };
    until("the reason", async || {
        let lines = instance.lines.lock().expect("lines");
        lines.iter().any(unheard)
    })
    .await;
    other.set_fault(ServerFault::None);
    // At rest: what is opened before is not used again.
    proxy.silence_open();
    let together =
        (0..4).map(|number| answered(instance.generation(EVENTS, &format!("g{number}"))));
    for answer in join_all(together).await {
        assert!(whole(&answer), "{answer:?}");
    }
}
