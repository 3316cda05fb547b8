//! The shared state of one instance, split into parts that each have their own lock.
//!
//! No lock is held across an await point or while another lock is acquired.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use serde::Serialize;
use tokio::sync::watch;
use uuid::Uuid;

use super::config_loop::SharedConfig;
use super::endpoints::EndpointTable;
use super::idempotency::IdempotencyCache;
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

/// The addresses that an instance listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Addresses {
    /// Address of the API for callers.
    pub caller: SocketAddr,
    /// Address of the API for operators.
    pub operator: SocketAddr,
    /// Address of the gRPC server for peers.
    pub peer: SocketAddr,
}

/// The phase of a planned stop.
///
/// The variants are in order: a later phase compares greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Normal operation; no planned stop has begun.
    Serving,
    /// No longer listed as an entry for callers; requests that still arrive are served.
    Leaving,
    /// Streams that are still open are moved to other entries.
    Moving,
    /// The planned stop is complete: no request is in flight.
    Stopped,
}

/// The number of requests in flight and the phase of a planned stop.
pub(crate) struct DrainState {
    active_requests: AtomicUsize,
    phase: watch::Sender<Phase>,
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct ActiveRequestGuard {
    node: Arc<Node>,
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        let remaining = self
            .node
            .drain_state
            .active_requests
            .fetch_sub(1, Ordering::Relaxed)
            - 1;
        set_active_requests_gauge(remaining);
    }
}

#[expect(clippy::cast_precision_loss, reason = "a count of requests")]
fn set_active_requests_gauge(active: usize) {
    metrics::gauge!("larkwick_requests_active").set(active as f64);
}

impl DrainState {
    fn new() -> Self {
        Self {
            active_requests: AtomicUsize::new(0),
            phase: watch::Sender::new(Phase::Serving),
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::Relaxed)
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that observes phase changes.
    pub(crate) fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Advances to `phase` if it comes after the current one, and returns whether it did.
    ///
    /// The phase never goes back.
    pub(crate) fn advance_to(&self, phase: Phase) -> bool {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        })
    }
}

/// The state that the tasks of one instance share.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) platform: Platform,
    addresses: OnceLock<Addresses>,
    pub(crate) config: SharedConfig,
    catalog: RwLock<Arc<Catalog>>,
    pub(crate) members: Mutex<Members>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) idempotency: IdempotencyCache,
    pub(crate) groups: Groups,
    pub(crate) reservations: Reservations,
    /// Retry budgets by client account.
    retry_budgets: Mutex<HashMap<String, RetryBudget>>,
    /// When each group last had no endpoint for a request, by group name.
    pub(crate) last_empty_at: Mutex<HashMap<String, Duration>>,
    pub(crate) drain_state: DrainState,
    pub(crate) peers: PeerClients,
    pub(crate) lease: HallLease,
}

impl Node {
    /// Creates a node with a new incarnation that knows no configuration, peers or endpoints yet.
    pub(crate) fn new(settings: Settings, platform: Platform, clock: Arc<dyn Clock>) -> Self {
        let incarnation = Incarnation {
            name: settings.instance.clone(),
            id: Uuid::new_v4(),
        };
        let limits = &settings.limits;
        Self {
            idempotency: IdempotencyCache::new(
                &settings.instance,
                incarnation.id,
                limits.once_requests,
                limits.once_bytes,
            ),
            lease: HallLease::new(&settings, incarnation.id),
            groups: Groups::default(),
            config: SharedConfig::default(),
            catalog: RwLock::default(),
            members: Mutex::default(),
            endpoints: EndpointTable::default(),
            reservations: Reservations::default(),
            retry_budgets: Mutex::default(),
            last_empty_at: Mutex::default(),
            drain_state: DrainState::new(),
            peers: PeerClients::default(),
            addresses: OnceLock::new(),
            clock,
            incarnation,
            platform,
            settings,
        }
    }

    /// Returns the current time of this instance's clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Stores the addresses after all listeners are bound.
    pub(crate) fn set_addresses(&self, addresses: Addresses) {
        // A second call would be a start-up bug; the first addresses are kept.
        let _ = self.addresses.set(addresses);
    }

    /// Returns the addresses that this instance listens on, or unspecified addresses (`0.0.0.0:0`)
    /// until all listeners are bound.
    pub(crate) fn addresses(&self) -> Addresses {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        self.addresses.get().copied().unwrap_or(Addresses {
            caller: unspecified,
            operator: unspecified,
            peer: unspecified,
        })
    }

    /// Returns the configuration objects in force.
    pub(crate) fn catalog(&self) -> Arc<Catalog> {
        self.catalog.read().clone()
    }

    /// Replaces the configuration objects in force.
    pub(crate) fn set_catalog(&self, catalog: Catalog) {
        *self.catalog.write() = Arc::new(catalog);
    }

    /// Returns the status that this instance reports to its peers and to the platform.
    pub(crate) fn own_status(&self) -> PeerStatus {
        let addresses = self.addresses();
        PeerStatus {
            incarnation: self.incarnation.clone(),
            hall: self.settings.hall.clone(),
            caller_address: addresses.caller.to_string(),
            peer_address: addresses.peer.to_string(),
            operator_address: addresses.operator.to_string(),
            leaving: self.drain_state.phase() > Phase::Serving,
            ticket_epoch: self.idempotency.ticket_epoch(),
            config_next_offset: self.config.next_offset(),
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> ActiveRequestGuard {
        let active = self
            .drain_state
            .active_requests
            .fetch_add(1, Ordering::Relaxed)
            + 1;
        set_active_requests_gauge(active);
        ActiveRequestGuard { node: self.clone() }
    }

    /// Records the first attempt of a request against the retry budget of `account`.
    pub(crate) fn record_first_attempt(&self, account: &str) {
        let mut budgets = self.retry_budgets.lock();
        budgets
            .entry(account.to_owned())
            .or_default()
            .record_first_attempt();
    }

    /// Spends one retry from the budget of `account`; returns `false` if the budget is exhausted.
    pub(crate) fn try_spend_retry(&self, account: &str) -> bool {
        let mut budgets = self.retry_budgets.lock();
        let allowed = budgets.entry(account.to_owned()).or_default().try_spend();
        metrics::counter!("larkwick_retries_total", "allowed" => allowed.to_string()).increment(1);
        allowed
    }

    /// Returns whether this instance refuses new work because its configuration may be out of date.
    ///
    /// Instances of a site with at most three instances never stand down: the last one left could
    /// not tell whether the other instances are dead or only unreachable.
    pub(crate) fn is_standing_down(&self) -> bool {
        const STAND_DOWN_MIN_PEERS: usize = 3;
        let now = self.now();
        if self.config.confirmed_ago(now) < ms(self.settings.times.stand_down_ms) {
            return false;
        }
        let members = self.members.lock();
        members.all().count() >= STAND_DOWN_MIN_PEERS
            && members.is_isolated(&self.incarnation.name, &self.settings.hall, now)
    }
}
