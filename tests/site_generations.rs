//! End-to-end tests of generations, with real processes and a stand-in site: they are complete, in
//! order, and moved off engines that leave.

mod support;

use larkwick::standin::site::server::{Server, ServerFault};
use larkwick::standin::site::{HOST, KEY};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::site::{
    HttpResponse, RoutedSite, event_numbers, kill_until_refused, send_request, wait_until,
};

fn assert_complete(response: &HttpResponse, events: u32) {
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    let expected: Vec<u32> = (1..=events).collect();
    assert_eq!(event_numbers(&response.body), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_delivers_each_event_once_in_order() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    let response = send_request(instance.generation(20, "g1")).await;
    assert_complete(&response, 20);
    assert_eq!(site.standin.servers_that_ran("g1"), [engine.id.as_str()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_leaves_moved_without_second_run() {
    for vanish in [false, true] {
        let site = RoutedSite::start(0).await;
        let leaving = site.start_engine().await;
        let instance = site.start_instance("n1").await;
        let running: Vec<_> = (0..3)
            .map(|number| {
                tokio::spawn(send_request(instance.generation(80, &format!("m{number}"))))
            })
            .collect();
        wait_until("generations running", async || leaving.running_count() == 3).await;
        let staying = site.start_engine().await;
        wait_until("both engines known", async || {
            instance.state().await["endpoints"][&staying.id].is_object()
        })
        .await;
        if vanish {
            site.standin.unlist_server(&leaving);
        } else {
            site.standin.list_server(&leaving, "draining");
        }
        wait_until("generations moved", async || staying.running_count() == 3).await;
        leaving.kill().await;
        for (number, generation) in running.into_iter().enumerate() {
            let response = generation.await.expect("response received");
            assert_complete(&response, 80);
            let runs = site.standin.servers_that_ran(&format!("m{number}"));
            assert_eq!(runs, [leaving.id.as_str()]);
        }
    }
}

/// An engine that seems to have room refuses every copy; the other one gets all of them before their
/// engine ends. None is made while the caller of another generation waits for its last step.
#[tokio::test(flavor = "multi_thread")]
async fn generation_scheduled_move_refused_other_target_tried() {
    let site = RoutedSite::start(0).await;
    let leaving = site.start_engine().await;
    let settings = json!({"load": {"scheduled_moves": true}});
    let instance = site.start_instance_with_settings("n1", settings);
    instance.wait_until_ready().await;
    let running: Vec<_> = (0..3)
        .map(|number| tokio::spawn(send_request(instance.generation(80, &format!("s{number}")))))
        .collect();
    wait_until("generations running", async || leaving.running_count() == 3).await;
    let refusing = site.start_engine().await;
    refusing.set_fault(ServerFault::RefusesCopies);
    let staying = site.start_engine().await;
    wait_until("all engines known", async || {
        let state = instance.state().await;
        let mut engines = [&refusing, &staying].into_iter();
        engines.all(|engine| state["endpoints"][&engine.id].is_object())
    })
    .await;
    site.standin.list_server(&leaving, "draining");
    wait_until("generations moved", async || staying.running_count() == 3).await;
    assert_eq!(site.standin.copies_at_once_max(), 1);
    leaving.kill().await;
    for (number, generation) in running.into_iter().enumerate() {
        assert_complete(&generation.await.expect("response received"), 80);
        let runs = site.standin.servers_that_ran(&format!("s{number}"));
        assert_eq!(runs, [leaving.id.as_str()]);
    }
}

/// Guards against copies of moves that were given up: each takes memory and a slot at its target.
#[tokio::test(flavor = "multi_thread")]
async fn generation_scheduled_move_given_up_copy_freed() {
    for is_scheduled in [false, true] {
        let site = RoutedSite::start(0).await;
        let leaving = site.start_engine().await;
        leaving.set_fault(ServerFault::RefusesStops);
        let settings = json!({"load": {"scheduled_moves": is_scheduled}});
        let instance = site.start_instance_with_settings("n1", settings);
        instance.wait_until_ready().await;
        let running = tokio::spawn(send_request(instance.generation(60, "f1")));
        wait_until("generation running", async || leaving.running_count() == 1).await;
        let staying = site.start_engine().await;
        wait_until("both engines known", async || {
            instance.state().await["endpoints"][&staying.id].is_object()
        })
        .await;
        site.standin.list_server(&leaving, "draining");
        assert_complete(&running.await.expect("response received"), 60);
        let is_freed = async || site.standin.copy_count() == 0;
        if is_scheduled {
            wait_until("copy freed", is_freed).await;
            // The stand-in has freed the copy before the instance reads its response.
            let is_logged = async || instance.has_log_line("copy of a move freed");
            wait_until("logged", is_logged).await;
        } else {
            assert!(!is_freed().await, "a copy was made");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_target_without_capacity_continues_at_source() {
    let site = RoutedSite::start(0).await;
    let leaving = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    let running = tokio::spawn(send_request(instance.generation(40, "t1")));
    wait_until("generations running", async || leaving.running_count() == 1).await;
    let full = site.start_engine().await;
    full.set_fault(ServerFault::RefusesCopies);
    wait_until("both engines known", async || {
        instance.state().await["endpoints"][&full.id].is_object()
    })
    .await;
    site.standin.list_server(&leaving, "draining");
    assert_complete(&running.await.expect("response received"), 40);
}

/// Guards against a cut generation when the target of a move has lost the memory copy and refuses
/// to resume: the stopped engine still has the memory and must be asked.
#[tokio::test(flavor = "multi_thread")]
async fn generation_target_refuses_resume_falls_back_to_source() {
    let site = RoutedSite::start(0).await;
    let leaving = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    let running = tokio::spawn(send_request(instance.generation(24, "t2")));
    wait_until("generations running", async || leaving.running_count() == 1).await;
    let without_copy = site.start_engine().await;
    without_copy.set_fault(ServerFault::DropsCopies);
    wait_until("both engines known", async || {
        instance.state().await["endpoints"][&without_copy.id].is_object()
    })
    .await;
    site.standin.list_server(&leaving, "draining");
    assert_complete(&running.await.expect("response received"), 24);
    assert_eq!(site.standin.servers_that_ran("t2"), [leaving.id.as_str()]);
}

/// Guards against copies at targets that refused to resume: each takes memory and a slot there.
#[tokio::test(flavor = "multi_thread")]
async fn generation_scheduled_move_refused_resume_copy_freed_at_target() {
    for is_scheduled in [false, true] {
        let site = RoutedSite::start(0).await;
        let leaving = site.start_engine().await;
        let settings = json!({"load": {"scheduled_moves": is_scheduled}});
        let instance = site.start_instance_with_settings("n1", settings);
        instance.wait_until_ready().await;
        let running = tokio::spawn(send_request(instance.generation(24, "r1")));
        wait_until("generation running", async || leaving.running_count() == 1).await;
        let refusing = site.start_engine().await;
        refusing.set_fault(ServerFault::DropsCopies);
        wait_until("both engines known", async || {
            instance.state().await["endpoints"][&refusing.id].is_object()
        })
        .await;
        site.standin.list_server(&leaving, "draining");
        assert_complete(&running.await.expect("response received"), 24);
        assert_eq!(site.standin.servers_that_ran("r1"), [leaving.id.as_str()]);
        let is_freed = async || site.standin.copy_count() == 0;
        if is_scheduled {
            wait_until("copy freed", is_freed).await;
        } else {
            assert!(!is_freed().await, "a copy was received");
        }
    }
}

/// Guards against a moved generation that continues with encoded bytes, although its caller was
/// told of no encoding.
#[tokio::test(flavor = "multi_thread")]
async fn generation_target_encodes_resumed_stream_falls_back_to_source() {
    let site = RoutedSite::start(0).await;
    let leaving = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    let running = tokio::spawn(send_request(instance.generation(24, "t3")));
    wait_until("generations running", async || leaving.running_count() == 1).await;
    let encoding = site.start_engine().await;
    encoding.set_fault(ServerFault::EncodesResumed);
    wait_until("both engines known", async || {
        instance.state().await["endpoints"][&encoding.id].is_object()
    })
    .await;
    site.standin.list_server(&leaving, "draining");
    assert_complete(&running.await.expect("response received"), 24);
    for engine in [&encoding, &leaving] {
        let headers = engine.request_headers("t3").expect("it was asked");
        assert!(headers.contains_key("kv-from"), "{headers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_killed_response_incomplete() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    let running = tokio::spawn(send_request(instance.generation(400, "d1")));
    wait_until("generations running", async || engine.running_count() == 1).await;
    engine.kill().await;
    let response = running.await.expect("response received");
    assert!(!response.is_complete);
    assert_eq!(site.standin.servers_that_ran("d1").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_dead_engine_tries_another_engine() {
    let site = RoutedSite::start(0).await;
    let dead = site.start_engine().await;
    let healthy = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    kill_until_refused(&dead).await;
    for number in 0..8 {
        let id = format!("p{number}");
        assert_complete(&send_request(instance.generation(2, &id)).await, 2);
        assert_eq!(site.standin.servers_that_ran(&id), [healthy.id.as_str()]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_all_engines_refuse_not_run_with_retry_after() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    engine.set_fault(ServerFault::Refuses);
    let instance = site.start_instance("n1").await;
    let response = send_request(instance.generation(5, "r1")).await;
    assert_eq!(response.status, 503);
    // The caller has 20 s left and retries only once: after one second the engines would still be
    // full.
    let retry_after = response.retry_after.expect("Retry-After present");
    assert!((2.9..=5.0).contains(&retry_after), "{retry_after}");
    assert!(site.standin.servers_that_ran("r1").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_refused_short_deadline_limits_retry_after() {
    let site = RoutedSite::start(0).await;
    site.start_engine().await.set_fault(ServerFault::Refuses);
    let instance = site.start_instance("n1").await;
    let request =
        reqwest::Client::new().post(format!("http://{}/chat/5", instance.caller_address()));
    let request = request.header("host", HOST).header("api-key", KEY);
    let request = request
        .header("larkwick-request-id", "r2")
        .header("larkwick-deadline-ms", "6000");
    let response = send_request(request.header("larkwick-token-count", "1000,20")).await;
    assert_eq!(response.status, 503);
    assert!(
        response.retry_after.is_some_and(|seconds| seconds <= 2.0),
        "{response:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_caller_disconnects_engine_stops() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    let mut response = instance
        .generation(4000, "l1")
        .send()
        .await
        .expect("generation started");
    response.chunk().await.expect("an event received");
    drop(response);
    wait_until("generation ended at the engine", async || {
        engine.running_count() == 0
    })
    .await;
}

/// Guards against accepting a long generation after the request to stop: it was cut when the
/// process exited.
#[tokio::test(flavor = "multi_thread")]
async fn generation_during_shutdown_accepted_only_if_it_can_finish() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    let mut instance = site.start_instance("n1").await;
    // Keeps the process running after the signal.
    let running = tokio::spawn(send_request(instance.generation(120, "s0")));
    wait_until("generations running", async || engine.running_count() == 1).await;
    instance.signal(Signal::SIGTERM);
    wait_until("shutdown announced", async || {
        instance.has_log_line("instance stopping")
    })
    .await;
    let long = send_request(instance.generation(600, "s1")).await;
    assert_eq!(long.status, 503);
    assert!(long.retry_after.is_some());
    assert!(site.standin.servers_that_ran("s1").is_empty());
    assert_complete(&send_request(instance.generation(4, "s2")).await, 4);
    assert_complete(&running.await.expect("response received"), 120);
    wait_until("process exited", async || {
        instance.exit_success() == Some(true)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_generations_still_moved_and_placed() {
    let site = RoutedSite::start(0).await;
    let leaving = site.start_engine().await;
    let mut instances = Vec::new();
    for number in 0..3 {
        instances.push(site.start_instance(&format!("n{number}")).await);
    }
    for instance in &instances {
        wait_until("all instances named", async || {
            instance.directory_addresses().await.len() == 3
        })
        .await;
    }
    // Any of the instances may own the engines; the one that serves the generation survives.
    let server = instances.remove(0);
    let running = tokio::spawn(send_request(server.generation(240, "k1")));
    wait_until("generations running", async || leaving.running_count() == 1).await;
    for other in &instances {
        other.signal(Signal::SIGKILL);
    }
    let staying = site.start_engine().await;
    wait_until("engine known", async || {
        server.state().await["endpoints"][&staying.id].is_object()
    })
    .await;
    site.standin.list_server(&leaving, "draining");
    assert_complete(&running.await.expect("response received"), 240);
    assert_complete(&send_request(server.generation(3, "k2")).await, 3);
    assert_eq!(site.standin.servers_that_ran("k2"), [staying.id.as_str()]);
}

/// Guards against a cut response on resumption: the relay treated the first remaining event as one
/// that follows a gap.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_caller_reconnects_receives_remaining_events() {
    let site = RoutedSite::start(0).await;
    let _engine = site.start_engine().await;
    let instance = site.start_instance("n1").await;
    let request = instance.request("/check/9", "c1");
    let request = request.header("larkwick-model", "m");
    let request = request.header("larkwick-token-count", "1000,36");
    let response = send_request(request.header("last-event-id", "4")).await;
    assert!(response.is_complete, "{response:?}");
    assert_eq!(event_numbers(&response.body), [5, 6, 7, 8, 9]);
}

/// Guards against a lost event: the events of a chunk before a missing one were dropped, while the
/// generation went on after them.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_engine_skips_event_in_a_chunk_no_event_missing() {
    let site = RoutedSite::start(0).await;
    let skipping = site.start_engine().await;
    skipping.set_fault(ServerFault::SkipsEvent);
    let instance = site.start_instance("n1").await;
    let running = tokio::spawn(send_request(
        instance.caller().resumable_generation(9, "skip"),
    ));
    wait_until("generation running", async || skipping.running_count() == 1).await;
    let _other = site.start_engine().await;
    wait_until("both engines known", async || {
        instance.state().await["endpoints"]
            .as_object()
            .is_some_and(|all| all.len() == 2)
    })
    .await;
    let response = running.await.expect("response received");
    let expected: Vec<u32> = (1..=9).collect();
    let received = event_numbers(&response.body);
    assert_eq!(received[..], expected[..received.len()], "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn resumable_engine_killed_restarts_at_another_engine() {
    let site = RoutedSite::start(0).await;
    let engines = [site.start_engine().await, site.start_engine().await];
    let instance = site.start_instance("n1").await;
    let running = tokio::spawn(send_request(
        instance.caller().resumable_generation(60, "c2"),
    ));
    let runs_generation = |engine: &Server| engine.running_count() == 1;
    wait_until("generations running", async || {
        engines.iter().any(|one| runs_generation(one))
    })
    .await;
    let killed = engines
        .iter()
        .find(|one| runs_generation(one))
        .expect("an engine runs the generation");
    killed.kill().await;
    assert_complete(&running.await.expect("response received"), 60);
    let runs = site.standin.servers_that_ran("c2");
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0], runs[1]);
}

/// The route allows two runs.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_engines_close_after_run_no_third_run() {
    let site = RoutedSite::start(0).await;
    for _ in 0..4 {
        site.start_engine()
            .await
            .set_fault(ServerFault::RunsAndCloses);
    }
    let instance = site.start_instance("n1").await;
    let response = send_request(instance.caller().resumable_generation(5, "c3")).await;
    assert!(
        response.status >= 500 && response.status != 503,
        "{response:?}"
    );
    assert_eq!(site.standin.servers_that_ran("c3").len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_closes_after_run_not_reported_as_not_run() {
    let site = RoutedSite::start(0).await;
    for _ in 0..2 {
        site.start_engine()
            .await
            .set_fault(ServerFault::RunsAndCloses);
    }
    let instance = site.start_instance("n1").await;
    let response = send_request(instance.generation(5, "c4")).await;
    assert_eq!(response.status, 502);
    assert_eq!(site.standin.servers_that_ran("c4").len(), 1);
}

/// The body of an error is not a stream of events.
#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_error_response_forwarded_whole() {
    let site = RoutedSite::start(0).await;
    let engine = site.start_engine().await;
    engine.set_fault(ServerFault::InternalError);
    let instance = site.start_instance("n1").await;
    let response = send_request(instance.generation(20, "g1")).await;
    assert_eq!(response.status, 500, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, "hello");
}

/// Pauses that an instance observes count in the owner's estimate, though none of the owner's own
/// generations runs on the engine.
#[tokio::test(flavor = "multi_thread")]
async fn engine_pace_observed_by_entry_known_to_owner() {
    let site = RoutedSite::start(0).await;
    let mut config = site.standin.default_config(3, &[KEY]);
    config["routes"][2]["gap_aim_ms"] = json!(180);
    site.standin.publish_config(&config);
    let engine = site.start_engine().await;
    let routing = json!({"load": {"engine_pace": true}});
    let instances =
        ["n1", "n2"].map(|name| site.start_instance_with_settings(name, routing.clone()));
    for instance in &instances {
        instance.wait_until_ready().await;
        wait_until("all instances named", async || {
            instance.directory_addresses().await.len() == 2
        })
        .await;
    }
    // The owner alone lists the engines in its ledger.
    let engine_at = async |number: usize| {
        let state: Value = instances[number].state().await;
        state["engines"]["llm"][&engine.id].clone()
    };
    assert_complete(&send_request(instances[0].generation(3, "s")).await, 3);
    wait_until("one owner", async || {
        engine_at(0).await.is_object() != engine_at(1).await.is_object()
    })
    .await;
    let owner = usize::from(engine_at(1).await.is_object());
    let entry = &instances[1 - owner];
    let requests = (0..8).map(|number| entry.generation(80, &format!("p{number}")));
    let running: Vec<_> = requests
        .map(|request| tokio::spawn(send_request(request)))
        .collect();
    for generation in running {
        assert_complete(&generation.await.expect("response received"), 80);
    }
    wait_until("pace known to the owner", async || {
        engine_at(owner).await["mean_pause_ms"].is_number()
    })
    .await;
}

/// Guards against taking the end of a call's time for a fault of its engine: a sound engine was reported
/// to have broken off, and the generation was moved to two others for one more event.
#[tokio::test(flavor = "multi_thread")]
async fn generation_time_up_ends_without_move_or_report() {
    let site = RoutedSite::start(0).await;
    for _ in 0..3 {
        site.start_engine().await;
    }
    let instance = site.start_instance("n1").await;
    wait_until("engines known", async || {
        let state = instance.state().await;
        state["endpoints"]
            .as_object()
            .is_some_and(|all| all.len() == 3)
    })
    .await;
    let caller = instance.caller();
    for (route, id) in [("chat", "t1"), ("check", "t2")] {
        let request = caller.request_with_deadline(&format!("/{route}/200"), id, "1000");
        let request = request.header("larkwick-model", "m");
        let response = send_request(request.header("larkwick-token-count", "1000,800")).await;
        assert!(!response.is_complete, "{response:?}");
        wait_until("end logged", async || {
            let ended = instance.logged("generation ended");
            ended.iter().any(|line| line["request_id"] == id)
        })
        .await;
        let ended = instance.logged("generation ended");
        let line = ended.iter().find(|line| line["request_id"] == id);
        assert_eq!(line.expect("logged")["why"], "no time left");
        assert_eq!(site.standin.servers_that_ran(id).len(), 1, "{route}");
    }
    for line in [
        "endpoint broke off",
        "generation taken over",
        "request sent again",
    ] {
        assert!(!instance.has_log_line(line), "{line}");
    }
}
