//! Evaluation of rules and placement of models, from published objects.

use std::collections::BTreeMap;

use larkwick::kernel::config::{Change, ChangeAction, ConfigStateMachine, Publish, Record};
use larkwick::kernel::placement::{DemandByModel, plan_hall};
use larkwick::kernel::policy::LoadedModel;
use larkwick::kernel::rules::{Catalog, Workload};
use larkwick::tool::check::parse_objects;
use serde_json::{Value, json};
use uuid::Uuid;

fn catalog(objects: &Value) -> Catalog {
    let text = json!({ "objects": objects }).to_string();
    let objects = parse_objects("objects", &text).expect("objects");
    let mut machine = ConfigStateMachine::default();
    let changes = objects.into_iter().map(|object| Change {
        seen_revision: 0,
        action: ChangeAction::Put {
            object: Box::new(object),
        },
    });
    machine.apply(Some(&Record::Publish(Publish {
        publish_id: Uuid::nil(),
        base_offset: 0,
        publisher: String::new(),
        changes: changes.collect(),
    })));
    Catalog::new(machine.state())
}

fn engine(name: &str, tier: &str, model_slots: u32) -> Value {
    json!({"kind": "endpoint", "name": name, "hall": "h", "address": "127.0.0.1:1", "labels": {"tier": tier},
        "type": "engine", "kv_capacity_tokens": 1, "model_slots": model_slots, "checks_fence": true})
}

fn model(name: &str, replicas_per_hall: u32) -> Value {
    json!({"kind": "model", "name": name, "version": "1", "weights_bytes": 1, "max_output_tokens": 1,
        "labels": {"use": name}, "replicas_per_hall": replicas_per_hall})
}

fn site() -> Value {
    json!([
        {"kind": "hall", "name": "h", "region": "r"},
        engine("e1", "large", 1), engine("e2", "small", 1), engine("e3", "small", 1),
        model("chat", 1), model("batch", 1),
        {"kind": "client_account", "name": "a", "key_blake3": blake3::hash(b"k").to_hex().to_string()},
        {"kind": "rule", "name": "r1", "work": {"equals": {"use": "chat"}}, "priority": 1},
        {"kind": "rule", "name": "r2", "work": {"equals": {"use": "chat"}}, "endpoints": {"equals": {"tier": "large"}}, "priority": 5},
        {"kind": "rule", "name": "r3", "work": {"equals": {"use": "batch"}}, "endpoints": {"any_of": {"tier": ["small"]}}}
    ])
}

/// Three live engines without loaded models.
fn all_live() -> BTreeMap<String, Vec<LoadedModel>> {
    ["e1", "e2", "e3"]
        .map(|name| (name.to_owned(), Vec::new()))
        .into()
}

/// Returns the names of the planned models by endpoint.
fn models_by_endpoint(
    plan: &[larkwick::kernel::placement::Assignment],
) -> BTreeMap<&str, Vec<&str>> {
    plan.iter()
        .map(|assignment| {
            (
                assignment.endpoint.as_str(),
                assignment.models.iter().map(|m| m.name.as_str()).collect(),
            )
        })
        .collect()
}

#[test]
fn allowed_endpoints_have_highest_priority_of_matching_rules() {
    let catalog = catalog(&site());
    let account = catalog.account_for_key("k").expect("account");
    let allowed = catalog
        .allowed_endpoints(account, Workload::Model("chat"))
        .expect("allowed");
    let priorities: Vec<i32> = allowed.iter().map(|endpoint| endpoint.priority).collect();
    assert_eq!(priorities, [5, 1, 1]);
    let allowed = catalog
        .allowed_endpoints(account, Workload::Model("batch"))
        .expect("allowed");
    assert_eq!(allowed.len(), 2);
    assert!(
        catalog
            .allowed_endpoints(account, Workload::Model("none"))
            .is_err()
    );
}

#[test]
fn plan_respects_rules_and_replicas() {
    let catalog = catalog(&site());
    let plan = plan_hall(&catalog, "h", &DemandByModel::new(), &all_live());
    let planned = models_by_endpoint(&plan);
    assert_eq!(planned["e1"], ["chat"], "no rule lets batch run on e1");
    assert!(planned.values().any(|models| models == &["batch"]));
}

#[test]
fn plan_fills_remaining_slots_by_demand() {
    let catalog = catalog(&site());
    for (popular, other) in [("chat", "batch"), ("batch", "chat")] {
        let demand: DemandByModel = [(popular.to_owned(), 1000.0), (other.to_owned(), 1.0)].into();
        let plan = plan_hall(&catalog, "h", &demand, &all_live());
        let replicas = plan
            .iter()
            .filter(|assignment| assignment.models[0].name == popular)
            .count();
        assert_eq!(replicas, 2, "{popular}: {plan:?}");
    }
}

#[test]
fn plan_is_stable_once_models_are_loaded() {
    let catalog = catalog(&site());
    let first = plan_hall(&catalog, "h", &DemandByModel::new(), &all_live());
    let loaded = first
        .iter()
        .map(|assignment| (assignment.endpoint.clone(), assignment.models.clone()))
        .collect();
    assert_eq!(
        plan_hall(&catalog, "h", &DemandByModel::new(), &loaded),
        first
    );
}

#[test]
fn plan_omits_engine_that_is_not_live() {
    let catalog = catalog(&site());
    let mut live = all_live();
    live.remove("e2");
    let plan = plan_hall(&catalog, "h", &DemandByModel::new(), &live);
    assert!(plan.iter().all(|assignment| assignment.endpoint != "e2"));
}
