//! Fleet: leaving is final, and an outage of the endpoint list does not take endpoints out of
//! service.

use std::time::Duration;

use larkwick::kernel::evacuation::HallOrder;
use larkwick::kernel::fleet::{
    Availability, DRAIN_NOTICES_MAX, EndpointEntry, Fleet, FleetChange, ListUpdate, RELIST_TIMEOUT,
    incarnation_id,
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

/// Returns an entry of an incarnation that reports its start time.
fn started(id: &str, born_ms: u64, leaving: bool) -> EndpointEntry {
    EndpointEntry {
        id: incarnation_id(id, Some(born_ms)),
        born_ms: Some(born_ms),
        ..entry(id, leaving)
    }
}

fn apply(
    fleet: &mut Fleet,
    entries: Vec<EndpointEntry>,
    vanished: &[String],
    now: Duration,
) -> Vec<FleetChange> {
    let update = ListUpdate {
        entries,
        vanished: vanished.to_vec(),
        unreadable: Vec::new(),
    };
    fleet.apply_update(update, now)
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let entries = (0..count).map(|index| entry(&format!("e{index}"), false));
    assert_eq!(apply(&mut fleet, entries.collect(), &[], NOW).len(), count);
    fleet
}

fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn apply_update_leaving_is_final() {
    let mut fleet = fleet(3);
    let changes = apply(&mut fleet, vec![entry("e0", true)], &[], NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e0", true))]);
    assert!(apply(&mut fleet, vec![entry("e0", false)], &[], NOW).is_empty());
    assert!(!fleet.can_accept_work("e0"));
    assert_eq!(fleet.ready_endpoints("s").count(), 2);
}

#[test]
fn apply_update_vanished_alone_leaves_at_once_and_may_return() {
    let mut fleet = fleet(4);
    let changes = apply(&mut fleet, Vec::new(), &ids(&["e1"]), NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e1", false))]);
    let changes = apply(&mut fleet, vec![entry("e1", false)], &[], NOW);
    assert_eq!(changes, [FleetChange::Joined(entry("e1", false))]);
}

#[test]
fn apply_update_vanished_after_outage_kept_until_relist_timeout() {
    let mut fleet = fleet(6);
    fleet.record_list_recovery(NOW);
    assert!(apply(&mut fleet, Vec::new(), &ids(&["e1"]), NOW).is_empty());
    assert!(fleet.can_accept_work("e1"));
    let (availability, _) = fleet.availability("e1", NOW).unwrap();
    assert_eq!(availability, Availability::Unlisted);
    assert!(fleet.expire_entries(NOW + RELIST_TIMEOUT / 2).is_empty());
    let changes = fleet.expire_entries(NOW + RELIST_TIMEOUT);
    assert_eq!(changes, [FleetChange::Left(entry("e1", false))]);
}

/// An endpoint that left two seconds after an outage used to get a second grace period, and so got
/// work for longer than the two seconds that are allowed.
#[test]
fn apply_update_vanished_late_after_outage_grace_not_restarted() {
    let allowed = Duration::from_millis(1_700);
    for after in [0, 500, 1_500, 2_100].map(Duration::from_millis) {
        let mut fleet = fleet(6);
        fleet.record_list_recovery(NOW);
        let vanished = NOW + after;
        apply(&mut fleet, Vec::new(), &ids(&["e1"]), vanished);
        fleet.expire_entries(vanished + allowed);
        assert!(!fleet.can_accept_work("e1"), "{after:?} after the outage");
        if after > Duration::from_secs(1) {
            // The two seconds allowed for relisting have passed.
            let mut fleet = self::fleet(6);
            fleet.record_list_recovery(NOW);
            apply(&mut fleet, Vec::new(), &ids(&["e1"]), vanished);
            fleet.expire_entries(NOW + RELIST_TIMEOUT);
            assert!(!fleet.can_accept_work("e1"), "{after:?} after the outage");
        }
    }
}

/// In an outage that was not noticed, most of a service is missing from one read to the next.
#[test]
fn apply_update_most_vanish_together_kept_for_grace_period() {
    let mut fleet = fleet(3);
    assert!(apply(&mut fleet, Vec::new(), &ids(&["e0", "e1"]), NOW).is_empty());
    assert_eq!(fleet.ready_endpoints("s").count(), 3);
    assert_eq!(fleet.expire_entries(NOW + RELIST_TIMEOUT).len(), 2);
}

#[test]
fn apply_full_list_missing_entry_has_vanished() {
    let mut fleet = fleet(4);
    let listed = vec![entry("e0", false), entry("e1", false), entry("e2", false)];
    let update = ListUpdate {
        entries: listed,
        ..ListUpdate::default()
    };
    let changes = fleet.apply_full_list(update, NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e3", false))]);
}

#[test]
fn record_drain_notice_while_list_is_unavailable() {
    let mut fleet = fleet(2);
    assert!(fleet.record_drain_notice("e0", NOW).is_some());
    assert!(!fleet.can_accept_work("e0"));
    assert!(fleet.record_drain_notice("e0", NOW).is_none());
    assert!(fleet.record_drain_notice("unknown", NOW).is_none());
}

#[test]
fn apply_update_restart_under_same_id_retires_earlier_incarnation() {
    let mut fleet = Fleet::default();
    apply(&mut fleet, vec![started("e0", 1, false)], &[], NOW);
    apply(&mut fleet, vec![started("e0", 1, true)], &[], NOW);
    assert!(!fleet.can_accept_work("e0@1"));
    let changes = apply(&mut fleet, vec![started("e0", 2, false)], &[], NOW);
    assert_eq!(changes, [FleetChange::Joined(started("e0", 2, false))]);
    assert!(fleet.can_accept_work("e0@2"));
    assert!(!fleet.can_accept_work("e0@1"));
    // A late entry of the earlier incarnation, and one without a start time.
    assert!(apply(&mut fleet, vec![started("e0", 1, true)], &[], NOW).is_empty());
    assert!(fleet.can_accept_work("e0@2"));
    assert!(apply(&mut fleet, vec![entry("e0", false)], &[], NOW).is_empty());
    assert_eq!(
        fleet.availability("e0@2", NOW),
        Some((Availability::Unreadable, Duration::ZERO))
    );
    let ready_endpoints = fleet.ready_endpoints("s").count();
    assert_eq!(ready_endpoints, 0);
}

#[test]
fn apply_update_restart_while_earlier_incarnation_is_ready() {
    let mut fleet = Fleet::default();
    apply(&mut fleet, vec![started("e0", 1, false)], &[], NOW);
    let changes = apply(&mut fleet, vec![started("e0", 2, false)], &[], NOW);
    let left = FleetChange::Left(started("e0", 1, true));
    assert_eq!(
        changes,
        [left, FleetChange::Joined(started("e0", 2, false))]
    );
    let changes = apply(&mut fleet, Vec::new(), &ids(&["e0"]), NOW);
    assert_eq!(changes, [FleetChange::Left(started("e0", 2, false))]);
}

#[test]
fn apply_update_unreadable_entry_gets_no_work_until_readable() {
    let mut fleet = fleet(3);
    let update = ListUpdate {
        unreadable: ids(&["e1"]),
        ..ListUpdate::default()
    };
    assert!(fleet.apply_update(update.clone(), NOW).is_empty());
    assert!(!fleet.can_accept_work("e1"));
    assert!(!fleet.is_leaving("e1"), "running work continues");
    assert_eq!(fleet.ready_endpoints("s").count(), 2);
    // A complete list with the same unreadable record changes nothing.
    let full_list = ListUpdate {
        entries: vec![entry("e0", false), entry("e2", false)],
        ..update
    };
    assert!(fleet.apply_full_list(full_list, NOW).is_empty());
    assert!(!fleet.is_leaving("e1"));
    apply(&mut fleet, vec![entry("e1", false)], &[], NOW);
    assert!(fleet.can_accept_work("e1"));
}

#[test]
fn apply_hall_order_evacuated_endpoints_get_no_work_and_stay() {
    let mut fleet = fleet(2);
    let order = |evacuate, next_offset| HallOrder {
        hall: "h".to_owned(),
        evacuate,
        next: Position::new(1, next_offset),
    };
    assert_eq!(fleet.apply_hall_order(&order(true, 5), NOW).len(), 1);
    assert_eq!(fleet.ready_endpoints("s").count(), 0);
    assert!(!fleet.is_leaving("e0"));
    let later = NOW + Duration::from_secs(2);
    let evacuated = Some((Availability::Evacuated, Duration::from_secs(2)));
    assert_eq!(fleet.availability("e0", later), evacuated);
    assert_eq!(fleet.closed_for("e0", later), Some(Duration::from_secs(2)));
    // An endpoint that joins in the meantime gets no work either.
    apply(&mut fleet, vec![entry("e9", false)], &[], NOW);
    assert!(!fleet.can_accept_work("e9"));
    // A repeated, late order.
    assert!(fleet.apply_hall_order(&order(false, 4), NOW).is_empty());
    assert_eq!(fleet.apply_hall_order(&order(false, 6), NOW).len(), 1);
    assert_eq!(fleet.ready_endpoints("s").count(), 3);
}

#[test]
fn apply_full_list_missing_unreadable_entry_has_left() {
    let mut fleet = fleet(3);
    let unreadable = ListUpdate {
        unreadable: ids(&["e1"]),
        ..ListUpdate::default()
    };
    fleet.apply_update(unreadable, NOW);
    let full_list = ListUpdate {
        entries: vec![entry("e0", false), entry("e2", false)],
        ..ListUpdate::default()
    };
    let changes = fleet.apply_full_list(full_list, NOW);
    assert_eq!(changes, [FleetChange::Left(entry("e1", false))]);
}

/// The announcement that an endpoint is draining stays in force although its entry becomes
/// unreadable shortly afterwards.
#[test]
fn apply_update_leaving_then_unreadable_stays_final() {
    let mut fleet = fleet(2);
    let mut update = ListUpdate::default();
    update.add_entry(entry("e0", true));
    update.add_unreadable("e0".to_owned());
    fleet.apply_update(update, NOW);
    apply(&mut fleet, vec![entry("e0", false)], &[], NOW);
    assert!(!fleet.can_accept_work("e0"));
    assert!(fleet.is_leaving("e0"));
}

/// The time for which an endpoint that left has been closed is not reset by its next incarnation.
#[test]
fn closed_for_counts_from_departure_of_earlier_incarnation() {
    let mut fleet = Fleet::default();
    apply(&mut fleet, vec![started("e0", 1, true)], &[], NOW);
    let later = NOW + Duration::from_secs(5);
    apply(&mut fleet, vec![started("e0", 2, false)], &[], later);
    assert_eq!(
        fleet.closed_for("e0@1", later),
        Some(Duration::from_secs(5))
    );
}

#[test]
fn record_drain_notice_still_listed_ready_never_accepts_work_again() {
    let mut fleet = fleet(2);
    fleet.record_drain_notice("e0", NOW);
    let later = NOW + Duration::from_mins(10);
    fleet.expire_entries(later);
    let changes = apply(&mut fleet, vec![entry("e0", false)], &[], later);
    assert!(changes.is_empty(), "{changes:?}");
    assert!(!fleet.can_accept_work("e0"));
    // Its next incarnation is not affected.
    apply(&mut fleet, vec![started("e0", 7, false)], &[], later);
    assert!(fleet.can_accept_work(&incarnation_id("e0", Some(7))));
}

#[test]
fn record_drain_notice_vanished_entry_forgotten_later() {
    let mut fleet = fleet(2);
    fleet.record_drain_notice("e0", NOW);
    apply(&mut fleet, Vec::new(), &ids(&["e0"]), NOW);
    fleet.expire_entries(NOW + Duration::from_mins(2));
    assert!(fleet.get("e0").is_none());
    let closed_for = fleet.closed_for("e0", NOW + Duration::from_mins(2));
    assert!(closed_for.is_some(), "an unknown endpoint is closed");
}

#[test]
fn drain_notices_forwarded_until_listed() {
    let (mut sender, mut receiver) = (fleet(3), fleet(3));
    sender.record_drain_notice("e1", NOW);
    let notices = sender.drain_notices(0, NOW);
    assert_eq!(receiver.apply_drain_notices(&notices, NOW).len(), 1);
    assert!(!receiver.can_accept_work("e1"));
    assert!(
        receiver.apply_drain_notices(&notices, NOW).is_empty(),
        "already known"
    );
    assert_eq!(receiver.drain_notices(0, NOW), notices, "forwarded");
    apply(&mut receiver, vec![entry("e1", true)], &[], NOW);
    assert!(
        receiver.drain_notices(0, NOW).is_empty(),
        "the list reports it"
    );
    let later = NOW + Duration::from_mins(1);
    assert!(
        sender.drain_notices(0, later).is_empty(),
        "notice has expired"
    );
}

/// If a whole service drains while the list is unavailable, heartbeats must stay short and still
/// name every endpoint in time.
#[test]
fn drain_notices_thousands_draining_bounded_and_all_named() {
    let count = 3_000;
    let mut fleet = fleet(count);
    for index in 0..count {
        fleet.record_drain_notice(&format!("e{index}"), NOW);
    }
    let mut named = std::collections::BTreeSet::new();
    for offset in (0..count).step_by(DRAIN_NOTICES_MAX) {
        let notices = fleet.drain_notices(offset, NOW);
        assert_eq!(notices.len(), DRAIN_NOTICES_MAX);
        named.extend(notices);
    }
    assert_eq!(named.len(), count);
}

/// A list of the size of the users' whole fleet. Comparing it with the one before took quadratic
/// time, seconds on the smallest instances, in which nothing else was served.
#[test]
fn apply_full_list_ten_thousand_listed_again_only_missing_ones_vanish() {
    const LISTED: usize = 10_000;
    let all: Vec<EndpointEntry> = (0..LISTED)
        .map(|number| entry(&format!("e{number}"), false))
        .collect();
    let mut fleet = Fleet::default();
    let list = |entries: &[EndpointEntry]| ListUpdate {
        entries: entries.to_vec(),
        ..ListUpdate::default()
    };
    fleet.apply_full_list(list(&all), NOW);
    let changes = fleet.apply_full_list(list(&all[100..]), NOW);
    let left = changes
        .iter()
        .filter(|change| matches!(change, FleetChange::Left(_)));
    assert_eq!(left.count(), 100);
    assert_eq!(fleet.ready_endpoints("s").count(), LISTED - 100);
}

/// Engines that say only that they are leaving: the next one is expected to end as the others of its
/// service did after their first notice, unless it announces its end. Nothing is known of its next
/// start.
#[test]
fn expected_end_announced_or_as_others_of_the_service() {
    let mut fleet = fleet(5);
    let ms = |ms| NOW + Duration::from_millis(ms);
    for (id, leaves_ms) in ids(&["e0", "e1", "e2", "e3"])
        .iter()
        .zip((0..).step_by(3_000))
    {
        assert_eq!(fleet.expected_end(id), None);
        apply(&mut fleet, vec![entry(id, true)], &[], ms(leaves_ms));
        assert!(fleet.expected_end(id) >= Some(ms(leaves_ms + 1_500)));
        apply(&mut fleet, Vec::new(), &ids(&[id]), ms(leaves_ms + 2_000));
    }
    fleet.record_drain_notice("e4", ms(20_000));
    apply(&mut fleet, vec![entry("e4", true)], &[], ms(20_300));
    assert_eq!(fleet.expected_end("e4"), Some(ms(22_000)));
    fleet.record_announced_end("e4", ms(21_700));
    fleet.record_announced_end("e4", ms(21_800));
    assert_eq!(fleet.expected_end("e4"), Some(ms(21_700)));
    apply(&mut fleet, vec![started("e4", 1, false)], &[], ms(23_000));
    assert_eq!(fleet.expected_end(&incarnation_id("e4", Some(1))), None);
}
