//! The hall's lease and, for its holder, the orders that bring the hall's engines to their planned models.

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

/// Reports of the last so many reads of the whole hall count for the plan.
const HALL_ROUNDS: u32 = 2;
const STEP_EVERY: Duration = Duration::from_millis(500);
/// Orders that took effect are repeated this often, should an older one have arrived after them.
const REASSERT_EVERY: Duration = Duration::from_secs(5);

/// This instance's part in its hall's lease.
pub(crate) struct LeaseShard {
    keeper: Mutex<LeaseKeeper>,
    orders: Mutex<BTreeMap<String, OrderGiven>>,
    /// Endpoints with an order on its way. The next one waits for its end: two orders of one holder must not pass each other.
    on_the_way: Mutex<BTreeSet<String>>,
    demand: Mutex<DemandByModel>,
}

#[derive(Debug, Clone, Serialize)]
struct OrderGiven {
    order_models: Vec<LoadedModel>,
    fence: u64,
    at: Duration,
    loaded: Vec<LoadedModel>,
    failure: Option<String>,
}

/// The shard in a dump.
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

impl LeaseShard {
    /// A shard that has seen nothing.
    pub(crate) fn new(settings: &Settings, incarnation: Uuid) -> Self {
        let times = LeaseTimes {
            ttl: ms(settings.times.lease_ms),
            order_timeout: ms(settings.times.order_ms),
        };
        let keeper = LeaseKeeper::new(&settings.hall, &settings.instance, incarnation, times);
        Self {
            keeper: Mutex::new(keeper),
            orders: Mutex::default(),
            on_the_way: Mutex::default(),
            demand: Mutex::default(),
        }
    }

    /// Counts tokens of a model, for the plan.
    pub(crate) fn count_demand(&self, model: &str, tokens: u32) {
        let mut demand = self.demand.lock();
        *demand.entry(model.to_owned()).or_default() += f64::from(tokens);
    }

    fn decay_demand(&self) {
        const KEPT_PER_STEP: f64 = 0.99;
        for tokens in self.demand.lock().values_mut() {
            *tokens *= KEPT_PER_STEP;
        }
    }
}

impl Node {
    /// The lease, for the dump.
    pub(crate) fn dump_lease(&self) -> LeaseDump {
        let held = self.config.lease(&self.settings.hall);
        let orders = self.lease.orders.lock().clone();
        let orders = orders.into_iter().map(|(endpoint, given)| {
            let dump = OrderDump {
                fence: given.fence,
                desired: given.order_models,
                loaded: given.loaded,
                failure: given.failure,
            };
            (endpoint, dump)
        });
        LeaseDump {
            holder: held.as_ref().map(|held| held.claim.holder.clone()),
            fence: held.as_ref().map_or(0, |held| held.fence),
            held_here: self.holds_lease(),
            orders: orders.collect(),
        }
    }

    /// Whether this instance can prove that it holds its hall's lease.
    pub(crate) fn holds_lease(&self) -> bool {
        self.lease.keeper.lock().proof(self.now()).is_some()
    }

    /// Gives the lease up, so that a successor need not wait for it to lapse.
    pub(crate) async fn release_lease(&self) {
        let claim = {
            let mut keeper = self.lease.keeper.lock();
            keeper.release(self.now(), Uuid::new_v4())
        };
        if let Some(claim) = claim {
            append(self, claim).await;
        }
    }
}

async fn append(node: &Node, claim: Claim) {
    let Ok(record) = serde_json::to_value(Record::Claim(claim)) else {
        return;
    };
    // A lost reply is resolved by reading the log: the fold shows whose claim is in force.
    if let Err(error) = node.platform.log.append(CONFIG_STREAM, record).await {
        warn!("lease claim not confirmed: {}", error);
    }
}

/// Whether this instance should try for its hall's lease: one of the hall's live instances, so that they need not race.
fn is_candidate(node: &Node) -> bool {
    let members = node.members.lock();
    let hall = &node.settings.hall;
    let live = members
        .live(&node.settings.hall, node.now())
        .filter(|peer| peer.status.hall == *hall)
        .map(|peer| peer.status.incarnation.name.as_str());
    let everyone = live.chain([node.incarnation.name.as_str()]);
    rendezvous(&format!("lease {hall}"), everyone) == Some(node.incarnation.name.as_str())
}

async fn step(node: &Arc<Node>) {
    if node.drain_state.phase() > Phase::Serving {
        return;
    }
    let held = node.config.lease(&node.settings.hall);
    let candidate = is_candidate(node);
    let before_append = node.now();
    let (step, proof) = {
        let mut keeper = node.lease.keeper.lock();
        keeper.observe(held.as_ref(), before_append);
        let proof = keeper.proof(before_append);
        let step = if candidate || proof.is_some() {
            keeper.step(before_append, Uuid::new_v4())
        } else {
            LeaseStep::Wait
        };
        (step, proof)
    };
    if let LeaseStep::Append(claim) = step {
        append(node, claim).await;
    }
    if let Some(proof) = proof {
        give_orders(node, proof);
    }
}

fn give_orders(node: &Arc<Node>, proof: LeaseProof) {
    let catalog = node.catalog();
    let hall = &node.settings.hall;
    let now = node.now();
    let within = HALL_ROUNDS * HALL_POLL_INTERVAL_ROUNDS * ms(node.settings.times.load_poll_ms);
    // A new holder has read the whole hall before it moves anything.
    if now.saturating_sub(proof.since) < within {
        return;
    }
    let held: BTreeMap<String, Vec<LoadedModel>> = catalog
        .endpoints
        .iter()
        .filter(|endpoint| endpoint.hall == *hall)
        .filter_map(|endpoint| {
            let report = node
                .endpoints
                .report_younger_than(&endpoint.name, now, within)?;
            let departed = is_departed(node, &endpoint.name, Some(report.incarnation));
            (!departed).then(|| (endpoint.name.clone(), report.models))
        })
        .collect();
    let demand = node.lease.demand.lock().clone();
    for planned in plan_hall(&catalog, hall, &demand, &held) {
        let assignment = keep_until_replaced(planned, &held);
        if needs_order(node, &assignment, proof) && begin_order(node, &assignment.endpoint) {
            tokio::spawn(give_order(node.clone(), assignment, proof));
        }
    }
}

/// Adds the versions that an engine holds of models whose planned version it does not hold yet: they serve until it does.
fn keep_until_replaced(
    mut planned: Assignment,
    held: &BTreeMap<String, Vec<LoadedModel>>,
) -> Assignment {
    let Some(held) = held.get(&planned.endpoint) else {
        return planned;
    };
    let not_yet = planned.models.iter().filter(|model| !held.contains(model));
    let not_yet: BTreeSet<String> = not_yet.map(|model| model.name.clone()).collect();
    let kept = held.iter().filter(|model| not_yet.contains(&model.name));
    planned.models.extend(kept.cloned());
    planned
}

/// An order is due where a planned model was not ordered yet. One that only drops models waits for the next repetition, so that
/// every owner has seen by a report what replaced them.
fn needs_order(node: &Node, assignment: &Assignment, proof: LeaseProof) -> bool {
    let orders = node.lease.orders.lock();
    let Some(given) = orders.get(&assignment.endpoint) else {
        return true;
    };
    let due = node.now().saturating_sub(given.at) >= REASSERT_EVERY;
    let mut planned = assignment.models.iter();
    let missing = planned.any(|model| !given.order_models.contains(model));
    due || missing || given.fence > proof.fence
}

/// Marks an order as on its way; false where one is already.
fn begin_order(node: &Node, endpoint: &str) -> bool {
    node.lease.on_the_way.lock().insert(endpoint.to_owned())
}

async fn give_order(node: Arc<Node>, assignment: Assignment, proof: LeaseProof) {
    let endpoint = assignment.endpoint.clone();
    send_order(&node, assignment, proof).await;
    node.lease.on_the_way.lock().remove(&endpoint);
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
            .map(|held| weights(&catalog, held))
            .collect(),
        models: assignment.models,
    };
    // The order must be over before the proof ends, so that none takes effect under a successor.
    let now = node.now();
    let timeout = ms(node.settings.times.order_ms).min(proof.until.saturating_sub(now));
    if timeout.is_zero() {
        return;
    }
    let result = client.order(&order, timeout).await;
    note_order(node, &assignment.endpoint, order, result);
}

fn order_client(node: &Node, catalog: &Catalog, endpoint: &str) -> Option<Arc<dyn Endpoint>> {
    let object = catalog.endpoint(endpoint)?;
    matches!(object.role, EndpointRole::Engine { .. })
        .then(|| node.endpoints.client_for(object))
        .flatten()
}

fn weights(catalog: &Catalog, held: &LoadedModel) -> u64 {
    catalog
        .model(&held.name)
        .map_or(0, |model| model.weights_bytes)
}

fn note_order(node: &Node, endpoint: &str, order: Order, result: Result<OrderStatus, OrderError>) {
    let failure = result.as_ref().err().map(ToString::to_string);
    metrics::counter!("larkwick_orders_total", "ok" => failure.is_none().to_string()).increment(1);
    if let Some(why) = &failure {
        warn!("order failed", kv: { endpoint, why = why.as_str() });
    }
    let given = OrderGiven {
        order_models: order.models,
        fence: order.fence,
        at: node.now(),
        loaded: result.map(|status| status.loaded).unwrap_or_default(),
        failure,
    };
    let mut orders = node.lease.orders.lock();
    let before = orders.insert(endpoint.to_owned(), given.clone());
    drop(orders);
    if before.is_none_or(|before| before.order_models != given.order_models) {
        info!("order given", kv: { endpoint, fence = given.fence });
    }
}

/// Runs for the life of the node.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(STEP_EVERY).await;
        node.lease.decay_demand();
        step(&node).await;
    }
}
