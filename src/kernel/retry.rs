//! Retry budget: retries are a small share of first tries, so that they cannot multiply an overload.

use std::time::Duration;

/// Tokens earned by each first try, in thousandths of a retry.
const EARNED_PER_TRY_MILLI: u64 = 100;
const RETRY_COST_MILLI: u64 = 1_000;
const BALANCE_MAX_MILLI: u64 = 10_000;
/// Part of a site's allowance that instances use: requests are counted a little differently by each side.
const ALLOWANCE_USED: f64 = 0.8;

/// A retry budget of one client account, service or endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub struct RetryBudget {
    /// Never above `balance_max_milli`.
    balance_milli: u64,
    balance_max_milli: u64,
    earned_per_try_milli: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_milli: BALANCE_MAX_MILLI,
            balance_max_milli: BALANCE_MAX_MILLI,
            earned_per_try_milli: EARNED_PER_TRY_MILLI,
        }
    }
}

/// What a site allows all its instances together in any window: a share of the requests, and a number on top.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Share of the requests, from 0 to 1.
    pub share: f64,
    /// On top of that, in each window; not a whole number where a deployment is a part of another one.
    pub slack: f64,
}

impl RetryAllowance {
    /// The budget of one of so many instances: whatever the window, what it takes stays within its part.
    #[must_use]
    pub fn budget_of_one(self, instances: usize) -> RetryBudget {
        let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let milli = |retries: f64| {
            let duration = Duration::try_from_secs_f64(retries.max(0.0)).unwrap_or_default();
            crate::kernel::clock::millis(duration)
        };
        let balance_max_milli = milli(self.slack * ALLOWANCE_USED / instances);
        RetryBudget {
            balance_milli: balance_max_milli,
            balance_max_milli,
            earned_per_try_milli: milli(self.share * ALLOWANCE_USED),
        }
    }
}

impl RetryBudget {
    /// The budget of an instance that has just started: what was on top may have been spent here before the start.
    #[must_use]
    pub fn emptied(self) -> Self {
        Self {
            balance_milli: 0,
            ..self
        }
    }

    /// The span is over in which an earlier start may have spent what is on top.
    pub fn fill(&mut self) {
        self.balance_milli = self.balance_max_milli;
    }

    /// From now on its part is another one, for another number of instances. What is left of a larger one goes to the others; a smaller one grows by what
    /// is earned.
    pub fn keep_to(&mut self, part: Self) {
        self.balance_max_milli = part.balance_max_milli;
        self.earned_per_try_milli = part.earned_per_try_milli;
        self.balance_milli = self.balance_milli.min(self.balance_max_milli);
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        let earned = self.balance_milli + self.earned_per_try_milli;
        self.balance_milli = earned.min(self.balance_max_milli);
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
