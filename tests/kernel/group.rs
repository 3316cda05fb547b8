//! The group ledger: grants, the queue, refusals and expired reservations.

use std::time::Duration;

use larkwick::error::ErrorKind;
use larkwick::kernel::group::{Decision, GroupLedger, GroupLimits, QueueDecision, ReserveRequest};
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

fn process_queue(ledger: &mut GroupLedger, at_ms: u64) -> Vec<QueueDecision> {
    let now = Duration::from_millis(at_ms);
    ledger.refresh_in_flight(now);
    ledger.process_queue(now, &mut random())
}

/// Returns the ids of the requests that were granted.
fn granted_ids(decisions: &[QueueDecision]) -> Vec<u128> {
    let granted = decisions.iter().filter(|decision| decision.result.is_ok());
    granted
        .map(|decision| decision.reservation_id.as_u128())
        .collect()
}

#[test]
fn reserve_duplicate_gets_same_grant() {
    let mut ledger = ledger("fixed_reservation");
    for _ in 0..2 {
        let decision = reserve(&mut ledger, &request(1, "a", 0), 1);
        assert!(matches!(decision, Decision::Granted(grant) if grant.endpoint == "e1"));
    }
    assert_eq!(ledger.summary().streams, 1);
}

#[test]
fn reserve_on_full_endpoint_queued_until_release() {
    let mut ledger = ledger("fixed_reservation");
    assert!(matches!(
        reserve(&mut ledger, &request(1, "a", 0), 1),
        Decision::Granted(_)
    ));
    assert!(matches!(
        reserve(&mut ledger, &request(2, "a", 0), 1),
        Decision::Queued
    ));
    assert!(process_queue(&mut ledger, 1_100).is_empty());
    ledger.release(Uuid::from_u128(1));
    assert_eq!(granted_ids(&process_queue(&mut ledger, 1_200)), [2]);
}

#[test]
fn reserve_with_zero_deadline_refused_with_retry_after() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    let mut no_wait = request(2, "a", 0);
    no_wait.deadline = Duration::ZERO;
    let Decision::Refused(error) = reserve(&mut ledger, &no_wait, 1) else {
        panic!("a request with a zero deadline must not be queued");
    };
    assert_eq!(error.kind, ErrorKind::Crowded);
    assert!(error.retry_after > Some(Duration::ZERO));
}

#[test]
fn queue_ordered_by_priority_then_least_account_usage() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "greedy", 0), 1);
    // Request 2 was queued first, but account "greedy" already has usage and "modest" has none.
    // Request 4 has the highest priority.
    reserve(&mut ledger, &request(2, "greedy", 0), 1);
    reserve(&mut ledger, &request(3, "modest", 0), 1);
    reserve(&mut ledger, &request(4, "greedy", 9), 1);
    for (release, next) in [(1, 4), (4, 3), (3, 2)] {
        ledger.release(Uuid::from_u128(release));
        assert_eq!(granted_ids(&process_queue(&mut ledger, 1_200)), [next]);
    }
}

#[test]
fn queue_new_request_does_not_overtake_queued_request() {
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
fn queue_request_refused_after_maximum_wait() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    reserve(&mut ledger, &request(2, "a", 0), 1);
    assert!(process_queue(&mut ledger, 5_900).is_empty());
    let decisions = process_queue(&mut ledger, 6_000);
    let error = decisions[0]
        .result
        .as_ref()
        .expect_err("the maximum wait has passed");
    assert_eq!(error.kind, ErrorKind::Crowded);
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
fn queue_request_with_unreachable_deadline_refused_at_once() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    reserve(&mut ledger, &request(2, "a", 0), 1);
    let mut short_deadline = request(3, "a", 0);
    short_deadline.deadline = Duration::from_millis(1);
    let Decision::Refused(error) = reserve(&mut ledger, &short_deadline, 1) else {
        panic!("the expected wait exceeds the deadline");
    };
    assert_eq!(error.kind, ErrorKind::DeadlineExceeded);
}

#[test]
fn expire_reservation_without_reports_returns_its_generation() {
    let mut ledger = ledger("fixed_reservation");
    reserve(&mut ledger, &request(1, "a", 0), 1);
    ledger.record_progress(
        Uuid::from_u128(1),
        5,
        Some("e1~x~1"),
        Duration::from_secs(2),
    );
    assert!(
        ledger
            .expire_reservations(Duration::from_secs(12))
            .is_empty()
    );
    let expired = ledger.expire_reservations(Duration::from_millis(12_001));
    assert_eq!(expired[0].generation.as_deref(), Some("e1~x~1"));
    assert_eq!(ledger.summary().streams, 0);
}

#[test]
fn remove_endpoint_gets_no_new_work() {
    let mut ledger = ledger("fixed_reservation");
    ledger.remove_endpoint("e1");
    let Decision::Refused(error) = reserve(&mut ledger, &request(1, "a", 0), 1) else {
        panic!("a removed endpoint was granted");
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
fn load_report_with_preemptions_lowers_fill_limit() {
    let mut ledger = ledger("profile");
    let fill_limit = |ledger: &GroupLedger| ledger.summary().endpoints[0].fill_limit;
    ledger.record_load_report("e1", &report(0));
    let before = fill_limit(&ledger);
    ledger.record_load_report("e1", &report(3));
    let after = fill_limit(&ledger);
    assert!(after < before, "{after} {before}");
    ledger.record_load_report("e1", &report(3));
    assert!(
        fill_limit(&ledger) >= after,
        "no further preemption, no further decrease"
    );
}

#[test]
fn profile_policy_admits_more_than_declared_maximum_once_lengths_are_known() {
    let mut ledger = ledger("profile");
    for id in 1..200 {
        reserve(&mut ledger, &request(id, "a", 0), 1);
        ledger.record_progress(Uuid::from_u128(id), 20, None, Duration::from_secs(2));
        ledger.record_output_length(Uuid::from_u128(id), 20);
        ledger.release(Uuid::from_u128(id));
        process_queue(&mut ledger, 2_000);
    }
    let granted = (1_000..1_020).filter(|id| {
        matches!(
            reserve(&mut ledger, &request(*id, "a", 0), 3),
            Decision::Granted(_)
        )
    });
    // Streams of 120 tokens fit 8 or 9 times into 1,000 tokens, within the resolution of the length
    // table's buckets. By the declared maximum of 900 tokens only one stream would fit.
    let granted = granted.count();
    assert!((5..=9).contains(&granted), "{granted}");
}

#[test]
fn retry_budget_limited_to_share_of_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    for _ in 0..100 {
        budget.record_first_attempt();
    }
    let retries = (0..100).filter(|_| budget.try_spend()).count();
    assert_eq!(retries, 10);
}
