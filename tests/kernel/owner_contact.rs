//! What an instance decides alone while the owner of a service's engines does not answer.

use std::time::Duration;

use larkwick::kernel::owner_contact::OwnerContact;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A third of the instances is cut off from the others for twelve seconds while engines drain. Each
/// generation there used to wait a second for the owner, and no running generation was moved.
#[test]
fn record_call_unanswered_reports_places_alone_at_once_and_moves_soon() {
    let mut owners = OwnerContact::default();
    assert!(owners.record_call("llm", false, ms(0)));
    assert!(owners.is_unreachable("llm", ms(0)));
    assert!(!owners.is_cut_off("llm", ms(400)));
    for round in 1..30 {
        assert!(!owners.record_call("llm", false, ms(round * 400)));
    }
    for at in (500..12_000).step_by(100) {
        assert!(owners.is_unreachable("llm", ms(at)));
        assert!(owners.is_cut_off("llm", ms(at)));
    }
    assert!(!owners.is_unreachable("other", ms(500)));
}

#[test]
fn record_call_owner_answers_again_asked_again_at_once() {
    let mut owners = OwnerContact::default();
    owners.record_call("llm", false, ms(0));
    assert!(owners.record_call("llm", true, ms(300)));
    assert!(!owners.is_unreachable("llm", ms(300)));
    // One slow answer: not yet cut off.
    owners.record_call("llm", false, ms(600));
    assert!(!owners.is_cut_off("llm", ms(700)));
}

/// An instance without generations sends no reports: it tries the owner again by itself.
#[test]
fn is_unreachable_without_reports_tried_again() {
    let mut owners = OwnerContact::default();
    owners.record_call("llm", false, ms(0));
    assert!(!owners.is_unreachable("llm", ms(2_000)));
}
