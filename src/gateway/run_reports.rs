//! Tells the owners which generations this instance serves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use spdlog::warn;

use super::coordinator::take_report;
use super::node::Gateway;
use super::ownership::{note_owner, owner_address};
use super::runs::NotTaken;
use crate::kernel::engine_ledger::ReportedRun;
use crate::peer::client::within;
use crate::peer::generated as wire;

/// Longest wait for a report to the owner.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between reports of an entry whose generations do not end, at a site of up to [`REPORT_INSTANCES`] instances; also while a generation
/// runs on an engine that leaves.
const REPORT_EVERY: Duration = Duration::from_millis(400);
/// Longest such pause: three reports within the time after which a silent entry counts as gone.
const REPORT_EVERY_MAX: Duration = Duration::from_secs(1);
/// Instances beyond which the pause grows in proportion: one owner hears them all.
const REPORT_INSTANCES: usize = 100;
/// Least pause between reports.
const REPORT_PAUSE: Duration = Duration::from_millis(40);

/// Reports this instance's generations to the owners for the life of the instance.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut reported: BTreeSet<String> = BTreeSet::new();
    loop {
        let mut services: BTreeSet<String> = gateway.runs.services();
        // A service whose last generation has ended is reported once more.
        services.append(&mut reported);
        for service in &services {
            let runs = gateway.runs.of_service(service);
            if !runs.is_empty() {
                reported.insert(service.clone());
            }
            report(&gateway, service, runs).await;
        }
        tokio::select! {
            () = tokio::time::sleep(report_pause(&gateway)) => {}
            () = gateway.ledgers.changed.notified() => tokio::time::sleep(REPORT_PAUSE).await,
        }
    }
}

/// How long an entry waits before it reports what goes on as before.
fn report_pause(gateway: &Gateway) -> Duration {
    let is_leaving = {
        let fleet = gateway.fleet.lock();
        let engines = gateway.runs.endpoints();
        engines.iter().any(|engine| fleet.is_leaving(engine))
    };
    if is_leaving {
        return REPORT_EVERY;
    }
    let count = |instances: usize| u32::try_from(instances).unwrap_or(u32::MAX);
    let times =
        f64::from(count(gateway.reachable_instance_count())) / f64::from(count(REPORT_INSTANCES));
    REPORT_EVERY.mul_f64(times.max(1.0)).min(REPORT_EVERY_MAX)
}

async fn report(gateway: &Gateway, service: &str, runs: Vec<ReportedRun>) {
    let not_taken = NotTaken {
        resting: gateway.cooling_down_endpoints(),
        ..gateway.runs.take_not_taken(service)
    };
    let own_name = &gateway.incarnation.name;
    // Kept here too, for the time when no owner can be reached.
    take_report(gateway, service, own_name, runs.clone(), &not_taken);
    let Some(address) = owner_address(gateway, service) else {
        return;
    };
    let report = wire::RunsReport {
        service: service.to_owned(),
        entry: own_name.clone(),
        runs: runs.iter().map(wire::Run::from).collect(),
        refused: not_taken.refused.into_iter().collect(),
        dead: not_taken.dead.into_iter().collect(),
        resting: not_taken.resting.into_iter().collect(),
    };
    let called = match gateway.peers.site_at(&address) {
        Ok(mut client) => within(REPORT_TIMEOUT, client.report_runs(report)).await,
        Err(status) => Err(status),
    };
    note_owner(gateway, service, called.is_ok());
    if let Err(status) = called
        && crate::log::admits("report not taken")
    {
        warn!("report not taken", kv: { service, owner = address.as_str(), why = status.message() });
    }
}
