//! Who shares what a site allows.

use std::time::Duration;

use larkwick::kernel::sharers::{MOST_SILENT_COUNTED, SILENT_COUNTED, Sharers};

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Looks each second from one time to another; the first `living` of the named live.
fn look(sharers: &mut Sharers, named: &[&str], living: usize, from_s: u64, to_s: u64) {
    for second in from_s..to_s {
        let members = named.iter().enumerate();
        let members = members.map(|(number, name)| (*name, number < living));
        sharers.look(members, Duration::from_secs(second));
    }
}

#[test]
fn count_few_fall_silent_forgotten_after_a_while() {
    let mut sharers = Sharers::default();
    assert_eq!(sharers.count(), 1);
    look(&mut sharers, &NAMES, 6, 0, 10);
    let silent_counted_s = SILENT_COUNTED.as_secs();
    look(&mut sharers, &NAMES, 5, 10, 9 + silent_counted_s);
    assert_eq!(sharers.count(), 7);
    look(&mut sharers, &NAMES, 5, 9 + silent_counted_s, 100);
    assert_eq!(sharers.count(), 6, "though they are still named");
    look(&mut sharers, &NAMES, 6, 100, 101);
    assert_eq!(sharers.count(), 7, "they live again");
}

#[test]
fn count_most_fall_silent_counted_for_long() {
    let mut sharers = Sharers::default();
    look(&mut sharers, &NAMES, 6, 0, 10);
    look(&mut sharers, &[], 0, 10, MOST_SILENT_COUNTED.as_secs());
    assert_eq!(sharers.count(), 7, "it may be the one that is cut off");
    let over_s = MOST_SILENT_COUNTED.as_secs() + 11;
    look(&mut sharers, &[], 0, over_s, over_s + 1);
    assert_eq!(sharers.count(), 1);
}

#[test]
fn count_named_and_never_heard_counted_at_once_and_as_long_as_the_silent() {
    let mut sharers = Sharers::default();
    look(&mut sharers, &NAMES, 0, 0, 1);
    assert_eq!(sharers.count(), 7);
    look(&mut sharers, &NAMES, 0, 1, MOST_SILENT_COUNTED.as_secs());
    assert_eq!(sharers.count(), 7, "it may have started cut off");
    let over_s = MOST_SILENT_COUNTED.as_secs();
    look(&mut sharers, &NAMES, 0, over_s, over_s + 1);
    assert_eq!(sharers.count(), 1);
}

/// Whatever the parts into which a site falls, what all count as theirs stays below a quarter as much again.
#[test]
fn count_site_falls_apart_parts_add_up_to_less_than_a_quarter_more() {
    let all = NAMES.len() + 1;
    for first_part in 1..all {
        let parts = [first_part, all - first_part];
        let shares = parts.map(|size| {
            let mut sharers = Sharers::default();
            look(&mut sharers, &NAMES, all - 1, 0, 10);
            look(&mut sharers, &NAMES, size - 1, 10, 300);
            let size = u32::try_from(size).expect("few");
            let count = u32::try_from(sharers.count()).expect("few");
            f64::from(size) / f64::from(count)
        });
        let sum: f64 = shares.iter().sum();
        assert!(sum < 1.25, "{parts:?}: {shares:?}");
    }
}
