//! Tests that a request reported as `not_run` did not run and never will, and that a request marked
//! as not repeatable runs at most once.

mod support;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    Process, Site, complete, config_objects, fetch_ticket, non_repeatable_call, run_count,
    send_request, service_call, set_faults, wait_for_peers, wait_until,
};

/// A site with one service and two entries.
struct ServiceSite {
    site: Site,
    service: Process,
    entries: Vec<Process>,
}

/// Starts the site and waits until both entries reach the service.
async fn start_service_site(limits: Value) -> ServiceSite {
    let mut site = Site::new();
    site.limits = limits;
    let service = site.start_service("s1");
    site.publish_accepted(&config_objects("h", &[], &[("s1", &service)]));
    let entries = vec![
        site.start_instance("i1", "h"),
        site.start_instance("i2", "h"),
    ];
    for entry in &entries {
        wait_for_peers(entry, 1).await;
        let address = entry.address("caller");
        wait_until("the service answers", || async {
            send_request(service_call(&address, "warm")).await.status == 200
        })
        .await;
    }
    ServiceSite {
        site,
        service,
        entries,
    }
}

impl ServiceSite {
    fn entry(&self, index: usize) -> String {
        self.entries[index].address("caller")
    }

    async fn ticket(&self, index: usize) -> String {
        fetch_ticket(&self.entry(index), &format!("i{}", index + 1)).await
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_at_the_same_and_other_entries_one_run() {
    let service_site = start_service_site(json!({})).await;
    set_faults(&service_site.service, &json!({"delay_ms": 300})).await;
    let ticket = service_site.ticket(0).await;
    let copies = (0..12).map(|copy| {
        send_request(non_repeatable_call(
            &service_site.entry(copy % 2),
            &ticket,
            "k1",
            "fee 1",
        ))
    });
    let responses = futures::future::join_all(copies).await;
    for response in &responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["echo"], "fee 1");
    }
    assert_eq!(run_count(&service_site.service, "fee 1").await, 1);
    let later = send_request(non_repeatable_call(
        &service_site.entry(1),
        &ticket,
        "k1",
        "fee 1",
    ))
    .await;
    assert_eq!(
        later.status, 200,
        "a later retry gets the first response: {later:?}"
    );
    assert_eq!(run_count(&service_site.service, "fee 1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_and_restarted_never_run_again() {
    let mut service_site = start_service_site(json!({})).await;
    set_faults(&service_site.service, &json!({"delay_ms": 800})).await;
    let ticket = service_site.ticket(0).await;
    let first = tokio::spawn(send_request(non_repeatable_call(
        &service_site.entry(0),
        &ticket,
        "k1",
        "fee 2",
    )));
    wait_until("the call runs", || async {
        run_count(&service_site.service, "fee 2").await == 1
    })
    .await;
    let addresses = service_site.entries[0].addresses.clone();
    service_site.entries[0].kill();
    assert_eq!(
        first.await.expect("caller").status,
        0,
        "the connection was closed"
    );
    let elsewhere = send_request(non_repeatable_call(
        &service_site.entry(1),
        &ticket,
        "k1",
        "fee 2",
    ))
    .await;
    assert_eq!(elsewhere.outcome(), "unknown", "{elsewhere:?}");
    // A restart with the same name and addresses is another incarnation.
    service_site.entries[0] = service_site.site.start_instance_at(
        "i1",
        "h",
        &addresses,
        &service_site.site.platform.address("address"),
    );
    wait_for_peers(&service_site.entries[0], 1).await;
    for entry in 0..2 {
        let retried = send_request(non_repeatable_call(
            &service_site.entry(entry),
            &ticket,
            "k1",
            "fee 2",
        ))
        .await;
        assert_eq!(retried.outcome(), "unknown", "{retried:?}");
    }
    assert_eq!(run_count(&service_site.service, "fee 2").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_suspended_repeat_at_other_entry_one_run() {
    let service_site = start_service_site(json!({})).await;
    let ticket = service_site.ticket(0).await;
    service_site.entries[0].signal(Signal::SIGSTOP);
    let direct = tokio::spawn(send_request(non_repeatable_call(
        &service_site.entry(0),
        &ticket,
        "k1",
        "fee 3",
    )));
    let relayed = tokio::spawn(send_request(non_repeatable_call(
        &service_site.entry(1),
        &ticket,
        "k1",
        "fee 3",
    )));
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    service_site.entries[0].signal(Signal::SIGCONT);
    let direct = direct.await.expect("caller");
    let relayed = relayed.await.expect("caller");
    assert_eq!(direct.status, 200, "{direct:?}");
    assert!(
        relayed.status == 200 || relayed.outcome() == "unknown",
        "{relayed:?}"
    );
    assert_eq!(run_count(&service_site.service, "fee 3").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reply_lost_or_mixed_up_outcome_unknown_one_run() {
    let service_site = start_service_site(json!({})).await;
    for (name, faults) in [
        ("lost", json!({"lose_replies": 1})),
        ("crossed", json!({"cross_replies": 1})),
    ] {
        set_faults(&service_site.service, &faults).await;
        let ticket = service_site.ticket(0).await;
        for _ in 0..3 {
            let response = send_request(non_repeatable_call(
                &service_site.entry(0),
                &ticket,
                name,
                name,
            ))
            .await;
            assert_eq!(response.outcome(), "unknown", "{name}: {response:?}");
        }
        assert_eq!(run_count(&service_site.service, name).await, 1, "{name}");
        // Without an idempotency key, larkwick itself does not send the request twice either.
        set_faults(&service_site.service, &faults).await;
        let text = format!("{name} without key");
        let response = send_request(
            service_call(&service_site.entry(0), &text).header("Larkwick-Repeatable", "false"),
        )
        .await;
        assert_eq!(response.outcome(), "unknown", "{name}: {response:?}");
        assert_eq!(run_count(&service_site.service, &text).await, 1, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_before_admission_not_run_and_not_run_later() {
    let service_site = start_service_site(json!({})).await;
    set_faults(&service_site.service, &json!({"refuse": true})).await;
    let ticket = service_site.ticket(0).await;
    let refused = send_request(non_repeatable_call(
        &service_site.entry(0),
        &ticket,
        "k1",
        "fee 4",
    ))
    .await;
    assert_eq!(refused.outcome(), "not_run", "{refused:?}");
    assert!(
        refused.retry_after.is_some(),
        "the response has a Retry-After header"
    );
    set_faults(&service_site.service, &json!({})).await;
    // A late repeat with the same ticket must not run the request, which was reported as not run.
    let late = send_request(non_repeatable_call(
        &service_site.entry(1),
        &ticket,
        "k1",
        "fee 4",
    ))
    .await;
    assert_eq!(late.outcome(), "not_run", "{late:?}");
    assert_eq!(run_count(&service_site.service, "fee 4").await, 0);
    // With a ticket of another instance it may run.
    let other = service_site.ticket(1).await;
    let again = send_request(non_repeatable_call(
        &service_site.entry(1),
        &other,
        "k1",
        "fee 4",
    ))
    .await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(run_count(&service_site.service, "fee 4").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reply_lost_then_refused_not_reported_as_not_run() {
    // The first endpoint runs a repeatable call and loses its reply, the second refuses calls.
    let site = Site::new();
    let (losing, refusing) = (site.start_service("s1"), site.start_service("s2"));
    let published = config_objects("h", &[], &[("s1", &losing), ("s2", &refusing)]);
    site.publish_accepted(&published);
    let instance = site.start_instance("i1", "h");
    let entry = instance.address("caller");
    wait_until("the services answer", || async {
        send_request(service_call(&entry, "warm")).await.status == 200
    })
    .await;
    set_faults(&losing, &json!({"lose_replies": 1000})).await;
    set_faults(&refusing, &json!({"refuse": true})).await;
    for attempt in 0..10 {
        let text = format!("fee {attempt}");
        let response = send_request(service_call(&entry, &text)).await;
        let ran = run_count(&losing, &text).await;
        assert!(
            ran == 0 || response.outcome() != "not_run",
            "{text} ran {ran} times: {response:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_cache_full_refused_known_requests_kept() {
    let service_site = start_service_site(json!({"once_requests": 2})).await;
    let ticket = service_site.ticket(0).await;
    for key in ["k1", "k2"] {
        assert_eq!(
            send_request(non_repeatable_call(
                &service_site.entry(0),
                &ticket,
                key,
                key
            ))
            .await
            .status,
            200
        );
    }
    let full = send_request(non_repeatable_call(
        &service_site.entry(0),
        &ticket,
        "k3",
        "k3",
    ))
    .await;
    assert_eq!(
        (full.kind(), full.outcome()),
        ("once_memory_full", "not_run"),
        "{full:?}"
    );
    let late = send_request(non_repeatable_call(
        &service_site.entry(0),
        &ticket,
        "k3",
        "k3",
    ))
    .await;
    assert_eq!(late.outcome(), "not_run", "{late:?}");
    assert_eq!(run_count(&service_site.service, "k3").await, 0);
    let repeated = send_request(non_repeatable_call(
        &service_site.entry(0),
        &ticket,
        "k1",
        "k1",
    ))
    .await;
    assert_eq!(repeated.status, 200, "{repeated:?}");
    assert_eq!(run_count(&service_site.service, "k1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_with_key_one_run_same_response() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 3000}));
    site.publish_accepted(&config_objects("h", &[("e1", &engine)], &[]));
    let instance = site.start_instance("i1", "h");
    support::wait_until_serving(&instance).await;
    let entry = instance.address("caller");
    let started = || async {
        let counters =
            support::get_json(format!("http://{}/counters", engine.address("control"))).await;
        counters["started_total"].as_u64().expect("counter")
    };
    let before = started().await;
    let ticket = fetch_ticket(&entry, "i1").await;
    let copies = (0..5).map(|_| {
        let request =
            support::completion(&entry, &json!({"prompt": "#length=40 x", "max_tokens": 40}));
        let request = request
            .header("Larkwick-Ticket", &ticket)
            .header("Idempotency-Key", "g1");
        send_request(request.header("Larkwick-Repeatable", "false"))
    });
    let responses = futures::future::join_all(copies).await;
    for response in &responses {
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["choices"], responses[0].body["choices"]);
    }
    assert_eq!(started().await, before + 1);
    let other = complete(&entry, &json!({"max_tokens": 3})).await;
    assert_eq!(other.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn not_repeatable_reply_lost_not_sent_to_second_endpoint() {
    let site = Site::new();
    let services = [site.start_service("s1"), site.start_service("s2")];
    let published = config_objects("h", &[], &[("s1", &services[0]), ("s2", &services[1])]);
    site.publish_accepted(&published);
    let instance = site.start_instance("i1", "h");
    let entry = instance.address("caller");
    wait_until("the services answer", || async {
        send_request(service_call(&entry, "warm")).await.status == 200
    })
    .await;
    for service in &services {
        set_faults(service, &json!({"lose_replies": 1000})).await;
    }
    for attempt in 0..5 {
        let text = format!("fee {attempt}");
        let response =
            send_request(service_call(&entry, &text).header("Larkwick-Repeatable", "false")).await;
        assert_eq!(response.outcome(), "unknown", "{response:?}");
        let ran = run_count(&services[0], &text).await + run_count(&services[1], &text).await;
        assert_eq!(ran, 1);
    }
}
