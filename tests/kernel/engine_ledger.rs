//! The owner's ledger: memory predicted, generations moved off engines that leave, nothing lost with an owner or an entry.

use std::time::Duration;

use larkwick::kernel::engine_ledger::{
    EngineEntry, EngineLedger, MoveResult, ReportedRun, RunDemand,
};
use larkwick::kernel::permits::{IssuerShare, LimitShare};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn engine(id: &str, hall: &str, leaving: bool) -> EngineEntry {
    EngineEntry {
        id: id.to_owned(),
        hall: hall.to_owned(),
        slots: 24,
        memory_tokens: 34_000,
        leaving,
        closed: false,
        cold: None,
        limit: None,
        moves: true,
    }
}

fn demand(run: &str, prompt_tokens: u32) -> RunDemand {
    RunDemand {
        run: run.to_owned(),
        prompt_tokens,
        made_max_tokens: 2_000,
        made_hint_tokens: Some(800.0),
        priority: 1,
    }
}

fn reported(run: &str, endpoint: &str, made_tokens: u32) -> ReportedRun {
    ReportedRun {
        demand: demand(run, 3_000),
        endpoint: endpoint.to_owned(),
        made_tokens,
    }
}

fn ledger(engines: &[EngineEntry]) -> EngineLedger {
    let mut ledger = EngineLedger::default();
    ledger.set_engines(engines.to_vec());
    ledger
}

#[test]
fn place_no_engine_beyond_its_memory() {
    let mut ledger = ledger(&[engine("a", "h", false), engine("b", "h", false)]);
    let mut granted = 0;
    while let Some(place) = ledger.place(&demand(&format!("r{granted}"), 3_000), "n", &[], NOW) {
        assert!(["a", "b"].contains(&place.as_str()));
        granted += 1;
        assert!(granted < 100);
    }
    // 0.97 of 34,000 tokens, each generation 3,000 and what it makes within the horizon.
    assert_eq!(granted, 20);
    let fills = ledger.summary();
    let fills = fills
        .values()
        .map(|engine| engine.predicted_tokens / 34_000.0);
    assert!(fills.into_iter().all(|fill| fill <= 0.97));
}

/// Copies that a second engine kept for the case that the first one dies took the room of live generations in a crowd.
#[test]
fn place_memory_held_on_one_engine_alone() {
    let mut ledger = ledger(&[engine("a", "h", false), engine("b", "h", false)]);
    let granted = ledger.place(&demand("r", 3_000), "n", &[], NOW);
    let granted = granted.expect("a place");
    for (id, engine) in ledger.summary() {
        assert_eq!(engine.places, u32::from(id == granted), "{id}");
    }
}

#[test]
fn place_leaving_excluded_refused_and_dead_engines_left_out() {
    let engines = ["a", "b", "c", "d"].map(|id| engine(id, "h", id == "a"));
    let mut ledger = ledger(&engines);
    ledger.refused("b", NOW);
    ledger.found_dead("c", NOW);
    let excluded = ["d".to_owned()];
    assert!(
        ledger
            .place(&demand("r", 100), "n", &excluded, NOW)
            .is_none()
    );
    let later = NOW + Duration::from_secs(1);
    let place = ledger.place(&demand("r", 100), "n", &excluded, later);
    assert_eq!(place.expect("a place"), "b");
}

#[test]
fn plan_moves_one_at_a_time_for_each_engine() {
    let mut ledger = ledger(&[
        engine("a", "h", true),
        engine("b", "h", false),
        engine("c", "i", false),
    ]);
    let runs = (0..3).map(|number| reported(&format!("r{number}"), "a", 100));
    ledger.take_report("n", runs.collect(), NOW);
    let orders = ledger.plan_moves(NOW);
    assert_eq!(orders.len(), 1);
    // Inside the hall before elsewhere.
    assert_eq!(
        (orders[0].source.as_str(), orders[0].target.as_str()),
        ("a", "b")
    );
    assert!(ledger.plan_moves(NOW).is_empty());
    ledger.move_ended(&orders[0], MoveResult::Copied, NOW);
    assert_eq!(ledger.plan_moves(NOW).len(), 1);
}

#[test]
fn plan_moves_generation_without_an_event_stays() {
    let mut ledger = ledger(&[engine("a", "h", true), engine("b", "h", false)]);
    ledger.take_report("n", vec![reported("r", "a", 0)], NOW);
    assert!(ledger.plan_moves(NOW).is_empty());
}

#[test]
fn plan_moves_failed_move_tried_again_later() {
    let mut ledger = ledger(&[engine("a", "h", true), engine("b", "h", false)]);
    ledger.take_report("n", vec![reported("r", "a", 4)], NOW);
    let order = ledger.plan_moves(NOW).remove(0);
    ledger.move_ended(&order, MoveResult::NoRoom, NOW);
    assert!(ledger.plan_moves(NOW).is_empty());
    assert_eq!(ledger.plan_moves(NOW + Duration::from_millis(200)), [order]);
}

/// A new owner knows everything after one round of reports.
#[test]
fn take_report_new_owner_moves_what_it_heard_of() {
    let engines = [engine("a", "h", true), engine("b", "h", false)];
    let mut new_owner = ledger(&engines);
    assert!(new_owner.plan_moves(NOW).is_empty());
    new_owner.take_report("n", vec![reported("r", "a", 40)], NOW);
    assert_eq!(new_owner.plan_moves(NOW).len(), 1);
}

#[test]
fn take_report_ended_generation_gives_its_memory_back() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    ledger.take_report("n", vec![reported("r", "a", 4), reported("s", "a", 4)], NOW);
    ledger.take_report("n", vec![reported("s", "a", 8)], NOW);
    assert_eq!(ledger.runs(), 1);
}

#[test]
fn take_report_young_grant_is_kept_until_it_should_be_reported() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    assert!(ledger.place(&demand("r", 3_000), "n", &[], NOW).is_some());
    ledger.take_report("n", Vec::new(), NOW);
    assert_eq!(ledger.runs(), 1);
    ledger.take_report("n", Vec::new(), NOW + Duration::from_secs(2));
    assert_eq!(ledger.runs(), 0);
}

#[test]
fn expire_silent_entry_holds_nothing() {
    let mut ledger = ledger(&[engine("a", "h", false)]);
    ledger.take_report("n", vec![reported("r", "a", 4)], NOW);
    ledger.expire(NOW + Duration::from_secs(2));
    assert_eq!(ledger.runs(), 1);
    ledger.expire(NOW + Duration::from_secs(3));
    assert_eq!(ledger.runs(), 0);
}

proptest! {
    /// Whatever happens in whatever order: no engine is source and target of two moves at once, none that leaves is a target, and
    /// no grant goes beyond an engine's memory.
    #[test]
    fn plan_moves_any_course_links_used_once(
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
                    ledger.take_report(&format!("n{number}"), vec![run], now);
                }
                3 => {
                    if !open.is_empty() {
                        let order = open.remove(index % open.len());
                        let results = [MoveResult::Copied, MoveResult::NoRoom, MoveResult::Failed, MoveResult::RunGone];
                        ledger.move_ended(&order, results[index % 4], now);
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

/// 1,500 generations on 128 engines: what the ledger keeps with each engine is what counting all generations gives, after any course of
/// grants, reports, moves and losses.
#[test]
fn summary_large_course_same_as_counted_from_nothing() {
    let engines: Vec<EngineEntry> = (0..128)
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
        let granted = granted.expect("room");
        let runs = reports.entry(entry.clone()).or_default();
        runs.push(reported(&name, &granted, number % 7));
        if number % 3 == 0 && runs.len() > 1 {
            runs.remove(0);
        }
        ledger.take_report(&entry, runs.clone(), now);
        if number % 100 == 50 {
            let order = ledger.plan_moves(now);
            assert!(order.is_empty(), "no engine leaves");
        }
    }
    let now = Duration::from_millis(1_500);
    ledger.expire(now);
    let mut fresh = self::ledger(&engines);
    for (entry, runs) in &reports {
        fresh.take_report(entry, runs.clone(), now);
    }
    assert_eq!(ledger.runs(), fresh.runs());
    for ((id, kept), (_, counted)) in ledger.summary().into_iter().zip(fresh.summary()) {
        assert_eq!(kept.places, counted.places, "{id}");
        assert!(
            (kept.predicted_tokens - counted.predicted_tokens).abs() < 1e-6,
            "{id}"
        );
    }
}

/// A hundred instances that cannot reach the owner each place alone, knowing only their own generations: they may not all begin with the same
/// engine. Before, the first one of the list took all.
#[test]
fn place_many_ledgers_alone_spread_over_engines() {
    let engines: Vec<EngineEntry> = (0..40)
        .map(|number| engine(&format!("e{number}"), "a", false))
        .collect();
    let mut placed: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for number in 0..100 {
        let mut ledger = EngineLedger::of_instance(&format!("n{number}"));
        ledger.set_engines(engines.clone());
        let run = format!("r{number}");
        let granted = ledger.place(&demand(&run, 3_000), "n", &[], Duration::ZERO);
        *placed.entry(granted.expect("room")).or_default() += 1;
    }
    let most = placed.values().max().copied();
    assert!(most <= Some(10), "{placed:?}");
}

/// Engines are full to the share that new generations may fill, as they are each time others have left: one that ends within the horizon is
/// still placed, since it gives its room back before those that move need it. Before, it was refused.
#[test]
fn place_short_generation_fits_where_long_ones_do_not() {
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
        made_max_tokens: 24,
        ..demand("short", 1_200)
    };
    assert!(ledger.place(&short, "n", &[], Duration::ZERO).is_some());
}

#[test]
fn place_engine_that_asked_another_entry_for_rest_last_choice() {
    let mut ledger = ledger(&[engine("asked", "h", false), engine("other", "h", false)]);
    ledger.take_report("turned-away", Vec::new(), NOW);
    ledger.rest_for("turned-away", ["asked".to_owned()].into());
    let place =
        |ledger: &mut EngineLedger, run: &str| ledger.place(&demand(run, 3_000), "n", &[], NOW);
    let first: Vec<String> = (0..10)
        .filter_map(|number| place(&mut ledger, &number.to_string()))
        .collect();
    assert!(first.iter().all(|engine| engine == "other"), "{first:?}");
    let granted = place(&mut ledger, "no room elsewhere");
    assert_eq!(granted.as_deref(), Some("asked"));
    // The entry says nothing any more, and neither does what it said count.
    let later = NOW + Duration::from_secs(3);
    ledger.expire(later);
    assert_eq!(place(&mut ledger, "after").as_deref(), Some("asked"));
}

/// An engine that asked the entry of a generation for rest refuses what is moved there; the next best one takes it.
#[test]
fn plan_moves_target_rests_for_the_entry_another_one_chosen() {
    let engines = [
        engine("leaves", "h", true),
        engine("near", "h", false),
        engine("far", "other", false),
    ];
    for (entry, expected) in [("asked", "far"), ("not-asked", "near")] {
        let mut ledger = ledger(&engines);
        ledger.take_report(entry, vec![reported("r", "leaves", 100)], NOW);
        ledger.rest_for("asked", ["near".to_owned()].into());
        let orders = ledger.plan_moves(NOW);
        assert_eq!(orders[0].target, expected, "for {entry}");
    }
}

/// An engine that takes few from all instances together looks empty, and is granted no more often for it.
#[test]
fn place_engine_that_names_a_limit_granted_as_often_as_it_takes() {
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
    ledger.settle_permits(NOW);
    let mut granted = 0;
    for number in 0..500_u64 {
        let now = NOW + Duration::from_millis(number * 20);
        let entry = if number % 2 == 0 { "n1" } else { "n2" };
        let run = format!("r{number}");
        let place = ledger.place(&demand(&run, 100), entry, &[], now);
        granted += u32::from(place.as_deref() == Some("limited"));
        ledger.release(&run);
        assert!(place.is_some(), "the other one has room");
    }
    assert!(
        (18..=21).contains(&granted),
        "{granted} of 20 in ten seconds"
    );
}

/// To move what runs on an engine that leaves takes requests to it, and one to the engine that takes it in.
#[test]
fn plan_moves_from_and_to_engines_that_name_a_limit_as_often_as_they_take() {
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
    ledger.settle_permits(NOW);
    ledger.take_report("n", vec![reported("r1", "source", 10)], NOW);
    assert!(ledger.plan_moves(NOW).is_empty(), "none takes a request");
    let later = NOW + Duration::from_secs(3);
    assert!(ledger.plan_moves(later).is_empty(), "the source takes none");
    source.limit = None;
    ledger.set_engines(vec![source, target]);
    let orders = ledger.plan_moves(later);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].target_counted);
}
