//! One lease per hall for placement orders, claimed by records in the platform's log. A claim's offset is its fence.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// A claim record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Hall the lease is for.
    pub hall: String,
    /// Instance that claims.
    pub holder: String,
    /// Incarnation that claims.
    pub incarnation: Uuid,
    /// Distinguishes this claim from a second copy of an earlier one.
    pub claim_id: Uuid,
    /// Fence of the claim that this one follows; 0 where the claimant saw none.
    pub after_fence: u64,
    /// Whether the holder gives the lease up.
    #[serde(default)]
    pub release: bool,
}

/// The claim in force for a hall.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The claim.
    pub claim: Claim,
    /// Offset of the claim plus one. Grows with every claim and renewal.
    pub fence: u64,
}

/// The claims in force: the same on every instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseFold {
    held: BTreeMap<String, Held>,
}

impl LeaseFold {
    /// The claim in force.
    #[must_use]
    pub fn held(&self, hall: &str) -> Option<&Held> {
        self.held.get(hall)
    }

    /// Applies a claim. It takes effect only where it follows the claim in force; of two that race, the log's first wins.
    pub fn apply(&mut self, offset: u64, claim: &Claim) -> bool {
        let current_fence = self.held.get(&claim.hall).map_or(0, |held| held.fence);
        if claim.after_fence != current_fence {
            return false;
        }
        let held = Held {
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
    /// How long a claim holds, measured by its holder from before the append left.
    pub ttl: Duration,
    /// How long an order can still take effect after it was sent.
    pub order_timeout: Duration,
}

/// What an instance should do about its hall's lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum LeaseStep {
    /// Append this claim; then call [`LeaseKeeper::observe`] with what the log says.
    Append(Claim),
    /// Nothing now.
    Wait,
}

/// One instance's part in the lease of its hall.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseKeeper {
    hall: String,
    instance: String,
    incarnation: Uuid,
    times: LeaseTimes,
    /// The claim that was last seen in force and when this instance first saw it.
    seen: Option<Seen>,
    /// Own claims that were appended and when the append began, by claim id. Only the latest is kept.
    pending: Option<PendingClaim>,
    /// The fence this instance holds and until when it can prove it.
    proof: Option<LeaseProof>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seen {
    fence: u64,
    released: bool,
    since: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingClaim {
    claim_id: Uuid,
    began: Duration,
}

/// Proof that this instance holds the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseProof {
    /// Fence to put on orders.
    pub fence: u64,
    /// Since when it has been held without interruption.
    pub since: Duration,
    /// Orders must not be sent at or after this time.
    pub until: Duration,
}

impl LeaseKeeper {
    /// A keeper that has seen nothing.
    #[must_use]
    pub fn new(hall: &str, instance: &str, incarnation: Uuid, times: LeaseTimes) -> Self {
        Self {
            hall: hall.to_owned(),
            instance: instance.to_owned(),
            incarnation,
            times,
            seen: None,
            pending: None,
            proof: None,
        }
    }

    /// Tells the keeper which claim the log has in force, `now`.
    pub fn observe(&mut self, held: Option<&Held>, now: Duration) {
        let Some(held) = held else {
            return;
        };
        if self
            .seen
            .as_ref()
            .is_none_or(|seen| seen.fence < held.fence)
        {
            self.seen = Some(Seen {
                fence: held.fence,
                released: held.claim.release,
                since: now,
            });
        }
        let own = self
            .pending
            .as_ref()
            .filter(|pending| pending.claim_id == held.claim.claim_id && !held.claim.release);
        if let Some(pending) = own {
            let earlier = self.proof(now).map(|proof| proof.since);
            self.proof = Some(LeaseProof {
                fence: held.fence,
                since: earlier.unwrap_or(pending.began),
                until: pending.began + self.times.ttl,
            });
        } else if self.proof.is_some_and(|proof| proof.fence < held.fence) {
            self.proof = None;
        }
    }

    /// The proof, if it still holds.
    #[must_use]
    pub fn proof(&self, now: Duration) -> Option<LeaseProof> {
        self.proof.filter(|proof| now < proof.until)
    }

    /// Decides whether to claim or renew. `now` is taken before the append leaves; `claim_id` must be new.
    pub fn step(&mut self, now: Duration, claim_id: Uuid) -> LeaseStep {
        if !self.may_claim(now) {
            return LeaseStep::Wait;
        }
        self.pending = Some(PendingClaim {
            claim_id,
            began: now,
        });
        LeaseStep::Append(self.claim(claim_id, false))
    }

    /// A claim that gives the lease up, if it is held.
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
            after_fence: self.seen.as_ref().map_or(0, |seen| seen.fence),
            release,
        }
    }

    fn may_claim(&self, now: Duration) -> bool {
        if let Some(proof) = self.proof(now) {
            // Renew in the second half, so that one lost append does not cost the lease.
            return proof.until.saturating_sub(now) <= self.times.ttl / 2;
        }
        match &self.seen {
            None => true,
            Some(seen) if seen.released => now >= seen.since + self.times.order_timeout,
            Some(seen) => now >= seen.since + self.times.ttl + self.times.order_timeout,
        }
    }
}
