//! Token delivery: a caller receives each token once, in order and from a single generation, and
//! only the response to its own request, also if engine responses are late or mixed up.

mod support;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    Process, Site, StreamResult, TcpLink, complete, config_objects, get_json, read_stream,
    set_faults, streamed_completion, wait_for_peers, wait_until, wait_until_serving,
};

const ALL_TOKENS: usize = usize::MAX;

fn engine_spec() -> Value {
    json!({"step_us": 5000})
}

/// Returns a request for `tokens` tokens, which are the same on every engine.
fn long_request(tokens: u32) -> Value {
    json!({"prompt": format!("#length={tokens} x"), "seed": 7, "max_tokens": 5000})
}

/// Reads a stream to its end and checks that it completes.
async fn read_full_stream(entry: &str, tokens: u32) -> StreamResult {
    let streamed = read_stream(
        streamed_completion(entry, &long_request(tokens)),
        ALL_TOKENS,
    )
    .await;
    assert_eq!(streamed.end, "done", "{streamed:?}");
    streamed
}

/// Two engines and two entries in one hall.
struct Cluster {
    site: Site,
    engines: Vec<Process>,
    entries: Vec<Process>,
}

async fn start_cluster(reproducible: bool) -> Cluster {
    let site = Site::new();
    let engines = vec![
        site.start_engine("e1", &engine_spec()),
        site.start_engine("e2", &engine_spec()),
    ];
    let mut published = config_objects("h", &[("e1", &engines[0]), ("e2", &engines[1])], &[]);
    published[1]["reproducible"] = json!(reproducible);
    site.publish_accepted(&published);
    let entries = vec![
        site.start_instance("i1", "h"),
        site.start_instance("i2", "h"),
    ];
    for entry in &entries {
        wait_for_peers(entry, 1).await;
        wait_until_serving(entry).await;
    }
    Cluster {
        site,
        engines,
        entries,
    }
}

/// Returns the index of the engine that generates a stream, read from its event ids.
fn engine_of(streamed: &StreamResult) -> usize {
    usize::from(streamed.ids[0].starts_with("e2~"))
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_stream_resumed_at_another_entry() {
    let mut cluster = start_cluster(false).await;
    let (first, second) = (
        cluster.entries[0].address("caller"),
        cluster.entries[1].address("caller"),
    );
    let expected = read_full_stream(&second, 200).await;
    let reader = tokio::spawn(async move {
        read_stream(streamed_completion(&first, &long_request(200)), ALL_TOKENS).await
    });
    tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    cluster.entries[0].kill();
    let first_part = reader.await.expect("reader");
    assert_eq!(first_part.end, "cut", "{first_part:?}");
    let last = first_part
        .ids
        .last()
        .expect("tokens arrived before the kill");
    let resumed = streamed_completion(&second, &long_request(200)).header("Last-Event-ID", last);
    let second_part = read_stream(resumed, ALL_TOKENS).await;
    assert_eq!(second_part.end, "done", "{second_part:?}");
    let indices: Vec<u32> = [first_part.indices(), second_part.indices()].concat();
    assert_eq!(indices, (0..200).collect::<Vec<_>>());
    assert_eq!(first_part.text + &second_part.text, expected.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_killed_generation_lost() {
    let mut cluster = start_cluster(false).await;
    let entry = cluster.entries[0].address("caller");
    let started = read_stream(streamed_completion(&entry, &long_request(2000)), 20).await;
    let engine = engine_of(&started);
    let last = started.ids.last().expect("tokens").clone();
    let reader = tokio::spawn(async move {
        read_stream(
            streamed_completion(&entry, &long_request(2000)).header("Last-Event-ID", last),
            ALL_TOKENS,
        )
        .await
    });
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    cluster.engines[engine].kill();
    let streamed = reader.await.expect("reader");
    assert_eq!(
        streamed.end, "error",
        "an aborted stream must not look complete"
    );
    assert_eq!(streamed.last["error"]["kind"], "generation_lost");
    assert_eq!(streamed.last["error"]["outcome"], "ran_partly");
    drop(cluster.site);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_killed_stream_replayed_and_verified() {
    let mut cluster = start_cluster(true).await;
    let entry = cluster.entries[0].address("caller");
    let expected = read_full_stream(&entry, 300).await;
    let target = entry.clone();
    let reader = tokio::spawn(async move {
        read_stream(streamed_completion(&target, &long_request(300)), ALL_TOKENS).await
    });
    // Kill the engine that generates the stream, once it has started.
    let mut generating = None;
    for _ in 0..200 {
        for (index, process) in cluster.engines.iter().enumerate() {
            let counters =
                get_json(format!("http://{}/counters", process.address("control"))).await;
            if counters["load"]["running"].as_u64() > Some(0) {
                generating = Some(index);
            }
        }
        if generating.is_some() {
            break;
        }
    }
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    cluster.engines[generating.expect("an engine is generating")].kill();
    let streamed = reader.await.expect("reader");
    assert_eq!(streamed.end, "done", "{:?}", streamed.last);
    assert_eq!(streamed.indices(), (0..300).collect::<Vec<_>>());
    assert_eq!(streamed.text, expected.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_duplicates_skips_and_cuts_each_token_delivered_once() {
    let cluster = start_cluster(false).await;
    let entry = cluster.entries[0].address("caller");
    let expected = read_full_stream(&entry, 100).await;
    for faults in [
        json!({"duplicate_every": 3}),
        json!({"skip_every": 7}),
        json!({"cut_after_tokens": 9}),
        json!({"duplicate_every": 2, "skip_every": 11, "cut_after_tokens": 13}),
    ] {
        for engine in &cluster.engines {
            set_faults(engine, &faults).await;
        }
        let streamed = read_full_stream(&entry, 100).await;
        assert_eq!(streamed.indices(), (0..100).collect::<Vec<_>>(), "{faults}");
        assert_eq!(streamed.text, expected.text, "{faults}");
        let generations: std::collections::BTreeSet<&str> = streamed
            .ids
            .iter()
            .filter_map(|id| Some(id.rsplit_once(':')?.0))
            .collect();
        assert_eq!(generations.len(), 1, "{faults}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn link_stalled_and_cut_stream_resumed() {
    let site = Site::new();
    let engine = site.start_engine("e1", &engine_spec());
    let link = TcpLink::open(engine.address("address")).await;
    let mut published = config_objects("h", &[("e1", &engine)], &[]);
    published[4]["address"] = json!(link.address);
    site.publish_accepted(&published);
    let instance = site.start_instance("i1", "h");
    wait_until_serving(&instance).await;
    let entry = instance.address("caller");
    let expected = read_full_stream(&entry, 300).await;
    let reader = tokio::spawn(async move {
        read_stream(streamed_completion(&entry, &long_request(300)), ALL_TOKENS).await
    });
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    link.cut();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    link.set_stalled(true);
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    link.set_stalled(false);
    link.cut();
    let streamed = reader.await.expect("reader");
    assert_eq!(streamed.end, "done", "{:?}", streamed.last);
    assert_eq!(streamed.indices(), (0..300).collect::<Vec<_>>());
    assert_eq!(streamed.text, expected.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_suspended_and_continued_stream_completes() {
    let cluster = start_cluster(false).await;
    let entry = cluster.entries[0].address("caller");
    let reader = tokio::spawn(async move {
        read_stream(streamed_completion(&entry, &long_request(200)), ALL_TOKENS).await
    });
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    for engine in &cluster.engines {
        engine.signal(Signal::SIGSTOP);
    }
    tokio::time::sleep(std::time::Duration::from_millis(1200)).await;
    for engine in &cluster.engines {
        engine.signal(Signal::SIGCONT);
    }
    let streamed = reader.await.expect("reader");
    assert_eq!(streamed.end, "done", "{:?}", streamed.last);
    assert_eq!(streamed.indices(), (0..200).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn mismatched_engine_responses_not_delivered() {
    let cluster = start_cluster(false).await;
    let entry = cluster.entries[0].address("caller");
    for engine in &cluster.engines {
        set_faults(engine, &json!({"cross_answers": true})).await;
    }
    let response = complete(&entry, &json!({"max_tokens": 5})).await;
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(response.outcome(), "unknown");
    // With one engine working again, a repeatable request is routed to it.
    set_faults(&cluster.engines[0], &json!({})).await;
    wait_until("the working engine answers", || async {
        complete(&entry, &json!({"max_tokens": 5})).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_each_own_response() {
    let cluster = start_cluster(false).await;
    let entry = cluster.entries[0].address("caller");
    let request = |seed: u32| json!({"prompt": "#length=30 x", "seed": seed, "max_tokens": 30});
    let mut expected = Vec::new();
    for seed in 0..20 {
        expected.push(complete(&entry, &request(seed)).await.body["choices"][0]["text"].clone());
    }
    let concurrent = futures::future::join_all((0..20).map(|seed| {
        let entry = entry.clone();
        async move { complete(&entry, &request(seed)).await }
    }))
    .await;
    for (response, expected) in concurrent.iter().zip(&expected) {
        assert_eq!(response.body["choices"][0]["text"], *expected);
    }
}
