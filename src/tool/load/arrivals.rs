//! Generates request arrivals with heavy-tailed output lengths. They are seeded, so that every
//! policy gets the same requests for the same seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::standin::engine_core::{EngineCore, EngineSpec};

/// The request mix of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mix {
    /// Most outputs have tens of tokens, some thousands; the four accounts send alike.
    General,
    /// Long streams, as from a planning assistant.
    Planning,
    /// Short urgent responses mixed with long ones that can wait, as at fuel stations.
    Fuel,
    /// Like `General`, but one account sends ten times its share.
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

/// Maximum output length, in tokens. It stands for the tens of thousands of tokens of real
/// workloads, scaled down to runs of seconds.
pub const LENGTH_MAX_TOKENS: u32 = 2_500;
/// Client accounts of a run. The first is the greedy or urgent one, depending on the mix.
pub const ACCOUNTS: [&str; 4] = ["account-0", "account-1", "account-2", "account-3"];
/// Share of the greedy account, where each other account has a share of 1.
const GREEDY_WEIGHT: f64 = 10.0;
/// Fraction of the requests of [`Mix::Fuel`] that are urgent.
const URGENT_FRACTION: f64 = 0.7;

/// One request of a run, generated before the run starts.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Time of arrival, from the start of the run.
    pub arrival_offset: Duration,
    /// Index into [`ACCOUNTS`].
    pub account: usize,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Output length, in tokens. Only the engine knows it; routing does not.
    pub length_tokens: u32,
    /// Sampling seed of the generation.
    pub seed: u64,
}

/// A log-normal distribution of output lengths.
#[derive(Clone, Copy)]
struct LengthDistribution {
    median_tokens: f64,
    sigma: f64,
}

impl LengthDistribution {
    fn sample(self, random: &mut SmallRng) -> u32 {
        let sampled = self.median_tokens * (self.sigma * standard_normal(random)).exp();
        round_to_u32(sampled).clamp(1, LENGTH_MAX_TOKENS)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sampled lengths are positive and clamped"
)]
fn round_to_u32(value: f64) -> u32 {
    value.round() as u32
}

/// Samples the standard normal distribution with the Box-Muller transform.
fn standard_normal(random: &mut SmallRng) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    let angle: f64 = random.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * uniform.ln()).sqrt() * angle.cos()
}

const SHORT: LengthDistribution = LengthDistribution {
    median_tokens: 40.0,
    sigma: 1.2,
};
const LONG: LengthDistribution = LengthDistribution {
    median_tokens: 150.0,
    sigma: 1.0,
};
const URGENT: LengthDistribution = LengthDistribution {
    median_tokens: 20.0,
    sigma: 0.6,
};

impl Mix {
    fn sample_account(self, random: &mut SmallRng) -> usize {
        match self {
            Self::General | Self::Planning => random.random_range(0..ACCOUNTS.len()),
            Self::Fuel => usize::from(random.random::<f64>() >= URGENT_FRACTION),
            Self::Greedy => {
                let sampled = random.random_range(0.0..GREEDY_WEIGHT + 3.0);
                if sampled < GREEDY_WEIGHT {
                    0
                } else {
                    random.random_range(1..ACCOUNTS.len())
                }
            }
        }
    }

    fn length_distribution(self, account: usize) -> LengthDistribution {
        match (self, account) {
            (Self::General | Self::Greedy, _) => SHORT,
            (Self::Planning, _) | (Self::Fuel, 1..) => LONG,
            (Self::Fuel, 0) => URGENT,
        }
    }

    /// Returns the priority of an account's requests.
    #[must_use]
    pub fn priority(self, account: usize) -> i32 {
        if self == Self::Fuel && account == 0 {
            100
        } else {
            0
        }
    }

    fn sample_request(self, arrival_offset: Duration, random: &mut SmallRng) -> PlannedRequest {
        let account = self.sample_account(random);
        PlannedRequest {
            arrival_offset,
            account,
            prompt_tokens: random.random_range(20..100),
            length_tokens: self.length_distribution(account).sample(random),
            seed: random.random(),
        }
    }
}

/// Generates the arrivals of a Poisson process with `per_s` requests per second on average.
#[must_use]
pub fn poisson_arrivals(
    mix: Mix,
    per_s: f64,
    duration: Duration,
    seed: u64,
) -> Vec<PlannedRequest> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut at_s = 0.0;
    let mut arrivals = Vec::new();
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at_s += -uniform.ln() / per_s;
        if at_s >= duration.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(mix.sample_request(Duration::from_secs_f64(at_s), &mut random));
    }
}

/// Measures the capacity of one engine for a mix, in requests per second of simulated engine time.
/// The engine is kept filled to a fraction of its KV-cache memory that needs no preemption.
#[must_use]
pub fn engine_capacity_per_s(mix: Mix, spec: &EngineSpec) -> f64 {
    const REQUESTS: u32 = 4_000;
    const FILL_FRACTION: f64 = 0.8;
    let mut random = SmallRng::seed_from_u64(1);
    let mut engine = EngineCore::new(spec.clone());
    let mut elapsed = Duration::ZERO;
    let mut submitted: u32 = 0;
    let fill_limit_tokens =
        crate::kernel::policy::tokens_as_f64(spec.kv_capacity_tokens) * FILL_FRACTION;
    while submitted < REQUESTS {
        let used_tokens = crate::kernel::policy::tokens_as_f64(engine.load_counts().kv_used_tokens);
        if used_tokens < fill_limit_tokens && engine.load_counts().waiting == 0 {
            let arrival = mix.sample_request(Duration::ZERO, &mut random);
            engine.submit(super::stream::generation_request(&arrival, mix));
            submitted += 1;
        }
        elapsed += engine.step();
    }
    f64::from(submitted) / elapsed.as_secs_f64()
}
