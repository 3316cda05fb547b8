//! Prompt segments that crash each engine which begins to answer them.
//!
//! On a site of six instances and twelve engines, requests with one segment in their prompts, no two
//! of them alike, crashed 26 engines. Crashes were counted by the whole request, so that each of
//! these requests began at zero. In the logs each crash has one line `endpoint broke off` without an
//! event (`ran_for_ms` = 0), each with another `content`, and all with one segment in common.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use larkwick::standin::site::server::Server;
use reqwest::RequestBuilder;
use serde_json::{Value, json};
use support::run_tool;
use support::site::{HttpResponse, Instance, RoutedSite, send_request, wait_until};

const CRASHING: &str = "bad0";
/// Users accept five crashes, and three requests sent after the fifth one.
const CRASHED_MAX: usize = 8;
const ENGINES: usize = 20;

struct CrashingSite {
    site: RoutedSite,
    engines: Vec<Arc<Server>>,
    instances: Vec<Instance>,
}

impl CrashingSite {
    async fn start(engines: usize, instances: usize) -> Self {
        let site = RoutedSite::start(0).await;
        site.standin.crash_servers_on_segment(CRASHING);
        let mut started = Self {
            site,
            engines: Vec::new(),
            instances: Vec::new(),
        };
        for _ in 0..engines {
            started.engines.push(started.site.start_engine().await);
        }
        started.instances = started.site.start_instances(instances).await;
        started
    }

    /// Sends a request whose prompt has these segments and one of its own. No two have the same
    /// body.
    async fn send(&self, number: usize, segments: &[&str]) -> HttpResponse {
        let instance = &self.instances[number % self.instances.len()];
        send_request(generation(instance, number, segments)).await
    }

    fn crashed(&self) -> usize {
        self.site.standin.crashed_servers().len()
    }
}

fn generation(instance: &Instance, number: usize, segments: &[&str]) -> RequestBuilder {
    let id = format!("r{number}-{}", segments.join("-"));
    let request = instance.generation(2, &id).body(id.clone());
    request.header("larkwick-prompt-prefix", prompt(number, segments))
}

fn prompt(number: usize, segments: &[&str]) -> String {
    let own = format!("{:x}:20", 0x10_0000 + number);
    let named = segments.iter().map(|segment| format!("{segment}:300"));
    let prompt: Vec<String> = named.chain([own]).collect();
    prompt.join(",")
}

fn is_served(response: &HttpResponse) -> bool {
    response.status == 200 && response.is_complete
}

/// Requests with the crashing segment come beside sound ones that share the client account and the
/// other segments with them.
#[tokio::test(flavor = "multi_thread")]
async fn segment_crashes_each_engine_refused_by_all_instances_and_others_served() {
    for position in ["first", "middle"] {
        let site = CrashingSite::start(ENGINES, 3).await;
        let mut sound_served = Vec::new();
        let mut last_bad = Vec::new();
        for number in 0..ENGINES {
            let bad = match position {
                "first" => [CRASHING, "a1"],
                _ => ["a1", CRASHING],
            };
            last_bad.push(site.send(3 * number, &bad).await);
            for sound in [3 * number + 1, 3 * number + 2] {
                let response = site.send(sound, &["a1", "b2"]).await;
                sound_served.push(is_served(&response));
            }
        }
        let crashed = site.crashed();
        println!("{position}: {crashed} of {ENGINES} engines crashed");
        assert!(
            crashed <= CRASHED_MAX,
            "{position}: {crashed} engines crashed"
        );
        for response in &last_bad[CRASHED_MAX..] {
            assert_eq!(response.status, 503, "{position}: {response:?}");
            assert!(response.retry_after.is_some(), "{position}: {response:?}");
        }
        let later = &sound_served[2 * CRASHED_MAX..];
        assert!(later.iter().all(|served| *served), "{position}: {later:?}");
    }
}

/// Nothing has finished before the first crash, so that each segment of the crashing requests is as
/// suspect as the others.
#[tokio::test(flavor = "multi_thread")]
async fn segment_crashes_engines_from_the_start_others_served() {
    let site = CrashingSite::start(ENGINES, 3).await;
    for number in 0..ENGINES {
        site.send(number, &["a1", CRASHING]).await;
    }
    let crashed = site.crashed();
    assert!(crashed <= CRASHED_MAX, "{crashed} engines crashed");
    for number in ENGINES..ENGINES + 6 {
        let response = site.send(number, &["a1", "b2"]).await;
        assert!(is_served(&response), "{response:?}");
    }
}

/// Instances have no storage of their own.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_segment_after_loss_of_all_instances_still_refused() {
    let mut site = CrashingSite::start(ENGINES, 2).await;
    for number in 0..7 {
        site.send(2 * number, &["a1", CRASHING]).await;
        site.send(2 * number + 1, &["a1", "b2"]).await;
    }
    // Leaves time to write what is known to the store before the instances are lost.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    site.instances.clear();
    site.instances = site.site.start_instances(2).await;
    for number in 20..34 {
        site.send(number, &["a1", CRASHING]).await;
    }
    let crashed = site.crashed();
    assert!(crashed <= CRASHED_MAX, "{crashed} engines crashed");
    let sound = site.send(40, &["a1", "b2"]).await;
    assert!(is_served(&sound), "{sound:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_request_log_names_its_segments() {
    let site = CrashingSite::start(3, 1).await;
    for number in 0..3 {
        site.send(number, &["a1", CRASHING]).await;
    }
    let instance = &site.instances[0];
    wait_until("three lines", async || {
        instance.logged("endpoint broke off").len() == 3
    })
    .await;
    let lines = instance.logged("endpoint broke off");
    assert!(
        lines.iter().all(|line| line["segments"] == "a1 bad0"),
        "{lines:?}"
    );
    let contents: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line["content"].as_str())
        .collect();
    assert_eq!(contents.len(), 3, "no two requests are alike: {lines:?}");
}

/// Endpoints also crash for reasons of their own, and cut off what runs on them.
#[tokio::test(flavor = "multi_thread")]
async fn engines_crash_by_themselves_beside_it_others_served() {
    let mut site = CrashingSite::start(ENGINES, 3).await;
    let mut served = 0;
    let mut sent = 0;
    for number in 0..ENGINES {
        site.send(3 * number, &["a1", CRASHING]).await;
        if number % 3 == 0 {
            let running: Vec<_> = (0..4)
                .map(|one| {
                    let instance = &site.instances[one % 3];
                    let long = instance.generation(40, &format!("long-{number}-{one}"));
                    let prompt = prompt(1_000 + 4 * number + one, &["a1", "c3"]);
                    tokio::spawn(send_request(long.header("larkwick-prompt-prefix", prompt)))
                })
                .collect();
            wait_until("they run", async || {
                site.engines.iter().any(|engine| engine.running_count() > 0)
            })
            .await;
            let busy = site.engines.iter().position(|one| one.running_count() > 0);
            if let Some(busy) = busy {
                site.engines.remove(busy).kill().await;
                site.engines.push(site.site.start_engine().await);
            }
            for one in running {
                one.await.expect("response received");
            }
        }
        for sound in [3 * number + 1, 3 * number + 2] {
            sent += 1;
            let response = site.send(sound, &["a1", "c3"]).await;
            served += usize::from(is_served(&response));
        }
    }
    let crashed = site.crashed();
    println!("{crashed} crashed, {served} of {sent} sound ones served");
    assert!(crashed <= CRASHED_MAX, "{crashed} engines crashed");
    assert!(served * 2 >= sent, "{served} of {sent} served");
}

/// Generations that are restarted at another engine look the segment up each time.
#[tokio::test(flavor = "multi_thread")]
async fn segment_on_resumable_route_restarts_refused() {
    let site = CrashingSite::start(ENGINES, 3).await;
    for number in 0..ENGINES {
        let instance = &site.instances[number % 3];
        let request = instance
            .caller()
            .resumable_generation(4, &format!("r{number}"));
        let prompt = prompt(number, &["a1", CRASHING]);
        let request = request.body(format!("body {number}"));
        send_request(request.header("larkwick-prompt-prefix", prompt)).await;
    }
    let crashed = site.crashed();
    assert!(crashed <= CRASHED_MAX, "{crashed} engines crashed");
}

#[tokio::test(flavor = "multi_thread")]
async fn segment_released_by_operator_sent_again_by_all_instances() {
    let site = CrashingSite::start(ENGINES, 2).await;
    for number in 0..8 {
        site.send(2 * number, &["a1", CRASHING]).await;
        site.send(2 * number + 1, &["a1", "b2"]).await;
    }
    let operator = site.instances[0].operator_address();
    let listed = run_tool(&["suspects", "list", "--operator", &operator, "--json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("a list");
    let refused = listed.iter().find(|one| one["segment"] == CRASHING);
    let refused = refused.expect("the segment is listed");
    assert_eq!(refused["verdict"], json!("refused"), "{listed:?}");
    for engine in &site.engines {
        engine.make_crash_proof();
    }
    let content = refused["content"].as_str().expect("a fingerprint");
    let released = run_tool(&["suspects", "let-go", content, "--operator", &operator]);
    assert!(released.status.success(), "{released:?}");
    let mut number = 100;
    wait_until("served at the other instance", async || {
        number += 2;
        is_served(&site.send(number + 1, &["a1", CRASHING]).await)
    })
    .await;
}
