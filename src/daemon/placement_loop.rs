//! Competes for the hall's lease and, while this instance holds it, sends the orders that make the
//! hall's engines load their planned models.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Serialize;
use spdlog::{info, warn};
use uuid::Uuid;

use super::endpoints::{HALL_POLL_INTERVAL_ROUNDS, is_departed};
use super::node::{Node, Phase};
use crate::endpoint::protocol::{Order, OrderStatus};
use crate::endpoint::{Endpoint, OrderError};
use crate::kernel::config::Record;
use crate::kernel::lease::{Claim, LeaseKeeper, LeaseProof, LeaseStep, LeaseTimes};
use crate::kernel::membership::rendezvous;
use crate::kernel::object::EndpointRole;
use crate::kernel::placement::{Assignment, DemandByModel, plan_hall};
use crate::kernel::policy::LoadedModel;
use crate::kernel::rules::Catalog;
use crate::log_service::CONFIG_STREAM;
use crate::settings::{Settings, ms};

/// Plans use load reports up to this many polling rounds of the whole hall old.
const REPORT_AGE_MAX_ROUNDS: u32 = 2;
/// Interval at which the lease is checked and due orders are started.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which orders are repeated, in case an older order reached the engine after them.
const ORDER_REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The state of this instance as candidate for or holder of its hall's lease.
pub(crate) struct HallLease {
    keeper: Mutex<LeaseKeeper>,
    orders: Mutex<BTreeMap<String, SentOrder>>,
    /// Endpoints with an order in flight. The next order to such an endpoint waits until that one
    /// has ended, because two orders of the same holder must not overtake each other.
    in_flight: Mutex<BTreeSet<String>>,
    /// Generated tokens by model, decaying over time.
    demand: Mutex<DemandByModel>,
}

/// The last order sent to an endpoint, and its result.
#[derive(Debug, Clone, Serialize)]
struct SentOrder {
    order_models: Vec<LoadedModel>,
    fence: u64,
    #[serde(rename = "at")]
    completed_at: Duration,
    loaded: Vec<LoadedModel>,
    failure: Option<String>,
}

/// The lease and its orders in the state dump.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseDump {
    holder: Option<String>,
    fence: u64,
    held_here: bool,
    orders: BTreeMap<String, OrderDump>,
}

#[derive(Debug, Serialize)]
struct OrderDump {
    fence: u64,
    desired: Vec<LoadedModel>,
    loaded: Vec<LoadedModel>,
    failure: Option<String>,
}

impl HallLease {
    /// Creates the state of an instance that has not seen the lease yet.
    pub(crate) fn new(settings: &Settings, incarnation: Uuid) -> Self {
        let times = LeaseTimes {
            ttl: ms(settings.times.lease_ms),
            order_timeout: ms(settings.times.order_ms),
        };
        let keeper = LeaseKeeper::new(&settings.hall, &settings.instance, incarnation, times);
        Self {
            keeper: Mutex::new(keeper),
            orders: Mutex::default(),
            in_flight: Mutex::default(),
            demand: Mutex::default(),
        }
    }

    /// Adds generated tokens to a model's demand, which the placement plan uses.
    pub(crate) fn count_demand(&self, model: &str, tokens: u32) {
        let mut demand = self.demand.lock();
        *demand.entry(model.to_owned()).or_default() += f64::from(tokens);
    }

    /// Reduces the demand of all models, so that recent demand counts more than old demand.
    fn decay_demand(&self) {
        const DECAY_FACTOR: f64 = 0.99;
        for tokens in self.demand.lock().values_mut() {
            *tokens *= DECAY_FACTOR;
        }
    }
}

impl Node {
    /// Returns the lease and its orders for the state dump.
    pub(crate) fn dump_lease(&self) -> LeaseDump {
        let lease = self.config.lease(&self.settings.hall);
        let orders = self.lease.orders.lock().clone();
        let orders = orders.into_iter().map(|(endpoint, sent)| {
            let dump = OrderDump {
                fence: sent.fence,
                desired: sent.order_models,
                loaded: sent.loaded,
                failure: sent.failure,
            };
            (endpoint, dump)
        });
        LeaseDump {
            holder: lease.as_ref().map(|lease| lease.claim.holder.clone()),
            fence: lease.as_ref().map_or(0, |lease| lease.fence),
            held_here: self.holds_lease(),
            orders: orders.collect(),
        }
    }

    /// Returns whether this instance can prove that it holds its hall's lease.
    pub(crate) fn holds_lease(&self) -> bool {
        self.lease.keeper.lock().proof(self.now()).is_some()
    }

    /// Releases the lease, so that a successor need not wait until it expires.
    pub(crate) async fn release_lease(&self) {
        let claim = {
            let mut keeper = self.lease.keeper.lock();
            keeper.release(self.now(), Uuid::new_v4())
        };
        if let Some(claim) = claim {
            append_claim(self, claim).await;
        }
    }
}

/// Appends a lease claim to the configuration log.
async fn append_claim(node: &Node, claim: Claim) {
    let Ok(record) = serde_json::to_value(Record::Claim(claim)) else {
        return;
    };
    // If the reply is lost, reading the log resolves it: the configuration state shows which claim
    // is in force.
    if let Err(error) = node.platform.log.append(CONFIG_STREAM, record).await {
        warn!("lease claim not confirmed: {}", error);
    }
}

/// Returns whether this instance should claim its hall's lease. Rendezvous hashing selects one of
/// the hall's live instances, so that they do not compete.
fn is_lease_candidate(node: &Node) -> bool {
    let members = node.members.lock();
    let hall = &node.settings.hall;
    let live = members
        .live(&node.settings.hall, node.now())
        .filter(|peer| peer.status.hall == *hall)
        .map(|peer| peer.status.incarnation.name.as_str());
    let candidates = live.chain([node.incarnation.name.as_str()]);
    rendezvous(&format!("lease {hall}"), candidates) == Some(node.incarnation.name.as_str())
}

/// Claims or renews the lease if due and, with a proof of holding it, starts the due orders.
async fn run_step(node: &Arc<Node>) {
    if node.drain_state.phase() > Phase::Serving {
        return;
    }
    let lease = node.config.lease(&node.settings.hall);
    let candidate = is_lease_candidate(node);
    let before_append = node.now();
    let (step, proof) = {
        let mut keeper = node.lease.keeper.lock();
        keeper.observe(lease.as_ref(), before_append);
        let proof = keeper.proof(before_append);
        let step = if candidate || proof.is_some() {
            keeper.step(before_append, Uuid::new_v4())
        } else {
            LeaseStep::Wait
        };
        (step, proof)
    };
    if let LeaseStep::Append(claim) = step {
        append_claim(node, claim).await;
    }
    if let Some(proof) = proof {
        start_due_orders(node, proof);
    }
}

/// Plans the models of the hall's engines and starts the orders that are due.
fn start_due_orders(node: &Arc<Node>, proof: LeaseProof) {
    let catalog = node.catalog();
    let hall = &node.settings.hall;
    let now = node.now();
    let report_age_max =
        REPORT_AGE_MAX_ROUNDS * HALL_POLL_INTERVAL_ROUNDS * ms(node.settings.times.load_poll_ms);
    // A new holder must have polled the whole hall before it sends any order.
    if now.saturating_sub(proof.since) < report_age_max {
        return;
    }
    let loaded: BTreeMap<String, Vec<LoadedModel>> = catalog
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.hall == *hall)
        .filter_map(|endpoint| {
            let report = node
                .endpoints
                .report_younger_than(&endpoint.name, now, report_age_max)?;
            let departed = is_departed(node, &endpoint.name, Some(report.incarnation));
            (!departed).then(|| (endpoint.name.clone(), report.models))
        })
        .collect();
    let demand = node.lease.demand.lock().clone();
    for planned in plan_hall(&catalog, hall, &demand, &loaded) {
        let assignment = retain_until_replaced(planned, &loaded);
        if needs_order(node, &assignment, proof) && try_start_order(node, &assignment.endpoint) {
            tokio::spawn(run_order(node.clone(), assignment, proof));
        }
    }
}

/// Adds the loaded versions of models whose planned version the engine has not loaded yet. They
/// keep serving until the planned version is loaded.
fn retain_until_replaced(
    mut planned: Assignment,
    loaded: &BTreeMap<String, Vec<LoadedModel>>,
) -> Assignment {
    let Some(loaded) = loaded.get(&planned.endpoint) else {
        return planned;
    };
    let missing_models = planned
        .models
        .iter()
        .filter(|model| !loaded.contains(model));
    let missing_models: BTreeSet<String> = missing_models.map(|model| model.name.clone()).collect();
    let retained = loaded
        .iter()
        .filter(|model| missing_models.contains(&model.name));
    planned.models.extend(retained.cloned());
    planned
}

/// Returns whether an order is due: a planned model has not been ordered yet, the last order is due
/// to be repeated, or it had a later fence.
///
/// An order that only unloads models waits for the next repetition, so that by then a load report
/// has shown every owner what replaced them.
fn needs_order(node: &Node, assignment: &Assignment, proof: LeaseProof) -> bool {
    let orders = node.lease.orders.lock();
    let Some(sent) = orders.get(&assignment.endpoint) else {
        return true;
    };
    let repeat_due = node.now().saturating_sub(sent.completed_at) >= ORDER_REPEAT_INTERVAL;
    let mut planned = assignment.models.iter();
    let has_new_model = planned.any(|model| !sent.order_models.contains(model));
    repeat_due || has_new_model || sent.fence > proof.fence
}

/// Marks an order to an endpoint as in flight. Returns `false` if one already is.
fn try_start_order(node: &Node, endpoint: &str) -> bool {
    node.lease.in_flight.lock().insert(endpoint.to_owned())
}

/// Sends an order and then marks it as no longer in flight.
async fn run_order(node: Arc<Node>, assignment: Assignment, proof: LeaseProof) {
    let endpoint = assignment.endpoint.clone();
    send_order(&node, assignment, proof).await;
    node.lease.in_flight.lock().remove(&endpoint);
}

async fn send_order(node: &Node, assignment: Assignment, proof: LeaseProof) {
    let catalog = node.catalog();
    let Some(client) = order_client(node, &catalog, &assignment.endpoint) else {
        return;
    };
    let order = Order {
        fence: proof.fence,
        weights_bytes: assignment
            .models
            .iter()
            .map(|model| weights_bytes(&catalog, model))
            .collect(),
        models: assignment.models,
    };
    // The order must end before the proof of the lease expires, so that it cannot take effect while
    // a successor holds the lease.
    let now = node.now();
    let timeout = ms(node.settings.times.order_ms).min(proof.until.saturating_sub(now));
    if timeout.is_zero() {
        return;
    }
    let result = client.send_order(&order, timeout).await;
    record_order(node, &assignment.endpoint, order, result);
}

/// Returns the client of an engine; `None` if the endpoint is unknown or not an engine.
fn order_client(node: &Node, catalog: &Catalog, endpoint: &str) -> Option<Arc<dyn Endpoint>> {
    let object = catalog.endpoint(endpoint)?;
    matches!(object.role, EndpointRole::Engine { .. })
        .then(|| node.endpoints.client_for(object))
        .flatten()
}

/// Returns the size of a model's weights in bytes; 0 if the model is not in the catalog.
fn weights_bytes(catalog: &Catalog, loaded: &LoadedModel) -> u64 {
    catalog
        .model(&loaded.name)
        .map_or(0, |model| model.weights_bytes)
}

/// Records the result of an order.
fn record_order(
    node: &Node,
    endpoint: &str,
    order: Order,
    result: Result<OrderStatus, OrderError>,
) {
    let failure = result.as_ref().err().map(ToString::to_string);
    metrics::counter!("larkwick_orders_total", "ok" => failure.is_none().to_string()).increment(1);
    if let Some(reason) = &failure {
        warn!("order failed", kv: { endpoint, why = reason.as_str() });
    }
    let sent = SentOrder {
        order_models: order.models,
        fence: order.fence,
        completed_at: node.now(),
        loaded: result.map(|status| status.loaded).unwrap_or_default(),
        failure,
    };
    let mut orders = node.lease.orders.lock();
    let previous = orders.insert(endpoint.to_owned(), sent.clone());
    drop(orders);
    if previous.is_none_or(|previous| previous.order_models != sent.order_models) {
        info!("order sent", kv: { endpoint, fence = sent.fence });
    }
}

/// Runs the lease and placement loop until the node shuts down.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        node.lease.decay_demand();
        run_step(&node).await;
    }
}
