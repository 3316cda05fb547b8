//! The gRPC service that an instance offers to other instances.

use std::pin::Pin;
use std::sync::Arc;

use futures::Stream;
use tonic::{Request, Response, Status};

use super::chunked_pages::EncodedPage;
use super::forwarded_call::PartStream;
use super::node::Gateway;
use super::placement::CapacityWait;
use super::runs::UnavailableEngines;
use super::work_counters::WorkKind;
use super::{catch_up, coordinator, forwarded_call, heartbeat, moves, placement};
use crate::kernel::clock::millis;
use crate::kernel::engine_ledger::ReportedRun;
use crate::kernel::limit::LimitUpdate;
use crate::kernel::pause_counts::EnginePauses;
use crate::kernel::permits::PermitDecision;
use crate::peer::convert::{self, InvalidMessageField};
use crate::peer::generated as wire;
use crate::peer::generated::site_server::Site;
use crate::settings::ms;

/// Implementation of the `Site` service.
pub(crate) struct SiteService {
    gateway: Arc<Gateway>,
}

impl SiteService {
    /// Creates the service for an instance.
    pub(crate) fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<wire::SitePart, Status>> + Send>>;

/// Returns a page as a stream of chunks; the first one carries the head.
fn chunk_stream(head: wire::PageHead, page: &EncodedPage) -> ChunkStream {
    let mut head = Some(wire::PageHead {
        compressed: page.compressed,
        ..head
    });
    let chunks = page.chunks().map(move |bytes| {
        Ok(wire::SitePart {
            head: head.take(),
            bytes: bytes.into(),
        })
    });
    Box::pin(futures::stream::iter(chunks))
}

#[tonic::async_trait]
impl Site for SiteService {
    async fn heartbeat(
        &self,
        request: Request<wire::Beat>,
    ) -> Result<Response<wire::Beat>, Status> {
        self.gateway.work_counters.increment(WorkKind::Heartbeat);
        let peer = heartbeat::receive_heartbeat(&self.gateway, request.into_inner())?;
        Ok(Response::new(heartbeat::heartbeat_for(
            &self.gateway,
            &peer,
        )))
    }

    type FetchRoutesStream = ChunkStream;

    async fn fetch_routes(
        &self,
        request: Request<wire::FetchRoutesRequest>,
    ) -> Result<Response<ChunkStream>, Status> {
        let page = catch_up::encode_newer_config(&self.gateway, request.into_inner())?;
        Ok(Response::new(chunk_stream(
            wire::PageHead::default(),
            &page,
        )))
    }

    type ReadSiteStream = ChunkStream;

    async fn read_site(
        &self,
        request: Request<wire::ReadSiteRequest>,
    ) -> Result<Response<ChunkStream>, Status> {
        self.gateway.work_counters.increment(WorkKind::RelayedRead);
        let (head, page) = self
            .gateway
            .store
            .serve_peer_read(request.get_ref())
            .await?;
        Ok(Response::new(chunk_stream(head, &page)))
    }

    async fn report_rollout(
        &self,
        request: Request<wire::RolloutReport>,
    ) -> Result<Response<wire::RolloutDirective>, Status> {
        let directive = self.gateway.receive_rollout_report(request.into_inner());
        Ok(Response::new(directive))
    }

    async fn place(
        &self,
        request: Request<wire::PlaceRequest>,
    ) -> Result<Response<wire::PlaceReply>, Status> {
        self.gateway.work_counters.increment(WorkKind::Place);
        let started_at = self.gateway.now();
        let request = request.into_inner();
        let demand = request.demand.ok_or(InvalidMessageField("demand"))?.into();
        let wait = CapacityWait {
            within_objective: ms(request.objective_wait_ms.min(request.wait_ms)),
            total: ms(request.wait_ms),
        };
        let placing = placement::place_locally(
            &self.gateway,
            &request.service,
            &demand,
            &request.entry,
            &request.excluded,
            wait,
        );
        let placed = placing.await;
        let waited = self.gateway.now().saturating_sub(started_at);
        let reply = match placed {
            Ok(placed) => wire::PlaceReply {
                counted: placed.counted_at.is_some(),
                endpoint: placed.engine,
                copy_at: placed.copy_at.unwrap_or_default(),
                ..wire::PlaceReply::default()
            },
            Err(refused) => wire::PlaceReply {
                room_in_ms: refused.room_in.map_or(0, millis),
                ..wire::PlaceReply::default()
            },
        };
        Ok(Response::new(wire::PlaceReply {
            waited_ms: millis(waited),
            ..reply
        }))
    }

    async fn report_runs(
        &self,
        request: Request<wire::RunsReport>,
    ) -> Result<Response<wire::RunsReply>, Status> {
        self.gateway.work_counters.increment(WorkKind::Report);
        let report = request.into_inner();
        let runs: Result<Vec<ReportedRun>, InvalidMessageField> =
            report.runs.into_iter().map(ReportedRun::try_from).collect();
        let pauses: Vec<EnginePauses> = report.paces.into_iter().map(EnginePauses::from).collect();
        coordinator::apply_run_report(
            &self.gateway,
            &report.service,
            &report.entry,
            runs?,
            &UnavailableEngines {
                refused: report.refused.into_iter().collect(),
                gone: report.dead.into_iter().collect(),
                unreached: report.unreached.into_iter().collect(),
                cooling_down: report.resting.into_iter().collect(),
            },
            &pauses,
        );
        Ok(Response::new(wire::RunsReply {}))
    }

    async fn permit(
        &self,
        request: Request<wire::PermitRequest>,
    ) -> Result<Response<wire::PermitReply>, Status> {
        self.gateway.work_counters.increment(WorkKind::Permit);
        let request = request.into_inner();
        let update = LimitUpdate {
            endpoint: request.endpoint,
            per_s: Some(request.limit_per_s),
            age: ms(request.named_ms_ago),
        };
        let gateway = &self.gateway;
        let decision = gateway.issue_permit(&request.service, &update, &request.asker);
        let not_before = match decision {
            PermitDecision::Granted => None,
            PermitDecision::NotBefore(until) => Some(until.saturating_sub(gateway.now())),
        };
        Ok(Response::new(wire::PermitReply {
            granted: not_before.is_none(),
            not_before_ms: millis(not_before.unwrap_or_default()),
        }))
    }

    async fn check_endpoint(
        &self,
        request: Request<wire::CheckEndpointRequest>,
    ) -> Result<Response<wire::CheckEndpointReply>, Status> {
        let endpoint = request.into_inner().endpoint;
        let verdict = self.gateway.check_endpoint(&endpoint).await;
        Ok(Response::new(wire::CheckEndpointReply {
            verdict: verdict.encode(),
        }))
    }

    type ForwardCallStream = PartStream;

    async fn forward_call(
        &self,
        request: Request<wire::ForwardedCall>,
    ) -> Result<Response<PartStream>, Status> {
        let parts = forwarded_call::serve(&self.gateway, request.into_inner()).await?;
        Ok(Response::new(parts))
    }

    async fn move_run(
        &self,
        request: Request<wire::MoveRunRequest>,
    ) -> Result<Response<wire::MoveRunReply>, Status> {
        self.gateway.work_counters.increment(WorkKind::Move);
        let gateway = self.gateway.clone();
        let order = request.into_inner();
        // It goes on if the owner stops waiting for its result: a copy that is under way is used or
        // freed.
        let moving = tokio::spawn(async move { moves::move_run(&gateway, &order).await });
        let (result, reason) = moving
            .await
            .map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(wire::MoveRunReply {
            result: convert::encode_move_result(result),
            reason,
        }))
    }
}
