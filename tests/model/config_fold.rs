//! The configuration fold: publishers race, replies are lost and records come twice, records expire, stale instances write
//! snapshots, newcomers start from the log or a peer. All instances agree with the whole log, and each publish counts once.

use std::sync::Arc;

use larkwick::kernel::config::{
    Change, ChangeAction, ConfigFold, ConfigState, LogRead, Publish, Record, RecordEffect, Verdict,
};
use larkwick::kernel::object::{Hall, Object, ObjectKey, ObjectKind};
use uuid::Uuid;

use super::search::{State, assert_caught, assert_safe};

const WINDOW: u64 = 3;
const LOG_MAX: usize = 4;
const INSTANCES: usize = 2;
/// How often each publish may be appended, by wish.
const COPIES_MAX: [u8; 3] = [2, 2, 1];
const SNAPSHOTS_MAX: usize = 1;
/// The instance that is replaced and asks its peer.
const NEWCOMER: usize = 0;
const REPLACEMENTS_MAX: u8 = 1;

/// A rule of the mechanism that is taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutant {
    None,
    /// Snapshots are adopted although records between them and the first one kept are missing.
    AdoptsIncomplete,
    /// A reader that finds a gap goes on from the first record kept.
    SkipsGaps,
    /// A second try carries a new publish id and a new base.
    NewIdPerTry,
    /// A newcomer takes a peer's state even where it is behind.
    TakesOlderState,
}

/// What a publisher does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Wish {
    Create,
    Delete,
    Replace,
}

const WISHES: [Wish; 3] = [Wish::Create, Wish::Delete, Wish::Replace];

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Fold {
    mutant: Mutant,
    /// The whole log; records before `first_kept` have expired.
    log: Vec<Arc<Record>>,
    first_kept: u64,
    states: [Arc<ConfigState>; INSTANCES],
    /// Publishes prepared, by wish, and how often each was appended.
    prepared: [Option<(Publish, u8)>; 3],
    replacements: u8,
    went_back: bool,
}

fn hall(region: &str) -> Object {
    Object::Hall(Hall {
        name: "h".to_owned(),
        labels: larkwick::kernel::label::Labels::default(),
        region: region.to_owned(),
    })
}

fn hall_key() -> ObjectKey {
    ObjectKey {
        kind: ObjectKind::Hall,
        name: "h".to_owned(),
    }
}

fn index_of(offset: u64) -> usize {
    usize::try_from(offset).expect("a short log")
}

fn fold_of(state: &ConfigState) -> ConfigFold {
    ConfigFold::from_state(state.clone()).with_base_window(WINDOW)
}

impl Fold {
    fn start(mutant: Mutant) -> Self {
        Self {
            mutant,
            log: Vec::new(),
            first_kept: 0,
            states: Default::default(),
            prepared: [None, None, None],
            replacements: 0,
            went_back: false,
        }
    }

    /// The fold of the whole log up to an offset, with what each record did.
    fn reference(&self, until: usize) -> (ConfigState, Vec<RecordEffect>) {
        let mut fold = ConfigFold::default().with_base_window(WINDOW);
        let applied = self.log[..until]
            .iter()
            .map(|record| fold.apply(Some(record)))
            .collect();
        (fold.state().clone(), applied)
    }

    fn prepare(&self, index: usize, reader: usize) -> Self {
        let state = &self.states[reader];
        let action = match WISHES[index] {
            Wish::Create => ChangeAction::Put {
                object: Box::new(hall("new")),
            },
            Wish::Replace => ChangeAction::Put {
                object: Box::new(hall("other")),
            },
            Wish::Delete => ChangeAction::Delete { key: hall_key() },
        };
        let publish = Publish {
            publish_id: Uuid::from_u128(index as u128 + 1),
            base_offset: state.next_offset,
            publisher: String::new(),
            changes: vec![Change {
                seen_revision: state.revision(&hall_key()),
                action,
            }],
        };
        let mut next = self.clone();
        next.prepared[index] = Some((publish, 0));
        next
    }

    fn append_publish(&self, index: usize) -> Option<Self> {
        let (publish, copies) = self.prepared[index].clone()?;
        if copies >= COPIES_MAX[index] {
            return None;
        }
        let mut next = self.clone();
        let mut sent = publish.clone();
        if self.mutant == Mutant::NewIdPerTry && copies > 0 {
            sent.publish_id = Uuid::from_u128(100 + index as u128);
            sent.base_offset = self.log.len() as u64;
        }
        next.log.push(Arc::new(Record::Publish(sent)));
        next.prepared[index] = Some((publish, copies + 1));
        Some(next)
    }

    fn append_snapshot(&self, writer: usize) -> Self {
        let mut next = self.clone();
        let snapshot = fold_of(&self.states[writer]).snapshot("writer");
        next.log
            .push(Arc::new(Record::Snapshot(Box::new(snapshot))));
        next
    }

    fn snapshots(&self) -> usize {
        let is_snapshot = |record: &&Arc<Record>| matches!(&***record, Record::Snapshot(_));
        self.log.iter().filter(is_snapshot).count()
    }

    fn expire(&self) -> Self {
        let mut next = self.clone();
        next.first_kept += 1;
        next
    }

    fn read(&self, reader: usize) -> Self {
        let kept: Vec<Option<Record>> = self.log[index_of(self.first_kept)..]
            .iter()
            .map(|record| Some(Record::clone(record)))
            .collect();
        let mut fold = fold_of(&self.states[reader]);
        let behind = self.states[reader].next_offset < self.first_kept;
        if behind && self.mutant == Mutant::SkipsGaps {
            let mut skipped = ConfigState::clone(&self.states[reader]);
            skipped.next_offset = self.first_kept;
            fold = fold_of(&skipped);
        }
        if behind && self.mutant == Mutant::AdoptsIncomplete {
            for record in kept.iter().flatten() {
                if let Record::Snapshot(snapshot) = record {
                    fold.install_snapshot(snapshot, 0);
                }
            }
            let mut skipped = fold.state().clone();
            skipped.next_offset = skipped.next_offset.max(self.first_kept);
            if fold.state().next_offset > 0 {
                fold = fold_of(&skipped);
            }
        }
        let read = LogRead {
            first_offset: self.first_kept,
            records: &kept,
        };
        // A gap that nothing closes leaves the state as it was.
        let _ = fold.catch_up(&read);
        self.with_state(reader, fold.state().clone())
    }

    fn take_from_peer(&self, reader: usize) -> Self {
        let theirs = ConfigState::clone(&self.states[1 - reader]);
        if self.mutant == Mutant::TakesOlderState {
            return self.with_state(reader, theirs);
        }
        let mut fold = fold_of(&self.states[reader]);
        fold.install_peer_state(theirs);
        self.with_state(reader, fold.state().clone())
    }

    fn with_state(&self, reader: usize, state: ConfigState) -> Self {
        let mut next = self.clone();
        next.went_back |= state.next_offset < self.states[reader].next_offset;
        if *next.states[reader] != state {
            next.states[reader] = Arc::new(state);
        }
        next
    }

    fn replace(&self, instance: usize) -> Self {
        let mut next = self.clone();
        next.replacements += 1;
        next.states[instance] = Arc::default();
        next
    }
}

impl State for Fold {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let room = self.log.len() < LOG_MAX;
        for index in 0..WISHES.len() {
            if self.prepared[index].is_none() && room {
                next.push(self.prepare(index, index % INSTANCES));
            }
            if room {
                next.extend(self.append_publish(index));
            }
        }
        for instance in 0..INSTANCES {
            if room && self.snapshots() < SNAPSHOTS_MAX {
                next.push(self.append_snapshot(instance));
            }
            next.push(self.read(instance));
            if instance == NEWCOMER {
                next.push(self.take_from_peer(instance));
            }
            if instance == NEWCOMER && self.replacements < REPLACEMENTS_MAX {
                next.push(self.replace(instance));
            }
        }
        if self.first_kept < self.log.len() as u64 {
            next.push(self.expire());
        }
        next.retain(|state| state != self);
        next
    }

    fn violation(&self) -> Option<&'static str> {
        if self.went_back {
            return Some("an instance went back to an older configuration");
        }
        for state in &self.states {
            if **state != self.reference(index_of(state.next_offset)).0 {
                return Some("an instance differs from the whole log");
            }
        }
        let (_, applied) = self.reference(self.log.len());
        for index in 0..WISHES.len() {
            let ids = [index as u128 + 1, 100 + index as u128].map(Uuid::from_u128);
            let accepted = self.log.iter().zip(&applied).filter(|(record, did)| {
                let its = matches!(&***record, Record::Publish(publish) if ids.contains(&publish.publish_id));
                its && **did == RecordEffect::PublishDecided(Verdict::Accepted)
            });
            if accepted.count() > 1 {
                return Some("one publish took effect twice");
            }
        }
        None
    }
}

#[test]
fn config_fold_all_states_safe() {
    assert_safe("configuration fold", &Fold::start(Mutant::None));
}

#[test]
fn config_fold_mutants_caught() {
    for mutant in [
        Mutant::AdoptsIncomplete,
        Mutant::SkipsGaps,
        Mutant::NewIdPerTry,
        Mutant::TakesOlderState,
    ] {
        assert_caught(
            &format!("configuration fold {mutant:?}"),
            &Fold::start(mutant),
        );
    }
}
