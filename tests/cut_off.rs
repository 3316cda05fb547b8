//! An instance that lost its way to the endpoints, while the other instances reach them.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use larkwick::standin::site::KEY;
use larkwick::standin::site::server::{Server, ServerFault, ServerKind};
use nix::sys::signal::Signal;
use serde_json::json;
use support::link::{Cut, Link};
use support::site::{
    HttpResponse, Instance, RoutedSite, event_numbers, kill_until_refused, send_request, wait_until,
};

const CUTS: [Cut; 3] = [Cut::RefusesNew, Cut::Resets, Cut::Silent];
const EVENTS: u32 = 20;
/// Time between calls, as of a service with some load.
const CALL_PAUSE: Duration = Duration::from_millis(40);

/// A site of which one instance reaches the endpoints through links of its own.
struct CutSite {
    site: RoutedSite,
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
            site,
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
        let passed_on = site.cut_off.logged("call forwarded");
        assert!(failed.is_empty(), "{cut:?}: {failed:?}, {passed_on:?}");
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

/// Guards against a generation that runs on at its engine after the caller of the instance that passed
/// it on has left.
#[tokio::test(flavor = "multi_thread")]
async fn caller_of_a_forwarded_generation_leaves_engine_stops() {
    let site = CutSite::start("llm", ServerKind::Engine).await;
    site.cut(Cut::Resets).await;
    let running = async || {
        let engines = site.endpoints.iter();
        engines.map(|engine| engine.running_count()).sum::<usize>()
    };
    let request = site.cut_off.generation(4_000, "g");
    let caller = tokio::spawn(send_request(request));
    wait_until("the generation runs", async || running().await == 1).await;
    caller.abort();
    wait_until("the generation has ended", async || running().await == 0).await;
}

/// Guards against a call that is sent again, or said not to have run, when the peer is lost that
/// served it.
#[tokio::test(flavor = "multi_thread")]
async fn peer_lost_with_a_forwarded_call_run_once_and_not_said_not_run() {
    let site = CutSite::start("app", ServerKind::Plain).await;
    site.cut(Cut::Resets).await;
    for endpoint in &site.endpoints {
        endpoint.set_fault(ServerFault::RunsAndHangs);
    }
    let call = tokio::spawn(send_request(site.cut_off.request("/once/x", "l")));
    wait_until("the call runs or has ended", async || {
        call.is_finished() || !site.site.standin.servers_that_ran("l").is_empty()
    })
    .await;
    let passed_on = site.cut_off.logged("call forwarded");
    assert!(!call.is_finished(), "{passed_on:?}");
    site.other.signal(Signal::SIGKILL);
    let response = call.await.expect("response received");
    assert!([502, 504].contains(&response.status), "{response:?}");
    assert_eq!(site.site.standin.servers_that_ran("l").len(), 1);
}

/// Guards against calls that are passed round, or held, when no instance reaches an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_gone_for_all_calls_refused_and_passed_on_once_at_most() {
    let site = CutSite::start("app", ServerKind::Plain).await;
    site.cut(Cut::Resets).await;
    for endpoint in &site.endpoints {
        kill_until_refused(endpoint).await;
    }
    let refused = call_in_turn(&site.cut_off, "a", 10).await;
    let (refused, others): (Vec<_>, Vec<_>) = refused
        .into_iter()
        .partition(|response| response.status == 503 && response.retry_after.is_some());
    assert_eq!(refused.len(), 10, "{others:?}");
    let passed_on = site.other.logged("call forwarded");
    let again = passed_on.iter().filter(|line| {
        let id = line["request_id"].as_str();
        id.is_some_and(|id| id.starts_with("a-"))
    });
    assert_eq!(again.count(), 0, "passed on a second time");
}

/// Guards against a call that leaves its regions by way of a peer in another one.
#[tokio::test(flavor = "multi_thread")]
async fn call_that_must_not_leave_its_regions_not_passed_on() {
    let site = CutSite::start("app", ServerKind::Plain).await;
    let mut config = site.site.standin.default_config(3, &[KEY]);
    // The hall of all instances is in no region that is named.
    config["routes"][0]["allowed-regions"] = json!(["north"]);
    site.site.standin.publish_config(&config);
    wait_until("configuration known", async || {
        site.cut_off.state().await["config_version"] == 3
            && site.other.state().await["config_version"] == 3
    })
    .await;
    site.cut(Cut::Resets).await;
    // Calls of another route show that the instance is cut off, and where they go.
    let failed = call_in_turn(&site.cut_off, "a", 4).await;
    assert_eq!(
        failed.len(),
        2,
        "those that may not be passed on: {failed:?}"
    );
    let passed_on = site.cut_off.logged("call forwarded");
    let left = passed_on.iter().filter(|line| {
        let id = line["request_id"].as_str();
        id.is_some_and(|id| ["a-0", "a-2"].contains(&id))
    });
    assert_eq!(left.count(), 0, "{passed_on:?}");
}

/// Guards against a segment that crashes engines and reaches them by way of a peer.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_segments_at_an_instance_that_reaches_no_engine_are_refused_by_its_peer() {
    let site = CutSite::start("llm", ServerKind::Engine).await;
    site.site.standin.crash_servers_on_segment("bad0");
    let mut started = Vec::new();
    for _ in 0..12 {
        started.push(site.site.start_engine().await);
    }
    let generation = |instance: &Instance, id: &str, segments: &str| {
        let request = instance.generation(2, id).body(id.to_owned());
        let prompt = format!("{segments},{}:20", id.len());
        send_request(request.header("larkwick-prompt-prefix", prompt))
    };
    site.cut(Cut::RefusesNew).await;
    for number in 0..12 {
        generation(&site.cut_off, &format!("bad-{number}"), "a1:300,bad0:200").await;
    }
    let crashed = site.site.standin.crashed_servers().len();
    assert!(crashed <= 8, "{crashed} engines crashed");
    let sound = generation(&site.cut_off, "sound", "a1:300,b2:200").await;
    assert_eq!(sound.status, 200, "{sound:?}");
}
