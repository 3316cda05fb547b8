//! How endpoints fared of late, by the results of calls rather than by what they say of themselves.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest result in the running share of failures.
const NEWEST: f64 = 0.25;
/// Without results, what is held against an endpoint halves in this time, so that it is tried again.
const FORGIVEN_HALF: Duration = Duration::from_millis(2_500);
/// How sharply failures lower an endpoint's part of the calls: at 4 % it keeps 7 of 10, at 45 % one in a hundred.
const SHARPNESS: i32 = 8;
/// No endpoint is left out altogether, so that a service whose endpoints all fail is still tried.
const WEIGHT_MIN: f64 = 1e-4;

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    /// Running share of failures, from 0 to 1.
    failures: f64,
    /// When it was last brought up to date.
    at: Duration,
    /// Calls in flight from here.
    in_flight: u32,
}

/// Results by endpoint.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    records: HashMap<String, Record>,
}

impl Record {
    fn failures_now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.failures * (-age / FORGIVEN_HALF.as_secs_f64()).exp2()
    }
}

impl EndpointHealth {
    /// A call goes to an endpoint.
    pub fn begin(&mut self, endpoint: &str) {
        self.records
            .entry(endpoint.to_owned())
            .or_default()
            .in_flight += 1;
    }

    /// A call to an endpoint ended; `failed` tells how, where that says something about the endpoint.
    pub fn end(&mut self, endpoint: &str, failed: Option<bool>, now: Duration) {
        let record = self.records.entry(endpoint.to_owned()).or_default();
        record.in_flight = record.in_flight.saturating_sub(1);
        if let Some(failed) = failed {
            let before = record.failures_now(now);
            record.failures = before * (1.0 - NEWEST) + if failed { NEWEST } else { 0.0 };
            record.at = now;
        }
    }

    /// Running share of failures of an endpoint.
    #[must_use]
    pub fn failures(&self, endpoint: &str, now: Duration) -> f64 {
        let record = self.records.get(endpoint);
        record.map_or(0.0, |record| record.failures_now(now))
    }

    /// Calls in flight at an endpoint from here.
    #[must_use]
    pub fn in_flight(&self, endpoint: &str) -> u32 {
        self.records
            .get(endpoint)
            .map_or(0, |record| record.in_flight)
    }

    /// Weight of an endpoint when one is drawn: falls with its failures and with what is in flight on its slots.
    #[must_use]
    pub fn weight(&self, endpoint: &str, slots: u32, now: Duration) -> f64 {
        let record = self.records.get(endpoint).copied().unwrap_or_default();
        let sound = (1.0 - record.failures_now(now)).powi(SHARPNESS);
        let load = f64::from(record.in_flight) / f64::from(slots.max(1));
        (sound / (1.0 + 4.0 * load)).max(WEIGHT_MIN)
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.records
            .retain(|endpoint, record| record.in_flight > 0 || known(endpoint));
    }
}
