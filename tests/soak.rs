//! Soak: processes under faults in series that overlap, and the promises checked from what callers and servers see.
//!
//! `cargo test --test soak` plays the seeds that ever failed and two more. By hand: `SOAK_SEEDS=50 SOAK_FIRST=1000 cargo test --test
//! soak -- --nocapture`, and `SOAK_INSTANCES=40` for a wider site.

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

/// Seeds that failed once, each with its cause. 31026: the late words of all plain endpoints' former lives stayed the newest ones, so that an instance that
/// started after them knew of none; the endpoints write their entries again now.
const REGRESSIONS: [u64; 1] = [31026];
/// Instances, where the environment names no other number.
const INSTANCES: u64 = 4;
/// Routes that a grown configuration has more: as many as the users' largest.
const MANY_ROUTES: u32 = 1_400;
const STEPS: u32 = 24;
const STEP: Duration = Duration::from_millis(120);
const CALLERS: usize = 6;

/// A server writes its entry again after this time.
const ENTRY_EVERY: Duration = Duration::from_millis(150);

/// What a caller asked for and what it saw.
struct Seen {
    id: String,
    /// Events asked for; nothing for a call that may run once.
    events: Option<u32>,
    /// Nothing where the connection broke before an answer.
    status: Option<u16>,
    body: String,
    is_complete: bool,
    /// The instance that was called; empty where nobody asks.
    instance: String,
    sent_at: Instant,
    ended_at: Instant,
}

/// A body under which each endpoint ends that begins to run it.
const CRASHING: &[u8] = b"a body that no endpoint survives";
/// Endpoints that such a request may end once all is calm: three until it is known for what it is, and three more sends.
const ENDED_MAX: usize = 6;
/// What one plain endpoint and one engine name as their limit: they take nothing, and are tried now and then.
const LIMIT: &str = "0";
/// Requests that may reach it within any span of this length from instances that were told so long before: half as many again as it takes, and five.
const LIMITED_MAX: usize = 5;
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const LIMIT_TOLD: Duration = Duration::from_millis(500);
/// How often it comes in a row.
const CRASHING_TRIES: u32 = 6;
/// Requests that may reach a server within a rest that it asked for.
const RELIEF_MAX: usize = 2;
/// Longest suspension of the instance whose clock is put forward.
const SUSPENDED_MAX_MS: u64 = 6_000;

struct Soak {
    /// The instance whose machine is suspended now and then.
    suspendable: SuspendableInstance,
    crashing_tries: AtomicU32,
    site: RoutedSite,
    /// Before the store.
    proxy: Arc<Proxy>,
    instances: Mutex<Vec<Instance>>,
    /// Before the instances' peer addresses; also of those that are gone.
    peers: Mutex<Vec<Arc<Proxy>>>,
    /// Each behind a proxy of its own.
    engines: Mutex<Vec<(Arc<Server>, Arc<Proxy>)>>,
    started: AtomicU32,
    version: AtomicU32,
    /// Time of the next start of an endpoint.
    born: AtomicU32,
    over: AtomicBool,
}

impl Soak {
    async fn start() -> Arc<Self> {
        let mut site = RoutedSite::start(3).await;
        let proxy = Arc::new(Proxy::start(site.standin.store_address()).await);
        site.set_store_address(proxy.address);
        site.standin.crash_servers_on(CRASHING);
        let suspendable = SuspendableInstance::start(&site, "suspended").await;
        let soak = Self {
            suspendable,
            crashing_tries: AtomicU32::new(0),
            site,
            proxy,
            instances: Mutex::default(),
            peers: Mutex::default(),
            engines: Mutex::default(),
            started: AtomicU32::new(0),
            version: AtomicU32::new(2),
            born: AtomicU32::new(1),
            over: AtomicBool::new(false),
        };
        for _ in 0..4 {
            soak.add_engine().await;
        }
        for _ in 0..number("SOAK_INSTANCES").unwrap_or(INSTANCES) {
            soak.add_instance().await;
        }
        Arc::new(soak)
    }

    /// Puts new endpoints in the place of those that ended under a request. What stands before an endpoint ends with it.
    async fn replace_ended(self: Arc<Self>) {
        const LOOK_EVERY: Duration = Duration::from_millis(3);
        let mut replaced = 0;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let ended = self.site.standin.crashed_servers();
            for id in &ended[replaced..] {
                let gone = {
                    let mut engines = self.engines.lock();
                    let place = engines.iter().position(|(engine, _)| engine.id == *id);
                    place.map(|place| engines.remove(place))
                };
                if let Some((engine, proxy)) = gone {
                    drop(proxy);
                    let soak = self.clone();
                    tokio::spawn(async move {
                        soak.add_engine().await;
                        tokio::time::sleep(Duration::from_millis(300)).await;
                        soak.site.standin.unlist_server(&engine);
                    });
                }
            }
            replaced = ended.len();
        }
    }

    /// Sends the request that ends endpoints to an instance; gives the status of its answer, where there is one.
    async fn call_crashing(&self, caller: &Caller) -> Option<u16> {
        let number = self.crashing_tries.fetch_add(1, Ordering::Relaxed);
        let id = format!("crashing-{number}");
        let request = caller.generation(2, &id).body(CRASHING);
        let seen = ask(request, id, None).await;
        if seen.status == Some(503) {
            let ran = self.site.standin.servers_that_ran(&seen.id);
            assert!(ran.is_empty(), "{} was answered 503 and ran", seen.id);
        }
        seen.status
    }

    /// The request that ends endpoints comes again and again, anywhere.
    fn come_crashing(self: &Arc<Self>, random: &mut StdRng) {
        let callers: Vec<Caller> = (0..CRASHING_TRIES)
            .filter_map(|_| self.caller_of_one(random))
            .collect();
        let soak = self.clone();
        tokio::spawn(async move {
            for caller in callers {
                soak.call_crashing(&caller).await;
            }
        });
    }

    /// With all faults over, no instance sends it any more after a few endpoints at the most.
    async fn check_crashing(&self) {
        let before = self.site.standin.crashed_servers().len();
        for caller in self.callers() {
            wait_until("the crashing request refused", async || {
                self.call_crashing(&caller).await == Some(503)
            })
            .await;
        }
        let more = self.site.standin.crashed_servers().len() - before;
        assert!(
            more <= ENDED_MAX,
            "{more} endpoints ended once all was calm"
        );
    }

    /// Callers of all instances that live.
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
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let seeds: Vec<String> = {
            let peers = self.peers.lock();
            peers.iter().map(|peer| peer.address.to_string()).collect()
        };
        let name = format!("n{number}");
        let (instance, peer) = self.site.start_instance_behind_proxy(&name, &seeds).await;
        self.peers.lock().push(Arc::new(peer));
        self.instances.lock().push(instance);
    }

    fn peer_proxy(&self, random: &mut StdRng) -> Arc<Proxy> {
        let peers = self.peers.lock();
        peers.choose(random).expect("instances").clone()
    }

    /// All connections that are open go silent for good: those to the store, to engines and between instances.
    fn silence_all(&self) {
        self.proxy.blackhole_open_connections();
        let engines = self.engines.lock();
        let peers = self.peers.lock();
        let engines = engines.iter().map(|(_, proxy)| proxy);
        for proxy in engines.chain(peers.iter()) {
            proxy.blackhole_open_connections();
        }
    }

    fn caller_of_one(&self, random: &mut StdRng) -> Option<Caller> {
        self.callers().choose(random).cloned()
    }

    /// One fault; some end by themselves after a while, and others begin meanwhile.
    async fn fault(self: &Arc<Self>, random: &mut StdRng) {
        let lasts = Duration::from_millis(random.random_range(50..600));
        match random.random_range(0..33) {
            0 => {
                let gone = self.take_instance(random);
                drop(gone);
                self.add_instance().await;
            }
            1 => {
                if let Some(instance) = self.take_instance(random) {
                    instance.signal(Signal::SIGTERM);
                    self.add_instance().await;
                    tokio::spawn(end_by_itself(instance));
                }
            }
            2 => {
                let instances = self.instances.lock();
                if let Some(instance) = instances.choose(random) {
                    instance.signal(Signal::SIGSTOP);
                    let thaw = instance.resume_handle();
                    tokio::spawn(async move {
                        tokio::time::sleep(lasts).await;
                        thaw();
                    });
                }
            }
            3 => self.mood_for(StoreFault::Busy, lasts),
            4 => self.mood_for(StoreFault::Unresponsive, lasts),
            5 => self.mood_for(StoreFault::LosesAppendReplies, lasts),
            6 => link_for(&self.proxy, a_link(random), lasts),
            7 => self.proxy.reset(),
            8 => self.publish(0),
            9 => self.publish(MANY_ROUTES),
            10 => self.replace_engine(random).await,
            11 => link_for(&self.engine_proxy(random), a_link(random), lasts),
            12 => self.engine_proxy(random).reset(),
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
            15 => self.proxy.blackhole_open_connections(),
            16 => self.engine_proxy(random).blackhole_open_connections(),
            17 => self.peer_proxy(random).blackhole_open_connections(),
            18 => self.silence_all(),
            19 => link_for(&self.peer_proxy(random), a_link(random), lasts),
            20 => self.peer_proxy(random).reset(),
            21 => self.evacuate_for(lasts),
            22 => self.start_again(random),
            23 => self.garble_entry(random, lasts),
            24 | 25 => self.come_crashing(random),
            27 | 28 => self.leave_unlisted(random).await,
            29 => self.start_cooldown_fault(random, lasts),
            30 | 31 => self.come_back_from_copy(random, lasts),
            26 => {
                let lasted_ms = random.random_range(500..SUSPENDED_MAX_MS);
                let clock = &self.suspendable.clock;
                clock.suspend(Duration::from_millis(lasted_ms));
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
                    tokio::time::sleep(lasts).await;
                    app.set_fault(ServerFault::None);
                });
            }
        }
    }

    fn take_instance(&self, random: &mut StdRng) -> Option<Instance> {
        let mut instances = self.instances.lock();
        let index = random.random_range(0..instances.len().max(1));
        (index < instances.len()).then(|| instances.remove(index))
    }

    fn mood_for(self: &Arc<Self>, mood: StoreFault, lasts: Duration) {
        self.site.standin.store.set_fault(mood);
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            soak.site.standin.store.set_fault(StoreFault::None);
        });
    }

    fn publish(&self, more_routes: u32) {
        let version = u64::from(self.version.fetch_add(1, Ordering::Relaxed)) + 1;
        let standin = &self.site.standin;
        standin.publish_with_routes(version, &[KEY], more_routes);
    }

    fn engine_proxy(&self, random: &mut StdRng) -> Arc<Proxy> {
        let engines = self.engines.lock();
        let (_, proxy) = engines.choose(random).expect("engines");
        proxy.clone()
    }

    /// The hall of all endpoints is emptied; a second order may come before the first is taken back.
    fn evacuate_for(self: &Arc<Self>, lasts: Duration) {
        self.site.standin.evacuate_hall("hall-1");
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            soak.site.standin.restore_hall("hall-1");
        });
    }

    fn any_app(&self, random: &mut StdRng) -> Arc<Server> {
        self.site.apps.choose(random).expect("servers").clone()
    }

    fn list_born(&self, app: &Server, state: &str, born: u32) {
        let fields = json!({"state": state, "born": born});
        self.site.standin.list_server_with(app, &fields);
    }

    /// A plain endpoint leaves and starts again under its id; a late word of the former life follows, and the next one of this life.
    fn start_again(self: &Arc<Self>, random: &mut StdRng) {
        let app = self.any_app(random);
        let born = self.born.fetch_add(2, Ordering::Relaxed);
        self.list_born(&app, "draining", born);
        self.list_born(&app, "ready", born + 1);
        self.list_born(&app, "draining", born);
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(ENTRY_EVERY).await;
            soak.list_born(&app, "ready", born + 1);
        });
    }

    /// Another writer takes the place of a plain endpoint's entry for a while.
    fn garble_entry(self: &Arc<Self>, random: &mut StdRng, lasts: Duration) {
        let app = self.any_app(random);
        let store = &self.site.standin.store;
        store.put_raw("keyed.servers", &app.id, b"\xff{\"state\":");
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            let born = soak.born.fetch_add(2, Ordering::Relaxed);
            soak.list_born(&app, "ready", born);
        });
    }

    /// An engine leaves, told or untold, or dies; another one comes.
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
            _ => leaving.kill(),
        }
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            leaving.kill();
            drop(proxy);
        });
    }

    /// An engine leaves and says so in its answers alone: its entry stays as it was until it has ended.
    async fn leave_unlisted(&self, random: &mut StdRng) {
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
            leaving.kill();
            drop(proxy);
            site.delete("keyed.servers", &leaving.id);
        });
    }

    /// The store comes back from a copy that is some time old; what the operator and the servers wrote is written again a moment later.
    fn come_back_from_copy(self: &Arc<Self>, random: &mut StdRng, age: Duration) {
        let copy = self.site.standin.store.snapshot();
        let again_after = Duration::from_millis(random.random_range(0..400));
        let soak = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(age).await;
            let store = &soak.site.standin.store;
            let before = store.restore(copy);
            tokio::time::sleep(again_after).await;
            store.replay_lost_writes(&before);
        });
    }

    /// A plain endpoint refuses for a while and asks for rest each time.
    fn start_cooldown_fault(&self, random: &mut StdRng, lasts: Duration) {
        let app = self.any_app(random);
        app.set_fault(ServerFault::Refuses);
        app.set_cooldown(Some("0.7"));
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            app.set_fault(ServerFault::None);
            app.set_cooldown(None);
        });
    }

    /// From the beginning on, one plain endpoint and one engine take few from all instances together.
    fn name_limits(&self) -> Vec<Arc<Server>> {
        let engines = self.engines.lock();
        let limited = vec![self.site.apps[0].clone(), engines[0].0.clone()];
        for server in &limited {
            server.announce_limit(Some(LIMIT));
        }
        limited
    }

    /// What reached a server that names a limit from instances that it had told, all of them together.
    fn check_limits(&self, limited: &[Arc<Server>], all: &[Seen]) {
        let instance_of: HashMap<&str, &str> = all
            .iter()
            .map(|seen| (seen.id.as_str(), seen.instance.as_str()))
            .collect();
        for server in limited {
            let mut told_at: HashMap<&str, Instant> = HashMap::new();
            let mut counted: Vec<Instant> = Vec::new();
            for arrival in self.site.standin.arrivals() {
                let instance = instance_of.get(arrival.request.as_str());
                let Some(instance) = instance.filter(|_| arrival.server == server.id) else {
                    continue;
                };
                let told_at = *told_at.entry(instance).or_insert(arrival.at);
                if arrival.at > told_at + LIMIT_TOLD {
                    counted.push(arrival.at);
                }
            }
            let within = |first: &Instant| {
                let span = *first..*first + LIMIT_SPAN;
                counted.iter().filter(|at| span.contains(*at)).count()
            };
            let most = counted.iter().map(within).max().unwrap_or_default();
            println!(
                "{most} reached {} from instances that it had told",
                server.id
            );
            assert!(most <= LIMITED_MAX, "{most} reached {}", server.id);
        }
    }

    /// What a server said of itself in an answer that came through an instance holds for what was asked of that instance afterwards.
    fn check_words(&self, all: &[Seen]) {
        let arrivals = self.site.standin.arrivals();
        let suspended = self.suspendable.caller().address;
        let (mut heard_leaving, mut heard_rests) = (0, 0);
        let asked: HashMap<&str, &Seen> = all.iter().map(|seen| (seen.id.as_str(), seen)).collect();
        for told in &arrivals {
            let Some(heard) = asked.get(told.request.as_str()) else {
                continue;
            };
            // Through the same instance, by a caller that asked after the answer had come.
            let later = arrivals.iter().filter(|arrival| {
                let seen = asked.get(arrival.request.as_str());
                arrival.server == told.server
                    && seen.is_some_and(|seen| {
                        seen.instance == heard.instance && seen.sent_at > heard.ended_at
                    })
            });
            // A success was passed on, and its head was read with what the server said of itself.
            let is_passed_on = heard.status == Some(200)
                && self
                    .site
                    .standin
                    .servers_that_ran(&told.request)
                    .contains(&told.server);
            if told.announced_draining && is_passed_on {
                heard_leaving += 1;
                let late: Vec<&str> = later.clone().map(|one| one.request.as_str()).collect();
                assert!(late.is_empty(), "{late:?} reached {}", told.server);
            }
            // The clock of the one that is suspended runs ahead of the servers'.
            if let Some(until) = told.cooldown_until
                && heard.instance != suspended
                && matches!(heard.status, Some(200 | 503))
            {
                heard_rests += 1;
                let in_rest = later.filter(|arrival| arrival.at < until).count();
                assert!(in_rest <= RELIEF_MAX, "{in_rest} reached {}", told.server);
            }
        }
        println!("heard that {heard_leaving} leave and {heard_rests} rest");
    }

    async fn call_until_over(self: Arc<Self>, random_seed: u64, number: usize) -> Vec<Seen> {
        let mut random = StdRng::seed_from_u64(random_seed ^ (number as u64) << 32);
        let mut seen = Vec::new();
        while !self.over.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_millis(random.random_range(1..10))).await;
            let Some(caller) = self.caller_of_one(&mut random) else {
                continue;
            };
            let id = format!("c{number}-{}", seen.len());
            let events = random.random_bool(0.5).then(|| random.random_range(1..40));
            let request = match events {
                Some(events) => caller.generation(events, &id),
                None => caller.request("/once/1", &id),
            };
            let asked = ask(request, id, events).await;
            let instance = caller.address.clone();
            seen.push(Seen { instance, ..asked });
        }
        seen
    }

    fn check(&self, seen: &Seen) {
        let runs = self.site.standin.servers_that_ran(&seen.id).len();
        let id = &seen.id;
        assert!(runs <= 1, "{id} ran {runs} times");
        if matches!(seen.status, Some(408 | 421 | 429 | 503)) {
            assert_eq!(runs, 0, "{id} was answered {:?} and ran", seen.status);
        }
        if seen.status != Some(200) {
            return;
        }
        let Some(events) = seen.events else {
            assert!(
                !seen.is_complete || seen.body == "hello",
                "{id}: {:?}",
                seen.body
            );
            return;
        };
        let numbers = event_numbers(&seen.body);
        let count = u32::try_from(numbers.len()).expect("few events");
        let expected: Vec<u32> = (1..=count).collect();
        assert_eq!(numbers, expected, "{id}: an event is missing or came twice");
        assert!(
            !seen.is_complete || count == events,
            "{id}: whole after {count} of {events}"
        );
    }

    /// With all faults over, everything comes back.
    async fn check_recovery(&self) {
        let callers = self.callers();
        let version = self.version.load(Ordering::Relaxed);
        for caller in &callers {
            wait_until(
                "the last configuration in force, and nothing in flight",
                async || {
                    let state = caller.state().await;
                    state["config_version"].as_u64().unwrap_or_default() >= u64::from(version)
                        && state["calls"] == 0
                        && state["ready"] == true
                },
            )
            .await;
            wait_until("calls answered", async || {
                let seen = ask(caller.request("/once/1", "after"), String::new(), None).await;
                seen.status == Some(200)
            })
            .await;
        }
    }
}

fn a_link(random: &mut StdRng) -> LinkMode {
    let links = [
        LinkMode::Delayed(Duration::from_millis(80)),
        LinkMode::Stalled,
        LinkMode::ResponsesStalled,
    ];
    *links.choose(random).expect("links")
}

fn link_for(proxy: &Arc<Proxy>, link: LinkMode, lasts: Duration) {
    proxy.set_mode(link);
    let proxy = proxy.clone();
    tokio::spawn(async move {
        tokio::time::sleep(lasts).await;
        proxy.set_mode(LinkMode::Normal);
    });
}

/// A number from the environment.
fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

async fn end_by_itself(mut instance: Instance) {
    const LOOK_EVERY: Duration = Duration::from_millis(50);
    while instance.exit_success().is_none() {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn ask(request: reqwest::RequestBuilder, id: String, events: Option<u32>) -> Seen {
    let mut seen = Seen {
        id,
        events,
        status: None,
        body: String::new(),
        is_complete: false,
        instance: String::new(),
        sent_at: Instant::now(),
        ended_at: Instant::now(),
    };
    let Ok(mut answer) = request.timeout(Duration::from_secs(20)).send().await else {
        return seen;
    };
    seen.status = Some(answer.status().as_u16());
    let mut body = Vec::new();
    seen.is_complete = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    seen.body = String::from_utf8_lossy(&body).into_owned();
    seen.ended_at = Instant::now();
    seen
}

async fn play(seed: u64) {
    println!("soak seed {seed}");
    let soak = Soak::start().await;
    let replacing = tokio::spawn(soak.clone().replace_ended());
    let limited = soak.name_limits();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(soak.clone().call_until_over(seed, number)))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    for _ in 0..STEPS {
        tokio::time::sleep(STEP).await;
        soak.fault(&mut random).await;
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    soak.over.store(true, Ordering::Relaxed);
    let mut all = Vec::new();
    for caller in callers {
        all.extend(caller.await.expect("a caller ended"));
    }
    let served = all
        .iter()
        .filter(|seen| seen.status == Some(200) && seen.is_complete);
    println!(
        "soak seed {seed}: {} of {} served",
        served.count(),
        all.len()
    );
    for seen in &all {
        soak.check(seen);
    }
    soak.check_words(&all);
    soak.check_limits(&limited, &all);
    soak.check_recovery().await;
    soak.check_crashing().await;
    replacing.abort();
    soak.suspendable.abort().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_seeds_promises_hold() {
    let first = number("SOAK_FIRST").unwrap_or(1);
    let seeds = number("SOAK_SEEDS").unwrap_or(2);
    for seed in REGRESSIONS.into_iter().chain(first..first + seeds) {
        play(seed).await;
    }
}
