//! Takes up what endpoints say of themselves in their answers: once, where answers are read, whichever call they belong to.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::sync::Notify;

use super::heartbeat;
use super::message_heads::ResponseHead;
use super::node::Gateway;
use super::permits::PermitDesk;
use super::store_follower::log_fleet_changes;
use crate::kernel::clock::{Clock, millis};
use crate::kernel::cooldown::EndpointCooldowns;
use crate::kernel::fleet::{Fleet, FleetChange};
use crate::kernel::limit::LimitSignal;

/// What endpoints say of themselves, on its way to whom it concerns.
pub(crate) struct EndpointWords {
    clock: Arc<dyn Clock>,
    fleet: Arc<Mutex<Fleet>>,
    /// Endpoints that asked this instance for rest. No other lock is taken while it is held.
    pub(super) rests: Mutex<EndpointCooldowns>,
    /// What endpoints take from all instances together.
    pub(super) permits: Arc<PermitDesk>,
    /// Wakes the task that tells the owners and the members of endpoints that leave, and of limits.
    news: Notify,
    /// Wakes it to tell the owners of endpoints that rest.
    rested: Notify,
}

impl EndpointWords {
    pub(crate) fn new(clock: Arc<dyn Clock>, fleet: Arc<Mutex<Fleet>>) -> Self {
        Self {
            permits: Arc::new(PermitDesk::new(clock.clone())),
            clock,
            fleet,
            rests: Mutex::default(),
            news: Notify::new(),
            rested: Notify::new(),
        }
    }

    /// Takes the word in the head of an answer to a request that was sent then, on a connection to a start of an endpoint.
    pub(crate) fn take(&self, endpoint: &str, head: &ResponseHead, sent_at: Duration) {
        if head.misdirected {
            // Another endpoint answers, and does not say which start of it: its word is nobody's here.
            return;
        }
        if head.signals.draining {
            self.told_leaving(endpoint, "answer");
        }
        if let Some(rest) = head.signals.cooldown {
            self.told_rest(endpoint, rest);
        }
        if head.signals.limit != LimitSignal::Absent || head.request_id.is_some() {
            // What shows no sign of the endpoint's own answers does not end a limit.
            self.told_limit(endpoint, head.signals.limit, sent_at);
        }
    }

    fn told_limit(&self, endpoint: &str, word: LimitSignal, sent_at: Duration) {
        if self.permits.take_word(endpoint, word, sent_at) {
            self.tell_limits();
        }
    }

    /// Has members told of limits that began or ended.
    pub(super) fn tell_limits(&self) {
        self.news.notify_one();
    }

    fn told_rest(&self, endpoint: &str, rest: Duration) {
        let now = self.clock.now();
        let is_news = self.rests.lock().start(endpoint, rest, now);
        if is_news {
            metrics::counter!("larkwick_endpoint_rests_total").increment(1);
            if crate::log::should_log("endpoint asks for rest") {
                info!("endpoint asks for rest", kv: { endpoint, rest_ms: = millis(rest) });
            }
            self.rested.notify_one();
        }
    }

    /// An endpoint itself said that it leaves; `source` tells where.
    pub(crate) fn told_leaving(&self, endpoint: &str, source: &'static str) {
        let now = self.clock.now();
        let change = self.fleet.lock().record_drain_notice(endpoint, now);
        if let Some(change) = change {
            info!("endpoint says that it leaves", kv: { endpoint, source });
            self.tell(&[change]);
        }
    }

    fn tell(&self, changes: &[FleetChange]) {
        metrics::counter!("larkwick_endpoints_told_leaving_total").increment(changes.len() as u64);
        log_fleet_changes(changes);
        self.news.notify_one();
    }
}

impl Gateway {
    /// Takes what a member tells of endpoints that leave.
    pub(crate) fn take_leaving_endpoints(&self, news: &[u64]) {
        let now = self.now();
        let changes = self.fleet.lock().apply_drain_notices(news, now);
        if !changes.is_empty() {
            self.words.tell(&changes);
        }
    }
}

/// Tells the owners and the members what endpoints said, for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    tokio::join!(tell_owners(&gateway), tell_members(&gateway));
}

/// Owners hear of rests with the next report.
async fn tell_owners(gateway: &Gateway) {
    loop {
        gateway.words.rested.notified().await;
        gateway.ledgers.runs_changed.notify_one();
    }
}

async fn tell_members(gateway: &Arc<Gateway>) {
    loop {
        gateway.words.news.notified().await;
        gateway.ledgers.wake_coordinator();
        // Generations at an engine that leaves are reported before they are moved.
        gateway.ledgers.runs_changed.notify_one();
        // Two that speak within a moment are both told before the next turn.
        if let Some(due_at) = heartbeat::beat_soon(gateway) {
            gateway.sleep_until(due_at).await;
            heartbeat::beat_soon(gateway);
        }
    }
}
