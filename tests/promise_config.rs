//! Tests that an accepted configuration is in force at all instances within seconds and is never
//! reverted.

mod support;

use serde_json::{Value, json};
use support::{
    Process, Site, complete, config_objects, debug_state, get_json, run_tool, wait_for_peers,
    wait_until, wait_until_serving,
};

fn hall_object(name: &str, region: &str) -> Value {
    json!({"kind": "hall", "name": name, "region": region})
}

/// Returns the region of a hall in the configuration that an instance has in force.
async fn region_in_force(instance: &Process, name: &str) -> Value {
    let config = get_json(format!("http://{}/config", instance.address("operator"))).await;
    config["objects"][format!("hall/{name}")]["object"]["region"].clone()
}

async fn wait_for_region(instance: &Process, name: &str, expected: &str) {
    wait_until("the configuration is in force", || async {
        region_in_force(instance, name).await == expected
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_publishers_all_instances_agree_on_one() {
    let site = Site::new();
    let instances = [
        site.start_instance("i1", "h"),
        site.start_instance("i2", "h"),
        site.start_instance("i3", "h"),
    ];
    for instance in &instances {
        wait_for_peers(instance, 2).await;
    }
    let platform = site.platform.address("address");
    let files: Vec<String> = (0..6)
        .map(|operator| {
            let objects = json!({"objects": [hall_object("raced", &format!("r{operator}"))]});
            let path = site.write_file(&format!("race-{operator}.jsonc"), &objects.to_string());
            path.to_str().expect("path").to_owned()
        })
        .collect();
    let publishers: Vec<_> = files
        .into_iter()
        .map(|file| {
            let platform = platform.clone();
            std::thread::spawn(move || {
                run_tool(&["publish", "--json", "--platform", &platform, &file])
            })
        })
        .collect();
    let outputs: Vec<_> = publishers
        .into_iter()
        .map(|publisher| publisher.join().expect("tool"))
        .collect();
    let codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
    assert!(
        codes.iter().all(|code| matches!(code, Some(0 | 2))),
        "{codes:?}"
    );
    assert!(codes.contains(&Some(0)), "{codes:?}");
    let configs = || async {
        let mut states = Vec::new();
        for instance in &instances {
            states.push(get_json(format!("http://{}/config", instance.address("operator"))).await);
        }
        states
    };
    wait_until("all instances agree", || async {
        let states = configs().await;
        states.iter().all(|state| {
            state["objects"] == states[0]["objects"] && state["objects"]["hall/raced"].is_object()
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_reply_lost_outcome_determined_from_log() {
    let site = Site::new();
    let instance = site.start_instance("i1", "h");
    site.set_platform_faults(&json!({"lose_replies": 1})).await;
    let published = site.publish(&json!([hall_object("a", "one")]));
    assert_eq!(published.status.code(), Some(0), "{published:?}");
    wait_for_region(&instance, "a", "one").await;
    // Publishing the same objects again changes nothing; only an outdated create is a conflict.
    assert!(
        String::from_utf8_lossy(&site.publish(&json!([hall_object("a", "one")])).stdout)
            .contains("nothing to change")
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_outage_and_invalid_objects_exit_codes() {
    let site = Site::new();
    site.set_platform_faults(&json!({"outage": true})).await;
    let refused = site.publish(&json!([hall_object("a", "one")]));
    assert_eq!(refused.status.code(), Some(4), "{refused:?}");
    site.set_platform_faults(&json!({})).await;
    let invalid = site.publish(&json!([{"kind": "hall", "name": "b", "region": ""}]));
    assert_eq!(invalid.status.code(), Some(1), "{invalid:?}");
    let text = String::from_utf8_lossy(&invalid.stderr).into_owned();
    assert!(
        text.contains("objects.jsonc:1") && text.contains("\"region\""),
        "{text}"
    );
    // References are checked when the record is applied, since only the state machine knows all
    // objects.
    let dangling = json!([{"kind": "endpoint", "name": "e", "hall": "nowhere", "address": "127.0.0.1:1",
        "type": "service", "service": "s"}]);
    assert_eq!(site.publish(&dangling).status.code(), Some(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn publish_key_of_another_account_rejected_until_it_is_free() {
    let site = Site::new();
    let account = |name: &str| {
        let key = blake3::hash(b"one key").to_hex().to_string();
        json!([{"kind": "client_account", "name": name, "key_blake3": key}])
    };
    assert_eq!(site.publish(&account("pumps")).status.code(), Some(0));
    let rejected = site.publish(&account("stations"));
    assert_eq!(rejected.status.code(), Some(2), "{rejected:?}");
    let changed = json!([{"kind": "client_account", "name": "pumps",
        "key_blake3": blake3::hash(b"another key").to_hex().to_string()}]);
    assert_eq!(site.publish(&changed).status.code(), Some(0));
    assert_eq!(site.publish(&account("stations")).status.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn log_outage_new_instances_fetch_state_from_peers_and_serve() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 1000}));
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let mut instances = vec![
        site.start_instance("i1", "h"),
        site.start_instance("i2", "h"),
    ];
    for instance in &instances {
        wait_for_peers(instance, 1).await;
        wait_until_serving(instance).await;
    }
    // New instances find their peers through the platform's list, or through peers that read it
    // before.
    site.set_platform_faults(&json!({"log_outage": true})).await;
    for (index, replaced) in instances.iter_mut().enumerate() {
        let new_instance = site.start_instance(&format!("j{index}"), "h");
        wait_for_region(&new_instance, "h", "test").await;
        wait_until_serving(&new_instance).await;
        replaced.kill();
        *replaced = new_instance;
    }
    site.set_platform_faults(&json!({})).await;
    site.publish_accepted(&json!([hall_object("later", "two")]));
    for instance in &instances {
        wait_for_region(instance, "later", "two").await;
        assert_eq!(region_in_force(instance, "h").await, "test");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_records_expired_all_instances_replaced_configuration_kept() {
    let mut site = Site::new();
    site.times["log_retention_ms"] = json!(4000);
    site.set_platform_faults(&json!({"retention_ms": 4000}))
        .await;
    let first = site.start_instance("i1", "h");
    site.publish_accepted(&json!([hall_object("kept", "one")]));
    wait_for_region(&first, "kept", "one").await;
    let mut current = first;
    for index in 0..3 {
        // Wait until every record that the current instance has applied so far has expired.
        let before = debug_state(&current).await["config"]["next_offset"]
            .as_u64()
            .expect("offset");
        let url = format!(
            "http://{}/log/config?from=0",
            site.platform.address("address")
        );
        wait_until("the records have expired", || async {
            get_json(url.clone()).await["first_kept"].as_u64() > Some(before)
        })
        .await;
        let new_instance = site.start_instance(&format!("j{index}"), "h");
        wait_for_region(&new_instance, "kept", "one").await;
        current = new_instance;
    }
    assert_eq!(
        debug_state(&current).await["config"]["snapshot_disagreements"],
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_suspended_instance_serves_and_catches_up() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 1000}));
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let instance = site.start_instance("i1", "h");
    wait_until_serving(&instance).await;
    site.platform.signal(nix::sys::signal::Signal::SIGSTOP);
    for _ in 0..20 {
        assert_eq!(
            complete(&instance.address("caller"), &json!({"max_tokens": 2}))
                .await
                .status,
            200
        );
    }
    site.platform.signal(nix::sys::signal::Signal::SIGCONT);
    site.publish_accepted(&json!([hall_object("later", "two")]));
    wait_for_region(&instance, "later", "two").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_records_expired_no_live_instance_new_one_starts_from_snapshot() {
    let mut site = Site::new();
    // Snapshots are due every quarter of this period. Which records expire is set below.
    site.times["log_retention_ms"] = json!(1000);
    let mut last_instance = site.start_instance("i1", "h");
    site.publish_accepted(&json!([hall_object("kept", "one")]));
    wait_for_region(&last_instance, "kept", "one").await;
    let published = debug_state(&last_instance).await["config"]["next_offset"]
        .as_u64()
        .expect("offset");
    wait_until("a snapshot covers the published configuration", || async {
        let snapshot = debug_state(&last_instance).await["config"]["snapshot_next_offset"].as_u64();
        snapshot >= Some(published)
    })
    .await;
    last_instance.kill();
    site.set_platform_faults(&json!({"expire_before": published}))
        .await;
    let new_instance = site.start_instance("j1", "h");
    wait_for_region(&new_instance, "kept", "one").await;
    let shown = run_tool(&[
        "config",
        "show",
        "--platform",
        &site.platform.address("address"),
    ]);
    assert!(
        String::from_utf8_lossy(&shown.stdout).contains("hall/kept"),
        "{shown:?}"
    );
}

/// Guards against instances that are cut off together and take each other's word for the
/// configuration that both have, so that they serve what was revoked for as long as they are cut
/// off.
#[tokio::test(flavor = "multi_thread")]
async fn two_of_five_instances_left_without_log_new_work_refused() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 1000}));
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let mut instances: Vec<Process> = (0..5)
        .map(|number| site.start_instance(&format!("i{number}"), "h"))
        .collect();
    for instance in &instances {
        wait_for_peers(instance, 4).await;
        wait_until_serving(instance).await;
    }
    site.platform.signal(nix::sys::signal::Signal::SIGSTOP);
    for instance in &mut instances[2..] {
        instance.kill();
    }
    for instance in &instances[..2] {
        wait_until("new work is refused", || async {
            let refused = complete(&instance.address("caller"), &json!({"max_tokens": 2})).await;
            refused.status == 503
        })
        .await;
    }
}
