//! Tickets: a request marked not repeatable runs at most once, on the one incarnation that its ticket names.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::object::is_valid_name;

const SEPARATOR: char = '~';

/// A ticket as callers carry it, written `instance~incarnation~epoch`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Ticket {
    /// Instance that may run the request.
    pub instance: String,
    /// Incarnation of that instance.
    pub incarnation: Uuid,
    /// Ticket epoch of that incarnation when the ticket was given out.
    pub epoch: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            instance,
            incarnation,
            epoch,
        } = self;
        write!(f, "{instance}{SEPARATOR}{incarnation}{SEPARATOR}{epoch}")
    }
}

/// The text is not a ticket.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a ticket; take one from /v1/entries")]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        let mut parts = text.split(SEPARATOR);
        let (Some(instance), Some(incarnation), Some(epoch), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(ParseTicketError);
        };
        if !is_valid_name(instance) {
            return Err(ParseTicketError);
        }
        Ok(Self {
            instance: instance.to_owned(),
            incarnation: incarnation.parse().map_err(|_| ParseTicketError)?,
            epoch: epoch.parse().map_err(|_| ParseTicketError)?,
        })
    }
}

impl From<Ticket> for String {
    fn from(ticket: Ticket) -> Self {
        ticket.to_string()
    }
}

impl TryFrom<String> for Ticket {
    type Error = ParseTicketError;

    fn try_from(text: String) -> Result<Self, ParseTicketError> {
        text.parse()
    }
}

/// Identity of a request marked not repeatable.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Client account.
    pub account: String,
    /// The caller's `Idempotency-Key`.
    pub key: String,
}

/// Limits of a [`DedupTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TicketLimits {
    /// Tickets up to this many epochs old are accepted.
    pub accept_epochs: u64,
    /// Requests are remembered for tickets up to this many epochs old. Not below `accept_epochs`.
    pub remember_epochs: u64,
    /// How many requests are remembered.
    pub capacity: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            accept_epochs: 5,
            remember_epochs: 20,
            capacity: 50_000,
        }
    }
}

/// What to do with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DedupDecision<H> {
    /// First arrival: run it and record the answer through the handle.
    Run(H),
    /// Later arrival: wait for, or repeat, the answer of the first.
    Join(H),
    /// The ticket names another instance: relay there.
    Relay,
    /// The ticket names an earlier incarnation of this instance: nobody knows whether it ran.
    IncarnationGone,
    /// Too old to run; the memory shows that it never ran and never will.
    Stale,
    /// Too old to remember.
    Forgotten,
    /// The memory is full; the request did not run.
    Full,
}

/// The memory of requests marked not repeatable, of one incarnation of one instance.
///
/// `H` is the caller's handle to a running or finished answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DedupTable<H> {
    instance: String,
    incarnation: Uuid,
    epoch: u64,
    /// Tickets of earlier epochs run nothing new.
    refused_below_epoch: u64,
    limits: TicketLimits,
    /// Every request that was ever run here under a ticket not older than `limits.remember_epochs`.
    requests: Requests<H>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Remembered<H> {
    /// Highest epoch of the tickets this request arrived with.
    epoch: u64,
    /// Whether it was answered `not_run`.
    not_run: bool,
    handle: H,
}

/// A map that hashes, so that the model checker can compare states.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Requests<H>(HashMap<IdempotencyKey, Remembered<H>>);

impl<H: std::hash::Hash> std::hash::Hash for Requests<H> {
    fn hash<S: std::hash::Hasher>(&self, state: &mut S) {
        let mut all: Vec<_> = self.0.iter().collect();
        all.sort_by(|left, right| left.0.cmp(right.0));
        all.hash(state);
    }
}

impl<H: Clone> DedupTable<H> {
    /// An empty memory for a new incarnation.
    #[must_use]
    pub fn new(instance: &str, incarnation: Uuid, limits: TicketLimits) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            epoch: 0,
            refused_below_epoch: 0,
            limits,
            requests: Requests(HashMap::new()),
        }
    }

    /// The epoch that new tickets carry.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// How many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.0.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.0.is_empty()
    }

    /// Handles of the requests remembered.
    pub fn handles(&self) -> impl Iterator<Item = &H> {
        self.requests.0.values().map(|kept| &kept.handle)
    }

    /// A ticket for this incarnation.
    #[must_use]
    pub fn ticket(&self) -> Ticket {
        Ticket {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            epoch: self.epoch,
        }
    }

    /// Starts the next epoch and forgets requests whose tickets can no longer be answered from memory.
    pub fn advance_epoch(&mut self) {
        self.epoch += 1;
        let oldest = self.epoch.saturating_sub(self.limits.remember_epochs);
        self.requests.0.retain(|_, kept| kept.epoch >= oldest);
    }

    /// Decides on an arrival. `handle` is stored where the request runs for the first time; `has_room` is
    /// false where the caller's own limits leave no room for another answer.
    ///
    /// A request that was answered `not_run` stays remembered, since a late copy of it may still come: only a ticket of a later
    /// epoch may run it.
    pub fn admit(
        &mut self,
        ticket: &Ticket,
        key: &IdempotencyKey,
        handle: H,
        has_room: bool,
    ) -> DedupDecision<H> {
        if ticket.instance != self.instance {
            return DedupDecision::Relay;
        }
        if ticket.incarnation != self.incarnation {
            return DedupDecision::IncarnationGone;
        }
        let accepted = (self.first_accepted_epoch()..=self.epoch).contains(&ticket.epoch);
        if let Some(kept) = self.requests.0.get_mut(key) {
            let newer_after_not_run = kept.not_run && ticket.epoch > kept.epoch;
            kept.epoch = kept.epoch.max(ticket.epoch);
            if !(newer_after_not_run && accepted) {
                return DedupDecision::Join(kept.handle.clone());
            }
            kept.not_run = false;
            kept.handle = handle.clone();
            return DedupDecision::Run(handle);
        }
        if self.epoch.saturating_sub(ticket.epoch) > self.limits.remember_epochs {
            return DedupDecision::Forgotten;
        }
        if !accepted {
            return DedupDecision::Stale;
        }
        if !has_room || self.requests.0.len() >= self.limits.capacity {
            return self.refuse_full();
        }
        let kept = Remembered {
            epoch: ticket.epoch,
            not_run: false,
            handle: handle.clone(),
        };
        self.requests.0.insert(key.clone(), kept);
        DedupDecision::Run(handle)
    }

    /// Records that a request that got [`DedupDecision::Run`] was answered `not_run`.
    pub fn record_not_run(&mut self, key: &IdempotencyKey) {
        if let Some(kept) = self.requests.0.get_mut(key) {
            kept.not_run = true;
        }
    }

    fn first_accepted_epoch(&self) -> u64 {
        self.epoch
            .saturating_sub(self.limits.accept_epochs)
            .max(self.refused_below_epoch)
    }

    /// The refused request cannot be remembered, so every ticket given out so far is refused from now on: otherwise a late
    /// copy could run after its caller was told that it did not.
    fn refuse_full(&mut self) -> DedupDecision<H> {
        self.advance_epoch();
        self.refused_below_epoch = self.epoch;
        DedupDecision::Full
    }
}
