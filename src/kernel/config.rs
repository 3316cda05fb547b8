//! The replicated configuration state. Every instance applies the same log records in the same
//! order and therefore reaches the same state.
//!
//! Lease claims of the halls are part of the same log, so configuration and leases share one record
//! order, one snapshot format and one way to recover from expired records.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::lease::{Claim, LeaseTable};
use super::object::{InvalidField, Object, ObjectKey, ObjectKind};

/// Maximum distance in offsets between a publish and its base; also the retention of publish ids
/// and tombstones.
///
/// A duplicate that arrives after its id was pruned is rejected because its base is too old, so
/// pruning is safe.
pub const BASE_WINDOW_OFFSETS: u64 = 10_000;
/// Number of digests of the local state that are kept to verify snapshots of other instances.
const MAX_RETAINED_DIGESTS: usize = 1_024;

/// A record of the configuration log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// An operator's change.
    Publish(Publish),
    /// A claim on the lease of a hall.
    Claim(Claim),
    /// The state before this record, which allows older records to expire.
    Snapshot(Box<Snapshot>),
}

/// An atomic set of changes: either all are accepted or none.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Publish {
    /// Idempotency id chosen by the publisher. A duplicate with the same id has no effect.
    pub publish_id: Uuid,
    /// Next offset of the state that the publisher read before it prepared the changes.
    pub base_offset: u64,
    /// Name of the publisher, for the history.
    #[serde(default)]
    pub publisher: String,
    /// Changes to apply, in order.
    pub changes: Vec<Change>,
}

/// A change to one object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the object that the publisher read; 0 if the object did not exist.
    pub seen_revision: u64,
    /// Operation to perform.
    #[serde(flatten)]
    pub action: ChangeAction,
}

/// Operation of a [`Change`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum ChangeAction {
    /// Creates or replaces an object.
    Put {
        /// New value.
        object: Box<Object>,
    },
    /// Deletes an object.
    Delete {
        /// Key of the object to delete.
        key: ObjectKey,
    },
}

impl ChangeAction {
    /// Returns the key of the object to change.
    #[must_use]
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put { object } => object.key(),
            Self::Delete { key } => key.clone(),
        }
    }
}

/// Verdict on a publish.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The changes are in force from this record on.
    Accepted,
    /// An object has changed since the publisher read it.
    Conflict {
        /// Key of the changed object.
        key: ObjectKey,
        /// Current revision; 0 if the object does not exist.
        current_revision: u64,
    },
    /// An object failed validation.
    Invalid(InvalidField),
    /// The base offset is outside the window or ahead of the log.
    StaleBase,
}

/// An object with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Versioned {
    /// Offset of the record that last changed the object, plus one; 0 is reserved for absent
    /// objects.
    pub revision: u64,
    /// Current value.
    pub object: Object,
}

/// A recorded decision on a publish, kept for the history and to recognize duplicates.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PublishDecision {
    /// Offset of the first record with this publish id.
    pub offset: u64,
    /// Verdict on that record.
    pub verdict: Verdict,
    /// Name of the publisher.
    pub publisher: String,
    /// Keys of the objects that the publish changes.
    pub keys: Vec<ObjectKey>,
}

/// Configuration state after applying a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigState {
    /// Offset of the next record to apply. All records with lower offsets have been applied.
    pub next_offset: u64,
    /// Objects in force.
    pub objects: BTreeMap<ObjectKey, Versioned>,
    /// Deleted objects with the revision of the deletion, kept for [`BASE_WINDOW_OFFSETS`].
    pub tombstones: BTreeMap<ObjectKey, u64>,
    /// Decisions by publish id, kept for [`BASE_WINDOW_OFFSETS`].
    pub decided: BTreeMap<Uuid, PublishDecision>,
    /// Lease claims in force.
    #[serde(default)]
    pub leases: LeaseTable,
}

/// A snapshot of the configuration state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Instance that wrote the snapshot.
    pub writer: String,
    /// Digest of `state`. A reader that computes a different digest does not install the snapshot.
    pub digest: String,
    /// State before the record at `state.next_offset` is applied.
    pub state: ConfigState,
}

/// Effect of applying a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordEffect {
    /// A publish with a new id was decided.
    PublishDecided(Verdict),
    /// A publish with a known id; the state did not change.
    DuplicatePublish,
    /// A lease claim; `true` if it took effect.
    Claim(bool),
    /// A snapshot that was not needed to catch up; used only to verify the local state.
    Snapshot {
        /// Whether the digest equals the local one for that offset; `None` if the local digest is
        /// no longer known.
        digest_matches: Option<bool>,
    },
    /// A record that cannot be decoded. Every instance skips it in the same way.
    Unreadable,
}

/// The configuration state machine of an instance.
#[derive(Debug, Clone)]
pub struct ConfigStateMachine {
    state: ConfigState,
    /// Base window; must be equal on every instance. [`BASE_WINDOW_OFFSETS`] except in the model
    /// checker.
    window_offsets: u64,
    /// Digests of the local state before recent offsets, oldest first.
    digests: VecDeque<OffsetDigest>,
}

#[derive(Debug, Clone)]
struct OffsetDigest {
    next_offset: u64,
    digest: String,
}

/// Records that the state still needs have expired from the log, and no snapshot replaces them.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "log records {next_offset}..{first_retained} have expired and no usable snapshot was found"
)]
pub struct LogGap {
    /// Next offset that the state needs.
    pub next_offset: u64,
    /// First offset that the log still contains.
    pub first_retained: u64,
}

impl ConfigState {
    /// Returns the BLAKE3 hash of the serialized state. Equal states have equal digests.
    #[must_use]
    pub fn digest(&self) -> String {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        blake3::hash(&bytes).to_hex().to_string()
    }

    /// Returns the revision of an object, or 0 if it does not exist.
    ///
    /// A deleted object also counts as 0, although its tombstone has a revision.
    #[must_use]
    pub fn revision(&self, key: &ObjectKey) -> u64 {
        self.objects
            .get(key)
            .map_or(0, |versioned| versioned.revision)
    }

    fn decide_publish(&self, offset: u64, publish: &Publish, window_offsets: u64) -> Verdict {
        let is_too_old = publish.base_offset.saturating_add(window_offsets) < offset;
        if is_too_old || publish.base_offset > offset {
            return Verdict::StaleBase;
        }
        for change in &publish.changes {
            let key = change.action.key();
            if let Some(verdict) = self.rejection_of(publish, change, key) {
                return verdict;
            }
        }
        match self.check_references(publish) {
            Err(invalid) => Verdict::Invalid(invalid),
            Ok(()) => Verdict::Accepted,
        }
    }

    /// Returns the verdict that rejects a change, or `None` if the change is acceptable.
    fn rejection_of(&self, publish: &Publish, change: &Change, key: ObjectKey) -> Option<Verdict> {
        let current_revision = self.revision(&key);
        // A publisher that did not see a deletion must not recreate the deleted object.
        let deleted_after_base = self
            .tombstones
            .get(&key)
            .is_some_and(|&deletion_revision| deletion_revision > publish.base_offset);
        if current_revision != change.seen_revision || deleted_after_base {
            return Some(Verdict::Conflict {
                key,
                current_revision,
            });
        }
        let ChangeAction::Put { object } = &change.action else {
            return None;
        };
        object.validate().err().map(Verdict::Invalid)
    }

    /// Applies the changes of an accepted publish.
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

    /// Checks references between objects in the state that the publish would produce: the hall of
    /// an endpoint must exist.
    fn check_references(&self, publish: &Publish) -> Result<(), InvalidField> {
        let preview = PublishPreview::new(self, publish);
        for change in &publish.changes {
            match &change.action {
                ChangeAction::Put { object } => preview.check_hall_reference(object)?,
                ChangeAction::Delete { key } if key.kind == ObjectKind::Hall => {
                    // Scans all objects; acceptable because halls are rarely deleted.
                    preview.check_unchanged_objects()?;
                }
                ChangeAction::Delete { .. } => {}
            }
        }
        Ok(())
    }

    /// Removes decisions and tombstones that are older than the base window.
    fn prune_expired(&mut self, window_offsets: u64) {
        let oldest_offset = self.next_offset.saturating_sub(window_offsets + 1);
        self.decided
            .retain(|_, decision| decision.offset >= oldest_offset);
        self.tombstones
            .retain(|_, revision| *revision > oldest_offset);
    }
}

impl Default for ConfigStateMachine {
    fn default() -> Self {
        Self::from_state(ConfigState::default())
    }
}

/// A view of the objects as a publish would leave them, without copying the state.
struct PublishPreview<'a> {
    state: &'a ConfigState,
    /// Final action on each changed object; the last change to an object wins.
    changed: BTreeMap<ObjectKey, &'a ChangeAction>,
}

impl<'a> PublishPreview<'a> {
    fn new(state: &'a ConfigState, publish: &'a Publish) -> Self {
        let changes = publish.changes.iter();
        Self {
            state,
            changed: changes
                .map(|change| (change.action.key(), &change.action))
                .collect(),
        }
    }

    fn contains(&self, key: &ObjectKey) -> bool {
        match self.changed.get(key) {
            Some(ChangeAction::Put { .. }) => true,
            Some(ChangeAction::Delete { .. }) => false,
            None => self.state.objects.contains_key(key),
        }
    }

    fn check_hall_reference(&self, object: &Object) -> Result<(), InvalidField> {
        let Object::Endpoint(endpoint) = object else {
            return Ok(());
        };
        let hall_key = ObjectKey {
            kind: ObjectKind::Hall,
            name: endpoint.hall.clone(),
        };
        if self.contains(&hall_key) {
            return Ok(());
        }
        Err(InvalidField {
            object: object.key().to_string(),
            field: "hall".to_owned(),
            allowed: format!("{:?} is not a published hall", endpoint.hall),
        })
    }

    fn check_unchanged_objects(&self) -> Result<(), InvalidField> {
        let unchanged = self.state.objects.iter();
        let unchanged = unchanged.filter(|(key, _)| !self.changed.contains_key(key));
        for (_, versioned) in unchanged {
            self.check_hall_reference(&versioned.object)?;
        }
        Ok(())
    }
}

impl ConfigStateMachine {
    /// Replaces the base window; used by the model checker.
    #[must_use]
    pub fn with_base_window(mut self, window_offsets: u64) -> Self {
        self.window_offsets = window_offsets;
        self
    }

    /// Creates a state machine that starts from a state of a peer or a snapshot.
    #[must_use]
    pub fn from_state(state: ConfigState) -> Self {
        Self {
            state,
            window_offsets: BASE_WINDOW_OFFSETS,
            digests: VecDeque::new(),
        }
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Applies the record at `state().next_offset`. `None` stands for a record that cannot be
    /// decoded.
    pub fn apply(&mut self, record: Option<&Record>) -> RecordEffect {
        let offset = self.state.next_offset;
        let effect = match record {
            None => RecordEffect::Unreadable,
            Some(Record::Publish(publish)) => self.apply_publish(offset, publish),
            Some(Record::Claim(claim)) => {
                RecordEffect::Claim(self.state.leases.apply(offset, claim))
            }
            Some(Record::Snapshot(snapshot)) => RecordEffect::Snapshot {
                digest_matches: self.compare_digest(snapshot),
            },
        };
        self.state.next_offset = offset + 1;
        self.state.prune_expired(self.window_offsets);
        effect
    }

    fn apply_publish(&mut self, offset: u64, publish: &Publish) -> RecordEffect {
        if self.state.decided.contains_key(&publish.publish_id) {
            return RecordEffect::DuplicatePublish;
        }
        let verdict = self
            .state
            .decide_publish(offset, publish, self.window_offsets);
        if verdict == Verdict::Accepted {
            self.state.commit(offset, publish);
        }
        let decision = PublishDecision {
            offset,
            verdict: verdict.clone(),
            publisher: publish.publisher.clone(),
            keys: publish.changes.iter().map(|c| c.action.key()).collect(),
        };
        self.state.decided.insert(publish.publish_id, decision);
        RecordEffect::PublishDecided(verdict)
    }

    /// Replaces the state by that of a snapshot if this is safe, and returns whether it did.
    ///
    /// The snapshot must be intact and ahead of the current state, and no record between it and
    /// `first_retained`, the first offset that the log still contains, may be missing.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot, first_retained: u64) -> bool {
        let is_intact = snapshot.state.digest() == snapshot.digest;
        let is_ahead = snapshot.state.next_offset > self.state.next_offset;
        let has_no_gap = snapshot.state.next_offset >= first_retained;
        if !(is_intact && is_ahead && has_no_gap) {
            return false;
        }
        self.state = snapshot.state.clone();
        self.digests.clear();
        true
    }

    /// Replaces the state by that of a peer if the peer is ahead, and returns whether it did.
    pub fn install_peer_state(&mut self, state: ConfigState) -> bool {
        if state.next_offset <= self.state.next_offset {
            return false;
        }
        self.state = state;
        self.digests.clear();
        true
    }

    /// Creates a snapshot of the current state and remembers its digest.
    pub fn snapshot(&mut self, writer: &str) -> Snapshot {
        let digest = self.state.digest();
        self.digests.push_back(OffsetDigest {
            next_offset: self.state.next_offset,
            digest: digest.clone(),
        });
        if self.digests.len() > MAX_RETAINED_DIGESTS {
            self.digests.pop_front();
        }
        Snapshot {
            writer: writer.to_owned(),
            digest,
            state: self.state.clone(),
        }
    }

    /// Compares the digest of a snapshot with the local digest for the same offset; `None` if the
    /// local digest is not known.
    fn compare_digest(&self, snapshot: &Snapshot) -> Option<bool> {
        if snapshot.state.next_offset == self.state.next_offset {
            return Some(self.state.digest() == snapshot.digest);
        }
        self.digests
            .iter()
            .find(|local| local.next_offset == snapshot.state.next_offset)
            .map(|local| local.digest == snapshot.digest)
    }

    /// Applies the records that a read of the log returned.
    ///
    /// Records that were already applied are skipped. If records that the state needs have expired,
    /// the newest usable snapshot among the records is installed first.
    ///
    /// # Errors
    /// Returns [`LogGap`] if needed records have expired and none of the snapshots replaces them;
    /// the state is unchanged.
    pub fn catch_up(&mut self, read: &LogRead<'_>) -> Result<Vec<RecordEffect>, LogGap> {
        if self.state.next_offset < read.first_offset {
            let snapshots = read.records.iter().rev().filter_map(|record| match record {
                Some(Record::Snapshot(snapshot)) => Some(snapshot),
                _ => None,
            });
            for snapshot in snapshots {
                if self.install_snapshot(snapshot, read.first_offset) {
                    break;
                }
            }
        }
        if self.state.next_offset < read.first_offset {
            return Err(LogGap {
                next_offset: self.state.next_offset,
                first_retained: read.first_offset,
            });
        }
        let skip =
            usize::try_from(self.state.next_offset - read.first_offset).unwrap_or(usize::MAX);
        let records = read.records.iter().skip(skip);
        Ok(records.map(|record| self.apply(record.as_ref())).collect())
    }
}

/// Consecutive records read from the log.
#[derive(Debug, Clone, Copy)]
pub struct LogRead<'a> {
    /// Offset of the first record; the first retained offset if the requested ones have expired.
    pub first_offset: u64,
    /// Records in log order; `None` for a record that cannot be decoded.
    pub records: &'a [Option<Record>],
}
