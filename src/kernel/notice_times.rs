//! How long endpoints of a service go on serving after the notice that they leave.
//!
//! Answers engines that leave in groups every few seconds: the list and their responses tell that
//! they drain, but not until when. Moving their generations off in time needs an estimate, which
//! must rather be too short: a copy that its engine does not finish is lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Notice assumed for a service of which too few endpoints were seen to end.
const PRIOR: Duration = Duration::from_millis(1_500);
/// Number of ends from which on they replace the prior.
const OBSERVED_MIN: usize = 4;
/// Number of ends remembered per service.
const OBSERVED_MAX: usize = 16;
/// Number of services remembered; any beyond that get the prior.
const SERVICES_MAX: usize = 256;
/// Share of the remembered ends that may come before the estimate.
const EARLIER_SHARE: f64 = 0.1;
/// Shortest estimate. An end that was seen sooner was most likely announced late.
const ESTIMATE_MIN: Duration = Duration::from_millis(300);
/// Longest estimate; a longer notice leaves time for any move.
const ESTIMATE_MAX: Duration = Duration::from_secs(30);

/// Recent times from notice to end, by service.
#[derive(Debug, Clone, Default)]
pub struct NoticeTimes {
    /// At most [`OBSERVED_MAX`] per service, the latest last, of [`SERVICES_MAX`] services.
    by_service: BTreeMap<String, VecDeque<Duration>>,
}

impl NoticeTimes {
    /// Records that an endpoint of a service ended this long after the notice.
    pub fn record_end(&mut self, service: &str, after_notice: Duration) {
        if !self.by_service.contains_key(service) {
            if self.by_service.len() >= SERVICES_MAX {
                return;
            }
            self.by_service
                .insert(service.to_owned(), VecDeque::default());
        }
        if let Some(observed) = self.by_service.get_mut(service) {
            observed.push_back(after_notice);
            if observed.len() > OBSERVED_MAX {
                observed.pop_front();
            }
        }
    }

    /// Returns the time from notice to end that most endpoints of a service reach.
    #[must_use]
    pub fn estimate(&self, service: &str) -> Duration {
        let observed = self.by_service.get(service);
        let mut sorted: Vec<Duration> = observed.into_iter().flatten().copied().collect();
        sorted.sort_unstable();
        let shortest = sorted.first().copied().unwrap_or(PRIOR);
        let estimate = if sorted.len() < OBSERVED_MIN {
            shortest.min(PRIOR)
        } else {
            sorted[quantile_index(sorted.len())]
        };
        estimate.clamp(ESTIMATE_MIN, ESTIMATE_MAX)
    }
}

/// Returns the position in a sorted list of this length before which [`EARLIER_SHARE`] of it lies.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a share of a small number"
)]
fn quantile_index(length: usize) -> usize {
    (length as f64 * EARLIER_SHARE) as usize
}
