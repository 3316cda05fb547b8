//! When callers that were refused for lack of memory come back.
//!
//! It answers a crowd that is refused within a moment: if all of it returned at once, it would be
//! refused again, and callers come back only once.

use std::time::Duration;

/// Prior for how long engines stay full once they are.
const EXPECTED_OVERLOAD_DURATION: Duration = Duration::from_secs(5);
/// Shortest expected wait for room; a queue that is nearly empty refuses only what does not fit.
const ROOM_IN_MIN: Duration = Duration::from_secs(1);
/// Lower end of the returns, as a share of the upper end. The spread keeps callers from retrying at
/// the same moment.
const RETRY_AFTER_MIN_SHARE: f64 = 0.6;

/// Returns when a caller is to come back that honours at most `honoured_max`. `room_in` is the
/// expected time until there is room, if it is known, and `spread` is drawn uniformly from 0 to 1.
#[must_use]
pub fn retry_after_within(
    honoured_max: Duration,
    room_in: Option<Duration>,
    spread: f64,
) -> Duration {
    let expected = room_in.map_or(EXPECTED_OVERLOAD_DURATION, |room_in| {
        room_in.max(ROOM_IN_MIN).div_f64(RETRY_AFTER_MIN_SHARE)
    });
    let latest = honoured_max.min(expected);
    let share = RETRY_AFTER_MIN_SHARE + (1.0 - RETRY_AFTER_MIN_SHARE) * spread;
    latest.mul_f64(share)
}
