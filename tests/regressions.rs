//! Regression tests, each named after the failure that it guards against.

mod support;

use serde_json::json;
use support::{Site, complete, config_objects, wait_until_serving};

/// Guards against a placement that fails while a group still has capacity: with a limit of three
/// groups per request, halls without a live endpoint can use up all attempts.
#[tokio::test(flavor = "multi_thread")]
async fn placement_dead_halls_live_group_reached() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 1000}));
    let mut published = config_objects("live", &[("e1", &engine)], &[]);
    for index in 0..8 {
        let hall = format!("dead-{index}");
        let list = published.as_array_mut().expect("list");
        list.push(json!({"kind": "hall", "name": hall, "region": "test"}));
        // Nothing listens on this port.
        list.push(json!({"kind": "endpoint", "name": format!("gone-{index}"), "hall": hall, "address": "127.0.0.1:1",
            "type": "engine", "kv_capacity_tokens": 1000, "checks_fence": true}));
    }
    site.publish_accepted(&published);
    let instance = site.start_instance("i1", "dead-0");
    wait_until_serving(&instance).await;
    for _ in 0..20 {
        let response = complete(&instance.address("caller"), &json!({"max_tokens": 1})).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against a log line of Rocket on standard output before the addresses of a process, which
/// appears in about one of a hundred starts: Rocket's log level is global, and a server raises it
/// for the others while it launches.
#[test]
fn start_rocket_line_before_addresses() {
    let site = Site::new();
    let processes: Vec<_> = (0..24)
        .map(|index| site.start_service(&format!("s{index}")))
        .collect();
    for process in &processes {
        assert!(process.addresses["address"].is_string());
    }
}
