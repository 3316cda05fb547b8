//! Counting the instances that share a limit.

use std::time::Duration;

use larkwick::kernel::instance_count::{
    InstanceCounter, MOST_UNREACHABLE_COUNTED_FOR, UNREACHABLE_COUNTED_FOR,
};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Observes the listed members once per second; the first `reachable_count` of them are reachable.
fn observe_each_second(
    counter: &mut InstanceCounter,
    listed: &[&str],
    reachable_count: usize,
    from_s: u64,
    to_s: u64,
) {
    for second in from_s..to_s {
        let members = listed.iter().enumerate();
        let members = members.map(|(number, name)| (*name, number < reachable_count));
        counter.observe(members, Duration::from_secs(second));
    }
}

#[test]
fn count_few_unreachable_forgotten_after_timeout() {
    let mut counter = InstanceCounter::default();
    assert_eq!(counter.count(), 1);
    observe_each_second(&mut counter, &NAMES, 6, 0, 10);
    let counted_for_s = UNREACHABLE_COUNTED_FOR.as_secs();
    observe_each_second(&mut counter, &NAMES, 5, 10, 9 + counted_for_s);
    assert_eq!(counter.count(), 7);
    observe_each_second(&mut counter, &NAMES, 5, 9 + counted_for_s, 100);
    assert_eq!(counter.count(), 6, "though the member is still listed");
    observe_each_second(&mut counter, &NAMES, 6, 100, 101);
    assert_eq!(counter.count(), 7, "the member is reachable again");
}

#[test]
fn count_most_unreachable_kept_for_long() {
    let mut counter = InstanceCounter::default();
    observe_each_second(&mut counter, &NAMES, 6, 0, 10);
    observe_each_second(
        &mut counter,
        &[],
        0,
        10,
        MOST_UNREACHABLE_COUNTED_FOR.as_secs(),
    );
    assert_eq!(
        counter.count(),
        7,
        "this instance may be the one that is cut off"
    );
    let expired_s = MOST_UNREACHABLE_COUNTED_FOR.as_secs() + 11;
    observe_each_second(&mut counter, &[], 0, expired_s, expired_s + 1);
    assert_eq!(counter.count(), 1);
}

#[test]
fn count_listed_but_never_reachable_counted_as_unreachable() {
    let mut counter = InstanceCounter::default();
    observe_each_second(&mut counter, &NAMES, 0, 0, 1);
    assert_eq!(counter.count(), 7);
    observe_each_second(
        &mut counter,
        &NAMES,
        0,
        1,
        MOST_UNREACHABLE_COUNTED_FOR.as_secs(),
    );
    assert_eq!(
        counter.count(),
        7,
        "this instance may have been cut off since its start"
    );
    let expired_s = MOST_UNREACHABLE_COUNTED_FOR.as_secs();
    observe_each_second(&mut counter, &NAMES, 0, expired_s, expired_s + 1);
    assert_eq!(counter.count(), 1);
}

/// However a site is partitioned, the shares that all parts claim add up to less than five
/// quarters.
#[test]
fn count_partitioned_site_shares_add_up_to_less_than_five_quarters() {
    let all = NAMES.len() + 1;
    for first_part in 1..all {
        let parts = [first_part, all - first_part];
        let shares = parts.map(|size| {
            let mut counter = InstanceCounter::default();
            observe_each_second(&mut counter, &NAMES, all - 1, 0, 10);
            observe_each_second(&mut counter, &NAMES, size - 1, 10, 300);
            let size = u32::try_from(size).expect("fits u32");
            let count = u32::try_from(counter.count()).expect("fits u32");
            f64::from(size) / f64::from(count)
        });
        let sum: f64 = shares.iter().sum();
        assert!(sum < 1.25, "{parts:?}: {shares:?}");
    }
}
