//! Who is to know that an engine has asked an instance for rest: `cargo bench --bench resting`.
//!
//! Simulated time; the kernel's rests and budgets of repeats decide. Twelve engines with 10 places, a third of which turn away a share of what they
//! get for 30 s and ask for 3 s of rest each time; a generation takes 2.5 s; it is offered to the emptiest engine, five at most, and each repeat
//! is taken from its instance's budget. Each row is the mean of the seeds.

use std::time::Duration;

use larkwick::kernel::cooldown::EndpointCooldowns;
use larkwick::kernel::retry::{RetryAllowance, RetryBudget};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 40;
const STEP: Duration = Duration::from_millis(5);
const LASTS: Duration = Duration::from_secs(30);
const ENGINES: usize = 12;
const TURN_AWAY: usize = 4;
const PLACES: usize = 10;
const RUNS_FOR: Duration = Duration::from_millis(2_500);
const REST: Duration = Duration::from_secs(3);
const OFFERS_MAX: u32 = 5;
/// For so long an owner passes over an engine that has refused somebody, whatever it asked for.
const REFUSED_PAUSE: Duration = Duration::from_millis(400);
/// The users' allowance for a service.
const ALLOWANCE: RetryAllowance = RetryAllowance {
    share: 0.2,
    slack: 52.0,
};

/// Who heeds a rest.
#[derive(Clone, Copy, PartialEq)]
enum Heeds {
    Nobody,
    /// The instance that was asked.
    Asked,
    /// All instances, as the owner knows it from the one that was asked.
    All,
    /// The instance that was asked; the others go there where no other engine has room.
    Last,
}

/// What the engines and the callers do.
#[derive(Clone, Copy)]
struct Day {
    instances: usize,
    /// Share of the requests that an engine which turns away refuses.
    refused_share: f64,
    per_s: f64,
}

#[derive(Default)]
struct Outcome {
    asked: f64,
    lost: f64,
    vain: f64,
    /// Most requests that one engine got from one instance within a rest.
    in_rest_most: u32,
}

struct Instance {
    rests: EndpointCooldowns,
    budget: RetryBudget,
    in_rest: [u32; ENGINES],
}

struct Play {
    random: SmallRng,
    heeds: Heeds,
    day: Day,
    instances: Vec<Instance>,
    for_all: EndpointCooldowns,
    paused_until: [Duration; ENGINES],
    running: Vec<Vec<Duration>>,
    outcome: Outcome,
}

fn name(engine: usize) -> String {
    engine.to_string()
}

impl Play {
    fn new(seed: u64, heeds: Heeds, day: Day) -> Self {
        let instance = || Instance {
            rests: EndpointCooldowns::default(),
            budget: ALLOWANCE.instance_budget(day.instances),
            in_rest: [0; ENGINES],
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            heeds,
            day,
            instances: (0..day.instances).map(|_| instance()).collect(),
            for_all: EndpointCooldowns::default(),
            paused_until: [Duration::ZERO; ENGINES],
            running: vec![Vec::new(); ENGINES],
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = Duration::ZERO;
        while now < LASTS {
            for running in &mut self.running {
                running.retain(|until| now < *until);
            }
            if self.random.random_bool(self.day.per_s * STEP.as_secs_f64()) {
                self.generation(now);
            }
            now += STEP;
        }
        self.outcome
    }

    fn choose(&mut self, instance: usize, excluded: &[usize], now: Duration) -> Option<usize> {
        let engines = (0..ENGINES).filter(|engine| {
            let name = name(*engine);
            let rests = match self.heeds {
                Heeds::Nobody => false,
                Heeds::Asked | Heeds::Last => {
                    self.instances[instance].rests.is_cooling_down(&name, now)
                }
                Heeds::All => self.for_all.is_cooling_down(&name, now),
            };
            let is_full = self.running[*engine].len() >= PLACES;
            !rests && !is_full && now >= self.paused_until[*engine] && !excluded.contains(engine)
        });
        let mut engines: Vec<usize> = engines.collect();
        if self.heeds == Heeds::Last {
            let asked = |engine: &usize| self.for_all.is_cooling_down(&name(*engine), now);
            let others = engines.iter().copied().filter(|engine| !asked(engine));
            let others: Vec<usize> = others.collect();
            if !others.is_empty() {
                engines = others;
            }
        }
        let least = engines.iter().map(|engine| self.running[*engine].len());
        let least = least.min()?;
        let emptiest = engines.into_iter();
        let emptiest = emptiest.filter(|engine| self.running[*engine].len() == least);
        emptiest.choose(&mut self.random)
    }

    fn generation(&mut self, now: Duration) {
        self.outcome.asked += 1.0;
        let instance = self.random.random_range(0..self.instances.len());
        self.instances[instance].budget.record_first_attempt();
        let mut excluded = Vec::new();
        for offer in 0..OFFERS_MAX {
            if offer > 0 && !self.instances[instance].budget.try_spend() {
                break;
            }
            let Some(engine) = self.choose(instance, &excluded, now) else {
                break;
            };
            if self.taken(instance, engine, now) {
                return;
            }
            excluded.push(engine);
        }
        self.outcome.lost += 1.0;
    }

    fn taken(&mut self, instance: usize, engine: usize, now: Duration) -> bool {
        let name = name(engine);
        let asked = &mut self.instances[instance];
        if asked.rests.is_cooling_down(&name, now) {
            asked.in_rest[engine] += 1;
            self.outcome.in_rest_most = self.outcome.in_rest_most.max(asked.in_rest[engine]);
        } else {
            asked.in_rest[engine] = 0;
        }
        let refuses = engine < TURN_AWAY && self.random.random_bool(self.day.refused_share);
        if !refuses {
            self.running[engine].push(now + RUNS_FOR);
            return true;
        }
        self.outcome.vain += 1.0;
        asked.rests.start(&name, REST, now);
        self.for_all.start(&name, REST, now);
        self.paused_until[engine] = now + REFUSED_PAUSE;
        false
    }
}

fn main() {
    let days = [
        (6, 0.9, 20.0),
        (6, 0.9, 36.0),
        (6, 0.3, 36.0),
        (60, 0.9, 36.0),
    ];
    println!("instances  refused  a second  who heeds  lost in 100  vain in 100  most in a rest");
    for (instances, refused_share, per_s) in days {
        let day = Day {
            instances,
            refused_share,
            per_s,
        };
        for (heeds, label) in [
            (Heeds::Nobody, "nobody"),
            (Heeds::Asked, "asked"),
            (Heeds::All, "all"),
            (Heeds::Last, "last"),
        ] {
            let plays: Vec<Outcome> = (0..SEEDS)
                .map(|seed| Play::new(seed, heeds, day).run())
                .collect();
            let share = |of: fn(&Outcome) -> f64| {
                let shares: Vec<f64> = plays
                    .iter()
                    .map(|play| 100.0 * of(play) / play.asked)
                    .collect();
                let count = f64::from(u32::try_from(shares.len()).unwrap_or(u32::MAX));
                let mean = shares.iter().sum::<f64>() / count;
                let spread = shares
                    .iter()
                    .map(|share| (share - mean).powi(2))
                    .sum::<f64>();
                (mean, (spread / count / (count - 1.0)).sqrt())
            };
            let (lost, lost_error) = share(|play| play.lost);
            let (vain, vain_error) = share(|play| play.vain);
            let most = plays.iter().map(|play| play.in_rest_most).max();
            println!(
                "{instances:9}  {refused_share:7}  {per_s:8}  {label:>9}  {lost:5.2} +-{lost_error:4.2}  {vain:5.2} +-{vain_error:4.2}  {:14}",
                most.unwrap_or_default()
            );
        }
    }
}
