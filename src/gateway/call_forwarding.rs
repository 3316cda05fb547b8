//! Passes calls on to a peer that reaches the endpoints of their service, if this instance does not.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use spdlog::info;

use super::in_flight::CallPhase;
use super::inbound_call::{Call, CallOrigin, SendsBefore};
use super::node::{Gateway, MEMBER_RING};
use super::read_ahead::read_ahead;
use super::response_body::{ResponseAborted, ResponseBody, full_body, held_body};
use super::shutdown::STOPPING;
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::membership::Peer;
use crate::kernel::route::CallKind;
use crate::peer::client::is_never_handled;
use crate::peer::generated as wire;
use crate::platform::ingress;

/// Peers that are asked for one call; some of them may be cut off as well.
const PEERS_ASKED_MAX: usize = 4;
/// How long a peer that declined a call of a service gets no other of it.
const DECLINED_BACKOFF: Duration = Duration::from_secs(1);
/// Time beyond the deadline of a call within which a peer that serves it says that it passed.
const REPLY_MARGIN: Duration = Duration::from_millis(200);
/// Largest body that is passed on, below the largest message that a peer reads.
const BODY_MAX_BYTES: usize = 3 << 20;
/// Largest response body that is read before its caller gets it.
const RESPONSE_MAX_BYTES: u64 = 4 << 20;

/// Peers that declined calls of late: by service and name, until when they get none.
#[derive(Debug, Default)]
pub(crate) struct DecliningPeers {
    until: Mutex<HashMap<(String, String), Duration>>,
}

impl DecliningPeers {
    fn record(&self, service: &str, peer: &str, now: Duration) {
        let mut until = self.until.lock();
        until.retain(|_, until| now < *until);
        let key = (service.to_owned(), peer.to_owned());
        until.insert(key, now + DECLINED_BACKOFF);
    }

    fn contains(&self, service: &str, peer: &str, now: Duration) -> bool {
        let until = self.until.lock();
        let key = (service.to_owned(), peer.to_owned());
        until.get(&key).is_some_and(|until| now < *until)
    }
}

/// What became of a call at one peer.
enum Reply {
    /// The peer serves it.
    Served(Response<ResponseBody>),
    /// The peer does not serve it, for this reason; nothing was sent to an endpoint.
    Declined(String),
    /// The peer was lost. It may have sent the call to an endpoint.
    Lost(String),
}

/// What became of a call that was to be passed on.
pub(super) enum Forwarding {
    /// A peer serves it, or was lost with it.
    Answered(Response<ResponseBody>),
    /// All peers that were asked declined it: they reach no endpoint either. Nothing was sent to an
    /// endpoint.
    Declined,
    /// There is no peer to ask.
    NoPeer,
}

impl Call {
    /// Returns whether this instance should pass the call on instead of sending it.
    pub(super) fn needs_forwarding(&self) -> bool {
        matches!(self.origin, CallOrigin::Caller) && self.gateway.reach.is_cut_off(&self.service)
    }
}

/// Passes a call on to a peer, after what was sent `before`.
pub(super) async fn forward(call: &Arc<Call>, mut before: SendsBefore) -> Forwarding {
    if call.body.len() > BODY_MAX_BYTES {
        return Forwarding::NoPeer;
    }
    let Some(peers) = select_peers(call) else {
        return Forwarding::NoPeer;
    };
    for (peer, address) in peers {
        if call.time_left().is_zero() || call.gateway.is_past_last_answer() {
            break;
        }
        let started_at = call.gateway.now();
        call.set_phase(CallPhase::Forwarded);
        let reply = ask_peer(call, &address, before).await;
        log_reply(call, &peer, &reply, started_at);
        match reply {
            Reply::Served(response) => return Forwarding::Answered(response),
            Reply::Declined(_) => {
                if before.runs == 0 {
                    call.set_phase(CallPhase::Waiting);
                }
                let declining = &call.gateway.declining_peers;
                declining.record(&call.service, &peer, call.gateway.now());
            }
            Reply::Lost(reason) => {
                before.sends += 1;
                before.runs += 1;
                before.is_counted = true;
                if !can_be_sent_again(call, before) {
                    return Forwarding::Answered(lost_response(call, &reason));
                }
            }
        }
    }
    if before.runs > 0 {
        let response = lost_response(call, "no instance reaches an endpoint");
        return Forwarding::Answered(response);
    }
    Forwarding::Declined
}

/// Passes a call on that failed here, if this instance turned out to reach no endpoint; `None` if the
/// error stands.
pub(super) async fn forward_failed(
    call: &Arc<Call>,
    error: &Error,
    before: SendsBefore,
) -> Option<Response<ResponseBody>> {
    let may_forward = call.needs_forwarding()
        && error.kind != ErrorKind::EndsEndpoints
        && can_be_sent_again(call, before);
    if !may_forward {
        return None;
    }
    match forward(call, before).await {
        Forwarding::Answered(response) => Some(response),
        Forwarding::Declined | Forwarding::NoPeer => None,
    }
}

/// Returns whether a call that may have run so often may be sent to another endpoint.
fn can_be_sent_again(call: &Call, before: SendsBefore) -> bool {
    let is_repeatable = match call.route.kind {
        CallKind::Repeatable => true,
        CallKind::Once => false,
        CallKind::Generation => call.route.resumable,
    };
    before.runs == 0 || (is_repeatable && before.runs < call.route.attempts_max)
}

fn lost_response(call: &Call, reason: &str) -> Response<ResponseBody> {
    let message = format!("service {}: {reason}; it may have run", call.service);
    let error = Error::new(ErrorKind::EndpointLost, message);
    ingress::error_response(&error).map(full_body)
}

/// Returns names and addresses of live peers in random order, without those that declined of late;
/// `None` if there is no peer in the regions where the call may go.
fn select_peers(call: &Call) -> Option<Vec<(String, String)>> {
    let gateway = &call.gateway;
    let now = gateway.now();
    let mut peers: Vec<(String, String)> = {
        let members = gateway.members.lock();
        let named = |peer: &Peer| {
            let status = &peer.status;
            (status.incarnation.name.clone(), status.peer_address.clone())
        };
        let live: Vec<_> = members.live(MEMBER_RING, now).map(named).collect();
        // Right after a start no member has been heard yet.
        if live.is_empty() {
            members.all().map(named).collect()
        } else {
            live
        }
    };
    peers.retain(|(name, _)| may_pass_to(call, name));
    if peers.is_empty() {
        return None;
    }
    let declining = &gateway.declining_peers;
    peers.retain(|(name, _)| !declining.contains(&call.service, name, now));
    let (chosen, _) = peers.partial_shuffle(&mut rand::rng(), PEERS_ASKED_MAX);
    Some(chosen.to_vec())
}

/// Returns whether the regions of a call allow that it passes a peer.
fn may_pass_to(call: &Call, peer: &str) -> bool {
    if !call.regions.is_restricted() {
        return true;
    }
    let gateway = &call.gateway;
    let entries = gateway.member_entries.lock();
    entries.get(peer).is_some_and(|entry| {
        let region = gateway.hall_regions.region_of(&entry.hall);
        call.regions.contains(region)
    })
}

fn log_reply(call: &Call, peer: &str, reply: &Reply, started_at: Duration) {
    let (outcome, why) = match reply {
        Reply::Served(response) => ("served", response.status().to_string()),
        Reply::Declined(reason) => ("declined", reason.clone()),
        Reply::Lost(reason) => ("lost", reason.clone()),
    };
    metrics::counter!("larkwick_forwarded_calls_total", "outcome" => outcome).increment(1);
    if crate::log::should_log("call forwarded") {
        info!("call forwarded", kv: {
            request_id = call.head.request_id.as_str(), service = call.service.as_str(), peer, outcome,
            why = why.as_str(), took_ms: = millis(call.gateway.now().saturating_sub(started_at)),
        });
    }
}

async fn ask_peer(call: &Arc<Call>, address: &str, before: SendsBefore) -> Reply {
    let gateway = &call.gateway;
    let mut client = match gateway.peers.forwarding_client(address) {
        Ok(client) => client,
        Err(status) => return Reply::Declined(status.message().to_owned()),
    };
    let message = encode_call(call, before);
    let asking = async {
        let mut parts = client.forward_call(message).await?.into_inner();
        let first = parts.message().await?;
        Ok::<_, tonic::Status>((first, parts))
    };
    let asked = Box::pin(gateway.wait_for(call.time_left() + REPLY_MARGIN, asking));
    let asked = gateway.run_until_last_answer(asked).await;
    let (first, parts) = match asked {
        None => return Reply::Lost(STOPPING.to_owned()),
        Some(Some(Ok((Some(first), parts)))) => (first, parts),
        Some(Some(Ok((None, _)))) => return Reply::Lost("the peer gave no response".to_owned()),
        Some(Some(Err(status))) if is_never_handled(&status) => {
            return Reply::Declined(status.message().to_owned());
        }
        Some(Some(Err(status))) => return Reply::Lost(status.message().to_owned()),
        Some(None) => return Reply::Lost("no response of the peer in time".to_owned()),
    };
    match first.head {
        Some(head) => match receive_response(call, &head, first.is_last, parts).await {
            Ok(response) => Reply::Served(response),
            Err(reason) => Reply::Lost(reason),
        },
        None => Reply::Declined(first.declined),
    }
}

fn encode_call(call: &Call, before: SendsBefore) -> wire::ForwardedCall {
    let parts = &call.parts;
    let target = parts.uri.path_and_query();
    wire::ForwardedCall {
        entry: call.gateway.incarnation.name.clone(),
        method: parts.method.to_string(),
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        headers: encode_headers(&parts.headers),
        body: call.body.to_vec(),
        service: call.service.clone(),
        time_left_ms: millis(call.time_left()),
        config_version: call.table.version(),
        sends: before.sends,
        runs: before.runs,
        counted: before.is_counted,
    }
}

/// Encodes the headers of a request or response for a peer.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<wire::HeaderField> {
    let fields = headers.iter().map(|(name, value)| wire::HeaderField {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    fields.collect()
}

/// Decodes headers from a peer.
///
/// # Errors
/// A name or value is not one of a header.
pub(super) fn decode_headers(fields: Vec<wire::HeaderField>) -> Result<HeaderMap, http::Error> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes())?;
        let value = HeaderValue::from_maybe_shared(Bytes::from(field.value))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns the response whose head has arrived. A body of known length is read first, so that a call
/// whose peer is lost meanwhile can still be answered by another.
async fn receive_response(
    call: &Arc<Call>,
    head: &wire::ForwardedHead,
    is_last: bool,
    parts: tonic::Streaming<wire::ForwardedPart>,
) -> Result<Response<ResponseBody>, String> {
    let headers = decode_headers(head.headers.clone()).map_err(|error| error.to_string())?;
    let status = u16::try_from(head.status).unwrap_or_default();
    let status = StatusCode::from_u16(status).map_err(|error| error.to_string())?;
    let body = match head.body_bytes {
        Some(bytes) if bytes <= RESPONSE_MAX_BYTES => {
            let body = if is_last {
                Bytes::new()
            } else {
                let reading = Box::pin(read_body(parts));
                let read = call
                    .gateway
                    .wait_for(call.time_left() + REPLY_MARGIN, reading);
                let read = call.gateway.run_until_last_answer(read).await;
                let read = read.ok_or(STOPPING)?;
                read.unwrap_or_else(|| Err("no body in time".to_owned()))?
            };
            let held_bytes = call.gateway.held_bytes.hold(body.len());
            call.set_phase(CallPhase::Answering);
            held_body(body, held_bytes, call.clone())
        }
        _ => stream_body(call, parts),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

async fn read_body(mut parts: tonic::Streaming<wire::ForwardedPart>) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    loop {
        let part = parts.message().await;
        let part = part.map_err(|status| status.message().to_owned())?;
        let part = part.ok_or("the response of the peer ended early")?;
        body.extend_from_slice(&part.bytes);
        if part.is_last {
            return Ok(body.freeze());
        }
    }
}

/// Returns a body that is passed on as it arrives. Dropping it cancels the call at the peer.
fn stream_body(call: &Arc<Call>, parts: tonic::Streaming<wire::ForwardedPart>) -> ResponseBody {
    let aborted = |reason: &str| ResponseAborted(reason.to_owned());
    let frames = stream::unfold(Some(parts), move |parts| async move {
        let mut parts = parts?;
        match parts.message().await {
            Ok(Some(part)) if part.is_last => None,
            Ok(Some(part)) => Some((Ok(Frame::data(Bytes::from(part.bytes))), Some(parts))),
            Ok(None) => Some((Err(aborted("the response of the peer ended early")), None)),
            Err(status) => Some((Err(aborted(status.message())), None)),
        }
    });
    let frames = read_ahead(call.clone(), frames);
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Returns whether a call of a peer may be served here; else why not.
pub(super) fn check_forwarded(
    gateway: &Gateway,
    message: &wire::ForwardedCall,
) -> Result<(), &'static str> {
    if !gateway.is_ready() {
        Err("not ready")
    } else if gateway.config_version() < message.config_version {
        Err("older configuration")
    } else if gateway.reach.is_cut_off(&message.service) {
        Err("no endpoint reached")
    } else {
        Ok(())
    }
}
