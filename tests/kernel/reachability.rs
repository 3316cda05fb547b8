//! Which services an instance reaches.

use std::time::Duration;

use larkwick::kernel::reachability::Reachability;

const SERVICE: &str = "app";
const LISTED: usize = 3;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn record_unreached_two_endpoints_in_a_row_cut_off() {
    let mut reachability = Reachability::default();
    assert!(!reachability.record_unreached(SERVICE, "a", LISTED, at_ms(0)));
    assert!(!reachability.record_unreached(SERVICE, "a", LISTED, at_ms(1)));
    assert!(reachability.record_unreached(SERVICE, "b", LISTED, at_ms(2)));
    assert!(reachability.is_cut_off(SERVICE));
    assert!(!reachability.is_cut_off("other"));
    let after = reachability.record_reached(SERVICE, "c", at_ms(52));
    assert_eq!(after, Some(at_ms(50)));
    assert!(!reachability.is_cut_off(SERVICE));
}

#[test]
fn record_unreached_connection_in_between_not_cut_off() {
    let mut reachability = Reachability::default();
    for number in 0..10 {
        let now = at_ms(number);
        assert!(!reachability.record_unreached(SERVICE, &format!("e{number}"), LISTED, now));
        reachability.record_reached(SERVICE, "c", now);
    }
    assert!(!reachability.is_cut_off(SERVICE));
}

#[test]
fn record_unreached_only_listed_endpoint_cut_off() {
    let mut reachability = Reachability::default();
    assert!(reachability.record_unreached(SERVICE, "a", 1, at_ms(0)));
}

#[test]
fn unreached_endpoints_until_reached_or_two_seconds() {
    let mut reachability = Reachability::default();
    reachability.record_unreached(SERVICE, "a", LISTED, at_ms(0));
    reachability.record_unreached(SERVICE, "b", LISTED, at_ms(1_000));
    let names = |reachability: &Reachability, now| {
        let unreached = reachability.unreached_endpoints(now);
        unreached.into_iter().collect::<Vec<_>>()
    };
    assert_eq!(names(&reachability, at_ms(1_500)), ["a", "b"]);
    assert_eq!(names(&reachability, at_ms(2_500)), ["b"]);
    reachability.record_reached(SERVICE, "b", at_ms(2_600));
    assert!(names(&reachability, at_ms(2_600)).is_empty());
}

#[test]
fn forget_service_without_endpoints_not_cut_off() {
    let mut reachability = Reachability::default();
    reachability.record_unreached(SERVICE, "a", 1, at_ms(0));
    assert_eq!(reachability.cut_off_services(), [SERVICE]);
    reachability.forget(SERVICE);
    assert!(reachability.cut_off_services().is_empty());
}
