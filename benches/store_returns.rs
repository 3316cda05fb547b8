//! Measures what it costs a site when its store is restored from an older copy:
//! `cargo bench --bench store_returns`; `RETURN_INSTANCES=66,295` selects other numbers of instances.
//!
//! Instances run as processes on one machine, at the default times. A configuration and an endpoint
//! are written after the copy is made, and again 300 ms after the store is restored. Calls to the
//! store are counted for ten seconds before the restore and for ten seconds from the restore on.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use larkwick::standin::site::KEY;
use larkwick::standin::site::server::{Server, ServerKind};
use support::site::{Instance, RoutedSite, wait_until};

const COUNTING_TIME: Duration = Duration::from_secs(10);
const REPLAY_DELAY: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const SEEDS: usize = 3;
const STORE_PATHS: [&str; 3] = [
    "/larkwick/log-append",
    "/larkwick/log-read",
    "/larkwick/log-newest",
];

fn store_call_count(site: &RoutedSite) -> u32 {
    let store = &site.standin.store;
    STORE_PATHS.iter().map(|path| store.call_count(path)).sum()
}

async fn has_caught_up(instance: &Instance, version: u64, era: u64, server: &Server) -> bool {
    let state = instance.state().await;
    state["config_version"].as_u64() >= Some(version)
        && state["store_era"].as_u64() >= Some(era)
        && instance.endpoint_availability(server).await == "ready"
}

/// Returns the time from `since` until each instance has the version, the era and the endpoint,
/// in ascending order.
async fn catch_up_times(
    instances: &[Instance],
    since: Instant,
    version: u64,
    era: u64,
    server: &Server,
) -> Vec<Duration> {
    let each_delay = instances.iter().map(async |instance| {
        while !has_caught_up(instance, version, era, server).await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        since.elapsed()
    });
    let mut delays = futures::future::join_all(each_delay).await;
    delays.sort_unstable();
    delays
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
    let snapshot = site.standin.store.snapshot();
    site.standin.publish(3, &[KEY]);
    let server = site.standin.start_server("app", ServerKind::Plain).await;
    let server = server.expect("server starts");
    catch_up_times(&instances, Instant::now(), 3, 0, &server).await;
    let calls_before = store_call_count(&site);
    tokio::time::sleep(COUNTING_TIME).await;
    let idle_calls = store_call_count(&site) - calls_before;
    let calls_before = store_call_count(&site);
    let restored_at = Instant::now();
    let lost_writes = site.standin.store.restore(snapshot);
    tokio::time::sleep(REPLAY_DELAY).await;
    site.standin.store.replay_lost_writes(&lost_writes);
    let delays = catch_up_times(&instances, restored_at, 3, 1, &server).await;
    tokio::time::sleep(COUNTING_TIME.saturating_sub(restored_at.elapsed())).await;
    let restore_calls = store_call_count(&site) - calls_before;
    println!(
        "{count} instances: era and what was written again known after {:?} (middle), {:?} (last); {idle_calls} calls in ten quiet seconds, {restore_calls} from the return on",
        delays[count / 2],
        delays[count - 1]
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
