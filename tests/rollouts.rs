//! Roll-outs through real processes: a good version is completed, a bad one reverted, and what the
//! new version gets until then stays small.

mod support;

use std::sync::Arc;
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerFault, ServerKind};
use larkwick::standin::site::{KEY, SiteStandin};
use serde_json::json;
use support::site::{Instance, RoutedSite, wait_until};

/// Calls of one round; the tests repeat rounds until the roll-out is over.
const CALLS_PER_ROUND: usize = 20;

async fn start_version(site: &RoutedSite, version: &str, count: usize) -> Vec<Arc<Server>> {
    let mut servers = Vec::new();
    for _ in 0..count {
        let server = site
            .standin
            .start_unlisted_server("app", ServerKind::Plain)
            .await
            .expect("server starts");
        site.standin
            .list_server_with(&server, &json!({"version": version}));
        servers.push(server);
    }
    servers
}

/// Sends calls through the instances until the roll-out is over; returns how many were sent.
async fn call_until_final(standin: &SiteStandin, instances: &[&Instance]) -> usize {
    let mut sent = 0;
    wait_until("roll-out over", async || {
        for _ in 0..CALLS_PER_ROUND {
            let instance = instances[sent % instances.len()];
            instance.call("/calls/a", &format!("call-{sent}")).await;
            sent += 1;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
        let states = standin.rollout_states("app");
        states.last().is_some_and(|state| state != "running")
    })
    .await;
    sent
}

fn requests(servers: &[Arc<Server>]) -> usize {
    servers.iter().map(|server| server.request_count()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_good_version_completed_and_gets_all_calls() {
    let site = RoutedSite::start(3).await;
    let new = start_version(&site, "v2", 3).await;
    site.standin.order_rollout("app", "v2", 6.0);
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    call_until_final(&site.standin, &[&first, &second]).await;
    assert_eq!(site.standin.rollout_states("app"), ["running", "completed"]);
    for server in &site.apps {
        site.standin.unlist_server(server);
        server.kill().await;
    }
    wait_until("both know that it is completed", async || {
        let mut phases = Vec::new();
        for instance in [&first, &second] {
            phases.push(instance.state().await["rollouts"]["app"]["phase"].clone());
        }
        phases.iter().all(|phase| phase == "completed")
    })
    .await;
    let before = requests(&new);
    for number in 0..CALLS_PER_ROUND {
        let response = first.call("/calls/a", &format!("after-{number}")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert!(requests(&new) >= before + CALLS_PER_ROUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_failing_version_reverted_and_gets_nothing_more() {
    let site = RoutedSite::start(3).await;
    let new = start_version(&site, "v2", 3).await;
    for server in &new {
        server.set_fault(ServerFault::InternalError);
    }
    site.standin.order_rollout("app", "v2", 20.0);
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    let sent = call_until_final(&site.standin, &[&first, &second]).await;
    assert_eq!(site.standin.rollout_states("app"), ["running", "reverted"]);
    let exposed = requests(&new);
    assert!(exposed <= sent / 10 + 50, "{exposed} of {sent}");
    wait_until("both know that it is reverted", async || {
        let mut phases = Vec::new();
        for instance in [&first, &second] {
            phases.push(instance.state().await["rollouts"]["app"]["phase"].clone());
        }
        phases.iter().all(|phase| phase == "reverted")
    })
    .await;
    let before = requests(&new);
    for number in 0..CALLS_PER_ROUND {
        let response = second.call("/calls/a", &format!("after-{number}")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(requests(&new), before);
}

/// All instances are lost while the versions are compared, three times, and with them all evidence
/// and all counts. The bad version stays within the limit, and the roll-out has one result.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_all_instances_killed_in_the_middle_failing_version_reverted() {
    let site = RoutedSite::start(3).await;
    let new = start_version(&site, "v2", 3).await;
    for server in &new {
        server.set_fault(ServerFault::InternalError);
    }
    site.standin.order_rollout("app", "v2", 30.0);
    let mut sent = 0;
    for round in 1..=3 {
        let first = site.start_instance(&format!("first-{round}")).await;
        let second = site.start_instance(&format!("second-{round}")).await;
        let before = requests(&new);
        wait_until("compared", async || {
            for instance in [&first, &second] {
                instance.call("/calls/a", &format!("call-{sent}")).await;
                sent += 1;
            }
            requests(&new) > before
        })
        .await;
    }
    let first = site.start_instance("first").await;
    let second = site.start_instance("second").await;
    sent += call_until_final(&site.standin, &[&first, &second]).await;
    assert_eq!(site.standin.rollout_states("app"), ["running", "reverted"]);
    let exposed = requests(&new);
    assert!(exposed <= sent / 10 + 50, "{exposed} of {sent}");
}

/// Guards against an operator who is told for ever that a roll-out runs, and instances that start
/// and take it up again, because the store was restored from a copy without its result.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_store_restored_without_the_result_written_again() {
    let site = RoutedSite::start(3).await;
    let new = start_version(&site, "v2", 3).await;
    for server in &new {
        server.set_fault(ServerFault::InternalError);
    }
    site.standin.order_rollout("app", "v2", 30.0);
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    wait_until("running", async || {
        site.standin.rollout_states("app") == ["running"]
    })
    .await;
    let copy = site.standin.store.snapshot();
    call_until_final(&site.standin, &[&first, &second]).await;
    let _ = site.standin.store.restore(copy);
    wait_until("the result is written again", async || {
        site.standin.rollout_states("app") == ["running", "reverted"]
    })
    .await;
    let before = requests(&new);
    let third = site.start_instance("n3").await;
    for number in 0..CALLS_PER_ROUND {
        let response = third.call("/calls/a", &format!("after-{number}")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(requests(&new), before);
}

/// Guards against the result of an earlier roll-out, which is all that a restored store has, being
/// taken for the one that it lost.
#[tokio::test(flavor = "multi_thread")]
async fn rollout_store_restored_with_an_earlier_result_later_one_written_again() {
    let site = RoutedSite::start(3).await;
    let new = start_version(&site, "v2", 3).await;
    for server in &new {
        server.set_fault(ServerFault::InternalError);
    }
    let earlier = json!({"service": "app", "target-version": "v1", "state": "completed"});
    site.standin
        .store
        .put("keyed.status", "rollout/app", &earlier);
    site.standin.order_rollout("app", "v2", 30.0);
    let copy = site.standin.store.snapshot();
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    wait_until("running", async || {
        site.standin.rollout_states("app") == ["completed", "running"]
    })
    .await;
    call_until_final(&site.standin, &[&first, &second]).await;
    let _ = site.standin.store.restore(copy);
    wait_until("the later result is written again", async || {
        site.standin.rollout_states("app") == ["completed", "reverted"]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_without_endpoints_of_the_version_reverted_and_calls_served() {
    let site = RoutedSite::start(2).await;
    site.standin.order_rollout("app", "v2", 2.0);
    let instance = site.start_instance("n1").await;
    call_until_final(&site.standin, &[&instance]).await;
    assert_eq!(site.standin.rollout_states("app"), ["running", "reverted"]);
    let response = instance.call("/calls/a", "after").await;
    assert_eq!(response.status, 200, "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_unreadable_order_logged_and_calls_served() {
    let site = RoutedSite::start(2).await;
    let order = json!({"service": "app", "target-version": "v2"});
    site.standin.store.put("keyed.op", "rollout/app", &order);
    let instance = site.start_instance("n1").await;
    let response = instance.call("/calls/a", "one").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(instance.has_log_line("record not read; what was known stays"));
    assert!(site.standin.rollout_states("app").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_withdrawn_all_versions_used() {
    let site = RoutedSite::start(1).await;
    let new = start_version(&site, "v2", 1).await;
    site.standin.order_rollout("app", "v2", 300.0);
    let instance = site.start_instance("n1").await;
    wait_until("order known", async || {
        instance.state().await["rollouts"]["app"].is_object()
    })
    .await;
    site.standin.withdraw_rollout("app");
    wait_until("order forgotten", async || {
        instance.state().await["rollouts"]["app"].is_null()
    })
    .await;
    // An order that was withdrawn leaves nothing behind.
    site.standin.order_rollout("app", "v2", 0.0);
    wait_until("order without time reverted", async || {
        site.standin
            .rollout_states("app")
            .last()
            .is_some_and(|state| state == "reverted")
    })
    .await;
    site.standin.withdraw_rollout("app");
    wait_until("order forgotten", async || {
        instance.state().await["rollouts"]["app"].is_null()
    })
    .await;
    site.standin.order_rollout("app", "v2", 300.0);
    wait_until("order compared anew", async || {
        instance.state().await["rollouts"]["app"]["phase"]["canary"].is_object()
    })
    .await;
    site.standin.withdraw_rollout("app");
    wait_until("order forgotten", async || {
        instance.state().await["rollouts"]["app"].is_null()
    })
    .await;
    let mut number = 0;
    wait_until("new version used", async || {
        number += 1;
        instance.call("/calls/a", &format!("call-{number}")).await;
        requests(&new) > 0
    })
    .await;
}

/// A route's regions bind: a call is not sent elsewhere, and refused at once if no endpoint there
/// is listed.
#[tokio::test(flavor = "multi_thread")]
async fn allowed_regions_no_endpoint_there_refused_as_not_run() {
    let site = RoutedSite::start(1).await;
    let instance = site.start_instance("n1").await;
    let mut config = site.standin.default_config(3, &[KEY]);
    config["routes"][0]["allowed-regions"] = json!(["north"]);
    site.standin.publish_config(&config);
    wait_until("configuration in force", async || {
        instance.state().await["config_version"] == 3
    })
    .await;
    let response = instance.call("/calls/a", "restricted").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.retry_after.is_some(), "{response:?}");
    assert!(site.standin.servers_that_ran("restricted").is_empty());
    let response = instance.call("/once/a", "unrestricted").await;
    assert_eq!(response.status, 200, "{response:?}");
}
