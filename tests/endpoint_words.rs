//! What endpoints say of themselves in their answers, beside the matter asked.
//!
//! While the store was away for twelve seconds, an endpoint told in each of its answers that it was leaving, and nine instances went on to send it calls:
//! 26 of them in five seconds, two more than two seconds after the same instance had passed such an answer on. On another site four engines refused
//! each generation and asked for three seconds without a request; one instance sent one of them three more within that time, and callers were refused
//! for want of repeats (`NoRoom`, "engine refused: 503; retry budget spent") while eight engines had room.
//!
//! Eight facts were read of the head of an answer, and any other header was dropped without a line of log: what an endpoint said of itself counted only
//! where it also came by the list. What settled it: in five seconds of calls to the one that left, no instance had a line that names it as leaving; and
//! here one instance alone, whose list does not change, so that nothing can displace the word, goes on to send (11 requests within a rest, two allowed).

mod support;

use std::sync::Arc;

use http::Response;
use larkwick::kernel::endpoint_word::EndpointWord;
use larkwick::platform::engine;
use larkwick::standin::site::server::{Server, ServerFault};
use support::site::{Instance, RoutedSite, answered, until};

/// Calls that show where calls go; with two endpoints that both take work, all at one of them is rarer than one in a billion.
const CALLS: usize = 40;
/// Far longer than a test takes.
const LONG_REST: &str = "600";
/// Requests that may reach an endpoint from an instance that it has asked for rest, and the one that it refused.
const REQUESTS_MAX: usize = 3;

async fn call_all(instance: &Instance, name: &str) {
    for number in 0..CALLS {
        let answer = instance.call("/calls/a", &format!("{name}-{number}")).await;
        assert_eq!(answer.status, 200, "{name}-{number}: {answer:?}");
    }
}

/// Calls until one has been answered by this server.
async fn until_answered_by(instance: &Instance, server: &Server, name: &str) {
    let mut tries = 0;
    until("answered by it", async || {
        tries += 1;
        instance.call("/calls/a", &format!("{name}-{tries}")).await;
        server.requests() > 0
    })
    .await;
}

/// Two engines; the first one refuses and asks for rest.
async fn resting_engine(site: &RoutedSite) -> (Arc<Server>, Arc<Server>) {
    let (resting, other) = (site.engine().await, site.engine().await);
    resting.set_fault(ServerFault::Refuses);
    resting.ask_for_rest(Some(LONG_REST));
    (resting, other)
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_said_in_an_answer_no_call_follows() {
    let site = RoutedSite::start(2).await;
    let instance = site.instance("n1").await;
    let leaving = &site.apps[0];
    leaving.say_leaving("1");
    until_answered_by(&instance, leaving, "first").await;
    let before = leaving.requests();
    call_all(&instance, "after").await;
    assert_eq!(leaving.requests(), before, "calls went on to it");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_said_by_an_engine_no_generation_follows_at_any_instance() {
    let site = RoutedSite::start(0).await;
    let (leaving, other) = (site.engine().await, site.engine().await);
    let first = site.instance("n1").await;
    let second = site.instance_with_seeds("n2", &[&first]);
    second.until_ready().await;
    leaving.say_leaving("1");
    let mut tries = 0;
    until("answered by it", async || {
        tries += 1;
        answered(first.generation(2, &format!("first-{tries}"))).await;
        leaving.requests() > 0
    })
    .await;
    for instance in [&first, &second] {
        until("known", async || {
            instance.standing(&leaving).await == "leaving"
        })
        .await;
    }
    let before = leaving.requests();
    for (number, instance) in [&first, &second].into_iter().cycle().take(20).enumerate() {
        let answer = answered(instance.generation(2, &format!("after-{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(leaving.requests(), before, "generations went on to it");
    assert!(other.requests() >= 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn rest_asked_by_an_endpoint_calls_go_elsewhere() {
    let site = RoutedSite::start(2).await;
    let instance = site.instance("n1").await;
    let resting = &site.apps[0];
    resting.set_fault(ServerFault::Refuses);
    resting.ask_for_rest(Some(LONG_REST));
    for round in 0..5 {
        call_all(&instance, &format!("round-{round}")).await;
    }
    let got = resting.requests();
    assert!(
        (1..=REQUESTS_MAX).contains(&got),
        "{got} requests reached it"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rest_asked_by_an_engine_generations_go_elsewhere() {
    let site = RoutedSite::start(0).await;
    let (resting, _other) = resting_engine(&site).await;
    let first = site.instance("n1").await;
    let second = site.instance_with_seeds("n2", &[&first]);
    second.until_ready().await;
    let instances = [&first, &second];
    for (number, instance) in instances.into_iter().cycle().take(16).enumerate() {
        let answer = answered(instance.generation(2, &format!("g-{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        // Longer than the owner passes over an engine that has refused.
        tokio::time::sleep(std::time::Duration::from_millis(450)).await;
    }
    let got = resting.requests();
    assert!(
        (1..=REQUESTS_MAX * instances.len()).contains(&got),
        "{got} requests reached it"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rest_asked_by_all_refused_at_once_and_told_when() {
    let site = RoutedSite::start(2).await;
    let instance = site.instance("n1").await;
    for app in &site.apps {
        app.set_fault(ServerFault::Refuses);
        app.ask_for_rest(Some(LONG_REST));
    }
    for number in 0..20 {
        let id = format!("call-{number}");
        let answer = instance.call("/calls/a", &id).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        assert!(site.standin.runs_of(&id).is_empty());
    }
    for app in &site.apps {
        let got = app.requests();
        assert!(got <= REQUESTS_MAX, "{got} requests reached one");
    }
}

/// What is read of the head of an answer with these headers.
fn word_of(status: u16, headers: &[(&str, &str)]) -> EndpointWord {
    let answer = Response::builder().status(status);
    let answer = headers
        .iter()
        .fold(answer, |answer, (name, value)| answer.header(*name, *value));
    let (parts, ()) = answer.body(()).expect("an answer").into_parts();
    engine::decode_answer(&parts).word
}

#[test]
fn decode_answer_leaving_whatever_the_answer() {
    for status in [200, 404, 421, 500, 503, 504] {
        let word = word_of(status, &[("server-leaving", "1")]);
        assert!(word.leaving, "{status}");
    }
    let said_twice = [("server-leaving", "0"), ("server-leaving", " 1 ")];
    assert!(word_of(200, &said_twice).leaving);
    for text in ["0", "", "yes", "\u{e9}"] {
        assert!(!word_of(200, &[("server-leaving", text)]).leaving, "{text}");
    }
    assert!(!word_of(200, &[]).leaving);
}
