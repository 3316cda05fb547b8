//! Rate limits that endpoints announce.

use std::time::Duration;

use larkwick::kernel::limit::{EndpointLimits, LIMIT_UPDATES_MAX, LimitChange, LimitSignal};
use proptest::prelude::*;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(100_000 + millis)
}

const LOW: LimitSignal = LimitSignal::PerS(2.0);
const HIGH: LimitSignal = LimitSignal::PerS(5.0);

#[test]
fn record_signal_limit_holds_until_response_without_one() {
    let mut limits = EndpointLimits::default();
    assert_eq!(
        limits.record_signal("e", LimitSignal::Absent, at(0), at(1)),
        None
    );
    let began = limits.record_signal("e", LOW, at(2), at(3));
    assert_eq!(began, Some(LimitChange::Began(2.0)));
    assert_eq!(limits.per_s("e"), Some(2.0));
    assert_eq!(limits.per_s("another incarnation"), None);
    assert_eq!(
        limits.record_signal("e", LOW, at(4), at(5)),
        None,
        "unchanged limit"
    );
    let ended = limits.record_signal("e", LimitSignal::Absent, at(6), at(7));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limits.per_s("e"), None);
    let again = limits.record_signal("e", LOW, at(8), at(9));
    assert_eq!(again, Some(LimitChange::Began(2.0)));
}

#[test]
fn record_signal_response_to_earlier_request_does_not_end_limit() {
    let mut limits = EndpointLimits::default();
    limits.record_signal("e", LOW, at(10), at(20));
    limits.record_signal("e", LimitSignal::Absent, at(0), at(30));
    limits.record_signal("e", LimitSignal::Absent, at(20), at(40));
    assert_eq!(limits.per_s("e"), Some(2.0));
    limits.record_signal("e", LimitSignal::Absent, at(21), at(41));
    assert_eq!(limits.per_s("e"), None);
}

#[test]
fn record_signal_higher_limit_out_of_order_keeps_lower() {
    let mut limits = EndpointLimits::default();
    limits.record_signal("e", LOW, at(10), at(20));
    assert_eq!(limits.record_signal("e", HIGH, at(0), at(30)), None);
    assert_eq!(limits.per_s("e"), Some(2.0));
    let raised = limits.record_signal("e", HIGH, at(21), at(40));
    assert_eq!(raised, Some(LimitChange::Changed(5.0)));
    let lowered = limits.record_signal("e", LOW, at(0), at(50));
    assert_eq!(lowered, Some(LimitChange::Changed(2.0)));
}

#[test]
fn record_signal_invalid_changes_nothing() {
    let mut limits = EndpointLimits::default();
    assert_eq!(
        limits.record_signal("e", LimitSignal::Invalid, at(0), at(1)),
        None
    );
    assert!(limits.is_empty());
    limits.record_signal("e", LOW, at(2), at(3));
    limits.record_signal("e", LimitSignal::Invalid, at(4), at(5));
    assert_eq!(limits.per_s("e"), Some(2.0));
}

#[test]
fn prune_gone_incarnations_removed() {
    let mut limits = EndpointLimits::default();
    limits.record_signal("gone", LOW, at(0), at(1));
    limits.record_signal("e", LOW, at(0), at(1));
    limits.prune(|endpoint| endpoint == "e", at(2));
    assert_eq!(limits.len(), 1);
}

/// Sends the recent updates of one instance to another, where they arrive later.
fn deliver_updates(
    from: &EndpointLimits,
    to: &mut EndpointLimits,
    at: Duration,
    arrives_at: Duration,
) {
    for update in from.recent_updates(0, at) {
        to.apply_update(&update, arrives_at);
    }
}

#[test]
fn apply_update_start_and_end_reach_other_instances() {
    let (mut sender, mut receiver) = (EndpointLimits::default(), EndpointLimits::default());
    sender.record_signal("e", LOW, at(0), at(10));
    deliver_updates(&sender, &mut receiver, at(100), at(101));
    assert_eq!(receiver.per_s("e"), Some(2.0));
    sender.record_signal("e", LimitSignal::Absent, at(200), at(210));
    deliver_updates(&sender, &mut receiver, at(300), at(301));
    assert_eq!(receiver.per_s("e"), None);
}

#[test]
fn apply_update_older_than_known_changes_nothing() {
    let (mut first, mut second) = (EndpointLimits::default(), EndpointLimits::default());
    first.record_signal("e", LOW, at(0), at(10));
    let old = first.recent_updates(0, at(20));
    second.record_signal("e", LOW, at(0), at(5));
    second.record_signal("e", LimitSignal::Absent, at(50), at(60));
    for update in &old {
        // The age given is the one at the time of sending; the delivery took 5 ms more.
        let late = at(20) + Duration::from_millis(5);
        assert_eq!(second.apply_update(update, late), None);
    }
    assert_eq!(second.per_s("e"), None);
    second.record_signal("e", LOW, at(100), at(110));
    deliver_updates(&first, &mut second, at(120), at(121));
    assert_eq!(
        second.per_s("e"),
        Some(2.0),
        "an outdated update must not clear a newer limit"
    );
}

#[test]
fn recent_updates_many_limits_rotated_over_heartbeats() {
    let mut limits = EndpointLimits::default();
    let count = 40;
    for number in 0..count {
        limits.record_signal(&format!("e{number:02}"), LOW, at(0), at(1));
    }
    let mut receiver = EndpointLimits::default();
    for offset in (0..count).step_by(LIMIT_UPDATES_MAX) {
        let updates = limits.recent_updates(offset, at(2));
        assert_eq!(updates.len(), LIMIT_UPDATES_MAX);
        for update in &updates {
            receiver.apply_update(update, at(3));
        }
    }
    assert_eq!(receiver.len(), count);
    let after_gossip = at(0) + Duration::from_mins(1);
    assert!(
        limits.recent_updates(0, after_gossip).is_empty(),
        "gossip period is over"
    );
}

/// A request to an endpoint: milliseconds from the previous request until it is sent, then until it
/// is answered, then until the response arrives.
#[derive(Debug, Clone, Copy)]
struct Request {
    sent_after: u64,
    response_delay: u64,
    arrives_in: u64,
}

fn requests() -> impl Strategy<Value = Vec<Request>> {
    let request = (0_u64..400, 0_u64..2_000, 0_u64..2_000);
    let request = request.prop_map(|(sent_after, response_delay, arrives_in)| Request {
        sent_after,
        response_delay,
        arrives_in,
    });
    prop::collection::vec(request, 1..60)
}

/// The limits that the endpoint announces, each from so many milliseconds on; none at first.
fn announced() -> impl Strategy<Value = Vec<(u64, LimitSignal)>> {
    let signal = prop_oneof![
        Just(LimitSignal::Absent),
        (0.1_f64..5.0).prop_map(LimitSignal::PerS)
    ];
    prop::collection::vec((0_u64..12_000, signal), 1..6).prop_map(|mut announced| {
        announced.sort_by_key(|(at, _)| *at);
        announced
    })
}

fn signal_at(announced: &[(u64, LimitSignal)], at: u64) -> LimitSignal {
    let before = announced.iter().rev().find(|(from, _)| *from <= at);
    before.map_or(LimitSignal::Absent, |(_, signal)| *signal)
}

proptest! {
    /// Responses may arrive in any order. No response given before the last one that announced a
    /// limit ends the limit. A final request, sent after all other responses have arrived, leaves
    /// the endpoint's latest signal in force.
    #[test]
    fn record_signal_responses_out_of_order_no_older_one_ends_limit(
        requests in requests(),
        announced in announced(),
    ) {
        let mut sent_at = 0;
        let mut responses: Vec<(u64, u64, u64)> = Vec::new();
        for request in &requests {
            sent_at += request.sent_after;
            let answered_at = sent_at + request.response_delay;
            responses.push((answered_at + request.arrives_in, sent_at, answered_at));
        }
        responses.sort_unstable();
        let mut limits = EndpointLimits::default();
        let mut last_limit_at = None;
        for (arrived_at, sent_at, answered_at) in &responses {
            let signal = signal_at(&announced, *answered_at);
            let was_limited = limits.per_s("e").is_some();
            limits.record_signal("e", signal, at(*sent_at), at(*arrived_at));
            if was_limited && limits.per_s("e").is_none() {
                prop_assert!(last_limit_at < Some(*answered_at));
            }
            if matches!(signal, LimitSignal::PerS(_)) {
                last_limit_at = last_limit_at.max(Some(*answered_at));
            }
        }
        let last = responses.last().map_or(0, |(arrived_at, ..)| *arrived_at) + 20_000;
        let signal = signal_at(&announced, last);
        limits.record_signal("e", signal, at(last), at(last + 1));
        let known = limits.per_s("e").map_or(LimitSignal::Absent, LimitSignal::PerS);
        prop_assert_eq!(known, signal);
    }
}
