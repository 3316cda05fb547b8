//! An instance whose machine was suspended: the clock has gone on, and timers have not. What had to be over by then is over once it runs again.
//!
//! The instance runs in this process by a clock that a test puts forward. No process is suspended: that takes rights that tests do not have.

mod support;

use std::sync::Arc;
use std::time::Duration;

use larkwick::Settings;
use larkwick::gateway::app::GatewayApp;
use larkwick::kernel::clock::{Clock, SystemClock};
use larkwick::standin::site::server::ServerFault;
use larkwick::standin::site::{HOST, KEY};
use parking_lot::Mutex;
use reqwest::RequestBuilder;
use serde_json::json;
use support::site::{RoutedSite, answered, until};

/// Far above the patience of these tests: an answer that comes came because the clock was looked at.
const WAITS_FOR: Duration = Duration::from_mins(10);
/// Longer than any caller waits.
const SUSPENDED: Duration = Duration::from_mins(15);

/// The system's clock, and the time for which the machine was suspended.
#[derive(Default)]
struct SuspendedClock {
    system: SystemClock,
    suspended: Mutex<Duration>,
}

impl SuspendedClock {
    fn suspend(&self, by: Duration) {
        *self.suspended.lock() += by;
    }
}

impl Clock for SuspendedClock {
    fn now(&self) -> Duration {
        self.system.now() + self.suspended()
    }

    fn suspended(&self) -> Duration {
        *self.suspended.lock()
    }

    fn unix_time(&self) -> Duration {
        self.system.unix_time() + self.suspended()
    }
}

struct Suspendable {
    app: GatewayApp,
    clock: Arc<SuspendedClock>,
}

impl Suspendable {
    async fn start(site: &RoutedSite) -> Self {
        let any = "127.0.0.1:0";
        let settings = json!({
            "instance": "n1", "hall": "hall-1", "caller_address": any, "operator_address": any, "peer_address": any,
            "routing": {
                "ready_address": any, "directory_address": any, "store_address": site.standin.store_address(),
                "processor_cores": 0.25, "directory_valid_ms": 500, "stop_within_s": 8, "retry_share": 0.2, "retry_slack": 60,
            },
        });
        let settings: Settings = serde_json::from_value(settings).expect("settings");
        let clock = Arc::new(SuspendedClock::default());
        let app = GatewayApp::start_by_clock(settings, None, clock.clone()).await;
        let app = app.expect("instance starts");
        until("ready", async || app.is_ready()).await;
        Self { app, clock }
    }

    fn request(&self, path: &str, id: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.app.caller_address());
        reqwest::Client::new()
            .post(url)
            .header("host", HOST)
            .header("api-key", KEY)
            .header("larkwick-request-id", id)
            .header("larkwick-deadline-ms", WAITS_FOR.as_millis().to_string())
            .header("larkwick-model", "m")
            .header("larkwick-token-count", "1000,8")
            .body("hello")
    }
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
    let instance = Suspendable::start(&site).await;
    let calling = tokio::spawn(answered(instance.request("/once/1", "c1")));
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
    let instance = Suspendable::start(&site).await;
    let calling = tokio::spawn(answered(instance.request("/chat/2", "g1")));
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
    let instance = Suspendable::start(&site).await;
    let calling = tokio::spawn(answered(instance.request("/chat/2", "g2")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    instance.clock.suspend(SUSPENDED);
    let engine = site.engine().await;
    until("answered", async || calling.is_finished()).await;
    let answer = calling.await.expect("answered");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(engine.requests(), 0);
}
