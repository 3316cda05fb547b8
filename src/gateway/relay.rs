//! Generations: placed on an engine, then passed on event by event.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use spdlog::info;

use super::call::SendHead;
use super::caller::Call;
use super::listener::{AnswerBody, BodyBroken, whole};
use super::node::Gateway;
use super::upstream::{Answer, SendFailure};
use crate::error::{Error, ErrorKind};
use crate::kernel::clock::millis;
use crate::kernel::event_split::EventSplitter;
use crate::kernel::fleet::EndpointEntry;
use crate::platform::{engine, ingress};

/// Answers a call for a generation.
pub(crate) async fn answer(call: Call) -> Response<AnswerBody> {
    call.gateway.count_first_send(&call.service);
    let call = Arc::new(call);
    match start(&call).await {
        Ok((endpoint, answer)) => relay(call, endpoint, answer),
        Err(error) => {
            tell_end(&call, &format!("{:?}", error.kind), &error.message, 0);
            ingress::refusal(&error).map(whole)
        }
    }
}

fn tell_end(call: &Call, outcome: &str, why: &str, events: u32) {
    metrics::counter!("larkwick_generations_total", "outcome" => outcome.to_owned()).increment(1);
    if crate::log::admits("generation ended") {
        info!("generation ended", kv: {
            request_id = call.head.request_id.as_str(),
            route = call.route.name.as_str(),
            outcome, why, events:,
            config_version: = call.table.version(),
            took_ms: = millis(call.age()),
            tokens:? = call.head.tokens,
        });
    }
}

async fn start(call: &Call) -> Result<(EndpointEntry, Answer), Error> {
    let gateway = &call.gateway;
    let endpoint = {
        let fleet = gateway.fleet.lock();
        let health = gateway.health.lock();
        let now = gateway.now();
        let ready = fleet.ready(&call.service);
        let weight = |entry: &EndpointEntry| health.weight(&entry.id, entry.slots, now);
        let mut ready: Vec<_> = ready.map(|entry| (weight(entry), entry.clone())).collect();
        ready.sort_by(|one, other| other.0.total_cmp(&one.0));
        ready.into_iter().next().map(|(_, entry)| entry)
    };
    let endpoint = endpoint.ok_or_else(|| Gateway::no_endpoint(&call.service))?;
    gateway.health.lock().begin(&endpoint.id);
    let open_max = gateway.connections_max(&call.table, &call.service);
    let connection = gateway.upstream.connection(&endpoint, open_max).await;
    let connection =
        connection.map_err(|none| Error::new(ErrorKind::EndpointRefused, none.to_string()))?;
    let send = SendHead {
        endpoint_id: &endpoint.id,
        time_left: call.time_left(),
        account: call.account.as_deref(),
        priority: None,
        backup_at: None,
        continue_from: None,
    };
    let request = engine::forward(&call.parts, call.body.clone(), &send)
        .map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
    let answer = connection
        .send(request)
        .await
        .map_err(|error| match error {
            SendFailure::Unsent(why) => Error::new(ErrorKind::EndpointRefused, why),
            SendFailure::MayHaveRun(why) => Error::new(ErrorKind::EndpointLost, why),
        })?;
    if answer.head.not_run {
        return Err(Error::new(ErrorKind::EndpointRefused, "refused"));
    }
    Ok((endpoint, answer))
}

struct Relay {
    call: Arc<Call>,
    endpoint: EndpointEntry,
    answer: Answer,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    events: u32,
    ended: bool,
}

fn relay(call: Arc<Call>, endpoint: EndpointEntry, answer: Answer) -> Response<AnswerBody> {
    let mut response = Response::new(());
    *response.status_mut() = answer.parts.status;
    *response.headers_mut() = engine::answer_headers(&answer.parts);
    if crate::log::admits("probe head") {
        info!("probe head", kv: { head:? = answer.parts.headers, request:? = call.parts.headers });
    }
    let relay = Relay {
        call,
        endpoint,
        answer,
        splitter: EventSplitter::default(),
        ready: VecDeque::new(),
        events: 0,
        ended: false,
    };
    let frames = stream::unfold(relay, |mut relay| async {
        relay.next().await.map(|frame| (frame, relay))
    });
    let (parts, ()) = response.into_parts();
    Response::from_parts(parts, BodyExt::boxed_unsync(StreamBody::new(frames)))
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyBroken>> {
        if self.ended {
            return None;
        }
        loop {
            if !self.ready.is_empty() {
                let mut bytes = BytesMut::new();
                for event in self.ready.drain(..) {
                    bytes.extend_from_slice(&event);
                }
                return Some(Ok(Frame::data(bytes.freeze())));
            }
            match self.answer.body.frame().await {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    let events = self.splitter.push(data).unwrap_or_default();
                    for event in events {
                        if (self.events < 3 || event.id.is_none())
                            && crate::log::admits("probe event")
                        {
                            info!("probe event", kv: { bytes:? = event.bytes });
                        }
                        self.events += 1;
                        self.ready.push_back(event.bytes);
                    }
                }
                Some(Err(error)) => {
                    self.ended = true;
                    tell_end(&self.call, "broken", &error.to_string(), self.events);
                    return Some(Err(BodyBroken(error.to_string())));
                }
                None => {
                    self.ended = true;
                    let left = if self.splitter.is_between_events() {
                        "whole"
                    } else {
                        "rest"
                    };
                    tell_end(&self.call, "whole", left, self.events);
                    return None;
                }
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            tell_end(&self.call, "caller gone", "", self.events);
        }
        let gateway = &self.call.gateway;
        gateway
            .health
            .lock()
            .end(&self.endpoint.id, None, gateway.now());
    }
}
