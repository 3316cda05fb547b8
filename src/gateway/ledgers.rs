//! Engine ledgers, one per service and each under its own lock, and the generations that wait for
//! capacity.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::kernel::account_counts::AccountCounts;
use crate::kernel::admission_queue::{AccountSummary, AdmissionQueue, QueueTicket, WaitOutcome};
use crate::kernel::cold_start::Sender;
use crate::kernel::engine_ledger::{EngineLedger, EngineSummary};
use crate::kernel::owner_contact::OwnerContact;
use crate::kernel::permits::IssuerShare;
use crate::settings::load::LoadSettings;

/// A generation that waits for capacity.
pub(crate) struct Waiter {
    /// Request ID by which the engines know the generation.
    pub(crate) run: String,
    pub(crate) reply_sender: oneshot::Sender<WaitOutcome>,
}

/// The inputs from which a ledger's engines were built; the engines are rebuilt when they change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EngineListKey {
    pub(crate) config_version: u64,
    pub(crate) fleet_version: u64,
    /// Version of the roll-outs.
    pub(crate) rollout_version: u64,
    /// Role in which this instance sends to cold engines.
    pub(crate) sender: Sender,
    /// Version of the rate limits that endpoints announce.
    pub(crate) limits_version: u64,
    /// Share of these limits that this instance grants, if there are any limits.
    pub(crate) limit_share: Option<IssuerShare>,
}

#[derive(Default)]
pub(crate) struct ServiceShard {
    pub(crate) ledger: EngineLedger,
    /// Inputs from which the ledger's engines were built.
    pub(crate) engine_list_key: Option<EngineListKey>,
    pub(crate) queue: AdmissionQueue,
    /// Settings that the queue follows.
    pub(crate) load: LoadSettings,
    /// The generations in the queue.
    pub(crate) waiters: HashMap<QueueTicket, Waiter>,
}

/// The ledgers of all services with engines.
#[derive(Default)]
pub(crate) struct Ledgers {
    own_name: String,
    /// Tracks whether the owners are reachable from this instance.
    pub(crate) owners: Mutex<OwnerContact>,
    services: Mutex<HashMap<String, Arc<Mutex<ServiceShard>>>>,
    /// Wakes the report loop when generations start or end.
    pub(crate) runs_changed: Notify,
    /// Wakes the coordinator loop.
    pub(crate) coordinator_wakeup: Notify,
}

impl Ledgers {
    /// Creates the ledgers of the instance with this name.
    pub(crate) fn for_instance(own_name: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the ledger of a service and creates it if necessary.
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

    /// Returns all ledgers by service.
    pub(crate) fn all(&self) -> Vec<(String, Arc<Mutex<ServiceShard>>)> {
        let services = self.services.lock();
        let all = services.iter();
        all.map(|(name, shard)| (name.clone(), shard.clone()))
            .collect()
    }

    /// Wakes the coordinator loop to process the ledgers soon.
    pub(crate) fn wake_coordinator(&self) {
        self.coordinator_wakeup.notify_one();
    }

    /// Returns the engines by service for the debug dump.
    pub(crate) fn dump(&self) -> HashMap<String, BTreeMap<String, EngineSummary>> {
        let all = self.all().into_iter();
        all.map(|(name, shard)| (name, shard.lock().ledger.summary()))
            .collect()
    }

    /// Returns the client accounts with the most waiting generations, by service, for the debug
    /// dump.
    pub(crate) fn dump_accounts(&self, now: Duration) -> HashMap<String, Vec<AccountSummary>> {
        let all = self.all().into_iter();
        all.map(|(name, shard)| {
            let shard = shard.lock();
            (name, shard.queue.account_summary(&shard.ledger, now))
        })
        .collect()
    }

    /// Returns what became of the generations that asked here, by service and client account.
    pub(crate) fn account_counts(&self) -> BTreeMap<String, AccountCounts> {
        let all = self.all().into_iter();
        all.map(|(name, shard)| (name, shard.lock().queue.account_counts().clone()))
            .collect()
    }
}
