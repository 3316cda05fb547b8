//! What an instance decides alone while the owner of a service's engines does not answer it.

use std::time::Duration;

use larkwick::kernel::owner_contact::OwnerContact;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A third of the instances is cut off from the others for twelve seconds while engines leave: before, each generation there waited a second
/// for the owner, and nobody moved those that ran.
#[test]
fn note_reports_unanswered_places_alone_at_once_and_moves_soon() {
    let mut owners = OwnerContact::default();
    assert!(owners.note("llm", false, ms(0)));
    assert!(owners.is_lost("llm", ms(0)));
    assert!(!owners.is_cut_off("llm", ms(400)));
    for round in 1..30 {
        assert!(!owners.note("llm", false, ms(round * 400)));
    }
    for at in (500..12_000).step_by(100) {
        assert!(owners.is_lost("llm", ms(at)));
        assert!(owners.is_cut_off("llm", ms(at)));
    }
    assert!(!owners.is_lost("other", ms(500)));
}

#[test]
fn note_owner_answers_again_asked_again_at_once() {
    let mut owners = OwnerContact::default();
    owners.note("llm", false, ms(0));
    assert!(owners.note("llm", true, ms(300)));
    assert!(!owners.is_lost("llm", ms(300)));
    // Slow once more: not cut off since then.
    owners.note("llm", false, ms(600));
    assert!(!owners.is_cut_off("llm", ms(700)));
}

/// An instance without generations reports nothing: it tries the owner again by itself.
#[test]
fn is_lost_nothing_reported_tried_again() {
    let mut owners = OwnerContact::default();
    owners.note("llm", false, ms(0));
    assert!(!owners.is_lost("llm", ms(2_000)));
}
