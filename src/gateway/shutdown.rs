//! Ends the waits of calls in time at an instance that stops: a call that cannot be served before
//! the exit is refused while its refusal can still be sent, and one that may run without an answer
//! is told that it may have run.

use std::time::Duration;

use tokio::sync::watch;

use super::inbound_call::Call;
use super::message_heads::CallHead;
use super::node::Gateway;
use super::plain_attempt::INITIAL_RESPONSE_TIME;
use crate::error::{Error, ErrorKind};
use crate::kernel::route::{CallKind, Route};
use crate::kernel::stop_deadlines::StopDeadlines;

/// Maximum time to the first event on engines under load.
const FIRST_EVENT_MAX: Duration = Duration::from_secs(2);
/// Minimum generation rate in tokens per second: half of the rate on overloaded engines.
const GENERATED_TOKENS_PER_S_MIN: f64 = 32.0;
/// Other instances are ready, so the caller may retry almost at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Why a call ends early at an instance that stops.
pub(super) const STOPPING: &str = "this instance is stopping";

/// The planned stop of this instance.
pub(crate) struct Shutdown {
    /// `None` until a stop is requested.
    deadlines: watch::Sender<Option<StopDeadlines>>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            deadlines: watch::Sender::new(None),
        }
    }
}

impl Shutdown {
    /// Begins the stop of an instance that exits at `exit_at` or earlier. This cannot be undone.
    pub(super) fn begin(&self, exit_at: Duration) {
        self.deadlines
            .send_replace(Some(StopDeadlines::new(exit_at)));
    }

    /// Returns the deadlines, or `None` if no stop was requested.
    pub(super) fn deadlines(&self) -> Option<StopDeadlines> {
        *self.deadlines.borrow()
    }

    /// Waits until a stop is requested.
    async fn begun(&self) -> StopDeadlines {
        let mut deadlines = self.deadlines.subscribe();
        loop {
            if let Some(deadlines) = *deadlines.borrow_and_update() {
                return deadlines;
            }
            // Cannot fail: the sender exists as long as the instance.
            let _ = deadlines.changed().await;
        }
    }
}

impl Gateway {
    /// Runs a future until the time that `last_at` returns for a planned stop, whether the stop was
    /// requested before or is requested meanwhile. Returns `None` if that time passed first.
    pub(super) async fn run_until_stop<T>(
        &self,
        last_at: impl FnOnce(StopDeadlines) -> Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let stopped = async {
            let deadlines = self.shutdown.begun().await;
            self.sleep_until(last_at(deadlines)).await;
        };
        tokio::select! {
            biased;
            done = future => Some(done),
            () = stopped => None,
        }
    }

    /// Runs a future until a planned stop requires that calls get their answers.
    pub(super) async fn run_until_last_answer<T>(
        &self,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        self.run_until_stop(StopDeadlines::last_answer_at, future)
            .await
    }

    /// Returns whether a planned stop leaves no time to wait for an answer.
    pub(super) fn is_past_last_answer(&self) -> bool {
        let deadlines = self.shutdown.deadlines();
        deadlines.is_some_and(|deadlines| deadlines.last_answer_at() <= self.now())
    }
}

impl Call {
    /// Runs a wait of the call before it is sent to an endpoint. Returns `None` once the call could
    /// not be served before this instance exits.
    ///
    /// A call that may have run before cannot be refused any more: it goes on for as long as an
    /// answer can be sent.
    pub(super) async fn run_before_send<T>(
        &self,
        may_have_run: bool,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let last_at = |deadlines: StopDeadlines| {
            if may_have_run {
                deadlines.last_answer_at()
            } else {
                self.last_send_at(deadlines)
            }
        };
        self.gateway.run_until_stop(last_at, future).await
    }

    /// Returns whether the call could not be served any more before this instance exits.
    pub(super) fn is_too_late_to_send(&self) -> bool {
        let deadlines = self.gateway.shutdown.deadlines();
        deadlines.is_some_and(|deadlines| self.last_send_at(deadlines) <= self.gateway.now())
    }

    fn last_send_at(&self, deadlines: StopDeadlines) -> Duration {
        deadlines.last_send_at(self.expected_duration(), self.deadline)
    }

    /// Returns the time within which the call nearly always ends once it is sent.
    fn expected_duration(&self) -> Duration {
        match self.route.kind {
            CallKind::Generation => max_duration(&self.route, &self.head),
            CallKind::Once | CallKind::Repeatable => self
                .gateway
                .response_time(&self.service, INITIAL_RESPONSE_TIME)
                .overdue(),
        }
    }
}

/// Returns the time within which a call surely ends once it is sent.
pub(super) fn max_duration(route: &Route, head: &CallHead) -> Duration {
    let longest = match (&head.tokens, route.kind) {
        (Some(tokens), CallKind::Generation) => {
            let generation_s = f64::from(tokens.generated_max_tokens) / GENERATED_TOKENS_PER_S_MIN;
            FIRST_EVENT_MAX + Duration::from_secs_f64(generation_s)
        }
        _ => route.timeout,
    };
    longest.min(route.timeout)
}

/// Returns the error for a call that a planned stop would cut short; another instance accepts it at
/// once.
pub(super) fn stopping_error() -> Error {
    Error::new(
        ErrorKind::StandingDown,
        "this instance is stopping; use another address",
    )
    .with_retry_after(STOPPING_RETRY_AFTER)
}
