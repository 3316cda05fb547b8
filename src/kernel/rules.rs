//! Evaluates the published rules: which endpoints may serve a request, and at what priority.

use std::collections::HashMap;

use super::config::{ConfigState, Versioned};
use super::label::Labels;
use super::object::{
    ClientAccount, Endpoint, EndpointRole, Model, Object, ObjectKey, ObjectKind, Rule,
};
use crate::error::{Error, ErrorKind, Result};

/// What a request wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload<'a> {
    /// A generation by the model of this name.
    Model(&'a str),
    /// A call of the plain service of this name.
    Service(&'a str),
}

/// An endpoint that may serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowedEndpoint {
    /// Index into [`Catalog::endpoints`].
    pub index: usize,
    /// Highest priority among the matching rules.
    pub priority: i32,
}

/// Index over the published objects for routing. Rebuilt after each configuration change.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Endpoints, sorted by name.
    pub endpoints: Vec<Endpoint>,
    /// Labels of `endpoints`, including the implied ones, at the same indices.
    endpoint_labels: Vec<Labels>,
    /// By the lower-case hash of their key. Of several accounts with one key, the one that was
    /// changed first keeps it: a later one would otherwise get the requests of its callers.
    accounts_by_key: HashMap<String, ClientAccount>,
    models: HashMap<String, Model>,
    rules: Vec<Rule>,
}

impl Catalog {
    /// Creates an index over the objects of a configuration state.
    #[must_use]
    pub fn new(state: &ConfigState) -> Self {
        let mut catalog = Self::default();
        for versioned in state.objects.values() {
            catalog.insert(state, versioned);
        }
        catalog
    }

    fn insert(&mut self, state: &ConfigState, versioned: &Versioned) {
        match &versioned.object {
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
                let holder = self.accounts_by_key.get(&key);
                let is_taken = holder
                    .is_some_and(|holder| account_revision(state, holder) <= versioned.revision);
                if !is_taken {
                    self.accounts_by_key.insert(key, account.clone());
                }
            }
            Object::Rule(rule) => self.rules.push(rule.clone()),
        }
    }

    /// Returns the client account of a bearer key.
    ///
    /// # Errors
    /// Returns `Unauthorized` if no account has the key.
    pub fn account_for_key(&self, bearer_key: &str) -> Result<&ClientAccount> {
        let hash = blake3::hash(bearer_key.as_bytes()).to_hex();
        self.accounts_by_key.get(hash.as_str()).ok_or_else(|| {
            Error::new(
                ErrorKind::Unauthorized,
                "bearer key belongs to no client account",
            )
        })
    }

    /// Returns the model of a name.
    ///
    /// # Errors
    /// Returns `UnknownModel` if no model of that name is published.
    pub fn model(&self, name: &str) -> Result<&Model> {
        self.models.get(name).ok_or_else(|| {
            Error::new(
                ErrorKind::UnknownModel,
                format!("model {name:?} is not published"),
            )
        })
    }

    /// Returns all models, in no particular order.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.values()
    }

    /// Returns the endpoint of a name, or `None` if it is not published.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        let found = self
            .endpoints
            .binary_search_by(|endpoint| endpoint.name.as_str().cmp(name));
        found.ok().map(|index| &self.endpoints[index])
    }

    /// Returns the endpoints that may serve a workload of an account.
    ///
    /// # Errors
    /// Returns `UnknownModel` or `UnknownService` if the workload is not published, and
    /// `NotAllowed` if no rule allows it on any endpoint.
    pub fn allowed_endpoints(
        &self,
        account: &ClientAccount,
        workload: Workload<'_>,
    ) -> Result<Vec<AllowedEndpoint>> {
        let account_labels = account.labels.with_label("account", &account.name);
        let workload_labels = self.workload_labels(workload)?;
        let rules: Vec<&Rule> = self
            .rules
            .iter()
            .filter(|rule| {
                rule.accounts.matches(&account_labels) && rule.work.matches(&workload_labels)
            })
            .collect();
        let allowed: Vec<AllowedEndpoint> = (0..self.endpoints.len())
            .filter(|&index| can_serve(&self.endpoints[index], workload))
            .filter_map(|index| self.match_endpoint(&rules, index))
            .collect();
        if allowed.is_empty() {
            return Err(Error::new(
                ErrorKind::NotAllowed,
                format!("no rule lets account {:?} run this work", account.name),
            ));
        }
        Ok(allowed)
    }

    /// Returns whether any rule allows any account to run the model on the endpoint.
    #[must_use]
    pub fn can_host_model(&self, model: &Model, endpoint: &Endpoint) -> bool {
        let Ok(workload_labels) = self.workload_labels(Workload::Model(&model.name)) else {
            return false;
        };
        let Some(index) = self.endpoints.iter().position(|e| e.name == endpoint.name) else {
            return false;
        };
        self.rules.iter().any(|rule| {
            rule.work.matches(&workload_labels)
                && rule.endpoints.matches(&self.endpoint_labels[index])
        })
    }

    /// Returns the endpoint at `index` with its priority, or `None` if no rule matches it.
    fn match_endpoint(&self, rules: &[&Rule], index: usize) -> Option<AllowedEndpoint> {
        rules
            .iter()
            .filter(|rule| rule.endpoints.matches(&self.endpoint_labels[index]))
            .map(|rule| rule.priority)
            .max()
            .map(|priority| AllowedEndpoint { index, priority })
    }

    /// Returns the labels of a workload, including the implied one with its name.
    fn workload_labels(&self, workload: Workload<'_>) -> Result<Labels> {
        match workload {
            Workload::Model(name) => Ok(self.model(name)?.labels.with_label("model", name)),
            Workload::Service(name) => {
                let is_published = self.endpoints.iter().any(|e| can_serve(e, workload));
                let labels = Labels::default().with_label("service", name);
                is_published.then_some(labels).ok_or_else(|| {
                    Error::new(
                        ErrorKind::UnknownService,
                        format!("service {name:?} is not published"),
                    )
                })
            }
        }
    }
}

/// Returns whether the role of an endpoint fits a workload.
fn can_serve(endpoint: &Endpoint, workload: Workload<'_>) -> bool {
    match (&endpoint.role, workload) {
        (EndpointRole::Engine { .. }, Workload::Model(_)) => true,
        (EndpointRole::Service { service }, Workload::Service(name)) => service == name,
        _ => false,
    }
}

fn account_revision(state: &ConfigState, account: &ClientAccount) -> u64 {
    state.revision(&ObjectKey {
        kind: ObjectKind::ClientAccount,
        name: account.name.clone(),
    })
}

/// Returns the labels of an endpoint with the implied ones: its name, its hall and the hall's
/// region.
fn endpoint_labels(state: &ConfigState, endpoint: &Endpoint) -> Labels {
    let hall_key = ObjectKey {
        kind: ObjectKind::Hall,
        name: endpoint.hall.clone(),
    };
    let region = match state
        .objects
        .get(&hall_key)
        .map(|versioned| &versioned.object)
    {
        Some(Object::Hall(hall)) => hall.region.as_str(),
        _ => "",
    };
    endpoint
        .labels
        .with_label("endpoint", &endpoint.name)
        .with_label("hall", &endpoint.hall)
        .with_label("region", region)
}
