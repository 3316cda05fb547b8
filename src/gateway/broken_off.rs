//! Requests that their endpoint broke off: what was cut, and whether the endpoint is still there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::sync::OnceCell;

use super::inbound_call::Call;
use super::node::Gateway;
use super::upstream::Upstream;
use crate::kernel::clock::millis;
use crate::kernel::fingerprint::RequestFingerprint;
use crate::kernel::fleet::EndpointEntry;

/// What was found of an endpoint counts for this long: all that it broke off is cut within milliseconds, and one connection tells for all.
const LOOK_KEPT: Duration = Duration::from_secs(1);
/// Pause before an endpoint that was found is looked for again; a process closes what it had open within a few milliseconds.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(20);
/// Whoever waits for a look waits no longer than this: an endpoint that has ended refuses a connection within a round trip.
const LOOK_PATIENCE: Duration = Duration::from_millis(50);

/// Whether an endpoint that broke off an answer is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Somebody listens at its address.
    Listens,
    /// Nobody does: it has ended.
    Ended,
    /// It cannot be reached from here, or was about to leave: its end would say nothing of what ran there.
    Unknown,
}

/// A look at an endpoint, shared by all whose answers it broke off.
struct Look {
    at: Duration,
    found: Arc<OnceCell<Presence>>,
}

/// The endpoints that were looked at of late.
#[derive(Default)]
pub(crate) struct Looks {
    by_endpoint: Mutex<HashMap<String, Look>>,
}

impl Looks {
    /// Whether an endpoint is there, by one connection for all that ask within a second.
    async fn look(&self, upstream: &Upstream, endpoint: &EndpointEntry, now: Duration) -> Presence {
        let found = {
            let mut looks = self.by_endpoint.lock();
            looks.retain(|_, look| now.saturating_sub(look.at) < LOOK_KEPT);
            let look = looks.entry(endpoint.id.clone()).or_insert_with(|| Look {
                at: now,
                found: Arc::default(),
            });
            look.found.clone()
        };
        *found.get_or_init(|| look_twice(upstream, endpoint)).await
    }
}

/// An endpoint that is ending may close a connection before it stops to listen: one that was found is looked for once more.
async fn look_twice(upstream: &Upstream, endpoint: &EndpointEntry) -> Presence {
    let found = upstream.presence(endpoint).await;
    if found != Presence::Listens {
        return found;
    }
    tokio::time::sleep(LOOK_AGAIN_AFTER).await;
    upstream.presence(endpoint).await
}

/// A request that its endpoint broke off.
struct BrokenOff {
    gateway: Arc<Gateway>,
    request_id: String,
    content: RequestFingerprint,
    endpoint: EndpointEntry,
    ran_for: Duration,
}

/// Notes that an endpoint broke off a request whose first event had come that long ago; zero where none had come. Waits a moment for the look at the
/// endpoint, so that whoever sends the request again knows what was found.
pub(crate) async fn note(call: &Call, endpoint: EndpointEntry, ran_for: Duration) {
    let broken_off = BrokenOff {
        gateway: call.gateway.clone(),
        request_id: call.head.request_id.clone(),
        content: call.content(),
        endpoint,
        ran_for,
    };
    let looking = tokio::spawn(broken_off.look());
    // The look goes on without this one.
    let _ = tokio::time::timeout(LOOK_PATIENCE, looking).await;
}

impl BrokenOff {
    async fn look(self) {
        let presence = self.presence().await;
        metrics::counter!("larkwick_broken_off_total", "endpoint" => format!("{presence:?}"))
            .increment(1);
        if crate::log::admits("endpoint broke off") {
            info!("endpoint broke off", kv: {
                request_id = self.request_id.as_str(),
                content: = self.content,
                endpoint = self.endpoint.id.as_str(),
                presence:?,
                ran_for_ms: = millis(self.ran_for),
            });
        }
        if presence == Presence::Ended {
            self.tell_placers();
            self.gateway
                .note_end(self.content, &self.endpoint, self.ran_for);
        }
    }

    /// Whoever places is told at once: of 185 generations of one run twelve were offered to engines that had ended before, each at the price of a repeat.
    fn tell_placers(&self) {
        let gateway = &self.gateway;
        let EndpointEntry { id, service, .. } = &self.endpoint;
        let has_engines = gateway
            .table()
            .and_then(|table| table.service(service)?.engine)
            .is_some();
        if has_engines {
            gateway.runs.note_not_taken(service, id, true);
            gateway.ledgers.changed.notify_one();
        } else {
            gateway.health.lock().record_absent(id, gateway.now());
        }
    }

    async fn presence(&self) -> Presence {
        let gateway = &self.gateway;
        let endpoint = &self.endpoint;
        // One that leaves, or whose hall is emptied, ends as it was asked to.
        if !gateway.fleet.lock().takes_work(&endpoint.id) {
            return Presence::Unknown;
        }
        let now = gateway.now();
        gateway.looks.look(&gateway.upstream, endpoint, now).await
    }
}
