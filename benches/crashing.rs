//! What a request that ends its engines costs, and whom the ways to find it refuse in error: `cargo bench --bench crashing`.
//!
//! Simulated time; the kernel decides on engines and on contents, by what one instance knows at once. Twelve engines of 34,000 tokens that are back 3 s
//! after an end; eleven generations a second, two in five of which run for some 7 s and the others for 0.4 s; what runs begins 0.2 s after it is placed, and
//! the crashing one ends its engine 0.06 s later and comes again every 1.2 s. Who is cut comes back once, three times for every third caller. Each
//! row is the mean of the seeds.

use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::time::{Duration, Instant};

use larkwick::kernel::crash_suspects::{
    CrashSuspects, EndpointCrash, RefusalRules, START_WINDOW, Verdict,
};
use larkwick::kernel::engine_ledger::{EngineLedger, ListedEngine, ReportedRun, RunDemand};
use larkwick::kernel::fingerprint::{FingerprintHead, HeadHash, RequestFingerprint};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
const LASTS: Duration = Duration::from_secs(30);
const ENGINES: usize = 12;
const BACK_AFTER: Duration = Duration::from_secs(3);
const BEGINS_AFTER: Duration = Duration::from_millis(200);
const CRASHES_AFTER: Duration = Duration::from_millis(60);
const REPORTED_EVERY: u32 = 10;
const SEEDS: u64 = 40;
const CRASHING: u128 = 0;
/// Tokens that a generation makes in a second.
const TOKENS_PER_S: f64 = 64.0;

/// What befalls the engines.
#[derive(Clone, Copy)]
struct Day {
    name: &'static str,
    /// Time between two tries of the crashing request; nothing where none comes.
    crashing_every_s: Option<f64>,
    /// Ends of engines for reasons of their own, a second.
    own_ends_per_s: f64,
    /// Share of the generations that are one of ten contents.
    equal_share: f64,
}

/// How contents are counted and placed.
#[derive(Clone, Copy)]
struct Way {
    name: &'static str,
    rules: RefusalRules,
    /// Whether a suspected one runs beside as few as there are, and nothing new begins beside it.
    apart: bool,
}

#[derive(Default, Clone, Copy)]
struct Outcome {
    ended: f64,
    cut: f64,
    refused_in_error: f64,
    no_room: f64,
    served: f64,
}

#[derive(Clone)]
struct Run {
    demand: RunDemand,
    content: u128,
    engine: String,
    placed_at: Duration,
    ends_at: Duration,
    comes_back: u32,
}

struct Arrival {
    at: Duration,
    content: u128,
    runs_for: Duration,
    prompt_tokens: u32,
    comes_back: u32,
}

struct Simulation {
    day: Day,
    way: Way,
    random: SmallRng,
    now: Duration,
    ledger: EngineLedger,
    suspects: CrashSuspects,
    /// Engines and when they are there.
    engines: BTreeMap<String, Duration>,
    runs: HashMap<String, Run>,
    arrivals: Vec<Arrival>,
    /// Engines on which a suspected one begins, and until when.
    apart_until: HashMap<String, Duration>,
    named: u64,
    outcome: Outcome,
}

fn content(number: u128) -> RequestFingerprint {
    RequestFingerprint {
        head: HeadHash(0),
        full: number,
    }
}

impl Simulation {
    fn new(day: Day, way: Way, seed: u64) -> Self {
        let mut simulation = Self {
            day,
            way,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            ledger: EngineLedger::for_instance("n1"),
            suspects: CrashSuspects::with_rules(way.rules),
            engines: BTreeMap::new(),
            runs: HashMap::new(),
            arrivals: Vec::new(),
            apart_until: HashMap::new(),
            named: 0,
            outcome: Outcome::default(),
        };
        for _ in 0..ENGINES {
            simulation.start_engine(Duration::ZERO);
        }
        simulation
    }

    fn name(&mut self) -> u64 {
        self.named += 1;
        self.named
    }

    fn start_engine(&mut self, at: Duration) {
        let name = format!("e{}", self.name());
        self.engines.insert(name, at);
    }

    fn list_engines(&mut self) {
        let there = self.engines.iter().filter(|(_, at)| **at <= self.now);
        let entries = there.map(|(id, _)| ListedEngine {
            id: id.clone(),
            hall: "h".to_owned(),
            slots: 24,
            memory_tokens: 34_000,
            leaving: false,
            closed: false,
            supports_migration: false,
            cold: None,
            limit: None,
        });
        self.ledger.set_engines(entries.collect());
    }

    fn play(mut self) -> Outcome {
        let mut steps: u32 = 0;
        while self.now < LASTS {
            self.now += STEP;
            steps += 1;
            self.list_engines();
            self.come();
            self.run_on();
            if steps.is_multiple_of(REPORTED_EVERY) {
                self.report();
                self.ledger.expire(self.now);
            }
        }
        self.outcome
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.random
            .random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn come(&mut self) {
        if self.happens(11.0) {
            let is_long = self.random.random_bool(0.42);
            let runs_s = if is_long { 7.0 } else { 0.4 };
            let equal = self.random.random_bool(self.day.equal_share);
            let content = if equal {
                u128::from(self.random.random_range(1..=10_u32))
            } else {
                u128::from(1_000 + self.name())
            };
            let arrival = Arrival {
                at: self.now,
                content,
                runs_for: Duration::from_secs_f64(runs_s * self.random.random_range(0.5..1.5)),
                prompt_tokens: if is_long { 3_000 } else { 2_200 },
                comes_back: if self.random.random_bool(0.33) { 3 } else { 1 },
            };
            self.arrivals.push(arrival);
        }
        if let Some(every_s) = self.day.crashing_every_s
            && self.happens(1.0 / every_s)
        {
            self.arrivals.push(Arrival {
                at: self.now,
                content: CRASHING,
                runs_for: Duration::from_secs(1),
                prompt_tokens: 2_200,
                comes_back: 1,
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
        let verdict = self.suspects.verdict(content(arrival.content), self.now);
        if verdict == Verdict::Refused {
            self.outcome.refused_in_error += f64::from(u8::from(arrival.content != CRASHING));
            return;
        }
        let apart = self.way.apart && verdict == Verdict::Suspected;
        let excluded = self.excluded(apart);
        let name = format!("r{}", self.name());
        let demand = RunDemand {
            run: name.clone(),
            prompt_tokens: arrival.prompt_tokens,
            generated_max_tokens: 600,
            generated_hint_tokens: Some(arrival.runs_for.as_secs_f64() * TOKENS_PER_S),
            priority: 1,
        };
        let granted = self.ledger.place(&demand, "n1", &excluded, self.now);
        let granted = granted.or_else(|| self.ledger.place(&demand, "n1", &[], self.now));
        let Some(engine) = granted else {
            self.outcome.no_room += f64::from(u8::from(arrival.content != CRASHING));
            return;
        };
        if apart {
            let until = self.now + BEGINS_AFTER + CRASHES_AFTER * 2;
            self.apart_until.insert(engine.clone(), until);
        }
        let run = Run {
            demand,
            content: arrival.content,
            engine,
            placed_at: self.now,
            ends_at: self.now + BEGINS_AFTER + arrival.runs_for,
            comes_back: arrival.comes_back,
        };
        self.runs.insert(name, run);
    }

    /// Engines that one generation is not placed on: those where a suspected one begins; for a suspected one, all but the emptiest.
    fn excluded(&self, apart: bool) -> Vec<String> {
        if !self.way.apart {
            return Vec::new();
        }
        let taken = |id: &String| {
            let until = self.apart_until.get(id);
            until.is_some_and(|until| self.now < *until)
        };
        let there = self.engines.iter();
        let there = there.filter(|(id, at)| **at <= self.now && !taken(id));
        let beside = |id: &String| self.runs.values().filter(|run| run.engine == *id).count();
        let emptiest = there.map(|(id, _)| id).min_by_key(|id| beside(id));
        let all = self.engines.keys();
        let excluded = all.filter(|id| taken(id) || apart && Some(*id) != emptiest);
        excluded.cloned().collect()
    }

    fn run_on(&mut self) {
        let now = self.now;
        let mut ended: Vec<String> = Vec::new();
        let mut done = Vec::new();
        for (name, run) in &self.runs {
            let began_at = run.placed_at + BEGINS_AFTER;
            if run.content == CRASHING && now >= began_at + CRASHES_AFTER {
                ended.push(run.engine.clone());
            } else if now >= run.ends_at {
                done.push(name.clone());
            }
            if now >= began_at + START_WINDOW {
                self.suspects
                    .record_ran_past_start(content(run.content), now);
            }
        }
        for name in done {
            let run = self.runs.remove(&name);
            if let Some(run) = run.filter(|run| run.content != CRASHING) {
                self.outcome.served += 1.0;
                self.suspects.record_survival(content(run.content), 0, now);
            }
        }
        if self.happens(self.day.own_ends_per_s) {
            let there: Vec<&String> = self.engines.keys().collect();
            let place = self.random.random_range(0..there.len());
            ended.push(there[place].clone());
        }
        ended.sort();
        ended.dedup();
        for engine in ended {
            self.end_engine(&engine);
        }
    }

    fn end_engine(&mut self, engine: &str) {
        if self.engines.remove(engine).is_none() {
            return;
        }
        self.outcome.ended += 1.0;
        let back_at = self.now + BACK_AFTER;
        self.start_engine(back_at);
        let on_it = |run: &Run| run.engine == engine;
        let cut: Vec<String> = self
            .runs
            .iter()
            .filter(|(_, run)| on_it(run))
            .map(|(name, _)| name.clone())
            .collect();
        for name in cut {
            let Some(run) = self.runs.remove(&name) else {
                continue;
            };
            self.ledger.release(&name);
            let ran_for = self.now.saturating_sub(run.placed_at + BEGINS_AFTER);
            let end = EndpointCrash {
                endpoint: larkwick::kernel::crash_suspects::short_hash(engine),
                software: 0,
                at_start: ran_for < START_WINDOW,
            };
            self.suspects
                .record_crash(content(run.content), end, self.now);
            self.outcome.cut += f64::from(u8::from(run.content != CRASHING));
            if run.comes_back > 0 {
                self.arrivals.push(Arrival {
                    at: self.now + Duration::from_millis(50),
                    content: run.content,
                    runs_for: run.ends_at.saturating_sub(run.placed_at + BEGINS_AFTER),
                    prompt_tokens: run.demand.prompt_tokens,
                    comes_back: run.comes_back - 1,
                });
            }
        }
        self.list_engines();
    }

    fn report(&mut self) {
        let runs = self.runs.values().map(|run| {
            let made_s = self.now.saturating_sub(run.placed_at + BEGINS_AFTER);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a few hundred tokens"
            )]
            let generated_tokens = (made_s.as_secs_f64() * TOKENS_PER_S) as u32;
            ReportedRun {
                demand: run.demand.clone(),
                endpoint: run.engine.clone(),
                generated_tokens,
            }
        });
        let runs = runs.collect();
        self.ledger.apply_report("n1", runs, self.now);
    }
}

/// What it takes to name a content, by the length of its body.
fn naming() {
    const TIMES: u32 = 200;
    let head = FingerprintHead {
        method: "POST",
        host: "site.example",
        path: "/chat/1",
        account: Some("account-1"),
        body_bytes: 3_000,
    };
    let begun = Instant::now();
    for _ in 0..TIMES {
        black_box(black_box(&head).hash());
    }
    println!("head: {:.2?}", begun.elapsed() / TIMES);
    for bytes in [3_000, 4 << 20] {
        let body = vec![7_u8; bytes];
        let begun = Instant::now();
        for _ in 0..TIMES {
            black_box(head.hash().with_body(black_box(&body)));
        }
        println!(
            "head and body of {bytes} bytes: {:.2?}",
            begun.elapsed() / TIMES
        );
    }
}

fn main() {
    naming();
    let usual = RefusalRules::default();
    let never = RefusalRules {
        refuse_at_points: u32::MAX,
        ..usual
    };
    let each_alike = RefusalRules {
        points_later: usual.points_at_start,
        ..usual
    };
    let two_ends = RefusalRules {
        refuse_at_points: usual.points_at_start * 2,
        ..usual
    };
    let way = |name, rules, apart| Way { name, rules, apart };
    let ways = [
        way("never refused", never, false),
        way("each end alike, 3", each_alike, false),
        way("beginnings in full, 2", two_ends, false),
        way("beginnings in full, 3", usual, false),
        way("the same, apart", usual, true),
    ];
    let day = |name, crashing_every_s, own_ends_per_s, equal_share| Day {
        name,
        crashing_every_s,
        own_ends_per_s,
        equal_share,
    };
    let days = [
        day("crashing request", Some(1.2), 0.0, 0.0),
        day("crashing, equal requests", Some(1.2), 0.0, 0.67),
        day("own ends, equal requests", None, 1.0, 0.67),
        day("own ends, all apart", None, 1.0, 0.0),
        day("crashing and own ends, equal", Some(1.2), 1.0, 0.67),
    ];
    println!(
        "{:30} {:24} {:>7} {:>7} {:>9} {:>8} {:>7}",
        "day", "way", "ended", "cut", "in error", "no room", "served"
    );
    for day in days {
        for way in ways {
            let played = (0..SEEDS).map(|seed| Simulation::new(day, way, seed).play());
            let sum = played.fold(Outcome::default(), |sum, one| Outcome {
                ended: sum.ended + one.ended,
                cut: sum.cut + one.cut,
                refused_in_error: sum.refused_in_error + one.refused_in_error,
                no_room: sum.no_room + one.no_room,
                served: sum.served + one.served,
            });
            #[expect(clippy::cast_precision_loss, reason = "a few seeds")]
            let mean = |total: f64| total / SEEDS as f64;
            println!(
                "{:30} {:24} {:7.2} {:7.1} {:9.2} {:8.1} {:7.1}",
                day.name,
                way.name,
                mean(sum.ended),
                mean(sum.cut),
                mean(sum.refused_in_error),
                mean(sum.no_room),
                mean(sum.served)
            );
        }
    }
}
