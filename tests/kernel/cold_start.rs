//! Cold endpoints: together, instances send at most the declared rate, and at most half as much
//! again if some are cut off.

use std::time::Duration;

use larkwick::kernel::cold_start::{ColdRateLimiter, ColdStart, Sender};
use proptest::prelude::*;

fn cold(sustainable_per_s: f64) -> ColdStart {
    ColdStart {
        duration: Duration::from_secs(1),
        sustainable_per_s,
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("n{number}")).collect()
}

proptest! {
    #[test]
    fn share_per_s_by_hash_sums_to_the_rate(calls_per_s in 1..40_u32, instances in 1..90_usize) {
        let names = names(instances);
        let shares = names.iter().map(|own| {
            let others = names.iter().filter(|name| *name != own);
            cold(f64::from(calls_per_s)).share_per_s_by_hash(own, others.map(String::as_str), "e1")
        });
        prop_assert_eq!(shares.sum::<u32>(), calls_per_s);
    }

    #[test]
    fn share_per_s_owner_and_standalone_within_one_and_a_half(calls_per_s in 1..40_u32, instances in 1..90_usize) {
        let cold = cold(f64::from(calls_per_s));
        let standalone = cold.share_per_s(Sender::Standalone { instances });
        let others = u32::try_from(instances).unwrap() * standalone;
        prop_assert!(f64::from(cold.share_per_s(Sender::Owner) + others) <= 1.5 * f64::from(calls_per_s));
    }
}

#[test]
fn can_send_limits_requests_in_any_second() {
    let mut limiter = ColdRateLimiter::default();
    let at = |ms| Duration::from_millis(ms);
    for ms in [0, 400] {
        assert!(limiter.can_send("e1", 2, at(ms)));
        limiter.record_sent("e1", at(ms));
    }
    assert!(!limiter.can_send("e1", 2, at(999)));
    assert!(limiter.can_send("e2", 2, at(999)));
    assert!(limiter.can_send("e1", 2, at(1_000)));
    limiter.record_sent("e1", at(1_000));
    assert!(!limiter.can_send("e1", 2, at(1_399)));
    assert!(!limiter.can_send("e1", 0, at(9_000)));
}
