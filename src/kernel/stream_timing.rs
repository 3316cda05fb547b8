//! Timing of one generation's stream: the time to its first event, its longest pause and what
//! caused that, and the pauses that tell the pace of its engine.
//!
//! Load: streams that are late by a single pause, while moves, engines that read prompts for others
//! and callers that read slowly all happen at once. Only pauses that the engine alone made are
//! evidence of its pace.

use std::time::Duration;

/// A pause in which this instance waited for the caller for longer than this does not count for the
/// engine: events that arrived meanwhile were read late.
const CALLER_WAIT_MAX: Duration = Duration::from_millis(5);

/// What caused a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseCause {
    /// The engine generated nothing.
    Engine,
    /// The generation went on at another engine.
    Move,
    /// The caller did not read.
    Caller,
}

impl PauseCause {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Move => "move",
            Self::Caller => "caller",
        }
    }
}

/// A pause between two events that were sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamPause {
    /// Its length.
    pub length: Duration,
    /// What caused most of it.
    pub cause: PauseCause,
}

/// Pauses between consecutive events of the same engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventPauses {
    /// Length of each.
    pub length: Duration,
    /// Number of pauses.
    pub count: u32,
}

/// Timing of one generation's stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamTiming {
    /// Arrival of the request.
    started_at: Duration,
    first_event_at: Option<Duration>,
    last_event_at: Option<Duration>,
    longest: Option<StreamPause>,
    /// Whether the generation changed engines since the last event.
    has_moved: bool,
    /// Time spent waiting for the caller since the last event.
    caller_wait: Duration,
}

impl StreamTiming {
    /// Starts the timing of a request that arrived at this time.
    #[must_use]
    pub const fn starting_at(started_at: Duration) -> Self {
        Self {
            started_at,
            first_event_at: None,
            last_event_at: None,
            longest: None,
            has_moved: false,
            caller_wait: Duration::ZERO,
        }
    }

    /// Records that the generation goes on at another engine, or is restarted.
    pub const fn record_move(&mut self) {
        self.has_moved = true;
    }

    /// Records that nothing was read from the engine for this time because the caller read nothing.
    pub fn record_caller_wait(&mut self, wait: Duration) {
        self.caller_wait += wait;
    }

    /// Records new events that arrived together, and returns the pauses if they tell the pace of
    /// the engine.
    ///
    /// The time before events that arrive together is spread over them: they were generated one
    /// after the other, and leaving them out would make the mean too long.
    pub fn record_events(&mut self, events: u32, now: Duration) -> Option<EventPauses> {
        if events == 0 {
            return None;
        }
        self.first_event_at.get_or_insert(now);
        let has_moved = std::mem::take(&mut self.has_moved);
        let caller_wait = std::mem::take(&mut self.caller_wait);
        let last_event_at = self.last_event_at.replace(now)?;
        let length = now.saturating_sub(last_event_at);
        let cause = if has_moved {
            PauseCause::Move
        } else if caller_wait * 2 > length {
            PauseCause::Caller
        } else {
            PauseCause::Engine
        };
        if self.longest.is_none_or(|longest| length > longest.length) {
            self.longest = Some(StreamPause { length, cause });
        }
        let is_evidence = !has_moved && caller_wait <= CALLER_WAIT_MAX;
        is_evidence.then(|| EventPauses {
            length: length / events,
            count: events,
        })
    }

    /// Returns the time from the request to the first event.
    #[must_use]
    pub fn first_event(&self) -> Option<Duration> {
        let at = self.first_event_at?;
        Some(at.saturating_sub(self.started_at))
    }

    /// Returns the longest pause so far.
    #[must_use]
    pub const fn longest_pause(&self) -> Option<StreamPause> {
        self.longest
    }
}
