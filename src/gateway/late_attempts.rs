//! Attempts of a repeatable call that are late. They stay open while the call is sent to another
//! endpoint, and the first answer counts.
//!
//! Load: an endpoint that is slow for a moment answers most late requests a little later. If the
//! attempt were given up, the caller would wait for the whole of the next one, and would get no
//! answer where the retry budget is spent or the next endpoint is slow as well.

use std::future::pending;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use super::plain_attempt::{Attempt, BufferedResponse};
use super::upstream::ServiceIdleConnections;

/// The late attempts of a call. Dropping them closes their connections.
#[derive(Default)]
pub(super) struct LateAttempts<'a> {
    open: FuturesUnordered<BoxFuture<'a, Attempt>>,
    /// Last server error that one of them was answered with.
    pub(super) server_error: Option<BufferedResponse>,
}

/// Which of the attempts that were open at the same time ended the wait.
pub(super) enum Raced<T> {
    /// A late attempt was answered.
    Late(BufferedResponse),
    /// The later attempt ended, in any way.
    Next(T),
}

impl<'a> LateAttempts<'a> {
    /// Keeps a late attempt open.
    pub(super) fn keep(&mut self, attempt: BoxFuture<'a, Attempt>) {
        metrics::counter!("larkwick_late_attempts_total").increment(1);
        self.open.push(attempt);
    }

    /// Waits until a late attempt is answered with anything but a server error; `None` once none is
    /// open any more.
    pub(super) async fn first_answer(&mut self) -> Option<BufferedResponse> {
        while let Some(attempt) = self.open.next().await {
            let Attempt::Responded(response) = attempt else {
                continue;
            };
            if !response.parts.status.is_server_error() {
                metrics::counter!("larkwick_late_attempts_answered_total").increment(1);
                return Some(response);
            }
            self.server_error = Some(response);
        }
        None
    }

    /// Runs `next` to its end, unless a late attempt is answered before.
    pub(super) async fn race<T>(&mut self, next: impl Future<Output = T>) -> Raced<T> {
        let late_answer = async {
            match self.first_answer().await {
                Some(response) => response,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            response = late_answer => Raced::Late(response),
            ended = next => Raced::Next(ended),
        }
    }
}

/// Restricts the reuse of idle connections when dropped, unless a response has arrived on the one
/// that was reused: the others may have gone silent as well.
pub(super) struct SilenceGuard {
    idle_connections: Option<ServiceIdleConnections>,
}

impl SilenceGuard {
    /// Creates the guard of a request on a reused connection; on a new one there is nothing to guard.
    pub(super) const fn new(idle_connections: Option<ServiceIdleConnections>) -> Self {
        Self { idle_connections }
    }

    /// Records that the connection is not silent.
    pub(super) fn record_response(mut self) {
        self.idle_connections = None;
    }
}

impl Drop for SilenceGuard {
    fn drop(&mut self) {
        if let Some(idle_connections) = &self.idle_connections {
            idle_connections.restrict_reuse();
        }
    }
}
