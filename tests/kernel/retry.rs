//! Retry budgets of the instances of a site.

use larkwick::kernel::retry::{RetryAllowance, RetryBudget};

const ALLOWANCE: RetryAllowance = RetryAllowance {
    share: 0.2,
    slack: 60.0,
};

/// Spends all that a budget has left and returns the number of retries.
fn spend_all(budget: &mut RetryBudget) -> u32 {
    let mut spent = 0;
    while budget.try_spend() {
        spent += 1;
    }
    spent
}

#[test]
fn adjust_to_more_instances_shares_stay_within_allowance() {
    let mut first = ALLOWANCE.instance_budget(1);
    first.adjust_to(ALLOWANCE.instance_budget(4));
    let mut others = [ALLOWANCE.instance_budget(4); 3];
    let spent: u32 = spend_all(&mut first) + others.iter_mut().map(spend_all).sum::<u32>();
    assert!(spent <= 48, "{spent}");
}

#[test]
fn adjust_to_fewer_instances_spent_retries_not_restored() {
    let mut budget = ALLOWANCE.instance_budget(4);
    assert_eq!(spend_all(&mut budget), 12);
    budget.adjust_to(ALLOWANCE.instance_budget(2));
    assert_eq!(spend_all(&mut budget), 0);
    for _ in 0..1_000 {
        budget.record_first_attempt();
    }
    assert_eq!(spend_all(&mut budget), 24, "its new share");
}

#[test]
fn without_slack_only_earned_retries_until_filled() {
    let mut budget = ALLOWANCE.instance_budget(4).without_slack();
    assert_eq!(spend_all(&mut budget), 0);
    for _ in 0..20 {
        budget.record_first_attempt();
    }
    assert_eq!(spend_all(&mut budget), 3, "0.16 earned by each");
    budget.fill_up();
    assert_eq!(spend_all(&mut budget), 12);
}
