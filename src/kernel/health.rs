//! Endpoint health, derived from the results of calls rather than from what endpoints report about
//! themselves.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest result in the moving average of the failure rate.
const NEWEST_WEIGHT: f64 = 0.25;
/// Without new results, the failure rate halves in this time, so that the endpoint is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Exponent by which failures lower an endpoint's share of the calls: it keeps 7 of 10 at a failure
/// rate of 4 %, and 1 of 100 at 45 %.
const HEALTH_EXPONENT: i32 = 8;
/// Lower bound of an endpoint's weight, so that a service whose endpoints all fail is still tried.
const WEIGHT_MIN: f64 = 1e-4;

#[derive(Debug, Clone, Default)]
struct EndpointRecord {
    /// Moving average of the failure rate, from 0 to 1.
    failure_rate: f64,
    /// When `failure_rate` was last updated.
    updated_at: Duration,
    /// Start times of the calls in flight from this instance.
    in_flight_since: Vec<Duration>,
}

/// Call results by endpoint.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    records: HashMap<String, EndpointRecord>,
}

impl EndpointRecord {
    fn current_failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.failure_rate * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.in_flight_since.len()).unwrap_or(u32::MAX)
    }

    /// Returns the failure rate, counting every call that has been in flight for longer than
    /// `late_after` as one more failure.
    fn expected_failure_rate(&self, late_after: Duration, now: Duration) -> f64 {
        let started = self.in_flight_since.iter();
        let late_calls = started.filter(|at| now.saturating_sub(**at) > late_after);
        late_calls.fold(self.current_failure_rate(now), |failure_rate, _| {
            after_failure(failure_rate)
        })
    }
}

fn after_failure(before: f64) -> f64 {
    before * (1.0 - NEWEST_WEIGHT) + NEWEST_WEIGHT
}

impl EndpointHealth {
    /// Records the start of a call to an endpoint.
    pub fn record_start(&mut self, endpoint: &str, now: Duration) {
        let record = self.records.entry(endpoint.to_owned()).or_default();
        record.in_flight_since.push(now);
    }

    /// Records the end of a call that started at `started_at`. `failed` is `None` if the result
    /// says nothing about the endpoint.
    pub fn record_end(
        &mut self,
        endpoint: &str,
        started_at: Duration,
        failed: Option<bool>,
        now: Duration,
    ) {
        let record = self.records.entry(endpoint.to_owned()).or_default();
        if let Some(index) = record
            .in_flight_since
            .iter()
            .position(|at| *at == started_at)
        {
            record.in_flight_since.swap_remove(index);
        }
        if let Some(failed) = failed {
            let before = record.current_failure_rate(now);
            record.failure_rate = if failed {
                after_failure(before)
            } else {
                before * (1.0 - NEWEST_WEIGHT)
            };
            record.updated_at = now;
        }
    }

    /// Records that another endpoint was found at this endpoint's address: it counts as failing
    /// every call until the failure rate has decayed, or until it is listed as gone.
    pub fn record_absent(&mut self, endpoint: &str, now: Duration) {
        let record = self.records.entry(endpoint.to_owned()).or_default();
        record.failure_rate = 1.0;
        record.updated_at = now;
    }

    /// Returns the failure rate of an endpoint, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, endpoint: &str, now: Duration) -> f64 {
        let record = self.records.get(endpoint);
        record.map_or(0.0, |record| record.current_failure_rate(now))
    }

    /// Returns the number of calls in flight to an endpoint from this instance.
    #[must_use]
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.records
            .get(endpoint)
            .map_or(0, EndpointRecord::in_flight)
    }

    /// Returns the weight of an endpoint for a weighted random choice. It falls with the failure
    /// rate, with calls that take longer than `late_after`, and with the calls in flight per slot.
    /// A late call counts before it fails, because a server that hangs gives no result until the
    /// callers' deadlines.
    #[must_use]
    pub fn weight(&self, endpoint: &str, slots: u32, late_after: Duration, now: Duration) -> f64 {
        let Some(record) = self.records.get(endpoint) else {
            return 1.0;
        };
        let health = (1.0 - record.expected_failure_rate(late_after, now)).powi(HEALTH_EXPONENT);
        let load = f64::from(record.in_flight()) / f64::from(slots.max(1));
        (health / (1.0 + 4.0 * load)).max(WEIGHT_MIN)
    }

    /// Removes endpoints that are gone and have no call in flight.
    pub fn prune(&mut self, is_known: impl Fn(&str) -> bool) {
        self.records
            .retain(|endpoint, record| !record.in_flight_since.is_empty() || is_known(endpoint));
    }
}
