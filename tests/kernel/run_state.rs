//! What is known of a generation while its engine is asked to stop it.

use larkwick::kernel::run_state::RunState;

#[test]
fn record_no_effect_runs_as_before() {
    let mut state = RunState::default();
    state.record_order();
    assert!(state.is_stopping());
    state.record_no_effect();
    assert_eq!(state, RunState::default());
}

/// An order without an effect says nothing of an earlier one whose outcome was lost.
#[test]
fn record_no_effect_after_unclear_order_stays_unclear() {
    let mut state = RunState::default();
    state.record_order();
    state.record_unclear();
    state.record_order();
    assert!(state.is_stopping() && state.may_be_stopped());
    state.record_no_effect();
    assert!(!state.is_stopping() && state.may_be_stopped());
}

#[test]
fn record_running_ends_doubt() {
    let mut state = RunState::default();
    state.record_order();
    state.record_unclear();
    assert!(state.may_be_stopped());
    state.record_running();
    assert!(!state.may_be_stopped());
}

/// Guards against a stopped generation that passed for whole: of two orders at once, from two owners, the
/// second found it stopped by the first, and counted as proof that nobody had stopped it.
#[test]
fn record_no_effect_of_one_of_two_orders_other_still_awaited() {
    let mut state = RunState::default();
    state.record_order();
    state.record_order();
    state.record_no_effect();
    assert!(state.is_stopping());
}
