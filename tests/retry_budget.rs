//! Sends beyond the first of a request, of any cause, stay within the retry budget of the site.

mod support;

use std::sync::Arc;

use larkwick::standin::site::server::{Server, ServerFault};
use serde_json::json;
use support::site::{RoutedSite, event_numbers, send_request, wait_until};

/// Sends beyond the first that the site allows, with no share for each request.
const RETRY_SLACK: usize = 5;
const GENERATIONS: usize = 8;
const EVENTS: u32 = 120;

/// Starts engines that receive copies and refuse to continue from them.
async fn start_refusing_engines(site: &RoutedSite, count: usize) -> Vec<Arc<Server>> {
    let mut engines = Vec::new();
    for _ in 0..count {
        let engine = site.start_engine().await;
        engine.set_fault(ServerFault::DropsCopies);
        engines.push(engine);
    }
    engines
}

/// Guards against moves that their targets refuse and that nothing counts: each is an arrival beyond
/// the first of its request, and eight of them are more than the site allows.
#[tokio::test(flavor = "multi_thread")]
async fn moves_refused_by_their_targets_stay_within_retry_budget() {
    let site = RoutedSite::start(0).await;
    let leaving = site.start_engine().await;
    let budget = json!({"retry_share": 0.0, "retry_slack": RETRY_SLACK});
    let instance = site.start_instance_with_settings("n1", budget);
    instance.wait_until_ready().await;
    let generations: Vec<_> = (0..GENERATIONS)
        .map(|number| {
            tokio::spawn(send_request(
                instance.generation(EVENTS, &format!("b{number}")),
            ))
        })
        .collect();
    wait_until("generations running", async || {
        leaving.running_count() == GENERATIONS
    })
    .await;
    let refusing = start_refusing_engines(&site, 2).await;
    wait_until("engines known", async || {
        let state = instance.state().await;
        let mut engines = refusing.iter();
        engines.all(|engine| state["endpoints"][&engine.id].is_object())
    })
    .await;
    site.standin.list_server(&leaving, "draining");
    let mut whole = 0;
    for generation in generations {
        let response = generation.await.expect("response received");
        let is_whole =
            event_numbers(&response.body).len() == usize::try_from(EVENTS).expect("fits");
        whole += usize::from(is_whole);
    }
    let arrivals = site.standin.arrivals();
    let refused = arrivals
        .iter()
        .filter(|arrival| refusing.iter().any(|engine| engine.id == arrival.server));
    let refused = refused.count();
    assert!(
        (1..=RETRY_SLACK).contains(&refused),
        "{refused} moves refused, {whole} of {GENERATIONS} generations whole"
    );
}
