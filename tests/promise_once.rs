//! When a caller is told that a request was not run, it was not; and a request marked not repeatable runs at most once.

mod support;

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use support::{
    Process, Site, complete, config_objects, fetch_ticket, non_repeatable_call, run_count,
    send_request, service_call, set_faults, wait_for_peers, wait_until,
};

struct Fees {
    site: Site,
    service: Process,
    entries: Vec<Process>,
}

async fn fees(limits: Value) -> Fees {
    let mut site = Site::new();
    site.limits = limits;
    let service = site.start_service("s1");
    assert!(
        site.publish(&config_objects("h", &[], &[("s1", &service)]))
            .status
            .success()
    );
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
    Fees {
        site,
        service,
        entries,
    }
}

impl Fees {
    fn entry(&self, index: usize) -> String {
        self.entries[index].address("caller")
    }

    async fn ticket(&self, index: usize) -> String {
        fetch_ticket(&self.entry(index), &format!("i{}", index + 1)).await
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_at_the_same_and_other_entries_one_run() {
    let fees = fees(json!({})).await;
    set_faults(&fees.service, &json!({"delay_ms": 300})).await;
    let ticket = fees.ticket(0).await;
    let copies = (0..12).map(|copy| {
        send_request(non_repeatable_call(
            &fees.entry(copy % 2),
            &ticket,
            "k1",
            "fee 1",
        ))
    });
    let answers = futures::future::join_all(copies).await;
    for answered in &answers {
        assert_eq!(answered.status, 200, "{answered:?}");
        assert_eq!(answered.body["echo"], "fee 1");
    }
    assert_eq!(run_count(&fees.service, "fee 1").await, 1);
    let later = send_request(non_repeatable_call(&fees.entry(1), &ticket, "k1", "fee 1")).await;
    assert_eq!(
        later.status, 200,
        "a later retry gets the first answer: {later:?}"
    );
    assert_eq!(run_count(&fees.service, "fee 1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_and_restarted_never_again() {
    let mut fees = fees(json!({})).await;
    set_faults(&fees.service, &json!({"delay_ms": 800})).await;
    let ticket = fees.ticket(0).await;
    let first = tokio::spawn(send_request(non_repeatable_call(
        &fees.entry(0),
        &ticket,
        "k1",
        "fee 2",
    )));
    wait_until("the call runs", || async {
        run_count(&fees.service, "fee 2").await == 1
    })
    .await;
    let addresses = fees.entries[0].addresses.clone();
    fees.entries[0].kill();
    assert_eq!(
        first.await.expect("caller").status,
        0,
        "the connection broke"
    );
    let elsewhere = send_request(non_repeatable_call(&fees.entry(1), &ticket, "k1", "fee 2")).await;
    assert_eq!(elsewhere.outcome(), "unknown", "{elsewhere:?}");
    // The same name at the same address is another incarnation.
    fees.entries[0] = fees.site.start_instance_at(
        "i1",
        "h",
        &addresses,
        &fees.site.platform.address("address"),
    );
    wait_for_peers(&fees.entries[0], 1).await;
    for entry in 0..2 {
        let retried = send_request(non_repeatable_call(
            &fees.entry(entry),
            &ticket,
            "k1",
            "fee 2",
        ))
        .await;
        assert_eq!(retried.outcome(), "unknown", "{retried:?}");
    }
    assert_eq!(run_count(&fees.service, "fee 2").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen_retries_elsewhere_one_run() {
    let fees = fees(json!({})).await;
    let ticket = fees.ticket(0).await;
    fees.entries[0].signal(Signal::SIGSTOP);
    let frozen = tokio::spawn(send_request(non_repeatable_call(
        &fees.entry(0),
        &ticket,
        "k1",
        "fee 3",
    )));
    let relayed = tokio::spawn(send_request(non_repeatable_call(
        &fees.entry(1),
        &ticket,
        "k1",
        "fee 3",
    )));
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    fees.entries[0].signal(Signal::SIGCONT);
    let frozen = frozen.await.expect("caller");
    let relayed = relayed.await.expect("caller");
    assert_eq!(frozen.status, 200, "{frozen:?}");
    assert!(
        relayed.status == 200 || relayed.outcome() == "unknown",
        "{relayed:?}"
    );
    assert_eq!(run_count(&fees.service, "fee 3").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reply_lost_or_crossed_unknown_one_run() {
    let fees = fees(json!({})).await;
    for (name, faults) in [
        ("lost", json!({"lose_replies": 1})),
        ("crossed", json!({"cross_replies": 1})),
    ] {
        set_faults(&fees.service, &faults).await;
        let ticket = fees.ticket(0).await;
        for _ in 0..3 {
            let answered =
                send_request(non_repeatable_call(&fees.entry(0), &ticket, name, name)).await;
            assert_eq!(answered.outcome(), "unknown", "{name}: {answered:?}");
        }
        assert_eq!(run_count(&fees.service, name).await, 1, "{name}");
        // Without a key the system itself never sends it twice either.
        set_faults(&fees.service, &faults).await;
        let text = format!("{name} without key");
        let answered = send_request(
            service_call(&fees.entry(0), &text).header("Larkwick-Repeatable", "false"),
        )
        .await;
        assert_eq!(answered.outcome(), "unknown", "{name}: {answered:?}");
        assert_eq!(run_count(&fees.service, &text).await, 1, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_before_admission_not_run_and_never_later() {
    let fees = fees(json!({})).await;
    set_faults(&fees.service, &json!({"refuse": true})).await;
    let ticket = fees.ticket(0).await;
    let refused = send_request(non_repeatable_call(&fees.entry(0), &ticket, "k1", "fee 4")).await;
    assert_eq!(refused.outcome(), "not_run", "{refused:?}");
    assert!(refused.retry_after.is_some(), "told when to come back");
    set_faults(&fees.service, &json!({})).await;
    // A late copy under the same ticket must not run what its caller was told did not run.
    let late = send_request(non_repeatable_call(&fees.entry(1), &ticket, "k1", "fee 4")).await;
    assert_eq!(late.outcome(), "not_run", "{late:?}");
    assert_eq!(run_count(&fees.service, "fee 4").await, 0);
    // A ticket of another instance may.
    let other = fees.ticket(1).await;
    let again = send_request(non_repeatable_call(&fees.entry(1), &other, "k1", "fee 4")).await;
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(run_count(&fees.service, "fee 4").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_then_refused_is_not_called_not_run() {
    // Two endpoints: the first runs a repeatable call and loses its reply, the second refuses.
    let site = Site::new();
    let (loses, refuses) = (site.start_service("s1"), site.start_service("s2"));
    let published = config_objects("h", &[], &[("s1", &loses), ("s2", &refuses)]);
    assert!(site.publish(&published).status.success());
    let instance = site.start_instance("i1", "h");
    let entry = instance.address("caller");
    wait_until("the services answer", || async {
        send_request(service_call(&entry, "warm")).await.status == 200
    })
    .await;
    set_faults(&loses, &json!({"lose_replies": 1000})).await;
    set_faults(&refuses, &json!({"refuse": true})).await;
    for attempt in 0..10 {
        let text = format!("fee {attempt}");
        let answered = send_request(service_call(&entry, &text)).await;
        let ran = run_count(&loses, &text).await;
        assert!(
            ran == 0 || answered.outcome() != "not_run",
            "{text} ran {ran} times: {answered:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_full_refused_nothing_forgotten() {
    let fees = fees(json!({"once_requests": 2})).await;
    let ticket = fees.ticket(0).await;
    for key in ["k1", "k2"] {
        assert_eq!(
            send_request(non_repeatable_call(&fees.entry(0), &ticket, key, key))
                .await
                .status,
            200
        );
    }
    let full = send_request(non_repeatable_call(&fees.entry(0), &ticket, "k3", "k3")).await;
    assert_eq!(
        (full.kind(), full.outcome()),
        ("once_memory_full", "not_run"),
        "{full:?}"
    );
    let late = send_request(non_repeatable_call(&fees.entry(0), &ticket, "k3", "k3")).await;
    assert_eq!(late.outcome(), "not_run", "{late:?}");
    assert_eq!(run_count(&fees.service, "k3").await, 0);
    let remembered = send_request(non_repeatable_call(&fees.entry(0), &ticket, "k1", "k1")).await;
    assert_eq!(remembered.status, 200, "{remembered:?}");
    assert_eq!(run_count(&fees.service, "k1").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_with_key_one_run_same_answer() {
    let site = Site::new();
    let engine = site.start_engine("e1", &json!({"step_us": 3000}));
    assert!(
        site.publish(&config_objects("h", &[("e1", &engine)], &[]))
            .status
            .success()
    );
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
    let answers = futures::future::join_all(copies).await;
    for answered in &answers {
        assert_eq!(answered.status, 200, "{answered:?}");
        assert_eq!(answered.body["choices"], answers[0].body["choices"]);
    }
    assert_eq!(started().await, before + 1);
    let other = complete(&entry, &json!({"max_tokens": 3})).await;
    assert_eq!(other.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn not_repeatable_lost_never_sent_to_a_second_endpoint() {
    let site = Site::new();
    let services = [site.start_service("s1"), site.start_service("s2")];
    let published = config_objects("h", &[], &[("s1", &services[0]), ("s2", &services[1])]);
    assert!(site.publish(&published).status.success());
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
        let answered =
            send_request(service_call(&entry, &text).header("Larkwick-Repeatable", "false")).await;
        assert_eq!(answered.outcome(), "unknown", "{answered:?}");
        let ran = run_count(&services[0], &text).await + run_count(&services[1], &text).await;
        assert_eq!(ran, 1);
    }
}
