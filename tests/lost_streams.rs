//! Generations whose stream is lost while their engine goes on with the run: they never run at two
//! engines at once.

mod support;

use larkwick::standin::site::server::ServerFault;
use support::site::{HttpResponse, RoutedSite, event_numbers, send_request, wait_until};

const EVENTS: u32 = 40;
const ID: &str = "lost";

/// Runs a generation at one of three engines with a fault, and returns what its caller got.
async fn run(fault: ServerFault, is_resumable: bool) -> (RoutedSite, HttpResponse) {
    let site = RoutedSite::start(0).await;
    for _ in 0..3 {
        site.start_engine().await.set_fault(fault);
    }
    let instance = site.start_instance("n1").await;
    wait_until("engines known", async || {
        let state = instance.state().await;
        state["endpoints"]
            .as_object()
            .map_or(0, serde_json::Map::len)
            == 3
    })
    .await;
    let caller = instance.caller();
    let request = if is_resumable {
        caller.resumable_generation(EVENTS, ID)
    } else {
        caller.generation(EVENTS, ID)
    };
    let response = send_request(request).await;
    (site, response)
}

fn assert_never_twice_at_once(site: &RoutedSite, case: &str) {
    let twice = site.standin.ran_twice_at_once();
    assert!(
        twice.is_empty(),
        "{case}: at two engines at once: {twice:?}"
    );
}

fn assert_whole(response: &HttpResponse, case: &str) {
    assert!(response.is_complete, "{case}: {response:?}");
    let expected: Vec<u32> = (1..=EVENTS).collect();
    assert_eq!(event_numbers(&response.body), expected, "{case}");
}

/// Guards against review/3 (TWICE): a resumable generation whose connection ended early was started
/// at a second engine while the first, which could be reached, went on with it.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_stream_lost_engine_stopped_before_it_goes_on() {
    for lost_after in [0, 1, 3] {
        let case = format!("lost after {lost_after} events");
        let (site, response) = run(ServerFault::LosesStreamsAfter(lost_after), true).await;
        assert_never_twice_at_once(&site, &case);
        assert_whole(&response, &case);
    }
}

/// The same for one that may not be started again: it goes on from its memory.
#[tokio::test(flavor = "multi_thread")]
async fn generation_stream_lost_goes_on_from_its_memory() {
    let (site, response) = run(ServerFault::LosesStreamsAfter(3), false).await;
    assert_never_twice_at_once(&site, "not resumable");
    assert_whole(&response, "not resumable");
}

/// An engine that does not get the orders to stop, and can be reached, may still run the generation.
/// Nobody else starts it, and its caller sees that the answer is not whole.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_stream_lost_engine_not_stopped_not_started_again() {
    let (site, response) = run(ServerFault::LosesStreamsAndStopOrders, true).await;
    assert_never_twice_at_once(&site, "stop orders lost");
    assert_eq!(site.standin.servers_that_ran(ID).len(), 1);
    assert!(!response.is_complete, "{response:?}");
}
