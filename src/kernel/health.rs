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

#[derive(Debug, Clone, Default)]
struct Record {
    /// Running share of failures, from 0 to 1.
    failures: f64,
    /// When it was last brought up to date.
    at: Duration,
    /// When the calls in flight from here began.
    begun: Vec<Duration>,
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

    fn in_flight(&self) -> u32 {
        u32::try_from(self.begun.len()).unwrap_or(u32::MAX)
    }

    /// Share of failures, where each call that has been in flight for too long counts as one more.
    fn failures_expected(&self, late_after: Duration, now: Duration) -> f64 {
        let begun = self.begun.iter();
        let late = begun.filter(|at| now.saturating_sub(**at) > late_after);
        late.fold(self.failures_now(now), |failures, _| with_failure(failures))
    }
}

fn with_failure(before: f64) -> f64 {
    before * (1.0 - NEWEST) + NEWEST
}

impl EndpointHealth {
    /// A call goes to an endpoint.
    pub fn begin(&mut self, endpoint: &str, now: Duration) {
        let record = self.records.entry(endpoint.to_owned()).or_default();
        record.begun.push(now);
    }

    /// A call to an endpoint that began then has ended; `failed` tells how, where that says something about the endpoint.
    pub fn end(&mut self, endpoint: &str, begun: Duration, failed: Option<bool>, now: Duration) {
        let record = self.records.entry(endpoint.to_owned()).or_default();
        if let Some(index) = record.begun.iter().position(|at| *at == begun) {
            record.begun.swap_remove(index);
        }
        if let Some(failed) = failed {
            let before = record.failures_now(now);
            record.failures = if failed {
                with_failure(before)
            } else {
                before * (1.0 - NEWEST)
            };
            record.at = now;
        }
    }

    /// Another endpoint was found at its address: it counts as failing altogether until that is forgiven, or until it is listed as gone.
    pub fn note_absent(&mut self, endpoint: &str, now: Duration) {
        let record = self.records.entry(endpoint.to_owned()).or_default();
        record.failures = 1.0;
        record.at = now;
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
        self.records.get(endpoint).map_or(0, Record::in_flight)
    }

    /// Weight of an endpoint when one is drawn: falls with its failures, with calls that take longer than `late_after`, and with what is in
    /// flight on its slots. A call that is late counts before it has failed: a server that hangs says nothing until the callers' deadlines.
    #[must_use]
    pub fn weight(&self, endpoint: &str, slots: u32, late_after: Duration, now: Duration) -> f64 {
        let Some(record) = self.records.get(endpoint) else {
            return 1.0;
        };
        let sound = (1.0 - record.failures_expected(late_after, now)).powi(SHARPNESS);
        let load = f64::from(record.in_flight()) / f64::from(slots.max(1));
        (sound / (1.0 + 4.0 * load)).max(WEIGHT_MIN)
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.records
            .retain(|endpoint, record| !record.begun.is_empty() || known(endpoint));
    }
}
