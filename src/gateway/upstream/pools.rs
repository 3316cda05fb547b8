//! Open and idle connections by endpoint, and which idle ones may be used again.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;

use super::Upstream;
use super::connect::ConnectError;
use super::connection::Connection;
use crate::gateway::endpoint_signals::EndpointSignalHandler;
use crate::gateway::message_heads::ResponseHead;
use crate::kernel::clock::Clock;
use crate::kernel::fleet::EndpointEntry;

/// Minimum idle time of a connection before its reuse, so that a surplus response arrives, and is
/// noticed, before the next request is sent.
const REUSE_MIN_IDLE: Duration = Duration::from_millis(25);
/// Idle timeout of a connection if the endpoint announces none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin by which the idle timeout here is shorter than the one that the endpoint announces.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle connections kept for each endpoint: more than one instance uses at once under even load.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// After an endpoint of a service closed a reused connection instead of responding, or did not
/// respond on one in time, the connections of the service are reused for this long only after a
/// short idle time. Its endpoints may drop idle connections sooner than they announce, and all idle
/// connections may have gone silent.
const REUSE_RESTRICTED_FOR: Duration = Duration::from_secs(10);
/// Maximum idle time for reuse while it is restricted; the servers in use drop connections after
/// 300 ms of idle time at the earliest.
const RESTRICTED_IDLE_MAX: Duration = Duration::from_millis(200);

/// Counts an open connection against the limit of its endpoint until dropped.
pub(super) struct OpenConnectionGuard {
    pub(super) endpoint: String,
    pub(super) service: String,
    pub(super) pools: Arc<Pools>,
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let mut pools = self.pools.by_endpoint.lock();
        if let Some(pool) = pools.get_mut(&self.endpoint) {
            pool.open -= 1;
        }
    }
}

struct PooledConnection {
    connection: Connection,
    idle_since: Duration,
    idle_timeout: Duration,
}

#[derive(Default)]
pub(super) struct Pool {
    idle: Vec<PooledConnection>,
    /// Number of open connections, in use and idle.
    open: usize,
}

pub(super) struct Pools {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) signals: Arc<EndpointSignalHandler>,
    pub(super) by_endpoint: Mutex<HashMap<String, Pool>>,
    /// Services whose idle connections may be reused only after a short idle time, and until when.
    pub(super) reuse_restricted_until: Mutex<HashMap<String, Duration>>,
}

impl Pools {
    /// Restricts reuse for a service because a request on a reused connection got no response.
    pub(super) fn restrict_reuse(&self, service: &str) {
        let now = self.clock.now();
        let mut restricted_until = self.reuse_restricted_until.lock();
        let previous = restricted_until.insert(service.to_owned(), now + REUSE_RESTRICTED_FOR);
        if previous.is_none_or(|previous| previous < now) {
            info!("connections at rest are not used again for a while", kv: { service });
        }
    }

    /// Returns the longest idle time after which a connection of the service may be reused.
    fn max_idle_time(&self, service: &str) -> Duration {
        let restricted_until = self.reuse_restricted_until.lock();
        let until = restricted_until.get(service);
        if until.is_some_and(|until| self.clock.now() < *until) {
            RESTRICTED_IDLE_MAX
        } else {
            Duration::MAX
        }
    }
}

impl Upstream {
    pub(super) fn reserve_slot(
        &self,
        endpoint: &EndpointEntry,
        max_open: usize,
    ) -> Result<OpenConnectionGuard, ConnectError> {
        // Closing a connection locks the pools, so it happens before the lock is taken.
        drop(self.evict_idle_if_full(endpoint, max_open));
        let mut pools = self.pools.by_endpoint.lock();
        let pool = pools.entry(endpoint.id.clone()).or_default();
        if pool.open >= max_open {
            let reason = format!("{max_open} connections are open");
            return Err(ConnectError::Other(reason));
        }
        pool.open += 1;
        Ok(OpenConnectionGuard {
            endpoint: endpoint.id.clone(),
            service: endpoint.service.clone(),
            pools: self.pools.clone(),
        })
    }

    /// Removes an idle connection if the limit is reached, to make room for a new one.
    fn evict_idle_if_full(
        &self,
        endpoint: &EndpointEntry,
        max_open: usize,
    ) -> Option<PooledConnection> {
        let mut pools = self.pools.by_endpoint.lock();
        let pool = pools.get_mut(&endpoint.id)?;
        let is_full = pool.open >= max_open && !pool.idle.is_empty();
        is_full.then(|| pool.idle.remove(0))
    }

    pub(super) fn take_reusable(&self, endpoint: &EndpointEntry) -> Option<Connection> {
        let now = self.clock.now();
        let max_idle_time = self.pools.max_idle_time(&endpoint.service);
        let mut stale = Vec::new();
        let mut reusable = None;
        {
            let mut pools = self.pools.by_endpoint.lock();
            let pool = pools.get_mut(&endpoint.id)?;
            let mut kept = Vec::new();
            for idle in pool.idle.drain(..).rev() {
                let age = now.saturating_sub(idle.idle_since);
                let is_expired = age >= idle.idle_timeout.min(max_idle_time);
                if !idle.connection.sender.is_ready() || is_expired {
                    stale.push(idle);
                } else if reusable.is_none() && age >= REUSE_MIN_IDLE {
                    reusable = Some(idle.connection);
                } else {
                    kept.push(idle);
                }
            }
            kept.reverse();
            pool.idle = kept;
        }
        // Closing a connection locks the pools, so it happens after the lock is released.
        drop(stale);
        reusable
    }

    /// Returns a connection to its pool after its response was read to the end.
    pub(crate) fn return_to_pool(&self, mut connection: Connection, head: &ResponseHead) {
        let idle_timeout = head.idle_timeout.map_or(IDLE_TIMEOUT, |announced| {
            announced
                .saturating_sub(IDLE_TIMEOUT_MARGIN)
                .min(IDLE_TIMEOUT * 2)
        });
        if head.closes || idle_timeout.is_zero() {
            return;
        }
        connection.reused = true;
        let endpoint = connection.open_guard.endpoint.clone();
        let idle = PooledConnection {
            connection,
            idle_since: self.clock.now(),
            idle_timeout,
        };
        let evicted = {
            let mut pools = self.pools.by_endpoint.lock();
            let pool = pools.entry(endpoint).or_default();
            pool.idle.push(idle);
            (pool.idle.len() > IDLE_CONNECTIONS_MAX).then(|| pool.idle.remove(0))
        };
        drop(evicted);
    }

    /// Closes expired idle connections and those of unknown endpoints, and drops empty pools.
    pub(crate) fn prune_idle(&self, is_known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        let mut stale = Vec::new();
        {
            let mut pools = self.pools.by_endpoint.lock();
            for (endpoint, pool) in pools.iter_mut() {
                let idle = std::mem::take(&mut pool.idle);
                for idle_connection in idle {
                    let is_fresh = now.saturating_sub(idle_connection.idle_since)
                        < idle_connection.idle_timeout;
                    if is_fresh
                        && is_known(endpoint)
                        && idle_connection.connection.sender.is_ready()
                    {
                        pool.idle.push(idle_connection);
                    } else {
                        stale.push(idle_connection);
                    }
                }
            }
            pools.retain(|_, pool| pool.open > 0);
        }
        drop(stale);
    }
}
