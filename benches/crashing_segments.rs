//! Measures what a prompt segment that crashes engines costs, for several ways to count crashes:
//! `cargo bench --bench crashing_segments`.
//!
//! Runs in simulated time: twelve engines that are back 3 s after a crash, six instances that
//! exchange what they know at an interval, eleven sound generations a second with the segments of
//! two routes (one of 8 and one of 43; one of 40 and one of 1,780), and bad ones with a sound first
//! segment, the crashing one, and one of their own. A bad one crashes its engine 0.12 s after it
//! began. The caller of a broken generation retries once. Each row is the mean over the seeds.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use larkwick::kernel::crash_suspects::{CrashSuspects, EndpointCrash, Verdict};
use larkwick::kernel::fingerprint::{Fingerprint, FingerprintHead, HeadHash};
use larkwick::kernel::prompt_segments::SegmentId;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const STEP: Duration = Duration::from_millis(20);
const SIMULATED_TIME: Duration = Duration::from_secs(30);
/// Time from which bad requests come; sound ones have finished by then, unless it is zero.
const BAD_FROM: Duration = Duration::from_secs(5);
const ENGINES: usize = 12;
const INSTANCES: usize = 6;
const SEEDS: u64 = 30;
const RESTART_TIME: Duration = Duration::from_secs(3);
const CRASH_DELAY: Duration = Duration::from_millis(120);
/// `touch-ms`: what is sent later than this after the fifth crash counts.
const TOUCH: Duration = Duration::from_secs(3);
const START_WINDOW: Duration = Duration::from_secs(1);
const SOUND_PER_S: f64 = 11.0;
const SOFTWARE: u64 = 1;
const BAD_SEGMENT: u64 = 1 << 40;

/// How crashes are counted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// By the whole request.
    Requests,
    /// By segments, each judged by its own crashes alone.
    EachSegment,
    /// By segments, where the one with the most crashes explains those of the others.
    Explained,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    bad_per_s: f64,
    /// Number of first segments of the bad requests.
    bad_first_segments: u64,
    /// Engine crashes per second that no request causes.
    own_crashes_per_s: f64,
    bad_from: Duration,
    news_interval: Duration,
}

/// What one instance knows: one ledger for all, or one for each fingerprint, so that none explains
/// the crashes of another.
#[derive(Default)]
struct Knowledge {
    ledgers: HashMap<Option<Fingerprint>, CrashSuspects>,
}

impl Knowledge {
    fn key(way: Way, fingerprint: Fingerprint) -> Option<Fingerprint> {
        (way == Way::EachSegment).then_some(fingerprint)
    }

    fn ledger(&mut self, way: Way, fingerprint: Fingerprint) -> &mut CrashSuspects {
        self.ledgers.entry(Self::key(way, fingerprint)).or_default()
    }

    fn refuses(&self, fingerprints: &[Fingerprint], now: Duration) -> bool {
        let mut ledgers = self.ledgers.values();
        ledgers.any(|ledger| ledger.verdict(fingerprints, now) == Verdict::Refused)
    }
}

#[derive(Clone)]
struct Run {
    fingerprints: Vec<Fingerprint>,
    is_bad: bool,
    retries: u32,
    duration: Duration,
    instance: usize,
    engine: usize,
    started_at: Duration,
}

#[derive(Default, Clone, Copy)]
struct Outcome {
    crashed: f64,
    late: f64,
    sound: f64,
    refused: f64,
    served: f64,
}

struct Simulation {
    scenario: Scenario,
    way: Way,
    random: SmallRng,
    now: Duration,
    /// Time from which each engine runs, and the number of its starts.
    engines: Vec<(Duration, u64)>,
    instances: Vec<Knowledge>,
    runs: Vec<Run>,
    retries: Vec<Run>,
    next_request: u64,
    bad_crashes: usize,
    fifth_crash_at: Option<Duration>,
    outcome: Outcome,
}

impl Simulation {
    fn new(scenario: Scenario, way: Way, seed: u64) -> Self {
        Self {
            scenario,
            way,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            engines: vec![(Duration::ZERO, 0); ENGINES],
            instances: (0..INSTANCES).map(|_| Knowledge::default()).collect(),
            runs: Vec::new(),
            retries: Vec::new(),
            next_request: 0,
            bad_crashes: 0,
            fifth_crash_at: None,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut news_at = Duration::ZERO;
        while self.now < SIMULATED_TIME {
            self.now += STEP;
            self.end_runs();
            self.record_survivals();
            for retry in std::mem::take(&mut self.retries) {
                self.send(retry);
            }
            self.receive_requests();
            self.crash_by_chance();
            if self.now >= news_at {
                news_at = self.now + self.scenario.news_interval;
                self.exchange_news();
            }
        }
        self.outcome
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.random
            .random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn receive_requests(&mut self) {
        if self.happens(SOUND_PER_S) {
            let is_long = self.random.random_bool(0.42);
            let (first, second) = if is_long {
                let first = self.random.random_range(0..8);
                (first, 1_000 + self.random.random_range(0..43))
            } else {
                let first = 100 + self.random.random_range(0..40);
                (first, 10_000 + self.random.random_range(0..1_780))
            };
            let duration = Duration::from_millis(if is_long { 7_000 } else { 400 });
            self.outcome.sound += 1.0;
            self.send_new(&[first, second], duration, false);
        }
        if self.now >= self.scenario.bad_from && self.happens(self.scenario.bad_per_s) {
            let first = self
                .random
                .random_range(0..self.scenario.bad_first_segments);
            self.send_new(&[100 + first, BAD_SEGMENT], CRASH_DELAY, true);
        }
    }

    fn send_new(&mut self, segments: &[u64], duration: Duration, is_bad: bool) {
        self.next_request += 1;
        let body = self.next_request.to_be_bytes();
        let head = FingerprintHead {
            method: "POST",
            host: "h",
            path: "/",
            account: None,
            body_bytes: body.len(),
        };
        let mut fingerprints = vec![head.hash().with_body(&body)];
        if self.way != Way::Requests {
            let head = HeadHash::of_segments("llm");
            fingerprints.extend(segments.iter().map(|id| head.with_segment(SegmentId(*id))));
        }
        self.send(Run {
            fingerprints,
            is_bad,
            retries: 1,
            duration,
            instance: 0,
            engine: 0,
            started_at: self.now,
        });
    }

    fn send(&mut self, mut run: Run) {
        run.instance = self.random.random_range(0..INSTANCES);
        if self.instances[run.instance].refuses(&run.fingerprints, self.now) {
            self.outcome.refused += f64::from(u8::from(!run.is_bad));
            return;
        }
        let alive: Vec<usize> = (0..ENGINES)
            .filter(|engine| self.engines[*engine].0 <= self.now)
            .collect();
        let load = |engine: usize| self.runs.iter().filter(|run| run.engine == engine).count();
        let Some(engine) = alive.into_iter().min_by_key(|engine| load(*engine)) else {
            return;
        };
        run.engine = engine;
        run.started_at = self.now;
        let counts_from = self.fifth_crash_at.map(|at| at + TOUCH);
        if run.is_bad && counts_from.is_some_and(|from| self.now > from) {
            self.outcome.late += 1.0;
        }
        self.runs.push(run);
    }

    /// Records what has run past its start, as for what has finished.
    fn record_survivals(&mut self) {
        let now = self.now;
        let past_start: Vec<Run> = self
            .runs
            .iter()
            .filter(|run| now == run.started_at + START_WINDOW + STEP)
            .cloned()
            .collect();
        for run in past_start {
            self.record_survival(&run);
        }
    }

    fn record_survival(&mut self, run: &Run) {
        for fingerprint in &run.fingerprints {
            let ledger = self.instances[run.instance].ledger(self.way, *fingerprint);
            ledger.record_survival(*fingerprint, SOFTWARE, self.now);
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ends = |run: &Run| now >= run.started_at + run.duration;
        let crashing: BTreeSet<usize> = self
            .runs
            .iter()
            .filter(|run| run.is_bad && ends(run))
            .map(|run| run.engine)
            .collect();
        for engine in crashing {
            self.bad_crashes += 1;
            self.outcome.crashed += 1.0;
            if self.bad_crashes == 5 {
                self.fifth_crash_at = Some(now);
            }
            self.crash(engine);
        }
        let (ended, running) = std::mem::take(&mut self.runs).into_iter().partition(ends);
        self.runs = running;
        let ended: Vec<Run> = ended;
        for run in ended {
            self.outcome.served += 1.0;
            self.record_survival(&run);
        }
    }

    fn crash(&mut self, engine: usize) {
        let (_, starts) = self.engines[engine];
        self.engines[engine] = (self.now + RESTART_TIME, starts + 1);
        let incarnation = u64::try_from(engine).expect("small") * 1_000 + starts;
        let (cut, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.engine == engine);
        self.runs = running;
        let cut: Vec<Run> = cut;
        for mut run in cut {
            let crash = EndpointCrash {
                endpoint: incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                software: SOFTWARE,
                at_start: self.now.saturating_sub(run.started_at) < START_WINDOW,
            };
            for fingerprint in &run.fingerprints {
                let ledger = self.instances[run.instance].ledger(self.way, *fingerprint);
                ledger.record_crash(*fingerprint, crash, self.now);
            }
            if run.retries > 0 {
                run.retries -= 1;
                self.retries.push(run);
            }
        }
    }

    fn crash_by_chance(&mut self) {
        if self.happens(self.scenario.own_crashes_per_s) {
            let engine = self.random.random_range(0..ENGINES);
            if self.engines[engine].0 <= self.now {
                self.crash(engine);
            }
        }
    }

    fn exchange_news(&mut self) {
        let reports: Vec<_> = self
            .instances
            .iter()
            .flat_map(|instance| instance.ledgers.values())
            .flat_map(|ledger| ledger.recent_updates(self.now))
            .collect();
        for instance in &mut self.instances {
            for report in &reports {
                let ledger = instance.ledger(self.way, report.fingerprint);
                ledger.merge(report, self.now);
            }
        }
    }
}

fn main() {
    let base = Scenario {
        name: "bad 1.4 a second",
        bad_per_s: 1.4,
        bad_first_segments: 40,
        own_crashes_per_s: 0.0,
        bad_from: BAD_FROM,
        news_interval: Duration::from_millis(250),
    };
    let scenarios = [
        base,
        Scenario {
            name: "the same, one first segment",
            bad_first_segments: 1,
            ..base
        },
        Scenario {
            name: "the same, from the start",
            bad_first_segments: 1,
            bad_from: Duration::ZERO,
            ..base
        },
        Scenario {
            name: "the same, news each 1 s",
            bad_first_segments: 1,
            news_interval: Duration::from_secs(1),
            ..base
        },
        Scenario {
            name: "bad 6 a second, one first segment",
            bad_per_s: 6.0,
            bad_first_segments: 1,
            ..base
        },
        Scenario {
            name: "bad 1.4, an engine each 2 s by itself",
            own_crashes_per_s: 0.5,
            ..base
        },
        Scenario {
            name: "no bad ones, an engine a second by itself",
            bad_per_s: 0.0,
            own_crashes_per_s: 1.0,
            ..base
        },
    ];
    println!(
        "| day | way | crashed by bad ones | sent late | sound refused in 1,000 | sound served % |"
    );
    println!("|---|---|---:|---:|---:|---:|");
    for scenario in scenarios {
        for (name, way) in [
            ("whole request", Way::Requests),
            ("each segment by itself", Way::EachSegment),
            ("explained", Way::Explained),
        ] {
            let mut sum = Outcome::default();
            for seed in 0..SEEDS {
                let outcome = Simulation::new(scenario, way, seed).run();
                sum.crashed += outcome.crashed;
                sum.late += outcome.late;
                sum.sound += outcome.sound;
                sum.refused += outcome.refused;
                sum.served += outcome.served;
            }
            let seeds = f64::from(u32::try_from(SEEDS).expect("few"));
            println!(
                "| {} | {name} | {:.1} | {:.1} | {:.1} | {:.1} |",
                scenario.name,
                sum.crashed / seeds,
                sum.late / seeds,
                sum.refused / sum.sound * 1_000.0,
                sum.served / sum.sound * 100.0
            );
        }
    }
}
