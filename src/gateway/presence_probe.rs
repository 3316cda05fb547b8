//! Probes whether an endpoint still runs: connects to it, watches what becomes of the connection,
//! and asks engines for their report.
//!
//! Plain endpoints that abort a request are not asked: a question would take one of their slots, and
//! one that is full would not answer either. Another incarnation at their address refuses a question
//! at once, which is asked where the end of a connection alone tells that an answer is whole.

use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use tokio::net::TcpStream;

use super::engine_reports::REPORT_MAX_BYTES;
use super::node::Gateway;
use super::permits::Permit;
use super::upstream::{ConnectError, Connection, ConnectionReuse};
use crate::kernel::fleet::EndpointEntry;
use crate::kernel::presence::{Presence, PresenceCheck, ProbeStep};
use crate::platform::engine;

/// How long an accepted connection to a plain endpoint has to stay open until the endpoint counts
/// as running.
const OPEN_MIN: Duration = Duration::from_millis(20);
/// Time that an engine has for the answer to a question, beyond twice the time that it took to
/// connect: engines answer at once, also when they are full.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of a probe.
#[derive(Debug, Clone)]
pub(super) struct ProbeResult {
    pub(super) presence: Presence,
    /// Whether the endpoint accepts connections and does not answer, so that a request that is sent
    /// there waits in vain.
    pub(super) is_unanswered: bool,
    /// Whether the result rests on a refused connection alone, which a lost way to the endpoint
    /// looks like.
    pub(super) is_refused: bool,
    /// The steps of the probe, for the log.
    pub(super) steps: String,
}

impl ProbeResult {
    /// Returns the result for an endpoint that was not probed.
    pub(super) fn unknown() -> Self {
        Self {
            presence: Presence::Unknown,
            is_unanswered: false,
            is_refused: false,
            steps: String::new(),
        }
    }
}

/// Probes an endpoint until its presence is known. Returns the connection, too, if it is still
/// open and nothing was asked on it.
pub(super) async fn run_probe(
    gateway: &Gateway,
    endpoint: &EndpointEntry,
) -> (ProbeResult, Option<TcpStream>) {
    let started_at = gateway.now();
    let mut check = PresenceCheck::default();
    loop {
        let (step, connection) = probe_once(gateway, endpoint).await;
        let after = gateway.now().saturating_sub(started_at);
        if let Some(presence) = check.record(step, after) {
            let result = ProbeResult {
                presence,
                is_unanswered: check.is_unanswered(),
                is_refused: check.is_refused(),
                steps: check.summary(),
            };
            return (result, connection);
        }
    }
}

impl Gateway {
    /// Returns the result of a probe, or that nothing is known: an endpoint that refuses connections has
    /// ended only if no peer reaches it.
    pub(super) async fn weigh_probe(
        &self,
        endpoint: &EndpointEntry,
        result: ProbeResult,
    ) -> ProbeResult {
        if result.presence != Presence::Ended || !result.is_refused {
            return result;
        }
        let presence = if self.is_down_for_all(endpoint).await {
            Presence::Ended
        } else {
            Presence::Unknown
        };
        ProbeResult {
            presence,
            is_refused: false,
            ..result
        }
    }
}

async fn probe_once(gateway: &Gateway, endpoint: &EndpointEntry) -> (ProbeStep, Option<TcpStream>) {
    match question_permit(gateway, endpoint).await {
        Some(permit) => (ask(gateway, endpoint, permit).await, None),
        None => watch(gateway, endpoint).await,
    }
}

/// Returns a permit for a question to an engine; `None` if the endpoint is not an engine, or takes
/// no request from here for now.
async fn question_permit(gateway: &Gateway, endpoint: &EndpointEntry) -> Option<Permit> {
    if !gateway.has_engines(&endpoint.service) || gateway.is_cooling_down(&endpoint.id) {
        return None;
    }
    gateway
        .request_permit(&endpoint.service, &endpoint.id)
        .await
}

/// Connects to an endpoint and watches for a moment whether the connection stays open.
async fn watch(gateway: &Gateway, endpoint: &EndpointEntry) -> (ProbeStep, Option<TcpStream>) {
    let connection = match gateway.upstream.open_probe_connection(endpoint).await {
        Ok(connection) => connection,
        Err(error) => return (connect_step(&error), None),
    };
    match gateway.wait_for(OPEN_MIN, closed(&connection)).await {
        Some(()) => (ProbeStep::Closed, None),
        None => (ProbeStep::StillOpen, Some(connection)),
    }
}

fn connect_step(error: &ConnectError) -> ProbeStep {
    match error {
        ConnectError::Refused(_) => ProbeStep::Refused,
        ConnectError::Unreached(_) | ConnectError::Other(_) => ProbeStep::Unreachable,
    }
}

/// Waits until the other side closes or resets a connection.
pub(super) async fn closed(connection: &TcpStream) {
    loop {
        if connection.readable().await.is_err() {
            return;
        }
        match connection.try_read(&mut [0; 16]) {
            Ok(0) => return,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
            Ok(_) | Err(_) => {}
        }
    }
}

/// Time that a plain endpoint has for the answer to a question. One that waits for a slot does not
/// answer by then, and another incarnation at its address refuses at once.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(100);

/// Asks whoever listens at the address of a plain endpoint whether it is that endpoint.
pub(super) async fn ask_identity(
    gateway: &Gateway,
    endpoint: &EndpointEntry,
    health_path: &str,
) -> ProbeStep {
    let request =
        engine::build_identity_request(endpoint.address, health_path, &endpoint.listed_id);
    let permit = if gateway.is_cooling_down(&endpoint.id) {
        None
    } else {
        let permit = gateway.request_permit(&endpoint.service, &endpoint.id);
        permit.await
    };
    let (Ok(request), Some(permit)) = (request, permit) else {
        return watch(gateway, endpoint).await.0;
    };
    let connection =
        gateway
            .upstream
            .acquire_connection(endpoint, usize::MAX, ConnectionReuse::Never);
    let connection = match connection.await {
        Ok(connection) => connection,
        Err(error) => return connect_step(&error),
    };
    let asked = gateway.wait_for(IDENTITY_TIMEOUT, connection.send(request, permit));
    match asked.await {
        Some(Ok(response)) if response.head.misdirected => ProbeStep::OtherAnswered,
        Some(Ok(_)) => ProbeStep::Answered,
        Some(Err(_)) => ProbeStep::Closed,
        None => ProbeStep::Unanswered,
    }
}

/// Asks an engine for its report.
async fn ask(gateway: &Gateway, endpoint: &EndpointEntry, permit: Permit) -> ProbeStep {
    let connecting_at = gateway.now();
    let connection =
        gateway
            .upstream
            .acquire_connection(endpoint, usize::MAX, ConnectionReuse::Never);
    let connection = match connection.await {
        Ok(connection) => connection,
        Err(error) => return connect_step(&error),
    };
    let connect_time = gateway.now().saturating_sub(connecting_at);
    let answer = read_answer(endpoint, connection, permit);
    let answer = gateway.wait_for(ANSWER_TIMEOUT + connect_time * 2, answer);
    answer.await.unwrap_or(ProbeStep::Unanswered)
}

async fn read_answer(
    endpoint: &EndpointEntry,
    connection: Connection,
    permit: Permit,
) -> ProbeStep {
    let Ok(request) = engine::build_presence_request(endpoint.address, &endpoint.listed_id) else {
        return ProbeStep::StillOpen;
    };
    let Ok(response) = connection.send(request, permit).await else {
        return ProbeStep::Closed;
    };
    if response.head.misdirected {
        return ProbeStep::OtherAnswered;
    }
    let body = Limited::new(response.body, REPORT_MAX_BYTES).collect();
    let Ok(body) = body.await else {
        return ProbeStep::Closed;
    };
    let report = engine::decode_report(&body.to_bytes()).ok();
    let born_ms = report.and_then(|report| report.born_ms);
    match born_ms.zip(endpoint.born_ms) {
        Some((answering, listed)) if answering != listed => ProbeStep::OtherAnswered,
        _ => ProbeStep::Answered,
    }
}
