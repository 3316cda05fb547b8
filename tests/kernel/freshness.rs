//! Waits and maximum ages, derived from the time within which a change must be in force.

use std::time::Duration;

use larkwick::kernel::freshness::Freshness;
use proptest::prelude::*;

#[test]
fn freshness_two_seconds_waits_and_age_in_milliseconds() {
    let freshness = Freshness::new(Duration::from_secs(2));
    assert_eq!(freshness.store_poll_wait(false), Duration::from_millis(750));
    assert_eq!(freshness.peer_poll_wait(), Duration::from_millis(350));
    assert_eq!(freshness.peer_age_max(), Duration::from_millis(1_100));
}

proptest! {
    /// While the store answers, data forwarded by an instance, directly or through a relay, is
    /// never too old to be accepted, and the remaining time is enough to ask another instance.
    #[test]
    fn freshness_any_time_ages_fit(ms in 500_u64..60_000) {
        let within = Duration::from_millis(ms);
        let freshness = Freshness::new(within);
        let rounding = Duration::from_micros(1);
        let direct = freshness.store_poll_wait(false);
        let through_relay = freshness.store_poll_wait(true) + freshness.peer_poll_wait();
        prop_assert!(direct <= freshness.peer_age_max());
        prop_assert!(through_relay <= freshness.peer_age_max());
        prop_assert!(through_relay + freshness.peer_poll_wait() <= freshness.store_timeout());
        prop_assert!(
            freshness.peer_age_max() + freshness.peer_poll_wait() + within.mul_f64(0.25)
                <= within + rounding
        );
    }
}
