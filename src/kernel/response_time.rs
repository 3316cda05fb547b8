//! Estimates a service's response time from its responses, and how long to wait for a response
//! before another endpoint is tried.

use std::time::Duration;

/// Weight of the newest response time in the mean; one eighth is common for round-trip times (RFC
/// 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest response time in the deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 0.25;
/// A response that is later than the mean by this many deviations counts as overdue (RFC 6298).
const OVERDUE_DEVIATIONS: f64 = 4.0;
/// Most responses arrive within the mean plus this many deviations.
const TYPICAL_DEVIATIONS: f64 = 2.0;

/// Mean and mean deviation of a service's response times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseTimeEstimate {
    mean_s: f64,
    /// Mean absolute deviation; never negative.
    deviation_s: f64,
}

impl ResponseTimeEstimate {
    /// Creates the estimate to use before the first response.
    #[must_use]
    pub const fn initial(mean_s: f64, deviation_s: f64) -> Self {
        Self {
            mean_s,
            deviation_s,
        }
    }

    /// Records a measured response time.
    pub fn record(&mut self, response_time: Duration) {
        let distance = response_time.as_secs_f64() - self.mean_s;
        self.mean_s += MEAN_WEIGHT * distance;
        self.deviation_s += DEVIATION_WEIGHT * (distance.abs() - self.deviation_s);
    }

    /// Returns the time within which most responses arrive.
    #[must_use]
    pub fn typical(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + TYPICAL_DEVIATIONS * self.deviation_s).max(0.0))
    }

    /// Returns the time after which a response is overdue.
    #[must_use]
    pub fn overdue(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + OVERDUE_DEVIATIONS * self.deviation_s).max(0.0))
    }

    /// Returns how long to wait for a response if another endpoint can be tried.
    ///
    /// It waits until a retry could only just meet the latency objective, of which `objective_left`
    /// remains, but never shorter than most responses take.
    #[must_use]
    pub fn timeout(&self, objective_left: Duration) -> Duration {
        let typical_s = self.typical().as_secs_f64();
        let overdue_s = self.overdue().as_secs_f64();
        let retry_deadline_s = objective_left.as_secs_f64() - typical_s;
        Duration::from_secs_f64(retry_deadline_s.clamp(typical_s, overdue_s.max(typical_s)))
    }
}
