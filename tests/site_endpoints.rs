//! Which endpoints take work, through real processes to a stand-in site: halls that are emptied, endpoints that start again under their id or are
//! cold, entries that cannot be read.

mod support;

use std::sync::Arc;
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerFault, ServerKind};
use larkwick::standin::site::store::StoreMood;
use serde_json::json;
use support::site::{Instance, RoutedSite, answered, until};

/// Calls that show where calls go; with two endpoints that both take work, all at one of them is rarer than one in a billion.
const CALLS: usize = 40;

async fn two_halls() -> (RoutedSite, Arc<Server>, Arc<Server>) {
    let site = RoutedSite::start(2).await;
    let (first, second) = (site.apps[0].clone(), site.apps[1].clone());
    site.standin.list_with(&second, &json!({"zone": "hall-2"}));
    (site, first, second)
}

async fn until_standing(instance: &Instance, server: &Server, expected: &str) {
    until(expected, async || {
        instance.standing(server).await == expected
    })
    .await;
}

/// Ids of the servers on which calls ran.
async fn ran_on(site: &RoutedSite, instance: &Instance, name: &str) -> Vec<String> {
    let mut ran = Vec::new();
    for number in 0..CALLS {
        let id = format!("{name}-{number}");
        assert_eq!(instance.call("/once/a", &id).await.status, 200);
        ran.extend(site.standin.runs_of(&id));
    }
    ran.sort();
    ran.dedup();
    ran
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_hall_gets_nothing_until_it_is_taken_back() {
    let (site, first, second) = two_halls().await;
    let instance = site.instance("n1").await;
    site.standin.evacuate("hall-1");
    until_standing(&instance, &first, "evacuated").await;
    let only = [second.id.clone()];
    assert_eq!(ran_on(&site, &instance, "emptied").await, only);
    site.standin.take_back("hall-1");
    until_standing(&instance, &first, "ready").await;
    assert_eq!(ran_on(&site, &instance, "back").await.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_hall_record_unreadable_still_empties_it() {
    let (site, first, second) = two_halls().await;
    let instance = site.instance("n1").await;
    let store = &site.standin.store;
    store.put_bytes("keyed.op", "evacuate/hall-1", b"\xff{");
    until_standing(&instance, &first, "evacuated").await;
    let only = [second.id.clone()];
    assert_eq!(ran_on(&site, &instance, "emptied").await, only);
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_all_halls_refused_at_once() {
    let (site, first, second) = two_halls().await;
    let instance = site.instance("n1").await;
    site.standin.evacuate("hall-1");
    site.standin.evacuate("hall-2");
    until_standing(&instance, &first, "evacuated").await;
    until_standing(&instance, &second, "evacuated").await;
    let answer = instance.call("/once/a", "all").await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(site.standin.runs_of("all").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_hall_known_after_a_start_with_the_store_away() {
    let (site, first, second) = two_halls().await;
    let known = site.instance("n1").await;
    site.standin.evacuate("hall-1");
    until_standing(&known, &first, "evacuated").await;
    site.standin.store.set_mood(StoreMood::Busy);
    let started = site.instance_with_seeds("n2", &[&known]);
    started.until_ready().await;
    assert_eq!(started.standing(&first).await, "evacuated");
    let only = [second.id.clone()];
    assert_eq!(ran_on(&site, &started, "started").await, only);
}

/// The entry of a former life must not keep the next one out.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_started_again_under_its_id_takes_work_again() {
    let site = RoutedSite::start(1).await;
    let app = site.apps[0].clone();
    let list = |state: &str, born: u64| {
        let fields = json!({"state": state, "born": born});
        site.standin.list_with(&app, &fields);
    };
    list("ready", 1_000);
    let instance = site.instance("n1").await;
    list("draining", 1_000);
    until_standing(&instance, &app, "leaving").await;
    // Within one life it is final.
    list("ready", 1_000);
    list("ready", 2_000);
    until("again", async || {
        instance.call("/once/a", "a").await.status == 200
    })
    .await;
    // A late word of the former life changes nothing.
    list("draining", 1_000);
    let other = site.standin.server("app", ServerKind::Plain).await;
    let other = other.expect("server starts");
    until_standing(&instance, &other, "ready").await;
    assert_eq!(ran_on(&site, &instance, "late").await.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_entry_of_another_writer_not_used_and_others_hold() {
    let foreign = [
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
    let instance = site.instance("n1").await;
    for fields in foreign {
        let server = site.standin.server_unlisted("app", ServerKind::Plain).await;
        let server = server.expect("server starts");
        site.standin.list_with(&server, &fields);
    }
    let store = &site.standin.store;
    store.put_bytes("keyed.servers", "i-garbled", b"\x00\xff\xfe");
    let last = site.standin.server("app", ServerKind::Plain).await;
    let last = last.expect("server starts");
    until_standing(&instance, &last, "ready").await;
    let mut expected = vec![site.apps[0].id.clone(), last.id.clone()];
    expected.sort();
    assert_eq!(ran_on(&site, &instance, "foreign").await, expected);
    // An instance that reads the whole list takes it the same way.
    let second = site.instance("n2").await;
    until_standing(&second, &last, "ready").await;
    assert_eq!(ran_on(&site, &second, "whole").await, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_key_unknown_logged_once() {
    let site = RoutedSite::start(1).await;
    let instance = site.instance("n1").await;
    for _ in 0..3 {
        site.standin
            .store
            .put("keyed.op", "something/new", &json!({}));
    }
    until("logged", async || {
        instance.has_line("unknown on the platform")
    })
    .await;
    site.standin.publish(9, &[larkwick::standin::site::KEY]);
    until("later record read", async || {
        instance.state().await["config_version"] == 9
    })
    .await;
    let lines = instance.lines.lock().expect("lines").clone();
    let unknown = lines.iter().filter(|line| {
        line["payload"] == "unknown on the platform" && line["kv"]["name"] == "something/new"
    });
    assert_eq!(unknown.count(), 1);
}

/// While all endpoints of a service are cold, they get what they bear, and the others are told at once when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_cold_gets_no_more_than_it_bears() {
    const BEARS_PER_S: f64 = 4.0;
    let site = RoutedSite::start(0).await;
    site.standin.publish_cold(3, 60.0, BEARS_PER_S);
    let cold = site.standin.server_unlisted("app", ServerKind::Plain).await;
    let cold = cold.expect("server starts");
    site.standin
        .list_with(&cold, &json!({"cold-left-ms": 60_000}));
    let instance = site.instance("n1").await;
    let begun = std::time::Instant::now();
    let calls = (0..50).map(|number| {
        let request = instance.request("/once/a", &format!("cold-{number}"));
        tokio::spawn(answered(request))
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
    // In any second so many, however long the machine took.
    let most = BEARS_PER_S * (begun.elapsed().as_secs_f64() + 1.0);
    assert!(
        served >= 1 && f64::from(served) <= most,
        "{served} of {most} served"
    );
}

/// An answer that another endpoint is there is news: who was expected is not asked again by the next.
#[tokio::test(flavor = "multi_thread")]
async fn engine_replaced_at_its_address_asked_once() {
    let site = RoutedSite::start(0).await;
    let engine = site.engine().await;
    let gone = site
        .standin
        .server_unlisted("llm", larkwick::standin::site::server::ServerKind::Engine);
    let gone = gone.await.expect("server starts");
    gone.set_fault(ServerFault::Misdirects);
    site.standin.list(&gone, "ready");
    let instance = site.instance("n1").await;
    until_standing(&instance, &gone, "ready").await;
    for number in 0..8 {
        let answer = answered(instance.generation(2, &format!("g{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(engine.requests(), 8);
    assert!(gone.requests() <= 1, "{} asked", gone.requests());
}
