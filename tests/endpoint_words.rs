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

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::Response;
use larkwick::kernel::endpoint_signals::EndpointSignals;
use larkwick::kernel::limit::LimitSignal;
use larkwick::platform::engine;
use larkwick::standin::site::server::{Server, ServerFault};
use larkwick::standin::site::store::StoreFault;
use support::site::{Instance, RoutedSite, event_numbers, send_request, wait_until};

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
    wait_until("answered by it", async || {
        tries += 1;
        instance.call("/calls/a", &format!("{name}-{tries}")).await;
        server.request_count() > 0
    })
    .await;
}

/// Two engines; the first one refuses and asks for rest.
async fn resting_engine(site: &RoutedSite) -> (Arc<Server>, Arc<Server>) {
    let (resting, other) = (site.start_engine().await, site.start_engine().await);
    resting.set_fault(ServerFault::Refuses);
    resting.set_cooldown(Some(LONG_REST));
    (resting, other)
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_said_in_an_answer_no_call_follows() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    let leaving = &site.apps[0];
    leaving.announce_draining("1");
    until_answered_by(&instance, leaving, "first").await;
    let before = leaving.request_count();
    call_all(&instance, "after").await;
    assert_eq!(leaving.request_count(), before, "calls went on to it");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_said_by_an_engine_no_generation_follows_at_any_instance() {
    let site = RoutedSite::start(0).await;
    let (leaving, other) = (site.start_engine().await, site.start_engine().await);
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    leaving.announce_draining("1");
    let mut tries = 0;
    wait_until("answered by it", async || {
        tries += 1;
        send_request(first.generation(2, &format!("first-{tries}"))).await;
        leaving.request_count() > 0
    })
    .await;
    for instance in [&first, &second] {
        wait_until("known", async || {
            instance.endpoint_availability(&leaving).await == "leaving"
        })
        .await;
    }
    let before = leaving.request_count();
    for (number, instance) in [&first, &second].into_iter().cycle().take(20).enumerate() {
        let answer = send_request(instance.generation(2, &format!("after-{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(leaving.request_count(), before, "generations went on to it");
    assert!(other.request_count() >= 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn rest_asked_by_an_endpoint_calls_go_elsewhere() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    let resting = &site.apps[0];
    resting.set_fault(ServerFault::Refuses);
    resting.set_cooldown(Some(LONG_REST));
    for round in 0..5 {
        call_all(&instance, &format!("round-{round}")).await;
    }
    let got = resting.request_count();
    assert!(
        (1..=REQUESTS_MAX).contains(&got),
        "{got} requests reached it"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rest_asked_by_an_engine_generations_go_elsewhere() {
    let site = RoutedSite::start(0).await;
    let (resting, _other) = resting_engine(&site).await;
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    let instances = [&first, &second];
    for (number, instance) in instances.into_iter().cycle().take(16).enumerate() {
        let answer = send_request(instance.generation(2, &format!("g-{number}"))).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        // Longer than the owner passes over an engine that has refused.
        tokio::time::sleep(Duration::from_millis(450)).await;
    }
    let got = resting.request_count();
    assert!(
        (1..=REQUESTS_MAX * instances.len()).contains(&got),
        "{got} requests reached it"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rest_asked_by_all_refused_at_once_and_told_when() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    for app in &site.apps {
        app.set_fault(ServerFault::Refuses);
        app.set_cooldown(Some(LONG_REST));
    }
    for number in 0..20 {
        let id = format!("call-{number}");
        let answer = instance.call("/calls/a", &id).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        assert!(site.standin.servers_that_ran(&id).is_empty());
    }
    for app in &site.apps {
        let got = app.request_count();
        assert!(got <= REQUESTS_MAX, "{got} requests reached one");
    }
    let told = instance.call("/calls/a", "last").await.retry_after;
    assert!(told.is_some_and(|told_s| told_s > 500.0), "told {told:?}");
}

/// A rest that ends while the call can still come within its goal of a second is waited for; the caller need not come back.
#[tokio::test(flavor = "multi_thread")]
async fn rest_asked_by_all_ends_within_the_goal_waited_for() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    let app = &site.apps[0];
    app.set_fault(ServerFault::Refuses);
    app.set_cooldown(Some("0.4"));
    assert_eq!(instance.call("/calls/a", "refused").await.status, 503);
    app.set_fault(ServerFault::None);
    let answer = instance.call("/calls/a", "waits").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// What is read of the head of an answer with these headers.
fn word_of(status: u16, headers: &[(&str, &str)]) -> EndpointSignals {
    let answer = Response::builder().status(status);
    let answer = headers
        .iter()
        .fold(answer, |answer, (name, value)| answer.header(*name, *value));
    let (parts, ()) = answer.body(()).expect("an answer").into_parts();
    engine::decode_answer(&parts).signals
}

#[test]
fn decode_answer_leaving_whatever_the_answer() {
    for status in [200, 404, 421, 500, 503, 504] {
        let word = word_of(status, &[("server-leaving", "1")]);
        assert!(word.draining, "{status}");
    }
    let said_twice = [("server-leaving", "0"), ("server-leaving", " 1 ")];
    assert!(word_of(200, &said_twice).draining);
    for text in ["0", "", "yes", "\u{e9}"] {
        assert!(
            !word_of(200, &[("server-leaving", text)]).draining,
            "{text}"
        );
    }
    assert!(!word_of(200, &[]).draining);
}

#[test]
fn decode_answer_rest_of_a_refusal_alone() {
    let rest_of = |status, text| word_of(status, &[("retry-after", text)]).cooldown;
    let seconds = |seconds| Some(Duration::from_secs_f64(seconds));
    assert_eq!(rest_of(503, "3"), seconds(3.0));
    assert_eq!(rest_of(503, " 0.25 "), seconds(0.25));
    assert_eq!(rest_of(503, "0"), seconds(0.0));
    assert_eq!(rest_of(503, "1e300"), Some(Duration::MAX));
    for text in ["-1", "nan", "", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"] {
        assert_eq!(rest_of(503, text), None, "{text}");
    }
    for status in [200, 429, 500, 504] {
        assert_eq!(rest_of(status, "3"), None, "{status} is for the caller");
    }
    let said_twice = [("retry-after", "2"), ("retry-after", "5")];
    assert_eq!(word_of(503, &said_twice).cooldown, seconds(5.0));
}

#[test]
fn decode_answer_limit_whatever_the_answer() {
    let limit_of = |status, text| word_of(status, &[("server-limit", text)]).limit;
    for status in [200, 404, 500, 503, 504] {
        assert_eq!(limit_of(status, "3.3"), LimitSignal::PerS(3.3), "{status}");
    }
    assert_eq!(limit_of(200, " 0 "), LimitSignal::PerS(0.0));
    assert_eq!(limit_of(200, "1e308"), LimitSignal::PerS(1e308));
    for text in ["-1", "nan", "inf", "1e309", "", "few", "\u{e9}"] {
        assert_eq!(limit_of(200, text), LimitSignal::Invalid, "{text}");
    }
    assert_eq!(word_of(200, &[]).limit, LimitSignal::Absent);
    for texts in [["7", "2"], ["2", "7"], ["few", "2"], ["2", ""]] {
        let said_twice = texts.map(|text| ("server-limit", text));
        assert_eq!(word_of(200, &said_twice).limit, LimitSignal::PerS(2.0));
    }
}

#[test]
fn answer_headers_what_endpoints_say_to_us_not_passed_on() {
    let passed_on = |status: u16| {
        let answer = Response::builder().status(status).header("x-own", "1");
        let answer = answer
            .header("retry-after", "7")
            .header("server-leaving", "1")
            .header("server-limit", "2");
        let (parts, ()) = answer.body(()).expect("an answer").into_parts();
        let headers = engine::answer_headers(&parts);
        assert!(headers.contains_key("x-own"));
        assert!(!headers.contains_key("server-leaving"));
        assert!(!headers.contains_key("server-limit"));
        headers.contains_key("retry-after")
    };
    assert!(passed_on(429), "asked of the caller");
    assert!(!passed_on(503), "asked of us");
}

/// What runs on an engine that says it leaves is moved off it, as for a departure that the list tells of.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_said_by_an_engine_what_runs_there_is_moved() {
    let site = RoutedSite::start(0).await;
    let engines = [site.start_engine().await, site.start_engine().await];
    let instance = site.start_instance("n1").await;
    let long = tokio::spawn(send_request(instance.generation(200, "long")));
    wait_until("it runs", async || {
        engines.iter().any(|engine| engine.running_count() > 0)
    })
    .await;
    let is_on_first = engines[0].running_count() > 0;
    let (leaving, other) = if is_on_first {
        (&engines[0], &engines[1])
    } else {
        (&engines[1], &engines[0])
    };
    leaving.announce_draining("1");
    let mut tries = 0;
    wait_until("known", async || {
        tries += 1;
        // Several at once, so that some go to each engine.
        let short =
            |number| send_request(instance.generation(4, &format!("short-{number}-{tries}")));
        tokio::join!(short(1), short(2), short(3));
        instance.endpoint_availability(leaving).await == "leaving"
    })
    .await;
    let answer = long.await.expect("answered");
    assert!(answer.is_complete, "{answer:?}");
    let numbers = event_numbers(&answer.body);
    assert_eq!(numbers, (1..=200).collect::<Vec<u32>>());
    assert!(other.request_headers("long").is_some(), "it went on there");
}

/// While the list is away nobody hears of the endpoints that take the place of those that leave: their callers need not come back before it is.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_said_by_all_while_the_list_is_away_refused_at_once() {
    let site = RoutedSite::start(1).await;
    let engine = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    for server in [&site.apps[0], &engine] {
        server.announce_draining("1");
    }
    assert_eq!(instance.call("/calls/a", "first").await.status, 200);
    assert_eq!(
        send_request(instance.generation(2, "first-2")).await.status,
        200
    );
    site.standin.store.set_fault(StoreFault::Busy);
    wait_until("told to come back once the list is back", async || {
        let call = instance.call("/calls/a", "second").await;
        let generation = send_request(instance.generation(2, "second-2")).await;
        assert_eq!((call.status, generation.status), (503, 503));
        call.retry_after >= Some(2.0) && generation.retry_after >= Some(2.0)
    })
    .await;
}

/// Names of headers that an instance has told once that nothing is made of, by whose they are.
fn unknown_headers(instance: &Instance, kind: &str) -> BTreeSet<String> {
    let lines = instance.log_lines.lock().expect("lines");
    let unknown = lines
        .iter()
        .filter(|line| line["payload"] == "unknown on the platform")
        .filter(|line| line["kv"]["kind"] == kind);
    unknown
        .filter_map(|line| line["kv"]["name"].as_str().map(str::to_owned))
        .collect()
}

/// A header that is new on the platform's pages shows in the logs whichever answer it came with: a call's, a refusal, a generation's, the store's. Reports and
/// orders to move are read by the same function.
#[tokio::test(flavor = "multi_thread")]
async fn answer_header_unknown_told_once_whatever_the_answer() {
    let site = RoutedSite::start(2).await;
    site.apps[0].add_unknown_header("x-of-a-call");
    site.apps[1].add_unknown_header("x-of-a-refusal");
    site.apps[1].set_fault(ServerFault::Refuses);
    let (source, target) = (site.start_engine().await, site.start_engine().await);
    for engine in [&source, &target] {
        engine.add_unknown_header("x-of-an-engine");
    }
    site.standin.store.add_unknown_header("x-of-the-store");
    let instance = site.start_instance("n1").await;
    let known = async || {
        instance.call("/calls/a", "any").await;
        send_request(instance.generation(2, "any-2")).await;
        unknown_headers(&instance, "endpoint's header")
    };
    let expected = ["x-of-a-call", "x-of-a-refusal", "x-of-an-engine"];
    let expected: BTreeSet<String> = expected.into_iter().map(str::to_owned).collect();
    wait_until("told", async || known().await == expected).await;
    let of_store = unknown_headers(&instance, "store's header");
    assert_eq!(of_store, BTreeSet::from(["x-of-the-store".to_owned()]));
    let metrics = instance.metrics().await;
    assert!(
        metrics.contains("larkwick_platform_unknown_names 4"),
        "{metrics}"
    );
}
