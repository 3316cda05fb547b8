//! Restoring the store from an older copy: later writes are lost, and their offsets are reassigned
//! to other records.

mod support;

use larkwick::standin::site::server::ServerKind;
use larkwick::standin::site::{KEY, SiteStandin};
use serde_json::json;
use support::site::{RoutedSite, wait_until};

/// A reader that continued from its old offset would receive other records there and miss the new
/// records at lower offsets.
#[tokio::test(flavor = "multi_thread")]
async fn restored_copy_offsets_reassigned_no_records_missed() {
    let site = RoutedSite::start(1).await;
    let mut copy = site.standin.store.snapshot();
    let lost = site
        .standin
        .start_server("app", ServerKind::Plain)
        .await
        .unwrap();
    let instance = site.start_instance("n1").await;
    wait_until("endpoint listed", async || {
        instance.endpoint_availability(&lost).await == "ready"
    })
    .await;
    let new = site
        .standin
        .start_unlisted_server("app", ServerKind::Plain)
        .await
        .unwrap();
    // As many records as were lost, but of another endpoint.
    let entry = SiteStandin::server_entry(&new, &json!({}));
    copy.put("keyed.servers", &new.id, &entry);
    let _ = site.standin.store.restore(copy);
    site.standin.list_server(&lost, "ready");
    for server in [&new, &lost] {
        wait_until("endpoint listed after the restore", async || {
            instance.endpoint_availability(server).await == "ready"
        })
        .await;
    }
}

/// An order written after the restore gets a lower offset than the records read before it, and must
/// still be read.
#[tokio::test(flavor = "multi_thread")]
async fn restored_copy_hall_evacuated_at_lower_offset_evacuated() {
    let site = RoutedSite::start(2).await;
    let app = &site.apps[0];
    site.standin
        .list_server_with(app, &json!({"zone": "hall-9"}));
    let copy = site.standin.store.snapshot();
    for version in 3..9 {
        site.standin.publish(version, &[KEY]);
    }
    let first = site.start_instance("n1").await;
    let second = site.start_instance_with_peers("n2", &[&first]);
    second.wait_until_ready().await;
    let _ = site.standin.store.restore(copy);
    site.standin.evacuate_hall("hall-9");
    for instance in [&first, &second] {
        wait_until("hall evacuated", async || {
            instance.endpoint_availability(app).await == "evacuated"
        })
        .await;
    }
}

/// An evacuation order that the copy lacks stays in force until it is written again, and a revoked
/// API key stays revoked.
#[tokio::test(flavor = "multi_thread")]
async fn restored_copy_lacks_acknowledged_records_known_state_kept() {
    let site = RoutedSite::start(2).await;
    let app = &site.apps[0];
    site.standin
        .list_server_with(app, &json!({"zone": "hall-9"}));
    let copy = site.standin.store.snapshot();
    let instance = site.start_instance("n1").await;
    site.standin.evacuate_hall("hall-9");
    site.standin.publish(3, &["another-key"]);
    wait_until("hall evacuated", async || {
        instance.endpoint_availability(app).await == "evacuated"
    })
    .await;
    wait_until("key revoked", async || {
        instance.call("/once/a", "revoked").await.status == 401
    })
    .await;
    let before = site.standin.store.restore(copy);
    wait_until("restore logged", async || {
        instance.has_log_line("store came back from an older copy")
    })
    .await;
    for number in 0..20 {
        assert_eq!(instance.endpoint_availability(app).await, "evacuated");
        let response = instance.call("/once/a", &format!("still-{number}")).await;
        assert_eq!(response.status, 401, "{response:?}");
    }
    site.standin.store.replay_lost_writes(&before);
    site.standin.publish(4, &[KEY]);
    wait_until("next configuration in force", async || {
        instance.call("/once/a", "next").await.status == 200
    })
    .await;
    assert_eq!(instance.endpoint_availability(app).await, "evacuated");
}

/// An instance rewrites its own entry if the restored copy lacks it.
#[tokio::test(flavor = "multi_thread")]
async fn restored_copy_lacks_own_entry_entry_rewritten() {
    let site = RoutedSite::start(1).await;
    let copy = site.standin.store.snapshot();
    let _instance = site.start_instance("n1").await;
    let is_announced = || {
        site.standin
            .store
            .keys("keyed.status")
            .contains(&"n1".to_owned())
    };
    wait_until("entry written", async || is_announced()).await;
    let _ = site.standin.store.restore(copy);
    wait_until("entry written again", async || is_announced()).await;
}

/// An invalid era is ignored: the last valid one stays, and new records are still read.
#[tokio::test(flavor = "multi_thread")]
async fn era_invalid_last_valid_era_kept() {
    let site = RoutedSite::start(1).await;
    let store = &site.standin.store;
    for _ in 0..2 {
        store.restore(store.snapshot());
    }
    let instance = site.start_instance("n1").await;
    let mut version = 2;
    for text in ["18446744073709551615", "-1", "soon", "", "2.5"] {
        store.override_era(Some(text));
        version += 1;
        site.standin.publish(version, &[KEY]);
        wait_until("configuration in force", async || {
            instance.state().await["config_version"] == version
        })
        .await;
        assert_eq!(
            instance.state().await["store_era"],
            2,
            "era sent as {text:?}"
        );
    }
    store.override_era(None);
    let before = store.restore(store.snapshot());
    store.replay_lost_writes(&before);
    wait_until("next era", async || {
        instance.state().await["store_era"] == 3
    })
    .await;
}
