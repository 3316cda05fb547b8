//! Copies of generations at a second engine: replays engines that crash without notice under long
//! generations, and a crowd in which copies once took the room of live generations.

use std::collections::BTreeMap;
use std::time::Duration;

use larkwick::kernel::engine_ledger::{
    EngineLedger, ListedEngine, MoveOrder, MoveResult, ReportedRun, RunDemand,
};
use larkwick::kernel::region::AllowedRegions;

const NOW: Duration = Duration::from_secs(100);
const ENGINES: usize = 8;

/// Engines by turns in two halls, and in regions of the same names.
fn engines() -> Vec<ListedEngine> {
    let engine = |number: usize| {
        let hall = format!("hall-{}", number % 2);
        ListedEngine {
            id: format!("e{number}"),
            region: hall.clone(),
            hall,
            slots: 24,
            memory_tokens: 34_000,
            supports_migration: true,
            supports_copies: true,
            ..ListedEngine::default()
        }
    };
    (0..ENGINES).map(engine).collect()
}

fn ledger_of(engines: Vec<ListedEngine>) -> EngineLedger {
    let mut ledger = EngineLedger::default();
    ledger.set_engines(engines);
    ledger
}

fn demand(run: &str) -> RunDemand {
    RunDemand {
        run: run.to_owned(),
        prompt_tokens: 3_000,
        generated_max_tokens: 2_000,
        generated_hint_tokens: Some(800.0),
        wants_copy: true,
        ..RunDemand::default()
    }
}

/// Places a generation and its copy; returns the engines of both.
fn place(ledger: &mut EngineLedger, demand: &RunDemand) -> Option<(String, Option<String>)> {
    let engine = ledger.place(demand, "n", &[], NOW)?;
    let keeper = ledger.place_copy(&demand.run, NOW);
    Some((engine, keeper))
}

fn used_tokens(ledger: &EngineLedger) -> f64 {
    let summary = ledger.summary();
    summary.values().map(|engine| engine.predicted_tokens).sum()
}

fn fill(ledger: &EngineLedger) -> f64 {
    let summary = ledger.summary();
    let memory = summary
        .values()
        .map(|engine| f64::from(engine.memory_tokens));
    used_tokens(ledger) / memory.sum::<f64>()
}

/// An engine crashes while most memory is free: what ran on it has copies, in the other hall and on
/// more than one engine.
#[test]
fn place_copy_spare_memory_spread_over_other_engines() {
    let mut ledger = ledger_of(engines());
    let mut kept: BTreeMap<String, u32> = BTreeMap::new();
    let halls: BTreeMap<String, String> = engines()
        .into_iter()
        .map(|engine| (engine.id, engine.hall))
        .collect();
    let runs = 2 * ENGINES;
    for number in 0..runs {
        let placed = place(&mut ledger, &demand(&format!("r{number}")));
        let (engine, keeper) = placed.expect("room for it");
        let keeper = keeper.expect("memory to spare");
        assert_ne!(engine, keeper);
        if number == 0 {
            assert_ne!(halls[&engine], halls[&keeper], "another hall costs nothing");
        }
        *kept.entry(keeper).or_default() += 1;
    }
    let most = kept.values().max().expect("copies");
    assert!(*most <= 4, "twice an even share at most: {kept:?}");
}

/// The copies that were begun before a crowd came leave room for twice the generations that ran
/// then, and none is begun in the crowd.
#[test]
fn place_copy_crowd_no_copies_beyond_half() {
    let mut ledger = ledger_of(engines());
    let (mut running, mut running_at_last_copy) = (0, 0);
    while let Some((_, keeper)) = place(&mut ledger, &demand(&format!("r{running}"))) {
        running += 1;
        if keeper.is_some() {
            running_at_last_copy = running;
            assert!(fill(&ledger) <= 0.5, "{}", fill(&ledger));
        }
    }
    assert!(running_at_last_copy > 0, "none was begun");
    assert!(
        running >= 2 * running_at_last_copy,
        "{running} of {running_at_last_copy}"
    );
}

#[test]
fn place_copy_only_where_it_helps_and_is_taken() {
    let no_copy = |ledger: &mut EngineLedger, demand: &RunDemand| {
        let (_, keeper) = place(ledger, demand).expect("room for it");
        assert_eq!(keeper, None);
    };
    let may_run_again = RunDemand {
        wants_copy: false,
        ..demand("a")
    };
    no_copy(&mut ledger_of(engines()), &may_run_again);
    let short = RunDemand {
        generated_max_tokens: 20,
        ..demand("a")
    };
    no_copy(&mut ledger_of(engines()), &short);
    let without_copies = engines().into_iter().map(|engine| ListedEngine {
        supports_copies: false,
        ..engine
    });
    no_copy(&mut ledger_of(without_copies.collect()), &demand("a"));
}

/// Engines that leave, are closed, cool down, are unreachable or are outside the allowed regions
/// keep no copies.
#[test]
fn place_copy_unusable_engines_left_out() {
    let mut all = engines();
    all[1].leaving = true;
    all[2].closed = true;
    let mut ledger = ledger_of(all);
    ledger.apply_report("n", vec![], NOW);
    ledger.set_cooling_down("n", ["e3".to_owned()].into());
    ledger.record_unreachable("e4", NOW);
    let mut keepers = Vec::new();
    for number in 0..6 {
        let placed = place(&mut ledger, &demand(&format!("r{number}")));
        keepers.extend(placed.and_then(|(_, keeper)| keeper));
    }
    assert!(!keepers.is_empty());
    for unusable in ["e1", "e2", "e3", "e4"] {
        assert!(!keepers.contains(&unusable.to_owned()), "{keepers:?}");
    }
    let mut in_region = demand("region");
    in_region.requirements.regions = AllowedRegions::only(vec!["hall-1".to_owned()]);
    let placed = place(&mut ledger_of(engines()), &in_region).expect("room for it");
    let number = |id: &str| id[1..].parse::<usize>().expect("a number");
    assert_eq!(number(&placed.0) % 2, 1);
    assert_eq!(placed.1.map(|keeper| number(&keeper) % 2), Some(1));
}

/// A copy counts until its generation ends, is moved, or goes on from the copy; a new owner learns
/// of it from the reports.
#[test]
fn copy_counted_until_it_no_longer_matters() {
    let mut ledger = ledger_of(engines());
    let (engine, keeper) = place(&mut ledger, &demand("r")).expect("room for it");
    let keeper = keeper.expect("memory to spare");
    let both = used_tokens(&ledger);
    let report = |endpoint: &str, copy_at: Option<&str>| ReportedRun {
        demand: demand("r"),
        endpoint: endpoint.to_owned(),
        copy_at: copy_at.map(str::to_owned),
        generated_tokens: 0,
    };
    let with_copy = report(&engine, Some(&keeper));
    let mut new_owner = ledger_of(engines());
    new_owner.apply_report("n", vec![with_copy.clone()], NOW);
    assert!((used_tokens(&new_owner) - both).abs() < 1.0);
    assert!(new_owner.summary()[&keeper].predicted_tokens > 3_000.0);
    assert_eq!(new_owner.summary()[&keeper].used_slots, 0);

    let order = MoveOrder {
        run: "r".to_owned(),
        entry: "n".to_owned(),
        source: engine,
        target: "e7".to_owned(),
        target_counted: false,
    };
    new_owner.record_move_result(&order, MoveResult::Copied, NOW);
    assert!((used_tokens(&new_owner) - both / 2.0).abs() < 1.0);

    ledger.apply_report("n", vec![with_copy], NOW);
    ledger.apply_report("n", vec![report(&keeper, None)], NOW);
    assert!((used_tokens(&ledger) - both / 2.0).abs() < 1.0);
    ledger.apply_report("n", vec![], NOW);
    assert!(used_tokens(&ledger) < 1.0);
}

/// The engine of a copy disappears from the list while the generation runs on.
#[test]
fn copy_at_unlisted_engine_nothing_left_behind() {
    let mut ledger = ledger_of(engines());
    let (_, keeper) = place(&mut ledger, &demand("r")).expect("room for it");
    let keeper = keeper.expect("memory to spare");
    let left = engines().into_iter().filter(|engine| engine.id != keeper);
    ledger.set_engines(left.collect());
    assert!(!ledger.summary().contains_key(&keeper));
    ledger.release("r");
    ledger.set_engines(engines());
    assert!(used_tokens(&ledger) < 1.0);
}
