//! Crash suspects: which requests are refused or found innocent, and what is gossiped, stored and
//! forgotten.

use std::time::Duration;

use larkwick::kernel::clock::Clock;
use larkwick::kernel::crash_suspects::{
    CrashSuspects, EndpointCrash, SuspectChange, SuspectReport, UPDATES_MAX, Verdict, software_id,
};
use larkwick::kernel::fingerprint::{Fingerprint, FingerprintHead};
use proptest::prelude::*;

use super::hall::{Hall, PERIOD};

const SECOND: Duration = Duration::from_secs(1);

fn fingerprint(body: &str) -> Fingerprint {
    let head = FingerprintHead {
        method: "POST",
        host: "site.example",
        path: "/chat/1?a=b",
        account: Some("account-1"),
        body_bytes: body.len(),
    };
    head.hash().with_body(body.as_bytes())
}

fn crash_at_start(endpoint: u64) -> EndpointCrash {
    EndpointCrash {
        endpoint,
        software: software_id("llm", "v1"),
        at_start: true,
    }
}

fn crash_later(endpoint: u64) -> EndpointCrash {
    EndpointCrash {
        at_start: false,
        ..crash_at_start(endpoint)
    }
}

/// Returns the state of one instance after these crashes.
fn with_crashes(fingerprint: Fingerprint, crashes: &[EndpointCrash]) -> CrashSuspects {
    let mut suspects = CrashSuspects::default();
    for crash in crashes {
        suspects.record_crash(fingerprint, *crash, SECOND);
    }
    suspects
}

fn reports(suspects: &CrashSuspects) -> Vec<SuspectReport> {
    suspects.recent_updates(SECOND)
}

#[test]
fn fingerprint_each_part_changed_differs() {
    let head = FingerprintHead {
        method: "POST",
        host: "site.example",
        path: "/a/",
        account: Some("one"),
        body_bytes: 4,
    };
    let id = |head: &FingerprintHead<'_>, body: &str| head.hash().with_body(body.as_bytes());
    let first = id(&head, "body");
    let others = [
        id(
            &FingerprintHead {
                method: "GET",
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                host: "b.example",
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                path: "/a/?b",
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                account: None,
                ..head
            },
            "body",
        ),
        id(
            &FingerprintHead {
                account: Some("on"),
                path: "/a/e",
                ..head
            },
            "body",
        ),
        id(&head, "bodz"),
    ];
    assert!(!others.contains(&first));
    assert_eq!(first, id(&head, "body"));
}

#[test]
fn fingerprint_text_round_trip() {
    let id = fingerprint("x");
    assert_eq!(id.to_string().parse(), Ok(id));
    for wrong in [
        "",
        "suspect",
        "+00000000000000000000000000000000000000000000000",
    ] {
        assert!(wrong.parse::<Fingerprint>().is_err(), "{wrong:?}");
    }
}

#[test]
fn verdict_three_crashes_at_start_refused() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(id, &[crash_at_start(1), crash_at_start(2)]);
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Suspected);
    assert_eq!(
        suspects.record_crash(id, crash_at_start(2), SECOND),
        SuspectChange::None,
        "the same endpoint"
    );
    assert_eq!(
        suspects.record_crash(id, crash_at_start(3), SECOND),
        SuspectChange::NowRefused
    );
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Refused);
    assert_eq!(
        suspects.verdict(&[fingerprint("y")], SECOND),
        Verdict::Allowed
    );
}

#[test]
fn verdict_later_crashes_six_needed() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(id, &[1, 2, 3, 4, 5].map(crash_later));
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Suspected);
    suspects.record_crash(id, crash_later(6), SECOND);
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Refused);
}

/// Identical requests that run on every endpoint are cut off by every crash. If one of them runs
/// past its start on another endpoint, its start is not what crashes endpoints.
#[test]
fn verdict_ran_past_start_elsewhere_three_crashes_do_not_refuse() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(id, &[crash_at_start(1)]);
    suspects.record_ran_past_start(id, SECOND);
    suspects.record_crash(id, crash_at_start(2), SECOND);
    suspects.record_crash(id, crash_at_start(3), SECOND);
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Suspected);
}

#[test]
fn record_survival_later_crashes_do_not_count() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(
        id,
        &[crash_at_start(1), crash_at_start(2), crash_at_start(3)],
    );
    assert_eq!(
        suspects.record_survival(id, software_id("llm", "v1"), SECOND),
        SuspectChange::Updated
    );
    for endpoint in 4..12 {
        suspects.record_crash(id, crash_at_start(endpoint), SECOND);
    }
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Allowed);
}

#[test]
fn record_survival_peers_stop_refusing() {
    let id = fingerprint("x");
    let mut one = with_crashes(
        id,
        &[crash_at_start(1), crash_at_start(2), crash_at_start(3)],
    );
    let mut other = CrashSuspects::default();
    other.merge(&reports(&one)[0], SECOND);
    assert_eq!(other.verdict(&[id], SECOND), Verdict::Refused);
    one.record_survival(id, software_id("llm", "v1"), SECOND);
    other.merge(&reports(&one)[0], SECOND);
    assert_eq!(other.verdict(&[id], SECOND), Verdict::Allowed);
    // An outdated report arrives late.
    let late = reports(&with_crashes(
        id,
        &[crash_at_start(7), crash_at_start(8), crash_at_start(9)],
    ));
    assert_eq!(other.merge(&late[0], SECOND), SuspectChange::None);
}

#[test]
fn release_crashes_counted_from_zero() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(
        id,
        &[crash_at_start(1), crash_at_start(2), crash_at_start(3)],
    );
    assert!(suspects.release(id, SECOND));
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Allowed);
    for endpoint in [4, 5, 6] {
        suspects.record_crash(id, crash_at_start(endpoint), SECOND);
    }
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Refused);
    assert!(!suspects.release(fingerprint("never seen"), SECOND));
}

#[test]
fn verdict_long_after_last_crash_allowed_again() {
    let id = fingerprint("x");
    let suspected = with_crashes(id, &[crash_at_start(1), crash_at_start(2)]);
    let refused = with_crashes(
        id,
        &[crash_at_start(1), crash_at_start(2), crash_at_start(3)],
    );
    let in_two_hours = Duration::from_hours(2);
    assert_eq!(suspected.verdict(&[id], in_two_hours), Verdict::Allowed);
    assert_eq!(refused.verdict(&[id], in_two_hours), Verdict::Refused);
    assert_eq!(
        refused.verdict(&[id], Duration::from_hours(25)),
        Verdict::Allowed
    );
}

#[test]
fn begin_trial_new_software_one_at_a_time_two_in_total() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(
        id,
        &[crash_at_start(1), crash_at_start(2), crash_at_start(3)],
    );
    let version = |version: &str| software_id("llm", version);
    assert!(
        !suspects.begin_trial(&[id], version("v1"), SECOND),
        "this software crashed"
    );
    assert!(suspects.begin_trial(&[id], version("v2"), SECOND));
    assert!(
        !suspects.begin_trial(&[id], version("v3"), SECOND),
        "a trial is running"
    );
    let crash_on = |endpoint, of: &str| EndpointCrash {
        software: version(of),
        ..crash_at_start(endpoint)
    };
    suspects.record_crash(id, crash_on(4, "v2"), SECOND);
    let later = Duration::from_mins(10);
    assert!(!suspects.begin_trial(&[id], version("v2"), later));
    assert!(suspects.begin_trial(&[id], version("v3"), later));
    suspects.record_crash(id, crash_on(5, "v3"), later);
    assert!(
        !suspects.begin_trial(&[id], version("v4"), later * 2),
        "two trials were made"
    );
}

#[test]
fn due_for_store_from_second_crash_by_instance_that_saw_it() {
    let id = fingerprint("x");
    let mut observer = with_crashes(id, &[crash_at_start(1)]);
    assert!(
        observer.due_for_store(false, SECOND).is_empty(),
        "one crash is not worth a call"
    );
    observer.record_crash(id, crash_at_start(2), SECOND);
    let due = observer.due_for_store(false, SECOND);
    assert_eq!(due.len(), 1);
    observer.mark_stored(&due[0]);
    assert!(observer.due_for_store(false, SECOND).is_empty());
    let mut other = CrashSuspects::default();
    other.merge(&due[0], SECOND);
    assert!(other.due_for_store(false, SECOND * 5).is_empty());
    assert!(
        other.due_for_store(true, SECOND).is_empty(),
        "the instance that saw it may still write it"
    );
    assert_eq!(other.due_for_store(true, SECOND * 5).len(), 1);
}

#[test]
fn due_for_store_innocent_after_stored() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(id, &[crash_at_start(1), crash_at_start(2)]);
    let due = suspects.due_for_store(false, SECOND);
    suspects.mark_stored(&due[0]);
    suspects.record_survival(id, software_id("llm", "v1"), SECOND);
    let due = suspects.due_for_store(false, SECOND);
    assert!(due[0].innocent && due[0].crashes.is_empty(), "{due:?}");
}

/// Ever new requests with one crash each: memory stays bounded and the refused request stays known.
#[test]
fn record_crash_million_suspects_bounded_and_refused_one_kept() {
    let refused = fingerprint("refused");
    let mut suspects = with_crashes(
        refused,
        &[crash_at_start(1), crash_at_start(2), crash_at_start(3)],
    );
    let head = refused.head;
    for number in 0..1_000_000_u64 {
        let id = Fingerprint {
            head,
            full: u128::from(number),
        };
        suspects.record_crash(id, crash_at_start(number), SECOND);
    }
    assert!(suspects.len() <= 4_096, "{}", suspects.len());
    assert_eq!(suspects.verdict(&[refused], SECOND), Verdict::Refused);
    assert_eq!(suspects.recent_updates(SECOND).len(), UPDATES_MAX);
    assert_eq!(
        suspects.recent_updates(SECOND)[0].fingerprint,
        refused,
        "most points first"
    );
}

#[test]
fn has_head_only_for_known_suspects() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(id, &[crash_at_start(1)]);
    assert!(suspects.has_head(id.head));
    assert!(!suspects.has_head(fingerprint("longer").head));
    suspects.expire(Duration::from_hours(2));
    assert!(!suspects.has_head(id.head));
    assert!(suspects.is_empty());
}

proptest! {
    /// Instances that receive the same reports reach the same verdict, in any order and with
    /// duplicates.
    #[test]
    fn merge_any_order_same_verdict(
        crashes in prop::collection::vec((0..6_u64, any::<bool>()), 1..12),
        order in any::<u64>(),
    ) {
        let id = fingerprint("x");
        let separate: Vec<SuspectReport> = crashes
            .iter()
            .flat_map(|(endpoint, at_start)| {
                reports(&with_crashes(
                    id,
                    &[EndpointCrash { at_start: *at_start, ..crash_at_start(*endpoint) }],
                ))
            })
            .collect();
        let mut one = CrashSuspects::default();
        for report in &separate {
            one.merge(report, SECOND);
        }
        let mut other = CrashSuspects::default();
        let mut shuffled = separate.clone();
        shuffled.extend(separate.iter().cloned());
        let count = shuffled.len();
        let offset = usize::try_from(order).unwrap_or_default() % count;
        shuffled.rotate_left(offset);
        shuffled.reverse();
        for report in &shuffled {
            other.merge(report, SECOND);
        }
        prop_assert_eq!(one.verdict(&[id], SECOND), other.verdict(&[id], SECOND));
        prop_assert_eq!(&reports(&one)[0].crashes, &reports(&other)[0].crashes);
    }
}

/// Software that finishes a request says nothing about the other software that crashed under it.
#[test]
fn record_survival_on_other_software_refused_on_crashed_software() {
    let id = fingerprint("x");
    let mut suspects = with_crashes(
        id,
        &[crash_at_start(1), crash_at_start(2), crash_at_start(3)],
    );
    let fixed = software_id("llm", "v2");
    assert_eq!(
        suspects.record_survival(id, fixed, SECOND),
        SuspectChange::Updated
    );
    assert_eq!(suspects.verdict(&[id], SECOND), Verdict::Refused);
    assert!(suspects.has_finished_on(&[id], fixed, SECOND));
    assert!(!suspects.has_finished_on(&[id], software_id("llm", "v1"), SECOND));
    let mut other = CrashSuspects::default();
    other.merge(&reports(&suspects)[0], SECOND);
    assert!(other.has_finished_on(&[id], fixed, SECOND));
}

/// Returns the time until all instances know what one has seen, by heartbeats alone. This is the
/// worst case: no update is forwarded within a round, sent out of turn or read from the store.
fn time_until_known_by_all(instances: usize) -> Duration {
    let id = fingerprint("x");
    let mut hall = Hall::of(instances);
    hall.run_for(SECOND);
    let mut suspects: Vec<CrashSuspects> =
        (0..instances).map(|_| CrashSuspects::default()).collect();
    let seen_at = hall.clock.now();
    for endpoint in [1, 2, 3] {
        suspects[0].record_crash(id, crash_at_start(endpoint), seen_at);
    }
    let refuses = |suspects: &CrashSuspects, now| suspects.verdict(&[id], now) == Verdict::Refused;
    while !suspects.iter().all(|one| refuses(one, seen_at)) {
        let now = hall.clock.now();
        let updates: Vec<Vec<SuspectReport>> =
            suspects.iter().map(|one| one.recent_updates(now)).collect();
        for from in 0..instances {
            for to in hall.targets_of(from) {
                for report in &updates[from] {
                    suspects[to].merge(report, now);
                }
                for report in &updates[to] {
                    suspects[from].merge(report, now);
                }
            }
        }
        hall.clock.advance(PERIOD);
    }
    hall.clock.now().saturating_sub(seen_at)
}

#[test]
fn news_site_of_300_known_by_all_within_three_seconds() {
    let took = time_until_known_by_all(300);
    println!("300 instances know after {took:?}");
    assert!(took <= SECOND * 3, "{took:?}");
}

#[test]
fn news_site_of_2300_known_by_all_within_four_seconds() {
    let took = time_until_known_by_all(2_300);
    println!("2,300 instances know after {took:?}");
    assert!(took <= SECOND * 4, "{took:?}");
}
