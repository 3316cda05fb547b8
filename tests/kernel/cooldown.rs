//! Rests that endpoints ask for.

use std::time::Duration;

use larkwick::kernel::cooldown::{Outlook, RELIEF_MAX, REST_MAX, Rests};

const NOW: Duration = Duration::from_secs(100);

const fn after(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn ask_until_its_end_and_no_longer() {
    let mut rests = Rests::default();
    assert!(rests.ask("e", seconds(3), NOW));
    assert!(rests.is_resting("e", after(2)));
    assert!(!rests.is_resting("e", after(3)));
    assert!(!rests.is_resting("other", NOW));
}

#[test]
fn ask_shorter_one_after_a_longer_the_longer_holds() {
    let mut rests = Rests::default();
    rests.ask("e", seconds(5), NOW);
    assert!(!rests.ask("e", seconds(1), after(1)), "no news");
    assert_eq!(rests.until("e", after(2)), Some(after(5)));
    rests.ask("e", seconds(5), after(2));
    assert_eq!(rests.until("e", after(2)), Some(after(7)));
}

#[test]
fn ask_for_nothing_or_for_ever_bounded() {
    let mut rests = Rests::default();
    assert!(!rests.ask("e", Duration::ZERO, NOW));
    assert!(!rests.is_resting("e", NOW));
    rests.ask("e", Duration::MAX, NOW);
    assert_eq!(rests.until("e", NOW), Some(NOW + REST_MAX));
}

#[test]
fn admits_relief_no_more_than_allowed_in_one_rest() {
    let mut rests = Rests::default();
    rests.ask("e", seconds(3), NOW);
    let admitted = (0..10).filter(|_| rests.admits_relief("e", NOW));
    assert_eq!(admitted.count(), RELIEF_MAX as usize);
    rests.ask("e", seconds(3), after(1));
    assert!(!rests.admits_relief("e", after(3)), "the same rest, longer");
    assert!(rests.admits_relief("e", after(4)), "it does not rest");
    rests.ask("e", seconds(3), after(9));
    assert!(rests.admits_relief("e", after(9)), "another rest");
}

#[test]
fn tidy_over_or_gone_forgotten() {
    let mut rests = Rests::default();
    for (endpoint, rest) in [("over", 1), ("gone", 9), ("rests", 9)] {
        rests.ask(endpoint, seconds(rest), NOW);
    }
    rests.tidy(|endpoint| endpoint != "gone", after(2));
    let left: Vec<&str> = rests.resting(NOW).collect();
    assert_eq!(left, ["rests"]);
}

#[test]
fn outlook_open_while_one_does_not_rest() {
    let rests = [Some(after(3)), None];
    assert_eq!(Outlook::of(rests, after(9)), Outlook::Open);
    assert_eq!(Outlook::of([], after(9)), Outlook::Open);
}

#[test]
fn outlook_all_rest_first_end_decides() {
    let rests = [Some(after(3)), Some(after(2))];
    assert_eq!(
        Outlook::of(rests, after(2)),
        Outlook::Opens { at: after(2) }
    );
    let closed = Outlook::Closed { until: after(2) };
    assert_eq!(Outlook::of(rests, after(1)), closed);
}
