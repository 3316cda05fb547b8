//! How long a service takes to answer, learnt from its answers, and how long to wait for one before another endpoint is asked.

use std::time::Duration;

/// Weight of the newest answer in the mean; its eighth is the usual choice for round trip times (RFC 6298).
const NEWEST_IN_MEAN: f64 = 0.125;
/// Weight of the newest answer in the deviation (RFC 6298).
const NEWEST_IN_DEVIATION: f64 = 0.25;
/// An answer later than the mean by this many deviations is not waited for (RFC 6298).
const DEVIATIONS_MAX: f64 = 4.0;
/// Most answers come within the mean and this many deviations.
const DEVIATIONS_USUAL: f64 = 2.0;

/// Mean and deviation of a service's answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    mean_s: f64,
    /// Mean distance from the mean; never negative.
    deviation_s: f64,
}

impl Pace {
    /// What is believed before the first answer.
    #[must_use]
    pub const fn expecting(mean_s: f64, deviation_s: f64) -> Self {
        Self {
            mean_s,
            deviation_s,
        }
    }

    /// An answer took this long.
    pub fn took(&mut self, time: Duration) {
        let distance = time.as_secs_f64() - self.mean_s;
        self.mean_s += NEWEST_IN_MEAN * distance;
        self.deviation_s += NEWEST_IN_DEVIATION * (distance.abs() - self.deviation_s);
    }

    /// What most answers take.
    #[must_use]
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + DEVIATIONS_USUAL * self.deviation_s).max(0.0))
    }

    /// Beyond this an answer is not expected any more.
    #[must_use]
    pub fn late(&self) -> Duration {
        Duration::from_secs_f64((self.mean_s + DEVIATIONS_MAX * self.deviation_s).max(0.0))
    }

    /// How long an answer is worth waiting for where another endpoint can be asked: until a repeat could only just meet the goal, of which
    /// this much is left, but never less than most answers take. Waiting for the mean and four deviations whatever the goal cost 0.015 of
    /// the credit of calls of which a seventh fails (quiet day, six seeds).
    #[must_use]
    pub fn patience(&self, goal_left: Duration) -> Duration {
        let usual_s = self.usual().as_secs_f64();
        let most_s = self.late().as_secs_f64();
        let repeat_in_time_s = goal_left.as_secs_f64() - usual_s;
        Duration::from_secs_f64(repeat_in_time_s.clamp(usual_s, most_s.max(usual_s)))
    }
}
