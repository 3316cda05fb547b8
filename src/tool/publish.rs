//! Publishes objects: appends once, then reads the log until the verdict is known.

use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use uuid::Uuid;

use super::config::{LOOK_EVERY, catch_up, read_fold};
use crate::kernel::config::{
    Change, ChangeAction, ConfigState, ConfigStateMachine, Publish, Record, Verdict,
};
use crate::kernel::object::{Object, ObjectKey};
use crate::log_service::{CONFIG_STREAM, Platform, PlatformError};

const APPEND_TRIES: u32 = 5;
const APPEND_PAUSE: Duration = Duration::from_millis(300);

/// What an operator wants published.
#[derive(Debug, Clone)]
pub struct PublishWanted {
    /// Objects to create or replace.
    pub objects: Vec<Object>,
    /// Objects to delete.
    pub deletes: Vec<ObjectKey>,
    /// Who publishes, for the history.
    pub publisher: String,
    /// The id of an earlier try whose outcome is unknown, to try again safely.
    pub publish_id: Option<Uuid>,
    /// How long to wait for the verdict.
    pub wait: Duration,
}

/// What became of a publish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Published {
    /// In force.
    Accepted {
        /// Id of the publish.
        publish_id: Uuid,
        /// Its offset.
        offset: u64,
    },
    /// Everything was in force already; nothing was appended.
    NothingToChange,
    /// Not in force.
    Rejected {
        /// Id of the publish.
        publish_id: Uuid,
        /// Why.
        verdict: Verdict,
    },
    /// Nothing was appended.
    NotPublished {
        /// Why.
        why: String,
    },
    /// It may yet come into force; try again with this id.
    Unknown {
        /// Id of the publish.
        publish_id: Uuid,
    },
}

fn changes(state: &ConfigState, wanted: &PublishWanted) -> Vec<Change> {
    let puts = wanted.objects.iter().filter_map(|object| {
        let held = state.objects.get(&object.key());
        let same = held.is_some_and(|held| held.object == *object);
        (!same).then(|| Change {
            seen_revision: state.revision(&object.key()),
            action: ChangeAction::Put {
                object: Box::new(object.clone()),
            },
        })
    });
    let deletes = wanted.deletes.iter().map(|key| Change {
        seen_revision: state.revision(key),
        action: ChangeAction::Delete { key: key.clone() },
    });
    puts.chain(deletes).collect()
}

/// Publishes and waits for the verdict.
pub async fn publish(platform: &Platform, wanted: &PublishWanted) -> Published {
    let fold = match read_fold(platform).await {
        Ok(fold) => fold,
        Err(error) => {
            return Published::NotPublished {
                why: error.to_string(),
            };
        }
    };
    let publish_id = wanted.publish_id.unwrap_or_else(Uuid::new_v4);
    if let Some(known) = verdict_of(fold.state(), publish_id) {
        return known;
    }
    let changes = changes(fold.state(), wanted);
    if changes.is_empty() {
        return Published::NothingToChange;
    }
    let record = Record::Publish(Publish {
        publish_id,
        base_offset: fold.state().next_offset,
        publisher: wanted.publisher.clone(),
        changes,
    });
    match append(platform, &record).await {
        Err(PlatformError::Refused(why)) => Published::NotPublished { why },
        // A lost reply is resolved by reading.
        Ok(()) | Err(PlatformError::NoAnswer(_)) => {
            await_verdict(platform, fold, publish_id, wanted.wait).await
        }
    }
}

async fn append(platform: &Platform, record: &Record) -> Result<(), PlatformError> {
    let record =
        serde_json::to_value(record).map_err(|error| PlatformError::Refused(error.to_string()))?;
    let mut tries = 1;
    loop {
        match platform.log.append(CONFIG_STREAM, record.clone()).await {
            Ok(_) => return Ok(()),
            Err(PlatformError::Refused(_)) if tries < APPEND_TRIES => {
                tries += 1;
                tokio::time::sleep(APPEND_PAUSE).await;
            }
            Err(error) => return Err(error),
        }
    }
}

async fn await_verdict(
    platform: &Platform,
    mut fold: ConfigStateMachine,
    publish_id: Uuid,
    wait: Duration,
) -> Published {
    let give_up = Instant::now() + wait;
    while Instant::now() < give_up {
        // A failed read is tried again until the wait is over.
        let _ = catch_up(platform, &mut fold).await;
        if let Some(known) = verdict_of(fold.state(), publish_id) {
            return known;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    Published::Unknown { publish_id }
}

fn verdict_of(state: &ConfigState, publish_id: Uuid) -> Option<Published> {
    let decided = state.decided.get(&publish_id)?;
    Some(match &decided.verdict {
        Verdict::Accepted => Published::Accepted {
            publish_id,
            offset: decided.offset,
        },
        verdict => Published::Rejected {
            publish_id,
            verdict: verdict.clone(),
        },
    })
}
