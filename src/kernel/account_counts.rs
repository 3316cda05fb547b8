//! Counts of granted and refused generations by client account, in bounded memory.
//!
//! Operators ask why one account was refused, and a site may have tens of thousands of accounts. The
//! largest are counted by name and the others together (A. Metwally, D. Agrawal, A. El Abbadi,
//! "Efficient Computation of Frequent and Top-k Elements in Data Streams", ICDT 2005).

use std::collections::BTreeMap;

use super::admission_queue::RefusalReason;
use super::engine_run::RunDemand;
use super::fair_shares::account_of;

/// Accounts that are counted by name.
pub const NAMED_ACCOUNTS_MAX: usize = 32;

/// What became of generations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionCounts {
    /// Those placed on an engine.
    pub granted: u64,
    /// Memory by time that those placed were expected to take.
    pub granted_token_seconds: f64,
    /// Those refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
}

impl AdmissionCounts {
    fn add(&mut self, other: &Self) {
        self.granted += other.granted;
        self.granted_token_seconds += other.granted_token_seconds;
        for (reason, count) in &other.refused {
            *self.refused.entry(*reason).or_default() += count;
        }
    }
}

#[derive(Debug, Clone, Default)]
struct NamedAccount {
    /// Token-seconds that it asked for, at most. It includes those of the account whose place it
    /// took, so that a large account that is new is not displaced by many small ones.
    asked_at_most: f64,
    counts: AdmissionCounts,
}

/// Counts by account.
#[derive(Debug, Clone, Default)]
pub struct AccountCounts {
    /// At most [`NAMED_ACCOUNTS_MAX`].
    named: BTreeMap<String, NamedAccount>,
    others: AdmissionCounts,
}

impl AccountCounts {
    /// Returns the counts of the accounts that are told apart.
    pub fn named(&self) -> impl Iterator<Item = (&str, &AdmissionCounts)> {
        let named = self.named.iter();
        named.map(|(account, named)| (account.as_str(), &named.counts))
    }

    /// Returns the counts of all other accounts.
    #[must_use]
    pub fn others(&self) -> &AdmissionCounts {
        &self.others
    }

    /// Counts a generation that was placed.
    pub fn record_granted(&mut self, demand: &RunDemand) {
        let counts = self.counts_mut(demand);
        counts.granted += 1;
        counts.granted_token_seconds += demand.expected_token_seconds();
    }

    /// Counts a generation that was refused.
    pub fn record_refused(&mut self, demand: &RunDemand, reason: RefusalReason) {
        let counts = self.counts_mut(demand);
        *counts.refused.entry(reason).or_default() += 1;
    }

    fn counts_mut(&mut self, demand: &RunDemand) -> &mut AdmissionCounts {
        let account = account_of(demand);
        if !self.named.contains_key(account) {
            let placed = NamedAccount {
                asked_at_most: self.make_place(),
                ..NamedAccount::default()
            };
            self.named.insert(account.to_owned(), placed);
        }
        let named = self.named.entry(account.to_owned()).or_default();
        named.asked_at_most += demand.expected_token_seconds();
        &mut named.counts
    }

    /// Counts the smallest account among the others if there is no place for one more. Returns what
    /// it asked for at most.
    fn make_place(&mut self) -> f64 {
        if self.named.len() < NAMED_ACCOUNTS_MAX {
            return 0.0;
        }
        let by_size = |left: &(&String, &NamedAccount), right: &(&String, &NamedAccount)| {
            left.1.asked_at_most.total_cmp(&right.1.asked_at_most)
        };
        let smallest = self.named.iter().min_by(by_size);
        let smallest = smallest.map(|(account, _)| account.clone());
        let removed = smallest.and_then(|account| self.named.remove(&account));
        removed.map_or(0.0, |removed| {
            self.others.add(&removed.counts);
            removed.asked_at_most
        })
    }
}
