//! Waits and ages from the time within which a change has to be in force.

use std::time::Duration;

use larkwick::kernel::freshness::Freshness;
use proptest::prelude::*;

#[test]
fn freshness_two_seconds_waits_that_were_measured() {
    let freshness = Freshness::new(Duration::from_secs(2));
    assert_eq!(freshness.store_wait(false), Duration::from_millis(750));
    assert_eq!(freshness.peer_wait(), Duration::from_millis(350));
    assert_eq!(freshness.age_max(), Duration::from_millis(1_100));
}

proptest! {
    /// What an instance passes on while the store answers is never too old to be taken, also through a relay, and the rest of the time is
    /// enough to ask another one.
    #[test]
    fn freshness_any_time_ages_fit(ms in 500_u64..60_000) {
        let within = Duration::from_millis(ms);
        let freshness = Freshness::new(within);
        let rounding = Duration::from_micros(1);
        let direct = freshness.store_wait(false);
        let through_relay = freshness.store_wait(true) + freshness.peer_wait();
        prop_assert!(direct <= freshness.age_max());
        prop_assert!(through_relay <= freshness.age_max());
        prop_assert!(through_relay + freshness.peer_wait() <= freshness.silent_after());
        prop_assert!(freshness.age_max() + freshness.peer_wait() + within.mul_f64(0.25) <= within + rounding);
    }
}
