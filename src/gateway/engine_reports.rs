//! Asks engines whether they are leaving while the list of endpoints is silent. Each question is priced, so nobody but the owner
//! asks, and only then.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use super::coordinator;
use super::node::Gateway;
use super::site_store::Subject;
use crate::kernel::fleet::EndpointEntry;
use crate::platform::engine::{self, EngineReport};

/// Between two rounds of questions. A notice is 1.5 s or more and shows in a report 0.6 s late.
const ROUND_EVERY: Duration = Duration::from_millis(300);
/// Longest wait for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest report.
const REPORT_MAX_BYTES: usize = 256 << 10;

/// Asks for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(ROUND_EVERY).await;
        let age = gateway.store.word_age(Subject::Endpoints);
        let silent_after = gateway.routing.read().freshness().store_timeout();
        let is_away = gateway.store.is_store_away(Subject::Endpoints);
        if age.is_none_or(|age| age < silent_after && !is_away) {
            continue;
        }
        for engine in coordinator::engines_to_ask(&gateway) {
            tokio::spawn(ask(gateway.clone(), engine));
        }
    }
}

async fn ask(gateway: Arc<Gateway>, engine: EndpointEntry) {
    // An engine that says nothing shows in the generations that it runs.
    let report = read(&gateway, &engine, REPORT_TIMEOUT).await;
    // What another start says under the same name says nothing of this one.
    let of_this_start = report.filter(|report| {
        report.born_ms.is_none() || engine.born_ms.is_none() || report.born_ms == engine.born_ms
    });
    if of_this_start.is_some_and(|report| report.leaving) {
        gateway
            .endpoint_signals
            .record_draining(&engine.id, "report");
    }
}

/// What an engine says of itself within a time; why it says nothing goes to the log.
pub(super) async fn read(
    gateway: &Gateway,
    engine: &EndpointEntry,
    within: Duration,
) -> Option<EngineReport> {
    if gateway.is_cooling_down(&engine.id) {
        // A question can wait, and tells nothing that could not come later.
        return None;
    }
    let read = tokio::time::timeout(within, report(gateway, engine)).await;
    let read = read.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    if let Err(why) = &read
        && crate::log::admits("report not read")
    {
        info!("report not read", kv: { endpoint = engine.id.as_str(), why = why.as_str() });
    }
    read.ok()
}

async fn report(gateway: &Gateway, engine: &EndpointEntry) -> Result<EngineReport, String> {
    let request = engine::report_request(engine.address).map_err(|error| error.to_string())?;
    metrics::counter!("larkwick_engine_reports_total").increment(1);
    let permit = gateway.request_permit(&engine.service, &engine.id).await;
    let permit = permit.ok_or("the engine takes no more for now")?;
    let upstream = &gateway.upstream;
    let asked = upstream.send_control_request(engine, request, REPORT_MAX_BYTES, permit);
    let (_, body) = asked.await?;
    engine::decode_report(&body)
}
