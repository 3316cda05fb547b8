//! Timing of a stream: its longest pause and what caused it.

use std::time::Duration;

use larkwick::kernel::stream_timing::{PauseCause, StreamTiming};

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What happens to a stream during a pause.
type Happening = fn(&mut StreamTiming);

#[test]
fn longest_pause_cause_told_by_what_happened_in_it() {
    let happenings: [(Happening, PauseCause); 3] = [
        (|_| (), PauseCause::Engine),
        (StreamTiming::record_move, PauseCause::Move),
        (
            |timing| timing.record_caller_wait(at_ms(150)),
            PauseCause::Caller,
        ),
    ];
    for (happens, cause) in happenings {
        let mut timing = StreamTiming::starting_at(at_ms(0));
        assert!(timing.record_events(1, at_ms(300)).is_none());
        assert!(timing.record_events(1, at_ms(340)).is_some());
        happens(&mut timing);
        let is_evidence = timing.record_events(1, at_ms(540)).is_some();
        assert_eq!(is_evidence, cause == PauseCause::Engine);
        assert!(timing.record_events(1, at_ms(580)).is_some());
        let longest = timing.longest_pause().expect("pauses");
        assert_eq!((longest.length, longest.cause), (at_ms(200), cause));
        assert_eq!(timing.first_event(), Some(at_ms(300)));
    }
}

/// Events that arrive together were generated one after the other.
#[test]
fn record_events_several_at_once_pause_spread() {
    let mut timing = StreamTiming::starting_at(at_ms(0));
    timing.record_events(1, at_ms(100));
    let pauses = timing.record_events(4, at_ms(260)).expect("evidence");
    assert_eq!((pauses.length, pauses.count), (at_ms(40), 4));
}
