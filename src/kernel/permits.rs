//! Permits for requests to endpoints that name a limit. The limit is a bound on what all instances send together, so that one instance gives the
//! permits for each endpoint, and each request spends one.
//!
//! What all that give may give together stays below the limit and half as much again, whoever believes to be the one that gives. A giver gives the
//! part of the limit that belongs to the instances that it hears, of all that there are: those cut off from it are another one's. No asker gets more than
//! half as much again as its even part from one giver, so that few who take another instance for the giver than all others get little there. A giver begins with
//! nothing, so that one that takes over need not know what was given before. A permit is used within a moment or not at all, so that an instance
//! that stood still has none when it comes back.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

/// A permit that was not used for this long is void: long beside the opening of a connection, short beside the seconds that limits are counted over.
pub const PERMIT_LASTS: Duration = Duration::from_millis(300);
/// What is not asked for is kept for this long, and one request.
const UNUSED_KEPT: Duration = Duration::from_millis(250);
/// However little an endpoint takes, so much is sent to it: only an answer tells that it takes more again.
const TRIALS_PER_S: f64 = 0.25;
/// Times its even part that one asker may get: callers do not come to all instances alike.
const ASKER_TIMES: f64 = 1.5;
/// An asker looks again after this time at the latest: the giver, or the limit, may be another one by then.
pub const ASKED_AGAIN_AFTER: Duration = Duration::from_secs(2);
/// What is waited for takes at least this long.
const WAIT_MIN: Duration = Duration::from_millis(5);

/// The part of a bound on all instances that one of them may use for itself and for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct SumShare {
    /// Instances whose parts it may use; 0 where it does not know how many there are.
    pub lending: usize,
    /// All instances; never 0.
    pub of: usize,
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

impl SumShare {
    /// The part, from 0 to 1.
    #[must_use]
    pub fn part(self) -> f64 {
        count(self.lending.min(self.of)) / count(self.of.max(1))
    }

    /// The most of it that one asker gets.
    fn asker_part(self) -> f64 {
        self.part().min(ASKER_TIMES / count(self.of.max(1)))
    }
}

/// What an endpoint takes, and the part of it that is given here.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LimitShare {
    /// Requests a second that the endpoint takes from all instances together.
    pub per_s: f64,
    /// The part that is given here.
    pub share: SumShare,
}

impl LimitShare {
    fn given_per_s(self) -> f64 {
        self.per_s.max(TRIALS_PER_S) * self.share.part()
    }

    fn asker_per_s(self) -> f64 {
        self.per_s.max(TRIALS_PER_S) * self.share.asker_part()
    }
}

/// What becomes of a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// One request may be sent.
    Granted,
    /// None before this time.
    NotBefore(Duration),
}

/// Requests that may be sent, as they add up over time.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    /// Never above what is kept of the rate, see [`UNUSED_KEPT`].
    requests: f64,
    /// When it was counted.
    at: Duration,
}

impl Allowance {
    const fn none_yet(now: Duration) -> Self {
        Self {
            requests: 0.0,
            at: now,
        }
    }

    fn at(self, per_s: f64, now: Duration) -> f64 {
        let most = 1.0 + per_s * UNUSED_KEPT.as_secs_f64();
        let since_s = now.saturating_sub(self.at).as_secs_f64();
        (self.requests + per_s * since_s).min(most)
    }

    /// When one more may be sent.
    fn next_at(self, per_s: f64, now: Duration) -> Duration {
        let missing = (1.0 - self.at(per_s, now)).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / per_s);
        let wait = wait.unwrap_or(ASKED_AGAIN_AFTER).min(ASKED_AGAIN_AFTER);
        now.saturating_add(wait)
    }

    fn spend(&mut self, per_s: f64, now: Duration) {
        self.requests = self.at(per_s, now) - 1.0;
        self.at = now;
    }
}

/// What is given for one endpoint.
#[derive(Debug)]
struct Given {
    all: Allowance,
    /// By asker.
    askers: BTreeMap<String, Allowance>,
}

impl Given {
    const fn none_yet(now: Duration) -> Self {
        Self {
            all: Allowance::none_yet(now),
            askers: BTreeMap::new(),
        }
    }
}

/// The permits that an instance gives, by start of endpoint.
#[derive(Debug, Default)]
pub struct Permits {
    given: BTreeMap<String, Given>,
}

impl Permits {
    /// When an asker may have a permit; now where it may at once.
    #[must_use]
    pub fn next_at(
        &self,
        endpoint: &str,
        asker: &str,
        limit: LimitShare,
        now: Duration,
    ) -> Duration {
        if limit.share.lending == 0 {
            return now.saturating_add(ASKED_AGAIN_AFTER);
        }
        let given = self.given.get(endpoint);
        let all = given.map_or(Allowance::none_yet(now), |given| given.all);
        let all = all.next_at(limit.given_per_s(), now);
        let known = given.and_then(|given| given.askers.get(asker));
        let own = known.map_or(now, |asker| asker.next_at(limit.asker_per_s(), now));
        all.max(own)
    }

    /// From now on, if not since earlier, requests to an endpoint add up.
    pub fn begin(&mut self, endpoint: &str, now: Duration) {
        if !self.given.contains_key(endpoint) {
            self.given.insert(endpoint.to_owned(), Given::none_yet(now));
        }
    }

    /// Gives a permit, if there is one.
    pub fn ask(&mut self, endpoint: &str, asker: &str, limit: LimitShare, now: Duration) -> Answer {
        let next_at = self.next_at(endpoint, asker, limit, now);
        let given = self.given.entry(endpoint.to_owned());
        let given = given.or_insert_with(|| Given::none_yet(now));
        if next_at > now {
            return Answer::NotBefore(next_at.max(now + WAIT_MIN));
        }
        given.all.spend(limit.given_per_s(), now);
        let own = given.askers.entry(asker.to_owned());
        let own = own.or_insert(Allowance {
            requests: 1.0,
            at: now,
        });
        own.spend(limit.asker_per_s(), now);
        Answer::Granted
    }

    /// Forgets endpoints that name no limit.
    pub fn tidy(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.given.retain(|endpoint, _| is_limited(endpoint));
    }
}

/// What an instance knows of the permits that it asked for, by start of endpoint.
#[derive(Debug, Default)]
pub struct AskedPermits {
    /// Before these times none is to be had.
    none_before: BTreeMap<String, Duration>,
    /// Permits that were granted and not used, by the time at which they are void.
    unused: BTreeMap<String, Vec<Duration>>,
}

impl AskedPermits {
    /// None is to be had before a time.
    pub fn refused(&mut self, endpoint: &str, until: Duration, now: Duration) {
        let until = until.min(now.saturating_add(ASKED_AGAIN_AFTER));
        self.none_before.insert(endpoint.to_owned(), until);
    }

    /// Until when none is to be had; nothing where one may be.
    #[must_use]
    pub fn none_before(&self, endpoint: &str, now: Duration) -> Option<Duration> {
        let has_unused = self.unused.get(endpoint);
        let has_unused = has_unused.is_some_and(|unused| unused.iter().any(|void| now < *void));
        let until = self.none_before.get(endpoint).copied();
        until.filter(|until| now < *until && !has_unused)
    }

    /// Endpoints for which none is to be had.
    pub fn closed(&self, now: Duration) -> impl Iterator<Item = &str> {
        let all = self.none_before.keys();
        let closed = all.filter(move |endpoint| self.none_before(endpoint, now).is_some());
        closed.map(String::as_str)
    }

    /// Keeps a permit that was not used.
    pub fn keep(&mut self, endpoint: &str, void_at: Duration) {
        let unused = self.unused.entry(endpoint.to_owned()).or_default();
        unused.push(void_at);
    }

    /// A permit that was kept; gives when it is void.
    pub fn take_kept(&mut self, endpoint: &str, now: Duration) -> Option<Duration> {
        let unused = self.unused.get_mut(endpoint)?;
        unused.retain(|void| now < *void);
        unused.pop()
    }

    /// Forgets what is over.
    pub fn tidy(&mut self, now: Duration) {
        self.none_before.retain(|_, until| now < *until);
        self.unused
            .retain(|_, unused| unused.iter().any(|void| now < *void));
    }
}
