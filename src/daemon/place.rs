//! Finds a place for a generation: from the owner of a group, or by this entry alone.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use uuid::Uuid;

use super::endpoints::is_departed;
use super::node::Node;
use super::owner::{PlacedOn, capacity, groups_of_hall, reserve_timeout};
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

/// Groups asked before giving up.
const GROUPS_TRIED: usize = 12;
/// A group that had no endpoint is asked last for this long.
const EMPTY_FOR: Duration = Duration::from_secs(2);
const OWNER_TIMEOUT: Duration = Duration::from_secs(1);

/// What a generation needs.
pub(crate) struct PlaceWanted<'a> {
    pub(crate) account: &'a ClientAccount,
    pub(crate) model: &'a Model,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) prefix: u64,
    /// Time left.
    pub(crate) deadline: Duration,
    /// Endpoints that failed this request already.
    pub(crate) excluded: &'a HashSet<String>,
}

/// A place, with its reservation where an owner granted it.
pub(crate) struct Place {
    pub(crate) endpoint: EndpointObject,
    pub(crate) incarnation: Option<Uuid>,
    pub(crate) version: String,
    pub(crate) priority: i32,
    pub(crate) reservation: Option<Reservation>,
}

/// A group that may serve, and its endpoints that rules allow.
struct GroupChoice {
    group: String,
    candidates: Vec<String>,
    priority: i32,
}

impl Node {
    /// Finds a place.
    pub(crate) async fn find_place(self: &Arc<Self>, wanted: &PlaceWanted<'_>) -> Result<Place> {
        let catalog = self.catalog();
        let work = Workload::Model(&wanted.model.name);
        let allowed: Vec<AllowedEndpoint> = catalog
            .allowed_endpoints(wanted.account, work)?
            .into_iter()
            .filter(|one| self.may_go_to(&catalog.endpoints[one.index].name, wanted.excluded))
            .collect();
        if allowed.is_empty() {
            return Err(no_endpoint());
        }
        match self.policy_scope() {
            PolicyScope::Entry => self.place_alone(&catalog, wanted, &allowed),
            PolicyScope::Group => self.place_by_owner(&catalog, wanted, &allowed).await,
        }
    }

    fn may_go_to(&self, endpoint: &str, excluded: &HashSet<String>) -> bool {
        let incarnation = self.endpoints.incarnation(endpoint);
        !excluded.contains(endpoint) && !is_departed(self, endpoint, incarnation)
    }

    /// This entry's own hall first, then the others in random order.
    fn hall_order(&self, catalog: &Catalog, allowed: &[AllowedEndpoint]) -> Vec<String> {
        let mut halls: Vec<String> = allowed
            .iter()
            .map(|one| catalog.endpoints[one.index].hall.clone())
            .collect();
        halls.sort_unstable();
        halls.dedup();
        halls.shuffle(&mut rand::rng());
        halls.sort_by_key(|hall| *hall != self.settings.hall);
        halls
    }

    fn place_alone(
        &self,
        catalog: &Catalog,
        wanted: &PlaceWanted<'_>,
        allowed: &[AllowedEndpoint],
    ) -> Result<Place> {
        let policy = policy::build(&self.settings.policy).ok_or_else(no_endpoint)?;
        for hall in self.hall_order(catalog, allowed) {
            let here: Vec<&AllowedEndpoint> = allowed
                .iter()
                .filter(|one| catalog.endpoints[one.index].hall == hall)
                .filter(|one| self.takes_work(&catalog.endpoints[one.index].name))
                .filter(|one| {
                    let name = &catalog.endpoints[one.index].name;
                    let model = wanted.model;
                    self.endpoints
                        .held_version(name, &model.name, &model.version)
                        .is_some()
                })
                .collect();
            let reports: Vec<_> = here
                .iter()
                .map(|one| self.endpoints.report(&catalog.endpoints[one.index].name))
                .collect();
            let candidates: Vec<Candidate<'_>> = here
                .iter()
                .zip(&reports)
                .map(|(one, report)| {
                    let endpoint = &catalog.endpoints[one.index];
                    Candidate {
                        name: &endpoint.name,
                        capacity_tokens: tokens_as_f64(capacity(endpoint)),
                        report: report.as_ref(),
                        in_flight: InFlight::default(),
                        fill_limit: 1.0,
                        cached_prefix_tokens: 0,
                    }
                })
                .collect();
            let demand = GenerationSize {
                prompt_tokens: wanted.prompt_tokens,
                max_tokens: wanted.max_tokens,
                residual: TokenStats::default(),
                survival: Survival::default(),
            };
            if let Some(index) = policy.choose(&candidates, &demand, &mut rand::rng()) {
                return Ok(self.unreserved_place(catalog, wanted, here[index]));
            }
        }
        Err(no_endpoint())
    }

    fn unreserved_place(
        &self,
        catalog: &Catalog,
        wanted: &PlaceWanted<'_>,
        chosen: &AllowedEndpoint,
    ) -> Place {
        let endpoint = catalog.endpoints[chosen.index].clone();
        let model = wanted.model;
        let held = self
            .endpoints
            .held_version(&endpoint.name, &model.name, &model.version);
        Place {
            incarnation: self.endpoints.incarnation(&endpoint.name),
            version: held.unwrap_or_else(|| model.version.clone()),
            priority: chosen.priority,
            reservation: None,
            endpoint,
        }
    }

    fn group_choices(&self, catalog: &Catalog, allowed: &[AllowedEndpoint]) -> Vec<GroupChoice> {
        let mut choices = Vec::new();
        for hall in self.hall_order(catalog, allowed) {
            let mut of_hall: Vec<GroupChoice> = groups_of_hall(&hall, catalog.endpoints.iter())
                .into_iter()
                .filter_map(|(group, members)| choice(catalog, group, &members, allowed))
                .collect();
            of_hall.shuffle(&mut rand::rng());
            choices.append(&mut of_hall);
        }
        // Halls without a live endpoint must not use up the tries.
        choices.sort_by_key(|choice| self.was_empty(&choice.group));
        choices.truncate(GROUPS_TRIED);
        choices
    }

    fn was_empty(&self, group: &str) -> bool {
        let noted = self.empty_groups.lock().get(group).copied();
        noted.is_some_and(|at| self.now().saturating_sub(at) < EMPTY_FOR)
    }

    fn note_empty(&self, group: &str) {
        let now = self.now();
        self.empty_groups.lock().insert(group.to_owned(), now);
    }

    async fn place_by_owner(
        self: &Arc<Self>,
        catalog: &Catalog,
        wanted: &PlaceWanted<'_>,
        allowed: &[AllowedEndpoint],
    ) -> Result<Place> {
        let choices = self.group_choices(catalog, allowed);
        let mut crowded = None;
        // First whoever has room at once; then wait for the first group that is merely full.
        for choice in &choices {
            match self
                .ask_owner(catalog, wanted, choice, Duration::ZERO)
                .await
            {
                Ok(place) => return Ok(place),
                Err(error) if error.kind == ErrorKind::Crowded => {
                    crowded = crowded.or(Some(choice));
                }
                Err(_) => self.note_empty(&choice.group),
            }
        }
        let Some(choice) = crowded else {
            return Err(no_endpoint());
        };
        self.ask_owner(catalog, wanted, choice, wanted.deadline)
            .await
    }

    async fn ask_owner(
        self: &Arc<Self>,
        catalog: &Catalog,
        wanted: &PlaceWanted<'_>,
        choice: &GroupChoice,
        deadline: Duration,
    ) -> Result<Place> {
        let request = ReserveRequest {
            reservation_id: Uuid::new_v4(),
            entry: self.incarnation.name.clone(),
            account: wanted.account.name.clone(),
            share: wanted.account.share,
            model: wanted.model.name.clone(),
            prompt_tokens: wanted.prompt_tokens,
            max_tokens: wanted.max_tokens,
            priority: choice.priority,
            deadline,
            prefix: wanted.prefix,
            candidates: choice.candidates.clone(),
        };
        let own_name = self.incarnation.name.clone();
        let owner = self
            .owner_of(&choice.group)
            .unwrap_or_else(|| own_name.clone());
        let asked = if owner == own_name {
            None
        } else {
            self.ask_peer(&owner, &choice.group, &request).await
        };
        let (placed, owner) = match asked {
            Some(placed) => (placed?, owner),
            // The owner is this instance, or cannot be reached: then this entry decides within its own share.
            None => (
                self.reserve_as_owner(&choice.group, &request).await?,
                own_name,
            ),
        };
        let endpoint = catalog.endpoint(&placed.endpoint).ok_or_else(no_endpoint)?;
        let reservation = self
            .reservations
            .hold(request.reservation_id, &choice.group, &owner);
        Ok(Place {
            endpoint: endpoint.clone(),
            incarnation: placed.incarnation,
            version: placed.version,
            priority: choice.priority,
            reservation: Some(reservation),
        })
    }

    /// Asks a peer that owns a group; `None` where it cannot be reached.
    async fn ask_peer(
        &self,
        owner: &str,
        group: &str,
        request: &ReserveRequest,
    ) -> Option<Result<PlacedOn>> {
        let address = {
            let members = self.members.lock();
            members.get(owner)?.status.peer_address.clone()
        };
        let mut client = self.peers.peer_client(&address).ok()?;
        let limit = if request.deadline.is_zero() {
            OWNER_TIMEOUT
        } else {
            reserve_timeout(request, self.settings.limits.queue_wait_ms)
        };
        let call = client.reserve(reserve_to_wire(group, request));
        let Ok(reply) = call_with_timeout(limit, call).await else {
            metrics::counter!("larkwick_owner_unreachable_total").increment(1);
            return None;
        };
        if reply.error.is_empty() {
            return Some(Ok(PlacedOn {
                incarnation: reply.endpoint_incarnation.parse().ok(),
                endpoint: reply.endpoint,
                version: reply.version,
            }));
        }
        let detail: ErrorDetail = serde_json::from_str(&reply.error).ok()?;
        Some(Err(detail.into()))
    }
}

fn choice(
    catalog: &Catalog,
    group: String,
    members: &[&EndpointObject],
    allowed: &[AllowedEndpoint],
) -> Option<GroupChoice> {
    let in_group: Vec<&AllowedEndpoint> = allowed
        .iter()
        .filter(|one| {
            let name = &catalog.endpoints[one.index].name;
            members.iter().any(|member| member.name == *name)
        })
        .collect();
    let priority = in_group.iter().map(|one| one.priority).max()?;
    let candidates = in_group
        .iter()
        .map(|one| catalog.endpoints[one.index].name.clone());
    Some(GroupChoice {
        group,
        candidates: candidates.collect(),
        priority,
    })
}

fn no_endpoint() -> Error {
    Error::new(
        ErrorKind::NoEndpoint,
        "no allowed endpoint that holds this model is live",
    )
}
