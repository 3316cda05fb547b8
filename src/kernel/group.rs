//! The ledger of an endpoint group's owner: reservations, predicted memory, and a bounded fair queue.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::estimate::Estimates;
use super::fairness::{AccountUsage, QueueWaitEstimator};
use super::policy::{
    Candidate, Demand, InFlight, LoadReport, RoutingPolicy, StreamSize, tokens_as_f64,
};
use crate::error::{Error, ErrorKind};

/// Limits of a group.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct GroupLimits {
    /// Requests that may wait.
    pub queue_length: usize,
    /// Longest wait.
    pub queue_wait: Duration,
    /// A reservation whose entry reports nothing for this long lapses.
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

/// A request for a place on one of the group's endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// Chosen by the entry; a second copy gets the first one's answer.
    pub reservation_id: Uuid,
    /// Instance that will stream.
    pub entry: String,
    /// Client account.
    pub account: String,
    /// The account's share.
    pub share: u32,
    /// Model.
    pub model: String,
    /// Prompt, in tokens.
    pub prompt_tokens: u32,
    /// Declared maximum of the output, in tokens.
    pub max_tokens: u32,
    /// Higher goes first.
    pub priority: i32,
    /// Time left until the request is worthless; zero for a request that must not wait.
    pub deadline: Duration,
    /// Hash of the prompt's beginning, for cache affinity.
    pub prefix: u64,
    /// Names of endpoints that rules allow.
    pub candidates: Vec<String>,
}

/// A granted place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The reservation.
    pub reservation_id: Uuid,
    /// Where to stream from.
    pub endpoint: String,
}

/// What became of a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// A place is reserved.
    Granted(Grant),
    /// It waits; [`GroupLedger::process_queue`] will decide.
    Queued,
    /// Final.
    Refused(Error),
}

/// A decision on a request that waited.
#[derive(Debug, Clone)]
pub struct QueueDecision {
    /// The reservation.
    pub reservation_id: Uuid,
    /// Place or error.
    pub result: Result<Grant, Error>,
}

/// A reservation that lapsed because its entry went silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpiredReservation {
    /// Endpoint.
    pub endpoint: String,
    /// The generation there, where the entry had named it.
    pub generation: Option<String>,
}

#[derive(Debug, Clone)]
struct Stream {
    request: ReserveRequest,
    endpoint: String,
    /// As last reported.
    made_tokens: u32,
    generation: Option<String>,
    granted_at: Duration,
    last_report: Duration,
}

impl Stream {
    /// Tokens made by now: as reported, and since then at the stream's own mean speed.
    fn made_by(&self, now: Duration) -> u32 {
        let took = self
            .last_report
            .saturating_sub(self.granted_at)
            .as_secs_f64();
        if self.made_tokens == 0 || took <= 0.0 {
            return self.made_tokens;
        }
        let per_s = f64::from(self.made_tokens) / took;
        let since = now.saturating_sub(self.last_report).min(EXTRAPOLATED_FOR);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number of tokens, not negative"
        )]
        let more = (per_s * since.as_secs_f64()) as u32;
        self.made_tokens
            .saturating_add(more)
            .min(self.request.max_tokens)
    }
}

#[derive(Debug, Clone)]
struct Waiting {
    request: ReserveRequest,
    /// Absolute, on this owner's clock.
    deadline: Duration,
    arrived: Duration,
}

/// An endpoint of the group.
#[derive(Debug, Clone)]
struct Place {
    capacity_tokens: f64,
    report: Option<LoadReport>,
    in_flight: InFlight,
    fill_limit: f64,
    prefixes: VecDeque<u64>,
}

/// A stream that reports nothing is assumed to grow for this long.
const EXTRAPOLATED_FOR: Duration = Duration::from_secs(1);
const FILL_LIMIT_START: f64 = 1.0;
const FILL_LIMIT_MIN: f64 = 0.5;
const FILL_LIMIT_MAX: f64 = 2.0;
/// Factor on the fill limit at a report that shows preemptions.
const FILL_LIMIT_DECREASE: f64 = 0.95;
/// Added to the fill limit per report without preemptions while requests wait.
const FILL_LIMIT_INCREASE: f64 = 0.01;
/// Reported memory use above which the fill limit does not grow.
const FULL_ENOUGH: f64 = 0.85;
const PREFIXES_KEPT: usize = 512;

/// The ledger of one group.
pub struct GroupLedger {
    policy: Box<dyn RoutingPolicy>,
    limits: GroupLimits,
    /// Output lengths seen in this group.
    estimates: Estimates,
    places: BTreeMap<String, Place>,
    streams: HashMap<Uuid, Stream>,
    waiting: Vec<Waiting>,
    usage: AccountUsage,
    wait_estimator: QueueWaitEstimator,
}

/// Counts for the dump and metrics.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupSummary {
    /// Streams in flight.
    pub streams: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Per endpoint.
    #[serde(rename = "places")]
    pub endpoints: Vec<EndpointSummary>,
}

/// One endpoint in [`GroupSummary`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// Name.
    pub endpoint: String,
    /// Streams granted.
    pub streams: u32,
    /// Tokens held.
    pub held_tokens: f64,
    /// Highest memory predicted, at one standard deviation.
    pub predicted_peak_tokens: f64,
    /// Share of memory that predicted tokens may fill.
    pub fill_limit: f64,
}

impl GroupLedger {
    /// An empty ledger.
    #[must_use]
    pub fn new(policy: Box<dyn RoutingPolicy>, limits: GroupLimits) -> Self {
        Self {
            policy,
            limits,
            estimates: Estimates::default(),
            places: BTreeMap::new(),
            streams: HashMap::new(),
            waiting: Vec::new(),
            usage: AccountUsage::default(),
            wait_estimator: QueueWaitEstimator::new(limits.queue_wait),
        }
    }

    /// Adds an endpoint or changes its memory.
    pub fn set_endpoint(&mut self, name: &str, capacity_tokens: u64) {
        let capacity_tokens = tokens_as_f64(capacity_tokens);
        self.places
            .entry(name.to_owned())
            .or_insert_with(|| Place {
                capacity_tokens,
                report: None,
                in_flight: InFlight::default(),
                fill_limit: FILL_LIMIT_START,
                prefixes: VecDeque::new(),
            })
            .capacity_tokens = capacity_tokens;
    }

    /// Takes an endpoint's lagging report. Preemptions seen lower its fill limit; waiting requests raise it.
    pub fn record_load_report(&mut self, endpoint: &str, report: &LoadReport) {
        let crowded = !self.waiting.is_empty();
        let Some(place) = self.places.get_mut(endpoint) else {
            return;
        };
        let same = place
            .report
            .as_ref()
            .filter(|last| last.incarnation == report.incarnation);
        let preempted = same.is_some_and(|last| report.preemptions_total > last.preemptions_total);
        let used = tokens_as_f64(report.kv_used_tokens) / place.capacity_tokens;
        if preempted {
            place.fill_limit = (place.fill_limit * FILL_LIMIT_DECREASE).max(FILL_LIMIT_MIN);
        } else if crowded && used < FULL_ENOUGH {
            place.fill_limit = (place.fill_limit + FILL_LIMIT_INCREASE).min(FILL_LIMIT_MAX);
        }
        place.report = Some(report.clone());
    }

    /// Takes an endpoint's cache event: it holds this prefix.
    pub fn record_cached_prefix(&mut self, endpoint: &str, prefix: u64) {
        let Some(place) = self.places.get_mut(endpoint) else {
            return;
        };
        if place.prefixes.contains(&prefix) {
            return;
        }
        if place.prefixes.len() == PREFIXES_KEPT {
            place.prefixes.pop_front();
        }
        place.prefixes.push_back(prefix);
    }

    /// Decides on a request.
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
            .waiting
            .iter()
            .any(|waiting| waiting.request.reservation_id == id)
        {
            return Decision::Queued;
        }
        if !request
            .candidates
            .iter()
            .any(|name| self.places.contains_key(name))
        {
            return Decision::Refused(Error::new(
                ErrorKind::NoEndpoint,
                "no allowed endpoint is live in this group",
            ));
        }
        let blocked = self.blocked_for(request);
        if let Some(grant) = self.place(request, now, random, &blocked) {
            return Decision::Granted(grant);
        }
        self.enqueue(request, now)
    }

    /// Endpoints that requests ranked before this one wait for.
    fn blocked_for(&self, request: &ReserveRequest) -> HashSet<String> {
        self.waiting
            .iter()
            .filter(|waiting| waiting.request.priority >= request.priority)
            .flat_map(|waiting| waiting.request.candidates.iter().cloned())
            .collect()
    }

    fn place(
        &mut self,
        request: &ReserveRequest,
        now: Duration,
        random: &mut dyn Rng,
        blocked: &HashSet<String>,
    ) -> Option<Grant> {
        let size = self.size_of(request, 0);
        let demand = Demand {
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
        let chosen = self.policy.choose(&candidates, &demand, random)?;
        let endpoint = candidates[chosen].name.to_owned();
        let place = self.places.get_mut(&endpoint)?;
        place.in_flight.add(&size);
        self.record_cached_prefix(&endpoint, request.prefix);
        self.usage
            .charge(&request.account, request.share, request.prompt_tokens);
        let granted = grant(request.reservation_id, &endpoint);
        let stream = Stream {
            request: request.clone(),
            endpoint,
            made_tokens: 0,
            generation: None,
            granted_at: now,
            last_report: now,
        };
        self.streams.insert(request.reservation_id, stream);
        Some(granted)
    }

    fn candidate<'a>(&'a self, name: &str, request: &ReserveRequest) -> Option<Candidate<'a>> {
        let (name, place) = self.places.get_key_value(name)?;
        let cached = place.prefixes.contains(&request.prefix);
        Some(Candidate {
            name,
            capacity_tokens: place.capacity_tokens,
            report: place.report.as_ref(),
            in_flight: place.in_flight,
            fill_limit: place.fill_limit,
            cached_prefix_tokens: if cached { request.prompt_tokens } else { 0 },
        })
    }

    fn enqueue(&mut self, request: &ReserveRequest, now: Duration) -> Decision {
        let ahead = self.count_ahead(request);
        let wait = self.wait_estimator.expected_wait(ahead);
        if request.deadline.is_zero() {
            return Decision::Refused(crowded(wait));
        }
        if wait > request.deadline {
            return Decision::Refused(too_late(wait));
        }
        if wait > self.limits.queue_wait || ahead >= self.limits.queue_length {
            return Decision::Refused(crowded(wait));
        }
        self.waiting.push(Waiting {
            request: request.clone(),
            deadline: now + request.deadline.min(self.limits.queue_wait),
            arrived: now,
        });
        Decision::Queued
    }

    fn count_ahead(&self, request: &ReserveRequest) -> usize {
        let own_usage = self.usage.weighted_tokens(&request.account);
        self.waiting
            .iter()
            .filter(|waiting| {
                let other = &waiting.request;
                other.priority > request.priority
                    || (other.priority == request.priority
                        && self.usage.weighted_tokens(&other.account) <= own_usage)
            })
            .count()
    }

    /// Takes a stream's progress from its entry.
    pub fn record_progress(
        &mut self,
        reservation_id: Uuid,
        made_tokens: u32,
        generation: Option<&str>,
        now: Duration,
    ) {
        let Some(stream) = self.streams.get_mut(&reservation_id) else {
            return;
        };
        let grown = made_tokens.saturating_sub(stream.made_tokens);
        stream.made_tokens = stream.made_tokens.max(made_tokens);
        stream.last_report = now;
        if stream.generation.is_none() {
            stream.generation = generation.map(str::to_owned);
        }
        self.usage
            .charge(&stream.request.account, stream.request.share, grown);
    }

    /// Counts the length of a generation that reached its end.
    pub fn record_output_length(&mut self, reservation_id: Uuid, length_tokens: u32) {
        if let Some(stream) = self.streams.get(&reservation_id) {
            let request = &stream.request;
            self.estimates
                .observe(&request.model, &request.account, length_tokens);
        }
    }

    /// Ends a reservation.
    pub fn release(&mut self, reservation_id: Uuid) {
        self.streams.remove(&reservation_id);
        self.waiting
            .retain(|waiting| waiting.request.reservation_id != reservation_id);
    }

    /// Re-estimates every stream as of `now`. To be called after progress and release, before [`Self::process_queue`].
    pub fn refresh_in_flight(&mut self, now: Duration) {
        for place in self.places.values_mut() {
            place.in_flight = InFlight::default();
        }
        for stream in self.streams.values() {
            let size = self.size_of(&stream.request, stream.made_by(now));
            if let Some(place) = self.places.get_mut(&stream.endpoint) {
                place.in_flight.add(&size);
            }
        }
    }

    fn size_of(&self, request: &ReserveRequest, made_tokens: u32) -> StreamSize {
        let (model, account) = (&request.model, &request.account);
        let max_tokens = request.max_tokens;
        StreamSize {
            prompt_tokens: request.prompt_tokens,
            made_tokens,
            max_tokens,
            residual: self
                .estimates
                .residual(model, account, made_tokens, max_tokens),
            survival: self
                .estimates
                .survival(model, account, made_tokens, max_tokens),
        }
    }

    /// Decides on waiting requests: by priority, then the account that used least for its share, then deadline.
    pub fn process_queue(&mut self, now: Duration, random: &mut dyn Rng) -> Vec<QueueDecision> {
        self.usage.decay(now);
        let mut settled = Vec::new();
        let mut blocked = HashSet::new();
        let mut still_waiting = Vec::new();
        for waiting in self.take_ranked() {
            if let Some(grant) = self.place(&waiting.request, now, random, &blocked) {
                self.wait_estimator.record_grant(now);
                settled.push(QueueDecision {
                    reservation_id: waiting.request.reservation_id,
                    result: Ok(grant),
                });
                continue;
            }
            if now >= waiting.deadline || still_waiting.len() >= self.limits.queue_length {
                let wait = self.wait_estimator.expected_wait(still_waiting.len());
                settled.push(QueueDecision {
                    reservation_id: waiting.request.reservation_id,
                    result: Err(crowded(wait)),
                });
                continue;
            }
            blocked.extend(waiting.request.candidates.iter().cloned());
            still_waiting.push(waiting);
        }
        self.waiting = still_waiting;
        settled
    }

    fn take_ranked(&mut self) -> Vec<Waiting> {
        let mut ranked = std::mem::take(&mut self.waiting);
        ranked.sort_by(|left, right| {
            let usage = |waiting: &Waiting| self.usage.weighted_tokens(&waiting.request.account);
            right
                .request
                .priority
                .cmp(&left.request.priority)
                .then(usage(left).total_cmp(&usage(right)))
                .then(left.deadline.cmp(&right.deadline))
                .then(left.arrived.cmp(&right.arrived))
        });
        ranked
    }

    /// Whether requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Drops reservations whose entry went silent, and endpoints that are not in the group any more.
    pub fn expire_reservations(&mut self, now: Duration) -> Vec<ExpiredReservation> {
        let ttl = self.limits.reservation_ttl;
        let silent: Vec<Uuid> = self
            .streams
            .iter()
            .filter(|(_, stream)| now.saturating_sub(stream.last_report) > ttl)
            .map(|(id, _)| *id)
            .collect();
        silent
            .iter()
            .filter_map(|id| self.streams.remove(id))
            .map(|stream| ExpiredReservation {
                endpoint: stream.endpoint,
                generation: stream.generation,
            })
            .collect()
    }

    /// Takes an endpoint out of the group: it gets no new work. Streams on it go on.
    pub fn remove_endpoint(&mut self, name: &str) {
        self.places.remove(name);
    }

    /// Names of the endpoints in the group.
    pub fn endpoints(&self) -> impl Iterator<Item = &str> {
        self.places.keys().map(String::as_str)
    }

    /// Counts for the dump.
    #[must_use]
    pub fn summary(&self) -> GroupSummary {
        let endpoints = self.places.iter().map(|(name, place)| EndpointSummary {
            endpoint: name.clone(),
            streams: place.in_flight.streams,
            held_tokens: place.in_flight.held_tokens,
            predicted_peak_tokens: place.in_flight.predicted_peak_tokens(1.0),
            fill_limit: place.fill_limit,
        });
        GroupSummary {
            streams: self.streams.len(),
            waiting: self.waiting.len(),
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

fn too_late(wait: Duration) -> Error {
    let message = "all allowed endpoints are full until after the deadline";
    Error::new(ErrorKind::DeadlineExceeded, message).with_retry_after(wait)
}

fn crowded(wait: Duration) -> Error {
    let wait = wait.max(Duration::from_millis(200));
    Error::new(ErrorKind::Crowded, "all allowed endpoints are full").with_retry_after(wait)
}
