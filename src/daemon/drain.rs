//! A planned stop: no request is cut.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use spdlog::info;

use super::member_loop::{beat_round, list_round};
use super::node::{Node, Phase};
use crate::kernel::membership::PEER_HEARTBEAT_TIMEOUT;
use crate::settings::ms;

const CHECK_EVERY: Duration = Duration::from_millis(50);
/// Time with nothing in flight after which the stop is complete.
const QUIET: Duration = Duration::from_millis(500);

/// An address for callers, with what a once-only request needs.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Entry {
    pub(crate) address: String,
    pub(crate) instance: String,
    pub(crate) hall: String,
    pub(crate) ticket: String,
}

impl Node {
    /// Addresses that callers may use, this hall's first.
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
        if self.work.phase() == Phase::Serving && !self.stands_down() {
            let status = self.status();
            entries.push(Entry {
                address: status.caller_address,
                instance: status.incarnation.name,
                hall: status.hall,
                ticket: self.once.ticket().to_string(),
            });
        }
        entries.shuffle(&mut rand::rng());
        entries.sort_by_key(|entry| entry.hall != self.settings.hall);
        entries
    }

    /// Addresses of other instances.
    pub(crate) fn other_entries(&self) -> Vec<String> {
        let own = &self.incarnation.name;
        let entries = self.entries().into_iter();
        entries
            .filter(|entry| entry.instance != *own)
            .map(|entry| entry.address)
            .collect()
    }
}

async fn wait_idle(node: &Node, limit: Duration) -> bool {
    let give_up = node.now() + limit;
    let mut idle_since = None;
    while node.now() < give_up {
        if node.work.active() == 0 {
            let since = *idle_since.get_or_insert(node.now());
            if node.now().saturating_sub(since) >= QUIET {
                return true;
            }
        } else {
            idle_since = None;
        }
        tokio::time::sleep(CHECK_EVERY).await;
    }
    false
}

/// Runs a planned stop to its end.
///
/// Peers and platform are told; this instance is named to nobody any more, but serves whoever still comes until every answer
/// of `/v1/entries` that names it has run out; then streams may end, and those that do not are moved.
pub(crate) async fn run(node: Arc<Node>) {
    if !node.work.enter(Phase::Leaving) {
        return;
    }
    info!("planned stop begins", kv: { active = node.work.active() });
    node.release_lease().await;
    list_round(&node).await;
    beat_round(&node);
    let answers_run_out = ms(node.settings.times.entries_valid_ms) + PEER_HEARTBEAT_TIMEOUT;
    tokio::time::sleep(answers_run_out).await;
    if !wait_idle(&node, ms(node.settings.times.drain_streams_ms)).await {
        node.work.enter(Phase::Moving);
        info!("streams are moved", kv: { active = node.work.active() });
        // Whole answers cannot be moved; they end by themselves.
        while !wait_idle(&node, Duration::from_mins(1)).await {
            info!("planned stop waits", kv: { active = node.work.active() });
        }
    }
    node.work.enter(Phase::Stopped);
    info!("planned stop complete");
}
