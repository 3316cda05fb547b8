//! Endpoints behind one trait, with plug-ins that register themselves.

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

/// Events of a generation; an error means that the connection broke.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, StreamError>> + Send>>;

/// The connection that carried a stream broke.
#[derive(Debug, Clone, thiserror::Error)]
#[error("connection to the endpoint broke: {0}")]
pub struct StreamError(pub String);

/// Why a generation cannot be resumed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ResumeError {
    /// The endpoint does not know it (any more), or not for this account.
    #[error("the endpoint does not have this generation")]
    Unknown,
    /// No answer for now.
    #[error("the endpoint cannot be reached: {0}")]
    Unreachable(String),
}

/// Which generation to resume and from where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePosition<'a> {
    /// The engine's number.
    pub number: u64,
    /// Incarnation that has it.
    pub incarnation: Uuid,
    /// Client account it belongs to.
    pub account: &'a str,
    /// First index wanted.
    pub index: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// Path after the service's name.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Echoed by the service.
    pub request_id: Uuid,
    /// Client account.
    pub account: String,
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// An order that was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The endpoint has seen a newer fence.
    #[error("order refused: the endpoint has seen fence {newest_fence}")]
    Fenced {
        /// Newest fence seen.
        newest_fence: u64,
    },
    /// No answer.
    #[error("the endpoint cannot be reached: {0}")]
    Unreachable(String),
}

/// A back end.
#[async_trait]
pub trait Endpoint: Send + Sync {
    /// Starts a generation. The stream's first event has been checked against the attempt and is returned with it.
    async fn generate(
        &self,
        attempt: UnsentAttempt,
        request: &GenerationRequest,
    ) -> Result<EngineStream, AttemptFailure>;
    /// Reads a generation from an index on, starting with its `Started` event.
    async fn resume(&self, from: &ResumePosition<'_>) -> Result<EngineStream, ResumeError>;
    /// Cancels a generation; with `unless_read`, only if nobody reads it.
    async fn cancel(&self, number: u64, incarnation: Uuid, unless_read: bool);
    /// The last load report.
    async fn load_report(&self) -> anyhow::Result<LoadReport>;
    /// Cache events after a sequence number.
    async fn cache_events(&self, after_sequence: u64) -> anyhow::Result<Vec<CacheEvent>>;
    /// Gives a fenced order.
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
    /// Name in published endpoints.
    pub name: &'static str,
    /// Makes a client for the endpoint of this name and address.
    pub connect: fn(name: &str, address: &str) -> anyhow::Result<Arc<dyn Endpoint>>,
}

inventory::collect!(EndpointPlugin);

/// Names of the registered plug-ins, sorted.
#[must_use]
pub fn names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<EndpointPlugin>()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}

/// Connects by plug-in name.
///
/// # Errors
/// The plug-in is unknown.
pub fn connect(plugin: &str, name: &str, address: &str) -> anyhow::Result<Arc<dyn Endpoint>> {
    let found = inventory::iter::<EndpointPlugin>().find(|known| known.name == plugin);
    let Some(found) = found else {
        anyhow::bail!(
            "endpoint {name:?}: unknown plug-in {plugin:?}; known: {}",
            names().join(", ")
        );
    };
    (found.connect)(name, address)
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client that never repeats a request by itself and follows no redirect.
///
/// # Errors
/// The client cannot be built.
pub fn no_retry_client(connect_timeout: Duration) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(connect_timeout.min(CONNECT_TIMEOUT))
        .tcp_nodelay(true)
        .pool_idle_timeout(Duration::from_secs(20))
        .build()
}
