//! At-most-once execution of requests that must not be repeated. Such a request carries a ticket
//! and runs only on the instance incarnation that the ticket names.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::object::is_valid_name;

const SEPARATOR: char = '~';

/// A ticket that a caller sends with a request, in the text form `instance~incarnation~epoch`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Ticket {
    /// Instance that may run the request.
    pub instance: String,
    /// Incarnation of that instance.
    pub incarnation: Uuid,
    /// Ticket epoch of that incarnation when the ticket was issued.
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

/// Error returned when a text is not a valid ticket.
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

/// Identifies a request that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Client account.
    pub account: String,
    /// Value of the caller's `Idempotency-Key` header.
    pub key: String,
}

/// Limits of a [`DedupTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TicketLimits {
    /// Maximum age, in epochs, of a ticket that may run a new request.
    pub accept_epochs: u64,
    /// Maximum age, in epochs, of a ticket whose request is remembered. At least `accept_epochs`.
    pub remember_epochs: u64,
    /// Maximum number of remembered requests.
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

/// Decision on a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DedupDecision<H> {
    /// First occurrence: run the request and record the answer through the handle.
    Run(H),
    /// Duplicate: wait for the answer of the first occurrence, or repeat it.
    Join(H),
    /// The ticket names another instance; forward the request to it.
    Relay,
    /// The ticket names an earlier incarnation of this instance; it is unknown whether the request
    /// ran.
    IncarnationGone,
    /// The ticket is too old to run the request. The request has not run and will not run.
    Stale,
    /// The ticket is older than the remembered epochs; it is unknown whether the request ran.
    Forgotten,
    /// The table is full. The request did not run.
    Full,
}

/// Deduplication table for the at-most-once requests of one incarnation of one instance.
///
/// `H` is a handle to the running or finished answer of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DedupTable<H> {
    instance: String,
    incarnation: Uuid,
    epoch: u64,
    /// Tickets of earlier epochs may not run new requests.
    min_runnable_epoch: u64,
    limits: TicketLimits,
    /// Every request that ran here with a ticket that is at most `limits.remember_epochs` old.
    requests: RequestMap<H>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RequestRecord<H> {
    /// Highest epoch among the tickets that were sent with this request.
    epoch: u64,
    /// Whether the request was answered `not_run`.
    not_run: bool,
    handle: H,
}

/// A map that implements `Hash`, which the model checker needs to compare states.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RequestMap<H>(HashMap<IdempotencyKey, RequestRecord<H>>);

impl<H: std::hash::Hash> std::hash::Hash for RequestMap<H> {
    fn hash<S: std::hash::Hasher>(&self, state: &mut S) {
        let mut sorted: Vec<_> = self.0.iter().collect();
        sorted.sort_by(|left, right| left.0.cmp(right.0));
        sorted.hash(state);
    }
}

impl<H: Clone> DedupTable<H> {
    /// Creates an empty table for a new incarnation.
    #[must_use]
    pub fn new(instance: &str, incarnation: Uuid, limits: TicketLimits) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            epoch: 0,
            min_runnable_epoch: 0,
            limits,
            requests: RequestMap(HashMap::new()),
        }
    }

    /// Returns the epoch of new tickets.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of remembered requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.0.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.0.is_empty()
    }

    /// Returns the handles of the remembered requests.
    pub fn handles(&self) -> impl Iterator<Item = &H> {
        self.requests.0.values().map(|record| &record.handle)
    }

    /// Issues a ticket for this incarnation in the current epoch.
    #[must_use]
    pub fn issue_ticket(&self) -> Ticket {
        Ticket {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            epoch: self.epoch,
        }
    }

    /// Starts the next epoch and removes requests whose tickets are older than
    /// [`TicketLimits::remember_epochs`].
    pub fn advance_epoch(&mut self) {
        self.epoch += 1;
        let oldest_epoch = self.epoch.saturating_sub(self.limits.remember_epochs);
        self.requests
            .0
            .retain(|_, record| record.epoch >= oldest_epoch);
    }

    /// Decides whether a request may run.
    ///
    /// `handle` is stored if the request is to run. `has_capacity` is false if the limits of the
    /// calling code leave no memory for another answer.
    ///
    /// A request that was answered `not_run` stays in the table because a delayed duplicate may
    /// still arrive; only a ticket of a later epoch may run it.
    pub fn admit(
        &mut self,
        ticket: &Ticket,
        key: &IdempotencyKey,
        handle: H,
        has_capacity: bool,
    ) -> DedupDecision<H> {
        if ticket.instance != self.instance {
            return DedupDecision::Relay;
        }
        if ticket.incarnation != self.incarnation {
            return DedupDecision::IncarnationGone;
        }
        let is_accepted = (self.min_accepted_epoch()..=self.epoch).contains(&ticket.epoch);
        if let Some(record) = self.requests.0.get_mut(key) {
            let is_retry_after_not_run = record.not_run && ticket.epoch > record.epoch;
            record.epoch = record.epoch.max(ticket.epoch);
            if !(is_retry_after_not_run && is_accepted) {
                return DedupDecision::Join(record.handle.clone());
            }
            record.not_run = false;
            record.handle = handle.clone();
            return DedupDecision::Run(handle);
        }
        if self.epoch.saturating_sub(ticket.epoch) > self.limits.remember_epochs {
            return DedupDecision::Forgotten;
        }
        if !is_accepted {
            return DedupDecision::Stale;
        }
        if !has_capacity || self.requests.0.len() >= self.limits.capacity {
            return self.reject_when_full();
        }
        let record = RequestRecord {
            epoch: ticket.epoch,
            not_run: false,
            handle: handle.clone(),
        };
        self.requests.0.insert(key.clone(), record);
        DedupDecision::Run(handle)
    }

    /// Records that a request that got [`DedupDecision::Run`] was answered `not_run`.
    pub fn record_not_run(&mut self, key: &IdempotencyKey) {
        if let Some(record) = self.requests.0.get_mut(key) {
            record.not_run = true;
        }
    }

    /// Returns the oldest epoch whose tickets may run new requests.
    fn min_accepted_epoch(&self) -> u64 {
        self.epoch
            .saturating_sub(self.limits.accept_epochs)
            .max(self.min_runnable_epoch)
    }

    /// Rejects a request because the table is full.
    ///
    /// The rejected request cannot be remembered, so no ticket issued so far may run a new request
    /// from now on. Otherwise a delayed duplicate could run after the caller got the answer
    /// `not_run`.
    fn reject_when_full(&mut self) -> DedupDecision<H> {
        self.advance_epoch();
        self.min_runnable_epoch = self.epoch;
        DedupDecision::Full
    }
}
