//! An instance whose machine was suspended: the clock has gone on, and timers have not. What had to be over by then is over once it runs again.

mod support;

use std::time::Duration;

use larkwick::standin::site::KEY;
use larkwick::standin::site::server::ServerFault;
use reqwest::RequestBuilder;
use serde_json::json;
use support::site::{RoutedSite, answered, until};
use support::suspension::Suspendable;

/// Far above the patience of these tests: an answer that comes came because the clock was looked at.
const WAITS_FOR: Duration = Duration::from_mins(10);
/// Longer than any caller waits.
const SUSPENDED: Duration = Duration::from_mins(15);

fn request(instance: &Suspendable, path: &str, id: &str) -> RequestBuilder {
    let waits_for_ms = WAITS_FOR.as_millis().to_string();
    let request = instance.caller().request_within(path, id, &waits_for_ms);
    request
        .header("larkwick-model", "m")
        .header("larkwick-token-count", "1000,8")
}

/// A configuration whose routes let callers wait for long.
async fn patient_site(apps: usize) -> RoutedSite {
    let site = RoutedSite::start(apps).await;
    let mut config = site.standin.usual_config(3, &[KEY]);
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes {
        route["timeout-ms"] = json!(WAITS_FOR.as_millis());
        route["goal-ms"] = json!(WAITS_FOR.as_millis());
    }
    site.standin.publish_value(&config);
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn call_suspended_past_its_deadline_answered_as_late() {
    let site = patient_site(1).await;
    site.apps[0].set_fault(ServerFault::RunsAndHangs);
    let instance = Suspendable::start(&site, "n1").await;
    let calling = tokio::spawn(answered(request(&instance, "/once/1", "c1")));
    until("sent", async || site.apps[0].requests() == 1).await;
    instance.clock.suspend(SUSPENDED);
    until("answered", async || calling.is_finished()).await;
    let answer = calling.await.expect("answered");
    assert_eq!(answer.status, 504, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_suspended_past_its_deadline_answered_as_late() {
    let site = patient_site(0).await;
    let engine = site.engine().await;
    engine.set_fault(ServerFault::RunsAndHangs);
    let instance = Suspendable::start(&site, "n1").await;
    let calling = tokio::spawn(answered(request(&instance, "/chat/2", "g1")));
    until("sent", async || engine.requests() == 1).await;
    instance.clock.suspend(SUSPENDED);
    until("answered", async || calling.is_finished()).await;
    let answer = calling.await.expect("answered");
    assert_eq!(answer.status, 504, "{answer:?}");
}

/// Nothing is sent for a caller whose time is over, however late that is seen.
#[tokio::test(flavor = "multi_thread")]
async fn generation_suspended_while_it_waits_for_room_not_sent() {
    let site = patient_site(0).await;
    let instance = Suspendable::start(&site, "n1").await;
    let calling = tokio::spawn(answered(request(&instance, "/chat/2", "g2")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    instance.clock.suspend(SUSPENDED);
    let engine = site.engine().await;
    until("answered", async || calling.is_finished()).await;
    let answer = calling.await.expect("answered");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(engine.requests(), 0);
}
