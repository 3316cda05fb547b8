//! Limits on whole lists sent to peers.

use std::time::Duration;

use larkwick::kernel::transfer_budget::TransferBudget;

/// A list of all endpoints of a site with 10,000 of them, compressed.
const LIST_BYTES: usize = 600_000;
const NOW: Duration = Duration::from_secs(10);

#[test]
fn small_link_hundreds_ask_few_are_admitted() {
    let mut budget = TransferBudget::new(20.0);
    let admitted = (0..500)
        .filter(|_| budget.try_admit(LIST_BYTES, NOW))
        .count();
    assert_eq!(admitted, 2, "1.25 MB a second are two lists");
}

#[test]
fn wide_link_fifty_ask_all_are_admitted() {
    let mut budget = TransferBudget::new(1_000.0);
    let admitted = (0..50)
        .filter(|_| budget.try_admit(LIST_BYTES, NOW))
        .count();
    assert_eq!(admitted, 50);
}

#[test]
fn backlog_sent_admits_again() {
    let mut budget = TransferBudget::new(20.0);
    while budget.try_admit(LIST_BYTES, NOW) {}
    let later = NOW + Duration::from_secs(1);
    assert!(budget.try_admit(LIST_BYTES, later));
}

#[test]
fn list_larger_than_a_second_idle_link_admitted() {
    let mut budget = TransferBudget::new(10.0);
    assert!(budget.try_admit(10 * LIST_BYTES, NOW));
    assert!(!budget.try_admit(1, NOW));
}
