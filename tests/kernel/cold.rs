//! Cold endpoints: together, instances send no more than the declared rate, and half of it again where some are cut off.

use std::time::Duration;

use larkwick::kernel::cold::{ColdGate, ColdStart, Sender};
use proptest::prelude::*;

fn cold(bears_per_s: f64) -> ColdStart {
    ColdStart {
        lasts: Duration::from_secs(1),
        bears_per_s,
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("n{number}")).collect()
}

proptest! {
    #[test]
    fn share_by_name_all_agree_is_the_rate(bears in 1..40_u32, instances in 1..90_usize) {
        let names = names(instances);
        let shares = names.iter().map(|own| {
            let others = names.iter().filter(|name| *name != own);
            cold(f64::from(bears)).share_by_name(own, others.map(String::as_str), "e1")
        });
        prop_assert_eq!(shares.sum::<u32>(), bears);
    }

    #[test]
    fn share_owner_and_all_others_alone_within_one_and_a_half(bears in 1..40_u32, instances in 1..90_usize) {
        let cold = cold(f64::from(bears));
        let alone = cold.share(Sender::Alone { instances });
        let others = u32::try_from(instances).unwrap() * alone;
        prop_assert!(f64::from(cold.share(Sender::Owner) + others) <= 1.5 * f64::from(bears));
    }
}

#[test]
fn admits_share_in_any_second() {
    let mut gate = ColdGate::default();
    let at = |ms| Duration::from_millis(ms);
    for ms in [0, 400] {
        assert!(gate.admits("e1", 2, at(ms)));
        gate.note("e1", at(ms));
    }
    assert!(!gate.admits("e1", 2, at(999)));
    assert!(gate.admits("e2", 2, at(999)));
    assert!(gate.admits("e1", 2, at(1_000)));
    gate.note("e1", at(1_000));
    assert!(!gate.admits("e1", 2, at(1_399)));
    assert!(!gate.admits("e1", 0, at(9_000)));
}
