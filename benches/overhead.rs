//! Measures the latency that larkwick adds to that of an engine: `cargo bench --bench overhead`.

#[path = "../tests/support/mod.rs"]
mod support;

use serde_json::json;
use support::{Site, config_objects, run_tool, wait_until_serving};

/// Returns the settings of an engine whose KV cache and batch never fill up, so that only the path
/// to it is measured.
fn engine_settings() -> serde_json::Value {
    json!({"step_us": 20_000, "step_per_sequence_us": 0, "batch_max": 2000, "kv_capacity_tokens": 10_000_000,
        "prefill_tokens_per_ms": 1_000_000})
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let mut site = Site::new();
        site.worker_threads = serde_json::Value::Null;
        site.times = json!({});
        let engine = site.start_engine("e1", &engine_settings());
        let mut objects = config_objects("h", &[("e1", &engine)], &[]);
        objects[4]["kv_capacity_tokens"] = json!(10_000_000);
        assert!(site.publish(&objects).status.success());
        let instance = site.start_instance("i1", "h");
        wait_until_serving(&instance).await;
        for streams in ["50", "500"] {
            let output = run_tool(&[
                "load",
                "overhead",
                "--engine",
                &engine.address("address"),
                "--entry",
                &instance.address("caller"),
                "--operator",
                &instance.address("operator"),
                "--key",
                support::KEY,
                "--streams",
                streams,
                "--tokens",
                "100",
            ]);
            assert!(output.status.success(), "{output:?}");
            println!("{}", String::from_utf8_lossy(&output.stdout));
        }
    });
}
