//! Starts at a site with hundreds of members. On e90ef0b each of 985 instances read the lists of
//! members and endpoints from the store for itself, page by page; the store's link was busy for
//! seconds, and no list got round (served 0.506 of a rough day).

mod support;

use larkwick::standin::site::server::ServerKind;
use serde_json::json;
use support::site::{Instance, RoutedSite, wait_until};

/// More members than fit into a sample.
const MEMBERS: usize = 400;
/// More endpoints than fit into a page of the store, and than a peer keeps records of.
const ENDPOINTS: usize = 600;

/// Writes entries of members that are small and do not answer.
fn list_members(site: &RoutedSite) {
    for number in 0..MEMBERS {
        let name = format!("member-{number}");
        let entry = json!({
            "name": name, "incarnation": uuid::Uuid::new_v4(), "hall": "hall-1",
            "caller_address": "127.0.0.1:9", "peer_address": "127.0.0.1:9",
            "processor_cores": 0.01, "link_mbps": 10.0,
        });
        site.standin.store.put("keyed.status", &name, &entry);
    }
}

async fn wait_for_members(instance: &Instance) {
    wait_until("members known", async || {
        let state = instance.state().await;
        state["members"]
            .as_array()
            .is_some_and(|members| members.len() >= MEMBERS)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_at_large_site_members_read_from_a_member_of_the_sample() {
    let site = RoutedSite::start(1).await;
    let first = site.start_instance("n1").await;
    list_members(&site);
    wait_for_members(&first).await;
    let second = site.start_instance("n2").await;
    wait_for_members(&second).await;
    assert!(second.has_log_line("members read from a sample"));
    let response = second.call("/calls/a", "one").await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// The members of the sample may all be gone.
#[tokio::test(flavor = "multi_thread")]
async fn start_at_large_site_sample_is_dead_members_read_from_the_store() {
    let site = RoutedSite::start(1).await;
    list_members(&site);
    let instance = site.start_instance("n1").await;
    wait_for_members(&instance).await;
    let response = instance.call("/calls/a", "one").await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// A compacted log cannot be replayed; the list is read page by page.
#[tokio::test(flavor = "multi_thread")]
async fn start_with_compacted_log_all_endpoints_known() {
    let site = RoutedSite::start(0).await;
    let server = site
        .standin
        .start_unlisted_server("app", ServerKind::Plain)
        .await
        .expect("server starts");
    for number in 0..ENDPOINTS {
        let entry = larkwick::standin::site::SiteStandin::server_entry(&server, &json!({}));
        let id = format!("endpoint-{number}");
        site.standin.store.put("keyed.servers", &id, &entry);
    }
    let replaying = site.start_instance("n1").await;
    site.standin.store.compact("keyed.servers");
    let paging = site.start_instance("n2").await;
    for instance in [&replaying, &paging] {
        wait_until("endpoints known", async || {
            let state = instance.state().await;
            state["endpoints"]
                .as_object()
                .is_some_and(|all| all.len() == ENDPOINTS)
        })
        .await;
    }
}
