//! The configuration fold: every instance applies the same records in the log's order and reaches the same state.
//!
//! The halls' lease claims travel in the same stream, so that one order, one snapshot and one way of closing gaps serve both.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::lease::{Claim, LeaseTable};
use super::object::{Invalid, Object, ObjectKey, ObjectKind};

/// How many offsets back a record's base may lie, and how long publish ids and tombstones are kept.
///
/// Every copy of a record that arrives later than this is rejected by its base, so forgetting its id is harmless.
pub const BASE_WINDOW_OFFSETS: u64 = 10_000;
const DIGESTS_KEPT: usize = 1_024;

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// An operator's change.
    Publish(Publish),
    /// A claim of a hall's lease.
    Claim(Claim),
    /// The fold's state, so that older records may expire.
    Snapshot(Box<Snapshot>),
}

/// Objects changed together: all are accepted or none.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Publish {
    /// Chosen by the publisher; a second copy of the same id changes nothing.
    pub publish_id: Uuid,
    /// Offset of the next record when the publisher read the state.
    pub base_offset: u64,
    /// Who published, for the history.
    #[serde(default)]
    pub publisher: String,
    /// The changes.
    pub changes: Vec<Change>,
}

/// One changed object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the publisher saw; 0 where the object did not exist.
    pub seen_revision: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: ChangeAction,
}

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum ChangeAction {
    /// Creates or replaces.
    Put {
        /// The object.
        object: Box<Object>,
    },
    /// Deletes.
    Delete {
        /// Which object.
        key: ObjectKey,
    },
}

impl ChangeAction {
    /// The object concerned.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put { object } => object.key(),
            Self::Delete { key } => key.clone(),
        }
    }
}

/// How the fold decided on a publish.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// In force from this offset on.
    Accepted,
    /// An object had changed since the publisher saw it.
    Conflict {
        /// The object.
        key: ObjectKey,
        /// Revision in force; 0 where absent.
        current_revision: u64,
    },
    /// A check failed.
    Invalid(Invalid),
    /// The base lies too far back or ahead.
    StaleBase,
}

/// An object and the offset that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versioned {
    /// Offset of the record, plus one, so that 0 means absent.
    pub revision: u64,
    /// The object.
    pub object: Object,
}

/// A publish that was decided, for the history and for second copies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decided {
    /// Offset of the first copy.
    pub offset: u64,
    /// The decision.
    pub verdict: Verdict,
    /// Who published.
    pub publisher: String,
    /// Objects concerned.
    pub keys: Vec<ObjectKey>,
}

/// The state of the fold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigState {
    /// Offset of the next record to apply; every record below it has been applied.
    pub next_offset: u64,
    /// Objects in force.
    pub objects: BTreeMap<ObjectKey, Versioned>,
    /// Deleted objects, with the revision of their deletion; kept for [`BASE_WINDOW_OFFSETS`].
    pub tombstones: BTreeMap<ObjectKey, u64>,
    /// Publishes decided within [`BASE_WINDOW_OFFSETS`].
    pub decided: BTreeMap<Uuid, Decided>,
    /// Claims in force.
    #[serde(default)]
    pub leases: LeaseTable,
}

/// A snapshot of the fold.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Instance that wrote it.
    pub writer: String,
    /// Hash of `state`; a reader that gets another hash does not adopt it.
    pub digest: String,
    /// The state before the record at `state.next_offset`.
    pub state: ConfigState,
}

/// What applying a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// A publish was decided for the first time.
    Decided(Verdict),
    /// A second copy of a publish; nothing changed.
    Copy,
    /// A claim; `true` where it took effect.
    Claim(bool),
    /// A snapshot that the reader did not need; `agrees` is false where its digest differs from the reader's own.
    Snapshot {
        /// Whether the digests agree, where the reader still has its own for that offset.
        agrees: Option<bool>,
    },
    /// A record that this version cannot read; skipped the same way everywhere.
    Unreadable,
}

/// The fold as an instance runs it.
#[derive(Debug, Clone)]
pub struct ConfigFold {
    state: ConfigState,
    /// The same on every instance; [`BASE_WINDOW_OFFSETS`] but in the model.
    window_offsets: u64,
    /// Digests of the states before recent offsets, oldest first.
    digests: VecDeque<OffsetDigest>,
}

#[derive(Debug, Clone)]
struct OffsetDigest {
    next_offset: u64,
    digest: String,
}

/// Why records cannot be applied to the state at hand.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("records {have} to {first_kept} have expired and no usable snapshot was found")]
pub struct Gap {
    /// Next offset this state needs.
    pub have: u64,
    /// First offset the log still has.
    pub first_kept: u64,
}

impl ConfigState {
    /// Hash of the state. Equal states have equal digests.
    #[must_use]
    pub fn digest(&self) -> String {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        blake3::hash(&bytes).to_hex().to_string()
    }

    /// Revision of an object; 0 where absent. A tombstone has a revision too, but an absent object is seen as 0.
    #[must_use]
    pub fn revision(&self, key: &ObjectKey) -> u64 {
        self.objects.get(key).map_or(0, |held| held.revision)
    }

    fn decide(&self, offset: u64, publish: &Publish, window_offsets: u64) -> Verdict {
        let too_old = publish.base_offset + window_offsets < offset;
        if too_old || publish.base_offset > offset {
            return Verdict::StaleBase;
        }
        for change in &publish.changes {
            let key = change.action.key();
            if let Some(verdict) = self.decide_change(publish, change, key) {
                return verdict;
            }
        }
        match self.check_references(publish) {
            Err(invalid) => Verdict::Invalid(invalid),
            Ok(()) => Verdict::Accepted,
        }
    }

    fn decide_change(&self, publish: &Publish, change: &Change, key: ObjectKey) -> Option<Verdict> {
        let current_revision = self.revision(&key);
        // An object deleted after the publisher's base must not come back through a create that did not see it.
        let deleted_since = self
            .tombstones
            .get(&key)
            .is_some_and(|&deleted| deleted > publish.base_offset);
        if current_revision != change.seen_revision || deleted_since {
            return Some(Verdict::Conflict {
                key,
                current_revision,
            });
        }
        let ChangeAction::Put { object } = &change.action else {
            return None;
        };
        object.check().err().map(Verdict::Invalid)
    }

    fn commit(&mut self, offset: u64, publish: &Publish) {
        let revision = offset + 1;
        for change in &publish.changes {
            let key = change.action.key();
            match &change.action {
                ChangeAction::Put { object } => {
                    self.tombstones.remove(&key);
                    let object = Object::clone(object);
                    self.objects.insert(key, Versioned { revision, object });
                }
                ChangeAction::Delete { .. } => {
                    self.objects.remove(&key);
                    self.tombstones.insert(key, revision);
                }
            }
        }
    }

    /// Checks between objects, as they would be after the publish: an endpoint's hall must be published.
    fn check_references(&self, publish: &Publish) -> Result<(), Invalid> {
        let after = AfterPublish::new(self, publish);
        for change in &publish.changes {
            match &change.action {
                ChangeAction::Put { object } => after.check_hall_of(object)?,
                ChangeAction::Delete { key } if key.kind == ObjectKind::Hall => {
                    // Only this one looks at all objects; halls are hardly ever deleted.
                    after.check_all()?;
                }
                ChangeAction::Delete { .. } => {}
            }
        }
        Ok(())
    }

    fn forget_old(&mut self, window_offsets: u64) {
        let oldest = self.next_offset.saturating_sub(window_offsets + 1);
        self.decided.retain(|_, decided| decided.offset >= oldest);
        self.tombstones.retain(|_, revision| *revision > oldest);
    }
}

impl Default for ConfigFold {
    fn default() -> Self {
        Self::from_state(ConfigState::default())
    }
}

/// The objects as they would be after a publish, without a copy of the state.
struct AfterPublish<'a> {
    state: &'a ConfigState,
    /// What becomes of each object concerned; the last change of an object counts.
    changed: BTreeMap<ObjectKey, &'a ChangeAction>,
}

impl<'a> AfterPublish<'a> {
    fn new(state: &'a ConfigState, publish: &'a Publish) -> Self {
        let changes = publish.changes.iter();
        Self {
            state,
            changed: changes
                .map(|change| (change.action.key(), &change.action))
                .collect(),
        }
    }

    fn has(&self, key: &ObjectKey) -> bool {
        match self.changed.get(key) {
            Some(ChangeAction::Put { .. }) => true,
            Some(ChangeAction::Delete { .. }) => false,
            None => self.state.objects.contains_key(key),
        }
    }

    fn check_hall_of(&self, object: &Object) -> Result<(), Invalid> {
        let Object::Endpoint(endpoint) = object else {
            return Ok(());
        };
        let hall = ObjectKey {
            kind: ObjectKind::Hall,
            name: endpoint.hall.clone(),
        };
        if self.has(&hall) {
            return Ok(());
        }
        Err(Invalid {
            object: object.key().to_string(),
            field: "hall".to_owned(),
            allowed: format!("{:?} is not a published hall", endpoint.hall),
        })
    }

    fn check_all(&self) -> Result<(), Invalid> {
        let unchanged = self.state.objects.iter();
        let unchanged = unchanged.filter(|(key, _)| !self.changed.contains_key(key));
        for (_, held) in unchanged {
            self.check_hall_of(&held.object)?;
        }
        Ok(())
    }
}

impl ConfigFold {
    /// The same fold with another window, for the model.
    #[must_use]
    pub fn with_window(mut self, window_offsets: u64) -> Self {
        self.window_offsets = window_offsets;
        self
    }

    /// A fold that starts from a state taken from a peer or a snapshot.
    #[must_use]
    pub fn from_state(state: ConfigState) -> Self {
        Self {
            state,
            window_offsets: BASE_WINDOW_OFFSETS,
            digests: VecDeque::new(),
        }
    }

    /// The state in force.
    #[must_use]
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Applies the record at `state().next_offset`. `None` stands for a record that cannot be read.
    pub fn apply(&mut self, record: Option<&Record>) -> Applied {
        let offset = self.state.next_offset;
        let applied = match record {
            None => Applied::Unreadable,
            Some(Record::Publish(publish)) => self.apply_publish(offset, publish),
            Some(Record::Claim(claim)) => Applied::Claim(self.state.leases.apply(offset, claim)),
            Some(Record::Snapshot(snapshot)) => Applied::Snapshot {
                agrees: self.agrees(snapshot),
            },
        };
        self.state.next_offset = offset + 1;
        self.state.forget_old(self.window_offsets);
        applied
    }

    fn apply_publish(&mut self, offset: u64, publish: &Publish) -> Applied {
        if self.state.decided.contains_key(&publish.publish_id) {
            return Applied::Copy;
        }
        let verdict = self.state.decide(offset, publish, self.window_offsets);
        if verdict == Verdict::Accepted {
            self.state.commit(offset, publish);
        }
        let decided = Decided {
            offset,
            verdict: verdict.clone(),
            publisher: publish.publisher.clone(),
            keys: publish.changes.iter().map(|c| c.action.key()).collect(),
        };
        self.state.decided.insert(publish.publish_id, decided);
        Applied::Decided(verdict)
    }

    /// Takes a snapshot's state where that is safe: it is intact, ahead of this state, and no record between it and the first
    /// one kept is missing.
    pub fn adopt(&mut self, snapshot: &Snapshot, first_kept: u64) -> bool {
        let intact = snapshot.state.digest() == snapshot.digest;
        let ahead = snapshot.state.next_offset > self.state.next_offset;
        let complete = snapshot.state.next_offset >= first_kept;
        if !(intact && ahead && complete) {
            return false;
        }
        self.state = snapshot.state.clone();
        self.digests.clear();
        true
    }

    /// Takes a peer's state where it is ahead.
    pub fn adopt_from_peer(&mut self, state: ConfigState) -> bool {
        if state.next_offset <= self.state.next_offset {
            return false;
        }
        self.state = state;
        self.digests.clear();
        true
    }

    /// A snapshot of the present state.
    pub fn snapshot(&mut self, writer: &str) -> Snapshot {
        let digest = self.state.digest();
        self.digests.push_back(OffsetDigest {
            next_offset: self.state.next_offset,
            digest: digest.clone(),
        });
        if self.digests.len() > DIGESTS_KEPT {
            self.digests.pop_front();
        }
        Snapshot {
            writer: writer.to_owned(),
            digest,
            state: self.state.clone(),
        }
    }

    fn agrees(&self, snapshot: &Snapshot) -> Option<bool> {
        if snapshot.state.next_offset == self.state.next_offset {
            return Some(self.state.digest() == snapshot.digest);
        }
        self.digests
            .iter()
            .find(|kept| kept.next_offset == snapshot.state.next_offset)
            .map(|kept| kept.digest == snapshot.digest)
    }

    /// Applies what a read of the log returned. Records below the state's offset are skipped; a gap is closed by the newest
    /// usable snapshot among the records.
    ///
    /// # Errors
    /// Records are missing and no snapshot among those at hand closes the gap; the state is unchanged.
    pub fn catch_up(&mut self, read: &LogRead<'_>) -> Result<Vec<Applied>, Gap> {
        if self.state.next_offset < read.first_offset {
            let snapshots = read.records.iter().rev().filter_map(|record| match record {
                Some(Record::Snapshot(snapshot)) => Some(snapshot),
                _ => None,
            });
            for snapshot in snapshots {
                if self.adopt(snapshot, read.first_offset) {
                    break;
                }
            }
        }
        if self.state.next_offset < read.first_offset {
            return Err(Gap {
                have: self.state.next_offset,
                first_kept: read.first_offset,
            });
        }
        let skip =
            usize::try_from(self.state.next_offset - read.first_offset).unwrap_or(usize::MAX);
        let records = read.records.iter().skip(skip);
        Ok(records.map(|record| self.apply(record.as_ref())).collect())
    }
}

/// Consecutive records as read from the log.
#[derive(Debug, Clone, Copy)]
pub struct LogRead<'a> {
    /// Offset of the first record. Where records have expired, this is the first one kept.
    pub first_offset: u64,
    /// The records; `None` where one cannot be read.
    pub records: &'a [Option<Record>],
}
