//! The [`Endpoint`] trait for back ends, and the registry of endpoint plug-ins.
//!
//! Plug-ins register themselves with [`inventory`].
//!
//! | file | subject |
//! |---|---|
//! | `http` | plug-in `http` |
//! | `protocol` | messages of the endpoint protocol |

mod http;
pub mod protocol;

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures::Stream;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::kernel::attempt::{AttemptFailure, UnsentAttempt};
use crate::kernel::policy::LoadReport;
use protocol::{CacheEvent, EngineEvent, GenerationRequest, Order, OrderStatus};

/// Events of a generation. An error means that the connection was lost or an event was unreadable.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, StreamError>> + Send>>;

/// The error of a stream whose connection was lost or that carried an unreadable event.
#[derive(Debug, Clone, thiserror::Error)]
#[error("connection to the endpoint broke: {0}")]
pub struct StreamError(pub String);

/// Why a generation cannot be resumed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ResumeError {
    /// The endpoint does not have the generation, or has it for another client account.
    #[error("the endpoint does not have this generation")]
    Unknown,
    /// The endpoint did not answer as expected. A later attempt may succeed.
    #[error("the endpoint cannot be reached: {0}")]
    Unreachable(String),
}

/// The generation to resume and the position to resume it from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePosition<'a> {
    /// The number that the engine gave the generation.
    pub number: u64,
    /// Incarnation of the endpoint that runs the generation.
    pub incarnation: Uuid,
    /// Client account that owns the generation.
    pub account: &'a str,
    /// Index of the first token to read.
    pub index: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Path, without the name of the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Request id, which the service must echo.
    pub request_id: Uuid,
    /// Client account of the caller.
    pub account: String,
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Why an order was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The endpoint has seen a newer fence, so the order is outdated.
    #[error("order refused: the endpoint has seen fence {newest_fence}")]
    Fenced {
        /// Newest fence that the endpoint has seen.
        newest_fence: u64,
    },
    /// The endpoint did not answer as expected.
    #[error("the endpoint cannot be reached: {0}")]
    Unreachable(String),
}

/// Client for one back end.
#[async_trait]
pub trait Endpoint: Send + Sync {
    /// Starts a generation and returns its events.
    ///
    /// The stream begins with the `Started` event, whose ids match those of the attempt.
    async fn generate(
        &self,
        attempt: UnsentAttempt,
        request: &GenerationRequest,
    ) -> Result<EngineStream, AttemptFailure>;
    /// Resumes a generation from a token index.
    ///
    /// The stream begins with the `Started` event.
    async fn resume(&self, from: &ResumePosition<'_>) -> Result<EngineStream, ResumeError>;
    /// Cancels a generation. With `unless_read`, cancels it only if it has no reader.
    async fn cancel(&self, number: u64, incarnation: Uuid, unless_read: bool);
    /// Fetches the latest load report.
    async fn load_report(&self) -> anyhow::Result<LoadReport>;
    /// Fetches the cache events after a sequence number.
    async fn cache_events(&self, after_sequence: u64) -> anyhow::Result<Vec<CacheEvent>>;
    /// Sends a fenced order.
    async fn send_order(&self, order: &Order, timeout: Duration)
    -> Result<OrderStatus, OrderError>;
    /// Calls a plain service.
    async fn call_service(
        &self,
        attempt: UnsentAttempt,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, AttemptFailure>;
}

/// A registered endpoint plug-in.
pub struct EndpointPlugin {
    /// Name by which published endpoints refer to the plug-in.
    pub name: &'static str,
    /// Creates a client for the endpoint with the given name and address.
    pub connect: fn(name: &str, address: &str) -> anyhow::Result<Arc<dyn Endpoint>>,
}

inventory::collect!(EndpointPlugin);

/// Returns the names of the registered plug-ins in sorted order.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<EndpointPlugin>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}

/// Creates a client for an endpoint with the plug-in of the given name.
///
/// # Errors
/// The plug-in is unknown or cannot create the client.
pub fn connect(plugin: &str, name: &str, address: &str) -> anyhow::Result<Arc<dyn Endpoint>> {
    let plugin_entry = inventory::iter::<EndpointPlugin>().find(|entry| entry.name == plugin);
    let Some(plugin_entry) = plugin_entry else {
        anyhow::bail!(
            "endpoint {name:?}: unknown plug-in {plugin:?}; known: {}",
            names().join(", ")
        );
    };
    (plugin_entry.connect)(name, address)
}

const CONNECT_TIMEOUT_MAX: Duration = Duration::from_secs(1);

/// Builds an HTTP client that neither retries requests nor follows redirects.
///
/// The connect timeout is at most one second.
///
/// # Errors
/// The client cannot be built.
pub fn no_retry_client(connect_timeout: Duration) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(connect_timeout.min(CONNECT_TIMEOUT_MAX))
        .tcp_nodelay(true)
        .pool_idle_timeout(Duration::from_secs(20))
        .build()
}
