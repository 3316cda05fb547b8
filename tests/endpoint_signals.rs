//! Signals that endpoints send about themselves in response headers: draining, cooldown, rate
//! limit.
//!
//! Guards against ignoring these signals:
//! - While the store was unavailable for twelve seconds, an endpoint announced in each response
//!   that it was draining. Nine instances still sent it 26 calls in five seconds, two of them more
//!   than two seconds after the same instance had forwarded such a response.
//! - On another site, four engines refused every generation and requested a cooldown of three
//!   seconds. One instance sent one of them three more requests within that time, and callers were
//!   refused because the retry budget was exhausted (`NoRoom`, "engine refused: 503; retry budget
//!   spent"), while eight engines had capacity.
//!
//! Instances read eight facts from a response head and dropped every other header without a log
//! line, so that an endpoint's state only counted if it also came with the endpoint list: in those
//! five seconds no instance logged the endpoint as leaving. A single instance with an unchanging
//! list, where nothing can overwrite the signal, shows the fault too: it sent 11 requests within a
//! cooldown, where two are allowed.

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

/// Number of calls that shows how calls are distributed. With two available endpoints, the
/// probability that all calls go to the same one is below one in a billion.
const CALLS: usize = 40;
/// Cooldown in seconds, far longer than a test runs.
const LONG_COOLDOWN: &str = "600";
/// Maximum number of requests from one instance to an endpoint that requested a cooldown, including
/// the one that it refused.
const REQUESTS_MAX: usize = 3;

async fn call_all(instance: &Instance, name: &str) {
    for number in 0..CALLS {
        let response = instance.call("/calls/a", &format!("{name}-{number}")).await;
        assert_eq!(response.status, 200, "{name}-{number}: {response:?}");
    }
}

/// Sends calls until this server has received one.
async fn wait_until_answered_by(instance: &Instance, server: &Server, name: &str) {
    let mut attempts = 0;
    wait_until("a request reached it", async || {
        attempts += 1;
        instance
            .call("/calls/a", &format!("{name}-{attempts}"))
            .await;
        server.request_count() > 0
    })
    .await;
}

/// Starts two engines; the first one refuses requests and asks for a cooldown.
async fn cooling_engine(site: &RoutedSite) -> (Arc<Server>, Arc<Server>) {
    let (cooling, other) = (site.start_engine().await, site.start_engine().await);
    cooling.set_fault(ServerFault::Refuses);
    cooling.set_cooldown(Some(LONG_COOLDOWN));
    (cooling, other)
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_in_a_response_no_further_calls() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    let draining = &site.apps[0];
    draining.announce_draining("1");
    wait_until_answered_by(&instance, draining, "first").await;
    let before = draining.request_count();
    call_all(&instance, "after").await;
    assert_eq!(draining.request_count(), before, "calls still reached it");
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_no_further_generations_from_any_instance() {
    let site = RoutedSite::start(0).await;
    let (draining, other) = (site.start_engine().await, site.start_engine().await);
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    draining.announce_draining("1");
    let mut attempts = 0;
    wait_until("a request reached it", async || {
        attempts += 1;
        send_request(first.generation(2, &format!("first-{attempts}"))).await;
        draining.request_count() > 0
    })
    .await;
    for instance in [&first, &second] {
        wait_until("known", async || {
            instance.endpoint_availability(&draining).await == "leaving"
        })
        .await;
    }
    let before = draining.request_count();
    for (number, instance) in [&first, &second].into_iter().cycle().take(20).enumerate() {
        let response = send_request(instance.generation(2, &format!("after-{number}"))).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(
        draining.request_count(),
        before,
        "generations still reached it"
    );
    assert!(other.request_count() >= 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn cooldown_of_an_endpoint_calls_go_elsewhere() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    let cooling = &site.apps[0];
    cooling.set_fault(ServerFault::Refuses);
    cooling.set_cooldown(Some(LONG_COOLDOWN));
    for round in 0..5 {
        call_all(&instance, &format!("round-{round}")).await;
    }
    let received = cooling.request_count();
    assert!(
        (1..=REQUESTS_MAX).contains(&received),
        "{received} requests reached it"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn cooldown_of_an_engine_generations_go_elsewhere() {
    let site = RoutedSite::start(0).await;
    let (cooling, _other) = cooling_engine(&site).await;
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    let instances = [&first, &second];
    for (number, instance) in instances.into_iter().cycle().take(16).enumerate() {
        let response = send_request(instance.generation(2, &format!("g-{number}"))).await;
        assert_eq!(response.status, 200, "{response:?}");
        // Longer than the owner avoids an engine after a refusal.
        tokio::time::sleep(Duration::from_millis(450)).await;
    }
    let received = cooling.request_count();
    assert!(
        (1..=REQUESTS_MAX * instances.len()).contains(&received),
        "{received} requests reached it"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn cooldown_of_all_refused_at_once_with_retry_time() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    for app in &site.apps {
        app.set_fault(ServerFault::Refuses);
        app.set_cooldown(Some(LONG_COOLDOWN));
    }
    for number in 0..20 {
        let id = format!("call-{number}");
        let response = instance.call("/calls/a", &id).await;
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
        assert!(site.standin.servers_that_ran(&id).is_empty());
    }
    for app in &site.apps {
        let received = app.request_count();
        assert!(received <= REQUESTS_MAX, "{received} requests reached one");
    }
    let retry_after = instance.call("/calls/a", "last").await.retry_after;
    assert!(
        retry_after.is_some_and(|seconds| seconds > 500.0),
        "retry after {retry_after:?}"
    );
}

/// A call waits for a cooldown that ends early enough for the call to meet its latency objective of
/// one second, so that the caller need not retry.
#[tokio::test(flavor = "multi_thread")]
async fn cooldown_of_all_ending_within_the_objective_waited_for() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    let app = &site.apps[0];
    app.set_fault(ServerFault::Refuses);
    app.set_cooldown(Some("0.4"));
    assert_eq!(instance.call("/calls/a", "refused").await.status, 503);
    app.set_fault(ServerFault::None);
    let response = instance.call("/calls/a", "waits").await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Decodes the signals in a response head with these headers.
fn signals_of(status: u16, headers: &[(&str, &str)]) -> EndpointSignals {
    let response = Response::builder().status(status);
    let response = headers.iter().fold(response, |response, (name, value)| {
        response.header(*name, *value)
    });
    let (parts, ()) = response.body(()).expect("a response").into_parts();
    engine::decode_response_head(&parts).signals
}

#[test]
fn decode_response_head_draining_for_any_status() {
    for status in [200, 404, 421, 500, 503, 504] {
        let signals = signals_of(status, &[("server-leaving", "1")]);
        assert!(signals.draining, "{status}");
    }
    let repeated = [("server-leaving", "0"), ("server-leaving", " 1 ")];
    assert!(signals_of(200, &repeated).draining);
    for text in ["0", "", "yes", "\u{e9}"] {
        assert!(
            !signals_of(200, &[("server-leaving", text)]).draining,
            "{text}"
        );
    }
    assert!(!signals_of(200, &[]).draining);
}

#[test]
fn decode_response_head_cooldown_only_for_refusals() {
    let cooldown_of = |status, text| signals_of(status, &[("retry-after", text)]).cooldown;
    let seconds = |seconds| Some(Duration::from_secs_f64(seconds));
    assert_eq!(cooldown_of(503, "3"), seconds(3.0));
    assert_eq!(cooldown_of(503, " 0.25 "), seconds(0.25));
    assert_eq!(cooldown_of(503, "0"), seconds(0.0));
    assert_eq!(cooldown_of(503, "1e300"), Some(Duration::MAX));
    for text in ["-1", "nan", "", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"] {
        assert_eq!(cooldown_of(503, text), None, "{text}");
    }
    for status in [200, 429, 500, 504] {
        assert_eq!(
            cooldown_of(status, "3"),
            None,
            "{status}: meant for the caller"
        );
    }
    let repeated = [("retry-after", "2"), ("retry-after", "5")];
    assert_eq!(signals_of(503, &repeated).cooldown, seconds(5.0));
}

#[test]
fn decode_response_head_limit_for_any_status() {
    let limit_of = |status, text| signals_of(status, &[("server-limit", text)]).limit;
    for status in [200, 404, 500, 503, 504] {
        assert_eq!(limit_of(status, "3.3"), LimitSignal::PerS(3.3), "{status}");
    }
    assert_eq!(limit_of(200, " 0 "), LimitSignal::PerS(0.0));
    assert_eq!(limit_of(200, "1e308"), LimitSignal::PerS(1e308));
    for text in ["-1", "nan", "inf", "1e309", "", "few", "\u{e9}"] {
        assert_eq!(limit_of(200, text), LimitSignal::Invalid, "{text}");
    }
    assert_eq!(signals_of(200, &[]).limit, LimitSignal::Absent);
    for texts in [["7", "2"], ["2", "7"], ["few", "2"], ["2", ""]] {
        let repeated = texts.map(|text| ("server-limit", text));
        assert_eq!(signals_of(200, &repeated).limit, LimitSignal::PerS(2.0));
    }
}

#[test]
fn caller_response_headers_endpoint_signals_not_forwarded() {
    let is_retry_after_forwarded = |status: u16| {
        let response = Response::builder().status(status).header("x-own", "1");
        let response = response
            .header("retry-after", "7")
            .header("server-leaving", "1")
            .header("server-limit", "2");
        let (parts, ()) = response.body(()).expect("a response").into_parts();
        let headers = engine::caller_response_headers(&parts);
        assert!(headers.contains_key("x-own"));
        assert!(!headers.contains_key("server-leaving"));
        assert!(!headers.contains_key("server-limit"));
        headers.contains_key("retry-after")
    };
    assert!(is_retry_after_forwarded(429), "meant for the caller");
    assert!(!is_retry_after_forwarded(503), "meant for the proxy");
}

/// Generations that run on an engine that announces that it drains are moved to another engine, as
/// if the list had reported that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn draining_engine_running_generations_moved() {
    let site = RoutedSite::start(0).await;
    let engines = [site.start_engine().await, site.start_engine().await];
    let instance = site.start_instance("n1").await;
    let long = tokio::spawn(send_request(instance.generation(200, "long")));
    wait_until("it runs", async || {
        engines.iter().any(|engine| engine.running_count() > 0)
    })
    .await;
    let is_on_first = engines[0].running_count() > 0;
    let (draining, other) = if is_on_first {
        (&engines[0], &engines[1])
    } else {
        (&engines[1], &engines[0])
    };
    draining.announce_draining("1");
    let mut attempts = 0;
    wait_until("known", async || {
        attempts += 1;
        // Several at once, so that some go to each engine.
        let short =
            |number| send_request(instance.generation(4, &format!("short-{number}-{attempts}")));
        tokio::join!(short(1), short(2), short(3));
        instance.endpoint_availability(draining).await == "leaving"
    })
    .await;
    let response = long.await.expect("answered");
    assert!(response.is_complete, "{response:?}");
    let numbers = event_numbers(&response.body);
    assert_eq!(numbers, (1..=200).collect::<Vec<u32>>());
    assert!(
        other.request_headers("long").is_some(),
        "resumed on the other engine"
    );
}

/// While the endpoint list is unavailable, replacements for the draining endpoints are unknown, so
/// that callers need not retry before it is back.
#[tokio::test(flavor = "multi_thread")]
async fn draining_all_while_the_list_is_unavailable_refused_at_once() {
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
    wait_until("retry time covers the outage of the list", async || {
        let call = instance.call("/calls/a", "second").await;
        let generation = send_request(instance.generation(2, "second-2")).await;
        assert_eq!((call.status, generation.status), (503, 503));
        call.retry_after >= Some(2.0) && generation.retry_after >= Some(2.0)
    })
    .await;
}

/// Returns the names of unknown headers that an instance has logged, for one kind of peer.
fn unknown_headers(instance: &Instance, kind: &str) -> BTreeSet<String> {
    let unknown = instance.logged("unknown on the platform").into_iter();
    let unknown = unknown.filter(|fields| fields["kind"] == kind);
    unknown
        .filter_map(|fields| fields["name"].as_str().map(str::to_owned))
        .collect()
}

/// An unknown header is logged whichever response it came with: of a call, a refusal, a generation
/// or the store. Reports and move orders are decoded by the same function.
#[tokio::test(flavor = "multi_thread")]
async fn response_header_unknown_logged_once_for_any_kind() {
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
    let logged_names = async || {
        instance.call("/calls/a", "any").await;
        send_request(instance.generation(2, "any-2")).await;
        unknown_headers(&instance, "endpoint's header")
    };
    let expected = ["x-of-a-call", "x-of-a-refusal", "x-of-an-engine"];
    let expected: BTreeSet<String> = expected.into_iter().map(str::to_owned).collect();
    wait_until("logged", async || logged_names().await == expected).await;
    let of_store = unknown_headers(&instance, "store's header");
    assert_eq!(of_store, BTreeSet::from(["x-of-the-store".to_owned()]));
    let metrics = instance.metrics().await;
    assert!(
        metrics.contains("larkwick_platform_unknown_names 4"),
        "{metrics}"
    );
}
