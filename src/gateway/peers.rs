//! What other instances may ask of this one.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use super::node::Gateway;
use super::runs::NotTaken;
use super::{coordinator, heartbeat, moves};
use crate::kernel::engine_ledger::ReportedRun;
use crate::peer::convert::{self, BadField};
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

#[tonic::async_trait]
impl Site for SiteService {
    async fn heartbeat(
        &self,
        request: Request<wire::Beat>,
    ) -> Result<Response<wire::Beat>, Status> {
        heartbeat::take_beat(&self.gateway, request.into_inner())?;
        Ok(Response::new(heartbeat::own_beat(&self.gateway)))
    }

    async fn fetch_site(
        &self,
        request: Request<wire::FetchSiteRequest>,
    ) -> Result<Response<wire::FetchSiteReply>, Status> {
        let reply = heartbeat::give_site(&self.gateway, request.into_inner());
        Ok(Response::new(reply))
    }

    async fn read_site(
        &self,
        request: Request<wire::ReadSiteRequest>,
    ) -> Result<Response<wire::ReadSiteReply>, Status> {
        let reply = self.gateway.store.pass_on(&request.into_inner()).await?;
        Ok(Response::new(reply))
    }

    async fn place(
        &self,
        request: Request<wire::PlaceRequest>,
    ) -> Result<Response<wire::PlaceReply>, Status> {
        let request = request.into_inner();
        let demand = request.demand.ok_or(BadField("demand"))?.into();
        let granted = coordinator::place_here(
            &self.gateway,
            &request.service,
            &demand,
            &request.entry,
            &request.excluded,
            ms(request.wait_ms),
        );
        Ok(Response::new(convert::place_reply(granted.await)))
    }

    async fn report_runs(
        &self,
        request: Request<wire::RunsReport>,
    ) -> Result<Response<wire::RunsReply>, Status> {
        let report = request.into_inner();
        let runs: Result<Vec<ReportedRun>, BadField> =
            report.runs.into_iter().map(ReportedRun::try_from).collect();
        coordinator::take_report(
            &self.gateway,
            &report.service,
            &report.entry,
            runs?,
            &NotTaken {
                refused: report.refused.into_iter().collect(),
                dead: report.dead.into_iter().collect(),
            },
        );
        Ok(Response::new(wire::RunsReply {}))
    }

    async fn move_run(
        &self,
        request: Request<wire::MoveRunRequest>,
    ) -> Result<Response<wire::MoveRunReply>, Status> {
        let (result, reason) = moves::move_run(&self.gateway, &request.into_inner()).await;
        Ok(Response::new(wire::MoveRunReply {
            result: convert::move_result_number(result),
            reason,
        }))
    }
}
