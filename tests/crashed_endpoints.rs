//! How an instance finds out that an endpoint which aborted a request has crashed, and what it
//! sends there until it knows.
//!
//! A connection that is accepted shows only that a listening socket exists. A child of the crashed
//! process may hold the socket, from its creation until its exec or for as long as it runs, and
//! the kernel then accepts connections that nobody serves.

mod support;

use std::sync::Arc;
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerFault, SocketAfterCrash};
use serde_json::Value;
use support::site::{HttpResponse, Instance, RoutedSite, send_request, wait_until};

/// A request body that crashes each endpoint.
const CRASHING_BODY: &[u8] = b"a body that no endpoint survives";
/// Longer than a test runs.
const FOREVER: SocketAfterCrash = SocketAfterCrash::HeldFor(Duration::from_hours(1));
/// Longer than the probe of an endpoint waits for its connection to be closed.
const A_WHILE: SocketAfterCrash = SocketAfterCrash::HeldFor(Duration::from_millis(200));
/// Maximum endpoints that one request may crash: three until it is a confirmed crash suspect, and
/// three more sends.
const CRASHED_MAX: usize = 6;

async fn start_site(apps: usize, engines: usize) -> (RoutedSite, Vec<Arc<Server>>) {
    let site = RoutedSite::start(apps).await;
    site.standin.crash_servers_on(CRASHING_BODY);
    let mut started = Vec::new();
    for _ in 0..engines {
        started.push(site.start_engine().await);
    }
    (site, started)
}

async fn send_crashing(instance: &Instance, path: &str, id: &str) -> HttpResponse {
    let request = instance.request(path, id).body(CRASHING_BODY);
    let request = request.header("larkwick-model", "m");
    send_request(request.header("larkwick-token-count", "1000,8")).await
}

async fn wait_for_aborts(instance: &Instance, count: usize) -> Vec<Value> {
    wait_until("aborted requests are logged", async || {
        instance.logged("endpoint broke off").len() >= count
    })
    .await;
    instance.logged("endpoint broke off")
}

fn placements_on(instance: &Instance, engine: &str) -> usize {
    let placed = instance.logged("generation placed");
    placed
        .iter()
        .filter(|line| line["endpoint"] == engine)
        .count()
}

/// Waits for a log line about a request; lines arrive later than responses.
async fn wait_for_line(instance: &Instance, payload: &str, id: &str) -> Value {
    let find = || {
        let lines = instance.logged(payload).into_iter();
        lines.rev().find(|line| line["request_id"] == id)
    };
    wait_until(payload, async || find().is_some()).await;
    find().expect("it was found")
}

async fn assert_served(instance: &Instance, events: u32, id: &str) {
    let response = send_request(instance.generation(events, id)).await;
    assert_eq!(response.status, 200, "{id}: {response:?}");
    assert!(response.is_complete, "{id}: {response:?}");
    wait_for_line(instance, "generation ended", id).await;
}

/// Guards against a crash that goes unnoticed because a child of the engine holds its listening
/// socket for good.
#[tokio::test(flavor = "multi_thread")]
async fn engine_crashed_child_holds_socket_found_ended() {
    let (site, _engines) = start_site(0, 3).await;
    site.standin.set_socket_after_crash(FOREVER);
    let instances = site.start_instances(1).await;
    for number in 0..3 {
        send_crashing(&instances[0], "/chat/2", &format!("try-{number}")).await;
    }
    let aborts = wait_for_aborts(&instances[0], 3).await;
    let ended = aborts.iter().filter(|line| line["presence"] == "Ended");
    assert_eq!(ended.count(), 3, "{aborts:?}");
}

/// Guards against a crash that goes unnoticed because the listening socket of a plain endpoint is
/// closed later than its connections.
#[tokio::test(flavor = "multi_thread")]
async fn call_endpoint_socket_closed_late_crash_counted() {
    let (site, _) = start_site(3, 0).await;
    site.standin.set_socket_after_crash(A_WHILE);
    let instances = site.start_instances(1).await;
    // A call may still go to an endpoint that has crashed and whose socket is open.
    let mut sent = 0;
    while site.standin.crashed_servers().len() < 3 {
        send_crashing(&instances[0], "/once/1", &format!("try-{sent}")).await;
        sent += 1;
    }
    println!("{sent} requests crashed three endpoints");
    wait_until("refused", async || {
        let suspects = instances[0].operator_json("/suspects").await;
        suspects[0]["verdict"] == "refused"
    })
    .await;
}

/// Guards against retries that leave before the crashes are counted, because the probes of engines
/// with held sockets take longer than a caller is kept waiting.
#[tokio::test(flavor = "multi_thread")]
async fn generation_crashes_engines_with_held_sockets_refused_after_a_few() {
    let (site, _engines) = start_site(0, 12).await;
    site.standin.set_socket_after_crash(FOREVER);
    let instances = site.start_instances(3).await;
    for (number, instance) in (0..14).zip(instances.iter().cycle()) {
        send_crashing(instance, "/chat/2", &format!("try-{number}")).await;
    }
    let crashed = site.standin.crashed_servers().len();
    assert!(crashed <= CRASHED_MAX, "{crashed} engines crashed");
}

/// Guards against the result of an earlier probe being used for an endpoint that crashed after it.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_aborts_then_crashes_probed_again() {
    let (site, _) = start_site(1, 0).await;
    let instances = site.start_instances(1).await;
    site.apps[0].set_fault(ServerFault::RunsAndCloses);
    instances[0].call("/once/1", "aborted").await;
    wait_for_aborts(&instances[0], 1).await;
    site.apps[0].set_fault(ServerFault::None);
    send_crashing(&instances[0], "/once/1", "crashed").await;
    let aborts = wait_for_aborts(&instances[0], 2).await;
    let found: Vec<&Value> = aborts.iter().map(|line| &line["presence"]).collect();
    assert_eq!(found, ["Listens", "Ended"], "{aborts:?}");
}

/// Guards against a caller that waits for an engine to stop a generation although the engine has
/// ended under it.
#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_ended_caller_told_without_takeover() {
    let (site, _engines) = start_site(0, 2).await;
    site.standin.set_socket_after_crash(FOREVER);
    let instances = site.start_instances(1).await;
    send_crashing(&instances[0], "/chat/2", "crashing").await;
    let taken_over = wait_for_line(&instances[0], "generation taken over", "crashing").await;
    assert_eq!(taken_over["outcome"], "the engine has ended");
}

/// Guards against an engine that has ended being offered to a caller again because the endpoint
/// list still has it, as it does while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn engine_ended_still_listed_gets_no_later_placement() {
    let (site, _engines) = start_site(0, 2).await;
    let instances = site.start_instances(1).await;
    send_crashing(&instances[0], "/chat/2", "crashing").await;
    let crashed = site.standin.crashed_servers();
    wait_until(
        "the engine has been probed again several times",
        async || {
            let told = instances[0].logged("engine reported gone");
            let of_crashed = told
                .iter()
                .filter(|line| line["endpoint"] == crashed[0].as_str());
            of_crashed.count() >= 4
        },
    )
    .await;
    assert_served(&instances[0], 2, "after").await;
    assert_eq!(placements_on(&instances[0], &crashed[0]), 1);
}

/// Guards against placements on an engine between the abort and the result of its probe.
#[tokio::test(flavor = "multi_thread")]
async fn engine_being_probed_gets_no_placement() {
    let (site, _engines) = start_site(0, 2).await;
    site.standin.set_socket_after_crash(FOREVER);
    let instances = site.start_instances(1).await;
    let beside = tokio::spawn(send_request(instances[0].generation(80, "beside")));
    wait_until("one runs", async || {
        !instances[0].logged("generation placed").is_empty()
    })
    .await;
    send_crashing(&instances[0], "/chat/2", "crashing").await;
    let crashed = site.standin.crashed_servers();
    for number in 0..10 {
        assert_served(&instances[0], 2, &format!("after-{number}")).await;
    }
    assert_eq!(placements_on(&instances[0], &crashed[0]), 1);
    beside.await.expect("answered");
}

/// Guards against a crash that the owner of the engines is not told of because the instance that
/// saw it serves no generation at that moment.
#[tokio::test(flavor = "multi_thread")]
async fn engine_crashed_no_generation_left_owner_told() {
    let (site, _engines) = start_site(0, 2).await;
    let instances = site.start_instances(1).await;
    send_crashing(&instances[0], "/chat/2", "crashing").await;
    let crashed = site.standin.crashed_servers();
    wait_until("the owner is told", async || {
        let told = instances[0].logged("engine reported gone");
        told.iter()
            .any(|line| line["endpoint"] == crashed[0].as_str())
    })
    .await;
    assert_served(&instances[0], 2, "after").await;
    assert_eq!(placements_on(&instances[0], &crashed[0]), 1);
}

/// Guards against requests that wait for their deadline at engines that are all known to have
/// ended, because the sockets of these still accept connections.
#[tokio::test(flavor = "multi_thread")]
async fn generation_all_engines_ended_refused_at_once_until_one_starts() {
    let (site, _engines) = start_site(0, 2).await;
    site.standin.set_socket_after_crash(FOREVER);
    let instances = site.start_instances(1).await;
    for number in 0..2 {
        send_crashing(&instances[0], "/chat/2", &format!("crashing-{number}")).await;
    }
    let aborts = wait_for_aborts(&instances[0], 2).await;
    assert!(
        aborts.iter().all(|line| line["presence"] == "Ended"),
        "{aborts:?}"
    );
    let refused = send_request(instances[0].generation(2, "refused")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
    for engine in site.standin.crashed_servers() {
        assert_eq!(placements_on(&instances[0], &engine), 1, "{engine}");
    }
    site.start_engine().await;
    wait_until("a generation is served", async || {
        let response = send_request(instances[0].generation(2, "after")).await;
        response.status == 200 && response.is_complete
    })
    .await;
}

/// Guards against a generation that waits for its deadline because it was sent to the only engine
/// while that was being probed, and against its being taken for what crashed the engine.
#[tokio::test(flavor = "multi_thread")]
async fn generation_sent_while_only_engine_is_probed_told_before_its_deadline() {
    let (site, _engines) = start_site(0, 1).await;
    site.standin.set_socket_after_crash(FOREVER);
    let instances = site.start_instances(1).await;
    send_crashing(&instances[0], "/chat/2", "crashing").await;
    let told = send_request(instances[0].generation(2, "during")).await;
    assert!([502, 503].contains(&told.status), "{told:?}");
    wait_for_line(&instances[0], "generation ended", "during").await;
    assert_eq!(instances[0].logged("endpoint broke off").len(), 1);
}
