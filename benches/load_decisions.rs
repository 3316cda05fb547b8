//! Time of the decisions under load at 60 and at 12,000 engines, for docs/CAPACITY.md:
//! `cargo bench --bench load_decisions`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use larkwick::kernel::admission_queue::{AdmissionPolicy, AdmissionQueue, AdmissionRequest};
use larkwick::kernel::engine_ledger::{
    EngineLedger, ListedEngine, PacePolicy, ReportedRun, RunDemand,
};
use larkwick::kernel::fair_shares::AccountWeights;
use larkwick::kernel::move_schedule::CopyLink;
use larkwick::kernel::pause_counts::{EnginePauses, PauseCounts};
use larkwick::kernel::room_reserve::ReservePolicy;

const RUNS_PER_ENGINE: usize = 7;
const WAITING: usize = 500;
const NOW: Duration = Duration::from_secs(100);
const LINK: CopyLink = CopyLink {
    token_bytes: 327_680,
    link_mbps: 47_000.0,
};

fn main() {
    println!(
        "| engines | place, us | pass over {WAITING} waiting, ms | plan moves, ms | pauses of an engine, us |"
    );
    println!("|---:|---:|---:|---:|---:|");
    for engines in [60, 12_000] {
        measure(engines);
    }
}

fn demand(run: String, account: usize) -> RunDemand {
    RunDemand {
        run,
        prompt_tokens: 3_000,
        generated_max_tokens: 2_000,
        generated_hint_tokens: Some(750.0),
        account: Some(format!("account-{account}")),
        pause_max: Some(Duration::from_millis(180)),
        priority: 10,
        ..RunDemand::default()
    }
}

/// Returns a ledger whose engines are full but for one generation; one in six leaves.
fn full_ledger(engines: usize) -> EngineLedger {
    let mut ledger = EngineLedger::default();
    ledger.set_pace_policy(PacePolicy {
        is_enabled: true,
        event_tokens: 4,
    });
    let listed = (0..engines).map(|number| ListedEngine {
        id: format!("e{number}"),
        slots: 24,
        memory_tokens: 27_000,
        leaving: number % 6 == 0,
        leaves_at: (number % 6 == 0).then_some(NOW + Duration::from_secs(1)),
        supports_migration: true,
        ..ListedEngine::default()
    });
    ledger.set_engines(listed.collect());
    let runs = (0..engines * RUNS_PER_ENGINE).map(|number| ReportedRun {
        demand: demand(format!("r{number}"), number % 24),
        endpoint: format!("e{}", number % engines),
        copy_at: None,
        generated_tokens: 300,
    });
    ledger.apply_report("n", runs.collect(), NOW);
    for number in 0..engines {
        ledger.apply_pauses(&[pauses(number)], NOW);
    }
    ledger.refresh_paces(NOW);
    ledger
}

fn pauses(engine: usize) -> EnginePauses {
    let mut counts = PauseCounts::default();
    counts.add(Duration::from_millis(30), 40);
    counts.add(Duration::from_millis(60), 10);
    EnginePauses {
        endpoint: format!("e{engine}"),
        pauses: counts,
    }
}

fn queue() -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    queue.set_policy(AdmissionPolicy {
        shares: Some(AccountWeights::default()),
        reserve: ReservePolicy {
            for_urgent: true,
            for_moves: true,
        },
        wait_past_objective: true,
        shorter_first: false,
    });
    queue
}

fn measure(engines: usize) {
    let mut ledger = full_ledger(engines);
    let place_us = mean_us(100, |index| {
        let demand = demand(format!("new{index}"), 0);
        black_box(ledger.place(&demand, "n", &[], NOW));
        ledger.release(&demand.run);
    });
    let mut queue = queue();
    for number in 0..WAITING {
        let request = AdmissionRequest {
            demand: demand(format!("w{number}"), number % 24),
            entry: "n".to_owned(),
            excluded: Vec::new(),
            objective_at: NOW + Duration::from_secs(4),
            deadline: NOW + Duration::from_secs(16),
        };
        queue.request_admission(&mut ledger, request, NOW);
    }
    let pass_us = mean_us(3, |_| {
        black_box(queue.admit_waiting(&mut ledger, NOW));
    });
    let plan_us = mean_us(1, |_| {
        black_box(ledger.plan_scheduled_moves(LINK, NOW));
    });
    let pauses_us = mean_us(1_000, |index| {
        let engine = usize::try_from(index).unwrap_or_default() % engines;
        black_box(ledger.apply_pauses(&[pauses(engine)], NOW));
    });
    println!(
        "| {engines} | {place_us:.0} | {:.1} | {:.1} | {pauses_us:.1} |",
        pass_us / 1e3,
        plan_us / 1e3
    );
}

/// Returns the mean time of one call, in microseconds.
fn mean_us(iterations: u32, mut call: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    for index in 0..iterations {
        call(index);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}
