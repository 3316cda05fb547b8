//! The fleet: departures are final, and an outage of the list takes nobody's work away.

use std::time::Duration;

use larkwick::kernel::fleet::{EndpointEntry, Fleet, FleetChange, RELIST_WITHIN, Standing};

const NOW: Duration = Duration::from_secs(100);

fn entry(id: &str, leaving: bool) -> EndpointEntry {
    EndpointEntry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        hall: "h".to_owned(),
        slots: 6,
        leaving,
    }
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let entries = (0..count).map(|index| entry(&format!("e{index}"), false));
    assert_eq!(fleet.take(entries.collect(), &[], NOW).len(), count);
    fleet
}

fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn take_leaving_is_final_whatever_is_listed_later() {
    let mut fleet = fleet(3);
    let changes = fleet.take(vec![entry("e0", true)], &[], NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e0", true))]);
    assert!(fleet.take(vec![entry("e0", false)], &[], NOW).is_empty());
    assert!(!fleet.takes_work("e0"));
    assert_eq!(fleet.ready("s").count(), 2);
}

#[test]
fn take_vanished_alone_is_leaving_at_once_and_may_come_back() {
    let mut fleet = fleet(4);
    let changes = fleet.take(Vec::new(), &ids(&["e1"]), NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e1", false))]);
    let changes = fleet.take(vec![entry("e1", false)], &[], NOW);
    assert_eq!(changes, [FleetChange::Joined(entry("e1", false))]);
}

#[test]
fn take_vanished_after_an_outage_works_until_it_should_be_back() {
    let mut fleet = fleet(6);
    fleet.regained(NOW);
    assert!(fleet.take(Vec::new(), &ids(&["e1"]), NOW).is_empty());
    assert!(fleet.takes_work("e1"));
    let (standing, _) = fleet.standing("e1", NOW).unwrap();
    assert_eq!(standing, Standing::Unlisted);
    assert!(fleet.settle(NOW + RELIST_WITHIN / 2).is_empty());
    let changes = fleet.settle(NOW + RELIST_WITHIN);
    assert_eq!(changes, [FleetChange::Left(entry("e1", false))]);
}

/// An endpoint that left two seconds after an outage worked on for more than the two seconds that are allowed.
#[test]
fn take_vanished_late_after_an_outage_is_not_doubted_anew() {
    let allowed = Duration::from_millis(1_700);
    for after in [0, 500, 1_500, 2_100].map(Duration::from_millis) {
        let mut fleet = fleet(6);
        fleet.regained(NOW);
        let vanished = NOW + after;
        fleet.take(Vec::new(), &ids(&["e1"]), vanished);
        fleet.settle(vanished + allowed);
        assert!(!fleet.takes_work("e1"), "{after:?} after the outage");
        if after > Duration::from_secs(1) {
            // The list has had its two seconds.
            let mut fleet = self::fleet(6);
            fleet.regained(NOW);
            fleet.take(Vec::new(), &ids(&["e1"]), vanished);
            fleet.settle(NOW + RELIST_WITHIN);
            assert!(!fleet.takes_work("e1"), "{after:?} after the outage");
        }
    }
}

/// An outage that nobody noticed: most of a service is gone from one read to the next.
#[test]
fn take_most_vanish_together_list_is_doubted() {
    let mut fleet = fleet(3);
    assert!(fleet.take(Vec::new(), &ids(&["e0", "e1"]), NOW).is_empty());
    assert_eq!(fleet.ready("s").count(), 3);
    assert_eq!(fleet.settle(NOW + RELIST_WITHIN).len(), 2);
}

#[test]
fn take_whole_missing_entry_has_vanished() {
    let mut fleet = fleet(4);
    let listed = vec![entry("e0", false), entry("e1", false), entry("e2", false)];
    let changes = fleet.take_whole(listed, NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e3", false))]);
}

#[test]
fn told_leaving_while_the_list_is_silent() {
    let mut fleet = fleet(2);
    assert!(fleet.told_leaving("e0", NOW).is_some());
    assert!(!fleet.takes_work("e0"));
    assert!(fleet.told_leaving("e0", NOW).is_none());
    assert!(fleet.told_leaving("unknown", NOW).is_none());
}
