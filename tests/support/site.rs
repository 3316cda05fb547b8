//! Starts instances as processes that serve the routes of a stand-in site, and sends requests to
//! them.

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

/// Timeout of all waits; far above the usual times.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A site with a published configuration and plain servers.
pub struct RoutedSite {
    pub standin: SiteStandin,
    pub apps: Vec<Arc<Server>>,
    dir: TempDir,
    /// Store address that started instances use; a proxy may be in front of the store.
    store_address: SocketAddr,
    /// How started instances decide under load; `null` for the default.
    load: Value,
}

/// An instance that runs as a process.
pub struct Instance {
    child: Child,
    /// Its log lines so far.
    pub log_lines: Arc<Mutex<Vec<Value>>>,
    /// Fields of the log line `instance started`.
    start_fields: Value,
    /// Whether the process was reaped; then its id may belong to another process.
    is_reaped: Arc<Mutex<bool>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        *self.is_reaped.lock().expect("flag") = true;
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A response as received by the caller.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<f64>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl RoutedSite {
    /// Starts a site with this number of plain servers.
    pub async fn start(app_count: usize) -> Self {
        let standin = SiteStandin::start().await.expect("stand-in starts");
        standin.publish(2, &[KEY]);
        let mut site = Self {
            standin,
            apps: Vec::new(),
            dir: tempfile::tempdir().expect("temporary directory"),
            store_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            load: Value::Null,
        };
        site.store_address = site.standin.store_address();
        for _ in 0..app_count {
            let app = site.standin.start_server("app", ServerKind::Plain).await;
            site.apps.push(app.expect("server starts"));
        }
        site
    }

    /// Starts an engine.
    pub async fn start_engine(&self) -> Arc<Server> {
        let engine = self.standin.start_server("llm", ServerKind::Engine).await;
        engine.expect("engine starts")
    }

    /// Starts an engine that callers reach through a proxy.
    pub async fn start_engine_behind_proxy(&self) -> (Arc<Server>, Proxy) {
        self.start_server_behind_proxy("llm", ServerKind::Engine)
            .await
    }

    /// Starts a plain server that callers reach through a proxy.
    pub async fn start_app_behind_proxy(&self) -> (Arc<Server>, Proxy) {
        self.start_server_behind_proxy("app", ServerKind::Plain)
            .await
    }

    async fn start_server_behind_proxy(
        &self,
        service: &str,
        kind: ServerKind,
    ) -> (Arc<Server>, Proxy) {
        let server = self.standin.start_unlisted_server(service, kind).await;
        let server = server.expect("server starts");
        let proxy = Proxy::start(server.listen_address()).await;
        server.set_listed_address(proxy.address);
        self.standin.list_server(&server, "ready");
        (server, proxy)
    }

    /// Starts an instance and waits until it is ready.
    pub async fn start_instance(&self, name: &str) -> Instance {
        let instance = self.start_instance_unready(name);
        instance.wait_until_ready().await;
        instance
    }

    /// Starts instances and waits until all know each other.
    pub async fn start_instances(&self, count: usize) -> Vec<Instance> {
        let mut instances = Vec::new();
        for number in 0..count {
            instances.push(self.start_instance(&format!("n{number}")).await);
        }
        for instance in &instances {
            wait_until("all members known", async || {
                let members = instance.state().await["members"].clone();
                members.as_array().map_or(0, Vec::len) + 1 >= count
            })
            .await;
        }
        instances
    }

    /// Starts an instance without waiting until it is ready.
    pub fn start_instance_unready(&self, name: &str) -> Instance {
        self.start_instance_with_peers(name, &[])
    }

    /// Starts an instance that has the peer addresses of others as seeds.
    pub fn start_instance_with_peers(&self, name: &str, peers: &[&Instance]) -> Instance {
        let seeds: Vec<String> = peers.iter().map(|peer| peer.peer_address()).collect();
        self.start_instance_with_seed_addresses(name, &seeds)
    }

    /// Sets the store address of instances that are started from now on.
    pub fn set_store_address(&mut self, address: SocketAddr) {
        self.store_address = address;
    }

    /// Turns on all parts of how instances that are started from now on decide under load.
    pub fn turn_on_load_decisions(&mut self) {
        self.load = json!({
            "fair_accounts": true, "reserve_for_urgent": true, "wait_past_objective": true,
            "engine_pace": true, "scheduled_moves": true, "reserve_for_moves": true, "shorter_first": true,
            "plain_load": true, "standby_copies": true,
        });
    }

    /// Returns the store address of instances that are started from now on.
    pub fn store_address_for_instances(&self) -> SocketAddr {
        self.store_address
    }

    /// Starts an instance that holds calls for at most `hold_max` until it is ready.
    pub fn start_instance_with_hold(&self, name: &str, hold_max: Duration) -> Instance {
        let millis = u64::try_from(hold_max.as_millis()).expect("a short time");
        self.start_instance_with_routing(name, &[], json!({"hold_max_ms": millis}))
    }

    /// Starts an instance with seed addresses.
    pub fn start_instance_with_seed_addresses(&self, name: &str, seeds: &[String]) -> Instance {
        self.start_instance_with_routing(name, seeds, json!({}))
    }

    /// Starts an instance that peers reach through a proxy.
    pub async fn start_instance_behind_proxy(
        &self,
        name: &str,
        seeds: &[String],
    ) -> (Instance, Proxy) {
        let proxy = Proxy::without_target().await;
        let routing = json!({"peer_address_told": proxy.address});
        let instance = self.start_instance_with_routing(name, seeds, routing);
        proxy.set_target(instance.peer_address().parse().expect("an address"));
        (instance, proxy)
    }

    /// Starts an instance with the default times of an installation.
    pub fn start_instance_with_default_times(&self, name: &str, peers: &[&Instance]) -> Instance {
        let seeds: Vec<String> = peers.iter().map(|peer| peer.peer_address()).collect();
        let settings = self.settings(name, &seeds, json!({}), &json!({}));
        self.spawn_instance(name, &settings)
    }

    /// Starts an instance with these fields in the routing part of its settings.
    pub fn start_instance_with_settings(&self, name: &str, routing: Value) -> Instance {
        self.start_instance_with_routing(name, &[], routing)
    }

    fn start_instance_with_routing(
        &self,
        name: &str,
        seeds: &[String],
        routing: Value,
    ) -> Instance {
        let settings = self.settings(name, seeds, routing, &json!({"heartbeat_ms": 100}));
        self.spawn_instance(name, &settings)
    }

    fn settings(&self, name: &str, seeds: &[String], routing: Value, times: &Value) -> Value {
        let any_address = "127.0.0.1:0";
        let mut settings = json!({
            "instance": name, "hall": "hall-1", "caller_address": any_address, "operator_address": any_address, "peer_address": any_address,
            "worker_threads": 1, "times": times,
            "routing": {
                "ready_address": any_address, "directory_address": any_address, "store_address": self.store_address,
                "seed_addresses": seeds, "processor_cores": 0.25, "directory_valid_ms": 500, "stop_within_s": 8,
                "retry_share": 0.2, "retry_slack": 60, "retry_window_s": 0.0,
            },
        });
        if !self.load.is_null() {
            settings["routing"]["load"] = self.load.clone();
        }
        if let Value::Object(fields) = routing {
            let routing_settings = settings["routing"].as_object_mut().expect("an object");
            routing_settings.extend(fields);
        }
        settings
    }

    fn spawn_instance(&self, name: &str, settings: &Value) -> Instance {
        let path = self.dir.path().join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings written");
        let mut child = Command::new(super::DAEMON)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("daemon starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        let sink = log_lines.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let line = serde_json::from_str(&line).expect("a log line is JSON");
                sink.lock().expect("lines").push(line);
            }
        });
        let started = wait_for_log_line(&log_lines, "instance started");
        Instance {
            child,
            log_lines,
            start_fields: started["kv"].clone(),
            is_reaped: Arc::default(),
        }
    }
}

fn wait_for_log_line(lines: &Mutex<Vec<Value>>, payload: &str) -> Value {
    let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
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
        assert!(
            std::time::Instant::now() < deadline,
            "timed out waiting for log line {payload:?}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting for: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Instance {
    fn address(&self, name: &str) -> String {
        self.start_fields[name]
            .as_str()
            .expect("address")
            .to_owned()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid"));
        kill(pid, signal).expect("signal");
    }

    /// Returns whether it exited successfully; `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        let mut is_reaped = self.is_reaped.lock().expect("flag");
        let status = self.child.try_wait().expect("wait");
        *is_reaped |= status.is_some();
        status.map(|status| status.success())
    }

    /// Returns whether it has logged a line with this text.
    pub fn has_log_line(&self, payload: &str) -> bool {
        let lines = self.log_lines.lock().expect("lines");
        lines.iter().any(|line| line["payload"] == payload)
    }

    /// Returns the fields of the log lines with this text.
    pub fn logged(&self, payload: &str) -> Vec<Value> {
        let lines = self.log_lines.lock().expect("lines");
        let found = lines.iter().filter(|line| line["payload"] == payload);
        found.map(|line| line["kv"].clone()).collect()
    }

    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/larkwick/readyz", self.address("ready"));
        let response = reqwest::get(url).await;
        response.is_ok_and(|response| response.status() == 200)
    }

    pub async fn wait_until_ready(&self) {
        wait_until("ready", async || self.is_ready().await).await;
    }

    /// Returns the addresses that its directory lists for callers; empty if it does not respond.
    pub async fn directory_addresses(&self) -> Vec<String> {
        let url = format!(
            "http://{}/larkwick/resolve?name={HOST}&region=r&zone=hall-1",
            self.address("directory")
        );
        let Ok(response) = reqwest::get(url).await else {
            return Vec::new();
        };
        let response: Value = response.json().await.unwrap_or_default();
        serde_json::from_value(response["addrs"].clone()).unwrap_or_default()
    }

    /// Fetches JSON from its operator port; null if it does not respond.
    pub async fn operator_json(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.operator_address());
        let Ok(response) = reqwest::get(url).await else {
            return Value::Null;
        };
        response.json().await.unwrap_or_default()
    }

    pub fn operator_address(&self) -> String {
        self.address("operator")
    }

    pub fn caller_address(&self) -> String {
        self.address("caller")
    }

    /// Fetches its metrics as text.
    pub async fn metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.address("operator"));
        let response = reqwest::get(url).await.expect("operator port responds");
        response.text().await.expect("metrics are text")
    }

    pub fn peer_address(&self) -> String {
        self.address("peer")
    }

    /// Returns the means to call it without owning it.
    pub fn caller(&self) -> Caller {
        Caller {
            address: self.caller_address(),
            operator_address: self.address("operator"),
        }
    }

    /// Returns a function that resumes it after a SIGSTOP, wherever the instance is owned by then.
    pub fn resume_handle(&self) -> impl FnOnce() + Send + 'static {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid"));
        let is_reaped = self.is_reaped.clone();
        move || {
            // After it was reaped, its process id may belong to another process.
            if !*is_reaped.lock().expect("flag") {
                kill(pid, Signal::SIGCONT).expect("signal");
            }
        }
    }

    /// Returns a call with the default headers.
    pub fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.caller().request(path, id)
    }

    /// Returns a request for a generation of this number of events.
    pub fn generation(&self, events: u32, id: &str) -> reqwest::RequestBuilder {
        self.caller().generation(events, id)
    }

    /// Fetches its state dump; null if it does not respond.
    pub async fn state(&self) -> Value {
        self.caller().state().await
    }

    /// Returns the availability of an endpoint as the instance sees it; null if it is unknown.
    pub async fn endpoint_availability(&self, server: &Server) -> Value {
        let state = self.state().await;
        let endpoints = state["endpoints"].as_object().cloned().unwrap_or_default();
        let matches_server =
            |endpoint: &&Value| endpoint["entry"]["address"] == json!(server.address());
        let found = endpoints.values().find(matches_server);
        found.map_or(Value::Null, |endpoint| endpoint["standing"].clone())
    }

    pub async fn call(&self, path: &str, id: &str) -> HttpResponse {
        send_request(self.request(path, id)).await
    }
}

/// Sends requests to an instance that it does not own.
#[derive(Debug, Clone)]
pub struct Caller {
    pub address: String,
    operator_address: String,
}

impl Caller {
    pub fn new(address: SocketAddr, operator_address: SocketAddr) -> Self {
        Self {
            address: address.to_string(),
            operator_address: operator_address.to_string(),
        }
    }

    /// Fetches the instance's state dump; null if it does not respond.
    pub async fn state(&self) -> Value {
        let url = format!("http://{}/debug/state", self.operator_address);
        let Ok(response) = reqwest::get(url).await else {
            return Value::Null;
        };
        response.json().await.unwrap_or_default()
    }

    /// Returns a call with the default headers.
    pub fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.request_with_deadline(path, id, "20000")
    }

    /// Returns a call with a deadline in milliseconds.
    pub fn request_with_deadline(
        &self,
        path: &str,
        id: &str,
        deadline_ms: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.address);
        reqwest::Client::new()
            .post(url)
            .header("host", HOST)
            .header("api-key", KEY)
            .header("larkwick-request-id", id)
            .header("larkwick-deadline-ms", deadline_ms)
            .body("hello")
    }

    /// Returns a request for a generation of this number of events.
    pub fn generation(&self, events: u32, id: &str) -> reqwest::RequestBuilder {
        self.generation_on("chat", events, id)
    }

    /// Returns a request for a generation of this number of events that may be resumed.
    pub fn resumable_generation(&self, events: u32, id: &str) -> reqwest::RequestBuilder {
        self.generation_on("check", events, id)
    }

    fn generation_on(&self, route: &str, events: u32, id: &str) -> reqwest::RequestBuilder {
        let tokens_max = events * 4;
        self.request(&format!("/{route}/{events}"), id)
            .header("larkwick-model", "m")
            .header("larkwick-token-count", format!("1000,{tokens_max}"))
            .header("length-hint", tokens_max.to_string())
    }
}

/// Sends a request and reads the response as far as it arrives.
pub async fn send_request(request: reqwest::RequestBuilder) -> HttpResponse {
    let mut response = request.send().await.expect("a response");
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = response.status().as_u16();
    let mut body = Vec::new();
    let is_complete = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    HttpResponse {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        retry_after,
        is_complete,
    }
}

/// Kills a server and waits until its address refuses connections. Children of the test's process
/// may hold the listening socket for a moment, and what connects until then is cut off.
pub async fn kill_until_refused(server: &Server) {
    server.kill().await;
    wait_until("the address refuses connections", async || {
        tokio::net::TcpStream::connect(server.address())
            .await
            .is_err()
    })
    .await;
}

/// Returns the event numbers of a stream in the order received.
pub fn event_numbers(body: &str) -> Vec<u32> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}
