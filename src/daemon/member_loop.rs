//! Heartbeats between instances, the platform's list, and departures passed on.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use spdlog::{info, warn};

use super::config_loop;
use super::node::Node;
use crate::kernel::gossip::Gossip;
use crate::kernel::membership::{Incarnation, ListedPeer, PeerStatus};
use crate::log_service::ListedInstance;
use crate::peer::client::call_with_timeout;
use crate::peer::convert::InvalidMessageField;
use crate::peer::generated as wire;
use crate::settings::ms;

const BEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Departures are passed on for this long.
const DEPARTURES_PASSED_ON: Duration = Duration::from_secs(30);

/// What this instance tells a peer, by name.
pub(crate) fn own_beat(node: &Node, to: &str) -> wire::Beat {
    let since = node.now().saturating_sub(DEPARTURES_PASSED_ON);
    let (departures, gossip) = {
        let mut members = node.members.lock();
        let recent = members.departures.recorded_since(since);
        let departures = recent.map(wire::Incarnation::from).collect();
        let gossip = members.gossip_for(&node.incarnation, &node.settings.hall, to, node.now());
        (departures, gossip)
    };
    let beat = wire::Beat {
        suspects: Vec::new(),
        leaving_endpoints: Vec::new(),
        limits: Vec::new(),
        status: Some((&node.status()).into()),
        departures,
        gossip: Some(gossip.into()),
        evacuated: None,
    };
    let bytes = u64::try_from(beat.encoded_len()).unwrap_or(u64::MAX);
    metrics::counter!("larkwick_beats_total").increment(1);
    metrics::counter!("larkwick_beat_bytes_total").increment(bytes);
    beat
}

/// Takes what a peer tells; gives its name.
pub(crate) fn take_beat(node: &Arc<Node>, beat: wire::Beat) -> Result<String, InvalidMessageField> {
    let status: PeerStatus = beat
        .status
        .ok_or(InvalidMessageField("status"))?
        .try_into()?;
    let now = node.now();
    let mut departed = Vec::new();
    for incarnation in beat.departures {
        departed.push(Incarnation::try_from(incarnation)?);
    }
    let gossip: Gossip = beat.gossip.unwrap_or_default().into();
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
    } else {
        config_loop::confirmed_by_peer(node);
    }
    Ok(name)
}

/// Records that an endpoint or instance is leaving; peers learn it with the next heartbeats.
pub(crate) fn record_departure(node: &Node, incarnation: &Incarnation) {
    let now = node.now();
    if node.members.lock().departures.record(incarnation, now) {
        metrics::counter!("larkwick_departures_total").increment(1);
        info!("departure learned", kv: { name = incarnation.name.as_str() });
    }
}

async fn beat(node: Arc<Node>, to: String, address: String) {
    let Ok(mut client) = node.peers.peer_client(&address) else {
        return;
    };
    if let Ok(reply) = call_with_timeout(BEAT_TIMEOUT, client.heartbeat(own_beat(&node, &to))).await
        && let Err(bad) = take_beat(&node, reply)
    {
        warn!("heartbeat not read: {}", bad);
    }
}

/// Sends heartbeats now.
pub(crate) fn beat_round(node: &Arc<Node>) {
    let mut members = node.members.lock();
    for name in members.heartbeat_targets(&node.incarnation, &node.settings.hall, node.now()) {
        if let Some(peer) = members.get(&name) {
            let address = peer.status.peer_address.clone();
            tokio::spawn(beat(node.clone(), name, address));
        }
    }
    let known: BTreeSet<&str> = members
        .all()
        .map(|peer| peer.status.peer_address.as_str())
        .collect();
    node.peers.retain(|address| known.contains(address));
}

/// Sends heartbeats for the life of the node.
pub(crate) async fn run_beats(node: Arc<Node>) {
    let every = ms(node.settings.times.heartbeat_ms);
    loop {
        beat_round(&node);
        tokio::time::sleep(every).await;
    }
}

fn take_list(node: &Node, list: Vec<ListedInstance>) {
    for listed in list.iter().filter(|listed| listed.leaving) {
        record_departure(node, &listed.incarnation);
    }
    for listed in list.iter().filter(|listed| listed.status.is_none()) {
        node.endpoints.set_listed(&listed.incarnation);
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

/// Announces this instance and reads the platform's list, once.
pub(crate) async fn list_round(node: &Node) {
    let status = node.status();
    let own = ListedInstance {
        incarnation: node.incarnation.clone(),
        leaving: status.leaving,
        status: Some(status),
    };
    if let Err(error) = node.platform.instances.announce(&own).await {
        metrics::counter!("larkwick_list_failures_total").increment(1);
        spdlog::debug!("not announced: {}", error);
        return;
    }
    if let Ok(list) = node.platform.instances.list().await {
        take_list(node, list);
    }
}

/// Reads the list for the life of the node.
pub(crate) async fn run_list(node: Arc<Node>) {
    let every = ms(node.settings.times.list_poll_ms);
    loop {
        list_round(&node).await;
        tokio::time::sleep(every).await;
    }
}

/// Advances the ticket epoch for the life of the node.
pub(crate) async fn run_epochs(node: Arc<Node>) {
    let every = ms(node.settings.times.ticket_epoch_ms);
    loop {
        tokio::time::sleep(every).await;
        node.once.advance_epoch();
    }
}
