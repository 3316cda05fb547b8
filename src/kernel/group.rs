//! Admission control for a group of endpoints, run by the owner of the group: reservations,
//! predicted KV-cache memory use and a bounded fair queue.

mod queue;
mod request;
mod stream;
mod summary;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::fairness::{AccountUsage, QueueWaitEstimator};
use super::length_estimates::LengthEstimates;
use super::policy::{
    Candidate, GenerationSize, InFlight, LoadReport, RoutingPolicy, StreamSize, tokens_as_f64,
};
use crate::error::{Error, ErrorKind};

use queue::QueuedRequest;
use stream::Stream;

pub use request::{Decision, ExpiredReservation, Grant, QueueDecision, ReserveRequest};
pub use summary::{EndpointSummary, GroupSummary};

/// Limits of an endpoint group.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GroupLimits {
    /// Maximum number of queued requests.
    pub queue_length: usize,
    /// Maximum time that a request may be queued.
    pub queue_wait: Duration,
    /// Time without a progress report from the entry after which a reservation expires.
    pub reservation_ttl: Duration,
}

impl Default for GroupLimits {
    fn default() -> Self {
        Self {
            queue_length: 256,
            queue_wait: Duration::from_secs(5),
            reservation_ttl: Duration::from_secs(10),
        }
    }
}

/// State of one endpoint of the group.
#[derive(Debug, Clone)]
struct EndpointState {
    capacity_tokens: f64,
    report: Option<LoadReport>,
    in_flight: InFlight,
    fill_limit: f64,
    prefixes: VecDeque<u64>,
}

const FILL_LIMIT_START: f64 = 1.0;
const FILL_LIMIT_MIN: f64 = 0.5;
const FILL_LIMIT_MAX: f64 = 2.0;
/// Factor applied to the fill limit on a load report that shows new preemptions.
const FILL_LIMIT_DECREASE: f64 = 0.95;
/// Increase of the fill limit on a load report without new preemptions while requests are queued.
const FILL_LIMIT_INCREASE: f64 = 0.01;
/// Reported memory use, as a fraction of capacity, at and above which the fill limit does not grow.
const FILL_LIMIT_GROWTH_MAX_USE: f64 = 0.85;
/// Prefix hashes remembered per endpoint.
const MAX_TRACKED_PREFIXES: usize = 512;

/// Reservations, queue and endpoint state of one group.
pub struct GroupLedger {
    policy: Box<dyn RoutingPolicy>,
    limits: GroupLimits,
    /// Output length estimates from the generations finished in this group.
    estimates: LengthEstimates,
    endpoints: BTreeMap<String, EndpointState>,
    streams: HashMap<Uuid, Stream>,
    queue: Vec<QueuedRequest>,
    usage: AccountUsage,
    wait_estimator: QueueWaitEstimator,
}

impl GroupLedger {
    /// Creates a ledger without endpoints or reservations.
    #[must_use]
    pub fn new(policy: Box<dyn RoutingPolicy>, limits: GroupLimits) -> Self {
        Self {
            policy,
            limits,
            estimates: LengthEstimates::default(),
            endpoints: BTreeMap::new(),
            streams: HashMap::new(),
            queue: Vec::new(),
            usage: AccountUsage::default(),
            wait_estimator: QueueWaitEstimator::new(limits.queue_wait),
        }
    }

    /// Adds an endpoint or updates its memory capacity.
    pub fn set_endpoint(&mut self, name: &str, capacity_tokens: u64) {
        let capacity_tokens = tokens_as_f64(capacity_tokens);
        self.endpoints
            .entry(name.to_owned())
            .or_insert_with(|| EndpointState {
                capacity_tokens,
                report: None,
                in_flight: InFlight::default(),
                fill_limit: FILL_LIMIT_START,
                prefixes: VecDeque::new(),
            })
            .capacity_tokens = capacity_tokens;
    }

    /// Records a load report of an endpoint, which lags behind its present load.
    ///
    /// New preemptions lower the fill limit of the endpoint. Without preemptions, queued requests
    /// raise it as long as the reported memory use is moderate.
    pub fn record_load_report(&mut self, endpoint: &str, report: &LoadReport) {
        let has_queue = !self.queue.is_empty();
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let same_incarnation = state
            .report
            .as_ref()
            .filter(|last| last.incarnation == report.incarnation);
        let has_preempted =
            same_incarnation.is_some_and(|last| report.preemptions_total > last.preemptions_total);
        let memory_use = tokens_as_f64(report.kv_used_tokens) / state.capacity_tokens;
        if has_preempted {
            state.fill_limit = (state.fill_limit * FILL_LIMIT_DECREASE).max(FILL_LIMIT_MIN);
        } else if has_queue && memory_use < FILL_LIMIT_GROWTH_MAX_USE {
            state.fill_limit = (state.fill_limit + FILL_LIMIT_INCREASE).min(FILL_LIMIT_MAX);
        }
        state.report = Some(report.clone());
    }

    /// Records that the prefix cache of an endpoint holds a prefix.
    pub fn record_cached_prefix(&mut self, endpoint: &str, prefix: u64) {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if state.prefixes.contains(&prefix) {
            return;
        }
        if state.prefixes.len() == MAX_TRACKED_PREFIXES {
            state.prefixes.pop_front();
        }
        state.prefixes.push_back(prefix);
    }

    /// Grants, queues or refuses a request.
    pub fn reserve(
        &mut self,
        request: &ReserveRequest,
        now: Duration,
        random: &mut dyn Rng,
    ) -> Decision {
        let id = request.reservation_id;
        if let Some(stream) = self.streams.get(&id) {
            return Decision::Granted(grant(id, &stream.endpoint));
        }
        if self
            .queue
            .iter()
            .any(|queued| queued.request.reservation_id == id)
        {
            return Decision::Queued;
        }
        if !request
            .candidates
            .iter()
            .any(|name| self.endpoints.contains_key(name))
        {
            return Decision::Refused(Error::new(
                ErrorKind::NoEndpoint,
                "no allowed endpoint is live in this group",
            ));
        }
        let blocked = self.endpoints_awaited_before(request);
        if let Some(grant) = self.try_grant(request, now, random, &blocked) {
            return Decision::Granted(grant);
        }
        self.enqueue(request, now)
    }

    /// Reserves capacity on an endpoint that is not in `blocked`, if the policy finds one.
    fn try_grant(
        &mut self,
        request: &ReserveRequest,
        now: Duration,
        random: &mut dyn Rng,
        blocked: &HashSet<String>,
    ) -> Option<Grant> {
        let size = self.size_of(request, 0);
        let generation = GenerationSize {
            prompt_tokens: size.prompt_tokens,
            max_tokens: size.max_tokens,
            residual: size.residual,
            survival: size.survival,
        };
        let candidates: Vec<Candidate<'_>> = request
            .candidates
            .iter()
            .filter(|name| !blocked.contains(*name))
            .filter_map(|name| self.candidate(name, request))
            .collect();
        let chosen = self.policy.choose(&candidates, &generation, random)?;
        let endpoint = candidates[chosen].name.to_owned();
        let state = self.endpoints.get_mut(&endpoint)?;
        state.in_flight.add(&size);
        self.record_cached_prefix(&endpoint, request.prefix);
        self.usage
            .charge(&request.account, request.share, request.prompt_tokens);
        let granted = grant(request.reservation_id, &endpoint);
        let stream = Stream {
            request: request.clone(),
            endpoint,
            generated_tokens: 0,
            generation: None,
            granted_at: now,
            last_report: now,
        };
        self.streams.insert(request.reservation_id, stream);
        Some(granted)
    }

    fn candidate<'a>(&'a self, name: &str, request: &ReserveRequest) -> Option<Candidate<'a>> {
        let (name, state) = self.endpoints.get_key_value(name)?;
        let is_cached = state.prefixes.contains(&request.prefix);
        Some(Candidate {
            name,
            capacity_tokens: state.capacity_tokens,
            report: state.report.as_ref(),
            in_flight: state.in_flight,
            fill_limit: state.fill_limit,
            cached_prefix_tokens: if is_cached { request.prompt_tokens } else { 0 },
        })
    }

    /// Records the progress of a stream as reported by its entry.
    pub fn record_progress(
        &mut self,
        reservation_id: Uuid,
        generated_tokens: u32,
        generation: Option<&str>,
        now: Duration,
    ) {
        let Some(stream) = self.streams.get_mut(&reservation_id) else {
            return;
        };
        let new_tokens = generated_tokens.saturating_sub(stream.generated_tokens);
        stream.generated_tokens = stream.generated_tokens.max(generated_tokens);
        stream.last_report = now;
        if stream.generation.is_none() {
            stream.generation = generation.map(str::to_owned);
        }
        self.usage
            .charge(&stream.request.account, stream.request.share, new_tokens);
    }

    /// Adds the output length of a finished generation to the length estimates.
    pub fn record_output_length(&mut self, reservation_id: Uuid, length_tokens: u32) {
        if let Some(stream) = self.streams.get(&reservation_id) {
            let request = &stream.request;
            self.estimates
                .observe(&request.model, &request.account, length_tokens);
        }
    }

    /// Ends a reservation or removes the queued request with its id.
    pub fn release(&mut self, reservation_id: Uuid) {
        self.streams.remove(&reservation_id);
        self.queue
            .retain(|queued| queued.request.reservation_id != reservation_id);
    }

    /// Re-estimates every stream as of `now`.
    ///
    /// Call this after [`Self::record_progress`] and [`Self::release`], before
    /// [`Self::process_queue`].
    pub fn refresh_in_flight(&mut self, now: Duration) {
        for state in self.endpoints.values_mut() {
            state.in_flight = InFlight::default();
        }
        for stream in self.streams.values() {
            let size = self.size_of(&stream.request, stream.estimated_tokens_at(now));
            if let Some(state) = self.endpoints.get_mut(&stream.endpoint) {
                state.in_flight.add(&size);
            }
        }
    }

    fn size_of(&self, request: &ReserveRequest, generated_tokens: u32) -> StreamSize {
        let (model, account) = (&request.model, &request.account);
        let max_tokens = request.max_tokens;
        StreamSize {
            prompt_tokens: request.prompt_tokens,
            generated_tokens,
            max_tokens,
            residual: self
                .estimates
                .residual(model, account, generated_tokens, max_tokens),
            survival: self
                .estimates
                .survival(model, account, generated_tokens, max_tokens),
        }
    }

    /// Removes and returns the reservations whose entry has not reported progress within
    /// [`GroupLimits::reservation_ttl`].
    pub fn expire_reservations(&mut self, now: Duration) -> Vec<ExpiredReservation> {
        let ttl = self.limits.reservation_ttl;
        let expired: Vec<Uuid> = self
            .streams
            .iter()
            .filter(|(_, stream)| now.saturating_sub(stream.last_report) > ttl)
            .map(|(id, _)| *id)
            .collect();
        expired
            .iter()
            .filter_map(|id| self.streams.remove(id))
            .map(|stream| ExpiredReservation {
                endpoint: stream.endpoint,
                generation: stream.generation,
            })
            .collect()
    }

    /// Removes an endpoint from the group. It gets no new work; its streams continue.
    pub fn remove_endpoint(&mut self, name: &str) {
        self.endpoints.remove(name);
    }

    /// Returns the names of the endpoints in the group.
    pub fn endpoints(&self) -> impl Iterator<Item = &str> {
        self.endpoints.keys().map(String::as_str)
    }

    /// Returns the counters of the group for the state dump.
    #[must_use]
    pub fn summary(&self) -> GroupSummary {
        let endpoints = self.endpoints.iter().map(|(name, state)| EndpointSummary {
            endpoint: name.clone(),
            streams: state.in_flight.streams,
            held_tokens: state.in_flight.held_tokens,
            predicted_peak_tokens: state.in_flight.predicted_peak_tokens(1.0),
            fill_limit: state.fill_limit,
        });
        GroupSummary {
            streams: self.streams.len(),
            waiting: self.queue.len(),
            endpoints: endpoints.collect(),
        }
    }
}

fn grant(reservation_id: Uuid, endpoint: &str) -> Grant {
    Grant {
        reservation_id,
        endpoint: endpoint.to_owned(),
    }
}
