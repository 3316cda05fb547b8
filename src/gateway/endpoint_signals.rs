//! Handles the signals that endpoints send about themselves in response headers: draining, cooldown
//! and rate limit. Called once per response, wherever it is read and whichever call it belongs to.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::sync::Notify;

use super::heartbeat;
use super::message_heads::ResponseHead;
use super::node::Gateway;
use super::permits::EndpointPermits;
use super::store_follower::log_fleet_changes;
use crate::kernel::clock::{Clock, millis};
use crate::kernel::cooldown::EndpointCooldowns;
use crate::kernel::fleet::{Fleet, FleetChange};
use crate::kernel::limit::LimitSignal;

/// Records endpoint signals, and wakes the tasks that notify owners and members of them.
pub(crate) struct EndpointSignalHandler {
    clock: Arc<dyn Clock>,
    fleet: Arc<Mutex<Fleet>>,
    /// Endpoints that requested a cooldown from this instance. No other lock is acquired while this
    /// one is held.
    pub(super) cooldowns: Mutex<EndpointCooldowns>,
    /// Limits on the sum of requests from all instances, and the permits for them.
    pub(super) permits: Arc<EndpointPermits>,
    /// Wakes the task that notifies owners and members of draining endpoints and of limits.
    updated: Notify,
    /// Wakes the task that notifies owners of endpoints in cooldown.
    cooldown_started: Notify,
}

impl EndpointSignalHandler {
    pub(crate) fn new(clock: Arc<dyn Clock>, fleet: Arc<Mutex<Fleet>>) -> Self {
        Self {
            permits: Arc::new(EndpointPermits::new(clock.clone())),
            clock,
            fleet,
            cooldowns: Mutex::default(),
            updated: Notify::new(),
            cooldown_started: Notify::new(),
        }
    }

    /// Records the signals in a response head.
    ///
    /// `endpoint` is the endpoint incarnation to which the connection was opened; `sent_at` is when
    /// the request was sent.
    pub(crate) fn record(&self, endpoint: &str, head: &ResponseHead, sent_at: Duration) {
        if head.misdirected {
            // Another endpoint answered without naming its incarnation, so that the signals cannot
            // be attributed.
            return;
        }
        if head.signals.draining {
            self.record_draining(endpoint, "answer");
        }
        if let Some(cooldown) = head.signals.cooldown {
            self.record_cooldown(endpoint, cooldown);
        }
        if head.signals.limit != LimitSignal::Absent || head.request_id.is_some() {
            // A response without any sign that the endpoint itself produced it does not end a
            // limit.
            self.record_limit(endpoint, head.signals.limit, sent_at);
        }
    }

    fn record_limit(&self, endpoint: &str, signal: LimitSignal, sent_at: Duration) {
        if self.permits.record_signal(endpoint, signal, sent_at) {
            self.notify_limits_changed();
        }
    }

    /// Wakes the task that notifies members of limits that began or ended.
    pub(super) fn notify_limits_changed(&self) {
        self.updated.notify_one();
    }

    fn record_cooldown(&self, endpoint: &str, cooldown: Duration) {
        let now = self.clock.now();
        let has_changed = self.cooldowns.lock().start(endpoint, cooldown, now);
        if has_changed {
            metrics::counter!("larkwick_endpoint_rests_total").increment(1);
            if crate::log::should_log("endpoint asks for rest") {
                info!("endpoint asks for rest", kv: { endpoint, rest_ms: = millis(cooldown) });
            }
            self.cooldown_started.notify_one();
        }
    }

    /// Records that an endpoint announced that it drains; `source` names the channel.
    pub(crate) fn record_draining(&self, endpoint: &str, source: &'static str) {
        let now = self.clock.now();
        let change = self.fleet.lock().record_drain_notice(endpoint, now);
        if let Some(change) = change {
            info!("endpoint says that it leaves", kv: { endpoint, source });
            self.publish_draining(&[change]);
        }
    }

    fn publish_draining(&self, changes: &[FleetChange]) {
        metrics::counter!("larkwick_endpoints_told_leaving_total").increment(changes.len() as u64);
        log_fleet_changes(changes);
        self.updated.notify_one();
    }
}

impl Gateway {
    /// Applies the draining endpoints that a member reported, given by short hash.
    pub(crate) fn apply_drain_notices(&self, notices: &[u64]) {
        let now = self.now();
        let changes = self.fleet.lock().apply_drain_notices(notices, now);
        if !changes.is_empty() {
            self.endpoint_signals.publish_draining(&changes);
        }
    }
}

/// Notifies owners and members of endpoint signals for the lifetime of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    tokio::join!(notify_owners(&gateway), notify_members(&gateway));
}

/// Notifies owners of cooldowns with the next run report.
async fn notify_owners(gateway: &Gateway) {
    loop {
        gateway.endpoint_signals.cooldown_started.notified().await;
        gateway.ledgers.runs_changed.notify_one();
    }
}

async fn notify_members(gateway: &Arc<Gateway>) {
    loop {
        gateway.endpoint_signals.updated.notified().await;
        gateway.ledgers.wake_coordinator();
        // Generations on a draining engine have to be reported before they can be moved.
        gateway.ledgers.runs_changed.notify_one();
        // A second round covers updates that arrive right after the first, without waiting for the
        // regular heartbeat.
        if let Some(due_at) = heartbeat::try_send_early_heartbeats(gateway) {
            gateway.sleep_until(due_at).await;
            heartbeat::try_send_early_heartbeats(gateway);
        }
    }
}
