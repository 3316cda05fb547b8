//! Verdicts of the configuration state machine on publishes, and verification of snapshots.

use larkwick::kernel::config::{
    Change, ChangeAction, ConfigStateMachine, Publish, Record, RecordEffect, Verdict,
};
use larkwick::kernel::object::ObjectKey;
use larkwick::tool::check::parse_objects;
use serde_json::{Value, json};
use uuid::Uuid;

fn put(fold: &ConfigStateMachine, object: &Value) -> Change {
    let text = json!({"objects": [object]}).to_string();
    let object = parse_objects("object", &text).expect("object").remove(0);
    Change {
        seen_revision: fold.state().revision(&object.key()),
        action: ChangeAction::Put {
            object: Box::new(object),
        },
    }
}

fn delete(fold: &ConfigStateMachine, key: &str) -> Change {
    let key = ObjectKey::try_from(key.to_owned()).expect("key");
    Change {
        seen_revision: fold.state().revision(&key),
        action: ChangeAction::Delete { key },
    }
}

fn publish(fold: &mut ConfigStateMachine, changes: Vec<Change>) -> Verdict {
    let record = Record::Publish(Publish {
        publish_id: Uuid::new_v4(),
        base_offset: fold.state().next_offset,
        publisher: String::new(),
        changes,
    });
    match fold.apply(Some(&record)) {
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
    let mut fold = ConfigStateMachine::default();
    let change = put(&fold, &service());
    assert!(
        matches!(publish(&mut fold, vec![change]), Verdict::Invalid(invalid) if invalid.field == "hall")
    );
    assert!(fold.state().objects.is_empty());
}

#[test]
fn publish_endpoint_together_with_its_hall_accepted_in_any_order() {
    for hall_first in [true, false] {
        let mut fold = ConfigStateMachine::default();
        let mut changes = vec![put(&fold, &hall()), put(&fold, &service())];
        if !hall_first {
            changes.reverse();
        }
        assert_eq!(publish(&mut fold, changes), Verdict::Accepted);
    }
}

#[test]
fn publish_delete_of_hall_in_use_rejected_unless_its_endpoint_is_deleted_too() {
    let mut fold = ConfigStateMachine::default();
    let changes = vec![put(&fold, &hall()), put(&fold, &service())];
    assert_eq!(publish(&mut fold, changes), Verdict::Accepted);
    let delete_hall_only = vec![delete(&fold, "hall/h")];
    assert!(matches!(
        publish(&mut fold, delete_hall_only),
        Verdict::Invalid(_)
    ));
    let delete_both = vec![delete(&fold, "hall/h"), delete(&fold, "endpoint/s")];
    assert_eq!(publish(&mut fold, delete_both), Verdict::Accepted);
    assert!(fold.state().objects.is_empty());
}

#[test]
fn publish_with_stale_revision_conflicts_and_changes_nothing() {
    let mut fold = ConfigStateMachine::default();
    let stale = put(&fold, &hall());
    let change = put(&fold, &hall());
    assert_eq!(publish(&mut fold, vec![change]), Verdict::Accepted);
    let other = put(
        &fold,
        &json!({"kind": "hall", "name": "other", "region": "r"}),
    );
    assert!(matches!(
        publish(&mut fold, vec![other, stale]),
        Verdict::Conflict { .. }
    ));
    assert_eq!(fold.state().objects.len(), 1);
}

#[test]
fn snapshot_with_other_digest_detected() {
    let mut fold = ConfigStateMachine::default();
    let change = put(&fold, &hall());
    publish(&mut fold, vec![change]);
    let mut snapshot = fold.snapshot("other");
    let effect = fold
        .clone()
        .apply(Some(&Record::Snapshot(Box::new(snapshot.clone()))));
    assert_eq!(
        effect,
        RecordEffect::Snapshot {
            digest_matches: Some(true)
        }
    );
    snapshot.digest = "something else".to_owned();
    let effect = fold.apply(Some(&Record::Snapshot(Box::new(snapshot))));
    assert_eq!(
        effect,
        RecordEffect::Snapshot {
            digest_matches: Some(false)
        }
    );
}
