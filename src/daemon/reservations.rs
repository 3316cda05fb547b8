//! The reservations of an entry. Their progress and release are reported in batches to the owners
//! of the groups that granted them.

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

/// Timeout of a progress report to an owner.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Releases are reported without waiting for the next periodic report, batched over this time.
const RELEASE_BATCH_DELAY: Duration = Duration::from_millis(10);

/// A reservation held by this entry. Dropping it releases the reservation.
pub(crate) struct Reservation {
    state: Arc<ReservationState>,
}

/// State of a reservation, shared by its [`Reservation`] and the reporting loop.
struct ReservationState {
    id: Uuid,
    group: String,
    /// Name of the owner that granted it, or of this instance if it decided itself.
    owner: String,
    generated_tokens: AtomicU32,
    generation: Mutex<String>,
    released: AtomicBool,
    finished: AtomicBool,
    release_notify: Arc<tokio::sync::Notify>,
}

impl Reservation {
    /// Sets the id of the generation that uses this reservation.
    pub(crate) fn set_generation(&self, generation: &str) {
        generation.clone_into(&mut self.state.generation.lock());
    }

    /// Sets the number of tokens generated so far.
    pub(crate) fn set_generated_tokens(&self, generated_tokens: u32) {
        self.state
            .generated_tokens
            .store(generated_tokens, Ordering::Relaxed);
    }

    /// Marks the generation as finished, so that its length counts for the length estimates.
    pub(crate) fn set_finished(&self) {
        self.state.finished.store(true, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.released.store(true, Ordering::Relaxed);
        self.state.release_notify.notify_one();
    }
}

/// All reservations of this entry.
#[derive(Default)]
pub(crate) struct Reservations {
    active: Mutex<HashMap<Uuid, Arc<ReservationState>>>,
    release_notify: Arc<tokio::sync::Notify>,
}

/// A group and the owner to which its progress is reported.
#[derive(Debug, PartialEq, Eq, Hash)]
struct OwnedGroup {
    owner: String,
    group: String,
}

impl Reservations {
    /// Registers a granted reservation.
    pub(crate) fn track(&self, id: Uuid, group: &str, owner: &str) -> Reservation {
        let state = Arc::new(ReservationState {
            id,
            group: group.to_owned(),
            owner: owner.to_owned(),
            generated_tokens: AtomicU32::new(0),
            generation: Mutex::default(),
            released: AtomicBool::new(false),
            finished: AtomicBool::new(false),
            release_notify: self.release_notify.clone(),
        });
        self.active.lock().insert(id, state.clone());
        Reservation { state }
    }

    /// Returns the number of reservations held.
    pub(crate) fn len(&self) -> usize {
        self.active.lock().len()
    }

    /// Returns the progress to report, by owner and group, and removes released reservations.
    fn collect_progress(&self, only_released: bool) -> HashMap<OwnedGroup, Vec<wire::Progress>> {
        let mut batches: HashMap<OwnedGroup, Vec<wire::Progress>> = HashMap::new();
        self.active.lock().retain(|_, state| {
            let released = state.released.load(Ordering::Relaxed);
            if released || !only_released {
                let key = OwnedGroup {
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
            made_tokens: self.generated_tokens.load(Ordering::Relaxed),
            generation: self.generation.lock().clone(),
            released,
            finished: self.finished.load(Ordering::Relaxed),
        }
    }
}

/// Sends a batch of progress to the owner of a group, or records it here if this instance decided.
fn send_progress(node: &Arc<Node>, key: OwnedGroup, progress: Vec<wire::Progress>) {
    if key.owner == node.incarnation.name {
        for item in progress {
            if let Ok(id) = item.reservation_id.parse() {
                node.record_progress_report(&key.group, id, &item);
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
        // A lost report is made up for by the next one, or by the expiry of the reservation.
        let _ = call_with_timeout(REPORT_TIMEOUT, client.report(report)).await;
    });
}

/// Reports progress and releases until the node shuts down.
pub(crate) async fn run(node: Arc<Node>) {
    let interval = ms(node.settings.times.load_poll_ms);
    let mut next_full_report = tokio::time::Instant::now() + interval;
    loop {
        let is_full_report = tokio::select! {
            () = node.reservations.release_notify.notified() => false,
            () = tokio::time::sleep_until(next_full_report) => true,
        };
        if is_full_report {
            next_full_report = tokio::time::Instant::now() + interval;
        } else {
            tokio::time::sleep(RELEASE_BATCH_DELAY).await;
        }
        for (key, progress) in node.reservations.collect_progress(!is_full_report) {
            send_progress(&node, key, progress);
        }
    }
}
