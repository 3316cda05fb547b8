//! Recent token usage per account for fair queueing, and an estimate of the queue wait.

use std::collections::HashMap;
use std::time::Duration;

const USAGE_HALF_LIFE: Duration = Duration::from_secs(30);
const DECAY_INTERVAL: Duration = Duration::from_secs(1);
/// Accounts with less decayed usage than this are removed.
const USAGE_MIN_TOKENS: f64 = 1.0;

/// Recent token usage per account, divided by the share of the account.
///
/// Usage decays exponentially with `USAGE_HALF_LIFE`.
#[derive(Debug, Default)]
pub struct AccountUsage {
    by_account: HashMap<String, f64>,
    decayed_at: Duration,
}

impl AccountUsage {
    /// Returns the decayed usage of an account, in tokens per unit of share.
    #[must_use]
    pub fn weighted_tokens(&self, account: &str) -> f64 {
        self.by_account.get(account).copied().unwrap_or_default()
    }

    /// Adds tokens to the usage of an account.
    pub fn charge(&mut self, account: &str, share: u32, tokens: u32) {
        let used = f64::from(tokens) / f64::from(share.max(1));
        *self.by_account.entry(account.to_owned()).or_default() += used;
    }

    /// Decays all usage, at most once per `DECAY_INTERVAL`.
    pub fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let halvings = elapsed.as_secs_f64() / USAGE_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halvings);
        self.by_account.retain(|_, used| {
            *used *= factor;
            *used >= USAGE_MIN_TOKENS
        });
    }
}

/// Weight of the newest interval in the moving average.
const SMOOTHING_FACTOR: f64 = 0.05;
const INITIAL_INTERVAL: Duration = Duration::from_millis(50);

/// Estimates queue waits from an exponential moving average of the time between grants to queued
/// requests.
#[derive(Debug)]
pub struct QueueWaitEstimator {
    interval: Duration,
    interval_max: Duration,
    last_grant: Duration,
}

impl QueueWaitEstimator {
    /// Creates an estimator without observations. Intervals are capped at `interval_max`.
    #[must_use]
    pub fn new(interval_max: Duration) -> Self {
        Self {
            interval: INITIAL_INTERVAL,
            interval_max,
            last_grant: Duration::ZERO,
        }
    }

    /// Returns the expected time until a request with `ahead` requests before it is granted.
    #[must_use]
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.interval.saturating_mul(ahead)
    }

    /// Records a grant to a queued request.
    pub fn record_grant(&mut self, now: Duration) {
        let newest = now.saturating_sub(self.last_grant).min(self.interval_max);
        self.last_grant = now;
        let smoothed = self.interval.as_secs_f64() * (1.0 - SMOOTHING_FACTOR)
            + newest.as_secs_f64() * SMOOTHING_FACTOR;
        self.interval = Duration::from_secs_f64(smoothed);
    }
}
