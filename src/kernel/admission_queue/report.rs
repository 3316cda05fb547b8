//! What operators are told of the queue: why a generation was refused, and who waits.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use super::AdmissionQueue;
use crate::kernel::clock::millis;
use crate::kernel::engine_ledger::EngineLedger;
use crate::kernel::fair_shares::account_of;
use crate::kernel::room_reserve::HeldBackFor;

/// Accounts in a summary; a site may have tens of thousands.
const SUMMARY_ACCOUNTS_MAX: usize = 32;

/// Why a generation was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// Its waiting time is over, and no engine has room.
    NoRoom,
    /// Its waiting time is over, and the room that is left is kept for a higher priority.
    KeptForUrgent,
    /// Its waiting time is over, and the room that is left is kept for moves.
    KeptForMoves,
    /// The queue ahead of it moves too slowly.
    QueueTooSlow,
    /// It was drawn for a new version whose engines have no room, and asks for the current one next.
    NewVersionFull,
}

impl RefusalReason {
    /// Returns the label of logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::KeptForUrgent => "kept_for_urgent",
            Self::KeptForMoves => "kept_for_moves",
            Self::QueueTooSlow => "queue_too_slow",
            Self::NewVersionFull => "new_version_full",
        }
    }

    pub(super) const fn of_deadline(held_back_for: Option<HeldBackFor>) -> Self {
        match held_back_for {
            None => Self::NoRoom,
            Some(HeldBackFor::Urgent) => Self::KeptForUrgent,
            Some(HeldBackFor::Moves) => Self::KeptForMoves,
        }
    }
}

/// A refusal as told to operators and to the instance that asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time that it waited.
    pub waited: Duration,
    /// Generations ahead of it.
    pub ahead: usize,
    /// Tokens that it would have had to leave free.
    pub reserve_tokens: f64,
    /// Time until the queue has room for a new arrival; `None` if it is not known.
    pub room_in: Option<Duration>,
}

/// A client account in the debug dump.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AccountSummary {
    /// Client account; empty for calls without a key.
    pub account: String,
    /// Its weight among the accounts.
    pub weight: f64,
    /// Generations that wait.
    pub waiting: usize,
    /// Longest time that one of them has waited.
    pub oldest_wait_ms: u64,
    /// Memory that its running generations are predicted to need.
    pub running_tokens: f64,
}

impl AdmissionQueue {
    /// Returns the accounts with the most waiting generations, then the most memory, for the debug
    /// dump.
    #[must_use]
    pub fn account_summary(&self, ledger: &EngineLedger, now: Duration) -> Vec<AccountSummary> {
        let mut by_account: HashMap<&str, AccountSummary> = HashMap::new();
        for waiting in &self.waiting {
            let account = account_of(&waiting.request.demand);
            let summary = by_account.entry(account).or_default();
            let waited = now.saturating_sub(waiting.arrived_at);
            summary.waiting += 1;
            summary.oldest_wait_ms = summary.oldest_wait_ms.max(millis(waited));
        }
        for run in ledger.runs.values() {
            let summary = by_account
                .entry(account_of(&run.reported.demand))
                .or_default();
            summary.running_tokens += run.reported.usual_predicted_tokens();
        }
        let named = by_account
            .into_iter()
            .map(|(account, summary)| AccountSummary {
                account: account.to_owned(),
                weight: self.shares.weights.weight(account),
                ..summary
            });
        let mut summaries: Vec<AccountSummary> = named.collect();
        summaries.sort_by(|left, right| {
            let by_waiting = right.waiting.cmp(&left.waiting);
            by_waiting
                .then(right.running_tokens.total_cmp(&left.running_tokens))
                .then(left.account.cmp(&right.account))
        });
        summaries.truncate(SUMMARY_ACCOUNTS_MAX);
        summaries
    }
}
