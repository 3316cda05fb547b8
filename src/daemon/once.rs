//! The memory of requests that run at most once, with its bound in bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use uuid::Uuid;

use super::answer::RememberedAnswer;
use crate::error::{Error, ErrorKind};
use crate::kernel::ticket::{DedupDecision, DedupTable, IdempotencyKey, Ticket, TicketLimits};

/// What to do with an arrival.
pub enum OnceDecision {
    /// First arrival.
    Run(Arc<RememberedAnswer>),
    /// Later arrival.
    Join(Arc<RememberedAnswer>),
    /// Another instance decides.
    Relay,
    /// Final.
    Refuse(Error),
}

/// The memory of one instance.
pub struct OnceMemory {
    book: Mutex<DedupTable<Handle>>,
    bytes: AtomicUsize,
    bytes_max: usize,
}

#[derive(Clone)]
struct Handle(Arc<RememberedAnswer>);

impl OnceMemory {
    /// An empty memory for a new incarnation.
    pub fn new(instance: &str, incarnation: Uuid, requests_max: usize, bytes_max: usize) -> Self {
        let limits = TicketLimits {
            capacity: requests_max,
            ..TicketLimits::default()
        };
        Self {
            book: Mutex::new(DedupTable::new(instance, incarnation, limits)),
            bytes: AtomicUsize::new(0),
            bytes_max,
        }
    }

    /// The ticket given out now.
    pub fn ticket(&self) -> Ticket {
        self.book.lock().issue_ticket()
    }

    /// Epoch of that ticket.
    pub fn epoch(&self) -> u64 {
        self.book.lock().epoch()
    }

    /// Requests remembered.
    pub fn len(&self) -> usize {
        self.book.lock().len()
    }

    /// Bytes of the answers remembered, about.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Starts the next epoch.
    pub fn advance_epoch(&self) {
        let mut book = self.book.lock();
        book.advance_epoch();
        let bytes = book.handles().map(|handle| handle.0.size_bytes()).sum();
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    /// Decides on an arrival.
    pub fn arrive(&self, ticket: &Ticket, key: &IdempotencyKey) -> OnceDecision {
        let has_room = self.bytes() < self.bytes_max;
        let handle = Handle(Arc::default());
        let arrival = self.book.lock().admit(ticket, key, handle, has_room);
        let refuse = |kind, message: &str| OnceDecision::Refuse(Error::new(kind, message));
        match arrival {
            DedupDecision::Run(handle) => OnceDecision::Run(handle.0),
            DedupDecision::Join(handle) => OnceDecision::Join(handle.0),
            DedupDecision::Relay => OnceDecision::Relay,
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

    /// Counts a whole answer and records whether the request did not run.
    pub fn finished(&self, key: &IdempotencyKey, answer: &RememberedAnswer) {
        self.bytes.fetch_add(answer.size_bytes(), Ordering::Relaxed);
        if answer.is_not_run() {
            self.book.lock().record_not_run(key);
        }
    }
}
