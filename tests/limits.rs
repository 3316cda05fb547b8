//! Endpoints that name how many requests a second they take from all instances together.
//!
//! Two of three plain endpoints named 2.9 and 3 requests a second in their answers, and got 31 and 35 in the four seconds that began three seconds
//! later, from six instances that had all passed on such answers; 22 and 23 are allowed.
//!
//! Nobody read the header, and what is known of other bounds on all instances was kept by each of them alone, by a share that is a guess. What
//! settled it: no instance sent more than 9 of those 31, below the 11.6 that the endpoint names for four seconds, so that instances that each keep to
//! the limit would have broken it alike; it is the sum that has to be kept. Here four instances sent 42 where 20 are allowed.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkwick::standin::site::server::Server;
use nix::sys::signal::Signal;
use support::site::{Caller, HttpResponse, Instance, RoutedSite, send_request, wait_until};

/// What the tests' endpoints name, and as it stands in the header.
const LIMIT_PER_S: f64 = 2.5;
const LIMIT: &str = "2.5";
/// Users count over any span of this length,
const SPAN: Duration = Duration::from_secs(4);
/// from this long after the limit was first named.
const COUNTED_AFTER: Duration = Duration::from_secs(3);
/// How long the callers call.
const CALLED_FOR: Duration = Duration::from_secs(9);

/// Requests that may reach an endpoint within a span, as users count: half as many again as it takes, and five.
fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * SPAN.as_secs_f64() + 5.0
}

/// Starts so many instances that know each other.
async fn instances(site: &RoutedSite, count: usize) -> Vec<Instance> {
    let first = site.start_instance("n0").await;
    let mut instances = vec![first];
    for number in 1..count {
        let instance = site.start_instance_with_peers(&format!("n{number}"), &[&instances[0]]);
        instance.wait_until_ready().await;
        instances.push(instance);
    }
    instances
}

/// Sends requests to all instances in turn, each without waiting for the one before, for [`CALLED_FOR`].
async fn call_steadily(
    instances: &[Instance],
    pause: Duration,
    request: impl Fn(&Caller, &str) -> reqwest::RequestBuilder,
) -> Vec<HttpResponse> {
    let callers: Vec<Caller> = instances.iter().map(Instance::caller).collect();
    let begun = Instant::now();
    let mut asked = Vec::new();
    for (number, caller) in callers.iter().cycle().enumerate() {
        if begun.elapsed() > CALLED_FOR {
            break;
        }
        let request = request(caller, &format!("r{number}"));
        asked.push(tokio::spawn(send_request(request)));
        tokio::time::sleep(pause).await;
    }
    let mut answers = Vec::new();
    for one in asked {
        answers.push(one.await.expect("a caller ended"));
    }
    answers
}

fn check_sum(server: &Arc<Server>, named_at: Instant) {
    let most = server.max_requests_within(SPAN, named_at + COUNTED_AFTER);
    let most = f64::from(u32::try_from(most).expect("few requests"));
    let allowed = allowed(LIMIT_PER_S);
    assert!(
        most <= allowed,
        "{most} reached {} within {SPAN:?}, {allowed} are allowed",
        server.id
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_named_by_two_of_three_plain_endpoints_sum_of_all_instances_kept() {
    let site = RoutedSite::start(3).await;
    let instances = instances(&site, 4).await;
    let named_at = Instant::now();
    for app in &site.apps[..2] {
        app.announce_limit(Some(LIMIT));
    }
    let answers = call_steadily(&instances, Duration::from_millis(33), |caller, id| {
        caller.request("/calls/a", id)
    })
    .await;
    for app in &site.apps[..2] {
        check_sum(app, named_at);
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, answers.len(), "the third one has room for all");
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_named_by_two_of_three_engines_sum_of_all_instances_kept() {
    let site = RoutedSite::start(0).await;
    let mut engines = Vec::new();
    for _ in 0..3 {
        engines.push(site.start_engine().await);
    }
    let instances = instances(&site, 4).await;
    let named_at = Instant::now();
    for engine in &engines[..2] {
        engine.announce_limit(Some(LIMIT));
    }
    let answers = call_steadily(&instances, Duration::from_millis(50), |caller, id| {
        caller.generation(4, id)
    })
    .await;
    for engine in &engines[..2] {
        check_sum(engine, named_at);
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, answers.len(), "the third one has room for all");
}

/// All take little together: what nobody takes is refused at once, not run, and told when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn limit_named_by_all_sum_kept_and_the_rest_refused_at_once() {
    let site = RoutedSite::start(2).await;
    let instances = instances(&site, 4).await;
    let named_at = Instant::now();
    for app in &site.apps {
        app.announce_limit(Some(LIMIT));
    }
    let answers = call_steadily(&instances, Duration::from_millis(33), |caller, id| {
        caller.request("/calls/a", id)
    })
    .await;
    for app in &site.apps {
        check_sum(app, named_at);
    }
    let (served, refused): (Vec<_>, Vec<_>) =
        answers.iter().partition(|answer| answer.status == 200);
    assert!(!served.is_empty());
    for answer in &refused {
        assert_eq!(answer.status, 503, "{answer:?}");
        let told_s = answer.retry_after.unwrap_or_default();
        assert!(told_s >= 0.1, "{answer:?}: sooner it meets the same crowd");
    }
    let ran = |number: usize| site.standin.servers_that_ran(&format!("r{number}")).len();
    let ran = (0..answers.len()).map(ran).sum::<usize>();
    assert_eq!(ran, served.len(), "a refused one ran");
}

/// It takes nothing for a while, so that hardly anybody is left to hear that it takes all again.
#[tokio::test(flavor = "multi_thread")]
async fn limit_of_nothing_that_ends_heard_of_and_calls_go_there_again() {
    let site = RoutedSite::start(2).await;
    let instances = instances(&site, 3).await;
    let app = &site.apps[0];
    app.announce_limit(Some("0"));
    let all_know = async |named: bool| {
        for instance in &instances {
            wait_until("all know", async || {
                instance.call("/calls/a", "any").await;
                let state = instance.state().await;
                let endpoints = state["endpoints"].as_object().cloned().unwrap_or_default();
                let mut limits = endpoints.values().map(|one| &one["limit_per_s"]);
                limits.any(|limit| !limit.is_null()) == named
            })
            .await;
        }
    };
    all_know(true).await;
    app.announce_limit(None);
    all_know(false).await;
    let before = app.request_count();
    for number in 0..40 {
        let answer = instances[0]
            .call("/calls/a", &format!("after-{number}"))
            .await;
        assert_eq!(answer.status, 200);
    }
    assert!(app.request_count() > before);
}

/// One after the other, instances stand still and are killed, whoever of them gives the permits.
#[tokio::test(flavor = "multi_thread")]
async fn limit_givers_stand_still_and_are_killed_sum_kept() {
    let site = RoutedSite::start(2).await;
    let mut instances = instances(&site, 4).await;
    let named_at = Instant::now();
    for app in &site.apps {
        app.announce_limit(Some(LIMIT));
    }
    let callers: Vec<Caller> = instances.iter().map(Instance::caller).collect();
    let calls = tokio::spawn(async move {
        let begun = Instant::now();
        for (number, caller) in callers.iter().cycle().enumerate() {
            if begun.elapsed() > CALLED_FOR {
                break;
            }
            let call = caller.request("/calls/a", &format!("r{number}"));
            // Who is killed answers nothing.
            tokio::spawn(async move { call.timeout(Duration::from_secs(5)).send().await.is_ok() });
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    });
    for _ in 0..2 {
        for instance in &instances {
            instance.signal(Signal::SIGSTOP);
            tokio::time::sleep(Duration::from_millis(900)).await;
            instance.signal(Signal::SIGCONT);
        }
        instances.pop();
    }
    calls.await.expect("callers end");
    for app in &site.apps {
        check_sum(app, named_at);
    }
}

/// One instance alone is told by answers; the others hear of it from members, and of its end.
#[tokio::test(flavor = "multi_thread")]
async fn limit_told_to_one_instance_known_to_all() {
    let site = RoutedSite::start(2).await;
    let instances = instances(&site, 3).await;
    let app = &site.apps[0];
    let limit_at = async |instance: &Instance| {
        let state = instance.state().await;
        let endpoints = state["endpoints"].as_object().cloned().unwrap_or_default();
        let is_of =
            |one: &&serde_json::Value| one["entry"]["address"] == serde_json::json!(app.address());
        let found = endpoints.values().find(is_of).cloned();
        found.and_then(|one| one["limit_per_s"].as_f64())
    };
    app.announce_limit(Some(LIMIT));
    for instance in &instances {
        wait_until("known", async || {
            instances[0].call("/calls/a", "any").await;
            limit_at(instance).await == Some(LIMIT_PER_S)
        })
        .await;
    }
    app.announce_limit(None);
    for instance in &instances {
        wait_until("known to be over", async || {
            instances[0].call("/calls/a", "any").await;
            limit_at(instance).await.is_none()
        })
        .await;
    }
}
