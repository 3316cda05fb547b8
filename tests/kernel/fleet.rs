//! The fleet: departures are final, and an outage of the list takes nobody's work away.

use std::time::Duration;

use larkwick::kernel::evacuation::HallOrder;
use larkwick::kernel::fleet::{
    EndpointEntry, Fleet, FleetChange, LEAVING_NEWS_MAX, ListNews, RELIST_WITHIN, Standing,
    start_id,
};
use larkwick::kernel::position::Position;

const NOW: Duration = Duration::from_secs(100);

fn entry(id: &str, leaving: bool) -> EndpointEntry {
    EndpointEntry {
        id: id.to_owned(),
        listed_id: id.to_owned(),
        born_ms: None,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        hall: "h".to_owned(),
        slots: 6,
        leaving,
        software: String::new(),
        cold_left: Duration::ZERO,
    }
}

/// An entry of a start that tells its time.
fn born(id: &str, born_ms: u64, leaving: bool) -> EndpointEntry {
    EndpointEntry {
        id: start_id(id, Some(born_ms)),
        born_ms: Some(born_ms),
        ..entry(id, leaving)
    }
}

fn take(
    fleet: &mut Fleet,
    entries: Vec<EndpointEntry>,
    vanished: &[String],
    now: Duration,
) -> Vec<FleetChange> {
    let news = ListNews {
        entries,
        vanished: vanished.to_vec(),
        unreadable: Vec::new(),
    };
    fleet.take(news, now)
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let entries = (0..count).map(|index| entry(&format!("e{index}"), false));
    assert_eq!(take(&mut fleet, entries.collect(), &[], NOW).len(), count);
    fleet
}

fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn take_leaving_is_final_whatever_is_listed_later() {
    let mut fleet = fleet(3);
    let changes = take(&mut fleet, vec![entry("e0", true)], &[], NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e0", true))]);
    assert!(take(&mut fleet, vec![entry("e0", false)], &[], NOW).is_empty());
    assert!(!fleet.takes_work("e0"));
    assert_eq!(fleet.ready("s").count(), 2);
}

#[test]
fn take_vanished_alone_is_leaving_at_once_and_may_come_back() {
    let mut fleet = fleet(4);
    let changes = take(&mut fleet, Vec::new(), &ids(&["e1"]), NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e1", false))]);
    let changes = take(&mut fleet, vec![entry("e1", false)], &[], NOW);
    assert_eq!(changes, [FleetChange::Joined(entry("e1", false))]);
}

#[test]
fn take_vanished_after_an_outage_works_until_it_should_be_back() {
    let mut fleet = fleet(6);
    fleet.regained(NOW);
    assert!(take(&mut fleet, Vec::new(), &ids(&["e1"]), NOW).is_empty());
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
        take(&mut fleet, Vec::new(), &ids(&["e1"]), vanished);
        fleet.settle(vanished + allowed);
        assert!(!fleet.takes_work("e1"), "{after:?} after the outage");
        if after > Duration::from_secs(1) {
            // The list has had its two seconds.
            let mut fleet = self::fleet(6);
            fleet.regained(NOW);
            take(&mut fleet, Vec::new(), &ids(&["e1"]), vanished);
            fleet.settle(NOW + RELIST_WITHIN);
            assert!(!fleet.takes_work("e1"), "{after:?} after the outage");
        }
    }
}

/// An outage that nobody noticed: most of a service is gone from one read to the next.
#[test]
fn take_most_vanish_together_list_is_doubted() {
    let mut fleet = fleet(3);
    assert!(take(&mut fleet, Vec::new(), &ids(&["e0", "e1"]), NOW).is_empty());
    assert_eq!(fleet.ready("s").count(), 3);
    assert_eq!(fleet.settle(NOW + RELIST_WITHIN).len(), 2);
}

#[test]
fn take_whole_missing_entry_has_vanished() {
    let mut fleet = fleet(4);
    let listed = vec![entry("e0", false), entry("e1", false), entry("e2", false)];
    let news = ListNews {
        entries: listed,
        ..ListNews::default()
    };
    let changes = fleet.take_whole(news, NOW);
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

#[test]
fn take_start_under_the_same_id_former_life_ends() {
    let mut fleet = Fleet::default();
    take(&mut fleet, vec![born("e0", 1, false)], &[], NOW);
    take(&mut fleet, vec![born("e0", 1, true)], &[], NOW);
    assert!(!fleet.takes_work("e0@1"));
    let changes = take(&mut fleet, vec![born("e0", 2, false)], &[], NOW);
    assert_eq!(changes, [FleetChange::Joined(born("e0", 2, false))]);
    assert!(fleet.takes_work("e0@2"));
    assert!(!fleet.takes_work("e0@1"));
    // A late word of the former life, and one that tells no start at all.
    assert!(take(&mut fleet, vec![born("e0", 1, true)], &[], NOW).is_empty());
    assert!(fleet.takes_work("e0@2"));
    assert!(take(&mut fleet, vec![entry("e0", false)], &[], NOW).is_empty());
    assert_eq!(
        fleet.standing("e0@2", NOW),
        Some((Standing::Unreadable, Duration::ZERO))
    );
    let ready = fleet.ready("s").count();
    assert_eq!(ready, 0);
}

#[test]
fn take_start_while_the_former_life_runs_that_one_has_left() {
    let mut fleet = Fleet::default();
    take(&mut fleet, vec![born("e0", 1, false)], &[], NOW);
    let changes = take(&mut fleet, vec![born("e0", 2, false)], &[], NOW);
    let left = FleetChange::Left(born("e0", 1, true));
    assert_eq!(changes, [left, FleetChange::Joined(born("e0", 2, false))]);
    let changes = take(&mut fleet, Vec::new(), &ids(&["e0"]), NOW);
    assert_eq!(changes, [FleetChange::Left(born("e0", 2, false))]);
}

#[test]
fn take_unreadable_entry_names_no_endpoint_until_it_can_be_read() {
    let mut fleet = fleet(3);
    let news = ListNews {
        unreadable: ids(&["e1"]),
        ..ListNews::default()
    };
    assert!(fleet.take(news.clone(), NOW).is_empty());
    assert!(!fleet.takes_work("e1"));
    assert!(!fleet.is_leaving("e1"), "what runs there goes on");
    assert_eq!(fleet.ready("s").count(), 2);
    // A whole list with the same record says the same.
    let whole = ListNews {
        entries: vec![entry("e0", false), entry("e2", false)],
        ..news
    };
    assert!(fleet.take_whole(whole, NOW).is_empty());
    assert!(!fleet.is_leaving("e1"));
    take(&mut fleet, vec![entry("e1", false)], &[], NOW);
    assert!(fleet.takes_work("e1"));
}

#[test]
fn order_hall_evacuated_endpoints_take_nothing_new_and_stay() {
    let mut fleet = fleet(2);
    let order = |evacuate, next_offset| HallOrder {
        hall: "h".to_owned(),
        evacuate,
        next: Position::new(1, next_offset),
    };
    assert_eq!(fleet.order_hall(&order(true, 5), NOW).len(), 1);
    assert_eq!(fleet.ready("s").count(), 0);
    assert!(!fleet.is_leaving("e0"));
    let later = NOW + Duration::from_secs(2);
    let evacuated = Some((Standing::Evacuated, Duration::from_secs(2)));
    assert_eq!(fleet.standing("e0", later), evacuated);
    assert_eq!(fleet.closed_for("e0", later), Some(Duration::from_secs(2)));
    // An endpoint that joins in the meantime takes nothing either.
    take(&mut fleet, vec![entry("e9", false)], &[], NOW);
    assert!(!fleet.takes_work("e9"));
    // Told once more, late.
    assert!(fleet.order_hall(&order(false, 4), NOW).is_empty());
    assert_eq!(fleet.order_hall(&order(false, 6), NOW).len(), 1);
    assert_eq!(fleet.ready("s").count(), 3);
}

#[test]
fn take_whole_unreadable_one_missing_has_left() {
    let mut fleet = fleet(3);
    let unreadable = ListNews {
        unreadable: ids(&["e1"]),
        ..ListNews::default()
    };
    fleet.take(unreadable, NOW);
    let whole = ListNews {
        entries: vec![entry("e0", false), entry("e2", false)],
        ..ListNews::default()
    };
    let changes = fleet.take_whole(whole, NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e1", false))]);
}

/// What an endpoint said of its leaving stays said, though its entry cannot be read a moment later.
#[test]
fn take_leaving_then_unreadable_together_stays_final() {
    let mut fleet = fleet(2);
    let mut news = ListNews::default();
    news.add(entry("e0", true));
    news.add_unreadable("e0".to_owned());
    fleet.take(news, NOW);
    take(&mut fleet, vec![entry("e0", false)], &[], NOW);
    assert!(!fleet.takes_work("e0"));
    assert!(fleet.is_leaving("e0"));
}

/// The time for which nothing may reach an endpoint that left does not begin anew with its next life.
#[test]
fn take_start_after_the_former_life_left_closed_since_then() {
    let mut fleet = Fleet::default();
    take(&mut fleet, vec![born("e0", 1, true)], &[], NOW);
    let later = NOW + Duration::from_secs(5);
    take(&mut fleet, vec![born("e0", 2, false)], &[], later);
    assert_eq!(
        fleet.closed_for("e0@1", later),
        Some(Duration::from_secs(5))
    );
}

#[test]
fn told_leaving_entry_listed_ready_for_long_never_takes_work_again() {
    let mut fleet = fleet(2);
    fleet.told_leaving("e0", NOW);
    let later = NOW + Duration::from_mins(10);
    fleet.settle(later);
    let changes = take(&mut fleet, vec![entry("e0", false)], &[], later);
    assert!(changes.is_empty(), "{changes:?}");
    assert!(!fleet.takes_work("e0"));
    // Its next start is another matter.
    take(&mut fleet, vec![born("e0", 7, false)], &[], later);
    assert!(fleet.takes_work(&start_id("e0", Some(7))));
}

#[test]
fn told_leaving_gone_from_the_list_forgotten_after_a_while() {
    let mut fleet = fleet(2);
    fleet.told_leaving("e0", NOW);
    take(&mut fleet, Vec::new(), &ids(&["e0"]), NOW);
    fleet.settle(NOW + Duration::from_mins(2));
    assert!(fleet.get("e0").is_none());
    let closed_for = fleet.closed_for("e0", NOW + Duration::from_mins(2));
    assert!(
        closed_for.is_some(),
        "nothing goes on where nobody is known"
    );
}

#[test]
fn leaving_news_taken_by_others_until_the_list_tells_it() {
    let (mut here, mut there) = (fleet(3), fleet(3));
    here.told_leaving("e1", NOW);
    let news = here.leaving_news(0, NOW);
    assert_eq!(there.take_leaving_news(&news, NOW).len(), 1);
    assert!(!there.takes_work("e1"));
    assert!(there.take_leaving_news(&news, NOW).is_empty(), "known");
    assert_eq!(there.leaving_news(0, NOW), news, "passed on");
    take(&mut there, vec![entry("e1", true)], &[], NOW);
    assert!(there.leaving_news(0, NOW).is_empty(), "the list tells it");
    let later = NOW + Duration::from_mins(1);
    assert!(
        here.leaving_news(0, later).is_empty(),
        "told for long enough"
    );
}

/// A whole service that says it leaves while the list is away: a heartbeat stays short, and each one is named in time.
#[test]
fn leaving_news_thousands_leave_bounded_and_all_told() {
    let count = 3_000;
    let mut fleet = fleet(count);
    for index in 0..count {
        fleet.told_leaving(&format!("e{index}"), NOW);
    }
    let mut told = std::collections::BTreeSet::new();
    for first in (0..count).step_by(LEAVING_NEWS_MAX) {
        let news = fleet.leaving_news(first, NOW);
        assert_eq!(news.len(), LEAVING_NEWS_MAX);
        told.extend(news);
    }
    assert_eq!(told.len(), count);
}
