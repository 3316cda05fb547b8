//! The `Peer` service, through which peers call this instance.

use std::pin::Pin;
use std::sync::Arc;

use futures::{Stream, StreamExt};
use tonic::{Request, Response, Status};

use super::convert::{parse_id, reserve_from_wire};
use super::generated as wire;
use super::generated::peer_server::Peer;
use crate::daemon::node::Node;
use crate::daemon::{config_loop, dispatch, member_loop};

/// Implements the `Peer` service for a node.
pub(crate) struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

type RelayStream = Pin<Box<dyn Stream<Item = Result<wire::RelayEvent, Status>> + Send>>;

#[tonic::async_trait]
impl Peer for PeerService {
    type RelayStream = RelayStream;

    async fn heartbeat(
        &self,
        request: Request<wire::Beat>,
    ) -> Result<Response<wire::Beat>, Status> {
        let peer = member_loop::handle_heartbeat(&self.node, request.into_inner())?;
        Ok(Response::new(member_loop::build_heartbeat(
            &self.node, &peer,
        )))
    }

    async fn fetch_config(
        &self,
        request: Request<wire::FetchConfigRequest>,
    ) -> Result<Response<wire::FetchConfigReply>, Status> {
        let from_offset = request.into_inner().from_offset;
        Ok(Response::new(config_loop::build_fetch_reply(
            &self.node,
            from_offset,
        )))
    }

    async fn reserve(
        &self,
        request: Request<wire::ReserveRequest>,
    ) -> Result<Response<wire::ReserveReply>, Status> {
        let message = request.into_inner();
        let group = message.group.clone();
        let request = reserve_from_wire(message)?;
        let reply = match self.node.reserve_in_group(&group, &request).await {
            Ok(place) => wire::ReserveReply {
                endpoint: place.endpoint,
                endpoint_incarnation: place.incarnation.map(|i| i.to_string()).unwrap_or_default(),
                version: place.version,
                error: String::new(),
            },
            Err(error) => wire::ReserveReply {
                error: serde_json::to_string(&error.body().error).unwrap_or_default(),
                ..wire::ReserveReply::default()
            },
        };
        Ok(Response::new(reply))
    }

    async fn report(
        &self,
        request: Request<wire::ReportRequest>,
    ) -> Result<Response<wire::ReportReply>, Status> {
        let message = request.into_inner();
        for progress in message.progress {
            let reservation_id = parse_id(&progress.reservation_id, "reservation_id")?;
            self.node
                .record_progress_report(&message.group, reservation_id, &progress);
        }
        Ok(Response::new(wire::ReportReply {}))
    }

    async fn relay(
        &self,
        request: Request<wire::RelayRequest>,
    ) -> Result<Response<RelayStream>, Status> {
        let text = request.into_inner().request;
        let request = serde_json::from_str(&text)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let events = dispatch::start_relayed_request(&self.node, request);
        let events = events.map(|event| {
            let event = serde_json::to_string(&event)
                .map_err(|error| Status::internal(error.to_string()))?;
            Ok(wire::RelayEvent { event })
        });
        Ok(Response::new(Box::pin(events)))
    }
}
