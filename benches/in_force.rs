//! Measures the time from the acceptance of a publish until every instance applies it:
//! `cargo bench --bench in_force`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::{Process, Site, get_json, wait_for_peers};

const PUBLISHES: u32 = 20;
const INSTANCES: u64 = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn is_in_force(instance: &Process, region: &str) -> bool {
    let config = get_json(format!("http://{}/config", instance.address("operator"))).await;
    config["objects"]["hall/watched"]["object"]["region"] == region
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let mut site = Site::new();
        // Without overrides: the default times, as in production.
        site.times = json!({});
        let halls = ["h1", "h2", "h3"];
        let instances: Vec<Process> = (0..INSTANCES)
            .map(|index| {
                site.start_instance(
                    &format!("i{index}"),
                    halls[usize::try_from(index % 3).expect("small")],
                )
            })
            .collect();
        for instance in &instances {
            wait_for_peers(instance, INSTANCES - 1).await;
        }
        let mut delays = Vec::new();
        for publish in 0..PUBLISHES {
            let region = format!("r{publish}");
            let object = json!([{"kind": "hall", "name": "watched", "region": region}]);
            assert!(site.publish(&object).status.success());
            let accepted = Instant::now();
            for instance in &instances {
                while !is_in_force(instance, &region).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
            delays.push(accepted.elapsed());
        }
        delays.sort_unstable();
        println!("{PUBLISHES} publishes, {INSTANCES} instances in 3 halls, default times");
        println!(
            "in force everywhere after: median {:?}, longest {:?}",
            delays[delays.len() / 2],
            delays[delays.len() - 1]
        );
    });
}
