//! How long a call waits for a connection.

use std::time::Duration;

use larkwick::kernel::connect_timeout::{CONNECT_TIMEOUT_MAX, connect_timeout};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Objective and usual time of the plain calls at the users' whole fleet.
const OBJECTIVE: Duration = Duration::from_millis(150);
const USUAL: Duration = Duration::from_millis(45);

/// The day on which 13 of 375 endpoints went dark for four seconds: each call meets a dark endpoint
/// for the first time. With a wait of 400 ms each of those calls was late.
#[test]
fn endpoints_dark_calls_answered_in_time_elsewhere() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut met, mut late) = (0, 0);
    for _ in 0..10_000 {
        let mut took = USUAL;
        let mut failed = 0;
        while rng.random_range(0.0..1.0) < 13.0 / 375.0 {
            took += connect_timeout(OBJECTIVE, failed);
            failed += 1;
        }
        met += usize::from(failed > 0);
        late += usize::from(took > OBJECTIVE);
    }
    assert!(met > 300);
    assert!(late * 10 < met, "{late} of {met} late");
}

#[test]
fn objective_of_seconds_waits_as_long_as_a_lost_packet() {
    let timeout = connect_timeout(Duration::from_secs(2), 0);
    assert_eq!(timeout, CONNECT_TIMEOUT_MAX);
}

#[test]
fn several_connections_failed_waits_longest() {
    assert_eq!(connect_timeout(OBJECTIVE, 2), CONNECT_TIMEOUT_MAX);
}

#[test]
fn objective_of_milliseconds_still_waits_for_another_region() {
    let timeout = connect_timeout(Duration::from_millis(10), 0);
    assert!(timeout >= Duration::from_millis(50));
}
