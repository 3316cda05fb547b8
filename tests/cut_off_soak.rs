//! Soak test of instances that lose their way to the endpoints, in series and overlapping with stops,
//! kills and refusals, while callers keep using open connections.
//!
//! `cargo test --test cut_off_soak` runs three seeds. For more:
//! `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --test cut_off_soak -- --nocapture`.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerFault, ServerKind};
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use support::link::{Cut, Link};
use support::site::{Caller, Instance, RoutedSite, event_numbers, wait_until};

const DEFAULT_SEEDS: u64 = 3;
const INSTANCES: u32 = 3;
const ENDPOINTS_PER_SERVICE: usize = 3;
const FAULTS: u32 = 16;
const FAULT_INTERVAL: Duration = Duration::from_millis(150);
const CALLERS: u64 = 6;
/// Time after which an instance that was told to stop is killed.
const STOP_TIME: Duration = Duration::from_secs(4);
const EVENTS: u32 = 12;
/// Statuses that promise that a request did not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// An instance with its own links to all endpoints.
struct LinkedInstance {
    instance: Instance,
    links: Vec<Link>,
}

/// A request and its result, as seen by the caller.
struct Record {
    id: String,
    route: &'static str,
    /// `None` if the connection failed before a response.
    status: Option<u16>,
    body: String,
    is_complete: bool,
}

struct Soak {
    site: RoutedSite,
    endpoints: Vec<Arc<Server>>,
    instances: Mutex<Vec<Arc<LinkedInstance>>>,
    started: AtomicU32,
    is_over: AtomicBool,
}

impl Soak {
    async fn start() -> Arc<Self> {
        let site = RoutedSite::start(0).await;
        let mut endpoints = Vec::new();
        for (service, kind) in [("app", ServerKind::Plain), ("llm", ServerKind::Engine)] {
            for _ in 0..ENDPOINTS_PER_SERVICE {
                let server = site.standin.start_server(service, kind).await;
                endpoints.push(server.expect("server starts"));
            }
        }
        let soak = Arc::new(Self {
            site,
            endpoints,
            instances: Mutex::default(),
            started: AtomicU32::new(0),
            is_over: AtomicBool::new(false),
        });
        for _ in 0..INSTANCES {
            soak.add_instance().await;
        }
        soak
    }

    async fn add_instance(&self) {
        let endpoints = self.endpoints.iter();
        let links: Vec<Link> = endpoints
            .map(|server| Link::start(server.address()))
            .collect();
        let pairs = self.endpoints.iter().zip(&links);
        let forwarders: BTreeMap<String, String> = pairs
            .map(|(server, link)| (server.address().to_string(), link.address.to_string()))
            .collect();
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let routing = json!({"endpoint_forwarders": forwarders});
        let instance = self
            .site
            .start_instance_with_settings(&format!("n{number}"), routing);
        instance.wait_until_ready().await;
        let linked = LinkedInstance { instance, links };
        self.instances.lock().push(Arc::new(linked));
    }

    fn random_instance(&self, random: &mut StdRng) -> Option<Arc<LinkedInstance>> {
        self.instances.lock().choose(random).cloned()
    }

    async fn inject_fault(self: &Arc<Self>, random: &mut StdRng) {
        let Some(linked) = self.random_instance(random) else {
            return;
        };
        match random.random_range(0..6) {
            0 => self.replace(&linked, Signal::SIGTERM).await,
            1 => self.replace(&linked, Signal::SIGKILL).await,
            2 => self.refuse_for(random),
            _ => Self::cut_for(linked, random),
        }
    }

    /// Cuts an instance off from all endpoints or those of one service, for a random time.
    fn cut_for(linked: Arc<LinkedInstance>, random: &mut StdRng) {
        let cut = [Cut::RefusesNew, Cut::Resets, Cut::Silent];
        let cut = *cut.choose(random).expect("not empty");
        let first = random.random_range(0..2) * ENDPOINTS_PER_SERVICE;
        let count = random.random_range(1..=2) * ENDPOINTS_PER_SERVICE;
        let duration = Duration::from_millis(random.random_range(200..1_500));
        tokio::spawn(async move {
            let links = || linked.links.iter().skip(first).take(count);
            for link in links() {
                link.cut(cut).await;
            }
            tokio::time::sleep(duration).await;
            for link in links() {
                link.restore().await;
            }
        });
    }

    fn refuse_for(self: &Arc<Self>, random: &mut StdRng) {
        let server = self.endpoints.choose(random).expect("not empty").clone();
        server.set_fault(ServerFault::Refuses);
        let duration = Duration::from_millis(random.random_range(100..800));
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            server.set_fault(ServerFault::None);
        });
    }

    /// Stops or kills an instance and starts another one. Callers use it until its process is gone.
    async fn replace(&self, linked: &Arc<LinkedInstance>, signal: Signal) {
        linked.instance.signal(signal);
        let stopping = linked.clone();
        tokio::spawn(async move {
            tokio::time::sleep(STOP_TIME).await;
            drop(stopping);
        });
        self.instances
            .lock()
            .retain(|other| !Arc::ptr_eq(other, linked));
        self.add_instance().await;
    }

    /// Sends requests on connections that are kept open, until the soak is over.
    async fn call_until_over(self: Arc<Self>, seed: u64, caller: u64) -> Vec<Record> {
        let mut random = StdRng::seed_from_u64(seed * CALLERS + caller);
        let client = reqwest::Client::new();
        let mut records = Vec::new();
        let mut current: Option<Caller> = None;
        while !self.is_over.load(Ordering::Relaxed) {
            if current.is_none() || random.random_bool(0.1) {
                let linked = self.random_instance(&mut random);
                current = linked.map(|linked| linked.instance.caller());
            }
            let Some(instance) = &current else { continue };
            let route = *["once", "calls", "chat", "check"]
                .choose(&mut random)
                .expect("not empty");
            let id = format!("s{caller}-{}", records.len());
            let record = send(&client, instance, route, id).await;
            if record.status.is_none() {
                current = None;
            }
            records.push(record);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        records
    }

    fn check(&self, record: &Record) {
        let Record { id, status, .. } = record;
        let runs = self.site.standin.servers_that_ran(id).len();
        let route = record.route;
        let attempts_max = if ["calls", "check"].contains(&route) {
            2
        } else {
            1
        };
        assert!(runs <= attempts_max, "{route} {id} ran {runs} times");
        if status.is_some_and(|status| NOT_RUN.contains(&status)) {
            assert_eq!(runs, 0, "{route} {id}: {status:?}, and it ran");
        }
        if *status == Some(200) && ["chat", "check"].contains(&route) {
            let numbers = event_numbers(&record.body);
            let expected: Vec<u32> = (1..=EVENTS).take(numbers.len()).collect();
            assert_eq!(numbers, expected, "{route} {id}");
            let is_whole = numbers.len() == expected.len() && numbers.len() == EVENTS as usize;
            assert!(is_whole || !record.is_complete, "{route} {id}: {numbers:?}");
        }
    }

    /// Checks that each instance serves all kinds of requests once all faults are over.
    async fn check_recovery(&self) {
        let instances = self.instances.lock().clone();
        for (number, linked) in instances.iter().enumerate() {
            for link in &linked.links {
                link.restore().await;
            }
            let client = reqwest::Client::new();
            let caller = linked.instance.caller();
            for route in ["once", "calls", "chat", "check"] {
                let mut tries = 0;
                wait_until("served after all faults", async || {
                    tries += 1;
                    let id = format!("r{number}-{route}-{tries}");
                    send(&client, &caller, route, id).await.status == Some(200)
                })
                .await;
            }
        }
    }
}

async fn send(
    client: &reqwest::Client,
    caller: &Caller,
    route: &'static str,
    id: String,
) -> Record {
    let request = match route {
        "chat" => caller.generation(EVENTS, &id),
        "check" => caller.resumable_generation(EVENTS, &id),
        _ => caller.request_with_deadline(&format!("/{route}/x"), &id, "3000"),
    };
    let request = request.build().expect("a request");
    let mut record = Record {
        id,
        route,
        status: None,
        body: String::new(),
        is_complete: false,
    };
    let Ok(mut response) = client.execute(request).await else {
        return record;
    };
    record.status = Some(response.status().as_u16());
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => {
                record.is_complete = true;
                break;
            }
            Err(_) => break,
        }
    }
    record.body = String::from_utf8_lossy(&body).into_owned();
    record
}

async fn run_seed(seed: u64) {
    let soak = Soak::start().await;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(soak.clone().call_until_over(seed, caller)))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        soak.inject_fault(&mut random).await;
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
    soak.is_over.store(true, Ordering::Relaxed);
    let (mut sent, mut served) = (0, 0);
    for caller in callers {
        for record in caller.await.expect("a caller") {
            soak.check(&record);
            sent += 1;
            served += u32::from(record.status == Some(200) && record.is_complete);
        }
    }
    for endpoint in &soak.endpoints {
        endpoint.set_fault(ServerFault::None);
    }
    soak.check_recovery().await;
    println!("seed {seed}: {served} of {sent} served");
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_soak_guarantees_hold() {
    let first = env_number("SOAK_FIRST").unwrap_or(1);
    for seed in first..first + env_number("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS) {
        println!("seed {seed}");
        run_seed(seed).await;
    }
}
