//! One lease per hall for placement orders, claimed by records in the platform's log. The offset of
//! a claim determines its fence, the fencing token of the orders that are sent under it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// A claim record in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Hall of the lease.
    pub hall: String,
    /// Name of the claiming instance.
    pub holder: String,
    /// Incarnation of the claiming instance.
    pub incarnation: Uuid,
    /// Distinguishes this claim from a repeated copy of an earlier one.
    pub claim_id: Uuid,
    /// Fence of the claim that this one follows; 0 if the claimant saw none.
    pub after_fence: u64,
    /// Whether the holder releases the lease.
    #[serde(default)]
    pub release: bool,
}

/// The claim in force for a hall.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldLease {
    /// The claim record.
    pub claim: Claim,
    /// Offset of the claim plus one. It increases with every claim and renewal.
    pub fence: u64,
}

/// The claims in force, identical on every instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    held: BTreeMap<String, HeldLease>,
}

impl LeaseTable {
    /// Returns the claim in force for a hall.
    #[must_use]
    pub fn held(&self, hall: &str) -> Option<&HeldLease> {
        self.held.get(hall)
    }

    /// Applies a claim and returns whether it takes effect. It must follow the claim in force; of
    /// two concurrent claims, the first in the log wins.
    pub fn apply(&mut self, offset: u64, claim: &Claim) -> bool {
        let current_fence = self.held.get(&claim.hall).map_or(0, |held| held.fence);
        if claim.after_fence != current_fence {
            return false;
        }
        let held = HeldLease {
            claim: claim.clone(),
            fence: offset + 1,
        };
        self.held.insert(claim.hall.clone(), held);
        true
    }
}

/// Durations of the lease protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// Validity of a claim, measured by its holder from before the append was sent.
    pub ttl: Duration,
    /// Time for which an order can still take effect after it was sent.
    pub order_timeout: Duration,
}

/// Next action of an instance for its hall's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseStep {
    /// Append this claim, then call [`LeaseKeeper::observe`] with the claim in force according to
    /// the log.
    Append(Claim),
    /// Do nothing for now.
    Wait,
}

/// Claims and renews the lease of a hall on behalf of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseKeeper {
    hall: String,
    instance: String,
    incarnation: Uuid,
    times: LeaseTimes,
    /// The latest claim seen in force, and when this instance first saw it.
    last_seen: Option<SeenClaim>,
    /// The latest own claim, and when its append started.
    pending: Option<PendingClaim>,
    /// Proof that this instance holds the lease, if it does.
    proof: Option<LeaseProof>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SeenClaim {
    fence: u64,
    released: bool,
    since: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingClaim {
    claim_id: Uuid,
    started_at: Duration,
}

/// Proof that this instance holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseProof {
    /// Fence to attach to orders.
    pub fence: u64,
    /// Time since which the lease has been held without interruption.
    pub since: Duration,
    /// Orders must not be sent at or after this time.
    pub until: Duration,
}

impl LeaseKeeper {
    /// Returns a keeper that has seen no claim yet.
    #[must_use]
    pub fn new(hall: &str, instance: &str, incarnation: Uuid, times: LeaseTimes) -> Self {
        Self {
            hall: hall.to_owned(),
            instance: instance.to_owned(),
            incarnation,
            times,
            last_seen: None,
            pending: None,
            proof: None,
        }
    }

    /// Updates the keeper with the claim in force according to the log at time `now`.
    pub fn observe(&mut self, held: Option<&HeldLease>, now: Duration) {
        let Some(held) = held else {
            return;
        };
        if self
            .last_seen
            .as_ref()
            .is_none_or(|seen| seen.fence < held.fence)
        {
            self.last_seen = Some(SeenClaim {
                fence: held.fence,
                released: held.claim.release,
                since: now,
            });
        }
        let own_pending = self
            .pending
            .as_ref()
            .filter(|pending| pending.claim_id == held.claim.claim_id && !held.claim.release);
        if let Some(pending) = own_pending {
            let previous_since = self.proof(now).map(|proof| proof.since);
            self.proof = Some(LeaseProof {
                fence: held.fence,
                since: previous_since.unwrap_or(pending.started_at),
                until: pending.started_at + self.times.ttl,
            });
        } else if self.proof.is_some_and(|proof| proof.fence < held.fence) {
            self.proof = None;
        }
    }

    /// Returns the proof if it is still valid.
    #[must_use]
    pub fn proof(&self, now: Duration) -> Option<LeaseProof> {
        self.proof.filter(|proof| now < proof.until)
    }

    /// Decides whether to claim or renew the lease. `now` must be read before the append is sent,
    /// and `claim_id` must be new.
    pub fn step(&mut self, now: Duration, claim_id: Uuid) -> LeaseStep {
        if !self.should_claim(now) {
            return LeaseStep::Wait;
        }
        self.pending = Some(PendingClaim {
            claim_id,
            started_at: now,
        });
        LeaseStep::Append(self.claim(claim_id, false))
    }

    /// Returns a claim that releases the lease, if it is held.
    pub fn release(&mut self, now: Duration, claim_id: Uuid) -> Option<Claim> {
        self.proof(now)?;
        self.proof = None;
        Some(self.claim(claim_id, true))
    }

    fn claim(&self, claim_id: Uuid, release: bool) -> Claim {
        Claim {
            hall: self.hall.clone(),
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            claim_id,
            after_fence: self.last_seen.as_ref().map_or(0, |seen| seen.fence),
            release,
        }
    }

    fn should_claim(&self, now: Duration) -> bool {
        if let Some(proof) = self.proof(now) {
            // Renew in the second half, so that one lost append does not cost the lease.
            return proof.until.saturating_sub(now) <= self.times.ttl / 2;
        }
        match &self.last_seen {
            None => true,
            Some(seen) if seen.released => now >= seen.since + self.times.order_timeout,
            Some(seen) => now >= seen.since + self.times.ttl + self.times.order_timeout,
        }
    }
}
