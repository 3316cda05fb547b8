//! Generations that wait for capacity at an owner that is lost.

mod support;

use larkwick::standin::site::KEY;
use larkwick::standin::site::server::Server;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::site::{HttpResponse, Instance, RoutedSite, send_request, wait_until};
use tokio::task::JoinHandle;

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

/// Generations of one entry instance: those that fill the engine, and two that wait.
struct Started {
    filling: Vec<JoinHandle<HttpResponse>>,
    waiting: Vec<(String, JoinHandle<HttpResponse>)>,
    /// Number of the instance at which they wait.
    owner: usize,
}

impl Started {
    fn abort(&self) {
        self.filling.iter().for_each(JoinHandle::abort);
        self.waiting.iter().for_each(|(_, call)| call.abort());
    }
}

async fn fill_and_wait(engine: &Server, instances: &[Instance], entry: usize) -> Started {
    let start = |id: &str, events, prompt_tokens| {
        let request = generation(&instances[entry], id, events, prompt_tokens);
        tokio::spawn(send_request(request))
    };
    // Two of them leave no room for a third, and run until the test ends.
    let filling = ["f1", "f2"].map(|id| start(&format!("{id}-{entry}"), 2_400, 13_000));
    wait_until("engine full", async || engine.running_count() == 2).await;
    let waiting = ["w1", "w2"].map(|id| {
        let id = format!("{id}-{entry}");
        let call = start(&id, 3, 9_000);
        (id, call)
    });
    let mut owner = None;
    wait_until("calls wait at one owner", async || {
        for (number, instance) in instances.iter().enumerate() {
            if waiting_count(instance).await == 2 {
                owner = Some(number);
            }
        }
        owner.is_some()
    })
    .await;
    Started {
        filling: filling.into(),
        waiting: waiting.into(),
        owner: owner.expect("found"),
    }
}

/// Engines are full, and calls wait at the owner. It is killed: they wait on at the next owner, and
/// run once when there is room.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_waiting_generations_served_once_by_next_owner() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    let mut instances = start_instances(&site).await;
    // An instance that turns out to own the engines cannot be killed while its callers wait.
    let mut started = fill_and_wait(&engine, &instances, 0).await;
    if started.owner == 0 {
        started.abort();
        wait_until("engine free", async || engine.running_count() == 0).await;
        started = fill_and_wait(&engine, &instances, 1).await;
    }
    let owner = instances.remove(started.owner);
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
    for (id, response) in started.waiting {
        let response = response.await.expect("response received");
        assert_eq!(response.status, 200, "{response:?}");
        assert!(response.is_complete, "{response:?}");
        assert_eq!(site.standin.servers_that_ran(&id), [further.id.as_str()]);
    }
    started.filling.iter().for_each(JoinHandle::abort);
}
