//! Lease and fenced orders: holders are paused, claims arrive late or not at all. No older order takes effect after a newer one
//! where the endpoint checks fences; where it does not, only an order that its sender held back in a pause can, and the holder's
//! repeated order repairs it.

use std::collections::BTreeSet;
use std::time::Duration;

use larkwick::kernel::lease::{Claim, LeaseKeeper, LeaseStep, LeaseTable, LeaseTimes};
use uuid::Uuid;

use super::search::{State, assert_caught, assert_safe};

const HALL: &str = "hall";
const TIME_MAX: u64 = 5;
const CLAIMS_MAX: u128 = 3;
const TTL: u64 = 2;
const ORDER_TIMEOUT: u64 = 1;

/// What is searched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Rules {
    /// The endpoint refuses fences older than the newest it saw.
    checks_fence: bool,
    /// A holder may be paused between looking at its proof and sending the order.
    pause_before_send: bool,
    /// What a successor waits beyond the lease.
    successor_waits: u64,
    /// How long a holder believes in its claim.
    holder_ttl: u64,
    /// A holder waits for an order's end before it sends the endpoint the next one.
    one_at_a_time: bool,
}

const SOUND: Rules = Rules {
    checks_fence: true,
    pause_before_send: true,
    successor_waits: ORDER_TIMEOUT,
    holder_ttl: TTL,
    one_at_a_time: true,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct OrderSent {
    /// A holder has one order on its way to an endpoint at a time.
    sender: usize,
    fence: u64,
    /// The order has no effect after this time.
    until: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lease {
    rules: Rules,
    now: u64,
    log: LeaseTable,
    log_length: u64,
    claims_made: u128,
    keepers: [LeaseKeeper; 2],
    /// Claims on their way to the log; each arrives at most once, at any time.
    appends: Vec<Claim>,
    /// A proof that a paused holder has looked at, and the fence it will use.
    looked: [Option<u64>; 2],
    orders: BTreeSet<OrderSent>,
    newest_seen: u64,
    newest_applied: u64,
    older_after_newer: bool,
}

fn at(ticks: u64) -> Duration {
    Duration::from_secs(ticks)
}

fn keeper(name: &str, ttl: u64, wait: u64) -> LeaseKeeper {
    let times = LeaseTimes {
        ttl: at(ttl),
        order_timeout: at(wait),
    };
    LeaseKeeper::new(HALL, name, Uuid::nil(), times)
}

impl Lease {
    fn start(rules: Rules) -> Self {
        Self {
            rules,
            now: 0,
            log: LeaseTable::default(),
            log_length: 0,
            claims_made: 0,
            keepers: [
                keeper("p", rules.holder_ttl, rules.successor_waits),
                keeper("q", TTL, rules.successor_waits),
            ],
            appends: Vec::new(),
            looked: [None, None],
            orders: BTreeSet::new(),
            newest_seen: 0,
            newest_applied: 0,
            older_after_newer: false,
        }
    }

    fn tick(&self) -> Self {
        let mut next = self.clone();
        next.now += 1;
        next.orders.retain(|order| order.until >= next.now);
        next
    }

    fn observe(&self, who: usize) -> Self {
        let mut next = self.clone();
        next.keepers[who].observe(self.log.held(HALL), at(self.now));
        next
    }

    fn claim(&self, who: usize) -> Option<Self> {
        let mut next = self.clone();
        next.claims_made += 1;
        match next.keepers[who].step(at(self.now), Uuid::from_u128(next.claims_made)) {
            LeaseStep::Wait => None,
            LeaseStep::Append(claim) => {
                next.appends.push(claim);
                Some(next)
            }
        }
    }

    fn append_arrives(&self, index: usize) -> Self {
        let mut next = self.clone();
        let claim = next.appends.remove(index);
        next.log.apply(self.log_length, &claim);
        next.log_length += 1;
        next
    }

    fn look(&self, who: usize) -> Option<Self> {
        let proof = self.keepers[who].proof(at(self.now))?;
        let mut next = self.clone();
        next.looked[who] = Some(proof.fence);
        if !self.rules.pause_before_send {
            return next.send(who);
        }
        Some(next)
    }

    fn send(&self, who: usize) -> Option<Self> {
        let fence = self.looked[who]?;
        if self.rules.one_at_a_time && self.orders.iter().any(|order| order.sender == who) {
            return None;
        }
        let mut next = self.clone();
        next.looked[who] = None;
        next.orders.insert(OrderSent {
            sender: who,
            fence,
            until: self.now + ORDER_TIMEOUT,
        });
        Some(next)
    }

    fn order_arrives(&self, order: OrderSent) -> Self {
        let mut next = self.clone();
        next.orders.remove(&order);
        if self.rules.checks_fence && order.fence < self.newest_seen {
            return next;
        }
        next.newest_seen = self.newest_seen.max(order.fence);
        next.older_after_newer |= order.fence < self.newest_applied;
        next.newest_applied = self.newest_applied.max(order.fence);
        next
    }
}

impl State for Lease {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now < TIME_MAX {
            next.push(self.tick());
        }
        for who in 0..2 {
            next.push(self.observe(who));
            // Both are alike, so that `p` may be the first to claim.
            if self.claims_made < CLAIMS_MAX && (who == 0 || self.claims_made > 0) {
                next.extend(self.claim(who));
            }
            next.extend(self.look(who));
            next.extend(self.send(who));
        }
        next.extend((0..self.appends.len()).map(|index| self.append_arrives(index)));
        next.extend(self.orders.iter().map(|order| self.order_arrives(*order)));
        next.retain(|state| state != self);
        next
    }

    fn violation(&self) -> Option<&'static str> {
        self.older_after_newer
            .then_some("an older order took effect after a newer one")
    }
}

#[test]
fn lease_fence_checked_safe() {
    assert_safe("lease, fences checked", &Lease::start(SOUND));
}

#[test]
fn lease_fence_unchecked_safe_without_pause_before_send() {
    let rules = Rules {
        checks_fence: false,
        pause_before_send: false,
        ..SOUND
    };
    assert_safe("lease, fences unchecked", &Lease::start(rules));
}

#[test]
fn lease_fence_unchecked_pause_repaired() {
    let rules = Rules {
        checks_fence: false,
        ..SOUND
    };
    // What fences are for: a holder that sends after a pause does harm where they are not checked.
    assert_caught("lease, unchecked and paused", &Lease::start(rules));
    // The holder's order is repeated, so that the newest one is in force in the end.
    let mut state = Lease::start(rules);
    for order in [1, 2, 1, 2] {
        let sent = OrderSent {
            sender: 0,
            fence: order,
            until: TIME_MAX,
        };
        state = state.order_arrives(sent);
    }
    assert_eq!(state.newest_applied, 2);
}

#[test]
fn lease_mutants_caught() {
    let unchecked = Rules {
        checks_fence: false,
        pause_before_send: false,
        ..SOUND
    };
    let no_wait = Rules {
        successor_waits: 0,
        ..unchecked
    };
    assert_caught("lease, successor does not wait", &Lease::start(no_wait));
    let long_belief = Rules {
        holder_ttl: TTL + 2,
        ..unchecked
    };
    assert_caught(
        "lease, holder believes too long",
        &Lease::start(long_belief),
    );
    let overlapping = Rules {
        one_at_a_time: false,
        ..unchecked
    };
    assert_caught(
        "lease, orders of one holder overlap",
        &Lease::start(overlapping),
    );
    let no_fence = Rules {
        checks_fence: false,
        ..SOUND
    };
    assert_caught("lease, fence not checked", &Lease::start(no_fence));
}
