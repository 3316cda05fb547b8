//! Who gets room when there is too little: each test replays the load that it is about, also as it
//! goes without the policy.

use std::time::Duration;

use larkwick::kernel::admission_queue::{AdmissionPolicy, AdmissionQueue, AdmissionRequest};
use larkwick::kernel::engine_ledger::{EngineLedger, ListedEngine, RunDemand};
use larkwick::kernel::fair_shares::AccountWeights;
use larkwick::kernel::return_times::retry_after_within;
use larkwick::kernel::room_reserve::ReservePolicy;
use larkwick::platform::operator_config;
use proptest::prelude::{Strategy, prop_assert, proptest};

use crate::crowded_engines::{Arrival, Kind, Load, Outcome, replay, steady};

const URGENT: Kind = Kind {
    prompt_tokens: 2_200,
    output_tokens: 12,
    priority: 0,
    objective: Duration::from_millis(1_100),
    patience: Duration::from_millis(5_600),
};
const LONG: Kind = Kind {
    prompt_tokens: 3_000,
    output_tokens: 748,
    priority: 2,
    objective: Duration::from_millis(3_600),
    patience: Duration::from_millis(15_600),
};
const MEDIUM: Kind = Kind {
    output_tokens: 190,
    ..LONG
};

fn reserves() -> AdmissionPolicy {
    AdmissionPolicy {
        reserve: ReservePolicy {
            for_urgent: true,
            for_moves: true,
        },
        ..AdmissionPolicy::default()
    }
}

fn fair(weights: &[(&str, f64)]) -> AdmissionPolicy {
    let weights = weights
        .iter()
        .map(|(name, weight)| ((*name).to_owned(), *weight));
    AdmissionPolicy {
        shares: Some(AccountWeights {
            by_account: weights.collect(),
        }),
        ..AdmissionPolicy::default()
    }
}

/// A burst of long generations from 4 s to 9.5 s, beside urgent short ones, as a sixth of the engines
/// leaves every 3.3 s. The engines serve some 12 long ones a second.
fn burst(policy: AdmissionPolicy, usual_per_s: f64, burst_per_s: f64) -> Outcome {
    let mut arrivals = steady("u", URGENT, 0.0, 25.0, 22.0);
    arrivals.extend(steady("l", LONG, 0.01, 25.0, usual_per_s));
    arrivals.extend(steady("l", LONG, 4.0, 9.5, burst_per_s - usual_per_s));
    let objective_only = !policy.wait_past_objective;
    replay(Load {
        policy,
        engines: 20,
        arrivals: until_objective(arrivals, objective_only),
        ends_at: Duration::from_secs(36),
        leave_interval: Some(Duration::from_millis(3_300)),
        owner_lost_at: None,
    })
}

/// A crowd that exceeds the engines before, during and after the burst.
fn crowded(policy: AdmissionPolicy) -> Outcome {
    burst(policy, 13.0, 32.5)
}

/// Without waits past the objective, callers are refused when it has passed.
fn until_objective(mut arrivals: Vec<Arrival>, objective_only: bool) -> Vec<Arrival> {
    if objective_only {
        for (_, _, kind) in &mut arrivals {
            kind.patience = kind.objective;
        }
    }
    arrivals
}

#[test]
fn request_admission_burst_of_long_ones_urgent_ones_find_room() {
    let with = crowded(reserves()).by_priority;
    let without = crowded(AdmissionPolicy::default()).by_priority;
    assert!(with[&0].in_time_share() >= 0.99, "{with:?}");
    assert!(without[&0].in_time_share() < 0.95, "{without:?}");
    // Not at the cost of the long ones: more of them are finished whole.
    assert!(
        with[&2].whole() >= without[&2].whole(),
        "{with:?} {without:?}"
    );
}

#[test]
fn request_admission_room_falls_by_a_sixth_moves_find_room() {
    let with = crowded(reserves()).by_priority[&2];
    let without = crowded(AdmissionPolicy::default()).by_priority[&2];
    assert!(with.cut * 3 <= without.cut, "{with:?} {without:?}");
}

/// Half a fleet of engines is enough: nobody is held back, and each engine is chosen as before.
#[test]
fn request_admission_room_enough_placed_as_without_reserve() {
    let calm = |policy| {
        let mut arrivals = steady("u", URGENT, 0.0, 12.0, 22.0);
        arrivals.extend(steady("l", LONG, 0.01, 12.0, 6.0));
        replay(Load {
            policy,
            engines: 20,
            arrivals: until_objective(arrivals, true),
            ends_at: Duration::from_secs(12),
            leave_interval: None,
            owner_lost_at: None,
        })
    };
    let mut policy = reserves();
    policy.shares = Some(AccountWeights::default());
    assert_eq!(
        calm(policy).placements,
        calm(AdmissionPolicy::default()).placements
    );
}

/// A burst after which there is room again: who waits on is served late rather than refused.
#[test]
fn admit_waiting_past_objective_served_late_rather_than_refused() {
    let waiting_on = AdmissionPolicy {
        wait_past_objective: true,
        ..reserves()
    };
    let with = burst(waiting_on, 7.0, 28.0).by_priority;
    let without = burst(reserves(), 7.0, 28.0).by_priority;
    assert!(
        with[&2].whole() > without[&2].whole(),
        "{with:?} {without:?}"
    );
    assert!(with[&2].late > 0, "{with:?}");
    assert!(with[&0].in_time_share() >= 0.99, "{with:?}");
}

/// Twenty-three accounts that ask for a little more than their share and one that asks for ten
/// times its share: one and a half times what eight engines serve.
fn unequal_accounts(policy: AdmissionPolicy, owner_lost_at: Option<Duration>) -> Outcome {
    let mut arrivals = steady("large", MEDIUM, 0.0, 40.0, 10.0);
    for number in 0..23 {
        let start_s = f64::from(number) * 0.04;
        arrivals.extend(steady(&format!("a{number}"), MEDIUM, start_s, 40.0, 1.13));
    }
    replay(Load {
        policy,
        engines: 8,
        arrivals: until_objective(arrivals, true),
        ends_at: Duration::from_secs(40),
        leave_interval: None,
        owner_lost_at,
    })
}

fn served(outcome: &Outcome) -> Vec<f64> {
    outcome
        .by_account
        .values()
        .map(|counts| counts.served)
        .collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).expect("few"))
}

/// Jain's index: 1 if all get the same.
fn fairness_index(values: &[f64]) -> f64 {
    let squares: Vec<f64> = values.iter().map(|value| value * value).collect();
    mean(values).powi(2) / mean(&squares)
}

#[test]
fn admit_waiting_account_with_ten_times_its_share_others_get_theirs() {
    let with = served(&unequal_accounts(fair(&[]), None));
    let without = served(&unequal_accounts(AdmissionPolicy::default(), None));
    assert!(fairness_index(&with) >= 0.95, "{with:?}");
    assert!(fairness_index(&without) < 0.95, "{without:?}");
    let mut sorted = with.clone();
    sorted.sort_by(f64::total_cmp);
    assert!(mean(&sorted[..2]) >= 0.8 * mean(&with), "{with:?}");
    assert!(mean(&with) >= 0.98 * mean(&without), "{with:?} {without:?}");
}

#[test]
fn admit_waiting_owner_lost_midway_shares_are_rebuilt() {
    let lost = unequal_accounts(fair(&[]), Some(Duration::from_secs(15)));
    assert!(fairness_index(&served(&lost)) >= 0.95, "{lost:?}");
    let settled = lost
        .by_account
        .values()
        .map(|counts| counts.in_time + counts.refused);
    let asked = lost.by_account.values().map(|counts| counts.asked);
    // Those that still wait when the replay ends are in neither.
    assert!(settled.sum::<u32>() + 120 >= asked.sum::<u32>(), "{lost:?}");
}

#[test]
fn admit_waiting_weights_one_to_four_served_one_to_four() {
    let mut arrivals = steady("light", MEDIUM, 0.0, 30.0, 20.0);
    arrivals.extend(steady("heavy", MEDIUM, 0.01, 30.0, 20.0));
    let outcome = replay(Load {
        policy: fair(&[("heavy", 4.0)]),
        engines: 8,
        arrivals: until_objective(arrivals, true),
        ends_at: Duration::from_secs(30),
        leave_interval: None,
        owner_lost_at: None,
    });
    let ratio = outcome.by_account["heavy"].served / outcome.by_account["light"].served;
    assert!((3.2..4.8).contains(&ratio), "{ratio} {outcome:?}");
}

/// The largest tenth of the calls needs half an engine each. They are served about as often as the
/// others at one and a half times the load that fits.
#[test]
fn admit_waiting_largest_tenth_not_starved() {
    let large = Kind {
        prompt_tokens: 11_000,
        ..MEDIUM
    };
    let mut arrivals = steady("large", large, 0.0, 30.0, 1.6);
    for number in 0..8 {
        arrivals.extend(steady(&format!("a{number}"), MEDIUM, 0.02, 30.0, 1.8));
    }
    let mut policy = reserves();
    policy.shares = fair(&[]).shares;
    let outcome = replay(Load {
        policy,
        engines: 6,
        arrivals: until_objective(arrivals, true),
        ends_at: Duration::from_secs(30),
        leave_interval: None,
        owner_lost_at: None,
    });
    let of_all = outcome.by_priority[&2].in_time_share();
    let of_large = outcome.by_account["large"].in_time_share();
    assert!(of_large >= 0.5 * of_all, "{outcome:?}");
}

#[test]
fn retry_after_within_spread_over_time_at_which_room_is_expected() {
    let after = |room_in: Option<u64>, spread| {
        let room_in = room_in.map(Duration::from_millis);
        retry_after_within(Duration::from_secs(12), room_in, spread).as_millis()
    };
    assert_eq!(
        (after(Some(3_000), 0.0), after(Some(3_000), 1.0)),
        (3_000, 5_000)
    );
    assert_eq!((after(None, 0.0), after(None, 1.0)), (3_000, 5_000));
    assert_eq!(after(Some(60_000), 1.0), 12_000);
    assert_eq!(after(Some(10), 0.0), 1_000);
}

/// The caller of a stream leaves after silence of the longest of 2 s, four objectives, eight pauses.
#[test]
fn decode_stream_route_caller_patience_from_objective_and_pause() {
    let patience = |kind: &str, objective_ms: u64, pause_ms: u64| {
        let config = serde_json::json!({ "version": 1, "routes": [{
            "name": "r", "host": "h", "path-prefix": "/", "kind": kind, "service": "s",
            "goal-ms": objective_ms, "gap_aim_ms": pause_ms,
        }]});
        let config = operator_config::decode(config.to_string().as_bytes()).expect("valid");
        config.routes[0]
            .caller_patience
            .map(|patience| patience.as_millis())
    };
    assert_eq!(patience("stream", 4_000, 178), Some(16_000));
    assert_eq!(patience("stream", 300, 600), Some(4_800));
    assert_eq!(patience("stream", 300, 100), Some(2_000));
    assert_eq!(patience("idempotent", 4_000, 178), None);
}

fn sized_request(account: usize, number: usize, prompt_tokens: u32) -> AdmissionRequest {
    AdmissionRequest {
        demand: RunDemand {
            run: format!("{account}/{number}"),
            prompt_tokens,
            generated_max_tokens: 1,
            account: Some(account.to_string()),
            ..RunDemand::default()
        },
        entry: "n".to_owned(),
        excluded: Vec::new(),
        objective_at: Duration::from_hours(1),
        deadline: Duration::from_hours(1),
    }
}

proptest! {
    /// The bound of start-time fair queueing: what two accounts that always wait were served
    /// differs by at most the largest request of each, by weight.
    #[test]
    fn admit_waiting_random_sizes_within_the_fair_bound(
        sizes in proptest::collection::vec(proptest::collection::vec(100..20_000_u32, 40), 2..5),
        heavy in (1..5_u32).prop_map(f64::from),
    ) {
        let weight = |account: usize| if account == 0 { heavy } else { 1.0 };
        let mut ledger = EngineLedger::default();
        ledger.set_engines(vec![ListedEngine {
            id: "e".to_owned(),
            slots: 1,
            memory_tokens: 40_000,
            ..ListedEngine::default()
        }]);
        let mut queue = AdmissionQueue::default();
        queue.set_policy(fair(&[("0", heavy)]));
        let filler = sized_request(9, 0, 30_000);
        queue.request_admission(&mut ledger, filler.clone(), Duration::ZERO);
        let mut running = filler.demand.run;
        let mut tickets = std::collections::BTreeMap::new();
        for (account, sizes) in sizes.iter().enumerate() {
            for (number, size) in sizes.iter().enumerate() {
                let request = sized_request(account, number, *size);
                let run = request.demand.run.clone();
                let admission = queue.request_admission(&mut ledger, request, Duration::ZERO);
                let larkwick::kernel::admission_queue::Admission::Queued(ticket) = admission
                    else { panic!("{admission:?}") };
                tickets.insert(ticket, (account, run, f64::from(*size) + 1.0));
            }
        }
        let mut served = vec![0.0; sizes.len()];
        let mut left = vec![40; sizes.len()];
        while left.iter().all(|left| *left > 0) {
            ledger.release(&running);
            let outcomes = queue.admit_waiting(&mut ledger, Duration::ZERO);
            let (account, run, tokens) = &tickets[&outcomes[0].ticket];
            served[*account] += tokens / weight(*account);
            left[*account] -= 1;
            running.clone_from(run);
            for one in 0..served.len() {
                for other in 0..served.len() {
                    let bound = 20_001.0 / weight(one) + 20_001.0 / weight(other);
                    prop_assert!(served[one] - served[other] <= bound, "{served:?}");
                }
            }
        }
    }
}
