//! Engine ledger: predicted memory, moves off leaving engines, and recovery after the loss of an
//! owner or an entry instance.

use std::time::Duration;

use larkwick::kernel::engine_ledger::{
    EngineLedger, ListedEngine, MoveResult, ReportedRun, RunDemand,
};
use larkwick::kernel::permits::{IssuerShare, LimitShare};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn engine(id: &str, hall: &str, leaving: bool) -> ListedEngine {
    ListedEngine {
        id: id.to_owned(),
        hall: hall.to_owned(),
        region: String::new(),
        version: None,
        slots: 24,
        memory_tokens: 34_000,
        leaving,
        closed: false,
        supports_migration: true,
        ..ListedEngine::default()
    }
}

fn demand(run: &str, prompt_tokens: u32) -> RunDemand {
    RunDemand {
        run: run.to_owned(),
        prompt_tokens,
        generated_max_tokens: 2_000,
        generated_hint_tokens: Some(800.0),
        priority: 1,
        ..RunDemand::default()
    }
}

fn reported(run: &str, endpoint: &str, generated_tokens: u32) -> ReportedRun {
    ReportedRun {
        demand: demand(run, 3_000),
        endpoint: endpoint.to_owned(),
        copy_at: None,
        generated_tokens,
    }
}

fn ledger(engines: &[ListedEngine]) -> EngineLedger {
    let mut ledger = EngineLedger::default();
    ledger.set_engines(engines.to_vec());
    ledger
}

#[test]
fn place_never_exceeds_engine_memory() {
    let mut ledger = ledger(&[engine("a", "h", false), engine("b", "h", false)]);
    let mut granted = 0;
    while let Some(place) = ledger.place(&demand(&format!("r{granted}"), 3_000), "n", &[], NOW) {
        assert!(["a", "b"].contains(&place.as_str()));
        granted += 1;
        assert!(granted < 100);
    }
    // 0.97 of 34,000 tokens; each generation takes 3,000 and what it generates within the horizon.
    assert_eq!(granted, 20);
    let fills = ledger.summary();
    let fills = fills
        .values()
        .map(|engine| engine.predicted_tokens / 34_000.0);
    assert!(fills.into_iter().all(|fill| fill <= 0.97));
}

/// A generation must take memory on one engine only: reserving backup copies on a second engine
/// took capacity from running generations under high load.
#[test]
fn place_uses_memory_on_one_engine_only() {
    let mut ledger = ledger(&[engine("a", "h", false), engine("b", "h", false)]);
    let granted = ledger.place(&demand("r", 3_000), "n", &[], NOW);
    let granted = granted.expect("an engine with capacity");
    for (id, engine) in ledger.summary() {
        assert_eq!(engine.used_slots, u32::from(id == granted), "{id}");
    }
}

#[test]
fn place_skips_leaving_excluded_refusing_and_unreachable_engines() {
    let engines = ["a", "b", "c", "d"].map(|id| engine(id, "h", id == "a"));
    let mut ledger = ledger(&engines);
    ledger.record_refusal("b", NOW);
    ledger.record_unreachable("c", NOW);
    let excluded = ["d".to_owned()];
    assert!(
        ledger
            .place(&demand("r", 100), "n", &excluded, NOW)
            .is_none()
    );
    let later = NOW + Duration::from_secs(1);
    let place = ledger.place(&demand("r", 100), "n", &excluded, later);
    assert_eq!(place.expect("an engine with capacity"), "b");
}

/// Guards against generations that are placed on an engine that has ended, since another one of
/// its callers reported a refusal after the end.
#[test]
fn record_refusal_of_an_unreachable_engine_backoff_kept() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    ledger.record_unreachable("a", NOW);
    ledger.record_refusal("a", NOW);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(ledger.place(&demand("r", 100), "n", &[], later), None);
}

#[test]
fn withdraw_unreachable_engine_available_unless_reported_again() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    let later = NOW + Duration::from_millis(5);
    ledger.record_unreachable("a", NOW);
    ledger.withdraw_unreachable("a", NOW);
    assert!(ledger.place(&demand("r1", 100), "n", &[], later).is_some());
    ledger.record_unreachable("a", NOW);
    ledger.record_unreachable("a", later);
    ledger.withdraw_unreachable("a", NOW);
    assert_eq!(ledger.place(&demand("r2", 100), "n", &[], later), None);
}

/// Guards against an engine that is asked again and again for a generation that it cannot copy,
/// while its other generations wait for their moves.
#[test]
fn plan_moves_failing_generation_asked_for_less_and_less_others_moved() {
    /// Time for which engines that leave go on serving, at least.
    const LEAVES_FOR_MS: u64 = 2_000;
    /// A delay that doubles from 120 ms leaves room for no more in this time.
    const ORDERS_MAX: usize = 5;
    let mut ledger = ledger(&[engine("a", "h", true), engine("b", "h", false)]);
    let runs = vec![reported("failing", "a", 100), reported("other", "a", 100)];
    let mut orders = Vec::new();
    for now_ms in (0..LEAVES_FOR_MS).step_by(20) {
        let now = NOW + Duration::from_millis(now_ms);
        ledger.apply_report("n", runs.clone(), now);
        for order in ledger.plan_moves(now) {
            ledger.record_move_result(&order, MoveResult::Failed, now);
            orders.push(order.run);
        }
    }
    let count = |name: &str| orders.iter().filter(|run| *run == name).count();
    assert!(count("failing") <= ORDERS_MAX, "{orders:?}");
    assert!(count("other") >= 2, "{orders:?}");
}

#[test]
fn plan_moves_one_at_a_time_for_each_engine() {
    let mut ledger = ledger(&[
        engine("a", "h", true),
        engine("b", "h", false),
        engine("c", "i", false),
    ]);
    let runs = (0..3).map(|number| reported(&format!("r{number}"), "a", 100));
    ledger.apply_report("n", runs.collect(), NOW);
    let orders = ledger.plan_moves(NOW);
    assert_eq!(orders.len(), 1);
    // Engines in the same hall come first.
    assert_eq!(
        (orders[0].source.as_str(), orders[0].target.as_str()),
        ("a", "b")
    );
    assert!(ledger.plan_moves(NOW).is_empty());
    ledger.record_move_result(&orders[0], MoveResult::Copied, NOW);
    assert_eq!(ledger.plan_moves(NOW).len(), 1);
}

#[test]
fn plan_moves_generation_without_output_not_moved() {
    let mut ledger = ledger(&[engine("a", "h", true), engine("b", "h", false)]);
    ledger.apply_report("n", vec![reported("r", "a", 0)], NOW);
    assert!(ledger.plan_moves(NOW).is_empty());
}

#[test]
fn plan_moves_failed_move_retried_after_delay() {
    let mut ledger = ledger(&[engine("a", "h", true), engine("b", "h", false)]);
    ledger.apply_report("n", vec![reported("r", "a", 4)], NOW);
    let order = ledger.plan_moves(NOW).remove(0);
    ledger.record_move_result(&order, MoveResult::NoRoom, NOW);
    assert!(ledger.plan_moves(NOW).is_empty());
    assert_eq!(ledger.plan_moves(NOW + Duration::from_millis(200)), [order]);
}

/// A new owner has the complete state after one round of reports.
#[test]
fn apply_report_new_owner_moves_reported_generations() {
    let engines = [engine("a", "h", true), engine("b", "h", false)];
    let mut new_owner = ledger(&engines);
    assert!(new_owner.plan_moves(NOW).is_empty());
    new_owner.apply_report("n", vec![reported("r", "a", 40)], NOW);
    assert_eq!(new_owner.plan_moves(NOW).len(), 1);
}

#[test]
fn apply_report_ended_generation_frees_its_memory() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    ledger.apply_report("n", vec![reported("r", "a", 4), reported("s", "a", 4)], NOW);
    ledger.apply_report("n", vec![reported("s", "a", 8)], NOW);
    assert_eq!(ledger.run_count(), 1);
}

#[test]
fn apply_report_recent_grant_kept_until_report_is_due() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    assert!(ledger.place(&demand("r", 3_000), "n", &[], NOW).is_some());
    ledger.apply_report("n", Vec::new(), NOW);
    assert_eq!(ledger.run_count(), 1);
    ledger.apply_report("n", Vec::new(), NOW + Duration::from_secs(2));
    assert_eq!(ledger.run_count(), 0);
}

#[test]
fn expire_drops_generations_of_silent_entry_instance() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    ledger.apply_report("n", vec![reported("r", "a", 4)], NOW);
    ledger.expire(NOW + Duration::from_secs(2));
    assert_eq!(ledger.run_count(), 1);
    ledger.expire(NOW + Duration::from_secs(3));
    assert_eq!(ledger.run_count(), 0);
}

proptest! {
    /// After any sequence of operations, no generation is moved twice at the same time, no leaving
    /// engine is a target, no move has the same source and target, and no grant exceeds an engine's
    /// memory.
    #[test]
    fn plan_moves_any_sequence_keeps_invariants(
        steps in proptest::collection::vec((0_u8..5, 0_usize..6, 1_u32..6_000), 1..60)
    ) {
        let names = ["a", "b", "c", "d", "e", "f"];
        let mut leaving = [false; 6];
        let mut ledger = EngineLedger::default();
        let mut open = Vec::new();
        let mut now = NOW;
        for (number, (kind, index, tokens)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(50);
            match kind {
                0 => leaving[index] = !leaving[index],
                1 => {
                    let run = format!("p{number}");
                    if let Some(place) = ledger.place(&demand(&run, tokens), "n", &[], now) {
                        let at = names.iter().position(|name| *name == place).unwrap();
                        prop_assert!(!leaving[at]);
                        let summary = ledger.summary();
                        let engine = &summary[&place];
                        prop_assert!(engine.predicted_tokens <= f64::from(engine.memory_tokens));
                    }
                }
                2 => {
                    let run = reported(&format!("r{number}"), names[index], tokens / 10);
                    ledger.apply_report(&format!("n{number}"), vec![run], now);
                }
                3 => {
                    if !open.is_empty() {
                        let order = open.remove(index % open.len());
                        let results = [MoveResult::Copied, MoveResult::NoRoom, MoveResult::Failed, MoveResult::RunGone];
                        ledger.record_move_result(&order, results[index % 4], now);
                    }
                }
                _ => ledger.expire(now),
            }
            let engines = names.iter().zip(leaving).map(|(name, leaving)| engine(name, "h", leaving));
            ledger.set_engines(engines.collect());
            for order in ledger.plan_moves(now) {
                let target = names.iter().position(|name| *name == order.target).unwrap();
                prop_assert!(!leaving[target]);
                prop_assert!(order.source != order.target);
                open.push(order);
            }
            for order in &open {
                let same = open.iter().filter(|other| other.run == order.run);
                prop_assert_eq!(same.count(), 1);
            }
        }
    }
}

/// With 1,500 generations on 128 engines, the cached usage of each engine equals the usage computed
/// from all generations, after grants and reports.
#[test]
fn summary_cached_usage_equals_recomputed() {
    let engines: Vec<ListedEngine> = (0..128)
        .map(|number| engine(&format!("e{number}"), ["a", "b", "c"][number % 3], false))
        .collect();
    let mut ledger = ledger(&engines);
    let mut reports: std::collections::BTreeMap<String, Vec<ReportedRun>> =
        std::collections::BTreeMap::new();
    for number in 0..1_500_u32 {
        let entry = format!("n{}", number % 295);
        let name = format!("r{number}");
        let now = Duration::from_millis(u64::from(number));
        let granted = ledger.place(&demand(&name, 1_000), &entry, &[], now);
        let granted = granted.expect("an engine with capacity");
        let runs = reports.entry(entry.clone()).or_default();
        runs.push(reported(&name, &granted, number % 7));
        if number % 3 == 0 && runs.len() > 1 {
            runs.remove(0);
        }
        ledger.apply_report(&entry, runs.clone(), now);
        if number % 100 == 50 {
            let order = ledger.plan_moves(now);
            assert!(order.is_empty(), "no engine is leaving");
        }
    }
    let now = Duration::from_millis(1_500);
    ledger.expire(now);
    let mut fresh = self::ledger(&engines);
    for (entry, runs) in &reports {
        fresh.apply_report(entry, runs.clone(), now);
    }
    assert_eq!(ledger.run_count(), fresh.run_count());
    for ((id, cached), (_, recomputed)) in ledger.summary().into_iter().zip(fresh.summary()) {
        assert_eq!(cached.used_slots, recomputed.used_slots, "{id}");
        assert!(
            (cached.predicted_tokens - recomputed.predicted_tokens).abs() < 1e-6,
            "{id}"
        );
    }
}

/// A hundred instances that cannot reach the owner place on their own, knowing only their own
/// generations. They must not all start with the same engine; without the tie-breaker, the first
/// listed engine got all generations.
#[test]
fn place_independent_ledgers_spread_over_engines() {
    let engines: Vec<ListedEngine> = (0..40)
        .map(|number| engine(&format!("e{number}"), "a", false))
        .collect();
    let mut placed: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for number in 0..100 {
        let mut ledger = EngineLedger::for_instance(&format!("n{number}"));
        ledger.set_engines(engines.clone());
        let run = format!("r{number}");
        let granted = ledger.place(&demand(&run, 3_000), "n", &[], Duration::ZERO);
        *placed
            .entry(granted.expect("an engine with capacity"))
            .or_default() += 1;
    }
    let most = placed.values().max().copied();
    assert!(most <= Some(10), "{placed:?}");
}

/// Engines are filled up to the limit for new generations, as happens repeatedly after others have
/// left. A generation that ends within the horizon must still be placed, since it frees its memory
/// before moved generations need it.
#[test]
fn place_short_generation_above_limit_for_long_ones() {
    let mut ledger = ledger(&[engine("e1", "a", false)]);
    let mut count = 0;
    while ledger
        .place(
            &demand(&format!("long{count}"), 2_900),
            "n",
            &[],
            Duration::ZERO,
        )
        .is_some()
    {
        count += 1;
    }
    let short = RunDemand {
        generated_max_tokens: 24,
        ..demand("short", 1_200)
    };
    assert!(ledger.place(&short, "n", &[], Duration::ZERO).is_some());
}

#[test]
fn place_engine_cooling_down_for_another_entry_is_last_choice() {
    let mut ledger = ledger(&[engine("cooling", "h", false), engine("other", "h", false)]);
    ledger.apply_report("refused-entry", Vec::new(), NOW);
    ledger.set_cooling_down("refused-entry", ["cooling".to_owned()].into());
    let place =
        |ledger: &mut EngineLedger, run: &str| ledger.place(&demand(run, 3_000), "n", &[], NOW);
    let first: Vec<String> = (0..10)
        .filter_map(|number| place(&mut ledger, &number.to_string()))
        .collect();
    assert!(first.iter().all(|engine| engine == "other"), "{first:?}");
    let granted = place(&mut ledger, "no capacity elsewhere");
    assert_eq!(granted.as_deref(), Some("cooling"));
    // The entry instance no longer reports, so its cooldowns no longer count.
    let later = NOW + Duration::from_secs(3);
    ledger.expire(later);
    assert_eq!(place(&mut ledger, "after").as_deref(), Some("cooling"));
}

/// An engine in cooldown for the entry instance of a generation would refuse it, so the next best
/// target is chosen.
#[test]
fn plan_moves_skips_target_cooling_down_for_the_entry() {
    let engines = [
        engine("leaves", "h", true),
        engine("near", "h", false),
        engine("far", "other", false),
    ];
    for (entry, expected) in [("refused-entry", "far"), ("other-entry", "near")] {
        let mut ledger = ledger(&engines);
        ledger.apply_report(entry, vec![reported("r", "leaves", 100)], NOW);
        ledger.set_cooling_down("refused-entry", ["near".to_owned()].into());
        let orders = ledger.plan_moves(NOW);
        assert_eq!(orders[0].target, expected, "for {entry}");
    }
}

/// A rate-limited engine looks empty, but must not be granted more requests than its limit.
#[test]
fn place_rate_limited_engine_granted_within_its_limit() {
    let limit = LimitShare {
        per_s: 2.0,
        share: IssuerShare {
            reachable: 2,
            total: 2,
        },
    };
    let mut limited = engine("limited", "h", false);
    limited.limit = Some(limit);
    let mut ledger = EngineLedger::default();
    ledger.set_engines(vec![limited, engine("other", "h", false)]);
    ledger.sync_permits(NOW);
    let mut granted = 0;
    for number in 0..500_u64 {
        let now = NOW + Duration::from_millis(number * 20);
        let entry = if number % 2 == 0 { "n1" } else { "n2" };
        let run = format!("r{number}");
        let place = ledger.place(&demand(&run, 100), entry, &[], now);
        granted += u32::from(place.as_deref() == Some("limited"));
        ledger.release(&run);
        assert!(place.is_some(), "the other engine has capacity");
    }
    assert!(
        (18..=21).contains(&granted),
        "{granted} of 20 in ten seconds"
    );
}

/// Moving a generation takes requests to the leaving source and one request to the target; both are
/// subject to the engines' rate limits.
#[test]
fn plan_moves_respects_limits_of_source_and_target() {
    let share = IssuerShare {
        reachable: 1,
        total: 1,
    };
    let limit = |per_s| Some(LimitShare { per_s, share });
    let mut source = engine("source", "h", true);
    source.limit = limit(0.0);
    let mut target = engine("target", "h", false);
    target.limit = limit(1.0);
    let mut ledger = EngineLedger::default();
    ledger.set_engines(vec![source.clone(), target.clone()]);
    ledger.sync_permits(NOW);
    ledger.apply_report("n", vec![reported("r1", "source", 10)], NOW);
    assert!(
        ledger.plan_moves(NOW).is_empty(),
        "no engine accepts a request"
    );
    let later = NOW + Duration::from_secs(3);
    assert!(
        ledger.plan_moves(later).is_empty(),
        "the source accepts no request"
    );
    source.limit = None;
    ledger.set_engines(vec![source, target]);
    let orders = ledger.plan_moves(later);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].target_counted);
}
