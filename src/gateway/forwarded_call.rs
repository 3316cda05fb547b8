//! Serves calls of peers that reach no endpoint of their service.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::{Stream, stream};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;
use tonic::Status;

use super::call_forwarding::{check_forwarded, decode_headers, encode_headers};
use super::inbound_call::{CallOrigin, SendsBefore};
use super::node::Gateway;
use super::request_handler::{self, ForwardedRequest};
use super::response_body::{ResponseBody, full_body};
use super::work_counters::WorkKind;
use crate::peer::generated as wire;
use crate::platform::ingress;
use crate::settings::ms;

/// The parts of a response, as the entry receives them.
pub(super) type PartStream =
    Pin<Box<dyn Stream<Item = Result<wire::ForwardedPart, Status>> + Send>>;

/// Serves a call of a peer. Dropping the future or the stream cancels the call.
///
/// # Errors
/// The message cannot be decoded.
pub(super) async fn serve(
    gateway: &Arc<Gateway>,
    message: wire::ForwardedCall,
) -> Result<PartStream, Status> {
    gateway.work_counters.increment(WorkKind::ForwardedCall);
    if let Err(reason) = check_forwarded(gateway, &message) {
        return Ok(declined(reason));
    }
    let request = decode_request(message)?;
    let Some(held) = gateway.held_bytes.try_hold(request.body.len()) else {
        return Ok(declined("too many bytes held"));
    };
    let response = match request_handler::accept_forwarded(gateway, request, held) {
        Ok(call) => request_handler::serve(call).await,
        Err(error) => ingress::error_response(&error).map(full_body),
    };
    Ok(response_parts(response))
}

fn decode_request(message: wire::ForwardedCall) -> Result<ForwardedRequest, Status> {
    let invalid = |error: http::Error| Status::invalid_argument(error.to_string());
    let request = http::Request::builder()
        .method(message.method.as_str())
        .uri(message.target)
        .body(())
        .map_err(invalid)?;
    let (mut parts, ()) = request.into_parts();
    parts.headers = decode_headers(message.headers).map_err(invalid)?;
    Ok(ForwardedRequest {
        parts,
        body: Bytes::from(message.body),
        service: message.service,
        time_left: ms(message.time_left_ms),
        origin: CallOrigin::Peer(SendsBefore {
            sends: message.sends,
            runs: message.runs,
            is_counted: message.counted,
        }),
    })
}

fn declined(reason: &str) -> PartStream {
    let part = wire::ForwardedPart {
        declined: reason.to_owned(),
        is_last: true,
        ..wire::ForwardedPart::default()
    };
    Box::pin(stream::iter([Ok(part)]))
}

fn response_parts(response: Response<ResponseBody>) -> PartStream {
    let (parts, body) = response.into_parts();
    let head = wire::ForwardedPart {
        head: Some(wire::ForwardedHead {
            status: u32::from(parts.status.as_u16()),
            headers: encode_headers(&parts.headers),
            body_bytes: body.size_hint().exact(),
        }),
        ..wire::ForwardedPart::default()
    };
    let rest = stream::unfold(Some(body), |body| async {
        let mut body = body?;
        match body.frame().await {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default().to_vec();
                let part = wire::ForwardedPart {
                    bytes,
                    ..wire::ForwardedPart::default()
                };
                Some((Ok(part), Some(body)))
            }
            Some(Err(error)) => Some((Err(Status::aborted(error.to_string())), None)),
            None => {
                let end = wire::ForwardedPart {
                    is_last: true,
                    ..wire::ForwardedPart::default()
                };
                Some((Ok(end), None))
            }
        }
    });
    Box::pin(futures::StreamExt::chain(stream::iter([Ok(head)]), rest))
}
