//! Publishes configuration objects: appends one record to the log, then reads the log until the
//! verdict on that record is known.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use uuid::Uuid;

use super::check::find_shared_key;
use super::config::{LOG_POLL_INTERVAL, catch_up, read_config};
use crate::kernel::config::{
    Change, ChangeAction, ConfigState, ConfigStateMachine, Publish, Record, Verdict,
};
use crate::kernel::object::{InvalidField, Object, ObjectKey};
use crate::log_service::{CONFIG_STREAM, Platform, PlatformError};

const APPEND_ATTEMPTS_MAX: u32 = 5;
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The objects to publish and how to publish them.
#[derive(Debug, Clone)]
pub struct PublishRequest {
    /// Objects to create or replace.
    pub objects: Vec<Object>,
    /// Objects to delete.
    pub deletes: Vec<ObjectKey>,
    /// Name of the publisher, recorded in the history.
    pub publisher: String,
    /// Id of an earlier attempt whose outcome is unknown. Repeating the id makes the retry
    /// idempotent.
    pub publish_id: Option<Uuid>,
    /// Maximum time to wait for the verdict.
    pub wait: Duration,
}

/// The outcome of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum PublishOutcome {
    /// The changes are in force.
    Accepted {
        /// Id of the publish.
        publish_id: Uuid,
        /// Offset of the record in the log.
        offset: u64,
    },
    /// All changes were in force already; no record was appended.
    NothingToChange,
    /// The record was rejected, or not appended because it would give one key to two accounts; the
    /// changes are not in force.
    Rejected {
        /// Id of the publish.
        publish_id: Uuid,
        /// Reason for the rejection.
        verdict: Verdict,
    },
    /// No record was appended.
    NotPublished {
        /// Reason why nothing was appended.
        #[serde(rename = "why")]
        reason: String,
    },
    /// No verdict was seen in time. The changes may still come into force; retry with the same id.
    Unknown {
        /// Id of the publish.
        publish_id: Uuid,
    },
}

/// Returns the changes that turn the current configuration into the requested one. Objects that are
/// already in force are left out.
fn diff_changes(state: &ConfigState, request: &PublishRequest) -> Vec<Change> {
    let puts = request.objects.iter().filter_map(|object| {
        let stored = state.objects.get(&object.key());
        let is_unchanged = stored.is_some_and(|stored| stored.object == *object);
        (!is_unchanged).then(|| Change {
            seen_revision: state.revision(&object.key()),
            action: ChangeAction::Put {
                object: Box::new(object.clone()),
            },
        })
    });
    let deletes = request.deletes.iter().map(|key| Change {
        seen_revision: state.revision(key),
        action: ChangeAction::Delete { key: key.clone() },
    });
    puts.chain(deletes).collect()
}

/// Returns why an account of the request cannot be published: another one has its key.
///
/// Checked here and not by the log's readers: these have to decide alike, also while some of them
/// are older.
fn shared_key(state: &ConfigState, request: &PublishRequest) -> Option<InvalidField> {
    let is_replaced = |key: &ObjectKey| {
        let mut published = request.objects.iter();
        published.any(|object| object.key() == *key) || request.deletes.contains(key)
    };
    let in_force = state.objects.iter().filter(|(key, _)| !is_replaced(key));
    let in_force = in_force.map(|(_, versioned)| &versioned.object);
    let (_, invalid) = find_shared_key(in_force, &request.objects)?;
    Some(invalid)
}

/// Publishes the request and waits for the verdict.
pub async fn publish(platform: &Platform, request: &PublishRequest) -> PublishOutcome {
    let config = match read_config(platform).await {
        Ok(config) => config,
        Err(error) => {
            return PublishOutcome::NotPublished {
                reason: error.to_string(),
            };
        }
    };
    let publish_id = request.publish_id.unwrap_or_else(Uuid::new_v4);
    if let Some(outcome) = find_outcome(config.state(), publish_id) {
        return outcome;
    }
    let changes = diff_changes(config.state(), request);
    if changes.is_empty() {
        return PublishOutcome::NothingToChange;
    }
    if let Some(invalid) = shared_key(config.state(), request) {
        return PublishOutcome::Rejected {
            publish_id,
            verdict: Verdict::Invalid(invalid),
        };
    }
    let record = Record::Publish(Publish {
        publish_id,
        base_offset: config.state().next_offset,
        publisher: request.publisher.clone(),
        changes,
    });
    match append(platform, &record).await {
        Err(PlatformError::Refused(reason)) => PublishOutcome::NotPublished { reason },
        // If the reply was lost, the log shows whether the record was appended.
        Ok(()) | Err(PlatformError::NoAnswer(_)) => {
            wait_for_verdict(platform, config, publish_id, request.wait).await
        }
    }
}

/// Appends a record, and retries if the platform refuses it. A missing reply is not retried: the
/// record may be in the log already.
async fn append(platform: &Platform, record: &Record) -> Result<(), PlatformError> {
    let record =
        serde_json::to_value(record).map_err(|error| PlatformError::Refused(error.to_string()))?;
    let mut attempts = 1;
    loop {
        match platform.log.append(CONFIG_STREAM, record.clone()).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Refused(_)) if attempts < APPEND_ATTEMPTS_MAX => {
                attempts += 1;
                tokio::time::sleep(APPEND_RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
    }
}

async fn wait_for_verdict(
    platform: &Platform,
    mut config: ConfigStateMachine,
    publish_id: Uuid,
    wait: Duration,
) -> PublishOutcome {
    let deadline = Instant::now() + wait;
    while Instant::now() < deadline {
        // A failed read is retried until the deadline.
        let _ = catch_up(platform, &mut config).await;
        if let Some(outcome) = find_outcome(config.state(), publish_id) {
            return outcome;
        }
        tokio::time::sleep(LOG_POLL_INTERVAL).await;
    }
    PublishOutcome::Unknown { publish_id }
}

/// Returns the outcome of a publish if the log up to this state contains its verdict.
fn find_outcome(state: &ConfigState, publish_id: Uuid) -> Option<PublishOutcome> {
    let decision = state.decided.get(&publish_id)?;
    Some(match &decision.verdict {
        Verdict::Accepted => PublishOutcome::Accepted {
            publish_id,
            offset: decision.offset,
        },
        verdict => PublishOutcome::Rejected {
            publish_id,
            verdict: verdict.clone(),
        },
    })
}
