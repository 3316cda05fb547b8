//! A request goes from caller to endpoint and back through separate processes, driven only by published configuration.

mod support;

use serde_json::{Value, json};
use support::{
    KEY, Site, complete, dump, get, objects, read_stream, send, streaming, tool, until,
    until_peers, until_serving,
};

fn spec() -> Value {
    json!({"step_us": 2000})
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_path_three_halls_examples() {
    let site = Site::new();
    let engine_a = site.engine("tb-engine-01", &spec());
    let engine_b = site.engine("tb-engine-02", &spec());
    let fees = site.service("tb-fee-lookup-1");
    let platform = site.platform.address("address");
    for example in ["tavares-brandao", "fuel-cards"] {
        let file = format!(
            "{}/examples/{example}/objects.jsonc",
            env!("CARGO_MANIFEST_DIR")
        );
        let checked = tool(&["check", &file]);
        assert!(checked.status.success(), "{checked:?}");
        let published = tool(&["publish", "--platform", &platform, &file]);
        assert!(published.status.success(), "{published:?}");
    }
    // The endpoints that run here take the place of the example's addresses.
    let mut here = objects("recife-1", &[("tb-engine-01", &engine_a)], &[]);
    let second = objects(
        "recife-2",
        &[("tb-engine-02", &engine_b)],
        &[("tb-fee-lookup-1", &fees)],
    );
    let here = here.as_array_mut().expect("list");
    here.extend(second.as_array().expect("list").iter().cloned());
    let endpoints: Vec<&Value> = here.iter().filter(|one| one["kind"] != "hall").collect();
    let published = site.publish(&json!(endpoints));
    assert!(published.status.success(), "{published:?}");

    let instances = [
        site.instance("entry-a", "recife-1"),
        site.instance("entry-b", "recife-2"),
        site.instance("entry-c", "natal-1"),
    ];
    for instance in &instances {
        until_peers(instance, 2).await;
        until_serving(instance).await;
    }
    let answer = get(format!(
        "http://{}/v1/entries",
        instances[0].address("caller")
    ))
    .await;
    assert!(answer["valid_for_ms"].as_u64().is_some());
    let entries = answer["entries"].as_array().expect("entries");
    assert_eq!(entries.len(), 3);
    assert_eq!(entries[0]["hall"], "recife-1", "the own hall comes first");
    for entry in entries {
        let address = entry["address"].as_str().expect("address");
        let streamed = read_stream(
            streaming(
                address,
                &json!({"max_tokens": 20, "prompt": "#length=20 x"}),
            ),
            100,
        )
        .await;
        assert_eq!(streamed.end, "done", "{streamed:?}");
        assert_eq!(streamed.indices(), (0..20).collect::<Vec<_>>());
        let whole = complete(address, &json!({"max_tokens": 5, "prompt": "#length=9 x"})).await;
        assert_eq!(whole.status, 200, "{whole:?}");
        assert_eq!(whole.body["choices"][0]["finish_reason"], "length");
        assert_eq!(whole.body["usage"]["completion_tokens"], 5);
        let service = reqwest::Client::new()
            .post(format!("http://{address}/v1/services/fees/lookup/17"))
            .bearer_auth(KEY)
            .body("plot 17");
        let service = send(service).await;
        assert_eq!(service.body["echo"], "plot 17");
        assert_eq!(service.body["path"], "lookup/17");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_completions_whole_and_streamed() {
    let site = Site::new();
    let engine = site.engine("e1", &spec());
    assert!(
        site.publish(&objects("h", &[("e1", &engine)], &[]))
            .status
            .success()
    );
    let instance = site.instance("i1", "h");
    until_serving(&instance).await;
    let url = format!("http://{}/v1/chat/completions", instance.address("caller"));
    let body = |stream: bool| {
        json!({"model": "m", "max_tokens": 3, "stream": stream, "messages": [
            {"role": "system", "content": "be brief"},
            {"role": "user", "content": [{"type": "text", "text": "hello"}]}]})
    };
    let client = reqwest::Client::new();
    let whole = send(client.post(&url).bearer_auth(KEY).json(&body(false))).await;
    assert_eq!(whole.body["object"], "chat.completion");
    assert_eq!(whole.body["choices"][0]["message"]["role"], "assistant");
    let streamed = read_stream(client.post(&url).bearer_auth(KEY).json(&body(true)), 100).await;
    assert_eq!(streamed.end, "done");
    assert_eq!(streamed.indices(), [0, 1, 2]);
}

#[tokio::test(flavor = "multi_thread")]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
async fn bad_input_typed_error_not_run() {
    let site = Site::new();
    let engine = site.engine("e1", &spec());
    assert!(
        site.publish(&objects("h", &[("e1", &engine)], &[]))
            .status
            .success()
    );
    let instance = site.instance("i1", "h");
    until_serving(&instance).await;
    let entry = instance.address("caller");
    let base = || reqwest::Client::new().post(format!("http://{entry}/v1/completions"));
    let keyed = || base().bearer_auth(KEY);
    let good = json!({"model": "m", "prompt": "hello"});
    let cases = [
        ("no key", base().json(&good), 401, "unauthorized"),
        (
            "wrong key",
            base().bearer_auth("nobody").json(&good),
            401,
            "unauthorized",
        ),
        ("not JSON", keyed().body("{"), 400, "bad_request"),
        ("empty", keyed().body(""), 400, "bad_request"),
        (
            "no prompt",
            keyed().json(&json!({"model": "m"})),
            400,
            "bad_request",
        ),
        (
            "zero tokens",
            keyed().json(&json!({"model": "m", "prompt": "x", "max_tokens": 0})),
            400,
            "bad_request",
        ),
        (
            "unknown model",
            keyed().json(&json!({"model": "n", "prompt": "x"})),
            404,
            "unknown_model",
        ),
        (
            "too large",
            keyed().body("x".repeat(2 << 20)),
            413,
            "too_large",
        ),
        (
            "unknown value",
            keyed().header("Larkwick-Repeatable", "maybe").json(&good),
            400,
            "bad_request",
        ),
        (
            "unknown header",
            keyed().header("Larkwick-Repeatble", "false").json(&good),
            400,
            "bad_request",
        ),
        (
            "bad ticket",
            keyed().header("Larkwick-Ticket", "x").json(&good),
            400,
            "bad_request",
        ),
        (
            "bad event id",
            keyed().header("Last-Event-ID", "x").json(&good),
            400,
            "bad_request",
        ),
        (
            "key without ticket",
            keyed().header("Idempotency-Key", "k").json(&good),
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
        let answered = send(request).await;
        assert_eq!(
            (answered.status, answered.kind()),
            (status, kind),
            "{name}: {answered:?}"
        );
        assert_eq!(answered.outcome(), "not_run", "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_status_dump_metrics_drain() {
    let mut site = Site::new();
    site.times["entries_valid_ms"] = json!(100);
    let engine = site.engine("e1", &spec());
    assert!(
        site.publish(&objects("h", &[("e1", &engine)], &[]))
            .status
            .success()
    );
    let mut instance = site.instance("i1", "h");
    until_serving(&instance).await;
    let operator = instance.address("operator");
    let status = tool(&["status", "--operator", &operator, "--json"]);
    let status: Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status["phase"], "serving");
    let state = dump(&instance).await;
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
    let on_callers =
        reqwest::get(format!("http://{}/debug/state", instance.address("caller"))).await;
    assert_eq!(on_callers.expect("answer").status().as_u16(), 404);
    let platform = site.platform.address("address");
    let shown = tool(&["config", "show", "--platform", &platform]);
    assert!(String::from_utf8_lossy(&shown.stdout).contains("endpoint/e1"));
    let history = tool(&["config", "history", "--platform", &platform]);
    assert!(String::from_utf8_lossy(&history.stdout).contains("accepted"));
    assert!(tool(&["drain", "--operator", &operator]).status.success());
    until("the instance has stopped", || {
        let ended = instance.ended_well();
        async move { ended == Some(true) }
    })
    .await;
}
