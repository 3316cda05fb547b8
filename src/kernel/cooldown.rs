//! Cooldowns: periods for which an endpoint asked this instance to send it nothing.
//!
//! This matters when some endpoints reject most of their requests while others have capacity.
//! Without a cooldown every further request would repeat the futile attempt and use up one of the
//! retries that the service is allowed.

use std::collections::BTreeMap;
use std::time::Duration;

/// The longest cooldown, whatever the endpoint asks for. A day is far longer than an overload
/// lasts, and it keeps times within the range of the clock.
pub const COOLDOWN_MAX: Duration = Duration::from_hours(24);
/// Requests that may reach an endpoint during one cooldown; users accept this many. They are
/// reserved for work that already runs there, to move or to resume it, and never used for new work.
pub const EXEMPT_REQUESTS_MAX: u32 = 2;
/// The retry times that clients are given are spread between the end of the cooldown and this
/// multiple of the remaining time, so that they do not all return at once.
pub const RETRY_AFTER_SPREAD: f64 = 1.3;

/// The cooldown of one endpoint.
#[derive(Debug, Clone, Copy)]
struct Cooldown {
    until: Duration,
    /// Never above [`EXEMPT_REQUESTS_MAX`].
    exempt_used: u32,
}

/// The endpoints that asked for a cooldown, by incarnation. At most one entry for each known
/// endpoint.
#[derive(Debug, Default)]
pub struct EndpointCooldowns {
    cooldowns: BTreeMap<String, Cooldown>,
}

impl EndpointCooldowns {
    /// Starts or extends the cooldown of an endpoint; of two that overlap, the later end applies.
    /// Returns whether the endpoint was not cooling down before.
    pub fn start(&mut self, endpoint: &str, cooldown: Duration, now: Duration) -> bool {
        let until = now.saturating_add(cooldown.min(COOLDOWN_MAX));
        if until <= now {
            return false;
        }
        let is_new = !self.is_cooling_down(endpoint, now);
        if is_new {
            self.cooldowns.remove(endpoint);
        }
        let entry = self.cooldowns.entry(endpoint.to_owned());
        let entry = entry.or_insert(Cooldown {
            until,
            exempt_used: 0,
        });
        entry.until = entry.until.max(until);
        is_new
    }

    /// Returns until when an endpoint is cooling down; `None` if it is not.
    #[must_use]
    pub fn ends_at(&self, endpoint: &str, now: Duration) -> Option<Duration> {
        let cooldown = self.cooldowns.get(endpoint)?;
        (now < cooldown.until).then_some(cooldown.until)
    }

    /// Returns whether an endpoint is cooling down.
    #[must_use]
    pub fn is_cooling_down(&self, endpoint: &str, now: Duration) -> bool {
        self.ends_at(endpoint, now).is_some()
    }

    /// Returns the endpoints that are cooling down.
    pub fn cooling_down(&self, now: Duration) -> impl Iterator<Item = &str> {
        let cooldowns = self.cooldowns.iter();
        let cooling_down = cooldowns.filter(move |(_, cooldown)| now < cooldown.until);
        cooling_down.map(|(endpoint, _)| endpoint.as_str())
    }

    /// Returns whether a request for work that already runs on an endpoint may be sent to it.
    /// During a cooldown the request counts against [`EXEMPT_REQUESTS_MAX`].
    pub fn try_admit_exempt(&mut self, endpoint: &str, now: Duration) -> bool {
        let cooldown = self.cooldowns.get_mut(endpoint);
        let Some(cooldown) = cooldown.filter(|cooldown| now < cooldown.until) else {
            return true;
        };
        let is_admitted = cooldown.exempt_used < EXEMPT_REQUESTS_MAX;
        cooldown.exempt_used += u32::from(is_admitted);
        is_admitted
    }

    /// Removes cooldowns that are over and endpoints that are gone.
    pub fn prune(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        let cooldowns = &mut self.cooldowns;
        cooldowns.retain(|endpoint, cooldown| now < cooldown.until && is_known(endpoint));
    }
}

/// Whether a service can accept one more request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceAvailability {
    /// At least one endpoint is not cooling down, or the service has no endpoints, which is handled
    /// elsewhere.
    Available,
    /// All endpoints are cooling down, and the first becomes available in time.
    AvailableAt {
        /// When the first endpoint becomes available.
        at: Duration,
    },
    /// All endpoints are cooling down for longer than the request can wait.
    Unavailable {
        /// When the first endpoint becomes available.
        until: Duration,
    },
}

impl ServiceAvailability {
    /// Returns the availability for a request that can wait until `waits_until`.
    /// `unavailable_until` holds, for each endpoint that accepts work, until when it is
    /// unavailable; `None` if it is available.
    #[must_use]
    pub fn for_request(
        unavailable_until: impl IntoIterator<Item = Option<Duration>>,
        waits_until: Duration,
    ) -> Self {
        let mut earliest: Option<Duration> = None;
        for until in unavailable_until {
            let Some(until) = until else {
                return Self::Available;
            };
            earliest = Some(earliest.map_or(until, |earliest| earliest.min(until)));
        }
        match earliest {
            None => Self::Available,
            Some(at) if at <= waits_until => Self::AvailableAt { at },
            Some(until) => Self::Unavailable { until },
        }
    }
}
