//! Generations through real processes to a stand-in site: whole, in order, and moved off engines that leave.

mod support;

use larkwick::standin::site::server::{Server, ServerFault};
use larkwick::standin::site::{HOST, KEY};
use nix::sys::signal::Signal;
use support::site::{Answered, RoutedSite, answered, event_numbers, until};

fn assert_whole(answer: &Answered, events: u32) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.whole, "{answer:?}");
    let expected: Vec<u32> = (1..=events).collect();
    assert_eq!(event_numbers(&answer.body), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_each_event_once_in_order() {
    let site = RoutedSite::start(0).await;
    let engine = site.engine().await;
    let instance = site.instance("n1").await;
    let answer = answered(instance.generation(20, "g1")).await;
    assert_whole(&answer, 20);
    assert_eq!(site.standin.runs_of("g1"), [engine.id.as_str()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_leaves_moved_without_a_second_run() {
    for vanish in [false, true] {
        let site = RoutedSite::start(0).await;
        let leaving = site.engine().await;
        let instance = site.instance("n1").await;
        let running: Vec<_> = (0..3)
            .map(|number| tokio::spawn(answered(instance.generation(80, &format!("m{number}")))))
            .collect();
        until("running", async || leaving.running() == 3).await;
        let staying = site.engine().await;
        until("both known", async || {
            instance.state().await["endpoints"][&staying.id].is_object()
        })
        .await;
        if vanish {
            site.standin.unlist(&leaving);
        } else {
            site.standin.list(&leaving, "draining");
        }
        until("moved", async || staying.running() == 3).await;
        leaving.kill();
        for (number, generation) in running.into_iter().enumerate() {
            let answer = generation.await.expect("answered");
            assert_whole(&answer, 80);
            let runs = site.standin.runs_of(&format!("m{number}"));
            assert_eq!(runs, [leaving.id.as_str()]);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_target_without_room_goes_on_where_it_is() {
    let site = RoutedSite::start(0).await;
    let leaving = site.engine().await;
    let instance = site.instance("n1").await;
    let running = tokio::spawn(answered(instance.generation(40, "t1")));
    until("running", async || leaving.running() == 1).await;
    let full = site.engine().await;
    full.set_fault(ServerFault::NoRoom);
    until("both known", async || {
        instance.state().await["endpoints"][&full.id].is_object()
    })
    .await;
    site.standin.list(&leaving, "draining");
    assert_whole(&running.await.expect("answered"), 40);
}

/// Finding 6: the target had lost the copy and refused; the stopped engine, which still had the memory, was not asked.
#[tokio::test(flavor = "multi_thread")]
async fn generation_target_refuses_to_go_on_goes_back_to_the_stopped_engine() {
    let site = RoutedSite::start(0).await;
    let leaving = site.engine().await;
    let instance = site.instance("n1").await;
    let running = tokio::spawn(answered(instance.generation(24, "t2")));
    until("running", async || leaving.running() == 1).await;
    let forgetful = site.engine().await;
    forgetful.set_fault(ServerFault::DropsCopies);
    until("both known", async || {
        instance.state().await["endpoints"][&forgetful.id].is_object()
    })
    .await;
    site.standin.list(&leaving, "draining");
    assert_whole(&running.await.expect("answered"), 24);
    assert_eq!(site.standin.runs_of("t2"), [leaving.id.as_str()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_dies_cut_and_not_complete() {
    let site = RoutedSite::start(0).await;
    let engine = site.engine().await;
    let instance = site.instance("n1").await;
    let running = tokio::spawn(answered(instance.generation(400, "d1")));
    until("running", async || engine.running() == 1).await;
    engine.kill();
    let answer = running.await.expect("answered");
    assert!(!answer.whole);
    assert_eq!(site.standin.runs_of("d1").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_dead_engine_offered_to_another() {
    let site = RoutedSite::start(0).await;
    let dead = site.engine().await;
    let sound = site.engine().await;
    let instance = site.instance("n1").await;
    dead.kill();
    for number in 0..8 {
        let id = format!("p{number}");
        assert_whole(&answered(instance.generation(2, &id)).await, 2);
        assert_eq!(site.standin.runs_of(&id), [sound.id.as_str()]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_refused_everywhere_not_run_and_when_to_come_back() {
    let site = RoutedSite::start(0).await;
    let engine = site.engine().await;
    engine.set_fault(ServerFault::Refuses);
    let instance = site.instance("n1").await;
    let answer = answered(instance.generation(5, "r1")).await;
    assert_eq!(answer.status, 503);
    // The caller has 20 s: after one second it would meet the same crowd, and it comes back only once.
    let retry_after = answer.retry_after.expect("when to come back");
    assert!((2.9..=5.0).contains(&retry_after), "{retry_after}");
    assert!(site.standin.runs_of("r1").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_refused_hasty_caller_told_no_more_than_it_heeds() {
    let site = RoutedSite::start(0).await;
    site.engine().await.set_fault(ServerFault::Refuses);
    let instance = site.instance("n1").await;
    let hasty = reqwest::Client::new().post(format!("http://{}/chat/5", instance.caller_address()));
    let hasty = hasty.header("host", HOST).header("api-key", KEY);
    let hasty = hasty
        .header("larkwick-request-id", "r2")
        .header("larkwick-deadline-ms", "6000");
    let answer = answered(hasty.header("larkwick-token-count", "1000,20")).await;
    assert_eq!(answer.status, 503);
    assert!(
        answer.retry_after.is_some_and(|seconds| seconds <= 2.0),
        "{answer:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_caller_leaves_work_ends() {
    let site = RoutedSite::start(0).await;
    let engine = site.engine().await;
    let instance = site.instance("n1").await;
    let mut answer = instance.generation(4000, "l1").send().await.expect("begun");
    answer.chunk().await.expect("an event");
    drop(answer);
    until("ended", async || engine.running() == 0).await;
}

/// A long generation that came after the request to stop was taken, and cut when the process ended.
#[tokio::test(flavor = "multi_thread")]
async fn generation_after_stop_began_refused_unless_it_fits() {
    let site = RoutedSite::start(0).await;
    let engine = site.engine().await;
    let mut instance = site.instance("n1").await;
    // Keeps the process from ending at once.
    let running = tokio::spawn(answered(instance.generation(120, "s0")));
    until("running", async || engine.running() == 1).await;
    instance.signal(Signal::SIGTERM);
    until("told", async || instance.has_line("instance stopping")).await;
    let long = answered(instance.generation(600, "s1")).await;
    assert_eq!(long.status, 503);
    assert!(long.retry_after.is_some());
    assert!(site.standin.runs_of("s1").is_empty());
    assert_whole(&answered(instance.generation(4, "s2")).await, 4);
    assert_whole(&running.await.expect("answered"), 120);
    until("ended", async || instance.ended_well() == Some(true)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_generations_still_moved_and_placed() {
    let site = RoutedSite::start(0).await;
    let leaving = site.engine().await;
    let mut instances = Vec::new();
    for number in 0..3 {
        instances.push(site.instance(&format!("n{number}")).await);
    }
    for instance in &instances {
        until("all named", async || instance.named().await.len() == 3).await;
    }
    // Whichever of them owns the engines: the one that serves the generation stays.
    let server = instances.remove(0);
    let running = tokio::spawn(answered(server.generation(240, "k1")));
    until("running", async || leaving.running() == 1).await;
    for other in &instances {
        other.signal(Signal::SIGKILL);
    }
    let staying = site.engine().await;
    until("known", async || {
        server.state().await["endpoints"][&staying.id].is_object()
    })
    .await;
    site.standin.list(&leaving, "draining");
    assert_whole(&running.await.expect("answered"), 240);
    assert_whole(&answered(server.generation(3, "k2")).await, 3);
    assert_eq!(site.standin.runs_of("k2"), [staying.id.as_str()]);
}

/// The relay took the first event of the rest for one that follows a gap, and cut the answer.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_caller_comes_back_gets_the_rest() {
    let site = RoutedSite::start(0).await;
    let _engine = site.engine().await;
    let instance = site.instance("n1").await;
    let again = instance.request("/check/9", "c1");
    let again = again.header("larkwick-model", "m");
    let again = again.header("larkwick-token-count", "1000,36");
    let answer = answered(again.header("last-event-id", "4")).await;
    assert!(answer.whole, "{answer:?}");
    assert_eq!(event_numbers(&answer.body), [5, 6, 7, 8, 9]);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumable_engine_dies_goes_on_at_another() {
    let site = RoutedSite::start(0).await;
    let engines = [site.engine().await, site.engine().await];
    let instance = site.instance("n1").await;
    let running = tokio::spawn(answered(instance.caller().check(60, "c2")));
    let at_work = |engine: &Server| engine.running() == 1;
    until("running", async || engines.iter().any(|one| at_work(one))).await;
    let dying = engines.iter().find(|one| at_work(one)).expect("an engine");
    dying.kill();
    assert_whole(&running.await.expect("answered"), 60);
    let ran_on = site.standin.runs_of("c2");
    assert_eq!(ran_on.len(), 2);
    assert_ne!(ran_on[0], ran_on[1]);
}

/// Twice is what the route allows.
#[tokio::test(flavor = "multi_thread")]
async fn resumable_engines_close_one_after_the_other_no_third_run() {
    let site = RoutedSite::start(0).await;
    for _ in 0..4 {
        site.engine().await.set_fault(ServerFault::RunsAndCloses);
    }
    let instance = site.instance("n1").await;
    let answer = answered(instance.caller().check(5, "c3")).await;
    assert!(answer.status >= 500 && answer.status != 503, "{answer:?}");
    assert_eq!(site.standin.runs_of("c3").len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn generation_engine_closes_run_once_and_not_called_not_run() {
    let site = RoutedSite::start(0).await;
    for _ in 0..2 {
        site.engine().await.set_fault(ServerFault::RunsAndCloses);
    }
    let instance = site.instance("n1").await;
    let answer = answered(instance.generation(5, "c4")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(site.standin.runs_of("c4").len(), 1);
}
