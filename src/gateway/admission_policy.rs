//! Applies the settings for load to the admission queues, and tells operators what was refused.

use spdlog::info;

use super::ledgers::ServiceShard;
use super::node::Gateway;
use crate::kernel::admission_queue::{AdmissionPolicy, Refusal, RefusalReason};
use crate::kernel::clock::millis;
use crate::kernel::engine_ledger::RunDemand;
use crate::kernel::fair_shares::AccountWeights;
use crate::kernel::room_reserve::ReservePolicy;
use crate::settings::load::LoadSettings;

/// Applies the settings to a queue if they have changed since the last call.
pub(super) fn sync_policy(gateway: &Gateway, shard: &mut ServiceShard) {
    let routing = gateway.routing.read();
    if shard.load != routing.load {
        shard.load.clone_from(&routing.load);
        shard.queue.set_policy(admission_policy(&routing.load));
    }
}

fn admission_policy(load: &LoadSettings) -> AdmissionPolicy {
    let shares = load.fair_accounts.then(|| AccountWeights {
        by_account: load.account_weights.clone(),
    });
    AdmissionPolicy {
        shares,
        reserve: ReservePolicy {
            for_urgent: load.reserve_for_urgent,
            for_moves: load.reserve_for_moves,
        },
        wait_past_objective: load.wait_past_objective,
        shorter_first: load.shorter_first,
    }
}

/// Logs and counts a refusal, unless the generation asks again for the current version.
pub(super) fn record_refusal(service: &str, demand: &RunDemand, entry: &str, refusal: &Refusal) {
    if refusal.reason == RefusalReason::NewVersionFull {
        return;
    }
    let reason = refusal.reason.label();
    metrics::counter!("larkwick_admissions_refused_total", "reason" => reason).increment(1);
    metrics::histogram!("larkwick_refused_wait_seconds").record(refusal.waited.as_secs_f64());
    if crate::log::should_log("admission refused") {
        info!("admission refused", kv: {
            request_id = demand.run.as_str(), service, entry, reason,
            account = demand.account.as_deref().unwrap_or_default(),
            priority: = demand.priority,
            waited_ms: = millis(refusal.waited),
            ahead: = refusal.ahead,
            reserve_tokens: = refusal.reserve_tokens.round(),
        });
    }
}
