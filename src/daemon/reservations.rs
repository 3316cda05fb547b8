//! The entry's side of reservations: progress and releases, reported to the owners in batches.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use uuid::Uuid;

use super::node::Node;
use crate::peer::client::call_with_timeout;
use crate::peer::generated as wire;
use crate::settings::ms;

const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Releases leave at once, collected for this long.
const RELEASE_BATCH: Duration = Duration::from_millis(10);

/// A reservation that this entry holds. Dropping it releases it.
pub(crate) struct Reservation {
    state: Arc<ReservationState>,
}

struct ReservationState {
    id: Uuid,
    group: String,
    /// Name of the owner that granted it; this instance's own name where it decided itself.
    owner: String,
    made_tokens: AtomicU32,
    generation: Mutex<String>,
    released: AtomicBool,
    finished: AtomicBool,
    wake: Arc<tokio::sync::Notify>,
}

impl Reservation {
    /// Notes which generation it is for.
    pub(crate) fn set_generation(&self, generation: &str) {
        generation.clone_into(&mut self.state.generation.lock());
    }

    /// Notes how many tokens the generation has made.
    pub(crate) fn set_made(&self, made_tokens: u32) {
        self.state.made_tokens.store(made_tokens, Ordering::Relaxed);
    }

    /// Notes that the generation reached its end, so that its length counts for the estimates.
    pub(crate) fn set_finished(&self) {
        self.state.finished.store(true, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.released.store(true, Ordering::Relaxed);
        self.state.wake.notify_one();
    }
}

/// All reservations of this entry.
#[derive(Default)]
pub(crate) struct Reservations {
    held: Mutex<HashMap<Uuid, Arc<ReservationState>>>,
    wake: Arc<tokio::sync::Notify>,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct OwnerGroup {
    owner: String,
    group: String,
}

impl Reservations {
    /// Takes up a granted reservation.
    pub(crate) fn hold(&self, id: Uuid, group: &str, owner: &str) -> Reservation {
        let state = Arc::new(ReservationState {
            id,
            group: group.to_owned(),
            owner: owner.to_owned(),
            made_tokens: AtomicU32::new(0),
            generation: Mutex::default(),
            released: AtomicBool::new(false),
            finished: AtomicBool::new(false),
            wake: self.wake.clone(),
        });
        self.held.lock().insert(id, state.clone());
        Reservation { state }
    }

    /// Reservations held.
    pub(crate) fn len(&self) -> usize {
        self.held.lock().len()
    }

    /// Progress to report, by owner and group. Released reservations are taken out.
    fn collect(&self, only_released: bool) -> HashMap<OwnerGroup, Vec<wire::Progress>> {
        let mut batches: HashMap<OwnerGroup, Vec<wire::Progress>> = HashMap::new();
        self.held.lock().retain(|_, state| {
            let released = state.released.load(Ordering::Relaxed);
            if released || !only_released {
                let key = OwnerGroup {
                    owner: state.owner.clone(),
                    group: state.group.clone(),
                };
                batches
                    .entry(key)
                    .or_default()
                    .push(state.progress(released));
            }
            !released
        });
        batches
    }
}

impl ReservationState {
    fn progress(&self, released: bool) -> wire::Progress {
        wire::Progress {
            reservation_id: self.id.to_string(),
            made_tokens: self.made_tokens.load(Ordering::Relaxed),
            generation: self.generation.lock().clone(),
            released,
            finished: self.finished.load(Ordering::Relaxed),
        }
    }
}

fn deliver(node: &Arc<Node>, key: OwnerGroup, progress: Vec<wire::Progress>) {
    if key.owner == node.incarnation.name {
        for one in progress {
            if let Ok(id) = one.reservation_id.parse() {
                node.take_progress(&key.group, id, &one);
            }
        }
        return;
    }
    let address = {
        let members = node.members.lock();
        members
            .get(&key.owner)
            .map(|peer| peer.status.peer_address.clone())
    };
    let Some(address) = address else { return };
    let node = node.clone();
    tokio::spawn(async move {
        let Ok(mut client) = node.peers.peer_client(&address) else {
            return;
        };
        let group = key.group;
        let report = wire::ReportRequest { group, progress };
        // A report that is lost is made up for by the next one, or by the reservation lapsing.
        let _ = call_with_timeout(REPORT_TIMEOUT, client.report(report)).await;
    });
}

/// Reports for the life of the node.
pub(crate) async fn run(node: Arc<Node>) {
    let every = ms(node.settings.times.load_poll_ms);
    let mut next_full = tokio::time::Instant::now() + every;
    loop {
        let full = tokio::select! {
            () = node.reservations.wake.notified() => false,
            () = tokio::time::sleep_until(next_full) => true,
        };
        if full {
            next_full = tokio::time::Instant::now() + every;
        } else {
            tokio::time::sleep(RELEASE_BATCH).await;
        }
        for (key, progress) in node.reservations.collect(!full) {
            deliver(&node, key, progress);
        }
    }
}
