//! Limits on the bytes held for callers and endpoints.

use larkwick::kernel::byte_budget::ByteBudget;

#[test]
fn try_hold_over_the_limit_refused_until_released() {
    let budget = ByteBudget::new(1_000);
    let first = budget.try_hold(600).expect("fits");
    assert!(budget.try_hold(600).is_none());
    drop(first);
    assert!(budget.try_hold(600).is_some());
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn try_grow_by_chunks_stops_at_the_limit() {
    let budget = ByteBudget::new(1_000);
    let mut held = budget.try_hold(0).expect("nothing always fits");
    let chunks = (0..20).filter(|_| held.try_grow(100)).count();
    assert_eq!(chunks, 10);
    assert_eq!(budget.held_bytes(), 1_000);
}

#[test]
fn hold_response_that_is_ready_always_held() {
    let budget = ByteBudget::new(100);
    let response = budget.hold(5_000);
    assert_eq!(budget.held_bytes(), 5_000);
    assert!(budget.try_hold(1).is_none());
    drop(response);
    assert_eq!(budget.held_bytes(), 0);
}
