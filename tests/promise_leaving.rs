//! Tests that a leaving endpoint gets no new work and that a planned stop aborts no request.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use support::{
    Process, Site, StreamResult, complete, config_objects, debug_state, fetch_ticket, get_json,
    non_repeatable_call, read_stream, run_count, run_tool, send_request, service_call, set_faults,
    streamed_completion, wait_for_peers, wait_until, wait_until_serving,
};

/// Reads a stream to its end instead of a limited number of tokens.
const ALL_TOKENS: usize = usize::MAX;

/// Returns the number of generations that an engine has started.
async fn started_generations(engine: &Process) -> u64 {
    let counters = get_json(format!("http://{}/counters", engine.address("control"))).await;
    counters["started_total"].as_u64().expect("counter")
}

/// Returns whether an instance knows that an endpoint is leaving.
async fn knows_departure(instance: &Process, name: &str) -> bool {
    let state = debug_state(instance).await;
    let departures = state["departures"].as_array().expect("list").clone();
    departures.iter().any(|departed| departed["name"] == name)
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_leaving_no_new_work_despite_outdated_list_and_flapping() {
    let site = Site::new();
    let engines = [
        site.start_engine("e1", &json!({"step_us": 1000})),
        site.start_engine("e2", &json!({"step_us": 1000})),
    ];
    let service = [site.start_service("s1"), site.start_service("s2")];
    let published = config_objects(
        "h",
        &[("e1", &engines[0]), ("e2", &engines[1])],
        &[("s1", &service[0]), ("s2", &service[1])],
    );
    site.publish_accepted(&published);
    let entries = [
        site.start_instance("i1", "h"),
        site.start_instance("i2", "h"),
        site.start_instance("i3", "h"),
    ];
    for entry in &entries {
        wait_for_peers(entry, 2).await;
        wait_until_serving(entry).await;
    }
    // The platform's list keeps showing the leaving endpoints as live.
    site.set_platform_faults(&json!({"list_as_live": ["e1", "s1"]}))
        .await;
    set_faults(&engines[0], &json!({"leaving": true})).await;
    set_faults(&service[0], &json!({"leaving": true})).await;
    for entry in &entries {
        wait_until("the entry knows the departures", || async {
            knows_departure(entry, "e1").await && knows_departure(entry, "s1").await
        })
        .await;
    }
    // The endpoints then report, in the same incarnation, that they are no longer leaving. This must
    // be ignored.
    set_faults(&engines[0], &json!({"leaving": false})).await;
    set_faults(&service[0], &json!({"leaving": false})).await;
    let before = started_generations(&engines[0]).await;
    let other_before = started_generations(&engines[1]).await;
    for index in 0..30 {
        let entry = entries[index % 3].address("caller");
        let text = format!("call {index}");
        assert_eq!(
            complete(&entry, &json!({"max_tokens": 2})).await.status,
            200
        );
        assert_eq!(send_request(service_call(&entry, &text)).await.status, 200);
        assert_eq!(run_count(&service[0], &text).await, 0);
    }
    assert_eq!(
        started_generations(&engines[0]).await,
        before,
        "new work went to a leaving endpoint"
    );
    assert_eq!(started_generations(&engines[1]).await, other_before + 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_restarted_new_incarnation_gets_work() {
    let site = Site::new();
    let mut engine = site.start_engine("e1", &json!({"step_us": 1000}));
    let address = engine.address("address");
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let instance = site.start_instance("i1", "h");
    wait_until_serving(&instance).await;
    set_faults(&engine, &json!({"leaving": true})).await;
    wait_until("the departure is known", || {
        knows_departure(&instance, "e1")
    })
    .await;
    let refused = complete(&instance.address("caller"), &json!({"max_tokens": 2})).await;
    assert_eq!(
        (refused.kind(), refused.outcome()),
        ("no_endpoint", "not_run")
    );
    engine.kill();
    let platform = site.platform.address("address");
    let _restarted = Process::start(
        support::STANDIN,
        &[
            "engine",
            "--name",
            "e1",
            "--address",
            &address,
            "--control",
            "127.0.0.1:0",
            "--platform",
            &platform,
            "--model",
            "m@1",
        ],
    );
    wait_until_serving(&instance).await;
}

/// Sends requests until `stop` is set, and returns descriptions of those that failed.
///
/// It behaves as docs/CALLERS.md requires: it uses the response of `/v1/entries` for as long as it is
/// valid, then requests a new one, and it follows `moved` events.
async fn run_caller(first_entry: String, stop: Arc<AtomicBool>) -> Vec<String> {
    let mut failures = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let response = get_json(format!("http://{first_entry}/v1/entries")).await;
        let entry = response["entries"][0]["address"]
            .as_str()
            .expect("an entry is named")
            .to_owned();
        let valid = Duration::from_millis(response["valid_for_ms"].as_u64().expect("time"));
        let valid_until = tokio::time::Instant::now() + valid;
        while tokio::time::Instant::now() < valid_until {
            let response =
                complete(&entry, &json!({"prompt": "#length=10 x", "max_tokens": 10})).await;
            if response.status != 200 {
                failures.push(format!("response of {entry}: {response:?}"));
            }
            let streamed = read_following_moves(&entry).await;
            if streamed.end != "done" || streamed.indices() != (0..150).collect::<Vec<_>>() {
                failures.push(format!(
                    "stream of {entry}: {} {:?}",
                    streamed.end, streamed.last
                ));
            }
        }
    }
    failures
}

/// Reads a stream to its end and resumes it at another entry whenever it is moved.
async fn read_following_moves(entry: &str) -> StreamResult {
    let fields = json!({"prompt": "#length=150 x", "max_tokens": 150});
    let mut streamed = read_stream(streamed_completion(entry, &fields), ALL_TOKENS).await;
    while streamed.end == "moved" {
        let next = streamed.last["entries"][0]
            .as_str()
            .unwrap_or("")
            .to_owned();
        let last = streamed.ids.last().cloned().unwrap_or_default();
        let rest = read_stream(
            streamed_completion(&next, &fields).header("Last-Event-ID", last),
            ALL_TOKENS,
        )
        .await;
        streamed.ids.extend(rest.ids);
        streamed.text += &rest.text;
        streamed.end = rest.end;
        streamed.last = rest.last;
    }
    streamed
}

async fn wait_until_stopped(instance: &mut Process) {
    wait_until("the instance has stopped", || {
        let exit_success = instance.exit_success();
        async move { exit_success == Some(true) }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_all_entries_in_turn_aborts_no_request() {
    let mut site = Site::new();
    // The streams take longer than a draining entry lets them run, so that some must be moved.
    site.times["drain_streams_ms"] = json!(100);
    let engines = [
        site.start_engine("e1", &json!({"step_us": 10_000})),
        site.start_engine("e2", &json!({"step_us": 10_000})),
    ];
    let published = config_objects("h", &[("e1", &engines[0]), ("e2", &engines[1])], &[]);
    site.publish_accepted(&published);
    let mut entries = [
        site.start_instance("i1", "h"),
        site.start_instance("i2", "h"),
        site.start_instance("i3", "h"),
    ];
    // The callers request the entries from this instance, which is not replaced.
    let entry_source = site.start_instance("asked", "h");
    wait_for_peers(&entry_source, 3).await;
    wait_until_serving(&entry_source).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|_| tokio::spawn(run_caller(entry_source.address("caller"), stop.clone())))
        .collect();
    for (index, entry) in entries.iter_mut().enumerate() {
        let name = format!("j{index}");
        let replacement = site.start_instance(&name, "h");
        wait_for_peers(&replacement, 3).await;
        let mut leaving = std::mem::replace(entry, replacement);
        let operator = leaving.address("operator");
        assert!(
            run_tool(&["drain", "--operator", &operator])
                .status
                .success()
        );
        wait_until_stopped(&mut leaving).await;
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        assert_eq!(caller.await.expect("caller"), Vec::<String>::new());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_requests_from_unexpired_entries_served() {
    let mut site = Site::new();
    site.times["entries_valid_ms"] = json!(3000);
    let service = site.start_service("s1");
    site.publish_accepted(&config_objects("h", &[], &[("s1", &service)]));
    let mut leaving = site.start_instance("i1", "h");
    let staying = site.start_instance("i2", "h");
    wait_for_peers(&staying, 1).await;
    let old_ticket = fetch_ticket(&staying.address("caller"), "i1").await;
    let address = leaving.address("caller");
    wait_until("the service answers", || async {
        send_request(service_call(&address, "warm")).await.status == 200
    })
    .await;
    assert!(
        run_tool(&["drain", "--operator", &leaving.address("operator")])
            .status
            .success()
    );
    wait_until("the peer no longer lists the leaving instance", || async {
        let response: Value =
            get_json(format!("http://{}/v1/entries", staying.address("caller"))).await;
        response["entries"]
            .as_array()
            .expect("list")
            .iter()
            .all(|entry| entry["instance"] != "i1")
    })
    .await;
    // The peer no longer lists the leaving instance, but callers that use an earlier response of
    // `/v1/entries` are still served, including a request with an idempotency key.
    let served = send_request(non_repeatable_call(
        &address,
        &old_ticket,
        "k1",
        "old answer",
    ))
    .await;
    assert_eq!(served.status, 200, "{served:?}");
    assert_eq!(run_count(&service, "old answer").await, 1);
    wait_until_stopped(&mut leaving).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_long_stream_moved_without_waiting() {
    let mut site = Site::new();
    site.times["drain_streams_ms"] = json!(100);
    let engine = site.start_engine("e1", &json!({"step_us": 10_000}));
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let mut leaving = site.start_instance("i1", "h");
    let staying = site.start_instance("i2", "h");
    wait_for_peers(&leaving, 1).await;
    wait_until_serving(&leaving).await;
    let address = leaving.address("caller");
    // The whole stream would take at least 15 minutes.
    let fields = json!({"prompt": "#length=90000 x", "max_tokens": 90_000});
    let reading = tokio::spawn(read_stream(
        streamed_completion(&address, &fields),
        ALL_TOKENS,
    ));
    wait_until("the stream runs", || async {
        debug_state(&leaving).await["status"]["requests_active"].as_u64() > Some(0)
    })
    .await;
    assert!(
        run_tool(&["drain", "--operator", &leaving.address("operator")])
            .status
            .success()
    );
    let first_part = reading.await.expect("reader");
    assert_eq!(first_part.end, "moved", "{:?}", first_part.last);
    assert_eq!(
        first_part.last["entries"],
        json!([staying.address("caller")])
    );
    let last = first_part.ids.last().expect("tokens").clone();
    let resumed =
        streamed_completion(&staying.address("caller"), &fields).header("Last-Event-ID", last);
    let rest = read_stream(resumed, 50).await;
    let expected: Vec<u32> = (0..).skip(first_part.ids.len()).take(50).collect();
    assert_eq!(rest.indices(), expected);
    wait_until_stopped(&mut leaving).await;
}
