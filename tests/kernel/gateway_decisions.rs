//! Smaller decisions of the gateway: store readers, role owners, retry budgets, endpoint health and
//! splitting of event streams.

use std::time::Duration;

use larkwick::kernel::event_split::EventSplitter;
use larkwick::kernel::exclusive_task::ExclusiveTask;
use larkwick::kernel::health::EndpointHealth;
use larkwick::kernel::live_view::{LiveMember, LiveView};
use larkwick::kernel::retry::RetryAllowance;
use larkwick::kernel::roles::{self, MemberCapacity, ReaderPlan};
use proptest::prelude::*;

/// Returns the members that read from the store, in the order in which `member` contacts them.
fn readers_for(member: &str, members: &[MemberCapacity]) -> Vec<String> {
    ReaderPlan::new(member, members).groups.remove(0)
}

/// Returns the owner of the engines of a service.
fn owner(service: &str, members: &[MemberCapacity]) -> Option<String> {
    let view = LiveView::new("a", live(members));
    view.owner(service).map(|owner| owner.name.clone())
}

fn live(members: &[MemberCapacity]) -> Vec<LiveMember> {
    let live_members = members.iter().map(|(name, capacity_cores)| LiveMember {
        name: (*name).to_owned(),
        peer_address: String::new(),
        capacity_cores: *capacity_cores,
    });
    live_members.collect()
}

#[test]
fn readers_for_all_members_are_the_same_set() {
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
    // A failed reader is replaced by one other member; the other readers stay the same.
    let remaining = members.iter().filter(|(name, _)| name != &expected[0]);
    let remaining: Vec<(&str, f64)> = remaining.copied().collect();
    let new_readers = readers_for("n0", &remaining);
    assert_eq!(
        new_readers
            .iter()
            .filter(|name| expected.contains(name))
            .count(),
        3
    );
}

#[test]
fn readers_for_few_members_limited_to_two() {
    let three = [("a", 0.25), ("b", 0.25), ("c", 0.25)];
    assert_eq!(readers_for("a", &three).len(), 2);
    assert_eq!(readers_for("a", &three[..1]), ["a"]);
}

#[test]
fn readers_for_prefers_members_with_more_cores() {
    let members = [("a", 0.1), ("b", 0.5), ("c", 0.1), ("d", 0.5), ("e", 0.1)];
    let mut readers = readers_for("a", &members);
    readers.sort_unstable();
    assert_eq!(readers, ["b", "d"]);
}

#[test]
fn capacity_cores_reduced_by_slow_link() {
    let fast_link = roles::capacity_cores(0.25, 1_000.0);
    let slow_link = roles::capacity_cores(0.5, 10.0);
    assert!((fast_link - 0.25).abs() < f64::EPSILON);
    let members = [
        ("a", slow_link),
        ("b", fast_link),
        ("c", slow_link),
        ("d", fast_link),
    ];
    let mut readers = readers_for("a", &members);
    readers.sort_unstable();
    assert_eq!(readers, ["b", "d"]);
    let owner = owner("llm", &members).expect("an owner");
    assert!(owner == "b" || owner == "d");
}

/// Guards against concurrent configuration transfers: without the limit, every heartbeat of a peer
/// that has a newer configuration starts another transfer.
#[test]
fn try_start_refused_while_another_transfer_runs() {
    let transfers = ExclusiveTask::default();
    let first = transfers.try_start().expect("no transfer is running");
    assert!(transfers.try_start().is_none());
    drop(first);
    assert!(transfers.try_start().is_some());
}

/// Generates members as pairs: whether the member is live, and whether it has many cores.
fn arbitrary_members() -> impl Strategy<Value = Vec<(bool, bool)>> {
    proptest::collection::vec((any::<bool>(), any::<bool>()), 2..120)
}

fn sorted(names: &[String]) -> Vec<String> {
    let mut sorted = names.to_vec();
    sorted.sort_unstable();
    sorted
}

proptest! {
    /// Members with the same view compute the same owners and readers, whichever members are live.
    /// Repeated queries return the same result.
    #[test]
    fn live_view_any_members_all_compute_the_same_roles(generated in arbitrary_members()) {
        let names: Vec<String> = (0..generated.len()).map(|number| format!("n{number}")).collect();
        let live_names = names.iter().zip(&generated).filter(|(_, (is_live, _))| *is_live);
        let members: Vec<MemberCapacity> = live_names
            .map(|(name, (_, is_large))| (name.as_str(), if *is_large { 0.5 } else { 0.12 }))
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

    /// A departing member computes the same next owner as the remaining members do after its
    /// departure.
    #[test]
    fn owner_among_others_equals_owner_after_departure(count in 2_usize..60, departing in any::<prop::sample::Index>()) {
        let names: Vec<String> = (0..count).map(|number| format!("n{number}")).collect();
        let members: Vec<MemberCapacity> = names.iter().map(|name| (name.as_str(), 0.25)).collect();
        let departed = departing.index(count);
        let view = LiveView::new(&names[departed], live(&members));
        let next_owner = view.owner_among_others("llm").map(|owner| owner.name.clone());
        let mut remaining = members.clone();
        remaining.remove(departed);
        prop_assert_eq!(next_owner, owner("llm", &remaining));
    }
}

proptest! {
    /// For any order of requests and retries, nine instances together stay within the retry
    /// allowance of the site.
    #[test]
    fn instance_budget_all_instances_together_within_allowance(steps in proptest::collection::vec((0_usize..9, any::<bool>()), 0..600)) {
        let allowance = RetryAllowance { share: 0.2, slack: 58.0 };
        let mut budgets = [allowance.instance_budget(9); 9];
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for (instance, is_retry) in steps {
            if is_retry {
                retries += u32::from(budgets[instance].try_spend());
            } else {
                requests += 1;
                budgets[instance].record_first_attempt();
            }
            prop_assert!(f64::from(retries) <= 0.2 * f64::from(requests) + 58.0);
        }
    }

    /// The splitter returns the same complete events for any split of the bytes into chunks, and
    /// never a partial event.
    #[test]
    fn push_any_chunks_same_complete_events(chunk_sizes in proptest::collection::vec(1_usize..40, 1..60)) {
        let events = (1..=12).map(|id| format!("id: {id}\ndata: text {id}\n\n"));
        let text = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let mut unread = text.as_bytes();
        let mut ids = Vec::new();
        for chunk_size in chunk_sizes.into_iter().cycle() {
            if unread.is_empty() {
                break;
            }
            let (chunk, remaining) = unread.split_at(chunk_size.min(unread.len()));
            unread = remaining;
            for event in splitter.push(chunk).unwrap() {
                prop_assert!(event.bytes.ends_with(b"\n\n"));
                ids.push(event.id.unwrap().parse::<u32>().unwrap());
            }
        }
        prop_assert_eq!(ids, (1..=12).collect::<Vec<u32>>());
        prop_assert!(splitter.is_between_events());
    }
}

/// Duration after which a call counts as late.
const LATE_AFTER: Duration = Duration::from_millis(200);

#[test]
fn weight_of_failing_endpoint_near_zero_and_recovers_over_time() {
    let mut health = EndpointHealth::default();
    let now = Duration::from_secs(10);
    for _ in 0..8 {
        health.record_start("failing", now);
        health.record_end("failing", now, Some(true), now);
        health.record_start("healthy", now);
        health.record_end("healthy", now, Some(false), now);
    }
    let weight = |name, at| health.weight(name, 6, LATE_AFTER, at);
    assert!(weight("failing", now) * 100.0 < weight("healthy", now));
    let later = now + Duration::from_secs(15);
    assert!(weight("failing", later) * 2.0 > weight("healthy", later));
}

#[test]
fn weight_reduced_by_calls_in_flight() {
    let mut health = EndpointHealth::default();
    for _ in 0..6 {
        health.record_start("busy", Duration::ZERO);
    }
    let weight = |name| health.weight(name, 6, LATE_AFTER, Duration::ZERO);
    assert!(weight("busy") * 2.0 < weight("idle"));
}

/// Guards against an endpoint that hangs and keeps getting calls until the deadline of the first
/// one has passed.
#[test]
fn weight_reduced_by_late_call_before_it_fails() {
    let mut health = EndpointHealth::default();
    health.record_start("hanging", Duration::ZERO);
    health.record_start("fast", Duration::ZERO);
    health.record_end(
        "fast",
        Duration::ZERO,
        Some(false),
        Duration::from_millis(40),
    );
    health.record_start("fast", Duration::from_millis(400));
    let weight = |name, ms| health.weight(name, 6, LATE_AFTER, Duration::from_millis(ms));
    assert!((weight("hanging", 100) - weight("fast", 100)).abs() < 1e-9);
    assert!(weight("hanging", 401) * 5.0 < weight("fast", 401));
}
