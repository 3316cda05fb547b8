//! Assigns models to the engines of a hall, within the rules: first the declared replicas, then
//! further replicas by recent demand.

use std::collections::BTreeMap;

use super::object::{Endpoint, EndpointRole, Model};
use super::policy::LoadedModel;
use super::rules::Catalog;

/// The models that an engine should have loaded.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// Name of the engine's endpoint.
    pub endpoint: String,
    /// Models and versions, sorted by name.
    pub models: Vec<LoadedModel>,
}

/// Recent number of tokens per model in a hall.
pub type DemandByModel = BTreeMap<String, f64>;

/// Plans which models the engines of a hall should load. Deterministic.
///
/// `loaded` maps each live engine to the models it has loaded. The plan prefers engines that have a
/// model loaded already, to avoid needless loading.
#[must_use]
pub fn plan_hall(
    catalog: &Catalog,
    hall: &str,
    demand: &DemandByModel,
    loaded: &BTreeMap<String, Vec<LoadedModel>>,
) -> Vec<Assignment> {
    let engines: Vec<&Endpoint> = catalog
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.hall == hall && model_slots(endpoint) > 0)
        .filter(|endpoint| loaded.contains_key(&endpoint.name))
        .collect();
    let mut models: Vec<&Model> = catalog.models().collect();
    // If there are too few slots for all declared replicas, models with more demand go first.
    let demand_of = |model: &Model| demand.get(&model.name).copied().unwrap_or_default();
    models.sort_by(|left, right| {
        let by_demand = demand_of(right).total_cmp(&demand_of(left));
        by_demand.then_with(|| left.name.cmp(&right.name))
    });
    let mut planner = PlacementPlanner::new(catalog, &engines, loaded);
    for round in 0..max_replicas(&models) {
        for model in models
            .iter()
            .filter(|model| model.replicas_per_hall > round)
        {
            planner.add_replica(model);
        }
    }
    planner.fill_by_demand(&models, demand);
    planner.into_assignments()
}

fn max_replicas(models: &[&Model]) -> u32 {
    models
        .iter()
        .map(|model| model.replicas_per_hall)
        .max()
        .unwrap_or(0)
}

fn model_slots(endpoint: &Endpoint) -> usize {
    match endpoint.role {
        EndpointRole::Engine { model_slots, .. } => {
            usize::try_from(model_slots).unwrap_or(usize::MAX)
        }
        EndpointRole::Service { .. } => 0,
    }
}

struct PlacementPlanner<'a> {
    catalog: &'a Catalog,
    loaded: &'a BTreeMap<String, Vec<LoadedModel>>,
    engines: Vec<PlannedEngine<'a>>,
}

struct PlannedEngine<'a> {
    endpoint: &'a Endpoint,
    models: Vec<&'a Model>,
}

impl<'a> PlacementPlanner<'a> {
    fn new(
        catalog: &'a Catalog,
        engines: &[&'a Endpoint],
        loaded: &'a BTreeMap<String, Vec<LoadedModel>>,
    ) -> Self {
        let engines = engines.iter().map(|endpoint| PlannedEngine {
            endpoint,
            models: Vec::new(),
        });
        Self {
            catalog,
            loaded,
            engines: engines.collect(),
        }
    }

    /// Assigns a model to one more engine and returns whether one was found.
    ///
    /// Prefers an engine that has the model loaded, then the one with the most free slots.
    fn add_replica(&mut self, model: &'a Model) -> bool {
        let catalog = self.catalog;
        let loaded = self.loaded;
        let best = self
            .engines
            .iter_mut()
            .filter(|engine| engine.models.len() < model_slots(engine.endpoint))
            .filter(|engine| engine.models.iter().all(|other| other.name != model.name))
            .filter(|engine| catalog.can_host_model(model, engine.endpoint))
            .max_by_key(|engine| {
                let name = &engine.endpoint.name;
                let is_loaded = loaded
                    .get(name)
                    .is_some_and(|models| models.iter().any(|m| m.name == model.name));
                let free_slots = model_slots(engine.endpoint) - engine.models.len();
                (is_loaded, free_slots, std::cmp::Reverse(name.clone()))
            });
        let Some(engine) = best else {
            return false;
        };
        engine.models.push(model);
        true
    }

    /// Fills the remaining slots, each with the model that has the highest demand per replica.
    fn fill_by_demand(&mut self, models: &[&'a Model], demand: &DemandByModel) {
        let mut candidates: Vec<&'a Model> = models.to_vec();
        while let Some(model) = self.highest_demand_per_replica(&candidates, demand) {
            if !self.add_replica(model) {
                candidates.retain(|other| other.name != model.name);
            }
        }
    }

    fn highest_demand_per_replica(
        &self,
        candidates: &[&'a Model],
        demand: &DemandByModel,
    ) -> Option<&'a Model> {
        let demand_per_replica = |model: &Model| {
            let replicas = self
                .engines
                .iter()
                .filter(|engine| engine.models.iter().any(|other| other.name == model.name))
                .count();
            let replicas = u32::try_from(replicas).unwrap_or(u32::MAX);
            demand.get(&model.name).copied().unwrap_or(1.0) / f64::from(replicas.max(1))
        };
        candidates
            .iter()
            .copied()
            .max_by(|left, right| demand_per_replica(left).total_cmp(&demand_per_replica(right)))
    }

    fn into_assignments(self) -> Vec<Assignment> {
        let assignment = |engine: PlannedEngine<'_>| {
            let mut models: Vec<LoadedModel> = engine
                .models
                .iter()
                .map(|model| LoadedModel {
                    name: model.name.clone(),
                    version: model.version.clone(),
                })
                .collect();
            models.sort_by(|left, right| left.name.cmp(&right.name));
            Assignment {
                endpoint: engine.endpoint.name.clone(),
                models,
            }
        };
        self.engines.into_iter().map(assignment).collect()
    }
}
