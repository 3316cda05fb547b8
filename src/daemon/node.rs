//! The state of one instance, in shards each under its own lock. No lock is held across an await or while another is taken.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use serde::Serialize;
use tokio::sync::watch;
use uuid::Uuid;

use super::config_loop::ConfigShard;
use super::endpoints::EndpointTable;
use super::once::OnceMemory;
use super::owner::Groups;
use super::placement_loop::HallLease;
use super::reservations::Reservations;
use crate::kernel::clock::Clock;
use crate::kernel::membership::{Incarnation, Members, PeerStatus};
use crate::kernel::retry::RetryBudget;
use crate::kernel::rules::Catalog;
use crate::log_service::Platform;
use crate::peer::client::PeerClients;
use crate::settings::{Settings, ms};

/// Where the instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Normal.
    Serving,
    /// Not named to callers any more; whoever comes is served.
    Leaving,
    /// Streams still open are moved to other entries.
    Moving,
    /// Nothing is in flight.
    Stopped,
}

/// Requests in flight and the phase of a planned stop.
pub(crate) struct Work {
    active: AtomicUsize,
    phase: watch::Sender<Phase>,
}

/// Counts a request for as long as it lives.
pub(crate) struct ActiveRequest {
    node: Arc<Node>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let left = self.node.work.active.fetch_sub(1, Ordering::Relaxed) - 1;
        gauge_active(left);
    }
}

#[expect(clippy::cast_precision_loss, reason = "a count of requests")]
fn gauge_active(active: usize) {
    metrics::gauge!("larkwick_requests_active").set(active as f64);
}

impl Work {
    fn new() -> Self {
        Self {
            active: AtomicUsize::new(0),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Requests in flight.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// The phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Follows the phase.
    pub(crate) fn watch_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves on to a phase; never back.
    pub(crate) fn enter(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        })
    }
}

/// One instance.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) platform: Platform,
    addresses: OnceLock<Addresses>,
    pub(crate) config: ConfigShard,
    catalog: RwLock<Arc<Catalog>>,
    pub(crate) members: Mutex<Members>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) once: OnceMemory,
    pub(crate) groups: Groups,
    pub(crate) reservations: Reservations,
    retries: Mutex<HashMap<String, RetryBudget>>,
    /// When a group last had no endpoint for a request.
    pub(crate) empty_groups: Mutex<HashMap<String, Duration>>,
    pub(crate) work: Work,
    pub(crate) peers: PeerClients,
    pub(crate) lease: HallLease,
}

impl Node {
    /// A node that has heard of nothing yet.
    pub(crate) fn new(settings: Settings, platform: Platform, clock: Arc<dyn Clock>) -> Self {
        let incarnation = Incarnation {
            name: settings.instance.clone(),
            id: Uuid::new_v4(),
        };
        let limits = &settings.limits;
        Self {
            once: OnceMemory::new(
                &settings.instance,
                incarnation.id,
                limits.once_requests,
                limits.once_bytes,
            ),
            lease: HallLease::new(&settings, incarnation.id),
            groups: Groups::default(),
            config: ConfigShard::default(),
            catalog: RwLock::default(),
            members: Mutex::default(),
            endpoints: EndpointTable::default(),
            reservations: Reservations::default(),
            retries: Mutex::default(),
            empty_groups: Mutex::default(),
            work: Work::new(),
            peers: PeerClients::default(),
            addresses: OnceLock::new(),
            clock,
            incarnation,
            platform,
            settings,
        }
    }

    /// Time on this instance's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Sets the addresses, once all listeners are bound.
    pub(crate) fn set_addresses(&self, addresses: Addresses) {
        // A second call would be a fault of the wiring; the first one counts.
        let _ = self.addresses.set(addresses);
    }

    /// Where this instance listens; unspecified addresses until all listeners are bound.
    pub(crate) fn addresses(&self) -> Addresses {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.addresses.get().copied().unwrap_or(Addresses {
            caller: unspecified,
            operator: unspecified,
            peer: unspecified,
        })
    }

    /// The objects in force.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.catalog.read().clone()
    }

    /// Replaces the objects in force.
    pub(crate) fn set_catalog(&self, catalog: Catalog) {
        *self.catalog.write() = Arc::new(catalog);
    }

    /// What this instance says about itself.
    pub(crate) fn status(&self) -> PeerStatus {
        let addresses = self.addresses();
        PeerStatus {
            incarnation: self.incarnation.clone(),
            hall: self.settings.hall.clone(),
            caller_address: addresses.caller.to_string(),
            peer_address: addresses.peer.to_string(),
            operator_address: addresses.operator.to_string(),
            leaving: self.work.phase() > Phase::Serving,
            ticket_epoch: self.once.epoch(),
            config_next_offset: self.config.next_offset(),
        }
    }

    /// Counts a request as in flight.
    pub(crate) fn begin(self: &Arc<Self>) -> ActiveRequest {
        let active = self.work.active.fetch_add(1, Ordering::Relaxed) + 1;
        gauge_active(active);
        ActiveRequest { node: self.clone() }
    }

    /// Counts a first try of an account.
    pub(crate) fn count_first_try(&self, account: &str) {
        let mut retries = self.retries.lock();
        retries
            .entry(account.to_owned())
            .or_default()
            .record_first_attempt();
    }

    /// Takes a retry from an account's budget.
    pub(crate) fn take_retry(&self, account: &str) -> bool {
        let mut retries = self.retries.lock();
        let taken = retries.entry(account.to_owned()).or_default().try_spend();
        metrics::counter!("larkwick_retries_total", "allowed" => taken.to_string()).increment(1);
        taken
    }

    /// Whether this instance may not know the configuration in force, so that it takes no new work.
    ///
    /// A site of three instances or fewer always serves on: its last instance could not tell a dead site from a cut one.
    pub(crate) fn stands_down(&self) -> bool {
        const SERVES_ON_PEERS: usize = 3;
        let now = self.now();
        let silent = now.saturating_sub(self.config.last_contact());
        if silent < ms(self.settings.times.stand_down_ms) {
            return false;
        }
        let members = self.members.lock();
        members.all().count() >= SERVES_ON_PEERS
            && members.is_isolated(&self.incarnation.name, &self.settings.hall, now)
    }
}
