//! Cache of the requests that run at most once and their responses, limited in number and bytes.
//!
//! A full cache refuses new requests rather than evict known ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use uuid::Uuid;

use super::response::StoredResponse;
use crate::error::{Error, ErrorKind};
use crate::kernel::ticket::{DedupDecision, DedupTable, IdempotencyKey, Ticket, TicketLimits};

/// The decision on a request with an idempotency key.
pub enum IdempotencyDecision {
    /// The request is new: run it and write its response to this one.
    Run(Arc<StoredResponse>),
    /// The request is already known: read its response from this one.
    Join(Arc<StoredResponse>),
    /// The ticket is from another instance, to which the request must be relayed.
    Relay,
    /// The request is refused with this error.
    Refuse(Error),
}

/// The idempotency cache of one instance.
pub struct IdempotencyCache {
    table: Mutex<DedupTable<ResponseHandle>>,
    size_bytes: AtomicUsize,
    size_bytes_max: usize,
}

#[derive(Clone)]
struct ResponseHandle(Arc<StoredResponse>);

impl IdempotencyCache {
    /// Creates an empty cache for a new incarnation of `instance`.
    pub fn new(
        instance: &str,
        incarnation: Uuid,
        requests_max: usize,
        size_bytes_max: usize,
    ) -> Self {
        let limits = TicketLimits {
            capacity: requests_max,
            ..TicketLimits::default()
        };
        Self {
            table: Mutex::new(DedupTable::new(instance, incarnation, limits)),
            size_bytes: AtomicUsize::new(0),
            size_bytes_max,
        }
    }

    /// Issues a ticket of the current epoch.
    pub fn issue_ticket(&self) -> Ticket {
        self.table.lock().issue_ticket()
    }

    /// Returns the current ticket epoch.
    pub fn ticket_epoch(&self) -> u64 {
        self.table.lock().epoch()
    }

    /// Returns the number of requests in the cache.
    pub fn len(&self) -> usize {
        self.table.lock().len()
    }

    /// Returns the approximate size of the cached responses in bytes.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes.load(Ordering::Relaxed)
    }

    /// Starts the next ticket epoch and recomputes the size of the cached responses.
    pub fn advance_epoch(&self) {
        let mut table = self.table.lock();
        table.advance_epoch();
        let size_bytes = table.handles().map(|handle| handle.0.size_bytes()).sum();
        self.size_bytes.store(size_bytes, Ordering::Relaxed);
    }

    /// Decides what to do with a request.
    pub fn admit(&self, ticket: &Ticket, key: &IdempotencyKey) -> IdempotencyDecision {
        let has_capacity = self.size_bytes() < self.size_bytes_max;
        let handle = ResponseHandle(Arc::default());
        let decision = self.table.lock().admit(ticket, key, handle, has_capacity);
        let refuse = |kind, message: &str| IdempotencyDecision::Refuse(Error::new(kind, message));
        match decision {
            DedupDecision::Run(handle) => IdempotencyDecision::Run(handle.0),
            DedupDecision::Join(handle) => IdempotencyDecision::Join(handle.0),
            DedupDecision::Relay => IdempotencyDecision::Relay,
            DedupDecision::IncarnationGone => refuse(
                ErrorKind::InstanceGone,
                "the instance of this ticket was replaced; whether the request ran is unknown",
            ),
            DedupDecision::Stale => refuse(
                ErrorKind::TicketStale,
                "the ticket is too old; take a new one from /v1/entries",
            ),
            DedupDecision::Forgotten => refuse(
                ErrorKind::TicketForgotten,
                "the ticket is so old that it is unknown whether the request ran",
            ),
            DedupDecision::Full => refuse(
                ErrorKind::OnceMemoryFull,
                "too many requests are remembered here; take a new ticket for another instance",
            ),
        }
    }

    /// Accounts for the size of a complete response and records if the request did not run.
    pub fn record_response(&self, key: &IdempotencyKey, response: &StoredResponse) {
        self.size_bytes
            .fetch_add(response.size_bytes(), Ordering::Relaxed);
        if response.is_not_run() {
            self.table.lock().record_not_run(key);
        }
    }
}
