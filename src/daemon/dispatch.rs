//! Dispatches callers' requests: those with an idempotency key go through the idempotency cache,
//! others run directly.

use std::sync::Arc;

use spdlog::info;

use super::generation;
use super::idempotency::IdempotencyDecision;
use super::node::Node;
use super::request::{CallerRequest, RequestedWork};
use super::response::{
    ResponseEvent, ResponseSink, ResponseStream, StoredResponse, response_channel, single_event,
};
use super::service_call;
use crate::error::{Error, ErrorKind};
use crate::kernel::ticket::{IdempotencyKey, Ticket};
use crate::peer::generated as wire;

/// Starts a request and returns its response.
pub(crate) fn start_request(node: &Arc<Node>, request: CallerRequest) -> ResponseStream {
    dispatch(node, request, true)
}

/// Starts a request that a peer relayed, and returns its response.
///
/// The request is not relayed again.
pub(crate) fn start_relayed_request(node: &Arc<Node>, request: CallerRequest) -> ResponseStream {
    dispatch(node, request, false)
}

fn dispatch(node: &Arc<Node>, request: CallerRequest, can_relay: bool) -> ResponseStream {
    let Some(key) = request.options.idempotency_key.clone() else {
        let (sink, stream) = response_channel();
        tokio::spawn(run_request(node.clone(), request, sink));
        return stream;
    };
    let Some(ticket) = request.options.ticket.clone() else {
        return single_event(Error::new(
            ErrorKind::TicketRequired,
            "an idempotency key needs a ticket; take one from /v1/entries",
        ));
    };
    let account = match node.catalog().account_for_key(&request.bearer_key) {
        Ok(account) => account.name.clone(),
        Err(error) => return single_event(error),
    };
    let idempotency_key = IdempotencyKey { account, key };
    match node.idempotency.admit(&ticket, &idempotency_key) {
        IdempotencyDecision::Run(response) => {
            tokio::spawn(run_once(
                node.clone(),
                request,
                idempotency_key,
                response.clone(),
            ));
            response.read()
        }
        IdempotencyDecision::Join(response) => {
            metrics::counter!("larkwick_once_joined_total").increment(1);
            response.read()
        }
        IdempotencyDecision::Refuse(error) => single_event(error),
        IdempotencyDecision::Relay if can_relay => relay(node.clone(), ticket, request),
        IdempotencyDecision::Relay => single_event(instance_gone(&ticket)),
    }
}

/// Runs a new request with an idempotency key and records its response.
async fn run_once(
    node: Arc<Node>,
    request: CallerRequest,
    key: IdempotencyKey,
    response: Arc<StoredResponse>,
) {
    run_request(
        node.clone(),
        request,
        ResponseSink::Stored(response.clone()),
    )
    .await;
    node.idempotency.record_response(&key, &response);
}

/// Runs a request and writes its response to `sink`.
async fn run_request(node: Arc<Node>, request: CallerRequest, sink: ResponseSink) {
    let _active = node.track_request();
    if node.is_standing_down() {
        let error = Error::new(
            ErrorKind::StandingDown,
            "this instance may not know the configuration in force; use another entry",
        );
        sink.send(error.into()).await;
        return;
    }
    let request_id = request.request_id;
    match &request.work {
        RequestedWork::Generation(params) => {
            generation::run(&node, &request, params, &sink).await;
        }
        RequestedWork::Resume { last_event_id } => {
            generation::resume(&node, &request, last_event_id, &sink).await;
        }
        RequestedWork::Service { .. } => service_call::run(&node, &request, &sink).await,
    }
    info!("request ended", kv: { request_id: });
}

fn instance_gone(ticket: &Ticket) -> Error {
    Error::new(
        ErrorKind::InstanceGone,
        format!(
            "instance {} of this ticket cannot be reached; whether the request ran is unknown",
            ticket.instance
        ),
    )
}

/// Relays a request to the instance that issued its ticket, and returns that instance's response.
///
/// If that instance cannot be reached or its response breaks off, it is unknown whether the request
/// ran, so the response ends with an [`ErrorKind::InstanceGone`] error.
fn relay(node: Arc<Node>, ticket: Ticket, request: CallerRequest) -> ResponseStream {
    Box::pin(rocket::async_stream::stream! {
        let address = {
            let members = node.members.lock();
            members.get(&ticket.instance).map(|peer| peer.status.peer_address.clone())
        };
        let Some(address) = address else {
            yield instance_gone(&ticket).into();
            return;
        };
        metrics::counter!("larkwick_relayed_total").increment(1);
        let Ok(events) = open_relay(&node, &address, &request).await else {
            yield instance_gone(&ticket).into();
            return;
        };
        let mut events = events;
        loop {
            let event = match events.message().await {
                Ok(Some(message)) => serde_json::from_str::<ResponseEvent>(&message.event).ok(),
                Ok(None) | Err(_) => None,
            };
            let Some(event) = event else {
                yield instance_gone(&ticket).into();
                return;
            };
            let is_last = event.is_last();
            yield event;
            if is_last {
                return;
            }
        }
    })
}

/// Sends a request to the peer at `address` and returns the stream of its response.
async fn open_relay(
    node: &Node,
    address: &str,
    request: &CallerRequest,
) -> Result<tonic::Streaming<wire::RelayEvent>, tonic::Status> {
    let request = serde_json::to_string(request)
        .map_err(|error| tonic::Status::internal(error.to_string()))?;
    let mut client = node.peers.peer_client(address)?;
    let reply = client.relay(wire::RelayRequest { request }).await?;
    Ok(reply.into_inner())
}
