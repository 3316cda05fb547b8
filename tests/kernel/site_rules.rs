//! Small decisions of the gateway: readers, retry allowance, health, whole events.

use std::time::Duration;

use larkwick::kernel::event_split::EventSplitter;
use larkwick::kernel::health::EndpointHealth;
use larkwick::kernel::one_at_a_time::OneAtATime;
use larkwick::kernel::retry::RetryAllowance;
use larkwick::kernel::roles;
use proptest::prelude::*;

#[test]
fn readers_for_all_members_agree_on_the_readers() {
    let names: Vec<String> = (0..85).map(|index| format!("n{index}")).collect();
    let members: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 0.25)).collect();
    let mut expected = roles::readers_for("n0", &members);
    expected.sort_unstable();
    assert_eq!(expected.len(), 4);
    for (member, _) in &members {
        let mut ranked = roles::readers_for(member, &members);
        ranked.sort_unstable();
        assert_eq!(ranked, expected);
    }
    // A dead reader is replaced by one other member; the rest stay.
    let left = members.iter().filter(|(name, _)| *name != expected[0]);
    let left: Vec<(&str, f64)> = left.copied().collect();
    let after = roles::readers_for("n0", &left);
    assert_eq!(
        after.iter().filter(|name| expected.contains(name)).count(),
        3
    );
}

#[test]
fn readers_for_few_members_two_readers() {
    let three = [("a", 0.25), ("b", 0.25), ("c", 0.25)];
    assert_eq!(roles::readers_for("a", &three).len(), 2);
    assert_eq!(roles::readers_for("a", &three[..1]), ["a"]);
}

#[test]
fn readers_for_small_members_spared() {
    let members = [("a", 0.1), ("b", 0.5), ("c", 0.1), ("d", 0.5), ("e", 0.1)];
    let mut readers = roles::readers_for("a", &members);
    readers.sort_unstable();
    assert_eq!(readers, ["b", "d"]);
}

#[test]
fn capacity_cores_narrow_link_spared() {
    let wide = roles::capacity_cores(0.25, 1_000.0);
    let narrow = roles::capacity_cores(0.5, 10.0);
    assert!((wide - 0.25).abs() < f64::EPSILON);
    let members = [("a", narrow), ("b", wide), ("c", narrow), ("d", wide)];
    let mut readers = roles::readers_for("a", &members);
    readers.sort_unstable();
    assert_eq!(readers, ["b", "d"]);
    let owner = roles::owner("llm", &members).expect("an owner");
    assert!(owner == "b" || owner == "d");
}

/// Every heartbeat of a peer that has a newer configuration used to begin a transfer of its own.
#[test]
fn begin_while_taken_refused_until_it_ends() {
    let transfers = OneAtATime::default();
    let first = transfers.begin().expect("a turn");
    assert!(transfers.begin().is_none());
    drop(first);
    assert!(transfers.begin().is_some());
}

proptest! {
    /// Whatever the order of requests and repeats, nine instances together stay within what the site allows.
    #[test]
    fn budget_of_one_all_instances_within_the_allowance(steps in proptest::collection::vec((0_usize..9, any::<bool>()), 0..600)) {
        let allowance = RetryAllowance { share: 0.2, slack: 58 };
        let mut budgets = [allowance.budget_of_one(9); 9];
        let (mut requests, mut repeats) = (0_u32, 0_u32);
        for (instance, repeat) in steps {
            if repeat {
                repeats += u32::from(budgets[instance].take_retry());
            } else {
                requests += 1;
                budgets[instance].first_try();
            }
            prop_assert!(f64::from(repeats) <= 0.2 * f64::from(requests) + 58.0);
        }
    }

    /// However the bytes are cut, the same whole events come out, and no half one.
    #[test]
    fn push_any_cuts_same_events(cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let events = (1..=12).map(|id| format!("id: {id}\ndata: text {id}\n\n"));
        let text = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let mut rest = text.as_bytes();
        let mut ids = Vec::new();
        for cut in cuts.into_iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at(cut.min(rest.len()));
            rest = after;
            for event in splitter.push(part).unwrap() {
                prop_assert!(event.bytes.ends_with(b"\n\n"));
                ids.push(event.id.unwrap().parse::<u32>().unwrap());
            }
        }
        prop_assert_eq!(ids, (1..=12).collect::<Vec<u32>>());
        prop_assert!(splitter.is_between_events());
    }
}

const LATE_AFTER: Duration = Duration::from_millis(200);

#[test]
fn weight_failing_endpoint_nearly_left_out_and_forgiven_in_time() {
    let mut health = EndpointHealth::default();
    let now = Duration::from_secs(10);
    for _ in 0..8 {
        health.begin("grey", now);
        health.end("grey", now, Some(true), now);
        health.begin("sound", now);
        health.end("sound", now, Some(false), now);
    }
    let weight = |name, at| health.weight(name, 6, LATE_AFTER, at);
    assert!(weight("grey", now) * 100.0 < weight("sound", now));
    let later = now + Duration::from_secs(15);
    assert!(weight("grey", later) * 2.0 > weight("sound", later));
}

#[test]
fn weight_load_of_this_instance_counts() {
    let mut health = EndpointHealth::default();
    for _ in 0..6 {
        health.begin("busy", Duration::ZERO);
    }
    let weight = |name| health.weight(name, 6, LATE_AFTER, Duration::ZERO);
    assert!(weight("busy") * 2.0 < weight("idle"));
}

/// A server that hangs got calls until the first one's deadline had passed.
#[test]
fn weight_late_call_counts_before_it_has_failed() {
    let mut health = EndpointHealth::default();
    health.begin("hangs", Duration::ZERO);
    health.begin("quick", Duration::ZERO);
    health.end(
        "quick",
        Duration::ZERO,
        Some(false),
        Duration::from_millis(40),
    );
    health.begin("quick", Duration::from_millis(400));
    let weight = |name, ms| health.weight(name, 6, LATE_AFTER, Duration::from_millis(ms));
    assert!((weight("hangs", 100) - weight("quick", 100)).abs() < 1e-9);
    assert!(weight("hangs", 401) * 5.0 < weight("quick", 401));
}
