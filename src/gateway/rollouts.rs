//! Roll-outs at one instance: the orders and directives that are known here, and what was sent to
//! both versions and how it ended.
//!
//! Each instance draws the version of its own requests with the share that the owner directs, and
//! sends nothing to the new version while it hears from no owner. The owner of the service decides;
//! the instance that would follow it receives the same reports. The final state is written to the
//! store under the condition that nothing else was written since, so that the first one stands.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde::Serialize;
use spdlog::info;

use super::inbound_call::Call;
use super::node::Gateway;
use super::version_choice::{RolloutView, VersionChoice, canary_endpoint_count};
use crate::kernel::clock::{Clock, millis};
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::rollout::{
    CanaryLimits, Phase, RequestCounts, RolloutController, RolloutOrder, RolloutState,
    RolloutStatus,
};
use crate::kernel::rollout_evidence::{RolloutOutcome, Score, Version};
use crate::kernel::rollout_orders::{RolloutOrderChange, RolloutOrders};
use crate::kernel::rollout_statuses::{EndedRollout, RolloutStatuses};

/// Time for which a directive of the owner holds.
const DIRECTIVE_VALID_FOR: Duration = Duration::from_millis(2_500);
/// Maximum number of outcomes in one report. Those of the new version are never left out.
const REPORTED_OUTCOMES_MAX: usize = 64;
/// Time for which the former version is avoided after a roll-out was completed. Its endpoints are
/// stopped at once, and later versions may come without an order.
const FORMER_VERSION_AVOIDED_FOR: Duration = Duration::from_secs(10);

/// What an instance reports about a roll-out.
pub(super) struct DueReport {
    pub(super) service: String,
    pub(super) target_version: String,
    pub(super) counts: RequestCounts,
    pub(super) outcomes: Vec<RolloutOutcome>,
}

/// A roll-out of one service.
pub(super) struct ServiceRollout {
    order: RolloutOrder,
    /// Time at which the order became known here.
    seen_at: Duration,
    /// The status recorded in the store, if it belongs to this order.
    recorded: Option<RolloutStatus>,
    /// Time at which a final state became known here.
    concluded_at: Option<Duration>,
    /// The owner's last directive, and until when it holds.
    directive: Option<(Phase, Duration)>,
    /// What was sent since the last report.
    counts: RequestCounts,
    /// Outcomes since the last report.
    outcomes: Vec<RolloutOutcome>,
    /// Decides on the roll-out here; `None` until this instance receives a report.
    controller: Option<RolloutController>,
}

/// The roll-outs known to an instance.
#[derive(Default)]
pub(crate) struct Rollouts {
    services: Mutex<BTreeMap<String, ServiceRollout>>,
    orders: Mutex<RolloutOrders>,
    /// The states that the store has recorded.
    pub(super) statuses: Mutex<RolloutStatuses>,
    /// Incremented whenever engines may have to be used differently.
    version: AtomicU64,
}

/// A roll-out in the state dump.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutDump {
    target_version: String,
    finish_within_ms: u64,
    phase: Phase,
    recorded: Option<RolloutState>,
    /// Scores of the new version by route; only at the instance that decides.
    scores: BTreeMap<String, Score>,
}

impl ServiceRollout {
    fn new(order: RolloutOrder, recorded: Option<RolloutStatus>, now: Duration) -> Self {
        let mut rollout = Self {
            order,
            seen_at: now,
            recorded: None,
            concluded_at: None,
            directive: None,
            counts: RequestCounts::default(),
            outcomes: Vec::new(),
            controller: None,
        };
        if let Some(status) = recorded {
            rollout.apply_status(status, now);
        }
        rollout
    }

    fn apply_status(&mut self, status: RolloutStatus, now: Duration) {
        let is_final = self
            .recorded
            .as_ref()
            .is_some_and(|recorded| recorded.state.is_final());
        if status.target_version != self.order.target_version || is_final {
            return;
        }
        if status.state.is_final() {
            self.concluded_at = Some(now);
        }
        if let Some(controller) = &mut self.controller {
            controller.conclude(status.state);
        }
        self.recorded = Some(status);
    }

    fn phase(&self, now: Duration) -> Phase {
        match self.recorded.as_ref().map(|recorded| recorded.state) {
            Some(RolloutState::Completed) => return Phase::Completed,
            Some(RolloutState::Reverted) => return Phase::Reverted,
            Some(RolloutState::Running) | None => {}
        }
        match self.directive {
            Some((phase, valid_until)) if now < valid_until => phase,
            // A directive to stop holds until another one comes.
            Some((Phase::Reverted, _)) => Phase::Reverted,
            _ => Phase::Canary { share: 0.0 },
        }
    }

    fn view(&self, now: Duration) -> Option<RolloutView> {
        let phase = self.phase(now);
        let concluded_for = self.concluded_at.map(|at| now.saturating_sub(at));
        let is_over = phase == Phase::Completed
            && concluded_for.is_some_and(|time| time >= FORMER_VERSION_AVOIDED_FOR);
        (!is_over).then(|| RolloutView {
            target_version: self.order.target_version.clone(),
            phase,
        })
    }

    /// Returns the state recorded in the store.
    pub(super) fn recorded_state(&self) -> Option<RolloutState> {
        self.recorded.as_ref().map(|recorded| recorded.state)
    }

    /// Returns the Unix time at which the order was first seen.
    pub(super) fn started_at_unix(&self, now: Duration, unix_now: Duration) -> Duration {
        self.recorded.as_ref().map_or_else(
            || unix_now.saturating_sub(now.saturating_sub(self.seen_at)),
            |recorded| recorded.started_at_unix,
        )
    }

    /// Returns the controller, which is created if necessary.
    pub(super) fn controller(
        &mut self,
        limits: CanaryLimits,
        now: Duration,
        unix_now: Duration,
    ) -> &mut RolloutController {
        let age = match &self.recorded {
            Some(recorded) => unix_now
                .saturating_sub(recorded.started_at_unix)
                .max(now.saturating_sub(self.seen_at)),
            None => now.saturating_sub(self.seen_at),
        };
        let recorded = self.recorded_state();
        let controller = self.controller.get_or_insert_with(|| {
            // The order may be older than this process.
            let before_start = age.saturating_sub(now);
            let order = RolloutOrder {
                finish_within: self.order.finish_within.saturating_sub(before_start),
                ..self.order.clone()
            };
            RolloutController::new(order, limits, now.saturating_sub(age))
        });
        controller.conclude(recorded.unwrap_or(RolloutState::Running));
        controller
    }

    /// Takes what is to be reported, all outcomes of the new version among it.
    fn take_report(&mut self) -> (RequestCounts, Vec<RolloutOutcome>) {
        let mut outcomes = std::mem::take(&mut self.outcomes);
        if outcomes.len() > REPORTED_OUTCOMES_MAX {
            let targets = outcomes
                .iter()
                .filter(|outcome| outcome.version == Version::Target)
                .count();
            let mut left = REPORTED_OUTCOMES_MAX.saturating_sub(targets);
            outcomes.retain(|outcome| {
                let is_kept = outcome.version == Version::Target || left > 0;
                left = left.saturating_sub(usize::from(outcome.version == Version::Current));
                is_kept
            });
        }
        (std::mem::take(&mut self.counts), outcomes)
    }
}

impl Rollouts {
    /// Applies all orders in force.
    pub(crate) fn apply_orders(&self, orders: &RolloutOrders, clock: &dyn Clock) {
        self.update_orders(clock, |known| known.replace_if_older(orders));
    }

    /// Applies a change of one order.
    pub(crate) fn apply_change(&self, change: RolloutOrderChange, clock: &dyn Clock) {
        self.update_orders(clock, |known| known.apply(change));
    }

    fn update_orders(&self, clock: &dyn Clock, update: impl FnOnce(&mut RolloutOrders)) {
        let (now, unix_now) = (clock.now(), clock.unix_time());
        let orders = {
            let mut known = self.orders.lock();
            update(&mut known);
            known.orders.clone()
        };
        let mut services = self.services.lock();
        services.retain(|service, rollout| {
            let order = orders.get(service);
            let is_same =
                order.is_some_and(|order| order.target_version == rollout.order.target_version);
            if !is_same {
                info!("roll-out order withdrawn or replaced", kv: { service = service.as_str(),
                    target_version = rollout.order.target_version.as_str() });
                // A later order for the same version is compared anew.
                let ended = EndedRollout {
                    target_version: rollout.order.target_version.clone(),
                    started_at_unix: rollout.started_at_unix(now, unix_now),
                    ended_at_unix: unix_now,
                };
                self.statuses.lock().forget(service, ended);
            }
            is_same
        });
        for (service, order) in orders {
            let Some(rollout) = services.get_mut(&service) else {
                info!("roll-out ordered", kv: { service = service.as_str(),
                    target_version = order.target_version.as_str(),
                    finish_within_ms: = millis(order.finish_within) });
                let recorded = self.statuses.lock().get(&service).cloned();
                services.insert(service, ServiceRollout::new(order, recorded, now));
                continue;
            };
            if let Some(controller) = &mut rollout.controller
                && order.finish_within != rollout.order.finish_within
            {
                controller.set_finish_within(order.finish_within);
            }
            rollout.order = order;
        }
        self.version.fetch_add(1, Ordering::Relaxed);
    }

    /// Applies a status that the store has recorded.
    pub(crate) fn apply_status(&self, status: RolloutStatus, now: Duration) {
        info!("roll-out status", kv: { service = status.service.as_str(),
            target_version = status.target_version.as_str(), state:? = status.state });
        let is_current = self.statuses.lock().record(&status);
        let mut services = self.services.lock();
        if let Some(rollout) = services.get_mut(&status.service)
            && is_current
        {
            rollout.apply_status(status, now);
        }
        self.version.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a counter that is incremented whenever engines may have to be used differently.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Returns the roll-out of a service, if there is one.
    pub(crate) fn view(&self, service: &str, now: Duration) -> Option<RolloutView> {
        self.services.lock().get(service)?.view(now)
    }

    /// Draws the version for a call; `None` if the service is not rolled out.
    pub(crate) fn draw(&self, service: &str, now: Duration) -> Option<VersionChoice> {
        Some(VersionChoice::draw(self.view(service, now)?))
    }

    /// Takes the reports of all roll-outs that are not over.
    pub(super) fn take_due_reports(&self) -> Vec<DueReport> {
        let mut services = self.services.lock();
        let running = services
            .iter_mut()
            .filter(|(_, rollout)| !rollout.recorded_state().is_some_and(RolloutState::is_final));
        let reports = running.map(|(service, rollout)| {
            let (counts, outcomes) = rollout.take_report();
            DueReport {
                service: service.clone(),
                target_version: rollout.order.target_version.clone(),
                counts,
                outcomes,
            }
        });
        reports.collect()
    }

    /// Runs `change` on the roll-out of a service to a version; returns `None` if there is none.
    pub(super) fn with_order<T>(
        &self,
        service: &str,
        target_version: &str,
        change: impl FnOnce(&mut ServiceRollout) -> T,
    ) -> Option<T> {
        let mut services = self.services.lock();
        let rollout = services.get_mut(service)?;
        (rollout.order.target_version == target_version).then(|| change(rollout))
    }

    pub(super) fn set_directive(
        &self,
        service: &str,
        target_version: &str,
        phase: Phase,
        now: Duration,
    ) {
        let mut services = self.services.lock();
        let rollout = services.get_mut(service);
        let Some(rollout) =
            rollout.filter(|rollout| rollout.order.target_version == target_version)
        else {
            return;
        };
        let before = rollout.phase(now);
        rollout.directive = Some((phase, now + DIRECTIVE_VALID_FOR));
        if before != phase {
            self.version.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the roll-outs by service for the state dump.
    pub(crate) fn dump(&self, now: Duration) -> BTreeMap<String, RolloutDump> {
        let services = self.services.lock();
        let dumps = services.iter().map(|(service, rollout)| {
            let controller = rollout.controller.as_ref();
            let dump = RolloutDump {
                target_version: rollout.order.target_version.clone(),
                finish_within_ms: millis(rollout.order.finish_within),
                phase: rollout.phase(now),
                recorded: rollout.recorded.as_ref().map(|recorded| recorded.state),
                scores: controller
                    .map(|controller| controller.evidence().scores())
                    .unwrap_or_default(),
            };
            (service.clone(), dump)
        });
        dumps.collect()
    }
}

impl Gateway {
    /// Records that a call was sent to an endpoint.
    pub(crate) fn record_rollout_send(&self, call: &Call, endpoint: &EndpointEntry) {
        let mut services = self.rollouts.services.lock();
        let Some(rollout) = services.get_mut(&call.service) else {
            return;
        };
        let is_target = endpoint.software == rollout.order.target_version;
        rollout.counts.all += 1;
        rollout.counts.target += u64::from(is_target);
    }

    /// Records how an endpoint handled a call that was sent `latency` ago.
    pub(crate) fn record_rollout_outcome(
        &self,
        call: &Call,
        endpoint: &EndpointEntry,
        failed: bool,
        latency: Duration,
    ) {
        // A lost way to the endpoints says nothing about their version.
        if failed && self.reach.is_cut_off(&call.service) {
            return;
        }
        let observed_at = self.now();
        let mut services = self.rollouts.services.lock();
        let Some(rollout) = services.get_mut(&call.service) else {
            return;
        };
        if rollout.concluded_at.is_none() {
            let is_target = endpoint.software == rollout.order.target_version;
            rollout.outcomes.push(RolloutOutcome {
                route: call.route.name.clone(),
                version: if is_target {
                    Version::Target
                } else {
                    Version::Current
                },
                failed,
                latency,
                observed_at,
            });
        }
    }

    /// Returns how many endpoints of a new version share the requests of the canary phase.
    pub(crate) fn canary_endpoint_count(&self, current_endpoints: usize) -> usize {
        canary_endpoint_count(self.canary_limits().share, current_endpoints)
    }

    pub(super) fn canary_limits(&self) -> CanaryLimits {
        let routing = self.routing.read();
        CanaryLimits {
            share: routing.canary_share,
            slack: routing.canary_slack,
        }
    }
}
