//! Shares of client accounts in scarce memory: start-time fair queueing.
//!
//! It answers one account that asks for many times its share while others wait. Each account is
//! charged for the memory that it takes over time, divided by its weight; whoever was charged least
//! comes next (P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996). What an
//! account leaves unused goes to the others, and it gets no credit for it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::engine_ledger::EngineLedger;
use super::engine_run::RunDemand;

/// Without a request for this long, nobody competes, and the shares start anew.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(2_500);
/// An owner that begins learns of running generations within this time.
const ADOPTION_PERIOD: Duration = Duration::from_secs(1);
/// Interval at which it looks for them.
const ADOPTION_INTERVAL: Duration = Duration::from_millis(100);
/// Accounts are looked through for ones to forget when their number has doubled and exceeds this.
const PRUNE_COUNT_MIN: usize = 64;

/// Weights of client accounts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountWeights {
    /// Positive weights; 1 for accounts that are not named.
    pub by_account: BTreeMap<String, f64>,
}

impl AccountWeights {
    /// Returns the weight of an account.
    #[must_use]
    pub fn weight(&self, account: &str) -> f64 {
        self.by_account.get(account).copied().unwrap_or(1.0)
    }

    /// Returns what a generation is charged, in token-seconds by weight.
    pub(super) fn charge(&self, demand: &RunDemand) -> f64 {
        demand.expected_token_seconds() / self.weight(account_of(demand))
    }
}

/// Returns the account of a generation; calls without a key share one.
pub(super) fn account_of(demand: &RunDemand) -> &str {
    demand.account.as_deref().unwrap_or_default()
}

/// Shares within one priority.
#[derive(Debug, Default)]
struct Level {
    /// Largest start tag that was granted; never decreases.
    virtual_time: f64,
    /// Finish tags of the accounts that are ahead of virtual time.
    finish: HashMap<String, f64>,
    /// Number of accounts from which those behind virtual time are dropped.
    prune_count: usize,
}

impl Level {
    fn prune(&mut self) {
        if self.finish.len() < self.prune_count.max(PRUNE_COUNT_MIN) {
            return;
        }
        let virtual_time = self.virtual_time;
        self.finish.retain(|_, finish| *finish > virtual_time);
        self.prune_count = 2 * self.finish.len();
    }
}

/// Shares of the client accounts of one service, by priority.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    pub(super) weights: AccountWeights,
    levels: BTreeMap<u32, Level>,
    used_at: Option<Duration>,
    adopts_until: Duration,
    next_adoption_at: Duration,
}

impl FairShares {
    /// Prepares for an admission. An owner that begins charges the accounts for what they run.
    pub(super) fn begin(&mut self, ledger: &EngineLedger, now: Duration) {
        let is_known = self
            .used_at
            .is_some_and(|at| now.saturating_sub(at) < FORGOTTEN_AFTER);
        self.used_at = Some(now);
        if !is_known {
            self.levels.clear();
            self.adopts_until = now + ADOPTION_PERIOD;
            self.next_adoption_at = now;
        }
        if now >= self.next_adoption_at && now <= self.adopts_until {
            self.next_adoption_at = now + ADOPTION_INTERVAL;
            self.adopt_runs(ledger);
        }
    }

    fn adopt_runs(&mut self, ledger: &EngineLedger) {
        let mut charged: HashMap<(u32, &str), f64> = HashMap::new();
        for run in ledger.runs.values() {
            let demand = &run.reported.demand;
            let key = (demand.priority, account_of(demand));
            *charged.entry(key).or_default() += self.weights.charge(demand);
        }
        for ((priority, account), charge) in charged {
            let level = self.levels.entry(priority).or_default();
            let finish = level.finish.entry(account.to_owned()).or_default();
            *finish = finish.max(charge);
        }
    }

    /// Returns the virtual time of a priority, the earliest start tag of a new arrival.
    pub(super) fn virtual_time(&self, priority: u32) -> f64 {
        self.levels
            .get(&priority)
            .map_or(0.0, |level| level.virtual_time)
    }

    /// Returns the finish tag of an account; zero if it is behind virtual time.
    pub(super) fn finish(&self, priority: u32, account: &str) -> f64 {
        let level = self.levels.get(&priority);
        level
            .and_then(|level| level.finish.get(account))
            .copied()
            .unwrap_or_default()
    }

    /// Charges an account for a placement with this start tag.
    pub(super) fn record_placement(&mut self, demand: &RunDemand, start_tag: f64) {
        let finish = start_tag + self.weights.charge(demand);
        let level = self.levels.entry(demand.priority).or_default();
        level.virtual_time = level.virtual_time.max(start_tag);
        level.finish.insert(account_of(demand).to_owned(), finish);
        level.prune();
    }
}

/// Start tags of waiting generations, given in the order in which each account's are served.
#[derive(Debug, Default)]
pub(super) struct StartTags<'a> {
    /// Finish tags of the accounts, all generations so far included.
    finish: HashMap<(u32, &'a str), f64>,
}

impl<'a> StartTags<'a> {
    /// Returns the start tag of the next generation, which arrived at `virtual_time`.
    pub(super) fn next(
        &mut self,
        shares: &FairShares,
        demand: &'a RunDemand,
        virtual_time: f64,
    ) -> f64 {
        let account = account_of(demand);
        let finish = self
            .finish
            .entry((demand.priority, account))
            .or_insert_with(|| shares.finish(demand.priority, account));
        let start = finish.max(virtual_time);
        *finish = start + shares.weights.charge(demand);
        start
    }
}
