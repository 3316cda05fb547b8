//! Orders from a holder that lost its lease do no harm; a new version is loaded before traffic turns to it.

mod support;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{Process, Site, complete, dump, get, objects, until, until_peers, until_serving};

async fn orders(engine: &Process) -> Value {
    let counters = get(format!("http://{}/counters", engine.address("control"))).await;
    counters["orders"].clone()
}

async fn holds(instance: &Process) -> bool {
    dump(instance).await["lease"]["held_here"] == true
}

fn model(version: &str) -> Value {
    json!({"kind": "model", "name": "m", "version": version, "weights_bytes": 1000, "max_output_tokens": 100_000,
        "replicas_per_hall": 8})
}

async fn until_loaded(engine: &Process, version: &str) {
    until("the version is loaded alone", || async {
        orders(engine).await["loaded"] == json!([{"name": "m", "version": version}])
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_frozen_past_its_lease_older_order_without_effect() {
    let site = Site::new();
    let engine = site.engine("e1", &json!({"step_us": 1000}));
    assert!(
        site.publish(&objects("h", &[("e1", &engine)], &[]))
            .status
            .success()
    );
    let instances = [site.instance("i1", "h"), site.instance("i2", "h")];
    for instance in &instances {
        until_peers(instance, 1).await;
    }
    until("an order was given", || async {
        orders(&engine).await["fence"].as_u64() > Some(0)
    })
    .await;
    let frozen = usize::from(!holds(&instances[0]).await);
    let (holder, successor) = (&instances[frozen], &instances[1 - frozen]);
    let old_fence = orders(&engine).await["fence"].as_u64();
    holder.signal(Signal::SIGSTOP);
    until("the other one holds the lease", || holds(successor)).await;
    assert!(site.publish(&json!([model("2")])).status.success());
    until_loaded(&engine, "2").await;
    let new_fence = orders(&engine).await["fence"].as_u64();
    assert!(new_fence > old_fence, "{new_fence:?} {old_fence:?}");
    holder.signal(Signal::SIGCONT);
    until("the old holder knows", || async {
        let lease = dump(holder).await["lease"].clone();
        lease["held_here"] == false && lease["fence"].as_u64() >= new_fence
    })
    .await;
    let after = orders(&engine).await;
    assert!(after["fence"].as_u64() >= new_fence, "{after}");
    assert_eq!(after["loaded"], json!([{"name": "m", "version": "2"}]));
    // The engine itself refuses an older fence.
    let late = json!({"fence": old_fence, "models": [{"name": "m", "version": "1"}], "weights_bytes": [1]});
    let url = format!("http://{}/v1/orders", engine.address("address"));
    let refused = reqwest::Client::new()
        .post(url)
        .json(&late)
        .send()
        .await
        .expect("answer");
    assert_eq!(refused.status().as_u16(), 409);
    assert_eq!(
        orders(&engine).await["loaded"],
        json!([{"name": "m", "version": "2"}])
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn new_version_every_request_answered_throughout() {
    let site = Site::new();
    let engine = site.engine("e1", &json!({"step_us": 1000}));
    assert!(
        site.publish(&objects("h", &[("e1", &engine)], &[]))
            .status
            .success()
    );
    let instance = site.instance("i1", "h");
    until_serving(&instance).await;
    let entry = instance.address("caller");
    // A slow weight store: the new version takes a while to load.
    site.platform_faults(&json!({"weight_bytes_per_s": 1000}))
        .await;
    assert!(site.publish(&json!([model("2")])).status.success());
    let mut answered = 0;
    while orders(&engine).await["loaded"] != json!([{"name": "m", "version": "2"}]) {
        let answer = complete(&entry, &json!({"max_tokens": 2})).await;
        assert_eq!(answer.status, 200, "after {answered}: {answer:?}");
        answered += 1;
    }
    until_serving(&instance).await;
}
