//! Retry budgets of the services. Each send beyond the first of a request draws on them and is
//! recorded here, with its cause.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use spdlog::info;

use super::node::Gateway;
use crate::kernel::retry::{RetryAllowance, RetryBudget};

/// Retries set aside for a continuation: one for its target and one for the return to the engine that
/// stopped the generation.
const CONTINUATION_RETRIES: u32 = 2;

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RepeatCause {
    /// The sends before it failed.
    Retry,
    /// It continues at another engine from its memory there.
    Move,
    /// It continues from its copy at another engine, because its engine crashed.
    StandbyCopy,
    /// It returns to the engine that stopped it, because the target of its move refused it.
    Return,
}

impl RepeatCause {
    const fn name(self) -> &'static str {
        match self {
            Self::Retry => "retry",
            Self::Move => "move",
            Self::StandbyCopy => "standby copy",
            Self::Return => "return",
        }
    }
}

/// A send of a request beyond its first.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Repeat<'a> {
    pub(crate) service: &'a str,
    pub(crate) request_id: &'a str,
    pub(crate) cause: RepeatCause,
}

/// Budget for retries to one service from this instance.
#[derive(Debug)]
struct ServiceRetryBudget {
    budget: RetryBudget,
    /// Whether the slack on top of the retry share was added. It is added once the instance has run
    /// for one retry window.
    has_slack: bool,
}

/// Retry budgets by service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    by_service: Mutex<HashMap<String, ServiceRetryBudget>>,
}

/// Retries that a continuation may need. Those that are not spent go back to the budget when it is
/// dropped: a continuation that an engine accepts counts as the same run.
#[derive(Debug)]
pub(crate) struct RetryReservation {
    budgets: Arc<RetryBudgets>,
    service: String,
    /// Retries that are set aside and not spent.
    left: u32,
}

impl RetryReservation {
    /// Spends one of the retries, for a continuation that was sent and not accepted.
    pub(crate) fn spend(&mut self) {
        self.left = self.left.saturating_sub(1);
    }
}

impl Drop for RetryReservation {
    fn drop(&mut self) {
        let mut budgets = self.budgets.by_service.lock();
        if let Some(budget) = budgets.get_mut(&self.service) {
            budget.budget.give_back(self.left);
        }
    }
}

impl Gateway {
    /// Records a first attempt to a service, which adds to its retry budget.
    pub(crate) fn record_first_attempt(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::record_first_attempt);
    }

    /// Spends a retry from the budget of a service; returns `false` if it is exhausted.
    pub(crate) fn try_spend_retry(&self, repeat: Repeat<'_>) -> bool {
        let allowed =
            self.knows_members() && self.with_retry_budget(repeat.service, RetryBudget::try_spend);
        self.log_repeat(repeat, if allowed { "true" } else { "false" });
        allowed
    }

    /// Sets aside the retries that the continuation of a generation may need; `None` if the budget is
    /// in debt, so that the generation must not be stopped.
    pub(crate) fn reserve_continuation(&self, repeat: Repeat<'_>) -> Option<RetryReservation> {
        let reserve = |budget: &mut RetryBudget| budget.try_reserve(CONTINUATION_RETRIES);
        let allowed = self.knows_members() && self.with_retry_budget(repeat.service, reserve);
        if !allowed {
            self.log_repeat(repeat, "false");
            return None;
        }
        Some(RetryReservation {
            budgets: self.retry_budgets.clone(),
            service: repeat.service.to_owned(),
            left: CONTINUATION_RETRIES,
        })
    }

    /// Counts and logs a send beyond the first, with the balance that is left after it.
    pub(crate) fn log_repeat(&self, repeat: Repeat<'_>, allowed: &'static str) {
        let cause = repeat.cause.name();
        metrics::counter!("larkwick_retries_total", "cause" => cause, "allowed" => allowed)
            .increment(1);
        if crate::log::should_log("request sent again") {
            let balance_milli =
                self.with_retry_budget(repeat.service, |budget| budget.balance_milli());
            info!("request sent again", kv: {
                request_id = repeat.request_id, service = repeat.service, cause, allowed, balance_milli:,
            });
        }
    }

    /// Runs `change` on the retry budget of a service.
    ///
    /// The share of this instance is recomputed on each call, since the number of instances
    /// changes: with shares fixed at the first call, their sum was several times the site-wide
    /// allowance.
    fn with_retry_budget<T>(&self, service: &str, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let instances = self.sharing_instance_count();
        let (allowance, window) = {
            let routing = self.routing.read();
            let allowance = RetryAllowance {
                share: routing.retry_share,
                slack: routing.retry_slack,
            };
            (allowance, routing.retry_window())
        };
        let share = allowance.instance_budget(instances);
        let is_warming_up = self.now().saturating_sub(self.started_at) < window;
        let mut budgets = self.retry_budgets.by_service.lock();
        let budget = budgets.entry(service.to_owned());
        let budget = budget.or_insert_with(|| ServiceRetryBudget {
            budget: share.without_slack(),
            has_slack: false,
        });
        budget.budget.adjust_to(share);
        if !budget.has_slack && !is_warming_up {
            budget.budget.fill_up();
            budget.has_slack = true;
        }
        change(&mut budget.budget)
    }
}
