//! Heartbeats between instances. They carry member states, configuration versions, evacuated halls,
//! crash suspects, draining endpoints and rate limits.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};

use super::catch_up;
use super::node::{Gateway, MEMBER_RING};
use crate::kernel::gossip::Gossip;
use crate::kernel::membership::{Incarnation, PeerStatus};
use crate::peer::client::call_with_timeout;
use crate::peer::convert::InvalidMessageField;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Timeout for a heartbeat. Peers are normally reachable within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Connections to peers that were not used for this long are closed. With 295 members, memory
/// peaked at 31.6 MB per instance while all connections were kept open.
const CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bound of the random offset at which a heartbeat starts its list of endpoint updates. The
/// offset ensures that every update is sent when there are more than fit into one heartbeat. The
/// bound is far above the number of endpoints of a site.
const UPDATE_OFFSET_RANGE: usize = 1 << 20;

/// Minimum interval between heartbeats sent ahead of schedule: half of the regular interval.
const EARLY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// How long departures of instances are included in heartbeats.
const DEPARTURE_GOSSIP_PERIOD: Duration = Duration::from_secs(15);

/// Builds the heartbeat for a peer, given by name.
pub(crate) fn heartbeat_for(gateway: &Gateway, to: &str) -> wire::Beat {
    with_gossip_for(gateway, to, shared_heartbeat(gateway))
}

/// Builds the part of a heartbeat that is the same for all peers.
fn shared_heartbeat(gateway: &Gateway) -> wire::Beat {
    let departures = {
        let members = gateway.members.lock();
        let since = gateway.now().saturating_sub(DEPARTURE_GOSSIP_PERIOD);
        let recent = members.departures.recorded_since(since);
        recent.map(wire::Incarnation::from).collect()
    };
    let first = rand::random_range(0..UPDATE_OFFSET_RANGE);
    let (evacuated, leaving_endpoints) = {
        let fleet = gateway.fleet.lock();
        let draining = fleet.drain_notices(first, gateway.now());
        (fleet.evacuated_halls().into(), draining)
    };
    wire::Beat {
        status: Some((&gateway.status()).into()),
        departures,
        gossip: None,
        evacuated: Some(evacuated),
        suspects: gateway.suspect_updates(),
        leaving_endpoints,
        limits: gateway.limit_updates(first),
        // Peers here take the configuration with its age, through the shared store.
        config_confirmed_ms_ago: 0,
    }
}

/// Adds the gossip for one peer to a heartbeat.
fn with_gossip_for(gateway: &Gateway, to: &str, shared: wire::Beat) -> wire::Beat {
    let gossip = {
        let mut members = gateway.members.lock();
        members.gossip_for(&gateway.incarnation, MEMBER_RING, to, gateway.now())
    };
    wire::Beat {
        gossip: Some(gossip.into()),
        ..shared
    }
}

/// Applies the heartbeat of a peer; returns its name.
///
/// # Errors
/// A field is missing or malformed.
pub(crate) fn receive_heartbeat(
    gateway: &Arc<Gateway>,
    beat: wire::Beat,
) -> Result<String, InvalidMessageField> {
    let status: PeerStatus = beat
        .status
        .ok_or(InvalidMessageField("status"))?
        .try_into()?;
    let gossip: Gossip = beat.gossip.unwrap_or_default().into();
    if let Some(evacuated) = beat.evacuated {
        gateway.merge_evacuated_halls(&evacuated.into(), "member");
    }
    gateway.apply_drain_notices(&beat.leaving_endpoints);
    gateway.apply_limit_updates(beat.limits);
    gateway.merge_suspects(beat.suspects)?;
    let departed: Result<Vec<Incarnation>, InvalidMessageField> = beat
        .departures
        .into_iter()
        .map(Incarnation::try_from)
        .collect();
    let departed = departed?;
    let peer_version = status.config_next_offset;
    let address = status.peer_address.clone();
    let name = status.incarnation.name.clone();
    let now = gateway.now();
    let (was_live, is_live, has_departed) = {
        let mut members = gateway.members.lock();
        let was_live = members.is_live(&name, MEMBER_RING, now);
        members.receive_heartbeat(&gateway.incarnation, status, &gossip, now);
        let mut has_departed = false;
        for incarnation in &departed {
            has_departed |= members.departures.record(incarnation, now);
        }
        let is_live = members.is_live(&name, MEMBER_RING, now);
        (was_live, is_live, has_departed)
    };
    if was_live != is_live || has_departed {
        gateway.live_members.invalidate();
    }
    if !was_live && is_live {
        info!("member lives", kv: { member = name.as_str() });
    }
    if peer_version > gateway.config_version() {
        catch_up::fetch_newer_config(gateway, peer_version, address);
    }
    Ok(name)
}

async fn send_heartbeat(gateway: Arc<Gateway>, address: String, heartbeat: wire::Beat) {
    let Ok(mut client) = gateway.peers.site_client(&address) else {
        return;
    };
    // A failed call needs no handling: the failure detector notices the missing heartbeats.
    if let Ok(reply) = call_with_timeout(CALL_TIMEOUT, client.heartbeat(heartbeat)).await
        && let Err(error) = receive_heartbeat(&gateway, reply)
    {
        warn!("invalid heartbeat in reply from peer: {}", error);
    }
}

/// A peer that receives a heartbeat in the current round.
struct HeartbeatTarget {
    /// Empty if only the address is known, as for seeds.
    name: String,
    address: String,
}

/// Returns the peers to send heartbeats to in this round, or the seeds if no peer is known yet.
fn heartbeat_targets(gateway: &Gateway) -> Vec<HeartbeatTarget> {
    let now = gateway.now();
    let mut members = gateway.members.lock();
    if members.all().next().is_none() {
        let routing = gateway.routing.read();
        let seeds = routing.seed_addresses.iter();
        let others = seeds.filter(|seed| **seed != gateway.settings.peer_address);
        let targets = others.map(|seed| HeartbeatTarget {
            name: String::new(),
            address: seed.to_string(),
        });
        return targets.collect();
    }
    let names = members.heartbeat_targets(&gateway.incarnation, MEMBER_RING, now);
    let targets = names.into_iter().filter_map(|name| {
        let address = members.get(&name)?.status.peer_address.clone();
        Some(HeartbeatTarget { name, address })
    });
    targets.collect()
}

/// Starts sending one round of heartbeats, without waiting for the replies.
pub(crate) fn send_heartbeats(gateway: &Arc<Gateway>) {
    let shared = shared_heartbeat(gateway);
    for peer in heartbeat_targets(gateway) {
        let heartbeat = with_gossip_for(gateway, &peer.name, shared.clone());
        tokio::spawn(send_heartbeat(gateway.clone(), peer.address, heartbeat));
    }
}

/// Sends heartbeats ahead of schedule for urgent updates.
///
/// If the last ones were sent less than [`EARLY_HEARTBEAT_INTERVAL`] ago, sends nothing and returns
/// the time at which the caller may try again.
pub(crate) fn try_send_early_heartbeats(gateway: &Arc<Gateway>) -> Option<Duration> {
    let now = gateway.now();
    {
        let mut sent_at = gateway.early_heartbeats_sent_at.lock();
        let due_at = sent_at.map(|at| at + EARLY_HEARTBEAT_INTERVAL);
        if let Some(due_at) = due_at.filter(|due_at| now < *due_at) {
            return Some(due_at);
        }
        *sent_at = Some(now);
    }
    send_heartbeats(gateway);
    None
}

/// Sends heartbeats periodically for the lifetime of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let every = ms(gateway.settings.times.heartbeat_ms);
    let mut swept_at = gateway.now();
    loop {
        send_heartbeats(&gateway);
        if gateway.now().saturating_sub(swept_at) >= CONNECTION_SWEEP_INTERVAL {
            gateway.peers.drop_idle();
            swept_at = gateway.now();
        }
        tokio::time::sleep(every).await;
    }
}
