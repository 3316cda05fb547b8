//! Tickets and attempts: entries die and come back at the same address, copies come late or twice, replies are lost or late.
//! One request must run at most once, and "not run" must never be false.

use std::collections::BTreeSet;

use larkwick::kernel::ticket::{DedupDecision, DedupTable, IdempotencyKey, Ticket, TicketLimits};
use uuid::Uuid;

use super::search::{State, assert_caught, assert_safe};

const INSTANCES: usize = 2;
const EPOCHS_MAX: u64 = 3;
const RESTARTS_MAX: u8 = 1;
const TICKETS_MAX: usize = 2;
const NAMES: [&str; INSTANCES] = ["a", "b"];

/// A rule of the mechanism that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutant {
    None,
    /// A restarted instance takes tickets of its earlier incarnation.
    IgnoresIncarnation,
    /// Any instance runs what it is asked to.
    RunsInsteadOfRelaying,
    /// A request that was answered `not_run` is forgotten.
    ForgetsNotRun,
    /// A full memory refuses this once, but accepts a late copy.
    FullAcceptsLater,
    /// Old tickets are accepted whatever their age.
    AcceptsStale,
    /// The instance that named the ticket being gone is answered `not_run`.
    GoneIsNotRun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Reply {
    Ran,
    NotRun,
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Tickets {
    mutant: Mutant,
    books: [DedupTable<Reply>; INSTANCES],
    restarts: u8,
    /// Tickets the caller has used, the newest last.
    used: Vec<Ticket>,
    /// Copies of the request on their way: index of the ticket and of the instance asked. They never get lost for good.
    copies: BTreeSet<(usize, usize)>,
    /// Replies on their way or read: index of the ticket and the reply.
    replies: BTreeSet<(usize, Reply)>,
    /// Runs per ticket used.
    runs: Vec<u8>,
}

fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey {
        account: "account".to_owned(),
        key: name.to_owned(),
    }
}

fn book(instance: usize, incarnation: u128) -> DedupTable<Reply> {
    let limits = TicketLimits {
        accept_epochs: 1,
        remember_epochs: 2,
        capacity: 1,
    };
    DedupTable::new(NAMES[instance], Uuid::from_u128(incarnation), limits)
}

impl Tickets {
    fn start(mutant: Mutant) -> Self {
        Self {
            mutant,
            books: [book(0, 1), book(1, 2)],
            restarts: 0,
            used: Vec::new(),
            copies: BTreeSet::new(),
            replies: BTreeSet::new(),
            runs: Vec::new(),
        }
    }

    /// The caller may take a new ticket at the start and after `not_run` for every earlier one.
    fn may_take_ticket(&self) -> bool {
        let all_not_run =
            (0..self.used.len()).all(|index| self.replies.contains(&(index, Reply::NotRun)));
        self.used.len() < TICKETS_MAX && all_not_run
    }

    fn take_ticket(&self, instance: usize) -> Self {
        let mut next = self.clone();
        next.used.push(self.books[instance].ticket());
        next.runs.push(0);
        next
    }

    fn send(&self, ticket: usize, to: usize) -> Self {
        let mut next = self.clone();
        next.copies.insert((ticket, to));
        next
    }

    /// A copy arrives; a run may be refused by the endpoint before admission.
    fn arrive(&self, ticket: usize, at: usize, refused: bool) -> Self {
        let mut next = self.clone();
        let mut shown = self.used[ticket].clone();
        let mutant = self.mutant;
        if mutant == Mutant::RunsInsteadOfRelaying {
            shown = self.books[at].ticket();
        }
        if mutant == Mutant::IgnoresIncarnation && shown.instance == NAMES[at] {
            shown.incarnation = self.books[at].ticket().incarnation;
        }
        if mutant == Mutant::AcceptsStale {
            shown.epoch = self.books[at].epoch();
        }
        let answer = if refused { Reply::NotRun } else { Reply::Ran };
        let before = next.books[at].clone();
        let reply = match next.books[at].admit(&shown, &key("request"), answer, true) {
            DedupDecision::Run(answer) => {
                if answer == Reply::Ran {
                    next.runs[ticket] += 1;
                } else if mutant == Mutant::ForgetsNotRun {
                    next.books[at] = before;
                } else {
                    next.books[at].record_not_run(&key("request"));
                }
                answer
            }
            DedupDecision::Join(answer) => answer,
            // The instance that the ticket names is asked; the reply, or its absence, comes from there.
            DedupDecision::Relay => return self.send(ticket, 1 - at),
            DedupDecision::IncarnationGone if mutant == Mutant::GoneIsNotRun => Reply::NotRun,
            DedupDecision::IncarnationGone | DedupDecision::Forgotten => Reply::Unknown,
            DedupDecision::Full => {
                if mutant == Mutant::FullAcceptsLater {
                    next.books[at] = before;
                }
                Reply::NotRun
            }
            DedupDecision::Stale => Reply::NotRun,
        };
        next.replies.insert((ticket, reply));
        next
    }

    fn restart(&self, instance: usize) -> Self {
        let mut next = self.clone();
        next.restarts += 1;
        next.books[instance] = book(instance, 100 + u128::from(next.restarts));
        next
    }

    fn advance_epoch(&self, instance: usize) -> Self {
        let mut next = self.clone();
        next.books[instance].advance_epoch();
        next
    }

    /// Another caller's request fills the memory.
    fn fill(&self, instance: usize) -> Self {
        let mut next = self.clone();
        let ticket = next.books[instance].ticket();
        next.books[instance].admit(&ticket, &key("other"), Reply::Ran, true);
        next
    }
}

impl State for Tickets {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for instance in 0..INSTANCES {
            if self.may_take_ticket() {
                next.push(self.take_ticket(instance));
            }
            // The instances are alike, so that one of them may do what both could.
            if instance == 0 && self.restarts < RESTARTS_MAX {
                next.push(self.restart(instance));
            }
            if self.books[instance].epoch() < EPOCHS_MAX {
                next.push(self.advance_epoch(instance));
            }
            if instance == 0 && self.books[instance].epoch() < EPOCHS_MAX {
                next.push(self.fill(instance));
            }
            for ticket in 0..self.used.len() {
                next.push(self.send(ticket, instance));
            }
        }
        for &(ticket, at) in &self.copies {
            next.push(self.arrive(ticket, at, false));
            next.push(self.arrive(ticket, at, true));
        }
        next.retain(|state| {
            state != self
                && state
                    .books
                    .iter()
                    .all(|book| book.epoch() <= EPOCHS_MAX + 1)
        });
        next
    }

    fn violation(&self) -> Option<&'static str> {
        if self.runs.iter().map(|runs| u32::from(*runs)).sum::<u32>() > 1 {
            return Some("the request ran twice");
        }
        let false_not_run = (0..self.used.len())
            .any(|index| self.runs[index] > 0 && self.replies.contains(&(index, Reply::NotRun)));
        false_not_run.then_some("\"not run\" was false")
    }
}

#[test]
fn tickets_all_states_safe() {
    assert_safe("tickets", &Tickets::start(Mutant::None));
}

#[test]
fn tickets_mutants_caught() {
    for mutant in [
        Mutant::IgnoresIncarnation,
        Mutant::RunsInsteadOfRelaying,
        Mutant::ForgetsNotRun,
        Mutant::FullAcceptsLater,
        Mutant::AcceptsStale,
        Mutant::GoneIsNotRun,
    ] {
        assert_caught(&format!("tickets {mutant:?}"), &Tickets::start(mutant));
    }
}
