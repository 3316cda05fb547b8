//! What the steps of a probe say about an endpoint.

use std::time::Duration;

use larkwick::kernel::presence::{Presence, PresenceCheck, ProbeStep};

/// Returns the results after each of these steps.
fn results(steps: &[ProbeStep]) -> Vec<Option<Presence>> {
    let mut check = PresenceCheck::default();
    let steps = steps.iter();
    steps
        .map(|step| check.record(*step, Duration::ZERO))
        .collect()
}

/// A listening socket that goes away closes a connection that it had accepted, and refuses the next.
#[test]
fn record_closed_then_refused_ended() {
    let steps = [ProbeStep::Closed, ProbeStep::Refused];
    assert_eq!(results(&steps), [None, Some(Presence::Ended)]);
}

/// An endpoint at its connection limit closes one connection after the other.
#[test]
fn record_closed_again_and_again_listens() {
    let found = results(&[ProbeStep::Closed; 3]);
    assert_eq!(found, [None, None, Some(Presence::Listens)]);
}

/// A question that is left unanswered once may be due to a pause of this instance.
#[test]
fn record_unanswered_once_answered_then_listens() {
    let steps = [ProbeStep::Unanswered, ProbeStep::Answered];
    assert_eq!(results(&steps), [None, Some(Presence::Listens)]);
    let found = results(&[ProbeStep::Unanswered; 2]);
    assert_eq!(found, [None, Some(Presence::Ended)]);
}

#[test]
fn record_other_incarnation_answered_ended() {
    let found = results(&[ProbeStep::OtherAnswered]);
    assert_eq!(found, [Some(Presence::Ended)]);
    let found = results(&[ProbeStep::Unreachable]);
    assert_eq!(found, [Some(Presence::Unknown)]);
}
