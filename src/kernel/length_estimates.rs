//! Estimates of residual output length: how many more tokens a generation will produce, given the
//! number it has produced.
//!
//! Lengths are counted in buckets of a quarter octave, so that one small table covers lengths from
//! a few tokens to tens of thousands.

use std::collections::HashMap;

const BUCKETS: usize = 72;
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of observations from which an account's own table is used instead of the model's.
const ACCOUNT_TABLE_MIN_COUNT: f64 = 50.0;
/// All counts are halved when their total exceeds this, so that the table follows a changing
/// workload.
const HALVE_ABOVE_COUNT: f64 = 20_000.0;

/// Numbers of further tokens for which the memory use of running streams is predicted.
pub const HORIZONS_TOKENS: [u32; HORIZONS] = [
    0, 8, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384,
];
/// Number of horizons.
pub const HORIZONS: usize = 12;

/// Probability that a generation is still running after each number of further tokens in
/// [`HORIZONS_TOKENS`].
pub type Survival = [f64; HORIZONS];

/// Mean and variance of a number of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TokenStats {
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

/// Histogram of output lengths.
#[derive(Debug, Clone)]
pub struct LengthTable {
    buckets: [Moments; BUCKETS],
    /// `sum_from[i]` is the sum of all buckets from `i` on; updated together with `buckets`.
    sum_from: [Moments; BUCKETS],
}

impl Default for LengthTable {
    fn default() -> Self {
        Self {
            buckets: [Moments::default(); BUCKETS],
            sum_from: [Moments::default(); BUCKETS],
        }
    }
}

fn bucket_index(length_tokens: u32) -> usize {
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
    /// Records the length of a finished generation.
    pub fn observe(&mut self, length_tokens: u32) {
        let length = f64::from(length_tokens);
        let moments = Moments {
            count: 1.0,
            sum: length,
            sum_squares: length * length,
        };
        let index = bucket_index(length_tokens);
        self.buckets[index].add(moments);
        for tail in &mut self.sum_from[..=index] {
            tail.add(moments);
        }
        if self.sum_from[0].count > HALVE_ABOVE_COUNT {
            self.halve_counts();
        }
    }

    fn halve_counts(&mut self) {
        for moments in self.buckets.iter_mut().chain(&mut self.sum_from) {
            moments.count /= 2.0;
            moments.sum /= 2.0;
            moments.sum_squares /= 2.0;
        }
    }

    /// Returns the approximate number of generations longer than `length_tokens`, interpolated
    /// within its bucket.
    fn count_longer_than(&self, length_tokens: u32) -> f64 {
        let index = bucket_index(length_tokens);
        let count_above = self
            .sum_from
            .get(index + 1)
            .map_or(0.0, |moments| moments.count);
        let bucket_start_tokens = |index: usize| {
            let index = f64::from(u32::try_from(index).unwrap_or(u32::MAX));
            (index / BUCKETS_PER_OCTAVE).exp2()
        };
        let (lower, upper) = (bucket_start_tokens(index), bucket_start_tokens(index + 1));
        let share_above = ((upper - f64::from(length_tokens)) / (upper - lower)).clamp(0.0, 1.0);
        count_above + self.buckets[index].count * share_above
    }

    /// Returns the probability that a generation that has produced `generated_tokens` is still
    /// running after each horizon; `None` if no generation that long has been observed.
    #[must_use]
    pub fn survival(&self, generated_tokens: u32) -> Option<Survival> {
        let running_count = if generated_tokens == 0 {
            self.count()
        } else {
            self.count_longer_than(generated_tokens)
        };
        if running_count < 1.0 {
            return None;
        }
        let survival_at = |horizon: u32| {
            if horizon == 0 {
                return 1.0;
            }
            (self.count_longer_than(generated_tokens.saturating_add(horizon)) / running_count)
                .min(1.0)
        };
        Some(HORIZONS_TOKENS.map(survival_at))
    }

    /// Returns the number of observations, with earlier ones decayed.
    #[must_use]
    pub fn count(&self) -> f64 {
        self.sum_from[0].count
    }

    /// Returns the number of tokens that a generation that has produced `generated_tokens` is
    /// expected to produce; `None` if no generation that long has been observed.
    #[must_use]
    pub fn residual(&self, generated_tokens: u32) -> Option<TokenStats> {
        let start = if generated_tokens == 0 {
            0
        } else {
            bucket_index(generated_tokens)
        };
        let tail = self.sum_from[start];
        if tail.count < 1.0 {
            return None;
        }
        let mean_length = tail.sum / tail.count;
        let variance = (tail.sum_squares / tail.count - mean_length * mean_length).max(0.0);
        let mean_tokens = (mean_length - f64::from(generated_tokens)).max(1.0);
        Some(TokenStats {
            mean_tokens,
            variance,
        })
    }
}

/// Output lengths per model, and per pair of model and client account.
#[derive(Debug, Default)]
pub struct LengthEstimates {
    by_model: HashMap<String, LengthTable>,
    by_account: HashMap<AccountModel, LengthTable>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AccountModel {
    account: String,
    model: String,
}

/// Assumed for a model without any finished generation.
const UNKNOWN_RESIDUAL: TokenStats = TokenStats {
    mean_tokens: 256.0,
    variance: 256.0 * 256.0,
};

impl LengthEstimates {
    /// Records the length of a finished generation.
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

    /// Returns the account's own table once it has enough observations.
    fn account_table(&self, model: &str, account: &str) -> Option<&LengthTable> {
        let key = AccountModel {
            account: account.to_owned(),
            model: model.to_owned(),
        };
        let own = self.by_account.get(&key);
        own.filter(|table| table.count() >= ACCOUNT_TABLE_MIN_COUNT)
    }

    /// Returns the probability that a generation is still running after each horizon; zero beyond
    /// its declared maximum length.
    #[must_use]
    pub fn survival(
        &self,
        model: &str,
        account: &str,
        generated_tokens: u32,
        max_tokens: u32,
    ) -> Survival {
        let own = self.account_table(model, account);
        let observed = own
            .and_then(|table| table.survival(generated_tokens))
            .or_else(|| self.by_model.get(model)?.survival(generated_tokens));
        let mean = UNKNOWN_RESIDUAL
            .mean_tokens
            .max(f64::from(generated_tokens));
        let unobserved = || HORIZONS_TOKENS.map(|horizon| (-f64::from(horizon) / mean).exp());
        let mut survival = observed.unwrap_or_else(unobserved);
        let left_tokens = max_tokens.saturating_sub(generated_tokens);
        for (probability, horizon) in survival.iter_mut().zip(HORIZONS_TOKENS) {
            if horizon > left_tokens {
                *probability = 0.0;
            }
        }
        survival
    }

    /// Returns the expected number of remaining tokens, limited by the declared maximum length.
    #[must_use]
    pub fn residual(
        &self,
        model: &str,
        account: &str,
        generated_tokens: u32,
        max_tokens: u32,
    ) -> TokenStats {
        let own = self.account_table(model, account);
        let observed = own
            .and_then(|table| table.residual(generated_tokens))
            .or_else(|| self.by_model.get(model)?.residual(generated_tokens));
        // A stream longer than any observed one is expected to double.
        let unobserved = TokenStats {
            mean_tokens: UNKNOWN_RESIDUAL
                .mean_tokens
                .max(f64::from(generated_tokens)),
            variance: UNKNOWN_RESIDUAL.variance,
        };
        let left_tokens = f64::from(max_tokens.saturating_sub(generated_tokens));
        let stats = observed.unwrap_or(unobserved);
        TokenStats {
            mean_tokens: stats.mean_tokens.min(left_tokens),
            variance: stats.variance.min(left_tokens * left_tokens),
        }
    }

    /// Returns the number of tables, for the debug dump.
    #[must_use]
    pub fn table_count(&self) -> usize {
        self.by_model.len() + self.by_account.len()
    }
}
