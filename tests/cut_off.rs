//! An instance that lost its way to the endpoints, while the other instances reach them.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerKind};
use serde_json::json;
use support::link::{Cut, Link};
use support::site::{HttpResponse, Instance, RoutedSite, event_numbers, send_request, wait_until};

const CUTS: [Cut; 3] = [Cut::RefusesNew, Cut::Resets, Cut::Silent];
const EVENTS: u32 = 20;
/// Time between calls, as of a service with some load.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// A site of which one instance reaches the endpoints through links of its own.
struct CutSite {
    _site: RoutedSite,
    endpoints: Vec<Arc<Server>>,
    links: Vec<Link>,
    /// The instance that can be cut off.
    cut_off: Instance,
    other: Instance,
}

impl CutSite {
    async fn start(service: &str, kind: ServerKind) -> Self {
        let site = RoutedSite::start(0).await;
        let (mut endpoints, mut links) = (Vec::new(), Vec::new());
        let mut forwarders = BTreeMap::new();
        for _ in 0..3 {
            let server = site.standin.start_server(service, kind).await;
            let server = server.expect("server starts");
            let link = Link::start(server.address());
            forwarders.insert(server.address().to_string(), link.address.to_string());
            endpoints.push(server);
            links.push(link);
        }
        let other = site.start_instance("n2").await;
        let routing = json!({"endpoint_forwarders": forwarders});
        let cut_off = site.start_instance_with_settings("n1", routing);
        cut_off.wait_until_ready().await;
        wait_until("instances and endpoints known", async || {
            let knows_all = async |instance: &Instance| {
                let state = instance.state().await;
                let members = state["members"].as_array().map_or(0, Vec::len);
                let mut endpoints = endpoints.iter();
                members >= 1 && endpoints.all(|server| state["endpoints"][&server.id].is_object())
            };
            knows_all(&cut_off).await && knows_all(&other).await
        })
        .await;
        Self {
            _site: site,
            endpoints,
            links,
            cut_off,
            other,
        }
    }

    async fn cut(&self, cut: Cut) {
        for link in &self.links {
            link.cut(cut).await;
        }
    }

    async fn restore(&self) {
        for link in &self.links {
            link.restore().await;
        }
    }
}

fn is_whole(response: &HttpResponse) -> bool {
    let expected: Vec<u32> = (1..=EVENTS).collect();
    response.status == 200 && response.is_complete && event_numbers(&response.body) == expected
}

/// Sends calls to an instance one after the other, with a pause, and returns those not answered.
async fn call_in_turn(instance: &Instance, name: &str, calls: usize) -> Vec<HttpResponse> {
    let mut failed = Vec::new();
    for number in 0..calls {
        let route = ["calls", "once"][number % 2];
        let response = instance
            .call(&format!("/{route}/x"), &format!("{name}-{number}"))
            .await;
        if response.status != 200 {
            failed.push(response);
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    failed
}

/// Sends generations to an instance, with a pause, and returns those that were not whole.
async fn generate(instance: &Instance, name: &str, generations: usize) -> Vec<HttpResponse> {
    let mut running = Vec::new();
    for number in 0..generations {
        let request = instance.generation(EVENTS, &format!("{name}-{number}"));
        running.push(tokio::spawn(send_request(request)));
        tokio::time::sleep(CALL_PAUSE).await;
    }
    let mut failed = Vec::new();
    for response in running {
        let response = response.await.expect("response received");
        if !is_whole(&response) {
            failed.push(response);
        }
    }
    failed
}

/// Guards against an instance that refuses all plain calls because it reaches no endpoint, although
/// another instance does.
#[tokio::test(flavor = "multi_thread")]
async fn calls_at_an_instance_that_reaches_no_endpoint_are_answered() {
    for cut in CUTS {
        let site = CutSite::start("app", ServerKind::Plain).await;
        site.cut(cut).await;
        let failed = call_in_turn(&site.cut_off, "a", 20).await;
        assert!(
            failed.is_empty(),
            "{cut:?}: {} of 20: {failed:?}",
            failed.len()
        );
        site.restore().await;
        let failed = call_in_turn(&site.cut_off, "b", 10).await;
        assert!(failed.is_empty(), "after {cut:?}: {failed:?}");
    }
}

/// Guards against engines that are taken from the other instances because one instance does not reach
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_one_instance_does_not_reach_stay_with_the_others() {
    for cut in CUTS {
        let site = CutSite::start("llm", ServerKind::Engine).await;
        site.cut(cut).await;
        let (_, at_other) = tokio::join!(
            generate(&site.cut_off, "a", 20),
            generate(&site.other, "b", 20)
        );
        assert!(at_other.is_empty(), "{cut:?}: {at_other:?}");
    }
}

/// Guards against a lost way that is taken for the end of the endpoints: the request that ran when it
/// was lost would be refused everywhere, as one under which endpoints end.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_are_out_of_reach_have_not_ended_under_their_requests() {
    let site = CutSite::start("llm", ServerKind::Engine).await;
    let running: Vec<_> = (0..6)
        .map(|number| {
            let request = site.cut_off.generation(200, &format!("r{number}"));
            tokio::spawn(send_request(request))
        })
        .collect();
    wait_until("generations running", async || {
        let engines = site.endpoints.iter();
        engines.map(|engine| engine.running_count()).sum::<usize>() == 6
    })
    .await;
    site.cut(Cut::Resets).await;
    for response in running {
        response.await.expect("response received");
    }
    wait_until("six lines", async || {
        site.cut_off.logged("endpoint broke off").len() >= 6
    })
    .await;
    let lines = site.cut_off.logged("endpoint broke off");
    let ended = lines.iter().filter(|line| line["presence"] == "Ended");
    assert_eq!(ended.count(), 0, "{lines:?}");
    let again = send_request(site.other.generation(200, "again")).await;
    assert_eq!(again.status, 200, "{again:?}");
}

/// Guards against an instance that refuses all generations because it reaches no engine, and against
/// engines that are taken from the other instances because that one does not reach them.
#[tokio::test(flavor = "multi_thread")]
async fn generations_at_all_instances_run_while_one_reaches_no_engine() {
    for cut in CUTS {
        let site = CutSite::start("llm", ServerKind::Engine).await;
        site.cut(cut).await;
        let (at_cut_off, at_other) = tokio::join!(
            generate(&site.cut_off, "a", 20),
            generate(&site.other, "b", 20)
        );
        assert!(at_other.is_empty(), "{cut:?}, at the other: {at_other:?}");
        assert!(at_cut_off.is_empty(), "{cut:?}, cut off: {at_cut_off:?}");
        site.restore().await;
        let failed = generate(&site.cut_off, "c", 5).await;
        assert!(failed.is_empty(), "after {cut:?}: {failed:?}");
    }
}
