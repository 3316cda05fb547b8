//! Retry budgets: they keep retries to a small fraction of the first attempts, so that retries
//! cannot amplify an overload.

use std::time::Duration;

/// Balance earned by each first attempt, in thousandths of a retry.
const EARNED_PER_ATTEMPT_MILLI: i64 = 100;
const RETRY_COST_MILLI: i64 = 1_000;
const BALANCE_MAX_MILLI: i64 = 10_000;
/// Fraction of a site's allowance that the instances use. It leaves a margin because the site and
/// the instances count requests slightly differently.
const ALLOWANCE_FRACTION: f64 = 0.8;

/// The retry budget of one client account, service or endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit as a suffix"
)]
pub struct RetryBudget {
    /// Never above `balance_max_milli`, and below zero only by what one reservation takes.
    balance_milli: i64,
    balance_max_milli: i64,
    earned_per_attempt_milli: i64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_milli: BALANCE_MAX_MILLI,
            balance_max_milli: BALANCE_MAX_MILLI,
            earned_per_attempt_milli: EARNED_PER_ATTEMPT_MILLI,
        }
    }
}

/// The retries that a site allows all its instances together in any window: a fraction of the
/// requests plus a constant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Fraction of the requests, from 0 to 1.
    pub share: f64,
    /// Constant number of retries per window. Not a whole number if a deployment is a part of
    /// another one.
    pub slack: f64,
}

impl RetryAllowance {
    /// Returns the budget of one of `instances` instances. Over any window it spends no more than
    /// its share of the allowance.
    #[must_use]
    pub fn instance_budget(self, instances: usize) -> RetryBudget {
        let instances = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let milli = |retries: f64| {
            let duration = Duration::try_from_secs_f64(retries.max(0.0)).unwrap_or_default();
            i64::try_from(crate::kernel::clock::millis(duration)).unwrap_or(i64::MAX)
        };
        let balance_max_milli = milli(self.slack * ALLOWANCE_FRACTION / instances);
        RetryBudget {
            balance_milli: balance_max_milli,
            balance_max_milli,
            earned_per_attempt_milli: milli(self.share * ALLOWANCE_FRACTION),
        }
    }
}

impl RetryBudget {
    /// Returns the initial budget of a restarted instance. It has no slack, because the previous
    /// incarnation may have spent it already.
    #[must_use]
    pub fn without_slack(self) -> Self {
        Self {
            balance_milli: 0,
            ..self
        }
    }

    /// Fills the budget, once the window is over in which a previous incarnation may have spent the
    /// slack.
    pub fn fill_up(&mut self) {
        self.balance_milli = self.balance_max_milli;
    }

    /// Adjusts the budget to another number of instances. If its share shrinks, the excess balance
    /// is dropped and goes to the other instances; if its share grows, the balance grows only by
    /// what is earned.
    pub fn adjust_to(&mut self, target: Self) {
        self.balance_max_milli = target.balance_max_milli;
        self.earned_per_attempt_milli = target.earned_per_attempt_milli;
        self.balance_milli = self.balance_milli.min(self.balance_max_milli);
    }

    /// Returns the balance, in thousandths of a retry.
    #[must_use]
    pub const fn balance_milli(&self) -> i64 {
        self.balance_milli
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        let earned = self.balance_milli + self.earned_per_attempt_milli;
        self.balance_milli = earned.min(self.balance_max_milli);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn try_spend(&mut self) -> bool {
        if self.balance_milli < RETRY_COST_MILLI {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI;
        true
    }

    /// Sets retries aside that are probably given back; returns whether the budget allowed it.
    ///
    /// A balance that is not negative is enough: on a large site the share of an instance is less than
    /// one retry. The debt holds up everything else until it is given back or earned.
    pub fn try_reserve(&mut self, retries: u32) -> bool {
        if self.balance_milli < 0 {
            return false;
        }
        self.balance_milli -= RETRY_COST_MILLI * i64::from(retries);
        true
    }

    /// Returns retries that were set aside and not needed.
    pub fn give_back(&mut self, retries: u32) {
        let returned = self.balance_milli + RETRY_COST_MILLI * i64::from(retries);
        self.balance_milli = returned.min(self.balance_max_milli);
    }
}
