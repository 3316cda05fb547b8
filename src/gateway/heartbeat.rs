//! Heartbeats between instances: who lives, and who has a newer configuration.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};

use super::catch_up;
use super::node::{Gateway, MEMBER_RING};
use crate::kernel::membership::{Incarnation, Peer, PeerStatus, Suspicion};
use crate::peer::client::within;
use crate::peer::convert::BadField;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Peers stand within milliseconds; a slow one gets this long.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Peers told in each round besides those watched; at a small site all are told.
const FANOUT: usize = 2;
/// How long these stay the same: each one is a connection, and every instance would in time hold one to every other.
const FANOUT_KEPT: Duration = Duration::from_secs(20);

/// A connection to a peer that was not used for this long is closed: with 295 members, memory at its peak was 31.6 MB an instance while all
/// connections were kept.
const CONNECTIONS_SWEPT_EVERY: Duration = Duration::from_secs(5);

/// Departures are passed on for this long.
const DEPARTURES_PASSED_ON: Duration = Duration::from_secs(15);
/// What this instance tells its peers.
pub(crate) fn own_beat(gateway: &Gateway) -> wire::Beat {
    let now = gateway.now();
    let (departures, suspicions) = {
        let mut members = gateway.members.lock();
        let since = now.saturating_sub(DEPARTURES_PASSED_ON);
        let recent = members.departures.recent(since);
        let departures = recent.map(wire::Incarnation::from).collect();
        let suspicions = members.suspicions(&gateway.incarnation, MEMBER_RING, now);
        (departures, suspicions)
    };
    wire::Beat {
        status: Some((&gateway.status()).into()),
        departures,
        suspicions: suspicions.into_iter().map(wire::Suspicion::from).collect(),
    }
}

/// Takes what a peer tells.
pub(crate) fn take_beat(gateway: &Arc<Gateway>, beat: wire::Beat) -> Result<(), BadField> {
    let status: PeerStatus = beat.status.ok_or(BadField("status"))?.try_into()?;
    let suspicions: Vec<Suspicion> = beat.suspicions.into_iter().map(Suspicion::from).collect();
    let departed: Result<Vec<Incarnation>, BadField> = beat
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
        members.heard(status, now);
        members.take_suspicions(&suspicions, now);
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
        catch_up::heard_newer(gateway, peer_version, address);
    }
    Ok(())
}

async fn beat(gateway: Arc<Gateway>, address: String, own: wire::Beat) {
    let Ok(mut client) = gateway.peers.site_at(&address) else {
        return;
    };
    // A peer that does not answer shows by its silence.
    if let Ok(reply) = within(CALL_TIMEOUT, client.heartbeat(own)).await
        && let Err(bad) = take_beat(&gateway, reply)
    {
        warn!("heartbeat not read: {}", bad);
    }
}

/// Peer addresses to tell in one round: all of a small site; else the watched ones and a random few.
fn told(gateway: &Gateway) -> Vec<String> {
    let members = gateway.members.lock();
    let address = |peer: &Peer| peer.status.peer_address.clone();
    if members.all().next().is_none() {
        let routing = gateway.routing.read();
        let seeds = routing.seed_addresses.iter();
        let others = seeds.filter(|seed| **seed != gateway.settings.peer_address);
        return others.map(ToString::to_string).collect();
    }
    if members.is_small_site() {
        return members.all().map(address).collect();
    }
    let watched = members.watched(&gateway.incarnation.name, MEMBER_RING);
    let watched = watched.iter().filter_map(|name| members.get(name));
    let turn = gateway.now().as_secs() / FANOUT_KEPT.as_secs();
    let distant = members.distant(&gateway.incarnation.name, turn, FANOUT);
    watched.chain(distant).map(address).collect()
}

/// Sends heartbeats now.
pub(crate) fn beat_round(gateway: &Arc<Gateway>) {
    let own = own_beat(gateway);
    for address in told(gateway) {
        tokio::spawn(beat(gateway.clone(), address, own.clone()));
    }
}

/// Sends heartbeats for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let every = ms(gateway.settings.times.heartbeat_ms);
    let mut swept_at = gateway.now();
    loop {
        beat_round(&gateway);
        if gateway.now().saturating_sub(swept_at) >= CONNECTIONS_SWEPT_EVERY {
            gateway.peers.drop_unused();
            swept_at = gateway.now();
        }
        tokio::time::sleep(every).await;
    }
}
