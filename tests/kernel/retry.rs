//! Retry budgets of the instances of a site.

use larkwick::kernel::retry::{RetryAllowance, RetryBudget};
use proptest::prelude::*;

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

/// Guards against an instance of a large site, whose share is less than one retry, that can never move
/// a generation.
#[test]
fn try_reserve_share_below_one_retry_one_at_a_time() {
    let mut budget = ALLOWANCE.instance_budget(85);
    assert!(budget.try_reserve(2));
    assert!(!budget.try_reserve(2), "the first one is open");
    assert!(!budget.try_spend());
    budget.give_back(2);
    assert!(budget.try_reserve(2), "it was given back whole");
    budget.give_back(1);
    assert!(!budget.try_reserve(2), "one was spent");
}

#[test]
fn give_back_after_refill_never_above_share() {
    let mut budget = ALLOWANCE.instance_budget(4);
    assert!(budget.try_reserve(12));
    for _ in 0..1_000 {
        budget.record_first_attempt();
    }
    budget.give_back(12);
    assert_eq!(spend_all(&mut budget), 12);
}

/// What happens at a budget.
#[derive(Debug, Clone, Copy)]
enum Event {
    FirstAttempt,
    Retry,
    /// Sets two retries aside.
    MoveBegins,
    /// Ends the oldest move, of which this many sends were not accepted.
    MoveEnds(u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::FirstAttempt),
        2 => Just(Event::Retry),
        2 => Just(Event::MoveBegins),
        2 => (0_u32..=2).prop_map(Event::MoveEnds),
    ]
}

proptest! {
    #[test]
    fn moves_and_retries_together_within_allowance(events in prop::collection::vec(event(), 1..400)) {
        let mut budget = ALLOWANCE.instance_budget(4);
        let (mut first_attempts, mut spent, mut open_moves) = (0_u32, 0_u32, 0_u32);
        for event in events {
            match event {
                Event::FirstAttempt => {
                    budget.record_first_attempt();
                    first_attempts += 1;
                }
                Event::Retry => spent += u32::from(budget.try_spend()),
                Event::MoveBegins => open_moves += u32::from(budget.try_reserve(2)),
                Event::MoveEnds(refused) if open_moves > 0 => {
                    open_moves -= 1;
                    spent += refused;
                    budget.give_back(2 - refused);
                }
                Event::MoveEnds(_) => {}
            }
            let allowed = 15.0 + 0.2 * f64::from(first_attempts);
            prop_assert!(f64::from(spent) <= allowed, "{spent} of {allowed}");
        }
    }
}
