//! Issues permits for requests to endpoints that announce a rate limit.
//!
//! The limit bounds the requests of all instances together, so one instance issues the permits for
//! each endpoint and every request spends one.
//!
//! The permits of all issuers together stay below one and a half times the limit, whichever
//! instances believe that they are the issuer:
//! - An issuer grants only the fraction of the limit that belongs to the instances it can reach,
//!   out of all instances. The share of unreachable instances is left to another issuer.
//! - One issuer grants no requester more than one and a half times its even share. A few instances
//!   that pick a different issuer from the rest therefore get little there.
//! - An issuer starts with an empty bucket, so an instance that takes over need not know what was
//!   granted before.
//! - A permit expires within [`PERMIT_VALID_FOR`], so an instance that was paused has none left
//!   when it resumes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// How long an unused permit stays valid. Long compared with opening a connection, short compared
/// with the seconds over which limits are counted.
pub const PERMIT_VALID_FOR: Duration = Duration::from_millis(300);
/// Unused capacity accumulates for this long, plus one request.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Minimum rate sent to an endpoint, however low its limit is: only a response can announce a
/// higher limit.
const PROBES_PER_S_MIN: f64 = 0.25;
/// Maximum share of one requester, as a multiple of its even share. Callers do not spread evenly
/// over the instances.
const REQUESTER_SHARE_MAX: f64 = 1.5;
/// Longest time until a requester asks again; the issuer or the limit may have changed by then.
pub const REQUEST_AGAIN_AFTER: Duration = Duration::from_secs(2);
/// Shortest wait that a denial asks for.
const WAIT_MIN: Duration = Duration::from_millis(5);

/// The fraction of a site-wide limit that one instance may issue, to itself and to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct IssuerShare {
    /// Instances whose shares it may issue; 0 if it does not know the number of instances.
    #[serde(rename = "lending")]
    pub reachable: usize,
    /// All instances of the site; never 0.
    #[serde(rename = "of")]
    pub total: usize,
}

fn count_as_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

impl IssuerShare {
    /// Returns the fraction, from 0 to 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        count_as_f64(self.reachable.min(self.total)) / count_as_f64(self.total.max(1))
    }

    /// Returns the largest fraction that one requester may receive.
    fn requester_fraction(self) -> f64 {
        self.fraction()
            .min(REQUESTER_SHARE_MAX / count_as_f64(self.total.max(1)))
    }
}

/// The rate limit of an endpoint and the fraction of it that is issued here.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LimitShare {
    /// Requests per second that the endpoint accepts from all instances together.
    pub per_s: f64,
    /// The fraction that is issued here.
    pub share: IssuerShare,
}

impl LimitShare {
    fn issued_per_s(self) -> f64 {
        self.per_s.max(PROBES_PER_S_MIN) * self.share.fraction()
    }

    fn requester_per_s(self) -> f64 {
        self.per_s.max(PROBES_PER_S_MIN) * self.share.requester_fraction()
    }
}

/// The result of a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// One request may be sent.
    Granted,
    /// No permit is available before this time.
    NotBefore(Duration),
}

/// A token bucket; one token is one request.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    /// Capped at one plus what accumulates in [`BURST_WINDOW`].
    tokens: f64,
    /// When `tokens` was computed.
    updated_at: Duration,
}

impl TokenBucket {
    const fn empty(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            updated_at: now,
        }
    }

    fn tokens_at(self, per_s: f64, now: Duration) -> f64 {
        let capacity = 1.0 + per_s * BURST_WINDOW.as_secs_f64();
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.tokens + per_s * elapsed_s).min(capacity)
    }

    /// Returns when the next token is available.
    fn next_token_at(self, per_s: f64, now: Duration) -> Duration {
        let shortfall = (1.0 - self.tokens_at(per_s, now)).max(0.0);
        let wait = Duration::try_from_secs_f64(shortfall / per_s);
        let wait = wait.unwrap_or(REQUEST_AGAIN_AFTER).min(REQUEST_AGAIN_AFTER);
        now.saturating_add(wait)
    }

    fn spend(&mut self, per_s: f64, now: Duration) {
        self.tokens = self.tokens_at(per_s, now) - 1.0;
        self.updated_at = now;
    }
}

/// The permits issued for one endpoint.
#[derive(Debug)]
struct EndpointGrants {
    /// Limits all requesters together.
    shared: TokenBucket,
    /// Limit single requesters, by instance name.
    requesters: BTreeMap<String, TokenBucket>,
}

impl EndpointGrants {
    const fn empty(now: Duration) -> Self {
        Self {
            shared: TokenBucket::empty(now),
            requesters: BTreeMap::new(),
        }
    }
}

/// The permits that this instance issues, by endpoint incarnation.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    grants: BTreeMap<String, EndpointGrants>,
}

impl PermitIssuer {
    /// Returns when a permit is available to a requester: `now` if one is available already.
    #[must_use]
    pub fn available_at(
        &self,
        endpoint: &str,
        requester: &str,
        limit: LimitShare,
        now: Duration,
    ) -> Duration {
        if limit.share.reachable == 0 {
            return now.saturating_add(REQUEST_AGAIN_AFTER);
        }
        let grants = self.grants.get(endpoint);
        let shared = grants.map_or(TokenBucket::empty(now), |grants| grants.shared);
        let shared_at = shared.next_token_at(limit.issued_per_s(), now);
        let bucket = grants.and_then(|grants| grants.requesters.get(requester));
        let requester_at = bucket.map_or(now, |bucket| {
            bucket.next_token_at(limit.requester_per_s(), now)
        });
        shared_at.max(requester_at)
    }

    /// Starts to accumulate permits for an endpoint, unless that has begun already.
    pub fn start_accrual(&mut self, endpoint: &str, now: Duration) {
        if !self.grants.contains_key(endpoint) {
            self.grants
                .insert(endpoint.to_owned(), EndpointGrants::empty(now));
        }
    }

    /// Issues a permit if one is available.
    pub fn request(
        &mut self,
        endpoint: &str,
        requester: &str,
        limit: LimitShare,
        now: Duration,
    ) -> PermitDecision {
        let available_at = self.available_at(endpoint, requester, limit, now);
        let grants = self.grants.entry(endpoint.to_owned());
        let grants = grants.or_insert_with(|| EndpointGrants::empty(now));
        if available_at > now {
            return PermitDecision::NotBefore(available_at.max(now + WAIT_MIN));
        }
        grants.shared.spend(limit.issued_per_s(), now);
        let requester_bucket = grants.requesters.entry(requester.to_owned());
        let requester_bucket = requester_bucket.or_insert(TokenBucket {
            tokens: 1.0,
            updated_at: now,
        });
        requester_bucket.spend(limit.requester_per_s(), now);
        PermitDecision::Granted
    }

    /// Removes endpoints that announce no limit.
    pub fn prune(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.grants.retain(|endpoint, _| is_limited(endpoint));
    }
}

/// Results of this instance's permit requests, by endpoint incarnation.
#[derive(Debug, Default)]
pub struct RequestedPermits {
    /// Permits are denied until these times.
    denied_until: BTreeMap<String, Duration>,
    /// Granted permits that were not used, by their expiry time.
    unused: BTreeMap<String, Vec<Duration>>,
}

impl RequestedPermits {
    /// Records that permits are denied until a time.
    pub fn record_denial(&mut self, endpoint: &str, until: Duration, now: Duration) {
        let until = until.min(now.saturating_add(REQUEST_AGAIN_AFTER));
        self.denied_until.insert(endpoint.to_owned(), until);
    }

    /// Returns until when permits are denied; `None` if one may be available.
    #[must_use]
    pub fn denied_until(&self, endpoint: &str, now: Duration) -> Option<Duration> {
        let has_unused = self.unused.get(endpoint);
        let has_unused =
            has_unused.is_some_and(|unused| unused.iter().any(|expires_at| now < *expires_at));
        let until = self.denied_until.get(endpoint).copied();
        until.filter(|until| now < *until && !has_unused)
    }

    /// Returns the endpoints for which permits are denied.
    pub fn denied_endpoints(&self, now: Duration) -> impl Iterator<Item = &str> {
        let all = self.denied_until.keys();
        let denied = all.filter(move |endpoint| self.denied_until(endpoint, now).is_some());
        denied.map(String::as_str)
    }

    /// Stores a permit that was granted and not used.
    pub fn keep_unused(&mut self, endpoint: &str, expires_at: Duration) {
        let unused = self.unused.entry(endpoint.to_owned()).or_default();
        unused.push(expires_at);
    }

    /// Removes an unused permit and returns when it expires.
    pub fn take_unused(&mut self, endpoint: &str, now: Duration) -> Option<Duration> {
        let unused = self.unused.get_mut(endpoint)?;
        unused.retain(|expires_at| now < *expires_at);
        unused.pop()
    }

    /// Removes denials that are over and permits that have expired.
    pub fn prune(&mut self, now: Duration) {
        self.denied_until.retain(|_, until| now < *until);
        self.unused
            .retain(|_, unused| unused.iter().any(|expires_at| now < *expires_at));
    }
}
