//! An instance whose machine is suspended: its clock advances, but its timers do not. Deadlines
//! that passed during the suspension must take effect once the machine resumes.

mod support;

use std::time::Duration;

use larkwick::standin::site::KEY;
use larkwick::standin::site::server::ServerFault;
use reqwest::RequestBuilder;
use serde_json::json;
use support::site::{RoutedSite, send_request, wait_until};
use support::suspension::SuspendableInstance;

/// Far longer than these tests wait, so that a response arrives only if the instance checked its
/// clock.
const CALL_TIMEOUT: Duration = Duration::from_mins(10);
/// Duration of the suspension; longer than any caller waits.
const SUSPENSION: Duration = Duration::from_mins(15);

fn request(instance: &SuspendableInstance, path: &str, id: &str) -> RequestBuilder {
    let timeout_ms = CALL_TIMEOUT.as_millis().to_string();
    let request = instance
        .caller()
        .request_with_deadline(path, id, &timeout_ms);
    request
        .header("larkwick-model", "m")
        .header("larkwick-token-count", "1000,8")
}

/// Starts a site whose routes have long timeouts.
async fn site_with_long_timeouts(apps: usize) -> RoutedSite {
    let site = RoutedSite::start(apps).await;
    let mut config = site.standin.default_config(3, &[KEY]);
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes {
        route["timeout-ms"] = json!(CALL_TIMEOUT.as_millis());
        route["goal-ms"] = json!(CALL_TIMEOUT.as_millis());
    }
    site.standin.publish_config(&config);
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn call_suspended_past_deadline_times_out() {
    let site = site_with_long_timeouts(1).await;
    site.apps[0].set_fault(ServerFault::RunsAndHangs);
    let instance = SuspendableInstance::start(&site, "n1").await;
    let calling = tokio::spawn(send_request(request(&instance, "/once/1", "c1")));
    wait_until("sent", async || site.apps[0].request_count() == 1).await;
    instance.clock.suspend(SUSPENSION);
    wait_until("answered", async || calling.is_finished()).await;
    let response = calling.await.expect("answered");
    assert_eq!(response.status, 504, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_suspended_past_deadline_times_out() {
    let site = site_with_long_timeouts(0).await;
    let engine = site.start_engine().await;
    engine.set_fault(ServerFault::RunsAndHangs);
    let instance = SuspendableInstance::start(&site, "n1").await;
    let calling = tokio::spawn(send_request(request(&instance, "/chat/2", "g1")));
    wait_until("sent", async || engine.request_count() == 1).await;
    instance.clock.suspend(SUSPENSION);
    wait_until("answered", async || calling.is_finished()).await;
    let response = calling.await.expect("answered");
    assert_eq!(response.status, 504, "{response:?}");
}

/// A request is not sent after its deadline, however late that is noticed.
#[tokio::test(flavor = "multi_thread")]
async fn generation_suspended_while_queued_not_sent() {
    let site = site_with_long_timeouts(0).await;
    let instance = SuspendableInstance::start(&site, "n1").await;
    let calling = tokio::spawn(send_request(request(&instance, "/chat/2", "g2")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    instance.clock.suspend(SUSPENSION);
    let engine = site.start_engine().await;
    wait_until("answered", async || calling.is_finished()).await;
    let response = calling.await.expect("answered");
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(engine.request_count(), 0);
}
