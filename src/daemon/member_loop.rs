//! Sends heartbeats to peers, reads the instance list of the platform and propagates departures.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use spdlog::{info, warn};

use super::config_loop;
use super::node::Node;
use crate::kernel::clock::millis;
use crate::kernel::gossip::Gossip;
use crate::kernel::membership::{Incarnation, ListedPeer, PeerStatus};
use crate::log_service::ListedInstance;
use crate::peer::client::call_with_timeout;
use crate::peer::convert::InvalidMessageField;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Timeout of one heartbeat to a peer, including its reply.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Heartbeats include departures recorded within this period.
const DEPARTURE_GOSSIP_PERIOD: Duration = Duration::from_secs(30);

/// Builds the heartbeat for the peer named `to`.
pub(crate) fn build_heartbeat(node: &Node, to: &str) -> wire::Beat {
    let since = node.now().saturating_sub(DEPARTURE_GOSSIP_PERIOD);
    let (departures, gossip) = {
        let mut members = node.members.lock();
        let recent = members.departures.recorded_since(since);
        let departures = recent.map(wire::Incarnation::from).collect();
        let gossip = members.gossip_for(&node.incarnation, &node.settings.hall, to, node.now());
        (departures, gossip)
    };
    let heartbeat = wire::Beat {
        suspects: Vec::new(),
        leaving_endpoints: Vec::new(),
        limits: Vec::new(),
        config_confirmed_ms_ago: millis(node.config.confirmed_ago(node.now())),
        status: Some((&node.own_status()).into()),
        departures,
        gossip: Some(gossip.into()),
        evacuated: None,
    };
    let bytes = u64::try_from(heartbeat.encoded_len()).unwrap_or(u64::MAX);
    metrics::counter!("larkwick_beats_total").increment(1);
    metrics::counter!("larkwick_beat_bytes_total").increment(bytes);
    heartbeat
}

/// Applies the reply of a peer to a heartbeat that was sent at `sent_at`.
///
/// If the peer has the same configuration, the reply confirms it as of when the log last did so for
/// the peer. A peer that is behind confirms nothing, and neither do the heartbeats that peers send:
/// how long they were in transit is not known.
fn handle_reply(
    node: &Arc<Node>,
    reply: wire::Beat,
    sent_at: Duration,
) -> Result<(), InvalidMessageField> {
    let confirmed_ago = Duration::from_millis(reply.config_confirmed_ms_ago);
    let peer_next_offset = reply
        .status
        .as_ref()
        .map(|status| status.config_next_offset);
    handle_heartbeat(node, reply)?;
    if peer_next_offset == Some(node.config.next_offset()) {
        let confirmed_at = sent_at.saturating_sub(confirmed_ago);
        node.config.record_confirmation(confirmed_at);
    }
    Ok(())
}

/// Applies a heartbeat from a peer and returns the name of that peer.
///
/// If the peer has newer configuration, a task is started that fetches it.
pub(crate) fn handle_heartbeat(
    node: &Arc<Node>,
    heartbeat: wire::Beat,
) -> Result<String, InvalidMessageField> {
    let status: PeerStatus = heartbeat
        .status
        .ok_or(InvalidMessageField("status"))?
        .try_into()?;
    let now = node.now();
    let mut departed = Vec::new();
    for incarnation in heartbeat.departures {
        departed.push(Incarnation::try_from(incarnation)?);
    }
    let gossip: Gossip = heartbeat.gossip.unwrap_or_default().into();
    let name = status.incarnation.name.clone();
    let peer_next_offset = status.config_next_offset;
    let peer_address = status.peer_address.clone();
    {
        let mut members = node.members.lock();
        members.receive_heartbeat(&node.incarnation, status, &gossip, now);
        for incarnation in &departed {
            if members.departures.record(incarnation, now) {
                info!("departure learned from a peer", kv: { name = incarnation.name.as_str() });
            }
        }
    }
    let own_next_offset = node.config.next_offset();
    if peer_next_offset > own_next_offset {
        let node = node.clone();
        tokio::spawn(async move {
            if let Err(status) = config_loop::fetch_from_peer(&node, &peer_address).await {
                warn!("configuration not taken from peer: {}", status.message());
            }
        });
    }
    Ok(name)
}

/// Records that an endpoint or instance is leaving.
///
/// Peers receive the departure with the next heartbeats.
pub(crate) fn record_departure(node: &Node, incarnation: &Incarnation) {
    let now = node.now();
    if node.members.lock().departures.record(incarnation, now) {
        metrics::counter!("larkwick_departures_total").increment(1);
        info!("departure learned", kv: { name = incarnation.name.as_str() });
    }
}

/// Sends a heartbeat to the peer `to` and applies the one in its reply.
async fn send_heartbeat(node: Arc<Node>, to: String, address: String) {
    let Ok(mut client) = node.peers.peer_client(&address) else {
        return;
    };
    let sent_at = node.now();
    if let Ok(reply) = call_with_timeout(
        HEARTBEAT_TIMEOUT,
        client.heartbeat(build_heartbeat(&node, &to)),
    )
    .await
        && let Err(error) = handle_reply(&node, reply, sent_at)
    {
        warn!("invalid heartbeat reply: {}", error);
    }
}

/// Sends one round of heartbeats and drops the clients of peers that are no longer known.
pub(crate) fn send_heartbeats(node: &Arc<Node>) {
    let mut members = node.members.lock();
    for name in members.heartbeat_targets(&node.incarnation, &node.settings.hall, node.now()) {
        if let Some(peer) = members.get(&name) {
            let address = peer.status.peer_address.clone();
            tokio::spawn(send_heartbeat(node.clone(), name, address));
        }
    }
    let known_addresses: BTreeSet<&str> = members
        .all()
        .map(|peer| peer.status.peer_address.as_str())
        .collect();
    node.peers
        .retain(|address| known_addresses.contains(address));
}

/// Sends heartbeats periodically until the node stops.
pub(crate) async fn run_heartbeats(node: Arc<Node>) {
    let interval = ms(node.settings.times.heartbeat_ms);
    loop {
        send_heartbeats(&node);
        tokio::time::sleep(interval).await;
    }
}

/// Applies the platform's list of instances and endpoints.
///
/// Entries without a status are endpoints.
fn apply_instance_list(node: &Node, list: Vec<ListedInstance>) {
    for listed in list.iter().filter(|listed| listed.leaving) {
        record_departure(node, &listed.incarnation);
    }
    for listed in list.iter().filter(|listed| listed.status.is_none()) {
        node.endpoints
            .record_listed_incarnation(&listed.incarnation);
    }
    let instances: Vec<ListedPeer> = list
        .into_iter()
        .filter_map(|listed| listed.status.map(|status| ListedPeer { status }))
        .collect();
    let now = node.now();
    let own_name = node.incarnation.name.as_str();
    let mut members = node.members.lock();
    members.apply_list(&instances, own_name, now);
    members.departures.expire(now);
}

/// Announces this instance to the platform, then reads and applies the platform's list.
pub(crate) async fn sync_instance_list(node: &Node) {
    let status = node.own_status();
    let own = ListedInstance {
        incarnation: node.incarnation.clone(),
        leaving: status.leaving,
        status: Some(status),
    };
    if let Err(error) = node.platform.instances.announce(&own).await {
        metrics::counter!("larkwick_list_failures_total").increment(1);
        spdlog::debug!("cannot announce this instance to the platform: {}", error);
        return;
    }
    if let Ok(list) = node.platform.instances.list().await {
        apply_instance_list(node, list);
    }
}

/// Announces this instance and reads the list periodically until the node stops.
pub(crate) async fn run_instance_list(node: Arc<Node>) {
    let interval = ms(node.settings.times.list_poll_ms);
    loop {
        sync_instance_list(&node).await;
        tokio::time::sleep(interval).await;
    }
}

/// Advances the ticket epoch periodically until the node stops.
pub(crate) async fn run_ticket_epochs(node: Arc<Node>) {
    let interval = ms(node.settings.times.ticket_epoch_ms);
    loop {
        tokio::time::sleep(interval).await;
        node.idempotency.advance_epoch();
    }
}
