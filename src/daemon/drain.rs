//! Planned stop of an instance, which aborts no request.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use spdlog::info;

use super::member_loop::{send_heartbeats, sync_instance_list};
use super::node::{Node, Phase};
use crate::kernel::membership::PEER_HEARTBEAT_TIMEOUT;
use crate::settings::ms;

const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The stop is complete after this long without a request in flight.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

/// An instance that callers may use, with the ticket that a request to run at most once needs.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Entry {
    pub(crate) address: String,
    pub(crate) instance: String,
    pub(crate) hall: String,
    pub(crate) ticket: String,
}

impl Node {
    /// Returns the instances that callers may use, in random order but those of this hall first.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        use rand::seq::SliceRandom;
        let now = self.now();
        let mut entries: Vec<Entry> = {
            let members = self.members.lock();
            let live = members.live(&self.settings.hall, now).map(|peer| {
                let status = &peer.status;
                let ticket = crate::kernel::ticket::Ticket {
                    instance: status.incarnation.name.clone(),
                    incarnation: status.incarnation.id,
                    epoch: status.ticket_epoch,
                };
                Entry {
                    address: status.caller_address.clone(),
                    instance: status.incarnation.name.clone(),
                    hall: status.hall.clone(),
                    ticket: ticket.to_string(),
                }
            });
            live.collect()
        };
        if self.drain_state.phase() == Phase::Serving && !self.is_standing_down() {
            let status = self.own_status();
            entries.push(Entry {
                address: status.caller_address,
                instance: status.incarnation.name,
                hall: status.hall,
                ticket: self.idempotency.issue_ticket().to_string(),
            });
        }
        entries.shuffle(&mut rand::rng());
        entries.sort_by_key(|entry| entry.hall != self.settings.hall);
        entries
    }

    /// Returns the caller addresses of the other instances, those of this hall first.
    pub(crate) fn other_entry_addresses(&self) -> Vec<String> {
        let own = &self.incarnation.name;
        let entries = self.entries().into_iter();
        entries
            .filter(|entry| entry.instance != *own)
            .map(|entry| entry.address)
            .collect()
    }
}

/// Waits until no request has been in flight for [`IDLE_PERIOD`].
///
/// Returns `false` if that does not happen within `timeout`.
async fn wait_idle(node: &Node, timeout: Duration) -> bool {
    let deadline = node.now() + timeout;
    let mut idle_since = None;
    while node.now() < deadline {
        if node.drain_state.active_requests() == 0 {
            let since = *idle_since.get_or_insert(node.now());
            if node.now().saturating_sub(since) >= IDLE_PERIOD {
                return true;
            }
        } else {
            idle_since = None;
        }
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    false
}

/// Runs a planned stop to its end.
///
/// First, the platform and the peers are notified, so that this instance is no longer listed as an
/// entry. It still serves new requests until every response of `/v1/entries` that lists it has
/// expired. Then streams get a limited time to finish; those that do not are moved to other
/// entries.
pub(crate) async fn run(node: Arc<Node>) {
    if !node.drain_state.advance_to(Phase::Leaving) {
        return;
    }
    info!("planned stop started", kv: { active = node.drain_state.active_requests() });
    node.release_lease().await;
    sync_instance_list(&node).await;
    send_heartbeats(&node);
    let entries_valid_for = ms(node.settings.times.entries_valid_ms) + PEER_HEARTBEAT_TIMEOUT;
    tokio::time::sleep(entries_valid_for).await;
    if !wait_idle(&node, ms(node.settings.times.drain_streams_ms)).await {
        node.drain_state.advance_to(Phase::Moving);
        info!("planned stop: moving open streams to other entries", kv: {
            active = node.drain_state.active_requests(),
        });
        // Responses that are not streamed cannot be moved, so wait until they are complete.
        while !wait_idle(&node, Duration::from_mins(1)).await {
            info!("planned stop: waiting for requests in flight", kv: {
                active = node.drain_state.active_requests(),
            });
        }
    }
    node.drain_state.advance_to(Phase::Stopped);
    info!("planned stop complete");
}
