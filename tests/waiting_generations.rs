//! Generations that wait for capacity at an owner that is lost.

mod support;

use larkwick::standin::site::KEY;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use support::site::{Instance, RoutedSite, send_request, wait_until};

/// Returns how many generations wait for engines in an instance's queue.
async fn waiting_count(instance: &Instance) -> u64 {
    let state: Value = instance.state().await;
    let accounts = state["accounts"]["llm"].as_array().cloned();
    let waiting = accounts.unwrap_or_default().into_iter();
    waiting
        .filter_map(|account| account["waiting"].as_u64())
        .sum()
}

/// Returns a generation of this number of events with a prompt of this many tokens.
fn generation(
    entry: &Instance,
    id: &str,
    events: u32,
    prompt_tokens: u32,
) -> reqwest::RequestBuilder {
    entry
        .request(&format!("/chat/{events}"), id)
        .header("larkwick-model", "m")
        .header("larkwick-token-count", format!("{prompt_tokens},{events}"))
}

/// Starts instances whose callers wait for up to 16 s, past an objective of one second.
async fn start_instances(site: &RoutedSite) -> Vec<Instance> {
    let mut config = site.standin.default_config(3, &[KEY]);
    config["routes"][2]["gap_aim_ms"] = json!(2_000);
    site.standin.publish_config(&config);
    let routing = json!({"load": {"wait_past_objective": true}});
    let instances: Vec<Instance> = ["n1", "n2", "n3"]
        .map(|name| site.start_instance_with_settings(name, routing.clone()))
        .into();
    for instance in &instances {
        instance.wait_until_ready().await;
        wait_until("all instances named", async || {
            instance.directory_addresses().await.len() == 3
        })
        .await;
    }
    instances
}

/// Engines are full, and calls wait at the owner. It is killed: they wait on at the next owner, and
/// run once when there is room.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_waiting_generations_served_once_by_next_owner() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    let mut instances = start_instances(&site).await;
    // The owner alone lists the engines in its ledger.
    let owns = async |instance: &Instance| {
        let state: Value = instance.state().await;
        state["engines"]["llm"][&engine.id].is_object()
    };
    let mut owner = 0;
    let first = send_request(generation(&instances[0], "first", 3, 1_000)).await;
    assert_eq!(first.status, 200);
    wait_until("one owner", async || {
        let mut owners = Vec::new();
        for (number, instance) in instances.iter().enumerate() {
            if owns(instance).await {
                owners.push(number);
            }
        }
        owner = owners.first().copied().unwrap_or_default();
        owners.len() == 1
    })
    .await;
    let owner = instances.remove(owner);
    let entry = &instances[0];
    // Two of them leave no room for a third, and run until the test ends.
    let filling = ["f1", "f2"].map(|id| generation(entry, id, 2_400, 13_000));
    let filling = filling.map(|request| tokio::spawn(send_request(request)));
    wait_until("engine full", async || engine.running_count() == 2).await;
    let waiting = ["w1", "w2"].map(|id| generation(entry, id, 3, 9_000));
    let waiting = waiting.map(|request| tokio::spawn(send_request(request)));
    wait_until("calls wait at the owner", async || {
        waiting_count(&owner).await == 2
    })
    .await;
    owner.signal(Signal::SIGKILL);
    wait_until("calls wait at the next owner", async || {
        let mut waiting = 0;
        for instance in &instances {
            waiting += waiting_count(instance).await;
        }
        waiting == 2
    })
    .await;
    let further = site.start_engine().await;
    for (response, id) in waiting.into_iter().zip(["w1", "w2"]) {
        let response = response.await.expect("response received");
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete, "{response:?}");
        assert_eq!(site.standin.servers_that_ran(id), [further.id.as_str()]);
    }
    filling.iter().for_each(tokio::task::JoinHandle::abort);
}
