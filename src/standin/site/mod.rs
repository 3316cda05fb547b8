//! Stand-in of the users' platform: a store and servers in this process, speaking the adapter's wire, with faults set by tests.

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

use server::{Arrival, Server, ServerKind, Servers};
use store::LogStore;

/// Body of an answer; an error closes the connection.
pub type StandinBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// The host that the configurations of [`SiteStandin::publish`] name.
pub const HOST: &str = "site.example";
/// The key of the one client account.
pub const KEY: &str = "key-1";

/// A listener whose connections are cut when it is dropped.
#[derive(Debug)]
pub struct Listening {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    connections: Arc<parking_lot::Mutex<Vec<tokio::task::AbortHandle>>>,
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
    }
}

impl Listening {
    /// Ends as a process does that crashes: nobody listens any more by the time its connections are cut.
    pub async fn end(mut self) {
        self.task.abort();
        // An aborted task always ends, and says nothing else.
        let _ = (&mut self.task).await;
    }
}

/// Serves a handler on a free loopback port.
///
/// # Errors
/// No port can be bound.
pub async fn listen<H, F>(handler: H) -> std::io::Result<Listening>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<StandinBody>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let connections = Arc::new(parking_lot::Mutex::new(Vec::new()));
    let open = connections.clone();
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answered = handler(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let served = tokio::spawn(async move {
                // How a connection ended shows at its other end.
                let _ = connection.await;
            });
            open.lock().push(served.abort_handle());
        }
    });
    Ok(Listening {
        address,
        task,
        connections,
    })
}

/// Adds a header that no page names to an answer, where a test wants one.
fn add_unknown(header: Option<&'static str>, response: &mut Response<StandinBody>) {
    if let Some(name) = header {
        let name = http::HeaderName::from_static(name);
        let headers = response.headers_mut();
        headers.insert(name, http::HeaderValue::from_static("1"));
    }
}

/// A body that is at hand.
#[must_use]
pub fn whole(body: impl Into<Bytes>) -> StandinBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a status and a body.
#[must_use]
pub fn answer(status: u16, body: impl Into<Bytes>) -> Response<StandinBody> {
    let mut response = Response::new(whole(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// A platform with servers.
pub struct SiteStandin {
    /// The store.
    pub store: Arc<LogStore>,
    servers: Arc<Servers>,
    listening: Listening,
}

impl SiteStandin {
    /// Starts a store without servers and without a configuration.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let store = Arc::new(LogStore::default());
        let served = store.clone();
        let listening = listen(move |request| {
            let store = served.clone();
            async move { store.answer(request).await }
        })
        .await?;
        Ok(Self {
            store,
            servers: Arc::default(),
            listening,
        })
    }

    /// Address of the store.
    #[must_use]
    pub fn store_address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Starts a server and lists it.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn server(&self, service: &str, kind: ServerKind) -> std::io::Result<Arc<Server>> {
        let server = self.server_unlisted(service, kind).await?;
        self.list(&server, "ready");
        Ok(server)
    }

    /// Starts a server that nobody knows yet.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn server_unlisted(
        &self,
        service: &str,
        kind: ServerKind,
    ) -> std::io::Result<Arc<Server>> {
        self.servers.start(service, kind).await
    }

    /// Writes a server's entry.
    pub fn list(&self, server: &Server, state: &str) {
        self.list_with(server, &json!({"state": state}));
    }

    /// Writes a server's entry with other fields than usual; a field that is null is left out.
    pub fn list_with(&self, server: &Server, fields: &Value) {
        let entry = Self::entry(server, fields);
        self.store.put("keyed.servers", &server.id, &entry);
    }

    /// A server's entry with other fields than usual; a field that is null is left out.
    #[must_use]
    pub fn entry(server: &Server, fields: &Value) -> Value {
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

    /// Asks that nothing more be sent to the servers of a hall.
    pub fn evacuate(&self, hall: &str) {
        let key = format!("evacuate/{hall}");
        self.store.put("keyed.op", &key, &json!({}));
    }

    /// Takes the request of [`SiteStandin::evacuate`] back.
    pub fn take_back(&self, hall: &str) {
        self.store.drop_key("keyed.op", &format!("evacuate/{hall}"));
    }

    /// Drops a server's entry.
    pub fn unlist(&self, server: &Server) {
        self.store.drop_key("keyed.servers", &server.id);
    }

    /// Publishes a configuration: `calls` may be repeated on two servers, `once` may not, `chat` streams, `check` streams and may be resumed
    /// at two engines.
    pub fn publish(&self, version: u64, keys: &[&str]) {
        self.publish_with_routes(version, keys, 0);
    }

    /// Publishes a configuration with so many routes more, which nobody calls.
    pub fn publish_with_routes(&self, version: u64, keys: &[&str], more: u32) {
        self.publish_value(&Self::config(version, keys, more));
    }

    /// The configuration of [`SiteStandin::publish`], to be changed and published.
    #[must_use]
    pub fn usual_config(&self, version: u64, keys: &[&str]) -> Value {
        Self::config(version, keys, 0)
    }

    fn config(version: u64, keys: &[&str], more: u32) -> Value {
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
        let more = (0..more).map(|number| format!("more-{number}"));
        routes.extend(more.map(|name| route(&name, "idempotent", "app", 2)));
        json!({
            "version": version,
            "routes": routes,
            "services": [
                {"name": "app", "max-conns": 100}, {"name": "llm", "max-conns": 100, "engine": engine},
            ],
            "tenants": [{"name": "account-1", "api-keys": keys}],
        })
    }

    /// Publishes the usual configuration with a plain service whose servers are cold for so long after a start, and bear so many calls a second
    /// while they are.
    pub fn publish_cold(&self, version: u64, cold_start_s: f64, cold_per_s: f64) {
        let mut config = Self::config(version, &[KEY], 0);
        config["services"][0]["cold-start-s"] = json!(cold_start_s);
        config["services"][0]["cold-per-s"] = json!(cold_per_s);
        self.publish_value(&config);
    }

    /// Publishes a configuration as it is.
    pub fn publish_value(&self, config: &Value) {
        self.store.put("keyed.op", "config", config);
    }

    /// From now on each server that begins to run a request with this body crashes.
    pub fn crash_on(&self, body: &'static [u8]) {
        self.servers.crash_on(body);
    }

    /// Servers that crashed, in order.
    #[must_use]
    pub fn crashed(&self) -> Vec<String> {
        self.servers.crashed()
    }

    /// Requests that servers have answered, in order.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.servers.arrivals()
    }

    /// Servers on which a request ran, in order.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> Vec<String> {
        self.servers.runs_of(request)
    }
}
