//! Model of the lease and of fenced orders. Holders may pause, and claims may arrive late or not at
//! all.
//!
//! If the endpoint checks fences, no older order takes effect after a newer one. If it does not,
//! this can only happen with an order that its sender delayed by a pause, and the holder's repeated
//! order repairs it.

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

/// Variant of the protocol to search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Rules {
    /// The endpoint rejects orders whose fence is older than the newest one it has seen.
    checks_fence: bool,
    /// A holder may pause between checking its proof and sending the order.
    pause_before_send: bool,
    /// Time that a successor waits after the lease has expired.
    successor_wait: u64,
    /// Time for which a holder considers its claim valid.
    holder_ttl: u64,
    /// A holder waits for an order to finish before it sends the next one to the endpoint.
    serial_orders: bool,
}

const VALID_RULES: Rules = Rules {
    checks_fence: true,
    pause_before_send: true,
    successor_wait: ORDER_TIMEOUT,
    holder_ttl: TTL,
    serial_orders: true,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct InFlightOrder {
    /// Index of the holder, which has one order in flight to an endpoint at a time.
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
    claim_count: u128,
    keepers: [LeaseKeeper; 2],
    /// Claims in flight to the log. Each one arrives at most once, at any time.
    appends: Vec<Claim>,
    /// Fence of the proof that each holder has checked but not yet used, if any.
    checked_fence: [Option<u64>; 2],
    orders: BTreeSet<InFlightOrder>,
    newest_fence_seen: u64,
    newest_fence_applied: u64,
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
            claim_count: 0,
            keepers: [
                keeper("p", rules.holder_ttl, rules.successor_wait),
                keeper("q", TTL, rules.successor_wait),
            ],
            appends: Vec::new(),
            checked_fence: [None, None],
            orders: BTreeSet::new(),
            newest_fence_seen: 0,
            newest_fence_applied: 0,
            older_after_newer: false,
        }
    }

    fn tick(&self) -> Self {
        let mut next = self.clone();
        next.now += 1;
        next.orders.retain(|order| order.until >= next.now);
        next
    }

    fn observe(&self, holder: usize) -> Self {
        let mut next = self.clone();
        next.keepers[holder].observe(self.log.held(HALL), at(self.now));
        next
    }

    fn claim(&self, holder: usize) -> Option<Self> {
        let mut next = self.clone();
        next.claim_count += 1;
        match next.keepers[holder].step(at(self.now), Uuid::from_u128(next.claim_count)) {
            LeaseStep::Wait => None,
            LeaseStep::Append(claim) => {
                next.appends.push(claim);
                Some(next)
            }
        }
    }

    fn deliver_append(&self, index: usize) -> Self {
        let mut next = self.clone();
        let claim = next.appends.remove(index);
        next.log.apply(self.log_length, &claim);
        next.log_length += 1;
        next
    }

    fn check_proof(&self, holder: usize) -> Option<Self> {
        let proof = self.keepers[holder].proof(at(self.now))?;
        let mut next = self.clone();
        next.checked_fence[holder] = Some(proof.fence);
        if !self.rules.pause_before_send {
            return next.send(holder);
        }
        Some(next)
    }

    fn send(&self, holder: usize) -> Option<Self> {
        let fence = self.checked_fence[holder]?;
        if self.rules.serial_orders && self.orders.iter().any(|order| order.sender == holder) {
            return None;
        }
        let mut next = self.clone();
        next.checked_fence[holder] = None;
        next.orders.insert(InFlightOrder {
            sender: holder,
            fence,
            until: self.now + ORDER_TIMEOUT,
        });
        Some(next)
    }

    fn deliver_order(&self, order: InFlightOrder) -> Self {
        let mut next = self.clone();
        next.orders.remove(&order);
        if self.rules.checks_fence && order.fence < self.newest_fence_seen {
            return next;
        }
        next.newest_fence_seen = self.newest_fence_seen.max(order.fence);
        next.older_after_newer |= order.fence < self.newest_fence_applied;
        next.newest_fence_applied = self.newest_fence_applied.max(order.fence);
        next
    }
}

impl State for Lease {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now < TIME_MAX {
            next.push(self.tick());
        }
        for holder in 0..2 {
            next.push(self.observe(holder));
            // The holders are symmetric, so only `p` needs to claim first.
            if self.claim_count < CLAIMS_MAX && (holder == 0 || self.claim_count > 0) {
                next.extend(self.claim(holder));
            }
            next.extend(self.check_proof(holder));
            next.extend(self.send(holder));
        }
        next.extend((0..self.appends.len()).map(|index| self.deliver_append(index)));
        next.extend(self.orders.iter().map(|order| self.deliver_order(*order)));
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
    assert_safe("lease, fences checked", &Lease::start(VALID_RULES));
}

#[test]
fn lease_fence_unchecked_safe_without_pause_before_send() {
    let rules = Rules {
        checks_fence: false,
        pause_before_send: false,
        ..VALID_RULES
    };
    assert_safe("lease, fences unchecked", &Lease::start(rules));
}

#[test]
fn lease_fence_unchecked_pause_repaired() {
    let rules = Rules {
        checks_fence: false,
        ..VALID_RULES
    };
    // Fences guard against a holder that sends an order after a pause.
    assert_caught("lease, unchecked and paused", &Lease::start(rules));
    // The holder repeats its order, so that the newest one is in force in the end.
    let mut state = Lease::start(rules);
    for order in [1, 2, 1, 2] {
        let sent = InFlightOrder {
            sender: 0,
            fence: order,
            until: TIME_MAX,
        };
        state = state.deliver_order(sent);
    }
    assert_eq!(state.newest_fence_applied, 2);
}

#[test]
fn lease_mutants_caught() {
    let unchecked = Rules {
        checks_fence: false,
        pause_before_send: false,
        ..VALID_RULES
    };
    let no_wait = Rules {
        successor_wait: 0,
        ..unchecked
    };
    assert_caught("lease, successor does not wait", &Lease::start(no_wait));
    let long_validity = Rules {
        holder_ttl: TTL + 2,
        ..unchecked
    };
    assert_caught(
        "lease, holder considers its claim valid for too long",
        &Lease::start(long_validity),
    );
    let overlapping = Rules {
        serial_orders: false,
        ..unchecked
    };
    assert_caught(
        "lease, orders of one holder overlap",
        &Lease::start(overlapping),
    );
    let no_fence = Rules {
        checks_fence: false,
        ..VALID_RULES
    };
    assert_caught("lease, fence not checked", &Lease::start(no_fence));
}
