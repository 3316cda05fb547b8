//! Seeded arrivals with heavy-tailed output lengths: the same seed gives the same requests to every policy.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::standin::engine_core::{EngineCore, EngineSpec};

/// Which kind of requests arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mix {
    /// Most outputs of tens of tokens, some of thousands, four accounts alike.
    General,
    /// Long streams, as of a planning assistant.
    Planning,
    /// Short urgent answers over long ones that can wait, as at fuel stations.
    Fuel,
    /// As `General`, with one account that sends ten times its share.
    Greedy,
}

impl std::str::FromStr for Mix {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "general" => Ok(Self::General),
            "planning" => Ok(Self::Planning),
            "fuel" => Ok(Self::Fuel),
            "greedy" => Ok(Self::Greedy),
            _ => Err(format!(
                "unknown mix {text:?}; known: general, planning, fuel, greedy"
            )),
        }
    }
}

/// Longest output, in tokens: tens of thousands, scaled to a run of seconds.
pub const LENGTH_MAX_TOKENS: u32 = 2_500;
/// Accounts of a run; the first is the one that is greedy or urgent.
pub const ACCOUNTS: [&str; 4] = ["account-0", "account-1", "account-2", "account-3"];
const GREEDY_SHARE: f64 = 10.0;
const URGENT_SHARE: f64 = 0.7;

/// One request of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct ArrivalPlan {
    /// Time from the run's start.
    pub at: Duration,
    /// Index into [`ACCOUNTS`].
    pub account: usize,
    /// Prompt, in tokens.
    pub prompt_tokens: u32,
    /// Output, in tokens; only the engine knows it.
    pub length_tokens: u32,
    /// Seed of the generation.
    pub seed: u64,
}

#[derive(Clone, Copy)]
struct Lengths {
    median_tokens: f64,
    sigma: f64,
}

impl Lengths {
    fn draw(self, random: &mut SmallRng) -> u32 {
        let drawn = self.median_tokens * (self.sigma * standard_normal(random)).exp();
        whole(drawn).clamp(1, LENGTH_MAX_TOKENS)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "drawn lengths are positive and clamped"
)]
fn whole(value: f64) -> u32 {
    value.round() as u32
}

/// A standard normal number, by the Box-Muller transform.
fn standard_normal(random: &mut SmallRng) -> f64 {
    let first: f64 = random.random_range(f64::EPSILON..1.0);
    let second: f64 = random.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * first.ln()).sqrt() * second.cos()
}

const SHORT: Lengths = Lengths {
    median_tokens: 40.0,
    sigma: 1.2,
};
const LONG: Lengths = Lengths {
    median_tokens: 150.0,
    sigma: 1.0,
};
const URGENT: Lengths = Lengths {
    median_tokens: 20.0,
    sigma: 0.6,
};

impl Mix {
    fn account(self, random: &mut SmallRng) -> usize {
        match self {
            Self::General | Self::Planning => random.random_range(0..ACCOUNTS.len()),
            Self::Fuel => usize::from(random.random::<f64>() >= URGENT_SHARE),
            Self::Greedy => {
                let drawn = random.random_range(0.0..GREEDY_SHARE + 3.0);
                if drawn < GREEDY_SHARE {
                    0
                } else {
                    random.random_range(1..ACCOUNTS.len())
                }
            }
        }
    }

    fn lengths(self, account: usize) -> Lengths {
        match (self, account) {
            (Self::General | Self::Greedy, _) => SHORT,
            (Self::Planning, _) | (Self::Fuel, 1..) => LONG,
            (Self::Fuel, 0) => URGENT,
        }
    }

    /// Priority of an account's work.
    #[must_use]
    pub fn priority(self, account: usize) -> i32 {
        if self == Self::Fuel && account == 0 {
            100
        } else {
            0
        }
    }

    fn draw(self, at: Duration, random: &mut SmallRng) -> ArrivalPlan {
        let account = self.account(random);
        ArrivalPlan {
            at,
            account,
            prompt_tokens: random.random_range(20..100),
            length_tokens: self.lengths(account).draw(random),
            seed: random.random(),
        }
    }
}

/// Arrivals of a Poisson process.
#[must_use]
pub fn plan(mix: Mix, per_s: f64, lasts: Duration, seed: u64) -> Vec<ArrivalPlan> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / per_s;
        if at >= lasts.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(mix.draw(Duration::from_secs_f64(at), &mut random));
    }
}

/// Requests a second that one engine carries: decoded in its own time, kept at a share of its memory that needs no preemption.
#[must_use]
pub fn carried_per_s(mix: Mix, spec: &EngineSpec) -> f64 {
    const REQUESTS: u32 = 4_000;
    const FILL: f64 = 0.8;
    let mut random = SmallRng::seed_from_u64(1);
    let mut engine = EngineCore::new(spec.clone());
    let mut took = Duration::ZERO;
    let mut submitted: u32 = 0;
    let room = crate::kernel::policy::tokens_as_f64(spec.kv_capacity_tokens) * FILL;
    while submitted < REQUESTS {
        let used = crate::kernel::policy::tokens_as_f64(engine.load_counts().kv_used_tokens);
        if used < room && engine.load_counts().waiting == 0 {
            let arrival = mix.draw(Duration::ZERO, &mut random);
            engine.submit(super::stream::generation_request(&arrival, mix));
            submitted += 1;
        }
        took += engine.step();
    }
    f64::from(submitted) / took.as_secs_f64()
}
