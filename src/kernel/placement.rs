//! Which engine of a hall should hold which models: declared rules and replicas first, then recent demand.

use std::collections::BTreeMap;

use super::object::{Endpoint, EndpointRole, Model};
use super::policy::LoadedModel;
use super::rules::Catalog;

/// What an engine should hold.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Assignment {
    /// Endpoint.
    pub endpoint: String,
    /// Models and versions, in order of name.
    pub models: Vec<LoadedModel>,
}

/// Recent tokens per model in a hall.
pub type DemandByModel = BTreeMap<String, f64>;

/// Plans a hall. The same inputs give the same plan.
///
/// `held` tells the live engines and what each holds; the plan keeps models where they are, so that it moves little.
#[must_use]
pub fn plan_hall(
    catalog: &Catalog,
    hall: &str,
    demand: &DemandByModel,
    held: &BTreeMap<String, Vec<LoadedModel>>,
) -> Vec<Assignment> {
    let engines: Vec<&Endpoint> = catalog
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.hall == hall && slots(endpoint) > 0)
        .filter(|endpoint| held.contains_key(&endpoint.name))
        .collect();
    let mut models: Vec<&Model> = catalog.models().collect();
    // Where slots are too few for all declared replicas, the models in demand come first.
    let wanted = |model: &Model| demand.get(&model.name).copied().unwrap_or_default();
    models.sort_by(|left, right| {
        let by_demand = wanted(right).total_cmp(&wanted(left));
        by_demand.then_with(|| left.name.cmp(&right.name))
    });
    let mut plan = Plan::new(catalog, &engines, held);
    for round in 0..most_replicas(&models) {
        for model in models
            .iter()
            .filter(|model| model.replicas_per_hall > round)
        {
            plan.place(model);
        }
    }
    plan.fill_by_demand(&models, demand);
    plan.finish()
}

fn most_replicas(models: &[&Model]) -> u32 {
    models
        .iter()
        .map(|model| model.replicas_per_hall)
        .max()
        .unwrap_or(0)
}

fn slots(endpoint: &Endpoint) -> usize {
    match endpoint.role {
        EndpointRole::Engine { model_slots, .. } => {
            usize::try_from(model_slots).unwrap_or(usize::MAX)
        }
        EndpointRole::Service { .. } => 0,
    }
}

struct Plan<'a> {
    catalog: &'a Catalog,
    held: &'a BTreeMap<String, Vec<LoadedModel>>,
    engines: Vec<PlannedEngine<'a>>,
}

struct PlannedEngine<'a> {
    endpoint: &'a Endpoint,
    models: Vec<&'a Model>,
}

impl<'a> Plan<'a> {
    fn new(
        catalog: &'a Catalog,
        engines: &[&'a Endpoint],
        held: &'a BTreeMap<String, Vec<LoadedModel>>,
    ) -> Self {
        let engines = engines.iter().map(|endpoint| PlannedEngine {
            endpoint,
            models: Vec::new(),
        });
        Self {
            catalog,
            held,
            engines: engines.collect(),
        }
    }

    /// Gives the model one more engine: one that holds it already, else the one with most free slots.
    fn place(&mut self, model: &'a Model) -> bool {
        let catalog = self.catalog;
        let held = self.held;
        let best = self
            .engines
            .iter_mut()
            .filter(|engine| engine.models.len() < slots(engine.endpoint))
            .filter(|engine| engine.models.iter().all(|other| other.name != model.name))
            .filter(|engine| catalog.can_host_model(model, engine.endpoint))
            .max_by_key(|engine| {
                let name = &engine.endpoint.name;
                let holds = held
                    .get(name)
                    .is_some_and(|models| models.iter().any(|m| m.name == model.name));
                let free = slots(engine.endpoint) - engine.models.len();
                (holds, free, std::cmp::Reverse(name.clone()))
            });
        let Some(engine) = best else {
            return false;
        };
        engine.models.push(model);
        true
    }

    /// Fills the slots left, each time for the model with the most demand per engine that holds it.
    fn fill_by_demand(&mut self, models: &[&'a Model], demand: &DemandByModel) {
        let mut open: Vec<&'a Model> = models.to_vec();
        while let Some(model) = self.most_wanted(&open, demand) {
            if !self.place(model) {
                open.retain(|other| other.name != model.name);
            }
        }
    }

    fn most_wanted(&self, open: &[&'a Model], demand: &DemandByModel) -> Option<&'a Model> {
        let wanted = |model: &Model| {
            let copies = self
                .engines
                .iter()
                .filter(|engine| engine.models.iter().any(|other| other.name == model.name))
                .count();
            let copies = u32::try_from(copies).unwrap_or(u32::MAX);
            demand.get(&model.name).copied().unwrap_or(1.0) / f64::from(copies.max(1))
        };
        open.iter()
            .copied()
            .max_by(|left, right| wanted(left).total_cmp(&wanted(right)))
    }

    fn finish(self) -> Vec<Assignment> {
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
