//! Model orders: an engine rejects orders from a holder that has lost its lease, and a new model
//! version is loaded before requests are routed to it.

mod support;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    Process, Site, complete, config_objects, debug_state, get_json, wait_for_peers, wait_until,
    wait_until_serving,
};

async fn orders(engine: &Process) -> Value {
    let counters = get_json(format!("http://{}/counters", engine.address("control"))).await;
    counters["orders"].clone()
}

async fn holds_lease(instance: &Process) -> bool {
    debug_state(instance).await["lease"]["held_here"] == true
}

fn model(version: &str) -> Value {
    json!({"kind": "model", "name": "m", "version": version, "weights_bytes": 1000, "max_output_tokens": 100_000,
        "replicas_per_hall": 8})
}

async fn until_loaded(engine: &Process, version: &str) {
    wait_until("only the given version is loaded", || async {
        orders(engine).await["loaded"] == json!([{"name": "m", "version": version}])
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_suspended_past_its_lease_older_order_rejected() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 1000}));
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let instances = [
        site.start_instance("i1", "h"),
        site.start_instance("i2", "h"),
    ];
    for instance in &instances {
        wait_for_peers(instance, 1).await;
    }
    wait_until("the engine received an order", || async {
        orders(&engine).await["fence"].as_u64() > Some(0)
    })
    .await;
    let holder_index = usize::from(!holds_lease(&instances[0]).await);
    let (holder, successor) = (&instances[holder_index], &instances[1 - holder_index]);
    let old_fence = orders(&engine).await["fence"].as_u64();
    holder.signal(Signal::SIGSTOP);
    wait_until("the other instance holds the lease", || {
        holds_lease(successor)
    })
    .await;
    site.publish_accepted(&json!([model("2")]));
    until_loaded(&engine, "2").await;
    let new_fence = orders(&engine).await["fence"].as_u64();
    assert!(new_fence > old_fence, "{new_fence:?} {old_fence:?}");
    holder.signal(Signal::SIGCONT);
    wait_until("the old holder has learned of its successor", || async {
        let lease = debug_state(holder).await["lease"].clone();
        lease["held_here"] == false && lease["fence"].as_u64() >= new_fence
    })
    .await;
    let last = orders(&engine).await;
    assert!(last["fence"].as_u64() >= new_fence, "{last}");
    assert_eq!(last["loaded"], json!([{"name": "m", "version": "2"}]));
    // The engine itself rejects an order with an older fence.
    let stale_order = json!({"fence": old_fence, "models": [{"name": "m", "version": "1"}], "weights_bytes": [1]});
    let url = format!("http://{}/v1/orders", engine.address("address"));
    let response = reqwest::Client::new()
        .post(url)
        .json(&stale_order)
        .send()
        .await
        .expect("answer");
    assert_eq!(response.status().as_u16(), 409);
    assert_eq!(
        orders(&engine).await["loaded"],
        json!([{"name": "m", "version": "2"}])
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn new_version_loaded_without_failed_requests() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 1000}));
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let instance = site.start_instance("i1", "h");
    wait_until_serving(&instance).await;
    let entry = instance.address("caller");
    // Slow down the weight store, so that the new version takes a while to load.
    site.set_platform_faults(&json!({"weight_bytes_per_s": 1000}))
        .await;
    site.publish_accepted(&json!([model("2")]));
    let mut responses = 0;
    while orders(&engine).await["loaded"] != json!([{"name": "m", "version": "2"}]) {
        let response = complete(&entry, &json!({"max_tokens": 2})).await;
        assert_eq!(
            response.status, 200,
            "after {responses} responses: {response:?}"
        );
        responses += 1;
    }
    wait_until_serving(&instance).await;
}
