//! Whether an answer is whole that has neither a length nor chunks and ended with its connection: it
//! ends in the same way if its endpoint crashes.

use std::time::Duration;

use super::crash_suspects::Survival;
use super::inbound_call::Call;
use super::node::Gateway;
use super::presence_probe::{ask_identity, run_probe};
use super::upstream::ConnectError;
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::presence::{Presence, ProbeStep};

/// Time from the end of an answer until its endpoint is probed: a process that exits closes its
/// connections some milliseconds before it refuses others.
const SETTLE_TIME: Duration = Duration::from_millis(10);

impl Gateway {
    /// Returns whether an endpoint still runs a moment after one of its answers ended with its
    /// connection.
    pub(super) async fn presence_after_answer(&self, endpoint: &EndpointEntry) -> Presence {
        self.sleep_for(SETTLE_TIME).await;
        // Boxed because it is rare, and would otherwise enlarge the future of every generation.
        let (result, _) = Box::pin(run_probe(self, endpoint)).await;
        self.weigh_probe(endpoint, result).await.presence
    }

    /// Returns whether an endpoint has ended with its answer, as far as one more connection and a
    /// question on it show: the caller of a plain call waits for it.
    ///
    /// A connection alone does not show it: the endpoint may be back at its address, as another
    /// incarnation.
    pub(super) async fn has_ended_with_answer(
        &self,
        call: &Call,
        endpoint: &EndpointEntry,
    ) -> bool {
        self.sleep_for(SETTLE_TIME).await;
        let service = call.table.service(&endpoint.service);
        let step = match service.and_then(|service| service.health_path.as_deref()) {
            // Boxed because it is rare, and would otherwise enlarge the future of every call.
            Some(health_path) => Box::pin(ask_identity(self, endpoint, health_path)).await,
            None => match self.upstream.open_probe_connection(endpoint).await {
                Err(ConnectError::Refused(_)) => ProbeStep::Refused,
                _ => ProbeStep::StillOpen,
            },
        };
        match step {
            ProbeStep::OtherAnswered => true,
            ProbeStep::Refused => self.is_down_for_all(endpoint).await,
            _ => false,
        }
    }
}

/// Records that an endpoint finished a request, once it has been seen to run a moment after its
/// answer ended with its connection. Does nothing if the request is not suspected.
pub(super) fn record_survival_if_still_running(call: &Call, endpoint: &EndpointEntry) {
    let survival = Survival::of(call, endpoint);
    if !survival.concerns_suspect() {
        return;
    }
    let gateway = call.gateway.clone();
    let endpoint = endpoint.clone();
    tokio::spawn(async move {
        if gateway.presence_after_answer(&endpoint).await == Presence::Listens {
            survival.record();
        }
    });
}
