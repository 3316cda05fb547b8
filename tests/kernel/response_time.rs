//! Response-time estimates and the timeouts derived from them.

use std::time::Duration;

use larkwick::kernel::response_time::ResponseTimeEstimate;
use proptest::prelude::*;

fn estimate_after(millis: u64, responses: u32) -> ResponseTimeEstimate {
    let mut estimate = ResponseTimeEstimate::initial(0.5, 0.25);
    for _ in 0..responses {
        estimate.record(Duration::from_millis(millis));
    }
    estimate
}

#[test]
fn timeout_steady_responses_converges() {
    let estimate = estimate_after(40, 60);
    let timeout = estimate.timeout(Duration::ZERO);
    assert!(timeout >= Duration::from_millis(40), "{timeout:?}");
    assert!(timeout < Duration::from_millis(45), "{timeout:?}");
}

#[test]
fn timeout_service_becomes_slow_grows() {
    let mut estimate = estimate_after(40, 60);
    for _ in 0..60 {
        estimate.record(Duration::from_millis(400));
    }
    assert!(estimate.timeout(Duration::ZERO) >= Duration::from_millis(400));
}

proptest! {
    /// The timeout is never below the typical response time, never above the mean plus four
    /// deviations, and grows with the time left of the objective.
    #[test]
    fn timeout_any_responses_within_bounds(
        responses in proptest::collection::vec(1_u64..5_000, 0..50),
        objective_left_ms in 0_u64..10_000,
    ) {
        let mut estimate = ResponseTimeEstimate::initial(0.06, 0.03);
        for millis in responses {
            estimate.record(Duration::from_millis(millis));
        }
        let timeout = estimate.timeout(Duration::from_millis(objective_left_ms));
        prop_assert!(timeout + Duration::from_nanos(10) >= estimate.typical());
        prop_assert!(timeout <= estimate.timeout(Duration::from_millis(objective_left_ms + 100)));
        prop_assert!(timeout <= estimate.typical() * 2 + Duration::from_nanos(10));
    }
}
