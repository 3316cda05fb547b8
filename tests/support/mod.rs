//! Starts the project's binaries on free ports and sends requests to them.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod link;
pub mod proxy;
pub mod site;
pub mod suspension;

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Timeout of all waits; far above the usual times, so that tests do not fail on a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
    /// File that receives its log.
    pub log: tempfile::NamedTempFile,
    /// Its addresses, as printed in the first line of its output.
    pub addresses: Value,
}

impl Process {
    /// Starts a binary and reads the first line of its output.
    pub fn start(binary: &str, args: &[&str]) -> Self {
        let log = tempfile::NamedTempFile::new().expect("log file");
        let stderr = log.reopen().expect("log file");
        let mut child = Command::new(binary)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::from(stderr))
            .spawn()
            .expect("binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("first line");
        let addresses = serde_json::from_str(&line).unwrap_or_else(|error| {
            let _ = child.wait();
            let log = std::fs::read_to_string(log.path()).unwrap_or_default();
            panic!("{binary} {args:?} printed {line:?}: {error}; its log: {log}")
        });
        Self {
            child,
            log,
            addresses,
        }
    }

    /// Returns one of its addresses by name.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().expect("address").to_owned()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid"));
        kill(pid, signal).expect("signal");
    }

    /// Kills it and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether it exited successfully; `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("wait");
        status.map(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub const DAEMON: &str = env!("CARGO_BIN_EXE_larkwickd");
pub const TOOL: &str = env!("CARGO_BIN_EXE_larkwick");
pub const STANDIN: &str = env!("CARGO_BIN_EXE_larkwick-standin");
/// Loopback address with a free port.
const ANY_ADDRESS: &str = "127.0.0.1:0";
pub const KEY: &str = "test-key";

/// A platform under test, with the settings of the instances that use it.
pub struct Site {
    pub dir: TempDir,
    pub platform: Process,
    /// Times in the settings of all instances that replace the defaults.
    pub times: Value,
    /// Number of worker threads of each instance; null selects one per core.
    pub worker_threads: Value,
    /// Limits in the settings of all instances that replace the defaults.
    pub limits: Value,
}

/// Returns short times, so that tests run quickly; no assertion depends on them.
fn short_times() -> Value {
    json!({
        "entries_valid_ms": 500, "config_poll_ms": 100, "heartbeat_ms": 100, "list_poll_ms": 200,
        "load_poll_ms": 100, "stall_ms": 1000, "resume_patience_ms": 1500, "drain_streams_ms": 1000,
        "lease_ms": 3000, "order_ms": 500
    })
}

impl Site {
    /// Starts a platform.
    pub fn new() -> Self {
        let platform = Process::start(
            STANDIN,
            &[
                "platform",
                "--address",
                ANY_ADDRESS,
                "--control",
                ANY_ADDRESS,
            ],
        );
        Self {
            dir: tempfile::tempdir().expect("temporary directory"),
            platform,
            times: short_times(),
            worker_threads: json!(2),
            limits: json!({}),
        }
    }

    /// Starts an engine with the model `m` at version 1 loaded.
    pub fn start_engine(&self, name: &str, spec: &Value) -> Process {
        let platform = self.platform.address("address");
        let spec = spec.to_string();
        let args = [
            "engine",
            "--name",
            name,
            "--address",
            ANY_ADDRESS,
            "--control",
            ANY_ADDRESS,
            "--platform",
            &platform,
            "--spec",
            &spec,
            "--model",
            "m@1",
        ];
        Process::start(STANDIN, &args)
    }

    /// Starts a plain service.
    pub fn start_service(&self, name: &str) -> Process {
        let platform = self.platform.address("address");
        let args = [
            "service",
            "--name",
            name,
            "--address",
            ANY_ADDRESS,
            "--control",
            ANY_ADDRESS,
            "--platform",
            &platform,
        ];
        Process::start(STANDIN, &args)
    }

    /// Starts an instance on free ports.
    pub fn start_instance(&self, name: &str, hall: &str) -> Process {
        self.start_instance_at(name, hall, &json!({}), &self.platform.address("address"))
    }

    /// Starts an instance; addresses that `addresses` does not set get free ports.
    pub fn start_instance_at(
        &self,
        name: &str,
        hall: &str,
        addresses: &Value,
        platform: &str,
    ) -> Process {
        let address = |key: &str| addresses[key].as_str().unwrap_or(ANY_ADDRESS).to_owned();
        let settings = json!({
            "instance": name, "hall": hall,
            "caller_address": address("caller"),
            "operator_address": address("operator"),
            "peer_address": address("peer"),
            "platform": { "plugin": "http", "addresses": [platform] },
            "worker_threads": self.worker_threads,
            "times": self.times, "limits": self.limits,
        });
        let path = self.dir.path().join(format!("{name}.jsonc"));
        std::fs::write(&path, settings.to_string()).expect("settings file");
        Process::start(DAEMON, &["--settings", path.to_str().expect("path")])
    }

    /// Publishes configuration objects with the command-line tool.
    pub fn publish(&self, objects: &Value) -> Output {
        let path = self.write_file("objects.jsonc", &json!({ "objects": objects }).to_string());
        let platform = self.platform.address("address");
        run_tool(&[
            "publish",
            "--platform",
            &platform,
            path.to_str().expect("path"),
        ])
    }

    /// Publishes configuration objects, which are accepted.
    pub fn publish_accepted(&self, objects: &Value) {
        let published = self.publish(objects);
        assert!(published.status.success(), "{published:?}");
    }

    /// Writes a file to the temporary directory and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).expect("file");
        path
    }

    /// Sets the faults of the platform.
    pub async fn set_platform_faults(&self, faults: &Value) {
        set_faults(&self.platform, faults).await;
    }
}

/// Runs the command-line tool and returns its output.
pub fn run_tool(args: &[&str]) -> Output {
    Command::new(TOOL).args(args).output().expect("tool runs")
}

/// Sets the faults of a stand-in.
pub async fn set_faults(standin: &Process, faults: &Value) {
    let url = format!("http://{}/faults", standin.address("control"));
    let response = reqwest::Client::new().put(url).json(faults).send().await;
    let status = response.expect("control port answers").status();
    assert!(status.is_success(), "faults refused: {status}");
}

/// Fetches JSON from a URL.
pub async fn get_json(url: String) -> Value {
    let response = reqwest::get(url).await.expect("answer");
    response.json().await.expect("JSON")
}

/// Fetches the state dump of an instance.
pub async fn debug_state(instance: &Process) -> Value {
    get_json(format!(
        "http://{}/debug/state",
        instance.address("operator")
    ))
    .await
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(description: &str, mut holds: impl FnMut() -> F) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until an instance sees at least this many live peers.
pub async fn wait_for_peers(instance: &Process, peers: u64) {
    wait_until("the peers are live", || async {
        debug_state(instance).await["status"]["members_live"].as_u64() >= Some(peers)
    })
    .await;
}

/// Waits until an instance serves a completion.
///
/// Then it, or the owner of the endpoint's group, has a load report of an engine.
pub async fn wait_until_serving(instance: &Process) {
    wait_until("the instance serves", || async {
        let response = complete(&instance.address("caller"), &json!({"max_tokens": 1})).await;
        response.status == 200
    })
    .await;
}

/// Returns the configuration objects of one hall.
///
/// They are a model, a client account, a rule, and the engines and services with their addresses.
pub fn config_objects(
    hall: &str,
    engines: &[(&str, &Process)],
    services: &[(&str, &Process)],
) -> Value {
    let mut objects = vec![
        json!({"kind": "hall", "name": hall, "region": "test"}),
        json!({"kind": "model", "name": "m", "version": "1", "weights_bytes": 1000, "max_output_tokens": 100_000,
               "replicas_per_hall": 8}),
        json!({"kind": "client_account", "name": "caller", "key_blake3": blake3::hash(KEY.as_bytes()).to_hex().to_string()}),
        json!({"kind": "rule", "name": "all"}),
    ];
    for (name, process) in engines {
        objects.push(json!({"kind": "endpoint", "name": name, "hall": hall, "address": process.address("address"),
            "type": "engine", "kv_capacity_tokens": 100_000, "model_slots": 8, "checks_fence": true}));
    }
    for (name, process) in services {
        objects.push(json!({"kind": "endpoint", "name": name, "hall": hall, "address": process.address("address"),
            "type": "service", "service": "fees"}));
    }
    json!(objects)
}

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Value,
}

impl HttpResponse {
    /// Returns the outcome of an error response; empty for others.
    pub fn outcome(&self) -> &str {
        self.body["error"]["outcome"].as_str().unwrap_or("")
    }

    /// Returns the kind of an error response; empty for others.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or("")
    }
}

/// Sends a request and reads the complete response; the status is 0 if the connection fails.
pub async fn send_request(request: reqwest::RequestBuilder) -> HttpResponse {
    let Ok(response) = request.send().await else {
        return connection_failure();
    };
    let status = response.status().as_u16();
    let header = response.headers().get("retry-after");
    let retry_after = header
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let Ok(text) = response.text().await else {
        return connection_failure();
    };
    HttpResponse {
        status,
        retry_after,
        body: serde_json::from_str(&text).unwrap_or(Value::String(text)),
    }
}

fn connection_failure() -> HttpResponse {
    HttpResponse {
        status: 0,
        retry_after: None,
        body: Value::Null,
    }
}

/// Returns a completion request; `fields` are added to the body.
pub fn completion(entry: &str, fields: &Value) -> reqwest::RequestBuilder {
    let mut body = json!({"model": "m", "prompt": "hello"});
    for (name, value) in fields.as_object().expect("fields") {
        body[name] = value.clone();
    }
    reqwest::Client::new()
        .post(format!("http://{entry}/v1/completions"))
        .bearer_auth(KEY)
        .json(&body)
}

/// Requests a completion that is not streamed.
pub async fn complete(entry: &str, fields: &Value) -> HttpResponse {
    send_request(completion(entry, fields)).await
}

/// Returns a call of the service `fees`; the stand-in counts its runs by `text`.
pub fn service_call(entry: &str, text: &str) -> reqwest::RequestBuilder {
    reqwest::Client::new()
        .post(format!("http://{entry}/v1/services/fees/lookup"))
        .bearer_auth(KEY)
        .body(text.to_owned())
}

/// Returns a call of the service `fees` that must run at most once.
pub fn non_repeatable_call(
    entry: &str,
    ticket: &str,
    key: &str,
    text: &str,
) -> reqwest::RequestBuilder {
    service_call(entry, text)
        .header("Larkwick-Repeatable", "false")
        .header("Larkwick-Ticket", ticket)
        .header("Idempotency-Key", key)
}

/// Returns how often a service ran the call with this text.
pub async fn run_count(service: &Process, text: &str) -> u64 {
    let runs = get_json(format!("http://{}/runs", service.address("control"))).await;
    runs[text].as_u64().unwrap_or(0)
}

/// Fetches the ticket that an entry issues for an instance.
pub async fn fetch_ticket(entry: &str, instance: &str) -> String {
    let response = get_json(format!("http://{entry}/v1/entries")).await;
    let entries = response["entries"].as_array().expect("entries").clone();
    let listed = entries
        .iter()
        .find(|candidate| candidate["instance"] == instance);
    listed.expect("instance is listed")["ticket"]
        .as_str()
        .expect("ticket")
        .to_owned()
}

/// Events received from a stream.
#[derive(Debug, Default, Clone)]
pub struct StreamResult {
    pub text: String,
    pub ids: Vec<String>,
    /// `done`, `moved`, `error`, or `cut` if the connection ended without a final event.
    pub end: String,
    /// Data of the final event.
    pub last: Value,
}

impl StreamResult {
    /// Returns the token indices in the order received.
    pub fn indices(&self) -> Vec<u32> {
        let index = |id: &String| id.rsplit(':').next()?.parse().ok();
        self.ids.iter().filter_map(index).collect()
    }
}

/// Reads one stream, up to `tokens_max` tokens.
pub async fn read_stream(request: reqwest::RequestBuilder, tokens_max: usize) -> StreamResult {
    let mut result = StreamResult {
        end: "cut".to_owned(),
        ..StreamResult::default()
    };
    let Ok(mut response) = request.send().await else {
        return result;
    };
    if !response.status().is_success() {
        "error".clone_into(&mut result.end);
        result.last = response.json().await.unwrap_or_default();
        return result;
    }
    let mut pending = String::new();
    while let Ok(Some(bytes)) = response.chunk().await {
        pending.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            record_event(&mut result, &event);
            if result.end != "cut" || result.ids.len() >= tokens_max {
                return result;
            }
        }
    }
    result
}

fn record_event(result: &mut StreamResult, event: &str) {
    let field = |name: &str| {
        let line = event.lines().find_map(|line| line.strip_prefix(name));
        line.map(|value| value.trim().to_owned())
    };
    let Some(data) = field("data:") else { return };
    if data == "[DONE]" {
        "done".clone_into(&mut result.end);
        return;
    }
    let value: Value = serde_json::from_str(&data).expect("event data is JSON");
    if let Some(kind) = field("event:") {
        result.end = kind;
        result.last = value;
        return;
    }
    if let Some(id) = field("id:") {
        result.ids.push(id);
        result.text += value["choices"][0]["text"].as_str().unwrap_or("");
    }
}

/// Returns a request for a streamed completion.
pub fn streamed_completion(entry: &str, fields: &Value) -> reqwest::RequestBuilder {
    let mut fields = fields.clone();
    fields["stream"] = json!(true);
    completion(entry, &fields)
}

/// A TCP proxy between processes whose connections a test can stall or cut.
pub struct TcpLink {
    /// Address to connect to instead of the target.
    pub address: String,
    stalled: tokio::sync::watch::Sender<bool>,
    cut: tokio::sync::watch::Sender<u32>,
}

impl TcpLink {
    /// Opens a proxy to an address.
    pub async fn open(target: String) -> Self {
        let listener = tokio::net::TcpListener::bind(ANY_ADDRESS)
            .await
            .expect("port");
        let address = listener.local_addr().expect("address").to_string();
        let stalled = tokio::sync::watch::Sender::new(false);
        let cut = tokio::sync::watch::Sender::new(0);
        let (stalls, cuts) = (stalled.subscribe(), cut.subscribe());
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = tokio::net::TcpStream::connect(&target).await else {
                    continue;
                };
                tokio::spawn(forward_connection(
                    client,
                    server,
                    stalls.clone(),
                    cuts.clone(),
                ));
            }
        });
        Self {
            address,
            stalled,
            cut,
        }
    }

    /// Stalls all connections, or lets them continue.
    pub fn set_stalled(&self, stalled: bool) {
        let _ = self.stalled.send(stalled);
    }

    /// Closes all open connections.
    pub fn cut(&self) {
        self.cut.send_modify(|cuts| *cuts += 1);
    }
}

async fn forward_connection(
    client: tokio::net::TcpStream,
    server: tokio::net::TcpStream,
    stalls: tokio::sync::watch::Receiver<bool>,
    mut cuts: tokio::sync::watch::Receiver<u32>,
) {
    cuts.mark_unchanged();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = copy_bytes(client_read, server_write, stalls.clone()) => {}
        () = copy_bytes(server_read, client_write, stalls) => {}
        _ = cuts.changed() => {}
    }
}

async fn copy_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut stalls: tokio::sync::watch::Receiver<bool>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        if stalls.wait_for(|stalled| !stalled).await.is_err()
            || to.write_all(&buffer[..read]).await.is_err()
        {
            return;
        }
    }
}
