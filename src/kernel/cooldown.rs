//! Endpoints that asked this instance to send them nothing for a while.
//!
//! The load that this answers: endpoints that turn most of what they get away, while others have room. A refusal that is forgotten with its request costs
//! the next one the same vain send and one of the repeats that the service is allowed.

use std::collections::BTreeMap;
use std::time::Duration;

/// No rest is longer, whatever was asked: a day, far above the life of an endpoint's overload. It keeps times within what a clock can hold.
pub const REST_MAX: Duration = Duration::from_hours(24);
/// Requests that may reach an endpoint while it rests; users allow so many. They are spent on what runs there already - to move it away, or to go on with
/// it - and never on new work.
pub const RELIEF_MAX: u32 = 2;
/// Callers who are told to come back after a rest come within its end and this many times what is left of it, so that they do not come together.
pub const COME_BACK_SPREAD: f64 = 1.3;

/// An endpoint that rests.
#[derive(Debug, Clone, Copy)]
struct Rest {
    until: Duration,
    /// Never above [`RELIEF_MAX`].
    relief_spent: u32,
}

/// The endpoints that asked for rest, by start. One entry for each that is known, at most.
#[derive(Debug, Default)]
pub struct Rests {
    rests: BTreeMap<String, Rest>,
}

impl Rests {
    /// An endpoint asks for rest. Of two that overlap the later end holds. Gives whether it did not rest before.
    pub fn ask(&mut self, endpoint: &str, rest: Duration, now: Duration) -> bool {
        let until = now.saturating_add(rest.min(REST_MAX));
        if until <= now {
            return false;
        }
        let is_news = !self.is_resting(endpoint, now);
        if is_news {
            self.rests.remove(endpoint);
        }
        let kept = self.rests.entry(endpoint.to_owned());
        let kept = kept.or_insert(Rest {
            until,
            relief_spent: 0,
        });
        kept.until = kept.until.max(until);
        is_news
    }

    /// Until when an endpoint rests; nothing where it does not.
    #[must_use]
    pub fn until(&self, endpoint: &str, now: Duration) -> Option<Duration> {
        let rest = self.rests.get(endpoint)?;
        (now < rest.until).then_some(rest.until)
    }

    /// Whether an endpoint rests.
    #[must_use]
    pub fn is_resting(&self, endpoint: &str, now: Duration) -> bool {
        self.until(endpoint, now).is_some()
    }

    /// Endpoints that rest.
    pub fn resting(&self, now: Duration) -> impl Iterator<Item = &str> {
        let rests = self.rests.iter();
        let resting = rests.filter(move |(_, rest)| now < rest.until);
        resting.map(|(endpoint, _)| endpoint.as_str())
    }

    /// Whether a request may go to an endpoint for what runs there already. Counts it where the endpoint rests.
    pub fn admits_relief(&mut self, endpoint: &str, now: Duration) -> bool {
        let rest = self.rests.get_mut(endpoint);
        let Some(rest) = rest.filter(|rest| now < rest.until) else {
            return true;
        };
        let admitted = rest.relief_spent < RELIEF_MAX;
        rest.relief_spent += u32::from(admitted);
        admitted
    }

    /// Forgets rests that are over, and endpoints that are gone.
    pub fn tidy(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        let rests = &mut self.rests;
        rests.retain(|endpoint, rest| now < rest.until && is_known(endpoint));
    }
}

/// What a service can do for one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outlook {
    /// Some endpoint does not rest; or there is none, which is another matter.
    Open,
    /// All rest, and the first one is to be had in time.
    Opens {
        /// When.
        at: Duration,
    },
    /// All rest for too long.
    Closed {
        /// When the first one is to be had.
        until: Duration,
    },
}

impl Outlook {
    /// The outlook for a request that can wait until a time. `rests` tells of each endpoint that takes work until when it rests.
    #[must_use]
    pub fn of(rests: impl IntoIterator<Item = Option<Duration>>, waits_until: Duration) -> Self {
        let mut first: Option<Duration> = None;
        for rest in rests {
            let Some(until) = rest else {
                return Self::Open;
            };
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        match first {
            None => Self::Open,
            Some(at) if at <= waits_until => Self::Opens { at },
            Some(until) => Self::Closed { until },
        }
    }
}
