//! Retry budget: retries are a small share of first tries, so that they cannot multiply an overload.

/// Tokens earned by each first try, in thousandths of a retry.
const EARNED_PER_TRY_MILLI: u64 = 100;
const RETRY_COST_MILLI: u64 = 1_000;
const BALANCE_MAX_MILLI: u64 = 10_000;

/// A retry budget of one client account or endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    /// Never above [`BALANCE_MAX_MILLI`].
    balance_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_milli: BALANCE_MAX_MILLI,
        }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.balance_milli = (self.balance_milli + EARNED_PER_TRY_MILLI).min(BALANCE_MAX_MILLI);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn take_retry(&mut self) -> bool {
        if self.balance_milli < RETRY_COST_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI;
        true
    }
}
