//! The group ledger: places, the queue, refusals and lapses.

use std::time::Duration;

use larkwick::error::ErrorKind;
use larkwick::kernel::group::{Decision, GroupLedger, GroupLimits, ReserveRequest, Settled};
use larkwick::kernel::policy::{self, LoadReport};
use larkwick::kernel::retry::RetryBudget;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

const CAPACITY: u64 = 1_000;

fn limits() -> GroupLimits {
    GroupLimits {
        queue_length: 3,
        queue_wait: Duration::from_secs(5),
        reservation_ttl: Duration::from_secs(10),
    }
}

fn ledger(policy: &str) -> GroupLedger {
    let mut ledger = GroupLedger::new(policy::build(policy).expect("policy"), limits());
    ledger.set_endpoint("e1", CAPACITY);
    ledger
}

fn request(id: u128, account: &str, priority: i32) -> ReserveRequest {
    ReserveRequest {
        reservation_id: Uuid::from_u128(id),
        entry: "i1".to_owned(),
        account: account.to_owned(),
        share: 1,
        model: "m".to_owned(),
        prompt_tokens: 100,
        max_tokens: 900,
        priority,
        deadline: Duration::from_secs(5),
        prefix: 0,
        candidates: vec!["e1".to_owned()],
    }
}

fn random() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn reserve(ledger: &mut GroupLedger, request: &ReserveRequest, at_s: u64) -> Decision {
    ledger.reserve(request, Duration::from_secs(at_s), &mut random())
}

fn settle(ledger: &mut GroupLedger, at_ms: u64) -> Vec<Settled> {
    let now = Duration::from_millis(at_ms);
    ledger.recount(now);
    ledger.settle(now, &mut random())
}

fn granted(settled: &[Settled]) -> Vec<u128> {
    let granted = settled.iter().filter(|one| one.result.is_ok());
    granted.map(|one| one.reservation_id.as_u128()).collect()
}

#[test]
fn reserve_second_copy_same_grant() {
    let mut ledger = ledger("fixed_reservation");
    for _ in 0..2 {
        let decision = reserve(&mut ledger, &request(1, "a", 0), 1);
        assert!(matches!(decision, Decision::Granted(grant) if grant.endpoint == "e1"));
    }
    assert_eq!(ledger.summary().streams, 1);
}

#[test]
fn reserve_full_waits_until_release() {
    let mut ledger = ledger("fixed_reservation");
    assert!(matches!(
        reserve(&mut ledger, &request(1, "a", 0), 1),
        Decision::Granted(_)
    ));
    assert!(matches!(
        reserve(&mut ledger, &request(2, "a", 0), 1),
        Decision::Queued
    ));
    assert!(settle(&mut ledger, 1_100).is_empty());
    ledger.release(Uuid::from_u128(1));
    assert_eq!(granted(&settle(&mut ledger, 1_200)), [2]);
}

#[test]
fn reserve_must_not_wait_refused_at_once_with_time() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    let mut hurried = request(2, "a", 0);
    hurried.deadline = Duration::ZERO;
    let Decision::Refused(error) = reserve(&mut ledger, &hurried, 1) else {
        panic!("it must not wait");
    };
    assert_eq!(error.kind, ErrorKind::Crowded);
    assert!(error.retry_after > Some(Duration::ZERO));
}

#[test]
fn queue_priority_then_account_that_used_least() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "greedy", 0), 1);
    // The greedy account asked first; the modest one used nothing yet; the urgent one goes before both.
    reserve(&mut ledger, &request(2, "greedy", 0), 1);
    reserve(&mut ledger, &request(3, "modest", 0), 1);
    reserve(&mut ledger, &request(4, "greedy", 9), 1);
    for (release, next) in [(1, 4), (4, 3), (3, 2)] {
        ledger.release(Uuid::from_u128(release));
        assert_eq!(granted(&settle(&mut ledger, 1_200)), [next]);
    }
}

#[test]
fn queue_waiting_request_not_overtaken_by_newcomer() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    reserve(&mut ledger, &request(2, "a", 0), 1);
    ledger.release(Uuid::from_u128(1));
    assert!(matches!(
        reserve(&mut ledger, &request(3, "b", 0), 1),
        Decision::Queued
    ));
}

#[test]
fn queue_wait_bounded_then_refused() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    reserve(&mut ledger, &request(2, "a", 0), 1);
    assert!(settle(&mut ledger, 5_900).is_empty());
    let settled = settle(&mut ledger, 6_000);
    let refused = settled[0].result.as_ref().expect_err("the wait is over");
    assert_eq!(refused.kind, ErrorKind::Crowded);
}

#[test]
fn queue_length_bounded() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    for id in 2..5 {
        assert!(matches!(
            reserve(&mut ledger, &request(id, "a", 0), 1),
            Decision::Queued
        ));
    }
    assert!(matches!(
        reserve(&mut ledger, &request(5, "a", 0), 1),
        Decision::Refused(_)
    ));
}

#[test]
fn queue_deadline_that_cannot_be_met_refused_at_once() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    reserve(&mut ledger, &request(2, "a", 0), 1);
    let mut late = request(3, "a", 0);
    late.deadline = Duration::from_millis(1);
    let Decision::Refused(error) = reserve(&mut ledger, &late, 1) else {
        panic!("it cannot be in time");
    };
    assert_eq!(error.kind, ErrorKind::DeadlineExceeded);
}

#[test]
fn expire_silent_entry_lapses_and_names_generation() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    ledger.progress(
        Uuid::from_u128(1),
        5,
        Some("e1~x~1"),
        Duration::from_secs(2),
    );
    assert!(ledger.expire(Duration::from_secs(12)).is_empty());
    let lapsed = ledger.expire(Duration::from_millis(12_001));
    assert_eq!(lapsed[0].generation.as_deref(), Some("e1~x~1"));
    assert_eq!(ledger.summary().streams, 0);
}

#[test]
fn remove_endpoint_no_new_work() {
    let mut ledger = ledger("fixed_reservation");
    ledger.remove_endpoint("e1");
    let Decision::Refused(error) = reserve(&mut ledger, &request(1, "a", 0), 1) else {
        panic!("the endpoint is gone");
    };
    assert_eq!(error.kind, ErrorKind::NoEndpoint);
}

fn report(preemptions_total: u64) -> LoadReport {
    LoadReport {
        incarnation: Uuid::nil(),
        leaving: false,
        running: 1,
        waiting: 0,
        kv_used_tokens: 100,
        kv_capacity_tokens: CAPACITY,
        preemptions_total,
        models: Vec::new(),
    }
}

#[test]
fn report_preemptions_lower_the_fill_limit() {
    let mut ledger = ledger("profile");
    let fill_limit = |ledger: &GroupLedger| ledger.summary().places[0].fill_limit;
    ledger.report("e1", &report(0));
    let before = fill_limit(&ledger);
    ledger.report("e1", &report(3));
    let after = fill_limit(&ledger);
    assert!(after < before, "{after} {before}");
    ledger.report("e1", &report(3));
    assert!(
        fill_limit(&ledger) >= after,
        "no further preemption, no further decrease"
    );
}

#[test]
fn profile_admits_more_than_declared_maximum_once_lengths_are_known() {
    let mut ledger = ledger("profile");
    for id in 1..200 {
        reserve(&mut ledger, &request(id, "a", 0), 1);
        ledger.progress(Uuid::from_u128(id), 20, None, Duration::from_secs(2));
        ledger.finished(Uuid::from_u128(id), 20);
        ledger.release(Uuid::from_u128(id));
        settle(&mut ledger, 2_000);
    }
    let places = (1_000..1_020).filter(|id| {
        matches!(
            reserve(&mut ledger, &request(*id, "a", 0), 3),
            Decision::Granted(_)
        )
    });
    // 120 tokens each in 1,000 make eight or nine, to the table's buckets; by the declared maximum there would be room for one.
    let places = places.count();
    assert!((5..=9).contains(&places), "{places}");
}

#[test]
fn retry_budget_share_of_first_tries() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    for _ in 0..100 {
        budget.record_first_attempt();
    }
    let retries = (0..100).filter(|_| budget.try_spend()).count();
    assert_eq!(retries, 10);
}
