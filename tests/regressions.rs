//! Failures that were found once, each named after what went wrong.

mod support;

use serde_json::json;
use support::{Site, complete, config_objects, wait_until_serving};

/// Three groups were asked at most, so that halls without a live endpoint could use up the tries while another had room.
#[tokio::test(flavor = "multi_thread")]
async fn placement_dead_halls_used_up_the_tries() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 1000}));
    let mut published = config_objects("live", &[("e1", &engine)], &[]);
    for index in 0..8 {
        let hall = format!("dead-{index}");
        let list = published.as_array_mut().expect("list");
        list.push(json!({"kind": "hall", "name": hall, "region": "test"}));
        // Nothing listens there.
        list.push(json!({"kind": "endpoint", "name": format!("gone-{index}"), "hall": hall, "address": "127.0.0.1:1",
            "type": "engine", "kv_capacity_tokens": 1000, "checks_fence": true}));
    }
    assert!(site.publish(&published).status.success());
    let instance = site.start_instance("i1", "dead-0");
    wait_until_serving(&instance).await;
    for _ in 0..20 {
        let answered = complete(&instance.address("caller"), &json!({"max_tokens": 1})).await;
        assert_eq!(answered.status, 200, "{answered:?}");
    }
}

/// Rocket printed a line of its own on standard output before a process's addresses, about once in a hundred starts: its level of
/// logging is global, and a server that launches raises it for the others.
#[test]
fn start_rocket_line_before_addresses() {
    let site = Site::new();
    let started: Vec<_> = (0..24)
        .map(|index| site.start_service(&format!("s{index}")))
        .collect();
    for process in &started {
        assert!(process.addresses["address"].is_string());
    }
}
