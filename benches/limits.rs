//! Who keeps the sum that an endpoint takes from all instances together: `cargo bench --bench limits`.
//!
//! Simulated time; the kernel's limits, permits and shares decide. Calls come to random instances, at a constant rate in the mean; each may go to any
//! endpoint, in random order, that its instance may send to. An endpoint without a limit takes all. Requests are counted from three seconds on, as users
//! count them. Each row is the mean of the seeds, with the standard error of what was served.

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

const LASTS: Duration = Duration::from_secs(23);
const COUNTED_FROM: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);
/// Endpoints that a call asks for in vain, as in the gateway.
const VAIN_ASKS_MAX: u32 = 6;
/// At sites of more instances the hashes of all names for each endpoint take hours.
const BY_NAME_MAX: usize = 1_000;
/// Endpoints that one call looks at, where there are hundreds.
const LOOKED_AT_MAX: usize = 40;

/// How the sum is kept.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Nobody keeps it.
    Unheeded,
    /// Whole calls a second, dealt out by the hash of both names.
    ByName,
    /// Each instance has its even part, and one request on top.
    EvenParts,
    /// One instance gives a permit for each request.
    Permits,
}

const WAYS: [(&str, Way); 4] = [
    ("unheeded", Way::Unheeded),
    ("by name", Way::ByName),
    ("even parts", Way::EvenParts),
    ("permits", Way::Permits),
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
    asks: f64,
    /// Most that an endpoint got in a span, as a part of what is allowed.
    worst: f64,
}

struct Play<'a> {
    site: &'a Site,
    way: Way,
    random: SmallRng,
    names: Vec<String>,
    endpoints: Vec<String>,
    givers: Vec<usize>,
    cold_gates: Vec<ColdRateLimiter>,
    cold_shares: HashMap<(usize, usize), u32>,
    /// What each instance gives, or has for itself.
    permits: Vec<PermitIssuer>,
    asked: Vec<RequestedPermits>,
    sent: BTreeMap<usize, VecDeque<Duration>>,
    outcome: Outcome,
}

impl<'a> Play<'a> {
    fn new(site: &'a Site, way: Way, seed: u64) -> Self {
        let names: Vec<String> = (0..site.instances).map(|n| format!("n{n}")).collect();
        let endpoints: Vec<String> = (0..site.endpoints).map(|n| format!("e{n}")).collect();
        let giver = |endpoint: &String| {
            let giver = rendezvous(endpoint, names.iter().map(String::as_str));
            let place = names.iter().position(|name| Some(name.as_str()) == giver);
            place.unwrap_or_default()
        };
        Self {
            givers: endpoints.iter().take(site.limited).map(giver).collect(),
            cold_gates: (0..site.instances)
                .map(|_| ColdRateLimiter::default())
                .collect(),
            cold_shares: HashMap::new(),
            permits: (0..site.instances)
                .map(|_| PermitIssuer::default())
                .collect(),
            asked: (0..site.instances)
                .map(|_| RequestedPermits::default())
                .collect(),
            sent: BTreeMap::new(),
            outcome: Outcome::default(),
            random: SmallRng::seed_from_u64(seed),
            names,
            endpoints,
            site,
            way,
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = Duration::ZERO;
        while now < LASTS {
            let gap_s = -self.random.random_range(f64::EPSILON..1.0).ln() / self.site.calls_per_s;
            now += Duration::from_secs_f64(gap_s);
            self.call(now);
        }
        self.outcome
    }

    fn call(&mut self, now: Duration) {
        let instance = self.random.random_range(0..self.site.instances);
        let mut order: Vec<usize> = (0..self.site.endpoints).collect();
        let (order, _) = order.partial_shuffle(&mut self.random, LOOKED_AT_MAX);
        let order = order.to_vec();
        let counted = now >= COUNTED_FROM;
        self.outcome.calls += f64::from(u8::from(counted));
        let mut vain = 0;
        for endpoint in order {
            if endpoint >= self.site.limited {
                self.outcome.served += f64::from(u8::from(counted));
                return;
            }
            if vain < VAIN_ASKS_MAX && self.may_send(instance, endpoint, now, &mut vain) {
                self.outcome.served += f64::from(u8::from(counted));
                if counted {
                    self.note(endpoint, now);
                }
                return;
            }
        }
    }

    fn may_send(
        &mut self,
        instance: usize,
        endpoint: usize,
        now: Duration,
        vain: &mut u32,
    ) -> bool {
        match self.way {
            Way::Unheeded => true,
            Way::ByName => self.may_send_by_name(instance, endpoint, now),
            Way::EvenParts => self.may_send_even_part(instance, endpoint, now),
            Way::Permits => self.has_permit(instance, endpoint, now, vain),
        }
    }

    fn may_send_by_name(&mut self, instance: usize, endpoint: usize, now: Duration) -> bool {
        let names = &self.names;
        let start = ColdStart {
            duration: LASTS,
            sustainable_per_s: self.site.limit_per_s,
        };
        let share = self.cold_shares.entry((instance, endpoint));
        let share = *share.or_insert_with(|| {
            let others = names.iter().enumerate();
            let others = others.filter(|(number, _)| *number != instance);
            let others = others.map(|(_, name)| name.as_str());
            start.share_per_s_by_hash(&names[instance], others, &self.endpoints[endpoint])
        });
        let gate = &mut self.cold_gates[instance];
        let can_send = gate.can_send(&self.endpoints[endpoint], share, now);
        if can_send {
            gate.record_sent(&self.endpoints[endpoint], now);
        }
        can_send
    }

    fn may_send_even_part(&mut self, instance: usize, endpoint: usize, now: Duration) -> bool {
        let limit = self.limit(1);
        let name = &self.names[instance];
        let permits = &mut self.permits[instance];
        // With one request on top: as if it had begun long ago.
        permits.start_accrual(&self.endpoints[endpoint], Duration::ZERO);
        permits.request(&self.endpoints[endpoint], name, limit, now + LASTS * 100)
            == PermitDecision::Granted
    }

    fn limit(&self, lending: usize) -> LimitShare {
        LimitShare {
            per_s: self.site.limit_per_s,
            share: IssuerShare {
                reachable: lending,
                total: self.site.instances,
            },
        }
    }

    fn has_permit(
        &mut self,
        instance: usize,
        endpoint: usize,
        now: Duration,
        vain: &mut u32,
    ) -> bool {
        let name = &self.endpoints[endpoint];
        if self.asked[instance].denied_until(name, now).is_some() {
            return false;
        }
        self.outcome.asks += 1.0;
        let limit = self.limit(self.site.instances);
        let giver = &mut self.permits[self.givers[endpoint]];
        match giver.request(name, &self.names[instance], limit, now) {
            PermitDecision::Granted => true,
            PermitDecision::NotBefore(until) => {
                self.asked[instance].record_denial(name, until, now);
                *vain += 1;
                false
            }
        }
    }

    fn note(&mut self, endpoint: usize, now: Duration) {
        self.outcome.sent_to_limited += 1.0;
        let sent = self.sent.entry(endpoint).or_default();
        sent.retain(|at| now.saturating_sub(*at) < SPAN);
        sent.push_back(now);
        let count = f64::from(u32::try_from(sent.len()).unwrap_or(u32::MAX));
        let allowed = 1.5 * self.site.limit_per_s * SPAN.as_secs_f64() + 5.0;
        self.outcome.worst = self.outcome.worst.max(count / allowed);
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
        for (name, way) in WAYS {
            if way == Way::ByName && *instances > BY_NAME_MAX {
                println!("  {name:10} | not run");
                continue;
            }
            tell(site, name, way);
        }
    }
}

fn tell(site: &Site, name: &str, way: Way) {
    let outcomes: Vec<Outcome> = (0..site.seeds)
        .map(|seed| Play::new(site, way, seed).run())
        .collect();
    let seeds = f64::from(u32::try_from(site.seeds).unwrap_or(u32::MAX));
    let counted_s = (LASTS.saturating_sub(COUNTED_FROM)).as_secs_f64();
    let limited = f64::from(u32::try_from(site.limited).unwrap_or(u32::MAX));
    let taken = limited * site.limit_per_s * counted_s;
    let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds;
    let worst = outcomes.iter().map(|one| one.worst).fold(0.0, f64::max);
    let used = mean(&|one| one.sent_to_limited / taken);
    let served = mean(&|one| one.served / one.calls);
    let variance = mean(&|one| (one.served / one.calls - served).powi(2));
    let error = (variance / (seeds - 1.0).max(1.0)).sqrt();
    let asks = mean(&|one| one.asks / one.calls);
    println!("  {name:10} | {worst:.2} | {used:.2} | {served:.3} +-{error:.3} | {asks:.2}");
}
