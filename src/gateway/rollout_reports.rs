//! Reports of what was sent to both versions of a service and how it ended, and the decisions of the
//! owner.

use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};

use super::node::Gateway;
use super::rollouts::DueReport;
use super::site_store::{SiteStore, Subject};
use crate::kernel::rollout::{
    Phase, RequestCounts, RolloutController, RolloutStatus, VersionCensus,
};
use crate::kernel::rollout_evidence::RolloutOutcome;
use crate::peer::client::call_with_timeout;
use crate::peer::convert;
use crate::peer::generated as wire;

/// Interval between reports at a site of up to [`REPORT_INTERVAL_INSTANCES`] instances.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Longest such interval.
const REPORT_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Number of instances beyond which the interval grows in proportion.
const REPORT_INTERVAL_INSTANCES: f64 = 100.0;
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

impl Gateway {
    fn version_census(&self, service: &str, target_version: &str) -> VersionCensus {
        let mut census = VersionCensus::default();
        let running = self.ledgers.shard(service).lock().ledger.running_engines();
        let fleet = self.fleet.lock();
        for entry in fleet.ready_endpoints(service) {
            if entry.software == target_version {
                census.target += 1;
            } else {
                census.current += 1;
                census.runs_on_current += usize::from(running.contains(&entry.id));
            }
        }
        census
    }

    /// Handles a report of an instance as the owner, or as the one that would follow it. Returns the
    /// owner's directive.
    pub(crate) fn receive_rollout_report(
        &self,
        report: wire::RolloutReport,
    ) -> wire::RolloutDirective {
        let now = self.now();
        let counts = RequestCounts {
            all: report.sent,
            target: report.sent_to_target,
        };
        let outcomes = report.outcomes.into_iter();
        let outcomes: Vec<RolloutOutcome> = outcomes
            .map(|outcome| convert::rollout_outcome(outcome, now))
            .collect();
        let phase =
            self.add_rollout_report(&report.service, &report.target_version, counts, &outcomes);
        convert::rollout_directive(phase)
    }

    fn add_rollout_report(
        &self,
        service: &str,
        target_version: &str,
        counts: RequestCounts,
        outcomes: &[RolloutOutcome],
    ) -> Option<Phase> {
        let (now, unix_now) = (self.now(), self.clock.unix_time());
        let limits = self.canary_limits();
        self.rollouts
            .with_order(service, target_version, |rollout| {
                let controller = rollout.controller(limits, now, unix_now);
                controller.add_report(counts, outcomes);
                controller.phase()
            })
    }
}

/// Reports and decides on roll-outs until the instance stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        tokio::time::sleep(report_interval(&gateway)).await;
        for due in gateway.rollouts.take_due_reports() {
            report(&gateway, &due).await;
        }
        rewrite_lost_results(&gateway).await;
    }
}

/// Writes the results that a restored store lacks, as the owner of their services. An instance that
/// starts would otherwise take these roll-outs up again.
async fn rewrite_lost_results(gateway: &Gateway) {
    let lost = gateway.rollouts.statuses.lock().lost();
    if lost.is_empty() {
        return;
    }
    let live = gateway.live_members.view();
    for status in lost {
        let owner = live.owner_and_successor(&status.service).into_iter().next();
        if owner.is_some_and(|owner| owner.name == gateway.incarnation.name) {
            write_status(gateway, status).await;
        }
    }
}

fn report_interval(gateway: &Gateway) -> Duration {
    let instances = u32::try_from(gateway.reachable_instance_count()).unwrap_or(u32::MAX);
    let factor = (f64::from(instances) / REPORT_INTERVAL_INSTANCES).max(1.0);
    REPORT_INTERVAL.mul_f64(factor).min(REPORT_INTERVAL_MAX)
}

/// Reports to the owner of a service and to the instance that would follow it, and applies the
/// owner's directive.
async fn report(gateway: &Arc<Gateway>, due: &DueReport) {
    let DueReport {
        service,
        target_version,
        counts,
        outcomes,
    } = due;
    let live = gateway.live_members.view();
    for (rank, member) in live.owner_and_successor(service).into_iter().enumerate() {
        let is_owner = rank == 0;
        if member.name == gateway.incarnation.name {
            gateway.add_rollout_report(service, target_version, *counts, outcomes);
            if is_owner {
                decide(gateway, service, target_version).await;
            }
            continue;
        }
        let message = wire::RolloutReport {
            service: service.clone(),
            target_version: target_version.clone(),
            sent: counts.all,
            sent_to_target: counts.target,
            outcomes: outcomes.iter().map(Into::into).collect(),
        };
        let reply = match gateway.peers.site_client(&member.peer_address) {
            Ok(mut client) => {
                call_with_timeout(REPORT_TIMEOUT, client.report_rollout(message)).await
            }
            Err(status) => Err(status),
        };
        match reply {
            Ok(directive) if is_owner => {
                if let Some(phase) = convert::rollout_phase(&directive) {
                    let now = gateway.now();
                    gateway
                        .rollouts
                        .set_directive(service, target_version, phase, now);
                }
            }
            Ok(_) => {}
            Err(status) => {
                if crate::log::should_log("roll-out report not taken") {
                    warn!("roll-out report not taken", kv: { service = service.as_str(),
                        owner = member.name.as_str(), why = status.message() });
                }
            }
        }
    }
}

/// Advances a roll-out at the owner, and records its state in the store.
async fn decide(gateway: &Arc<Gateway>, service: &str, target_version: &str) {
    let census = gateway.version_census(service, target_version);
    let (now, unix_now) = (gateway.now(), gateway.clock.unix_time());
    let limits = gateway.canary_limits();
    let decided = gateway
        .rollouts
        .with_order(service, target_version, |rollout| {
            let recorded = rollout.recorded_state();
            let started_at_unix = rollout.started_at_unix(now, unix_now);
            let controller = rollout.controller(limits, now, unix_now);
            let before = controller.phase();
            let phase = controller.advance(census, now);
            if std::mem::discriminant(&before) != std::mem::discriminant(&phase) {
                log_decision(service, controller, census);
            }
            (phase, controller.state(), recorded, started_at_unix)
        });
    let Some((phase, state, recorded, started_at_unix)) = decided else {
        return;
    };
    gateway
        .rollouts
        .set_directive(service, target_version, phase, now);
    if phase == Phase::Finishing {
        gateway.ledgers.wake_coordinator();
    }
    if recorded == Some(state) {
        return;
    }
    let status = RolloutStatus {
        service: service.to_owned(),
        target_version: target_version.to_owned(),
        state,
        started_at_unix,
    };
    write_status(gateway, status).await;
}

/// Records a state in the store, unless something was written since this instance read it last.
async fn write_status(gateway: &Gateway, status: RolloutStatus) {
    let at = gateway.store.known_to(Subject::Members);
    match gateway.store.write_rollout_status(&status, at).await {
        Ok(true) => gateway.rollouts.apply_status(status, gateway.now()),
        // Another instance may have written it. Its record is read first.
        Ok(false) => {}
        Err(error) => warn!("roll-out status not written", kv: {
            service = status.service.as_str(), why: = error,
        }),
    }
}

fn log_decision(service: &str, controller: &RolloutController, census: VersionCensus) {
    info!("roll-out decided", kv: {
        service,
        target_version = controller.order().target_version.as_str(),
        phase:? = controller.phase(),
        scores:? = controller.evidence().scores(),
        target_endpoints: = census.target,
        current_endpoints: = census.current,
        runs_on_current: = census.runs_on_current,
    });
}
