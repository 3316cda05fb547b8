//! In-process stand-in of the users' platform: a store and servers with injected faults.
//!
//! They speak the protocols of the platform adapter.

mod copies;
pub mod server;
pub mod store;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use server::{Arrival, Server, ServerKind, ServerRegistry, SocketAfterCrash};
use store::LogStore;

/// Body of a response; an error in it closes the connection.
pub type StandinBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Host of all routes in the configurations of [`SiteStandin::publish`].
pub const HOST: &str = "site.example";
/// API key of the default client account.
pub const KEY: &str = "key-1";

/// A listener that closes its connections when it is dropped.
#[derive(Debug)]
pub struct Listener {
    /// Address on which it listens.
    pub address: SocketAddr,
    socket: Arc<TcpListener>,
    task: JoinHandle<()>,
    connections: Arc<parking_lot::Mutex<Vec<tokio::task::AbortHandle>>>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
    }
}

impl Listener {
    /// Simulates a process crash: the listener closes first, then its connections are cut.
    ///
    /// Returns the listening socket if a child of the process is to hold it: it accepts further
    /// connections, which nobody serves, until it is dropped.
    pub async fn crash(mut self, held_by_child: bool) -> Option<Arc<TcpListener>> {
        self.task.abort();
        // The result is irrelevant: an aborted task always ends.
        let _ = (&mut self.task).await;
        held_by_child.then(|| self.socket.clone())
    }
}

/// A free loopback port.
const ANY_ADDRESS: &str = "127.0.0.1:0";

/// Serves a handler on a free loopback port.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn serve<H, F>(handler: H) -> std::io::Result<Listener>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<StandinBody>> + Send + 'static,
{
    serve_at(ANY_ADDRESS, handler).await
}

/// Serves a handler at an address.
async fn serve_at<H, F>(address: &str, handler: H) -> std::io::Result<Listener>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<StandinBody>> + Send + 'static,
{
    let socket = Arc::new(TcpListener::bind(address).await?);
    let address = socket.local_addr()?;
    let accepting_socket = socket.clone();
    let connections = Arc::new(parking_lot::Mutex::new(Vec::new()));
    let open_connections = connections.clone();
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = accepting_socket.accept().await {
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let connection_task = tokio::spawn(async move {
                // Errors are ignored: the peer sees how the connection ended.
                let _ = connection.await;
            });
            open_connections.lock().push(connection_task.abort_handle());
        }
    });
    Ok(Listener {
        address,
        socket,
        task,
        connections,
    })
}

/// Adds an undocumented header to a response if a test has set one.
fn add_unknown_header(header: Option<&'static str>, response: &mut Response<StandinBody>) {
    if let Some(name) = header {
        let name = http::HeaderName::from_static(name);
        let headers = response.headers_mut();
        headers.insert(name, http::HeaderValue::from_static("1"));
    }
}

/// Returns a body with known contents.
#[must_use]
pub fn full_body(body: impl Into<Bytes>) -> StandinBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a status and a body.
#[must_use]
pub fn build_response(status: u16, body: impl Into<Bytes>) -> Response<StandinBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// A platform with a store and servers.
pub struct SiteStandin {
    /// The store.
    pub store: Arc<LogStore>,
    servers: Arc<ServerRegistry>,
    listener: Listener,
}

impl SiteStandin {
    /// Starts an empty store, without servers and configuration.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let store = Arc::new(LogStore::default());
        let handler_store = store.clone();
        let listener = serve(move |request| {
            let store = handler_store.clone();
            async move { store.handle(request).await }
        })
        .await?;
        Ok(Self {
            store,
            servers: Arc::default(),
            listener,
        })
    }

    /// Returns the address of the store.
    #[must_use]
    pub fn store_address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Starts a server and lists it as ready.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_server(
        &self,
        service: &str,
        kind: ServerKind,
    ) -> std::io::Result<Arc<Server>> {
        let server = self.start_unlisted_server(service, kind).await?;
        self.list_server(&server, "ready");
        Ok(server)
    }

    /// Starts a server that is not listed in the store.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start_unlisted_server(
        &self,
        service: &str,
        kind: ServerKind,
    ) -> std::io::Result<Arc<Server>> {
        self.servers.start(service, kind).await
    }

    /// Writes a server's entry with a state.
    pub fn list_server(&self, server: &Server, state: &str) {
        self.list_server_with(server, &json!({"state": state}));
    }

    /// Writes a server's entry with `fields` in place of the defaults; null removes a field.
    pub fn list_server_with(&self, server: &Server, fields: &Value) {
        let entry = Self::server_entry(server, fields);
        self.store.put("keyed.servers", &server.id, &entry);
    }

    /// Returns a server's entry with `fields` in place of the defaults; null removes a field.
    #[must_use]
    pub fn server_entry(server: &Server, fields: &Value) -> Value {
        let mut entry = json!({
            "service": server.service, "addr": server.address(), "zone": "hall-1", "version": "v1",
            "slots": server.slots(), "state": "ready", "cold-left-ms": 0, "seq": 1,
        });
        let fields = fields.as_object().into_iter().flatten();
        for (name, value) in fields {
            entry[name] = value.clone();
        }
        if let Some(entry) = entry.as_object_mut() {
            entry.retain(|_, value| !value.is_null());
        }
        entry
    }

    /// Writes the order to evacuate a hall: its servers are to receive no further requests.
    pub fn evacuate_hall(&self, hall: &str) {
        let key = format!("evacuate/{hall}");
        self.store.put("keyed.op", &key, &json!({}));
    }

    /// Orders to shift a service to a software version.
    pub fn order_rollout(&self, service: &str, target_version: &str, finish_by_s: f64) {
        let order = json!({
            "service": service, "target-version": target_version, "finish-by-s": finish_by_s,
        });
        self.store
            .put("keyed.op", &format!("rollout/{service}"), &order);
    }

    /// Withdraws the order of [`SiteStandin::order_rollout`].
    pub fn withdraw_rollout(&self, service: &str) {
        self.store.delete("keyed.op", &format!("rollout/{service}"));
    }

    /// Returns the states that larkwick has recorded for the roll-out of a service, in order.
    #[must_use]
    pub fn rollout_states(&self, service: &str) -> Vec<String> {
        let history = self
            .store
            .history("keyed.status", &format!("rollout/{service}"));
        let states = history.iter().filter_map(|status| status["state"].as_str());
        states.map(str::to_owned).collect()
    }

    /// Deletes the order of [`SiteStandin::evacuate_hall`].
    pub fn restore_hall(&self, hall: &str) {
        self.store.delete("keyed.op", &format!("evacuate/{hall}"));
    }

    /// Deletes a server's entry.
    pub fn unlist_server(&self, server: &Server) {
        self.store.delete("keyed.servers", &server.id);
    }

    /// Publishes the default configuration, which has four routes.
    ///
    /// `calls` is idempotent with two attempts, `once` is not idempotent, `chat` streams, and
    /// `check` streams and may be resumed, with two attempts.
    pub fn publish(&self, version: u64, keys: &[&str]) {
        self.publish_with_routes(version, keys, 0);
    }

    /// Publishes the default configuration with a number of additional routes that no test calls.
    pub fn publish_with_routes(&self, version: u64, keys: &[&str], extra_routes: u32) {
        self.publish_config(&Self::config(version, keys, extra_routes));
    }

    /// Returns the configuration of [`SiteStandin::publish`], for tests that change it.
    #[must_use]
    pub fn default_config(&self, version: u64, keys: &[&str]) -> Value {
        Self::config(version, keys, 0)
    }

    fn config(version: u64, keys: &[&str], extra_routes: u32) -> Value {
        let route = |name: &str, kind: &str, service: &str, attempts: u32| {
            let timeout_ms = if kind == "stream" { 20_000 } else { 4_000 };
            json!({
                "name": name, "host": HOST, "path-prefix": format!("/{name}/"), "kind": kind, "service": service,
                "timeout-ms": timeout_ms, "goal-ms": 1000, "priority": 1, "max-attempts": attempts,
            })
        };
        let engine = json!({
            "slots": 24, "kv-capacity": 34_000, "token-kv-bytes": 327_680, "link-mbps": 47_000.0, "moves": true,
            "backups": true, "stride": 4, "handle-s": 5.0,
        });
        let mut resumable = route("check", "stream", "llm", 2);
        resumable["resumable"] = json!(true);
        let mut routes = vec![
            route("calls", "idempotent", "app", 2),
            route("once", "non_idempotent", "app", 1),
            route("chat", "stream", "llm", 1),
            resumable,
        ];
        let extra_names = (0..extra_routes).map(|number| format!("more-{number}"));
        routes.extend(extra_names.map(|name| route(&name, "idempotent", "app", 2)));
        json!({
            "version": version,
            "routes": routes,
            "services": [
                {"name": "app", "max-conns": 100, "health-path": server::HEALTH_PATH},
                {"name": "llm", "max-conns": 100, "health-path": server::HEALTH_PATH, "engine": engine},
            ],
            "tenants": [{"name": "account-1", "api-keys": keys}],
        })
    }

    /// Publishes the default configuration with a cold start for the plain service.
    ///
    /// After a start its servers warm up for `cold_start_s` seconds and sustain `cold_per_s` calls
    /// per second meanwhile.
    pub fn publish_with_cold_start(&self, version: u64, cold_start_s: f64, cold_per_s: f64) {
        let mut config = Self::config(version, &[KEY], 0);
        config["services"][0]["cold-start-s"] = json!(cold_start_s);
        config["services"][0]["cold-per-s"] = json!(cold_per_s);
        self.publish_config(&config);
    }

    /// Publishes a configuration without validating it.
    pub fn publish_config(&self, config: &Value) {
        self.store.put("keyed.op", "config", config);
    }

    /// Makes each server crash that starts to run a request with this body, from now on.
    pub fn crash_servers_on(&self, body: &'static [u8]) {
        self.servers.add_crashing_body(body);
    }

    /// Makes each server crash that starts to run a request whose prompt has this segment anywhere
    /// but last, from now on.
    pub fn crash_servers_on_segment(&self, segment: &'static str) {
        self.servers.add_crashing_segment(segment);
    }

    /// Makes engines that crash send this number of events before, from now on.
    pub fn set_events_before_crash(&self, events: u32) {
        self.servers.set_events_before_crash(events);
    }

    /// Makes all servers answer with neither a length nor chunks, from now on: their answers end
    /// with the connection.
    pub fn end_responses_with_connection(&self) {
        self.servers.end_responses_with_connection();
    }

    /// Makes servers that crash start again at their address at once, under another id, from now on.
    pub fn restart_at_once(&self) {
        self.servers.restart_at_once();
    }

    /// Makes servers that crash close their connections some milliseconds before they cease to
    /// listen, from now on.
    pub fn close_connections_first(&self) {
        self.servers.close_connections_first();
    }

    /// Sets what becomes of the listening sockets of servers that crash from now on.
    pub fn set_socket_after_crash(&self, socket: SocketAfterCrash) {
        self.servers.set_socket_after_crash(socket);
    }

    /// Returns the ids of the crashed servers, in order.
    #[must_use]
    pub fn crashed_servers(&self) -> Vec<String> {
        self.servers.crashed_ids()
    }

    /// Returns the requests that servers have answered, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.servers.arrivals()
    }

    /// Returns the ids of the servers on which a request ran, in order.
    #[must_use]
    pub fn servers_that_ran(&self, request: &str) -> Vec<String> {
        self.servers.servers_that_ran(request)
    }

    /// Returns the requests that began at a server while another ran them, in order.
    #[must_use]
    pub fn ran_twice_at_once(&self) -> Vec<String> {
        self.servers.ran_twice_at_once()
    }

    /// Returns the largest number of memory copies that one server made at once.
    #[must_use]
    pub fn copies_at_once_max(&self) -> usize {
        self.servers.copies_at_once_max()
    }

    /// Returns the number of memory copies that are neither used nor freed.
    #[must_use]
    pub fn copy_count(&self) -> usize {
        self.servers.copy_count()
    }
}
