//! An instance in this process whose clock a test puts forward, as a suspension of its machine does: the clock has gone on, and timers have not. No
//! process is suspended: that takes rights that tests do not have.

use std::sync::Arc;
use std::time::Duration;

use larkwick::Settings;
use larkwick::gateway::app::GatewayApp;
use larkwick::kernel::clock::{Clock, SystemClock};
use parking_lot::Mutex;
use serde_json::json;

use super::site::{Caller, RoutedSite, until};

/// The system's clock, and the time for which the machine was suspended.
#[derive(Default)]
pub struct SuspendedClock {
    system: SystemClock,
    suspended: Mutex<Duration>,
}

impl SuspendedClock {
    pub fn suspend(&self, by: Duration) {
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

/// An instance with such a clock.
pub struct Suspendable {
    /// Absent once it was ended.
    app: Mutex<Option<GatewayApp>>,
    caller: Caller,
    pub clock: Arc<SuspendedClock>,
}

impl Suspendable {
    /// Starts one and waits until it takes callers.
    pub async fn start(site: &RoutedSite, name: &str) -> Self {
        let any = "127.0.0.1:0";
        let settings = json!({
            "instance": name, "hall": "hall-1", "caller_address": any, "operator_address": any, "peer_address": any,
            "times": {"heartbeat_ms": 100},
            "routing": {
                "ready_address": any, "directory_address": any, "store_address": site.store_seen(),
                "processor_cores": 0.25, "directory_valid_ms": 500, "stop_within_s": 8, "retry_share": 0.2, "retry_slack": 60, "retry_window_s": 0.0,
            },
        });
        let settings: Settings = serde_json::from_value(settings).expect("settings");
        let clock = Arc::new(SuspendedClock::default());
        let app = GatewayApp::start_with_clock(settings, None, clock.clone()).await;
        let app = app.expect("instance starts");
        until("ready", async || app.is_ready()).await;
        let caller = Caller::new(app.caller_address(), app.operator_address());
        Self {
            app: Mutex::new(Some(app)),
            caller,
            clock,
        }
    }

    pub fn caller(&self) -> Caller {
        self.caller.clone()
    }

    /// Ends it at once; its tasks would else run on in this process.
    pub async fn end(&self) {
        let app = self.app.lock().take();
        if let Some(app) = app {
            app.abort().await;
        }
    }
}
