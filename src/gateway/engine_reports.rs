//! Polls engines for whether they are leaving while the endpoint list is not updated. Each request
//! is billed, so only the owner polls, and only then.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use super::coordinator;
use super::node::Gateway;
use super::site_store::Subject;
use crate::kernel::fleet::EndpointEntry;
use crate::platform::engine::{self, EngineReport};

/// Interval between two rounds of polling. Engines announce that they leave at least 1.5 s ahead,
/// and their reports show it with a delay of 0.6 s.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// How long before its arrival a report describes the engine.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Maximum wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest accepted report.
pub(super) const REPORT_MAX_BYTES: usize = 256 << 10;

/// Polls the engines until the instance stops, whenever the endpoint list is out of date.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let age = gateway.store.data_age(Subject::Endpoints);
        let store_timeout = gateway.routing.read().freshness().store_timeout();
        let is_store_unavailable = gateway.store.is_store_unavailable(Subject::Endpoints);
        if age.is_none_or(|age| age < store_timeout && !is_store_unavailable) {
            continue;
        }
        for engine in coordinator::owned_running_engines(&gateway) {
            tokio::spawn(poll_engine(gateway.clone(), engine));
        }
    }
}

async fn poll_engine(gateway: Arc<Gateway>, engine: EndpointEntry) {
    // An engine that does not answer is noticed through the generations that it runs.
    let report = read_report(&gateway, &engine, REPORT_TIMEOUT).await;
    // A report of another incarnation under the same name says nothing about this one.
    let of_this_incarnation = report.filter(|report| {
        report.born_ms.is_none() || engine.born_ms.is_none() || report.born_ms == engine.born_ms
    });
    let Some(report) = of_this_incarnation.filter(|report| report.draining) else {
        return;
    };
    if let Some(leaves_in) = report.leaves_in {
        let end_at = gateway.now() + leaves_in.saturating_sub(REPORT_DELAY);
        gateway
            .fleet
            .lock()
            .record_announced_end(&engine.id, end_at);
    }
    gateway
        .endpoint_signals
        .record_draining(&engine.id, "report");
}

/// Returns an engine's report if it arrives within the timeout; logs why there is none.
pub(super) async fn read_report(
    gateway: &Gateway,
    engine: &EndpointEntry,
    timeout: Duration,
) -> Option<EngineReport> {
    if gateway.is_cooling_down(&engine.id) {
        // The report can wait, and it holds nothing that a later report would not.
        return None;
    }
    let read = tokio::time::timeout(timeout, fetch_report(gateway, engine)).await;
    let read = read.unwrap_or_else(|_| Err("no response in time".to_owned()));
    if let Err(reason) = &read
        && crate::log::should_log("engine report not read")
    {
        info!("engine report not read", kv: { endpoint = engine.id.as_str(), why = reason.as_str() });
    }
    read.ok()
}

async fn fetch_report(gateway: &Gateway, engine: &EndpointEntry) -> Result<EngineReport, String> {
    let request =
        engine::build_report_request(engine.address).map_err(|error| error.to_string())?;
    metrics::counter!("larkwick_engine_reports_total").increment(1);
    let permit = gateway.request_permit(&engine.service, &engine.id).await;
    let permit = permit.ok_or("no permit for the engine")?;
    let upstream = &gateway.upstream;
    let response = upstream.send_control_request(engine, request, REPORT_MAX_BYTES, permit);
    let (_, body) = response.await.map_err(|error| error.to_string())?;
    engine::decode_report(&body)
}
