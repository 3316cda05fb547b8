//! Repeats that a site allows all its instances together.

use larkwick::kernel::retry::{RetryAllowance, RetryBudget};

const ALLOWANCE: RetryAllowance = RetryAllowance {
    share: 0.2,
    slack: 60.0,
};

/// Repeats that a budget has left.
fn spend(budget: &mut RetryBudget) -> u32 {
    let mut spent = 0;
    while budget.take_retry() {
        spent += 1;
    }
    spent
}

#[test]
fn keep_to_others_join_the_parts_add_up_to_the_whole() {
    let mut first = ALLOWANCE.budget_of_one(1);
    first.keep_to(ALLOWANCE.budget_of_one(4));
    let mut others = [ALLOWANCE.budget_of_one(4); 3];
    let spent: u32 = spend(&mut first) + others.iter_mut().map(spend).sum::<u32>();
    assert!(spent <= 48, "{spent}");
}

#[test]
fn keep_to_others_leave_what_was_spent_does_not_come_back() {
    let mut budget = ALLOWANCE.budget_of_one(4);
    assert_eq!(spend(&mut budget), 12);
    budget.keep_to(ALLOWANCE.budget_of_one(2));
    assert_eq!(spend(&mut budget), 0);
    for _ in 0..1_000 {
        budget.first_try();
    }
    assert_eq!(spend(&mut budget), 24, "as much as its part is now");
}

#[test]
fn emptied_has_only_what_it_earns_until_it_is_filled() {
    let mut budget = ALLOWANCE.budget_of_one(4).emptied();
    assert_eq!(spend(&mut budget), 0);
    for _ in 0..20 {
        budget.first_try();
    }
    assert_eq!(spend(&mut budget), 3, "0.16 each");
    budget.fill();
    assert_eq!(spend(&mut budget), 12);
}
