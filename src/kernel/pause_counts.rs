//! Counts of pauses between events by length, as entry instances collect them and report them to
//! the owner of a service's engines.
//!
//! Load: thousands of streams with some 30 events a second each, served by many instances. A report
//! carries the few classes of length that occurred rather than the pauses themselves.

use std::collections::BTreeMap;
use std::time::Duration;

/// Classes of length per octave; a class spans a twentieth of its length.
pub(super) const CLASSES_PER_OCTAVE: f64 = 16.0;
/// Lower bound of the first class.
const SHORTEST_MS: f64 = 1.0;
/// Largest class, of pauses of a minute.
const CLASS_MAX: u8 = 253;
/// Largest number of engines with pauses that were not reported yet.
const ENGINES_MAX: usize = 1_024;
/// Largest number of pauses of one engine that are kept while its owner accepts no report.
const PAUSES_MAX: u32 = 4_096;

/// Numbers of pauses by class of length.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PauseCounts {
    /// No count is 0.
    counts: BTreeMap<u8, u32>,
}

impl PauseCounts {
    /// Returns counts from pairs of class and number, with unknown classes left out.
    pub fn from_classes(classes: impl IntoIterator<Item = (u32, u32)>) -> Self {
        let mut counts = Self::default();
        for (class, count) in classes {
            if let Ok(class) = u8::try_from(class) {
                counts.add_to_class(class.min(CLASS_MAX), count);
            }
        }
        counts
    }

    /// Returns the pairs of class and number.
    pub fn classes(&self) -> impl Iterator<Item = (u32, u32)> {
        let counts = self.counts.iter();
        counts.map(|(class, count)| (u32::from(*class), *count))
    }

    /// Adds pauses of the same length.
    pub fn add(&mut self, pause: Duration, count: u32) {
        self.add_to_class(class_of(pause), count);
    }

    fn add_to_class(&mut self, class: u8, count: u32) {
        if count > 0 {
            let total = self.counts.entry(class).or_default();
            *total = total.saturating_add(count).min(PAUSES_MAX);
        }
    }

    fn merge(&mut self, other: &Self) {
        for (class, count) in &other.counts {
            self.add_to_class(*class, *count);
        }
    }

    /// Returns the number of pauses.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    /// Returns the length of each class in seconds with the number of its pauses.
    pub(super) fn lengths_s(&self) -> impl Iterator<Item = (f64, f64)> {
        let counts = self.counts.iter();
        counts.map(|(class, count)| (class_length_s(*class), f64::from(*count)))
    }

    /// Halves all counts.
    fn halve(&mut self) {
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
    }
}

fn class_of(pause: Duration) -> u8 {
    let octaves = (pause.as_secs_f64() * 1e3 / SHORTEST_MS).max(1.0).log2();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and limited"
    )]
    let class = (octaves * CLASSES_PER_OCTAVE).min(f64::from(CLASS_MAX)) as u8;
    class
}

/// Returns the middle of a class on its logarithmic scale, in seconds.
fn class_length_s(class: u8) -> f64 {
    let octaves = (f64::from(class) + 0.5) / CLASSES_PER_OCTAVE;
    SHORTEST_MS * octaves.exp2() / 1e3
}

/// Pauses between consecutive events of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EnginePauses {
    /// Id of this incarnation of the engine.
    pub endpoint: String,
    /// The pauses.
    pub pauses: PauseCounts,
}

/// Pauses that an entry instance observed and has not reported yet.
#[derive(Debug, Default)]
pub struct PauseBuffer {
    /// At most [`ENGINES_MAX`] engines, each with some [`PAUSES_MAX`] pauses.
    engines: BTreeMap<String, PauseCounts>,
}

impl PauseBuffer {
    /// Adds pauses of the same length.
    pub fn record(&mut self, endpoint: &str, pause: Duration, count: u32) {
        let mut pauses = PauseCounts::default();
        pauses.add(pause, count);
        self.merge(endpoint, &pauses);
    }

    /// Takes all pauses.
    pub fn take(&mut self) -> Vec<EnginePauses> {
        let engines = std::mem::take(&mut self.engines).into_iter();
        engines
            .map(|(endpoint, pauses)| EnginePauses { endpoint, pauses })
            .collect()
    }

    /// Puts back pauses that could not be delivered.
    pub fn restore(&mut self, undelivered: &[EnginePauses]) {
        for engine in undelivered {
            self.merge(&engine.endpoint, &engine.pauses);
        }
    }

    fn merge(&mut self, endpoint: &str, pauses: &PauseCounts) {
        if !self.engines.contains_key(endpoint) && self.engines.len() >= ENGINES_MAX {
            return;
        }
        let known = self.engines.entry(endpoint.to_owned()).or_default();
        known.merge(pauses);
        if known.total() > PAUSES_MAX {
            known.halve();
        }
    }
}
