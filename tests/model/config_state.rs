//! Model of the replicated configuration state.
//!
//! Publishers race, lost replies lead to duplicate records, records expire, instances that lag
//! behind write snapshots, and new instances start from the log or from a peer. The state of every
//! instance must equal a replay of the whole log, and each publish must take effect at most once.

use std::sync::Arc;

use larkwick::kernel::config::{
    Change, ChangeAction, ConfigState, ConfigStateMachine, LogRead, Publish, Record, RecordEffect,
    Verdict,
};
use larkwick::kernel::object::{Hall, Object, ObjectKey, ObjectKind};
use uuid::Uuid;

use super::search::{State, assert_caught, assert_safe};

const WINDOW: u64 = 3;
const MAX_LOG_LENGTH: usize = 4;
const INSTANCES: usize = 2;
/// Maximum number of times that each publish is appended, by publisher action.
const MAX_APPENDS: [u8; 3] = [2, 2, 1];
const MAX_SNAPSHOTS: usize = 1;
/// The instance that is replaced by a new one and may start from the state of its peer.
const REPLACED_INSTANCE: usize = 0;
const MAX_REPLACEMENTS: u8 = 1;

/// A fault that is injected into the protocol; the search must find a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mutant {
    None,
    /// Snapshots are installed even if records between them and the first retained one are missing.
    InstallsIncompleteSnapshot,
    /// A reader that finds a gap continues at the first retained record.
    SkipsLogGaps,
    /// Each attempt to append a publish uses a new publish id and a new base.
    NewIdPerAttempt,
    /// A new instance installs the state of a peer even if it is older than its own.
    InstallsOlderPeerState,
}

/// Change that a publisher makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum PublisherAction {
    Create,
    Delete,
    Replace,
}

const PUBLISHER_ACTIONS: [PublisherAction; 3] = [
    PublisherAction::Create,
    PublisherAction::Delete,
    PublisherAction::Replace,
];

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ConfigModel {
    mutant: Mutant,
    /// All records ever appended; those before `first_retained` have expired.
    log: Vec<Arc<Record>>,
    first_retained: u64,
    states: [Arc<ConfigState>; INSTANCES],
    /// Prepared publishes and how often each was appended, by publisher action.
    prepared: [Option<(Publish, u8)>; 3],
    replacements: u8,
    has_regressed: bool,
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

fn machine_from(state: &ConfigState) -> ConfigStateMachine {
    ConfigStateMachine::from_state(state.clone()).with_base_window(WINDOW)
}

impl ConfigModel {
    fn initial(mutant: Mutant) -> Self {
        Self {
            mutant,
            log: Vec::new(),
            first_retained: 0,
            states: Default::default(),
            prepared: [None, None, None],
            replacements: 0,
            has_regressed: false,
        }
    }

    /// Replays the whole log up to an offset. Returns the state and the effect of each record.
    fn replay(&self, until: usize) -> (ConfigState, Vec<RecordEffect>) {
        let mut machine = ConfigStateMachine::default().with_base_window(WINDOW);
        let effects = self.log[..until]
            .iter()
            .map(|record| machine.apply(Some(record)))
            .collect();
        (machine.state().clone(), effects)
    }

    fn prepare_publish(&self, index: usize, reader: usize) -> Self {
        let state = &self.states[reader];
        let action = match PUBLISHER_ACTIONS[index] {
            PublisherAction::Create => ChangeAction::Put {
                object: Box::new(hall("new")),
            },
            PublisherAction::Replace => ChangeAction::Put {
                object: Box::new(hall("other")),
            },
            PublisherAction::Delete => ChangeAction::Delete { key: hall_key() },
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
        let (publish, appends) = self.prepared[index].clone()?;
        if appends >= MAX_APPENDS[index] {
            return None;
        }
        let mut next = self.clone();
        let mut sent = publish.clone();
        if self.mutant == Mutant::NewIdPerAttempt && appends > 0 {
            sent.publish_id = Uuid::from_u128(100 + index as u128);
            sent.base_offset = self.log.len() as u64;
        }
        next.log.push(Arc::new(Record::Publish(sent)));
        next.prepared[index] = Some((publish, appends + 1));
        Some(next)
    }

    fn append_snapshot(&self, writer: usize) -> Self {
        let mut next = self.clone();
        let snapshot = machine_from(&self.states[writer]).snapshot("writer");
        next.log
            .push(Arc::new(Record::Snapshot(Box::new(snapshot))));
        next
    }

    fn snapshot_count(&self) -> usize {
        let is_snapshot = |record: &&Arc<Record>| matches!(&***record, Record::Snapshot(_));
        self.log.iter().filter(is_snapshot).count()
    }

    fn expire_record(&self) -> Self {
        let mut next = self.clone();
        next.first_retained += 1;
        next
    }

    fn read_log(&self, reader: usize) -> Self {
        let retained: Vec<Option<Record>> = self.log[index_of(self.first_retained)..]
            .iter()
            .map(|record| Some(Record::clone(record)))
            .collect();
        let mut machine = machine_from(&self.states[reader]);
        let is_behind = self.states[reader].next_offset < self.first_retained;
        if is_behind && self.mutant == Mutant::SkipsLogGaps {
            let mut skipped = ConfigState::clone(&self.states[reader]);
            skipped.next_offset = self.first_retained;
            machine = machine_from(&skipped);
        }
        if is_behind && self.mutant == Mutant::InstallsIncompleteSnapshot {
            for record in retained.iter().flatten() {
                if let Record::Snapshot(snapshot) = record {
                    machine.install_snapshot(snapshot, 0);
                }
            }
            let mut skipped = machine.state().clone();
            skipped.next_offset = skipped.next_offset.max(self.first_retained);
            if machine.state().next_offset > 0 {
                machine = machine_from(&skipped);
            }
        }
        let read = LogRead {
            first_offset: self.first_retained,
            records: &retained,
        };
        // If no snapshot closes a gap, the state does not change.
        let _ = machine.catch_up(&read);
        self.with_state(reader, machine.state().clone())
    }

    fn install_state_from_peer(&self, reader: usize) -> Self {
        let peer_state = ConfigState::clone(&self.states[1 - reader]);
        if self.mutant == Mutant::InstallsOlderPeerState {
            return self.with_state(reader, peer_state);
        }
        let mut machine = machine_from(&self.states[reader]);
        machine.install_peer_state(peer_state);
        self.with_state(reader, machine.state().clone())
    }

    fn with_state(&self, reader: usize, state: ConfigState) -> Self {
        let mut next = self.clone();
        next.has_regressed |= state.next_offset < self.states[reader].next_offset;
        if *next.states[reader] != state {
            next.states[reader] = Arc::new(state);
        }
        next
    }

    fn replace_instance(&self, instance: usize) -> Self {
        let mut next = self.clone();
        next.replacements += 1;
        next.states[instance] = Arc::default();
        next
    }
}

impl State for ConfigModel {
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let has_log_space = self.log.len() < MAX_LOG_LENGTH;
        for index in 0..PUBLISHER_ACTIONS.len() {
            if self.prepared[index].is_none() && has_log_space {
                next.push(self.prepare_publish(index, index % INSTANCES));
            }
            if has_log_space {
                next.extend(self.append_publish(index));
            }
        }
        for instance in 0..INSTANCES {
            if has_log_space && self.snapshot_count() < MAX_SNAPSHOTS {
                next.push(self.append_snapshot(instance));
            }
            next.push(self.read_log(instance));
            if instance == REPLACED_INSTANCE {
                next.push(self.install_state_from_peer(instance));
            }
            if instance == REPLACED_INSTANCE && self.replacements < MAX_REPLACEMENTS {
                next.push(self.replace_instance(instance));
            }
        }
        if self.first_retained < self.log.len() as u64 {
            next.push(self.expire_record());
        }
        next.retain(|state| state != self);
        next
    }

    fn violation(&self) -> Option<&'static str> {
        if self.has_regressed {
            return Some("an instance returned to an older configuration");
        }
        for state in &self.states {
            if **state != self.replay(index_of(state.next_offset)).0 {
                return Some("the state of an instance differs from a replay of the whole log");
            }
        }
        let (_, effects) = self.replay(self.log.len());
        for index in 0..PUBLISHER_ACTIONS.len() {
            let ids = [index as u128 + 1, 100 + index as u128].map(Uuid::from_u128);
            let accepted = self.log.iter().zip(&effects).filter(|(record, effect)| {
                let is_publish = matches!(&***record, Record::Publish(publish) if ids.contains(&publish.publish_id));
                is_publish && **effect == RecordEffect::PublishDecided(Verdict::Accepted)
            });
            if accepted.count() > 1 {
                return Some("one publish took effect twice");
            }
        }
        None
    }
}

#[test]
fn config_state_all_states_safe() {
    assert_safe("configuration state", &ConfigModel::initial(Mutant::None));
}

#[test]
fn config_state_mutants_caught() {
    for mutant in [
        Mutant::InstallsIncompleteSnapshot,
        Mutant::SkipsLogGaps,
        Mutant::NewIdPerAttempt,
        Mutant::InstallsOlderPeerState,
    ] {
        assert_caught(
            &format!("configuration state {mutant:?}"),
            &ConfigModel::initial(mutant),
        );
    }
}
