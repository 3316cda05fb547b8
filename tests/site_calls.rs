//! Calls through real processes to a stand-in site: routes, API keys, retries, and requests that
//! must not run twice.

mod support;

use std::time::Duration;

use larkwick::kernel::route::RouteConfig;
use larkwick::standin::site::server::{ServerFault, ServerKind};
use larkwick::standin::site::store::StoreFault;
use larkwick::standin::site::{HOST, KEY};
use nix::sys::signal::Signal;
use support::proxy::LinkMode;
use support::site::{
    Instance, RoutedSite, WAIT_TIMEOUT, kill_until_refused, send_request, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Guards against a premature timeout. Fast responses shortened the learned timeout to a few
/// milliseconds, and a call whose only endpoint was slow once, on a busy machine, was answered with
/// a timeout although no other endpoint could be tried.
#[tokio::test(flavor = "multi_thread")]
async fn call_slow_response_no_other_endpoint_not_timed_out() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    for number in 0..60 {
        let response = instance.call("/calls/a", &format!("quick-{number}")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    site.apps[0].set_fault(ServerFault::RespondsLate);
    let response = instance.call("/calls/a", "late").await;
    assert_eq!(response.status, 200, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn call_through_one_instance_answered_unchanged() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    let response = instance.call("/calls/1", "a1").await;
    assert_eq!((response.status, response.body.as_str()), (200, "hello"));
    let runs = site.standin.servers_that_ran("a1");
    assert_eq!(runs.len(), 1);
    let server = site
        .apps
        .iter()
        .find(|app| app.id == runs[0])
        .expect("a server");
    let head = server.request_headers("a1").expect("its head");
    assert_eq!(head["larkwick-tenant"], "account-1");
    assert_eq!(head["larkwick-expect-instance"], runs[0].as_str());
    assert!(!head.contains_key("api-key"));
}

#[tokio::test(flavor = "multi_thread")]
async fn call_forged_system_headers_dropped() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    let forged_headers = [
        "larkwick-tenant",
        "hold",
        "kv-from",
        "kv-backup",
        "pin-ms",
        "priority",
    ];
    let mut request = instance.request("/calls/1", "f1");
    for name in forged_headers {
        request = request.header(name, "10.0.0.1:1/forged");
    }
    assert_eq!(send_request(request).await.status, 200);
    let head = site.apps[0].request_headers("f1").expect("its head");
    assert_eq!(head["larkwick-tenant"], "account-1");
    for name in &forged_headers[1..] {
        assert!(!head.contains_key(*name), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_invalid_request_rejected_and_not_forwarded() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    assert_eq!(instance.call("/nowhere/1", "b1").await.status, 404);
    let two_keys = instance
        .request("/calls/1", "b2")
        .header("api-key", "other");
    // Two keys in one request are as invalid as none.
    assert_eq!(send_request(two_keys).await.status, 400);
    let url = format!("http://{}/calls/1", instance.caller_address());
    let no_key = reqwest::Client::new()
        .post(url)
        .header("host", "site.example");
    let no_key = no_key.header("larkwick-request-id", "b3");
    assert_eq!(send_request(no_key).await.status, 401);
    for id in ["b1", "b2", "b3"] {
        assert!(site.standin.servers_that_ran(id).is_empty(), "{id}");
    }
}

/// Guards against request smuggling. hyper reads the chunks and ignores the content length; another
/// reader of the same bytes would take the second request for a body.
#[tokio::test(flavor = "multi_thread")]
async fn call_content_length_and_chunked_smuggled_request_not_run() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    let mut stream = tokio::net::TcpStream::connect(instance.caller_address())
        .await
        .expect("connected");
    let smuggled = format!(
        "POST /calls/1 HTTP/1.1\r\nhost: site.example\r\napi-key: {KEY}\r\nlarkwick-request-id: s1\r\n\
         content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nPOST /calls/2 HTTP/1.1\r\nhost: site.example\r\n\
         api-key: {KEY}\r\nlarkwick-request-id: s2\r\ncontent-length: 0\r\n\r\n"
    );
    stream
        .write_all(smuggled.as_bytes())
        .await
        .expect("written");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("closed");
    let response = String::from_utf8_lossy(&response);
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response:?}");
    assert!(site.standin.servers_that_ran("s2").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn call_once_response_lost_runs_once_and_reports_loss() {
    let site = RoutedSite::start(2).await;
    for app in &site.apps {
        app.set_fault(ServerFault::RunsAndCloses);
    }
    let instance = site.start_instance("n1").await;
    let response = instance.call("/once/1", "o1").await;
    // Must be neither 429 nor 503: those promise that the request did not run.
    assert_eq!(response.status, 502);
    assert_eq!(site.standin.servers_that_ran("o1").len(), 1);
}

/// Servers drop idle connections without closing them. At most one call is lost, and reported as
/// such; later calls use new connections.
#[tokio::test(flavor = "multi_thread")]
async fn call_once_idle_connections_dropped_at_most_one_call_lost() {
    let site = RoutedSite::start(0).await;
    let (_app, proxy) = site.start_app_behind_proxy().await;
    proxy.set_mode(LinkMode::DropsIdle(Duration::from_millis(250)));
    let instance = site.start_instance("n1").await;
    let together = (0..4).map(|number| {
        let id = format!("w{number}");
        send_request(instance.request("/once/1", &id))
    });
    for response in futures::future::join_all(together).await {
        assert_eq!(response.status, 200);
    }
    let mut statuses = Vec::new();
    for number in 0..4 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let id = format!("f{number}");
        statuses.push(instance.call("/once/1", &id).await.status);
        assert!(site.standin.servers_that_ran(&id).len() <= 1);
    }
    let lost = statuses.iter().filter(|status| **status == 502);
    assert!(lost.count() <= 1, "{statuses:?}");
    let answered = statuses.iter().filter(|status| **status == 200);
    assert!(answered.count() >= 3, "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn call_once_refused_by_one_server_runs_at_the_other() {
    let site = RoutedSite::start(2).await;
    site.apps[0].set_fault(ServerFault::Refuses);
    let instance = site.start_instance("n1").await;
    for number in 0..10 {
        let id = format!("r{number}");
        assert_eq!(instance.call("/once/1", &id).await.status, 200);
        assert_eq!(
            site.standin.servers_that_ran(&id),
            [site.apps[1].id.as_str()]
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_once_refused_by_all_servers_returns_retry_after() {
    let site = RoutedSite::start(1).await;
    site.apps[0].set_fault(ServerFault::Refuses);
    let instance = site.start_instance("n1").await;
    let response = instance.call("/once/1", "n1").await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some_and(|seconds| seconds > 0.0));
    assert!(site.standin.servers_that_ran("n1").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn call_repeatable_faults_answered_by_another_server() {
    let faults = [
        ServerFault::RunsAndCloses,
        ServerFault::RunsAndHangs,
        ServerFault::WrongRequestId,
        ServerFault::InternalError,
        ServerFault::Unsealed,
    ];
    for fault in faults {
        let site = RoutedSite::start(2).await;
        site.apps[0].set_fault(fault);
        let instance = site.start_instance("n1").await;
        for number in 0..6 {
            let response = instance.call("/calls/1", &format!("x{number}")).await;
            assert_eq!(
                (response.status, response.body.as_str()),
                (200, "hello"),
                "{fault:?}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_mismatched_response_not_forwarded() {
    let site = RoutedSite::start(1).await;
    site.apps[0].set_fault(ServerFault::WrongRequestId);
    let instance = site.start_instance("n1").await;
    assert_eq!(instance.call("/once/1", "c1").await.status, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_dead_server_costs_no_retry() {
    let site = RoutedSite::start(2).await;
    let instance = site.start_instance("n1").await;
    kill_until_refused(&site.apps[0]).await;
    for number in 0..20 {
        let response = instance.call("/once/1", &format!("d{number}")).await;
        assert_eq!(response.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn config_revoked_key_refused_also_during_an_outage_of_one_instances_store() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    assert_eq!(instance.call("/calls/1", "k1").await.status, 200);
    site.standin.publish(5, &["key-2"]);
    wait_until("refused", async || {
        instance.call("/calls/1", "k2").await.status == 401
    })
    .await;
    // A late publication of an older version has no effect.
    site.standin.publish(4, &[KEY]);
    site.standin.publish(6, &["key-3"]);
    wait_until("version 6", async || {
        instance.state().await["config_version"] == 6
    })
    .await;
    assert_eq!(instance.call("/calls/1", "k3").await.status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn config_history_compacted_newest_version_read() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    for version in 3..8 {
        site.standin.publish(version, &[KEY]);
        site.standin.store.compact("keyed.op");
    }
    wait_until("version 7", async || {
        instance.state().await["config_version"] == 7
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn config_unreadable_record_keeps_current_version() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    site.standin
        .publish_config(&serde_json::json!({"version": "no"}));
    wait_until("logged", async || {
        instance.has_log_line("record not read; what was known stays")
    })
    .await;
    assert_eq!(instance.call("/calls/1", "u1").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_serving_continues_and_catches_up() {
    for fault in [StoreFault::Busy, StoreFault::Unresponsive] {
        let site = RoutedSite::start(1).await;
        let instance = site.start_instance("n1").await;
        site.standin.store.set_fault(fault);
        wait_until("lost", async || instance.has_log_line("store lost")).await;
        assert_eq!(instance.call("/calls/1", "s1").await.status, 200);
        site.standin.publish(9, &[KEY]);
        site.standin.store.set_fault(StoreFault::None);
        wait_until("version 9", async || {
            instance.state().await["config_version"] == 9
        })
        .await;
        wait_until("logged", async || instance.has_log_line("store regained")).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_at_start_call_answered_as_not_run() {
    let site = RoutedSite::start(1).await;
    site.standin.store.set_fault(StoreFault::Busy);
    let instance = site.start_instance_unready("n1");
    let response = instance.call("/calls/1", "w1").await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert!(!instance.is_ready().await);
    site.standin.store.set_fault(StoreFault::None);
    instance.wait_until_ready().await;
}

/// Guards against a retry delay that ends during the outage. Callers retry once; with a delay of
/// half a second they met the same outage and their calls were lost.
#[tokio::test(flavor = "multi_thread")]
async fn store_down_at_start_callers_get_long_retry_after() {
    let site = RoutedSite::start(1).await;
    site.standin.store.set_fault(StoreFault::Busy);
    let instance = site.start_instance_with_hold("n1", Duration::from_millis(10));
    // The first calls may arrive before the store has failed.
    wait_until("long retry-after", async || {
        let response = instance.call("/calls/1", "w2").await;
        assert_eq!(response.status, 503);
        response.retry_after.is_some_and(|seconds| seconds >= 2.0)
    })
    .await;
    site.standin.store.set_fault(StoreFault::None);
    instance.wait_until_ready().await;
    assert_eq!(instance.call("/calls/1", "w3").await.status, 200);
}

/// Guards against an instance that has not read the list and says that there is no endpoint, or no
/// room at the engines.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_unknown_at_start_refused_as_not_ready() {
    let site = RoutedSite::start(1).await;
    let endpoints_topic = StoreFault::BusyTopic("keyed.servers");
    site.standin.store.set_fault(endpoints_topic);
    let instance = site.start_instance_with_hold("n1", Duration::from_millis(10));
    wait_until("configuration known", async || {
        instance.state().await["config_version"] != 0
    })
    .await;
    for request in [
        instance.request("/calls/1", "call"),
        instance.generation(2, "generation"),
    ] {
        let response = send_request(request).await;
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
        assert!(
            response.body.contains("knows no endpoints yet"),
            "{response:?}"
        );
    }
    site.standin.store.set_fault(StoreFault::None);
    instance.wait_until_ready().await;
    assert_eq!(instance.call("/calls/1", "after").await.status, 200);
}

/// Guards against refusing calls at once during a store outage at startup. Callers retry once and
/// soon, so they were refused twice in the same outage.
#[tokio::test(flavor = "multi_thread")]
async fn store_down_at_start_call_held_until_store_returns() {
    let site = RoutedSite::start(1).await;
    site.standin.store.set_fault(StoreFault::Busy);
    let instance = site.start_instance_with_hold("n1", WAIT_TIMEOUT);
    let caller = instance.caller();
    let response =
        tokio::spawn(async move { send_request(caller.request("/calls/1", "h1")).await });
    wait_until("held", async || instance.state().await["calls_held"] == 1).await;
    site.standin.store.set_fault(StoreFault::None);
    assert_eq!(response.await.expect("answered").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_at_start_held_caller_disconnects_call_not_run() {
    let site = RoutedSite::start(1).await;
    site.standin.store.set_fault(StoreFault::Busy);
    let instance = site.start_instance_with_hold("n1", WAIT_TIMEOUT);
    let caller = instance.caller();
    let leaving = tokio::spawn(async move { send_request(caller.request("/once/1", "h3")).await });
    wait_until("held", async || instance.state().await["calls_held"] == 1).await;
    leaving.abort();
    wait_until("gone", async || instance.state().await["calls_held"] == 0).await;
    site.standin.store.set_fault(StoreFault::None);
    instance.wait_until_ready().await;
    assert_eq!(instance.call("/once/1", "h4").await.status, 200);
    assert!(site.standin.servers_that_ran("h3").is_empty());
}

/// A call whose deadline leaves no time to serve it after the hold is not held.
#[tokio::test(flavor = "multi_thread")]
async fn store_down_at_start_short_deadline_refused_at_once() {
    let site = RoutedSite::start(1).await;
    site.standin.store.set_fault(StoreFault::Busy);
    let instance = site.start_instance_unready("n1");
    let request =
        reqwest::Client::new().post(format!("http://{}/calls/1", instance.caller_address()));
    let request = request.header("host", HOST).header("api-key", KEY);
    let request = request
        .header("larkwick-request-id", "h2")
        .header("larkwick-deadline-ms", "100");
    assert_eq!(send_request(request).await.status, 503);
    assert_eq!(instance.state().await["calls_held_so_far"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_at_start_configuration_read_from_member() {
    let site = RoutedSite::start(1).await;
    let first = site.start_instance("n1").await;
    let second = site.start_instance("n2").await;
    wait_until("both named", async || {
        first.directory_addresses().await.len() == 2
    })
    .await;
    site.standin.store.set_fault(StoreFault::Busy);
    wait_until("lost", async || first.has_log_line("store lost")).await;
    let seeds = [&first, &second];
    let third = site.start_instance_with_peers("n3", &seeds);
    third.wait_until_ready().await;
    assert_eq!(third.call("/once/1", "m1").await.status, 200);
    site.standin.publish(8, &[KEY]);
    site.standin.store.set_fault(StoreFault::None);
    wait_until("version 8", async || {
        third.state().await["config_version"] == 8
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_response_to_own_entry_lost_instance_serves() {
    let site = RoutedSite::start(1).await;
    site.standin.store.set_fault(StoreFault::LosesAppendReplies);
    let instance = site.start_instance("n1").await;
    assert_eq!(instance.call("/calls/1", "l1").await.status, 200);
    site.standin.store.set_fault(StoreFault::None);
    wait_until("written", async || {
        site.standin.store.keys("keyed.status") == ["n1"]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn directory_lists_live_members_without_dead_or_draining_ones() {
    let site = RoutedSite::start(1).await;
    let first = site.start_instance("n1").await;
    let mut second = site.start_instance("n2").await;
    let third = site.start_instance("n3").await;
    wait_until("all named", async || {
        first.directory_addresses().await.len() == 3
    })
    .await;
    let leaving = second.caller_address();
    second.signal(Signal::SIGTERM);
    wait_until("n2 not named", async || {
        !first.directory_addresses().await.contains(&leaving)
    })
    .await;
    wait_until("n2 ended", async || second.exit_success().is_some()).await;
    assert_eq!(second.exit_success(), Some(true));
    third.signal(Signal::SIGKILL);
    wait_until("n3 not named", async || {
        first.directory_addresses().await.len() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_call_in_flight_answered() {
    let site = RoutedSite::start(1).await;
    let engine = site.start_engine().await;
    let mut instance = site.start_instance("n1").await;
    wait_until("engine known", async || {
        instance.state().await["endpoints"][&engine.id].is_object()
    })
    .await;
    let generation = tokio::spawn(send_request(instance.generation(60, "g1")));
    wait_until("running", async || engine.running_count() == 1).await;
    instance.signal(Signal::SIGTERM);
    let response = generation.await.expect("answered");
    assert!(response.is_complete);
    wait_until("ended", async || instance.exit_success() == Some(true)).await;
    wait_until("logged", async || instance.has_log_line("instance stopped")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_draining_gets_no_new_work() {
    for (number, vanish) in [(0, false), (1, true)] {
        let site = RoutedSite::start(2).await;
        let instance = site.start_instance("n1").await;
        let leaving = &site.apps[number];
        if vanish {
            site.standin.unlist_server(leaving);
        } else {
            site.standin.list_server(leaving, "draining");
        }
        wait_until("known", async || {
            let state = instance.state().await;
            state["endpoints"][&leaving.id]["standing"] == "leaving"
        })
        .await;
        if !vanish {
            // Its announcement that it drains is final, whatever the list says later.
            site.standin.list_server(leaving, "ready");
        }
        for call in 0..20 {
            let id = format!("e{number}-{call}");
            assert_eq!(instance.call("/once/1", &id).await.status, 200);
            assert_ne!(site.standin.servers_that_ran(&id), [leaving.id.as_str()]);
        }
        assert!(instance.metrics().await.contains("larkwick_calls_total"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_all_unlisted_together_still_used() {
    let site = RoutedSite::start(3).await;
    let instance = site.start_instance("n1").await;
    site.standin.store.set_fault(StoreFault::Busy);
    wait_until("lost", async || instance.has_log_line("store lost")).await;
    for app in &site.apps {
        site.standin.unlist_server(app);
    }
    site.standin.store.set_fault(StoreFault::None);
    wait_until("regained", async || instance.has_log_line("store regained")).await;
    assert_eq!(instance.call("/once/1", "v1").await.status, 200);
    for app in &site.apps {
        site.standin.list_server(app, "ready");
    }
    wait_until("listed again", async || {
        let state = instance.state().await;
        let endpoints = state["endpoints"].as_object().expect("endpoints").clone();
        endpoints
            .values()
            .all(|endpoint| endpoint["standing"] == "ready")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn readers_at_most_two_instances_read_the_store() {
    let site = RoutedSite::start(1).await;
    let mut instances = Vec::new();
    for number in 0..6 {
        instances.push(site.start_instance(&format!("n{number}")).await);
    }
    for instance in &instances {
        wait_until("all named", async || {
            instance.directory_addresses().await.len() == 6
        })
        .await;
    }
    site.standin.publish(7, &[KEY]);
    for instance in &instances {
        wait_until("version 7", async || {
            instance.state().await["config_version"] == 7
        })
        .await;
    }
    let reads_through_a_peer = |instance: &Instance| {
        let read = instance.logged("store read through");
        read.iter().any(|fields| {
            let source = fields["source"].as_str().unwrap_or_default();
            source.starts_with("Peer")
        })
    };
    wait_until("all but two readers read through peers", async || {
        let through_peers = instances.iter().filter(|one| reads_through_a_peer(one));
        through_peers.count() >= 4
    })
    .await;
}

/// Returns the source through which an instance last read a subject.
fn source_of(instance: &Instance, subject: &str) -> String {
    let read = instance.logged("store read through").into_iter();
    let mut used = read.filter(|fields| fields["subject"] == subject);
    let last = used.next_back().map(|fields| fields["source"].clone());
    last.and_then(|source| source.as_str().map(str::to_owned))
        .unwrap_or_default()
}

/// Guards against serving a revoked key: it was accepted for seconds when both readers were cut off
/// at once.
#[tokio::test(flavor = "multi_thread")]
async fn readers_suspended_configuration_applied_at_all_others() {
    let site = RoutedSite::start(1).await;
    let mut instances = Vec::new();
    for number in 0..5 {
        instances.push(site.start_instance(&format!("n{number}")).await);
    }
    for instance in &instances {
        wait_until("all named", async || {
            instance.directory_addresses().await.len() == 5
        })
        .await;
    }
    let reads_itself = |one: &&Instance| source_of(one, "configuration") == "Store";
    wait_until("two readers", async || {
        instances.iter().filter(reads_itself).count() == 2
    })
    .await;
    let (readers, others): (Vec<&Instance>, Vec<&Instance>) =
        instances.iter().partition(|one| reads_itself(one));
    for reader in &readers {
        reader.signal(Signal::SIGSTOP);
    }
    site.standin.publish(12, &["key-2"]);
    for other in others {
        wait_until("refused", async || {
            other.call("/calls/1", "z1").await.status == 401
        })
        .await;
    }
    for reader in &readers {
        reader.signal(Signal::SIGCONT);
        wait_until("refused", async || {
            reader.call("/calls/1", "z2").await.status == 401
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects_before_first_event_work_ends() {
    let site = RoutedSite::start(1).await;
    let engine = site.start_engine().await;
    engine.set_fault(ServerFault::RunsAndHangs);
    let plain = site.standin.start_server("app", ServerKind::Plain).await;
    plain.expect("server").set_fault(ServerFault::RunsAndHangs);
    let instance = site.start_instance("n1").await;
    let waiting = tokio::spawn(instance.generation(5, "q1").send());
    wait_until("sent", async || {
        !site.standin.servers_that_ran("q1").is_empty()
    })
    .await;
    waiting.abort();
    wait_until("no call left", async || {
        instance.state().await["calls"] == 0
    })
    .await;
}

/// Guards against a leak in the in-flight counter. Calls whose callers disconnected were counted as
/// in flight forever, so that older endpoints got less and less work.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnects_endpoint_counts_no_call_in_flight() {
    let site = RoutedSite::start(1).await;
    let app = &site.apps[0];
    app.set_fault(ServerFault::RunsAndHangs);
    let instance = site.start_instance("n1").await;
    let in_flight =
        async || instance.state().await["endpoints"][&app.id]["calls_in_flight"].clone();
    let waiting = tokio::spawn(instance.request("/once/1", "h1").send());
    wait_until("sent", async || in_flight().await == 1).await;
    waiting.abort();
    wait_until("none in flight", async || in_flight().await == 0).await;
}

/// The configuration survives the encoding in which members pass it to each other.
#[test]
fn config_encoding_between_members_lossless() {
    let text = r#"{"version":3,"routes":[{"name":"r","host":"h","path-prefix":"/p/","kind":"stream","service":"s",
        "timeout-ms":6000,"goal-ms":1500,"max-attempts":1,"gap_aim_ms":180}],"services":[{"name":"s","max-conns":5}]}"#;
    let config =
        larkwick::platform::operator_config::decode(text.as_bytes()).expect("a configuration");
    let passed = serde_json::to_string(&config).expect("encoded");
    let read: RouteConfig = serde_json::from_str(&passed).expect("decoded");
    assert_eq!(read, config);
}

/// Guards against retry budgets whose shares add up to more than the whole budget. Each instance
/// computed its share only once, at its first call: one that knew no other instance then kept the
/// whole budget permanently. After a loss of all instances, the shares of 62 instances added up to
/// 7.6 times the budget (942 retries in 10 s, 802 allowed).
///
/// Here the first instance knows no other when it is first called. With that fault, all instances
/// together made 102 retries where 84 are allowed.
#[tokio::test(flavor = "multi_thread")]
async fn retries_instances_join_total_within_budget() {
    /// Retries of this many calls exhaust the budget of an instance that is alone.
    const CALLS_OF_FIRST: usize = 60;
    const CALLS_OF_OTHERS: usize = 20;
    let site = RoutedSite::start(2).await;
    let mut instances = vec![site.start_instance("n0").await];
    instances[0].call("/calls/a", "alone").await;
    for number in 1..4 {
        let instance = site.start_instance_with_peers(&format!("n{number}"), &[&instances[0]]);
        instance.wait_until_ready().await;
        instances.push(instance);
    }
    for instance in &instances {
        wait_until("all are known", async || {
            instance.state().await["members"].as_array().map(Vec::len) == Some(3)
        })
        .await;
    }
    for app in &site.apps {
        app.set_fault(ServerFault::InternalError);
    }
    let mut calls = 0;
    for (number, instance) in instances.iter().enumerate() {
        let count = if number == 0 {
            CALLS_OF_FIRST
        } else {
            CALLS_OF_OTHERS
        };
        for call in 0..count {
            instance
                .call("/calls/a", &format!("f{number}-{call}"))
                .await;
        }
        calls += count;
    }
    let arrived = site.standin.arrivals().len() - 1;
    let retries = f64::from(u32::try_from(arrived - calls).expect("few"));
    let allowed = 0.2 * f64::from(u32::try_from(calls).expect("few")) + 60.0;
    assert!(retries <= allowed, "{retries} of {allowed}");
}

/// Guards against a promise that nobody made: an endpoint's 503 without its word that nothing ran tells
/// callers that they may send the request again.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_refuses_without_its_word_caller_not_promised_that_nothing_ran() {
    let site = RoutedSite::start(1).await;
    let engine = site.start_engine().await;
    site.apps[0].set_fault(ServerFault::RunsAndRefuses);
    engine.set_fault(ServerFault::RunsAndRefuses);
    let instance = site.start_instance("n1").await;
    wait_until("engine known", async || {
        instance.state().await["endpoints"][&engine.id].is_object()
    })
    .await;
    for (path, status) in [("/once/1", 502), ("/chat/2", 502), ("/calls/1", 503)] {
        let id = format!("refused-{}", path.len());
        let request = instance.request(path, &id);
        let request = request.header("larkwick-model", "m");
        let response = send_request(request.header("larkwick-token-count", "1000,8")).await;
        assert_eq!(response.status, status, "{path}: {response:?}");
        assert!(!site.standin.servers_that_ran(&id).is_empty(), "{path}");
    }
}
