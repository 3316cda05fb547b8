//! What endpoints get that have just started: they are slow, and fall over well above a declared rate.
//!
//! The load that this answers: all endpoints of a hall, or of a whole service, come back cold together while the callers that could not be served come
//! back, too. Instances share the declared rate without asking each other. The owner of a service's engines places for all and has the
//! whole rate; all who place alone share half of it. Calls that every instance places by itself go to a cold endpoint from few instances only, as
//! many as it bears calls in a second, drawn by the hash of both names. So however many instances are cut off, those that agree on the members
//! send at most the rate, and one that knows fewer members than there are sends its own share of it on top; the platform allows half as much again.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::membership::rendezvous_share;

/// The time that rates are counted over; the platform's bound is per second.
const WINDOW: Duration = Duration::from_secs(1);
/// Part of the rate that is left to instances that place alone beside an owner: the owner has the whole rate, and half as much again is allowed.
const ALONE_PART: f64 = 0.5;

/// What a service says of its endpoints after a start.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ColdStart {
    /// How long an endpoint is cold after a start.
    pub lasts: Duration,
    /// Calls that it bears in a second meanwhile.
    pub bears_per_s: f64,
}

/// Who sends to a cold endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// The owner, who places for all.
    Owner,
    /// One of so many instances that place alone, beside an owner.
    Alone {
        /// All instances, this one included.
        instances: usize,
    },
}

fn whole(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to a range that fits"
    )]
    let whole = number.clamp(0.0, 1e9) as u32;
    whole
}

impl ColdStart {
    /// Requests that a sender may make to one cold endpoint in any second.
    #[must_use]
    pub fn share(&self, sender: Sender) -> u32 {
        match sender {
            Sender::Owner => whole(self.bears_per_s).max(1),
            Sender::Alone { instances } => {
                let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
                whole(self.bears_per_s * ALONE_PART / instances)
            }
        }
    }

    /// Calls that one instance may send to one cold endpoint in any second, where all place by themselves. `others` are the other members.
    #[must_use]
    pub fn share_by_name<'a>(
        &self,
        own_name: &str,
        others: impl Iterator<Item = &'a str>,
        endpoint: &str,
    ) -> u32 {
        let own = rendezvous_share(own_name, endpoint);
        let (mut instances, mut before) = (1, 0);
        for other in others {
            instances += 1;
            before += u32::from(rendezvous_share(other, endpoint) > own);
        }
        let bears = whole(self.bears_per_s).max(1);
        bears / instances + u32::from(before < bears % instances)
    }
}

/// What this instance has sent to cold endpoints of late.
#[derive(Debug, Default)]
pub struct ColdGate {
    sent: HashMap<String, VecDeque<Duration>>,
}

impl ColdGate {
    /// Whether one more may be sent to an endpoint that gets so many in a second from here.
    #[must_use]
    pub fn admits(&self, endpoint: &str, share: u32, now: Duration) -> bool {
        let sent = self.sent.get(endpoint);
        let sent = sent.into_iter().flatten();
        let of_late = sent.filter(|at| now.saturating_sub(**at) < WINDOW);
        of_late.count() < usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Counts one that is sent.
    pub fn note(&mut self, endpoint: &str, now: Duration) {
        let sent = self.sent.entry(endpoint.to_owned()).or_default();
        while sent
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= WINDOW)
        {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Forgets endpoints to which nothing was sent of late.
    pub fn tidy(&mut self, now: Duration) {
        self.sent.retain(|_, sent| {
            sent.back()
                .is_some_and(|at| now.saturating_sub(*at) < WINDOW)
        });
    }
}
