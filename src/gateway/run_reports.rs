//! Reports the generations that this instance serves to the owners of their services.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;

use super::coordinator::apply_run_report;
use super::node::Gateway;
use super::ownership::{owner_address, record_owner_call};
use super::runs::UnavailableEngines;
use crate::kernel::engine_ledger::ReportedRun;
use crate::kernel::pause_counts::PauseBuffer;
use crate::peer::client::call_with_timeout;
use crate::peer::generated as wire;

/// Longest wait for the owner to accept a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between reports of an instance whose generations do not end, at a site of up to
/// [`REPORT_INTERVAL_INSTANCES`] instances; also while a generation runs on a leaving engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest such interval. It allows three reports within the time after which an instance that
/// sends none counts as gone.
const REPORT_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Number of instances beyond which the interval grows in proportion, since one owner receives the
/// reports of all.
const REPORT_INTERVAL_INSTANCES: usize = 100;
/// Shortest time between two reports.
const REPORT_PAUSE_MIN: Duration = Duration::from_millis(40);

/// Reports this instance's generations to the owners until the instance stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut reported: BTreeSet<String> = BTreeSet::new();
    // Pauses that no owner has accepted yet, by service.
    let mut undelivered: HashMap<String, PauseBuffer> = HashMap::new();
    loop {
        let mut services: BTreeSet<String> = gateway.runs.services();
        // A service whose last generation has ended is reported once more.
        services.append(&mut reported);
        // Its owner must hear of engines that cannot be used, also if no generation runs.
        services.append(&mut gateway.runs.services_with_unavailable_engines());
        for service in &services {
            let runs = gateway.runs.reported_runs(service);
            if !runs.is_empty() {
                reported.insert(service.clone());
            }
            let undelivered = undelivered.entry(service.clone()).or_default();
            send_report(&gateway, service, runs, undelivered).await;
        }
        tokio::select! {
            () = tokio::time::sleep(report_interval(&gateway)) => {}
            () = gateway.ledgers.runs_changed.notified() => tokio::time::sleep(REPORT_PAUSE_MIN).await,
        }
    }
}

/// Returns how long an instance waits before it reports unchanged generations again.
fn report_interval(gateway: &Gateway) -> Duration {
    let is_leaving = {
        let fleet = gateway.fleet.lock();
        let engines = gateway.runs.active_engines();
        engines.iter().any(|engine| fleet.is_leaving(engine))
    };
    if is_leaving {
        return REPORT_INTERVAL;
    }
    let count = |instances: usize| u32::try_from(instances).unwrap_or(u32::MAX);
    let factor = f64::from(count(gateway.reachable_instance_count()))
        / f64::from(count(REPORT_INTERVAL_INSTANCES));
    REPORT_INTERVAL
        .mul_f64(factor.max(1.0))
        .min(REPORT_INTERVAL_MAX)
}

/// Reports to the owner of a service. The pauses of reports that it did not accept are `undelivered`
/// and sent with the next one.
async fn send_report(
    gateway: &Arc<Gateway>,
    service: &str,
    runs: Vec<ReportedRun>,
    undelivered: &mut PauseBuffer,
) {
    let mut unavailable = UnavailableEngines {
        cooling_down: gateway.cooling_down_endpoints(),
        ..gateway.runs.take_unavailable_engines(service)
    };
    // Who reaches no engine at all tells nothing about a single one.
    if gateway.reach.is_cut_off(service) {
        unavailable.unreached.clear();
    }
    let own_name = &gateway.incarnation.name;
    // Also kept in the local ledger for when the owner is unreachable.
    let pauses = gateway.runs.take_pauses(service);
    apply_run_report(
        gateway,
        service,
        own_name,
        runs.clone(),
        &unavailable,
        &pauses,
    );
    undelivered.restore(&pauses);
    let pauses = undelivered.take();
    let Some(address) = owner_address(gateway, service) else {
        return;
    };
    let report = wire::RunsReport {
        service: service.to_owned(),
        entry: own_name.clone(),
        runs: runs.iter().map(wire::Run::from).collect(),
        refused: unavailable.refused.into_iter().collect(),
        dead: unavailable.gone.into_iter().collect(),
        unreached: unavailable.unreached.into_iter().collect(),
        resting: unavailable.cooling_down.into_iter().collect(),
        paces: pauses.iter().map(wire::EnginePaces::from).collect(),
    };
    let response = match gateway.peers.site_client(&address) {
        Ok(mut client) => call_with_timeout(REPORT_TIMEOUT, client.report_runs(report)).await,
        Err(status) => Err(status),
    };
    record_owner_call(gateway, service, response.is_ok());
    if response.is_err() {
        undelivered.restore(&pauses);
    }
    if let Err(status) = response
        && crate::log::should_log("report not taken")
    {
        warn!("report not taken", kv: { service, owner = address.as_str(), why = status.message() });
    }
}
