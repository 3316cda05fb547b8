//! Endpoints that name how many requests a second they take from all instances together.
//!
//! Two of three plain endpoints named 2.9 and 3 requests a second in their answers, and got 31 and 35 in the four seconds that began three seconds
//! later, from six instances that had all passed on such answers; 22 and 23 are allowed.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use larkwick::standin::site::server::Server;
use support::site::{Answered, Caller, Instance, RoutedSite, answered};

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
    let first = site.instance("n0").await;
    let mut instances = vec![first];
    for number in 1..count {
        let instance = site.instance_with_seeds(&format!("n{number}"), &[&instances[0]]);
        instance.until_ready().await;
        instances.push(instance);
    }
    instances
}

/// Sends requests to all instances in turn, each without waiting for the one before, for [`CALLED_FOR`].
async fn call_steadily(
    instances: &[Instance],
    pause: Duration,
    request: impl Fn(&Caller, &str) -> reqwest::RequestBuilder,
) -> Vec<Answered> {
    let callers: Vec<Caller> = instances.iter().map(Instance::caller).collect();
    let begun = Instant::now();
    let mut asked = Vec::new();
    for (number, caller) in callers.iter().cycle().enumerate() {
        if begun.elapsed() > CALLED_FOR {
            break;
        }
        let request = request(caller, &format!("r{number}"));
        asked.push(tokio::spawn(answered(request)));
        tokio::time::sleep(pause).await;
    }
    let mut answers = Vec::new();
    for one in asked {
        answers.push(one.await.expect("a caller ended"));
    }
    answers
}

fn check_sum(server: &Arc<Server>, named_at: Instant) {
    let most = server.most_within(SPAN, named_at + COUNTED_AFTER);
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
        app.name_limit(Some(LIMIT));
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
        engines.push(site.engine().await);
    }
    let instances = instances(&site, 4).await;
    let named_at = Instant::now();
    for engine in &engines[..2] {
        engine.name_limit(Some(LIMIT));
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
