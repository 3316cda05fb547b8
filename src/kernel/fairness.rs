//! Fairness between accounts, and the pace at which a queue moves.

use std::collections::HashMap;
use std::time::Duration;

const USAGE_HALF_LIFE: Duration = Duration::from_secs(30);
const DECAY_EVERY: Duration = Duration::from_secs(1);
/// Usage below this many tokens is forgotten.
const USAGE_MIN_TOKENS: f64 = 1.0;

/// Tokens used of late per account, divided by its share and halved every [`USAGE_HALF_LIFE`].
#[derive(Debug, Default)]
pub struct AccountUsage {
    by_account: HashMap<String, f64>,
    decayed_at: Duration,
}

impl AccountUsage {
    /// What an account used of late.
    #[must_use]
    pub fn weighted_tokens(&self, account: &str) -> f64 {
        self.by_account.get(account).copied().unwrap_or_default()
    }

    /// Counts tokens.
    pub fn charge(&mut self, account: &str, share: u32, tokens: u32) {
        let used = f64::from(tokens) / f64::from(share.max(1));
        *self.by_account.entry(account.to_owned()).or_default() += used;
    }

    /// Lets old usage fade.
    pub fn decay(&mut self, now: Duration) {
        let since = now.saturating_sub(self.decayed_at);
        if since < DECAY_EVERY {
            return;
        }
        self.decayed_at = now;
        let halvings = since.as_secs_f64() / USAGE_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halvings);
        self.by_account.retain(|_, used| {
            *used *= factor;
            *used >= USAGE_MIN_TOKENS
        });
    }
}

/// Weight of the newest interval in the smoothed one.
const NEWEST_WEIGHT: f64 = 0.05;
const INTERVAL_START: Duration = Duration::from_millis(50);

/// Smoothed time between grants to requests that waited.
#[derive(Debug)]
pub struct QueueWaitEstimator {
    interval: Duration,
    interval_max: Duration,
    last_grant: Duration,
}

impl QueueWaitEstimator {
    /// A pace that has seen nothing; intervals count as `interval_max` at most.
    #[must_use]
    pub fn new(interval_max: Duration) -> Self {
        Self {
            interval: INTERVAL_START,
            interval_max,
            last_grant: Duration::ZERO,
        }
    }

    /// Time until a request with so many ahead of it is expected to be granted.
    #[must_use]
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.interval.saturating_mul(ahead)
    }

    /// Counts a grant.
    pub fn record_grant(&mut self, now: Duration) {
        let since = now.saturating_sub(self.last_grant).min(self.interval_max);
        self.last_grant = now;
        let smoothed = self.interval.as_secs_f64() * (1.0 - NEWEST_WEIGHT)
            + since.as_secs_f64() * NEWEST_WEIGHT;
        self.interval = Duration::from_secs_f64(smoothed);
    }
}
