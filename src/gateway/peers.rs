//! What other instances may ask of this one.

use std::pin::Pin;
use std::sync::Arc;

use futures::Stream;
use tonic::{Request, Response, Status};

use super::node::Gateway;
use super::parts::EncodedPage;
use super::runs::UnavailableEngines;
use super::tally::Work;
use super::{catch_up, coordinator, heartbeat, moves};
use crate::kernel::clock::millis;
use crate::kernel::engine_ledger::ReportedRun;
use crate::kernel::limit::LimitUpdate;
use crate::kernel::permits::PermitDecision;
use crate::peer::convert::{self, InvalidMessageField};
use crate::peer::generated as wire;
use crate::peer::generated::site_server::Site;
use crate::settings::ms;

/// The peers' side of an instance.
pub(crate) struct SiteService {
    gateway: Arc<Gateway>,
}

impl SiteService {
    /// Serves for an instance.
    pub(crate) fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

type PartStream = Pin<Box<dyn Stream<Item = Result<wire::SitePart, Status>> + Send>>;

/// A page as a stream of parts, the head with the first one.
fn in_parts(head: wire::PageHead, page: &EncodedPage) -> PartStream {
    let mut head = Some(wire::PageHead {
        compressed: page.compressed,
        ..head
    });
    let parts = page.parts().map(move |bytes| {
        Ok(wire::SitePart {
            head: head.take(),
            bytes: bytes.into(),
        })
    });
    Box::pin(futures::stream::iter(parts))
}

#[tonic::async_trait]
impl Site for SiteService {
    async fn heartbeat(
        &self,
        request: Request<wire::Beat>,
    ) -> Result<Response<wire::Beat>, Status> {
        self.gateway.tally.count(Work::Heartbeat);
        let peer = heartbeat::take_beat(&self.gateway, request.into_inner())?;
        Ok(Response::new(heartbeat::own_beat(&self.gateway, &peer)))
    }

    type FetchRoutesStream = PartStream;

    async fn fetch_routes(
        &self,
        request: Request<wire::FetchRoutesRequest>,
    ) -> Result<Response<PartStream>, Status> {
        let page = catch_up::encode_newer_config(&self.gateway, request.into_inner())?;
        Ok(Response::new(in_parts(wire::PageHead::default(), &page)))
    }

    type ReadSiteStream = PartStream;

    async fn read_site(
        &self,
        request: Request<wire::ReadSiteRequest>,
    ) -> Result<Response<PartStream>, Status> {
        self.gateway.tally.count(Work::PassedOn);
        let (head, page) = self
            .gateway
            .store
            .serve_peer_read(request.get_ref())
            .await?;
        Ok(Response::new(in_parts(head, &page)))
    }

    async fn place(
        &self,
        request: Request<wire::PlaceRequest>,
    ) -> Result<Response<wire::PlaceReply>, Status> {
        self.gateway.tally.count(Work::Place);
        let begun = self.gateway.now();
        let request = request.into_inner();
        let demand = request.demand.ok_or(InvalidMessageField("demand"))?.into();
        let granted = coordinator::place_locally(
            &self.gateway,
            &request.service,
            &demand,
            &request.entry,
            &request.excluded,
            ms(request.wait_ms),
        );
        let placed = granted.await;
        let waited = self.gateway.now().saturating_sub(begun);
        let counted = placed
            .as_ref()
            .is_some_and(|placed| placed.counted_at.is_some());
        Ok(Response::new(wire::PlaceReply {
            endpoint: placed.map(|placed| placed.engine).unwrap_or_default(),
            counted,
            waited_ms: millis(waited),
        }))
    }

    async fn report_runs(
        &self,
        request: Request<wire::RunsReport>,
    ) -> Result<Response<wire::RunsReply>, Status> {
        self.gateway.tally.count(Work::Report);
        let report = request.into_inner();
        let runs: Result<Vec<ReportedRun>, InvalidMessageField> =
            report.runs.into_iter().map(ReportedRun::try_from).collect();
        coordinator::apply_run_report(
            &self.gateway,
            &report.service,
            &report.entry,
            runs?,
            &UnavailableEngines {
                refused: report.refused.into_iter().collect(),
                gone: report.dead.into_iter().collect(),
                cooling_down: report.resting.into_iter().collect(),
            },
        );
        Ok(Response::new(wire::RunsReply {}))
    }

    async fn permit(
        &self,
        request: Request<wire::PermitRequest>,
    ) -> Result<Response<wire::PermitReply>, Status> {
        self.gateway.tally.count(Work::Permit);
        let request = request.into_inner();
        let told = LimitUpdate {
            endpoint: request.endpoint,
            per_s: Some(request.limit_per_s),
            age: ms(request.named_ms_ago),
        };
        let gateway = &self.gateway;
        let answer = gateway.give_permit(&request.service, &told, &request.asker);
        let not_before = match answer {
            PermitDecision::Granted => None,
            PermitDecision::NotBefore(until) => Some(until.saturating_sub(gateway.now())),
        };
        Ok(Response::new(wire::PermitReply {
            granted: not_before.is_none(),
            not_before_ms: millis(not_before.unwrap_or_default()),
        }))
    }

    async fn move_run(
        &self,
        request: Request<wire::MoveRunRequest>,
    ) -> Result<Response<wire::MoveRunReply>, Status> {
        self.gateway.tally.count(Work::Move);
        let (result, reason) = moves::move_run(&self.gateway, &request.into_inner()).await;
        Ok(Response::new(wire::MoveRunReply {
            result: convert::encode_move_result(result),
            reason,
        }))
    }
}
