//! Soak test of generations under half-failures: lost, late and unanswered orders to stop, streams
//! that are lost while their engine goes on, answers that end with their connection, and planned
//! stops of instances while calls wait for room, in series and overlapping.
//!
//! `cargo test --test half_failures_soak` runs three seeds. For more:
//! `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --test half_failures_soak -- --nocapture`;
//! `SOAK_INSTANCES=40` sets the number of instances.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerFault};
use larkwick::standin::site::{HOST, KEY};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use support::site::{Instance, RoutedSite, event_numbers};

const DEFAULT_SEEDS: u64 = 3;
const DEFAULT_INSTANCES: u64 = 3;
const ENGINES: usize = 4;
const CALLERS: u64 = 12;
const FAULTS: u32 = 20;
const FAULT_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the notice of an engine that leaves to its end.
const NOTICE_MS: std::ops::Range<u64> = 600..1_800;
const EVENTS_MAX: u32 = 60;
/// Prompts of this many tokens fill an engine with two or three generations.
const PROMPT_TOKENS_MAX: u32 = 16_000;
const STOP_WITHIN_S: u32 = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Statuses that promise that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A generation and its result, as seen by the caller.
struct Record {
    id: String,
    events: u32,
    /// `None` if the connection failed before a response.
    status: Option<u16>,
    body: String,
    is_complete: bool,
}

struct Soak {
    site: RoutedSite,
    engines: Mutex<Vec<Arc<Server>>>,
    instances: Mutex<Vec<Instance>>,
    /// Fields of the lines that stopped instances logged at their exit.
    exits: Mutex<Vec<Value>>,
    instances_started: AtomicU32,
    /// Whether answers have neither a length nor chunks. Such a stream that is closed without a reset
    /// is whole, so that none is lost then.
    ends_with_connection: bool,
    is_over: AtomicBool,
}

impl Soak {
    async fn start(seed: u64) -> Arc<Self> {
        let mut site = RoutedSite::start(0).await;
        if seed % 2 == 1 {
            site.turn_on_load_decisions();
        }
        let ends_with_connection = !seed.is_multiple_of(3);
        if ends_with_connection {
            site.standin.end_responses_with_connection();
        }
        let mut config = site.standin.default_config(3, &[KEY]);
        for route in config["routes"].as_array_mut().expect("routes") {
            route["gap_aim_ms"] = json!(2_000);
        }
        site.standin.publish_config(&config);
        let soak = Self {
            site,
            engines: Mutex::default(),
            instances: Mutex::default(),
            exits: Mutex::default(),
            instances_started: AtomicU32::new(0),
            ends_with_connection,
            is_over: AtomicBool::new(false),
        };
        for _ in 0..ENGINES {
            soak.add_engine().await;
        }
        for _ in 0..env_number("SOAK_INSTANCES").unwrap_or(DEFAULT_INSTANCES) {
            soak.add_instance().await;
        }
        Arc::new(soak)
    }

    async fn add_engine(&self) {
        let engine = self.site.start_engine().await;
        self.engines.lock().push(engine);
    }

    async fn add_instance(&self) {
        let number = self.instances_started.fetch_add(1, Ordering::Relaxed);
        let routing = json!({"stop_within_s": STOP_WITHIN_S});
        let name = format!("n{number}");
        let instance = self.site.start_instance_with_settings(&name, routing);
        instance.wait_until_ready().await;
        self.instances.lock().push(instance);
    }

    fn remove_random_instance(&self, random: &mut StdRng) -> Option<Instance> {
        let mut instances = self.instances.lock();
        let index = random.random_range(0..instances.len().max(1));
        (index < instances.len()).then(|| instances.remove(index))
    }

    /// Tells an instance to stop and starts another; its callers keep using it until it is gone.
    async fn stop_instance(self: &Arc<Self>, random: &mut StdRng) {
        let Some(mut stopped) = self.remove_random_instance(random) else {
            return;
        };
        stopped.signal(Signal::SIGTERM);
        let soak = self.clone();
        tokio::spawn(async move {
            while stopped.exit_success().is_none() || !stopped.has_log_line("instance stopped") {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            soak.exits.lock().extend(stopped.logged("instance stopped"));
        });
        self.add_instance().await;
    }

    /// Has an engine leave at short notice, with a fault in how it stops generations.
    async fn replace_engine(&self, random: &mut StdRng) {
        self.add_engine().await;
        let leaving = self.engines.lock().remove(0);
        let faults = [
            ServerFault::None,
            ServerFault::LosesStopOrders,
            ServerFault::LosesStopAnswers,
            ServerFault::AnswersStopsLate,
        ];
        leaving.set_fault(*faults.choose(random).expect("faults"));
        self.site.standin.list_server(&leaving, "draining");
        let notice = Duration::from_millis(random.random_range(NOTICE_MS));
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            leaving.kill().await;
        });
    }

    /// Makes an engine lose streams for a time.
    fn lose_streams(&self, random: &mut StdRng) {
        let engine = self.engines.lock().choose(random).cloned();
        let Some(engine) = engine else { return };
        let fault = match random.random_range(0..4) {
            0 => ServerFault::LosesStreamsAndStopOrders,
            _ => ServerFault::LosesStreamsAfter(random.random_range(0..20)),
        };
        engine.set_fault(fault);
        let duration = Duration::from_millis(random.random_range(100..800));
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            engine.set_fault(ServerFault::None);
        });
    }

    async fn inject_fault(self: &Arc<Self>, random: &mut StdRng) {
        match random.random_range(0..8) {
            0 | 1 => self.stop_instance(random).await,
            2 => {
                drop(self.remove_random_instance(random));
                self.add_instance().await;
            }
            3 | 4 => self.replace_engine(random).await,
            5 => {
                self.add_engine().await;
                let killed = self.engines.lock().remove(0);
                killed.kill().await;
                self.site.standin.unlist_server(&killed);
            }
            _ if self.ends_with_connection => self.replace_engine(random).await,
            _ => self.lose_streams(random),
        }
    }

    async fn call_until_over(self: Arc<Self>, seed: u64, number: u64) -> Vec<Record> {
        let mut random = StdRng::seed_from_u64(seed ^ (number << 32));
        // Its open connections are used for as long as their instance accepts requests on them.
        let client = reqwest::Client::new();
        let mut records = Vec::new();
        let mut address = String::new();
        while !self.is_over.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(random.random_range(1..30))).await;
            if address.is_empty() || random.random_bool(0.2) {
                let instances = self.instances.lock();
                address = instances
                    .choose(&mut random)
                    .map_or_else(String::new, Instance::caller_address);
            }
            if address.is_empty() {
                continue;
            }
            let route = if random.random_bool(0.5) {
                "chat"
            } else {
                "check"
            };
            let events = random.random_range(1..EVENTS_MAX);
            let prompt_tokens = random.random_range(1_000..PROMPT_TOKENS_MAX);
            let id = format!("{route}-{number}-{}", records.len());
            let request = client
                .post(format!("http://{address}/{route}/{events}"))
                .header("host", HOST)
                .header("api-key", KEY)
                .header("larkwick-request-id", &id)
                .header("larkwick-deadline-ms", "15000")
                .header("larkwick-model", "m")
                .header(
                    "larkwick-token-count",
                    format!("{prompt_tokens},{}", events * 4),
                )
                .timeout(CALL_TIMEOUT)
                .body("hello");
            let record = send(request, id, events).await;
            if record.status.is_none() {
                address.clear();
            }
            records.push(record);
        }
        records
    }

    /// Checks that the caller got no part for the whole, and the truth about whether it ran.
    fn check_call(&self, record: &Record) {
        let id = &record.id;
        let runs = self.site.standin.servers_that_ran(id).len();
        let runs_max = if id.starts_with("check") { 2 } else { 1 };
        assert!(runs <= runs_max, "{id} was started {runs} times");
        if record
            .status
            .is_some_and(|status| NOT_RUN.contains(&status))
        {
            assert_eq!(runs, 0, "{id} got status {:?} and ran", record.status);
        }
        if record.status != Some(200) {
            return;
        }
        let numbers = event_numbers(&record.body);
        let count = u32::try_from(numbers.len()).expect("few events");
        let expected: Vec<u32> = (1..=count).collect();
        assert_eq!(numbers, expected, "{id}: an event is missing or duplicated");
        assert!(
            !record.is_complete || count == record.events,
            "{id}: complete after {count} of {} events",
            record.events
        );
    }

    /// Checks that no planned stop cut a call whose truth was known.
    fn check_exits(&self) -> usize {
        let exits = self.exits.lock();
        for exit in exits.iter() {
            for phase in ["receiving", "waiting", "forwarded"] {
                assert_eq!(exit[phase], "0", "a planned stop cut calls: {exit}");
            }
        }
        exits.len()
    }
}

async fn send(request: reqwest::RequestBuilder, id: String, events: u32) -> Record {
    let mut record = Record {
        id,
        events,
        status: None,
        body: String::new(),
        is_complete: false,
    };
    let Ok(mut response) = request.send().await else {
        return record;
    };
    record.status = Some(response.status().as_u16());
    let mut body = Vec::new();
    record.is_complete = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    record.body = String::from_utf8_lossy(&body).into_owned();
    record
}

/// Returns a number from an environment variable; `None` if it is unset or invalid.
fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

async fn run_seed(seed: u64) {
    let soak = Soak::start(seed).await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(soak.clone().call_until_over(seed, number)))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        tokio::time::sleep(FAULT_INTERVAL).await;
        soak.inject_fault(&mut random).await;
    }
    soak.is_over.store(true, Ordering::Relaxed);
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.expect("caller task completes"));
    }
    let whole = all
        .iter()
        .filter(|record| record.status == Some(200) && record.is_complete);
    let unanswered = all.iter().filter(|record| record.status.is_none());
    println!(
        "seed {seed}: {} of {} whole, {} without an answer",
        whole.count(),
        all.len(),
        unanswered.count()
    );
    for record in &all {
        soak.check_call(record);
    }
    let twice = soak.site.standin.ran_twice_at_once();
    assert!(twice.is_empty(), "at two engines at once: {twice:?}");
    println!("seed {seed}: {} planned stops", soak.check_exits());
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_no_part_for_the_whole_no_run_twice_at_once_no_wait_cut() {
    let first = env_number("SOAK_FIRST").unwrap_or(1);
    let count = env_number("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS);
    for seed in first..first + count {
        println!("seed {seed}");
        run_seed(seed).await;
    }
}
