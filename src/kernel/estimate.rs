//! Residual output length: how many tokens a generation will still make, given those it has made.
//!
//! Lengths are counted in buckets of a quarter octave, so that a few tokens and tens of thousands take the same small table.

use std::collections::HashMap;

const BUCKETS: usize = 72;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Observations after which an account's own table is used instead of the model's.
const OWN_TABLE_AFTER: f64 = 50.0;
/// Halves all counts at this total, so that the table follows a changing mix.
const HALVE_AT: f64 = 20_000.0;

/// Numbers of further tokens at which the memory of the streams in flight is predicted.
pub const HORIZONS_TOKENS: [u32; HORIZONS] = [
    0, 8, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384,
];
/// How many horizons there are.
pub const HORIZONS: usize = 12;

/// Probability that a generation still runs after each number of further tokens of [`HORIZONS_TOKENS`].
pub type Survival = [f64; HORIZONS];

/// Mean and variance of a number of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Spread {
    /// Expected value, in tokens.
    pub mean_tokens: f64,
    /// Variance, in tokens squared.
    pub variance: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    count: f64,
    sum: f64,
    sum_squares: f64,
}

impl Moments {
    fn add(&mut self, other: Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.sum_squares += other.sum_squares;
    }
}

/// Table of output lengths.
#[derive(Debug, Clone)]
pub struct LengthTable {
    buckets: [Moments; BUCKETS],
    /// `above[i]` sums the buckets from `i` on. Always in step with `buckets`.
    above: [Moments; BUCKETS],
}

impl Default for LengthTable {
    fn default() -> Self {
        Self {
            buckets: [Moments::default(); BUCKETS],
            above: [Moments::default(); BUCKETS],
        }
    }
}

fn bucket(length_tokens: u32) -> usize {
    let position = f64::from(length_tokens.max(1)).log2() * BUCKETS_PER_OCTAVE;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a logarithm of a u32 is small and not negative"
    )]
    let index = position as usize;
    index.min(BUCKETS - 1)
}

impl LengthTable {
    /// Counts a finished generation.
    pub fn observe(&mut self, length_tokens: u32) {
        let length = f64::from(length_tokens);
        let one = Moments {
            count: 1.0,
            sum: length,
            sum_squares: length * length,
        };
        let index = bucket(length_tokens);
        self.buckets[index].add(one);
        for above in &mut self.above[..=index] {
            above.add(one);
        }
        if self.above[0].count > HALVE_AT {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for moments in self.buckets.iter_mut().chain(&mut self.above) {
            moments.count /= 2.0;
            moments.sum /= 2.0;
            moments.sum_squares /= 2.0;
        }
    }

    /// How many generations were longer than this, about.
    fn longer_than(&self, length_tokens: u32) -> f64 {
        let index = bucket(length_tokens);
        let above = self
            .above
            .get(index + 1)
            .map_or(0.0, |moments| moments.count);
        let exponent = |index: usize| {
            let index = f64::from(u32::try_from(index).unwrap_or(u32::MAX));
            (index / BUCKETS_PER_OCTAVE).exp2()
        };
        let (lower, upper) = (exponent(index), exponent(index + 1));
        let left = ((upper - f64::from(length_tokens)) / (upper - lower)).clamp(0.0, 1.0);
        above + self.buckets[index].count * left
    }

    /// Probability that a generation that has made `made_tokens` still runs after each horizon; `None` where nothing that long
    /// was ever seen.
    #[must_use]
    pub fn survival(&self, made_tokens: u32) -> Option<Survival> {
        let so_far = if made_tokens == 0 {
            self.count()
        } else {
            self.longer_than(made_tokens)
        };
        if so_far < 1.0 {
            return None;
        }
        let after = |horizon: u32| {
            if horizon == 0 {
                return 1.0;
            }
            (self.longer_than(made_tokens.saturating_add(horizon)) / so_far).min(1.0)
        };
        Some(HORIZONS_TOKENS.map(after))
    }

    /// Observations counted.
    #[must_use]
    pub fn count(&self) -> f64 {
        self.above[0].count
    }

    /// What a generation that has made `made_tokens` will still make; `None` where nothing that long was ever seen.
    #[must_use]
    pub fn residual(&self, made_tokens: u32) -> Option<Spread> {
        let start = if made_tokens == 0 {
            0
        } else {
            bucket(made_tokens)
        };
        let above = self.above[start];
        if above.count < 1.0 {
            return None;
        }
        let mean_length = above.sum / above.count;
        let variance = (above.sum_squares / above.count - mean_length * mean_length).max(0.0);
        let mean_tokens = (mean_length - f64::from(made_tokens)).max(1.0);
        Some(Spread {
            mean_tokens,
            variance,
        })
    }
}

/// Output lengths per model, and per model and client account.
#[derive(Debug, Default)]
pub struct Estimates {
    by_model: HashMap<String, LengthTable>,
    by_account: HashMap<AccountModel, LengthTable>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AccountModel {
    account: String,
    model: String,
}

/// What is assumed of a model that has never finished a generation.
const UNKNOWN_RESIDUAL: Spread = Spread {
    mean_tokens: 256.0,
    variance: 256.0 * 256.0,
};

impl Estimates {
    /// Counts a finished generation.
    pub fn observe(&mut self, model: &str, account: &str, length_tokens: u32) {
        let key = AccountModel {
            account: account.to_owned(),
            model: model.to_owned(),
        };
        self.by_account
            .entry(key)
            .or_default()
            .observe(length_tokens);
        self.by_model
            .entry(model.to_owned())
            .or_default()
            .observe(length_tokens);
    }

    /// The table to use for an account: its own, once it has seen enough.
    fn own_table(&self, model: &str, account: &str) -> Option<&LengthTable> {
        let key = AccountModel {
            account: account.to_owned(),
            model: model.to_owned(),
        };
        let own = self.by_account.get(&key);
        own.filter(|table| table.count() >= OWN_TABLE_AFTER)
    }

    /// Probability that a generation still runs after each horizon, never beyond its declared maximum.
    #[must_use]
    pub fn survival(
        &self,
        model: &str,
        account: &str,
        made_tokens: u32,
        max_tokens: u32,
    ) -> Survival {
        let own = self.own_table(model, account);
        let found = own
            .and_then(|table| table.survival(made_tokens))
            .or_else(|| self.by_model.get(model)?.survival(made_tokens));
        let mean = UNKNOWN_RESIDUAL.mean_tokens.max(f64::from(made_tokens));
        let unknown = || HORIZONS_TOKENS.map(|horizon| (-f64::from(horizon) / mean).exp());
        let mut survival = found.unwrap_or_else(unknown);
        let left = max_tokens.saturating_sub(made_tokens);
        for (probability, horizon) in survival.iter_mut().zip(HORIZONS_TOKENS) {
            if horizon > left {
                *probability = 0.0;
            }
        }
        survival
    }

    /// What is still to come of a generation, never more than its declared maximum allows.
    #[must_use]
    pub fn residual(
        &self,
        model: &str,
        account: &str,
        made_tokens: u32,
        max_tokens: u32,
    ) -> Spread {
        let own = self.own_table(model, account);
        let found = own
            .and_then(|table| table.residual(made_tokens))
            .or_else(|| self.by_model.get(model)?.residual(made_tokens));
        // A stream beyond everything seen so far is expected to double.
        let beyond = Spread {
            mean_tokens: UNKNOWN_RESIDUAL.mean_tokens.max(f64::from(made_tokens)),
            variance: UNKNOWN_RESIDUAL.variance,
        };
        let left = f64::from(max_tokens.saturating_sub(made_tokens));
        let spread = found.unwrap_or(beyond);
        Spread {
            mean_tokens: spread.mean_tokens.min(left),
            variance: spread.variance.min(left * left),
        }
    }

    /// Number of tables, for the dump.
    #[must_use]
    pub fn tables(&self) -> usize {
        self.by_model.len() + self.by_account.len()
    }
}
