//! Until when calls are sent and answered at an instance that stops.

use std::time::Duration;

use larkwick::kernel::stop_deadlines::StopDeadlines;

const EXIT_AT: Duration = Duration::from_secs(100);

#[test]
fn last_answer_at_precedes_exit() {
    assert!(StopDeadlines::new(EXIT_AT).last_answer_at() < EXIT_AT);
}

#[test]
fn last_send_at_leaves_time_for_the_call() {
    let deadlines = StopDeadlines::new(EXIT_AT);
    let long = Duration::from_secs(30);
    let last_send_at = deadlines.last_send_at(long, EXIT_AT + long);
    assert_eq!(last_send_at + long, deadlines.last_answer_at());
}

/// A call that ends before the exit in any case may be sent for as long as it may run.
#[test]
fn last_send_at_call_ends_before_exit_not_restricted() {
    let deadlines = StopDeadlines::new(EXIT_AT);
    let long = Duration::from_secs(30);
    let last_answer_at = deadlines.last_answer_at();
    assert_eq!(deadlines.last_send_at(long, last_answer_at), last_answer_at);
}

#[test]
fn last_send_at_call_longer_than_time_to_exit_refused_at_once() {
    let deadlines = StopDeadlines::new(Duration::from_secs(8));
    let long = Duration::from_secs(30);
    assert_eq!(
        deadlines.last_send_at(long, Duration::from_secs(40)),
        Duration::ZERO
    );
}
