//! Answers with neither a length nor chunks, which end with their connection. When their endpoint
//! crashes they end just as they do when they are whole.

mod support;

use larkwick::standin::site::server::ServerFault;
use support::site::{HttpResponse, Instance, RoutedSite, event_numbers, send_request, wait_until};

const CRASHING_BODY: &[u8] = b"a body that no endpoint survives";
/// Maximum endpoints that one request may crash, as in `crashing_requests`.
const CRASHED_MAX: usize = 6;
const ATTEMPTS: usize = 14;

async fn start(apps: usize, engines: usize, instances: usize) -> (RoutedSite, Vec<Instance>) {
    let site = RoutedSite::start(apps).await;
    site.standin.end_responses_with_connection();
    site.standin.crash_servers_on(CRASHING_BODY);
    for _ in 0..engines {
        site.start_engine().await;
    }
    let started = site.start_instances(instances).await;
    (site, started)
}

async fn crash(instance: &Instance, path: &str, id: &str) -> HttpResponse {
    let request = instance.request(path, id).body(CRASHING_BODY);
    let request = request.header("larkwick-model", "m");
    send_request(request.header("larkwick-token-count", "1000,8")).await
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_running_endpoints_whole() {
    let (_site, instances) = start(2, 2, 1).await;
    for number in 0..4 {
        let plain = instances[0].call("/calls/1", &format!("p{number}")).await;
        assert!(plain.is_complete, "{plain:?}");
        assert_eq!(plain.body, "hello");
        let request = instances[0].generation(6, &format!("g{number}"));
        let streamed = send_request(request).await;
        assert!(streamed.is_complete, "{streamed:?}");
        assert_eq!(event_numbers(&streamed.body), [1, 2, 3, 4, 5, 6]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_crashed_not_whole_for_its_caller() {
    for (events, closes_first) in [(0, false), (2, false), (2, true)] {
        let (site, instances) = start(0, 3, 1).await;
        site.standin.set_events_before_crash(events);
        if closes_first {
            site.standin.close_connections_first();
        }
        let response = crash(&instances[0], "/chat/8", "crash").await;
        assert!(!response.is_complete, "{events} events: {response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_endpoint_crashed_not_whole_for_its_caller() {
    for closes_first in [false, true] {
        let (site, instances) = start(3, 0, 1).await;
        if closes_first {
            site.standin.close_connections_first();
        }
        for path in ["/once/1", "/calls/1"] {
            let response = crash(&instances[0], path, &format!("crash-{}", path.len())).await;
            assert_ne!(response.status, 200, "{path}: {response:?}");
        }
    }
}

/// Guards against half an answer that passed for all: its endpoint crashed and was back at its address,
/// as another incarnation, before it was looked for there.
#[tokio::test(flavor = "multi_thread")]
async fn call_endpoint_crashed_and_back_not_whole_for_its_caller() {
    for path in ["/once/1", "/calls/1"] {
        let (site, instances) = start(3, 0, 1).await;
        site.standin.restart_at_once();
        let response = crash(&instances[0], path, "back").await;
        assert_ne!(response.status, 200, "{path}: {response:?}");
        assert!(!site.standin.crashed_servers().is_empty());
    }
}

/// A crash that looks like a proper end does not clear the request that caused it.
#[tokio::test(flavor = "multi_thread")]
async fn request_crashes_each_endpoint_refused_by_all_instances() {
    let cases = [
        ("/chat/8", 0, false),
        ("/chat/8", 2, false),
        ("/chat/8", 2, true),
        ("/calls/1", 0, false),
        ("/calls/1", 0, true),
    ];
    for (path, events, closes_first) in cases {
        let (site, instances) = start(14, 14, 3).await;
        if closes_first {
            site.standin.close_connections_first();
        }
        site.standin.set_events_before_crash(events);
        for number in 0..ATTEMPTS {
            let instance = &instances[number % instances.len()];
            crash(instance, path, &format!("try-{number}")).await;
        }
        let crashed = site.standin.crashed_servers().len();
        assert!(
            crashed <= CRASHED_MAX,
            "{path}, {events} events: {crashed} endpoints crashed"
        );
    }
}

const MOVED_EVENTS: u32 = 60;

/// Runs a generation at an engine with a fault, which leaves while it runs, and returns what its
/// caller got.
async fn move_generation(fault: ServerFault) -> (RoutedSite, String, HttpResponse) {
    let (site, instances) = start(0, 0, 1).await;
    let leaving = site.start_engine().await;
    leaving.set_fault(fault);
    let request = instances[0].generation(MOVED_EVENTS, "moved");
    let running = tokio::spawn(send_request(request));
    wait_until("it runs", async || {
        !site.standin.servers_that_ran("moved").is_empty()
    })
    .await;
    let staying = site.start_engine().await;
    wait_until("both engines known", async || {
        instances[0].state().await["endpoints"][&staying.id].is_object()
    })
    .await;
    site.standin.list_server(&leaving, "draining");
    let response = running.await.expect("response received");
    (site, leaving.id.clone(), response)
}

fn assert_moved_whole(response: &HttpResponse) {
    assert!(response.is_complete, "{response:?}");
    let expected: Vec<u32> = (1..=MOVED_EVENTS).collect();
    assert_eq!(event_numbers(&response.body), expected);
}

/// An engine that was asked to stop a generation ends its stream like one that is whole.
#[tokio::test(flavor = "multi_thread")]
async fn generation_moved_to_another_engine_whole() {
    let (site, leaving, response) = move_generation(ServerFault::None).await;
    assert_moved_whole(&response);
    assert_eq!(site.standin.servers_that_ran("moved"), [leaving]);
}

/// Guards against review/1 (ORDER): the order to stop a generation had an unknown outcome, and the
/// end of its stream passed for the end of the generation.
#[tokio::test(flavor = "multi_thread")]
async fn generation_stop_outcome_lost_part_of_it_not_whole_for_its_caller() {
    for fault in [ServerFault::LosesStopAnswers, ServerFault::LosesStopOrders] {
        let (_site, _, response) = move_generation(fault).await;
        let received = event_numbers(&response.body);
        let expected: Vec<u32> = (1..=MOVED_EVENTS).collect();
        assert_eq!(received[..], expected[..received.len()], "{fault:?}");
        assert!(
            !response.is_complete || received.len() == expected.len(),
            "{fault:?}: {} of {MOVED_EVENTS} events passed for all",
            received.len()
        );
    }
}

/// The same for an outcome that is late: it is waited for.
#[tokio::test(flavor = "multi_thread")]
async fn generation_stop_outcome_late_whole() {
    let (_site, _, response) = move_generation(ServerFault::AnswersStopsLate).await;
    assert_moved_whole(&response);
}
