//! Which endpoints may serve a request and at what priority, from the published objects.

use std::collections::HashMap;

use super::config::ConfigState;
use super::label::Labels;
use super::object::{
    ClientAccount, Endpoint, EndpointRole, Model, Object, ObjectKey, ObjectKind, Rule,
};
use crate::error::{Error, ErrorKind, Result};

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload<'a> {
    /// A generation by a model.
    Model(&'a str),
    /// A call of a plain service.
    Service(&'a str),
}

/// An endpoint that may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedEndpoint {
    /// Index into [`Catalog::endpoints`].
    pub index: usize,
    /// Highest priority among the rules that match.
    pub priority: i32,
}

/// The objects in force, indexed for routing. Rebuilt at each change of configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Endpoints, by name.
    pub endpoints: Vec<Endpoint>,
    endpoint_labels: Vec<Labels>,
    accounts_by_key: HashMap<String, ClientAccount>,
    models: HashMap<String, Model>,
    rules: Vec<Rule>,
}

impl Catalog {
    /// Indexes a state.
    #[must_use]
    pub fn new(state: &ConfigState) -> Self {
        let mut catalog = Self::default();
        for held in state.objects.values() {
            catalog.add(state, &held.object);
        }
        catalog
    }

    fn add(&mut self, state: &ConfigState, object: &Object) {
        match object {
            Object::Hall(_) => {}
            Object::Endpoint(endpoint) => {
                self.endpoint_labels.push(endpoint_labels(state, endpoint));
                self.endpoints.push(endpoint.clone());
            }
            Object::Model(model) => {
                self.models.insert(model.name.clone(), model.clone());
            }
            Object::ClientAccount(account) => {
                let key = account.key_blake3.to_ascii_lowercase();
                self.accounts_by_key.insert(key, account.clone());
            }
            Object::Rule(rule) => self.rules.push(rule.clone()),
        }
    }

    /// The client account of a bearer key.
    ///
    /// # Errors
    /// `Unauthorized` where no account has the key.
    pub fn account_for_key(&self, bearer_key: &str) -> Result<&ClientAccount> {
        let hash = blake3::hash(bearer_key.as_bytes()).to_hex();
        self.accounts_by_key.get(hash.as_str()).ok_or_else(|| {
            Error::new(
                ErrorKind::Unauthorized,
                "bearer key belongs to no client account",
            )
        })
    }

    /// A model by name.
    ///
    /// # Errors
    /// `UnknownModel` where it is not published.
    pub fn model(&self, name: &str) -> Result<&Model> {
        self.models.get(name).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownModel,
                format!("model {name:?} is not published"),
            )
        })
    }

    /// All models.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.values()
    }

    /// An endpoint by name.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        let found = self
            .endpoints
            .binary_search_by(|endpoint| endpoint.name.as_str().cmp(name));
        found.ok().map(|index| &self.endpoints[index])
    }

    /// The endpoints that may serve the work for the account.
    ///
    /// # Errors
    /// `UnknownModel`, `UnknownService` or `NotAllowed`.
    pub fn allowed_endpoints(
        &self,
        account: &ClientAccount,
        work: Workload<'_>,
    ) -> Result<Vec<AllowedEndpoint>> {
        let account_labels = account.labels.with_label("account", &account.name);
        let work_labels = self.work_labels(work)?;
        let rules: Vec<&Rule> = self
            .rules
            .iter()
            .filter(|rule| {
                rule.accounts.matches(&account_labels) && rule.work.matches(&work_labels)
            })
            .collect();
        let allowed: Vec<AllowedEndpoint> = (0..self.endpoints.len())
            .filter(|&index| serves(&self.endpoints[index], work))
            .filter_map(|index| self.priority(&rules, index))
            .collect();
        if allowed.is_empty() {
            return Err(Error::new(
                ErrorKind::NotAllowed,
                format!("no rule lets account {:?} run this work", account.name),
            ));
        }
        Ok(allowed)
    }

    /// Whether any rule lets any account run the model on the endpoint.
    #[must_use]
    pub fn can_host_model(&self, model: &Model, endpoint: &Endpoint) -> bool {
        let Ok(work_labels) = self.work_labels(Workload::Model(&model.name)) else {
            return false;
        };
        let Some(index) = self.endpoints.iter().position(|e| e.name == endpoint.name) else {
            return false;
        };
        self.rules.iter().any(|rule| {
            rule.work.matches(&work_labels) && rule.endpoints.matches(&self.endpoint_labels[index])
        })
    }

    fn priority(&self, rules: &[&Rule], index: usize) -> Option<AllowedEndpoint> {
        rules
            .iter()
            .filter(|rule| rule.endpoints.matches(&self.endpoint_labels[index]))
            .map(|rule| rule.priority)
            .max()
            .map(|priority| AllowedEndpoint { index, priority })
    }

    fn work_labels(&self, work: Workload<'_>) -> Result<Labels> {
        match work {
            Workload::Model(name) => Ok(self.model(name)?.labels.with_label("model", name)),
            Workload::Service(name) => {
                let known = self.endpoints.iter().any(|e| serves(e, work));
                let labels = Labels::default().with_label("service", name);
                known.then_some(labels).ok_or_else(|| {
                    Error::new(
                        ErrorKind::UnknownService,
                        format!("service {name:?} is not published"),
                    )
                })
            }
        }
    }
}

fn serves(endpoint: &Endpoint, work: Workload<'_>) -> bool {
    match (&endpoint.role, work) {
        (EndpointRole::Engine { .. }, Workload::Model(_)) => true,
        (EndpointRole::Service { service }, Workload::Service(name)) => service == name,
        _ => false,
    }
}

/// The endpoint's labels with the implied ones: its name, its hall and the hall's region.
fn endpoint_labels(state: &ConfigState, endpoint: &Endpoint) -> Labels {
    let hall_key = ObjectKey {
        kind: ObjectKind::Hall,
        name: endpoint.hall.clone(),
    };
    let region = match state.objects.get(&hall_key).map(|held| &held.object) {
        Some(Object::Hall(hall)) => hall.region.as_str(),
        _ => "",
    };
    endpoint
        .labels
        .with_label("endpoint", &endpoint.name)
        .with_label("hall", &endpoint.hall)
        .with_label("region", region)
}
