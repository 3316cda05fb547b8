//! Soak test: runs instances under overlapping faults and checks the guarantees that callers and
//! servers can observe.
//!
//! `cargo test --test soak` runs the seeds that failed before and two more. For more seeds:
//! `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --test soak -- --nocapture`; `SOAK_INSTANCES=40` sets
//! the number of instances.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use larkwick::standin::site::KEY;
use larkwick::standin::site::server::{Server, ServerFault};
use larkwick::standin::site::store::StoreFault;
use nix::sys::signal::Signal;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use support::proxy::{LinkMode, Proxy};
use support::site::{Caller, Instance, RoutedSite, event_numbers, wait_until};
use support::suspension::SuspendableInstance;

/// Seeds that failed before.
///
/// 31026: late entries of former incarnations remained the latest ones of all plain endpoints, so
/// that an instance started afterwards knew no endpoint. The simulated endpoints now rewrite their
/// entries.
///
/// 5030: up to five calls reached an endpoint within the rest that its former start had asked for
/// (2 of 19 runs). The check now ends with the start.
const REGRESSION_SEEDS: [u64; 2] = [31026, 5030];
/// Number of instances unless `SOAK_INSTANCES` is set.
const DEFAULT_INSTANCES: u64 = 4;
/// Additional routes of a large configuration; as many as in the largest one in use.
const EXTRA_ROUTES: u32 = 1_400;
/// Number of injected faults.
const FAULTS: u32 = 24;
/// Interval between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(120);
const CALLERS: usize = 6;
/// Time between two rounds in which engines leave at short notice.
const SHORT_NOTICE_PAUSE_MS: std::ops::Range<u64> = 300..900;
/// Time from the notice of such an engine to its end.
const NOTICE_MS: std::ops::Range<u64> = 300..1_500;

/// Time after which a server rewrites its entry.
const ENTRY_REWRITE_DELAY: Duration = Duration::from_millis(150);

/// A request and its result, as seen by the caller.
struct CallRecord {
    id: String,
    /// Number of requested events; `None` for a call that must run at most once.
    events: Option<u32>,
    /// `None` if the connection failed before a response.
    status: Option<u16>,
    body: String,
    is_complete: bool,
    /// Address of the called instance; empty if the checks do not need it.
    instance: String,
    sent_at: Instant,
    ended_at: Instant,
}

/// Request body that crashes each endpoint that starts to run it.
const CRASHING_BODY: &[u8] = b"a body that no endpoint survives";
/// Prompt segment that crashes each engine that starts to answer it.
const CRASHING_SEGMENT: &str = "bad0";
const PROMPT: &str = "larkwick-prompt-prefix";
/// Prompt segment of all generations, sound or not.
const SHARED_SEGMENT: &str = "a1";
/// Maximum number of endpoints that the crashing request, or requests with the crashing segment,
/// may crash after all faults are over.
///
/// Three until it is refused, and three for further sends.
const CRASHES_MAX: usize = 6;
/// Limit that one plain endpoint and one engine announce: they accept nothing and are only probed.
const ANNOUNCED_LIMIT: &str = "0";
/// Maximum number of requests to a limited endpoint within any [`LIMIT_SPAN`]: 1.5 times the limit,
/// and five.
///
/// Counted are requests from instances that received the limit at least [`LIMIT_PROPAGATION`]
/// before.
const LIMITED_REQUESTS_MAX: usize = 5;
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const LIMIT_PROPAGATION: Duration = Duration::from_millis(500);
/// Number of crashing requests in one fault.
const CRASHING_ATTEMPTS: u32 = 6;
/// Maximum number of requests to a server within a cooldown that it asked for.
const COOLDOWN_REQUESTS_MAX: usize = 2;
/// Maximum length of a simulated suspension.
const SUSPENSION_MAX_MS: u64 = 6_000;

/// What makes a request crash the endpoints that run it.
#[derive(Debug, Clone, Copy)]
enum Crash {
    /// Its body, the same each time.
    Body,
    /// A segment of its prompt; no two of these requests are alike.
    Segment,
}

/// Returns the segments of a prompt: these and one of its own.
fn prompt(shared: &[&str], own: &str) -> String {
    let shared = shared.iter().map(|id| format!("{id}:300,"));
    shared.chain([format!("{own}:20")]).collect()
}

struct Soak {
    /// In-process instance whose suspension is simulated.
    suspendable: SuspendableInstance,
    crashing_requests: AtomicU32,
    site: RoutedSite,
    /// Proxy in front of the store.
    store_proxy: Arc<Proxy>,
    instances: Mutex<Vec<Instance>>,
    /// Proxies in front of the instances' peer addresses, including stopped instances.
    peer_proxies: Mutex<Vec<Arc<Proxy>>>,
    /// Engines with the proxies in front of them.
    engines: Mutex<Vec<(Arc<Server>, Arc<Proxy>)>>,
    instances_started: AtomicU32,
    config_version: AtomicU32,
    /// Start time of the next incarnation of an endpoint, as in the field `born` of its entry.
    next_born: AtomicU32,
    /// Ids of plain endpoints that started anew, and when.
    app_starts: Mutex<Vec<(String, Instant)>>,
    /// Set when the callers are to stop.
    is_over: AtomicBool,
}

impl Soak {
    async fn start(decides_under_load: bool) -> Arc<Self> {
        let mut site = RoutedSite::start(3).await;
        if decides_under_load {
            site.turn_on_load_decisions();
        }
        let store_proxy = Arc::new(Proxy::start(site.standin.store_address()).await);
        site.set_store_address(store_proxy.address);
        site.standin.crash_servers_on(CRASHING_BODY);
        site.standin.crash_servers_on_segment(CRASHING_SEGMENT);
        let suspendable = SuspendableInstance::start(&site, "suspended").await;
        let soak = Self {
            suspendable,
            crashing_requests: AtomicU32::new(0),
            site,
            store_proxy,
            instances: Mutex::default(),
            peer_proxies: Mutex::default(),
            engines: Mutex::default(),
            instances_started: AtomicU32::new(0),
            config_version: AtomicU32::new(2),
            next_born: AtomicU32::new(1),
            app_starts: Mutex::default(),
            is_over: AtomicBool::new(false),
        };
        for _ in 0..4 {
            soak.add_engine().await;
        }
        for _ in 0..env_number("SOAK_INSTANCES").unwrap_or(DEFAULT_INSTANCES) {
            soak.add_instance().await;
        }
        Arc::new(soak)
    }

    /// Replaces engines that crashed; the proxy of a crashed engine is closed with it.
    async fn replace_crashed(self: Arc<Self>) {
        const POLL_INTERVAL: Duration = Duration::from_millis(3);
        let mut replaced = 0;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let crashed = self.site.standin.crashed_servers();
            for id in &crashed[replaced..] {
                let removed = {
                    let mut engines = self.engines.lock();
                    let position = engines.iter().position(|(engine, _)| engine.id == *id);
                    position.map(|index| engines.remove(index))
                };
                if let Some((engine, proxy)) = removed {
                    drop(proxy);
                    let soak = self.clone();
                    tokio::spawn(async move {
                        soak.add_engine().await;
                        tokio::time::sleep(Duration::from_millis(300)).await;
                        soak.site.standin.unlist_server(&engine);
                    });
                }
            }
            replaced = crashed.len();
        }
    }

    /// Sends a crashing request to an instance; returns the response status, if any.
    async fn send_crashing_request(&self, caller: &Caller, crash: Crash) -> Option<u16> {
        let number = self.crashing_requests.fetch_add(1, Ordering::Relaxed);
        let id = format!("crashing-{number}");
        let request = caller.generation(2, &id);
        let request = match crash {
            Crash::Body => request.body(CRASHING_BODY),
            Crash::Segment => {
                let prompt = prompt(&[SHARED_SEGMENT, CRASHING_SEGMENT], &id);
                request.body(id.clone()).header(PROMPT, prompt)
            }
        };
        let record = send_and_record(request, id, None).await;
        if record.status == Some(503) {
            let ran = self.site.standin.servers_that_ran(&record.id);
            assert!(ran.is_empty(), "{} got status 503 and ran", record.id);
        }
        record.status
    }

    /// Sends crashing requests repeatedly to random instances.
    fn send_crashing_requests(self: &Arc<Self>, random: &mut StdRng, crash: Crash) {
        let callers: Vec<Caller> = (0..CRASHING_ATTEMPTS)
            .filter_map(|_| self.random_caller(random))
            .collect();
        let soak = self.clone();
        tokio::spawn(async move {
            for caller in callers {
                soak.send_crashing_request(&caller, crash).await;
            }
        });
    }

    /// Checks that all instances refuse what crashes endpoints, after at most [`CRASHES_MAX`] more
    /// crashes each, and still serve the sound requests that share a segment with it.
    ///
    /// All other faults must be over.
    async fn check_crashing_refused(&self) {
        for crash in [Crash::Body, Crash::Segment] {
            let before = self.site.standin.crashed_servers().len();
            for caller in self.callers() {
                wait_until("the crashing request is refused", async || {
                    self.send_crashing_request(&caller, crash).await == Some(503)
                })
                .await;
            }
            let more = self.site.standin.crashed_servers().len() - before;
            assert!(
                more <= CRASHES_MAX,
                "{more} endpoints crashed by {crash:?} after all faults were over"
            );
        }
        for caller in self.callers() {
            wait_until("a sound generation is served", async || {
                let request = caller.generation(2, "sound");
                let request = request.header(PROMPT, prompt(&[SHARED_SEGMENT], "sound"));
                let record = send_and_record(request, String::new(), None).await;
                record.status == Some(200) && record.is_complete
            })
            .await;
        }
    }

    /// Returns callers of all running instances.
    fn callers(&self) -> Vec<Caller> {
        let instances = self.instances.lock();
        let callers = instances.iter().map(Instance::caller);
        callers.chain([self.suspendable.caller()]).collect()
    }

    async fn add_engine(&self) {
        let (engine, proxy) = self.site.start_engine_behind_proxy().await;
        self.engines.lock().push((engine, Arc::new(proxy)));
    }

    async fn add_instance(&self) {
        let number = self.instances_started.fetch_add(1, Ordering::Relaxed);
        let seeds: Vec<String> = {
            let proxies = self.peer_proxies.lock();
            proxies
                .iter()
                .map(|proxy| proxy.address.to_string())
                .collect()
        };
        let name = format!("n{number}");
        let (instance, proxy) = self.site.start_instance_behind_proxy(&name, &seeds).await;
        self.peer_proxies.lock().push(Arc::new(proxy));
        self.instances.lock().push(instance);
    }

    fn random_peer_proxy(&self, random: &mut StdRng) -> Arc<Proxy> {
        let proxies = self.peer_proxies.lock();
        proxies.choose(random).expect("instances").clone()
    }

    /// Blackholes all open connections to the store, to engines and between instances.
    fn blackhole_all(&self) {
        self.store_proxy.blackhole_open_connections();
        let engines = self.engines.lock();
        let peer_proxies = self.peer_proxies.lock();
        let engine_proxies = engines.iter().map(|(_, proxy)| proxy);
        for proxy in engine_proxies.chain(peer_proxies.iter()) {
            proxy.blackhole_open_connections();
        }
    }

    fn random_caller(&self, random: &mut StdRng) -> Option<Caller> {
        self.callers().choose(random).cloned()
    }

    /// Injects a random fault; faults that last for a time may overlap.
    async fn inject_fault(self: &Arc<Self>, random: &mut StdRng) {
        let duration = Duration::from_millis(random.random_range(50..600));
        match random.random_range(0..33) {
            0 => {
                let killed = self.remove_random_instance(random);
                drop(killed);
                self.add_instance().await;
            }
            1 => {
                if let Some(instance) = self.remove_random_instance(random) {
                    instance.signal(Signal::SIGTERM);
                    self.add_instance().await;
                    tokio::spawn(wait_for_exit(instance));
                }
            }
            2 => {
                let instances = self.instances.lock();
                if let Some(instance) = instances.choose(random) {
                    instance.signal(Signal::SIGSTOP);
                    let resume = instance.resume_handle();
                    tokio::spawn(async move {
                        tokio::time::sleep(duration).await;
                        resume();
                    });
                }
            }
            3 => self.set_store_fault_for(StoreFault::Busy, duration),
            4 => self.set_store_fault_for(StoreFault::Unresponsive, duration),
            5 => self.set_store_fault_for(StoreFault::LosesAppendReplies, duration),
            6 => set_link_mode_for(&self.store_proxy, random_link_mode(random), duration),
            7 => self.store_proxy.reset(),
            8 => self.publish(0),
            9 => self.publish(EXTRA_ROUTES),
            10 => self.replace_engine(random).await,
            11 => set_link_mode_for(
                &self.random_engine_proxy(random),
                random_link_mode(random),
                duration,
            ),
            12 => self.random_engine_proxy(random).reset(),
            13 => {
                let topics = ["keyed.op", "keyed.servers", "keyed.status"];
                let topic = topics.choose(random).expect("topics");
                self.site.standin.store.compact(topic);
            }
            14 => {
                let instances = self.instances.lock();
                if let Some(instance) = instances.choose(random) {
                    instance.signal(Signal::SIGHUP);
                }
            }
            15 => self.store_proxy.blackhole_open_connections(),
            16 => self
                .random_engine_proxy(random)
                .blackhole_open_connections(),
            17 => self.random_peer_proxy(random).blackhole_open_connections(),
            18 => self.blackhole_all(),
            19 => set_link_mode_for(
                &self.random_peer_proxy(random),
                random_link_mode(random),
                duration,
            ),
            20 => self.random_peer_proxy(random).reset(),
            21 => self.evacuate_for(duration),
            22 => self.restart_app(random),
            23 => self.corrupt_entry(random, duration),
            24 => self.send_crashing_requests(random, Crash::Body),
            25 => self.send_crashing_requests(random, Crash::Segment),
            27 | 28 => self.drain_by_responses_only(random).await,
            29 => self.start_cooldown_fault(random, duration),
            30 | 31 => self.restore_store(random, duration),
            26 => {
                let suspended_ms = random.random_range(500..SUSPENSION_MAX_MS);
                let clock = &self.suspendable.clock;
                clock.suspend(Duration::from_millis(suspended_ms));
            }
            _ => {
                let faults = [
                    ServerFault::Refuses,
                    ServerFault::RunsAndCloses,
                    ServerFault::WrongRequestId,
                    ServerFault::Unsealed,
                ];
                let app = self.site.apps.choose(random).expect("servers").clone();
                app.set_fault(*faults.choose(random).expect("faults"));
                tokio::spawn(async move {
                    tokio::time::sleep(duration).await;
                    app.set_fault(ServerFault::None);
                });
            }
        }
    }

    fn remove_random_instance(&self, random: &mut StdRng) -> Option<Instance> {
        let mut instances = self.instances.lock();
        let index = random.random_range(0..instances.len().max(1));
        (index < instances.len()).then(|| instances.remove(index))
    }

    fn set_store_fault_for(self: &Arc<Self>, fault: StoreFault, duration: Duration) {
        self.site.standin.store.set_fault(fault);
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            soak.site.standin.store.set_fault(StoreFault::None);
        });
    }

    fn publish(&self, extra_routes: u32) {
        let version = u64::from(self.config_version.fetch_add(1, Ordering::Relaxed)) + 1;
        let standin = &self.site.standin;
        standin.publish_with_routes(version, &[KEY], extra_routes);
    }

    fn random_engine_proxy(&self, random: &mut StdRng) -> Arc<Proxy> {
        let engines = self.engines.lock();
        let (_, proxy) = engines.choose(random).expect("engines");
        proxy.clone()
    }

    /// Evacuates the hall of all endpoints; a second order may come before the first is deleted.
    fn evacuate_for(self: &Arc<Self>, duration: Duration) {
        self.site.standin.evacuate_hall("hall-1");
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            soak.site.standin.restore_hall("hall-1");
        });
    }

    fn random_app(&self, random: &mut StdRng) -> Arc<Server> {
        self.site.apps.choose(random).expect("servers").clone()
    }

    fn list_with_start_time(&self, app: &Server, state: &str, born: u32) {
        let fields = json!({"state": state, "born": born});
        self.site.standin.list_server_with(app, &fields);
    }

    fn record_start(&self, app: &Server) {
        let start = (app.id.clone(), Instant::now());
        self.app_starts.lock().push(start);
    }

    /// Returns when a server first started anew after this time, if it did.
    fn next_start(&self, server: &str, after: Instant) -> Option<Instant> {
        let starts = self.app_starts.lock();
        let later = starts
            .iter()
            .filter(|(id, at)| id == server && *at >= after);
        later.map(|(_, at)| *at).min()
    }

    /// Restarts a plain endpoint under its id.
    ///
    /// A late entry of the former incarnation follows its new entry, and later the new entry again.
    fn restart_app(self: &Arc<Self>, random: &mut StdRng) {
        let app = self.random_app(random);
        let born = self.next_born.fetch_add(2, Ordering::Relaxed);
        self.record_start(&app);
        self.list_with_start_time(&app, "draining", born);
        self.list_with_start_time(&app, "ready", born + 1);
        self.list_with_start_time(&app, "draining", born);
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_REWRITE_DELAY).await;
            soak.list_with_start_time(&app, "ready", born + 1);
        });
    }

    /// Overwrites the entry of a plain endpoint with invalid bytes for a time.
    fn corrupt_entry(self: &Arc<Self>, random: &mut StdRng, duration: Duration) {
        let app = self.random_app(random);
        let store = &self.site.standin.store;
        store.put_raw("keyed.servers", &app.id, b"\xff{\"state\":");
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            let born = soak.next_born.fetch_add(2, Ordering::Relaxed);
            soak.record_start(&app);
            soak.list_with_start_time(&app, "ready", born);
        });
    }

    /// Replaces an engine, which drains, loses its entry or crashes.
    async fn replace_engine(&self, random: &mut StdRng) {
        self.add_engine().await;
        let (leaving, proxy) = {
            let mut engines = self.engines.lock();
            let index = random.random_range(0..engines.len());
            engines.remove(index)
        };
        match random.random_range(0..3) {
            0 => self.site.standin.list_server(&leaving, "draining"),
            1 => self.site.standin.unlist_server(&leaving),
            _ => leaving.kill().await,
        }
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            leaving.kill().await;
            drop(proxy);
        });
    }

    /// Replaces two engines at once that leave at short notice, again and again.
    async fn replace_engines_at_short_notice(self: Arc<Self>, seed: u64) {
        let mut random = StdRng::seed_from_u64(!seed);
        loop {
            let pause = Duration::from_millis(random.random_range(SHORT_NOTICE_PAUSE_MS));
            tokio::time::sleep(pause).await;
            for _ in 0..2 {
                self.add_engine().await;
                let notice = Duration::from_millis(random.random_range(NOTICE_MS));
                tokio::spawn(self.remove_oldest_engine(notice));
            }
        }
    }

    /// Has the engine that runs longest leave after `notice`.
    fn remove_oldest_engine(&self, notice: Duration) -> impl Future<Output = ()> + use<> {
        let (leaving, proxy) = self.engines.lock().remove(0);
        leaving.announce_leave(notice);
        self.site.standin.list_server(&leaving, "draining");
        async move {
            tokio::time::sleep(notice).await;
            leaving.kill().await;
            drop(proxy);
        }
    }

    /// Replaces an engine that announces draining in its responses only.
    ///
    /// Its entry stays ready until the engine has stopped.
    async fn drain_by_responses_only(&self, random: &mut StdRng) {
        self.add_engine().await;
        let (leaving, proxy) = {
            let mut engines = self.engines.lock();
            let index = random.random_range(0..engines.len());
            engines.remove(index)
        };
        leaving.announce_draining("1");
        let site = self.site.standin.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            leaving.kill().await;
            drop(proxy);
            site.delete("keyed.servers", &leaving.id);
        });
    }

    /// Restores the store from a snapshot of some age.
    ///
    /// The operator and the servers repeat their lost writes shortly afterwards.
    fn restore_store(self: &Arc<Self>, random: &mut StdRng, age: Duration) {
        let snapshot = self.site.standin.store.snapshot();
        let replay_delay = Duration::from_millis(random.random_range(0..400));
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(age).await;
            let store = &soak.site.standin.store;
            let before = store.restore(snapshot);
            tokio::time::sleep(replay_delay).await;
            store.replay_lost_writes(&before);
        });
    }

    /// Makes a plain endpoint refuse all requests for a time and ask for a cooldown each time.
    fn start_cooldown_fault(&self, random: &mut StdRng, duration: Duration) {
        let app = self.random_app(random);
        app.set_fault(ServerFault::Refuses);
        app.set_cooldown(Some("0.7"));
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            app.set_fault(ServerFault::None);
            app.set_cooldown(None);
        });
    }

    /// Makes one plain endpoint and one engine announce a limit for all instances together.
    fn announce_limits(&self) -> Vec<Arc<Server>> {
        let engines = self.engines.lock();
        let limited = vec![self.site.apps[0].clone(), engines[0].0.clone()];
        for server in &limited {
            server.announce_limit(Some(ANNOUNCED_LIMIT));
        }
        limited
    }

    /// Checks the number of requests that limited servers got from instances that had received the
    /// limit.
    ///
    /// The requests of all these instances count together.
    fn check_limits(&self, limited: &[Arc<Server>], all: &[CallRecord]) {
        let instance_of: HashMap<&str, &str> = all
            .iter()
            .map(|record| (record.id.as_str(), record.instance.as_str()))
            .collect();
        for server in limited {
            let mut informed_at: HashMap<&str, Instant> = HashMap::new();
            let mut counted: Vec<Instant> = Vec::new();
            for arrival in self.site.standin.arrivals() {
                let instance = instance_of.get(arrival.request.as_str());
                let Some(instance) = instance.filter(|_| arrival.server == server.id) else {
                    continue;
                };
                let informed_at = *informed_at.entry(instance).or_insert(arrival.at);
                if arrival.at > informed_at + LIMIT_PROPAGATION {
                    counted.push(arrival.at);
                }
            }
            let count_from = |first: &Instant| {
                let span = *first..*first + LIMIT_SPAN;
                counted.iter().filter(|at| span.contains(*at)).count()
            };
            let most = counted.iter().map(count_from).max().unwrap_or_default();
            println!(
                "{most} reached {} from instances that had received its limit",
                server.id
            );
            assert!(most <= LIMITED_REQUESTS_MAX, "{most} reached {}", server.id);
        }
    }

    /// Checks that an instance obeys the draining and cooldown signals of the responses that it
    /// received.
    fn check_signals(&self, all: &[CallRecord]) {
        let arrivals = self.site.standin.arrivals();
        let suspended = self.suspendable.caller().address;
        let (mut draining_count, mut cooldown_count) = (0, 0);
        let calls: HashMap<&str, &CallRecord> = all
            .iter()
            .map(|record| (record.id.as_str(), record))
            .collect();
        for signalled in &arrivals {
            let Some(call) = calls.get(signalled.request.as_str()) else {
                continue;
            };
            // Requests through the same instance that were sent after the response had arrived.
            let later = arrivals.iter().filter(|arrival| {
                let record = calls.get(arrival.request.as_str());
                arrival.server == signalled.server
                    && record.is_some_and(|record| {
                        record.instance == call.instance && record.sent_at > call.ended_at
                    })
            });
            // The instance forwarded the response, and so has read the signals in its head.
            let is_forwarded = call.status == Some(200)
                && self
                    .site
                    .standin
                    .servers_that_ran(&signalled.request)
                    .contains(&signalled.server);
            if signalled.announced_draining && is_forwarded {
                draining_count += 1;
                let late: Vec<&str> = later
                    .clone()
                    .map(|arrival| arrival.request.as_str())
                    .collect();
                assert!(late.is_empty(), "{late:?} reached {}", signalled.server);
            }
            // The suspended instance is excluded: its clock is ahead of the servers' clocks.
            if let Some(cooldown_until) = signalled.cooldown_until
                && call.instance != suspended
                && matches!(call.status, Some(200 | 503))
            {
                cooldown_count += 1;
                // What one start asked for does not bind the next one. In seed 5030 an endpoint
                // starts anew 0.6 s after it began to ask for 0.7 s.
                let next_start = self.next_start(&signalled.server, signalled.at);
                let until = next_start.map_or(cooldown_until, |start| start.min(cooldown_until));
                let in_cooldown = later.filter(|arrival| arrival.at < until).count();
                assert!(
                    in_cooldown <= COOLDOWN_REQUESTS_MAX,
                    "{in_cooldown} reached {}",
                    signalled.server
                );
            }
        }
        println!("{draining_count} draining signals and {cooldown_count} cooldowns received");
    }

    async fn call_until_over(self: Arc<Self>, random_seed: u64, number: usize) -> Vec<CallRecord> {
        let mut random = StdRng::seed_from_u64(random_seed ^ (number as u64) << 32);
        let mut records = Vec::new();
        while !self.is_over.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(random.random_range(1..10))).await;
            let Some(caller) = self.random_caller(&mut random) else {
                continue;
            };
            let id = format!("c{number}-{}", records.len());
            let events = random.random_bool(0.5).then(|| random.random_range(1..40));
            let request = match events {
                Some(events) => caller
                    .generation(events, &id)
                    .header(PROMPT, prompt(&[SHARED_SEGMENT], &id)),
                None => caller.request("/once/1", &id),
            };
            let result = send_and_record(request, id, events).await;
            let instance = caller.address.clone();
            records.push(CallRecord { instance, ..result });
        }
        records
    }

    /// Checks the guarantees on a single request.
    ///
    /// It ran at most once, did not run if it was refused, and its events are complete and in
    /// order.
    fn check_call(&self, record: &CallRecord) {
        let runs = self.site.standin.servers_that_ran(&record.id).len();
        let id = &record.id;
        assert!(runs <= 1, "{id} ran {runs} times");
        if matches!(record.status, Some(408 | 421 | 429 | 503)) {
            assert_eq!(runs, 0, "{id} got status {:?} and ran", record.status);
        }
        if record.status != Some(200) {
            return;
        }
        let Some(events) = record.events else {
            assert!(
                !record.is_complete || record.body == "hello",
                "{id}: {:?}",
                record.body
            );
            return;
        };
        let numbers = event_numbers(&record.body);
        let count = u32::try_from(numbers.len()).expect("few events");
        let expected: Vec<u32> = (1..=count).collect();
        assert_eq!(numbers, expected, "{id}: an event is missing or duplicated");
        assert!(
            !record.is_complete || count == events,
            "{id}: complete after {count} of {events} events"
        );
    }

    /// Checks that all instances serve again after the faults are over.
    async fn check_recovery(&self) {
        let callers = self.callers();
        let version = self.config_version.load(Ordering::Relaxed);
        for caller in &callers {
            wait_until(
                "the last configuration is in force and no call is in flight",
                async || {
                    let state = caller.state().await;
                    state["config_version"].as_u64().unwrap_or_default() >= u64::from(version)
                        && state["calls"] == 0
                        && state["ready"] == true
                },
            )
            .await;
            wait_until("calls are served", async || {
                let record =
                    send_and_record(caller.request("/once/1", "after"), String::new(), None).await;
                record.status == Some(200)
            })
            .await;
        }
    }
}

fn random_link_mode(random: &mut StdRng) -> LinkMode {
    let modes = [
        LinkMode::Delayed(Duration::from_millis(80)),
        LinkMode::Stalled,
        LinkMode::ResponsesStalled,
    ];
    *modes.choose(random).expect("modes")
}

fn set_link_mode_for(proxy: &Arc<Proxy>, mode: LinkMode, duration: Duration) {
    proxy.set_mode(mode);
    let proxy = proxy.clone();
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        proxy.set_mode(LinkMode::Normal);
    });
}

/// Returns a number from an environment variable; `None` if it is unset or invalid.
fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

async fn wait_for_exit(mut instance: Instance) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    while instance.exit_success().is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request and records its result; the request times out after 20 s.
async fn send_and_record(
    request: reqwest::RequestBuilder,
    id: String,
    events: Option<u32>,
) -> CallRecord {
    let mut record = CallRecord {
        id,
        events,
        status: None,
        body: String::new(),
        is_complete: false,
        instance: String::new(),
        sent_at: Instant::now(),
        ended_at: Instant::now(),
    };
    let Ok(mut response) = request.timeout(Duration::from_secs(20)).send().await else {
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
    record.ended_at = Instant::now();
    record
}

/// Runs the soak test with one seed.
async fn run_seed(seed: u64) {
    println!("soak seed {seed}");
    // Earlier seeds stay as they are; those of odd number have engines that leave at short notice.
    let decides_under_load = seed % 2 == 1;
    let soak = Soak::start(decides_under_load).await;
    let replacement = tokio::spawn(soak.clone().replace_crashed());
    let short_notices = decides_under_load
        .then(|| tokio::spawn(soak.clone().replace_engines_at_short_notice(seed)));
    let limited = soak.announce_limits();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(soak.clone().call_until_over(seed, number)))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        tokio::time::sleep(FAULT_INTERVAL).await;
        soak.inject_fault(&mut random).await;
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    soak.is_over.store(true, Ordering::Relaxed);
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.expect("caller task completes"));
    }
    let served_calls = all
        .iter()
        .filter(|record| record.status == Some(200) && record.is_complete);
    println!(
        "soak seed {seed}: {} of {} served",
        served_calls.count(),
        all.len()
    );
    for record in &all {
        soak.check_call(record);
    }
    soak.check_signals(&all);
    soak.check_limits(&limited, &all);
    soak.check_recovery().await;
    soak.check_crashing_refused().await;
    replacement.abort();
    if let Some(short_notices) = short_notices {
        short_notices.abort();
    }
    soak.suspendable.abort().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_guarantees_hold() {
    let first = env_number("SOAK_FIRST").unwrap_or(1);
    let count = env_number("SOAK_SEEDS").unwrap_or(2);
    for seed in REGRESSION_SEEDS.into_iter().chain(first..first + count) {
        run_seed(seed).await;
    }
}
