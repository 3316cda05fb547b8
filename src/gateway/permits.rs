//! Rate-limit permits for endpoints that announce a limit.
//!
//! Each request to such an endpoint needs a permit, issued by one instance per endpoint so that the
//! sum over all instances stays within the limit. For engines the issuer is the owner of the
//! service, which grants permits together with placements; for plain endpoints it is the live
//! member with the highest weighted rendezvous hash. Endpoints without a limit need no permits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::{info, warn};

use super::node::Gateway;
use super::ownership::{acts_as_owner, owner_address, reachable_owner_address};
use crate::kernel::clock::{Clock, millis};
use crate::kernel::limit::{EndpointLimits, LimitChange, LimitSignal, LimitUpdate};
use crate::kernel::permits::{
    IssuerShare, LimitShare, PERMIT_VALID_FOR, PermitDecision, PermitIssuer, RequestedPermits,
};
use crate::peer::client::call_with_timeout;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Timeout for a request to the issuer, which is normally reachable within milliseconds.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Pause before another request to an issuer that did not answer, or considered another instance
/// to be the issuer.
const REQUEST_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum wait for a permit that a running generation needs.
const RUNNING_PERMIT_WAIT_MAX: Duration = Duration::from_millis(600);

/// Known limits, and the permits that this instance issues and holds.
///
/// No other lock is acquired while one of these is held, except for `limits` while `issuer` is
/// held.
pub(crate) struct EndpointPermits {
    clock: Arc<dyn Clock>,
    /// Limits on the sum of requests from all instances, as announced by endpoints.
    limits: Mutex<EndpointLimits>,
    /// Issues permits for plain endpoints; those for engines are issued by the ledgers.
    issuer: Mutex<PermitIssuer>,
    /// Permits that this instance requested.
    requested: Mutex<RequestedPermits>,
}

/// Allows one request to an endpoint that announces a limit, until it expires. An unused permit is
/// kept for the next request when it is dropped.
pub(crate) struct Permit {
    permits: Arc<EndpointPermits>,
    endpoint: String,
    /// `None` if no limit was known when the permit was created, or once it is consumed.
    expires_at: Option<Duration>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.permits.clock.now();
        if let Some(expires_at) = self.expires_at.filter(|expires_at| now < *expires_at) {
            self.permits
                .requested
                .lock()
                .keep_unused(&self.endpoint, expires_at);
        }
    }
}

impl EndpointPermits {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            limits: Mutex::default(),
            issuer: Mutex::default(),
            requested: Mutex::default(),
        }
    }

    /// Records the limit signal in the response to a request sent at `sent_at`; returns whether
    /// members have to be notified.
    pub(super) fn record_signal(
        &self,
        endpoint: &str,
        signal: LimitSignal,
        sent_at: Duration,
    ) -> bool {
        let now = self.clock.now();
        let change = self
            .limits
            .lock()
            .record_signal(endpoint, signal, sent_at, now);
        self.report_change(endpoint, change, "answer")
    }

    /// Applies a limit update from a member; returns whether other members have to be notified.
    pub(super) fn apply_update(&self, update: &LimitUpdate) -> bool {
        let now = self.clock.now();
        let change = self.limits.lock().apply_update(update, now);
        self.report_change(&update.endpoint, change, "member")
    }

    /// Logs a change of a limit and its source; returns whether a limit began or ended.
    fn report_change(
        &self,
        endpoint: &str,
        change: Option<LimitChange>,
        source: &'static str,
    ) -> bool {
        let Some(change) = change else { return false };
        let (kind, limit_per_s) = match change {
            LimitChange::Began(per_s) => ("began", Some(per_s)),
            LimitChange::Changed(per_s) => ("changed", Some(per_s)),
            LimitChange::Ended => ("ended", None),
        };
        metrics::counter!("larkwick_endpoint_limits_total", "change" => kind).increment(1);
        let count = self.limits.lock().len();
        metrics::gauge!("larkwick_endpoint_limits")
            .set(f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
        if crate::log::should_log("endpoint names a limit") {
            info!("endpoint names a limit", kv: { endpoint, change = kind, limit_per_s:?, source });
        }
        !matches!(change, LimitChange::Changed(_))
    }

    /// Returns the limits that began or ended recently, starting at an offset.
    pub(super) fn recent_updates(&self, first: usize) -> Vec<LimitUpdate> {
        self.limits.lock().recent_updates(first, self.clock.now())
    }

    /// Returns the limit of an endpoint on the sum of all instances, in requests per second, or
    /// `None` if it announces none.
    pub(super) fn limit_per_s(&self, endpoint: &str) -> Option<f64> {
        self.limits.lock().per_s(endpoint)
    }

    /// Returns whether any endpoint announces a limit.
    pub(super) fn has_limits(&self) -> bool {
        !self.limits.lock().is_empty()
    }

    /// Returns the limits in requests per second, by endpoint incarnation.
    pub(super) fn limits(&self) -> BTreeMap<String, f64> {
        self.limits.lock().announced().collect()
    }

    /// Returns a version that increases with every change of a limit.
    pub(super) fn limits_version(&self) -> u64 {
        self.limits.lock().version()
    }

    /// Returns the time until which permits for an endpoint are denied, or `None` if one may be
    /// available or none is needed.
    pub(super) fn denied_until(&self, endpoint: &str) -> Option<Duration> {
        let now = self.clock.now();
        let until = self.requested.lock().denied_until(endpoint, now)?;
        self.limit_per_s(endpoint).map(|_| until)
    }

    /// Returns the endpoints for which permits are currently denied.
    pub(super) fn denied_endpoints(&self) -> Vec<String> {
        let now = self.clock.now();
        let requested = self.requested.lock();
        let denied = requested
            .denied_endpoints(now)
            .map(str::to_owned)
            .collect::<Vec<_>>();
        drop(requested);
        let limits = self.limits.lock();
        let is_limited = |endpoint: &String| limits.per_s(endpoint).is_some();
        denied.into_iter().filter(is_limited).collect()
    }

    /// Consumes a permit; returns whether the request may be sent to the endpoint now.
    ///
    /// This is checked right before sending, because a limit may have been announced after the
    /// endpoint was selected, or the machine may have been suspended.
    pub(super) fn try_consume(&self, endpoint: &str, mut permit: Permit) -> bool {
        // Consumed even if only the issuer knows of the limit.
        let expires_at = permit.expires_at.take();
        let Some(limit_per_s) = self.limit_per_s(endpoint) else {
            return true;
        };
        let now = self.clock.now();
        let is_valid =
            permit.endpoint == endpoint && expires_at.is_some_and(|expires_at| now < expires_at);
        if is_valid {
            metrics::counter!("larkwick_sent_to_limited_total").increment(1);
            if crate::log::should_log("sent to limited endpoint") {
                info!("sent to limited endpoint", kv: { endpoint, limit_per_s: });
            }
        }
        is_valid
    }

    /// Evicts expired permits and denials, limits of unknown endpoints, and what was issued for
    /// endpoints without a limit.
    pub(super) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        self.limits.lock().prune(is_known, now);
        self.requested.lock().prune(now);
        let is_limited = |endpoint: &str| self.limit_per_s(endpoint).is_some();
        self.issuer.lock().prune(is_limited);
    }
}

/// Creates a permit granted at the given time, or one without expiry time if no limit was known.
fn new_permit(
    permits: &Arc<EndpointPermits>,
    endpoint: &str,
    granted_at: Option<Duration>,
) -> Permit {
    Permit {
        permits: permits.clone(),
        endpoint: endpoint.to_owned(),
        expires_at: granted_at.map(|at| at + PERMIT_VALID_FOR),
    }
}

impl Gateway {
    /// Returns the permit that came with a placement or with an order to resume at an engine;
    /// `counted_at` is set if it counted towards the limit.
    pub(super) fn permit_for_placement(
        &self,
        endpoint: &str,
        counted_at: Option<Duration>,
    ) -> Permit {
        new_permit(&self.endpoint_signals.permits, endpoint, counted_at)
    }

    /// Requests a permit for one request to an endpoint from its issuer; returns `None` if none is
    /// available now.
    pub(super) async fn request_permit(&self, service: &str, endpoint: &str) -> Option<Permit> {
        let permits = &self.endpoint_signals.permits;
        let requested_at = self.now();
        let known = permits.limits.lock().update_for(endpoint, requested_at);
        let Some(known) = known else {
            return Some(new_permit(permits, endpoint, None));
        };
        let unused_until = permits.requested.lock().take_unused(endpoint, requested_at);
        if let Some(expires_at) = unused_until {
            let mut permit = new_permit(permits, endpoint, None);
            permit.expires_at = Some(expires_at);
            return Some(permit);
        }
        if permits.denied_until(endpoint).is_some() {
            return None;
        }
        // Boxed because it is rare, and would otherwise enlarge the future of every call in flight.
        let decision = Box::pin(self.request_from_issuer(service, known)).await;
        let granted = decision == PermitDecision::Granted;
        metrics::counter!("larkwick_permits_asked_total", "granted" => granted.to_string())
            .increment(1);
        match decision {
            PermitDecision::Granted => Some(new_permit(permits, endpoint, Some(requested_at))),
            PermitDecision::NotBefore(until) => {
                let now = self.now();
                permits.requested.lock().record_denial(endpoint, until, now);
                None
            }
        }
    }

    /// Waits for a permit, for at most [`RUNNING_PERMIT_WAIT_MAX`].
    ///
    /// Used for generations that run at the endpoint or resume there, which are lost without a
    /// permit.
    pub(super) async fn wait_for_permit(&self, service: &str, endpoint: &str) -> Option<Permit> {
        let until = self.now() + RUNNING_PERMIT_WAIT_MAX;
        loop {
            let permit = self.request_permit(service, endpoint).await;
            if permit.is_some() {
                return permit;
            }
            let available_at = self.endpoint_signals.permits.denied_until(endpoint);
            let available_at = available_at.unwrap_or_else(|| self.now());
            if available_at >= until {
                return None;
            }
            self.sleep_until(available_at).await;
        }
    }

    /// Requests a permit from the issuer. The time in the decision is on this instance's clock.
    async fn request_from_issuer(&self, service: &str, known: LimitUpdate) -> PermitDecision {
        let own_name = &self.incarnation.name;
        let Some(address) =
            reachable_owner_address(self, &self.issuer_key(service, &known.endpoint))
        else {
            return self.issue_permit(service, &known, own_name);
        };
        let request = wire::PermitRequest {
            service: service.to_owned(),
            endpoint: known.endpoint.clone(),
            asker: own_name.clone(),
            limit_per_s: known.per_s.unwrap_or_default(),
            named_ms_ago: millis(known.age),
        };
        let reply = match self.peers.site_client(&address) {
            Ok(mut client) => call_with_timeout(REQUEST_TIMEOUT, client.permit(request)).await,
            Err(status) => Err(status),
        };
        match reply {
            Ok(reply) if reply.granted => PermitDecision::Granted,
            Ok(reply) => {
                PermitDecision::NotBefore(self.now().saturating_add(ms(reply.not_before_ms)))
            }
            Err(status) => {
                if crate::log::should_log("no answer for a permit") {
                    warn!("no answer for a permit", kv: {
                        endpoint = known.endpoint.as_str(), giver = address.as_str(), why = status.message(),
                    });
                }
                PermitDecision::NotBefore(self.now() + REQUEST_RETRY_PAUSE)
            }
        }
    }

    /// Decides on the permit request of an instance, which includes the limit it knows.
    pub(super) fn issue_permit(
        &self,
        service: &str,
        known: &LimitUpdate,
        requester: &str,
    ) -> PermitDecision {
        let permits = &self.endpoint_signals.permits;
        if permits.apply_update(known) {
            self.endpoint_signals.notify_limits_changed();
        }
        let endpoint = &known.endpoint;
        let now = self.now();
        let Some(per_s) = permits.limit_per_s(endpoint) else {
            // The limit has ended; the requester will be notified of that.
            return PermitDecision::Granted;
        };
        let key = self.issuer_key(service, endpoint);
        if !acts_as_owner(self, &key) {
            return PermitDecision::NotBefore(now + REQUEST_RETRY_PAUSE);
        }
        let limit = LimitShare {
            per_s,
            share: self.issuer_share(&key),
        };
        if self.has_engines(service) {
            let ledgers = self.ledgers.shard(service);
            return ledgers
                .lock()
                .ledger
                .request_permit(endpoint, requester, limit, now);
        }
        permits
            .issuer
            .lock()
            .request(endpoint, requester, limit, now)
    }

    /// Returns the share of a site-wide limit that this instance may use as the issuer for a key.
    pub(super) fn issuer_share(&self, key: &str) -> IssuerShare {
        let total = self.sharing_instance_count();
        let reachable = if !self.knows_members() {
            0
        } else if owner_address(self, key).is_none() {
            self.live_instance_count()
        } else {
            1
        };
        IssuerShare { reachable, total }
    }

    pub(super) fn has_engines(&self, service: &str) -> bool {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Returns the key whose owner issues the permits for an endpoint.
    fn issuer_key(&self, service: &str, endpoint: &str) -> String {
        if self.has_engines(service) {
            service.to_owned()
        } else {
            endpoint.to_owned()
        }
    }

    /// Applies limit updates from a member.
    pub(crate) fn apply_limit_updates(&self, updates: Vec<wire::EndpointLimit>) {
        let mut has_changed = false;
        for limit in updates {
            let endpoint = self.fleet.lock().id_by_short_name(limit.endpoint);
            let Some(endpoint) = endpoint else { continue };
            let update = LimitUpdate {
                endpoint,
                per_s: (!limit.ended).then_some(limit.per_s),
                age: ms(limit.ms_ago),
            };
            has_changed |= self.endpoint_signals.permits.apply_update(&update);
        }
        if has_changed {
            self.endpoint_signals.notify_limits_changed();
        }
    }

    /// Returns the limit updates to send to members, starting at an offset.
    pub(crate) fn limit_updates(&self, first: usize) -> Vec<wire::EndpointLimit> {
        let updates = self
            .endpoint_signals
            .permits
            .recent_updates(first)
            .into_iter();
        let updates = updates.map(|update| wire::EndpointLimit {
            endpoint: crate::kernel::fingerprint::short_hash(&update.endpoint),
            per_s: update.per_s.unwrap_or_default(),
            ended: update.per_s.is_none(),
            ms_ago: millis(update.age),
        });
        updates.collect()
    }
}
