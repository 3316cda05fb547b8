//! Small decisions of the gateway: readers, retry allowance, health, whole events.

use std::time::Duration;

use larkwick::kernel::event_split::EventSplitter;
use larkwick::kernel::health::EndpointHealth;
use larkwick::kernel::live_view::{LiveMember, LiveView};
use larkwick::kernel::one_at_a_time::OneAtATime;
use larkwick::kernel::retry::RetryAllowance;
use larkwick::kernel::roles::{self, MemberCapacity, ReaderPlan};
use proptest::prelude::*;

/// The readers that ask the store, in the order in which a member asks them.
fn readers_for(member: &str, members: &[MemberCapacity]) -> Vec<String> {
    ReaderPlan::new(member, members).groups.remove(0)
}

/// The owner of a service's engines.
fn owner(service: &str, members: &[MemberCapacity]) -> Option<String> {
    let view = LiveView::new("a", live(members));
    view.owner(service).map(|owner| owner.name.clone())
}

fn live(members: &[MemberCapacity]) -> Vec<LiveMember> {
    let live = members.iter().map(|(name, capacity_cores)| LiveMember {
        name: (*name).to_owned(),
        peer_address: String::new(),
        capacity_cores: *capacity_cores,
    });
    live.collect()
}

#[test]
fn readers_for_all_members_agree_on_the_readers() {
    let names: Vec<String> = (0..85).map(|index| format!("n{index}")).collect();
    let members: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 0.25)).collect();
    let mut expected = readers_for("n0", &members);
    expected.sort_unstable();
    assert_eq!(expected.len(), 4);
    for (member, _) in &members {
        let mut ranked = readers_for(member, &members);
        ranked.sort_unstable();
        assert_eq!(ranked, expected);
    }
    // A dead reader is replaced by one other member; the rest stay.
    let left = members.iter().filter(|(name, _)| name != &expected[0]);
    let left: Vec<(&str, f64)> = left.copied().collect();
    let after = readers_for("n0", &left);
    assert_eq!(
        after.iter().filter(|name| expected.contains(name)).count(),
        3
    );
}

#[test]
fn readers_for_few_members_two_readers() {
    let three = [("a", 0.25), ("b", 0.25), ("c", 0.25)];
    assert_eq!(readers_for("a", &three).len(), 2);
    assert_eq!(readers_for("a", &three[..1]), ["a"]);
}

#[test]
fn readers_for_small_members_spared() {
    let members = [("a", 0.1), ("b", 0.5), ("c", 0.1), ("d", 0.5), ("e", 0.1)];
    let mut readers = readers_for("a", &members);
    readers.sort_unstable();
    assert_eq!(readers, ["b", "d"]);
}

#[test]
fn capacity_cores_narrow_link_spared() {
    let wide = roles::capacity_cores(0.25, 1_000.0);
    let narrow = roles::capacity_cores(0.5, 10.0);
    assert!((wide - 0.25).abs() < f64::EPSILON);
    let members = [("a", narrow), ("b", wide), ("c", narrow), ("d", wide)];
    let mut readers = readers_for("a", &members);
    readers.sort_unstable();
    assert_eq!(readers, ["b", "d"]);
    let owner = owner("llm", &members).expect("an owner");
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

/// Members as drawn: whether each lives, and whether it is a large one.
fn drawn_members() -> impl Strategy<Value = Vec<(bool, bool)>> {
    proptest::collection::vec((any::<bool>(), any::<bool>()), 2..120)
}

fn sorted(names: &[String]) -> Vec<String> {
    let mut sorted = names.to_vec();
    sorted.sort_unstable();
    sorted
}

proptest! {
    /// Members with the same view agree on the owners and on the readers, also when asked again, whoever lives.
    #[test]
    fn live_view_any_members_all_agree_on_the_roles(drawn in drawn_members()) {
        let names: Vec<String> = (0..drawn.len()).map(|number| format!("n{number}")).collect();
        let living = names.iter().zip(&drawn).filter(|(_, (lives, _))| *lives);
        let members: Vec<MemberCapacity> = living
            .map(|(name, (_, large))| (name.as_str(), if *large { 0.5 } else { 0.12 }))
            .collect();
        let views: Vec<LiveView> =
            members.iter().map(|(name, _)| LiveView::new(name, live(&members))).collect();
        for view in &views {
            for service in ["llm", "other", "llm"] {
                let found = view.owner(service).map(|owner| owner.name.clone());
                prop_assert_eq!(found, owner(service, &members));
            }
            for (group, first) in view.readers().groups.iter().zip(&views[0].readers().groups) {
                prop_assert_eq!(sorted(group), sorted(first));
            }
            prop_assert_eq!(sorted(&view.readers().relays), sorted(&views[0].readers().relays));
        }
    }

    /// A member that leaves names the owner that the others name once it is gone.
    #[test]
    fn owner_among_others_member_leaves_next_in_rank(count in 2_usize..60, leaving in any::<prop::sample::Index>()) {
        let names: Vec<String> = (0..count).map(|number| format!("n{number}")).collect();
        let members: Vec<MemberCapacity> = names.iter().map(|name| (name.as_str(), 0.25)).collect();
        let gone = leaving.index(count);
        let view = LiveView::new(&names[gone], live(&members));
        let named = view.owner_among_others("llm").map(|owner| owner.name.clone());
        let mut left = members.clone();
        left.remove(gone);
        prop_assert_eq!(named, owner("llm", &left));
    }
}

proptest! {
    /// Whatever the order of requests and repeats, nine instances together stay within what the site allows.
    #[test]
    fn budget_of_one_all_instances_within_the_allowance(steps in proptest::collection::vec((0_usize..9, any::<bool>()), 0..600)) {
        let allowance = RetryAllowance { share: 0.2, slack: 58.0 };
        let mut budgets = [allowance.instance_budget(9); 9];
        let (mut requests, mut repeats) = (0_u32, 0_u32);
        for (instance, repeat) in steps {
            if repeat {
                repeats += u32::from(budgets[instance].try_spend());
            } else {
                requests += 1;
                budgets[instance].record_first_attempt();
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
        health.record_start("grey", now);
        health.record_end("grey", now, Some(true), now);
        health.record_start("sound", now);
        health.record_end("sound", now, Some(false), now);
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
        health.record_start("busy", Duration::ZERO);
    }
    let weight = |name| health.weight(name, 6, LATE_AFTER, Duration::ZERO);
    assert!(weight("busy") * 2.0 < weight("idle"));
}

/// A server that hangs got calls until the first one's deadline had passed.
#[test]
fn weight_late_call_counts_before_it_has_failed() {
    let mut health = EndpointHealth::default();
    health.record_start("hangs", Duration::ZERO);
    health.record_start("quick", Duration::ZERO);
    health.record_end(
        "quick",
        Duration::ZERO,
        Some(false),
        Duration::from_millis(40),
    );
    health.record_start("quick", Duration::from_millis(400));
    let weight = |name, ms| health.weight(name, 6, LATE_AFTER, Duration::from_millis(ms));
    assert!((weight("hangs", 100) - weight("quick", 100)).abs() < 1e-9);
    assert!(weight("hangs", 401) * 5.0 < weight("quick", 401));
}
