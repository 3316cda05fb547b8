//! Selects the engine for a generation: through the owner of a group of endpoints, which grants a
//! reservation, or by this entry alone, depending on the policy.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use uuid::Uuid;

use super::endpoints::is_departed;
use super::node::Node;
use super::owner::{GrantedEndpoint, groups_of_hall, kv_capacity, reserve_timeout};
use super::reservations::Reservation;
use crate::error::{Error, ErrorDetail, ErrorKind, Result};
use crate::kernel::group::ReserveRequest;
use crate::kernel::length_estimates::{Survival, TokenStats};
use crate::kernel::object::{ClientAccount, Endpoint as EndpointObject, Model};
use crate::kernel::policy::{
    self, Candidate, GenerationSize, InFlight, PolicyScope, tokens_as_f64,
};
use crate::kernel::rules::{AllowedEndpoint, Catalog, Workload};
use crate::peer::client::call_with_timeout;
use crate::peer::convert::reserve_to_wire;

/// Maximum number of groups tried for a request.
const GROUPS_TRIED_MAX: usize = 12;
/// How long a group that had no usable endpoint is tried after all other groups.
const EMPTY_GROUP_RETENTION: Duration = Duration::from_secs(2);
/// Timeout of a reservation call that the owner must not queue.
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);

/// The requirements of a generation for its engine.
pub(crate) struct SelectionRequest<'a> {
    pub(crate) account: &'a ClientAccount,
    pub(crate) model: &'a Model,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) prefix: u64,
    /// Time left until the request's deadline.
    pub(crate) deadline: Duration,
    /// Endpoints on which this request has already failed.
    pub(crate) excluded: &'a HashSet<String>,
}

/// The selected endpoint.
pub(crate) struct SelectedEndpoint {
    pub(crate) endpoint: EndpointObject,
    pub(crate) incarnation: Option<Uuid>,
    pub(crate) version: String,
    pub(crate) priority: i32,
    /// The reservation, if the owner of a group granted one.
    pub(crate) reservation: Option<Reservation>,
}

/// A group that may serve a request, with those of its endpoints that the rules allow.
struct CandidateGroup {
    name: String,
    candidates: Vec<String>,
    priority: i32,
}

impl Node {
    /// Selects an engine for a generation.
    ///
    /// If all groups that could serve the request are full, waits in the queue of one of them.
    ///
    /// # Errors
    /// Returns [`ErrorKind::NoEndpoint`] if no allowed endpoint can serve the request, the error of
    /// the group in whose queue it waited, or an error of [`Catalog::allowed_endpoints`].
    pub(crate) async fn select_engine(
        self: &Arc<Self>,
        request: &SelectionRequest<'_>,
    ) -> Result<SelectedEndpoint> {
        let catalog = self.catalog();
        let workload = Workload::Model(&request.model.name);
        let allowed: Vec<AllowedEndpoint> = catalog
            .allowed_endpoints(request.account, workload)?
            .into_iter()
            .filter(|candidate| {
                self.is_eligible(&catalog.endpoints[candidate.index].name, request.excluded)
            })
            .collect();
        if allowed.is_empty() {
            return Err(no_endpoint_error());
        }
        match self.policy_scope() {
            PolicyScope::Entry => self.select_without_owner(&catalog, request, &allowed),
            PolicyScope::Group => self.select_through_owner(&catalog, request, &allowed).await,
        }
    }

    /// Returns whether an endpoint has neither failed this request nor departed.
    fn is_eligible(&self, endpoint: &str, excluded: &HashSet<String>) -> bool {
        let incarnation = self.endpoints.incarnation(endpoint);
        !excluded.contains(endpoint) && !is_departed(self, endpoint, incarnation)
    }

    /// Returns the halls of the allowed endpoints: this entry's own hall first, the others in
    /// random order.
    fn hall_order(&self, catalog: &Catalog, allowed: &[AllowedEndpoint]) -> Vec<String> {
        let mut halls: Vec<String> = allowed
            .iter()
            .map(|candidate| catalog.endpoints[candidate.index].hall.clone())
            .collect();
        halls.sort_unstable();
        halls.dedup();
        halls.shuffle(&mut rand::rng());
        halls.sort_by_key(|hall| *hall != self.settings.hall);
        halls
    }

    /// Selects an endpoint by the policy in this entry alone, hall by hall, without a reservation.
    fn select_without_owner(
        &self,
        catalog: &Catalog,
        request: &SelectionRequest<'_>,
        allowed: &[AllowedEndpoint],
    ) -> Result<SelectedEndpoint> {
        let policy = policy::build(&self.settings.policy).ok_or_else(no_endpoint_error)?;
        for hall in self.hall_order(catalog, allowed) {
            let usable: Vec<&AllowedEndpoint> = allowed
                .iter()
                .filter(|candidate| catalog.endpoints[candidate.index].hall == hall)
                .filter(|candidate| self.can_accept_work(&catalog.endpoints[candidate.index].name))
                .filter(|candidate| {
                    let name = &catalog.endpoints[candidate.index].name;
                    let model = request.model;
                    self.endpoints
                        .loaded_version(name, &model.name, &model.version)
                        .is_some()
                })
                .collect();
            let reports: Vec<_> = usable
                .iter()
                .map(|candidate| {
                    self.endpoints
                        .last_report(&catalog.endpoints[candidate.index].name)
                })
                .collect();
            let candidates: Vec<Candidate<'_>> = usable
                .iter()
                .zip(&reports)
                .map(|(candidate, report)| {
                    let endpoint = &catalog.endpoints[candidate.index];
                    Candidate {
                        name: &endpoint.name,
                        capacity_tokens: tokens_as_f64(kv_capacity(endpoint)),
                        report: report.as_ref(),
                        in_flight: InFlight::default(),
                        fill_limit: 1.0,
                        cached_prefix_tokens: 0,
                    }
                })
                .collect();
            let size = GenerationSize {
                prompt_tokens: request.prompt_tokens,
                max_tokens: request.max_tokens,
                residual: TokenStats::default(),
                survival: Survival::default(),
            };
            if let Some(index) = policy.choose(&candidates, &size, &mut rand::rng()) {
                return Ok(self.unreserved_selection(catalog, request, usable[index]));
            }
        }
        Err(no_endpoint_error())
    }

    /// Returns the selected endpoint for `chosen`, without a reservation.
    fn unreserved_selection(
        &self,
        catalog: &Catalog,
        request: &SelectionRequest<'_>,
        chosen: &AllowedEndpoint,
    ) -> SelectedEndpoint {
        let endpoint = catalog.endpoints[chosen.index].clone();
        let model = request.model;
        let loaded_version =
            self.endpoints
                .loaded_version(&endpoint.name, &model.name, &model.version);
        SelectedEndpoint {
            incarnation: self.endpoints.incarnation(&endpoint.name),
            version: loaded_version.unwrap_or_else(|| model.version.clone()),
            priority: chosen.priority,
            reservation: None,
            endpoint,
        }
    }

    /// Returns the groups to try, in order: this entry's hall first, recently empty groups last.
    fn candidate_groups(
        &self,
        catalog: &Catalog,
        allowed: &[AllowedEndpoint],
    ) -> Vec<CandidateGroup> {
        let mut groups = Vec::new();
        for hall in self.hall_order(catalog, allowed) {
            let mut hall_groups: Vec<CandidateGroup> =
                groups_of_hall(&hall, catalog.endpoints.iter())
                    .into_iter()
                    .filter_map(|(group, members)| {
                        candidate_group(catalog, group, &members, allowed)
                    })
                    .collect();
            hall_groups.shuffle(&mut rand::rng());
            groups.append(&mut hall_groups);
        }
        // Groups without a live endpoint must not use up the limited number of attempts.
        groups.sort_by_key(|group| self.is_recently_empty(&group.name));
        groups.truncate(GROUPS_TRIED_MAX);
        groups
    }

    /// Returns whether a group had no usable endpoint within [`EMPTY_GROUP_RETENTION`].
    fn is_recently_empty(&self, group: &str) -> bool {
        let recorded_at = self.last_empty_at.lock().get(group).copied();
        recorded_at.is_some_and(|at| self.now().saturating_sub(at) < EMPTY_GROUP_RETENTION)
    }

    fn record_empty(&self, group: &str) {
        let now = self.now();
        self.last_empty_at.lock().insert(group.to_owned(), now);
    }

    /// Reserves an endpoint through the owners of the candidate groups.
    async fn select_through_owner(
        self: &Arc<Self>,
        catalog: &Catalog,
        request: &SelectionRequest<'_>,
        allowed: &[AllowedEndpoint],
    ) -> Result<SelectedEndpoint> {
        let groups = self.candidate_groups(catalog, allowed);
        let mut full_group = None;
        // First look for a group that has capacity at once, then wait in the queue of the first
        // group that is only full.
        for group in &groups {
            match self
                .reserve_through_owner(catalog, request, group, Duration::ZERO)
                .await
            {
                Ok(selected) => return Ok(selected),
                Err(error) if error.kind == ErrorKind::Crowded => {
                    full_group = full_group.or(Some(group));
                }
                Err(_) => self.record_empty(&group.name),
            }
        }
        let Some(group) = full_group else {
            return Err(no_endpoint_error());
        };
        self.reserve_through_owner(catalog, request, group, request.deadline)
            .await
    }

    /// Reserves an endpoint in one group. A zero `deadline` means that the request is not queued.
    async fn reserve_through_owner(
        self: &Arc<Self>,
        catalog: &Catalog,
        selection: &SelectionRequest<'_>,
        group: &CandidateGroup,
        deadline: Duration,
    ) -> Result<SelectedEndpoint> {
        let request = ReserveRequest {
            reservation_id: Uuid::new_v4(),
            entry: self.incarnation.name.clone(),
            account: selection.account.name.clone(),
            share: selection.account.share,
            model: selection.model.name.clone(),
            prompt_tokens: selection.prompt_tokens,
            max_tokens: selection.max_tokens,
            priority: group.priority,
            deadline,
            prefix: selection.prefix,
            candidates: group.candidates.clone(),
        };
        let own_name = self.incarnation.name.clone();
        let owner = self
            .group_owner(&group.name)
            .unwrap_or_else(|| own_name.clone());
        let peer_result = if owner == own_name {
            None
        } else {
            self.reserve_at_peer(&owner, &group.name, &request).await
        };
        let (granted, owner) = match peer_result {
            Some(result) => (result?, owner),
            // This instance is the owner, or the owner cannot be reached: then this entry decides
            // within its own share of the group's capacity.
            None => (
                self.reserve_in_group(&group.name, &request).await?,
                own_name,
            ),
        };
        let endpoint = catalog
            .endpoint(&granted.endpoint)
            .ok_or_else(no_endpoint_error)?;
        let reservation = self
            .reservations
            .track(request.reservation_id, &group.name, &owner);
        Ok(SelectedEndpoint {
            endpoint: endpoint.clone(),
            incarnation: granted.incarnation,
            version: granted.version,
            priority: group.priority,
            reservation: Some(reservation),
        })
    }

    /// Reserves an endpoint at the peer that owns a group. Returns `None` if it cannot be reached.
    async fn reserve_at_peer(
        &self,
        owner: &str,
        group: &str,
        request: &ReserveRequest,
    ) -> Option<Result<GrantedEndpoint>> {
        let address = {
            let members = self.members.lock();
            members.get(owner)?.status.peer_address.clone()
        };
        let mut client = self.peers.peer_client(&address).ok()?;
        let timeout = if request.deadline.is_zero() {
            OWNER_TIMEOUT
        } else {
            reserve_timeout(request, self.settings.limits.queue_wait_ms)
        };
        let call = client.reserve(reserve_to_wire(group, request));
        let Ok(reply) = call_with_timeout(timeout, call).await else {
            metrics::counter!("larkwick_owner_unreachable_total").increment(1);
            return None;
        };
        if reply.error.is_empty() {
            return Some(Ok(GrantedEndpoint {
                incarnation: reply.endpoint_incarnation.parse().ok(),
                endpoint: reply.endpoint,
                version: reply.version,
            }));
        }
        let detail: ErrorDetail = serde_json::from_str(&reply.error).ok()?;
        Some(Err(detail.into()))
    }
}

/// Returns the candidate group for `members`, or `None` if no member is allowed.
fn candidate_group(
    catalog: &Catalog,
    group: String,
    members: &[&EndpointObject],
    allowed: &[AllowedEndpoint],
) -> Option<CandidateGroup> {
    let in_group: Vec<&AllowedEndpoint> = allowed
        .iter()
        .filter(|candidate| {
            let name = &catalog.endpoints[candidate.index].name;
            members.iter().any(|member| member.name == *name)
        })
        .collect();
    let priority = in_group.iter().map(|candidate| candidate.priority).max()?;
    let candidates = in_group
        .iter()
        .map(|candidate| catalog.endpoints[candidate.index].name.clone());
    Some(CandidateGroup {
        name: group,
        candidates: candidates.collect(),
        priority,
    })
}

fn no_endpoint_error() -> Error {
    Error::new(
        ErrorKind::NoEndpoint,
        "no allowed endpoint that holds this model is live",
    )
}
