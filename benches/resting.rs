//! Compares which instances should honor a cooldown that an engine has requested from one of them:
//! `cargo bench --bench resting`.
//!
//! Runs in simulated time with the cooldowns and retry budgets of the kernel. There are twelve
//! engines with 10 slots. For 30 s, a third of them refuse a share of their requests, and request a
//! cooldown of 3 s each time. A generation runs for 2.5 s. It is sent to the least loaded engine,
//! with at most five attempts, and each retry is charged to the budget of its instance. Each row is
//! the mean over the seeds.

use std::time::Duration;

use larkwick::kernel::cooldown::EndpointCooldowns;
use larkwick::kernel::retry::{RetryAllowance, RetryBudget};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 40;
const STEP: Duration = Duration::from_millis(5);
const SIMULATED_TIME: Duration = Duration::from_secs(30);
const ENGINES: usize = 12;
const REFUSING_ENGINES: usize = 4;
const SLOTS: usize = 10;
const GENERATION_TIME: Duration = Duration::from_millis(2_500);
const COOLDOWN: Duration = Duration::from_secs(3);
const ATTEMPTS_MAX: u32 = 5;
/// Time for which an owner skips an engine after a refusal, whatever cooldown the engine requested.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);
/// Retry allowance of the users for a service.
const RETRY_ALLOWANCE: RetryAllowance = RetryAllowance {
    share: 0.2,
    slack: 52.0,
};

/// Which instances honor a cooldown.
#[derive(Clone, Copy, PartialEq)]
enum CooldownScope {
    Ignored,
    /// The instance that the engine requested it from.
    RequestedFrom,
    /// All instances, since that instance reports it to the owner.
    AllInstances,
    /// That instance; the others use the engine only if no other engine has a free slot.
    LastResort,
}

/// The load and the refusals of one simulation.
#[derive(Clone, Copy)]
struct Scenario {
    instances: usize,
    /// Share of its requests that a refusing engine refuses.
    refused_share: f64,
    requests_per_s: f64,
}

#[derive(Default)]
struct Outcome {
    requests: f64,
    lost: f64,
    refused_attempts: f64,
    /// Most requests that one instance sent to one engine within a cooldown.
    cooldown_requests_max: u32,
}

struct Instance {
    cooldowns: EndpointCooldowns,
    budget: RetryBudget,
    cooldown_requests: [u32; ENGINES],
}

struct Simulation {
    random: SmallRng,
    scope: CooldownScope,
    scenario: Scenario,
    instances: Vec<Instance>,
    shared_cooldowns: EndpointCooldowns,
    paused_until: [Duration; ENGINES],
    running: Vec<Vec<Duration>>,
    outcome: Outcome,
}

fn name(engine: usize) -> String {
    engine.to_string()
}

impl Simulation {
    fn new(seed: u64, scope: CooldownScope, scenario: Scenario) -> Self {
        let instance = || Instance {
            cooldowns: EndpointCooldowns::default(),
            budget: RETRY_ALLOWANCE.instance_budget(scenario.instances),
            cooldown_requests: [0; ENGINES],
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            scope,
            scenario,
            instances: (0..scenario.instances).map(|_| instance()).collect(),
            shared_cooldowns: EndpointCooldowns::default(),
            paused_until: [Duration::ZERO; ENGINES],
            running: vec![Vec::new(); ENGINES],
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = Duration::ZERO;
        while now < SIMULATED_TIME {
            for running in &mut self.running {
                running.retain(|until| now < *until);
            }
            if self
                .random
                .random_bool(self.scenario.requests_per_s * STEP.as_secs_f64())
            {
                self.run_generation(now);
            }
            now += STEP;
        }
        self.outcome
    }

    fn select_engine(
        &mut self,
        instance: usize,
        excluded: &[usize],
        now: Duration,
    ) -> Option<usize> {
        let engines = (0..ENGINES).filter(|engine| {
            let name = name(*engine);
            let cooling_down = match self.scope {
                CooldownScope::Ignored => false,
                CooldownScope::RequestedFrom | CooldownScope::LastResort => self.instances
                    [instance]
                    .cooldowns
                    .is_cooling_down(&name, now),
                CooldownScope::AllInstances => self.shared_cooldowns.is_cooling_down(&name, now),
            };
            let is_full = self.running[*engine].len() >= SLOTS;
            !cooling_down
                && !is_full
                && now >= self.paused_until[*engine]
                && !excluded.contains(engine)
        });
        let mut engines: Vec<usize> = engines.collect();
        if self.scope == CooldownScope::LastResort {
            let is_cooling_down =
                |engine: &usize| self.shared_cooldowns.is_cooling_down(&name(*engine), now);
            let preferred = engines
                .iter()
                .copied()
                .filter(|engine| !is_cooling_down(engine));
            let preferred: Vec<usize> = preferred.collect();
            if !preferred.is_empty() {
                engines = preferred;
            }
        }
        let lowest_load = engines.iter().map(|engine| self.running[*engine].len());
        let lowest_load = lowest_load.min()?;
        let least_loaded = engines.into_iter();
        let least_loaded = least_loaded.filter(|engine| self.running[*engine].len() == lowest_load);
        least_loaded.choose(&mut self.random)
    }

    fn run_generation(&mut self, now: Duration) {
        self.outcome.requests += 1.0;
        let instance = self.random.random_range(0..self.instances.len());
        self.instances[instance].budget.record_first_attempt();
        let mut excluded = Vec::new();
        for attempt in 0..ATTEMPTS_MAX {
            if attempt > 0 && !self.instances[instance].budget.try_spend() {
                break;
            }
            let Some(engine) = self.select_engine(instance, &excluded, now) else {
                break;
            };
            if self.try_start(instance, engine, now) {
                return;
            }
            excluded.push(engine);
        }
        self.outcome.lost += 1.0;
    }

    fn try_start(&mut self, instance: usize, engine: usize, now: Duration) -> bool {
        let name = name(engine);
        let sender = &mut self.instances[instance];
        if sender.cooldowns.is_cooling_down(&name, now) {
            sender.cooldown_requests[engine] += 1;
            self.outcome.cooldown_requests_max = self
                .outcome
                .cooldown_requests_max
                .max(sender.cooldown_requests[engine]);
        } else {
            sender.cooldown_requests[engine] = 0;
        }
        let refuses =
            engine < REFUSING_ENGINES && self.random.random_bool(self.scenario.refused_share);
        if !refuses {
            self.running[engine].push(now + GENERATION_TIME);
            return true;
        }
        self.outcome.refused_attempts += 1.0;
        sender.cooldowns.start(&name, COOLDOWN, now);
        self.shared_cooldowns.start(&name, COOLDOWN, now);
        self.paused_until[engine] = now + REFUSAL_PAUSE;
        false
    }
}

fn main() {
    let scenarios = [
        (6, 0.9, 20.0),
        (6, 0.9, 36.0),
        (6, 0.3, 36.0),
        (60, 0.9, 36.0),
    ];
    println!("instances  refused  a second  who heeds  lost in 100  vain in 100  most in a rest");
    for (instances, refused_share, requests_per_s) in scenarios {
        let scenario = Scenario {
            instances,
            refused_share,
            requests_per_s,
        };
        for (scope, label) in [
            (CooldownScope::Ignored, "nobody"),
            (CooldownScope::RequestedFrom, "asked"),
            (CooldownScope::AllInstances, "all"),
            (CooldownScope::LastResort, "last"),
        ] {
            let outcomes: Vec<Outcome> = (0..SEEDS)
                .map(|seed| Simulation::new(seed, scope, scenario).run())
                .collect();
            let share = |of: fn(&Outcome) -> f64| {
                let shares: Vec<f64> = outcomes
                    .iter()
                    .map(|outcome| 100.0 * of(outcome) / outcome.requests)
                    .collect();
                let count = f64::from(u32::try_from(shares.len()).unwrap_or(u32::MAX));
                let mean = shares.iter().sum::<f64>() / count;
                let squared_deviations = shares
                    .iter()
                    .map(|share| (share - mean).powi(2))
                    .sum::<f64>();
                (mean, (squared_deviations / count / (count - 1.0)).sqrt())
            };
            let (lost, lost_error) = share(|outcome| outcome.lost);
            let (refused_attempts, refused_attempts_error) =
                share(|outcome| outcome.refused_attempts);
            let most = outcomes
                .iter()
                .map(|outcome| outcome.cooldown_requests_max)
                .max();
            println!(
                "{instances:9}  {refused_share:7}  {requests_per_s:8}  {label:>9}  {lost:5.2} +-{lost_error:4.2}  {refused_attempts:5.2} +-{refused_attempts_error:4.2}  {:14}",
                most.unwrap_or_default()
            );
        }
    }
}
