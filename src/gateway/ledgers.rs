//! The ledgers of the services with engines, each under its own lock, and the generations that wait for room.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::kernel::admission_queue::{AdmissionQueue, QueueTicket};
use crate::kernel::cold_start::Sender;
use crate::kernel::engine_ledger::{EngineLedger, EngineSummary};
use crate::kernel::owner_contact::OwnerContact;
use crate::kernel::permits::IssuerShare;

/// Where a generation that waits for room is answered.
pub(crate) struct Waiter {
    /// Names it to the engines.
    pub(crate) run: String,
    pub(crate) answer: oneshot::Sender<Option<String>>,
}

/// Names a list of engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EnginesOf {
    pub(crate) config_version: u64,
    pub(crate) fleet_version: u64,
    /// As whom this instance sends to cold engines.
    pub(crate) sender: Sender,
    /// State of the limits that endpoints name.
    pub(crate) limits_version: u64,
    /// The part of these limits that is placed from here, where there are any.
    pub(crate) limit_share: Option<IssuerShare>,
}

#[derive(Default)]
pub(crate) struct ServiceShard {
    pub(crate) ledger: EngineLedger,
    /// Configuration and state of the fleet that the ledger's engines were taken from.
    pub(crate) engines_of: Option<EnginesOf>,
    pub(crate) queue: AdmissionQueue,
    /// Those that wait in the queue.
    pub(crate) waiters: HashMap<QueueTicket, Waiter>,
}

/// The ledgers of all services with engines.
#[derive(Default)]
pub(crate) struct Ledgers {
    own_name: String,
    /// Whether the owners answer this instance.
    pub(crate) owners: Mutex<OwnerContact>,
    services: Mutex<HashMap<String, Arc<Mutex<ServiceShard>>>>,
    /// Wakes the report loop when generations begin or end.
    pub(crate) changed: Notify,
    /// Wakes the owner's loop.
    pub(crate) wanted: Notify,
}

impl Ledgers {
    /// The ledgers of an instance.
    pub(crate) fn of_instance(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            ..Self::default()
        }
    }

    /// The ledger of a service.
    pub(crate) fn shard(&self, service: &str) -> Arc<Mutex<ServiceShard>> {
        let mut services = self.services.lock();
        let shard = services.entry(service.to_owned()).or_insert_with(|| {
            let ledger = EngineLedger::for_instance(&self.own_name);
            Arc::new(Mutex::new(ServiceShard {
                ledger,
                ..ServiceShard::default()
            }))
        });
        shard.clone()
    }

    /// All ledgers, by service.
    pub(crate) fn all(&self) -> Vec<(String, Arc<Mutex<ServiceShard>>)> {
        let services = self.services.lock();
        let all = services.iter();
        all.map(|(name, shard)| (name.clone(), shard.clone()))
            .collect()
    }

    /// Looks through the ledgers soon.
    pub(crate) fn wake(&self) {
        self.wanted.notify_one();
    }

    /// Engines by service, for the dump.
    pub(crate) fn dump(&self) -> HashMap<String, BTreeMap<String, EngineSummary>> {
        let all = self.all().into_iter();
        all.map(|(name, shard)| (name, shard.lock().ledger.summary()))
            .collect()
    }
}
