//! Roll-outs in simulated time: instances draw versions, report to the owner, and follow its
//! directives one report later.

use std::time::Duration;

use larkwick::kernel::rollout::{
    CanaryLimits, Phase, RequestCounts, RolloutController, RolloutOrder, RolloutState,
    VersionCensus, draw_version,
};
use larkwick::kernel::rollout_evidence::{RolloutOutcome, Version};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const FINISH_WITHIN: Duration = Duration::from_secs(12);
/// Interval between reports.
const REPORT_MS: u64 = 300;
const LIMITS: CanaryLimits = CanaryLimits {
    share: 0.1,
    slack: 50.0,
};
/// Longest time in which a bad version may get requests after its 50th bad answer.
const ROLLBACK_MS: u64 = 5_000;
const BAD_ANSWERS_MAX: u64 = 50;

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Fails this share of the requests.
    Fails(f64),
    /// Takes this many times as long.
    Slow(f64),
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    fault: Fault,
    /// Time from the order until the version turns bad.
    bad_from_ms: u64,
    /// Only this route is bad; all routes if `None`.
    bad_route: Option<usize>,
    /// Share of failures of both versions.
    background: f64,
    requests_per_s: f64,
    seed: u64,
}

#[derive(Debug, Default)]
struct Result {
    state: Option<RolloutState>,
    all: u64,
    target: u64,
    bad: u64,
    /// Requests to the new version that were sent too long after its 50th bad answer.
    late: u64,
}

const HEALTHY: Scenario = Scenario {
    fault: Fault::None,
    bad_from_ms: 0,
    bad_route: None,
    background: 0.01,
    requests_per_s: 64.0,
    seed: 1,
};

fn census(has_generations: bool) -> VersionCensus {
    VersionCensus {
        current: 60,
        target: 60,
        runs_on_current: usize::from(has_generations),
    }
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: "llm".to_owned(),
        target_version: "v2".to_owned(),
        finish_within: FINISH_WITHIN,
    }
}

/// Plays a roll-out until two seconds after its deadline.
fn play(scenario: Scenario) -> Result {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let mut controller = RolloutController::new(order(), LIMITS, Duration::ZERO);
    let mut result = Result::default();
    let mut directive = Phase::Canary { share: 0.0 };
    let mut rollback_due_ms = None;
    let mut pending = Vec::new();
    let mut counts = RequestCounts::default();
    let deadline_ms = 12_000;
    for now_ms in 0..deadline_ms + 2_000 {
        let now = Duration::from_millis(now_ms);
        if rng.random_range(0.0..1_000.0) < scenario.requests_per_s {
            let route = usize::from(rng.random_range(0.0..1.0) < 0.4);
            let version = draw_version(directive, rng.random_range(0.0..1.0));
            let is_affected = version == Version::Target
                && now_ms >= scenario.bad_from_ms
                && scenario.bad_route.is_none_or(|bad| bad == route);
            let mut failed = rng.random_range(0.0..1.0) < scenario.background;
            let mut latency_ms = 100.0 * rng.random_range(0.6..1.6);
            match scenario.fault {
                Fault::Fails(share) if is_affected => {
                    failed |= rng.random_range(0.0..1.0) < share;
                }
                Fault::Slow(factor) if is_affected => latency_ms *= factor,
                _ => {}
            }
            counts.all += 1;
            if now_ms < deadline_ms {
                result.all += 1;
            }
            if version == Version::Target {
                counts.target += 1;
                if now_ms < deadline_ms {
                    result.target += 1;
                }
                result.late += u64::from(rollback_due_ms.is_some_and(|due| now_ms > due));
                let is_bad = failed || latency_ms > 250.0;
                result.bad += u64::from(is_bad && is_affected);
                if result.bad == BAD_ANSWERS_MAX {
                    rollback_due_ms.get_or_insert(now_ms + ROLLBACK_MS);
                }
            }
            let latency = Duration::from_secs_f64(latency_ms / 1_000.0);
            pending.push((latency, now_ms, route, version, failed));
        }
        if now_ms % REPORT_MS == 0 {
            let (ended, running): (Vec<_>, Vec<_>) =
                pending.into_iter().partition(|(latency, sent_ms, ..)| {
                    Duration::from_millis(*sent_ms) + *latency <= now
                });
            pending = running;
            let outcomes: Vec<RolloutOutcome> = ended
                .into_iter()
                .map(|(latency, _, route, version, failed)| RolloutOutcome {
                    route: format!("route-{route}"),
                    version,
                    failed,
                    latency,
                    observed_at: now,
                })
                .collect();
            controller.add_report(std::mem::take(&mut counts), &outcomes);
            // Instances hear of a decision with the answer to their next report.
            directive = controller.phase();
            controller.advance(census(true), now);
        }
    }
    result.state = Some(controller.state());
    result
}

fn with_seeds(scenario: Scenario, seeds: std::ops::Range<u64>) -> Vec<Result> {
    seeds
        .map(|seed| play(Scenario { seed, ..scenario }))
        .collect()
}

fn count(results: &[Result], state: RolloutState) -> usize {
    results
        .iter()
        .filter(|result| result.state == Some(state))
        .count()
}

fn assert_exposure_kept(result: &Result) {
    let as_f64 = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let allowed = LIMITS.share * as_f64(result.all) + LIMITS.slack;
    assert!(as_f64(result.target) <= allowed, "{result:?}");
    assert_eq!(result.late, 0, "{result:?}");
}

#[test]
fn good_version_hundred_seeds_completed() {
    let results = with_seeds(HEALTHY, 0..100);
    assert!(count(&results, RolloutState::Completed) >= 95);
}

/// An overload or a crash that hits both versions says nothing against the new one.
#[test]
fn good_version_tenth_of_both_fails_mostly_completed() {
    let scenario = Scenario {
        background: 0.1,
        ..HEALTHY
    };
    let results = with_seeds(scenario, 0..100);
    assert!(count(&results, RolloutState::Completed) >= 60);
}

#[test]
fn version_that_fails_half_reverted_and_little_exposed() {
    for result in with_seeds(
        Scenario {
            fault: Fault::Fails(0.5),
            ..HEALTHY
        },
        0..100,
    ) {
        assert_eq!(result.state, Some(RolloutState::Reverted));
        assert_exposure_kept(&result);
        assert!(result.bad < BAD_ANSWERS_MAX, "{result:?}");
    }
}

#[test]
fn version_that_fails_a_fifth_reverted() {
    let scenario = Scenario {
        fault: Fault::Fails(0.2),
        ..HEALTHY
    };
    let results = with_seeds(scenario, 0..100);
    assert!(count(&results, RolloutState::Reverted) >= 95);
    let reverted = results
        .iter()
        .filter(|result| result.state == Some(RolloutState::Reverted));
    reverted.for_each(assert_exposure_kept);
}

#[test]
fn version_several_times_slower_reverted() {
    for result in with_seeds(
        Scenario {
            fault: Fault::Slow(4.0),
            ..HEALTHY
        },
        0..100,
    ) {
        assert_eq!(result.state, Some(RolloutState::Reverted));
        assert_exposure_kept(&result);
    }
}

#[test]
fn version_bad_on_one_route_reverted() {
    let scenario = Scenario {
        fault: Fault::Fails(0.6),
        bad_route: Some(1),
        ..HEALTHY
    };
    for result in with_seeds(scenario, 0..100) {
        assert_eq!(result.state, Some(RolloutState::Reverted));
        assert_exposure_kept(&result);
    }
}

#[test]
fn version_that_turns_bad_late_reverted() {
    let scenario = Scenario {
        fault: Fault::Fails(0.6),
        bad_from_ms: 4_000,
        ..HEALTHY
    };
    for result in with_seeds(scenario, 0..100) {
        assert_eq!(result.state, Some(RolloutState::Reverted));
        assert_exposure_kept(&result);
    }
}

#[test]
fn no_endpoint_of_the_version_reverted_at_the_deadline() {
    let mut controller = RolloutController::new(order(), LIMITS, Duration::ZERO);
    let none = VersionCensus {
        target: 0,
        ..census(true)
    };
    let phase = controller.advance(none, Duration::from_secs(1));
    assert_eq!(phase, Phase::Canary { share: 0.0 });
    controller.advance(none, FINISH_WITHIN);
    assert_eq!(controller.state(), RolloutState::Reverted);
}

#[test]
fn every_endpoint_has_the_version_already_completed_at_once() {
    let mut controller = RolloutController::new(order(), LIMITS, Duration::ZERO);
    let only_target = VersionCensus {
        current: 0,
        ..census(true)
    };
    controller.advance(only_target, Duration::from_millis(300));
    assert_eq!(controller.state(), RolloutState::Completed);
}

#[test]
fn deadline_in_the_past_reverted_at_once() {
    let order = RolloutOrder {
        finish_within: Duration::ZERO,
        ..order()
    };
    let mut controller = RolloutController::new(order, LIMITS, Duration::ZERO);
    controller.advance(census(true), Duration::from_millis(1));
    assert_eq!(controller.state(), RolloutState::Reverted);
}

#[test]
fn state_recorded_by_another_instance_stands() {
    let mut controller = RolloutController::new(order(), LIMITS, Duration::ZERO);
    controller.conclude(RolloutState::Completed);
    controller.advance(census(true), FINISH_WITHIN);
    controller.conclude(RolloutState::Running);
    assert_eq!(controller.state(), RolloutState::Completed);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// However bad a version is, and from whenever on, it gets no more than the share and the slack
    /// unless it was accepted, and nothing late.
    #[test]
    fn reverted_version_exposure_kept(
        share in 0.05..1.0_f64,
        bad_from_ms in 0..12_000_u64,
        requests_per_s in 5.0..300.0_f64,
        background in 0.0..0.3_f64,
        seed in any::<u64>(),
    ) {
        let scenario = Scenario {
            fault: Fault::Fails(share),
            bad_from_ms,
            bad_route: None,
            background,
            requests_per_s,
            seed,
        };
        let result = play(scenario);
        if result.state == Some(RolloutState::Reverted) {
            assert_exposure_kept(&result);
        }
    }
}
