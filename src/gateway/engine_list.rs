//! The engines of a service as its ledger sees them, built from the endpoint list, the roll-outs
//! and the limits that endpoints announce.

use super::ledgers::{EngineListKey, ServiceShard};
use super::node::Gateway;
use super::ownership::owner_address;
use super::version_choice::{self, RolloutView};
use crate::kernel::cold_start::Sender;
use crate::kernel::engine_ledger::{ColdLimit, ListedEngine, PacePolicy};
use crate::kernel::fleet::{Availability, EndpointEntry, Fleet};
use crate::kernel::permits::LimitShare;
use crate::kernel::rollout::Phase;
use crate::kernel::rollout_evidence::Version;

/// Updates the ledger's engines from the current endpoint list if it has changed since the last
/// call.
pub(super) fn refresh_engines(gateway: &Gateway, service: &str, shard: &mut ServiceShard) {
    let Some(table) = gateway.table() else { return };
    let capabilities = table.service(service).and_then(|service| service.engine);
    let Some(capabilities) = capabilities else {
        return;
    };
    shard.ledger.set_pace_policy(PacePolicy {
        is_enabled: gateway.routing.read().load.engine_pace,
        event_tokens: capabilities.event_tokens,
    });
    let cold_start = table
        .service(service)
        .and_then(|service| service.cold_start);
    let sender = cold_sender(gateway, service);
    let permits = &gateway.endpoint_signals.permits;
    let limits_version = permits.limits_version();
    let limit_share = permits.has_limits().then(|| gateway.issuer_share(service));
    let engines = {
        let fleet = gateway.fleet.lock();
        let engine_list_key = EngineListKey {
            config_version: table.version(),
            fleet_version: fleet.version(),
            rollout_version: gateway.rollouts.version(),
            sender,
            limits_version,
            limit_share,
        };
        if shard.engine_list_key.replace(engine_list_key) == Some(engine_list_key) {
            return;
        }
        let limits = permits.limits();
        let rollout = EngineRollout::new(gateway, service, &fleet);
        let all = fleet
            .all_endpoints()
            .filter(|(entry, _)| entry.service == service);
        let listed = |(entry, availability): (&EndpointEntry, Availability)| ListedEngine {
            id: entry.id.clone(),
            hall: entry.hall.clone(),
            region: gateway.hall_regions.region_of(&entry.hall).to_owned(),
            version: rollout.compared_version(entry),
            slots: capabilities.slots,
            memory_tokens: capabilities.memory_tokens,
            leaving: availability == Availability::Leaving || rollout.is_given_up(entry),
            leaves_at: fleet.expected_end(&entry.id),
            // Generations in an evacuated hall finish where they run. Moving them, as is done off
            // leaving engines, would overload the other halls.
            closed: !fleet.can_accept_work(&entry.id) || rollout.is_closed(entry),
            supports_migration: capabilities.supports_migration,
            supports_copies: capabilities.supports_copies,
            cold: cold_start.map(|cold_start| ColdLimit {
                until: fleet.cold_until(&entry.id),
                share_per_s: cold_start.share_per_s(sender),
            }),
            limit: limits
                .get(&entry.id)
                .zip(limit_share)
                .map(|(per_s, share)| LimitShare {
                    per_s: *per_s,
                    share,
                }),
        };
        all.map(listed).collect()
    };
    shard.ledger.set_engines(engines);
    shard.ledger.sync_permits(gateway.now());
}

/// How a roll-out restricts the engines of a service.
struct EngineRollout {
    view: Option<RolloutView>,
    /// Engines of the new version that are used while the versions are compared.
    canaries: Vec<String>,
}

impl EngineRollout {
    fn new(gateway: &Gateway, service: &str, fleet: &Fleet) -> Self {
        let view = gateway.rollouts.view(service, gateway.now());
        let canaries = view.as_ref().map_or_else(Vec::new, |view| {
            let (target, current): (Vec<_>, Vec<_>) = fleet
                .ready_endpoints(service)
                .partition(|entry| view.version_of(entry) == Version::Target);
            let target = target.iter().map(|entry| entry.id.as_str()).collect();
            let count = gateway.canary_endpoint_count(current.len());
            version_choice::canary_endpoints(&view.target_version, target, count)
        });
        Self { view, canaries }
    }

    /// Returns the version of an engine while versions are compared.
    fn compared_version(&self, entry: &EndpointEntry) -> Option<Version> {
        let view = self.view.as_ref()?;
        matches!(view.phase, Phase::Canary { .. }).then(|| view.version_of(entry))
    }

    /// Returns whether an engine's generations are to be moved to the other version.
    fn is_given_up(&self, entry: &EndpointEntry) -> bool {
        self.view.as_ref().is_some_and(|view| match view.phase {
            Phase::Canary { .. } => false,
            Phase::Finishing | Phase::Completed => view.version_of(entry) == Version::Current,
            Phase::Reverted => view.version_of(entry) == Version::Target,
        })
    }

    /// Returns whether an engine gets no new generations.
    fn is_closed(&self, entry: &EndpointEntry) -> bool {
        self.compared_version(entry) == Some(Version::Target) && !self.canaries.contains(&entry.id)
            || self.is_given_up(entry)
    }
}

/// Returns the role in which this instance sends to the cold engines of a service. An instance cut
/// off from the owner shares the cold-start limit with all other instances that may be cut off too.
fn cold_sender(gateway: &Gateway, service: &str) -> Sender {
    if !gateway.knows_members() {
        Sender::Uninformed
    } else if owner_address(gateway, service).is_none() {
        Sender::Owner
    } else {
        Sender::Standalone {
            instances: gateway.reachable_instance_count(),
        }
    }
}
