//! A caller's call on its way through this instance.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;

use super::call::CallHead;
use super::node::{Counted, Gateway};
use crate::kernel::fingerprint::{FingerprintHead, HeadHash, RequestFingerprint};
use crate::kernel::route::{Route, RouteTable};

/// A call on its way.
pub(crate) struct Call {
    pub(crate) gateway: Arc<Gateway>,
    /// The configuration at its arrival, for its whole life.
    pub(crate) table: Arc<RouteTable>,
    pub(crate) head: CallHead,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    /// Service chosen for it.
    pub(crate) service: String,
    /// Name of the client account.
    pub(crate) account: Option<String>,
    /// 0 is served first.
    pub(crate) priority: u8,
    pub(crate) arrived: Duration,
    /// When the caller, or the route, stops waiting.
    pub(crate) deadline: Duration,
    /// What names it by its content, once asked for: most bodies need never be read for it.
    pub(crate) content: OnceLock<RequestFingerprint>,
    /// Keeps the instance from stopping.
    pub(crate) _counted: Counted,
}

impl Call {
    /// What names the head of its content.
    pub(crate) fn content_head(&self) -> HeadHash {
        let path = self.parts.uri.path_and_query();
        let head = FingerprintHead {
            method: self.parts.method.as_str(),
            host: &self.route.host,
            path: path.map_or("/", http::uri::PathAndQuery::as_str),
            account: self.account.as_deref(),
            body_bytes: self.body.len(),
        };
        head.hash()
    }

    /// What names it by its content.
    pub(crate) fn content(&self) -> RequestFingerprint {
        let read = || self.content_head().with_body(&self.body);
        *self.content.get_or_init(read)
    }

    /// What is left of the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    /// Time since its arrival.
    pub(crate) fn age(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived)
    }
}
