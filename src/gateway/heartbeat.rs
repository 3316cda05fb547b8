//! Heartbeats between instances: who lives, who has a newer configuration, which halls are evacuated, and which endpoints say that they leave.

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

/// Peers stand within milliseconds; a slow one gets this long.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection to a peer that was not used for this long is closed: with 295 members, memory at its peak was 31.6 MB an instance while all
/// connections were kept.
const CONNECTIONS_SWEPT_EVERY: Duration = Duration::from_secs(5);

/// Heartbeats begin their news of endpoints anywhere among so many, so that each is told where there are more than one heartbeat holds; far above the
/// endpoints of a site.
const NEWS_SPREAD: usize = 1 << 20;

/// Heartbeats go out of turn no more often than this, whatever there is to tell: half of the usual time between them.
const SOON_EVERY: Duration = Duration::from_millis(250);

/// Departures are passed on for this long.
const DEPARTURES_PASSED_ON: Duration = Duration::from_secs(15);

/// What this instance tells a peer, by name.
pub(crate) fn own_beat(gateway: &Gateway, to: &str) -> wire::Beat {
    told_to(gateway, to, told_to_all(gateway))
}

/// What this instance tells all peers alike.
fn told_to_all(gateway: &Gateway) -> wire::Beat {
    let departures = {
        let members = gateway.members.lock();
        let since = gateway.now().saturating_sub(DEPARTURES_PASSED_ON);
        let recent = members.departures.recorded_since(since);
        recent.map(wire::Incarnation::from).collect()
    };
    let first = rand::random_range(0..NEWS_SPREAD);
    let (evacuated, leaving_endpoints) = {
        let fleet = gateway.fleet.lock();
        let leaving = fleet.drain_notices(first, gateway.now());
        (fleet.evacuated_halls().into(), leaving)
    };
    wire::Beat {
        status: Some((&gateway.status()).into()),
        departures,
        gossip: None,
        evacuated: Some(evacuated),
        suspects: gateway.suspect_updates(),
        leaving_endpoints,
        limits: gateway.limit_news(first),
    }
}

/// Adds what goes to one peer only.
fn told_to(gateway: &Gateway, to: &str, all: wire::Beat) -> wire::Beat {
    let gossip = {
        let mut members = gateway.members.lock();
        members.gossip_for(&gateway.incarnation, MEMBER_RING, to, gateway.now())
    };
    wire::Beat {
        gossip: Some(gossip.into()),
        ..all
    }
}

/// Takes what a peer tells; gives its name.
pub(crate) fn take_beat(
    gateway: &Arc<Gateway>,
    beat: wire::Beat,
) -> Result<String, InvalidMessageField> {
    let status: PeerStatus = beat
        .status
        .ok_or(InvalidMessageField("status"))?
        .try_into()?;
    let gossip: Gossip = beat.gossip.unwrap_or_default().into();
    if let Some(told) = beat.evacuated {
        gateway.take_halls(&told.into(), "member");
    }
    gateway.take_leaving_endpoints(&beat.leaving_endpoints);
    gateway.take_limits(beat.limits);
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
    let (was_live, lives, has_departed) = {
        let mut members = gateway.members.lock();
        let was_live = members.is_live(&name, MEMBER_RING, now);
        members.receive_heartbeat(&gateway.incarnation, status, &gossip, now);
        let mut has_departed = false;
        for gone in &departed {
            has_departed |= members.departures.record(gone, now);
        }
        let lives = members.is_live(&name, MEMBER_RING, now);
        (was_live, lives, has_departed)
    };
    if was_live != lives || has_departed {
        gateway.live.note_changed();
    }
    if !was_live && lives {
        info!("member lives", kv: { member = name.as_str() });
    }
    if peer_version > gateway.config_version() {
        catch_up::fetch_newer_config(gateway, peer_version, address);
    }
    Ok(name)
}

async fn beat(gateway: Arc<Gateway>, address: String, own: wire::Beat) {
    let Ok(mut client) = gateway.peers.site_client(&address) else {
        return;
    };
    // A peer that does not answer shows by its silence.
    if let Ok(reply) = call_with_timeout(CALL_TIMEOUT, client.heartbeat(own)).await
        && let Err(bad) = take_beat(&gateway, reply)
    {
        warn!("heartbeat not read: {}", bad);
    }
}

/// A peer to tell in one round.
struct Told {
    /// Empty where only its address is known.
    name: String,
    address: String,
}

/// Peers to tell in one round; the seeds where no peer is known yet.
fn told(gateway: &Gateway) -> Vec<Told> {
    let now = gateway.now();
    let mut members = gateway.members.lock();
    if members.all().next().is_none() {
        let routing = gateway.routing.read();
        let seeds = routing.seed_addresses.iter();
        let others = seeds.filter(|seed| **seed != gateway.settings.peer_address);
        let told = others.map(|seed| Told {
            name: String::new(),
            address: seed.to_string(),
        });
        return told.collect();
    }
    let names = members.heartbeat_targets(&gateway.incarnation, MEMBER_RING, now);
    let told = names.into_iter().filter_map(|name| {
        let address = members.get(&name)?.status.peer_address.clone();
        Some(Told { name, address })
    });
    told.collect()
}

/// Sends heartbeats now.
pub(crate) fn beat_round(gateway: &Arc<Gateway>) {
    let all = told_to_all(gateway);
    for peer in told(gateway) {
        let own = told_to(gateway, &peer.name, all.clone());
        tokio::spawn(beat(gateway.clone(), peer.address, own));
    }
}

/// Sends heartbeats out of turn, for news that cannot wait, unless some went out a moment ago; gives when they may go out where it is later.
pub(crate) fn beat_soon(gateway: &Arc<Gateway>) -> Option<Duration> {
    let now = gateway.now();
    {
        let mut beaten_at = gateway.beaten_soon_at.lock();
        let due_at = beaten_at.map(|at| at + SOON_EVERY);
        if let Some(due_at) = due_at.filter(|due_at| now < *due_at) {
            return Some(due_at);
        }
        *beaten_at = Some(now);
    }
    beat_round(gateway);
    None
}

/// Sends heartbeats for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let every = ms(gateway.settings.times.heartbeat_ms);
    let mut swept_at = gateway.now();
    loop {
        beat_round(&gateway);
        if gateway.now().saturating_sub(swept_at) >= CONNECTIONS_SWEPT_EVERY {
            gateway.peers.drop_idle();
            swept_at = gateway.now();
        }
        tokio::time::sleep(every).await;
    }
}
