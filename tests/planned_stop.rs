//! What becomes of calls at an instance that is told to stop: in whatever state the signal finds
//! them, or if they come after it, their callers are answered before the process exits, and told the
//! truth about whether they may have run.

mod support;

use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerFault};
use larkwick::standin::site::{HOST, KEY};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::site::{HttpResponse, Instance, RoutedSite, send_request, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// Time from the signal to the exit; too short for long generations, and long enough for short ones.
const STOP_WITHIN_S: u32 = 5;

/// Starts a site whose calls may wait for as long as the stop lasts.
async fn start_site(apps: usize) -> RoutedSite {
    let site = RoutedSite::start(apps).await;
    let mut config = site.standin.default_config(3, &[KEY]);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout-ms"] = json!(20_000);
        if route["kind"] == "stream" {
            route["gap_aim_ms"] = json!(2_000);
        } else {
            route["goal-ms"] = json!(15_000);
        }
    }
    site.standin.publish_config(&config);
    site
}

fn start_instance(site: &RoutedSite, name: &str) -> Instance {
    let routing = json!({
        "load": {"wait_past_objective": true}, "stop_within_s": STOP_WITHIN_S, "hold_max_ms": 20_000,
    });
    site.start_instance_with_settings(name, routing)
}

async fn start_ready_instance(site: &RoutedSite, name: &str) -> Instance {
    let instance = start_instance(site, name);
    instance.wait_until_ready().await;
    instance
}

async fn stop(instance: &Instance) {
    instance.signal(Signal::SIGTERM);
    wait_until("stop begun", async || {
        instance.has_log_line("instance stopping")
    })
    .await;
}

fn generation(
    instance: &Instance,
    id: &str,
    events: u32,
    prompt_tokens: u32,
) -> reqwest::RequestBuilder {
    instance
        .request(&format!("/chat/{events}"), id)
        .header("larkwick-model", "m")
        .header(
            "larkwick-token-count",
            format!("{prompt_tokens},{}", events * 4),
        )
}

/// Starts generations that leave no room at the engine until the process exits.
async fn fill(
    instance: &Instance,
    engine: &Server,
    ids: [&'static str; 2],
) -> Vec<JoinHandle<HttpResponse>> {
    let filling = ids.map(|id| {
        let request = generation(instance, id, 2_400, 13_000);
        tokio::spawn(send_request(request))
    });
    wait_until("engine full", async || {
        engine.running_count() == 2 && ids.iter().all(|id| engine.generated_events(id) > 0)
    })
    .await;
    filling.into()
}

async fn wait_until_waiting(instance: &Instance) {
    wait_until("a call waits", async || {
        let phases = instance.state().await["calls_by_phase"].clone();
        phases["waiting"].as_u64() == Some(1)
    })
    .await;
}

/// Checks that a call was refused with the promise that it has not run, and that this is true.
fn assert_refused(site: &RoutedSite, response: &HttpResponse, id: &str) {
    assert_eq!(response.status, 503, "{id}: {response:?}");
    assert!(response.is_complete, "{id}: {response:?}");
    assert!(response.retry_after.is_some(), "{id}: {response:?}");
    let ran = site.standin.servers_that_ran(id);
    assert!(ran.is_empty(), "{id} ran on {ran:?}");
}

/// Checks that a call was answered without a promise that it has not run.
fn assert_may_have_run(response: &HttpResponse, id: &str) {
    assert!(
        matches!(response.status, 502 | 504),
        "{id}: a status without a promise: {response:?}"
    );
    assert!(response.is_complete, "{id}: {response:?}");
}

/// Returns the fields of the line that the instance logs at its exit.
async fn exit_fields(instance: &mut Instance) -> Value {
    wait_until("process exited", async || {
        instance.exit_success() == Some(true)
    })
    .await;
    wait_until("exit logged", async || {
        instance.has_log_line("instance stopped")
    })
    .await;
    instance.logged("instance stopped").remove(0)
}

/// Guards against review/2 (LOST): a short generation that came after the signal waited for room
/// until the process exited, and its connection was closed without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn stop_generation_waits_for_room_after_signal_refused() {
    let site = start_site(0).await;
    let engine = site.start_engine().await;
    let mut instance = start_ready_instance(&site, "n1").await;
    let _filling = fill(&instance, &engine, ["f1", "f2"]).await;
    stop(&instance).await;
    let response = send_request(generation(&instance, "short", 1, 9_000)).await;
    assert_refused(&site, &response, "short");
    assert_eq!(exit_fields(&mut instance).await["waiting"], "0");
}

/// The same for one that waited before the signal and could not end before the exit: it is refused
/// at once, so that it has most of its time left elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn stop_long_generation_waits_for_room_before_signal_refused_at_once() {
    let site = start_site(0).await;
    let engine = site.start_engine().await;
    let instance = start_ready_instance(&site, "n1").await;
    let _filling = fill(&instance, &engine, ["f1", "f2"]).await;
    let waiting = tokio::spawn(send_request(generation(&instance, "long", 300, 9_000)));
    wait_until_waiting(&instance).await;
    stop(&instance).await;
    let response = waiting.await.expect("answered");
    assert_refused(&site, &response, "long");
    assert!(
        !instance.has_log_line("instance stopped"),
        "it waited until the exit"
    );
}

/// The same at either of two instances, one of which owns the engines: at the other one the call
/// waits at its peer.
#[tokio::test(flavor = "multi_thread")]
async fn stop_generation_waits_at_owner_refused() {
    for entry in 0..2 {
        let site = start_site(0).await;
        let engine = site.start_engine().await;
        let mut instances = Vec::new();
        for name in ["n1", "n2"] {
            instances.push(start_ready_instance(&site, name).await);
        }
        for instance in &instances {
            wait_until("both named", async || {
                instance.directory_addresses().await.len() == 2
            })
            .await;
        }
        let mut instance = instances.remove(entry);
        let _filling = fill(&instance, &engine, ["f1", "f2"]).await;
        let waiting = tokio::spawn(send_request(generation(&instance, "waits", 300, 9_000)));
        wait_until_waiting(&instance).await;
        stop(&instance).await;
        assert_refused(&site, &waiting.await.expect("answered"), "waits");
        assert_eq!(exit_fields(&mut instance).await["waiting"], "0");
    }
}

/// A plain call that waits until its endpoint is out of its cooldown.
#[tokio::test(flavor = "multi_thread")]
async fn stop_call_waits_for_cooldown_refused() {
    let site = start_site(1).await;
    let mut instance = start_ready_instance(&site, "n1").await;
    site.apps[0].set_fault(ServerFault::Refuses);
    site.apps[0].set_cooldown(Some("12"));
    send_request(instance.request("/once/1", "rests")).await;
    site.apps[0].set_fault(ServerFault::None);
    let waiting = tokio::spawn(send_request(instance.request("/once/1", "waits")));
    wait_until_waiting(&instance).await;
    stop(&instance).await;
    assert_refused(&site, &waiting.await.expect("answered"), "waits");
    assert_eq!(exit_fields(&mut instance).await["waiting"], "0");
}

/// Calls that run without an answer until the exit: their callers are told that they may have run.
#[tokio::test(flavor = "multi_thread")]
async fn stop_call_runs_without_answer_told_that_it_may_have_run() {
    for path in ["/once/1", "/calls/1", "/chat/2", "/check/2"] {
        let site = start_site(1).await;
        let engine = site.start_engine().await;
        engine.set_fault(ServerFault::RunsAndHangs);
        site.apps[0].set_fault(ServerFault::RunsAndHangs);
        let mut instance = start_ready_instance(&site, "n1").await;
        let request = instance.request(path, "runs");
        let request = request.header("larkwick-model", "m");
        let running = tokio::spawn(send_request(
            request.header("larkwick-token-count", "1000,8"),
        ));
        wait_until("it runs", async || {
            !site.standin.servers_that_ran("runs").is_empty()
        })
        .await;
        stop(&instance).await;
        assert_may_have_run(&running.await.expect("answered"), path);
        assert_eq!(exit_fields(&mut instance).await["calls_cut"], "0", "{path}");
    }
}

/// Sends a request on a connection of its own and returns the connection.
async fn send_raw(instance: &Instance, head: &str, body: &str) -> TcpStream {
    let address = instance.caller_address().parse().expect("an address");
    let socket = TcpSocket::new_v4().expect("a socket");
    // What the caller does not read stays with the instance.
    socket.set_recv_buffer_size(4_096).expect("size set");
    let mut stream = socket.connect(address).await.expect("connected");
    let head = format!("{head}\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n\r\n{body}");
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

async fn read_status(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    // Ends when the instance closes the connection; an error after an answer does not matter.
    let _ = stream.read_to_end(&mut response).await;
    let response = String::from_utf8_lossy(&response);
    response.lines().next().unwrap_or_default().to_owned()
}

/// A request whose body does not arrive in time.
#[tokio::test(flavor = "multi_thread")]
async fn stop_body_arrives_slowly_refused() {
    let site = start_site(1).await;
    let mut instance = start_ready_instance(&site, "n1").await;
    let head = "POST /once/1 HTTP/1.1\r\nLarkwick-Request-Id: slow\r\nContent-Length: 100";
    let mut stream = send_raw(&instance, head, "begins").await;
    wait_until("body read", async || {
        let phases = instance.state().await["calls_by_phase"].clone();
        phases["receiving"].as_u64() == Some(1)
    })
    .await;
    stop(&instance).await;
    assert_eq!(
        read_status(&mut stream).await,
        "HTTP/1.1 503 Service Unavailable"
    );
    assert_eq!(exit_fields(&mut instance).await["receiving"], "0");
}

/// A call that is held since the instance knows no configuration.
#[tokio::test(flavor = "multi_thread")]
async fn stop_held_call_refused() {
    let site = start_site(1).await;
    site.standin
        .store
        .set_fault(larkwick::standin::site::store::StoreFault::Busy);
    let mut instance = start_instance(&site, "n1");
    let waiting = tokio::spawn(send_request(instance.request("/once/1", "held")));
    wait_until("held", async || {
        instance.state().await["calls_held"].as_u64() == Some(1)
    })
    .await;
    stop(&instance).await;
    assert_refused(&site, &waiting.await.expect("answered"), "held");
    assert_eq!(exit_fields(&mut instance).await["calls_cut"], "0");
}

/// An answer that its caller reads slowly: the process does not exit before it is written.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answer_read_slowly_whole() {
    const BODY_BYTES: usize = 3_900_000;
    /// Longer than the time for which an instance without calls still answers.
    const PAUSE: Duration = Duration::from_secs(2);
    let site = start_site(1).await;
    let instance = start_ready_instance(&site, "n1").await;
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nLarkwick-Request-Id: large\r\nContent-Length: {BODY_BYTES}"
    );
    let body = "x".repeat(BODY_BYTES);
    let mut stream = send_raw(&instance, &head, &body).await;
    wait_until("answering", async || {
        let phases = instance.state().await["calls_by_phase"].clone();
        phases["answering"].as_u64() == Some(1)
    })
    .await;
    stop(&instance).await;
    tokio::time::sleep(PAUSE).await;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("read");
    assert!(
        response.len() > BODY_BYTES,
        "{} of {BODY_BYTES} bytes",
        response.len()
    );
}
