//! Compares strategies to keep the total request rate of all instances within the rate limit of an
//! endpoint: `cargo bench --bench limits`.
//!
//! Runs in simulated time with the rate limits, permits and shares of the kernel. Calls arrive at
//! random instances at a constant mean rate. Each tries the endpoints in random order until its
//! instance may send to one. An endpoint without a limit accepts every call. Requests are counted
//! from three seconds on, as users count them. Each row is the mean over the seeds, with the
//! standard error of the served share.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use larkwick::kernel::cold_start::{ColdRateLimiter, ColdStart};
use larkwick::kernel::membership::rendezvous;
use larkwick::kernel::permits::{
    IssuerShare, LimitShare, PermitDecision, PermitIssuer, RequestedPermits,
};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

const SIMULATED_TIME: Duration = Duration::from_secs(23);
const COUNTING_STARTS_AT: Duration = Duration::from_secs(3);
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of permits denied to one call, as in the gateway.
const DENIALS_MAX: u32 = 6;
/// Maximum number of instances with which the hash strategy is run. With more, hashing all instance
/// names for each endpoint takes hours.
const NAME_HASH_INSTANCES_MAX: usize = 1_000;
/// Maximum number of endpoints that one call tries, at sites with hundreds of them.
const CANDIDATES_MAX: usize = 40;

/// How the total rate is limited.
#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    /// The limit is ignored.
    Unlimited,
    /// Whole calls per second are assigned to instances by a hash of instance and endpoint name.
    NameHash,
    /// Each instance has an equal share of the rate, plus a burst of one request.
    EqualShares,
    /// One instance per endpoint issues a permit for each request.
    Permits,
}

const STRATEGIES: [(&str, Strategy); 4] = [
    ("unheeded", Strategy::Unlimited),
    ("by name", Strategy::NameHash),
    ("even parts", Strategy::EqualShares),
    ("permits", Strategy::Permits),
];

struct Site {
    instances: usize,
    endpoints: usize,
    limited: usize,
    calls_per_s: f64,
    limit_per_s: f64,
    seeds: u64,
}

#[derive(Default)]
struct Outcome {
    calls: f64,
    served: f64,
    sent_to_limited: f64,
    permit_requests: f64,
    /// Most requests to one endpoint within a window, relative to the allowed number.
    worst_window: f64,
}

struct Simulation<'a> {
    site: &'a Site,
    strategy: Strategy,
    random: SmallRng,
    names: Vec<String>,
    endpoints: Vec<String>,
    issuers: Vec<usize>,
    cold_rate_limiters: Vec<ColdRateLimiter>,
    cold_shares: HashMap<(usize, usize), u32>,
    /// Permits of each instance: those it issues, or with equal shares those of its share.
    permits: Vec<PermitIssuer>,
    requested: Vec<RequestedPermits>,
    recent_sends: BTreeMap<usize, VecDeque<Duration>>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(site: &'a Site, strategy: Strategy, seed: u64) -> Self {
        let names: Vec<String> = (0..site.instances).map(|n| format!("n{n}")).collect();
        let endpoints: Vec<String> = (0..site.endpoints).map(|n| format!("e{n}")).collect();
        let issuer = |endpoint: &String| {
            let issuer = rendezvous(endpoint, names.iter().map(String::as_str));
            let index = names.iter().position(|name| Some(name.as_str()) == issuer);
            index.unwrap_or_default()
        };
        Self {
            issuers: endpoints.iter().take(site.limited).map(issuer).collect(),
            cold_rate_limiters: (0..site.instances)
                .map(|_| ColdRateLimiter::default())
                .collect(),
            cold_shares: HashMap::new(),
            permits: (0..site.instances)
                .map(|_| PermitIssuer::default())
                .collect(),
            requested: (0..site.instances)
                .map(|_| RequestedPermits::default())
                .collect(),
            recent_sends: BTreeMap::new(),
            outcome: Outcome::default(),
            random: SmallRng::seed_from_u64(seed),
            names,
            endpoints,
            site,
            strategy,
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = Duration::ZERO;
        while now < SIMULATED_TIME {
            let gap_s = -self.random.random_range(f64::EPSILON..1.0).ln() / self.site.calls_per_s;
            now += Duration::from_secs_f64(gap_s);
            self.call(now);
        }
        self.outcome
    }

    fn call(&mut self, now: Duration) {
        let instance = self.random.random_range(0..self.site.instances);
        let mut order: Vec<usize> = (0..self.site.endpoints).collect();
        let (order, _) = order.partial_shuffle(&mut self.random, CANDIDATES_MAX);
        let order = order.to_vec();
        let counted = now >= COUNTING_STARTS_AT;
        self.outcome.calls += f64::from(u8::from(counted));
        let mut denials = 0;
        for endpoint in order {
            if endpoint >= self.site.limited {
                self.outcome.served += f64::from(u8::from(counted));
                return;
            }
            if denials < DENIALS_MAX && self.can_send(instance, endpoint, now, &mut denials) {
                self.outcome.served += f64::from(u8::from(counted));
                if counted {
                    self.record_sent(endpoint, now);
                }
                return;
            }
        }
    }

    fn can_send(
        &mut self,
        instance: usize,
        endpoint: usize,
        now: Duration,
        denials: &mut u32,
    ) -> bool {
        match self.strategy {
            Strategy::Unlimited => true,
            Strategy::NameHash => self.can_send_by_name_hash(instance, endpoint, now),
            Strategy::EqualShares => self.can_send_equal_share(instance, endpoint, now),
            Strategy::Permits => self.obtain_permit(instance, endpoint, now, denials),
        }
    }

    fn can_send_by_name_hash(&mut self, instance: usize, endpoint: usize, now: Duration) -> bool {
        let names = &self.names;
        let start = ColdStart {
            duration: SIMULATED_TIME,
            sustainable_per_s: self.site.limit_per_s,
        };
        let share = self.cold_shares.entry((instance, endpoint));
        let share = *share.or_insert_with(|| {
            let others = names.iter().enumerate();
            let others = others.filter(|(number, _)| *number != instance);
            let others = others.map(|(_, name)| name.as_str());
            start.share_per_s_by_hash(&names[instance], others, &self.endpoints[endpoint])
        });
        let limiter = &mut self.cold_rate_limiters[instance];
        let can_send = limiter.can_send(&self.endpoints[endpoint], share, now);
        if can_send {
            limiter.record_sent(&self.endpoints[endpoint], now);
        }
        can_send
    }

    fn can_send_equal_share(&mut self, instance: usize, endpoint: usize, now: Duration) -> bool {
        let limit = self.limit(1);
        let name = &self.names[instance];
        let permits = &mut self.permits[instance];
        // Allows a burst of one request, by accruing as if the share had existed for a long time.
        permits.start_accrual(&self.endpoints[endpoint], Duration::ZERO);
        permits.request(
            &self.endpoints[endpoint],
            name,
            limit,
            now + SIMULATED_TIME * 100,
        ) == PermitDecision::Granted
    }

    fn limit(&self, reachable: usize) -> LimitShare {
        LimitShare {
            per_s: self.site.limit_per_s,
            share: IssuerShare {
                reachable,
                total: self.site.instances,
            },
        }
    }

    fn obtain_permit(
        &mut self,
        instance: usize,
        endpoint: usize,
        now: Duration,
        denials: &mut u32,
    ) -> bool {
        let name = &self.endpoints[endpoint];
        if self.requested[instance].denied_until(name, now).is_some() {
            return false;
        }
        self.outcome.permit_requests += 1.0;
        let limit = self.limit(self.site.instances);
        let issuer = &mut self.permits[self.issuers[endpoint]];
        match issuer.request(name, &self.names[instance], limit, now) {
            PermitDecision::Granted => true,
            PermitDecision::NotBefore(until) => {
                self.requested[instance].record_denial(name, until, now);
                *denials += 1;
                false
            }
        }
    }

    fn record_sent(&mut self, endpoint: usize, now: Duration) {
        self.outcome.sent_to_limited += 1.0;
        let recent_sends = self.recent_sends.entry(endpoint).or_default();
        recent_sends.retain(|at| now.saturating_sub(*at) < RATE_WINDOW);
        recent_sends.push_back(now);
        let count = f64::from(u32::try_from(recent_sends.len()).unwrap_or(u32::MAX));
        let allowed = 1.5 * self.site.limit_per_s * RATE_WINDOW.as_secs_f64() + 5.0;
        self.outcome.worst_window = self.outcome.worst_window.max(count / allowed);
    }
}

fn main() {
    let site = |instances, endpoints, limited, calls_per_s, limit_per_s, seeds| Site {
        instances,
        endpoints,
        limited,
        calls_per_s,
        limit_per_s,
        seeds,
    };
    let sites = [
        site(6, 6, 2, 20.0, 2.5, 40),
        site(6, 3, 2, 30.0, 2.9, 40),
        site(6, 4, 4, 20.0, 2.5, 40),
        site(9, 3, 3, 20.0, 3.3, 40),
        site(66, 12, 12, 60.0, 3.3, 20),
        site(295, 60, 20, 900.0, 3.3, 6),
        site(2_300, 600, 600, 3_000.0, 2.5, 2),
        site(6, 4, 4, 8.0, 0.4, 40),
    ];
    println!(
        "instances, endpoints, limited, calls/s, limit/s: way | worst span | used | served | asks a call"
    );
    for site in &sites {
        let Site {
            instances,
            endpoints,
            limited,
            calls_per_s,
            limit_per_s,
            ..
        } = site;
        println!("{instances}, {endpoints}, {limited}, {calls_per_s}, {limit_per_s}:");
        for (name, strategy) in STRATEGIES {
            if strategy == Strategy::NameHash && *instances > NAME_HASH_INSTANCES_MAX {
                println!("  {name:10} | not run");
                continue;
            }
            print_results(site, name, strategy);
        }
    }
}

fn print_results(site: &Site, name: &str, strategy: Strategy) {
    let outcomes: Vec<Outcome> = (0..site.seeds)
        .map(|seed| Simulation::new(site, strategy, seed).run())
        .collect();
    let seeds = f64::from(u32::try_from(site.seeds).unwrap_or(u32::MAX));
    let counted_s = (SIMULATED_TIME.saturating_sub(COUNTING_STARTS_AT)).as_secs_f64();
    let limited = f64::from(u32::try_from(site.limited).unwrap_or(u32::MAX));
    let allowed = limited * site.limit_per_s * counted_s;
    let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds;
    let worst_window = outcomes
        .iter()
        .map(|one| one.worst_window)
        .fold(0.0, f64::max);
    let used = mean(&|one| one.sent_to_limited / allowed);
    let served = mean(&|one| one.served / one.calls);
    let variance = mean(&|one| (one.served / one.calls - served).powi(2));
    let standard_error = (variance / (seeds - 1.0).max(1.0)).sqrt();
    let permit_requests = mean(&|one| one.permit_requests / one.calls);
    println!(
        "  {name:10} | {worst_window:.2} | {used:.2} | {served:.3} +-{standard_error:.3} | {permit_requests:.2}"
    );
}
