//! Heartbeats between instances, the platform's list, and departures passed on.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use rand::seq::IteratorRandom;
use spdlog::{info, warn};

use super::config_loop;
use super::node::Node;
use crate::kernel::membership::{Incarnation, Listed, Peer, PeerStatus, Suspicion};
use crate::log_service::ListedInstance;
use crate::peer::client::within;
use crate::peer::convert::BadField;
use crate::peer::generated as wire;
use crate::settings::ms;

const BEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Peers told in each round besides those watched; at a small site all are told.
const FANOUT: usize = 2;
/// Departures are passed on for this long.
const DEPARTURES_PASSED_ON: Duration = Duration::from_secs(30);

/// What this instance tells its peers.
pub(crate) fn own_beat(node: &Node) -> wire::Beat {
    let since = node.now().saturating_sub(DEPARTURES_PASSED_ON);
    let (departures, suspicions) = {
        let mut members = node.members.lock();
        let recent = members.departures.recent(since);
        let departures = recent.map(wire::Incarnation::from).collect();
        let suspicions = members.suspicions(&node.incarnation, &node.settings.hall, node.now());
        (departures, suspicions)
    };
    let beat = wire::Beat {
        status: Some((&node.status()).into()),
        departures,
        suspicions: suspicions.into_iter().map(wire::Suspicion::from).collect(),
    };
    let bytes = u64::try_from(beat.encoded_len()).unwrap_or(u64::MAX);
    metrics::counter!("larkwick_beats_total").increment(1);
    metrics::counter!("larkwick_beat_bytes_total").increment(bytes);
    beat
}

/// Takes what a peer tells.
pub(crate) fn take_beat(node: &Arc<Node>, beat: wire::Beat) -> Result<(), BadField> {
    let status: PeerStatus = beat.status.ok_or(BadField("status"))?.try_into()?;
    let now = node.now();
    let mut departed = Vec::new();
    for incarnation in beat.departures {
        departed.push(Incarnation::try_from(incarnation)?);
    }
    let suspicions: Vec<Suspicion> = beat.suspicions.into_iter().map(Suspicion::from).collect();
    let peer_next_offset = status.config_next_offset;
    let peer_address = status.peer_address.clone();
    {
        let mut members = node.members.lock();
        members.heard(status, now);
        members.take_suspicions(&suspicions, now);
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
    Ok(())
}

/// Records that an endpoint or instance is leaving; peers learn it with the next heartbeats.
pub(crate) fn record_departure(node: &Node, incarnation: &Incarnation) {
    let now = node.now();
    if node.members.lock().departures.record(incarnation, now) {
        metrics::counter!("larkwick_departures_total").increment(1);
        info!("departure learned", kv: { name = incarnation.name.as_str() });
    }
}

async fn beat(node: Arc<Node>, address: String) {
    let Ok(mut client) = node.peers.to(&address) else {
        return;
    };
    if let Ok(reply) = within(BEAT_TIMEOUT, client.heartbeat(own_beat(&node))).await
        && let Err(bad) = take_beat(&node, reply)
    {
        warn!("heartbeat not read: {}", bad);
    }
}

/// Peer addresses to send heartbeats to in one round: all of a small site; else the watched ones and a random few of the hall.
fn told(node: &Node) -> Vec<String> {
    let members = node.members.lock();
    let address = |peer: &Peer| peer.status.peer_address.clone();
    if members.is_small_site() {
        return members.all().map(address).collect();
    }
    let hall = &node.settings.hall;
    let watched = members.watched(&node.incarnation.name, hall);
    let watched = watched.iter().filter_map(|name| members.get(name));
    let in_hall = members.all().filter(|peer| peer.status.hall == *hall);
    let others = in_hall.sample(&mut rand::rng(), FANOUT);
    watched.chain(others).map(address).collect()
}

/// Sends heartbeats now.
pub(crate) fn beat_round(node: &Arc<Node>) {
    for address in told(node) {
        tokio::spawn(beat(node.clone(), address));
    }
    let members = node.members.lock();
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
    let instances: Vec<Listed> = list
        .into_iter()
        .filter_map(|listed| listed.status.map(|status| Listed { status }))
        .collect();
    let now = node.now();
    let own_name = node.incarnation.name.as_str();
    let mut members = node.members.lock();
    members.listed(&instances, own_name, now);
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
