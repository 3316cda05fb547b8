//! What a store that comes back from an older copy costs a site: `cargo bench --bench store_returns`, `RETURN_INSTANCES=66,295` for other sizes.
//!
//! Instances as processes at their usual times, on one machine. A configuration and an endpoint are written after the copy was made, and again 300 ms after the
//! return. Calls to the store are counted for ten quiet seconds and for ten from the return on.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use larkwick::standin::site::KEY;
use larkwick::standin::site::server::{Server, ServerKind};
use support::site::{Instance, RoutedSite, wait_until};

const COUNTED_FOR: Duration = Duration::from_secs(10);
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(300);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const SEEDS: usize = 3;
const PATHS: [&str; 3] = [
    "/larkwick/log-append",
    "/larkwick/log-read",
    "/larkwick/log-newest",
];

fn calls(site: &RoutedSite) -> u32 {
    let store = &site.standin.store;
    PATHS.iter().map(|path| store.call_count(path)).sum()
}

async fn knows(instance: &Instance, version: u64, era: u64, server: &Server) -> bool {
    let state = instance.state().await;
    state["config_version"].as_u64() >= Some(version)
        && state["store_era"].as_u64() >= Some(era)
        && instance.endpoint_availability(server).await == "ready"
}

/// How long after a moment each instance knows it, the slowest last.
async fn known_after(
    instances: &[Instance],
    since: Instant,
    version: u64,
    era: u64,
    server: &Server,
) -> Vec<Duration> {
    let each = instances.iter().map(async |instance| {
        while !knows(instance, version, era, server).await {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        since.elapsed()
    });
    let mut after = futures::future::join_all(each).await;
    after.sort_unstable();
    after
}

async fn measure(count: usize) {
    let site = RoutedSite::start(2).await;
    let mut instances: Vec<Instance> = Vec::new();
    for number in 0..count {
        let seeds: Vec<&Instance> = instances.iter().take(SEEDS).collect();
        instances.push(site.start_instance_with_default_times(&format!("n{number}"), &seeds));
    }
    for instance in &instances {
        instance.wait_until_ready().await;
    }
    wait_until("all have met", async || {
        let state = instances[0].state().await;
        state["members"].as_array().map(Vec::len) == Some(count - 1)
    })
    .await;
    let copy = site.standin.store.snapshot();
    site.standin.publish(3, &[KEY]);
    let server = site.standin.start_server("app", ServerKind::Plain).await;
    let server = server.expect("server starts");
    known_after(&instances, Instant::now(), 3, 0, &server).await;
    let before = calls(&site);
    tokio::time::sleep(COUNTED_FOR).await;
    let quiet = calls(&site) - before;
    let before = calls(&site);
    let returned_at = Instant::now();
    let lost = site.standin.store.restore(copy);
    tokio::time::sleep(WRITTEN_AGAIN_AFTER).await;
    site.standin.store.replay_lost_writes(&lost);
    let after = known_after(&instances, returned_at, 3, 1, &server).await;
    tokio::time::sleep(COUNTED_FOR.saturating_sub(returned_at.elapsed())).await;
    let returning = calls(&site) - before;
    println!(
        "{count} instances: era and what was written again known after {:?} (middle), {:?} (last); {quiet} calls in ten quiet seconds, {returning} from the return on",
        after[count / 2],
        after[count - 1]
    );
}

fn main() {
    let sizes = std::env::var("RETURN_INSTANCES").unwrap_or_else(|_| "6,66".to_owned());
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    for size in sizes.split(',') {
        let size = size.parse().expect("a number of instances");
        runtime.block_on(measure(size));
    }
}
