//! Model of tickets and at-most-once requests.
//!
//! Instances fail and restart at the same address, duplicates of a request are delayed, and replies
//! are lost or delayed. The request must run at most once, and the answer "not run" must be true.

use std::collections::BTreeSet;

use larkwick::kernel::ticket::{DedupDecision, DedupTable, IdempotencyKey, Ticket, TicketLimits};
use uuid::Uuid;

use super::search::{State, assert_caught, assert_safe};

const INSTANCES: usize = 2;
const MAX_EPOCHS: u64 = 3;
const MAX_RESTARTS: u8 = 1;
const MAX_TICKETS: usize = 2;
const INSTANCE_NAMES: [&str; INSTANCES] = ["a", "b"];

/// A fault that is injected into the protocol; the search must find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutant {
    None,
    /// A restarted instance accepts tickets of its earlier incarnation.
    IgnoresIncarnation,
    /// An instance runs requests whose ticket names another instance.
    RunsInsteadOfForwarding,
    /// A request that was answered `not_run` is forgotten.
    ForgetsNotRun,
    /// A full table rejects a request but accepts a delayed duplicate of it later.
    FullAcceptsLaterDuplicate,
    /// Tickets are accepted regardless of their age.
    AcceptsStale,
    /// A request for an incarnation that no longer exists is answered `not_run`.
    IncarnationGoneIsNotRun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Reply {
    Ran,
    NotRun,
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TicketModel {
    mutant: Mutant,
    tables: [DedupTable<Reply>; INSTANCES],
    restarts: u8,
    /// Tickets that the caller has used, newest last.
    tickets: Vec<Ticket>,
    /// Copies of the request in transit: index of the ticket and of the destination instance. They
    /// stay in the set after delivery, so each may be delivered again.
    requests_in_transit: BTreeSet<(usize, usize)>,
    /// Replies in transit or received: index of the ticket and the reply.
    replies: BTreeSet<(usize, Reply)>,
    /// Number of runs per used ticket.
    runs: Vec<u8>,
}

fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey {
        account: "account".to_owned(),
        key: name.to_owned(),
    }
}

fn table(instance: usize, incarnation: u128) -> DedupTable<Reply> {
    let limits = TicketLimits {
        accept_epochs: 1,
        remember_epochs: 2,
        capacity: 1,
    };
    DedupTable::new(
        INSTANCE_NAMES[instance],
        Uuid::from_u128(incarnation),
        limits,
    )
}

impl TicketModel {
    fn initial(mutant: Mutant) -> Self {
        Self {
            mutant,
            tables: [table(0, 1), table(1, 2)],
            restarts: 0,
            tickets: Vec::new(),
            requests_in_transit: BTreeSet::new(),
            replies: BTreeSet::new(),
            runs: Vec::new(),
        }
    }

    /// Returns whether the caller can take a new ticket: initially, and once every earlier ticket
    /// got the answer `not_run`.
    fn can_take_ticket(&self) -> bool {
        let all_not_run =
            (0..self.tickets.len()).all(|index| self.replies.contains(&(index, Reply::NotRun)));
        self.tickets.len() < MAX_TICKETS && all_not_run
    }

    fn take_ticket(&self, instance: usize) -> Self {
        let mut next = self.clone();
        next.tickets.push(self.tables[instance].issue_ticket());
        next.runs.push(0);
        next
    }

    fn send(&self, ticket: usize, to: usize) -> Self {
        let mut next = self.clone();
        next.requests_in_transit.insert((ticket, to));
        next
    }

    /// Delivers a copy of the request. If `refused`, the endpoint refuses the run before admission.
    fn deliver(&self, ticket: usize, at: usize, refused: bool) -> Self {
        let mut next = self.clone();
        let mut presented = self.tickets[ticket].clone();
        let mutant = self.mutant;
        if mutant == Mutant::RunsInsteadOfForwarding {
            presented = self.tables[at].issue_ticket();
        }
        if mutant == Mutant::IgnoresIncarnation && presented.instance == INSTANCE_NAMES[at] {
            presented.incarnation = self.tables[at].issue_ticket().incarnation;
        }
        if mutant == Mutant::AcceptsStale {
            presented.epoch = self.tables[at].epoch();
        }
        let answer = if refused { Reply::NotRun } else { Reply::Ran };
        let table_before = next.tables[at].clone();
        let reply = match next.tables[at].admit(&presented, &key("request"), answer, true) {
            DedupDecision::Run(answer) => {
                if answer == Reply::Ran {
                    next.runs[ticket] += 1;
                } else if mutant == Mutant::ForgetsNotRun {
                    next.tables[at] = table_before;
                } else {
                    next.tables[at].record_not_run(&key("request"));
                }
                answer
            }
            DedupDecision::Join(answer) => answer,
            // Forwarded to the instance that the ticket names, which replies or does not.
            DedupDecision::Relay => return self.send(ticket, 1 - at),
            DedupDecision::IncarnationGone if mutant == Mutant::IncarnationGoneIsNotRun => {
                Reply::NotRun
            }
            DedupDecision::IncarnationGone | DedupDecision::Forgotten => Reply::Unknown,
            DedupDecision::Full => {
                if mutant == Mutant::FullAcceptsLaterDuplicate {
                    next.tables[at] = table_before;
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
        next.tables[instance] = table(instance, 100 + u128::from(next.restarts));
        next
    }

    fn advance_epoch(&self, instance: usize) -> Self {
        let mut next = self.clone();
        next.tables[instance].advance_epoch();
        next
    }

    /// Fills the table with the request of another caller.
    fn fill_table(&self, instance: usize) -> Self {
        let mut next = self.clone();
        let ticket = next.tables[instance].issue_ticket();
        next.tables[instance].admit(&ticket, &key("other"), Reply::Ran, true);
        next
    }
}

impl State for TicketModel {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for instance in 0..INSTANCES {
            if self.can_take_ticket() {
                next.push(self.take_ticket(instance));
            }
            // The instances are symmetric, so only the first one restarts and has its table filled.
            if instance == 0 && self.restarts < MAX_RESTARTS {
                next.push(self.restart(instance));
            }
            if self.tables[instance].epoch() < MAX_EPOCHS {
                next.push(self.advance_epoch(instance));
            }
            if instance == 0 && self.tables[instance].epoch() < MAX_EPOCHS {
                next.push(self.fill_table(instance));
            }
            for ticket in 0..self.tickets.len() {
                next.push(self.send(ticket, instance));
            }
        }
        for &(ticket, at) in &self.requests_in_transit {
            next.push(self.deliver(ticket, at, false));
            next.push(self.deliver(ticket, at, true));
        }
        next.retain(|state| {
            state != self
                && state
                    .tables
                    .iter()
                    .all(|table| table.epoch() <= MAX_EPOCHS + 1)
        });
        next
    }

    fn violation(&self) -> Option<&'static str> {
        if self.runs.iter().map(|runs| u32::from(*runs)).sum::<u32>() > 1 {
            return Some("the request ran twice");
        }
        let false_not_run = (0..self.tickets.len())
            .any(|index| self.runs[index] > 0 && self.replies.contains(&(index, Reply::NotRun)));
        false_not_run.then_some("a request that ran was answered \"not run\"")
    }
}

#[test]
fn tickets_all_states_safe() {
    assert_safe("tickets", &TicketModel::initial(Mutant::None));
}

#[test]
fn tickets_mutants_caught() {
    for mutant in [
        Mutant::IgnoresIncarnation,
        Mutant::RunsInsteadOfForwarding,
        Mutant::ForgetsNotRun,
        Mutant::FullAcceptsLaterDuplicate,
        Mutant::AcceptsStale,
        Mutant::IncarnationGoneIsNotRun,
    ] {
        assert_caught(
            &format!("tickets {mutant:?}"),
            &TicketModel::initial(mutant),
        );
    }
}
