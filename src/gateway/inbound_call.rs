//! A call of a caller while this instance handles it.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;

use super::in_flight::{CallGuard, CallPhase};
use super::message_heads::{CallHead, EndpointRequestHead};
use super::node::Gateway;
use super::retry_budgets::{Repeat, RepeatCause};
use super::version_choice::VersionChoice;
use crate::kernel::byte_budget::HeldBytes;
use crate::kernel::fingerprint::{Fingerprint, FingerprintHead, HeadHash};
use crate::kernel::fleet::{EndpointEntry, Fleet};
use crate::kernel::region::AllowedRegions;
use crate::kernel::route::{self, CallKind, Route, RouteTable};

/// What was sent to endpoints for a call before this instance got it or passed it on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SendsBefore {
    /// Number of requests that reached an endpoint.
    pub(crate) sends: u32,
    /// Number of them that may have run; never above `sends`.
    pub(crate) runs: u32,
    /// Whether its first attempt was recorded in a retry budget.
    pub(crate) is_counted: bool,
}

/// From whom this instance got a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    /// From its caller.
    Caller,
    /// From a peer that reaches no endpoint of its service. It is not passed on again.
    Peer(SendsBefore),
}

impl CallOrigin {
    /// Returns what was sent for the call before this instance got it.
    pub(crate) fn sends_before(self) -> SendsBefore {
        match self {
            Self::Caller => SendsBefore::default(),
            Self::Peer(before) => before,
        }
    }
}

/// A call in flight.
pub(crate) struct Call {
    pub(crate) origin: CallOrigin,
    pub(crate) gateway: Arc<Gateway>,
    /// Configuration at the time of arrival; used until the call ends.
    pub(crate) table: Arc<RouteTable>,
    pub(crate) head: CallHead,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// The body counts as held until the call ends.
    pub(crate) _held_body: HeldBytes,
    pub(crate) route: Route,
    /// Service to which the call is routed.
    pub(crate) service: String,
    /// Name of the client account.
    pub(crate) account: Option<String>,
    /// Priority; 0 is served first.
    pub(crate) priority: u8,
    /// Regions in which the call may be served.
    pub(crate) regions: AllowedRegions,
    /// Version that was drawn for the call, while its service is rolled out.
    pub(crate) version_choice: Option<VersionChoice>,
    pub(crate) arrived: Duration,
    /// Time at which the caller or the route stops waiting.
    pub(crate) deadline: Duration,
    /// Request fingerprint, computed on first use: most calls never need it, so their bodies are
    /// not hashed.
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    /// Fingerprints of the segments of its prompt, computed on first use.
    pub(crate) segment_fingerprints: OnceLock<Vec<Fingerprint>>,
    /// Delays the shutdown of the instance until the call ends.
    pub(crate) in_flight_guard: CallGuard,
}

impl Call {
    /// Returns the fingerprint of everything but the body: method, host, path, client account and
    /// body length.
    pub(crate) fn fingerprint_head(&self) -> HeadHash {
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

    /// Returns the request fingerprint, which includes the body.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let compute = || self.fingerprint_head().with_body(&self.body);
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns the fingerprints of the segments of its prompt that other prompts may have, too.
    pub(crate) fn segment_fingerprints(&self) -> &[Fingerprint] {
        self.segment_fingerprints.get_or_init(|| {
            let head = HeadHash::of_segments(&self.service);
            let segments = self.head.shared_segments.iter();
            segments
                .map(|segment| head.with_segment(*segment))
                .collect()
        })
    }

    /// Returns the fingerprints of the request and of the segments of its prompt.
    pub(crate) fn all_fingerprints(&self) -> Vec<Fingerprint> {
        let mut fingerprints = self.segment_fingerprints().to_vec();
        fingerprints.push(self.fingerprint());
        fingerprints
    }

    /// Records how far the call has come.
    pub(super) fn set_phase(&self, phase: CallPhase) {
        self.in_flight_guard.set_phase(phase);
    }

    /// Returns the time left until the deadline; zero if it has passed.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    /// Returns whether an endpoint is in a region in which the call may be served.
    pub(crate) fn is_region_allowed(&self, endpoint: &EndpointEntry) -> bool {
        let region = self.gateway.hall_regions.region_of(&endpoint.hall);
        self.regions.contains(region)
    }

    /// Returns the endpoints of the service that accept work, are in a region in which the call may
    /// be served, and are not excluded.
    pub(super) fn eligible_endpoints<'a>(
        &'a self,
        fleet: &'a Fleet,
        is_excluded: impl Fn(&EndpointEntry) -> bool + 'a,
    ) -> impl Iterator<Item = &'a EndpointEntry> {
        let ready = fleet.ready_endpoints(&self.service);
        ready.filter(move |endpoint| self.is_region_allowed(endpoint) && !is_excluded(endpoint))
    }

    /// Returns the headers that larkwick sets on this call's request to an endpoint.
    pub(super) fn endpoint_head<'a>(
        &'a self,
        endpoint: &'a EndpointEntry,
        last_event_id: Option<&'a str>,
    ) -> EndpointRequestHead<'a> {
        EndpointRequestHead {
            endpoint_id: &endpoint.listed_id,
            time_left: self.time_left(),
            account: self.account.as_deref(),
            priority: self.engine_priority(),
            continue_from: None,
            copy_at: None,
            last_event_id,
        }
    }

    /// Returns the priority that engines are told, so that they preempt what the queue would have
    /// let wait. Without a reserve for urgent ones, all generations are alike to them.
    fn engine_priority(&self) -> Option<u8> {
        let is_told = self.route.kind == CallKind::Generation
            && self.gateway.routing.read().load.reserve_for_urgent;
        is_told.then(|| route::engine_priority(self.priority, self.route.priority))
    }

    /// Returns the rank by which the owner of the engines orders this call.
    pub(super) fn rank(&self) -> u32 {
        if self.gateway.routing.read().load.reserve_for_urgent {
            route::rank(self.priority, self.route.priority)
        } else {
            u32::from(self.priority)
        }
    }

    /// Records the first attempt of this call, unless the peer that passed it on has.
    pub(super) fn record_first_attempt(&self) {
        if !self.origin.sends_before().is_counted {
            self.gateway.record_first_attempt(&self.service);
        }
    }

    /// Returns a send of this call beyond its first.
    pub(super) fn repeat(&self, cause: RepeatCause) -> Repeat<'_> {
        Repeat {
            service: &self.service,
            request_id: &self.head.request_id,
            cause,
        }
    }

    /// Returns the time since arrival.
    pub(crate) fn age(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived)
    }
}
