//! Requests that end each endpoint which begins to run them. On a site of six instances and twelve engines one such request came again and again, each
//! time under a new name and at another instance, and ended nine engines in twelve seconds; long generations that happened to run beside it were cut
//! with it. Whatever counted tries belonged to one try and was forgotten with its end, so that nobody knew at the tenth try what the first three had
//! shown.
//!
//! What settled it: at each of the nine ends just one generation was cut of which no event had come, 0.18 to 0.27 s after it was placed (`generation
//! ended` with `outcome` = `broken` and `events` = 0), and none of these was sent to more than one engine: it was not larkwick that repeated it. The line
//! `endpoint broke off`, which names the content, shows the same content at each end.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use larkwick::standin::site::server::Server;
use serde_json::{Value, json};
use support::site::{Answered, Instance, RoutedSite, answered, until};
use support::tool;

/// The body that ends each endpoint.
const CRASHING: &[u8] = b"a body that no endpoint survives";
/// Endpoints that may end under one request: three until it is known for what it is, and three more sends.
const ENDED_MAX: usize = 6;
/// How often the request comes.
const TRIES: u32 = 14;

struct CrashingSite {
    site: RoutedSite,
    engines: Vec<Arc<Server>>,
    instances: Vec<Instance>,
}

impl CrashingSite {
    async fn start(apps: usize, engines: usize, instances: usize) -> Self {
        let site = RoutedSite::start(apps).await;
        site.standin.crash_on(CRASHING);
        let mut started = Self {
            site,
            engines: Vec::new(),
            instances: Vec::new(),
        };
        for _ in 0..engines {
            let engine = started.site.engine().await;
            started.engines.push(engine);
        }
        started.start_instances(instances).await;
        started
    }

    async fn start_instances(&mut self, count: usize) {
        for number in 0..count {
            let instance = self.site.instance(&format!("n{number}")).await;
            self.instances.push(instance);
        }
        for instance in &self.instances {
            until("all members known", async || {
                let members = instance.state().await["members"].clone();
                members.as_array().map_or(0, Vec::len) + 1 >= count
            })
            .await;
        }
    }

    /// Calls each instance in turn with the request, under a new name each time.
    async fn call_in_turn(&self, path: &str, tries: u32) -> Vec<(String, Answered)> {
        let mut answers = Vec::new();
        for (number, instance) in (0..tries).zip(self.instances.iter().cycle()) {
            let id = format!("try-{number}");
            let answer = call(instance, path, &id).await;
            answers.push((id, answer));
        }
        answers
    }

    fn ended(&self) -> usize {
        self.site.standin.crashed().len()
    }
}

/// Sends the request; a connection that breaks before an answer counts as one without a status.
async fn call(instance: &Instance, path: &str, id: &str) -> Answered {
    let request = instance.request(path, id).body(CRASHING);
    let tokens = [("larkwick-model", "m"), ("larkwick-token-count", "1000,8")];
    let request = tokens.into_iter().fold(request, |request, (name, value)| {
        request.header(name, value)
    });
    answered(request).await
}

fn assert_refused_is_not_run(site: &RoutedSite, answers: &[(String, Answered)]) {
    for (id, answer) in answers.iter().filter(|(_, answer)| answer.status == 503) {
        assert!(site.standin.runs_of(id).is_empty(), "{id}: {answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_ends_each_engine_refused_everywhere_after_three() {
    let crashing = CrashingSite::start(0, 12, 3).await;
    let answers = crashing.call_in_turn("/chat/2", TRIES).await;
    let ended = crashing.ended();
    assert!(ended <= ENDED_MAX, "{ended} engines ended in {TRIES} tries");
    assert_refused_is_not_run(&crashing.site, &answers);
    let last: BTreeSet<u16> = answers[TRIES as usize - 3..]
        .iter()
        .map(|(_, answer)| answer.status)
        .collect();
    assert_eq!(last, BTreeSet::from([503]), "each instance refuses it");
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_off_endpoint_ended_line_names_content_and_that_nobody_listens() {
    let crashing = CrashingSite::start(0, 3, 1).await;
    crashing.call_in_turn("/chat/2", 3).await;
    let instance = &crashing.instances[0];
    until("three lines", async || told(instance).len() == 3).await;
    let lines = told(instance);
    let contents: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line["content"].as_str())
        .collect();
    assert_eq!(contents.len(), 1, "the same content each time: {lines:?}");
    let ended = lines.iter().filter(|line| line["presence"] == "Ended");
    assert_eq!(ended.count(), 3, "{lines:?}");
}

/// A release that mends the endpoints: one instance tries the request there, and what it finishes all instances send there, and
/// only there.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_new_software_tried_there_and_served_again() {
    let crashing = CrashingSite::start(0, 8, 3).await;
    crashing.call_in_turn("/chat/2", TRIES).await;
    let ended = crashing.ended();
    let mended = crashing.site.engine().await;
    mended.mend();
    let standin = &crashing.site.standin;
    standin.list_with(&mended, &json!({"version": "v2"}));
    for (number, instance) in crashing.instances.iter().enumerate() {
        let mut tries = 0;
        until("served again", async || {
            tries += 1;
            let id = format!("again-{number}-{tries}");
            let answer = call(instance, "/chat/2", &id).await;
            answer.status == 200 && answer.whole
        })
        .await;
    }
    assert_eq!(crashing.ended(), ended, "none of the older software ended");
}

#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_new_software_not_mended_ends_one_more() {
    let crashing = CrashingSite::start(0, 8, 3).await;
    crashing.call_in_turn("/chat/2", TRIES).await;
    let ended = crashing.ended();
    for _ in 0..3 {
        let engine = crashing.site.engine().await;
        let standin = &crashing.site.standin;
        standin.list_with(&engine, &json!({"version": "v2"}));
    }
    crashing.call_in_turn("/chat/2", TRIES).await;
    let more = crashing.ended() - ended;
    assert!(more <= 1, "{more} engines of the new software ended");
}

#[tokio::test(flavor = "multi_thread")]
async fn let_go_by_an_operator_sent_again_at_all_instances() {
    let crashing = CrashingSite::start(0, 12, 2).await;
    crashing.call_in_turn("/chat/2", TRIES).await;
    let operator = crashing.instances[0].operator_address();
    let listed = tool(&["suspects", "list", "--operator", &operator, "--json"]);
    let listed: Value = serde_json::from_slice(&listed.stdout).expect("a list");
    assert_eq!(listed[0]["verdict"], "refused", "{listed}");
    let content = listed[0]["content"].as_str().expect("a content");
    for engine in &crashing.engines {
        engine.mend();
    }
    let let_go = tool(&["suspects", "let-go", content, "--operator", &operator]);
    assert!(let_go.status.success(), "{let_go:?}");
    let mut tries = 0;
    until("served at the other instance", async || {
        tries += 1;
        let answer = call(&crashing.instances[1], "/chat/2", &format!("l{tries}")).await;
        answer.status == 200 && answer.whole
    })
    .await;
    let unknown = "0".repeat(48);
    let not_known = tool(&["suspects", "let-go", &unknown, "--operator", &operator]);
    assert!(!not_known.status.success());
}

/// Equal requests run at every engine and are cut with each that ends; they are served all the same once one of them is seen to run on.
#[tokio::test(flavor = "multi_thread")]
async fn equal_requests_cut_beside_the_crashing_one_served() {
    let crashing = CrashingSite::start(0, 12, 3).await;
    let instances = || crashing.instances.iter().cycle();
    let beside: Vec<_> = instances()
        .take(24)
        .enumerate()
        .map(|(number, instance)| {
            let request = instance.generation(60, &format!("beside-{number}"));
            tokio::spawn(answered(request))
        })
        .collect();
    crashing.call_in_turn("/chat/2", 4).await;
    assert!(crashing.ended() >= 3);
    for (number, instance) in crashing.instances.iter().enumerate() {
        let mut tries = 0;
        until("served", async || {
            tries += 1;
            let id = format!("equal-{number}-{tries}");
            let answer = answered(instance.generation(60, &id)).await;
            answer.status == 200 && answer.whole
        })
        .await;
    }
    for running in beside {
        running.await.expect("answered");
    }
}

/// An engine that was found to have ended is offered to nobody before the list tells of its end.
#[tokio::test(flavor = "multi_thread")]
async fn engine_ended_under_a_request_offered_to_no_other() {
    let crashing = CrashingSite::start(0, 2, 1).await;
    let instance = &crashing.instances[0];
    crashing.call_in_turn("/chat/2", 1).await;
    let ended = crashing.site.standin.crashed();
    // The first one lasts until the engine's last generation is forgotten there: it looks emptiest then.
    for (number, events) in [80, 2, 2, 2].into_iter().enumerate() {
        let answer = answered(instance.generation(events, &format!("after-{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let lines = instance.lines.lock().expect("lines");
    let placed = lines
        .iter()
        .filter(|line| line["payload"] == "generation placed")
        .filter(|line| line["kv"]["endpoint"] == ended[0].as_str());
    assert_eq!(placed.count(), 1, "only the one that ended it");
}

/// A site that is too large for each instance to tell all others: what one has seen comes to all the same. By hand with more instances, for the time
/// that it takes: `KNOWN_INSTANCES=100 cargo test --test crashing_requests known_at_all -- --nocapture`.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_content_large_site_known_at_all() {
    let wanted = std::env::var("KNOWN_INSTANCES");
    let count = wanted.map_or(16, |count| count.parse().expect("a number"));
    let site = RoutedSite::start(0).await;
    site.standin.crash_on(CRASHING);
    for _ in 0..ENDED_MAX {
        site.engine().await;
    }
    let first = site.instance("n0").await;
    let seed = first.peer_address();
    let instances: Vec<Instance> = (1..count)
        .map(|number| site.instance_seeded(&format!("n{number}"), std::slice::from_ref(&seed)))
        .collect();
    for instance in &instances {
        instance.until_ready().await;
    }
    until("all members known", async || {
        let members = first.state().await["members"].clone();
        members.as_array().map_or(0, Vec::len) + 1 >= count
    })
    .await;
    let mut tries = 0;
    until("refused where it was seen", async || {
        tries += 1;
        call(&first, "/chat/2", &format!("t{tries}")).await.status == 503
    })
    .await;
    let begun = std::time::Instant::now();
    for instance in &instances {
        until("known", async || {
            let known = instance.operators("/suspects").await;
            known[0]["verdict"] == "refused"
        })
        .await;
    }
    println!(
        "{count} instances knew {} ms after the first",
        begun.elapsed().as_millis()
    );
    let ended = site.standin.crashed().len();
    assert_eq!(ended, 3, "all of them under the first three tries");
}

/// What an instance told of endpoints that broke off.
fn told(instance: &Instance) -> Vec<Value> {
    let lines = instance.lines.lock().expect("lines");
    let told = lines.iter();
    let told = told.filter(|line| line["payload"] == "endpoint broke off");
    told.map(|line| line["kv"].clone()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn call_ends_each_endpoint_refused_everywhere_after_three() {
    for path in ["/once/1", "/calls/1"] {
        let crashing = CrashingSite::start(14, 0, 3).await;
        let answers = crashing.call_in_turn(path, TRIES).await;
        let ended = crashing.ended();
        assert!(ended <= ENDED_MAX, "{path}: {ended} endpoints ended");
        assert_refused_is_not_run(&crashing.site, &answers);
        let (_, last) = answers.last().expect("answers");
        assert_eq!(last.status, 503, "{path}: {last:?}");
        assert!(last.retry_after.is_some(), "{path}: {last:?}");
    }
}

/// Instances keep nothing: what they know of such a request has to outlast the loss of all of them.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_after_loss_of_all_instances_still_refused() {
    let mut crashing = CrashingSite::start(0, 12, 2).await;
    crashing.call_in_turn("/chat/2", TRIES / 2).await;
    // Kept by the store before they are lost.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    crashing.instances.clear();
    crashing.start_instances(2).await;
    crashing.call_in_turn("/chat/2", TRIES / 2).await;
    let ended = crashing.ended();
    assert!(ended <= ENDED_MAX, "{ended} engines ended");
}
