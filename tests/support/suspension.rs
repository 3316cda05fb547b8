//! An in-process instance with a simulated suspension of its machine.
//!
//! The test advances the instance's clock, and timers do not advance with it, as in a real
//! suspension. No process is suspended, because tests lack the privileges for that.

use std::sync::Arc;
use std::time::Duration;

use larkwick::Settings;
use larkwick::gateway::app::GatewayApp;
use larkwick::kernel::clock::{Clock, SystemClock};
use parking_lot::Mutex;
use serde_json::json;

use super::site::{Caller, RoutedSite, wait_until};

/// The system clock, advanced by the total time of simulated suspensions.
#[derive(Default)]
pub struct SuspendableClock {
    system: SystemClock,
    /// Total time of simulated suspensions.
    suspended: Mutex<Duration>,
}

impl SuspendableClock {
    /// Simulates a suspension of this length.
    pub fn suspend(&self, duration: Duration) {
        *self.suspended.lock() += duration;
    }
}

impl Clock for SuspendableClock {
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

/// An instance whose suspension can be simulated.
pub struct SuspendableInstance {
    /// `None` after [`SuspendableInstance::abort`].
    app: Mutex<Option<GatewayApp>>,
    caller: Caller,
    pub clock: Arc<SuspendableClock>,
}

impl SuspendableInstance {
    /// Starts an instance and waits until it is ready.
    pub async fn start(site: &RoutedSite, name: &str) -> Self {
        let any_address = "127.0.0.1:0";
        let settings = json!({
            "instance": name, "hall": "hall-1", "caller_address": any_address, "operator_address": any_address, "peer_address": any_address,
            "times": {"heartbeat_ms": 100},
            "routing": {
                "ready_address": any_address, "directory_address": any_address, "store_address": site.store_address_for_instances(),
                "processor_cores": 0.25, "directory_valid_ms": 500, "stop_within_s": 8, "retry_share": 0.2, "retry_slack": 60, "retry_window_s": 0.0,
            },
        });
        let settings: Settings = serde_json::from_value(settings).expect("settings");
        let clock = Arc::new(SuspendableClock::default());
        let app = GatewayApp::start_with_clock(settings, None, clock.clone()).await;
        let app = app.expect("instance starts");
        wait_until("ready", async || app.is_ready()).await;
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

    /// Aborts the instance; otherwise its tasks would continue in this process.
    pub async fn abort(&self) {
        let app = self.app.lock().take();
        if let Some(app) = app {
            app.abort().await;
        }
    }
}
