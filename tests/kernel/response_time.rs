//! How long an answer is waited for.

use std::time::Duration;

use larkwick::kernel::response_time::Pace;
use proptest::prelude::*;

fn steady(millis: u64, answers: u32) -> Pace {
    let mut pace = Pace::expecting(0.5, 0.25);
    for _ in 0..answers {
        pace.took(Duration::from_millis(millis));
    }
    pace
}

#[test]
fn patience_steady_answers_learnt() {
    let pace = steady(40, 60);
    let patience = pace.patience(Duration::ZERO);
    assert!(patience >= Duration::from_millis(40), "{patience:?}");
    assert!(patience < Duration::from_millis(45), "{patience:?}");
}

#[test]
fn patience_service_grows_slow_waited_for_again() {
    let mut pace = steady(40, 60);
    for _ in 0..60 {
        pace.took(Duration::from_millis(400));
    }
    assert!(pace.patience(Duration::ZERO) >= Duration::from_millis(400));
}

proptest! {
    /// Never below what most answers take, never beyond the mean and four deviations, and the more of the goal is left the longer.
    #[test]
    fn patience_any_answers_within_bounds(
        answers in proptest::collection::vec(1_u64..5_000, 0..50),
        goal_ms in 0_u64..10_000,
    ) {
        let mut pace = Pace::expecting(0.06, 0.03);
        for millis in answers {
            pace.took(Duration::from_millis(millis));
        }
        let patience = pace.patience(Duration::from_millis(goal_ms));
        prop_assert!(patience + Duration::from_nanos(10) >= pace.usual());
        prop_assert!(patience <= pace.patience(Duration::from_millis(goal_ms + 100)));
        prop_assert!(patience <= pace.usual() * 2 + Duration::from_nanos(10));
    }
}
