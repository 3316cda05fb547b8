//! The states of roll-outs that the store has recorded.

use std::time::Duration;

use larkwick::kernel::rollout::{RolloutState, RolloutStatus};
use larkwick::kernel::rollout_statuses::{EndedRollout, RolloutStatuses};

const SECOND: Duration = Duration::from_secs(1);

fn reverted(started_at_unix: Duration) -> RolloutStatus {
    RolloutStatus {
        service: "app".to_owned(),
        target_version: "v2".to_owned(),
        state: RolloutState::Reverted,
        started_at_unix,
    }
}

fn ended(started_at_unix: Duration, ended_at_unix: Duration) -> EndedRollout {
    EndedRollout {
        target_version: "v2".to_owned(),
        started_at_unix,
        ended_at_unix,
    }
}

/// Guards against a roll-out that is taken for reverted from its start: orders and states are read
/// from two topics, and the state of an order that was withdrawn at once came after the withdrawal.
#[test]
fn record_state_of_withdrawn_order_read_late_ignored() {
    let mut statuses = RolloutStatuses::default();
    statuses.forget("app", ended(SECOND * 10, SECOND * 20));
    assert!(!statuses.record(&reverted(SECOND * 10)));
    assert_eq!(statuses.get("app"), None);
    // A later order for the same version; the clock of its owner is late by some seconds.
    let later = reverted(SECOND * 17);
    assert!(statuses.record(&later));
    assert_eq!(statuses.get("app"), Some(&later));
}

#[test]
fn record_state_of_other_version_after_withdrawal_kept() {
    let mut statuses = RolloutStatuses::default();
    statuses.forget("app", ended(SECOND * 10, SECOND * 20));
    let other = RolloutStatus {
        target_version: "v3".to_owned(),
        ..reverted(SECOND * 10)
    };
    assert!(statuses.record(&other));
    assert_eq!(statuses.get("app"), Some(&other));
}
