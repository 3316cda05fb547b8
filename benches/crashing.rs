//! Measures the cost of a request that crashes its engines, and how many other requests each
//! detection strategy wrongly refuses: `cargo bench --bench crashing`.
//!
//! Runs in simulated time. The kernel selects the engines and refuses fingerprints; a single
//! instance knows of every event at once. Twelve engines with a KV-cache capacity of 34,000 tokens
//! are back 3 s after a crash. Eleven generations arrive per second: two in five run for about
//! 7 s, the others for 0.4 s. A generation starts 0.2 s after it is placed. The crashing one crashes
//! its engine 0.06 s after its start, and arrives about every 1.2 s. The caller of an aborted
//! generation retries once, every third caller three times. Each row is the mean over the seeds.

use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::time::{Duration, Instant};

use larkwick::kernel::crash_suspects::{
    CrashSuspects, EndpointCrash, RefusalRules, START_WINDOW, Verdict,
};
use larkwick::kernel::engine_ledger::{EngineLedger, ListedEngine, ReportedRun, RunDemand};
use larkwick::kernel::fingerprint::{Fingerprint, FingerprintHead, HeadHash};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const SIMULATED_TIME: Duration = Duration::from_secs(30);
const ENGINES: usize = 12;
const RESTART_TIME: Duration = Duration::from_secs(3);
const START_DELAY: Duration = Duration::from_millis(200);
const CRASH_DELAY: Duration = Duration::from_millis(60);
const REPORT_INTERVAL_STEPS: u32 = 10;
const SEEDS: u64 = 40;
const CRASHING_FINGERPRINT: u128 = 0;
/// Token rate of each generation.
const TOKENS_PER_S: f64 = 64.0;

/// The load and the engine crashes of one simulation.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Mean time between arrivals of the crashing request; `None` if it never arrives.
    crashing_interval_s: Option<f64>,
    /// Engine crashes per second that no request causes.
    unrelated_crashes_per_s: f64,
    /// Share of the generations that have one of ten common fingerprints.
    common_share: f64,
}

/// How crashes are scored against fingerprints, and where suspected ones are placed.
#[derive(Clone, Copy)]
struct Strategy {
    name: &'static str,
    rules: RefusalRules,
    /// Places a suspected request on the engine with the fewest runs, and starts no other run there
    /// until it has started.
    isolate_suspects: bool,
}

#[derive(Default, Clone, Copy)]
struct Outcome {
    crashed: f64,
    aborted: f64,
    wrongly_refused: f64,
    no_capacity: f64,
    served: f64,
}

#[derive(Clone)]
struct Run {
    demand: RunDemand,
    fingerprint: u128,
    engine: String,
    placed_at: Duration,
    ends_at: Duration,
    retries: u32,
}

struct Arrival {
    at: Duration,
    fingerprint: u128,
    run_time: Duration,
    prompt_tokens: u32,
    retries: u32,
}

struct Simulation {
    scenario: Scenario,
    strategy: Strategy,
    random: SmallRng,
    now: Duration,
    ledger: EngineLedger,
    suspects: CrashSuspects,
    /// Engine ids and the time from which each engine is available.
    engines: BTreeMap<String, Duration>,
    runs: HashMap<String, Run>,
    arrivals: Vec<Arrival>,
    /// Engines on which a suspected request is starting, and until when they are isolated.
    isolated_until: HashMap<String, Duration>,
    last_id: u64,
    outcome: Outcome,
}

fn request_fingerprint(number: u128) -> Fingerprint {
    Fingerprint {
        head: HeadHash(0),
        full: number,
    }
}

impl Simulation {
    fn new(scenario: Scenario, strategy: Strategy, seed: u64) -> Self {
        let mut simulation = Self {
            scenario,
            strategy,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            ledger: EngineLedger::for_instance("n1"),
            suspects: CrashSuspects::with_rules(strategy.rules),
            engines: BTreeMap::new(),
            runs: HashMap::new(),
            arrivals: Vec::new(),
            isolated_until: HashMap::new(),
            last_id: 0,
            outcome: Outcome::default(),
        };
        for _ in 0..ENGINES {
            simulation.start_engine(Duration::ZERO);
        }
        simulation
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn start_engine(&mut self, at: Duration) {
        let name = format!("e{}", self.next_id());
        self.engines.insert(name, at);
    }

    fn list_engines(&mut self) {
        let available = self.engines.iter().filter(|(_, at)| **at <= self.now);
        let entries = available.map(|(id, _)| ListedEngine {
            id: id.clone(),
            hall: "h".to_owned(),
            region: String::new(),
            version: None,
            slots: 24,
            memory_tokens: 34_000,
            leaving: false,
            closed: false,
            ..ListedEngine::default()
        });
        self.ledger.set_engines(entries.collect());
    }

    fn run(mut self) -> Outcome {
        let mut steps: u32 = 0;
        while self.now < SIMULATED_TIME {
            self.now += STEP;
            steps += 1;
            self.list_engines();
            self.handle_arrivals();
            self.advance_runs();
            if steps.is_multiple_of(REPORT_INTERVAL_STEPS) {
                self.report();
                self.ledger.expire(self.now);
            }
        }
        self.outcome
    }

    fn occurs(&mut self, per_s: f64) -> bool {
        self.random
            .random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn handle_arrivals(&mut self) {
        if self.occurs(11.0) {
            let is_long = self.random.random_bool(0.42);
            let mean_run_time_s = if is_long { 7.0 } else { 0.4 };
            let is_common = self.random.random_bool(self.scenario.common_share);
            let fingerprint = if is_common {
                u128::from(self.random.random_range(1..=10_u32))
            } else {
                u128::from(1_000 + self.next_id())
            };
            let arrival = Arrival {
                at: self.now,
                fingerprint,
                run_time: Duration::from_secs_f64(
                    mean_run_time_s * self.random.random_range(0.5..1.5),
                ),
                prompt_tokens: if is_long { 3_000 } else { 2_200 },
                retries: if self.random.random_bool(0.33) { 3 } else { 1 },
            };
            self.arrivals.push(arrival);
        }
        if let Some(interval_s) = self.scenario.crashing_interval_s
            && self.occurs(1.0 / interval_s)
        {
            self.arrivals.push(Arrival {
                at: self.now,
                fingerprint: CRASHING_FINGERPRINT,
                run_time: Duration::from_secs(1),
                prompt_tokens: 2_200,
                retries: 1,
            });
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.arrivals)
            .into_iter()
            .partition(|arrival| arrival.at <= now);
        self.arrivals = later;
        for arrival in due {
            self.place(&arrival);
        }
    }

    fn place(&mut self, arrival: &Arrival) {
        let verdict = self
            .suspects
            .verdict(&[request_fingerprint(arrival.fingerprint)], self.now);
        if verdict == Verdict::Refused {
            self.outcome.wrongly_refused +=
                f64::from(u8::from(arrival.fingerprint != CRASHING_FINGERPRINT));
            return;
        }
        let isolate = self.strategy.isolate_suspects && verdict == Verdict::Suspected;
        let excluded = self.excluded(isolate);
        let name = format!("r{}", self.next_id());
        let demand = RunDemand {
            run: name.clone(),
            prompt_tokens: arrival.prompt_tokens,
            generated_max_tokens: 600,
            generated_hint_tokens: Some(arrival.run_time.as_secs_f64() * TOKENS_PER_S),
            priority: 1,
            ..RunDemand::default()
        };
        let granted = self.ledger.place(&demand, "n1", &excluded, self.now);
        let granted = granted.or_else(|| self.ledger.place(&demand, "n1", &[], self.now));
        let Some(engine) = granted else {
            self.outcome.no_capacity +=
                f64::from(u8::from(arrival.fingerprint != CRASHING_FINGERPRINT));
            return;
        };
        if isolate {
            let until = self.now + START_DELAY + CRASH_DELAY * 2;
            self.isolated_until.insert(engine.clone(), until);
        }
        let run = Run {
            demand,
            fingerprint: arrival.fingerprint,
            engine,
            placed_at: self.now,
            ends_at: self.now + START_DELAY + arrival.run_time,
            retries: arrival.retries,
        };
        self.runs.insert(name, run);
    }

    /// Returns the engines on which a generation may not be placed: those on which a suspected
    /// request is starting, and for a suspected request all but the one with the fewest runs.
    fn excluded(&self, isolate: bool) -> Vec<String> {
        if !self.strategy.isolate_suspects {
            return Vec::new();
        }
        let is_isolated = |id: &String| {
            let until = self.isolated_until.get(id);
            until.is_some_and(|until| self.now < *until)
        };
        let available = self.engines.iter();
        let available = available.filter(|(id, at)| **at <= self.now && !is_isolated(id));
        let run_count = |id: &String| self.runs.values().filter(|run| run.engine == *id).count();
        let least_loaded = available.map(|(id, _)| id).min_by_key(|id| run_count(id));
        let all = self.engines.keys();
        let excluded = all.filter(|id| is_isolated(id) || isolate && Some(*id) != least_loaded);
        excluded.cloned().collect()
    }

    fn advance_runs(&mut self) {
        let now = self.now;
        let mut crashed: Vec<String> = Vec::new();
        let mut finished = Vec::new();
        for (name, run) in &self.runs {
            let started_at = run.placed_at + START_DELAY;
            if run.fingerprint == CRASHING_FINGERPRINT && now >= started_at + CRASH_DELAY {
                crashed.push(run.engine.clone());
            } else if now >= run.ends_at {
                finished.push(name.clone());
            }
            if now >= started_at + START_WINDOW {
                self.suspects
                    .record_ran_past_start(request_fingerprint(run.fingerprint), now);
            }
        }
        for name in finished {
            let run = self.runs.remove(&name);
            if let Some(run) = run.filter(|run| run.fingerprint != CRASHING_FINGERPRINT) {
                self.outcome.served += 1.0;
                self.suspects
                    .record_survival(request_fingerprint(run.fingerprint), 0, now);
            }
        }
        if self.occurs(self.scenario.unrelated_crashes_per_s) {
            let available: Vec<&String> = self.engines.keys().collect();
            let index = self.random.random_range(0..available.len());
            crashed.push(available[index].clone());
        }
        crashed.sort();
        crashed.dedup();
        for engine in crashed {
            self.crash_engine(&engine);
        }
    }

    fn crash_engine(&mut self, engine: &str) {
        if self.engines.remove(engine).is_none() {
            return;
        }
        self.outcome.crashed += 1.0;
        let restarted_at = self.now + RESTART_TIME;
        self.start_engine(restarted_at);
        let runs_on_engine = |run: &Run| run.engine == engine;
        let aborted: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| runs_on_engine(run))
            .map(|(name, _)| name.clone())
            .collect();
        for name in aborted {
            let Some(run) = self.runs.remove(&name) else {
                continue;
            };
            self.ledger.release(&name);
            let ran_for = self.now.saturating_sub(run.placed_at + START_DELAY);
            let crash = EndpointCrash {
                endpoint: larkwick::kernel::fingerprint::short_hash(engine),
                software: 0,
                at_start: ran_for < START_WINDOW,
            };
            self.suspects
                .record_crash(request_fingerprint(run.fingerprint), crash, self.now);
            self.outcome.aborted += f64::from(u8::from(run.fingerprint != CRASHING_FINGERPRINT));
            if run.retries > 0 {
                self.arrivals.push(Arrival {
                    at: self.now + Duration::from_millis(50),
                    fingerprint: run.fingerprint,
                    run_time: run.ends_at.saturating_sub(run.placed_at + START_DELAY),
                    prompt_tokens: run.demand.prompt_tokens,
                    retries: run.retries - 1,
                });
            }
        }
        self.list_engines();
    }

    fn report(&mut self) {
        let runs = self.runs.values().map(|run| {
            let generating_s = self.now.saturating_sub(run.placed_at + START_DELAY);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a few hundred tokens"
            )]
            let generated_tokens = (generating_s.as_secs_f64() * TOKENS_PER_S) as u32;
            ReportedRun {
                demand: run.demand.clone(),
                endpoint: run.engine.clone(),
                copy_at: None,
                generated_tokens,
            }
        });
        let runs = runs.collect();
        self.ledger.apply_report("n1", runs, self.now);
    }
}

/// Prints the time to compute a request fingerprint, for two body lengths.
fn time_fingerprints() {
    const ITERATIONS: u32 = 200;
    let head = FingerprintHead {
        method: "POST",
        host: "site.example",
        path: "/chat/1",
        account: Some("account-1"),
        body_bytes: 3_000,
    };
    let started = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(black_box(&head).hash());
    }
    println!("head: {:.2?}", started.elapsed() / ITERATIONS);
    for bytes in [3_000, 4 << 20] {
        let body = vec![7_u8; bytes];
        let started = Instant::now();
        for _ in 0..ITERATIONS {
            black_box(head.hash().with_body(black_box(&body)));
        }
        println!(
            "head and body of {bytes} bytes: {:.2?}",
            started.elapsed() / ITERATIONS
        );
    }
}

fn main() {
    time_fingerprints();
    let default_rules = RefusalRules::default();
    let never_refuse = RefusalRules {
        refuse_at_points: u32::MAX,
        ..default_rules
    };
    let equal_points = RefusalRules {
        points_later: default_rules.points_at_start,
        ..default_rules
    };
    let two_crashes = RefusalRules {
        refuse_at_points: default_rules.points_at_start * 2,
        ..default_rules
    };
    let strategy = |name, rules, isolate_suspects| Strategy {
        name,
        rules,
        isolate_suspects,
    };
    let strategies = [
        strategy("never refused", never_refuse, false),
        strategy("each end alike, 3", equal_points, false),
        strategy("beginnings in full, 2", two_crashes, false),
        strategy("beginnings in full, 3", default_rules, false),
        strategy("the same, apart", default_rules, true),
    ];
    let scenario = |name, crashing_interval_s, unrelated_crashes_per_s, common_share| Scenario {
        name,
        crashing_interval_s,
        unrelated_crashes_per_s,
        common_share,
    };
    let scenarios = [
        scenario("crashing request", Some(1.2), 0.0, 0.0),
        scenario("crashing, equal requests", Some(1.2), 0.0, 0.67),
        scenario("own ends, equal requests", None, 1.0, 0.67),
        scenario("own ends, all apart", None, 1.0, 0.0),
        scenario("crashing and own ends, equal", Some(1.2), 1.0, 0.67),
    ];
    println!(
        "{:30} {:24} {:>7} {:>7} {:>9} {:>8} {:>7}",
        "day", "way", "ended", "cut", "in error", "no room", "served"
    );
    for scenario in scenarios {
        for strategy in strategies {
            let outcomes = (0..SEEDS).map(|seed| Simulation::new(scenario, strategy, seed).run());
            let sum = outcomes.fold(Outcome::default(), |sum, one| Outcome {
                crashed: sum.crashed + one.crashed,
                aborted: sum.aborted + one.aborted,
                wrongly_refused: sum.wrongly_refused + one.wrongly_refused,
                no_capacity: sum.no_capacity + one.no_capacity,
                served: sum.served + one.served,
            });
            #[expect(clippy::cast_precision_loss, reason = "a few seeds")]
            let mean = |total: f64| total / SEEDS as f64;
            println!(
                "{:30} {:24} {:7.2} {:7.1} {:9.2} {:8.1} {:7.1}",
                scenario.name,
                strategy.name,
                mean(sum.crashed),
                mean(sum.aborted),
                mean(sum.wrongly_refused),
                mean(sum.no_capacity),
                mean(sum.served)
            );
        }
    }
}
