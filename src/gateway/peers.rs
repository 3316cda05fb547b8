//! What other instances may ask of this one.

use std::sync::Arc;

use tonic::{Request, Response, Status};

use super::heartbeat;
use super::node::Gateway;
use crate::peer::generated as wire;
use crate::peer::generated::site_server::Site;

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
        let reply = heartbeat::give_site(&self.gateway, &request.into_inner());
        Ok(Response::new(reply))
    }

    async fn place(
        &self,
        _request: Request<wire::PlaceRequest>,
    ) -> Result<Response<wire::PlaceReply>, Status> {
        Err(Status::unimplemented("place"))
    }

    async fn report_runs(
        &self,
        _request: Request<wire::RunsReport>,
    ) -> Result<Response<wire::RunsReply>, Status> {
        Err(Status::unimplemented("report_runs"))
    }

    async fn move_run(
        &self,
        _request: Request<wire::MoveRunRequest>,
    ) -> Result<Response<wire::MoveRunReply>, Status> {
        Err(Status::unimplemented("move_run"))
    }
}
