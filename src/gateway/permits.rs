//! Requests to endpoints that name a limit: each leaves with a permit of the one instance that gives them for its endpoint.
//!
//! Who owns a service's engines gives the permits for them, with the places; for a plain endpoint it is the live member with the highest weighted hash
//! for it. Nothing is asked for where no limit is named.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::{info, warn};

use super::node::Gateway;
use super::ownership::{acts_as_owner, owner_address, reachable_owner_address};
use super::site_store::Subject;
use crate::kernel::clock::{Clock, millis};
use crate::kernel::limit::{EndpointLimits, LimitChange, LimitSignal, LimitUpdate};
use crate::kernel::permits::{
    IssuerShare, LimitShare, PERMIT_VALID_FOR, PermitDecision, PermitIssuer, RequestedPermits,
};
use crate::peer::client::call_with_timeout;
use crate::peer::generated as wire;
use crate::settings::ms;

/// Longest wait for the answer of a giver, which stands within milliseconds.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// A giver that did not answer, or that takes another instance for the giver, is asked again after this time.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// For so long a permit is waited for that a running generation needs.
const RUNNING_WAIT_MAX: Duration = Duration::from_millis(600);

/// What is known of limits, and the permits that this instance gives and has. No other lock is taken while one of its own is held, but for `limits` while
/// `given` is.
pub(crate) struct PermitDesk {
    clock: Arc<dyn Clock>,
    /// What endpoints take from all instances together.
    limits: Mutex<EndpointLimits>,
    /// What is given here for plain endpoints; the ledgers give for engines.
    given: Mutex<PermitIssuer>,
    /// What was asked for here.
    asked: Mutex<RequestedPermits>,
}

/// Lets one request leave for an endpoint that names a limit, until it is void. One that is not used is kept for the next request.
pub(crate) struct Permit {
    desk: Arc<PermitDesk>,
    endpoint: String,
    /// Nothing where no limit was named when it was made, or once it is spent.
    void_at: Option<Duration>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.desk.clock.now();
        if let Some(void_at) = self.void_at.filter(|void_at| now < *void_at) {
            self.desk.asked.lock().keep_unused(&self.endpoint, void_at);
        }
    }
}

impl PermitDesk {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            limits: Mutex::default(),
            given: Mutex::default(),
            asked: Mutex::default(),
        }
    }

    /// Takes what an answer says to a request that was sent then; gives whether members are to hear of it.
    pub(super) fn take_word(&self, endpoint: &str, word: LimitSignal, sent_at: Duration) -> bool {
        let now = self.clock.now();
        let change = self
            .limits
            .lock()
            .record_signal(endpoint, word, sent_at, now);
        self.tell(endpoint, change, "answer")
    }

    /// Takes what a member tells; gives whether other members are to hear of it.
    pub(super) fn take_news(&self, news: &LimitUpdate) -> bool {
        let now = self.clock.now();
        let change = self.limits.lock().apply_update(news, now);
        self.tell(&news.endpoint, change, "member")
    }

    /// Tells of a change and from whom it is known; gives whether a limit began or ended.
    fn tell(&self, endpoint: &str, change: Option<LimitChange>, source: &'static str) -> bool {
        let Some(change) = change else { return false };
        let (kind, limit_per_s) = match change {
            LimitChange::Began(per_s) => ("began", Some(per_s)),
            LimitChange::Changed(per_s) => ("changed", Some(per_s)),
            LimitChange::Ended => ("ended", None),
        };
        metrics::counter!("larkwick_endpoint_limits_total", "change" => kind).increment(1);
        let named = self.limits.lock().len();
        metrics::gauge!("larkwick_endpoint_limits")
            .set(f64::from(u32::try_from(named).unwrap_or(u32::MAX)));
        if crate::log::should_log("endpoint names a limit") {
            info!("endpoint names a limit", kv: { endpoint, change = kind, limit_per_s:?, source });
        }
        !matches!(change, LimitChange::Changed(_))
    }

    /// Limits that began or ended of late.
    pub(super) fn news(&self, first: usize) -> Vec<LimitUpdate> {
        self.limits.lock().recent_updates(first, self.clock.now())
    }

    /// Requests a second that an endpoint takes from all instances together; nothing where it names no limit.
    pub(super) fn limit_per_s(&self, endpoint: &str) -> Option<f64> {
        self.limits.lock().per_s(endpoint)
    }

    /// Whether any endpoint names a limit.
    pub(super) fn names_any(&self) -> bool {
        !self.limits.lock().is_empty()
    }

    /// Requests a second, by start of endpoint that names a limit.
    pub(super) fn limits(&self) -> BTreeMap<String, f64> {
        self.limits.lock().announced().collect()
    }

    /// Rises with every change of a limit.
    pub(super) fn limits_version(&self) -> u64 {
        self.limits.lock().version()
    }

    /// Until when no permit is to be had for an endpoint; nothing where one may be, or none is needed.
    pub(super) fn none_before(&self, endpoint: &str) -> Option<Duration> {
        let now = self.clock.now();
        let until = self.asked.lock().denied_until(endpoint, now)?;
        self.limit_per_s(endpoint).map(|_| until)
    }

    /// Endpoints for which no permit is to be had now.
    pub(super) fn closed(&self) -> Vec<String> {
        let now = self.clock.now();
        let asked = self.asked.lock();
        let closed = asked
            .denied_endpoints(now)
            .map(str::to_owned)
            .collect::<Vec<_>>();
        drop(asked);
        let limits = self.limits.lock();
        let still = |endpoint: &String| limits.per_s(endpoint).is_some();
        closed.into_iter().filter(still).collect()
    }

    /// Whether a request may leave for an endpoint now. It is the last look, right before the send: a limit may have been named since the endpoint was
    /// chosen, and the machine may have stood still.
    pub(super) fn lets_pass(&self, endpoint: &str, mut permit: Permit) -> bool {
        // It is spent also where only its giver knows of the limit.
        let void_at = permit.void_at.take();
        let Some(limit_per_s) = self.limit_per_s(endpoint) else {
            return true;
        };
        let now = self.clock.now();
        let is_valid = permit.endpoint == endpoint && void_at.is_some_and(|void_at| now < void_at);
        if is_valid {
            metrics::counter!("larkwick_sent_to_limited_total").increment(1);
            if crate::log::should_log("sent to limited endpoint") {
                info!("sent to limited endpoint", kv: { endpoint, limit_per_s: });
            }
        }
        is_valid
    }

    /// Forgets what is over.
    pub(super) fn tidy(&self, is_known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        self.limits.lock().prune(is_known, now);
        self.asked.lock().prune(now);
        let limited = |endpoint: &str| self.limit_per_s(endpoint).is_some();
        self.given.lock().prune(limited);
    }
}

/// A permit of so long ago, or none where none was needed then.
fn permit(desk: &Arc<PermitDesk>, endpoint: &str, granted_at: Option<Duration>) -> Permit {
    Permit {
        desk: desk.clone(),
        endpoint: endpoint.to_owned(),
        void_at: granted_at.map(|at| at + PERMIT_VALID_FOR),
    }
}

impl Gateway {
    /// The permit that a place at an engine or an order to go on there brought, where it was counted then.
    pub(super) fn permit_of_place(&self, endpoint: &str, counted_at: Option<Duration>) -> Permit {
        permit(&self.words.permits, endpoint, counted_at)
    }

    /// A permit for one request to an endpoint, asked of the instance that gives them; nothing where none is to be had now.
    pub(super) async fn permit(&self, service: &str, endpoint: &str) -> Option<Permit> {
        let desk = &self.words.permits;
        let asked_at = self.now();
        let told = desk.limits.lock().update_for(endpoint, asked_at);
        let Some(told) = told else {
            return Some(permit(desk, endpoint, None));
        };
        let kept = desk.asked.lock().take_unused(endpoint, asked_at);
        if let Some(void_at) = kept {
            let mut kept = permit(desk, endpoint, None);
            kept.void_at = Some(void_at);
            return Some(kept);
        }
        if desk.none_before(endpoint).is_some() {
            return None;
        }
        // On the heap: it is rare, and each call in flight would hold room for it.
        let answer = Box::pin(self.ask_for_permit(service, told)).await;
        let granted = answer == PermitDecision::Granted;
        metrics::counter!("larkwick_permits_asked_total", "granted" => granted.to_string())
            .increment(1);
        match answer {
            PermitDecision::Granted => Some(permit(desk, endpoint, Some(asked_at))),
            PermitDecision::NotBefore(until) => {
                let now = self.now();
                desk.asked.lock().record_denial(endpoint, until, now);
                None
            }
        }
    }

    /// A permit for what runs at an endpoint already, or is to go on there: it is lost without, so that the next one is waited for.
    pub(super) async fn permit_soon(&self, service: &str, endpoint: &str) -> Option<Permit> {
        let until = self.now() + RUNNING_WAIT_MAX;
        loop {
            let permit = self.permit(service, endpoint).await;
            if permit.is_some() {
                return permit;
            }
            let next_at = self.words.permits.none_before(endpoint);
            let next_at = next_at.unwrap_or_else(|| self.now());
            if next_at >= until {
                return None;
            }
            self.sleep_until(next_at).await;
        }
    }

    /// Asks the giver for a permit. The time in an answer is on this instance's clock.
    async fn ask_for_permit(&self, service: &str, told: LimitUpdate) -> PermitDecision {
        let own_name = &self.incarnation.name;
        let Some(address) = reachable_owner_address(self, &self.giver_key(service, &told.endpoint))
        else {
            return self.give_permit(service, &told, own_name);
        };
        let request = wire::PermitRequest {
            service: service.to_owned(),
            endpoint: told.endpoint.clone(),
            asker: own_name.clone(),
            limit_per_s: told.per_s.unwrap_or_default(),
            named_ms_ago: millis(told.age),
        };
        let called = match self.peers.site_client(&address) {
            Ok(mut client) => call_with_timeout(ASK_TIMEOUT, client.permit(request)).await,
            Err(status) => Err(status),
        };
        match called {
            Ok(reply) if reply.granted => PermitDecision::Granted,
            Ok(reply) => {
                PermitDecision::NotBefore(self.now().saturating_add(ms(reply.not_before_ms)))
            }
            Err(status) => {
                if crate::log::should_log("no answer for a permit") {
                    warn!("no answer for a permit", kv: {
                        endpoint = told.endpoint.as_str(), giver = address.as_str(), why = status.message(),
                    });
                }
                PermitDecision::NotBefore(self.now() + ASK_AGAIN)
            }
        }
    }

    /// Gives a permit to an instance that tells what it knows of the limit.
    pub(super) fn give_permit(
        &self,
        service: &str,
        told: &LimitUpdate,
        asker: &str,
    ) -> PermitDecision {
        let desk = &self.words.permits;
        if desk.take_news(told) {
            self.words.tell_limits();
        }
        let endpoint = &told.endpoint;
        let now = self.now();
        let Some(per_s) = desk.limit_per_s(endpoint) else {
            // Its end is known here, and on its way to the asker.
            return PermitDecision::Granted;
        };
        let key = self.giver_key(service, endpoint);
        if !acts_as_owner(self, &key) {
            return PermitDecision::NotBefore(now + ASK_AGAIN);
        }
        let limit = LimitShare {
            per_s,
            share: self.sum_share(&key),
        };
        if self.has_engines(service) {
            let ledgers = self.ledgers.shard(service);
            return ledgers
                .lock()
                .ledger
                .request_permit(endpoint, asker, limit, now);
        }
        desk.given.lock().request(endpoint, asker, limit, now)
    }

    /// What of a bound on all instances this one may use, as the giver for a key, or alone.
    pub(super) fn sum_share(&self, key: &str) -> IssuerShare {
        let of = self.instances_sharing();
        let lending = if self.store.has_no_data(Subject::Members) {
            0
        } else if owner_address(self, key).is_none() {
            self.instances_live()
        } else {
            1
        };
        IssuerShare {
            reachable: lending,
            total: of,
        }
    }

    fn has_engines(&self, service: &str) -> bool {
        let table = self.table();
        let service = table.as_ref().and_then(|table| table.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// What decides who gives the permits for an endpoint.
    fn giver_key(&self, service: &str, endpoint: &str) -> String {
        if self.has_engines(service) {
            service.to_owned()
        } else {
            endpoint.to_owned()
        }
    }

    /// Takes what a member tells of limits.
    pub(crate) fn take_limits(&self, told: Vec<wire::EndpointLimit>) {
        let mut is_news = false;
        for limit in told {
            let endpoint = self.fleet.lock().id_by_short_name(limit.endpoint);
            let Some(endpoint) = endpoint else { continue };
            let news = LimitUpdate {
                endpoint,
                per_s: (!limit.ended).then_some(limit.per_s),
                age: ms(limit.ms_ago),
            };
            is_news |= self.words.permits.take_news(&news);
        }
        if is_news {
            self.words.tell_limits();
        }
    }

    /// What members are told of limits.
    pub(crate) fn limit_news(&self, first: usize) -> Vec<wire::EndpointLimit> {
        let news = self.words.permits.news(first).into_iter();
        let told = news.map(|news| wire::EndpointLimit {
            endpoint: crate::kernel::crash_suspects::short_hash(&news.endpoint),
            per_s: news.per_s.unwrap_or_default(),
            ended: news.per_s.is_none(),
            ms_ago: millis(news.age),
        });
        told.collect()
    }
}
