//! Starts the real binaries on free ports and talks to them.
#![allow(dead_code, reason = "each test file uses a part of it")]

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

/// Longest wait for anything. Far above what is usual, so that a busy machine does not change a verdict.
const PATIENCE: Duration = Duration::from_mins(1);
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// What it logged.
    pub log: tempfile::NamedTempFile,
    /// What it printed about its addresses.
    pub addresses: Value,
}

impl Process {
    /// Starts a binary and reads its first line.
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

    /// One of its addresses.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().expect("address").to_owned()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("pid"));
        kill(pid, signal).expect("signal");
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it has ended by itself, and well.
    pub fn ended_well(&mut self) -> Option<bool> {
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
const ANY: &str = "127.0.0.1:0";
pub const KEY: &str = "test-key";

/// A site under test.
pub struct Site {
    pub dir: TempDir,
    pub platform: Process,
    /// Times that replace the defaults in every instance's settings.
    pub times: Value,
    /// Threads of each instance; as many as cores where null.
    pub worker_threads: Value,
    /// Limits that replace the defaults.
    pub limits: Value,
}

/// Short times, so that tests need not wait; none of them decides a verdict.
fn quick_times() -> Value {
    json!({
        "entries_valid_ms": 500, "config_poll_ms": 100, "heartbeat_ms": 100, "list_poll_ms": 200,
        "load_poll_ms": 100, "stall_ms": 1000, "resume_patience_ms": 1500, "drain_streams_ms": 1000,
        "lease_ms": 3000, "order_ms": 500
    })
}

impl Site {
    /// Starts a platform.
    pub fn new() -> Self {
        let platform = Process::start(STANDIN, &["platform", "--address", ANY, "--control", ANY]);
        Self {
            dir: tempfile::tempdir().expect("temporary directory"),
            platform,
            times: quick_times(),
            worker_threads: json!(2),
            limits: json!({}),
        }
    }

    /// Starts an engine that holds the model `m` at version 1.
    pub fn engine(&self, name: &str, spec: &Value) -> Process {
        let platform = self.platform.address("address");
        let spec = spec.to_string();
        let args = [
            "engine",
            "--name",
            name,
            "--address",
            ANY,
            "--control",
            ANY,
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
    pub fn service(&self, name: &str) -> Process {
        let platform = self.platform.address("address");
        let args = [
            "service",
            "--name",
            name,
            "--address",
            ANY,
            "--control",
            ANY,
            "--platform",
            &platform,
        ];
        Process::start(STANDIN, &args)
    }

    /// Starts an instance on free ports.
    pub fn instance(&self, name: &str, hall: &str) -> Process {
        self.instance_at(name, hall, &json!({}), &self.platform.address("address"))
    }

    /// Starts an instance; `addresses` fixes those that are not to be free ones.
    pub fn instance_at(
        &self,
        name: &str,
        hall: &str,
        addresses: &Value,
        platform: &str,
    ) -> Process {
        let address = |key: &str| addresses[key].as_str().unwrap_or(ANY).to_owned();
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

    /// Publishes objects with the tool.
    pub fn publish(&self, objects: &Value) -> Output {
        let path = self.write("objects.jsonc", &json!({ "objects": objects }).to_string());
        let platform = self.platform.address("address");
        tool(&[
            "publish",
            "--platform",
            &platform,
            path.to_str().expect("path"),
        ])
    }

    /// Writes a file.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).expect("file");
        path
    }

    /// Sets the platform's faults.
    pub async fn platform_faults(&self, faults: &Value) {
        set_faults(&self.platform, faults).await;
    }
}

/// Runs the tool.
pub fn tool(args: &[&str]) -> Output {
    Command::new(TOOL).args(args).output().expect("tool runs")
}

/// Sets a stand-in's faults.
pub async fn set_faults(standin: &Process, faults: &Value) {
    let url = format!("http://{}/faults", standin.address("control"));
    let response = reqwest::Client::new().put(url).json(faults).send().await;
    let status = response.expect("control port answers").status();
    assert!(status.is_success(), "faults refused: {status}");
}

/// Reads JSON.
pub async fn get(url: String) -> Value {
    let response = reqwest::get(url).await.expect("answer");
    response.json().await.expect("JSON")
}

/// The state of an instance.
pub async fn dump(instance: &Process) -> Value {
    get(format!(
        "http://{}/debug/state",
        instance.address("operator")
    ))
    .await
}

/// Waits until something holds.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let give_up = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < give_up,
            "waited in vain until {what}"
        );
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Waits until an instance sees this many live peers or more.
pub async fn until_peers(instance: &Process, peers: u64) {
    until("the peers are live", || async {
        dump(instance).await["status"]["members_live"].as_u64() >= Some(peers)
    })
    .await;
}

/// Waits until an instance has a report of every one of these endpoints, itself or its groups' owner, by asking for answers.
pub async fn until_serving(instance: &Process) {
    until("the instance serves", || async {
        let asked = complete(&instance.address("caller"), &json!({"max_tokens": 1})).await;
        asked.status == 200
    })
    .await;
}

/// Objects of one hall: engines and services at their addresses, a model, an account, a rule.
pub fn objects(hall: &str, engines: &[(&str, &Process)], services: &[(&str, &Process)]) -> Value {
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

/// A whole answer.
#[derive(Debug)]
pub struct Answered {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Value,
}

impl Answered {
    /// Outcome of an error.
    pub fn outcome(&self) -> &str {
        self.body["error"]["outcome"].as_str().unwrap_or("")
    }

    /// Kind of an error.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or("")
    }
}

/// Sends a request and reads its whole answer. A connection that breaks has status 0.
pub async fn send(request: reqwest::RequestBuilder) -> Answered {
    let Ok(response) = request.send().await else {
        return broken();
    };
    let status = response.status().as_u16();
    let header = response.headers().get("retry-after");
    let retry_after = header
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let Ok(text) = response.text().await else {
        return broken();
    };
    Answered {
        status,
        retry_after,
        body: serde_json::from_str(&text).unwrap_or(Value::String(text)),
    }
}

fn broken() -> Answered {
    Answered {
        status: 0,
        retry_after: None,
        body: Value::Null,
    }
}

/// A completion request; `fields` are added to the body.
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

/// Asks for a whole completion.
pub async fn complete(entry: &str, fields: &Value) -> Answered {
    send(completion(entry, fields)).await
}

/// A call of the service `fees`; the text is counted by the stand-in.
pub fn call(entry: &str, text: &str) -> reqwest::RequestBuilder {
    reqwest::Client::new()
        .post(format!("http://{entry}/v1/services/fees/lookup"))
        .bearer_auth(KEY)
        .body(text.to_owned())
}

/// A call that must run at most once.
pub fn call_once(entry: &str, ticket: &str, key: &str, text: &str) -> reqwest::RequestBuilder {
    call(entry, text)
        .header("Larkwick-Repeatable", "false")
        .header("Larkwick-Ticket", ticket)
        .header("Idempotency-Key", key)
}

/// How often the service ran a text.
pub async fn runs(service: &Process, text: &str) -> u64 {
    let runs = get(format!("http://{}/runs", service.address("control"))).await;
    runs[text].as_u64().unwrap_or(0)
}

/// The ticket that an entry gives out for an instance.
pub async fn ticket(entry: &str, instance: &str) -> String {
    let answer = get(format!("http://{entry}/v1/entries")).await;
    let entries = answer["entries"].as_array().expect("entries").clone();
    let named = entries.iter().find(|one| one["instance"] == instance);
    named.expect("instance is named")["ticket"]
        .as_str()
        .expect("ticket")
        .to_owned()
}

/// What a stream gave.
#[derive(Debug, Default, Clone)]
pub struct Streamed {
    pub text: String,
    pub ids: Vec<String>,
    /// `done`, `moved`, `error`, or `cut` where the connection ended without a last event.
    pub end: String,
    /// Data of the last event.
    pub last: Value,
}

impl Streamed {
    /// Indices of the tokens, in the order in which they came.
    pub fn indices(&self) -> Vec<u32> {
        let index = |id: &String| id.rsplit(':').next()?.parse().ok();
        self.ids.iter().filter_map(index).collect()
    }
}

/// Reads one stream, at most `tokens_max` tokens of it.
pub async fn read_stream(request: reqwest::RequestBuilder, tokens_max: usize) -> Streamed {
    let mut streamed = Streamed {
        end: "cut".to_owned(),
        ..Streamed::default()
    };
    let Ok(mut response) = request.send().await else {
        return streamed;
    };
    if !response.status().is_success() {
        "error".clone_into(&mut streamed.end);
        streamed.last = response.json().await.unwrap_or_default();
        return streamed;
    }
    let mut pending = String::new();
    while let Ok(Some(bytes)) = response.chunk().await {
        pending.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = pending.find("\n\n") {
            let event: String = pending.drain(..end + 2).collect();
            take_event(&mut streamed, &event);
            if streamed.end != "cut" || streamed.ids.len() >= tokens_max {
                return streamed;
            }
        }
    }
    streamed
}

fn take_event(streamed: &mut Streamed, event: &str) {
    let field = |name: &str| {
        let line = event.lines().find_map(|line| line.strip_prefix(name));
        line.map(|value| value.trim().to_owned())
    };
    let Some(data) = field("data:") else { return };
    if data == "[DONE]" {
        "done".clone_into(&mut streamed.end);
        return;
    }
    let value: Value = serde_json::from_str(&data).expect("event data is JSON");
    if let Some(kind) = field("event:") {
        streamed.end = kind;
        streamed.last = value;
        return;
    }
    if let Some(id) = field("id:") {
        streamed.ids.push(id);
        streamed.text += value["choices"][0]["text"].as_str().unwrap_or("");
    }
}

/// A streamed completion request.
pub fn streaming(entry: &str, fields: &Value) -> reqwest::RequestBuilder {
    let mut fields = fields.clone();
    fields["stream"] = json!(true);
    completion(entry, &fields)
}

/// A link between processes that a test can stall or cut.
pub struct Link {
    /// Where to connect instead of the target.
    pub address: String,
    stalled: tokio::sync::watch::Sender<bool>,
    cut: tokio::sync::watch::Sender<u32>,
}

impl Link {
    /// Opens a link to an address.
    pub async fn to(target: String) -> Self {
        let listener = tokio::net::TcpListener::bind(ANY).await.expect("port");
        let address = listener.local_addr().expect("address").to_string();
        let stalled = tokio::sync::watch::Sender::new(false);
        let cut = tokio::sync::watch::Sender::new(0);
        let (stalls, cuts) = (stalled.subscribe(), cut.subscribe());
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let Ok(far) = tokio::net::TcpStream::connect(&target).await else {
                    continue;
                };
                tokio::spawn(carry(near, far, stalls.clone(), cuts.clone()));
            }
        });
        Self {
            address,
            stalled,
            cut,
        }
    }

    /// Holds everything back, or lets it go on.
    pub fn stall(&self, stalled: bool) {
        let _ = self.stalled.send(stalled);
    }

    /// Breaks every connection that is open.
    pub fn cut(&self) {
        self.cut.send_modify(|cuts| *cuts += 1);
    }
}

async fn carry(
    near: tokio::net::TcpStream,
    far: tokio::net::TcpStream,
    stalls: tokio::sync::watch::Receiver<bool>,
    mut cuts: tokio::sync::watch::Receiver<u32>,
) {
    cuts.mark_unchanged();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(near_read, far_write, stalls.clone()) => {}
        () = pump(far_read, near_write, stalls) => {}
        _ = cuts.changed() => {}
    }
}

async fn pump(
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
