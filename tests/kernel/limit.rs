//! Limits that endpoints name.

use std::time::Duration;

use larkwick::kernel::limit::{LimitChange, LimitWord, Limits};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

const FEW: LimitWord = LimitWord::PerS(2.0);
const MORE: LimitWord = LimitWord::PerS(5.0);

#[test]
fn take_limit_holds_until_an_answer_without_one() {
    let mut limits = Limits::default();
    assert_eq!(limits.take("e", LimitWord::Unsaid, at(0), at(1)), None);
    let began = limits.take("e", FEW, at(2), at(3));
    assert_eq!(began, Some(LimitChange::Began(2.0)));
    assert_eq!(limits.per_s("e"), Some(2.0));
    assert_eq!(limits.per_s("another start"), None);
    assert_eq!(limits.take("e", FEW, at(4), at(5)), None, "no news");
    let ended = limits.take("e", LimitWord::Unsaid, at(6), at(7));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limits.per_s("e"), None);
    let again = limits.take("e", FEW, at(8), at(9));
    assert_eq!(again, Some(LimitChange::Began(2.0)));
}

#[test]
fn take_answer_asked_for_before_the_need_does_not_end_it() {
    let mut limits = Limits::default();
    limits.take("e", FEW, at(10), at(20));
    limits.take("e", LimitWord::Unsaid, at(0), at(30));
    limits.take("e", LimitWord::Unsaid, at(20), at(40));
    assert_eq!(limits.per_s("e"), Some(2.0));
    limits.take("e", LimitWord::Unsaid, at(21), at(41));
    assert_eq!(limits.per_s("e"), None);
}

#[test]
fn take_higher_limit_of_an_answer_that_crossed_the_lower_holds() {
    let mut limits = Limits::default();
    limits.take("e", FEW, at(10), at(20));
    assert_eq!(limits.take("e", MORE, at(0), at(30)), None);
    assert_eq!(limits.per_s("e"), Some(2.0));
    let raised = limits.take("e", MORE, at(21), at(40));
    assert_eq!(raised, Some(LimitChange::Changed(5.0)));
    let lowered = limits.take("e", FEW, at(0), at(50));
    assert_eq!(lowered, Some(LimitChange::Changed(2.0)));
}

#[test]
fn take_what_cannot_be_read_changes_nothing() {
    let mut limits = Limits::default();
    assert_eq!(limits.take("e", LimitWord::Unreadable, at(0), at(1)), None);
    assert!(limits.is_empty());
    limits.take("e", FEW, at(2), at(3));
    limits.take("e", LimitWord::Unreadable, at(4), at(5));
    assert_eq!(limits.per_s("e"), Some(2.0));
}

#[test]
fn tidy_starts_that_are_gone_forgotten() {
    let mut limits = Limits::default();
    limits.take("gone", FEW, at(0), at(1));
    limits.take("e", FEW, at(0), at(1));
    limits.tidy(|endpoint| endpoint == "e");
    assert_eq!(limits.len(), 1);
}
