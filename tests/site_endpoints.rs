//! Selection of endpoints, tested with real processes against a stand-in site: evacuated halls,
//! endpoints restarted under the same id, cold endpoints, and entries that cannot be decoded.

mod support;

use std::sync::Arc;
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerFault, ServerKind};
use larkwick::standin::site::store::StoreFault;
use serde_json::json;
use support::site::{Instance, RoutedSite, send_request, wait_until};

/// Number of calls that reveal which endpoints are used. With two usable endpoints, the probability
/// that all calls reach the same one is below one in a billion.
const CALLS: usize = 40;

async fn two_halls() -> (RoutedSite, Arc<Server>, Arc<Server>) {
    let site = RoutedSite::start(2).await;
    let (first, second) = (site.apps[0].clone(), site.apps[1].clone());
    site.standin
        .list_server_with(&second, &json!({"zone": "hall-2"}));
    (site, first, second)
}

async fn wait_for_availability(instance: &Instance, server: &Server, expected: &str) {
    wait_until(expected, async || {
        instance.endpoint_availability(server).await == expected
    })
    .await;
}

/// Sends calls and returns the ids of the servers that executed them.
async fn called_endpoints(site: &RoutedSite, instance: &Instance, name: &str) -> Vec<String> {
    let mut ran = Vec::new();
    for number in 0..CALLS {
        let id = format!("{name}-{number}");
        assert_eq!(instance.call("/once/a", &id).await.status, 200);
        ran.extend(site.standin.servers_that_ran(&id));
    }
    ran.sort();
    ran.dedup();
    ran
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_hall_gets_no_calls_until_restored() {
    let (site, first, second) = two_halls().await;
    let instance = site.start_instance("n1").await;
    site.standin.evacuate_hall("hall-1");
    wait_for_availability(&instance, &first, "evacuated").await;
    let only = [second.id.clone()];
    assert_eq!(called_endpoints(&site, &instance, "emptied").await, only);
    site.standin.restore_hall("hall-1");
    wait_for_availability(&instance, &first, "ready").await;
    assert_eq!(called_endpoints(&site, &instance, "back").await.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_hall_record_unreadable_still_evacuates_it() {
    let (site, first, second) = two_halls().await;
    let instance = site.start_instance("n1").await;
    let store = &site.standin.store;
    store.put_raw("keyed.op", "evacuate/hall-1", b"\xff{");
    wait_for_availability(&instance, &first, "evacuated").await;
    let only = [second.id.clone()];
    assert_eq!(called_endpoints(&site, &instance, "emptied").await, only);
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_all_halls_calls_refused_immediately() {
    let (site, first, second) = two_halls().await;
    let instance = site.start_instance("n1").await;
    site.standin.evacuate_hall("hall-1");
    site.standin.evacuate_hall("hall-2");
    wait_for_availability(&instance, &first, "evacuated").await;
    wait_for_availability(&instance, &second, "evacuated").await;
    let answer = instance.call("/once/a", "all").await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(site.standin.servers_that_ran("all").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_hall_known_after_start_during_store_outage() {
    let (site, first, second) = two_halls().await;
    let known = site.start_instance("n1").await;
    site.standin.evacuate_hall("hall-1");
    wait_for_availability(&known, &first, "evacuated").await;
    site.standin.store.set_fault(StoreFault::Busy);
    let started = site.start_instance_with_peers("n2", &[&known]);
    started.wait_until_ready().await;
    assert_eq!(started.endpoint_availability(&first).await, "evacuated");
    let only = [second.id.clone()];
    assert_eq!(called_endpoints(&site, &started, "started").await, only);
}

/// The draining entry of an earlier incarnation must not block the next incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_restarted_under_its_id_gets_calls_again() {
    let site = RoutedSite::start(1).await;
    let app = site.apps[0].clone();
    let list = |state: &str, born: u64| {
        let fields = json!({"state": state, "born": born});
        site.standin.list_server_with(&app, &fields);
    };
    list("ready", 1_000);
    let instance = site.start_instance("n1").await;
    list("draining", 1_000);
    wait_for_availability(&instance, &app, "leaving").await;
    // Draining is final within an incarnation.
    list("ready", 1_000);
    list("ready", 2_000);
    wait_until("calls served again", async || {
        instance.call("/once/a", "a").await.status == 200
    })
    .await;
    // A late entry of the earlier incarnation changes nothing.
    list("draining", 1_000);
    let other = site.standin.start_server("app", ServerKind::Plain).await;
    let other = other.expect("server starts");
    wait_for_availability(&instance, &other, "ready").await;
    assert_eq!(called_endpoints(&site, &instance, "late").await.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_entry_malformed_skipped_and_others_used() {
    let malformed = [
        json!({"zone": null}),
        json!({"slots": null}),
        json!({"state": null}),
        json!({"state": "resting"}),
        json!({"state": 7}),
        json!({"slots": "six"}),
        json!({"addr": "somewhere"}),
        json!({"born": "yesterday"}),
        json!({"cold-left-ms": []}),
    ];
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    for fields in malformed {
        let server = site
            .standin
            .start_unlisted_server("app", ServerKind::Plain)
            .await;
        let server = server.expect("server starts");
        site.standin.list_server_with(&server, &fields);
    }
    let store = &site.standin.store;
    store.put_raw("keyed.servers", "i-garbled", b"\x00\xff\xfe");
    let last = site.standin.start_server("app", ServerKind::Plain).await;
    let last = last.expect("server starts");
    wait_for_availability(&instance, &last, "ready").await;
    let mut expected = vec![site.apps[0].id.clone(), last.id.clone()];
    expected.sort();
    assert_eq!(
        called_endpoints(&site, &instance, "foreign").await,
        expected
    );
    // An instance that reads the full list treats the entries in the same way.
    let second = site.start_instance("n2").await;
    wait_for_availability(&second, &last, "ready").await;
    assert_eq!(called_endpoints(&site, &second, "whole").await, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_key_unknown_logged_once() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    for _ in 0..3 {
        site.standin
            .store
            .put("keyed.op", "something/new", &json!({}));
    }
    wait_until("unknown key logged", async || {
        instance.has_log_line("unknown on the platform")
    })
    .await;
    site.standin.publish(9, &[larkwick::standin::site::KEY]);
    wait_until("later record read", async || {
        instance.state().await["config_version"] == 9
    })
    .await;
    let unknown = instance.logged("unknown on the platform").into_iter();
    let unknown = unknown.filter(|fields| fields["name"] == "something/new");
    assert_eq!(unknown.count(), 1);
}

/// Starts a plain server that stays cold for a minute.
async fn start_cold_app(site: &RoutedSite) -> Arc<Server> {
    let cold = site
        .standin
        .start_unlisted_server("app", ServerKind::Plain)
        .await;
    let cold = cold.expect("server starts");
    site.standin
        .list_server_with(&cold, &json!({"cold-left-ms": 60_000}));
    cold
}

/// While all endpoints of a service are cold, they get calls up to their sustainable rate. Further
/// calls are refused immediately with a retry time.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_cold_gets_no_more_than_sustainable_rate() {
    const SUSTAINABLE_PER_S: f64 = 4.0;
    let site = RoutedSite::start(0).await;
    site.standin
        .publish_with_cold_start(3, 60.0, SUSTAINABLE_PER_S);
    start_cold_app(&site).await;
    let instance = site.start_instance("n1").await;
    let started_at = std::time::Instant::now();
    let calls = (0..50).map(|number| {
        let request = instance.request("/once/a", &format!("cold-{number}"));
        tokio::spawn(send_request(request))
    });
    let calls: Vec<_> = calls.collect();
    let mut served = 0_u32;
    for call in calls {
        let answer = call.await.expect("answered");
        if answer.status == 200 {
            served += 1;
        } else {
            assert_eq!(answer.status, 503);
            assert!(answer.retry_after.is_some());
        }
    }
    // The bound grows with the elapsed time, so it also holds on a slow machine.
    let max_served = SUSTAINABLE_PER_S * (started_at.elapsed().as_secs_f64() + 1.0);
    assert!(
        served >= 1 && f64::from(served) <= max_served,
        "{served} calls served, at most {max_served} expected"
    );
}

/// Guards against an instance that takes the whole rate of cold endpoints because it knows nobody
/// yet with whom it shares them.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_cold_members_unknown_refused_until_they_are_known() {
    let site = RoutedSite::start(0).await;
    site.standin.publish_with_cold_start(3, 60.0, 4.0);
    let cold = start_cold_app(&site).await;
    let members_topic = StoreFault::BusyTopic("keyed.status");
    site.standin.store.set_fault(members_topic);
    let instance = site.start_instance("n1").await;
    for number in 0..4 {
        let answer = instance.call("/once/a", &format!("early-{number}")).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
    }
    assert_eq!(cold.request_count(), 0);
    site.standin.store.set_fault(StoreFault::None);
    let mut attempts = 0;
    wait_until("served once the members are known", async || {
        attempts += 1;
        let answer = instance.call("/once/a", &format!("later-{attempts}")).await;
        answer.status == 200
    })
    .await;
}

/// Once a response shows that another endpoint now serves the address, later calls are not sent to
/// the replaced endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn engine_replaced_at_its_address_called_at_most_once() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    let replaced = site
        .standin
        .start_unlisted_server("llm", larkwick::standin::site::server::ServerKind::Engine);
    let replaced = replaced.await.expect("server starts");
    replaced.set_fault(ServerFault::Misdirects);
    site.standin.list_server(&replaced, "ready");
    let instance = site.start_instance("n1").await;
    wait_for_availability(&instance, &replaced, "ready").await;
    for number in 0..8 {
        let answer = send_request(instance.generation(2, &format!("g{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(engine.request_count(), 8);
    assert!(
        replaced.request_count() <= 1,
        "{} requests to the replaced engine",
        replaced.request_count()
    );
}
