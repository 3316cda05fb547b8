//! End-to-end requests from caller to endpoint and back through separate processes, configured only
//! by published objects.

mod support;

use serde_json::{Value, json};
use support::{
    HttpResponse, KEY, Process, Site, StreamResult, complete, config_objects, debug_state,
    get_json, read_stream, run_tool, send_request, streamed_completion, wait_for_peers, wait_until,
    wait_until_serving,
};

fn engine_spec() -> Value {
    json!({"step_us": 2000})
}

async fn start_site() -> (TestSite, Process) {
    let site = Site::new();
    let engine = site.start_engine("e1", &engine_spec());
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let instance = site.start_instance("i1", "h");
    wait_until_serving(&instance).await;
    (
        TestSite {
            _site: site,
            _engine: engine,
        },
        instance,
    )
}

/// Processes that an instance needs, kept until the end of a test.
struct TestSite {
    _site: Site,
    _engine: Process,
}

#[tokio::test(flavor = "multi_thread")]
async fn example_objects_served_in_three_halls() {
    let site = Site::new();
    let engine_a = site.start_engine("tb-engine-01", &engine_spec());
    let engine_b = site.start_engine("tb-engine-02", &engine_spec());
    let fees = site.start_service("tb-fee-lookup-1");
    let platform = site.platform.address("address");
    for example in ["tavares-brandao", "fuel-cards"] {
        let file = format!(
            "{}/examples/{example}/objects.jsonc",
            env!("CARGO_MANIFEST_DIR")
        );
        let checked = run_tool(&["check", &file]);
        assert!(checked.status.success(), "{checked:?}");
        let published = run_tool(&["publish", "--platform", &platform, &file]);
        assert!(published.status.success(), "{published:?}");
    }
    // Replace the endpoint addresses of the example by those of the endpoints started here.
    let mut local_objects = config_objects("recife-1", &[("tb-engine-01", &engine_a)], &[]);
    let second = config_objects(
        "recife-2",
        &[("tb-engine-02", &engine_b)],
        &[("tb-fee-lookup-1", &fees)],
    );
    let local_objects = local_objects.as_array_mut().expect("list");
    local_objects.extend(second.as_array().expect("list").iter().cloned());
    let endpoints: Vec<&Value> = local_objects
        .iter()
        .filter(|object| object["kind"] != "hall")
        .collect();
    let published = site.publish(&json!(endpoints));
    assert!(published.status.success(), "{published:?}");

    let instances = [
        site.start_instance("entry-a", "recife-1"),
        site.start_instance("entry-b", "recife-2"),
        site.start_instance("entry-c", "natal-1"),
    ];
    for instance in &instances {
        wait_for_peers(instance, 2).await;
        wait_until_serving(instance).await;
    }
    let response = get_json(format!(
        "http://{}/v1/entries",
        instances[0].address("caller")
    ))
    .await;
    assert!(response["valid_for_ms"].as_u64().is_some());
    let entries = response["entries"].as_array().expect("entries");
    assert_eq!(entries.len(), 3);
    assert_eq!(
        entries[0]["hall"], "recife-1",
        "the instance's own hall is listed first"
    );
    for entry in entries {
        let address = entry["address"].as_str().expect("address");
        let streamed = read_stream(
            streamed_completion(
                address,
                &json!({"max_tokens": 20, "prompt": "#length=20 x"}),
            ),
            100,
        )
        .await;
        assert_eq!(streamed.end, "done", "{streamed:?}");
        assert_eq!(streamed.indices(), (0..20).collect::<Vec<_>>());
        let completed = complete(address, &json!({"max_tokens": 5, "prompt": "#length=9 x"})).await;
        assert_eq!(completed.status, 200, "{completed:?}");
        assert_eq!(completed.body["choices"][0]["finish_reason"], "length");
        assert_eq!(completed.body["usage"]["completion_tokens"], 5);
        let service = reqwest::Client::new()
            .post(format!("http://{address}/v1/services/fees/lookup/17"))
            .bearer_auth(KEY)
            .body("plot 17");
        let service = send_request(service).await;
        assert_eq!(service.body["echo"], "plot 17");
        assert_eq!(service.body["path"], "lookup/17");
    }
}

/// A seed from which the stand-in engine generates 304 tokens if it may.
const SEED_OF_MANY_TOKENS: u64 = 1;
/// A seed from which it generates a single token.
const SEED_OF_ONE_TOKEN: u64 = 8_041;

async fn send_chat(instance: &Process, seed: u64) -> (HttpResponse, StreamResult) {
    let url = format!("http://{}/v1/chat/completions", instance.address("caller"));
    let request = |stream: bool| {
        let body = json!({"model": "m", "max_tokens": 3, "seed": seed, "stream": stream, "messages": [
            {"role": "system", "content": "be brief"},
            {"role": "user", "content": [{"type": "text", "text": "hello"}]}]});
        let request = reqwest::Client::new().post(&url);
        request.bearer_auth(KEY).json(&body)
    };
    let completed = send_request(request(false)).await;
    (completed, read_stream(request(true), 100).await)
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_completions_buffered_and_streamed() {
    let (_site, instance) = start_site().await;
    let (completed, streamed) = send_chat(&instance, SEED_OF_MANY_TOKENS).await;
    assert_eq!(completed.body["object"], "chat.completion");
    assert_eq!(completed.body["choices"][0]["message"]["role"], "assistant");
    assert_eq!(completed.body["choices"][0]["finish_reason"], "length");
    assert_eq!(streamed.end, "done");
    assert_eq!(streamed.indices(), [0, 1, 2]);
}

/// Tells a generation that ends by itself from one whose tokens are lost: without a seed, one in a
/// thousand generations of the stand-in has fewer than three tokens.
#[tokio::test(flavor = "multi_thread")]
async fn chat_completions_generation_of_one_token_ends_as_stopped() {
    let (_site, instance) = start_site().await;
    let (completed, streamed) = send_chat(&instance, SEED_OF_ONE_TOKEN).await;
    assert_eq!(completed.body["choices"][0]["finish_reason"], "stop");
    assert_eq!(completed.body["usage"]["completion_tokens"], 1);
    assert_eq!(streamed.end, "done");
    assert_eq!(streamed.indices(), [0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_typed_error_and_not_run() {
    let (_site, instance) = start_site().await;
    let entry = instance.address("caller");
    let without_key = || reqwest::Client::new().post(format!("http://{entry}/v1/completions"));
    let with_key = || without_key().bearer_auth(KEY);
    let valid = json!({"model": "m", "prompt": "hello"});
    let cases = [
        ("no key", without_key().json(&valid), 401, "unauthorized"),
        (
            "wrong key",
            without_key().bearer_auth("nobody").json(&valid),
            401,
            "unauthorized",
        ),
        ("not JSON", with_key().body("{"), 400, "bad_request"),
        ("empty", with_key().body(""), 400, "bad_request"),
        (
            "no prompt",
            with_key().json(&json!({"model": "m"})),
            400,
            "bad_request",
        ),
        (
            "zero tokens",
            with_key().json(&json!({"model": "m", "prompt": "x", "max_tokens": 0})),
            400,
            "bad_request",
        ),
        (
            "unknown model",
            with_key().json(&json!({"model": "n", "prompt": "x"})),
            404,
            "unknown_model",
        ),
        (
            "too large",
            with_key().body("x".repeat(2 << 20)),
            413,
            "too_large",
        ),
        (
            "unknown value",
            with_key()
                .header("Larkwick-Repeatable", "maybe")
                .json(&valid),
            400,
            "bad_request",
        ),
        (
            "unknown header",
            with_key()
                .header("Larkwick-Repeatble", "false")
                .json(&valid),
            400,
            "bad_request",
        ),
        (
            "bad ticket",
            with_key().header("Larkwick-Ticket", "x").json(&valid),
            400,
            "bad_request",
        ),
        (
            "bad event id",
            with_key().header("Last-Event-ID", "x").json(&valid),
            400,
            "bad_request",
        ),
        (
            "key without ticket",
            with_key().header("Idempotency-Key", "k").json(&valid),
            400,
            "ticket_required",
        ),
        (
            "unknown service",
            reqwest::Client::new()
                .post(format!("http://{entry}/v1/services/none/x"))
                .bearer_auth(KEY),
            404,
            "unknown_service",
        ),
        (
            "no such path",
            reqwest::Client::new().post(format!("http://{entry}/v1/nothing")),
            404,
            "not_found",
        ),
    ];
    for (name, request, status, kind) in cases {
        let response = send_request(request).await;
        assert_eq!(
            (response.status, response.kind()),
            (status, kind),
            "{name}: {response:?}"
        );
        assert_eq!(response.outcome(), "not_run", "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_status_dump_metrics_and_drain() {
    let mut site = Site::new();
    site.times["entries_valid_ms"] = json!(100);
    let engine = site.start_engine("e1", &engine_spec());
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let mut instance = site.start_instance("i1", "h");
    wait_until_serving(&instance).await;
    let operator = instance.address("operator");
    let status = run_tool(&["status", "--operator", &operator, "--json"]);
    let status: Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status["phase"], "serving");
    let state = debug_state(&instance).await;
    assert_eq!(state["plugins"]["platform"], json!(["embedded", "http"]));
    assert_eq!(state["plugins"]["endpoint"], json!(["http"]));
    let policies = json!([
        "fixed_reservation",
        "least_in_flight",
        "least_loaded",
        "profile",
        "random",
        "residual"
    ]);
    assert_eq!(state["plugins"]["policy"], policies);
    let metrics = reqwest::get(format!("http://{operator}/metrics"))
        .await
        .expect("metrics");
    let metrics = metrics.text().await.expect("text");
    assert!(metrics.contains("larkwick_requests_active"), "{metrics}");
    let on_caller_address =
        reqwest::get(format!("http://{}/debug/state", instance.address("caller"))).await;
    assert_eq!(on_caller_address.expect("answer").status().as_u16(), 404);
    let platform = site.platform.address("address");
    let config = run_tool(&["config", "show", "--platform", &platform]);
    assert!(String::from_utf8_lossy(&config.stdout).contains("endpoint/e1"));
    let history = run_tool(&["config", "history", "--platform", &platform]);
    assert!(String::from_utf8_lossy(&history.stdout).contains("accepted"));
    assert!(
        run_tool(&["drain", "--operator", &operator])
            .status
            .success()
    );
    wait_until("the instance has stopped", || {
        let has_exited = instance.exit_success();
        async move { has_exited == Some(true) }
    })
    .await;
}
