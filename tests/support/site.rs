//! Starts instances that serve the routes of a stand-in site, as processes, and calls them.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use larkwick::standin::site::server::{Server, ServerKind};
use larkwick::standin::site::{HOST, KEY, SiteStandin};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::proxy::Proxy;

/// Longest wait for anything; far above what is usual.
pub const PATIENCE: Duration = Duration::from_mins(1);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A site with a published configuration and two plain servers.
pub struct RoutedSite {
    pub standin: SiteStandin,
    pub apps: Vec<Arc<Server>>,
    dir: TempDir,
    /// Where instances find the store.
    store: SocketAddr,
}

/// An instance as a process.
pub struct Instance {
    child: Child,
    /// Its log lines so far.
    pub lines: Arc<Mutex<Vec<Value>>>,
    started: Value,
    waited_for: Arc<Mutex<bool>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        *self.waited_for.lock().expect("flag") = true;
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An answer as the caller has it.
#[derive(Debug)]
pub struct Answered {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<f64>,
    /// Whether the answer came to its end.
    pub whole: bool,
}

impl RoutedSite {
    /// Starts a site whose plain service has so many servers.
    pub async fn start(apps: usize) -> Self {
        let standin = SiteStandin::start().await.expect("stand-in starts");
        standin.publish(2, &[KEY]);
        let mut site = Self {
            standin,
            apps: Vec::new(),
            dir: tempfile::tempdir().expect("temporary directory"),
            store: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        site.store = site.standin.store_address();
        for _ in 0..apps {
            let app = site.standin.start_server("app", ServerKind::Plain).await;
            site.apps.push(app.expect("server starts"));
        }
        site
    }

    /// Starts an engine.
    pub async fn engine(&self) -> Arc<Server> {
        let engine = self.standin.start_server("llm", ServerKind::Engine).await;
        engine.expect("engine starts")
    }

    /// Starts an engine that callers reach through a proxy.
    pub async fn engine_behind_proxy(&self) -> (Arc<Server>, Proxy) {
        self.behind_proxy("llm", ServerKind::Engine).await
    }

    /// Starts a plain server that callers reach through a proxy.
    pub async fn app_behind_proxy(&self) -> (Arc<Server>, Proxy) {
        self.behind_proxy("app", ServerKind::Plain).await
    }

    async fn behind_proxy(&self, service: &str, kind: ServerKind) -> (Arc<Server>, Proxy) {
        let server = self.standin.start_unlisted_server(service, kind).await;
        let server = server.expect("server starts");
        let proxy = Proxy::start(server.listen_address()).await;
        server.set_listed_address(proxy.address);
        self.standin.list_server(&server, "ready");
        (server, proxy)
    }

    /// Starts an instance and waits until it takes callers.
    pub async fn instance(&self, name: &str) -> Instance {
        let instance = self.instance_not_ready(name);
        instance.until_ready().await;
        instance
    }

    /// Starts an instance.
    pub fn instance_not_ready(&self, name: &str) -> Instance {
        self.instance_with_seeds(name, &[])
    }

    /// Starts an instance that knows the peer addresses of others.
    pub fn instance_with_seeds(&self, name: &str, seeds: &[&Instance]) -> Instance {
        let seeds: Vec<String> = seeds.iter().map(|seed| seed.peer_address()).collect();
        self.instance_seeded(name, &seeds)
    }

    /// Has instances that start from now on find the store at another address.
    pub fn store_through(&mut self, address: SocketAddr) {
        self.store = address;
    }

    /// Where instances that start from now on find the store.
    pub fn store_seen(&self) -> SocketAddr {
        self.store
    }

    /// Starts an instance that holds calls for so long until it can serve.
    pub fn instance_holding(&self, name: &str, hold_max: Duration) -> Instance {
        let millis = u64::try_from(hold_max.as_millis()).expect("a short time");
        self.instance_with(name, &[], json!({"hold_max_ms": millis}))
    }

    /// Starts an instance that knows peer addresses.
    pub fn instance_seeded(&self, name: &str, seeds: &[String]) -> Instance {
        self.instance_with(name, seeds, json!({}))
    }

    /// Starts an instance that peers reach through a proxy.
    pub async fn instance_behind_proxy(&self, name: &str, seeds: &[String]) -> (Instance, Proxy) {
        let proxy = Proxy::unaimed().await;
        let told = json!({"peer_address_told": proxy.address});
        let instance = self.instance_with(name, seeds, told);
        proxy.aim(instance.peer_address().parse().expect("an address"));
        (instance, proxy)
    }

    /// Starts an instance with the times of an installation.
    pub fn instance_at_usual_times(&self, name: &str, seeds: &[&Instance]) -> Instance {
        let seeds: Vec<String> = seeds.iter().map(|seed| seed.peer_address()).collect();
        let settings = self.settings(name, &seeds, json!({}), &json!({}));
        self.instance_by(name, &settings)
    }

    fn instance_with(&self, name: &str, seeds: &[String], routing: Value) -> Instance {
        let settings = self.settings(name, seeds, routing, &json!({"heartbeat_ms": 100}));
        self.instance_by(name, &settings)
    }

    fn settings(&self, name: &str, seeds: &[String], routing: Value, times: &Value) -> Value {
        let any = "127.0.0.1:0";
        let mut settings = json!({
            "instance": name, "hall": "hall-1", "caller_address": any, "operator_address": any, "peer_address": any,
            "worker_threads": 1, "times": times,
            "routing": {
                "ready_address": any, "directory_address": any, "store_address": self.store,
                "seed_addresses": seeds, "processor_cores": 0.25, "directory_valid_ms": 500, "stop_within_s": 8,
                "retry_share": 0.2, "retry_slack": 60, "retry_window_s": 0.0,
            },
        });
        if let Value::Object(fields) = routing {
            let known = settings["routing"].as_object_mut().expect("an object");
            known.extend(fields);
        }
        settings
    }

    fn instance_by(&self, name: &str, settings: &Value) -> Instance {
        let path = self.dir.path().join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings written");
        let mut child = Command::new(super::DAEMON)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("daemon starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let kept = lines.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("a log line is JSON");
                kept.lock().expect("lines").push(line);
            }
        });
        let started = wait_for_line(&lines, "instance started");
        Instance {
            child,
            lines,
            started: started["kv"].clone(),
            waited_for: Arc::default(),
        }
    }
}

fn wait_for_line(lines: &Mutex<Vec<Value>>, payload: &str) -> Value {
    let until = std::time::Instant::now() + PATIENCE;
    loop {
        let found = {
            let lines = lines.lock().expect("lines");
            lines
                .iter()
                .find(|line| line["payload"] == payload)
                .cloned()
        };
        if let Some(line) = found {
            return line;
        }
        assert!(std::time::Instant::now() < until, "no line {payload:?}");
        std::thread::sleep(LOOK_EVERY);
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let limit = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < limit, "never: {what}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

impl Instance {
    fn address(&self, name: &str) -> String {
        self.started[name].as_str().expect("address").to_owned()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid"));
        kill(pid, signal).expect("signal");
    }

    /// Whether it ended by itself, and well.
    pub fn ended_well(&mut self) -> Option<bool> {
        let mut waited_for = self.waited_for.lock().expect("flag");
        let status = self.child.try_wait().expect("wait");
        *waited_for |= status.is_some();
        status.map(|status| status.success())
    }

    pub fn has_line(&self, payload: &str) -> bool {
        let lines = self.lines.lock().expect("lines");
        lines.iter().any(|line| line["payload"] == payload)
    }

    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/larkwick/readyz", self.address("ready"));
        let asked = reqwest::get(url).await;
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    pub async fn until_ready(&self) {
        until("ready", async || self.is_ready().await).await;
    }

    /// Addresses that it names to callers.
    pub async fn named(&self) -> Vec<String> {
        let url = format!(
            "http://{}/larkwick/resolve?name={HOST}&region=r&zone=hall-1",
            self.address("directory")
        );
        let Ok(answer) = reqwest::get(url).await else {
            return Vec::new();
        };
        let answer: Value = answer.json().await.unwrap_or_default();
        serde_json::from_value(answer["addrs"].clone()).unwrap_or_default()
    }

    /// What operators read at a path; null where it does not answer.
    pub async fn operators(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.operator_address());
        let Ok(answer) = reqwest::get(url).await else {
            return Value::Null;
        };
        answer.json().await.unwrap_or_default()
    }

    pub fn operator_address(&self) -> String {
        self.address("operator")
    }

    pub fn caller_address(&self) -> String {
        self.address("caller")
    }

    /// Metrics as text.
    pub async fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.address("operator"));
        let answer = reqwest::get(url).await.expect("operators are answered");
        answer.text().await.expect("metrics are text")
    }

    pub fn peer_address(&self) -> String {
        self.address("peer")
    }

    /// What a caller needs to call it.
    pub fn caller(&self) -> Caller {
        Caller {
            address: self.caller_address(),
            operator: self.address("operator"),
        }
    }

    /// Wakes it after a SIGSTOP, also when it has been handed on meanwhile.
    pub fn thaw_handle(&self) -> impl FnOnce() + Send + 'static {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid"));
        let waited_for = self.waited_for.clone();
        move || {
            // Once it was waited for, its number may be another process's.
            if !*waited_for.lock().expect("flag") {
                kill(pid, Signal::SIGCONT).expect("signal");
            }
        }
    }

    /// A call with the usual headers.
    pub fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.caller().request(path, id)
    }

    /// A generation of so many events.
    pub fn generation(&self, events: u32, id: &str) -> reqwest::RequestBuilder {
        self.caller().generation(events, id)
    }

    /// The dump of its state.
    pub async fn state(&self) -> Value {
        self.caller().state().await
    }

    /// How it takes an endpoint; null where it does not know it.
    pub async fn standing(&self, server: &Server) -> Value {
        let state = self.state().await;
        let endpoints = state["endpoints"].as_object().cloned().unwrap_or_default();
        let is_of = |endpoint: &&Value| endpoint["entry"]["address"] == json!(server.address());
        let found = endpoints.values().find(is_of);
        found.map_or(Value::Null, |endpoint| endpoint["standing"].clone())
    }

    pub async fn call(&self, path: &str, id: &str) -> Answered {
        answered(self.request(path, id)).await
    }
}

/// Calls an instance that another owns.
#[derive(Debug, Clone)]
pub struct Caller {
    pub address: String,
    operator: String,
}

impl Caller {
    pub fn new(address: SocketAddr, operator: SocketAddr) -> Self {
        Self {
            address: address.to_string(),
            operator: operator.to_string(),
        }
    }

    /// The dump of the instance's state; null where it does not answer.
    pub async fn state(&self) -> Value {
        let url = format!("http://{}/debug/state", self.operator);
        let Ok(answer) = reqwest::get(url).await else {
            return Value::Null;
        };
        answer.json().await.unwrap_or_default()
    }

    /// A call with the usual headers.
    pub fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.request_within(path, id, "20000")
    }

    /// A call whose caller waits for so many milliseconds.
    pub fn request_within(&self, path: &str, id: &str, ms: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.address);
        reqwest::Client::new()
            .post(url)
            .header("host", HOST)
            .header("api-key", KEY)
            .header("larkwick-request-id", id)
            .header("larkwick-deadline-ms", ms)
            .body("hello")
    }

    /// A generation of so many events.
    pub fn generation(&self, events: u32, id: &str) -> reqwest::RequestBuilder {
        self.generation_on("chat", events, id)
    }

    /// A generation of so many events that may be resumed.
    pub fn check(&self, events: u32, id: &str) -> reqwest::RequestBuilder {
        self.generation_on("check", events, id)
    }

    fn generation_on(&self, route: &str, events: u32, id: &str) -> reqwest::RequestBuilder {
        let most = events * 4;
        self.request(&format!("/{route}/{events}"), id)
            .header("larkwick-model", "m")
            .header("larkwick-token-count", format!("1000,{most}"))
            .header("length-hint", most.to_string())
    }
}

/// Sends a request and reads its answer.
pub async fn answered(request: reqwest::RequestBuilder) -> Answered {
    let mut answer = request.send().await.expect("an answer");
    let retry_after = answer.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = answer.status().as_u16();
    let mut body = Vec::new();
    let whole = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Answered {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        retry_after,
        whole,
    }
}

/// Numbers of the events of a stream, in the order in which they came.
pub fn event_numbers(body: &str) -> Vec<u32> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}
