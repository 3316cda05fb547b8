//! A store that comes back from an older copy: what was written since is gone and its offsets are given out again, with other records.

mod support;

use larkwick::standin::site::server::ServerKind;
use larkwick::standin::site::{KEY, SiteStandin};
use serde_json::json;
use support::site::{RoutedSite, until};

/// A reader that goes on from its old offset gets other records under it, and never hears of those before.
#[tokio::test(flavor = "multi_thread")]
async fn copy_offsets_given_out_again_none_of_their_records_missed() {
    let site = RoutedSite::start(1).await;
    let mut copy = site.standin.store.copy();
    let lost = site.standin.server("app", ServerKind::Plain).await.unwrap();
    let instance = site.instance("n1").await;
    until("listed", async || instance.standing(&lost).await == "ready").await;
    let new = site
        .standin
        .server_unlisted("app", ServerKind::Plain)
        .await
        .unwrap();
    // As many records as were lost, of another one.
    let entry = SiteStandin::entry(&new, &json!({}));
    copy.put("keyed.servers", &new.id, &entry);
    let _ = site.standin.store.come_back_from(copy);
    site.standin.list(&lost, "ready");
    for server in [&new, &lost] {
        until("listed after the return", async || {
            instance.standing(server).await == "ready"
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn copy_hall_emptied_again_at_a_lower_offset_emptied() {
    let site = RoutedSite::start(2).await;
    let app = &site.apps[0];
    site.standin.list_with(app, &json!({"zone": "hall-9"}));
    let copy = site.standin.store.copy();
    for version in 3..9 {
        site.standin.publish(version, &[KEY]);
    }
    let first = site.instance("n1").await;
    let second = site.instance_with_seeds("n2", &[&first]);
    second.until_ready().await;
    let _ = site.standin.store.come_back_from(copy);
    site.standin.evacuate("hall-9");
    for instance in [&first, &second] {
        until("emptied", async || {
            instance.standing(app).await == "evacuated"
        })
        .await;
    }
}

/// An order that the copy lacks holds until it is written again, and a key that was taken away stays taken away.
#[tokio::test(flavor = "multi_thread")]
async fn copy_without_what_was_acknowledged_what_is_known_holds() {
    let site = RoutedSite::start(2).await;
    let app = &site.apps[0];
    site.standin.list_with(app, &json!({"zone": "hall-9"}));
    let copy = site.standin.store.copy();
    let instance = site.instance("n1").await;
    site.standin.evacuate("hall-9");
    site.standin.publish(3, &["another-key"]);
    until("emptied", async || {
        instance.standing(app).await == "evacuated"
    })
    .await;
    until("revoked", async || {
        instance.call("/once/a", "revoked").await.status == 401
    })
    .await;
    let before = site.standin.store.come_back_from(copy);
    until("heard of", async || {
        instance.has_line("store came back from an older copy")
    })
    .await;
    for number in 0..20 {
        assert_eq!(instance.standing(app).await, "evacuated");
        let answer = instance.call("/once/a", &format!("still-{number}")).await;
        assert_eq!(answer.status, 401, "{answer:?}");
    }
    site.standin.store.write_again(&before);
    site.standin.publish(4, &[KEY]);
    until("the next one in force", async || {
        instance.call("/once/a", "next").await.status == 200
    })
    .await;
    assert_eq!(instance.standing(app).await, "evacuated");
}

/// What the instances wrote themselves and the copy lacks is written again by the one that knows it.
#[tokio::test(flavor = "multi_thread")]
async fn copy_without_own_entries_written_again() {
    let site = RoutedSite::start(1).await;
    let copy = site.standin.store.copy();
    let _instance = site.instance("n1").await;
    let is_announced = || {
        site.standin
            .store
            .keys("keyed.status")
            .contains(&"n1".to_owned())
    };
    until("announced", async || is_announced()).await;
    let _ = site.standin.store.come_back_from(copy);
    until("announced again", async || is_announced()).await;
}

/// An era that cannot be one changes nothing: the last sound one holds, and what is written is heard of.
#[tokio::test(flavor = "multi_thread")]
async fn era_unsound_last_sound_one_holds() {
    let site = RoutedSite::start(1).await;
    let store = &site.standin.store;
    for _ in 0..2 {
        store.come_back_from(store.copy());
    }
    let instance = site.instance("n1").await;
    let mut version = 2;
    for told in ["18446744073709551615", "-1", "soon", "", "2.5"] {
        store.tell_era(Some(told));
        version += 1;
        site.standin.publish(version, &[KEY]);
        until("in force", async || {
            instance.state().await["config_version"] == version
        })
        .await;
        assert_eq!(instance.state().await["store_era"], 2, "told {told:?}");
    }
    store.tell_era(None);
    let before = store.come_back_from(store.copy());
    store.write_again(&before);
    until("the next era", async || {
        instance.state().await["store_era"] == 3
    })
    .await;
}
