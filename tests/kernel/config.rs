//! Verdicts of the configuration state machine on publishes, and verification of snapshots.

use larkwick::kernel::config::{
    Change, ChangeAction, ConfigStateMachine, Publish, Record, RecordEffect, Verdict,
};
use larkwick::kernel::object::ObjectKey;
use larkwick::tool::check::parse_objects;
use serde_json::{Value, json};
use uuid::Uuid;

fn put(machine: &ConfigStateMachine, object: &Value) -> Change {
    let text = json!({"objects": [object]}).to_string();
    let object = parse_objects("object", &text).expect("object").remove(0);
    Change {
        seen_revision: machine.state().revision(&object.key()),
        action: ChangeAction::Put {
            object: Box::new(object),
        },
    }
}

fn delete(machine: &ConfigStateMachine, key: &str) -> Change {
    let key = ObjectKey::try_from(key.to_owned()).expect("key");
    Change {
        seen_revision: machine.state().revision(&key),
        action: ChangeAction::Delete { key },
    }
}

fn publish(machine: &mut ConfigStateMachine, changes: Vec<Change>) -> Verdict {
    let record = Record::Publish(Publish {
        publish_id: Uuid::new_v4(),
        base_offset: machine.state().next_offset,
        publisher: String::new(),
        changes,
    });
    match machine.apply(Some(&record)) {
        RecordEffect::PublishDecided(verdict) => verdict,
        other => panic!("{other:?}"),
    }
}

fn hall() -> Value {
    json!({"kind": "hall", "name": "h", "region": "r"})
}

fn service() -> Value {
    json!({"kind": "endpoint", "name": "s", "hall": "h", "address": "127.0.0.1:1", "type": "service", "service": "s"})
}

#[test]
fn publish_endpoint_with_unknown_hall_rejected() {
    let mut machine = ConfigStateMachine::default();
    let change = put(&machine, &service());
    assert!(
        matches!(publish(&mut machine, vec![change]), Verdict::Invalid(invalid) if invalid.field == "hall")
    );
    assert!(machine.state().objects.is_empty());
}

#[test]
fn publish_endpoint_together_with_its_hall_accepted_in_any_order() {
    for hall_first in [true, false] {
        let mut machine = ConfigStateMachine::default();
        let mut changes = vec![put(&machine, &hall()), put(&machine, &service())];
        if !hall_first {
            changes.reverse();
        }
        assert_eq!(publish(&mut machine, changes), Verdict::Accepted);
    }
}

#[test]
fn publish_delete_of_hall_in_use_rejected_unless_its_endpoint_is_deleted_too() {
    let mut machine = ConfigStateMachine::default();
    let changes = vec![put(&machine, &hall()), put(&machine, &service())];
    assert_eq!(publish(&mut machine, changes), Verdict::Accepted);
    let delete_hall_only = vec![delete(&machine, "hall/h")];
    assert!(matches!(
        publish(&mut machine, delete_hall_only),
        Verdict::Invalid(_)
    ));
    let delete_both = vec![delete(&machine, "hall/h"), delete(&machine, "endpoint/s")];
    assert_eq!(publish(&mut machine, delete_both), Verdict::Accepted);
    assert!(machine.state().objects.is_empty());
}

#[test]
fn publish_with_stale_revision_conflicts_and_changes_nothing() {
    let mut machine = ConfigStateMachine::default();
    let stale = put(&machine, &hall());
    let change = put(&machine, &hall());
    assert_eq!(publish(&mut machine, vec![change]), Verdict::Accepted);
    let other = put(
        &machine,
        &json!({"kind": "hall", "name": "other", "region": "r"}),
    );
    assert!(matches!(
        publish(&mut machine, vec![other, stale]),
        Verdict::Conflict { .. }
    ));
    assert_eq!(machine.state().objects.len(), 1);
}

#[test]
fn snapshot_with_other_digest_detected() {
    let mut machine = ConfigStateMachine::default();
    let change = put(&machine, &hall());
    publish(&mut machine, vec![change]);
    let mut snapshot = machine.snapshot("other");
    let effect = machine
        .clone()
        .apply(Some(&Record::Snapshot(Box::new(snapshot.clone()))));
    assert_eq!(
        effect,
        RecordEffect::Snapshot {
            digest_matches: Some(true)
        }
    );
    snapshot.digest = "something else".to_owned();
    let effect = machine.apply(Some(&Record::Snapshot(Box::new(snapshot))));
    assert_eq!(
        effect,
        RecordEffect::Snapshot {
            digest_matches: Some(false)
        }
    );
}

/// Guards against an overflow, which ends the process where overflows are checked, by a record of
/// any publisher.
#[test]
fn publish_base_offset_largest_number_stale() {
    let mut machine = ConfigStateMachine::default();
    let record = Record::Publish(Publish {
        publish_id: Uuid::new_v4(),
        base_offset: u64::MAX,
        publisher: String::new(),
        changes: Vec::new(),
    });
    let effect = machine.apply(Some(&record));
    assert!(
        matches!(effect, RecordEffect::PublishDecided(Verdict::StaleBase)),
        "{effect:?}"
    );
}
