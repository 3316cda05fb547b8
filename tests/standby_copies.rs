//! Generations whose engine crashes, with real processes and a stand-in site: they go on from the
//! copy at a second engine, as one run and without a gap.

mod support;

use std::sync::Arc;

use larkwick::standin::site::server::Server;
use serde_json::json;
use support::site::{
    HttpResponse, Instance, RoutedSite, event_numbers, kill_until_refused, send_request, wait_until,
};

/// A request body that crashes each engine.
const CRASHING_BODY: &[u8] = b"a body that no engine survives";
/// Engines that one content may crash: as many as confirm it as a crash suspect without copies.
const CRASHED_MAX: usize = 3;
const EVENTS: u32 = 120;

async fn start_site(
    engines: usize,
    standby_copies: bool,
) -> (RoutedSite, Vec<Arc<Server>>, Instance) {
    let site = RoutedSite::start(0).await;
    let mut started = Vec::new();
    for _ in 0..engines {
        started.push(site.start_engine().await);
    }
    let settings = json!({"load": {"standby_copies": standby_copies}});
    let instance = site.start_instance_with_settings("n1", settings);
    instance.wait_until_ready().await;
    wait_until("all engines known", async || {
        let state = instance.state().await;
        let mut engines = started.iter();
        engines.all(|engine| state["endpoints"][&engine.id].is_object())
    })
    .await;
    (site, started, instance)
}

/// Returns the engine that runs the only generation.
async fn running_engine(engines: &[Arc<Server>]) -> Arc<Server> {
    let find = || engines.iter().find(|engine| engine.running_count() == 1);
    wait_until("generation running", async || find().is_some()).await;
    find().expect("it was found").clone()
}

/// Returns the engine that the request named for the copy.
fn keeper_of(engines: &[Arc<Server>], running: &Server, id: &str) -> Arc<Server> {
    let headers = running.request_headers(id).expect("it was asked");
    let address = headers.get("kv-backup").expect("a copy was asked for");
    let address = address.to_str().expect("text").to_owned();
    let keeper = engines
        .iter()
        .find(|engine| engine.address().to_string() == address);
    keeper.expect("an engine has the address").clone()
}

fn assert_whole(response: &HttpResponse) {
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    let expected: Vec<u32> = (1..=EVENTS).collect();
    assert_eq!(event_numbers(&response.body), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_crashes_goes_on_from_copy() {
    for standby_copies in [false, true] {
        let (site, engines, instance) = start_site(3, standby_copies).await;
        let generation = tokio::spawn(send_request(instance.generation(EVENTS, "c1")));
        let running = running_engine(&engines).await;
        wait_until("events made", async || running.generated_events("c1") >= 4).await;
        assert_eq!(site.standin.copy_count(), usize::from(standby_copies));
        running.kill().await;
        let response = generation.await.expect("response received");
        assert_eq!(site.standin.servers_that_ran("c1"), [running.id.as_str()]);
        if !standby_copies {
            assert!(!response.is_complete, "{response:?}");
            continue;
        }
        assert_whole(&response);
        let keeper = keeper_of(&engines, &running, "c1");
        let headers = keeper.request_headers("c1").expect("it went on there");
        let from = format!("{}/c1", keeper.address());
        assert_eq!(headers["kv-from"], from.as_str());
        assert!(!headers.contains_key("kv-backup"), "{headers:?}");
        assert_eq!(instance.logged("generation resumed from its copy").len(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_not_crashed_copy_freed_with_its_end() {
    let (site, engines, instance) = start_site(2, true).await;
    let generation = tokio::spawn(send_request(instance.generation(EVENTS, "f1")));
    let running = running_engine(&engines).await;
    keeper_of(&engines, &running, "f1");
    assert_whole(&generation.await.expect("response received"));
    assert_eq!(site.standin.copy_count(), 0);
    assert!(!instance.has_log_line("generation resumed from its copy"));
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_both_engines_crash_lost_and_run_once() {
    let (site, engines, instance) = start_site(3, true).await;
    let generation = tokio::spawn(send_request(instance.generation(EVENTS, "b1")));
    let running = running_engine(&engines).await;
    let keeper = keeper_of(&engines, &running, "b1");
    kill_until_refused(&keeper).await;
    running.kill().await;
    let response = generation.await.expect("response received");
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(site.standin.servers_that_ran("b1"), [running.id.as_str()]);
    let mut others = engines.iter();
    let spared = others.find(|engine| engine.id != running.id && engine.id != keeper.id);
    assert_eq!(spared.expect("a third engine").request_count(), 0);
}

/// The content that crashes the first engine crashes the one with the copy, too. From then on it is
/// suspected and gets no copies.
#[tokio::test(flavor = "multi_thread")]
async fn generation_content_crashes_engines_no_more_than_without_copies() {
    let (site, _engines, instance) = start_site(8, true).await;
    site.standin.crash_servers_on(CRASHING_BODY);
    site.standin.set_events_before_crash(2);
    for number in 0..6 {
        let request = instance.generation(EVENTS, &format!("x{number}"));
        let response = send_request(request.body(CRASHING_BODY)).await;
        assert!(
            response.status != 200 || !response.is_complete,
            "{response:?}"
        );
        wait_until("aborts logged", async || {
            instance.logged("endpoint broke off").len() >= site.standin.crashed_servers().len()
        })
        .await;
    }
    let crashed = site.standin.crashed_servers();
    assert!(crashed.len() <= CRASHED_MAX, "{crashed:?}");
    let resumed = instance.logged("generation resumed from its copy");
    let gone_on = resumed.iter().filter(|line| line["outcome"] == "gone on");
    assert!(gone_on.count() <= 1, "{resumed:?}");
}
