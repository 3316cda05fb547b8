//! Rate limits for endpoints that have just started: while cold they are slow, and they fail well
//! above a declared rate.
//!
//! The worst case is that all endpoints of a hall or of a service restart cold together, while the
//! callers that could not be served retry. Instances share the declared rate without communicating.
//! The owner of a service's engines places for all instances and has the full rate; all instances
//! that place on their own share half of it. Calls that every instance places by itself go to a
//! cold endpoint only from a few instances, as many as the calls it sustains per second, selected
//! by the hash of both names. So instances that agree on the membership together send at most the
//! declared rate, however many are cut off; an instance that knows too few members sends its own
//! share in addition. The platform allows one and a half times the rate.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::membership::rendezvous_share;

/// Window over which requests are counted; the platform's limit is per second.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Share of the rate for all instances that place on their own beside an owner. The owner has the
/// full rate, and the platform allows half as much again.
const STANDALONE_SHARE: f64 = 0.5;

/// Cold-start behaviour of a service's endpoints as configured.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ColdStart {
    /// How long an endpoint is cold after a start.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// Sustainable rate meanwhile, in calls per second.
    #[serde(rename = "bears_per_s")]
    pub sustainable_per_s: f64,
}

/// Role of the instance that sends to a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// The owner, which places for all instances.
    Owner,
    /// An instance that knows no member list yet, and so not with how many it shares the rate.
    Uninformed,
    /// One of several instances that place on their own, beside an owner.
    Standalone {
        /// Number of instances, including this one.
        instances: usize,
    },
}

fn to_u32_clamped(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let clamped = number.clamp(0.0, 1e9) as u32;
    clamped
}

impl ColdStart {
    /// Returns how many requests per second a sender may make to one cold endpoint.
    #[must_use]
    pub fn share_per_s(&self, sender: Sender) -> u32 {
        match sender {
            Sender::Owner => to_u32_clamped(self.sustainable_per_s).max(1),
            Sender::Uninformed => 0,
            Sender::Standalone { instances } => {
                let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
                to_u32_clamped(self.sustainable_per_s * STANDALONE_SHARE / instances)
            }
        }
    }

    /// Returns how many calls per second one instance may send to one cold endpoint if all
    /// instances place on their own. `others` are the names of the other members.
    #[must_use]
    pub fn share_per_s_by_hash<'a>(
        &self,
        own_name: &str,
        others: impl Iterator<Item = &'a str>,
        endpoint: &str,
    ) -> u32 {
        let own = rendezvous_share(own_name, endpoint);
        let (mut instances, mut ahead) = (1, 0);
        for other in others {
            instances += 1;
            ahead += u32::from(rendezvous_share(other, endpoint) > own);
        }
        let calls_per_s = to_u32_clamped(self.sustainable_per_s).max(1);
        calls_per_s / instances + u32::from(ahead < calls_per_s % instances)
    }
}

/// Limits the requests that this instance sends to cold endpoints.
#[derive(Debug, Default)]
pub struct ColdRateLimiter {
    sent: HashMap<String, VecDeque<Duration>>,
}

impl ColdRateLimiter {
    /// Returns whether one more request may be sent to an endpoint, given this instance's share in
    /// requests per second.
    #[must_use]
    pub fn can_send(&self, endpoint: &str, share_per_s: u32, now: Duration) -> bool {
        let sent = self.sent.get(endpoint);
        let sent = sent.into_iter().flatten();
        let recent = sent.filter(|at| now.saturating_sub(**at) < RATE_WINDOW);
        recent.count() < usize::try_from(share_per_s).unwrap_or(usize::MAX)
    }

    /// Records a sent request.
    pub fn record_sent(&mut self, endpoint: &str, now: Duration) {
        let sent = self.sent.entry(endpoint.to_owned()).or_default();
        while sent
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= RATE_WINDOW)
        {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Evicts endpoints without requests in the last window.
    pub fn prune(&mut self, now: Duration) {
        self.sent.retain(|_, sent| {
            sent.back()
                .is_some_and(|at| now.saturating_sub(*at) < RATE_WINDOW)
        });
    }
}
