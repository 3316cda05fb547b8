//! Takes a caller's request to its answer: once-only requests through the memory, others straight to their run.

use std::sync::Arc;

use spdlog::info;

use super::answer::{AnswerEvent, AnswerSink, AnswerStream, RememberedAnswer, channel, single};
use super::generation;
use super::node::Node;
use super::once::OnceDecision;
use super::request::{CallerRequest, RequestedWork};
use super::service_call;
use crate::error::{Error, ErrorKind};
use crate::kernel::ticket::{IdempotencyKey, Ticket};
use crate::peer::generated as wire;

/// Starts a request and gives its answer.
pub(crate) fn start(node: &Arc<Node>, request: CallerRequest) -> AnswerStream {
    start_at(node, request, true)
}

/// Starts a request that a peer relayed; it is not relayed again.
pub(crate) fn start_relayed(node: &Arc<Node>, request: CallerRequest) -> AnswerStream {
    start_at(node, request, false)
}

fn start_at(node: &Arc<Node>, request: CallerRequest, may_relay: bool) -> AnswerStream {
    let Some(key) = request.options.idempotency_key.clone() else {
        let (sink, stream) = channel();
        tokio::spawn(run(node.clone(), request, sink));
        return stream;
    };
    let Some(ticket) = request.options.ticket.clone() else {
        return single(Error::new(
            ErrorKind::TicketRequired,
            "an idempotency key needs a ticket; take one from /v1/entries",
        ));
    };
    let account = match node.catalog().account_for_key(&request.bearer_key) {
        Ok(account) => account.name.clone(),
        Err(error) => return single(error),
    };
    let once_key = IdempotencyKey { account, key };
    match node.once.arrive(&ticket, &once_key) {
        OnceDecision::Run(answer) => {
            tokio::spawn(run_once(node.clone(), request, once_key, answer.clone()));
            answer.read()
        }
        OnceDecision::Join(answer) => {
            metrics::counter!("larkwick_once_joined_total").increment(1);
            answer.read()
        }
        OnceDecision::Refuse(error) => single(error),
        OnceDecision::Relay if may_relay => relay(node.clone(), ticket, request),
        OnceDecision::Relay => single(gone(&ticket)),
    }
}

async fn run_once(
    node: Arc<Node>,
    request: CallerRequest,
    key: IdempotencyKey,
    answer: Arc<RememberedAnswer>,
) {
    run(
        node.clone(),
        request,
        AnswerSink::Remembered(answer.clone()),
    )
    .await;
    node.once.finished(&key, &answer);
}

async fn run(node: Arc<Node>, request: CallerRequest, sink: AnswerSink) {
    let _active = node.begin();
    if node.stands_down() {
        let error = Error::new(
            ErrorKind::StandingDown,
            "this instance may not know the configuration in force; use another entry",
        );
        sink.send(error.into()).await;
        return;
    }
    let request_id = request.request_id;
    match &request.work {
        RequestedWork::Generation(asked) => {
            generation::run(&node, &request, asked, &sink).await;
        }
        RequestedWork::Resume { last_event_id } => {
            generation::resume(&node, &request, last_event_id, &sink).await;
        }
        RequestedWork::Service { .. } => service_call::run(&node, &request, &sink).await,
    }
    info!("request ended", kv: { request_id: });
}

fn gone(ticket: &Ticket) -> Error {
    Error::new(
        ErrorKind::InstanceGone,
        format!(
            "instance {} of this ticket cannot be reached; whether the request ran is unknown",
            ticket.instance
        ),
    )
}

/// Has the instance that the ticket names answer. If it cannot, nobody here knows whether it ran the request.
fn relay(node: Arc<Node>, ticket: Ticket, request: CallerRequest) -> AnswerStream {
    Box::pin(rocket::async_stream::stream! {
        let address = {
            let members = node.members.lock();
            members.get(&ticket.instance).map(|peer| peer.status.peer_address.clone())
        };
        let Some(address) = address else {
            yield gone(&ticket).into();
            return;
        };
        metrics::counter!("larkwick_relayed_total").increment(1);
        let Ok(events) = open_relay(&node, &address, &request).await else {
            yield gone(&ticket).into();
            return;
        };
        let mut events = events;
        loop {
            let event = match events.message().await {
                Ok(Some(message)) => serde_json::from_str::<AnswerEvent>(&message.event).ok(),
                Ok(None) | Err(_) => None,
            };
            let Some(event) = event else {
                yield gone(&ticket).into();
                return;
            };
            let last = event.is_last();
            yield event;
            if last {
                return;
            }
        }
    })
}

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
