//! Which endpoints this instance reaches, and what that says about an endpoint that it does not
//! reach.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use spdlog::{info, warn};
use tokio::sync::Notify;

use super::node::{Gateway, MEMBER_RING};
use crate::kernel::clock::{Clock, millis};
use crate::kernel::fleet::{EndpointEntry, Fleet};
use crate::kernel::reachability::Reachability;
use crate::peer::client::call_with_timeout;
use crate::peer::generated as wire;

/// Peers that are asked about an endpoint; some of them may be cut off as well.
const PEERS_ASKED_MAX: usize = 3;
/// Longest wait for the answer of a peer, which tries two connections at most.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which an instance that is cut off tries an endpoint again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Records which connections to endpoints are made.
pub(crate) struct ReachMonitor {
    reachability: Mutex<Reachability>,
    fleet: Arc<Mutex<Fleet>>,
    clock: Arc<dyn Clock>,
    /// Wakes the task that tries endpoints again.
    cut_off: Notify,
}

/// What is known about an endpoint that could not be connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UnreachedVerdict {
    /// It accepts connections from here.
    Reached,
    /// It does not, and another endpoint of its service does.
    Down,
    /// Nothing tells whether it is down: this instance reaches no endpoint of its service.
    Untold,
}

impl UnreachedVerdict {
    /// Returns the number by which peers know the verdict.
    pub(crate) const fn encode(self) -> u32 {
        match self {
            Self::Untold => 0,
            Self::Reached => 1,
            Self::Down => 2,
        }
    }

    /// Decodes the number of a peer; one that is not known tells nothing.
    const fn decode(number: u32) -> Self {
        match number {
            1 => Self::Reached,
            2 => Self::Down,
            _ => Self::Untold,
        }
    }
}

impl ReachMonitor {
    pub(crate) fn new(clock: Arc<dyn Clock>, fleet: Arc<Mutex<Fleet>>) -> Self {
        Self {
            reachability: Mutex::default(),
            fleet,
            clock,
            cut_off: Notify::new(),
        }
    }

    /// Records a connection that was made.
    pub(crate) fn record_reached(&self, endpoint: &EndpointEntry) {
        let EndpointEntry { id, service, .. } = endpoint;
        let now = self.clock.now();
        let cut_off_for = self.reachability.lock().record_reached(service, id, now);
        if let Some(cut_off_for) = cut_off_for {
            info!("endpoints reached again", kv: {
                service = service.as_str(), endpoint = id.as_str(), after_ms: = millis(cut_off_for),
            });
        }
    }

    /// Records a connection that was refused or not answered.
    pub(crate) fn record_unreached(&self, endpoint: &EndpointEntry, why: &str) {
        let EndpointEntry { id, service, .. } = endpoint;
        // More than a few are never needed, and a site may list thousands.
        let listed = self.fleet.lock().ready_endpoints(service).take(8).count();
        let now = self.clock.now();
        let mut reachability = self.reachability.lock();
        let became_cut_off = reachability.record_unreached(service, id, listed, now);
        drop(reachability);
        if became_cut_off {
            metrics::counter!("larkwick_cut_off_total").increment(1);
            if crate::log::should_log("no endpoint reached") {
                warn!("no endpoint reached", kv: {
                    service = service.as_str(), endpoint = id.as_str(), listed:, why,
                });
            }
            self.cut_off.notify_one();
        }
    }

    /// Returns whether this instance is taken for cut off from the endpoints of a service.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        self.reachability.lock().is_cut_off(service)
    }

    /// Returns the endpoints that could not be connected to from here a short time ago.
    pub(crate) fn unreached_endpoints(&self) -> BTreeSet<String> {
        let now = self.clock.now();
        self.reachability.lock().unreached_endpoints(now)
    }

    fn has_reached_since(&self, service: &str, since: Duration) -> bool {
        self.reachability.lock().has_reached_since(service, since)
    }

    /// Returns an endpoint of each service from which this instance is cut off.
    fn endpoints_to_probe(&self) -> Vec<EndpointEntry> {
        let services = self.reachability.lock().cut_off_services();
        let mut endpoints = Vec::new();
        for service in services {
            let endpoint = self.any_endpoint(&service);
            match endpoint {
                Some(endpoint) => endpoints.push(endpoint),
                None => self.reachability.lock().forget(&service),
            }
        }
        endpoints
    }

    /// Returns a random endpoint of a service.
    fn any_endpoint(&self, service: &str) -> Option<EndpointEntry> {
        let fleet = self.fleet.lock();
        let endpoints = fleet.ready_endpoints(service);
        endpoints.choose(&mut rand::rng()).cloned()
    }

    /// Returns a random endpoint of the same service as another one, of those that are not known to be
    /// out of reach.
    fn other_endpoint(&self, endpoint: &EndpointEntry) -> Option<EndpointEntry> {
        let unreached = self.unreached_endpoints();
        let fleet = self.fleet.lock();
        let others = fleet.ready_endpoints(&endpoint.service);
        let others = others.filter(|other| other.id != endpoint.id);
        let others = others.filter(|other| !unreached.contains(&other.id));
        others.choose(&mut rand::rng()).cloned()
    }
}

impl Gateway {
    /// Finds out whether an endpoint that could not be connected to is down, or only out of reach
    /// from here.
    pub(super) async fn judge_unreached(&self, endpoint: &EndpointEntry) -> UnreachedVerdict {
        let since = self.now();
        let connection = self.upstream.open_probe_connection(endpoint).await;
        if connection.is_ok() {
            UnreachedVerdict::Reached
        } else if self.reaches_another(endpoint, since).await {
            UnreachedVerdict::Down
        } else {
            UnreachedVerdict::Untold
        }
    }

    /// Returns whether this instance reaches an endpoint of the same service other than this one, by
    /// a connection made since then.
    async fn reaches_another(&self, endpoint: &EndpointEntry, since: Duration) -> bool {
        if self.reach.has_reached_since(&endpoint.service, since) {
            return true;
        }
        match self.reach.other_endpoint(endpoint) {
            Some(other) => self.upstream.open_probe_connection(&other).await.is_ok(),
            None => false,
        }
    }

    /// Returns whether an endpoint that refuses connections from here is down for the other instances,
    /// too. If no peer can tell, because none reaches any endpoint or there is none, it is.
    pub(super) async fn is_down_for_all(&self, endpoint: &EndpointEntry) -> bool {
        for address in self.random_peer_addresses(PEERS_ASKED_MAX) {
            match self.ask_for_verdict(&address, endpoint).await {
                UnreachedVerdict::Reached => return false,
                UnreachedVerdict::Down => return true,
                UnreachedVerdict::Untold => {}
            }
        }
        true
    }

    fn random_peer_addresses(&self, count: usize) -> Vec<String> {
        let members = self.members.lock();
        let live = members.live(MEMBER_RING, self.now());
        let live = live.map(|peer| peer.status.peer_address.clone());
        live.sample(&mut rand::rng(), count)
    }

    async fn ask_for_verdict(&self, address: &str, endpoint: &EndpointEntry) -> UnreachedVerdict {
        let Ok(mut client) = self.peers.site_client(address) else {
            return UnreachedVerdict::Untold;
        };
        let request = wire::CheckEndpointRequest {
            endpoint: endpoint.id.clone(),
        };
        let asking = client.check_endpoint(request);
        let reply = call_with_timeout(VERDICT_TIMEOUT, asking).await;
        reply.map_or(UnreachedVerdict::Untold, |reply| {
            UnreachedVerdict::decode(reply.verdict)
        })
    }

    /// Answers a peer that could not connect to an endpoint.
    pub(super) async fn check_endpoint(&self, endpoint: &str) -> UnreachedVerdict {
        let entry = self.fleet.lock().get(endpoint).cloned();
        match entry {
            Some(entry) => self.judge_unreached(&entry).await,
            None => UnreachedVerdict::Untold,
        }
    }
}

/// Tries an endpoint of each service that is not reached, until the instance stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        for endpoint in gateway.reach.endpoints_to_probe() {
            let gateway = gateway.clone();
            tokio::spawn(async move {
                // Recorded by the connection itself.
                let _ = gateway.upstream.open_probe_connection(&endpoint).await;
            });
        }
        tokio::select! {
            () = gateway.sleep_for(PROBE_INTERVAL) => {}
            () = gateway.reach.cut_off.notified() => {}
        }
    }
}
